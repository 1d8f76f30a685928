// Package entrytest runs entry hosts with stand-in endpoints over loopback in
// one process, and sends them load, for benchmarks and measurements.
package entrytest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"laburnumdock/internal/entry"
	"laburnumdock/internal/standin"
)

// Service is the service of all endpoints.
const Service = "quotes"

// readyTimeout bounds the wait until all entry hosts know all endpoints.
const readyTimeout = 20 * time.Second

// Options say what to start.
type Options struct {
	Hosts, Endpoints int
	ControlReplicas         []string
	// Slots of each endpoint, and how long it has a request.
	Slots   int
	RunTime time.Duration
	// Listen opens a listener of an entry host; nil listens on loopback.
	Listen func() (net.Listener, error)
}

// Cell is some entry hosts with the endpoints of one service.
type Fixture struct {
	Hosts     []*Host
	Endpoints []*standin.Endpoint
	Client    *http.Client
	stops     []func()
}

// Host is a running entry host.
type Host struct {
	*entry.Host
	URL, peerURL string
}

// Start starts a cell and waits until each host knows each endpoint.
func Start(o Options) (*Fixture, error) {
	if o.Listen == nil {
		o.Listen = listen
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
	c := &Fixture{Client: &http.Client{Transport: transport}, stops: []func(){transport.CloseIdleConnections}}
	if err := c.start(o); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func (c *Fixture) start(o Options) error {
	var callers, peers []net.Listener
	for range o.Hosts {
		l, err := o.Listen()
		if err != nil {
			return err
		}
		p, err := listen()
		if err != nil {
			return err
		}
		callers, peers = append(callers, l), append(peers, p)
	}
	for i, l := range callers {
		cfg := entry.Config{Name: fmt.Sprintf("entry-%d", i), ControlReplicas: o.ControlReplicas, SettleTime: time.Millisecond}
		for j, p := range peers {
			if j != i {
				cfg.Peers = append(cfg.Peers, "http://"+p.Addr().String())
			}
		}
		h := &Host{Host: entry.New(cfg), URL: "http://" + l.Addr().String(), peerURL: "http://" + peers[i].Addr().String()}
		c.serve(l, h.Handler())
		c.serve(peers[i], h.PeerHandler())
		c.run(h.Run)
		c.Hosts = append(c.Hosts, h)
	}
	for i := range o.Endpoints {
		if err := c.startEndpoint(o, i); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, h := range c.Hosts {
		if err := c.waitKnown(ctx, h, o.Endpoints); err != nil {
			return err
		}
	}
	return nil
}

func (c *Fixture) serve(l net.Listener, handler http.Handler) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols}
	go func() { _ = server.Serve(l) }()
	c.stops = append(c.stops, func() { _ = server.Close() })
}

// run runs a part until the cell is closed.
func (c *Fixture) run(part func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = part(ctx)
		close(done)
	}()
	c.stops = append(c.stops, func() {
		cancel()
		<-done
	})
}

func (c *Fixture) startEndpoint(o Options, i int) error {
	cfg := standin.EndpointConfig{
		Announcement: entry.Announcement{
			Endpoint: fmt.Sprintf("%s-%d", Service, i), Host: fmt.Sprintf("host-%d", i), Service: Service, Epoch: 1,
			Slots: o.Slots, Connections: 4096,
		},
		RunTime: func(string) time.Duration { return o.RunTime },
	}
	for _, h := range c.Hosts {
		cfg.EntryHosts = append(cfg.EntryHosts, h.URL)
	}
	e, err := standin.NewEndpoint(cfg, "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.run(e.Run)
	c.Endpoints = append(c.Endpoints, e)
	return nil
}

// waitKnown waits until a host knows count live endpoints.
func (c *Fixture) waitKnown(ctx context.Context, h *Host, count int) error {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		s, err := c.Status(h)
		if err != nil {
			return err
		}
		live := 0
		for _, e := range s.Endpoints {
			if e.Live {
				live++
			}
		}
		if live >= count {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Errorf("%s knows %d of %d endpoints", h.URL, live, count)
		}
	}
}

// Status returns the status page of a host.
func (c *Fixture) Status(h *Host) (entry.Status, error) {
	var s entry.Status
	res, err := c.Client.Get(h.URL + "/v1/status")
	if err != nil {
		return s, err
	}
	defer func() { _ = res.Body.Close() }()
	return s, json.NewDecoder(res.Body).Decode(&s)
}

// WaitVersion waits until the configuration in force on all hosts has a version.
func (c *Fixture) WaitVersion(ctx context.Context, version uint64) error {
	ticker := time.NewTicker(500 * time.Microsecond)
	defer ticker.Stop()
	for _, h := range c.Hosts {
		for {
			s, err := c.Status(h)
			if err != nil {
				return err
			}
			if s.Configuration.Version >= version {
				break
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

// Close stops everything, entry hosts last.
func (c *Fixture) Close() {
	for i := len(c.stops) - 1; i >= 0; i-- {
		c.stops[i]()
	}
}

// Way is one way from a caller to an endpoint.
type Route struct {
	Name string
	URL  func() string
}

// Ways are a direct call, the reverse proxy of the standard library, and an
// entry host.
func (c *Fixture) Routes() ([]Route, error) {
	var next atomic.Uint64
	pick := func() string {
		return "http://" + c.Endpoints[next.Add(1)%uint64(len(c.Endpoints))].Address()
	}
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			target, _ := url.Parse(pick())
			r.SetURL(target)
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true},
	}
	l, err := listen()
	if err != nil {
		return nil, err
	}
	c.serve(l, proxy)
	return []Route{
		{"direct", func() string { return pick() + "/price" }},
		{"proxy", func() string { return "http://" + l.Addr().String() + "/price" }},
		{"entry", func() string { return c.Hosts[0].URL + "/v1/services/" + Service + "/price" }},
	}, nil
}

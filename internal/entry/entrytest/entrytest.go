// Package entrytest runs entry hosts and stand-in endpoints on loopback in one process
// and generates load on them, for benchmarks and measurements.
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

// Service is the name of the service that all endpoints serve.
const Service = "quotes"

// readyTimeout bounds the wait for all entry hosts to know all endpoints.
const readyTimeout = 20 * time.Second

// Options are the settings of a Fixture.
type Options struct {
	// Hosts and Endpoints are the numbers of entry hosts and endpoints to start.
	Hosts, Endpoints int
	// ControlReplicas are the base addresses of the control replicas.
	ControlReplicas []string
	// Slots is the number of slots of each endpoint, RunTime how long each request
	// runs.
	Slots   int
	RunTime time.Duration
	// Listen opens the listener for callers of an entry host. The default listens on
	// loopback.
	Listen func() (net.Listener, error)
}

// Fixture is a set of running entry hosts and of endpoints of one service.
type Fixture struct {
	Hosts     []*Host
	Endpoints []*standin.Endpoint
	Client    *http.Client
	cleanups  []func()
}

// Host is a running entry host.
type Host struct {
	*entry.Host
	URL, peerURL string
}

// Start starts a fixture and waits until each entry host knows each endpoint.
func Start(o Options) (*Fixture, error) {
	if o.Listen == nil {
		o.Listen = listen
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
	f := &Fixture{Client: &http.Client{Transport: transport}, cleanups: []func(){transport.CloseIdleConnections}}
	if err := f.start(o); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func (f *Fixture) start(o Options) error {
	var callerListeners, peerListeners []net.Listener
	for range o.Hosts {
		l, err := o.Listen()
		if err != nil {
			return err
		}
		p, err := listen()
		if err != nil {
			return err
		}
		callerListeners, peerListeners = append(callerListeners, l), append(peerListeners, p)
	}
	for i, l := range callerListeners {
		cfg := entry.Config{Name: fmt.Sprintf("entry-%d", i), ControlReplicas: o.ControlReplicas, SettleTime: time.Millisecond}
		for j, p := range peerListeners {
			if j != i {
				cfg.Peers = append(cfg.Peers, "http://"+p.Addr().String())
			}
		}
		h := &Host{Host: entry.New(cfg), URL: "http://" + l.Addr().String(), peerURL: "http://" + peerListeners[i].Addr().String()}
		f.serve(l, h.Handler())
		f.serve(peerListeners[i], h.PeerHandler())
		f.run(h.Run)
		f.Hosts = append(f.Hosts, h)
	}
	for i := range o.Endpoints {
		if err := f.startEndpoint(o, i); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, h := range f.Hosts {
		if err := f.waitForEndpoints(ctx, h, o.Endpoints); err != nil {
			return err
		}
	}
	return nil
}

// serve serves HTTP/1.1 and HTTP/2 without TLS until the fixture is closed.
func (f *Fixture) serve(l net.Listener, handler http.Handler) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols}
	go func() { _ = server.Serve(l) }()
	f.cleanups = append(f.cleanups, func() { _ = server.Close() })
}

// run runs a component until the fixture is closed.
func (f *Fixture) run(component func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = component(ctx)
		close(done)
	}()
	f.cleanups = append(f.cleanups, func() {
		cancel()
		<-done
	})
}

func (f *Fixture) startEndpoint(o Options, i int) error {
	cfg := standin.EndpointConfig{
		Announcement: entry.Announcement{
			Endpoint: fmt.Sprintf("%s-%d", Service, i), Host: fmt.Sprintf("host-%d", i), Service: Service, Epoch: 1,
			Slots: o.Slots, Connections: 4096,
		},
		RunTime: func(string) time.Duration { return o.RunTime },
	}
	for _, h := range f.Hosts {
		cfg.EntryHosts = append(cfg.EntryHosts, h.URL)
	}
	e, err := standin.NewEndpoint(cfg, "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.run(e.Run)
	f.Endpoints = append(f.Endpoints, e)
	return nil
}

// waitForEndpoints waits until a host knows count live endpoints.
func (f *Fixture) waitForEndpoints(ctx context.Context, h *Host, count int) error {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		s, err := f.Status(h)
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

// Status returns the status of a host.
func (f *Fixture) Status(h *Host) (entry.Status, error) {
	var s entry.Status
	res, err := f.Client.Get(h.URL + "/v1/status")
	if err != nil {
		return s, err
	}
	defer func() { _ = res.Body.Close() }()
	return s, json.NewDecoder(res.Body).Decode(&s)
}

// WaitVersion waits until all hosts have applied the given version of the configuration
// or a later one.
func (f *Fixture) WaitVersion(ctx context.Context, version uint64) error {
	ticker := time.NewTicker(500 * time.Microsecond)
	defer ticker.Stop()
	for _, h := range f.Hosts {
		for {
			s, err := f.Status(h)
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

// Close stops all components, entry hosts last.
func (f *Fixture) Close() {
	for i := len(f.cleanups) - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
}

// Route is a path of requests from a caller to an endpoint. URL returns the URL for the
// next request.
type Route struct {
	Name string
	URL  func() string
}

// Routes returns three routes to compare: a direct call, the reverse proxy of the
// standard library, and an entry host.
func (f *Fixture) Routes() ([]Route, error) {
	var next atomic.Uint64
	pick := func() string {
		return "http://" + f.Endpoints[next.Add(1)%uint64(len(f.Endpoints))].Address()
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
	f.serve(l, proxy)
	return []Route{
		{"direct", func() string { return pick() + "/price" }},
		{"proxy", func() string { return "http://" + l.Addr().String() + "/price" }},
		{"entry", func() string { return f.Hosts[0].URL + "/v1/services/" + Service + "/price" }},
	}, nil
}

package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/entry"
	"laburnumdock/internal/standin"
)

// patience bounds the wait for what happens soon. It is generous, so that no
// verdict depends on the speed of the machine.
const patience = 20 * time.Second

// cell is some entry hosts with endpoints of one service on loopback.
type cell struct {
	t         testing.TB
	hosts     []*runningHost
	endpoints []*runningEndpoint
	client    *http.Client
}

type runningHost struct {
	*entry.Host
	url, peerURL string
	stop         context.CancelFunc
	done         chan error
	// handler and peerHandler are replaced when the host restarts.
	handler, peerHandler swappable
}

// swappable is a handler that can be replaced.
type swappable struct{ atomic.Value }

func (s *swappable) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Load().(http.Handler).ServeHTTP(w, r)
}

type runningEndpoint struct {
	*standin.Endpoint
	stop context.CancelFunc
	done chan error
}

type cellConfig struct {
	hosts, endpoints int
	control          []string
	host             func(*entry.Config)
	endpoint         func(*standin.EndpointConfig)
}

func newCell(t testing.TB, cfg cellConfig) *cell {
	t.Helper()
	c := &cell{t: t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	c.startHosts(cfg)
	for i := range cfg.endpoints {
		c.startEndpoint(cfg, i)
	}
	for _, h := range c.hosts {
		c.waitKnown(h, cfg.endpoints)
	}
	return c
}

func (c *cell) startHosts(cfg cellConfig) {
	var listeners, peers []net.Listener
	for range max(cfg.hosts, 1) {
		listeners = append(listeners, listen(c.t))
		peers = append(peers, listen(c.t))
	}
	for i := range listeners {
		hc := entry.Config{Name: fmt.Sprintf("entry-%d", i), ControlReplicas: cfg.control, SettleTime: time.Millisecond}
		for j, p := range peers {
			if j != i {
				hc.Peers = append(hc.Peers, "http://"+p.Addr().String())
			}
		}
		if cfg.host != nil {
			cfg.host(&hc)
		}
		h := &runningHost{
			Host: entry.New(hc), done: make(chan error, 1),
			url: "http://" + listeners[i].Addr().String(), peerURL: "http://" + peers[i].Addr().String(),
		}
		h.handler.Store(h.Handler())
		h.peerHandler.Store(h.PeerHandler())
		serveHTTP(c.t, listeners[i], &h.handler)
		serveHTTP(c.t, peers[i], &h.peerHandler)
		var ctx context.Context
		ctx, h.stop = context.WithCancel(context.Background())
		go func() { h.done <- h.Run(ctx) }()
		c.t.Cleanup(h.stop)
		c.hosts = append(c.hosts, h)
	}
}

func (c *cell) startEndpoint(cfg cellConfig, i int) *runningEndpoint {
	c.t.Helper()
	ec := standin.EndpointConfig{Announcement: entry.Announcement{
		Endpoint: fmt.Sprintf("quotes-%d", i), Host: fmt.Sprintf("host-%d", i), Service: "quotes", Epoch: 1,
	}}
	for _, h := range c.hosts {
		ec.EntryHosts = append(ec.EntryHosts, h.url)
	}
	if cfg.endpoint != nil {
		cfg.endpoint(&ec)
	}
	ep, err := standin.NewEndpoint(ec, "127.0.0.1:0")
	require.NoError(c.t, err)
	e := &runningEndpoint{Endpoint: ep, done: make(chan error, 1)}
	var ctx context.Context
	ctx, e.stop = context.WithCancel(context.Background())
	go func() { e.done <- ep.Run(ctx) }()
	c.t.Cleanup(func() {
		e.stop()
		<-e.done
	})
	c.endpoints = append(c.endpoints, e)
	return e
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// serveHTTP serves HTTP/1.1 and HTTP/2 without TLS until the test ends.
func serveHTTP(t testing.TB, l net.Listener, handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return server
}

// status returns the status page of a host.
func (c *cell) status(h *runningHost) entry.Status {
	c.t.Helper()
	res, err := c.client.Get(h.url + "/v1/status")
	require.NoError(c.t, err)
	defer res.Body.Close()
	var s entry.Status
	require.NoError(c.t, json.NewDecoder(res.Body).Decode(&s))
	return s
}

// waitKnown waits until a host knows n live endpoints.
func (c *cell) waitKnown(h *runningHost, n int) {
	c.t.Helper()
	require.Eventually(c.t, func() bool { return c.live(h) == n }, patience, 5*time.Millisecond, "%d live endpoints", n)
}

func (c *cell) live(h *runningHost) int {
	live := 0
	for _, e := range c.status(h).Endpoints {
		if e.Live {
			live++
		}
	}
	return live
}

// call is one request of a caller.
type call struct {
	method, path, body string
	once               bool
	requestID          string
	kind               string
	deadline           time.Duration
}

// told is what a caller was told.
type told struct {
	status int
	kind   fault.Kind
	ran    fault.Ran
	body   []byte
	reply  standin.Reply
	header http.Header
}

var lastID atomic.Int64

// newRequestID returns an ID that is good for a minute.
func newRequestID() string {
	return strconv.FormatInt(time.Now().Add(time.Minute).UnixMilli(), 10) + ".test-" + strconv.FormatInt(lastID.Add(1), 10)
}

// do sends a request to a host and returns what the caller is told.
func (c *cell) do(h *runningHost, r call) (told, error) {
	if r.method == "" {
		r.method = http.MethodGet
	}
	req, err := http.NewRequest(r.method, h.url+"/v1/services/quotes/"+r.path, bytes.NewReader([]byte(r.body)))
	if err != nil {
		return told{}, err
	}
	req.Header.Set(entry.HeaderCaller, "test")
	req.Header.Set(entry.HeaderRepeatable, strconv.FormatBool(!r.once))
	if r.once && r.requestID == "" {
		r.requestID = newRequestID()
	}
	if r.requestID != "" {
		req.Header.Set(entry.HeaderIdempotencyKey, r.requestID)
	}
	if r.kind != "" {
		req.Header.Set(entry.HeaderWorkKind, r.kind)
	}
	if r.deadline > 0 {
		req.Header.Set(entry.HeaderDeadlineMs, strconv.FormatInt(r.deadline.Milliseconds(), 10))
	}
	res, err := c.client.Do(req)
	if err != nil {
		return told{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return told{}, err
	}
	out := told{
		status: res.StatusCode, kind: fault.Kind(res.Header.Get(answer.KindHeader)),
		ran: fault.Ran(res.Header.Get(answer.RanHeader)), body: body, header: res.Header,
	}
	if out.kind == "" {
		if err := json.Unmarshal(body, &out.reply); err != nil {
			return out, fmt.Errorf("answer %q: %w", body, err)
		}
	}
	return out, nil
}

// must is do for a request that gets an answer of some kind.
func (c *cell) must(r call) told {
	c.t.Helper()
	out, err := c.do(c.hosts[0], r)
	require.NoError(c.t, err)
	return out
}

// runs returns how often a request ran on all endpoints together.
func (c *cell) runs(requestID string) int {
	n := 0
	for _, e := range c.endpoints {
		n += e.Runs()[requestID]
	}
	return n
}

func (c *cell) totalRuns() int {
	n := 0
	for _, e := range c.endpoints {
		n += e.TotalRuns()
	}
	return n
}

// setFault sets the faults of all endpoints.
func (c *cell) setFault(f standin.Fault) {
	for _, e := range c.endpoints {
		e.SetFault(f)
	}
}

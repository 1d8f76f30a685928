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

// waitTimeout bounds the wait for a condition. It is long, so that no result depends on
// the speed of the machine.
const waitTimeout = 20 * time.Second

// fixture is a set of running entry hosts and of endpoints of one service on loopback.
type fixture struct {
	t         testing.TB
	hosts     []*runningHost
	endpoints []*runningEndpoint
	client    *http.Client
}

// runningHost is a running entry host.
type runningHost struct {
	*entry.Host
	url, peerURL string
	stop         context.CancelFunc
	done         chan error
	// handler and peerHandler are replaced when the host restarts.
	handler, peerHandler swappableHandler
}

// swappableHandler is a handler that can be replaced.
type swappableHandler struct{ atomic.Value }

func (s *swappableHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Load().(http.Handler).ServeHTTP(w, r)
}

// runningEndpoint is a running stand-in endpoint.
type runningEndpoint struct {
	*standin.Endpoint
	stop context.CancelFunc
	done chan error
}

// fixtureConfig holds the settings of a fixture. There is at least one entry host.
type fixtureConfig struct {
	hosts, endpoints  int
	controlReplicas   []string
	configureHost     func(*entry.Config)
	configureEndpoint func(*standin.EndpointConfig)
}

// newFixture starts a fixture and waits until each entry host knows each endpoint.
func newFixture(t testing.TB, cfg fixtureConfig) *fixture {
	t.Helper()
	f := &fixture{t: t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	f.startHosts(cfg)
	for i := range cfg.endpoints {
		f.startEndpoint(cfg, i)
	}
	for _, h := range f.hosts {
		f.waitForEndpoints(h, cfg.endpoints)
	}
	return f
}

func (f *fixture) startHosts(cfg fixtureConfig) {
	var listeners, peers []net.Listener
	for range max(cfg.hosts, 1) {
		listeners = append(listeners, listen(f.t))
		peers = append(peers, listen(f.t))
	}
	for i := range listeners {
		hc := entry.Config{Name: fmt.Sprintf("entry-%d", i), ControlReplicas: cfg.controlReplicas, SettleTime: time.Millisecond}
		for j, p := range peers {
			if j != i {
				hc.Peers = append(hc.Peers, "http://"+p.Addr().String())
			}
		}
		if cfg.configureHost != nil {
			cfg.configureHost(&hc)
		}
		h := &runningHost{
			Host: entry.New(hc), done: make(chan error, 1),
			url: "http://" + listeners[i].Addr().String(), peerURL: "http://" + peers[i].Addr().String(),
		}
		h.handler.Store(h.Handler())
		h.peerHandler.Store(h.PeerHandler())
		serveHTTP(f.t, listeners[i], &h.handler)
		serveHTTP(f.t, peers[i], &h.peerHandler)
		var ctx context.Context
		ctx, h.stop = context.WithCancel(context.Background())
		go func() { h.done <- h.Run(ctx) }()
		f.t.Cleanup(h.stop)
		f.hosts = append(f.hosts, h)
	}
}

func (f *fixture) startEndpoint(cfg fixtureConfig, i int) *runningEndpoint {
	f.t.Helper()
	ec := standin.EndpointConfig{Announcement: entry.Announcement{
		Endpoint: fmt.Sprintf("quotes-%d", i), Host: fmt.Sprintf("host-%d", i), Service: "quotes", Epoch: 1,
	}}
	for _, h := range f.hosts {
		ec.EntryHosts = append(ec.EntryHosts, h.url)
	}
	if cfg.configureEndpoint != nil {
		cfg.configureEndpoint(&ec)
	}
	ep, err := standin.NewEndpoint(ec, "127.0.0.1:0")
	require.NoError(f.t, err)
	e := &runningEndpoint{Endpoint: ep, done: make(chan error, 1)}
	var ctx context.Context
	ctx, e.stop = context.WithCancel(context.Background())
	go func() { e.done <- ep.Run(ctx) }()
	f.t.Cleanup(func() {
		e.stop()
		<-e.done
	})
	f.endpoints = append(f.endpoints, e)
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

// status returns the status of a host.
func (f *fixture) status(h *runningHost) entry.Status {
	f.t.Helper()
	res, err := f.client.Get(h.url + "/v1/status")
	require.NoError(f.t, err)
	defer res.Body.Close()
	var s entry.Status
	require.NoError(f.t, json.NewDecoder(res.Body).Decode(&s))
	return s
}

// waitForEndpoints waits until a host knows exactly n live endpoints.
func (f *fixture) waitForEndpoints(h *runningHost, n int) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return f.liveEndpoints(h) == n }, waitTimeout, 5*time.Millisecond, "%d live endpoints", n)
}

// liveEndpoints returns the number of live endpoints that a host knows.
func (f *fixture) liveEndpoints(h *runningHost) int {
	live := 0
	for _, e := range f.status(h).Endpoints {
		if e.Live {
			live++
		}
	}
	return live
}

// callerRequest is a request of a caller.
type callerRequest struct {
	method, path, body string
	nonRepeatable      bool
	requestID          string
	workKind           string
	deadline           time.Duration
}

// callerResult is the result of a request as the caller gets it.
type callerResult struct {
	status int
	kind   fault.Kind
	ran    fault.Ran
	body   []byte
	reply  standin.Reply
	header http.Header
}

var lastRequestID atomic.Int64

// newRequestID returns a request ID that expires in a minute.
func newRequestID() string {
	return strconv.FormatInt(time.Now().Add(time.Minute).UnixMilli(), 10) + ".test-" + strconv.FormatInt(lastRequestID.Add(1), 10)
}

// do sends a request to a host and returns its result.
func (f *fixture) do(h *runningHost, r callerRequest) (callerResult, error) {
	if r.method == "" {
		r.method = http.MethodGet
	}
	req, err := http.NewRequest(r.method, h.url+"/v1/services/quotes/"+r.path, bytes.NewReader([]byte(r.body)))
	if err != nil {
		return callerResult{}, err
	}
	req.Header.Set(entry.HeaderCaller, "test")
	req.Header.Set(entry.HeaderRepeatable, strconv.FormatBool(!r.nonRepeatable))
	if r.nonRepeatable && r.requestID == "" {
		r.requestID = newRequestID()
	}
	if r.requestID != "" {
		req.Header.Set(entry.HeaderIdempotencyKey, r.requestID)
	}
	if r.workKind != "" {
		req.Header.Set(entry.HeaderWorkKind, r.workKind)
	}
	if r.deadline > 0 {
		req.Header.Set(entry.HeaderDeadlineMs, strconv.FormatInt(r.deadline.Milliseconds(), 10))
	}
	res, err := f.client.Do(req)
	if err != nil {
		return callerResult{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return callerResult{}, err
	}
	out := callerResult{
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

// mustDo sends a request to the first host and fails the test if it is not answered.
func (f *fixture) mustDo(r callerRequest) callerResult {
	f.t.Helper()
	out, err := f.do(f.hosts[0], r)
	require.NoError(f.t, err)
	return out
}

// runs returns the number of runs of a request on all endpoints.
func (f *fixture) runs(requestID string) int {
	n := 0
	for _, e := range f.endpoints {
		n += e.Runs()[requestID]
	}
	return n
}

// totalRuns returns the number of runs of all requests on all endpoints.
func (f *fixture) totalRuns() int {
	n := 0
	for _, e := range f.endpoints {
		n += e.TotalRuns()
	}
	return n
}

// setFault sets the fault of all endpoints.
func (f *fixture) setFault(injected standin.Fault) {
	for _, e := range f.endpoints {
		e.SetFault(injected)
	}
}

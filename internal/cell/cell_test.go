package cell

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"laburnumdock/internal/control"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/jobclient"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/orders"
)

// patience bounds waits on a busy machine; no verdict depends on it.
const patience = 60 * time.Second

// silent is a platform that answers nothing.
type silent struct{}

func (silent) Do(context.Context, manager.Call) manager.Outcome {
	return manager.Outcome{Verdict: manager.NoAnswer}
}

// site runs replicas on loopback.
type site struct {
	t     testing.TB
	dir   string
	seeds []string
	nodes map[string]*node
	// caller is the platform of the replicas.
	caller orders.PlatformClient
}

// node is one replica and its listener, which outlives restarts.
type node struct {
	url     string
	dir     string
	handler swap
	cell    *Cell
	stop    context.CancelCauseFunc
	done    chan error
}

// swap is a handler that can be replaced.
type swap struct {
	mu sync.Mutex
	h  http.Handler
}

func (s *swap) set(h http.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.h = h
}

// ServeHTTP implements http.Handler.
func (s *swap) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	h := s.h
	s.mu.Unlock()
	if h == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.ServeHTTP(w, r)
}

func newSite(t testing.TB, seeds int) *site {
	s := &site{t: t, dir: t.TempDir(), nodes: map[string]*node{}, caller: silent{}}
	for range seeds {
		s.seeds = append(s.seeds, s.place())
	}
	return s
}

// place opens a listener for a replica.
func (s *site) place() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	n := &node{url: "http://" + listener.Addr().String(), dir: filepath.Join(s.dir, fmt.Sprint(len(s.nodes)))}
	server := httptest.NewUnstartedServer(&n.handler)
	require.NoError(s.t, server.Listener.Close())
	server.Listener = listener
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = protocols
	server.Start()
	s.t.Cleanup(server.Close)
	s.nodes[n.url] = n
	return n.url
}

// start runs the replica at url. Bootstrap is as the platform tells it.
func (s *site) start(url string, bootstrap bool) {
	n := s.nodes[url]
	c, err := New(Config{
		Cluster: "test", Dir: n.dir, SelfURL: url, SeedURLs: s.seeds, Bootstrap: bootstrap, ElectionTimeout: 500 * time.Millisecond, QueueLength: 1024,
		Manager: manager.Config{MaxLease: 6 * time.Second, ReportInterval: time.Second, Retention: time.Minute},
		PlatformClient:  s.caller, Metrics: metrics.NewRegistry(), Log: logevent.Discard(),
	})
	require.NoError(s.t, err)
	ctx, stop := context.WithCancelCause(context.Background())
	n.cell, n.stop, n.done = c, stop, make(chan error, 1)
	n.handler.set(c.Handler())
	go func() { n.done <- c.Run(ctx) }()
	s.t.Cleanup(func() { s.kill(url) })
}

// kill ends a replica at once, as a crash does.
func (s *site) kill(url string) {
	n := s.nodes[url]
	if n.stop == nil {
		return
	}
	n.handler.set(nil)
	n.stop(control.ErrAbandon)
	<-n.done
	n.stop = nil
}

// client follows the cell until the test ends.
func (s *site) client() *jobclient.Client {
	c := jobclient.New(jobclient.Config{Seeds: s.seeds, LeaderWait: patience, Log: logevent.Discard()})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	s.t.Cleanup(func() {
		stop()
		require.NoError(s.t, <-done)
	})
	return c
}

func ask(t *testing.T, c *jobclient.Client, q manager.Request) manager.Reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := c.Ask(ctx, q)
	require.NoError(t, err)
	return r
}

// voters waits until the replicas at urls, and no others, vote.
func (s *site) voters(urls ...string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		for _, n := range s.nodes {
			if n.stop == nil || !n.cell.replica.IsLeader() {
				continue
			}
			status := n.cell.replica.Status()
			found := 0
			for _, id := range status.Members.Voters {
				for _, url := range urls {
					if status.Addresses[id] == url {
						found++
					}
				}
			}
			return found == len(urls) && len(status.Members.Voters) == len(urls) && len(status.Members.Learners) == 0
		}
		return false
	}, patience, 20*time.Millisecond)
}

func (s *site) leader() string {
	url := ""
	require.Eventually(s.t, func() bool {
		for u, n := range s.nodes {
			if n.stop != nil && n.cell.replica.IsLeader() {
				url = u
				return true
			}
		}
		return false
	}, patience, 20*time.Millisecond)
	return url
}

var testConfig = &jobs.Config{
	Version: 3, Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Timeout: 1000}}, Pools: []jobs.Pool{{Name: "p"}},
	Document: []byte("as sent"),
}

// Guards against a cell that does not form from three seeds, does not take in
// others, loses what it acknowledged with its leader, or lets a replica vote that
// lost its disk.
func TestCellFormsAndHealsItself(t *testing.T) {
	s := newSite(t, 3)
	urls := append([]string{}, s.seeds...)
	for range 2 {
		urls = append(urls, s.place())
	}
	for _, url := range urls {
		s.start(url, true)
	}
	s.voters(urls...)
	client := s.client()
	require.Equal(t, manager.ReplyNoConfig, ask(t, client, manager.Request{Kind: manager.RequestPending, Host: "h", Path: "/q/"}).Kind)
	require.Equal(t, manager.ReplyAccepted, ask(t, client, manager.Request{Kind: manager.RequestConfigure, Config: testConfig}).Kind)
	const job = "/q/0123456789abcdef"
	spec := &jobs.Spec{Steps: []jobs.Step{{Count: 1}}}
	require.Equal(t, manager.ReplyAccepted, ask(t, client, manager.Request{Kind: manager.RequestSubmit, Host: "h", Path: job, Spec: spec}).Kind)

	lost := s.leader()
	s.kill(lost)
	state := manager.Request{Kind: manager.RequestState, Host: "h", Path: job}
	require.Equal(t, jobs.PhaseQueued, ask(t, client, state).Phase)

	old := s.nodes[lost].cell.id
	require.NoError(t, control.ClearDataDir(s.nodes[lost].dir))
	s.start(lost, false)
	require.NotEqual(t, old, s.nodes[lost].cell.id)
	s.voters(urls...)
	require.Equal(t, jobs.PhaseQueued, ask(t, client, state).Phase)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	config, err := s.nodes[lost].cell.Config(ctx)
	require.NoError(t, err)
	require.Equal(t, testConfig, config)
}

// Guards against a newcomer that never votes because another replica is dead, so
// that the cell bears fewer losses for ever.
func TestNewcomerVotesBesideADeadReplica(t *testing.T) {
	s := newSite(t, 3)
	for _, url := range s.seeds {
		s.start(url, true)
	}
	s.voters(s.seeds...)
	var dead string
	for _, url := range s.seeds {
		if url != s.leader() {
			dead = url
			break
		}
	}
	s.kill(dead)
	fresh := s.place()
	s.start(fresh, false)
	require.Eventually(t, func() bool {
		status := s.nodes[s.leader()].cell.replica.Status()
		for _, id := range status.Members.Voters {
			if status.Addresses[id] == fresh {
				return true
			}
		}
		return false
	}, patience, 20*time.Millisecond)
}

// Guards against an entry host that is cut off from the core and refuses requests
// although another one reaches the leader.
func TestRequestsPassThroughAnotherEntryHost(t *testing.T) {
	s := newSite(t, 1)
	s.start(s.seeds[0], true)
	s.voters(s.seeds...)
	direct := s.client()
	ask(t, direct, manager.Request{Kind: manager.RequestConfigure, Config: testConfig})
	relay := httptest.NewServer(direct.RelayHandler())
	t.Cleanup(relay.Close)

	cut := jobclient.New(jobclient.Config{Seeds: []string{"http://127.0.0.1:1"}, LeaderWait: patience, Log: logevent.Discard()})
	cut.AddRelays([]string{relay.URL})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- cut.Run(ctx) }()
	defer func() {
		stop()
		require.NoError(t, <-done)
	}()
	require.Equal(t, manager.ReplyAccepted, ask(t, cut, manager.Request{Kind: manager.RequestPending, Host: "h", Path: "/q/"}).Kind)
}

// Guards against a request that is reported as refused although it may have been
// recorded.
func TestNoLeaderIsNoUnknownOutcome(t *testing.T) {
	c := jobclient.New(jobclient.Config{Seeds: []string{"http://127.0.0.1:1"}, LeaderWait: 10 * time.Millisecond, Log: logevent.Discard()})
	_, err := c.Ask(t.Context(), manager.Request{Kind: manager.RequestState, Host: "h", Path: "/q/x"})
	require.Equal(t, fault.Unavailable, fault.KindOf(err))
}

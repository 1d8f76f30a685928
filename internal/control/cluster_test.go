package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/wal"
)

// generous bounds waits in tests that fail only when something never happens.
const generous = 60 * time.Second

// cluster is some replicas over loopback HTTP in one process.
type cluster struct {
	t        testing.TB
	dirs     map[uint64]string
	urls     map[uint64]string
	replicas map[uint64]*running
	tune     func(*Config)
}

// running is a replica with its server. Its address is closed to others while
// cut is set.
type running struct {
	*Replica
	cancel context.CancelCauseFunc
	ended  chan error
	server *http.Server
	cut    *gate
}

// gate drops all requests while it is closed. It can also lose the answers of
// forwarded changes.
type gate struct {
	mu           sync.Mutex
	closed       bool
	losesAnswers bool
	next         http.Handler
}

func (g *gate) loseAnswers(lose bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.losesAnswers = lose
}

func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	closed, loses := g.closed, g.losesAnswers
	g.mu.Unlock()
	if loses && r.URL.Path == laburnumdockv1connect.ControlServiceForwardProcedure {
		g.next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	if closed {
		// A silent partition: no answer comes until the client gives up.
		<-r.Context().Done()
		return
	}
	g.next.ServeHTTP(w, r)
}

func newCluster(t testing.TB, voters ...uint64) *cluster {
	return newClusterTuned(t, nil, voters...)
}

func newClusterTuned(t testing.TB, tune func(*Config), voters ...uint64) *cluster {
	c := &cluster{t: t, tune: tune, dirs: map[uint64]string{}, urls: map[uint64]string{}, replicas: map[uint64]*running{}}
	listeners := map[uint64]net.Listener{}
	for _, id := range voters {
		listeners[id] = c.listen(id, "127.0.0.1:0")
	}
	for _, id := range voters {
		c.dirs[id] = t.TempDir()
		require.NoError(t, InitCluster(c.config(id), voters))
	}
	for _, id := range voters {
		c.startOn(id, listeners[id])
	}
	t.Cleanup(c.stopAll)
	return c
}

func (c *cluster) listen(id uint64, address string) net.Listener {
	l, err := net.Listen("tcp", address)
	require.NoError(c.t, err)
	c.urls[id] = "http://" + l.Addr().String()
	return l
}

func (c *cluster) config(id uint64) Config {
	cfg := Config{ID: id, Cluster: "test", Peers: maps.Clone(c.urls), Dir: c.dirs[id], LeaderWait: generous}
	if c.tune != nil {
		c.tune(&cfg)
	}
	return cfg
}

// join adds a new replica that was never a member.
func (c *cluster) join(id uint64) *running {
	l := c.listen(id, "127.0.0.1:0")
	c.dirs[id] = c.t.TempDir()
	require.NoError(c.t, InitJoin(c.config(id)))
	return c.startOn(id, l)
}

// restart starts a stopped replica on its old folder and address.
func (c *cluster) restart(id uint64) *running { return c.startOn(id, c.relisten(id)) }

func (c *cluster) relisten(id uint64) net.Listener {
	var l net.Listener
	require.Eventually(c.t, func() bool {
		var err error
		l, err = net.Listen("tcp", c.urls[id][len("http://"):])
		return err == nil
	}, generous, 10*time.Millisecond)
	return l
}

func (c *cluster) startOn(id uint64, l net.Listener) *running {
	fs, err := wal.Dir(c.dirs[id])
	require.NoError(c.t, err)
	return c.startFS(id, l, fs)
}

func (c *cluster) startFS(id uint64, l net.Listener, fs wal.FS) *running {
	replica, err := OpenFS(c.config(id), fs)
	require.NoError(c.t, err)
	mux := http.NewServeMux()
	mux.Handle(replica.RaftHandler())
	mux.Handle(laburnumdockv1connect.NewControlServiceHandler(&Service{Replica: replica}))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	g := &gate{next: mux}
	run := &running{Replica: replica, ended: make(chan error, 1), cut: g, server: &http.Server{Handler: g, Protocols: protocols}}
	ctx, cancel := context.WithCancelCause(context.Background())
	run.cancel = cancel
	go run.server.Serve(l)
	go func() { run.ended <- replica.Run(ctx) }()
	c.replicas[id] = run
	return run
}

// kill ends a replica as a crash does.
func (c *cluster) kill(id uint64) { c.end(id, ErrAbandon) }

// stop ends a replica gracefully.
func (c *cluster) stop(id uint64) { c.end(id, context.Canceled) }

func (c *cluster) end(id uint64, cause error) {
	run := c.replicas[id]
	delete(c.replicas, id)
	c.endRun(run, cause)
}

func (c *cluster) endRun(run *running, cause error) {
	if errors.Is(cause, ErrAbandon) {
		run.server.Close()
	}
	run.cancel(cause)
	require.NoError(c.t, <-run.ended)
	run.server.Close()
}

func (c *cluster) stopAll() {
	for id := range maps.Clone(c.replicas) {
		c.kill(id)
	}
}

// leader waits until one replica leads and others follow it.
func (c *cluster) leader() *running {
	var found *running
	require.Eventually(c.t, func() bool {
		for _, run := range c.replicas {
			if run.IsLeader() {
				found = run
				return true
			}
		}
		return false
	}, generous, time.Millisecond)
	return found
}

func (c *cluster) follower() *running {
	lead := c.leader()
	for _, run := range c.replicas {
		if run != lead {
			return run
		}
	}
	c.t.Fatal("no follower")
	return nil
}

func putTeam(i int) state.Put {
	return state.Put{
		Origin:   state.Origin{Actor: "test", Source: "test"},
		Object:   &model.Team{Meta: model.Meta{Kind: model.KindTeam, Name: fmt.Sprintf("team-%d", i)}, Spec: model.TeamSpec{QuotaCores: i}},
		Expected: state.AnyVersion,
	}
}

func teamKey(i int) model.Key {
	return model.Key{Kind: model.KindTeam, Name: fmt.Sprintf("team-%d", i)}
}

func within(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), generous)
	t.Cleanup(cancel)
	return ctx
}

func (c *cluster) mustPut(run *running, i int) {
	res, err := run.Propose(within(c.t), putTeam(i))
	require.NoError(c.t, err)
	require.Nil(c.t, res.Err)
}

// resend proposes until the change is accepted, as a client does that resends
// a change whose outcome it did not learn.
func (c *cluster) resend(run *running, i int) {
	put := putTeam(i)
	put.Origin.ChangeID, put.Origin.IssuedAt = fmt.Sprintf("change-%d", i), time.Now()
	for ctx := within(c.t); ; {
		res, err := run.Propose(ctx, put)
		if err == nil {
			require.Nil(c.t, res.Err)
			return
		}
		require.Equal(c.t, fault.OutcomeUnknown, fault.KindOf(err))
		require.NoError(c.t, ctx.Err())
	}
}

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

// testTimeout is the timeout of waits that fail only if something never happens.
const testTimeout = 60 * time.Second

// cluster is a cluster of replicas in one process that communicate over loopback
// HTTP.
type cluster struct {
	t         testing.TB
	dirs      map[uint64]string
	urls      map[uint64]string
	replicas  map[uint64]*runningReplica
	configure func(*Config)
}

// runningReplica is a replica with its server, whose handler can inject faults.
type runningReplica struct {
	*Replica
	cancel context.CancelCauseFunc
	ended  chan error
	server *http.Server
	faults *faultyHandler
}

// faultyHandler is an HTTP handler that injects faults. While partitioned is set,
// requests get no response; while dropsResponses is set, forwarded changes are
// carried out but their responses are lost.
type faultyHandler struct {
	mu             sync.Mutex
	partitioned    bool
	dropsResponses bool
	handler        http.Handler
}

func (h *faultyHandler) setDropsResponses(drops bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropsResponses = drops
}

func (h *faultyHandler) setPartitioned(partitioned bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partitioned = partitioned
}

func (h *faultyHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	partitioned, dropsResponses := h.partitioned, h.dropsResponses
	h.mu.Unlock()
	if dropsResponses && r.URL.Path == laburnumdockv1connect.ControlServiceForwardProcedure {
		h.handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	if partitioned {
		// There is no response until the client gives up.
		<-r.Context().Done()
		return
	}
	h.handler.ServeHTTP(w, r)
}

func newCluster(t testing.TB, voters ...uint64) *cluster {
	return newClusterWithConfig(t, nil, voters...)
}

func newClusterWithConfig(t testing.TB, configure func(*Config), voters ...uint64) *cluster {
	c := &cluster{t: t, configure: configure, dirs: map[uint64]string{}, urls: map[uint64]string{}, replicas: map[uint64]*runningReplica{}}
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
	cfg := Config{ID: id, Cluster: "test", Peers: maps.Clone(c.urls), Dir: c.dirs[id], LeaderWait: testTimeout}
	if c.configure != nil {
		c.configure(&cfg)
	}
	return cfg
}

// join starts a replica with a new data directory that is not a member yet.
func (c *cluster) join(id uint64) *runningReplica {
	l := c.listen(id, "127.0.0.1:0")
	c.dirs[id] = c.t.TempDir()
	require.NoError(c.t, InitJoin(c.config(id)))
	return c.startOn(id, l)
}

// restart starts a stopped replica with its data directory and address.
func (c *cluster) restart(id uint64) *runningReplica { return c.startOn(id, c.relisten(id)) }

func (c *cluster) relisten(id uint64) net.Listener {
	var l net.Listener
	require.Eventually(c.t, func() bool {
		var err error
		l, err = net.Listen("tcp", c.urls[id][len("http://"):])
		return err == nil
	}, testTimeout, 10*time.Millisecond)
	return l
}

func (c *cluster) startOn(id uint64, l net.Listener) *runningReplica {
	fs, err := wal.Dir(c.dirs[id])
	require.NoError(c.t, err)
	return c.startFS(id, l, fs)
}

func (c *cluster) startFS(id uint64, l net.Listener, fs wal.FS) *runningReplica {
	replica, err := OpenFS(c.config(id), fs)
	require.NoError(c.t, err)
	mux := http.NewServeMux()
	mux.Handle(replica.RaftHandler())
	mux.Handle(laburnumdockv1connect.NewControlServiceHandler(&Service{Replica: replica}))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	faults := &faultyHandler{handler: mux}
	run := &runningReplica{Replica: replica, ended: make(chan error, 1), faults: faults, server: &http.Server{Handler: faults, Protocols: protocols}}
	ctx, cancel := context.WithCancelCause(context.Background())
	run.cancel = cancel
	go run.server.Serve(l)
	go func() { run.ended <- replica.Run(ctx) }()
	c.replicas[id] = run
	return run
}

// kill ends a replica immediately, like a crash.
func (c *cluster) kill(id uint64) { c.end(id, ErrAbandon) }

// stop ends a replica gracefully.
func (c *cluster) stop(id uint64) { c.end(id, context.Canceled) }

func (c *cluster) end(id uint64, cause error) {
	run := c.replicas[id]
	delete(c.replicas, id)
	c.endRun(run, cause)
}

func (c *cluster) endRun(run *runningReplica, cause error) {
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

// leader waits until a replica is the leader and returns it.
func (c *cluster) leader() *runningReplica {
	var found *runningReplica
	require.Eventually(c.t, func() bool {
		for _, run := range c.replicas {
			if run.IsLeader() {
				found = run
				return true
			}
		}
		return false
	}, testTimeout, time.Millisecond)
	return found
}

// follower returns a replica that is not the leader.
func (c *cluster) follower() *runningReplica {
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

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func (c *cluster) mustPut(run *runningReplica, i int) {
	res, err := run.Propose(testContext(c.t), putTeam(i))
	require.NoError(c.t, err)
	require.Nil(c.t, res.Err)
}

// proposeUntilAccepted proposes a change until it is accepted, like a client that
// resends a change with the same change ID after an unknown outcome.
func (c *cluster) proposeUntilAccepted(run *runningReplica, i int) {
	put := putTeam(i)
	put.Origin.ChangeID, put.Origin.IssuedAt = fmt.Sprintf("change-%d", i), time.Now()
	for ctx := testContext(c.t); ; {
		res, err := run.Propose(ctx, put)
		if err == nil {
			require.Nil(c.t, res.Err)
			return
		}
		require.Equal(c.t, fault.OutcomeUnknown, fault.KindOf(err))
		require.NoError(c.t, ctx.Err())
	}
}

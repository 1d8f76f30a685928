package orders

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/logevent"
)

// generous bounds waits in tests that fail only when something never happens.
const generous = 30 * time.Second

// platform answers orders by itself. Orders to the address "silent" get no
// answer within their time.
type platform struct {
	mu     sync.Mutex
	orders []manager.Call
}

func (p *platform) Do(ctx context.Context, c manager.Call) manager.Outcome {
	p.mu.Lock()
	p.orders = append(p.orders, c)
	p.mu.Unlock()
	if c.Address == "silent" {
		<-ctx.Done()
		return manager.Outcome{Verdict: manager.NoAnswer}
	}
	return manager.Outcome{
		Verdict: manager.OK, Clock: 42, StartedAt: 7,
		Running: []manager.RunningRow{{Task: c.Task, Run: c.Run, Saved: "saved", Percent: 3, Load: 4}},
		Ended:   []manager.EndedRow{{Number: 5, Task: c.Task, Run: c.Run, How: jobs.ResultFailed, Saved: "s"}},
	}
}

func (p *platform) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.orders)
}

// serve starts a replica that makes calls, and returns its URL and how to stop it.
func serve(t *testing.T, caller PlatformClient) (url string, stop func()) {
	stopping := make(chan struct{})
	mux := http.NewServeMux()
	mux.Handle(laburnumdockv1connect.NewOrderServiceHandler(&Service{Client: caller, Stopping: stopping}))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols.SetHTTP1(true)
	server.Start()
	stop = sync.OnceFunc(func() {
		close(stopping)
		server.Close()
	})
	t.Cleanup(stop)
	return server.URL, stop
}

// leader is a Spread with what came back.
type leader struct {
	*DistributedSender
	ctx    context.Context
	cancel context.CancelFunc
	own    *platform
	done   chan manager.Outcome
}

func newLeader(t *testing.T, urls ...string) *leader {
	l := &leader{own: &platform{}, done: make(chan manager.Outcome, 100)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.DistributedSender = NewDistributedSender(DistributedConfig{Local: NewLocalSender(l.own), ProxyURLs: func() []string { return urls }, MaxLocalExecutors: 1, Log: logevent.Discard()})
	t.Cleanup(func() {
		l.cancel()
		l.Wait()
	})
	return l
}

func (l *leader) carry(calls ...manager.Call) {
	l.Send(l.ctx, 2, calls, func(list []manager.Outcome) {
		for _, o := range list {
			l.done <- o
		}
	})
}

func (l *leader) next(t *testing.T) manager.Outcome {
	select {
	case o := <-l.done:
		return o
	case <-time.After(generous):
		t.Fatal("no outcome")
		return manager.Outcome{}
	}
}

func start(id uint64, address string) manager.Call {
	return manager.Call{
		ID: id, Kind: manager.CallStart, Timeout: 500 * time.Millisecond, Token: 9, Address: address, Instance: "i", Executor: 1,
		LeaseUntil: 1000, Task: jobs.TaskRef{Job: "0123456789abcdef", Step: 1, Index: 2}, Run: 3, Payload: "spec", Checkpoint: "c", Ticket: "t",
	}
}

// Guards against an order or an answer that loses something on its way through
// another replica.
func TestOrdersPassThroughAnotherReplica(t *testing.T) {
	far := &platform{}
	url, _ := serve(t, far)
	l := newLeader(t, url)
	call := start(1, "a")
	l.carry(call)
	o := l.next(t)
	require.False(t, o.SentAt.IsZero())
	require.False(t, o.AnsweredAt.Before(o.SentAt))
	want := (&platform{}).Do(l.ctx, call)
	want.ID, want.Kind, want.SentAt, want.AnsweredAt = 1, manager.CallStart, o.SentAt, o.AnsweredAt
	require.Equal(t, want, o)
	call.Executor = 0 // The number serves only to choose the replica.
	require.Equal(t, []manager.Call{call}, far.orders)
	require.Zero(t, l.own.count())
}

// Guards against orders for hosts and advice from another replica than the one
// that the platform knows as their sender.
func TestOtherOrdersStayLocal(t *testing.T) {
	far := &platform{}
	url, _ := serve(t, far)
	l := newLeader(t, url)
	l.carry(manager.Call{ID: 1, Kind: manager.CallMoveHost, Timeout: generous})
	require.Equal(t, manager.OK, l.next(t).Verdict)
	require.Zero(t, far.count())
}

// Guards against orders that have no outcome because the replica that had them
// is gone, and against one that is called not sent although it was.
func TestLostReplicaLeavesNoOrderWithoutOutcome(t *testing.T) {
	far := &platform{}
	url, stop := serve(t, far)
	l := newLeader(t, url)
	l.carry(start(1, "silent"))
	require.Eventually(t, func() bool { return far.count() == 1 }, generous, time.Millisecond)
	stop()
	require.Equal(t, manager.NoAnswer, l.next(t).Verdict)
	// The next ones are carried out by this process.
	l.carry(start(2, "a"))
	require.Equal(t, manager.OK, l.next(t).Verdict)
	require.Equal(t, 1, l.own.count())
}

// Guards against a replica that takes orders and answers none, for which the
// leader would wait without end.
func TestOverdueReplicaIsLeft(t *testing.T) {
	release := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) { <-release })
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	l := newLeader(t, server.URL)
	l.carry(start(1, "a"))
	require.Equal(t, manager.NoAnswer, l.next(t).Verdict)
	l.carry(start(2, "a"))
	require.Equal(t, manager.OK, l.next(t).Verdict)
}

// Guards against streams for a fleet that one process serves as well.
func TestSmallFleetIsLocal(t *testing.T) {
	far := &platform{}
	url, _ := serve(t, far)
	l := newLeader(t, url)
	l.cfg.MaxLocalExecutors = 2
	l.carry(start(1, "a"))
	require.Equal(t, manager.OK, l.next(t).Verdict)
	require.Zero(t, far.count())
}

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

// waitTimeout bounds waits in tests that fail only when something never happens.
const waitTimeout = 30 * time.Second

// fakePlatform is a PlatformClient with which every order succeeds, except that
// orders to the address "silent" get no answer within their timeout.
type fakePlatform struct {
	mu     sync.Mutex
	orders []manager.Call
}

func (p *fakePlatform) Do(ctx context.Context, c manager.Call) manager.Outcome {
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

func (p *fakePlatform) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.orders)
}

// startReplica starts the order service of a replica and returns its URL and a
// function that stops it.
func startReplica(t *testing.T, client PlatformClient) (url string, stop func()) {
	stopping := make(chan struct{})
	mux := http.NewServeMux()
	mux.Handle(laburnumdockv1connect.NewOrderServiceHandler(&Service{Client: client, Stopping: stopping}))
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

// fixture is a DistributedSender with its local platform and the outcomes that it
// delivered.
type fixture struct {
	*DistributedSender
	ctx      context.Context
	cancel   context.CancelFunc
	local    *fakePlatform
	outcomes chan manager.Outcome
}

func newFixture(t *testing.T, urls ...string) *fixture {
	f := &fixture{local: &fakePlatform{}, outcomes: make(chan manager.Outcome, 100)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.DistributedSender = NewDistributedSender(DistributedConfig{Local: NewLocalSender(f.local), ProxyURLs: func() []string { return urls }, MaxLocalExecutors: 1, Log: logevent.Discard()})
	t.Cleanup(func() {
		f.cancel()
		f.Wait()
	})
	return f
}

func (f *fixture) send(calls ...manager.Call) {
	f.Send(f.ctx, 2, calls, func(list []manager.Outcome) {
		for _, o := range list {
			f.outcomes <- o
		}
	})
}

func (f *fixture) next(t *testing.T) manager.Outcome {
	select {
	case o := <-f.outcomes:
		return o
	case <-time.After(waitTimeout):
		t.Fatal("no outcome")
		return manager.Outcome{}
	}
}

func startCall(id uint64, address string) manager.Call {
	return manager.Call{
		ID: id, Kind: manager.CallStart, Timeout: 500 * time.Millisecond, Token: 9, Address: address, Instance: "i", Executor: 1,
		LeaseUntil: 1000, Task: jobs.TaskRef{Job: "0123456789abcdef", Step: 1, Index: 2}, Run: 3, Payload: "spec", Checkpoint: "c", Ticket: "t",
	}
}

// Guards against fields of an order or an outcome that are lost on the way through
// another replica.
func TestOrdersAreSentThroughAnotherReplica(t *testing.T) {
	remote := &fakePlatform{}
	url, _ := startReplica(t, remote)
	f := newFixture(t, url)
	call := startCall(1, "a")
	f.send(call)
	o := f.next(t)
	require.False(t, o.SentAt.IsZero())
	require.False(t, o.AnsweredAt.Before(o.SentAt))
	want := (&fakePlatform{}).Do(f.ctx, call)
	want.ID, want.Kind, want.SentAt, want.AnsweredAt = 1, manager.CallStart, o.SentAt, o.AnsweredAt
	require.Equal(t, want, o)
	call.Executor = 0 // The number only selects the replica and is not sent to it.
	require.Equal(t, []manager.Call{call}, remote.orders)
	require.Zero(t, f.local.count())
}

// Guards against orders for hosts or advice that are sent by a replica other than
// the one that the platform knows as their sender.
func TestOrdersWithoutExecutorAreSentLocally(t *testing.T) {
	remote := &fakePlatform{}
	url, _ := startReplica(t, remote)
	f := newFixture(t, url)
	f.send(manager.Call{ID: 1, Kind: manager.CallMoveHost, Timeout: waitTimeout})
	require.Equal(t, manager.OK, f.next(t).Verdict)
	require.Zero(t, remote.count())
}

// Guards against orders that get no outcome because the replica that should send
// them has stopped, and against an order that is reported as not sent although it
// was sent.
func TestStoppedReplicaLeavesNoOrderWithoutOutcome(t *testing.T) {
	remote := &fakePlatform{}
	url, stop := startReplica(t, remote)
	f := newFixture(t, url)
	f.send(startCall(1, "silent"))
	require.Eventually(t, func() bool { return remote.count() == 1 }, waitTimeout, time.Millisecond)
	stop()
	require.Equal(t, manager.NoAnswer, f.next(t).Verdict)
	// This process sends the next order itself.
	f.send(startCall(2, "a"))
	require.Equal(t, manager.OK, f.next(t).Verdict)
	require.Equal(t, 1, f.local.count())
}

// Guards against a leader that waits forever for a replica that accepts orders and
// returns no outcomes.
func TestUnresponsiveReplicaIsSuspended(t *testing.T) {
	release := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) { <-release })
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	f := newFixture(t, server.URL)
	f.send(startCall(1, "a"))
	require.Equal(t, manager.NoAnswer, f.next(t).Verdict)
	f.send(startCall(2, "a"))
	require.Equal(t, manager.OK, f.next(t).Verdict)
}

// Guards against streams to other replicas while there are few enough executors
// for one process.
func TestFewExecutorsAreServedLocally(t *testing.T) {
	remote := &fakePlatform{}
	url, _ := startReplica(t, remote)
	f := newFixture(t, url)
	f.cfg.MaxLocalExecutors = 2
	f.send(startCall(1, "a"))
	require.Equal(t, manager.OK, f.next(t).Verdict)
	require.Zero(t, remote.count())
}

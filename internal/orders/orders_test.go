package orders

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/boottime"
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
	url, closeServer := startHandler(t, &Service{Client: client, Stopping: stopping})
	stop = sync.OnceFunc(func() {
		close(stopping)
		closeServer()
	})
	t.Cleanup(stop)
	return url, stop
}

// startHandler starts a server with an order service and returns its URL and a
// function that stops it.
func startHandler(t *testing.T, service laburnumdockv1connect.OrderServiceHandler) (url string, stop func()) {
	mux := http.NewServeMux()
	mux.Handle(laburnumdockv1connect.NewOrderServiceHandler(service))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols.SetHTTP1(true)
	server.Start()
	t.Cleanup(server.Close)
	return server.URL, server.Close
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
		ID: id, Kind: manager.CallStart, Timeout: 500 * time.Millisecond, SendUntil: boottime.Now() + waitTimeout, Token: 9, Address: address, Instance: "i", Executor: 1,
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
	require.Len(t, remote.orders, 1)
	// The end of the permission is on the replica's clock, which is the same here.
	require.LessOrEqual(t, remote.orders[0].SendUntil, call.SendUntil)
	require.Greater(t, remote.orders[0].SendUntil, call.SendUntil-time.Second)
	call.Executor, call.SendUntil = 0, remote.orders[0].SendUntil // The number only selects the replica and is not sent to it.
	require.Equal(t, []manager.Call{call}, remote.orders)
	require.Zero(t, f.local.count())
}

// Guards against orders for hosts or advice that are sent by a replica other than
// the one that the platform knows as their sender.
func TestOrdersWithoutExecutorAreSentLocally(t *testing.T) {
	remote := &fakePlatform{}
	url, _ := startReplica(t, remote)
	f := newFixture(t, url)
	f.send(manager.Call{ID: 1, Kind: manager.CallMoveHost, Timeout: waitTimeout, SendUntil: boottime.Now() + waitTimeout})
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

// silentReplica is an order service that reports its clock, if reportsClock is set,
// and returns no outcomes.
type silentReplica struct {
	laburnumdockv1connect.UnimplementedOrderServiceHandler
	reportsClock bool
	release      chan struct{}
}

func (s silentReplica) CarryOut(_ context.Context, stream *connect.BidiStream[pb.CarryOutRequest, pb.CarryOutResponse]) error {
	if s.reportsClock {
		if err := stream.Send(&pb.CarryOutResponse{ClockNs: int64(boottime.Now())}); err != nil {
			return err
		}
	}
	<-s.release
	return nil
}

// Guards against a leader that waits forever for a replica that accepts orders and
// returns no outcomes, or that does not report its clock. An order that waited for
// the clock was not sent.
func TestUnresponsiveReplicaIsSuspended(t *testing.T) {
	for reportsClock, verdict := range map[bool]manager.Verdict{true: manager.NoAnswer, false: manager.NotSent} {
		release := make(chan struct{})
		url, _ := startHandler(t, silentReplica{reportsClock: reportsClock, release: release})
		t.Cleanup(func() { close(release) })
		f := newFixture(t, url)
		call := startCall(1, "a")
		if !reportsClock {
			call.SendUntil = boottime.Now() + 400*time.Millisecond
		}
		f.send(call)
		require.Equal(t, verdict, f.next(t).Verdict)
		f.send(startCall(2, "a"))
		require.Equal(t, manager.OK, f.next(t).Verdict)
	}
}

// Guards against an order that is sent after the leader's permission has ended,
// because the process was suspended or the goroutine of the order was delayed after
// the leader checked its lease.
func TestOrderIsNotSentAfterPermission(t *testing.T) {
	f := newFixture(t)
	for _, kind := range []manager.CallKind{manager.CallMoveHost, manager.CallUpkeepHost, manager.CallStart} {
		for _, until := range []time.Duration{0, boottime.Now()} {
			f.send(manager.Call{ID: 1, Kind: kind, Timeout: waitTimeout, SendUntil: until})
			o := f.next(t)
			require.Equal(t, manager.NotPermitted, o.Verdict)
			require.Equal(t, kind, o.Kind)
			require.False(t, o.SentAt.IsZero())
		}
	}
	require.Zero(t, f.local.count())
}

// delayedLink forwards connections to a server. While it is held, what the client
// sends stays in the link, as it does in the socket buffer of a suspended replica.
type delayedLink struct {
	mu   sync.Mutex
	held chan struct{}
}

func (l *delayedLink) hold() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := make(chan struct{})
	l.held = held
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.held = nil
		close(held)
	}
}

func (l *delayedLink) Write(c net.Conn, data []byte) error {
	l.mu.Lock()
	held := l.held
	l.mu.Unlock()
	if held != nil {
		<-held
	}
	_, err := c.Write(data)
	return err
}

// start returns the URL of the link to the server at url.
func (l *delayedLink) start(t *testing.T, url string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			if err != nil {
				client.Close()
				return
			}
			go func() {
				_, _ = io.Copy(client, server)
				client.Close()
			}()
			go func() {
				defer server.Close()
				buffer := make([]byte, 1<<16)
				for {
					n, err := client.Read(buffer)
					if err != nil || l.Write(server, buffer[:n]) != nil {
						return
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against a replica that sends an order after the leader's permission has
// ended, because the replica was suspended and found the batch in its socket buffer.
func TestOrderDeliveredLateIsNotSent(t *testing.T) {
	remote := &fakePlatform{}
	url, _ := startReplica(t, remote)
	link := &delayedLink{}
	f := newFixture(t, link.start(t, url))
	f.send(startCall(1, "a"))
	require.Equal(t, manager.OK, f.next(t).Verdict)
	require.Equal(t, 1, remote.count())

	release := link.hold()
	call := startCall(2, "a")
	call.Timeout, call.SendUntil = waitTimeout, boottime.Now()+200*time.Millisecond
	f.send(call)
	time.Sleep(300 * time.Millisecond)
	release()
	require.Equal(t, manager.NotPermitted, f.next(t).Verdict)
	require.Equal(t, 1, remote.count())
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

// Guards against a stream with more orders than the process can bear, and against an order
// that is not sent although its outcome leaves that open.
func TestOrdersBeyondTheLimitAreNotSent(t *testing.T) {
	client := &fakePlatform{}
	url, _ := startReplica(t, client)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stream := laburnumdockv1connect.NewOrderServiceClient(&http.Client{Transport: transport}, url).CarryOut(ctx)
	order := func(id uint64) *pb.Order {
		return &pb.Order{Id: id, Address: "silent", TimeoutMs: waitTimeout.Milliseconds(), SendUntilNs: int64(boottime.Now() + waitTimeout)}
	}
	req := new(pb.CarryOutRequest)
	for id := range uint64(maxServiceOrders) {
		req.Orders = append(req.Orders, order(id+1))
	}
	require.NoError(t, stream.Send(req))
	require.NoError(t, stream.Send(&pb.CarryOutRequest{Orders: []*pb.Order{order(maxServiceOrders + 1)}}))
	for {
		resp, err := stream.Receive()
		require.NoError(t, err)
		if len(resp.GetOutcomes()) == 0 {
			continue
		}
		require.Len(t, resp.GetOutcomes(), 1)
		require.EqualValues(t, maxServiceOrders+1, resp.GetOutcomes()[0].GetId())
		require.EqualValues(t, manager.NotSent, resp.GetOutcomes()[0].GetVerdict())
		return
	}
}

// brokenReplica is an order service that breaks its stream. It counts the orders that
// it read.
type brokenReplica struct {
	laburnumdockv1connect.UnimplementedOrderServiceHandler
	breakStream func(r *brokenReplica, stream *connect.BidiStream[pb.CarryOutRequest, pb.CarryOutResponse]) error
	orders      atomic.Int64
}

func (r *brokenReplica) CarryOut(_ context.Context, stream *connect.BidiStream[pb.CarryOutRequest, pb.CarryOutResponse]) error {
	return r.breakStream(r, stream)
}

// receive reports the clock and reads one batch of orders.
func (r *brokenReplica) receive(stream *connect.BidiStream[pb.CarryOutRequest, pb.CarryOutResponse]) (uint64, error) {
	if err := stream.Send(&pb.CarryOutResponse{ClockNs: int64(boottime.Now())}); err != nil {
		return 0, err
	}
	req, err := stream.Receive()
	if err != nil {
		return 0, err
	}
	r.orders.Add(int64(len(req.GetOrders())))
	return req.GetOrders()[0].GetId(), nil
}

// Guards against an order that is sent again, or reported as not sent, after the
// stream to a replica broke, and against a result that is taken from a broken
// outcome. An order that the replica never got is not sent.
func TestBrokenStreams(t *testing.T) {
	type stream = *connect.BidiStream[pb.CarryOutRequest, pb.CarryOutResponse]
	for name, c := range map[string]struct {
		breakStream func(r *brokenReplica, s stream) error
		verdict     manager.Verdict
		orders      int64
	}{
		"reset at once": {func(*brokenReplica, stream) error { panic(http.ErrAbortHandler) }, manager.NotSent, 0},
		"refused at once": {func(*brokenReplica, stream) error {
			return connect.NewError(connect.CodeUnavailable, errOverdue)
		}, manager.NotSent, 0},
		"reset with an order": {func(r *brokenReplica, s stream) error {
			_, err := r.receive(s)
			if err != nil {
				return err
			}
			panic(http.ErrAbortHandler)
		}, manager.NoAnswer, 1},
		"ended with an order": {func(r *brokenReplica, s stream) error {
			_, err := r.receive(s)
			return err
		}, manager.NoAnswer, 1},
		"malformed outcome": {func(r *brokenReplica, s stream) error {
			id, err := r.receive(s)
			if err != nil {
				return err
			}
			rows := []*pb.RunningTask{{Task: "nonsense"}}
			return s.Send(&pb.CarryOutResponse{Outcomes: []*pb.OrderOutcome{{Id: id, Verdict: uint32(manager.OK), Running: rows}}})
		}, manager.NoAnswer, 1},
	} {
		t.Run(name, func(t *testing.T) {
			replica := &brokenReplica{breakStream: c.breakStream}
			url, _ := startHandler(t, replica)
			f := newFixture(t, url)
			f.send(startCall(1, "a"))
			require.Equal(t, c.verdict, f.next(t).Verdict)
			require.Equal(t, c.orders, replica.orders.Load())
			require.Zero(t, f.local.count())
		})
	}
}

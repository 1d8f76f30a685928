package lead

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/logevent"
)

// leaseEnd is the end of the leader's lease in the tests.
const leaseEnd = time.Hour

// harness queues the events of a leader for the test, which acts as the control
// loop.
type harness struct {
	leader  *Leader
	records *jobs.State
	events  chan any
	sent    []manager.Call
}

// successSender is an OrderSender with which every order succeeds. It records the
// orders.
type successSender struct{ sent *[]manager.Call }

func (s successSender) Send(_ context.Context, _ int, calls []manager.Call, deliver func([]manager.Outcome)) {
	*s.sent = append(*s.sent, calls...)
	for _, c := range calls {
		deliver([]manager.Outcome{{ID: c.ID, Kind: c.Kind, Verdict: manager.OK}})
	}
}

func (successSender) Wait() {}

func newHarness() *harness {
	h := &harness{records: jobs.New(), events: make(chan any, 100)}
	h.leader = New(Config{Sender: successSender{sent: &h.sent}, Log: logevent.Discard(), Post: func(event any) bool {
		h.events <- event
		return true
	}})
	return h
}

// handleNext handles one event and commits the commands that follow from it.
func (h *harness) handleNext() {
	h.leader.HandleEvent(<-h.events, time.Now())
	for _, c := range h.leader.Step(time.Now()) {
		h.leader.HandleApplied(c, h.records.Apply(c), time.Now())
	}
	h.leader.Step(time.Now())
	h.leader.Flush(time.Now(), leaseEnd)
}

func (h *harness) request(t *testing.T, q manager.Request) <-chan error {
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	go func() {
		defer cancel()
		_, err := h.leader.Request(ctx, q)
		done <- err
	}()
	return done
}

// Guards against a request that gets no reply on a replica that does not lead,
// and against one that is reported as refused when leadership ends, although it
// may still be committed.
func TestEveryRequestGetsReply(t *testing.T) {
	h := newHarness()
	config := manager.Request{Kind: manager.RequestConfigure, Config: &jobs.Config{Version: 1}}
	done := h.request(t, config)
	h.handleNextAsFollower()
	require.Equal(t, fault.NotLeader, fault.KindOf(<-done))

	h.leader.StartLeading(1, h.records, time.Now())
	done = h.request(t, config)
	h.handleNext()
	require.NoError(t, <-done)

	config.Config = &jobs.Config{Version: 2}
	done = h.request(t, config)
	h.leader.HandleEvent(<-h.events, time.Now())
	h.leader.StopLeading()
	require.Equal(t, fault.OutcomeUnknown, fault.KindOf(<-done))

	done = h.request(t, config)
	event, ok := (<-h.events).(interface{ Refuse(error) })
	require.True(t, ok)
	event.Refuse(fault.New(fault.Stopping, "x"))
	require.Equal(t, fault.NotLeader, fault.KindOf(<-done))
}

// Guards against a committed job that is reported as refused because leadership
// ended between the commit and the reply.
func TestCommittedRequestIsNotRefused(t *testing.T) {
	h := newHarness()
	require.Nil(t, h.records.Apply(jobs.Command{Configure: &jobs.Config{
		Version: 1, Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p"}}, Pools: []jobs.Pool{{Name: "p"}},
	}}))
	h.leader.StartLeading(1, h.records, time.Now())
	done := h.request(t, manager.Request{Kind: manager.RequestSubmit, Host: "h", Path: "/q/0123456789abcdef", Spec: &jobs.Spec{Steps: []jobs.Step{{Count: 1}}}})
	h.leader.HandleEvent(<-h.events, time.Now())
	for _, c := range h.leader.Step(time.Now()) {
		h.leader.HandleApplied(c, h.records.Apply(c), time.Now())
	}
	require.NotNil(t, h.records.Job("0123456789abcdef"))
	h.leader.StopLeading()
	require.Equal(t, fault.OutcomeUnknown, fault.KindOf(<-done))
}

// handleNextAsFollower handles one event of a replica that does not lead.
func (h *harness) handleNextAsFollower() { h.leader.HandleEvent(<-h.events, time.Now()) }

// Guards against an order that leaves without the end of the leader's permission, or
// with that of another time.
func TestOrdersCarryLeaseEnd(t *testing.T) {
	h := newHarness()
	require.Nil(t, h.records.Apply(jobs.Command{Configure: &jobs.Config{Version: 1, Pools: []jobs.Pool{{Name: "p"}}}}))
	h.leader.StartLeading(1, h.records, time.Now())
	require.True(t, h.leader.Report([]manager.Report{{ID: "i-1", StartedAt: 1, Sequence: 1, Host: "m-1", Pool: "p", Address: "a", Zone: "z", Clock: 1}}))
	h.handleNext()
	require.NotEmpty(t, h.sent)
	for _, c := range h.sent {
		require.Equal(t, leaseEnd, c.SendUntil, c.Kind)
	}
}

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

// loop hands the events of a leader to the test, which plays the control loop.
type loop struct {
	leader  *Leader
	records *jobs.State
	events  chan any
}

// answering is a platform on which every order succeeds.
type answering struct{}

func (answering) CarryOut(_ context.Context, _ int, calls []manager.Call, done func([]manager.Outcome)) {
	for _, c := range calls {
		done([]manager.Outcome{{ID: c.ID, Kind: c.Kind, Verdict: manager.OK}})
	}
}

func (answering) Wait() {}

func newLoop() *loop {
	l := &loop{records: jobs.New(), events: make(chan any, 100)}
	l.leader = New(Config{Sender: answering{}, Log: logevent.Discard(), Post: func(event any) bool {
		l.events <- event
		return true
	}})
	return l
}

// turn handles one event and commits what follows.
func (l *loop) turn() {
	l.leader.HandleEvent(<-l.events, time.Now())
	for _, c := range l.leader.Step(time.Now()) {
		l.leader.HandleApplied(c, l.records.Apply(c), time.Now())
	}
	l.leader.Step(time.Now())
	l.leader.Flush(time.Now())
}

func (l *loop) ask(t *testing.T, q manager.Request) <-chan error {
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	go func() {
		defer cancel()
		_, err := l.leader.Ask(ctx, q)
		done <- err
	}()
	return done
}

// Guards against a caller that waits for a replica that does not lead, or that
// takes the end of a leadership for a refusal although its request may be
// recorded yet.
func TestEveryRequestIsAnswered(t *testing.T) {
	l := newLoop()
	config := manager.Request{Kind: manager.RequestConfigure, Config: &jobs.Config{Version: 1}}
	done := l.ask(t, config)
	l.turn0()
	require.Equal(t, fault.NotLeader, fault.KindOf(<-done))

	l.leader.StartLeading(1, l.records, time.Now())
	done = l.ask(t, config)
	l.turn()
	require.NoError(t, <-done)

	config.Config = &jobs.Config{Version: 2}
	done = l.ask(t, config)
	l.leader.HandleEvent(<-l.events, time.Now())
	l.leader.StopLeading()
	require.Equal(t, fault.OutcomeUnknown, fault.KindOf(<-done))

	done = l.ask(t, config)
	event, ok := (<-l.events).(interface{ Refuse(error) })
	require.True(t, ok)
	event.Refuse(fault.New(fault.Stopping, "x"))
	require.Equal(t, fault.NotLeader, fault.KindOf(<-done))
}

// Guards against a job that is recorded and whose submitter is told that it had no
// effect, because leadership ended between the record and the reply.
func TestRecordedRequestIsNotRefused(t *testing.T) {
	l := newLoop()
	require.Nil(t, l.records.Apply(jobs.Command{Configure: &jobs.Config{
		Version: 1, Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p"}}, Pools: []jobs.Pool{{Name: "p"}},
	}}))
	l.leader.StartLeading(1, l.records, time.Now())
	done := l.ask(t, manager.Request{Kind: manager.RequestSubmit, Host: "h", Path: "/q/0123456789abcdef", Spec: &jobs.Spec{Steps: []jobs.Step{{Count: 1}}}})
	l.leader.HandleEvent(<-l.events, time.Now())
	for _, c := range l.leader.Step(time.Now()) {
		l.leader.HandleApplied(c, l.records.Apply(c), time.Now())
	}
	require.NotNil(t, l.records.Job("0123456789abcdef"))
	l.leader.StopLeading()
	require.Equal(t, fault.OutcomeUnknown, fault.KindOf(<-done))
}

// turn0 handles one event of a replica that does not lead.
func (l *loop) turn0() { l.leader.HandleEvent(<-l.events, time.Now()) }

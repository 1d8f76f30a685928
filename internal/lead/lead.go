// Package lead runs the decisions of package manager in the control loop of a
// replica. The loop's goroutine owns the manager; orders are carried out beside
// it, and their outcomes come back as events.
package lead

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/logevent"
)

// Carrier carries out orders beside the control loop.
type OrderSender interface {
	// CarryOut passes the outcomes to done, from any goroutine, until ctx ends.
	// It must not block. Executors is the number of executors in use.
	Send(ctx context.Context, executors int, calls []manager.Call, done func([]manager.Outcome))
	// Wait waits for the orders on their way, whose ctx must have ended.
	Wait()
}

// Config is what a leader needs.
type Config struct {
	Manager manager.Config
	Sender OrderSender
	// Post queues an event for the control loop.
	Post    func(event any) bool
	Metrics metrics.Registry
	Log     *logevent.Logger
}

// Leader implements control.Resident. Its fields belong to the control loop but
// for those under mu. Invariants: mgr is nil unless this replica leads; every
// request is answered once.
type Leader struct {
	cfg    Config
	mgr    *manager.Manager
	term   uint64
	out    manager.Output
	ctx    context.Context
	cancel context.CancelFunc

	// waiting are the requests without a reply, by the ID that the manager
	// knows.
	waiting map[uint64]chan<- manager.Reply
	lastID  uint64
	meters  *meters
}

// New returns a leader that does not lead yet.
func New(cfg Config) *Leader {
	return &Leader{cfg: cfg, waiting: map[uint64]chan<- manager.Reply{}, meters: newMeters(cfg.Metrics)}
}

// asked is the event of a request.
type asked struct {
	request manager.Request
	reply   chan<- manager.Reply
}

// Refuse tells the sender that the replica takes no part any more.
func (a asked) Refuse(error) { close(a.reply) }

// heard is the event of reports.
type heard struct{ reports []manager.Report }

// answered is the event of some outcomes.
type answered struct {
	term     uint64
	outcomes []manager.Outcome
}

// Ask passes a request to the leader. It returns not_leader if this replica does
// not lead, and outcome_unknown if leadership was lost before the request was
// recorded.
func (l *Leader) Ask(ctx context.Context, q manager.Request) (manager.Reply, error) {
	reply := make(chan manager.Reply, 1)
	if !l.cfg.Post(asked{request: q, reply: reply}) {
		return manager.Reply{}, fault.New(fault.Stopping, "the replica has stopped")
	}
	select {
	case r, ok := <-reply:
		if !ok {
			return manager.Reply{}, fault.New(fault.NotLeader, "this replica does not lead")
		}
		if r.Kind == manager.ReplyOutcomeUnknown {
			return manager.Reply{}, fault.New(fault.OutcomeUnknown, "leadership ended before the request was recorded")
		}
		return r, nil
	case <-ctx.Done():
		return manager.Reply{}, fault.New(fault.OutcomeUnknown, "no answer was seen in time")
	}
}

// Hear passes reports to the leader. Another replica drops them.
func (l *Leader) Report(reports []manager.Report) bool {
	return l.cfg.Post(heard{reports: reports})
}

// Lead implements control.Resident.
func (l *Leader) StartLeading(term uint64, records *jobs.State, now time.Time) {
	l.term = term
	l.mgr = manager.New(l.cfg.Manager, records, term, now)
	l.out = manager.Output{}
	l.ctx, l.cancel = context.WithCancel(context.Background())
}

// Resign implements control.Resident.
func (l *Leader) StopLeading() {
	if l.mgr == nil {
		return
	}
	l.cancel()
	// A reply that has not gone out may rest on what a newer leader has changed,
	// and a request without one may be recorded yet.
	for id := range l.waiting {
		l.answer(manager.Reply{ID: id, Kind: manager.ReplyOutcomeUnknown})
	}
	l.mgr, l.out = nil, manager.Output{}
}

// Take implements control.Resident.
func (l *Leader) HandleEvent(event any, now time.Time) {
	switch e := event.(type) {
	case asked:
		if l.mgr == nil {
			close(e.reply)
			return
		}
		l.lastID++
		e.request.ID = l.lastID
		l.waiting[l.lastID] = e.reply
		l.mgr.HandleRequest(e.request, now)
	case heard:
		if l.mgr == nil {
			return
		}
		for _, r := range e.reports {
			l.mgr.HandleReport(r, now)
		}
	case answered:
		for _, o := range e.outcomes {
			l.meters.call(o)
			if l.mgr != nil && e.term == l.term {
				l.mgr.HandleOutcome(o, now)
			}
		}
	}
}

// Applied implements control.Resident.
func (l *Leader) HandleApplied(cmd jobs.Command, err *fault.Error, now time.Time) {
	l.mgr.HandleApplied(cmd, err, now)
}

// Step implements control.Resident.
func (l *Leader) Step(now time.Time) []jobs.Command {
	out := l.mgr.Step(now)
	l.out.Calls = append(l.out.Calls, out.Calls...)
	l.out.Replies = append(l.out.Replies, out.Replies...)
	l.out.Events = append(l.out.Events, out.Events...)
	return out.Commands
}

// Flush implements control.Resident.
func (l *Leader) Flush(time.Time) {
	for _, r := range l.out.Replies {
		l.answer(r)
	}
	if len(l.out.Calls) > 0 {
		l.carryOut(l.out.Calls)
		l.out.Calls = nil
	}
	for _, n := range l.out.Events {
		l.log(n)
	}
	l.out.Replies, l.out.Events = l.out.Replies[:0], l.out.Events[:0]
}

func (l *Leader) answer(r manager.Reply) {
	if reply, ok := l.waiting[r.ID]; ok {
		delete(l.waiting, r.ID)
		reply <- r
	}
}

// carryOut sends orders beside the loop.
func (l *Leader) carryOut(calls []manager.Call) {
	term := l.term
	l.cfg.Sender.Send(l.ctx, l.mgr.Executors(), calls, func(list []manager.Outcome) {
		if len(list) > 0 {
			l.cfg.Post(answered{term: term, outcomes: list})
		}
	})
}

// Wait waits for the orders on their way; the replica must have stopped.
func (l *Leader) Wait() { l.cfg.Sender.Wait() }

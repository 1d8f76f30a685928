// Package lead runs the job manager in the control loop of a replica. The loop's
// goroutine owns the manager; other goroutines send its orders, and their
// outcomes come back as events.
package lead

import (
	"context"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"laburnumdock/internal/core/decision"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/logevent"
)

// OrderSender sends orders outside the control loop.
type OrderSender interface {
	// Send sends the calls and passes their outcomes to deliver, from any
	// goroutine, until ctx ends. It must not block. executors is the number of
	// executors in use.
	Send(ctx context.Context, executors int, calls []manager.Call, deliver func([]manager.Outcome))
	// Wait waits until no order is in flight. The ctx of all orders must have
	// ended.
	Wait()
}

// Config holds the settings and dependencies of a Leader.
type Config struct {
	Manager manager.Config
	Sender  OrderSender
	// Formats asks the members of the cell which formats they read. It must return soon
	// after ctx ends. Any goroutine may call it.
	Formats func(ctx context.Context) []manager.MemberFormat
	// Post queues an event for the control loop. It returns false once the
	// replica has stopped.
	Post    func(event any) bool
	Metrics metrics.Registry
	Log     *logevent.Logger
}

// Leader implements control.JobManager. The control loop owns all fields except
// cfg, which does not change after New. Invariants: manager is nil unless this
// replica leads; every request gets exactly one reply.
type Leader struct {
	cfg     Config
	manager *manager.Manager
	term    uint64
	output  manager.Output
	ctx     context.Context
	cancel  context.CancelFunc

	// pending holds the reply channels of the requests without a reply, by the
	// request ID that the manager uses.
	pending       map[uint64]chan<- manager.Reply
	lastRequestID uint64
	metrics       *orderMetrics
	// queries are the questions to the members in flight.
	queries     sync.WaitGroup
	refusedKeys *refusedKeys
	refusedJobs *logevent.Limited
	tenants     tenantMetrics
}

// New returns a Leader whose replica does not lead yet.
func New(cfg Config) *Leader {
	orders := newOrderMetrics(cfg.Metrics)
	return &Leader{
		cfg: cfg, pending: map[uint64]chan<- manager.Reply{}, metrics: orders, tenants: tenantMetrics{registry: orders.registry},
		refusedKeys: newRefusedKeys(cfg.Metrics), refusedJobs: cfg.Log.Limited(logevent.JobRefused),
	}
}

// requestEvent passes a request to the control loop.
type requestEvent struct {
	request manager.Request
	reply   chan<- manager.Reply
}

// Refuse rejects the request because the replica has failed or is stopping.
func (e requestEvent) Refuse(error) { close(e.reply) }

// explainEvent asks the control loop to explain where a job would go.
type explainEvent struct {
	request manager.Request
	reply   chan<- explainReply
}

type explainReply struct {
	explanation *decision.Explanation
	err         error
}

// Refuse rejects the request because the replica has failed or is stopping.
func (e explainEvent) Refuse(err error) { e.reply <- explainReply{err: err} }

// reportEvent passes executors' reports to the control loop.
type reportEvent struct{ reports []manager.Report }

// outcomeEvent passes the outcomes of orders that were sent in a term to the
// control loop.
type outcomeEvent struct {
	term     uint64
	outcomes []manager.Outcome
}

// formatsEvent passes the answers to a question of a term to the control loop.
type formatsEvent struct {
	term    uint64
	query   uint64
	members []manager.MemberFormat
}

// Request passes a request to the manager and waits for the reply. It returns
// not_leader if this replica does not lead, and outcome_unknown if leadership
// ended or ctx expired before the reply.
func (l *Leader) Request(ctx context.Context, q manager.Request) (manager.Reply, error) {
	reply := make(chan manager.Reply, 1)
	if !l.cfg.Post(requestEvent{request: q, reply: reply}) {
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

// Explain returns where the job that a request names would go now, and why. It changes
// nothing. It returns not_leader if this replica does not lead.
func (l *Leader) Explain(ctx context.Context, q manager.Request) (*decision.Explanation, error) {
	reply := make(chan explainReply, 1)
	if !l.cfg.Post(explainEvent{request: q, reply: reply}) {
		return nil, fault.New(fault.Stopping, "the replica has stopped")
	}
	select {
	case r := <-reply:
		return r.explanation, r.err
	case <-ctx.Done():
		return nil, fault.New(fault.Unavailable, "no answer was seen in time")
	}
}

// Report passes reports to the manager. A replica that does not lead drops them.
// Report returns false once the replica has stopped.
func (l *Leader) Report(reports []manager.Report) bool {
	return l.cfg.Post(reportEvent{reports: reports})
}

// StartLeading creates the manager for a term from the committed records. It
// implements control.JobManager, as do the methods below up to Flush.
func (l *Leader) StartLeading(term uint64, records *jobs.State, now time.Time) {
	l.term = term
	l.manager = manager.New(l.cfg.Manager, records, term, now)
	l.output = manager.Output{}
	l.ctx, l.cancel = context.WithCancel(context.Background())
}

// StopLeading cancels the orders in flight, replies to every pending request that
// its outcome is unknown, and drops the manager. It does nothing if this replica
// does not lead.
func (l *Leader) StopLeading() {
	if l.manager == nil {
		return
	}
	l.cancel()
	// A reply that was not sent may depend on state that a newer leader has
	// changed, and a request without a reply may still be committed.
	for id := range l.pending {
		l.sendReply(manager.Reply{ID: id, Kind: manager.ReplyOutcomeUnknown})
	}
	l.manager, l.output = nil, manager.Output{}
	l.tenants.set(nil)
}

// HandleEvent passes requests, reports and outcomes to the manager. If this replica
// does not lead, it refuses requests and drops reports. Every outcome is recorded in
// the metrics, but only outcomes of orders of the current term reach the manager.
func (l *Leader) HandleEvent(event any, now time.Time) {
	switch e := event.(type) {
	case requestEvent:
		if l.manager == nil {
			close(e.reply)
			return
		}
		l.lastRequestID++
		e.request.ID = l.lastRequestID
		l.pending[l.lastRequestID] = e.reply
		l.manager.HandleRequest(e.request, now)
	case explainEvent:
		e.reply <- l.explain(e.request, now)
	case reportEvent:
		if l.manager == nil {
			return
		}
		for _, r := range e.reports {
			l.manager.HandleReport(r, now)
		}
	case formatsEvent:
		if l.manager != nil && e.term == l.term {
			l.manager.HandleFormats(e.query, e.members, now)
		}
	case outcomeEvent:
		for _, o := range e.outcomes {
			l.metrics.record(o)
			if l.manager != nil && e.term == l.term {
				l.manager.HandleOutcome(o, now)
			}
		}
	}
}

func (l *Leader) explain(q manager.Request, now time.Time) explainReply {
	if l.manager == nil {
		return explainReply{err: fault.New(fault.NotLeader, "this replica does not lead")}
	}
	explanation, err := l.manager.Explain(q, now)
	if err != nil {
		return explainReply{err: err}
	}
	return explainReply{explanation: explanation}
}

// HandleApplied tells the manager that a command was applied, or with which error it
// was refused.
func (l *Leader) HandleApplied(cmd jobs.Command, err *fault.Error, now time.Time) {
	l.manager.HandleApplied(cmd, err, now)
}

// Step runs one step of the manager and returns the commands to propose. The calls,
// replies and events of the step are kept until Flush.
func (l *Leader) Step(now time.Time) []jobs.Command {
	out := l.manager.Step(now)
	l.tenants.updateIfDue(l.manager.TenantUsages, now)
	l.output.Calls = append(l.output.Calls, out.Calls...)
	l.output.Replies = append(l.output.Replies, out.Replies...)
	l.output.Events = append(l.output.Events, out.Events...)
	for _, t := range out.StepTimes {
		l.metrics.recordStep(t)
	}
	if out.FormatQuery != nil {
		l.output.FormatQuery = out.FormatQuery
	}
	return out.Commands
}

// Flush sends the kept replies and orders and logs the kept events. The orders are
// not sent after leaseEnd.
func (l *Leader) Flush(_ time.Time, leaseEnd time.Duration) {
	for _, r := range l.output.Replies {
		l.sendReply(r)
	}
	if len(l.output.Calls) > 0 {
		for i := range l.output.Calls {
			l.output.Calls[i].SendUntil = leaseEnd
		}
		l.sendOrders(l.output.Calls)
		l.output.Calls = nil
	}
	if l.output.FormatQuery != nil {
		l.askFormats(*l.output.FormatQuery)
		l.output.FormatQuery = nil
	}
	for _, e := range l.output.Events {
		if e.Kind == manager.EventJobOverload {
			l.metrics.recordRefusal(e)
		}
		l.log(e)
	}
	l.output.Replies, l.output.Events = l.output.Replies[:0], l.output.Events[:0]
}

func (l *Leader) sendReply(r manager.Reply) {
	if reply, ok := l.pending[r.ID]; ok {
		delete(l.pending, r.ID)
		reply <- r
	}
}

// sendOrders starts sending orders outside the control loop.
func (l *Leader) sendOrders(calls []manager.Call) {
	term := l.term
	l.cfg.Sender.Send(l.ctx, l.manager.Executors(), calls, func(list []manager.Outcome) {
		if len(list) > 0 {
			l.cfg.Post(outcomeEvent{term: term, outcomes: list})
		}
	})
}

// askFormats asks the members outside the control loop.
func (l *Leader) askFormats(q manager.FormatQuery) {
	ctx, term := l.ctx, l.term
	l.queries.Go(func() {
		l.cfg.Post(formatsEvent{term: term, query: q.ID, members: l.cfg.Formats(ctx)})
	})
}

// Wait waits until no order and no question is in flight. The replica must have stopped.
func (l *Leader) Wait() {
	l.cfg.Sender.Wait()
	l.queries.Wait()
}

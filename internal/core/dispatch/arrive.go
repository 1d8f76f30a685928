package dispatch

import (
	"strconv"
	"strings"
	"time"

	"laburnumdock/internal/core/admit"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/outcome"
	"laburnumdock/internal/core/route"
)

// arrive admits a request or refuses it. Nothing was sent yet, so a refusal
// proves that it did not run, but for an expired request ID, of which an
// earlier try may have run.
func (d *Dispatcher) arrive(now time.Time, at time.Duration, q Request) {
	deadline := maxDuration
	if !q.Deadline.IsZero() {
		deadline = q.Deadline.Sub(d.base)
	}
	if !q.Repeatable {
		expiry, err := checkID(now, q.RequestID)
		if err != nil {
			ran := fault.RanNo
			if err.Kind == fault.RequestIDExpired {
				ran = fault.RanUnknown
			}
			d.refusal(q.ID, ran, err)
			return
		}
		// The record ends with the ID, so the attempts end with it too.
		deadline = min(deadline, expiry.Sub(d.base))
	}
	s := d.table.Service(q.Service)
	if err := d.closed(at, q, s); err != nil {
		d.refusal(q.ID, fault.RanNo, err)
		return
	}
	r := &request{Request: q, id: q.ID, arrived: at, deadline: deadline, line: d.line(at, s), verdict: outcome.OfAttempt(false, outcome.ReplyNone)}
	d.classify(r)
	if err := d.unreachable(at, r, s); err != nil {
		d.refusal(q.ID, fault.RanNo, err)
		return
	}
	if !q.Repeatable {
		d.begin(r)
		return
	}
	d.requests[r.id] = r
	d.enqueue(at, r)
}

// closed tells why nothing of the service is admitted.
func (d *Dispatcher) closed(at time.Duration, q Request, s *route.Service) *fault.Error {
	switch {
	case d.stopping:
		return fault.New(fault.Stopping, "this entry host is stopping")
	case s == nil || !s.HasRoutable(at):
		return fault.New(fault.NoEndpoint, "service %s has no endpoint", q.Service)
	case len(d.requests) >= maxOpen:
		return fault.New(fault.Overloaded, "%d requests are open", maxOpen)
	}
	return nil
}

// classify sets what is expected of the request.
func (d *Dispatcher) classify(r *request) {
	r.class = route.ClassOf(route.Key{Service: r.Service, WorkKind: r.WorkKind, Caller: r.Caller, SizeBytes: r.SizeBytes})
	r.expect = d.table.RunTimes.Estimate(r.class)
	lane := admit.NormalShort
	if d.cfg.Placement == route.SplitLearned {
		lane = admit.LaneOf(r.Urgent, r.expect.Long)
	}
	r.item = admit.Item{ID: r.id, Caller: r.Caller, Lane: lane, Deadline: r.deadline, Cost: r.expect.Median}
	if r.expect.Known {
		r.item.RequiredTime = r.expect.Median
	}
}

// unreachable refuses a request whose deadline would pass in the queue: the
// expected work ahead of it is served by the slots that this entry host has.
func (d *Dispatcher) unreachable(at time.Duration, r *request, s *route.Service) *fault.Error {
	wait := time.Duration(0)
	if r.line.queue.Len() > 0 {
		slots := s.InFlight()
		if !r.item.Lane.Long() && d.cfg.Placement == route.SplitLearned {
			slots -= s.LongInFlight()
		}
		wait = r.line.queue.CostAhead(r.item.Lane) / time.Duration(max(slots, 1))
	}
	if at+wait+r.item.RequiredTime < r.deadline {
		return nil
	}
	return fault.New(fault.DeadlineUnreachable, "expected wait %s and run time %s exceed the deadline", wait, r.item.RequiredTime)
}

func (d *Dispatcher) line(at time.Duration, s *route.Service) *line {
	l := d.lines[s.Name]
	if l == nil {
		l = &line{service: s.Name, queue: admit.New(d.cfg.QueueLimit)}
		if d.cfg.Placement != route.SplitLearned {
			l.queue = admit.NewFIFO(d.cfg.QueueLimit)
		}
		d.lines[s.Name] = l
		d.order = append(d.order, l)
		d.table.ObserveDemand(s, at, 0)
	}
	return l
}

// begin asks for the record before which nothing may be sent.
func (d *Dispatcher) begin(r *request) {
	if r.line.queue.Len()+r.line.held >= d.cfg.QueueLimit {
		d.refusal(r.id, fault.RanNo, overloaded(r))
		return
	}
	d.requests[r.id] = r
	r.line.held++
	r.phase = RecordBegin
	d.recording.add(r)
	d.emit(Record{ID: r.id, Phase: RecordBegin})
}

func overloaded(r *request) *fault.Error {
	return fault.New(fault.Overloaded, "the queue of service %s is full", r.Service)
}

// enqueue lets an open request wait for its first attempt.
func (d *Dispatcher) enqueue(at time.Duration, r *request) {
	if out := r.line.queue.Push(&r.item); out != nil {
		o := d.requests[out.ID]
		d.end(o, Answer{ID: o.id, Attempt: o.attempt, Err: overloaded(o), Ran: o.verdict.Ran})
	}
	d.pump(at, r.line)
}

// checkID parses the request ID of a request that must not be repeated:
// "<expiry in Unix milliseconds>.<unique part>".
func checkID(now time.Time, id string) (time.Time, *fault.Error) {
	const limit = "<expiry in Unix milliseconds>.<unique part>, expiry at most 10 minutes ahead"
	head, unique, ok := strings.Cut(id, ".")
	ms, err := strconv.ParseInt(head, 10, 64)
	if !ok || err != nil || unique == "" || ms < 0 {
		return time.Time{}, fault.InvalidField("Idempotency-Key", limit, "value is %q", id)
	}
	expiry := time.UnixMilli(ms)
	if ms > now.Add(maxIDLifetime).UnixMilli() {
		return time.Time{}, fault.InvalidField("Idempotency-Key", limit, "expiry is %s", expiry.UTC().Format(time.RFC3339))
	}
	if !expiry.After(now) {
		return time.Time{}, fault.New(fault.RequestIDExpired, "the request ID expired at %s", expiry.UTC().Format(time.RFC3339))
	}
	// The wall clock decides about the ID; the rest is monotonic.
	return now.Add(time.Duration(ms-now.UnixMilli()) * time.Millisecond), nil
}

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

// handleArrived admits a request or refuses it. Nothing was sent yet, so a
// refusal proves that the request did not run, except if its request ID has
// expired: an earlier request with that ID may have run.
func (d *Dispatcher) handleArrived(now time.Time, at time.Duration, q Request) {
	deadline := noDeadline
	if !q.Deadline.IsZero() {
		deadline = q.Deadline.Sub(d.base)
	}
	if !q.Repeatable {
		expiry, err := parseRequestID(now, q.RequestID)
		if err != nil {
			ran := fault.RanNo
			if err.Kind == fault.RequestIDExpired {
				ran = fault.RanUnknown
			}
			d.refuse(q.ID, ran, err)
			return
		}
		// The record is kept until the ID expires, so no attempt may outlast the ID.
		deadline = min(deadline, expiry.Sub(d.base))
	}
	s := d.table.Service(q.Service)
	if err := d.checkAdmission(at, q, s); err != nil {
		d.refuse(q.ID, fault.RanNo, err)
		return
	}
	r := &request{Request: q, id: q.ID, arrived: at, deadline: deadline, backlog: d.backlogFor(at, s), verdict: outcome.OfAttempt(false, outcome.ReplyNone)}
	d.classify(r)
	if err := d.checkDeadline(at, r, s); err != nil {
		d.refuse(q.ID, fault.RanNo, err)
		return
	}
	if !q.Repeatable {
		d.recordBegin(r)
		return
	}
	d.requests[r.id] = r
	d.enqueue(at, r)
}

// checkAdmission returns the reason why no request of the service is admitted, or
// nil.
func (d *Dispatcher) checkAdmission(at time.Duration, q Request, s *route.Service) *fault.Error {
	switch {
	case d.stopping:
		return fault.New(fault.Stopping, "this entry host is stopping")
	case s == nil || !s.HasRoutable(at):
		return fault.New(fault.NoEndpoint, "service %s has no endpoint", q.Service)
	case len(d.requests) >= maxOpenRequests:
		return fault.New(fault.Overloaded, "%d requests are open", maxOpenRequests)
	}
	return nil
}

// classify estimates the run time of a request and sets its queue item.
func (d *Dispatcher) classify(r *request) {
	r.class = route.ClassOf(route.Key{Service: r.Service, WorkKind: r.WorkKind, Caller: r.Caller, SizeBytes: r.SizeBytes})
	r.estimate = d.table.RunTimes.Estimate(r.class)
	lane := admit.NormalShort
	if d.cfg.Placement == route.SplitLearned {
		lane = admit.LaneOf(r.Urgent, r.estimate.Long)
	}
	r.item = admit.Item{ID: r.id, Caller: r.Caller, Lane: lane, Deadline: r.deadline, Cost: r.estimate.Median}
	if r.estimate.Known {
		r.item.RequiredTime = r.estimate.Median
	}
}

// checkDeadline returns an error if the deadline of the request is expected to
// pass before it finishes.
func (d *Dispatcher) checkDeadline(at time.Duration, r *request, s *route.Service) *fault.Error {
	wait := d.expectedWait(r, s)
	if at+wait+r.item.RequiredTime < r.deadline {
		return nil
	}
	return fault.New(fault.DeadlineUnreachable, "expected wait %s and run time %s exceed the deadline", wait, r.item.RequiredTime)
}

// expectedWait returns the time until the first attempt of a request. The queued work
// ahead of it is assumed to run on the slots that this entry host uses now.
func (d *Dispatcher) expectedWait(r *request, s *route.Service) time.Duration {
	if r.backlog.queue.Len() == 0 {
		return 0
	}
	slots := s.InFlight()
	if !r.item.Lane.Long() && d.cfg.Placement == route.SplitLearned {
		slots -= s.LongInFlight()
	}
	return r.backlog.queue.CostAhead(r.item.Lane) / time.Duration(max(slots, 1))
}

// backlogFor returns the backlog of a service, which it adds if it is missing.
func (d *Dispatcher) backlogFor(at time.Duration, s *route.Service) *backlog {
	b := d.backlogs[s.Name]
	if b == nil {
		b = d.newBacklog(s)
		d.backlogs[s.Name] = b
		d.backlogOrder = append(d.backlogOrder, b)
		d.table.ObserveDemand(s, at, 0)
	}
	return b
}

// newBacklog returns an empty backlog.
func (d *Dispatcher) newBacklog(s *route.Service) *backlog {
	b := &backlog{service: s.Name, queue: admit.New(d.cfg.QueueLimit)}
	if d.cfg.Placement != route.SplitLearned {
		b.queue = admit.NewFIFO(d.cfg.QueueLimit)
	}
	return b
}

// recordBegin requests the begin record, before which no attempt may be sent.
func (d *Dispatcher) recordBegin(r *request) {
	if r.backlog.queue.Len()+r.backlog.recordingOrDelayed >= d.cfg.QueueLimit {
		d.refuse(r.id, fault.RanNo, overloadedError(r))
		return
	}
	d.requests[r.id] = r
	r.backlog.recordingOrDelayed++
	r.phase = RecordBegin
	d.recording.add(r)
	d.emit(Record{ID: r.id, Phase: RecordBegin})
}

func overloadedError(r *request) *fault.Error {
	return fault.New(fault.Overloaded, "the queue of service %s is full", r.Service)
}

// enqueue queues an open request for its first attempt.
func (d *Dispatcher) enqueue(at time.Duration, r *request) {
	if dropped := r.backlog.queue.Push(&r.item); dropped != nil {
		evicted := d.requests[dropped.ID]
		d.end(evicted, Answer{ID: evicted.id, Attempt: evicted.attempt, Err: overloadedError(evicted), Ran: evicted.verdict.Ran})
	}
	d.dispatchQueued(at, r.backlog)
}

// parseRequestID returns the expiry in the request ID of a request that must not
// be repeated: "<expiry in Unix milliseconds>.<unique part>".
func parseRequestID(now time.Time, id string) (time.Time, *fault.Error) {
	const format = "<expiry in Unix milliseconds>.<unique part>, expiry at most 10 minutes ahead"
	expiryText, unique, ok := strings.Cut(id, ".")
	ms, err := strconv.ParseInt(expiryText, 10, 64)
	if !ok || err != nil || unique == "" || ms < 0 {
		return time.Time{}, fault.InvalidField("Idempotency-Key", format, "value is %q", id)
	}
	expiry := time.UnixMilli(ms)
	if ms > now.Add(maxIDLifetime).UnixMilli() {
		return time.Time{}, fault.InvalidField("Idempotency-Key", format, "expiry is %s", expiry.UTC().Format(time.RFC3339))
	}
	if !expiry.After(now) {
		return time.Time{}, fault.New(fault.RequestIDExpired, "the request ID expired at %s", expiry.UTC().Format(time.RFC3339))
	}
	// The ID expires by the wall clock; the returned time keeps the monotonic
	// reading of now for the deadline.
	return now.Add(time.Duration(ms-now.UnixMilli()) * time.Millisecond), nil
}

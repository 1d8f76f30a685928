package dispatch

import (
	"time"

	"laburnumdock/internal/core/admit"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/outcome"
	"laburnumdock/internal/core/retry"
)

// verdictOf maps the shell's report of an attempt to what it proves.
func verdictOf(o AttemptOutcome) outcome.Verdict {
	switch o {
	case AttemptAnswered:
		return outcome.OfAttempt(true, outcome.ReplyWhole)
	case AttemptNotSent:
		return outcome.OfAttempt(false, outcome.ReplyNone)
	case AttemptRefused:
		return outcome.OfAttempt(true, outcome.ReplyRefused)
	case AttemptLost, AttemptSilent:
	}
	return outcome.OfAttempt(true, outcome.ReplyNone)
}

// finish takes the end of an attempt. An attempt that is not the running one
// was ended before, so that its report changes nothing.
func (d *Dispatcher) finish(at time.Duration, e AttemptFinished) {
	r := d.requests[e.ID]
	if r == nil || r.attempt != e.Attempt || !d.running.has(r) {
		return
	}
	d.running.remove(r)
	d.table.EndAttempt(r.endpoint, r.long)
	if e.HasSlotsInUse {
		d.table.RecordSlotsInUse(r.endpoint, e.SlotsInUse, at)
	}
	r.verdict = outcome.Combine(r.verdict, verdictOf(e.Outcome))
	r.detail = e.Detail
	d.judge(at, r, e)
	switch {
	case e.Outcome == AttemptAnswered:
		d.end(r, Answer{ID: r.id, Attempt: r.attempt, Ran: fault.RanYes})
	case r.answered:
		d.end(r, Answer{})
	case e.Outcome == AttemptRefused:
		d.refused(at, r)
	case d.mayRetry(at, r):
		r.avoid = r.endpoint
		d.delay(r, at+d.budget.Delay(r.attempt+1))
	default:
		d.fail(r)
	}
	d.pump(at, r.line)
}

// judge learns from the end of an attempt.
func (d *Dispatcher) judge(at time.Duration, r *request, e AttemptFinished) {
	switch e.Outcome {
	case AttemptAnswered:
		if e.ServerError {
			d.table.RecordFailure(r.endpoint, at)
			return
		}
		d.table.RecordSuccess(r.endpoint, at)
		d.table.RunTimes.Learn(r.class, e.RunTime)
		d.budget.RecordSuccess()
	case AttemptRefused:
		d.table.RecordRefusal(r.endpoint, at)
	case AttemptNotSent:
		d.table.RecordFailure(r.endpoint, at)
	case AttemptLost:
		switch {
		case r.suspected:
			// It was held against the endpoint while it ran.
		case r.aborted:
			d.table.RecordSuspectedFailure(r.endpoint, r.started, at)
		default:
			d.table.RecordFailure(r.endpoint, at)
		}
	case AttemptSilent:
		// The connection is at fault, not the endpoint.
	}
}

// refused lets a request wait again after an endpoint had no free slot. A
// further attempt takes a token that successes feed, so that endpoints that
// refuse everything get no storm; without a token it waits for one.
func (d *Dispatcher) refused(at time.Duration, r *request) {
	if d.budget.TakeAfterRefusal() {
		r.line.queue.Requeue(&r.item)
		return
	}
	d.delay(r, at+d.budget.Delay(r.attempt+1))
}

// mayRetry decides on another attempt after a failure and takes its token.
func (d *Dispatcher) mayRetry(at time.Duration, r *request) bool {
	r.failures++
	s := d.table.Service(r.Service)
	switch {
	case !r.Repeatable && !r.verdict.Retryable:
		return false
	case r.failures >= retry.MaxAttempts || s == nil:
		return false
	case at+r.item.RequiredTime >= r.deadline || !d.table.HasAlternative(s, at, r.endpoint):
		return false
	}
	if !d.budget.Take() {
		return false
	}
	r.paid = true
	return true
}

// delay holds a request back until due.
func (d *Dispatcher) delay(r *request, due time.Duration) {
	r.due = due
	r.line.held++
	d.delayed.push(r)
}

// resume lets a delayed request wait for a slot, if its attempt is paid for.
func (d *Dispatcher) resume(at time.Duration, r *request) {
	r.line.held--
	if at >= r.deadline {
		d.expired(r)
		return
	}
	if !r.paid && !d.budget.TakeAfterRefusal() {
		d.delay(r, at+d.budget.Delay(retry.MaxAttempts))
		return
	}
	r.paid = false
	r.line.queue.Requeue(&r.item)
	d.pump(at, r.line)
}

// fail ends a request whose last attempt failed.
func (d *Dispatcher) fail(r *request) {
	kind := fault.OutcomeUnknown
	if r.verdict.Ran == fault.RanNo {
		kind = fault.EndpointFailed
	}
	d.end(r, Answer{ID: r.id, Attempt: r.attempt, Ran: r.verdict.Ran, Err: fault.New(kind, "endpoint %s: %s", r.endpoint.Name, r.detail)})
}

// expired ends a request that does not run and cannot meet its deadline.
func (d *Dispatcher) expired(r *request) { d.end(r, d.lateAnswer(r)) }

// lateAnswer is what a request past its deadline may be told.
func (d *Dispatcher) lateAnswer(r *request) Answer {
	a := Answer{ID: r.id, Attempt: r.attempt, Ran: r.verdict.Ran}
	switch {
	case d.running.has(r):
		a.Ran = fault.RanUnknown
		a.Err = fault.New(fault.DeadlineExceeded, "endpoint %s did not answer within the deadline", r.endpoint.Name)
	case r.verdict.Ran == fault.RanNo:
		a.Err = fault.New(fault.DeadlineUnreachable, "the deadline passed in the queue of service %s", r.Service)
	default:
		a.Err = fault.New(fault.DeadlineExceeded, "no attempt succeeded within the deadline")
	}
	return a
}

// end ends a request that is in no place any more. A request that has begun is
// recorded first, and answered when the record is taken or has failed.
func (d *Dispatcher) end(r *request, a Answer) {
	if !r.begun {
		d.answer(r, a)
		delete(d.requests, r.id)
		return
	}
	r.pending = a
	r.phase = phaseOf(r.verdict.Phase)
	r.line.held++
	d.recording.add(r)
	d.emit(Record{ID: r.id, Attempt: r.attempt, Phase: r.phase})
}

func phaseOf(p outcome.Phase) RecordPhase {
	switch p {
	case outcome.PhaseFinished:
		return RecordFinished
	case outcome.PhaseDidNotRun:
		return RecordDidNotRun
	case outcome.PhaseUnknown:
	}
	return RecordUnknown
}

// answer gives the one answer of a request.
func (d *Dispatcher) answer(r *request, a Answer) {
	if r.answered {
		return
	}
	r.answered = true
	d.emit(a)
}

// recorded takes the answer of the control replicas.
func (d *Dispatcher) recorded(at time.Duration, e Recorded) {
	r := d.requests[e.ID]
	if r == nil || !d.recording.has(r) || r.phase != e.Phase {
		return
	}
	d.recording.remove(r)
	r.line.held--
	switch {
	case e.Phase != RecordBegin:
		// If the write failed, the record stays begun and later turns unknown;
		// the answer is whole all the same.
		d.answer(r, r.pending)
		delete(d.requests, r.id)
	case e.Err != nil || e.KnownPhase != 0:
		d.answer(r, knownAnswer(r, e))
		delete(d.requests, r.id)
	default:
		d.begun(at, r)
	}
	d.pump(at, r.line)
}

// begun lets a request wait for a slot after its begin was recorded.
func (d *Dispatcher) begun(at time.Duration, r *request) {
	r.begun = true
	if r.answered || at+r.item.RequiredTime >= r.deadline {
		d.expired(r)
		return
	}
	d.enqueue(at, r)
}

// knownAnswer is the answer after a begin that was refused.
func knownAnswer(r *request, e Recorded) Answer {
	a := Answer{ID: r.id, Err: e.Err, Ran: fault.RanNo}
	if e.Err != nil && e.Err.Kind == fault.RequestIDExpired {
		// An earlier try under the ID may have run and be forgotten.
		a.Ran = fault.RanUnknown
	}
	if e.KnownPhase == 0 || e.Err != nil && e.Err.Kind == fault.RequestIDReused {
		return a
	}
	phase := outcome.PhaseUnknown
	switch e.KnownPhase {
	case RecordFinished:
		phase = outcome.PhaseFinished
	case RecordDidNotRun:
		phase = outcome.PhaseDidNotRun
	case RecordBegin, RecordUnknown:
	}
	fromRecord, kind, ran := outcome.OfKnownRequest(e.KnownPhase == RecordBegin, phase)
	a.FromRecord = fromRecord
	a.Ran = ran
	a.Err = nil
	if !fromRecord {
		a.Err = fault.New(kind, "request %s was begun before", r.RequestID)
	}
	return a
}

// gone ends a request whose caller no longer waits. An attempt of a request
// that must not be repeated goes on, so that its outcome is recorded.
func (d *Dispatcher) gone(at time.Duration, id uint64) {
	r := d.requests[id]
	if r == nil {
		return
	}
	r.answered = true
	switch {
	case d.running.has(r):
		if r.Repeatable {
			d.abort(r)
		}
	case d.recording.has(r):
		// Recorded ends it.
	default:
		d.unhold(r)
		d.end(r, Answer{})
		d.pump(at, r.line)
	}
}

// unhold takes a request out of the queue or the delayed requests.
func (d *Dispatcher) unhold(r *request) {
	if d.delayed.remove(r) {
		r.line.held--
		return
	}
	r.line.queue.Remove(&r.item)
}

func (d *Dispatcher) abort(r *request) {
	if r.aborted {
		return
	}
	r.aborted = true
	d.emit(Abort{ID: r.id, Attempt: r.attempt})
}

// expireRequests answers the requests whose deadline has passed.
func (d *Dispatcher) expireRequests(at time.Duration) {
	for _, l := range d.order {
		l.queue.Overdue(at, func(it *admit.Item) {
			l.queue.Remove(it)
			d.expired(d.requests[it.ID])
		})
	}
	for _, r := range d.running.list {
		if at >= r.deadline {
			d.answer(r, d.lateAnswer(r))
			d.abort(r)
		}
	}
	for _, r := range d.recording.list {
		if at < r.deadline {
			continue
		}
		if r.phase == RecordBegin {
			d.answer(r, d.lateAnswer(r))
		} else {
			d.answer(r, r.pending)
		}
	}
	for _, r := range d.delayed.late(at) {
		d.unhold(r)
		d.expired(r)
	}
}

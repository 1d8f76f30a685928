package dispatch

import (
	"time"

	"laburnumdock/internal/core/admit"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/outcome"
	"laburnumdock/internal/core/retry"
)

// verdictOf returns what the outcome of an attempt proves.
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

// handleAttemptFinished handles the end of an attempt. It ignores a report of an
// attempt that is not running, because its end was handled before.
func (d *Dispatcher) handleAttemptFinished(at time.Duration, e AttemptFinished) {
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
	d.recordOutcome(at, r, e)
	switch {
	case e.Outcome == AttemptAnswered:
		d.end(r, Answer{ID: r.id, Attempt: r.attempt, Ran: fault.RanYes})
	case r.answered:
		d.end(r, Answer{})
	case e.Outcome == AttemptRefused:
		d.retryRefused(at, r)
	case d.takeRetry(at, r):
		r.avoid = r.endpoint
		d.delay(r, at+d.budget.Delay(r.attempt+1))
	default:
		d.fail(r)
	}
	d.dispatchQueued(at, r.backlog)
}

// recordOutcome updates the health of the endpoint, the learned run times and the
// retry budget by the end of an attempt.
func (d *Dispatcher) recordOutcome(at time.Duration, r *request, e AttemptFinished) {
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
			// The failure was recorded while the attempt ran.
		case r.aborted:
			d.table.RecordSuspectedFailure(r.endpoint, r.started, at)
		default:
			d.table.RecordFailure(r.endpoint, at)
		}
	case AttemptSilent:
		// The connection is at fault, not the endpoint.
	}
}

// retryRefused queues a request again after an endpoint had no free slot.
// Another attempt takes a token that successes refill, so that endpoints that
// refuse everything cause no retry storm; without a token the request is delayed.
func (d *Dispatcher) retryRefused(at time.Duration, r *request) {
	if d.budget.TakeAfterRefusal() {
		r.backlog.queue.Requeue(&r.item)
		return
	}
	d.delay(r, at+d.budget.Delay(r.attempt+1))
}

// takeRetry reports whether a request may have another attempt after a failure,
// and takes a token of the retry budget for it.
func (d *Dispatcher) takeRetry(at time.Duration, r *request) bool {
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
	r.tokenTaken = true
	return true
}

// delay holds a request back until the given time.
func (d *Dispatcher) delay(r *request, due time.Duration) {
	r.due = due
	r.backlog.recordingOrDelayed++
	d.delayed.push(r)
}

// resume queues a delayed request again if a token is available for its attempt,
// and delays it further if not.
func (d *Dispatcher) resume(at time.Duration, r *request) {
	r.backlog.recordingOrDelayed--
	if at >= r.deadline {
		d.expire(r)
		return
	}
	if !r.tokenTaken && !d.budget.TakeAfterRefusal() {
		d.delay(r, at+d.budget.Delay(retry.MaxAttempts))
		return
	}
	r.tokenTaken = false
	r.backlog.queue.Requeue(&r.item)
	d.dispatchQueued(at, r.backlog)
}

// fail ends a request whose last attempt failed.
func (d *Dispatcher) fail(r *request) {
	kind := fault.OutcomeUnknown
	if r.verdict.Ran == fault.RanNo {
		kind = fault.EndpointFailed
	}
	d.end(r, Answer{ID: r.id, Attempt: r.attempt, Ran: r.verdict.Ran, Err: fault.New(kind, "endpoint %s: %s", r.endpoint.Name, r.detail)})
}

// expire ends a request that is not running and cannot meet its deadline.
func (d *Dispatcher) expire(r *request) { d.end(r, d.deadlineAnswer(r)) }

// deadlineAnswer returns the answer to a request that cannot meet its deadline.
func (d *Dispatcher) deadlineAnswer(r *request) Answer {
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

// end ends a request that was removed from the queue, running, recording and
// delayed. If its begin is recorded, the end is recorded too, and the answer is
// given when that has succeeded or failed.
func (d *Dispatcher) end(r *request, a Answer) {
	if !r.begun {
		d.answer(r, a)
		delete(d.requests, r.id)
		return
	}
	r.pendingAnswer = a
	r.phase = recordPhaseOf(r.verdict.Phase)
	r.backlog.recordingOrDelayed++
	d.recording.add(r)
	d.emit(Record{ID: r.id, Attempt: r.attempt, Phase: r.phase})
}

func recordPhaseOf(p outcome.Phase) RecordPhase {
	switch p {
	case outcome.PhaseFinished:
		return RecordFinished
	case outcome.PhaseDidNotRun:
		return RecordDidNotRun
	case outcome.PhaseUnknown:
	}
	return RecordUnknown
}

// answer emits the answer to a request unless it is already answered.
func (d *Dispatcher) answer(r *request, a Answer) {
	if r.answered {
		return
	}
	r.answered = true
	d.emit(a)
}

// handleRecorded handles the answer of the control replicas to a Record.
func (d *Dispatcher) handleRecorded(at time.Duration, e Recorded) {
	r := d.requests[e.ID]
	if r == nil || !d.recording.has(r) || r.phase != e.Phase {
		return
	}
	d.recording.remove(r)
	r.backlog.recordingOrDelayed--
	switch {
	case e.Phase != RecordBegin:
		// If the write failed, the record stays in the begin phase and later becomes
		// unknown; the answer of the endpoint is still complete.
		d.answer(r, r.pendingAnswer)
		delete(d.requests, r.id)
	case e.Err != nil || e.KnownPhase != 0:
		d.answer(r, refusedBeginAnswer(r, e))
		delete(d.requests, r.id)
	default:
		d.enqueueBegun(at, r)
	}
	d.dispatchQueued(at, r.backlog)
}

// enqueueBegun queues a request after its begin was recorded, or ends it if it is
// answered or cannot meet its deadline.
func (d *Dispatcher) enqueueBegun(at time.Duration, r *request) {
	r.begun = true
	if r.answered || at+r.item.RequiredTime >= r.deadline {
		d.expire(r)
		return
	}
	d.enqueue(at, r)
}

// refusedBeginAnswer returns the answer to a request whose begin was refused.
func refusedBeginAnswer(r *request, e Recorded) Answer {
	a := Answer{ID: r.id, Err: e.Err, Ran: fault.RanNo}
	if e.Err != nil && e.Err.Kind == fault.RequestIDExpired {
		// An earlier request with this ID may have run, and its record is deleted.
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

// handleCallerGone ends a request whose caller no longer waits. A running attempt
// of a request that must not be repeated continues, so that its outcome is
// recorded.
func (d *Dispatcher) handleCallerGone(at time.Duration, id uint64) {
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
		// The Recorded event ends the request.
	default:
		d.dequeue(r)
		d.end(r, Answer{})
		d.dispatchQueued(at, r.backlog)
	}
}

// dequeue removes a request from the queue or the delayed requests.
func (d *Dispatcher) dequeue(r *request) {
	if d.delayed.remove(r) {
		r.backlog.recordingOrDelayed--
		return
	}
	r.backlog.queue.Remove(&r.item)
}

// abort asks to cancel the running attempt of a request, once.
func (d *Dispatcher) abort(r *request) {
	if r.aborted {
		return
	}
	r.aborted = true
	d.emit(Abort{ID: r.id, Attempt: r.attempt})
}

// expireRequests ends or answers the requests whose deadline has passed. Running
// attempts are aborted.
func (d *Dispatcher) expireRequests(at time.Duration) {
	for _, b := range d.backlogOrder {
		b.queue.Overdue(at, func(it *admit.Item) {
			b.queue.Remove(it)
			d.expire(d.requests[it.ID])
		})
	}
	for _, r := range d.running.list {
		if at >= r.deadline {
			d.answer(r, d.deadlineAnswer(r))
			d.abort(r)
		}
	}
	for _, r := range d.recording.list {
		if at < r.deadline {
			continue
		}
		if r.phase == RecordBegin {
			d.answer(r, d.deadlineAnswer(r))
		} else {
			d.answer(r, r.pendingAnswer)
		}
	}
	for _, r := range d.delayed.overdue(at) {
		d.dequeue(r)
		d.expire(r)
	}
}

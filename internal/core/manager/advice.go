package manager

import (
	"cmp"
	"slices"
	"time"

	"laburnumdock/internal/core/jobs"
)

const (
	// maxAdviceCandidates is the number of executors named in one call. The
	// platform's objective for a job assumes calls of about this size.
	maxAdviceCandidates = 30
	// maxPendingAdvice bounds the unanswered calls. The advisor handles one call of
	// this leader at a time: while it handles one, the next one travels. More would
	// wait there, in an order that cannot be changed any more.
	maxPendingAdvice = 2
	// adviceRetryInterval is the time until a call is repeated after a refusal or
	// without an answer, and until an expired ticket is renewed. It doubles with each
	// failure in a row.
	adviceRetryInterval = 300 * time.Millisecond
	// maxAdviceBackoff is the number of times it doubles.
	maxAdviceBackoff = 3
	// denialInterval is the time after which the advisor is asked again about an
	// executor that it did not allow. Its decision does not change, so this is only for
	// a wrong answer.
	denialInterval = 10 * time.Second
	// adviceMargin is the time before the end of its validity at which a ticket is no
	// longer used, a quarter of the validity at most. Recording and ordering a start
	// takes less.
	adviceMargin = 200 * time.Millisecond
	// maxAdvisorSlowness bounds the factor by which the advisor is expected to exceed
	// its configured times. It also bounds the wait for an answer that was lost.
	maxAdvisorSlowness = 16
)

// stepKey identifies a step of an occurrence within a job.
type stepKey struct{ occurrence, step int }

func stepKeyOf(ref jobs.TaskRef) stepKey { return stepKey{ref.Occurrence, ref.Step} }

// ticket is the advisor's permission to start tasks of a step on an executor.
type ticket struct {
	value      string
	validUntil time.Time
}

// advice is what the advisor has answered for one step.
type advice struct {
	// tickets holds the newest ticket of each allowed executor by its ID, and
	// answeredAt when the advisor last decided on an executor, allowed or not.
	tickets    map[string]ticket
	answeredAt map[string]time.Time
	pending    bool
	// failures counts the calls in a row that brought no decision.
	failures    int
	nextRequest time.Time
}

// validTicket returns the ticket for an executor, or "".
func (a *advice) validTicket(executor string, now time.Time) string {
	if a == nil {
		return ""
	}
	if t := a.tickets[executor]; now.Before(t.validUntil) {
		return t.value
	}
	return ""
}

// advisor is the leader's view of the advisor. It handles the calls of a leader one at a
// time, also those that the leader has given up.
type advisor struct {
	// pending is the number of calls without an outcome.
	pending int
	// busyUntil is when the advisor is expected to have handled all calls made so far,
	// including those that were given up.
	busyUntil time.Time
	// slowness is the factor by which an answer may exceed its expected time before the
	// call is given up. It doubles with each call without an answer, so that calls
	// succeed whatever the advisor's pace, and follows the measured times otherwise.
	slowness float64
	// failures counts the calls in a row without an answer, and nextCall is the
	// earliest time for the next call after one of them.
	failures int
	nextCall time.Time
}

// mayCall reports whether a call may be made now. After a failure one call at a time
// finds out whether the advisor answers.
func (a *advisor) mayCall(now time.Time) bool {
	limit := maxPendingAdvice
	if a.failures > 0 {
		limit = 1
	}
	return a.pending < limit && !now.Before(a.nextCall)
}

// adviceCall is a call to the advisor, which handles it within handling once its turn
// has come, and is expected to answer within expected. It is given up after timeout.
type adviceCall struct {
	advice                      *advice
	job                         *job
	candidates                  []string
	handling, expected, timeout time.Duration
}

// begin notes a call and sets its expected time and its timeout.
func (a *advisor) begin(c *adviceCall, now time.Time) {
	a.pending++
	if a.busyUntil.Before(now) {
		a.busyUntil = now
	}
	a.busyUntil = a.busyUntil.Add(c.handling)
	c.expected = a.busyUntil.Sub(now)
	c.timeout = time.Duration(max(a.slowness, 1)*float64(c.expected)) + callTimeout
}

// end notes the outcome of a call and reports whether the advisor has just fallen
// silent.
func (a *advisor) end(v Verdict, c adviceCall, took time.Duration, now time.Time) bool {
	a.pending--
	switch v {
	case NoAnswer, Unhealthy:
		if took >= c.timeout {
			// The advisor may still be working on it.
			if a.busyUntil.Before(now) {
				a.busyUntil = now
			}
			a.busyUntil = a.busyUntil.Add(c.handling)
			a.slowness = min(2*max(a.slowness, 1), maxAdvisorSlowness)
		}
		a.failures++
		a.nextCall = now.Add(backoff(a.failures))
		return a.failures == 1
	case NotSent, NotPermitted:
		a.nextCall = now.Add(adviceRetryInterval)
	default:
		// Twice the measured time leaves room for variation.
		a.slowness = min(max(2*float64(took)/float64(max(c.expected, time.Millisecond)), 1), maxAdvisorSlowness)
		a.failures = 0
	}
	if a.pending == 0 {
		a.busyUntil = now
	}
	return false
}

// backoff returns the time until a call is repeated after a number of failures.
func backoff(failures int) time.Duration {
	return adviceRetryInterval << min(max(failures-1, 0), maxAdviceBackoff)
}

// requestAdvice asks the advisor about further executors for a step with waiting tasks,
// if there are any that could run one now.
func (p *pass) requestAdvice(j *job, key stepKey) {
	a := j.advice[key]
	if a == nil {
		a = &advice{tickets: map[string]ticket{}, answeredAt: map[string]time.Time{}}
		if j.advice == nil {
			j.advice = map[stepKey]*advice{}
		}
		j.advice[key] = a
	}
	if a.pending || p.now.Before(a.nextRequest) || !p.m.advisor.mayCall(p.now) {
		return
	}
	candidates := p.adviceCandidates(a, &j.rec.Spec.Steps[key.step])
	if len(candidates) == 0 {
		return
	}
	name := jobs.TaskRef{Job: j.rec.ID, Occurrence: key.occurrence, Step: key.step}.StepName()
	q := j.queue.Advisor
	handling := time.Duration(q.PerCall+q.PerExecutor*int64(len(candidates))) * time.Millisecond
	c := adviceCall{advice: a, job: j, candidates: candidates, handling: handling}
	p.m.advisor.begin(&c, p.now)
	a.pending = true
	p.m.call(Call{Kind: CallAdvise, Timeout: c.timeout, Step: name, Candidates: candidates}, pendingCall{advice: &c}, p.now)
}

// adviceCandidates returns the IDs of the executors to ask about next: of those that
// could run a task of the step now and have no valid ticket, the ones whose ticket has
// expired, else the ones that the advisor has not decided on yet, so that each executor
// has its turn. Those that it has not allowed come last.
func (p *pass) adviceCandidates(a *advice, step *jobs.Step) []string {
	var expired, unknown, denied []*session
	for _, s := range p.schedulable {
		if !s.rec.HasLabel(step.Label) || !s.free().Fits(step.Allocation()) || a.validTicket(s.rec.ID, p.now) != "" {
			continue
		}
		_, isAllowed := a.tickets[s.rec.ID]
		answeredAt, isKnown := a.answeredAt[s.rec.ID]
		switch age := p.now.Sub(answeredAt); {
		case !isKnown:
			unknown = append(unknown, s)
		case isAllowed && age >= adviceRetryInterval:
			expired = append(expired, s)
		case !isAllowed && age >= denialInterval:
			denied = append(denied, s)
		}
	}
	list := expired
	if len(list) == 0 {
		list = unknown
	}
	if len(list) == 0 {
		list = denied
	}
	slices.SortStableFunc(list, func(a, b *session) int { return cmp.Compare(b.free().CPU, a.free().CPU) })
	list = list[:min(len(list), maxAdviceCandidates)]
	ids := make([]string, len(list))
	for i, s := range list {
		ids[i] = s.rec.ID
	}
	return ids
}

// adviceAnswered processes the answer of the advisor.
func (m *Manager) adviceAnswered(pending pendingCall, o Outcome, now time.Time) {
	c, took := pending.advice, now.Sub(pending.sentAt)
	if m.advisor.end(o.Verdict, *c, took, now) {
		m.logEvent(Event{Kind: EventAdvisorSilent, Job: c.job.rec.ID, Pool: c.job.pool.name, Reason: o.Verdict.String(), Age: took})
	}
	a := c.advice
	a.pending = false
	c.job.pool.requestPass()
	if o.Verdict != OK {
		a.failures++
		a.nextRequest = now.Add(backoff(a.failures))
		return
	}
	a.failures = 0
	for _, id := range c.candidates {
		a.answeredAt[id] = now
	}
	validUntil := o.AnsweredAt.Add(o.ValidFor - min(adviceMargin, o.ValidFor/4))
	for _, row := range o.Allowed {
		a.tickets[row.Executor] = ticket{value: row.Ticket, validUntil: validUntil}
	}
}

// ticket returns the advisor's ticket for a task on an executor, or "". It may have
// expired.
func (j *job) ticket(ref jobs.TaskRef, executor string) string {
	if a := j.advice[stepKeyOf(ref)]; a != nil {
		return a.tickets[executor].value
	}
	return ""
}

// dropTicket invalidates a ticket that the executor has refused.
func (j *job) dropTicket(ref jobs.TaskRef, executor string) {
	if a := j.advice[stepKeyOf(ref)]; a != nil {
		a.tickets[executor] = ticket{}
	}
}

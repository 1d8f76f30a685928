package manager

import (
	"slices"
	"time"

	"laburnumdock/internal/core/jobs"
)

const (
	// maxAdviceCandidates is the number of executors named in one call. The
	// platform's objective for a job assumes calls of about this size.
	maxAdviceCandidates = 30
	// maxPendingAdvice bounds the unanswered calls. The advisor handles one
	// call at a time, so more would only queue there.
	maxPendingAdvice = 8
	// adviceRetryInterval is the time until a call is repeated after a refusal
	// or without an answer.
	adviceRetryInterval = 300 * time.Millisecond
	// adviceMargin is the time before the end of its validity at which advice
	// is no longer used. Recording and ordering a start takes less.
	adviceMargin = 200 * time.Millisecond
)

// stepKey identifies a step of an occurrence within a job.
type stepKey struct{ occurrence, step int }

func stepKeyOf(ref jobs.TaskRef) stepKey { return stepKey{ref.Occurrence, ref.Step} }

// advice is the advisor's answer for one step.
type advice struct {
	// tickets maps executor IDs to tickets, which are valid until validUntil.
	tickets     map[string]string
	validUntil  time.Time
	pending     bool
	nextRequest time.Time
}

func (a *advice) isValid(now time.Time) bool {
	return a != nil && len(a.tickets) > 0 && now.Before(a.validUntil.Add(-adviceMargin))
}

// hasAdvice reports whether there is valid advice for a step, and requests it
// if not.
func (p *pass) hasAdvice(j *job, key stepKey) bool {
	a := j.advice[key]
	if a.isValid(p.now) {
		return true
	}
	if a == nil {
		a = &advice{}
		if j.advice == nil {
			j.advice = map[stepKey]*advice{}
		}
		j.advice[key] = a
	}
	if !a.pending && !p.now.Before(a.nextRequest) && p.m.pendingAdvice < maxPendingAdvice {
		p.requestAdvice(j, key, a)
	}
	return false
}

func (p *pass) requestAdvice(j *job, key stepKey, a *advice) {
	step := &j.rec.Spec.Steps[key.step]
	var candidates []*session
	for _, s := range p.schedulable {
		if s.rec.HasLabel(step.Label) {
			candidates = append(candidates, s)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *session) int { return int(b.free().CPU - a.free().CPU) })
	candidates = candidates[:min(len(candidates), maxAdviceCandidates)]
	if len(candidates) == 0 {
		return
	}
	ids := make([]string, len(candidates))
	for i, s := range candidates {
		ids[i] = s.rec.ID
	}
	name := jobs.TaskRef{Job: j.rec.ID, Occurrence: key.occurrence, Step: key.step}.StepName()
	q := j.queue.Advisor
	maxAdviceTime := time.Duration(q.PerCall+q.PerExecutor*int64(len(ids))*maxPendingAdvice) * time.Millisecond
	a.pending = true
	p.m.pendingAdvice++
	p.m.call(Call{Kind: CallAdvise, Timeout: maxAdviceTime + callTimeout, Step: name, Candidates: ids}, pendingCall{advice: a, job: j}, p.now)
}

// adviceAnswered processes the answer of the advisor.
func (m *Manager) adviceAnswered(pending pendingCall, o Outcome, now time.Time) {
	m.pendingAdvice--
	a := pending.advice
	a.pending = false
	pending.job.pool.requestPass()
	// Advice that is not valid for long must not keep the advisor busy either.
	a.nextRequest = now.Add(adviceRetryInterval)
	if o.Verdict != OK {
		return
	}
	a.tickets, a.validUntil = map[string]string{}, o.AnsweredAt.Add(o.ValidFor)
	for _, row := range o.Allowed {
		a.tickets[row.Executor] = row.Ticket
	}
}

// ticket returns the advisor's ticket for a task on an executor, or "".
func (j *job) ticket(ref jobs.TaskRef, executor string) string {
	if a := j.advice[stepKeyOf(ref)]; a != nil {
		return a.tickets[executor]
	}
	return ""
}

func (j *job) dropTicket(ref jobs.TaskRef, executor string) {
	if a := j.advice[stepKeyOf(ref)]; a != nil {
		delete(a.tickets, executor)
	}
}

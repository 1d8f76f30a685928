package manager

import (
	"slices"
	"time"

	"laburnumdock/internal/core/jobs"
)

const (
	// adviceCandidates is the number of executors that one call asks about. The
	// platform's objective for a job counts a call for about as many.
	maxAdviceCandidates = 30
	// maxAdviceCalls bounds the calls without an answer. The advisor handles one
	// at a time, so more would only wait there.
	maxPendingAdvice = 8
	// advicePause is the time until an advisor that refused or gave no answer is
	// asked again.
	adviceRetryInterval = 300 * time.Millisecond
	// adviceMargin is the time before its end at which advice is no longer used:
	// a start is recorded and ordered in less.
	adviceMargin = 200 * time.Millisecond
)

// stepPlace names a step of an occurrence within a job.
type stepKey struct{ occurrence, step int }

func stepKeyOf(ref jobs.TaskRef) stepKey { return stepKey{ref.Occurrence, ref.Step} }

// advice is what the advisor allows for one step.
type advice struct {
	// tickets are by the ID of the executor, valid until then.
	tickets     map[string]string
	validUntil  time.Time
	pending     bool
	nextRequest time.Time
}

func (a *advice) isValid(now time.Time) bool {
	return a != nil && len(a.tickets) > 0 && now.Before(a.validUntil.Add(-adviceMargin))
}

// hasAdvice tells whether there is advice for a step, and asks for it if not.
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
	took := time.Duration(q.PerCall+q.PerExecutor*int64(len(ids))*maxPendingAdvice) * time.Millisecond
	a.pending = true
	p.m.pendingAdvice++
	p.m.call(Call{Kind: CallAdvise, Timeout: took + callTimeout, Step: name, Candidates: ids}, pendingCall{advice: a, job: j}, p.now)
}

// advised takes the answer of the advisor.
func (m *Manager) adviceAnswered(pending pendingCall, o Outcome, now time.Time) {
	m.pendingAdvice--
	a := pending.advice
	a.pending = false
	pending.job.pool.requestPass()
	if o.Verdict != OK {
		a.nextRequest = now.Add(adviceRetryInterval)
		return
	}
	a.tickets, a.validUntil = map[string]string{}, o.AnsweredAt.Add(o.ValidFor)
	for _, row := range o.Allowed {
		a.tickets[row.Executor] = row.Ticket
	}
	if len(a.tickets) == 0 {
		a.nextRequest = now.Add(adviceRetryInterval)
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

package manager

import (
	"slices"
	"time"

	"laburnumdock/internal/core/jobs"
)

const (
	// adviceCandidates is the number of executors that one call asks about. The
	// platform's objective for a job counts a call for about as many.
	adviceCandidates = 30
	// maxAdviceCalls bounds the calls without an answer. The advisor handles one
	// at a time, so more would only wait there.
	maxAdviceCalls = 8
	// advicePause is the time until an advisor that refused or gave no answer is
	// asked again.
	advicePause = 300 * time.Millisecond
	// adviceMargin is the time before its end at which advice is no longer used:
	// a start is recorded and ordered in less.
	adviceMargin = 200 * time.Millisecond
)

// stepPlace names a step of an occurrence within a job.
type stepPlace struct{ occurrence, step int }

func placeOf(ref jobs.TaskRef) stepPlace { return stepPlace{ref.Occurrence, ref.Step} }

// advice is what the advisor allows for one step.
type advice struct {
	// tickets are by the ID of the executor, valid until then.
	tickets map[string]string
	until   time.Time
	asking  bool
	again   time.Time
}

func (a *advice) isValid(now time.Time) bool {
	return a != nil && len(a.tickets) > 0 && now.Before(a.until.Add(-adviceMargin))
}

// hasAdvice tells whether there is advice for a step, and asks for it if not.
func (x *pass) hasAdvice(j *job, at stepPlace) bool {
	a := j.advice[at]
	if a.isValid(x.now) {
		return true
	}
	if a == nil {
		a = &advice{}
		if j.advice == nil {
			j.advice = map[stepPlace]*advice{}
		}
		j.advice[at] = a
	}
	if !a.asking && !x.now.Before(a.again) && x.m.adviceCalls < maxAdviceCalls {
		x.askAdvice(j, at, a)
	}
	return false
}

func (x *pass) askAdvice(j *job, at stepPlace, a *advice) {
	step := &j.rec.Spec.Steps[at.step]
	var candidates []*contact
	for _, c := range x.usable {
		if c.ex.HasLabel(step.Label) {
			candidates = append(candidates, c)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *contact) int { return int(b.free().CPU - a.free().CPU) })
	candidates = candidates[:min(len(candidates), adviceCandidates)]
	if len(candidates) == 0 {
		return
	}
	ids := make([]string, len(candidates))
	for i, c := range candidates {
		ids[i] = c.ex.ID
	}
	name := jobs.TaskRef{Job: j.rec.ID, Occurrence: at.occurrence, Step: at.step}.StepName()
	q := j.queue.Advisor
	took := time.Duration(q.PerCall+q.PerExecutor*int64(len(ids))*maxAdviceCalls) * time.Millisecond
	a.asking = true
	x.m.adviceCalls++
	x.m.call(Call{Kind: CallAdvise, Timeout: took + callTimeout, Step: name, Candidates: ids}, pendingCall{advice: a, job: j}, x.now)
}

// advised takes the answer of the advisor.
func (m *Manager) advised(p pendingCall, o Outcome, now time.Time) {
	m.adviceCalls--
	a := p.advice
	a.asking = false
	p.job.pool.wake()
	if o.Verdict != OK {
		a.again = now.Add(advicePause)
		return
	}
	a.tickets, a.until = map[string]string{}, o.AnsweredAt.Add(o.ValidFor)
	for _, row := range o.Allowed {
		a.tickets[row.Executor] = row.Ticket
	}
	if len(a.tickets) == 0 {
		a.again = now.Add(advicePause)
	}
}

// ticket returns the advisor's ticket for a task on an executor, or "".
func (j *job) ticket(ref jobs.TaskRef, executor string) string {
	if a := j.advice[placeOf(ref)]; a != nil {
		return a.tickets[executor]
	}
	return ""
}

func (j *job) dropTicket(ref jobs.TaskRef, executor string) {
	if a := j.advice[placeOf(ref)]; a != nil {
		delete(a.tickets, executor)
	}
}

package manager

import (
	"math"
	"slices"
	"time"

	"laburnumdock/internal/core/jobs"
)

// This file decides which task has crashed an executor, and how its next start is
// kept apart. It answers tasks that crash each executor that starts them: without
// it, such a task and all that were waiting beside it start together on the next
// executor, again and again.
//
//   - A crash is blamed on the runs that had not proved themselves. That is a few of
//     those on the executor, because a run proves itself within a moment.
//   - A blamed task starts again on an executor without other unproven runs, and no
//     other task starts there until it has proved itself. If the executor crashes
//     again, the task is the cause.
//   - A task under which several executors crashed some time after its start proves
//     itself over a longer time.
//   - The records count the crashes, so that the count outlives the leader, and fail
//     the job once there are too many.

const (
	// provingTime is the time after its start at which a run must be listed to have
	// proved itself. It is far above a round trip and below the duration of a task.
	provingTime = 100 * time.Millisecond
	// suspectProvingTime is the same time for a task that is suspect.
	suspectProvingTime = 300 * time.Millisecond
	// lateProvingTime is the same time for a task under which executors crashed some
	// time after its start. It is a few times the duration of a short task.
	lateProvingTime = 3 * time.Second
	// survivalTime is the time for which a run must be active so that earlier crashes
	// are no longer held against its task. Executors that fail by themselves are
	// seldom the same task's twice within it.
	survivalTime = 10 * time.Second
	// maxProbationShare is the share of a pool's executors on which suspect tasks may
	// start at the same time, so that a rack that crashes under many tasks does not
	// hold up the whole pool.
	maxProbationShare = 0.5
	// brokenCallTime is the time within which a call without an answer must fail to
	// count as broken off by the executor. A call to a host that is down or cut off
	// runs into its timeout.
	brokenCallTime = callTimeout / 2
	// rackLossWindow is the time within which the leader notices the loss of an
	// executor with runs.
	rackLossWindow = busyHoldWait + callTimeout
)

// markStarted notes that the run has started by the given time.
func (r *run) markStarted(at time.Time) {
	if r.startedBy.IsZero() {
		r.startedBy = at
	}
	r.job.isStarted = true
}

// markListed notes that the executor listed the run, and lets the run prove itself.
func (r *run) markListed(now time.Time) {
	r.listedAt = now
	if r.proven || now.Sub(r.startedBy) < r.provingTime {
		return
	}
	r.session.countRun(r, -1)
	r.proven = true
	r.session.countRun(r, 1)
	if r.suspect {
		r.job.pool.requestPass()
	}
}

// setSuspect sets how long the run has to prove itself.
func (r *run) setSuspect(task *jobs.Task) {
	r.provingTime = provingTime
	if task == nil || !task.IsSuspect() {
		return
	}
	r.suspect, r.provingTime = true, suspectProvingTime
	if task.Crashes.IsLate() {
		r.provingTime = lateProvingTime
	}
}

// hasSurvived reports whether the run was active for so long that its task does not
// crash executors.
func (r *run) hasSurvived() bool {
	return !r.startedBy.IsZero() && r.listedAt.Sub(r.startedBy) >= survivalTime
}

// endCause is the cause of the end of an executor incarnation.
type endCause uint8

const (
	// endPlanned means that this leader ordered the end, or the executor announced it
	// itself.
	endPlanned endCause = iota
	// endUncertain means that it may have been a shutdown that was announced, or an
	// order of an earlier leader may have caused it.
	endUncertain
	// endCrashed means that the executor has crashed.
	endCrashed
)

// crashEvidence returns what the end of a run says about its task.
func (m *Manager) crashEvidence(r *run, result jobs.RunResult) jobs.CrashEvidence {
	switch {
	case r.hasSurvived():
		if task, _ := r.job.rec.Task(r.key.task); task != nil && task.Crashes != nil {
			return jobs.Survived
		}
		return 0
	case result != jobs.ResultLapsed && (result != jobs.ResultGone || r.session.cause == endPlanned):
		return 0
	case r.proven && r.session.draining:
		// The executor may have left in time after its announcement.
		return 0
	case r.proven && r.session.unproven > 0:
		return jobs.LostBeside
	case r.proven:
		return jobs.LostLater
	case r.mayHaveStarted() && r.session.cause == endCrashed && !r.session.rackLost:
		return jobs.CrashedAtStart
	default:
		// The start had no answer, an earlier leader ordered it, the executor fell
		// silent, or its rack failed.
		return jobs.LostAtStart
	}
}

// mayHaveStarted reports whether the run has probably started: its start was
// answered, or the connection broke while the executor had it.
func (r *run) mayHaveStarted() bool { return !r.startedBy.IsZero() || r.startBroken }

// noteRackLoss marks the executors of a rack if all of them fell silent at about the
// same time, which no task causes.
func (m *Manager) noteRackLoss(s *session) {
	if s.rec.Rack == "" {
		return
	}
	var lost []*session
	for _, o := range m.sessions.sorted {
		switch {
		case o.rec.Rack != s.rec.Rack || o.ended && o.cause != endCrashed:
		case o.failures == 0 && !o.ended:
			return
		case s.failingSince.Sub(o.failingSince) <= rackLossWindow:
			lost = append(lost, o)
		}
	}
	if len(lost) < 2 {
		return
	}
	for _, o := range lost {
		o.rackLost = true
	}
}

// causeOfEnd returns the cause of the end of an executor in whose place another one
// answers.
func (m *Manager) causeOfEnd(s *session, now time.Time) endCause {
	h := m.hosts.byName[s.rec.Host]
	switch {
	case h != nil && h.evictedAt.After(s.knownSince):
		return endPlanned
	case s.draining:
		return endUncertain
	case h != nil && h.inherited != nil && !s.knownSince.After(m.startedAt) && now.Sub(m.startedAt) < m.cfg.HostLease+max(m.cfg.MoveTime, m.cfg.UpkeepTime):
		return endUncertain
	default:
		return endCrashed
	}
}

// lapsedRun is a run that has lapsed with the evidence that was recorded for its task.
type lapsedRun struct {
	task     jobs.TaskRef
	evidence jobs.CrashEvidence
}

// settleSilence proposes to record what became of an executor that had fallen silent
// under some tasks.
func (m *Manager) settleSilence(s *session, crashed bool) {
	for _, l := range s.lapsed {
		m.propose(jobs.Command{SettleSilence: &jobs.SettleSilence{Task: l.task, Evidence: l.evidence, Crashed: crashed}})
	}
	s.lapsed = nil
}

// endOthersOnHost concludes that the other executors on the host have ended, since
// a host runs one at a time and this one has answered a call that was sent after
// they were last heard of. One that was recorded later has ended as well: its report
// was held up.
func (m *Manager) endOthersOnHost(s *session, sentAt, now time.Time) {
	if s.rec.Host == "" {
		return
	}
	for _, o := range slices.Clone(m.sessions.byHost[s.rec.Host]) {
		if o != s && o.knownSince.Before(sentAt) && o.lastAnswerAt.Before(sentAt) {
			reason := reasonHostReplaced
			if o.rec.ID == s.rec.ID {
				reason = reasonRestarted
			}
			m.endSession(o, reason, now)
		}
	}
	m.settleReplaced(s, sentAt, now)
}

// isKeptApart reports whether nothing else may start on an executor for now, because
// a suspect task has started there or will.
func (p *pass) isKeptApart(s *session) bool {
	return p.suspects(s) > 0 || slices.Contains(p.held, s)
}

// limitProbation sets how many suspect tasks may start in the pass.
func (p *pass) limitProbation() {
	p.maxOnProbation = int(math.Ceil(maxProbationShare * float64(len(p.schedulable))))
	for _, s := range p.schedulable {
		if s.suspects > 0 {
			p.onProbation++
		}
	}
}

// findForSuspect returns the executor for a task that is suspect, or nil. It prefers
// the one that would lose the least with a crash. If all that have capacity have unproven
// runs, the one with the fewest of them takes no other task in this pass, so that
// the suspect can start soon.
func (p *pass) findForSuspect(j *job, ref jobs.TaskRef, step *jobs.Step, task *taskState) *session {
	if p.onProbation >= p.maxOnProbation {
		return nil
	}
	c := p.newChoice(j, ref, step)
	c.isBetter = p.losesLess
	var next *session
	for _, s := range p.schedulable {
		reason := p.reasonAgainst(j, ref, step, s)
		if reason == exclusionNone && slices.Contains(task.avoided, s.rec.Number) {
			reason = exclusionAvoided
		}
		if reason == exclusionNone && p.unproven(s) > 0 {
			reason = exclusionUnproven
			if next == nil || p.unproven(s) < p.unproven(next) {
				next = s
			}
		}
		c.consider(s, reason)
	}
	switch {
	case c.best != nil:
		p.onProbation++
	case next != nil:
		p.held = append(p.held, next)
		p.onProbation++
	case p.plan == nil:
		// Every executor is full or avoided. The next pass may use the avoided ones
		// again; otherwise the task would never run.
		task.avoided = nil
	}
	return c.best
}

// losesLess prefers the executor of which a crash would lose the least.
func (p *pass) losesLess(a, b *session) criterion {
	x, y := p.longRunning(a), p.longRunning(b)
	return criterionIf(x < y || x == y && p.runCount(a) < p.runCount(b), criterionLosesLess)
}

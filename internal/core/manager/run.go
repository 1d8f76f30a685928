package manager

import (
	"strings"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
)

func compareRuns(a, b *run) int {
	if c := compareTasks(a.key.task, b.key.task); c != 0 {
		return c
	}
	return a.key.run - b.key.run
}

func compareTasks(a, b jobs.TaskRef) int {
	if c := strings.Compare(a.Job, b.Job); c != 0 {
		return c
	}
	if a.Occurrence != b.Occurrence {
		return a.Occurrence - b.Occurrence
	}
	if a.Step != b.Step {
		return a.Step - b.Step
	}
	return a.Index - b.Index
}

// addRun creates a proposed run and adds it to its job and session.
func (m *Manager) addRun(j *job, ref jobs.TaskRef, number int, s *session, now time.Time) *run {
	step := &j.rec.Spec.Steps[ref.Step]
	r := &run{
		key: runKey{ref, number}, state: runProposed, job: j, step: step, session: s, allocation: step.Allocation(),
		proposedAt: now, stateSince: now, pace: fullPercent,
	}
	task, _ := j.rec.Task(ref)
	r.setSuspect(task)
	m.runs[r.key] = r
	s.add(r)
	j.task(ref).liveRuns++
	j.runs[r.key] = r
	m.countRun(r, 1)
	return r
}

func (r *run) setState(s runState, now time.Time) { r.state, r.stateSince = s, now }

// removeRun removes a run from its job and session.
func (m *Manager) removeRun(r *run) {
	if m.runs[r.key] != r {
		return
	}
	delete(m.runs, r.key)
	r.session.remove(r)
	r.job.task(r.key.task).liveRuns--
	delete(r.job.runs, r.key)
	m.countRun(r, -1)
	r.job.pool.requestPass()
	m.removeIfEmpty(r.session)
}

// runBegun orders the start of a run whose BeginRun was applied.
func (m *Manager) runBegun(b *jobs.BeginRun, err *fault.Error, now time.Time) {
	r := m.runs[runKey{b.Task, b.Run}]
	if r == nil {
		// An earlier leader proposed the run.
		if j := m.jobs[b.Task.Job]; err == nil && j != nil {
			m.inheritRun(j, b.Task, jobs.Run{Number: b.Run, Executor: b.Executor}, now)
		}
		return
	}
	if err != nil {
		m.removeRun(r)
		r.job.recount()
		return
	}
	r.setState(runOrdered, now)
	if r.session.ended || r.session.draining || r.stopWanted || r.job.rec.Phase.IsFinal() || m.isAboveLimit(r) {
		m.concludeRun(r, jobs.ResultNotStarted, proofNotOrdered, now)
		return
	}
	m.orderStart(r, now)
}

func (m *Manager) orderStart(r *run, now time.Time) {
	s := r.session
	r.orderedAt = now
	task, _ := m.state.Task(r.key.task)
	checkpoint := ""
	if task != nil {
		checkpoint = task.Checkpoint
	}
	r.isResumed = checkpoint != ""
	m.call(Call{
		Kind: CallStart, Timeout: callTimeout, Address: s.rec.Address, Instance: s.rec.ID, Executor: s.rec.Number,
		LeaseUntil: s.grantLease(now, m.leaseLength()), Task: r.key.task, Run: r.key.run, Payload: r.job.rec.Spec.Payload, Checkpoint: checkpoint,
		Ticket: r.job.ticket(r.key.task, s.rec.ID),
	}, pendingCall{session: s, run: r}, now)
	m.logEvent(Event{Kind: EventRunOrdered, Job: r.key.task.Job, Task: r.key.task, Run: r.key.run, Executor: s.rec.ID, Pool: s.rec.Pool, Age: now.Sub(s.lastHeardAt)})
}

// startAnswered processes the answer to a start. That the run has started does not show
// which incarnation has started it. That the order had no effect is proof also after
// its incarnation has ended.
func (m *Manager) startAnswered(s *session, r *run, o Outcome, now time.Time) {
	isOpen := m.runs[r.key] == r && (r.state == runOrdered || r.state == runUncertain && s.ended)
	if o.Verdict == WrongInstance && isOpen {
		// The session ends with this answer. Its other runs may have started there;
		// this one has not.
		m.concludeRun(r, jobs.ResultNotStarted, proofRefused, now)
	}
	m.recordAnswer(s, o, now)
	if !isOpen {
		return
	}
	switch o.Verdict {
	case OK, NoAnswer:
		if r.state == runOrdered {
			m.startUnsettled(s, r, o.Verdict, now)
		}
	case NotSent, NotPermitted:
		m.concludeRun(r, jobs.ResultNotStarted, proofNotOrdered, now)
	case Unhealthy:
		if !s.ended {
			m.distrust(s, "executor reports itself unhealthy", now)
		}
		m.concludeRun(r, jobs.ResultNotStarted, proofRefused, now)
	case Refused:
		m.startRefused(s, r, o.Refusal, now)
	default:
	}
}

// startUnsettled processes the answer to a start that may have had an effect.
func (m *Manager) startUnsettled(s *session, r *run, v Verdict, now time.Time) {
	if v == NoAnswer {
		r.startBroken = now.Sub(r.orderedAt) < brokenCallTime
		r.isDisturbed = true
		r.setState(runUncertain, now)
		m.holdNow(s, now)
		return
	}
	r.setState(runActive, now)
	r.markStarted(now)
	if r.suspect {
		m.holdFor(s, suspectProvingTime, now)
	}
}

func (m *Manager) startRefused(s *session, r *run, reason Refusal, now time.Time) {
	switch reason {
	case RefusedCapacity:
		s.health.markFull(now)
	case RefusedFenced:
		m.logEvent(Event{Kind: EventLeaderFenced, Executor: s.rec.ID, Task: r.key.task, Run: r.key.run})
	case RefusedTicket:
		r.job.dropTicket(r.key.task, s.rec.ID)
	default:
	}
	m.concludeRun(r, jobs.ResultNotStarted, proofRefused, now)
}

// holdNow requests the lists of an executor even if an earlier hold has no
// answer yet.
func (m *Manager) holdNow(s *session, now time.Time) { m.holdFor(s, 0, now) }

// holdFor does the same, and lets the executor wait for an end for the given time.
func (m *Manager) holdFor(s *session, wait time.Duration, now time.Time) {
	if !s.ended && s.proposedEnd <= s.rec.RecordedEnd {
		m.hold(s, wait, now)
	}
}

// stopIfDue orders the stop of the runs that are to be stopped.
func (m *Manager) stopIfDue(s *session, now time.Time) {
	if s.stopping == 0 {
		return
	}
	for _, r := range s.sortedRuns((*run).needsStop) {
		m.orderStop(r, s, now)
	}
}

// requestStop marks the run to be stopped.
func (r *run) requestStop() {
	if !r.stopWanted {
		r.stopWanted = true
		r.session.stopping++
	}
}

// needsStop reports whether the run is to be stopped and the executor may have
// received its start.
func (r *run) needsStop() bool { return r.stopWanted && r.state != runProposed && r.state != runEnded }

// orderStop orders an executor to stop a run. The executor also refuses to
// start the run afterwards.
func (m *Manager) orderStop(r *run, s *session, now time.Time) {
	if r.stopPending || now.Before(r.nextStop) {
		return
	}
	r.stopPending, r.nextStop = true, now.Add(stopInterval)
	m.call(Call{
		Kind: CallStop, Timeout: callTimeout, Address: s.rec.Address, Instance: s.rec.ID, Executor: s.rec.Number,
		Task: r.key.task, Run: r.key.run,
	}, pendingCall{session: s, run: r}, now)
}

// stopOrphan stops a run that an executor lists although it was not ordered or
// was concluded to have ended.
func (m *Manager) stopOrphan(s *session, key runKey, now time.Time) {
	if next, ok := s.orphanStops[key]; ok && now.Before(next) {
		return
	}
	if s.orphanStops == nil {
		s.orphanStops = map[runKey]time.Time{}
	}
	s.orphanStops[key] = now.Add(stopInterval)
	m.call(Call{
		Kind: CallStop, Timeout: callTimeout, Address: s.rec.Address, Instance: s.rec.ID, Executor: s.rec.Number,
		Task: key.task, Run: key.run,
	}, pendingCall{session: s}, now)
}

// stopAnswered processes the answer to a stop.
func (m *Manager) stopAnswered(s *session, r *run, o Outcome, now time.Time) {
	m.recordAnswer(s, o, now)
	if r == nil {
		return
	}
	r.stopPending = false
	if m.runs[r.key] != r || o.Verdict != OK {
		return
	}
	// A run of an ended incarnation waits for the next one; see
	// stepUnsettledRuns.
	if r.state == runUncertain && !s.ended {
		r.setState(runBlocked, now)
		m.holdNow(s, now)
	}
}

// runEnded processes an applied EndRun.
func (m *Manager) runEnded(e *jobs.EndRun, err *fault.Error, now time.Time) {
	if s := m.sessions.get(e.Executor); s != nil && e.Number > 0 {
		m.sessions.updateRecord(s, m.latestRecord(s.rec))
		if err == nil && s.health.recordEnd(e) {
			m.distrust(s, "runs of different jobs failed in a row", now)
		}
	}
	if j := m.jobs[e.Task.Job]; j != nil && e.Number > 0 {
		j.isStarted = true
	}
	r := m.runs[runKey{e.Task, e.Run}]
	// The records accept the end of a run from any incarnation that lists it.
	if r == nil || err != nil && r.session.rec.Number != e.Executor {
		m.updateJob(e.Task.Job, now)
		return
	}
	m.logEvent(Event{Kind: EventRunEnded, Job: e.Task.Job, Task: e.Task, Run: e.Run, Executor: r.session.rec.ID, Incarnation: r.session.rec.Number, Pool: r.job.pool.name, Reason: e.Result.String(), Age: now.Sub(r.stateSince)})
	if err == nil {
		m.recordRunTime(r, e.Result)
	}
	if e.Result == jobs.ResultDone && !r.orderedAt.IsZero() {
		r.observeOccupancy(now)
		r.observeRack()
	}
	if e.Result == jobs.ResultFailed {
		r.job.task(e.Task).avoid(e.Executor)
	}
	m.removeRun(r)
	m.updateJob(e.Task.Job, now)
}

// latestRecord returns the newest record of an executor.
func (m *Manager) latestRecord(e *jobs.Executor) *jobs.Executor {
	if rec := m.state.Executor(e.Number); rec != nil {
		return rec
	}
	return e
}

// updateJob updates a job after the end of a run.
func (m *Manager) updateJob(id string, now time.Time) {
	j := m.jobs[id]
	if j == nil {
		return
	}
	if !j.rec.Phase.IsFinal() {
		j.recount()
		m.stopRedundantRuns(j)
		return
	}
	m.finishJob(j, now)
}

// stopRedundantRuns stops the runs of tasks that are already done.
func (m *Manager) stopRedundantRuns(j *job) {
	for _, r := range j.runs {
		if task, _ := j.rec.Task(r.key.task); task != nil && task.Done {
			r.requestStop()
		}
	}
}

// finishJob stops the remaining runs of a job that has ended.
func (m *Manager) finishJob(j *job, now time.Time) {
	if !j.finished {
		j.finished = true
		m.ended = append(m.ended, endedJob{id: j.rec.ID, at: now})
		e := Event{Kind: EventJobFinished, Job: j.rec.ID, Pool: j.pool.name, Reason: phaseName(j.rec.Phase), Age: now.Sub(j.submittedAt)}
		if x := j.rec.Exhausted; x != nil {
			e.Task, e.Failures, e.Limit, e.LimitSource = x.Task, x.Failures, x.Limit, string(x.Source)
		}
		m.logEvent(e)
		j.pool.removeJob(j)
	}
	for _, r := range j.runs {
		r.requestStop()
	}
	if len(j.runs) == 0 {
		delete(m.jobs, j.rec.ID)
	}
}

func phaseName(p jobs.Phase) string {
	names := [...]string{"unknown", "queued", "running", "completed", "failed", "cancelled"}
	if int(p) < len(names) {
		return names[p]
	}
	return names[0]
}

// HandleOutcome processes the outcome of a call.
func (m *Manager) HandleOutcome(o Outcome, now time.Time) {
	pending, ok := m.pendingCalls[o.ID]
	if !ok {
		return
	}
	delete(m.pendingCalls, o.ID)
	if o.Verdict == WrongInstance && pending.session != nil && pending.address != pending.session.rec.Address {
		// The executor has reported another address meanwhile. That another one answers
		// at the old address says nothing about it.
		o.Verdict = NotPermitted
	}
	switch pending.kind {
	case CallHold:
		m.holdAnswered(pending.session, o, pending.sentAt, now)
	case CallStart:
		m.startAnswered(pending.session, pending.run, o, now)
	case CallStop:
		m.stopAnswered(pending.session, pending.run, o, now)
	case CallPace:
		m.paceAnswered(pending.session, pending.run, o, now)
	case CallListHosts:
		m.listHostsAnswered(o, now)
	case CallMoveHost:
		m.moveAnswered(pending, o, now)
	case CallUpkeepHost:
		m.upkeepAnswered(pending, o, now)
	case CallAdvise:
		m.adviceAnswered(pending, o, now)
	}
}

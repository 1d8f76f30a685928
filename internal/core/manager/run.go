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

// newRun adds a run to the books.
func (m *Manager) newRun(j *job, ref jobs.TaskRef, number int, c *contact, now time.Time) *run {
	step := &j.rec.Spec.Steps[ref.Step]
	r := &run{
		key: runKey{ref, number}, state: runProposed, job: j, step: step, at: c, room: step.Allocation(),
		since: now, pace: fullPace,
	}
	m.runs[r.key] = r
	c.add(r)
	j.task(ref).live++
	j.runs[r.key] = r
	return r
}

// enter moves the run to a state.
func (r *run) enter(s runState, now time.Time) { r.state, r.since = s, now }

// drop takes a run off the books.
func (m *Manager) drop(r *run) {
	if m.runs[r.key] != r {
		return
	}
	delete(m.runs, r.key)
	r.at.remove(r)
	r.job.task(r.key.task).live--
	delete(r.job.runs, r.key)
	r.job.pool.wake()
	m.leaveIfEmpty(r.at)
}

// conclude proposes the end of a run that no executor has listed.
func (m *Manager) conclude(r *run, how jobs.RunResult, now time.Time) {
	if r.state == runEnded || r.state == runProposed {
		return
	}
	r.enter(runEnded, now)
	m.propose(jobs.Command{EndRun: &jobs.EndRun{Task: r.key.task, Run: r.key.run, Executor: r.at.ex.Number, Result: how, Checkpoint: r.saved}})
}

// begun orders a start that is now recorded.
func (m *Manager) begun(b *jobs.BeginRun, err *fault.Error, now time.Time) {
	r := m.runs[runKey{b.Task, b.Run}]
	if r == nil {
		// It was proposed before this manager was made.
		if j := m.jobs[b.Task.Job]; err == nil && j != nil {
			m.inherit(j, b.Task, jobs.Run{Number: b.Run, Executor: b.Executor}, now)
		}
		return
	}
	if err != nil {
		m.drop(r)
		r.job.recount()
		return
	}
	r.enter(runOrdered, now)
	if r.at.over || r.at.draining || r.stop || r.job.rec.Phase.IsFinal() {
		m.conclude(r, jobs.ResultNotStarted, now)
		return
	}
	m.orderStart(r, now)
}

func (m *Manager) orderStart(r *run, now time.Time) {
	c := r.at
	r.orderedAt = now
	task, _ := m.st.Task(r.key.task)
	saved := ""
	if task != nil {
		saved = task.Checkpoint
	}
	m.call(Call{
		Kind: CallStart, Timeout: callTimeout, Address: c.ex.Address, Instance: c.ex.ID, Executor: c.ex.Number,
		LeaseUntil: c.leaseFor(now, m.lease()), Task: r.key.task, Run: r.key.run, Payload: r.job.rec.Spec.Payload, Checkpoint: saved,
		Ticket: r.job.ticket(r.key.task, c.ex.ID),
	}, pendingCall{contact: c, run: r}, now)
	m.note(Event{Kind: EventRunOrdered, Job: r.key.task.Job, Task: r.key.task, Run: r.key.run, Executor: c.ex.ID, Pool: c.ex.Pool, Age: now.Sub(c.heardAt)})
}

// started takes the answer to a start.
func (m *Manager) started(c *contact, r *run, o Outcome, now time.Time) {
	m.answered(c, o, now)
	if r.state != runOrdered || m.runs[r.key] != r {
		return
	}
	switch o.Verdict {
	case OK:
		r.enter(runWorking, now)
	case NotSent, WrongInstance:
		m.conclude(r, jobs.ResultNotStarted, now)
	case Unhealthy:
		m.doubt(c, "it says that it is not healthy", now)
		m.conclude(r, jobs.ResultNotStarted, now)
	case Refused:
		m.startRefused(c, r, o.Refusal, now)
	case NoAnswer:
		r.enter(runDoubtful, now)
		m.look(c, now)
	}
}

func (m *Manager) startRefused(c *contact, r *run, why Refusal, now time.Time) {
	switch why {
	case RefusedCapacity:
		c.health.full(now)
	case RefusedFenced:
		m.note(Event{Kind: EventLeaderFenced, Executor: c.ex.ID, Task: r.key.task, Run: r.key.run})
	case RefusedTicket:
		r.job.dropTicket(r.key.task, c.ex.ID)
	default:
	}
	m.conclude(r, jobs.ResultNotStarted, now)
}

// look asks for the lists of an executor although an earlier call still waits.
func (m *Manager) look(c *contact, now time.Time) {
	if !c.over && c.proposedEnd <= c.ex.RecordedEnd {
		m.hold(c, 0, now)
	}
}

// stopIfDue orders the end of runs that are to stop.
func (m *Manager) stopIfDue(c *contact, now time.Time) {
	if c.stopping == 0 {
		return
	}
	for _, r := range c.sortedRuns((*run).isToStop) {
		m.orderStop(r, c, now)
	}
}

// end marks a run that is to end.
func (r *run) end() {
	if !r.stop {
		r.stop = true
		r.at.stopping++
	}
}

// isToStop tells whether the run is to end and its executor may have it.
func (r *run) isToStop() bool { return r.stop && r.state != runProposed && r.state != runEnded }

// orderStop orders the end of a run at an executor. The executor also refuses to
// start the run afterwards.
func (m *Manager) orderStop(r *run, c *contact, now time.Time) {
	if r.stopCall || now.Before(r.stopAgain) {
		return
	}
	r.stopCall, r.stopAgain = true, now.Add(stopPause)
	m.call(Call{
		Kind: CallStop, Timeout: callTimeout, Address: c.ex.Address, Instance: c.ex.ID, Executor: c.ex.Number,
		Task: r.key.task, Run: r.key.run,
	}, pendingCall{contact: c, run: r}, now)
}

// stopStray stops a run that an executor lists and nobody ordered, or whose end
// was concluded.
func (m *Manager) stopStray(c *contact, key runKey, now time.Time) {
	if again, ok := c.strays[key]; ok && now.Before(again) {
		return
	}
	if c.strays == nil {
		c.strays = map[runKey]time.Time{}
	}
	c.strays[key] = now.Add(stopPause)
	m.call(Call{
		Kind: CallStop, Timeout: callTimeout, Address: c.ex.Address, Instance: c.ex.ID, Executor: c.ex.Number,
		Task: key.task, Run: key.run,
	}, pendingCall{contact: c}, now)
}

// stopped takes the answer to a stop.
func (m *Manager) stopped(c *contact, r *run, o Outcome, now time.Time) {
	m.answered(c, o, now)
	if r == nil {
		return
	}
	r.stopCall = false
	if m.runs[r.key] != r || o.Verdict != OK {
		return
	}
	// A run of an ended life waits for the next life; see stepStrays.
	if r.state == runDoubtful && !c.over {
		r.enter(runBlocked, now)
		m.look(c, now)
	}
}

// runEnded takes the record of an end.
func (m *Manager) runEnded(e *jobs.EndRun, err *fault.Error, now time.Time) {
	if c := m.contacts.get(e.Executor); c != nil && e.Number > 0 {
		m.contacts.describe(c, m.executorOr(c.ex))
		if err == nil && c.health.ended(e) {
			m.doubt(c, "it fails what it starts", now)
		}
	}
	r := m.runs[runKey{e.Task, e.Run}]
	// The records take an end from whichever life lists it.
	if r == nil || err != nil && r.at.ex.Number != e.Executor {
		m.settle(e.Task.Job, now)
		return
	}
	m.note(Event{Kind: EventRunEnded, Job: e.Task.Job, Task: e.Task, Run: e.Run, Executor: r.at.ex.ID, Pool: r.job.pool.name, Reason: e.Result.String(), Age: now.Sub(r.since)})
	if e.Result == jobs.ResultDone && !r.orderedAt.IsZero() {
		r.job.pool.size.learn(r.since.Sub(r.orderedAt), r.step.Estimate)
	}
	if e.Result == jobs.ResultFailed {
		r.job.task(e.Task).avoid(e.Executor)
	}
	m.drop(r)
	m.settle(e.Task.Job, now)
}

// executorOr returns the newest record of an executor.
func (m *Manager) executorOr(e *jobs.Executor) *jobs.Executor {
	if rec := m.st.Executor(e.Number); rec != nil {
		return rec
	}
	return e
}

// settle takes the consequences of an end for the job.
func (m *Manager) settle(id string, now time.Time) {
	j := m.jobs[id]
	if j == nil {
		return
	}
	if !j.rec.Phase.IsFinal() {
		j.recount()
		m.stopSpares(j)
		return
	}
	m.finish(j, now)
}

// stopSpares stops the runs of tasks that are done.
func (m *Manager) stopSpares(j *job) {
	for _, r := range j.runs {
		if task, _ := j.rec.Task(r.key.task); task != nil && task.Done {
			r.end()
		}
	}
}

// finish stops what is left of a job that has ended.
func (m *Manager) finish(j *job, now time.Time) {
	if !j.finished {
		j.finished = true
		m.ended = append(m.ended, endedJob{id: j.rec.ID, at: now})
		m.note(Event{Kind: EventJobFinished, Job: j.rec.ID, Pool: j.pool.name, Reason: phaseName(j.rec.Phase), Age: now.Sub(j.arrived)})
		j.pool.removeJob(j)
	}
	for _, r := range j.runs {
		r.end()
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

// Answered takes the outcome of a call.
func (m *Manager) HandleOutcome(o Outcome, now time.Time) {
	p, ok := m.calls[o.ID]
	if !ok {
		return
	}
	delete(m.calls, o.ID)
	switch p.kind {
	case CallHold:
		m.held(p.contact, o, p.sentAt, now)
	case CallStart:
		m.started(p.contact, p.run, o, now)
	case CallStop:
		m.stopped(p.contact, p.run, o, now)
	case CallPace:
		m.paced(p.contact, p.run, o, now)
	case CallListHosts:
		m.hostsListed(o, now)
	case CallMoveHost:
		m.moved(p, o, now)
	case CallUpkeepHost:
		m.upkept(p, o, now)
	case CallAdvise:
		m.advised(p, o, now)
	}
}

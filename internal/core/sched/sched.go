// Package sched places the tasks of jobs on hosts under leases. It computes the
// commands from a snapshot and the platform's reports. State.Apply checks leases,
// epochs, cancellations and quotas again.
package sched

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Actor is the actor of the scheduler's commands in the audit trail.
const Actor = "scheduler"

// Durations and limits of placement.
const (
	// LeaseTime is how long a host may run a task after the last renewal. A task
	// on a host that stopped reporting is placed again after this time.
	LeaseTime = 2 * time.Minute
	// RenewBefore is the remaining time below which a lease is renewed. One log
	// entry renews all due leases of a job.
	RenewBefore = time.Minute
	// MaxPlacements is the maximum number of placements in one pass.
	MaxPlacements = 2000
	// BackoffBase is the delay after the first failure of a task. It doubles with
	// each further failure, up to BackoffMax.
	BackoffBase = 5 * time.Second
	// BackoffMax is the maximum delay after a failure.
	BackoffMax = 5 * time.Minute
)

// Outcome is the condition of a task as the platform reports it.
type Outcome string

// Outcomes of a task.
const (
	// OutcomeRunning means that the task is running.
	OutcomeRunning Outcome = "running"
	// OutcomeFinished means that the task ended by itself with success.
	OutcomeFinished Outcome = "finished"
	// OutcomeFailed means that the task ended by itself with a failure.
	OutcomeFailed Outcome = "failed"
	// OutcomeStopped means that the task was stopped or checkpointed, or never
	// started. Its lease is released.
	OutcomeStopped Outcome = "stopped"
)

// Report is the platform's report of one placement.
type Report struct {
	Job     string
	Index   int
	Epoch   uint64
	Host    string
	Outcome Outcome
	// UsedCores and UsedMemoryMB are the observed use, which may lag behind the
	// actual use.
	UsedCores, UsedMemoryMB int
}

// Input is the input of a pass besides the snapshot.
type Input struct {
	Reports []Report
}

// Wait is the reason why tasks of a job are not placed, and their number.
type Wait struct {
	Job     string
	Tasks   int
	Reason  model.Reason
	Message string
}

// Result is the result of one pass. The commands must be proposed in order.
type Result struct {
	Commands []state.Command
	Waits    []Wait
}

// Scheduler plans placements and keeps the history of failures between passes. It
// is owned by the planning goroutine and is not safe for concurrent use. The
// history is not replicated; a new leader starts with an empty one.
type Scheduler struct {
	failures failureHistory
}

// New returns a scheduler with an empty failure history.
func New() *Scheduler { return &Scheduler{failures: newFailureHistory()} }

// jobDraft is a job with the changes of the current pass. Invariant: tasks has an
// entry for each declared task, and its index is the task's Index.
type jobDraft struct {
	job   *model.Job
	tasks []model.Task
	// changed has the indexes of the tasks that the pass changed.
	changed map[int]bool
	request resources
	// reason and message are those of the first waiting task; waiting is the
	// number of waiting tasks.
	reason  model.Reason
	message string
	waiting int
}

// pass is the state of one scheduling pass.
type pass struct {
	*Scheduler
	snap       *state.Snapshot
	now        time.Time
	jobs       map[string]*jobDraft
	sortedJobs []*jobDraft
	pools      map[string]*poolHosts
	hosts      map[string]*hostUsage
	teams      map[string]*teamUsage
	placements int
	result     Result
	// notes is nil unless the pass explains a job.
	notes *notes
}

// Plan runs one scheduling pass over all jobs.
func (s *Scheduler) Plan(snap *state.Snapshot, in Input, now time.Time) Result {
	p := s.newPass(snap, now)
	p.run(in)
	return p.result
}

func (s *Scheduler) newPass(snap *state.Snapshot, now time.Time) *pass {
	return &pass{
		Scheduler: s, snap: snap, now: now, jobs: make(map[string]*jobDraft), pools: make(map[string]*poolHosts),
		hosts: make(map[string]*hostUsage), teams: make(map[string]*teamUsage),
	}
}

// run computes the result of the pass. It changes the failure history of the scheduler.
func (p *pass) run(in Input) {
	p.indexHosts()
	p.indexJobs()
	for _, r := range in.Reports {
		p.applyReport(r)
	}
	p.failures.expire(p.now)
	p.endLeases()
	p.countUsage()
	p.quarantine()
	for _, d := range p.sortedJobs {
		p.placeJob(d)
	}
	p.propose()
}

func (p *pass) origin() state.Origin {
	return state.Origin{Actor: Actor, Source: "leader", Time: p.now}
}

// indexJobs makes the drafts of all jobs and sorts them by descending priority,
// then by age.
func (p *pass) indexJobs() {
	for _, obj := range p.snap.List(model.KindJob) {
		job := obj.(*model.Job)
		d := &jobDraft{job: job, tasks: slices.Clone(job.Status.Tasks), changed: make(map[int]bool)}
		for i := len(d.tasks); i < job.Spec.Tasks; i++ {
			d.tasks = append(d.tasks, model.Task{Index: i, State: model.TaskPending})
		}
		d.request = estimateRequest(job)
		p.jobs[job.Name] = d
		p.sortedJobs = append(p.sortedJobs, d)
	}
	slices.SortStableFunc(p.sortedJobs, func(a, b *jobDraft) int {
		x, y := a.job, b.job
		return cmp.Or(cmp.Compare(y.Spec.Priority, x.Spec.Priority), x.Created.Compare(y.Created), strings.Compare(x.Name, y.Name))
	})
}

// setTask replaces a task in the draft.
func (d *jobDraft) setTask(task model.Task) {
	d.tasks[task.Index] = task
	d.changed[task.Index] = true
}

// applyReport updates a task from a report. A report with a different epoch or
// host is about an earlier placement and is ignored.
func (p *pass) applyReport(r Report) {
	d := p.jobs[r.Job]
	if d == nil || r.Index < 0 || r.Index >= len(d.tasks) {
		return
	}
	task := d.tasks[r.Index]
	if task.Epoch != r.Epoch || task.Host != r.Host || !state.HoldsLease(task.State) {
		return
	}
	switch r.Outcome {
	case OutcomeRunning:
		p.applyRunning(d, task, r)
	case OutcomeFinished:
		p.failures.recordSuccess(r.Job, r.Host)
		d.setTask(withoutLease(task, model.TaskFinished))
	case OutcomeFailed:
		p.applyFailed(d, task)
	case OutcomeStopped:
		d.setTask(withoutLease(task, d.stateWithoutLease(task)))
	}
}

// withoutLease returns the task in state to, with its lease released. The epoch is
// kept, because the next placement increments it.
func withoutLease(task model.Task, to model.TaskState) model.Task {
	task.State = to
	task.Host = ""
	task.LeaseUntil = time.Time{}
	task.Reason, task.Message = model.ReasonNone, ""
	return task
}

// stateWithoutLease returns the state of a task that lost its lease before it
// finished.
func (d *jobDraft) stateWithoutLease(task model.Task) model.TaskState {
	if d.isUnwanted(task) {
		return model.TaskCancelled
	}
	return model.TaskPending
}

// isUnwanted reports whether the task must not run, because its job was cancelled
// or now declares fewer tasks.
func (d *jobDraft) isUnwanted(task model.Task) bool {
	return d.job.Spec.Cancelled || task.Index >= d.job.Spec.Tasks
}

// applyRunning marks a task as running, renews its lease when due and updates its
// observed use.
func (p *pass) applyRunning(d *jobDraft, task model.Task, r Report) {
	changed := false
	if task.State == model.TaskStarting {
		task.State = model.TaskRunning
		changed = true
	}
	if task.LeaseUntil.Sub(p.now) < RenewBefore && task.State != model.TaskStopping {
		task.LeaseUntil = p.now.Add(LeaseTime)
		changed = true
	}
	if usageChanged(r.UsedCores, task.UsedCores) || usageChanged(r.UsedMemoryMB, task.UsedMemoryMB) {
		changed = true
	}
	if changed {
		task.UsedCores, task.UsedMemoryMB = r.UsedCores, r.UsedMemoryMB
		d.setTask(task)
	}
}

// usageChanged reports whether a use changed by more than a quarter. Smaller
// changes are not worth a log entry.
func usageChanged(a, b int) bool { return 4*max(a-b, b-a) > max(a, b) }

// applyFailed records a failure and releases the task with a backoff.
func (p *pass) applyFailed(d *jobDraft, task model.Task) {
	p.failures.recordFailure(d.job.Name, task.Host, p.now)
	task.Failures++
	next := withoutLease(task, d.stateWithoutLease(task))
	next.RetryAfter = p.now.Add(backoff(task.Failures))
	d.setTask(next)
}

// backoff returns the delay after the given number of failures.
func backoff(failures int) time.Duration {
	wait := BackoffBase
	for i := 1; i < failures && wait < BackoffMax; i++ {
		wait *= 2
	}
	return min(wait, BackoffMax)
}

// endLeases releases expired leases and stops tasks that are unwanted. All tasks of
// a cancelled job change in one log entry.
func (p *pass) endLeases() {
	for _, d := range p.sortedJobs {
		for _, task := range d.tasks {
			p.endLease(d, task)
		}
	}
}

func (p *pass) endLease(d *jobDraft, task model.Task) {
	held := state.HoldsLease(task.State)
	switch {
	case held && !task.LeaseUntil.After(p.now):
		d.setTask(withoutLease(task, d.stateWithoutLease(task)))
	case held && d.isUnwanted(task) && task.State != model.TaskStopping:
		task.State = model.TaskStopping
		d.setTask(task)
	case task.State == model.TaskPending && d.isUnwanted(task):
		d.setTask(withoutLease(task, model.TaskCancelled))
	}
}

// propose adds one command for each job that changed, and the status of teams.
func (p *pass) propose() {
	for _, d := range p.sortedJobs {
		if d.waiting > 0 {
			p.result.Waits = append(p.result.Waits, Wait{Job: d.job.Name, Tasks: d.waiting, Reason: d.reason, Message: d.message})
		}
		if len(d.changed) == 0 && d.reason == d.job.Status.Reason {
			continue
		}
		step := state.TaskStep{Origin: p.origin(), Job: d.job.Name, Expected: d.job.Version, Reason: d.reason, Message: d.message}
		for i := range d.tasks {
			if d.changed[i] {
				step.Tasks = append(step.Tasks, d.tasks[i])
			}
		}
		p.result.Commands = append(p.result.Commands, step)
	}
	p.proposeTeamStatus()
}

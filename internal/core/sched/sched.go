// Package sched places the tasks of jobs on hosts under leases. It computes
// what to do from a snapshot and the reports of the platform; Apply checks
// leases, epochs, cancellations and quotas again.
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

// Times and limits of placement.
const (
	// LeaseTime is how long a host may run a task after the last renewal. A
	// task of a lost host is placed again after it.
	LeaseTime = 2 * time.Minute
	// RenewBefore is when a lease is renewed. One entry renews all due tasks of
	// a job.
	RenewBefore = time.Minute
	// MaxPlacements bounds the placements of one pass.
	MaxPlacements = 2000
	// BackoffBase doubles with each failure of a task up to BackoffMax.
	BackoffBase = 5 * time.Second
	BackoffMax  = 5 * time.Minute
)

// Outcome is what the platform reports of a task.
type Outcome string

// The outcomes of a task.
const (
	// OutcomeRunning: the task runs.
	OutcomeRunning Outcome = "running"
	// OutcomeFinished and OutcomeFailed: the task ended by itself.
	OutcomeFinished Outcome = "finished"
	OutcomeFailed   Outcome = "failed"
	// OutcomeStopped: the task was stopped or checkpointed, or never started;
	// the host gives its lease back.
	OutcomeStopped Outcome = "stopped"
)

// Report is what the platform knows of one placement.
type Report struct {
	Job     string
	Index   int
	Epoch   uint64
	Host    string
	Outcome Outcome
	// UsedCores and UsedMemoryMB are the observed use; it may lag.
	UsedCores, UsedMemoryMB int
}

// Input is what a pass needs besides the snapshot.
type Input struct {
	Reports []Report
}

// Wait says why tasks of a job are not placed.
type Wait struct {
	Job     string
	Tasks   int
	Reason  model.Reason
	Message string
}

// Result is the outcome of one pass. Commands are to be proposed in order.
type Result struct {
	Commands []state.Command
	Waits    []Wait
}

// Scheduler remembers failures between passes. It belongs to the goroutine
// that plans; a new leader starts without the memory and learns it again.
type Scheduler struct {
	failures failureMemory
}

// New returns a scheduler without a memory.
func New() *Scheduler { return &Scheduler{failures: newFailureMemory()} }

// draft is a job with the changes of this pass. Tasks has one entry for each
// declared task.
type draft struct {
	job     *model.Job
	tasks   []model.Task
	changed map[int]bool
	size    size
	reason  model.Reason
	message string
	waiting int
}

// pass is the working memory of one pass.
type pass struct {
	*Scheduler
	snap   *state.Snapshot
	now    time.Time
	jobs   map[string]*draft
	order  []*draft
	pools  map[string]*poolTable
	hosts  map[string]*hostTable
	teams  map[string]*teamTable
	placed int
	result Result
}

// Plan makes one pass over all jobs.
func (s *Scheduler) Plan(snap *state.Snapshot, in Input, now time.Time) Result {
	p := &pass{
		Scheduler: s, snap: snap, now: now, jobs: make(map[string]*draft), pools: make(map[string]*poolTable),
		hosts: make(map[string]*hostTable), teams: make(map[string]*teamTable),
	}
	p.readHosts()
	p.readJobs()
	for _, r := range in.Reports {
		p.take(r)
	}
	p.failures.forget(now)
	p.endLeases()
	p.countUse()
	p.quarantine()
	for _, d := range p.order {
		p.placeJob(d)
	}
	p.propose()
	return p.result
}

func (p *pass) origin() state.Origin {
	return state.Origin{Actor: Actor, Source: "leader", Time: p.now}
}

// readJobs makes the drafts. Urgent jobs come first, then older ones.
func (p *pass) readJobs() {
	for _, obj := range p.snap.List(model.KindJob) {
		job := obj.(*model.Job)
		d := &draft{job: job, tasks: slices.Clone(job.Status.Tasks), changed: make(map[int]bool)}
		for i := len(d.tasks); i < job.Spec.Tasks; i++ {
			d.tasks = append(d.tasks, model.Task{Index: i, State: model.TaskPending})
		}
		d.size = estimate(job)
		p.jobs[job.Name] = d
		p.order = append(p.order, d)
	}
	slices.SortStableFunc(p.order, func(a, b *draft) int {
		x, y := a.job, b.job
		return cmp.Or(cmp.Compare(y.Spec.Priority, x.Spec.Priority), x.Created.Compare(y.Created), strings.Compare(x.Name, y.Name))
	})
}

// set changes a task in the draft.
func (d *draft) set(task model.Task) {
	d.tasks[task.Index] = task
	d.changed[task.Index] = true
}

// take follows one report. A report of another epoch is about a placement that
// is over, so it changes nothing.
func (p *pass) take(r Report) {
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
		p.takeRunning(d, task, r)
	case OutcomeFinished:
		p.failures.succeeded(r.Job, r.Host)
		d.set(released(task, model.TaskFinished))
	case OutcomeFailed:
		p.takeFailed(d, task)
	case OutcomeStopped:
		d.set(released(task, d.idleState(task)))
	}
}

// released returns the task without its lease. The epoch stays: the next
// placement has the next one.
func released(task model.Task, to model.TaskState) model.Task {
	task.State = to
	task.Host = ""
	task.LeaseUntil = time.Time{}
	task.Reason, task.Message = model.ReasonNone, ""
	return task
}

// idleState is the state of a task that holds no lease and has not ended.
func (d *draft) idleState(task model.Task) model.TaskState {
	if d.unwanted(task) {
		return model.TaskCancelled
	}
	return model.TaskPending
}

// unwanted tells whether the task is not to run: the job was cancelled or has
// fewer tasks than before.
func (d *draft) unwanted(task model.Task) bool {
	return d.job.Spec.Cancelled || task.Index >= d.job.Spec.Tasks
}

func (p *pass) takeRunning(d *draft, task model.Task, r Report) {
	changed := false
	if task.State == model.TaskStarting {
		task.State = model.TaskRunning
		changed = true
	}
	if task.LeaseUntil.Sub(p.now) < RenewBefore && task.State != model.TaskStopping {
		task.LeaseUntil = p.now.Add(LeaseTime)
		changed = true
	}
	if differs(r.UsedCores, task.UsedCores) || differs(r.UsedMemoryMB, task.UsedMemoryMB) {
		changed = true
	}
	if changed {
		task.UsedCores, task.UsedMemoryMB = r.UsedCores, r.UsedMemoryMB
		d.set(task)
	}
}

// differs tells whether a use changed by more than a quarter, which is worth a
// log entry.
func differs(a, b int) bool { return 4*max(a-b, b-a) > max(a, b) }

func (p *pass) takeFailed(d *draft, task model.Task) {
	p.failures.failed(d.job.Name, task.Host, p.now)
	task.Failures++
	next := released(task, d.idleState(task))
	next.RetryAfter = p.now.Add(backoff(task.Failures))
	d.set(next)
}

func backoff(failures int) time.Duration {
	wait := BackoffBase
	for i := 1; i < failures && wait < BackoffMax; i++ {
		wait *= 2
	}
	return min(wait, BackoffMax)
}

// endLeases takes back leases that ran out and ends tasks that are unwanted.
// All tasks of a cancelled job change in one entry.
func (p *pass) endLeases() {
	for _, d := range p.order {
		for _, task := range d.tasks {
			p.endLease(d, task)
		}
	}
}

func (p *pass) endLease(d *draft, task model.Task) {
	held := state.HoldsLease(task.State)
	switch {
	case held && !task.LeaseUntil.After(p.now):
		d.set(released(task, d.idleState(task)))
	case held && d.unwanted(task) && task.State != model.TaskStopping:
		task.State = model.TaskStopping
		d.set(task)
	case task.State == model.TaskPending && d.unwanted(task):
		d.set(released(task, model.TaskCancelled))
	}
}

// propose writes one command for each job that changed, and the use of teams.
func (p *pass) propose() {
	for _, d := range p.order {
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
	p.tellTeams()
}

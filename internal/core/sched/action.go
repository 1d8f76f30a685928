package sched

import (
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Margins of leases between the state and the workers.
const (
	// LeaseMargin is by how much a worker's lease ends before the one in the
	// state, for the time that a call takes. A call that takes longer is given up.
	LeaseMargin = 5 * time.Second
	// renewStep is the least extension of a worker's lease that is worth a call.
	renewStep = 10 * time.Second
)

// Listed is one placement as the platform lists it. An ended one stays listed
// until a newer placement or for some minutes.
type ListedTask struct {
	Report
	// Left is the rest of the lease that the worker has.
	LeaseRemaining time.Duration
}

// Action is one call of the platform about a task. It is comparable, so that a
// call that is under way is recognised.
type Action struct {
	Host  string
	Job   string
	Index int
	Epoch uint64
	// Stop checkpoints or stops the task; else it is started, or its lease
	// renewed if it runs already.
	Stop bool
	// Until is the end of the worker's lease.
	Until        time.Time
	Cores        int
	MemoryMB     int
	Accelerators int
}

type taskKey struct {
	job   string
	index int
	epoch uint64
}

// Actions compares the committed leases with what the platform lists, and
// returns the calls that are missing.
func Actions(snap *state.Snapshot, listed []ListedTask, now time.Time) []Action {
	known := make(map[taskKey]ListedTask, len(listed))
	for _, l := range listed {
		known[taskKey{l.Job, l.Index, l.Epoch}] = l
	}
	var actions []Action
	for _, obj := range snap.List(model.KindJob) {
		job := obj.(*model.Job)
		for i := range job.Status.Tasks {
			task := &job.Status.Tasks[i]
			if !state.HoldsLease(task.State) {
				continue
			}
			l, found := known[taskKey{job.Name, task.Index, task.Epoch}]
			if a, ok := actionFor(job, task, l, found, now); ok {
				actions = append(actions, a)
			}
		}
	}
	return actions
}

func actionFor(job *model.Job, task *model.Task, l ListedTask, found bool, now time.Time) (Action, bool) {
	a := Action{
		Host: task.Host, Job: job.Name, Index: task.Index, Epoch: task.Epoch, Stop: task.State == model.TaskStopping,
		Until: task.LeaseUntil.Add(-LeaseMargin),
		Cores: job.Spec.Cores, MemoryMB: job.Spec.MemoryMB, Accelerators: job.Spec.Accelerators,
	}
	left := a.Until.Sub(now)
	switch {
	case found && l.Outcome != OutcomeRunning || left <= 0:
		return a, false
	case a.Stop:
		return a, true
	case !found:
		// A task that ran and is gone is not started under the same epoch: its
		// end may only not be known yet. Its lease runs out instead.
		return a, task.State == model.TaskStarting
	}
	return a, left-l.LeaseRemaining >= renewStep
}

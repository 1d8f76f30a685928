package sched

import (
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Margins between the lease in the state and the lease of the worker.
const (
	// LeaseMargin is how much earlier a worker's lease ends than the lease in the
	// state. It covers the duration of a platform call; a longer call is abandoned.
	LeaseMargin = 5 * time.Second
	// minLeaseExtension is the smallest extension of a worker's lease that is
	// worth a platform call.
	minLeaseExtension = 10 * time.Second
)

// ListedTask is one placement as the platform lists it. An ended placement stays
// listed for some minutes, or until a newer placement replaces it.
type ListedTask struct {
	Report
	// LeaseRemaining is the remaining duration of the worker's lease.
	LeaseRemaining time.Duration
}

// Action is one platform call for a task. It is comparable, so that the calling
// code can recognise a call that is already in progress.
type Action struct {
	Host  string
	Job   string
	Index int
	Epoch uint64
	// Stop is set to checkpoint or stop the task. Otherwise the task is started,
	// or its lease is renewed if it is already running.
	Stop bool
	// Until is when the worker's lease expires.
	Until        time.Time
	Cores        int
	MemoryMB     int
	Accelerators int
}

// taskKey identifies one placement of a task.
type taskKey struct {
	job   string
	index int
	epoch uint64
}

// Actions compares the committed leases with the tasks that the platform lists
// and returns the calls that are still needed.
func Actions(snap *state.Snapshot, listed []ListedTask, now time.Time) []Action {
	byKey := make(map[taskKey]ListedTask, len(listed))
	for _, listedTask := range listed {
		byKey[taskKey{listedTask.Job, listedTask.Index, listedTask.Epoch}] = listedTask
	}
	var actions []Action
	for _, obj := range snap.List(model.KindJob) {
		job := obj.(*model.Job)
		for i := range job.Status.Tasks {
			task := &job.Status.Tasks[i]
			if !state.HoldsLease(task.State) {
				continue
			}
			listedTask, found := byKey[taskKey{job.Name, task.Index, task.Epoch}]
			if a, ok := actionFor(job, task, listedTask, found, now); ok {
				actions = append(actions, a)
			}
		}
	}
	return actions
}

// actionFor returns the platform call for a task that holds a lease, and whether
// the call is needed now.
func actionFor(job *model.Job, task *model.Task, listed ListedTask, found bool, now time.Time) (Action, bool) {
	a := Action{
		Host: task.Host, Job: job.Name, Index: task.Index, Epoch: task.Epoch, Stop: task.State == model.TaskStopping,
		Until: task.LeaseUntil.Add(-LeaseMargin),
		Cores: job.Spec.Cores, MemoryMB: job.Spec.MemoryMB, Accelerators: job.Spec.Accelerators,
	}
	remaining := a.Until.Sub(now)
	switch {
	case found && listed.Outcome != OutcomeRunning || remaining <= 0:
		return a, false
	case a.Stop:
		return a, true
	case !found:
		// A running task that is no longer listed is not started again under the
		// same epoch, because it may have ended without a report so far. Its lease
		// expires instead.
		return a, task.State == model.TaskStarting
	}
	return a, remaining-listed.LeaseRemaining >= minLeaseExtension
}

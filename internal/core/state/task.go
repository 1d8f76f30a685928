package state

import (
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

// HoldsLease tells whether a task in this state may run on its host.
func HoldsLease(state model.TaskState) bool {
	return state == model.TaskStarting || state == model.TaskRunning || state == model.TaskStopping
}

func (s *State) applyTaskStep(c TaskStep) Result {
	key := model.Key{Kind: model.KindJob, Name: c.Job}
	stored, ok := s.Get(key).(*model.Job)
	if !ok {
		return Result{Err: fault.New(fault.NotFound, "%s %s does not exist", key.Kind, key.Name)}
	}
	if err := checkVersion(key, stored, c.Expected); err != nil {
		return Result{Object: stored, Err: err}
	}
	job := stored.Clone().(*model.Job)
	job.Status.Reason, job.Status.Message = c.Reason, c.Message
	for _, task := range c.Tasks {
		if err := s.stepTask(job, task); err != nil {
			return Result{Object: stored, Err: err}
		}
	}
	if err := s.checkQuota(stored, job); err != nil {
		return Result{Object: stored, Err: err}
	}
	s.store(job)
	return Result{Object: job}
}

func (s *State) stepTask(job *model.Job, next model.Task) *fault.Error {
	// A job that was made smaller still ends the tasks above its size.
	if next.Index < 0 || next.Index >= max(job.Spec.Tasks, len(job.Status.Tasks)) {
		return fault.InvalidField("tasks.index", "below spec.tasks", "value is %d", next.Index)
	}
	for len(job.Status.Tasks) <= next.Index {
		job.Status.Tasks = append(job.Status.Tasks, model.Task{Index: len(job.Status.Tasks), State: model.TaskPending})
	}
	before := job.Status.Tasks[next.Index]
	if err := s.checkTask(job, before, next); err != nil {
		return err
	}
	job.Status.Tasks[next.Index] = next
	return nil
}

// checkTask keeps at most one live lease per task: a new placement has the next
// epoch and waits until the former lease is over.
func (s *State) checkTask(job *model.Job, before, next model.Task) *fault.Error {
	if before.State == model.TaskFinished || before.State == model.TaskCancelled {
		return fault.New(fault.Conflict, "task %d of job %s is %s", before.Index, job.Name, before.State)
	}
	placed := next.Epoch != before.Epoch
	if !placed {
		return checkKept(job, before, next)
	}
	if next.Epoch != before.Epoch+1 || next.State != model.TaskStarting {
		return fault.New(fault.Fenced, "task %d of job %s has epoch %d, a placement has the next epoch and state starting", before.Index, job.Name, before.Epoch)
	}
	if HoldsLease(before.State) && before.LeaseUntil.After(s.now) {
		return fault.New(fault.Conflict, "task %d of job %s holds a lease on host %s until %s", before.Index, job.Name, before.Host, before.LeaseUntil)
	}
	if job.Spec.Cancelled || next.Index >= job.Spec.Tasks {
		return fault.New(fault.Cancelled, "task %d of job %s is cancelled", next.Index, job.Name)
	}
	return s.checkTaskHost(job, next)
}

func checkKept(job *model.Job, before, next model.Task) *fault.Error {
	if !HoldsLease(next.State) {
		return nil
	}
	if next.Host != before.Host || !HoldsLease(before.State) {
		return fault.New(fault.Fenced, "task %d of job %s gets a lease only with a new epoch", before.Index, job.Name)
	}
	return nil
}

func (s *State) checkTaskHost(job *model.Job, next model.Task) *fault.Error {
	host, ok := s.Get(model.Key{Kind: model.KindHost, Name: next.Host}).(*model.Host)
	if !ok {
		return fault.New(fault.NotFound, "host %s does not exist", next.Host)
	}
	if host.Spec.Pool != job.Spec.Pool || host.Status.Phase != model.HostActive {
		return fault.New(fault.Conflict, "host %s is %s in pool %s, job %s needs an active host of pool %s",
			host.Name, host.Status.Phase, host.Spec.Pool, job.Name, job.Spec.Pool)
	}
	return nil
}

// checkQuota refuses a step that raises the use of a team above its quota.
// Work that runs already stays when the quota shrinks.
func (s *State) checkQuota(before, after *model.Job) *fault.Error {
	if after.Spec.Team == "" {
		return nil
	}
	added := leases(after) - leases(before)
	if added <= 0 {
		return nil
	}
	var quota model.TeamSpec
	if team, ok := s.Get(model.Key{Kind: model.KindTeam, Name: after.Spec.Team}).(*model.Team); ok {
		quota = team.Spec
	}
	use := s.ledger.teams[after.Spec.Team]
	if use.UsedCores+added*after.Spec.Cores > quota.QuotaCores ||
		use.UsedMemoryMB+added*after.Spec.MemoryMB > quota.QuotaMemoryMB ||
		use.UsedAccelerators+added*after.Spec.Accelerators > quota.QuotaAccelerators {
		err := fault.New(fault.QuotaExceeded, "%d more tasks of job %s exceed the quota of team %s", added, after.Name, after.Spec.Team)
		err.Reason = string(model.ReasonQuota)
		return err
	}
	return nil
}

func leases(j *model.Job) int {
	n := 0
	for i := range j.Status.Tasks {
		if HoldsLease(j.Status.Tasks[i].State) {
			n++
		}
	}
	return n
}

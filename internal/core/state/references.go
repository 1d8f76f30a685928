package state

import (
	"fmt"
	"slices"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

// checkReferences returns an error if obj references a resource that does not
// exist or that does not allow the reference.
func (s *State) checkReferences(obj, stored model.Object) *fault.Error {
	switch o := obj.(type) {
	case *model.Pool:
		if o.Spec.SpareFrom == "" {
			return nil
		}
		return s.requirePool("spec.spareFrom", o.Spec.SpareFrom)
	case *model.Host:
		return s.requirePool("spec.pool", o.Spec.Pool)
	case *model.Job:
		if err := s.requirePool("spec.pool", o.Spec.Pool); err != nil {
			return err
		}
		return s.requireTeam("spec.team", o.Spec.Team)
	case *model.Budget:
		return s.checkBudget(o)
	case *model.Wave:
		return s.checkWavePools(o, stored)
	}
	return nil
}

// requirePool returns an error for field if the pool does not exist.
func (s *State) requirePool(field, name string) *fault.Error {
	if s.Get(model.Key{Kind: model.KindPool, Name: name}) == nil {
		return fault.InvalidField(field, "an existing pool", "pool %s does not exist", name)
	}
	return nil
}

// requireTeam returns an error for field if name is set and the team does not
// exist.
func (s *State) requireTeam(field, name string) *fault.Error {
	if name != "" && s.Get(model.Key{Kind: model.KindTeam, Name: name}) == nil {
		return fault.InvalidField(field, "an existing team", "team %s does not exist", name)
	}
	return nil
}

// hostCount returns the number of hosts of a pool.
func (s *State) hostCount(pool string) int {
	count, _ := s.hostCounts.Get(pool)
	return count
}

// checkBudget returns an error if the pool has fewer hosts than the budget needs
// or if it has another budget.
func (s *State) checkBudget(b *model.Budget) *fault.Error {
	if err := s.requirePool("spec.pool", b.Spec.Pool); err != nil {
		return err
	}
	if other := s.budgetOf(b.Spec.Pool); other != nil && other.Name != b.Name {
		return fault.InvalidField("spec.pool", "a pool without a budget", "pool %s has the budget %s", b.Spec.Pool, other.Name)
	}
	if hosts := s.hostCount(b.Spec.Pool); b.Spec.MinHealthy > hosts {
		return fault.InvalidField("spec.minHealthy", fmt.Sprintf("0 to %d hosts", hosts), "pool %s has %d hosts, the budget needs %d", b.Spec.Pool, hosts, b.Spec.MinHealthy)
	}
	return nil
}

// find returns the first resource of a kind, ordered by name, for which match
// returns true, or nil.
func (s *State) find(kind model.Kind, match func(model.Object) bool) model.Object {
	var found model.Object
	s.objectsByKind[kind].Scan(func(_ string, obj model.Object) bool {
		if match(obj) {
			found = obj
		}
		return found == nil
	})
	return found
}

// budgetOf returns the budget of a pool, or nil.
func (s *State) budgetOf(pool string) *model.Budget {
	found, _ := s.find(model.KindBudget, func(o model.Object) bool { return o.(*model.Budget).Spec.Pool == pool }).(*model.Budget)
	return found
}

// checkWavePools returns an error if a pool of the wave does not exist or has no
// hosts. A wave whose pools are unchanged is not checked again, so that it can
// be paused at any time.
func (s *State) checkWavePools(w *model.Wave, stored model.Object) *fault.Error {
	if before, ok := stored.(*model.Wave); ok && slices.Equal(before.Spec.Pools, w.Spec.Pools) {
		return nil
	}
	for i, pool := range w.Spec.Pools {
		field := fmt.Sprintf("spec.pools[%d]", i)
		if err := s.requirePool(field, pool); err != nil {
			return err
		}
		if s.hostCount(pool) == 0 {
			return fault.InvalidField(field, "a pool with hosts", "pool %s has no hosts", pool)
		}
	}
	return nil
}

// checkTransition returns an error if the stored resource does not allow the
// change to the spec of obj.
func checkTransition(obj, stored model.Object) *fault.Error {
	switch before := stored.(type) {
	case *model.Host:
		if before.Spec.Pool != obj.(*model.Host).Spec.Pool {
			return fault.InvalidField("spec.pool", "the current pool, "+before.Spec.Pool, "a host changes its pool by a move, not by a put")
		}
	case *model.Job:
		return checkJobTransition(obj.(*model.Job), before)
	case *model.Wave:
		return checkWaveTransition(obj.(*model.Wave), before)
	}
	return nil
}

func checkJobTransition(job, before *model.Job) *fault.Error {
	if before.Spec.Cancelled && !job.Spec.Cancelled {
		return fault.InvalidField("spec.cancelled", "true", "a cancellation cannot be undone, create another job")
	}
	if before.Spec.Pool != job.Spec.Pool && len(before.Status.Tasks) > 0 {
		return fault.InvalidField("spec.pool", "the current pool, "+before.Spec.Pool, "job has tasks in pool %s, create another job", before.Spec.Pool)
	}
	return nil
}

// keepProgress copies the fields that operations and moves have set to obj, the
// repeated declaration of a stored resource. Applying a manifest again, such as
// every evening, must neither resume a paused wave nor be refused because a wave
// has started or a host is borrowed.
func keepProgress(obj, stored model.Object) {
	switch o := obj.(type) {
	case *model.Wave:
		before := stored.(*model.Wave).Spec
		o.Spec.Started = o.Spec.Started || before.Started
		o.Spec.Paused = o.Spec.Paused || before.Paused
		o.Spec.Cancelled = o.Spec.Cancelled || before.Cancelled
	case *model.Job:
		o.Spec.Cancelled = o.Spec.Cancelled || stored.(*model.Job).Spec.Cancelled
	case *model.Host:
		before := stored.(*model.Host)
		if before.Status.HomePool != "" && o.Spec.Pool == before.Status.HomePool {
			o.Spec.Pool = before.Spec.Pool
		}
	}
}

// checkWaveTransition returns an error if the spec of a wave may not change in
// this way. The action and pools of a started wave are fixed, so that all its
// planned stops follow the same spec.
func checkWaveTransition(wave, before *model.Wave) *fault.Error {
	if wave.SpecEqual(before) {
		return nil
	}
	if phase := before.Status.Phase; phase == model.WaveFinished || phase == model.WaveCancelled {
		return fault.InvalidField("spec", "no change of an ended wave", "wave is %s, create another wave", phase)
	}
	if before.Spec.Cancelled && !wave.Spec.Cancelled {
		return fault.InvalidField("spec.cancelled", "true", "a cancellation cannot be undone, create another wave")
	}
	if !before.Spec.Started {
		return nil
	}
	switch {
	case !wave.Spec.Started:
		return fault.InvalidField("spec.started", "true", "a started wave is paused or cancelled, not put back")
	case wave.Spec.Action != before.Spec.Action:
		return fault.InvalidField("spec.action", string(before.Spec.Action), "the action of a started wave is fixed")
	case !slices.Equal(wave.Spec.Pools, before.Spec.Pools):
		return fault.InvalidField("spec.pools", "the current pools", "the pools of a started wave are fixed")
	}
	return nil
}

// checkUnused returns an error if the resource cannot be deleted because it is
// referenced or in use.
func (s *State) checkUnused(stored model.Object) *fault.Error {
	switch o := stored.(type) {
	case *model.Pool:
		return s.checkPoolUnused(o.Name)
	case *model.Team:
		user := s.find(model.KindJob, func(j model.Object) bool { return j.(*model.Job).Spec.Team == o.Name })
		return inUseError(stored, user)
	case *model.Host:
		return s.checkHostUnused(o)
	case *model.Job:
		return checkJobUnused(o)
	case *model.Wave:
		if len(o.Status.Stopped) > 0 {
			return fault.New(fault.Conflict, "wave %s has %d hosts in a planned stop, cancel it and wait until they return", o.Name, len(o.Status.Stopped))
		}
	}
	return nil
}

// inUseError returns a Conflict error that names user, the resource that
// references stored, or nil if user is nil.
func inUseError(stored, user model.Object) *fault.Error {
	if user == nil {
		return nil
	}
	meta, userMeta := stored.Metadata(), user.Metadata()
	err := fault.New(fault.Conflict, "%s %s is used by %s %s", meta.Kind, meta.Name, userMeta.Kind, userMeta.Name)
	err.Current = meta.Version
	return err
}

// checkPoolUnused returns an error if another resource references the pool.
func (s *State) checkPoolUnused(pool string) *fault.Error {
	stored := s.Get(model.Key{Kind: model.KindPool, Name: pool})
	if s.hostCount(pool) > 0 {
		return inUseError(stored, s.find(model.KindHost, func(o model.Object) bool { return o.(*model.Host).Spec.Pool == pool }))
	}
	references := []struct {
		kind  model.Kind
		match func(model.Object) bool
	}{
		{model.KindBudget, func(o model.Object) bool { return o.(*model.Budget).Spec.Pool == pool }},
		{model.KindJob, func(o model.Object) bool { return o.(*model.Job).Spec.Pool == pool }},
		{model.KindWave, func(o model.Object) bool { return waveCoversPool(o.(*model.Wave), pool) }},
		{model.KindPool, func(o model.Object) bool { return o.(*model.Pool).Spec.SpareFrom == pool }},
		{model.KindHost, func(o model.Object) bool { return isMovingTo(o.(*model.Host), pool) }},
	}
	for _, ref := range references {
		if user := s.find(ref.kind, ref.match); user != nil {
			return inUseError(stored, user)
		}
	}
	return nil
}

func waveCoversPool(w *model.Wave, pool string) bool { return slices.Contains(w.Spec.Pools, pool) }

func isMovingTo(h *model.Host, pool string) bool {
	return h.Status.Stop != nil && h.Status.Stop.TargetPool == pool
}

// checkHostUnused returns an error if the host is healthy and not drained, so
// that a delete interrupts no work in flight, or if the budget of its pool needs
// the host.
func (s *State) checkHostUnused(h *model.Host) *fault.Error {
	if h.Status.Health == model.HealthHealthy && h.Status.Phase != model.HostDrained {
		return fault.New(fault.Conflict, "host %s is healthy and %s, drain it before it is deleted", h.Name, h.Status.Phase)
	}
	budget := s.budgetOf(h.Spec.Pool)
	remaining := s.hostCount(h.Spec.Pool) - 1
	if budget != nil && remaining < budget.Spec.MinHealthy {
		err := fault.New(fault.BudgetBlocked, "pool %s would have %d hosts, its budget %s needs %d healthy", h.Spec.Pool, remaining, budget.Name, budget.Spec.MinHealthy)
		err.Field, err.Limit = "spec.minHealthy", fmt.Sprintf("0 to %d hosts", remaining)
		return err
	}
	return nil
}

// checkJobUnused returns an error if a task of the job may be running.
func checkJobUnused(j *model.Job) *fault.Error {
	for _, task := range j.Status.Tasks {
		if task.State == model.TaskStarting || task.State == model.TaskRunning || task.State == model.TaskStopping {
			return fault.New(fault.Conflict, "task %d of job %s is %s, cancel the job and wait until its tasks have ended", task.Index, j.Name, task.State)
		}
	}
	return nil
}

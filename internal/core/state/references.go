package state

import (
	"fmt"
	"slices"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

// checkReferences refuses a resource that names another that does not exist or
// that does not fit to it.
func (s *State) checkReferences(obj, stored model.Object) *fault.Error {
	switch o := obj.(type) {
	case *model.Pool:
		if o.Spec.SpareFrom == "" {
			return nil
		}
		return s.needPool("spec.spareFrom", o.Spec.SpareFrom)
	case *model.Host:
		return s.needPool("spec.pool", o.Spec.Pool)
	case *model.Job:
		if err := s.needPool("spec.pool", o.Spec.Pool); err != nil {
			return err
		}
		return s.needTeam("spec.team", o.Spec.Team)
	case *model.Budget:
		return s.checkBudget(o)
	case *model.Wave:
		return s.checkWavePools(o, stored)
	}
	return nil
}

func (s *State) needPool(field, name string) *fault.Error {
	if s.Get(model.Key{Kind: model.KindPool, Name: name}) == nil {
		return fault.InvalidField(field, "an existing pool", "pool %s does not exist", name)
	}
	return nil
}

func (s *State) needTeam(field, name string) *fault.Error {
	if name != "" && s.Get(model.Key{Kind: model.KindTeam, Name: name}) == nil {
		return fault.InvalidField(field, "an existing team", "team %s does not exist", name)
	}
	return nil
}

// hostsIn returns the number of hosts of a pool.
func (s *State) hostsIn(pool string) int {
	count, _ := s.poolHosts.Get(pool)
	return count
}

// checkBudget refuses a budget that its pool can never keep, and a second one
// for the same pool.
func (s *State) checkBudget(b *model.Budget) *fault.Error {
	if err := s.needPool("spec.pool", b.Spec.Pool); err != nil {
		return err
	}
	if other := s.budgetOf(b.Spec.Pool); other != nil && other.Name != b.Name {
		return fault.InvalidField("spec.pool", "a pool without a budget", "pool %s has the budget %s", b.Spec.Pool, other.Name)
	}
	if hosts := s.hostsIn(b.Spec.Pool); b.Spec.MinHealthy > hosts {
		return fault.InvalidField("spec.minHealthy", fmt.Sprintf("0 to %d hosts", hosts), "pool %s has %d hosts, the budget needs %d", b.Spec.Pool, hosts, b.Spec.MinHealthy)
	}
	return nil
}

// find returns the first resource of a kind, in the order of names, for which
// match is true, or nil.
func (s *State) find(kind model.Kind, match func(model.Object) bool) model.Object {
	var found model.Object
	s.kinds[kind].Scan(func(_ string, obj model.Object) bool {
		if match(obj) {
			found = obj
		}
		return found == nil
	})
	return found
}

func (s *State) budgetOf(pool string) *model.Budget {
	found, _ := s.find(model.KindBudget, func(o model.Object) bool { return o.(*model.Budget).Spec.Pool == pool }).(*model.Budget)
	return found
}

// checkWavePools wants hosts in every pool of a wave. A wave whose pools stay
// the same is not checked again, so that it can be paused at any time.
func (s *State) checkWavePools(w *model.Wave, stored model.Object) *fault.Error {
	if before, ok := stored.(*model.Wave); ok && slices.Equal(before.Spec.Pools, w.Spec.Pools) {
		return nil
	}
	for i, pool := range w.Spec.Pools {
		field := fmt.Sprintf("spec.pools[%d]", i)
		if err := s.needPool(field, pool); err != nil {
			return err
		}
		if s.hostsIn(pool) == 0 {
			return fault.InvalidField(field, "a pool with hosts", "pool %s has no hosts", pool)
		}
	}
	return nil
}

// checkTransition refuses a change of spec that what is under way forbids.
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

// keepProgress keeps what verbs and moves have set in a resource that is
// declared again: a manifest that is applied every evening must neither resume
// a paused wave nor be refused because a wave is started or a host is borrowed.
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

// checkWaveTransition keeps the order of a started wave: what was stopped and
// returned already must have been chosen by the spec that is still there.
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

// checkUnused refuses the delete of a resource that others need.
func (s *State) checkUnused(stored model.Object) *fault.Error {
	switch o := stored.(type) {
	case *model.Pool:
		return s.checkPoolUnused(o.Name)
	case *model.Team:
		used := s.find(model.KindJob, func(j model.Object) bool { return j.(*model.Job).Spec.Team == o.Name })
		return inUse(stored, used)
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

func inUse(stored, by model.Object) *fault.Error {
	if by == nil {
		return nil
	}
	head, user := stored.Metadata(), by.Metadata()
	err := fault.New(fault.Conflict, "%s %s is used by %s %s", head.Kind, head.Name, user.Kind, user.Name)
	err.Current = head.Version
	return err
}

func (s *State) checkPoolUnused(pool string) *fault.Error {
	stored := s.Get(model.Key{Kind: model.KindPool, Name: pool})
	if s.hostsIn(pool) > 0 {
		return inUse(stored, s.find(model.KindHost, func(o model.Object) bool { return o.(*model.Host).Spec.Pool == pool }))
	}
	uses := []struct {
		kind model.Kind
		by   func(model.Object) bool
	}{
		{model.KindBudget, func(o model.Object) bool { return o.(*model.Budget).Spec.Pool == pool }},
		{model.KindJob, func(o model.Object) bool { return o.(*model.Job).Spec.Pool == pool }},
		{model.KindWave, func(o model.Object) bool { return isWaveOver(o.(*model.Wave), pool) }},
		{model.KindPool, func(o model.Object) bool { return o.(*model.Pool).Spec.SpareFrom == pool }},
		{model.KindHost, func(o model.Object) bool { return isMovingTo(o.(*model.Host), pool) }},
	}
	for _, use := range uses {
		if by := s.find(use.kind, use.by); by != nil {
			return inUse(stored, by)
		}
	}
	return nil
}

func isWaveOver(w *model.Wave, pool string) bool { return slices.Contains(w.Spec.Pools, pool) }

func isMovingTo(h *model.Host, pool string) bool {
	return h.Status.Stop != nil && h.Status.Stop.TargetPool == pool
}

// checkHostUnused refuses to delete a host that may carry work, because a
// planned stop is a drain, and one that its pool's budget needs.
func (s *State) checkHostUnused(h *model.Host) *fault.Error {
	if h.Status.Health == model.HealthHealthy && h.Status.Phase != model.HostDrained {
		return fault.New(fault.Conflict, "host %s is healthy and %s, drain it before it is deleted", h.Name, h.Status.Phase)
	}
	budget := s.budgetOf(h.Spec.Pool)
	left := s.hostsIn(h.Spec.Pool) - 1
	if budget != nil && left < budget.Spec.MinHealthy {
		err := fault.New(fault.BudgetBlocked, "pool %s would have %d hosts, its budget %s needs %d healthy", h.Spec.Pool, left, budget.Name, budget.Spec.MinHealthy)
		err.Field, err.Limit = "spec.minHealthy", fmt.Sprintf("0 to %d hosts", left)
		return err
	}
	return nil
}

func checkJobUnused(j *model.Job) *fault.Error {
	for _, task := range j.Status.Tasks {
		if task.State == model.TaskStarting || task.State == model.TaskRunning || task.State == model.TaskStopping {
			return fault.New(fault.Conflict, "task %d of job %s is %s, cancel the job and wait until its tasks have ended", task.Index, j.Name, task.State)
		}
	}
	return nil
}

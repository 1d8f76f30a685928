package state

import (
	"cmp"
	"slices"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

// MaxHealthAge is the maximum age, in replicated time, of a health report. The
// health of a host with an older report counts as unknown.
const MaxHealthAge = 10 * time.Second

type rackKey struct{ zone, rack string }

// Capacity holds the host counts of one pool. They are derived only from the
// hosts, so that they cannot disagree with the host states.
type Capacity struct {
	Hosts        int
	Available    int
	PlannedStops int
	// MovesOut and MovesIn are the numbers of moves in progress from and to the
	// pool.
	MovesOut, MovesIn int

	// racks and zones hold the number of available hosts by rack and zone.
	racks map[rackKey]int
	zones map[string]int
}

// NewCapacity returns a Capacity without hosts.
func NewCapacity() Capacity {
	return Capacity{racks: make(map[rackKey]int), zones: make(map[string]int)}
}

// Add counts a host of the pool. available reports whether the host is healthy
// capacity.
func (c *Capacity) Add(h *model.Host, available bool) { c.adjust(h, available, 1) }

// Remove reverses an Add with the same arguments.
func (c *Capacity) Remove(h *model.Host, available bool) { c.adjust(h, available, -1) }

// adjust adds (delta 1) or removes (delta -1) a host.
func (c *Capacity) adjust(h *model.Host, available bool, delta int) {
	c.Hosts += delta
	if stop := h.Status.Stop; stop != nil {
		c.PlannedStops += delta
		if stop.Action == model.StopMove {
			c.MovesOut += delta
		}
	}
	if !available {
		return
	}
	c.Available += delta
	addCount(c.racks, rackKey{h.Spec.Zone, h.Spec.Rack}, delta)
	addCount(c.zones, h.Spec.Zone, delta)
}

// addCount adds delta to a count and deletes the key if the count becomes 0.
func addCount[K comparable](m map[K]int, key K, delta int) {
	m[key] += delta
	if m[key] == 0 {
		delete(m, key)
	}
}

// CheckStop returns an error if a planned stop of h would violate one of the
// budgets. available reports whether h is healthy capacity now. It takes one
// pass over the racks and zones of the pool.
func (c *Capacity) CheckStop(h *model.Host, available bool, budgets []*model.Budget) *fault.Error {
	if len(budgets) == 0 {
		return blockedError(model.ReasonNoBudget, "pool %s has no budget, planned stops need one", h.Spec.Pool)
	}
	lost := 0
	if available {
		lost = 1
	}
	for _, b := range budgets {
		if err := c.checkBudget(h, lost, b); err != nil {
			return err
		}
	}
	return nil
}

func (c *Capacity) checkBudget(h *model.Host, lost int, b *model.Budget) *fault.Error {
	needed, remaining := b.Spec.MinHealthy, c.Available-lost
	if c.Available < needed {
		return blockedError(model.ReasonBudgetBroken, "pool %s has %d healthy hosts, budget %s needs %d", h.Spec.Pool, c.Available, b.Name, needed)
	}
	if c.PlannedStops >= b.Spec.MaxPlannedStops {
		return blockedError(model.ReasonBudget, "pool %s has %d planned stops, budget %s allows %d", h.Spec.Pool, c.PlannedStops, b.Name, b.Spec.MaxPlannedStops)
	}
	if remaining < needed {
		return blockedError(model.ReasonBudget, "pool %s would have %d healthy hosts, budget %s needs %d", h.Spec.Pool, remaining, b.Name, needed)
	}
	if worst := maxAfterLoss(c.racks, rackKey{h.Spec.Zone, h.Spec.Rack}, lost); b.Spec.SurviveRack && remaining-worst < needed {
		return blockedError(model.ReasonRackSurvival, "pool %s would have %d healthy hosts after the loss of a rack, budget %s needs %d", h.Spec.Pool, remaining-worst, b.Name, needed)
	}
	if worst := maxAfterLoss(c.zones, h.Spec.Zone, lost); b.Spec.SurviveZone && remaining-worst < needed {
		return blockedError(model.ReasonZoneSurvival, "pool %s would have %d healthy hosts after the loss of a zone, budget %s needs %d", h.Spec.Pool, remaining-worst, b.Name, needed)
	}
	return nil
}

// maxAfterLoss returns the largest count after the count of affected decreases
// by lost.
func maxAfterLoss[K comparable](m map[K]int, affected K, lost int) int {
	largest := 0
	for key, n := range m {
		if key == affected {
			n -= lost
		}
		largest = max(largest, n)
	}
	return largest
}

// blockedError returns a BudgetBlocked error with a reason.
func blockedError(reason model.Reason, format string, args ...any) *fault.Error {
	err := fault.New(fault.BudgetBlocked, format, args...)
	err.Reason = string(reason)
	return err
}

// IsHealthKnown reports whether the host itself or its whole pool was reported
// within MaxHealthAge before now.
func IsHealthKnown(h *model.Host, poolReportedAt, now time.Time) bool {
	lastReport := h.Status.LastReport
	if poolReportedAt.After(lastReport) {
		lastReport = poolReportedAt
	}
	return now.Sub(lastReport) <= MaxHealthAge
}

// poolIndex is the index of one pool. Invariant: Capacity counts exactly the
// hosts in hosts, and counts a host as available if Host.Available is true,
// regardless of the age of its report.
type poolIndex struct {
	Capacity
	hosts   map[string]*model.Host
	budgets map[string]*model.Budget
	// reportedAt is the Status.Reported of the pool.
	reportedAt time.Time
	// changedVersion is the version at which the membership of the pool or the
	// health of one of its hosts last changed.
	changedVersion uint64
}

// capacityIndex indexes hosts, budgets and jobs for the checks of Apply. It is
// derived from the resources, except changedVersion of the pools, which a Dump
// includes. It belongs to a State and has the same owner.
type capacityIndex struct {
	pools map[string]*poolIndex
	// waveStops is the number of hosts in a planned stop by wave.
	waveStops map[string]int
	// teamUsage is the resource usage, by team, of the tasks that hold a lease.
	teamUsage map[string]model.TeamStatus
}

func newCapacityIndex() capacityIndex {
	return capacityIndex{pools: make(map[string]*poolIndex), waveStops: make(map[string]int), teamUsage: make(map[string]model.TeamStatus)}
}

// rebuildCapacityIndex builds the index from the stored resources.
func (s *State) rebuildCapacityIndex() {
	s.capacity = newCapacityIndex()
	for _, tree := range s.objectsByKind {
		tree.Scan(func(_ string, obj model.Object) bool {
			s.capacity.update(nil, obj, s.version)
			return true
		})
	}
}

// pool returns the index of a pool and creates it if it does not exist.
func (ci *capacityIndex) pool(name string) *poolIndex {
	p := ci.pools[name]
	if p == nil {
		p = &poolIndex{Capacity: NewCapacity(), hosts: make(map[string]*model.Host), budgets: make(map[string]*model.Budget)}
		ci.pools[name] = p
	}
	return p
}

// poolChanges returns the last change of each pool, ordered by pool name.
func (ci *capacityIndex) poolChanges() []PoolChange {
	list := make([]PoolChange, 0, len(ci.pools))
	for name, p := range ci.pools {
		list = append(list, PoolChange{Pool: name, Version: p.changedVersion})
	}
	slices.SortFunc(list, func(a, b PoolChange) int { return cmp.Compare(a.Pool, b.Pool) })
	return list
}

// update applies the change of one resource to the index. before is nil for a
// new resource, and after is nil for a deleted one.
func (ci *capacityIndex) update(before, after model.Object, version uint64) {
	switch o := before.(type) {
	case *model.Host:
		ci.adjustHost(o, -1)
	case *model.Budget:
		delete(ci.pool(o.Spec.Pool).budgets, o.Name)
	case *model.Job:
		ci.adjustJob(o, -1)
	}
	switch o := after.(type) {
	case *model.Host:
		ci.adjustHost(o, 1)
	case *model.Budget:
		ci.pool(o.Spec.Pool).budgets[o.Name] = o
	case *model.Job:
		ci.adjustJob(o, 1)
	case *model.Pool:
		ci.pool(o.Name).reportedAt = o.Status.Reported
	}
	ci.markChanged(before, after, version)
}

// markChanged sets changedVersion of the pools for which the change invalidates
// older listings.
func (ci *capacityIndex) markChanged(before, after model.Object, version uint64) {
	old, _ := before.(*model.Host)
	host, _ := after.(*model.Host)
	if old != nil && host != nil && old.Status.Health == host.Status.Health && old.Spec.Pool == host.Spec.Pool {
		return
	}
	for _, h := range []*model.Host{old, host} {
		if h != nil {
			ci.pool(h.Spec.Pool).changedVersion = version
		}
	}
}

// adjustHost adds (delta 1) or removes (delta -1) a host.
func (ci *capacityIndex) adjustHost(h *model.Host, delta int) {
	p := ci.pool(h.Spec.Pool)
	p.adjust(h, h.Available(), delta)
	if delta > 0 {
		p.hosts[h.Name] = h
	} else {
		delete(p.hosts, h.Name)
	}
	stop := h.Status.Stop
	if stop == nil {
		return
	}
	if stop.Action == model.StopMove {
		ci.pool(stop.TargetPool).MovesIn += delta
	}
	if stop.Wave != "" {
		addCount(ci.waveStops, stop.Wave, delta)
	}
}

// adjustJob adds (delta 1) or removes (delta -1) the usage of the tasks of a job.
func (ci *capacityIndex) adjustJob(j *model.Job, delta int) {
	if j.Spec.Team == "" {
		return
	}
	usage := ci.teamUsage[j.Spec.Team]
	for i := range j.Status.Tasks {
		if HoldsLease(j.Status.Tasks[i].State) {
			usage.UsedCores += delta * j.Spec.Cores
			usage.UsedMemoryMB += delta * j.Spec.MemoryMB
			usage.UsedAccelerators += delta * j.Spec.Accelerators
		}
	}
	ci.teamUsage[j.Spec.Team] = usage
}

// checkStop is like Capacity.CheckStop but counts a host as available only if
// its health is known at the replicated time. If the whole pool was not reported
// recently, it recounts the hosts one by one; this happens while the platform
// does not respond.
func (s *State) checkStop(h *model.Host) *fault.Error {
	p := s.capacity.pool(h.Spec.Pool)
	budgets := make([]*model.Budget, 0, len(p.budgets))
	for _, b := range p.budgets {
		budgets = append(budgets, b)
	}
	sortBudgets(budgets)
	capacity := &p.Capacity
	if s.now.Sub(p.reportedAt) > MaxHealthAge {
		recent := s.recount(p)
		capacity = &recent
	}
	return capacity.CheckStop(h, s.isAvailable(h), budgets)
}

// recount returns the capacity of a pool at the replicated time, without the
// moves into the pool.
func (s *State) recount(p *poolIndex) Capacity {
	c := NewCapacity()
	for _, h := range p.hosts {
		c.Add(h, s.isAvailable(h))
	}
	return c
}

// isAvailable reports whether a host counts as healthy capacity at the
// replicated time.
func (s *State) isAvailable(h *model.Host) bool {
	return h.Available() && s.isHealthKnown(h)
}

func (s *State) isHealthKnown(h *model.Host) bool {
	return IsHealthKnown(h, s.capacity.pool(h.Spec.Pool).reportedAt, s.now)
}

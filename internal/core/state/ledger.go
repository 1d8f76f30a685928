package state

import (
	"cmp"
	"slices"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

// HealthBound is the age in replicated time from which a health report counts
// as unknown.
const MaxHealthAge = 10 * time.Second

type rackKey struct{ zone, rack string }

// Capacity counts the hosts of one pool. The numbers are derived from the
// hosts alone, so the planned-stop ledger cannot differ from the host states.
type Capacity struct {
	Hosts        int
	Available    int
	PlannedStops int
	// MovesOut and MovesIn count the moves in progress from and to the pool.
	MovesOut, MovesIn int

	racks map[rackKey]int
	zones map[string]int
}

// NewCapacity returns a Capacity without hosts.
func NewCapacity() Capacity {
	return Capacity{racks: make(map[rackKey]int), zones: make(map[string]int)}
}

// Add counts a host of the pool; available tells whether it is healthy
// capacity.
func (c *Capacity) Add(h *model.Host, available bool) { c.count(h, available, 1) }

// Remove takes back an Add with the same arguments.
func (c *Capacity) Remove(h *model.Host, available bool) { c.count(h, available, -1) }

func (c *Capacity) count(h *model.Host, available bool, n int) {
	c.Hosts += n
	if stop := h.Status.Stop; stop != nil {
		c.PlannedStops += n
		if stop.Action == model.StopMove {
			c.MovesOut += n
		}
	}
	if !available {
		return
	}
	c.Available += n
	addCount(c.racks, rackKey{h.Spec.Zone, h.Spec.Rack}, n)
	addCount(c.zones, h.Spec.Zone, n)
}

func addCount[K comparable](m map[K]int, key K, n int) {
	m[key] += n
	if m[key] == 0 {
		delete(m, key)
	}
}

// CheckStop tells whether every budget still holds after a planned stop of h;
// available tells whether h is healthy capacity now. It costs one pass over
// the racks and zones of the pool.
func (c *Capacity) CheckStop(h *model.Host, available bool, budgets []*model.Budget) *fault.Error {
	if len(budgets) == 0 {
		return blocked(model.ReasonNoBudget, "pool %s has no budget, planned stops need one", h.Spec.Pool)
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
	need, left := b.Spec.MinHealthy, c.Available-lost
	if c.Available < need {
		return blocked(model.ReasonBudgetBroken, "pool %s has %d healthy hosts, budget %s needs %d", h.Spec.Pool, c.Available, b.Name, need)
	}
	if c.PlannedStops >= b.Spec.MaxPlannedStops {
		return blocked(model.ReasonBudget, "pool %s has %d planned stops, budget %s allows %d", h.Spec.Pool, c.PlannedStops, b.Name, b.Spec.MaxPlannedStops)
	}
	if left < need {
		return blocked(model.ReasonBudget, "pool %s would have %d healthy hosts, budget %s needs %d", h.Spec.Pool, left, b.Name, need)
	}
	if worst := largest(c.racks, rackKey{h.Spec.Zone, h.Spec.Rack}, lost); b.Spec.SurviveRack && left-worst < need {
		return blocked(model.ReasonRackSurvival, "pool %s would have %d healthy hosts after the loss of a rack, budget %s needs %d", h.Spec.Pool, left-worst, b.Name, need)
	}
	if worst := largest(c.zones, h.Spec.Zone, lost); b.Spec.SurviveZone && left-worst < need {
		return blocked(model.ReasonZoneSurvival, "pool %s would have %d healthy hosts after the loss of a zone, budget %s needs %d", h.Spec.Pool, left-worst, b.Name, need)
	}
	return nil
}

// largest returns the largest count after own lost some.
func largest[K comparable](m map[K]int, own K, lost int) int {
	worst := 0
	for key, n := range m {
		if key == own {
			n -= lost
		}
		worst = max(worst, n)
	}
	return worst
}

func blocked(reason model.Reason, format string, args ...any) *fault.Error {
	err := fault.New(fault.BudgetBlocked, format, args...)
	err.Reason = string(reason)
	return err
}

// HealthKnown tells whether the health of a host is recent: the host itself or
// its whole pool was reported within HealthBound.
func IsHealthKnown(h *model.Host, poolReported, now time.Time) bool {
	latest := h.Status.LastReport
	if poolReported.After(latest) {
		latest = poolReported
	}
	return now.Sub(latest) <= MaxHealthAge
}

// poolLedger indexes one pool. Invariant: Capacity counts exactly the hosts in
// the map, with available as Host.Available has it, whatever its age.
type poolLedger struct {
	Capacity
	hosts   map[string]*model.Host
	budgets map[string]*model.Budget
	// reported is the Status.Reported of the pool.
	reported time.Time
	// changed is the version of the last change of a health or of membership.
	changed uint64
}

// ledger indexes hosts, budgets and jobs for the checks of Apply. It is
// derived from the resources and rebuilt from them after a restore; the owner
// is that of State.
type ledger struct {
	pools map[string]*poolLedger
	// waveStops counts the hosts that a wave has in a planned stop.
	waveStops map[string]int
	// teams is the use of each team by tasks that hold a lease.
	teams map[string]model.TeamStatus
}

func newLedger() ledger {
	return ledger{pools: make(map[string]*poolLedger), waveStops: make(map[string]int), teams: make(map[string]model.TeamStatus)}
}

// rebuildLedger derives the ledger from the resources. A restore calls it
// after it has filled the trees.
func (s *State) rebuildLedger() {
	s.ledger = newLedger()
	for _, tree := range s.kinds {
		tree.Scan(func(_ string, obj model.Object) bool {
			s.ledger.replace(nil, obj, s.version)
			return true
		})
	}
}

func (l *ledger) pool(name string) *poolLedger {
	p := l.pools[name]
	if p == nil {
		p = &poolLedger{Capacity: NewCapacity(), hosts: make(map[string]*model.Host), budgets: make(map[string]*model.Budget)}
		l.pools[name] = p
	}
	return p
}

// changes returns the last change of each pool in the order of the names.
func (l *ledger) changes() []PoolChange {
	list := make([]PoolChange, 0, len(l.pools))
	for name, p := range l.pools {
		list = append(list, PoolChange{Pool: name, Version: p.changed})
	}
	slices.SortFunc(list, func(a, b PoolChange) int { return cmp.Compare(a.Pool, b.Pool) })
	return list
}

// replace follows the change of one resource; before or after may be nil.
func (l *ledger) replace(before, after model.Object, version uint64) {
	switch o := before.(type) {
	case *model.Host:
		l.countHost(o, -1)
	case *model.Budget:
		delete(l.pool(o.Spec.Pool).budgets, o.Name)
	case *model.Job:
		l.countJob(o, -1)
	}
	switch o := after.(type) {
	case *model.Host:
		l.countHost(o, 1)
	case *model.Budget:
		l.pool(o.Spec.Pool).budgets[o.Name] = o
	case *model.Job:
		l.countJob(o, 1)
	case *model.Pool:
		l.pool(o.Name).reported = o.Status.Reported
	}
	l.markChanged(before, after, version)
}

// markChanged notes a change that makes an older listing of the pool useless.
func (l *ledger) markChanged(before, after model.Object, version uint64) {
	old, _ := before.(*model.Host)
	host, _ := after.(*model.Host)
	if old != nil && host != nil && old.Status.Health == host.Status.Health && old.Spec.Pool == host.Spec.Pool {
		return
	}
	for _, h := range []*model.Host{old, host} {
		if h != nil {
			l.pool(h.Spec.Pool).changed = version
		}
	}
}

func (l *ledger) countHost(h *model.Host, n int) {
	p := l.pool(h.Spec.Pool)
	p.count(h, h.Available(), n)
	if n > 0 {
		p.hosts[h.Name] = h
	} else {
		delete(p.hosts, h.Name)
	}
	stop := h.Status.Stop
	if stop == nil {
		return
	}
	if stop.Action == model.StopMove {
		l.pool(stop.TargetPool).MovesIn += n
	}
	if stop.Wave != "" {
		addCount(l.waveStops, stop.Wave, n)
	}
}

func (l *ledger) countJob(j *model.Job, n int) {
	if j.Spec.Team == "" {
		return
	}
	use := l.teams[j.Spec.Team]
	for i := range j.Status.Tasks {
		if HoldsLease(j.Status.Tasks[i].State) {
			use.UsedCores += n * j.Spec.Cores
			use.UsedMemoryMB += n * j.Spec.MemoryMB
			use.UsedAccelerators += n * j.Spec.Accelerators
		}
	}
	l.teams[j.Spec.Team] = use
}

// checkStop is CheckStop with the reports that are recent now. If the pool as
// a whole was not reported recently, its hosts are looked at one by one; that
// happens while the platform does not answer.
func (s *State) checkStop(h *model.Host) *fault.Error {
	p := s.ledger.pool(h.Spec.Pool)
	budgets := make([]*model.Budget, 0, len(p.budgets))
	for _, b := range p.budgets {
		budgets = append(budgets, b)
	}
	sortBudgets(budgets)
	capacity := &p.Capacity
	if s.now.Sub(p.reported) > MaxHealthAge {
		recent := s.recount(p)
		capacity = &recent
	}
	return capacity.CheckStop(h, s.available(h), budgets)
}

func (s *State) recount(p *poolLedger) Capacity {
	c := NewCapacity()
	for _, h := range p.hosts {
		c.Add(h, s.available(h))
	}
	return c
}

// available tells whether a host counts as healthy capacity at the replicated
// time.
func (s *State) available(h *model.Host) bool {
	return h.Available() && s.healthKnown(h)
}

func (s *State) healthKnown(h *model.Host) bool {
	return IsHealthKnown(h, s.ledger.pool(h.Spec.Pool).reported, s.now)
}

package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// slot holds the current resource of one host.
type slot struct{ host *model.Host }

// poolIndex is what the planner keeps of one pool. Invariant: order, if it is
// not nil, has the slots of hosts by zone, rack and name.
type poolIndex struct {
	name    string
	pool    *model.Pool
	hosts   map[string]*slot
	order   []*slot
	budgets map[string]*model.Budget
	dirty   bool
	// due is when the plan of the pool may change without an event.
	due time.Time
	// freshUntil is until when the last mark of the pool holds.
	freshUntil time.Time
	// capacity is as of the last plan of the pool, with the stops planned since.
	capacity state.Capacity
	// waveStops is the number of hosts of the pool in a stop of a wave.
	waveStops int
	// borrowed is the number of hosts that have another home pool.
	borrowed int
	waves    map[string]*waveSummary
	waits    []Wait
	// parallel tells that a host waits only for the limit of a wave.
	parallel bool
	// round is the last plan that looked at the pool.
	round uint64
}

// waveIndex is what the planner keeps of one wave.
type waveIndex struct {
	wave *model.Wave
	// done has the first counted hosts of Status.Done, which only grows.
	done    map[string]bool
	counted int
	// stops is the number of hosts of the wave in a planned stop.
	stops int
	// planned is the number of stops in the plan that is being made.
	planned int
	// changed tells that a stop ended or the wave itself changed.
	changed bool
	// told is when the last status was planned.
	told time.Time
}

// Planner keeps indexes of the resources that plans need and follows their
// events, so that a plan after a change looks only at what the change touches.
// It belongs to the goroutine that plans.
type Planner struct {
	snap    *state.Snapshot
	version uint64
	synced  bool
	pools   map[string]*poolIndex
	// names are the keys of pools in order, waveNames those of waves.
	names     []string
	waveNames []string
	hosts     map[string]*model.Host
	waves     map[string]*waveIndex
	// movesIn counts the moves on the way to a pool.
	movesIn map[string]int
	demand  *Demand
	slots   int
	// unserved is Input.Unserved of this plan.
	unserved map[string]bool
	now      time.Time
	// round counts the plans.
	round  uint64
	result *Result
}

// NewPlanner returns a planner that knows nothing yet.
func NewPlanner(demand *Demand) *Planner {
	if demand == nil {
		demand = NewDemand()
	}
	pl := &Planner{demand: demand, slots: DefaultSlotsPerHost}
	pl.reset()
	return pl
}

func (pl *Planner) reset() {
	pl.pools = make(map[string]*poolIndex)
	pl.hosts = make(map[string]*model.Host)
	pl.waves = make(map[string]*waveIndex)
	pl.movesIn = make(map[string]int)
	pl.names, pl.waveNames = nil, nil
}

// Sync follows the state up to the snapshot. If the events in between are no
// longer kept, the indexes are built again.
func (pl *Planner) Sync(snap *state.Snapshot) {
	pl.snap = snap
	if !pl.synced {
		pl.rebuild(snap)
		return
	}
	events, err := snap.EventsAfter(pl.version)
	if err != nil {
		pl.rebuild(snap)
		return
	}
	for _, e := range events {
		pl.follow(e.Key, e.Object)
	}
	pl.version = snap.Version
}

// Invalidate has the next plan look at everything. The indexes stay.
func (pl *Planner) Invalidate() {
	for _, p := range pl.pools {
		p.dirty = true
	}
	for _, w := range pl.waves {
		w.changed = true
		w.told = time.Time{}
	}
}

func (pl *Planner) rebuild(snap *state.Snapshot) {
	pl.reset()
	for _, kind := range []model.Kind{model.KindPool, model.KindBudget, model.KindWave, model.KindHost} {
		for _, obj := range snap.List(kind) {
			pl.follow(obj.Metadata().Key(), obj)
		}
	}
	pl.version = snap.Version
	pl.synced = true
}

func (pl *Planner) follow(key model.Key, obj model.Object) {
	switch key.Kind {
	case model.KindHost:
		host, _ := obj.(*model.Host)
		pl.followHost(key.Name, host)
	case model.KindPool:
		pool, _ := obj.(*model.Pool)
		pl.followPool(key.Name, pool)
	case model.KindBudget:
		budget, _ := obj.(*model.Budget)
		pl.followBudget(key.Name, budget)
	case model.KindWave:
		wave, _ := obj.(*model.Wave)
		pl.followWave(key.Name, wave)
	default:
		// Jobs, teams and configurations take no part in these plans.
	}
}

// pool returns the index of a pool; a host or budget may come before it.
func (pl *Planner) pool(name string) *poolIndex {
	p := pl.pools[name]
	if p == nil {
		p = &poolIndex{
			name: name, dirty: true, hosts: make(map[string]*slot), budgets: make(map[string]*model.Budget),
			capacity: state.NewCapacity(), waves: make(map[string]*waveSummary),
		}
		pl.pools[name] = p
		pl.names = insertName(pl.names, name)
	}
	return p
}

func insertName(names []string, name string) []string {
	i, found := slices.BinarySearch(names, name)
	if found {
		return names
	}
	return slices.Insert(names, i, name)
}

func removeName(names []string, name string) []string {
	if i, found := slices.BinarySearch(names, name); found {
		return slices.Delete(names, i, i+1)
	}
	return names
}

func (pl *Planner) followPool(name string, pool *model.Pool) {
	p := pl.pool(name)
	p.pool = pool
	p.dirty = true
}

func (pl *Planner) followBudget(name string, budget *model.Budget) {
	for _, p := range pl.pools {
		if _, ok := p.budgets[name]; ok {
			delete(p.budgets, name)
			p.dirty = true
		}
	}
	if budget != nil {
		p := pl.pool(budget.Spec.Pool)
		p.budgets[name] = budget
		p.dirty = true
	}
}

func (pl *Planner) followHost(name string, host *model.Host) {
	if old := pl.hosts[name]; old != nil {
		pl.forgetStop(old)
		pl.leavePool(old, host)
	}
	if host == nil {
		delete(pl.hosts, name)
		return
	}
	pl.hosts[name] = host
	p := pl.pool(host.Spec.Pool)
	p.dirty = true
	if s := p.hosts[name]; s != nil {
		s.host = host
	} else {
		p.hosts[name] = &slot{host}
		p.order = nil
	}
	pl.noteStop(host)
}

// leavePool takes a host out of its pool, or only its order if it stays.
func (pl *Planner) leavePool(old, host *model.Host) {
	p := pl.pool(old.Spec.Pool)
	p.dirty = true
	if host == nil || host.Spec.Pool != old.Spec.Pool {
		delete(p.hosts, old.Name)
		p.order = nil
		return
	}
	if host.Spec.Zone != old.Spec.Zone || host.Spec.Rack != old.Spec.Rack {
		p.order = nil
	}
}

func (pl *Planner) forgetStop(h *model.Host) { pl.countStop(h, -1) }

func (pl *Planner) noteStop(h *model.Host) { pl.countStop(h, 1) }

func (pl *Planner) countStop(h *model.Host, n int) {
	stop := h.Status.Stop
	if stop == nil {
		return
	}
	if stop.Action == model.StopMove {
		pl.movesIn[stop.TargetPool] += n
	}
	if stop.Wave == "" {
		return
	}
	pl.pool(h.Spec.Pool).waveStops += n
	if w := pl.waves[stop.Wave]; w != nil {
		w.stops += n
		w.changed = true
	}
}

func (pl *Planner) followWave(name string, wave *model.Wave) {
	w := pl.waves[name]
	if wave == nil {
		if w != nil {
			pl.touchPools(w.wave)
		}
		delete(pl.waves, name)
		pl.waveNames = removeName(pl.waveNames, name)
		return
	}
	if w == nil {
		w = &waveIndex{done: make(map[string]bool), stops: pl.countWaveStops(name)}
		pl.waves[name] = w
		pl.waveNames = insertName(pl.waveNames, name)
	}
	if w.wave == nil || !w.wave.SpecEqual(wave) || w.wave.Status.Phase != wave.Status.Phase {
		// Pools that the wave no longer covers are looked at as well.
		if w.wave != nil {
			pl.touchPools(w.wave)
		}
		pl.touchPools(wave)
	}
	for ; w.counted < len(wave.Status.Done); w.counted++ {
		w.done[wave.Status.Done[w.counted]] = true
	}
	w.wave = wave
	w.changed = true
}

func (pl *Planner) countWaveStops(name string) int {
	n := 0
	for _, h := range pl.hosts {
		if h.Status.Stop != nil && h.Status.Stop.Wave == name {
			n++
		}
	}
	return n
}

func (pl *Planner) touchPools(w *model.Wave) {
	for _, name := range w.Spec.Pools {
		pl.pool(name).dirty = true
	}
}

// ordered returns the slots of the pool by zone, rack and name.
func (p *poolIndex) ordered() []*slot {
	if p.order != nil || len(p.hosts) == 0 {
		return p.order
	}
	p.order = make([]*slot, 0, len(p.hosts))
	for _, s := range p.hosts {
		p.order = append(p.order, s)
	}
	slices.SortFunc(p.order, func(a, b *slot) int {
		x, y := a.host, b.host
		return cmp.Or(strings.Compare(x.Spec.Zone, y.Spec.Zone), strings.Compare(x.Spec.Rack, y.Spec.Rack), strings.Compare(x.Name, y.Name))
	})
	return p.order
}

func (p *poolIndex) sortedBudgets() []*model.Budget {
	list := make([]*model.Budget, 0, len(p.budgets))
	for _, b := range p.budgets {
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b *model.Budget) int { return strings.Compare(a.Name, b.Name) })
	return list
}

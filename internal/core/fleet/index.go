package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// hostEntry holds the current resource of a host, so that the sorted list of a pool
// stays valid when the resource is replaced.
type hostEntry struct{ host *model.Host }

// poolIndex is the planner's index of one pool. Invariant: sorted is nil or has the
// entries of hosts by zone, rack and name.
type poolIndex struct {
	name    string
	pool    *model.Pool
	hosts   map[string]*hostEntry
	sorted  []*hostEntry
	budgets map[string]*model.Budget
	// dirty is set when an event affected the pool since its last plan.
	dirty bool
	// nextPlan is the earliest time at which the plan of the pool may change without
	// an event.
	nextPlan time.Time
	// markValidUntil is when the last mark of the pool expires, or zero if it has.
	markValidUntil time.Time
	// capacity is the capacity as of the last recount, with the stops planned since.
	capacity state.Capacity
	// waveStops is the number of hosts of the pool that a wave has stopped.
	waveStops int
	// borrowed is the number of hosts whose home pool is another one.
	borrowed int
	// waves has the summary of each active wave that covers the pool.
	waves map[string]*waveSummary
	waits []Wait
	// atParallelLimit is set when a host waits only for the parallel limit of a wave.
	atParallelLimit bool
	// round is the number of the last plan that planned the pool.
	round uint64
}

// waveIndex is the planner's index of one wave.
type waveIndex struct {
	wave *model.Wave
	// done has the first counted hosts of Status.Done. That list only grows.
	done    map[string]bool
	counted int
	// stops is the number of hosts that are in a planned stop of the wave.
	stops int
	// planned is the number of new stops in the current plan.
	planned int
	// changed is set when a stop of the wave or the wave itself changed.
	changed bool
	// statusProposed is when the last status was proposed.
	statusProposed time.Time
}

// Planner keeps indexes of the resources that plans need and updates them from
// events, so that a plan after a change processes only the affected pools. It is
// owned by the planning goroutine and is not safe for concurrent use.
type Planner struct {
	snap    *state.Snapshot
	version uint64
	synced  bool
	pools   map[string]*poolIndex
	// poolNames and waveNames are the sorted keys of pools and waves.
	poolNames []string
	waveNames []string
	hosts     map[string]*model.Host
	waves     map[string]*waveIndex
	// movesIn is the number of moves in progress by target pool.
	movesIn map[string]int
	demand  *Demand
	slots   int
	// stillDraining is Input.StillDraining of the current plan.
	stillDraining map[string]bool
	now           time.Time
	// round is the number of the current plan.
	round  uint64
	result *Result
}

// NewPlanner returns a planner with empty indexes. A nil demand means an empty one.
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
	pl.poolNames, pl.waveNames = nil, nil
}

// Sync updates the indexes to the snapshot. If the events since the last call are no
// longer retained, it rebuilds the indexes.
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
		pl.applyEvent(e.Key, e.Object)
	}
	pl.version = snap.Version
}

// Invalidate makes the next plan a full one. The indexes are kept.
func (pl *Planner) Invalidate() {
	for _, p := range pl.pools {
		p.dirty = true
	}
	for _, w := range pl.waves {
		w.changed = true
		w.statusProposed = time.Time{}
	}
}

func (pl *Planner) rebuild(snap *state.Snapshot) {
	pl.reset()
	for _, kind := range []model.Kind{model.KindPool, model.KindBudget, model.KindWave, model.KindHost} {
		for _, obj := range snap.List(kind) {
			pl.applyEvent(obj.Metadata().Key(), obj)
		}
	}
	pl.version = snap.Version
	pl.synced = true
}

// applyEvent updates the indexes with a resource; obj is nil if it was deleted.
func (pl *Planner) applyEvent(key model.Key, obj model.Object) {
	switch key.Kind {
	case model.KindHost:
		host, _ := obj.(*model.Host)
		pl.applyHost(key.Name, host)
	case model.KindPool:
		pool, _ := obj.(*model.Pool)
		pl.applyPool(key.Name, pool)
	case model.KindBudget:
		budget, _ := obj.(*model.Budget)
		pl.applyBudget(key.Name, budget)
	case model.KindWave:
		wave, _ := obj.(*model.Wave)
		pl.applyWave(key.Name, wave)
	default:
		// Jobs, teams and configurations do not affect these plans.
	}
}

// pool returns the index of a pool and creates it if needed, because a host or a
// budget may be applied before its pool.
func (pl *Planner) pool(name string) *poolIndex {
	p := pl.pools[name]
	if p == nil {
		p = &poolIndex{
			name: name, dirty: true, hosts: make(map[string]*hostEntry), budgets: make(map[string]*model.Budget),
			capacity: state.NewCapacity(), waves: make(map[string]*waveSummary),
		}
		pl.pools[name] = p
		pl.poolNames = insertName(pl.poolNames, name)
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

func (pl *Planner) applyPool(name string, pool *model.Pool) {
	p := pl.pool(name)
	p.pool = pool
	p.dirty = true
}

func (pl *Planner) applyBudget(name string, budget *model.Budget) {
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

func (pl *Planner) applyHost(name string, host *model.Host) {
	if old := pl.hosts[name]; old != nil {
		pl.subtractStop(old)
		pl.removeFromPool(old, host)
	}
	if host == nil {
		delete(pl.hosts, name)
		return
	}
	pl.hosts[name] = host
	p := pl.pool(host.Spec.Pool)
	p.dirty = true
	if entry := p.hosts[name]; entry != nil {
		entry.host = host
	} else {
		p.hosts[name] = &hostEntry{host}
		p.sorted = nil
	}
	pl.addStop(host)
}

// removeFromPool removes a host from the pool of its old resource if it is deleted
// or has moved. If it stays, only the sorted list is reset when its place changed.
func (pl *Planner) removeFromPool(old, host *model.Host) {
	p := pl.pool(old.Spec.Pool)
	p.dirty = true
	if host == nil || host.Spec.Pool != old.Spec.Pool {
		delete(p.hosts, old.Name)
		p.sorted = nil
		return
	}
	if host.Spec.Zone != old.Spec.Zone || host.Spec.Rack != old.Spec.Rack {
		p.sorted = nil
	}
}

func (pl *Planner) subtractStop(h *model.Host) { pl.countStop(h, -1) }

func (pl *Planner) addStop(h *model.Host) { pl.countStop(h, 1) }

// countStop adds n to the counters that the planned stop of a host affects.
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

func (pl *Planner) applyWave(name string, wave *model.Wave) {
	w := pl.waves[name]
	if wave == nil {
		if w != nil {
			pl.markPoolsDirty(w.wave)
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
		// Pools that the wave no longer covers need a new plan as well.
		if w.wave != nil {
			pl.markPoolsDirty(w.wave)
		}
		pl.markPoolsDirty(wave)
	}
	for ; w.counted < len(wave.Status.Done); w.counted++ {
		w.done[wave.Status.Done[w.counted]] = true
	}
	w.wave = wave
	w.changed = true
}

// countWaveStops returns the number of hosts in a planned stop of the wave.
func (pl *Planner) countWaveStops(name string) int {
	n := 0
	for _, h := range pl.hosts {
		if h.Status.Stop != nil && h.Status.Stop.Wave == name {
			n++
		}
	}
	return n
}

func (pl *Planner) markPoolsDirty(w *model.Wave) {
	for _, name := range w.Spec.Pools {
		pl.pool(name).dirty = true
	}
}

// sortedHosts returns the hosts of the pool by zone, rack and name.
func (p *poolIndex) sortedHosts() []*hostEntry {
	if p.sorted != nil || len(p.hosts) == 0 {
		return p.sorted
	}
	p.sorted = make([]*hostEntry, 0, len(p.hosts))
	for _, entry := range p.hosts {
		p.sorted = append(p.sorted, entry)
	}
	slices.SortFunc(p.sorted, func(a, b *hostEntry) int {
		x, y := a.host, b.host
		return cmp.Or(strings.Compare(x.Spec.Zone, y.Spec.Zone), strings.Compare(x.Spec.Rack, y.Spec.Rack), strings.Compare(x.Name, y.Name))
	})
	return p.sorted
}

func (p *poolIndex) sortedBudgets() []*model.Budget {
	list := make([]*model.Budget, 0, len(p.budgets))
	for _, b := range p.budgets {
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b *model.Budget) int { return strings.Compare(a.Name, b.Name) })
	return list
}

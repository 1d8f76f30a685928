package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Thresholds of moves. A pool borrows above HighUse and returns a host only if
// the use without it stays below LowUse, so that a move never causes the
// opposite one.
const (
	HighUse = 0.75
	LowUse  = 0.5
	// NeedFor and ReleaseFor are how long a use must last. Returning is slower:
	// a host that is missed costs more than one that idles.
	NeedFor    = 2 * time.Minute
	ReleaseFor = 5 * time.Minute
)

// need is a pool that has been short of hosts for long enough.
type need struct {
	pool *poolIndex
	use  float64
}

// planMoves plans at most one move for each pool, the pool in the greatest need
// first.
func (pl *Planner) planMoves() {
	var needs []need
	for _, name := range pl.names {
		p := pl.pools[name]
		if p.pool == nil || p.pool.Spec.SpareFrom == "" {
			continue
		}
		if use, lasting := pl.judge(p); lasting {
			needs = append(needs, need{p, use})
		}
	}
	slices.SortStableFunc(needs, func(a, b need) int { return cmp.Compare(b.use, a.use) })
	for _, n := range needs {
		pl.borrow(n.pool)
	}
}

// judge returns the use of a pool and whether its need is lasting. It plans the
// return of a host if there has been one too many.
func (pl *Planner) judge(p *poolIndex) (use float64, lasting bool) {
	service := p.pool.Spec.Service
	pl.demand.setClip(service, float64(pl.slots*len(p.hosts)))
	mean := pl.demand.Mean(service) / float64(pl.slots)
	// Hosts of a wave come back within minutes; they are no lasting need.
	capacity := p.capacity.Available + p.waveStops
	short := capacity < p.minHealthy()
	busy := pl.demand.known(service, pl.now) && mean > HighUse*float64(capacity)
	lasting = held(pl.demand.above, p.name, short || busy, pl.now, NeedFor)
	if since, ok := pl.demand.above[p.name]; ok && !lasting {
		pl.result.Next = earliest(pl.result.Next, since.Add(NeedFor))
	}
	idle := p.borrowed > 0 && capacity-1 >= p.minHealthy() &&
		pl.demand.known(service, pl.now) && mean < LowUse*float64(capacity-1)
	release := held(pl.demand.below, p.name, idle, pl.now, ReleaseFor)
	if since, ok := pl.demand.below[p.name]; ok && !release {
		pl.result.Next = earliest(pl.result.Next, since.Add(ReleaseFor))
	}
	if p.capacity.MovesOut+pl.movesIn[p.name] > 0 {
		return 0, false
	}
	if release {
		pl.giveBack(p)
	}
	return mean / float64(max(capacity, 1)), lasting
}

func (p *poolIndex) minHealthy() int {
	need := 0
	for _, b := range p.budgets {
		need = max(need, b.Spec.MinHealthy)
	}
	return need
}

// borrow moves a host of the spare pool to p.
func (pl *Planner) borrow(p *poolIndex) {
	spare := pl.pools[p.pool.Spec.SpareFrom]
	switch {
	case spare == nil || spare.pool == nil:
		pl.poolWait(p, model.ReasonNoSpare, "pool "+p.pool.Spec.SpareFrom+" does not exist")
	case p.full(len(p.hosts) + pl.movesIn[p.name]):
		pl.poolWait(p, model.ReasonNoCapacity, fmt.Sprintf("pool has its maximum of %d hosts", p.pool.Spec.MaxHosts))
	default:
		pl.moveBest(spare, p, func(*model.Host) bool { return true })
	}
}

// giveBack moves a borrowed host home.
func (pl *Planner) giveBack(p *poolIndex) {
	home := pl.pools[p.pool.Spec.SpareFrom]
	if home == nil || home.pool == nil || home.full(len(home.hosts)+pl.movesIn[home.name]) {
		return
	}
	pl.moveBest(p, home, func(h *model.Host) bool { return h.Status.HomePool == home.name })
}

func (pl *Planner) poolWait(p *poolIndex, reason model.Reason, message string) {
	pl.result.PoolWaits = append(pl.result.PoolWaits, PoolWait{Pool: p.name, Reason: reason, Message: message})
}

// moveBest moves the host that leaves the target spread best over its zones
// and has the least work in flight.
func (pl *Planner) moveBest(source, target *poolIndex, allowed func(*model.Host) bool) {
	if left := source.capacity.Hosts - source.capacity.MovesOut - 1; left < source.pool.Spec.MinHosts {
		pl.poolWait(target, model.ReasonNoSpare, fmt.Sprintf("pool %s keeps its minimum of %d hosts", source.name, source.pool.Spec.MinHosts))
		return
	}
	zones := make(map[string]int)
	for _, s := range target.ordered() {
		zones[s.host.Spec.Zone]++
	}
	var best *model.Host
	refused := fault.Error{Reason: string(model.ReasonNoSpare), Message: "pool " + source.name + " has no healthy host to give"}
	budgets, reported := source.sortedBudgets(), pl.reported(source)
	for _, s := range source.ordered() {
		h := s.host
		if !allowed(h) || !h.Available() || !state.IsHealthKnown(h, reported, pl.now) {
			continue
		}
		if err := pl.checkGiven(source, h, budgets); err != nil {
			refused = *err
			continue
		}
		if best == nil || compareGiven(h, best, zones) < 0 {
			best = h
		}
	}
	if best == nil {
		pl.poolWait(target, reasonOf(&refused), refused.Message)
		return
	}
	pl.takeStop(source, best, model.PlannedStop{Action: model.StopMove, TargetPool: target.name})
	source.due = earliest(source.due, pl.now.Add(retryAfter))
	// A second plan before the commit does not add a second host.
	delete(pl.demand.above, target.name)
	delete(pl.demand.below, source.name)
}

// checkGiven tells whether the source may give the host away now.
func (pl *Planner) checkGiven(source *poolIndex, h *model.Host, budgets []*model.Budget) *fault.Error {
	dwell := time.Duration(source.pool.Spec.MinDwellSeconds) * time.Second
	if over := h.Status.PoolSince.Add(dwell); !h.Status.PoolSince.IsZero() && pl.now.Before(over) {
		pl.result.Next = earliest(pl.result.Next, over)
		return &fault.Error{Reason: string(model.ReasonDwell), Message: "host " + h.Name + " has joined pool " + source.name + " not long ago"}
	}
	return source.capacity.CheckStop(h, true, budgets)
}

func compareGiven(a, b *model.Host, zones map[string]int) int {
	return cmp.Or(
		cmp.Compare(zones[a.Spec.Zone], zones[b.Spec.Zone]),
		cmp.Compare(a.Status.InFlight, b.Status.InFlight),
		strings.Compare(a.Name, b.Name),
	)
}

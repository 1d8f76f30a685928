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

// Thresholds of moves. The gap between the two ratios ensures that a move never
// causes the opposite one.
const (
	// HighUse is the ratio of demand to capacity above which a pool borrows a host.
	HighUse = 0.75
	// LowUse is the ratio below which the use must stay without a borrowed host for
	// the host to be returned.
	LowUse = 0.5
	// NeedFor is how long a need must last before a host is borrowed.
	NeedFor = 2 * time.Minute
	// ReleaseFor is how long a surplus must last before a host is returned. It is
	// longer than NeedFor because a missing host costs more than an idle one.
	ReleaseFor = 5 * time.Minute
)

// poolNeed is a pool that has needed another host for at least NeedFor, and its use.
type poolNeed struct {
	pool *poolIndex
	use  float64
}

// planMoves plans at most one move for each pool, the pool with the highest use
// first.
func (pl *Planner) planMoves() {
	var needs []poolNeed
	for _, name := range pl.poolNames {
		p := pl.pools[name]
		if p.pool == nil || p.pool.Spec.SpareFrom == "" {
			continue
		}
		if use, sustained := pl.evaluateUse(p); sustained {
			needs = append(needs, poolNeed{p, use})
		}
	}
	slices.SortStableFunc(needs, func(a, b poolNeed) int { return cmp.Compare(b.use, a.use) })
	for _, n := range needs {
		pl.borrow(n.pool)
	}
}

// evaluateUse returns the use of a pool and whether its need is sustained. It plans
// the return of a host if the pool has had one too many for ReleaseFor.
func (pl *Planner) evaluateUse(p *poolIndex) (use float64, sustained bool) {
	service := p.pool.Spec.Service
	pl.demand.setClip(service, float64(pl.slots*len(p.hosts)))
	mean := pl.demand.Mean(service) / float64(pl.slots)
	// Hosts that a wave has stopped return within minutes, so they are no sustained
	// need.
	capacity := p.capacity.Available + p.waveStops
	short := capacity < p.minHealthy()
	busy := pl.demand.isKnown(service, pl.now) && mean > HighUse*float64(capacity)
	sustained = hasLasted(pl.demand.needSince, p.name, short || busy, pl.now, NeedFor)
	if since, ok := pl.demand.needSince[p.name]; ok && !sustained {
		pl.result.Next = earliest(pl.result.Next, since.Add(NeedFor))
	}
	idle := p.borrowed > 0 && capacity-1 >= p.minHealthy() &&
		pl.demand.isKnown(service, pl.now) && mean < LowUse*float64(capacity-1)
	release := hasLasted(pl.demand.surplusSince, p.name, idle, pl.now, ReleaseFor)
	if since, ok := pl.demand.surplusSince[p.name]; ok && !release {
		pl.result.Next = earliest(pl.result.Next, since.Add(ReleaseFor))
	}
	if p.capacity.MovesOut+pl.movesIn[p.name] > 0 {
		return 0, false
	}
	if release {
		pl.returnHost(p)
	}
	return mean / float64(max(capacity, 1)), sustained
}

// minHealthy returns the highest minimum of healthy hosts among the pool's budgets.
func (p *poolIndex) minHealthy() int {
	need := 0
	for _, b := range p.budgets {
		need = max(need, b.Spec.MinHealthy)
	}
	return need
}

// borrow moves a host of the spare pool to p, or records why it cannot.
func (pl *Planner) borrow(p *poolIndex) {
	spare := pl.pools[p.pool.Spec.SpareFrom]
	switch {
	case spare == nil || spare.pool == nil:
		pl.addPoolWait(p, model.ReasonNoSpare, "pool "+p.pool.Spec.SpareFrom+" does not exist")
	case p.isFull(len(p.hosts) + pl.movesIn[p.name]):
		pl.addPoolWait(p, model.ReasonNoCapacity, fmt.Sprintf("pool has its maximum of %d hosts", p.pool.Spec.MaxHosts))
	default:
		pl.moveBestHost(spare, p, func(*model.Host) bool { return true })
	}
}

// returnHost moves a borrowed host back to its home pool.
func (pl *Planner) returnHost(p *poolIndex) {
	home := pl.pools[p.pool.Spec.SpareFrom]
	if home == nil || home.pool == nil || home.isFull(len(home.hosts)+pl.movesIn[home.name]) {
		return
	}
	pl.moveBestHost(p, home, func(h *model.Host) bool { return h.Status.HomePool == home.name })
}

// addPoolWait records why a pool gets no host or returns none.
func (pl *Planner) addPoolWait(p *poolIndex, reason model.Reason, message string) {
	pl.result.PoolWaits = append(pl.result.PoolWaits, PoolWait{Pool: p.name, Reason: reason, Message: message})
}

// moveBestHost moves the allowed host of the source that is in the zone with the
// fewest hosts of the target and, among those, has the least work in flight. It
// records why no host can move.
func (pl *Planner) moveBestHost(source, target *poolIndex, allowed func(*model.Host) bool) {
	if left := source.capacity.Hosts - source.capacity.MovesOut - 1; left < source.pool.Spec.MinHosts {
		pl.addPoolWait(target, model.ReasonNoSpare, fmt.Sprintf("pool %s keeps its minimum of %d hosts", source.name, source.pool.Spec.MinHosts))
		return
	}
	zones := make(map[string]int)
	for _, entry := range target.sortedHosts() {
		zones[entry.host.Spec.Zone]++
	}
	var best *model.Host
	refusal := fault.Error{Reason: string(model.ReasonNoSpare), Message: "pool " + source.name + " has no healthy host to move"}
	budgets, reported := source.sortedBudgets(), pl.reported(source)
	for _, entry := range source.sortedHosts() {
		h := entry.host
		if !allowed(h) || !h.Available() || !state.IsHealthKnown(h, reported, pl.now) {
			continue
		}
		if err := pl.checkCandidate(source, h, budgets); err != nil {
			refusal = *err
			continue
		}
		if best == nil || compareCandidates(h, best, zones) < 0 {
			best = h
		}
	}
	if best == nil {
		pl.addPoolWait(target, reasonOf(&refusal), refusal.Message)
		return
	}
	pl.planStop(source, best, model.PlannedStop{Action: model.StopMove, TargetPool: target.name})
	source.nextPlan = earliest(source.nextPlan, pl.now.Add(retryAfter))
	// Both conditions start anew, so that a second plan before the commit does not
	// move a second host.
	delete(pl.demand.needSince, target.name)
	delete(pl.demand.surplusSince, source.name)
}

// checkCandidate returns why the host may not leave the source pool now, or nil.
func (pl *Planner) checkCandidate(source *poolIndex, h *model.Host, budgets []*model.Budget) *fault.Error {
	dwell := time.Duration(source.pool.Spec.MinDwellSeconds) * time.Second
	if dwellEnd := h.Status.PoolSince.Add(dwell); !h.Status.PoolSince.IsZero() && pl.now.Before(dwellEnd) {
		pl.result.Next = earliest(pl.result.Next, dwellEnd)
		return &fault.Error{Reason: string(model.ReasonDwell), Message: "host " + h.Name + " has not stayed in pool " + source.name + " for its minimum dwell time"}
	}
	return source.capacity.CheckStop(h, true, budgets)
}

// compareCandidates returns a negative number if a is the better host to move, and a
// positive one if b is. zones has the number of hosts of the target by zone.
func compareCandidates(a, b *model.Host, zones map[string]int) int {
	return cmp.Or(
		cmp.Compare(zones[a.Spec.Zone], zones[b.Spec.Zone]),
		cmp.Compare(a.Status.InFlight, b.Status.InFlight),
		strings.Compare(a.Name, b.Name),
	)
}

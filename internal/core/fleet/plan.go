package fleet

import (
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Plan returns the commands and waits as of now. It plans only the pools that an
// event or the time has affected since the last plan.
func (pl *Planner) Plan(in Input, now time.Time) Result {
	var result Result
	pl.result, pl.now = &result, now
	pl.round++
	for _, w := range pl.waves {
		w.planned = 0
	}
	pl.stillDraining = in.StillDraining
	if in.SlotsPerHost > 0 {
		pl.slots = in.SlotsPerHost
	}
	pl.demand.Observe(in.Loads, now)
	pools := pl.poolsToPlan()
	for _, p := range pools {
		pl.recountPool(p)
	}
	pl.stepWaves()
	for _, p := range pools {
		pl.planPool(p)
	}
	pl.planPoolsAtParallelLimit()
	pl.planMoves()
	pl.proposeWaveProgress()
	pl.proposePoolStatus(pools)
	for _, p := range pl.pools {
		result.Next = earliest(result.Next, p.nextPlan)
	}
	return result
}

// Waits returns the reasons of all waiting hosts, as of the last plan of their pool.
func (pl *Planner) Waits() []Wait {
	var waits []Wait
	for _, name := range pl.poolNames {
		waits = append(waits, pl.pools[name].waits...)
	}
	return waits
}

// poolsToPlan returns the pools that need a new plan, sorted by name.
func (pl *Planner) poolsToPlan() []*poolIndex {
	var list []*poolIndex
	for _, name := range pl.poolNames {
		p := pl.pools[name]
		if p.dirty || !p.nextPlan.IsZero() && !pl.now.Before(p.nextPlan) || pl.markValidityChanged(p) {
			list = append(list, p)
		}
	}
	return list
}

// markValidityChanged reports whether the mark of a pool expired or became valid
// again since the last plan of the pool. Marks have no events, so this is checked
// on each plan.
func (pl *Planner) markValidityChanged(p *poolIndex) bool {
	if pl.now.Before(p.markValidUntil) || p.pool == nil {
		return false
	}
	wasValid := !p.markValidUntil.IsZero()
	p.markValidUntil = pl.reported(p).Add(state.MaxHealthAge + 1)
	if pl.now.Before(p.markValidUntil) {
		return !wasValid
	}
	p.markValidUntil = time.Time{}
	return wasValid
}

// reported returns the time of the newest mark of a pool, or the zero time. It reads
// the snapshot because marks have no events.
func (pl *Planner) reported(p *poolIndex) time.Time {
	if pool, ok := pl.snap.Get(model.Key{Kind: model.KindPool, Name: p.name}).(*model.Pool); ok {
		return pool.Status.Reported
	}
	return time.Time{}
}

func (pl *Planner) origin() state.Origin {
	return state.Origin{Actor: Actor, Source: "leader", Time: pl.now}
}

func (pl *Planner) propose(cmd state.Command) {
	pl.result.Commands = append(pl.result.Commands, cmd)
}

// addWait records a waiting host of a pool.
func (pl *Planner) addWait(p *poolIndex, w Wait) {
	w.Pool = p.name
	p.waits = append(p.waits, w)
}

// recountPool recounts the hosts of a pool and discards the results of its last plan.
func (pl *Planner) recountPool(p *poolIndex) {
	reported := pl.reported(p)
	p.capacity = state.NewCapacity()
	p.nextPlan = time.Time{}
	p.waits = p.waits[:0:0]
	p.atParallelLimit = false
	p.dirty = false
	p.borrowed = 0
	markValid := pl.now.Sub(reported) <= state.MaxHealthAge
	for _, entry := range p.sortedHosts() {
		host := entry.host
		available := host.Available() && state.IsHealthKnown(host, reported, pl.now)
		if pl.stillDraining[host.Name] {
			host, available = asStopped(host), false
			p.nextPlan = earliest(p.nextPlan, pl.now.Add(retryAfter))
		}
		p.capacity.Add(host, available)
		if entry.host.Status.HomePool != "" {
			p.borrowed++
		}
		if available && !markValid {
			p.nextPlan = earliest(p.nextPlan, entry.host.Status.LastReport.Add(state.MaxHealthAge+time.Millisecond))
		}
	}
	pl.summariseWaves(p, reported)
}

// retryAfter is the delay until a pool is planned again after commands that had no
// effect.
const retryAfter = time.Second

// planPool advances the planned stops of a pool and plans the stops of its waves.
func (pl *Planner) planPool(p *poolIndex) {
	p.round = pl.round
	commands := len(pl.result.Commands)
	reported := pl.reported(p)
	for _, entry := range p.sortedHosts() {
		if entry.host.Status.Stop != nil {
			pl.advanceStop(p, entry.host, reported)
		}
	}
	pl.planWaves(p, reported)
	if len(pl.result.Commands) > commands {
		p.nextPlan = earliest(p.nextPlan, pl.now.Add(retryAfter))
	}
	pl.result.Waits = append(pl.result.Waits, p.waits...)
}

// planStop proposes a planned stop and counts it in the capacity of the pool.
func (pl *Planner) planStop(p *poolIndex, h *model.Host, stop model.PlannedStop) {
	pl.propose(state.HostStep{
		Origin: pl.origin(), Host: h.Name, Expected: h.Version, Epoch: h.Status.Epoch,
		To: model.HostDraining, Stop: &stop,
	})
	p.capacity.Remove(h, true)
	stopped := *h
	stopped.Status.Stop = &stop
	stopped.Status.Phase = model.HostDraining
	p.capacity.Add(&stopped, false)
}

// asStopped returns a copy of a host in a planned stop. It stands for an active host
// that the platform has not returned to service yet, so that the capacity counts
// its stop until then.
func asStopped(h *model.Host) *model.Host {
	stopped := *h
	stopped.Status.Stop = &model.PlannedStop{Action: model.StopDrain}
	return &stopped
}

package fleet

import (
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Plan returns what is to be done now. It looks at the pools that an event or
// the time has touched since the last plan.
func (pl *Planner) Plan(in Input, now time.Time) Result {
	var result Result
	pl.result, pl.now = &result, now
	pl.round++
	for _, w := range pl.waves {
		w.planned = 0
	}
	pl.unserved = in.StillDraining
	if in.SlotsPerHost > 0 {
		pl.slots = in.SlotsPerHost
	}
	pl.demand.Observe(in.Loads, now)
	touched := pl.touched()
	for _, p := range touched {
		pl.measure(p)
	}
	pl.stepWaves()
	for _, p := range touched {
		pl.planPool(p)
	}
	pl.planParallel()
	pl.planMoves()
	pl.tellWaves()
	pl.tellPools(touched)
	for _, p := range pl.pools {
		result.Next = earliest(result.Next, p.due)
	}
	return result
}

// Waits returns why each host waits, as of the last plan of its pool.
func (pl *Planner) Waits() []Wait {
	var waits []Wait
	for _, name := range pl.names {
		waits = append(waits, pl.pools[name].waits...)
	}
	return waits
}

// touched returns the pools that need a new plan, in the order of their names.
func (pl *Planner) touched() []*poolIndex {
	var list []*poolIndex
	for _, name := range pl.names {
		p := pl.pools[name]
		if p.dirty || !p.due.IsZero() && !pl.now.Before(p.due) || pl.freshnessChanged(p) {
			list = append(list, p)
		}
	}
	return list
}

// freshnessChanged tells whether the mark of a pool ran out or came back since
// its last plan. Marks have no events.
func (pl *Planner) freshnessChanged(p *poolIndex) bool {
	if pl.now.Before(p.freshUntil) || p.pool == nil {
		return false
	}
	wasFresh := !p.freshUntil.IsZero()
	p.freshUntil = pl.reported(p).Add(state.MaxHealthAge + 1)
	if pl.now.Before(p.freshUntil) {
		return !wasFresh
	}
	p.freshUntil = time.Time{}
	return wasFresh
}

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

func (pl *Planner) wait(p *poolIndex, w Wait) {
	w.Pool = p.name
	p.waits = append(p.waits, w)
}

// measure counts the hosts of the pool and forgets its last plan.
func (pl *Planner) measure(p *poolIndex) {
	reported := pl.reported(p)
	p.capacity = state.NewCapacity()
	p.due = time.Time{}
	p.waits = p.waits[:0:0]
	p.parallel = false
	p.dirty = false
	p.borrowed = 0
	marked := pl.now.Sub(reported) <= state.MaxHealthAge
	for _, s := range p.ordered() {
		host := s.host
		available := host.Available() && state.IsHealthKnown(host, reported, pl.now)
		if pl.unserved[host.Name] {
			host, available = stillStopped(host), false
			p.due = earliest(p.due, pl.now.Add(retryAfter))
		}
		p.capacity.Add(host, available)
		if s.host.Status.HomePool != "" {
			p.borrowed++
		}
		if available && !marked {
			p.due = earliest(p.due, s.host.Status.LastReport.Add(state.MaxHealthAge+time.Millisecond))
		}
	}
	pl.summarise(p, reported)
}

// retryAfter is when a pool is planned again after commands that had no effect.
const retryAfter = time.Second

func (pl *Planner) planPool(p *poolIndex) {
	p.round = pl.round
	commands := len(pl.result.Commands)
	reported := pl.reported(p)
	for _, s := range p.ordered() {
		if s.host.Status.Stop != nil {
			pl.driveStop(p, s.host, reported)
		}
	}
	pl.planWaves(p, reported)
	if len(pl.result.Commands) > commands {
		p.due = earliest(p.due, pl.now.Add(retryAfter))
	}
	pl.result.Waits = append(pl.result.Waits, p.waits...)
}

// takeStop plans a stop and counts it in the capacity of the pool.
func (pl *Planner) takeStop(p *poolIndex, h *model.Host, stop model.PlannedStop) {
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

// stillStopped returns a host that is not back in service as the ledger counts
// it until then.
func stillStopped(h *model.Host) *model.Host {
	stopped := *h
	stopped.Status.Stop = &model.PlannedStop{Action: model.StopDrain}
	return &stopped
}

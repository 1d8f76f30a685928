package fleettest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

const (
	// MeanDemand is the mean demand of a service, in hosts.
	MeanDemand = 1.5
	// services is the number of services, each with a pool of its own.
	services = 5
	slots    = fleet.DefaultSlotsPerHost
	// learningSeconds is how long the planner observes the demand before the wave.
	learningSeconds = 600
	// maxRolloutSeconds is when a run ends even if the wave has not finished.
	maxRolloutSeconds = 6 * 3600
)

// Fleet describes the fleet of one of the two users: five pools and a spare pool.
type Fleet struct {
	// Name is the name of the user, Spare that of the spare pool.
	Name, Spare string
	// Weight is the rollout weight of the pools. A low one keeps capacity for short
	// work.
	Weight float64
	// MaxPlannedStops is the maximum of planned stops in a pool; 0 means 6.
	MaxPlannedStops int
	// IgnoreDemand is set to hide the demand from the planner, so that it keeps no
	// reserve for surges and moves no host.
	IgnoreDemand bool
	// FailEvery is the mean time between failures of hosts in the fleet; 0 means no
	// failures. A failed host recovers after FailFor.
	FailEvery, FailFor time.Duration
	// Seed is the seed of the random failures.
	Seed uint64
	// LongDrainSeconds is how long the work on every tenth host takes to drain; 0
	// means that no host takes longer than the others.
	LongDrainSeconds int
}

// Fleets returns the fleets of the two users.
func Fleets() []Fleet {
	return []Fleet{
		{Name: "slidecraft", Spare: "dispatch", Weight: 0.25},
		{Name: "memoria-vie", Spare: "ledger", Weight: 0.5},
	}
}

// NewSimulation returns a simulation of the fleet that was reported once.
func (f Fleet) NewSimulation() *Simulation {
	sim := NewSimulation()
	stops := f.MaxPlannedStops
	if stops == 0 {
		stops = 6
	}
	sim.PutPool(f.Spare, func(p *model.PoolSpec) { p.Spare, p.RolloutWeight = true, f.Weight })
	for i, hosts := range []int{8, 8, 8, 9, 9} {
		name := poolName(i)
		sim.PutPool(name, func(p *model.PoolSpec) { p.SpareFrom, p.RolloutWeight = f.Spare, f.Weight })
		sim.AddHosts(name, hosts)
		sim.PutBudget(name, model.BudgetSpec{MinHealthy: hosts / 2, MaxPlannedStops: stops})
	}
	sim.AddHosts(f.Spare, 8)
	sim.PutBudget(f.Spare, model.BudgetSpec{MinHealthy: 4, MaxPlannedStops: min(stops, 2)})
	sim.RebootTime = 2 * time.Minute
	if f.LongDrainSeconds > 0 {
		long := make(map[string]bool)
		for i, name := range sim.Names {
			long[name] = i%10 == 0
		}
		sim.InFlight = func(host string) int {
			if long[host] {
				return f.LongDrainSeconds
			}
			return 1
		}
	}
	sim.Report(sim.State.Snapshot())
	return sim
}

func poolName(i int) string { return fmt.Sprintf("pool-%d", i) }

// SurgeLoads returns the load reports of a second. The load is that of both users: each
// queue in turn surges to five times its mean for 4 s, then drops to a twentieth of
// it for 16 s.
func SurgeLoads(sim *Simulation, second int, mean float64) []fleet.Load {
	var loads []fleet.Load
	for i := range services {
		busy := mean
		switch at := (second + 20*i) % 100; {
		case at < 4:
			busy = 5 * mean
		case at < 20:
			busy = mean / 20
		}
		loads = append(loads, fleet.Load{EntryHost: "e", Service: poolName(i), InFlight: int(busy * slots), Observed: sim.Now.Add(time.Second)})
	}
	return loads
}

// Rollout is the result of a wave over a whole fleet.
type Rollout struct {
	Duration time.Duration
	Finished bool
	// Moves is the number of moves that started during the wave.
	Moves int
	// Done is the number of hosts that the wave completed.
	Done int
	// Stopped is the mean number of hosts in a planned stop.
	Stopped float64
	// Spare is the mean number of available hosts above the demand. Shortage is the
	// demand above the available hosts, in host seconds.
	Spare, Shortage float64
}

// RollOut runs a reboot wave over all pools of a simulation of f under surges.
func (f Fleet) RollOut(sim *Simulation) Rollout {
	pl := fleet.NewPlanner(nil)
	failures := newFailures(f)
	second := 0
	runSecond := func() ([]fleet.Load, fleet.Result) {
		loads := SurgeLoads(sim, second, MeanDemand)
		in := fleet.Input{Loads: loads}
		if f.IgnoreDemand {
			in.Loads = nil
		}
		failures.step(sim)
		return loads, sim.RunRound(pl, in)
	}
	for ; second < learningSeconds; second++ {
		runSecond()
	}
	pools := []string{f.Spare}
	for i := range services {
		pools = append(pools, poolName(i))
	}
	sim.PutWave("w", pools, func(s *model.WaveSpec) { s.MaxParallel = 30 })
	var r Rollout
	started := sim.Now
	for ; !r.Finished && second < maxRolloutSeconds; second++ {
		loads, res := runSecond()
		for _, cmd := range res.Commands {
			if s, ok := cmd.(state.HostStep); ok && s.Stop != nil && s.Stop.Action == model.StopMove {
				r.Moves++
			}
		}
		r.Stopped += float64(sim.CountStops())
		spare, short := sim.balance(loads)
		r.Spare += spare
		r.Shortage += short
		r.Finished = sim.GetWave("w").Status.Phase == model.WaveFinished
	}
	r.Done = len(sim.GetWave("w").Status.Done)
	r.Duration = sim.Now.Sub(started)
	r.Stopped /= r.Duration.Seconds()
	r.Spare /= r.Duration.Seconds()
	return r
}

// CountStops returns the number of hosts in a planned stop.
func (sim *Simulation) CountStops() int {
	n := 0
	for _, name := range sim.Names {
		if sim.GetHost(name).Status.Stop != nil {
			n++
		}
	}
	return n
}

// balance returns the number of available hosts above the demand, including the spare
// pool, and the demand above the available hosts of the pools it belongs to.
func (sim *Simulation) balance(loads []fleet.Load) (spare, short float64) {
	available := make(map[string]int)
	for _, name := range sim.Names {
		if h := sim.GetHost(name); h.Available() {
			available[h.Spec.Pool]++
			spare++
		}
	}
	for _, l := range loads {
		busy := float64(l.InFlight) / slots
		free := float64(available[l.Service])
		spare -= min(busy, free)
		short += max(0, busy-free)
	}
	return spare, short
}

// failures makes random hosts fail and recover.
type failures struct {
	fleet      Fleet
	random     *rand.Rand
	recoversAt map[string]time.Time
}

func newFailures(f Fleet) *failures {
	return &failures{fleet: f, random: rand.New(rand.NewPCG(f.Seed, 11)), recoversAt: make(map[string]time.Time)}
}

// step recovers the hosts that are due and fails at most one host.
func (x *failures) step(sim *Simulation) {
	if x.fleet.FailEvery == 0 {
		return
	}
	for _, name := range sim.Names {
		if at, ok := x.recoversAt[name]; ok && !sim.Now.Before(at) {
			delete(x.recoversAt, name)
			sim.Machines[name].Up = true
		}
	}
	if x.random.Float64() < time.Second.Seconds()/x.fleet.FailEvery.Seconds() {
		name := sim.Names[x.random.IntN(len(sim.Names))]
		if m := sim.Machines[name]; m.Up && m.RebootEnds.IsZero() {
			m.Up = false
			x.recoversAt[name] = sim.Now.Add(x.fleet.FailFor)
		}
	}
}

// NewSimulationOfSize returns a simulation with pools in the ratio of 238 pools to
// 16,000 hosts, a wave over all of them and a spare pool from which every pool may
// borrow.
func NewSimulationOfSize(hosts int) *Simulation {
	sim := NewSimulation()
	pools := max(6, hosts*238/16000)
	var names []string
	sim.PutPool("spare", func(p *model.PoolSpec) { p.Spare = true })
	for i := range pools {
		name := fmt.Sprintf("pool-%03d", i)
		names = append(names, name)
		sim.PutPool(name, func(p *model.PoolSpec) { p.SpareFrom = "spare" })
		sim.AddHosts(name, hosts/pools)
		sim.PutBudget(name, model.BudgetSpec{MinHealthy: hosts / pools / 2, MaxPlannedStops: 3, SurviveRack: true, SurviveZone: false})
	}
	sim.AddHosts("spare", hosts-hosts/pools*pools)
	sim.Report(sim.State.Snapshot())
	sim.PutWave("w", names, func(s *model.WaveSpec) { s.MaxParallel = max(2, hosts/100) })
	sim.Plan(fleet.NewPlanner(nil), fleet.Input{})
	return sim
}

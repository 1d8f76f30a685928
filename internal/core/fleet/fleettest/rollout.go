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
	services   = 5
	slots      = fleet.DefaultSlotsPerHost
	// learning is how long the planner learns the demand before the wave.
	learning = 600
	// limit ends a wave that does not finish.
	limit = 6 * 3600
)

// Fleet is the fleet of one of the two users: five pools and a spare pool.
type Fleet struct {
	Name, Spare string
	// Weight is the rollout weight: short work first, or equal weight.
	Weight float64
	// MaxPlannedStops bounds the stops of a pool; 0 means 6.
	MaxPlannedStops int
	// Blind hides the demand from the planner, so that it keeps no reserve for
	// surges and lends no host.
	IgnoreDemand bool
	// FailEvery is the mean time between failures of a host that comes back
	// after FailFor; 0 means none. Seed draws them.
	FailEvery, FailFor time.Duration
	Seed               uint64
	// LongDrain is how many seconds the work on each tenth host needs to drain.
	LongDrainSeconds int
}

// Fleets are those of the two users.
func Fleets() []Fleet {
	return []Fleet{
		{Name: "slidecraft", Spare: "dispatch", Weight: 0.25},
		{Name: "memoria-vie", Spare: "ledger", Weight: 0.5},
	}
}

// World returns the fleet as a world that was reported once.
func (f Fleet) NewSimulation() *Simulation {
	w := NewSimulation()
	stops := f.MaxPlannedStops
	if stops == 0 {
		stops = 6
	}
	w.PutPool(f.Spare, func(p *model.PoolSpec) { p.Spare, p.RolloutWeight = true, f.Weight })
	for i, hosts := range []int{8, 8, 8, 9, 9} {
		name := poolName(i)
		w.PutPool(name, func(p *model.PoolSpec) { p.SpareFrom, p.RolloutWeight = f.Spare, f.Weight })
		w.AddHosts(name, hosts)
		w.PutBudget(name, model.BudgetSpec{MinHealthy: hosts / 2, MaxPlannedStops: stops})
	}
	w.AddHosts(f.Spare, 8)
	w.PutBudget(f.Spare, model.BudgetSpec{MinHealthy: 4, MaxPlannedStops: min(stops, 2)})
	w.RebootTime = 2 * time.Minute
	if f.LongDrainSeconds > 0 {
		long := make(map[string]bool)
		for i, name := range w.Names {
			long[name] = i%10 == 0
		}
		w.InFlight = func(host string) int {
			if long[host] {
				return f.LongDrainSeconds
			}
			return 1
		}
	}
	w.Report(w.State.Snapshot())
	return w
}

func poolName(i int) string { return fmt.Sprintf("pool-%d", i) }

// Surging is the load of both users: each queue in turn surges to five times
// its mean for 4 s, then drops to a twentieth for 16 s.
func SurgeLoads(w *Simulation, second int, mean float64) []fleet.Load {
	var loads []fleet.Load
	for i := range services {
		busy := mean
		switch at := (second + 20*i) % 100; {
		case at < 4:
			busy = 5 * mean
		case at < 20:
			busy = mean / 20
		}
		loads = append(loads, fleet.Load{EntryHost: "e", Service: poolName(i), InFlight: int(busy * slots), Observed: w.Now.Add(time.Second)})
	}
	return loads
}

// Rollout is what a wave over a whole fleet cost.
type Rollout struct {
	Duration     time.Duration
	Finished bool
	Moves    int
	Done     int
	// Stopped is the mean number of hosts out of service.
	Stopped float64
	// Spare is the mean number of available hosts above the demand, and Short
	// the demand above the available hosts, in host seconds.
	Spare, Shortage float64
}

// RollOut runs a reboot wave over all pools of a world of f under surges.
func (f Fleet) RollOut(w *Simulation) Rollout {
	pl := fleet.NewPlanner(nil)
	faults := newFailures(f)
	second := 0
	turn := func() ([]fleet.Load, fleet.Result) {
		loads := SurgeLoads(w, second, MeanDemand)
		in := fleet.Input{Loads: loads}
		if f.IgnoreDemand {
			in.Loads = nil
		}
		faults.step(w)
		return loads, w.RunRound(pl, in)
	}
	for ; second < learning; second++ {
		turn()
	}
	pools := []string{f.Spare}
	for i := range services {
		pools = append(pools, poolName(i))
	}
	w.PutWave("w", pools, func(s *model.WaveSpec) { s.MaxParallel = 30 })
	var r Rollout
	started := w.Now
	for ; !r.Finished && second < limit; second++ {
		loads, res := turn()
		for _, cmd := range res.Commands {
			if s, ok := cmd.(state.HostStep); ok && s.Stop != nil && s.Stop.Action == model.StopMove {
				r.Moves++
			}
		}
		r.Stopped += float64(w.CountStops())
		spare, short := w.balance(loads)
		r.Spare += spare
		r.Shortage += short
		r.Finished = w.GetWave("w").Status.Phase == model.WaveFinished
	}
	r.Done = len(w.GetWave("w").Status.Done)
	r.Duration = w.Now.Sub(started)
	r.Stopped /= r.Duration.Seconds()
	r.Spare /= r.Duration.Seconds()
	return r
}

// Stops returns the number of hosts in a planned stop.
func (w *Simulation) CountStops() int {
	n := 0
	for _, name := range w.Names {
		if w.GetHost(name).Status.Stop != nil {
			n++
		}
	}
	return n
}

// balance returns by how many hosts the available hosts exceed the demand, the
// spare pool included, and the demand the available hosts of its own pool.
func (w *Simulation) balance(loads []fleet.Load) (spare, short float64) {
	available := make(map[string]int)
	for _, name := range w.Names {
		if h := w.GetHost(name); h.Available() {
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

// failures lets hosts fail at random and come back.
type failures struct {
	f      Fleet
	random *rand.Rand
	back   map[string]time.Time
}

func newFailures(f Fleet) *failures {
	return &failures{f: f, random: rand.New(rand.NewPCG(f.Seed, 11)), back: make(map[string]time.Time)}
}

func (x *failures) step(w *Simulation) {
	if x.f.FailEvery == 0 {
		return
	}
	for _, name := range w.Names {
		if at, ok := x.back[name]; ok && !w.Now.Before(at) {
			delete(x.back, name)
			w.Machines[name].Up = true
		}
	}
	if x.random.Float64() < time.Second.Seconds()/x.f.FailEvery.Seconds() {
		name := w.Names[x.random.IntN(len(w.Names))]
		if m := w.Machines[name]; m.Up && m.RebootEnds.IsZero() {
			m.Up = false
			x.back[name] = w.Now.Add(x.f.FailFor)
		}
	}
}

// Sized has a fleet with pools in the proportion of 238 to 16,000 hosts, a wave
// over all of them and a spare pool from which every pool may borrow.
func NewSimulationOfSize(hosts int) *Simulation {
	w := NewSimulation()
	pools := max(6, hosts*238/16000)
	var names []string
	w.PutPool("spare", func(p *model.PoolSpec) { p.Spare = true })
	for i := range pools {
		name := fmt.Sprintf("pool-%03d", i)
		names = append(names, name)
		w.PutPool(name, func(p *model.PoolSpec) { p.SpareFrom = "spare" })
		w.AddHosts(name, hosts/pools)
		w.PutBudget(name, model.BudgetSpec{MinHealthy: hosts / pools / 2, MaxPlannedStops: 3, SurviveRack: true, SurviveZone: false})
	}
	w.AddHosts("spare", hosts-hosts/pools*pools)
	w.Report(w.State.Snapshot())
	w.PutWave("w", names, func(s *model.WaveSpec) { s.MaxParallel = max(2, hosts/100) })
	w.Plan(fleet.NewPlanner(nil), fleet.Input{})
	return w
}

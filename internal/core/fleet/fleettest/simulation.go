// Package fleettest simulates a fleet for tests and benchmarks of the planner. It has
// machines that fail, reboot and run work, and a replicated state that is updated
// from them. Time is simulated.
package fleettest

import (
	"fmt"
	"time"

	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// StartTime is the time at which a simulation begins.
var StartTime = time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)

// Machine is the actual condition of a host, as the platform lists it.
type Machine struct {
	Up bool
	// Boot is the number of boots.
	Boot int
	// InFlight is the number of requests or tasks in flight.
	InFlight int
	// HealthyAt is when the machine was last up.
	HealthyAt time.Time
	// RebootEnds is when the reboot in progress ends, or zero if there is none.
	RebootEnds time.Time
	// HighestEpoch is the highest epoch that the platform has seen for the host.
	HighestEpoch uint64
}

// Simulation is a replicated state with simulated machines that a test drives.
type Simulation struct {
	State    *state.State
	Now      time.Time
	Machines map[string]*Machine
	// Names are the names of all hosts in the order of their creation.
	Names []string
	// InFlight returns the work in flight of an active host. A nil function leaves it
	// unchanged.
	InFlight func(host string) int
	// LateWork returns the work that a partitioned entry host still sends to a host
	// during the first seconds of its drain. A nil function means none.
	LateWork func(host string) int
	// RebootTime is how long a reboot takes.
	RebootTime time.Duration
	// Apply applies a command. A test replaces it to break a rule on purpose.
	Apply func(cmd state.Command) state.Result
	// OnCommand, unless nil, is called with the state before and after each command.
	OnCommand func(cmd state.Command, before, after *state.Snapshot)
}

// NewSimulation returns a simulation without pools and hosts.
func NewSimulation() *Simulation {
	sim := &Simulation{State: state.New(), Now: StartTime, Machines: make(map[string]*Machine), RebootTime: 30 * time.Second}
	sim.Apply = sim.Commit
	return sim
}

// Commit applies a command to the state, without Apply and OnCommand.
func (sim *Simulation) Commit(cmd state.Command) state.Result {
	return sim.State.Apply(sim.State.Version()+1, cmd)
}

// Execute applies a command with Apply and calls OnCommand.
func (sim *Simulation) Execute(cmd state.Command) state.Result {
	if sim.OnCommand == nil {
		return sim.Apply(cmd)
	}
	before := sim.State.Snapshot()
	res := sim.Apply(cmd)
	sim.OnCommand(cmd, before, sim.State.Snapshot())
	return res
}

// Origin returns the origin of an operator's command at the current time.
func (sim *Simulation) Origin() state.Origin { return state.Origin{Actor: "operator", Time: sim.Now} }

// PutObject puts a resource. It panics if the state refuses it.
func (sim *Simulation) PutObject(obj model.Object) {
	res := sim.Execute(state.Put{Origin: sim.Origin(), Object: obj, Expected: state.AnyVersion})
	if res.Err != nil {
		panic(res.Err)
	}
}

// PutPool puts a pool with the spec that change sets.
func (sim *Simulation) PutPool(name string, change func(*model.PoolSpec)) {
	p := model.New(model.KindPool).(*model.Pool)
	p.Name = name
	if change != nil {
		change(&p.Spec)
	}
	sim.PutObject(p)
}

// PutBudget puts a budget of a pool, with the name of the pool.
func (sim *Simulation) PutBudget(pool string, spec model.BudgetSpec) {
	b := model.New(model.KindBudget).(*model.Budget)
	b.Name, b.Spec = pool, spec
	b.Spec.Pool = pool
	sim.PutObject(b)
}

// AddHosts adds n hosts to a pool, 4 per rack. The racks are assigned to three zones in
// turn.
func (sim *Simulation) AddHosts(pool string, n int) {
	for range n {
		i := len(sim.Names)
		h := model.New(model.KindHost).(*model.Host)
		h.Name = fmt.Sprintf("%s-%03d", pool, i)
		h.Spec = model.HostSpec{Pool: pool, Zone: fmt.Sprintf("zone-%d", i/4%3), Rack: fmt.Sprintf("rack-%d", i/4), Cores: 32, MemoryMB: 64 << 10}
		sim.PutObject(h)
		sim.Names = append(sim.Names, h.Name)
		sim.Machines[h.Name] = &Machine{Up: true, Boot: 1, HealthyAt: sim.Now}
	}
}

// PutWave puts a started reboot wave over the pools, modified by change.
func (sim *Simulation) PutWave(name string, pools []string, change func(*model.WaveSpec)) {
	w := model.New(model.KindWave).(*model.Wave)
	w.Name = name
	w.Spec = model.WaveSpec{Pools: pools, Action: model.StopReboot, Started: true, MaxParallel: 4}
	if change != nil {
		change(&w.Spec)
	}
	sim.PutObject(w)
}

// GetWave returns the wave of that name.
func (sim *Simulation) GetWave(name string) *model.Wave {
	return sim.State.Get(model.Key{Kind: model.KindWave, Name: name}).(*model.Wave)
}

// GetHost returns the host of that name.
func (sim *Simulation) GetHost(name string) *model.Host {
	return sim.State.Get(model.Key{Kind: model.KindHost, Name: name}).(*model.Host)
}

// Advance moves the time forward and ends the reboots that are due.
func (sim *Simulation) Advance(d time.Duration) {
	sim.Now = sim.Now.Add(d)
	for _, name := range sim.Names {
		m := sim.Machines[name]
		if !m.RebootEnds.IsZero() && !sim.Now.Before(m.RebootEnds) {
			m.RebootEnds = time.Time{}
			m.Up = true
			m.Boot++
			m.InFlight = 0
		}
		if m.Up {
			m.HealthyAt = sim.Now
		}
	}
}

// UpdateWork updates the work in flight: an active host takes new work, a host in a
// planned stop finishes what it has.
func (sim *Simulation) UpdateWork() {
	for _, name := range sim.Names {
		m := sim.Machines[name]
		status := sim.GetHost(name).Status
		phase := status.Phase
		switch {
		case !m.Up:
			m.InFlight = 0
		case phase == model.HostActive && sim.InFlight != nil:
			m.InFlight = sim.InFlight(name)
		case phase == model.HostDraining && sim.LateWork != nil && sim.Now.Before(status.Stop.Since.Add(state.DrainSettleTime)):
			m.InFlight += sim.LateWork(name)
		case phase != model.HostActive && m.InFlight > 0:
			m.InFlight--
		}
	}
}

// Listing returns the platform's observations of all machines.
func (sim *Simulation) Listing() []state.HostObservation {
	list := make([]state.HostObservation, 0, len(sim.Names))
	for _, name := range sim.Names {
		m := sim.Machines[name]
		health := model.HealthHealthy
		if !m.Up {
			health = model.HealthUnhealthy
		}
		list = append(list, state.HostObservation{Host: name, Health: health, InFlight: m.InFlight, BootID: fmt.Sprintf("boot-%d", m.Boot), Observed: sim.Now})
	}
	return list
}

// Report updates the state with the differences between the machines and snap.
func (sim *Simulation) Report(snap *state.Snapshot) {
	if r, ok := fleet.Report(snap, sim.Listing(), sim.Now); ok {
		sim.Execute(r)
	}
}

// RunPlatform executes the committed state on the machines. It ignores an older epoch.
func (sim *Simulation) RunPlatform() {
	for _, name := range sim.Names {
		h, m := sim.GetHost(name), sim.Machines[name]
		if h.Status.Epoch < m.HighestEpoch {
			continue
		}
		m.HighestEpoch = h.Status.Epoch
		if h.Status.Stop != nil && h.Status.Stop.Checkpoint {
			m.InFlight = 0
		}
		if h.Status.Phase == model.HostRebooting && m.RebootEnds.IsZero() && h.Status.Stop.BootID == fmt.Sprintf("boot-%d", m.Boot) {
			m.Up = false
			m.RebootEnds = sim.Now.Add(sim.RebootTime)
		}
	}
}

// Plan plans once and executes the commands.
func (sim *Simulation) Plan(pl *fleet.Planner, in fleet.Input) fleet.Result {
	pl.Sync(sim.State.Snapshot())
	res := pl.Plan(in, sim.Now)
	for _, cmd := range res.Commands {
		sim.Execute(cmd)
	}
	return res
}

// RunRound runs one second: machines, work, a report, a plan and the platform.
func (sim *Simulation) RunRound(pl *fleet.Planner, in fleet.Input) fleet.Result {
	sim.Advance(time.Second)
	sim.UpdateWork()
	sim.Report(sim.State.Snapshot())
	res := sim.Plan(pl, in)
	sim.RunPlatform()
	return res
}

// HostsByPool returns the number of hosts by pool.
func (sim *Simulation) HostsByPool() map[string]int {
	count := make(map[string]int)
	for _, name := range sim.Names {
		count[sim.GetHost(name).Spec.Pool]++
	}
	return count
}

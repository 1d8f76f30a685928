// Package fleettest is a small model of a fleet for tests and measurements of
// the planner: machines that fail, reboot and carry work, and a replicated state
// that follows them. Time is a value.
package fleettest

import (
	"fmt"
	"time"

	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Start is the time at which a world begins.
var StartTime = time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)

// Machine is the true condition of one host, which the platform knows.
type Machine struct {
	Up       bool
	Boot     int
	InFlight int
	// HealthyAt is when the machine was last up.
	HealthyAt time.Time
	// BackAt is the end of a reboot in progress; zero if there is none.
	RebootEnds time.Time
	// Served is the highest epoch that the platform has seen for the host.
	HighestEpoch uint64
}

// World is a control state with machines, driven by a test. Time is a value.
type Simulation struct {
	State        *state.State
	Now      time.Time
	Machines map[string]*Machine
	Names    []string
	// InFlight is the work that an active machine has; a drain ends it.
	InFlight func(host string) int
	// Late is the work that an entry host that is cut off still sends to a host
	// within the first seconds of its drain.
	LateWork       func(host string) int
	RebootTime time.Duration
	// Apply can be replaced by a broken variant.
	Apply func(cmd state.Command) state.Result
	// Seen is called with the hosts before and after each command.
	OnCommand func(cmd state.Command, before, after *state.Snapshot)
}

// NewWorld returns an empty world.
func NewSimulation() *Simulation {
	w := &Simulation{State: state.New(), Now: StartTime, Machines: make(map[string]*Machine), RebootTime: 30 * time.Second}
	w.Apply = w.Commit
	return w
}

// Commit applies a command.
func (w *Simulation) Commit(cmd state.Command) state.Result { return w.State.Apply(w.State.Version()+1, cmd) }

// Do applies a command as Apply does, and tells Seen.
func (w *Simulation) Execute(cmd state.Command) state.Result {
	if w.OnCommand == nil {
		return w.Apply(cmd)
	}
	before := w.State.Snapshot()
	res := w.Apply(cmd)
	w.OnCommand(cmd, before, w.State.Snapshot())
	return res
}

// Origin is that of an operator.
func (w *Simulation) Origin() state.Origin { return state.Origin{Actor: "operator", Time: w.Now} }

// Put stores a resource.
func (w *Simulation) PutObject(obj model.Object) {
	res := w.Execute(state.Put{Origin: w.Origin(), Object: obj, Expected: state.AnyVersion})
	if res.Err != nil {
		panic(res.Err)
	}
}

// Pool puts a pool.
func (w *Simulation) PutPool(name string, change func(*model.PoolSpec)) {
	p := model.New(model.KindPool).(*model.Pool)
	p.Name = name
	if change != nil {
		change(&p.Spec)
	}
	w.PutObject(p)
}

// Budget puts a budget of a pool.
func (w *Simulation) PutBudget(pool string, spec model.BudgetSpec) {
	b := model.New(model.KindBudget).(*model.Budget)
	b.Name, b.Spec = pool, spec
	b.Spec.Pool = pool
	w.PutObject(b)
}

// Hosts puts n machines, 4 per rack, with racks in three zones in turn.
func (w *Simulation) AddHosts(pool string, n int) {
	for range n {
		i := len(w.Names)
		h := model.New(model.KindHost).(*model.Host)
		h.Name = fmt.Sprintf("%s-%03d", pool, i)
		h.Spec = model.HostSpec{Pool: pool, Zone: fmt.Sprintf("zone-%d", i/4%3), Rack: fmt.Sprintf("rack-%d", i/4), Cores: 32, MemoryMB: 64 << 10}
		w.PutObject(h)
		w.Names = append(w.Names, h.Name)
		w.Machines[h.Name] = &Machine{Up: true, Boot: 1, HealthyAt: w.Now}
	}
}

// Wave puts a started wave of reboots.
func (w *Simulation) PutWave(name string, pools []string, change func(*model.WaveSpec)) {
	v := model.New(model.KindWave).(*model.Wave)
	v.Name = name
	v.Spec = model.WaveSpec{Pools: pools, Action: model.StopReboot, Started: true, MaxParallel: 4}
	if change != nil {
		change(&v.Spec)
	}
	w.PutObject(v)
}

// WaveOf returns a wave.
func (w *Simulation) GetWave(name string) *model.Wave {
	return w.State.Get(model.Key{Kind: model.KindWave, Name: name}).(*model.Wave)
}

// Host returns a host.
func (w *Simulation) GetHost(name string) *model.Host {
	return w.State.Get(model.Key{Kind: model.KindHost, Name: name}).(*model.Host)
}

// Advance moves the time and what machines do by themselves.
func (w *Simulation) Advance(d time.Duration) {
	w.Now = w.Now.Add(d)
	for _, name := range w.Names {
		m := w.Machines[name]
		if !m.RebootEnds.IsZero() && !w.Now.Before(m.RebootEnds) {
			m.RebootEnds = time.Time{}
			m.Up = true
			m.Boot++
			m.InFlight = 0
		}
		if m.Up {
			m.HealthyAt = w.Now
		}
	}
}

// Work sets the work in flight: an active host takes new work, a host that
// drains finishes what it has.
func (w *Simulation) UpdateWork() {
	for _, name := range w.Names {
		m := w.Machines[name]
		status := w.GetHost(name).Status
		phase := status.Phase
		switch {
		case !m.Up:
			m.InFlight = 0
		case phase == model.HostActive && w.InFlight != nil:
			m.InFlight = w.InFlight(name)
		case phase == model.HostDraining && w.LateWork != nil && w.Now.Before(status.Stop.Since.Add(state.DrainSettleTime)):
			m.InFlight += w.LateWork(name)
		case phase != model.HostActive && m.InFlight > 0:
			m.InFlight--
		}
	}
}

// Listing is what the platform tells of all machines.
func (w *Simulation) Listing() []state.HostObservation {
	list := make([]state.HostObservation, 0, len(w.Names))
	for _, name := range w.Names {
		m := w.Machines[name]
		health := model.HealthHealthy
		if !m.Up {
			health = model.HealthUnhealthy
		}
		list = append(list, state.HostObservation{Host: name, Health: health, InFlight: m.InFlight, BootID: fmt.Sprintf("boot-%d", m.Boot), Observed: w.Now})
	}
	return list
}

// Report brings the state up to date with the machines, compared with snap.
func (w *Simulation) Report(snap *state.Snapshot) {
	if r, ok := fleet.Report(snap, w.Listing(), w.Now); ok {
		w.Execute(r)
	}
}

// Platform carries out what has been committed. An older epoch is refused.
func (w *Simulation) RunPlatform() {
	for _, name := range w.Names {
		h, m := w.GetHost(name), w.Machines[name]
		if h.Status.Epoch < m.HighestEpoch {
			continue
		}
		m.HighestEpoch = h.Status.Epoch
		if h.Status.Stop != nil && h.Status.Stop.Checkpoint {
			m.InFlight = 0
		}
		if h.Status.Phase == model.HostRebooting && m.RebootEnds.IsZero() && h.Status.Stop.BootID == fmt.Sprintf("boot-%d", m.Boot) {
			m.Up = false
			m.RebootEnds = w.Now.Add(w.RebootTime)
		}
	}
}

// Plan plans once and applies the commands.
func (w *Simulation) Plan(pl *fleet.Planner, in fleet.Input) fleet.Result {
	pl.Sync(w.State.Snapshot())
	res := pl.Plan(in, w.Now)
	for _, cmd := range res.Commands {
		w.Execute(cmd)
	}
	return res
}

// Round is one second in the life of the leader.
func (w *Simulation) RunRound(pl *fleet.Planner, in fleet.Input) fleet.Result {
	w.Advance(time.Second)
	w.UpdateWork()
	w.Report(w.State.Snapshot())
	res := w.Plan(pl, in)
	w.RunPlatform()
	return res
}

// Pools returns the number of hosts by pool.
func (w *Simulation) HostsByPool() map[string]int {
	count := make(map[string]int)
	for _, name := range w.Names {
		count[w.GetHost(name).Spec.Pool]++
	}
	return count
}

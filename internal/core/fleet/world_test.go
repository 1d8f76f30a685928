package fleet_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// rapidSeed makes random histories the same in every run; a seed on the
// command line takes precedence.
const rapidSeed = "20261201"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", rapidSeed)
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

var start = time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)

// machine is the true condition of one host, which the platform knows.
type machine struct {
	up       bool
	boot     int
	inFlight int
	// healthyAt is when the machine was last up.
	healthyAt time.Time
	// backAt is the end of a reboot in progress; zero if there is none.
	backAt time.Time
	// served is the highest epoch that the platform has seen for the host.
	served uint64
}

// world is a control state with machines, driven by a test. Time is a value.
type world struct {
	s        *state.State
	now      time.Time
	machines map[string]*machine
	names    []string
	// inFlight is the work that an active machine has; a drain ends it.
	inFlight func(host string) int
	// late is the work that an entry host that is cut off still sends to a host
	// within the first seconds of its drain.
	late       func(host string) int
	rebootTime time.Duration
	// apply can be replaced by a broken variant.
	apply func(cmd state.Command) state.Result
	// seen is called with the hosts before and after each command.
	seen func(cmd state.Command, before, after *state.Snapshot)
}

func newWorld() *world {
	w := &world{s: state.New(), now: start, machines: make(map[string]*machine), rebootTime: 30 * time.Second}
	w.apply = w.commit
	return w
}

func (w *world) commit(cmd state.Command) state.Result { return w.s.Apply(w.s.Version()+1, cmd) }

func (w *world) do(cmd state.Command) state.Result {
	if w.seen == nil {
		return w.apply(cmd)
	}
	before := w.s.Snapshot()
	res := w.apply(cmd)
	w.seen(cmd, before, w.s.Snapshot())
	return res
}

func (w *world) origin() state.Origin { return state.Origin{Actor: "operator", Time: w.now} }

func (w *world) put(obj model.Object) {
	res := w.do(state.Put{Origin: w.origin(), Object: obj, Expected: state.AnyVersion})
	if res.Err != nil {
		panic(res.Err)
	}
}

func (w *world) pool(name string, change func(*model.PoolSpec)) {
	p := model.New(model.KindPool).(*model.Pool)
	p.Name = name
	if change != nil {
		change(&p.Spec)
	}
	w.put(p)
}

func (w *world) budget(pool string, spec model.BudgetSpec) {
	b := model.New(model.KindBudget).(*model.Budget)
	b.Name, b.Spec = pool, spec
	b.Spec.Pool = pool
	w.put(b)
}

// hosts puts n machines, 4 per rack, with racks in three zones in turn.
func (w *world) hosts(pool string, n int) {
	for range n {
		i := len(w.names)
		h := model.New(model.KindHost).(*model.Host)
		h.Name = fmt.Sprintf("%s-%03d", pool, i)
		h.Spec = model.HostSpec{Pool: pool, Zone: fmt.Sprintf("zone-%d", i/4%3), Rack: fmt.Sprintf("rack-%d", i/4), Cores: 32, MemoryMB: 64 << 10}
		w.put(h)
		w.names = append(w.names, h.Name)
		w.machines[h.Name] = &machine{up: true, boot: 1, healthyAt: w.now}
	}
}

func (w *world) wave(name string, pools []string, change func(*model.WaveSpec)) {
	v := model.New(model.KindWave).(*model.Wave)
	v.Name = name
	v.Spec = model.WaveSpec{Pools: pools, Action: model.StopReboot, Started: true, MaxParallel: 4}
	if change != nil {
		change(&v.Spec)
	}
	w.put(v)
}

func (w *world) waveOf(name string) *model.Wave {
	return w.s.Get(model.Key{Kind: model.KindWave, Name: name}).(*model.Wave)
}

func (w *world) host(name string) *model.Host {
	return w.s.Get(model.Key{Kind: model.KindHost, Name: name}).(*model.Host)
}

// advance moves the time and what machines do by themselves.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, name := range w.names {
		m := w.machines[name]
		if !m.backAt.IsZero() && !w.now.Before(m.backAt) {
			m.backAt = time.Time{}
			m.up = true
			m.boot++
			m.inFlight = 0
		}
		if m.up {
			m.healthyAt = w.now
		}
	}
}

// work sets the work in flight: an active host takes new work, a host that
// drains finishes what it has.
func (w *world) work() {
	for _, name := range w.names {
		m := w.machines[name]
		status := w.host(name).Status
		phase := status.Phase
		switch {
		case !m.up:
			m.inFlight = 0
		case phase == model.HostActive && w.inFlight != nil:
			m.inFlight = w.inFlight(name)
		case phase == model.HostDraining && w.late != nil && w.now.Before(status.Stop.Since.Add(state.DrainSettle)):
			m.inFlight += w.late(name)
		case phase != model.HostActive && m.inFlight > 0:
			m.inFlight--
		}
	}
}

func (w *world) listing() []state.HostObservation {
	list := make([]state.HostObservation, 0, len(w.names))
	for _, name := range w.names {
		m := w.machines[name]
		health := model.HealthHealthy
		if !m.up {
			health = model.HealthUnhealthy
		}
		list = append(list, state.HostObservation{Host: name, Health: health, InFlight: m.inFlight, BootID: fmt.Sprintf("boot-%d", m.boot), Observed: w.now})
	}
	return list
}

// report brings the state up to date with the machines, compared with snap.
func (w *world) report(snap *state.Snapshot) {
	if r, ok := fleet.Report(snap, w.listing(), w.now); ok {
		w.do(r)
	}
}

// platform carries out what has been committed. An older epoch is refused.
func (w *world) platform() {
	for _, name := range w.names {
		h, m := w.host(name), w.machines[name]
		if h.Status.Epoch < m.served {
			continue
		}
		m.served = h.Status.Epoch
		if h.Status.Stop != nil && h.Status.Stop.Checkpoint {
			m.inFlight = 0
		}
		if h.Status.Phase == model.HostRebooting && m.backAt.IsZero() && h.Status.Stop.BootID == fmt.Sprintf("boot-%d", m.boot) {
			m.up = false
			m.backAt = w.now.Add(w.rebootTime)
		}
	}
}

func (w *world) plan(pl *fleet.Planner, in fleet.Input) fleet.Result {
	pl.Sync(w.s.Snapshot())
	res := pl.Plan(in, w.now)
	for _, cmd := range res.Commands {
		w.do(cmd)
	}
	return res
}

// round is one second in the life of the leader.
func (w *world) round(pl *fleet.Planner, in fleet.Input) fleet.Result {
	w.advance(time.Second)
	w.work()
	w.report(w.s.Snapshot())
	res := w.plan(pl, in)
	w.platform()
	return res
}

func (w *world) pools() map[string]int {
	count := make(map[string]int)
	for _, name := range w.names {
		count[w.host(name).Spec.Pool]++
	}
	return count
}

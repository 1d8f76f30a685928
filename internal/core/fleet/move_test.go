package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

const slots = fleet.DefaultSlotsPerHost

// borrowing has a pool of 8 hosts that borrows from a spare pool of 4.
func borrowing() (*world, *fleet.Planner) {
	w := newWorld()
	w.pool("spare", func(p *model.PoolSpec) { p.Spare, p.MinDwellSeconds = true, 300 })
	w.pool("a", func(p *model.PoolSpec) { p.SpareFrom, p.MinDwellSeconds = "spare", 600 })
	w.hosts("a", 8)
	w.hosts("spare", 4)
	w.budget("spare", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 2})
	w.budget("a", model.BudgetSpec{MinHealthy: 4, MaxPlannedStops: 2})
	w.report(w.s.Snapshot())
	return w, fleet.NewPlanner(nil)
}

// moves plays rounds under a load in hosts and returns the moves that started.
func (w *world) moves(pl *fleet.Planner, seconds int, load func(second int) float64) int {
	started := 0
	for i := range seconds {
		in := fleet.Input{Loads: []fleet.Load{{EntryHost: "e", Service: "a", InFlight: int(load(i) * slots), Observed: w.now.Add(time.Second)}}}
		for _, cmd := range w.round(pl, in).Commands {
			if c, ok := cmd.(state.HostStep); ok && c.Stop != nil && c.Stop.Action == model.StopMove {
				started++
			}
		}
	}
	return started
}

func constant(hosts float64) func(int) float64 { return func(int) float64 { return hosts } }

// Guards against hosts that move for a surge of seconds, as each queue has it
// in turn: five times the mean, more than the pool holds, then a twentieth.
func TestSurgeOfSecondsCausesNoMove(t *testing.T) {
	w, pl := borrowing()
	surge := func(i int) float64 {
		switch i % 60 {
		case 0, 1, 2, 3, 4:
			return 15
		case 5, 6, 7, 8, 9, 10:
			return 0.15
		}
		return 3
	}
	require.Zero(t, w.moves(pl, 3600, surge))
}

// Guards against a pool that never gets help, and against help all at once.
func TestLastingNeedMovesOneHostAtATime(t *testing.T) {
	w, pl := borrowing()
	require.Zero(t, w.moves(pl, 300, constant(2)))
	require.Zero(t, w.moves(pl, 60, constant(7.5)))
	w.moves(pl, 1800, constant(7.5))
	require.Equal(t, 10, w.pools()["a"], "7.5 hosts of demand at 75 % need 10 hosts")
}

// Guards against hosts that go back and forth at a load between the thresholds,
// and against hosts that never go home.
func TestBorrowedHostsReturnOnceAndStay(t *testing.T) {
	w, pl := borrowing()
	w.moves(pl, 1800, constant(7))
	borrowed := w.pools()["a"]
	require.Greater(t, borrowed, 8)
	require.Zero(t, w.moves(pl, 3600, constant(6)), "between the thresholds nothing moves")
	w.moves(pl, 7200, constant(1))
	require.Equal(t, 8, w.pools()["a"], "own hosts stay")
	require.Zero(t, w.moves(pl, 3600, constant(1)))
	for _, name := range w.names[8:] {
		require.Empty(t, w.host(name).Status.HomePool)
	}
}

// Guards against ping-pong under a load that swings around the thresholds.
func TestSwingingLoadDoesNotPingPong(t *testing.T) {
	w, pl := borrowing()
	moves := w.moves(pl, 4*3600, func(i int) float64 {
		if i/240%2 == 0 {
			return 7.5
		}
		return 2
	})
	require.LessOrEqual(t, moves, 4, "swings of 4 minutes in 4 hours")
}

// Guards against a spare pool that gives away what it must keep, and a pool
// that waits without a reason.
func TestMoveIsLeftOutWithAReason(t *testing.T) {
	tests := []struct {
		name   string
		change func(*world)
		want   model.Reason
	}{
		{"spare budget", func(w *world) { w.budget("spare", model.BudgetSpec{MinHealthy: 4, MaxPlannedStops: 2}) }, model.ReasonBudget},
		{"spare minimum", func(w *world) {
			w.pool("spare", func(p *model.PoolSpec) { p.Spare, p.MinHosts = true, 4 })
		}, model.ReasonNoSpare},
		{"no budget", func(w *world) {
			w.do(state.Delete{Origin: w.origin(), Key: model.Key{Kind: model.KindBudget, Name: "spare"}, Expected: state.AnyVersion})
		}, model.ReasonNoBudget},
		{"spare failed", func(w *world) {
			for _, name := range w.names[8:] {
				w.machines[name].up = false
			}
		}, model.ReasonNoSpare},
		{"maximum", func(w *world) {
			w.pool("a", func(p *model.PoolSpec) { p.SpareFrom, p.MaxHosts = "spare", 8 })
		}, model.ReasonNoCapacity},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, pl := borrowing()
			test.change(w)
			require.Zero(t, w.moves(pl, 600, constant(7.5)))
			var got []model.Reason
			for _, wait := range pl.Plan(fleet.Input{}, w.now).PoolWaits {
				got = append(got, wait.Reason)
			}
			require.Equal(t, []model.Reason{test.want}, got)
		})
	}
}

// Guards against a pool that lost hosts for good and gets none of the spare
// hosts.
func TestLostHostsAreReplacedFromSpare(t *testing.T) {
	w, pl := borrowing()
	w.budget("a", model.BudgetSpec{MinHealthy: 7, MaxPlannedStops: 2})
	w.machines["a-000"].up, w.machines["a-001"].up = false, false
	w.moves(pl, 60, constant(1))
	require.Equal(t, 8, w.pools()["a"])
	w.moves(pl, 240, constant(1))
	require.Equal(t, 9, w.pools()["a"])
	require.Zero(t, w.moves(pl, 1800, constant(1)))
}

// fleetOf is the fleet of one of the two users: five pools and a spare pool.
type fleetOf struct {
	name, spare string
	// weight is the rollout weight: short work first, or equal weight.
	weight float64
}

func (f fleetOf) world() *world {
	w := newWorld()
	w.pool(f.spare, func(p *model.PoolSpec) { p.Spare, p.RolloutWeight = true, f.weight })
	for i, hosts := range []int{8, 8, 8, 9, 9} {
		name := fmt.Sprintf("pool-%d", i)
		w.pool(name, func(p *model.PoolSpec) { p.SpareFrom, p.RolloutWeight = f.spare, f.weight })
		w.hosts(name, hosts)
		w.budget(name, model.BudgetSpec{MinHealthy: hosts / 2, MaxPlannedStops: 6})
	}
	w.hosts(f.spare, 8)
	w.budget(f.spare, model.BudgetSpec{MinHealthy: 4, MaxPlannedStops: 2})
	w.rebootTime = 2 * time.Minute
	w.report(w.s.Snapshot())
	return w
}

// surging is the load of both users: each queue in turn surges to five times
// its mean for 4 s, then drops to a twentieth for 16 s.
func surging(w *world, second int, mean float64) []fleet.Load {
	var loads []fleet.Load
	for i := range 5 {
		busy := mean
		switch at := (second + 20*i) % 100; {
		case at < 4:
			busy = 5 * mean
		case at < 20:
			busy = mean / 20
		}
		loads = append(loads, fleet.Load{EntryHost: "e", Service: fmt.Sprintf("pool-%d", i), InFlight: int(busy * slots), Observed: w.now.Add(time.Second)})
	}
	return loads
}

// rollout is what a wave over a whole fleet cost.
type rollout struct {
	took  time.Duration
	moves int
	// stopped is the mean number of hosts out of service.
	stopped float64
	// short is the demand above the available hosts, in host seconds.
	short float64
}

// rollOut runs a reboot wave over all pools of the fleet under surges.
func rollOut(t *testing.T, f fleetOf) rollout {
	w := f.world()
	c := newChecker(w)
	pl := fleet.NewPlanner(nil)
	second := 0
	for ; second < 600; second++ {
		w.round(pl, fleet.Input{Loads: surging(w, second, 1.5)})
	}
	pools := []string{f.spare}
	for i := range 5 {
		pools = append(pools, fmt.Sprintf("pool-%d", i))
	}
	w.wave("w", pools, func(s *model.WaveSpec) { s.MaxParallel = 30 })
	var r rollout
	started := w.now
	for ; !w.finished("w")(); second++ {
		require.Less(t, second, 6*3600)
		loads := surging(w, second, 1.5)
		for _, cmd := range w.round(pl, fleet.Input{Loads: loads}).Commands {
			if s, ok := cmd.(state.HostStep); ok && s.Stop != nil && s.Stop.Action == model.StopMove {
				r.moves++
			}
		}
		r.stopped += float64(w.stops())
		r.short += w.short(loads)
	}
	require.Empty(t, c.faults)
	require.Len(t, w.waveOf("w").Status.Done, 50)
	r.took = w.now.Sub(started)
	r.stopped /= r.took.Seconds()
	return r
}

// short returns by how many hosts the demand exceeds the available hosts.
func (w *world) short(loads []fleet.Load) float64 {
	available := make(map[string]int)
	for _, name := range w.names {
		if h := w.host(name); h.Available() {
			available[h.Spec.Pool]++
		}
	}
	sum := 0.0
	for _, l := range loads {
		sum += max(0, float64(l.InFlight)/slots-float64(available[l.Service]))
	}
	return sum
}

// Guards against a fleet that moves hosts for surges during a roll-out or rolls
// out without end. The measured figures are logged.
func TestBothUsersRollOut(t *testing.T) {
	for _, f := range []fleetOf{{"slidecraft", "dispatch", 0.25}, {"memoria-vie", "ledger", 0.5}} {
		t.Run(f.name, func(t *testing.T) {
			r := rollOut(t, f)
			require.Zero(t, r.moves)
			require.Less(t, r.took, time.Hour)
			t.Logf("roll-out of 50 hosts in %s, %d moves, %.1f hosts stopped on average, demand %.0f host seconds above capacity", r.took, r.moves, r.stopped, r.short)
		})
	}
}

// Guards against a rollout weight that does not trade roll-out time against
// capacity for surges.
func TestRolloutWeightTradesTimeAgainstCapacity(t *testing.T) {
	t.Parallel()
	var last rollout
	for i, weight := range []float64{0, 0.25, 0.5, 1} {
		r := rollOut(t, fleetOf{"any", "spare", weight})
		t.Logf("weight %.2f: %s, %.1f hosts stopped on average, demand %.0f host seconds above capacity", weight, r.took, r.stopped, r.short)
		if i > 0 {
			require.LessOrEqual(t, r.took, last.took)
			require.GreaterOrEqual(t, r.stopped, last.stopped)
		}
		last = r
	}
}

// Guards against a lasting need that is not met in a whole fleet under surges,
// and against more moves than it takes. One pool triples its mean for an hour.
func TestBothUsersMeetALastingNeed(t *testing.T) {
	t.Parallel()
	for _, f := range []fleetOf{{"slidecraft", "dispatch", 0.25}, {"memoria-vie", "ledger", 0.5}} {
		t.Run(f.name, func(t *testing.T) {
			w := f.world()
			c := newChecker(w)
			pl := fleet.NewPlanner(nil)
			moves, most := 0, 0
			first := time.Duration(0)
			for second := range 4 * 3600 {
				loads := surging(w, second, 1.5)
				if second >= 3600 && second < 7200 {
					loads[0].InFlight = 7 * slots
				}
				for _, cmd := range w.round(pl, fleet.Input{Loads: loads}).Commands {
					if s, ok := cmd.(state.HostStep); ok && s.Stop != nil && s.Stop.Action == model.StopMove {
						require.GreaterOrEqual(t, second, 3600, "no move before the need")
						if moves++; first == 0 {
							first = time.Duration(second-3600) * time.Second
						}
					}
				}
				most = max(most, w.pools()["pool-0"])
			}
			require.Empty(t, c.faults)
			require.Equal(t, 10, most, "7 hosts of demand at 75 % need 10 hosts")
			require.Equal(t, 8, w.pools()["pool-0"], "borrowed hosts go home")
			require.Equal(t, 4, moves)
			t.Logf("%d moves, the first %s after the need began, pool-0 had up to %d hosts", moves, first, most)
		})
	}
}

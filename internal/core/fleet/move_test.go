package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/fleet/fleettest"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

const slots = fleet.DefaultSlotsPerHost

// borrowing has a pool of 8 hosts that borrows from a spare pool of 4.
func borrowing() (*world, *fleet.Planner) {
	w := newWorld()
	w.PutPool("spare", func(p *model.PoolSpec) { p.Spare, p.MinDwellSeconds = true, 300 })
	w.PutPool("a", func(p *model.PoolSpec) { p.SpareFrom, p.MinDwellSeconds = "spare", 600 })
	w.AddHosts("a", 8)
	w.AddHosts("spare", 4)
	w.PutBudget("spare", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 2})
	w.PutBudget("a", model.BudgetSpec{MinHealthy: 4, MaxPlannedStops: 2})
	w.Report(w.State.Snapshot())
	return w, fleet.NewPlanner(nil)
}

// moves plays rounds under a load in hosts and returns the moves that started.
func (w *world) moves(pl *fleet.Planner, seconds int, load func(second int) float64) int {
	started := 0
	for i := range seconds {
		in := fleet.Input{Loads: []fleet.Load{{EntryHost: "e", Service: "a", InFlight: int(load(i) * slots), Observed: w.Now.Add(time.Second)}}}
		for _, cmd := range w.RunRound(pl, in).Commands {
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
	require.Equal(t, 10, w.HostsByPool()["a"], "7.5 hosts of demand at 75 % need 10 hosts")
}

// Guards against hosts that go back and forth at a load between the thresholds,
// and against hosts that never go home.
func TestBorrowedHostsReturnOnceAndStay(t *testing.T) {
	w, pl := borrowing()
	w.moves(pl, 1800, constant(7))
	borrowed := w.HostsByPool()["a"]
	require.Greater(t, borrowed, 8)
	require.Zero(t, w.moves(pl, 3600, constant(6)), "between the thresholds nothing moves")
	w.moves(pl, 7200, constant(1))
	require.Equal(t, 8, w.HostsByPool()["a"], "own hosts stay")
	require.Zero(t, w.moves(pl, 3600, constant(1)))
	for _, name := range w.Names[8:] {
		require.Empty(t, w.GetHost(name).Status.HomePool)
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
		{"spare budget", func(w *world) { w.PutBudget("spare", model.BudgetSpec{MinHealthy: 4, MaxPlannedStops: 2}) }, model.ReasonBudget},
		{"spare minimum", func(w *world) {
			w.PutPool("spare", func(p *model.PoolSpec) { p.Spare, p.MinHosts = true, 4 })
		}, model.ReasonNoSpare},
		{"no budget", func(w *world) {
			w.Execute(state.Delete{Origin: w.Origin(), Key: model.Key{Kind: model.KindBudget, Name: "spare"}, Expected: state.AnyVersion})
		}, model.ReasonNoBudget},
		{"spare failed", func(w *world) {
			for _, name := range w.Names[8:] {
				w.Machines[name].Up = false
			}
		}, model.ReasonNoSpare},
		{"maximum", func(w *world) {
			w.PutPool("a", func(p *model.PoolSpec) { p.SpareFrom, p.MaxHosts = "spare", 8 })
		}, model.ReasonNoCapacity},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, pl := borrowing()
			test.change(w)
			require.Zero(t, w.moves(pl, 600, constant(7.5)))
			var got []model.Reason
			for _, wait := range pl.Plan(fleet.Input{}, w.Now).PoolWaits {
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
	w.PutBudget("a", model.BudgetSpec{MinHealthy: 7, MaxPlannedStops: 2})
	w.Machines["a-000"].Up, w.Machines["a-001"].Up = false, false
	w.moves(pl, 60, constant(1))
	require.Equal(t, 8, w.HostsByPool()["a"])
	w.moves(pl, 240, constant(1))
	require.Equal(t, 9, w.HostsByPool()["a"])
	require.Zero(t, w.moves(pl, 1800, constant(1)))
}

// rollOut runs a reboot wave over all pools of the fleet under surges and checks
// every command.
func rollOut(t *testing.T, f fleettest.Fleet) fleettest.Rollout {
	w := &world{f.NewSimulation()}
	c := newChecker(w)
	r := f.RollOut(w.Simulation)
	require.True(t, r.Finished)
	require.Empty(t, c.faults)
	require.Equal(t, 50, r.Done)
	return r
}

// Guards against a fleet that moves hosts for surges during a roll-out or rolls
// out without end. The measured figures are logged.
func TestBothUsersRollOut(t *testing.T) {
	for _, f := range fleettest.Fleets() {
		t.Run(f.Name, func(t *testing.T) {
			r := rollOut(t, f)
			require.Zero(t, r.Moves)
			require.Less(t, r.Duration, time.Hour)
			t.Logf("roll-out of 50 hosts in %s, %d moves, %.1f hosts stopped on average, demand %.0f host seconds above capacity", r.Duration, r.Moves, r.Stopped, r.Shortage)
		})
	}
}

// Guards against a rollout weight that does not trade roll-out time against
// capacity for surges.
func TestRolloutWeightTradesTimeAgainstCapacity(t *testing.T) {
	t.Parallel()
	var last fleettest.Rollout
	for i, weight := range []float64{0, 0.25, 0.5, 1} {
		r := rollOut(t, fleettest.Fleet{Name: "any", Spare: "spare", Weight: weight})
		t.Logf("weight %.2f: %s, %.1f hosts stopped on average, demand %.0f host seconds above capacity", weight, r.Duration, r.Stopped, r.Shortage)
		if i > 0 {
			require.LessOrEqual(t, r.Duration, last.Duration)
			require.GreaterOrEqual(t, r.Stopped, last.Stopped)
		}
		last = r
	}
}

// Guards against a lasting need that is not met in a whole fleet under surges,
// and against more moves than it takes. One pool triples its mean for an hour.
func TestBothUsersMeetALastingNeed(t *testing.T) {
	t.Parallel()
	for _, f := range fleettest.Fleets() {
		t.Run(f.Name, func(t *testing.T) {
			w := &world{f.NewSimulation()}
			c := newChecker(w)
			pl := fleet.NewPlanner(nil)
			moves, most := 0, 0
			first := time.Duration(0)
			for second := range 4 * 3600 {
				loads := fleettest.SurgeLoads(w.Simulation, second, 1.5)
				if second >= 3600 && second < 7200 {
					loads[0].InFlight = 7 * slots
				}
				for _, cmd := range w.RunRound(pl, fleet.Input{Loads: loads}).Commands {
					if s, ok := cmd.(state.HostStep); ok && s.Stop != nil && s.Stop.Action == model.StopMove {
						require.GreaterOrEqual(t, second, 3600, "no move before the need")
						if moves++; first == 0 {
							first = time.Duration(second-3600) * time.Second
						}
					}
				}
				most = max(most, w.HostsByPool()["pool-0"])
			}
			require.Empty(t, c.faults)
			require.Equal(t, 10, most, "7 hosts of demand at 75 % need 10 hosts")
			require.Equal(t, 8, w.HostsByPool()["pool-0"], "borrowed hosts go home")
			require.Equal(t, 4, moves)
			t.Logf("%d moves, the first %s after the need began, pool-0 had up to %d hosts", moves, first, most)
		})
	}
}

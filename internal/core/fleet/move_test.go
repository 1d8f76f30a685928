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

// borrowingPool returns a simulation of a pool of 8 hosts that may borrow from a spare
// pool of 4, and a planner.
func borrowingPool() (*simulation, *fleet.Planner) {
	sim := newSimulation()
	sim.PutPool("spare", func(p *model.PoolSpec) { p.Spare, p.MinDwellSeconds = true, 300 })
	sim.PutPool("a", func(p *model.PoolSpec) { p.SpareFrom, p.MinDwellSeconds = "spare", 600 })
	sim.AddHosts("a", 8)
	sim.AddHosts("spare", 4)
	sim.PutBudget("spare", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 2})
	sim.PutBudget("a", model.BudgetSpec{MinHealthy: 4, MaxPlannedStops: 2})
	sim.Report(sim.State.Snapshot())
	return sim, fleet.NewPlanner(nil)
}

// countMoves runs rounds under a load, given in hosts, and returns the number of moves
// that started.
func (sim *simulation) countMoves(pl *fleet.Planner, seconds int, load func(second int) float64) int {
	started := 0
	for i := range seconds {
		in := fleet.Input{Loads: []fleet.Load{{EntryHost: "e", Service: "a", InFlight: int(load(i) * slots), Observed: sim.Now.Add(time.Second)}}}
		for _, cmd := range sim.RunRound(pl, in).Commands {
			if c, ok := cmd.(state.HostStep); ok && c.Stop != nil && c.Stop.Action == model.StopMove {
				started++
			}
		}
	}
	return started
}

func constant(hosts float64) func(int) float64 { return func(int) float64 { return hosts } }

// Guards against moves because of a surge of a few seconds: five times the mean, which
// exceeds the pool, followed by a twentieth of it.
func TestSurgeOfSecondsCausesNoMove(t *testing.T) {
	sim, pl := borrowingPool()
	surge := func(i int) float64 {
		switch i % 60 {
		case 0, 1, 2, 3, 4:
			return 15
		case 5, 6, 7, 8, 9, 10:
			return 0.15
		}
		return 3
	}
	require.Zero(t, sim.countMoves(pl, 3600, surge))
}

// Guards against a pool in need that gets no host, and against moving several hosts at
// once.
func TestLastingNeedMovesOneHostAtATime(t *testing.T) {
	sim, pl := borrowingPool()
	require.Zero(t, sim.countMoves(pl, 300, constant(2)))
	require.Zero(t, sim.countMoves(pl, 60, constant(7.5)))
	sim.countMoves(pl, 1800, constant(7.5))
	require.Equal(t, 10, sim.HostsByPool()["a"], "7.5 hosts of demand at 75 % need 10 hosts")
}

// Guards against hosts that move back and forth under a load between the thresholds,
// and against borrowed hosts that are never returned.
func TestBorrowedHostsReturnOnceAndStay(t *testing.T) {
	sim, pl := borrowingPool()
	sim.countMoves(pl, 1800, constant(7))
	borrowed := sim.HostsByPool()["a"]
	require.Greater(t, borrowed, 8)
	require.Zero(t, sim.countMoves(pl, 3600, constant(6)), "between the thresholds nothing moves")
	sim.countMoves(pl, 7200, constant(1))
	require.Equal(t, 8, sim.HostsByPool()["a"], "the pool keeps its own hosts")
	require.Zero(t, sim.countMoves(pl, 3600, constant(1)))
	for _, name := range sim.Names[8:] {
		require.Empty(t, sim.GetHost(name).Status.HomePool)
	}
}

// Guards against repeated moves back and forth under a load that oscillates around the
// thresholds.
func TestOscillatingLoadDoesNotCauseRepeatedMoves(t *testing.T) {
	sim, pl := borrowingPool()
	moves := sim.countMoves(pl, 4*3600, func(i int) float64 {
		if i/240%2 == 0 {
			return 7.5
		}
		return 2
	})
	require.LessOrEqual(t, moves, 4, "swings of 4 minutes in 4 hours")
}

// Guards against a spare pool that lends hosts it must keep, and against a pool that
// waits without a reason.
func TestMoveIsLeftOutWithAReason(t *testing.T) {
	tests := []struct {
		name   string
		change func(*simulation)
		want   model.Reason
	}{
		{"spare budget", func(sim *simulation) { sim.PutBudget("spare", model.BudgetSpec{MinHealthy: 4, MaxPlannedStops: 2}) }, model.ReasonBudget},
		{"spare minimum", func(sim *simulation) {
			sim.PutPool("spare", func(p *model.PoolSpec) { p.Spare, p.MinHosts = true, 4 })
		}, model.ReasonNoSpare},
		{"no budget", func(sim *simulation) {
			sim.Execute(state.Delete{Origin: sim.Origin(), Key: model.Key{Kind: model.KindBudget, Name: "spare"}, Expected: state.AnyVersion})
		}, model.ReasonNoBudget},
		{"spare failed", func(sim *simulation) {
			for _, name := range sim.Names[8:] {
				sim.Machines[name].Up = false
			}
		}, model.ReasonNoSpare},
		{"maximum", func(sim *simulation) {
			sim.PutPool("a", func(p *model.PoolSpec) { p.SpareFrom, p.MaxHosts = "spare", 8 })
		}, model.ReasonNoCapacity},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim, pl := borrowingPool()
			test.change(sim)
			require.Zero(t, sim.countMoves(pl, 600, constant(7.5)))
			var got []model.Reason
			for _, wait := range pl.Plan(fleet.Input{}, sim.Now).PoolWaits {
				got = append(got, wait.Reason)
			}
			require.Equal(t, []model.Reason{test.want}, got)
		})
	}
}

// Guards against a pool that lost hosts permanently and gets no spare host.
func TestLostHostsAreReplacedFromSpare(t *testing.T) {
	sim, pl := borrowingPool()
	sim.PutBudget("a", model.BudgetSpec{MinHealthy: 7, MaxPlannedStops: 2})
	sim.Machines["a-000"].Up, sim.Machines["a-001"].Up = false, false
	sim.countMoves(pl, 60, constant(1))
	require.Equal(t, 8, sim.HostsByPool()["a"])
	sim.countMoves(pl, 240, constant(1))
	require.Equal(t, 9, sim.HostsByPool()["a"])
	require.Zero(t, sim.countMoves(pl, 1800, constant(1)))
}

// rollOut runs a reboot wave over all pools of the fleet under surges, with the
// checker on every command.
func rollOut(t *testing.T, f fleettest.Fleet) fleettest.Rollout {
	sim := &simulation{f.NewSimulation()}
	c := newChecker(sim)
	r := f.RollOut(sim.Simulation)
	require.True(t, r.Finished)
	require.Empty(t, c.violations)
	require.Equal(t, 50, r.Done)
	return r
}

// Guards against moves because of surges during a rollout, and against a rollout that
// takes too long. The test logs the measured figures.
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

// Guards against a higher rollout weight that makes a rollout slower or stops fewer
// hosts.
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

// Guards against a sustained need that is not met in a fleet under surges, and against
// more moves than necessary. The mean of one pool rises from 1.5 to 7 hosts for an
// hour.
func TestBothUsersMeetALastingNeed(t *testing.T) {
	t.Parallel()
	for _, f := range fleettest.Fleets() {
		t.Run(f.Name, func(t *testing.T) {
			sim := &simulation{f.NewSimulation()}
			c := newChecker(sim)
			pl := fleet.NewPlanner(nil)
			moves, most := 0, 0
			first := time.Duration(0)
			for second := range 4 * 3600 {
				loads := fleettest.SurgeLoads(sim.Simulation, second, 1.5)
				if second >= 3600 && second < 7200 {
					loads[0].InFlight = 7 * slots
				}
				for _, cmd := range sim.RunRound(pl, fleet.Input{Loads: loads}).Commands {
					if s, ok := cmd.(state.HostStep); ok && s.Stop != nil && s.Stop.Action == model.StopMove {
						require.GreaterOrEqual(t, second, 3600, "no move before the need")
						if moves++; first == 0 {
							first = time.Duration(second-3600) * time.Second
						}
					}
				}
				most = max(most, sim.HostsByPool()["pool-0"])
			}
			require.Empty(t, c.violations)
			require.Equal(t, 10, most, "7 hosts of demand at 75 % need 10 hosts")
			require.Equal(t, 8, sim.HostsByPool()["pool-0"], "borrowed hosts are returned")
			require.Equal(t, 4, moves)
			t.Logf("%d moves, the first %s after the need began, pool-0 had up to %d hosts", moves, first, most)
		})
	}
}

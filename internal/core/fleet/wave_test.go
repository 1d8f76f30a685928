package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// poolOf12Hosts returns a simulation of a pool of 12 hosts with a budget, reported
// once, and a planner.
func poolOf12Hosts(budget model.BudgetSpec) (*simulation, *fleet.Planner) {
	sim := newSimulation()
	sim.PutPool("a", nil)
	sim.AddHosts("a", 12)
	sim.PutBudget("a", budget)
	sim.Report(sim.State.Snapshot())
	return sim, fleet.NewPlanner(nil)
}

// runUntil runs rounds until done, at most limit seconds, and reports whether it is
// done.
func (sim *simulation) runUntil(pl *fleet.Planner, limit int, done func() bool) bool {
	for range limit {
		if done() {
			return true
		}
		sim.RunRound(pl, fleet.Input{})
	}
	return done()
}

func (sim *simulation) waveFinished(name string) func() bool {
	return func() bool { return sim.GetWave(name).Status.Phase == model.WaveFinished }
}

func (sim *simulation) waveInPhase(phase model.WavePhase) func() bool {
	return func() bool { return sim.GetWave("w").Status.Phase == phase }
}

// reasons returns the reasons of waiting hosts by host name.
func reasons(waits []fleet.Wait) map[string]model.Reason {
	byHost := make(map[string]model.Reason)
	for _, w := range waits {
		byHost[w.Host] = w.Reason
	}
	return byHost
}

// Guards against a wave that starts a zone before it has finished the previous one.
func TestWaveGoesByZoneThenRack(t *testing.T) {
	sim, pl := poolOf12Hosts(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	sim.PutWave("w", []string{"a"}, func(s *model.WaveSpec) { s.MaxParallel = 2 })
	require.True(t, sim.runUntil(pl, 3600, sim.waveFinished("w")))
	done := sim.GetWave("w").Status.Done
	require.Len(t, done, 12)
	last := ""
	for _, name := range done {
		zone := sim.GetHost(name).Spec.Zone
		require.GreaterOrEqual(t, zone, last)
		last = zone
	}
}

// Guards against hosts that are left out without a reason, or with a wrong one.
func TestEveryHostLeftOutHasAReason(t *testing.T) {
	tests := []struct {
		name   string
		budget *model.BudgetSpec
		wave   func(*model.WaveSpec)
		before func(*simulation)
		loads  []fleet.Load
		want   map[model.Reason]int
	}{
		{
			"parallel limit", &model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 9}, func(s *model.WaveSpec) { s.MaxParallel = 3 }, nil, nil,
			map[model.Reason]int{model.ReasonParallelLimit: 1, model.ReasonEarlierZone: 8},
		},
		{
			"planned stops", &model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 2}, nil, nil, nil,
			map[model.Reason]int{model.ReasonBudget: 2, model.ReasonEarlierZone: 8},
		},
		{
			"minimum", &model.BudgetSpec{MinHealthy: 11, MaxPlannedStops: 9}, nil, nil, nil,
			map[model.Reason]int{model.ReasonBudget: 3, model.ReasonEarlierZone: 8},
		},
		{
			"rack loss", &model.BudgetSpec{MinHealthy: 8, MaxPlannedStops: 9, SurviveRack: true}, nil, nil, nil,
			map[model.Reason]int{model.ReasonRackSurvival: 4, model.ReasonEarlierZone: 8},
		},
		{
			"zone loss", &model.BudgetSpec{MinHealthy: 8, MaxPlannedStops: 9, SurviveZone: true}, nil, nil, nil,
			map[model.Reason]int{model.ReasonZoneSurvival: 4, model.ReasonEarlierZone: 8},
		},
		{
			"no budget", nil, nil, nil, nil,
			map[model.Reason]int{model.ReasonNoBudget: 4, model.ReasonEarlierZone: 8},
		},
		{"broken by failures", &model.BudgetSpec{MinHealthy: 12, MaxPlannedStops: 9}, nil, func(sim *simulation) {
			sim.Machines["a-011"].Up = false
		}, nil, map[model.Reason]int{model.ReasonBudgetBroken: 4, model.ReasonEarlierZone: 7, model.ReasonHealthUnknown: 1}},
		{
			"paused", &model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 9}, func(s *model.WaveSpec) { s.Paused = true }, nil, nil,
			map[model.Reason]int{model.ReasonPaused: 12},
		},
		{
			"surge reserve", &model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 9}, nil, nil,
			[]fleet.Load{{EntryHost: "e", Service: "a", InFlight: 24}},
			// The mean is 3 hosts; with weight 0.5 and factor 5, 9 of 12 hosts must stay.
			map[model.Reason]int{model.ReasonSurgeReserve: 1, model.ReasonEarlierZone: 8},
		},
		{"other stop", &model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 9}, nil, func(sim *simulation) {
			h := sim.GetHost("a-000")
			sim.Execute(state.HostStep{Origin: sim.Origin(), Host: h.Name, Expected: h.Version, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopDrain}})
		}, nil, map[model.Reason]int{model.ReasonOtherWave: 1, model.ReasonEarlierZone: 8}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation()
			sim.PutPool("a", nil)
			sim.AddHosts("a", 12)
			if test.budget != nil {
				sim.PutBudget("a", *test.budget)
			}
			sim.Report(sim.State.Snapshot())
			if test.before != nil {
				test.before(sim)
				sim.Report(sim.State.Snapshot())
			}
			sim.PutWave("w", []string{"a"}, test.wave)
			sim.Plan(fleet.NewPlanner(nil), fleet.Input{})
			for i := range test.loads {
				test.loads[i].Observed = sim.Now
			}
			res := fleet.Plan(sim.State.Snapshot(), fleet.Input{Loads: test.loads}, sim.Now)
			got := make(map[model.Reason]int)
			for _, wait := range res.Waits {
				if wait.Wave == "w" {
					got[wait.Reason]++
				}
			}
			require.Equal(t, test.want, got)
		})
	}
}

// Guards against a reserve that differs from the documented formula.
func TestReserveFollowsRolloutWeight(t *testing.T) {
	for _, test := range []struct {
		mean, weight float64
		want         int
	}{{2, 1, 2}, {2, 0, 10}, {2, 0.5, 6}, {1.5, 0.75, 3}, {0, 0, 0}} {
		require.Equal(t, test.want, fleet.Reserve(test.mean, model.PoolSpec{RolloutWeight: test.weight, SurgeFactor: 5}))
	}
}

// Guards against a wave that never starts because the expected peak exceeds the
// capacity of the pool.
func TestReserveAboveCapacityAllowsOneStop(t *testing.T) {
	sim, pl := poolOf12Hosts(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	sim.PutWave("w", []string{"a"}, nil)
	sim.Plan(pl, fleet.Input{})
	sim.Plan(pl, fleet.Input{Loads: []fleet.Load{{EntryHost: "e", Service: "a", InFlight: 60, Observed: sim.Now}}})
	require.Equal(t, 1, sim.CountStops())
}

// Guards against a wave that continues while several hosts fail, and against one that
// does not resume by itself after they recovered.
func TestWavePausesOnCorrelatedFailuresAndResumes(t *testing.T) {
	sim, pl := poolOf12Hosts(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	sim.PutWave("w", []string{"a"}, func(s *model.WaveSpec) { s.MaxParallel, s.PauseOnFailures, s.FailureWindowSeconds = 1, 2, 60 })
	sim.RunRound(pl, fleet.Input{})
	sim.Machines["a-010"].Up = false
	sim.RunRound(pl, fleet.Input{})
	require.Equal(t, model.WaveRunning, sim.GetWave("w").Status.Phase)
	sim.Machines["a-011"].Up = false
	require.True(t, sim.runUntil(pl, 5, sim.waveInPhase(model.WavePaused)))
	require.Equal(t, model.ReasonCorrelatedFailure, sim.GetWave("w").Status.Reason)
	require.True(t, sim.runUntil(pl, 120, func() bool { return sim.CountStops() == 0 }), "a stop in progress ends")
	for range 60 {
		sim.RunRound(pl, fleet.Input{})
		require.Zero(t, sim.CountStops(), "no stop starts while the wave is paused")
	}
	sim.Machines["a-010"].Up, sim.Machines["a-011"].Up = true, true
	require.True(t, sim.runUntil(pl, 5, sim.waveInPhase(model.WaveRunning)))
	require.True(t, sim.runUntil(pl, 3600, sim.waveFinished("w")))
}

// Guards against a wave that never finishes because of hosts that never recover.
func TestUnhealthyHostsDoNotBlockWaveCompletion(t *testing.T) {
	sim, pl := poolOf12Hosts(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	sim.PutWave("w", []string{"a"}, func(s *model.WaveSpec) { s.PauseOnFailures, s.StragglerLimitSeconds = 2, 60 })
	sim.Machines["a-000"].Up, sim.Machines["a-011"].Up = false, false
	require.True(t, sim.runUntil(pl, 3600, sim.waveFinished("w")))
	status := sim.GetWave("w").Status
	require.Len(t, status.Done, 10)
	require.Equal(t, []string{"a-000", "a-011"}, status.Skipped)
	require.Equal(t, 12, status.Total)
}

// Guards against a drain that waits without limit for work that does not end, and
// against a status that does not name the host.
func TestStragglerIsCheckpointedAtTheLimit(t *testing.T) {
	sim, pl := poolOf12Hosts(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	sim.PutWave("w", []string{"a"}, func(s *model.WaveSpec) { s.MaxParallel, s.StragglerLimitSeconds = 1, 30 })
	sim.Machines["a-000"].InFlight = 1000
	sim.runUntil(pl, 20, func() bool { return false })
	require.Equal(t, model.HostDraining, sim.GetHost("a-000").Status.Phase)
	require.False(t, sim.GetHost("a-000").Status.Stop.Checkpoint)
	waiting := sim.GetWave("w").Status.Waiting
	require.Equal(t, "a-000", waiting[0].Host)
	require.Equal(t, model.ReasonWorkInFlight, waiting[0].Reason)
	require.True(t, sim.runUntil(pl, 15, func() bool { return sim.GetHost("a-000").Status.Phase != model.HostDraining }))
}

// Guards against a host that fails during its reboot and keeps its planned stop.
func TestHostFailingDuringRebootReleasesPlannedStop(t *testing.T) {
	sim, pl := poolOf12Hosts(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 1})
	sim.PutWave("w", []string{"a"}, func(s *model.WaveSpec) { s.StragglerLimitSeconds = 60 })
	sim.RebootTime = 24 * time.Hour
	require.True(t, sim.runUntil(pl, 60, func() bool { return sim.GetHost("a-000").Status.Phase == model.HostRebooting }))
	sim.RebootTime = 30 * time.Second
	require.True(t, sim.runUntil(pl, 3600, sim.waveFinished("w")))
	require.Equal(t, []string{"a-000"}, sim.GetWave("w").Status.Skipped)
	require.Len(t, sim.GetWave("w").Status.Done, 11)
}

// Guards against faulty maintenance that takes down the whole pool.
func TestWaveThatBreaksItsHostsPauses(t *testing.T) {
	sim, pl := poolOf12Hosts(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	sim.PutWave("w", []string{"a"}, func(s *model.WaveSpec) { s.MaxParallel, s.PauseOnFailures = 2, 2 })
	sim.RebootTime = 24 * time.Hour
	require.True(t, sim.runUntil(pl, 1200, sim.waveInPhase(model.WavePaused)))
	down := 0
	for _, m := range sim.Machines {
		if !m.Up {
			down++
		}
	}
	require.Equal(t, 2, down)
}

// Guards against a wave that misses a host that joins by a move or stops it twice, and
// against unnecessary reboots of new hosts.
func TestHostsThatJoinDuringAWave(t *testing.T) {
	sim, pl := poolOf12Hosts(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	sim.PutPool("b", nil)
	sim.AddHosts("b", 2)
	sim.PutBudget("b", model.BudgetSpec{MinHealthy: 0, MaxPlannedStops: 4})
	sim.Report(sim.State.Snapshot())
	sim.PutWave("w", []string{"a"}, func(s *model.WaveSpec) { s.MaxParallel = 1 })
	sim.RunRound(pl, fleet.Input{})
	sim.Advance(time.Second)
	sim.AddHosts("a", 1)
	moved, created := "b-012", "a-014"
	h := sim.GetHost(moved)
	require.Nil(t, sim.Execute(state.HostStep{Origin: sim.Origin(), Host: moved, Expected: h.Version, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopMove, TargetPool: "a"}}).Err)
	require.True(t, sim.runUntil(pl, 3600, sim.waveFinished("w")))
	done := sim.GetWave("w").Status.Done
	require.Contains(t, done, moved)
	require.NotContains(t, done, created)
	require.Len(t, done, 13)
}

// Guards against two waves that stop hosts of one pool at the same time.
func TestSecondWaveWaitsForTheFirst(t *testing.T) {
	sim, pl := poolOf12Hosts(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	sim.PutWave("w", []string{"a"}, nil)
	sim.RunRound(pl, fleet.Input{})
	sim.PutWave("x", []string{"a"}, nil)
	sim.runUntil(pl, 5, func() bool { return false })
	require.Empty(t, sim.GetWave("x").Status.Stopped)
	require.Contains(t, reasons(pl.Waits()), "a-011")
	require.True(t, sim.runUntil(pl, 7200, sim.waveFinished("x")))
	first, second := sim.GetWave("w").Status, sim.GetWave("x").Status
	require.True(t, first.Finished.Before(second.Finished))
	require.Len(t, second.Done, 12)
}

// Guards against an incremental plan that differs from a full plan of the same
// snapshot.
func TestIncrementalPlanEqualsFullPlan(t *testing.T) {
	sim, pl := poolOf12Hosts(model.BudgetSpec{MinHealthy: 6, MaxPlannedStops: 3, SurviveRack: true})
	sim.PutWave("w", []string{"a"}, func(s *model.WaveSpec) { s.MaxParallel = 3 })
	for i := range 600 {
		sim.Advance(time.Second)
		if i%50 == 10 {
			sim.Machines["a-007"].Up = !sim.Machines["a-007"].Up
		}
		sim.Report(sim.State.Snapshot())
		pl.Sync(sim.State.Snapshot())
		full := fleet.Plan(sim.State.Snapshot(), fleet.Input{}, sim.Now)
		part := pl.Plan(fleet.Input{}, sim.Now)
		require.Equal(t, hostSteps(full), hostSteps(part), "round %d", i)
		require.Equal(t, reasons(full.Waits), reasons(pl.Waits()), "round %d", i)
		for _, cmd := range part.Commands {
			sim.Execute(cmd)
		}
		sim.RunPlatform()
	}
}

// hostSteps returns the host steps of a plan.
func hostSteps(res fleet.Result) []state.Command {
	var steps []state.Command
	for _, cmd := range res.Commands {
		if c, ok := cmd.(state.HostStep); ok {
			steps = append(steps, c)
		}
	}
	return steps
}

// Guards against a cancelled wave that continues or leaves hosts in a planned stop.
func TestCancelledWaveReturnsItsHosts(t *testing.T) {
	sim, pl := poolOf12Hosts(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	sim.PutWave("w", []string{"a"}, nil)
	sim.Machines["a-000"].InFlight = 1000
	require.True(t, sim.runUntil(pl, 60, func() bool { return sim.GetHost("a-001").Status.Phase == model.HostRebooting }))
	wave := sim.GetWave("w").Clone().(*model.Wave)
	wave.Spec.Cancelled = true
	sim.PutObject(wave)
	require.True(t, sim.runUntil(pl, 600, sim.waveInPhase(model.WaveCancelled)))
	require.Zero(t, sim.CountStops())
	require.NotContains(t, sim.GetWave("w").Status.Done, "a-000")
	require.Contains(t, sim.GetWave("w").Status.Done, "a-001")
}

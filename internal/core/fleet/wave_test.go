package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// site is a pool of 12 hosts with a budget, reported once.
func site(budget model.BudgetSpec) (*world, *fleet.Planner) {
	w := newWorld()
	w.PutPool("a", nil)
	w.AddHosts("a", 12)
	w.PutBudget("a", budget)
	w.Report(w.State.Snapshot())
	return w, fleet.NewPlanner(nil)
}

// until plays rounds until done, at most limit seconds.
func (w *world) until(pl *fleet.Planner, limit int, done func() bool) bool {
	for range limit {
		if done() {
			return true
		}
		w.RunRound(pl, fleet.Input{})
	}
	return done()
}

func (w *world) finished(name string) func() bool {
	return func() bool { return w.GetWave(name).Status.Phase == model.WaveFinished }
}

func (w *world) inPhase(phase model.WavePhase) func() bool {
	return func() bool { return w.GetWave("w").Status.Phase == phase }
}

func reasons(waits []fleet.Wait) map[string]model.Reason {
	byHost := make(map[string]model.Reason)
	for _, w := range waits {
		byHost[w.Host] = w.Reason
	}
	return byHost
}

// Guards against a wave that jumps between zones or racks.
func TestWaveGoesByZoneThenRack(t *testing.T) {
	w, pl := site(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	w.PutWave("w", []string{"a"}, func(s *model.WaveSpec) { s.MaxParallel = 2 })
	require.True(t, w.until(pl, 3600, w.finished("w")))
	done := w.GetWave("w").Status.Done
	require.Len(t, done, 12)
	last := ""
	for _, name := range done {
		zone := w.GetHost(name).Spec.Zone
		require.GreaterOrEqual(t, zone, last)
		last = zone
	}
}

// Guards against a host that is left out without a reason, or with a wrong one.
func TestEveryHostLeftOutHasAReason(t *testing.T) {
	tests := []struct {
		name   string
		budget *model.BudgetSpec
		wave   func(*model.WaveSpec)
		before func(*world)
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
		{"broken by failures", &model.BudgetSpec{MinHealthy: 12, MaxPlannedStops: 9}, nil, func(w *world) {
			w.Machines["a-011"].Up = false
		}, nil, map[model.Reason]int{model.ReasonBudgetBroken: 4, model.ReasonEarlierZone: 7, model.ReasonHealthUnknown: 1}},
		{
			"paused", &model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 9}, func(s *model.WaveSpec) { s.Paused = true }, nil, nil,
			map[model.Reason]int{model.ReasonPaused: 12},
		},
		{
			"surge reserve", &model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 9}, nil, nil,
			[]fleet.Load{{EntryHost: "e", Service: "a", InFlight: 24}},
			// The mean is 3 hosts; at weight 0.5 and factor 5, 9 of 12 stay.
			map[model.Reason]int{model.ReasonSurgeReserve: 1, model.ReasonEarlierZone: 8},
		},
		{"other stop", &model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 9}, nil, func(w *world) {
			h := w.GetHost("a-000")
			w.Execute(state.HostStep{Origin: w.Origin(), Host: h.Name, Expected: h.Version, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopDrain}})
		}, nil, map[model.Reason]int{model.ReasonOtherWave: 1, model.ReasonEarlierZone: 8}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld()
			w.PutPool("a", nil)
			w.AddHosts("a", 12)
			if test.budget != nil {
				w.PutBudget("a", *test.budget)
			}
			w.Report(w.State.Snapshot())
			if test.before != nil {
				test.before(w)
				w.Report(w.State.Snapshot())
			}
			w.PutWave("w", []string{"a"}, test.wave)
			w.Plan(fleet.NewPlanner(nil), fleet.Input{})
			for i := range test.loads {
				test.loads[i].Observed = w.Now
			}
			res := fleet.Plan(w.State.Snapshot(), fleet.Input{Loads: test.loads}, w.Now)
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

// Guards against a formula of the reserve that differs from the documented one.
func TestReserveFollowsRolloutWeight(t *testing.T) {
	for _, test := range []struct {
		mean, weight float64
		want         int
	}{{2, 1, 2}, {2, 0, 10}, {2, 0.5, 6}, {1.5, 0.75, 3}, {0, 0, 0}} {
		require.Equal(t, test.want, fleet.Reserve(test.mean, model.PoolSpec{RolloutWeight: test.weight, SurgeFactor: 5}))
	}
}

// Guards against a pool whose expected peak exceeds it and whose wave therefore
// never starts.
func TestReserveAbovePoolLetsOneHostGo(t *testing.T) {
	w, pl := site(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	w.PutWave("w", []string{"a"}, nil)
	w.Plan(pl, fleet.Input{})
	w.Plan(pl, fleet.Input{Loads: []fleet.Load{{EntryHost: "e", Service: "a", InFlight: 60, Observed: w.Now}}})
	require.Equal(t, 1, w.CountStops())
}

// Guards against a wave that goes on while hosts fail together, and against
// one that has to be resumed by hand.
func TestWavePausesOnCorrelatedFailuresAndResumes(t *testing.T) {
	w, pl := site(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	w.PutWave("w", []string{"a"}, func(s *model.WaveSpec) { s.MaxParallel, s.PauseOnFailures, s.FailureWindowSeconds = 1, 2, 60 })
	w.RunRound(pl, fleet.Input{})
	w.Machines["a-010"].Up = false
	w.RunRound(pl, fleet.Input{})
	require.Equal(t, model.WaveRunning, w.GetWave("w").Status.Phase)
	w.Machines["a-011"].Up = false
	require.True(t, w.until(pl, 5, w.inPhase(model.WavePaused)))
	require.Equal(t, model.ReasonCorrelatedFailure, w.GetWave("w").Status.Reason)
	require.True(t, w.until(pl, 120, func() bool { return w.CountStops() == 0 }), "a stop in progress ends")
	for range 60 {
		w.RunRound(pl, fleet.Input{})
		require.Zero(t, w.CountStops(), "no stop starts while the wave is paused")
	}
	w.Machines["a-010"].Up, w.Machines["a-011"].Up = true, true
	require.True(t, w.until(pl, 5, w.inPhase(model.WaveRunning)))
	require.True(t, w.until(pl, 3600, w.finished("w")))
}

// Guards against hosts that never heal and hold a wave for ever.
func TestDeadHostsDoNotHoldAWave(t *testing.T) {
	w, pl := site(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	w.PutWave("w", []string{"a"}, func(s *model.WaveSpec) { s.PauseOnFailures, s.StragglerLimitSeconds = 2, 60 })
	w.Machines["a-000"].Up, w.Machines["a-011"].Up = false, false
	require.True(t, w.until(pl, 3600, w.finished("w")))
	status := w.GetWave("w").Status
	require.Len(t, status.Done, 10)
	require.Equal(t, []string{"a-000", "a-011"}, status.Skipped)
	require.Equal(t, 12, status.Total)
}

// Guards against a drain that waits for ever for work that does not end, and a
// status that does not say for which host.
func TestStragglerIsCheckpointedAtTheLimit(t *testing.T) {
	w, pl := site(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	w.PutWave("w", []string{"a"}, func(s *model.WaveSpec) { s.MaxParallel, s.StragglerLimitSeconds = 1, 30 })
	w.Machines["a-000"].InFlight = 1000
	w.until(pl, 20, func() bool { return false })
	require.Equal(t, model.HostDraining, w.GetHost("a-000").Status.Phase)
	require.False(t, w.GetHost("a-000").Status.Stop.Checkpoint)
	waiting := w.GetWave("w").Status.Waiting
	require.Equal(t, "a-000", waiting[0].Host)
	require.Equal(t, model.ReasonWorkInFlight, waiting[0].Reason)
	require.True(t, w.until(pl, 15, func() bool { return w.GetHost("a-000").Status.Phase != model.HostDraining }))
}

// Guards against a host that dies in its reboot and keeps the planned stop.
func TestHostThatNeverReturnsGivesItsStopBack(t *testing.T) {
	w, pl := site(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 1})
	w.PutWave("w", []string{"a"}, func(s *model.WaveSpec) { s.StragglerLimitSeconds = 60 })
	w.RebootTime = 24 * time.Hour
	require.True(t, w.until(pl, 60, func() bool { return w.GetHost("a-000").Status.Phase == model.HostRebooting }))
	w.RebootTime = 30 * time.Second
	require.True(t, w.until(pl, 3600, w.finished("w")))
	require.Equal(t, []string{"a-000"}, w.GetWave("w").Status.Skipped)
	require.Len(t, w.GetWave("w").Status.Done, 11)
}

// Guards against a maintenance that breaks its hosts and takes the whole pool.
func TestWaveThatBreaksItsHostsPauses(t *testing.T) {
	w, pl := site(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	w.PutWave("w", []string{"a"}, func(s *model.WaveSpec) { s.MaxParallel, s.PauseOnFailures = 2, 2 })
	w.RebootTime = 24 * time.Hour
	require.True(t, w.until(pl, 1200, w.inPhase(model.WavePaused)))
	down := 0
	for _, m := range w.Machines {
		if !m.Up {
			down++
		}
	}
	require.Equal(t, 2, down)
}

// Guards against a host that a wave misses or takes twice because it joins by a
// move, and against new hosts that are rebooted for nothing.
func TestHostsThatJoinDuringAWave(t *testing.T) {
	w, pl := site(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	w.PutPool("b", nil)
	w.AddHosts("b", 2)
	w.PutBudget("b", model.BudgetSpec{MinHealthy: 0, MaxPlannedStops: 4})
	w.Report(w.State.Snapshot())
	w.PutWave("w", []string{"a"}, func(s *model.WaveSpec) { s.MaxParallel = 1 })
	w.RunRound(pl, fleet.Input{})
	w.Advance(time.Second)
	w.AddHosts("a", 1)
	moved, created := "b-012", "a-014"
	h := w.GetHost(moved)
	require.Nil(t, w.Execute(state.HostStep{Origin: w.Origin(), Host: moved, Expected: h.Version, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopMove, TargetPool: "a"}}).Err)
	require.True(t, w.until(pl, 3600, w.finished("w")))
	done := w.GetWave("w").Status.Done
	require.Contains(t, done, moved)
	require.NotContains(t, done, created)
	require.Len(t, done, 13)
}

// Guards against two waves that stop hosts of one pool side by side.
func TestSecondWaveWaitsForTheFirst(t *testing.T) {
	w, pl := site(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	w.PutWave("w", []string{"a"}, nil)
	w.RunRound(pl, fleet.Input{})
	w.PutWave("x", []string{"a"}, nil)
	w.until(pl, 5, func() bool { return false })
	require.Empty(t, w.GetWave("x").Status.Stopped)
	require.Contains(t, reasons(pl.Waits()), "a-011")
	require.True(t, w.until(pl, 7200, w.finished("x")))
	first, second := w.GetWave("w").Status, w.GetWave("x").Status
	require.True(t, first.Finished.Before(second.Finished))
	require.Len(t, second.Done, 12)
}

// Guards against an incremental planner that decides differently from a full
// plan of the same snapshot.
func TestIncrementalPlanEqualsFullPlan(t *testing.T) {
	w, pl := site(model.BudgetSpec{MinHealthy: 6, MaxPlannedStops: 3, SurviveRack: true})
	w.PutWave("w", []string{"a"}, func(s *model.WaveSpec) { s.MaxParallel = 3 })
	for i := range 600 {
		w.Advance(time.Second)
		if i%50 == 10 {
			w.Machines["a-007"].Up = !w.Machines["a-007"].Up
		}
		w.Report(w.State.Snapshot())
		pl.Sync(w.State.Snapshot())
		full := fleet.Plan(w.State.Snapshot(), fleet.Input{}, w.Now)
		part := pl.Plan(fleet.Input{}, w.Now)
		require.Equal(t, hostSteps(full), hostSteps(part), "round %d", i)
		require.Equal(t, reasons(full.Waits), reasons(pl.Waits()), "round %d", i)
		for _, cmd := range part.Commands {
			w.Execute(cmd)
		}
		w.RunPlatform()
	}
}

func hostSteps(res fleet.Result) []state.Command {
	var steps []state.Command
	for _, cmd := range res.Commands {
		if c, ok := cmd.(state.HostStep); ok {
			steps = append(steps, c)
		}
	}
	return steps
}

// Guards against a cancelled wave that goes on, or that leaves hosts in their
// planned stop.
func TestCancelledWaveReturnsItsHosts(t *testing.T) {
	w, pl := site(model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 12})
	w.PutWave("w", []string{"a"}, nil)
	w.Machines["a-000"].InFlight = 1000
	require.True(t, w.until(pl, 60, func() bool { return w.GetHost("a-001").Status.Phase == model.HostRebooting }))
	wave := w.GetWave("w").Clone().(*model.Wave)
	wave.Spec.Cancelled = true
	w.PutObject(wave)
	require.True(t, w.until(pl, 600, w.inPhase(model.WaveCancelled)))
	require.Zero(t, w.CountStops())
	require.NotContains(t, w.GetWave("w").Status.Done, "a-000")
	require.Contains(t, w.GetWave("w").Status.Done, "a-001")
}

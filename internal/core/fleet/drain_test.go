package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Guards against a host that counts as drained although the call that drains it was
// lost. It would be rebooted or moved with requests in flight.
func TestHostIsNotDrainedBeforePlatformListsItDraining(t *testing.T) {
	sim := newSimulation()
	sim.PutPool("a", nil)
	sim.AddHosts("a", 3)
	sim.PutBudget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 1})
	sim.Report(sim.State.Snapshot())
	name := sim.Names[0]
	res := sim.Execute(state.HostStep{Origin: sim.Origin(), Host: name, Expected: sim.GetHost(name).Version, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopDrain}})
	require.Nil(t, res.Err)

	drains := fleet.NewDrainTracker()
	observedInFlight := func(after time.Duration, isDraining bool, epoch uint64) int {
		m := fleet.Machine{Epoch: epoch, Draining: isDraining}
		m.Host, m.Observed = name, startTime.Add(after)
		return drains.Observations(sim.State.Snapshot(), []fleet.Machine{m})[0].InFlight
	}
	require.Equal(t, 1, observedInFlight(10*time.Second, false, 1), "the call was lost")
	require.Equal(t, 1, observedInFlight(11*time.Second, true, 1), "a partitioned entry host may still send work")
	require.Equal(t, 1, observedInFlight(13*time.Second, true, 1))
	require.Equal(t, 0, observedInFlight(14*time.Second, true, 1))
	require.Equal(t, 1, observedInFlight(15*time.Second, true, 0), "the drain is of an older epoch")
	require.Equal(t, 1, observedInFlight(16*time.Second, true, 1), "the settling time starts again")
}

// Guards against a planned stop that breaks a budget because a host that is active
// in the state has not been returned to service by the platform.
func TestStillDrainingHostDoesNotCountAsCapacity(t *testing.T) {
	sim := newSimulation()
	sim.PutPool("a", nil)
	sim.AddHosts("a", 3)
	sim.PutBudget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 1})
	sim.PutWave("w", []string{"a"}, nil)
	sim.Report(sim.State.Snapshot())
	m := fleet.Machine{Draining: true}
	m.Host = sim.Names[2]

	pl := fleet.NewPlanner(nil)
	stillDraining := fleet.StillDraining(sim.State.Snapshot(), []fleet.Machine{m})
	require.Equal(t, map[string]bool{m.Host: true}, stillDraining)
	stops := func() int {
		n := 0
		for _, name := range sim.Names {
			if sim.GetHost(name).Status.Stop != nil {
				n++
			}
		}
		return n
	}
	for range 5 {
		sim.RunRound(pl, fleet.Input{StillDraining: stillDraining})
	}
	require.Zero(t, stops())
	for range 5 {
		sim.RunRound(pl, fleet.Input{})
	}
	require.Equal(t, 1, stops())
}

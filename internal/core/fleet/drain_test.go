package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Guards against a host that counts as empty although the call that drains it
// was lost: it would be rebooted or moved with requests in flight.
func TestHostIsNotEmptyBeforeThePlatformDrainsIt(t *testing.T) {
	w := newWorld()
	w.PutPool("a", nil)
	w.AddHosts("a", 3)
	w.PutBudget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 1})
	w.Report(w.State.Snapshot())
	name := w.Names[0]
	res := w.Execute(state.HostStep{Origin: w.Origin(), Host: name, Expected: w.GetHost(name).Version, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopDrain}})
	require.Nil(t, res.Err)

	drains := fleet.NewDrainTracker()
	inFlight := func(after time.Duration, isDraining bool, epoch uint64) int {
		m := fleet.Machine{Epoch: epoch, Draining: isDraining}
		m.Host, m.Observed = name, start.Add(after)
		return drains.Observations(w.State.Snapshot(), []fleet.Machine{m})[0].InFlight
	}
	require.Equal(t, 1, inFlight(10*time.Second, false, 1), "the call was lost")
	require.Equal(t, 1, inFlight(11*time.Second, true, 1), "a partitioned entry host may still send work")
	require.Equal(t, 1, inFlight(13*time.Second, true, 1))
	require.Equal(t, 0, inFlight(14*time.Second, true, 1))
	require.Equal(t, 1, inFlight(15*time.Second, true, 0), "the drain is of an older epoch")
	require.Equal(t, 1, inFlight(16*time.Second, true, 1), "the time counts again")
}

// Guards against a stop that takes a pool below its budget because a host that
// is active again was never told to serve.
func TestUnservedHostIsNoCapacity(t *testing.T) {
	w := newWorld()
	w.PutPool("a", nil)
	w.AddHosts("a", 3)
	w.PutBudget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 1})
	w.PutWave("w", []string{"a"}, nil)
	w.Report(w.State.Snapshot())
	m := fleet.Machine{Draining: true}
	m.Host = w.Names[2]

	pl := fleet.NewPlanner(nil)
	unserved := fleet.StillDraining(w.State.Snapshot(), []fleet.Machine{m})
	require.Equal(t, map[string]bool{m.Host: true}, unserved)
	stops := func() int {
		n := 0
		for _, name := range w.Names {
			if w.GetHost(name).Status.Stop != nil {
				n++
			}
		}
		return n
	}
	for range 5 {
		w.RunRound(pl, fleet.Input{StillDraining: unserved})
	}
	require.Zero(t, stops())
	for range 5 {
		w.RunRound(pl, fleet.Input{})
	}
	require.Equal(t, 1, stops())
}

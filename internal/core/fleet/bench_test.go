package fleet_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/fleet/fleettest"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// benchSizes are the numbers of hosts of the benchmarks.
var benchSizes = []int{50, 500, 5000, 16000}

// simulationOfSize returns a simulation with the given number of hosts.
func simulationOfSize(hosts int) *simulation {
	return &simulation{fleettest.NewSimulationOfSize(hosts)}
}

// BenchmarkFullPlan measures a plan without indexes.
func BenchmarkFullPlan(b *testing.B) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			snap := simulationOfSize(hosts).State.Snapshot()
			for b.Loop() {
				fleet.Plan(snap, fleet.Input{}, startTime.Add(time.Second))
			}
		})
	}
}

// BenchmarkPlanAfterOneChange measures an incremental plan after the health of one
// host has changed. The change itself is not measured.
func BenchmarkPlanAfterOneChange(b *testing.B) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			sim := simulationOfSize(hosts)
			pl := fleet.NewPlanner(nil)
			for range 3 {
				sim.Plan(pl, fleet.Input{})
			}
			b.ResetTimer()
			for i := range b.N {
				b.StopTimer()
				m := sim.Machines[sim.Names[i*7919%hosts]]
				m.Up = !m.Up
				sim.Now = sim.Now.Add(time.Millisecond)
				sim.Report(sim.State.Snapshot())
				snap := sim.State.Snapshot()
				b.StartTimer()
				pl.Sync(snap)
				pl.Plan(fleet.Input{}, sim.Now)
			}
		})
	}
}

// BenchmarkReport measures the comparison of a listing with an equal state.
func BenchmarkReport(b *testing.B) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			sim := simulationOfSize(hosts)
			snap, listing := sim.State.Snapshot(), sim.Listing()
			for b.Loop() {
				fleet.Report(snap, listing, sim.Now.Add(time.Second))
			}
		})
	}
}

// BenchmarkApplyPlannedStop measures applying a planned stop and its cancellation.
func BenchmarkApplyPlannedStop(b *testing.B) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			sim := simulationOfSize(hosts)
			name := sim.Names[0]
			for b.Loop() {
				sim.Commit(state.HostStep{Origin: sim.Origin(), Host: name, Expected: state.AnyVersion, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopDrain}})
				sim.Commit(state.HostStep{Origin: sim.Origin(), Host: name, Expected: state.AnyVersion, Cancel: true})
			}
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkBytesPerHost measures the memory of one host in the replicated state and
// in the planner. The state retains only the events of creating the fleet.
func BenchmarkBytesPerHost(b *testing.B) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				base := heapBytes()
				sim := simulationOfSize(hosts)
				sim.Machines = nil
				withState := heapBytes()
				pl := fleet.NewPlanner(nil)
				pl.Sync(sim.State.Snapshot())
				pl.Plan(fleet.Input{}, sim.Now)
				withPlanner := heapBytes()
				b.ReportMetric(float64(withState-base)/float64(hosts), "state-B/host")
				b.ReportMetric(float64(withPlanner-withState)/float64(hosts), "planner-B/host")
				runtime.KeepAlive(pl)
				runtime.KeepAlive(sim)
			}
		})
	}
}

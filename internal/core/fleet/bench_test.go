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

// benchSizes are the sizes for which costs are given.
var benchSizes = []int{50, 500, 5000, 16000}

func sized(hosts int) *world { return &world{fleettest.NewSimulationOfSize(hosts)} }

func BenchmarkFullPlan(b *testing.B) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			snap := sized(hosts).State.Snapshot()
			for b.Loop() {
				fleet.Plan(snap, fleet.Input{}, start.Add(time.Second))
			}
		})
	}
}

// BenchmarkPlanAfterOneChange measures sync and plan after the health of one
// host changed; the change itself is not measured.
func BenchmarkPlanAfterOneChange(b *testing.B) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			w := sized(hosts)
			pl := fleet.NewPlanner(nil)
			for range 3 {
				w.Plan(pl, fleet.Input{})
			}
			b.ResetTimer()
			for i := range b.N {
				b.StopTimer()
				m := w.Machines[w.Names[i*7919%hosts]]
				m.Up = !m.Up
				w.Now = w.Now.Add(time.Millisecond)
				w.Report(w.State.Snapshot())
				snap := w.State.Snapshot()
				b.StartTimer()
				pl.Sync(snap)
				pl.Plan(fleet.Input{}, w.Now)
			}
		})
	}
}

func BenchmarkReport(b *testing.B) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			w := sized(hosts)
			snap, listing := w.State.Snapshot(), w.Listing()
			for b.Loop() {
				fleet.Report(snap, listing, w.Now.Add(time.Second))
			}
		})
	}
}

func BenchmarkApplyPlannedStop(b *testing.B) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			w := sized(hosts)
			name := w.Names[0]
			for b.Loop() {
				w.Commit(state.HostStep{Origin: w.Origin(), Host: name, Expected: state.AnyVersion, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopDrain}})
				w.Commit(state.HostStep{Origin: w.Origin(), Host: name, Expected: state.AnyVersion, Cancel: true})
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkBytesPerHost measures what one host costs in the replicated state
// and in the planner. Only the events of the fleet's own puts are retained.
func BenchmarkBytesPerHost(b *testing.B) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				base := heapBytes()
				w := sized(hosts)
				w.Machines = nil
				withState := heapBytes()
				pl := fleet.NewPlanner(nil)
				pl.Sync(w.State.Snapshot())
				pl.Plan(fleet.Input{}, w.Now)
				withPlanner := heapBytes()
				b.ReportMetric(float64(withState-base)/float64(hosts), "state-B/host")
				b.ReportMetric(float64(withPlanner-withState)/float64(hosts), "planner-B/host")
				runtime.KeepAlive(pl)
				runtime.KeepAlive(w)
			}
		})
	}
}

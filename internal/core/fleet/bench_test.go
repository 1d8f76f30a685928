package fleet_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// benchSizes are the sizes for which costs are given.
var benchSizes = []int{50, 500, 5000, 16000}

// sized has a fleet with pools in the proportion of 238 to 16,000 hosts, a wave
// over all of them and a spare pool from which every pool may borrow.
func sized(hosts int) *world {
	w := newWorld()
	pools := max(6, hosts*238/16000)
	var names []string
	w.pool("spare", func(p *model.PoolSpec) { p.Spare = true })
	for i := range pools {
		name := fmt.Sprintf("pool-%03d", i)
		names = append(names, name)
		w.pool(name, func(p *model.PoolSpec) { p.SpareFrom = "spare" })
		w.hosts(name, hosts/pools)
		w.budget(name, model.BudgetSpec{MinHealthy: hosts / pools / 2, MaxPlannedStops: 3, SurviveRack: true, SurviveZone: false})
	}
	w.hosts("spare", hosts-hosts/pools*pools)
	w.report(w.s.Snapshot())
	w.wave("w", names, func(s *model.WaveSpec) { s.MaxParallel = max(2, hosts/100) })
	w.plan(fleet.NewPlanner(nil), fleet.Input{})
	return w
}

func BenchmarkFullPlan(b *testing.B) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			snap := sized(hosts).s.Snapshot()
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
				w.plan(pl, fleet.Input{})
			}
			b.ResetTimer()
			for i := range b.N {
				b.StopTimer()
				m := w.machines[w.names[i*7919%hosts]]
				m.up = !m.up
				w.now = w.now.Add(time.Millisecond)
				w.report(w.s.Snapshot())
				snap := w.s.Snapshot()
				b.StartTimer()
				pl.Sync(snap)
				pl.Plan(fleet.Input{}, w.now)
			}
		})
	}
}

func BenchmarkReport(b *testing.B) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			w := sized(hosts)
			snap, listing := w.s.Snapshot(), w.listing()
			for b.Loop() {
				fleet.Report(snap, listing, w.now.Add(time.Second))
			}
		})
	}
}

func BenchmarkApplyPlannedStop(b *testing.B) {
	for _, hosts := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			w := sized(hosts)
			name := w.names[0]
			for b.Loop() {
				w.commit(state.HostStep{Origin: w.origin(), Host: name, Expected: state.AnyVersion, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopDrain}})
				w.commit(state.HostStep{Origin: w.origin(), Host: name, Expected: state.AnyVersion, Cancel: true})
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
				w.machines = nil
				withState := heapBytes()
				pl := fleet.NewPlanner(nil)
				pl.Sync(w.s.Snapshot())
				pl.Plan(fleet.Input{}, w.now)
				withPlanner := heapBytes()
				b.ReportMetric(float64(withState-base)/float64(hosts), "state-B/host")
				b.ReportMetric(float64(withPlanner-withState)/float64(hosts), "planner-B/host")
				runtime.KeepAlive(pl)
				runtime.KeepAlive(w)
			}
		})
	}
}

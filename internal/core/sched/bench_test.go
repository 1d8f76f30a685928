package sched_test

import (
	"fmt"
	"testing"
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/sched"
	"laburnumdock/internal/core/sched/schedtest"
	"laburnumdock/internal/core/state"
)

// simulationOfSize returns a simulation with the state that schedtest.Fill makes.
func simulationOfSize(hosts int) *simulation {
	sim := &simulation{state: state.New(), now: startTime}
	sim.apply = func(cmd state.Command) state.Result { return sim.state.Apply(sim.state.Version()+1, cmd) }
	schedtest.Fill(sim.state, hosts, sim.now)
	return sim
}

// BenchmarkPass measures the first pass of a new scheduler.
func BenchmarkPass(b *testing.B) {
	for _, hosts := range []int{50, 500, 5000, 16000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			snap := simulationOfSize(hosts).state.Snapshot()
			b.ReportAllocs()
			for b.Loop() {
				sched.New().Plan(snap, sched.Input{}, startTime.Add(time.Second))
			}
		})
	}
}

// BenchmarkSteadyPass measures a pass that proposes no command, because all tasks
// run and are reported. 1,780 is the expected number of hosts of a region's cell
// in two years.
func BenchmarkSteadyPass(b *testing.B) {
	for _, hosts := range []int{50, 500, 1780, 5000, 16000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			sim := simulationOfSize(hosts)
			s := sched.New()
			var reports []sched.Report
			for range 2*hosts/sched.MaxPlacements + 4 {
				reports = reports[:0]
				for _, obj := range sim.state.Snapshot().List(model.KindJob) {
					job := obj.(*model.Job)
					for _, task := range job.Status.Tasks {
						if task.Host != "" {
							reports = append(reports, sched.Report{Job: job.Name, Index: task.Index, Epoch: task.Epoch, Host: task.Host, Outcome: sched.OutcomeRunning})
						}
					}
				}
				for _, cmd := range s.Plan(sim.state.Snapshot(), sched.Input{Reports: reports}, sim.now).Commands {
					sim.apply(cmd)
				}
			}
			snap := sim.state.Snapshot()
			b.ResetTimer()
			for b.Loop() {
				if n := len(s.Plan(snap, sched.Input{Reports: reports}, sim.now).Commands); n > 0 {
					b.Fatalf("steady pass proposed %d commands", n)
				}
			}
		})
	}
}

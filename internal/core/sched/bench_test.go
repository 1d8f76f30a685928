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

func sized(hosts int) *world {
	w := &world{s: state.New(), now: start}
	w.apply = func(cmd state.Command) state.Result { return w.s.Apply(w.s.Version()+1, cmd) }
	schedtest.Fill(w.s, hosts, w.now)
	return w
}

func BenchmarkPass(b *testing.B) {
	for _, hosts := range []int{50, 500, 5000, 16000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			snap := sized(hosts).s.Snapshot()
			b.ReportAllocs()
			for b.Loop() {
				sched.New().Plan(snap, sched.Input{}, start.Add(time.Second))
			}
		})
	}
}

// BenchmarkSteadyPass is a pass in which nothing is to be done: all tasks run
// and are reported. Two years on, the cell of a region has 1,780 hosts.
func BenchmarkSteadyPass(b *testing.B) {
	for _, hosts := range []int{50, 500, 1780, 5000, 16000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			w := sized(hosts)
			s := sched.New()
			var reports []sched.Report
			for range 2*hosts/sched.MaxPlacements + 4 {
				reports = reports[:0]
				for _, obj := range w.s.Snapshot().List(model.KindJob) {
					job := obj.(*model.Job)
					for _, task := range job.Status.Tasks {
						if task.Host != "" {
							reports = append(reports, sched.Report{Job: job.Name, Index: task.Index, Epoch: task.Epoch, Host: task.Host, Outcome: sched.OutcomeRunning})
						}
					}
				}
				for _, cmd := range s.Plan(w.s.Snapshot(), sched.Input{Reports: reports}, w.now).Commands {
					w.apply(cmd)
				}
			}
			snap := w.s.Snapshot()
			b.ResetTimer()
			for b.Loop() {
				if n := len(s.Plan(snap, sched.Input{Reports: reports}, w.now).Commands); n > 0 {
					b.Fatalf("%d commands", n)
				}
			}
		})
	}
}

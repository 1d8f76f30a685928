package sched_test

import (
	"fmt"
	"testing"
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/sched"
	"laburnumdock/internal/core/state"
)

// sized has pools in the proportion of 238 to 16,000 hosts and two tasks per
// host, half of them running.
func sized(hosts int) *world {
	w := newWorld()
	pools := max(6, hosts*238/16000)
	for i := range pools {
		p := model.New(model.KindPool).(*model.Pool)
		p.Name = fmt.Sprintf("pool-%03d", i)
		w.put(p)
		job := func(name string) {
			w.job(name, func(j *model.JobSpec) { j.Pool, j.Tasks = p.Name, hosts/pools })
		}
		job(p.Name + "-running")
		job(p.Name + "-new")
	}
	r := state.HostReport{Origin: w.origin()}
	for i := range hosts {
		h := model.New(model.KindHost).(*model.Host)
		h.Name = fmt.Sprintf("host-%05d", i)
		h.Spec = model.HostSpec{Pool: fmt.Sprintf("pool-%03d", i%pools), Zone: fmt.Sprintf("zone-%02d", i/pools%3), Rack: fmt.Sprintf("rack-%d", i/pools/4), Cores: 32, MemoryMB: 64 << 10}
		w.put(h)
		r.Hosts = append(r.Hosts, state.HostObservation{Host: h.Name, Health: model.HealthHealthy, BootID: "b", Observed: w.now})
	}
	w.apply(r)
	for _, cmd := range sched.New().Plan(w.s.Snapshot(), sched.Input{}, w.now).Commands {
		if c, ok := cmd.(state.TaskStep); ok && len(c.Job) > 8 && c.Job[len(c.Job)-3:] != "new" {
			w.apply(c)
		}
	}
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

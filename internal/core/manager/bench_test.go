package manager_test

import (
	"testing"
	"time"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
)

// The size of the benchmark's world, that of the users' grown deployments.
const (
	benchHosts   = 300
	benchStandby = 50
	benchJobs    = 60
	benchSeconds = 10
)

// BenchmarkLargeFleet plays a wave of upkeep beside short jobs on 350 hosts. The
// time of the model of the platform is part of the figure.
func BenchmarkLargeFleet(b *testing.B) {
	for b.Loop() {
		w := newWorld(b, 1)
		for range benchHosts / 2 {
			w.addHost("a")
			w.addHost("b")
		}
		for range benchStandby {
			w.addHost("off")
		}
		for range 20 {
			w.submit("/stock/", lasting(24))
		}
		w.run(5 * time.Second)
		var names []string
		for name := range w.hosts {
			names = append(names, name)
		}
		w.ask(manager.Request{Kind: manager.RequestStartWave, Wave: &jobs.Wave{ID: 1, Hosts: names, TimeLimit: 60_000, MaxParallel: 20}}, func(manager.Reply) {})
		for range benchSeconds * benchJobs {
			w.submit("/quotes/", batch(8, 500))
			w.submit("/cuts/", batch(8, 1800))
			w.run(time.Second / benchJobs)
		}
		w.check()
	}
}

package manager_test

import (
	"testing"
	"time"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
)

// The size of the simulated fleet, that of the users' grown deployments.
const (
	benchHosts   = 300
	benchStandby = 50
	benchJobs    = 60
	benchSeconds = 10
)

// BenchmarkLargeFleet simulates an upkeep wave beside short jobs on 350 hosts.
// Its result includes the time of the simulated platform.
func BenchmarkLargeFleet(b *testing.B) {
	for b.Loop() {
		s := newSimulation(b, 1)
		for range benchHosts / 2 {
			s.addHost("a")
			s.addHost("b")
		}
		for range benchStandby {
			s.addHost("off")
		}
		for range 20 {
			s.submit("/stock/", longRunningSpec(24))
		}
		s.advance(5 * time.Second)
		var names []string
		for name := range s.hosts {
			names = append(names, name)
		}
		s.request(manager.Request{Kind: manager.RequestStartWave, Wave: &jobs.Wave{ID: 1, Hosts: names, TimeLimit: 60_000, MaxParallel: 20}}, func(manager.Reply) {})
		for range benchSeconds * benchJobs {
			s.submit("/quotes/", batchSpec(8, 500))
			s.submit("/cuts/", batchSpec(8, 1800))
			s.advance(time.Second / benchJobs)
		}
		s.requireNoViolations()
	}
}

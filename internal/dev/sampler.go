package dev

import (
	"context"
	"time"
)

// sampler samples the stand-in platform, not the state of the system, and counts
// budget violations: one for each pool below its minimum in a sample.
type sampler struct {
	deployment *Deployment
	// minHealthy is the minimum of healthy hosts by pool.
	minHealthy map[string]int
	violations int
	samples    int
	// idleHostsSum is the sum of idle hosts over all samples.
	idleHostsSum float64
	initialPools map[string]string
}

func newSampler(d *Deployment, minHealthy map[string]int) *sampler {
	return &sampler{deployment: d, minHealthy: minHealthy, initialPools: d.Fleet.Pools()}
}

// run takes samples until ctx ends.
func (s *sampler) run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sample()
		}
	}
}

func (s *sampler) sample() {
	available := s.deployment.Fleet.Platform.AvailableHosts()
	total := 0
	for pool, n := range available {
		total += n
		if n < s.minHealthy[pool] {
			s.violations++
		}
	}
	for pool, need := range s.minHealthy {
		if _, reported := available[pool]; !reported && need > 0 {
			s.violations++
		}
	}
	busy := float64(s.deployment.Fleet.InFlight()) / float64(*s.deployment.Standin.Slots)
	s.idleHostsSum += float64(total) - busy
	s.samples++
}

// countMoves returns the number of hosts that are in another pool than at the
// start.
func (s *sampler) countMoves() int {
	n := 0
	for host, pool := range s.deployment.Fleet.Pools() {
		if s.initialPools[host] != pool {
			n++
		}
	}
	return n
}

package dev

import (
	"context"
	"time"
)

// sampler looks at the stand-in platform, not at the state of the system, and
// counts the samples in which a budget was broken.
type sampler struct {
	deployment *Deployment
	// minHealthy is the budget of each pool.
	minHealthy map[string]int
	violations int
	samples    int
	// spare sums the idle hosts of all samples.
	spare float64
	start map[string]string
}

func newSampler(d *Deployment, minHealthy map[string]int) *sampler {
	return &sampler{deployment: d, minHealthy: minHealthy, start: d.Fleet.Pools()}
}

// run takes samples until ctx ends.
func (s *sampler) run(ctx context.Context) {
	ticker := time.NewTicker(sampleEvery)
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
		if _, seen := available[pool]; !seen && need > 0 {
			s.violations++
		}
	}
	busy := float64(s.deployment.Fleet.InFlight()) / float64(*s.deployment.Standin.Slots)
	s.spare += float64(total) - busy
	s.samples++
}

// moves counts the hosts whose pool is another than at the start.
func (s *sampler) moves() int {
	n := 0
	for host, pool := range s.deployment.Fleet.Pools() {
		if s.start[host] != pool {
			n++
		}
	}
	return n
}

package manager_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/jobs"
)

// stopGuarding makes the executors of a pool start whatever they are told.
func (s *simulation) stopGuarding(pool string) {
	s.unguarded[pool] = true
	config := s.state.Config()
	next := *config
	next.Version++
	next.Pools = append([]jobs.Pool(nil), config.Pools...)
	for i := range next.Pools {
		next.Pools[i].EnforcesCapacity = !s.unguarded[next.Pools[i].Name]
	}
	require.Nil(s.t, s.state.Apply(jobs.Command{Configure: &next}))
}

// changeCapacities lets executors shrink and grow for the given time, while jobs keep
// the pool busy, and returns the jobs.
func (s *simulation) changeCapacities(length time.Duration, disturb func()) []string {
	var ids []string
	for end := s.now.Add(length); s.now.Before(end); {
		for range 1 + s.faults.IntN(3) {
			ids = append(ids, s.submit("/quotes/", batchSpec(1+s.faults.IntN(12), int64(100+s.faults.IntN(1500)))))
		}
		hosts := s.sortedHosts()
		for range s.faults.IntN(3) {
			if e := hosts[s.faults.IntN(len(hosts))].executor; e != nil && e.up {
				e.shrinkOrGrow()
			}
		}
		disturb()
		s.advance(time.Duration(s.faults.IntN(1000)) * time.Millisecond)
	}
	for _, h := range s.sortedHosts() {
		if e := h.executor; e != nil && e.capacity != fullCapacity {
			e.shrinkOrGrow()
		}
	}
	return ids
}

// Guards against starts beyond the capacity of executors that have shrunk.
func TestStartsFitShrunkCapacity(t *testing.T) {
	for _, guarded := range []bool{false, true} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%t/%d", guarded, seed), func(t *testing.T) {
				s := newCrashFleet(t, 400+seed, 6, 0)
				if !guarded {
					s.stopGuarding("a")
				}
				ids := s.changeCapacities(30*time.Second, func() {})
				s.advance(40 * time.Second)
				s.requireCompleted(ids, true)
				s.requireNoViolations()
			})
		}
	}
}

// Guards against runs that do not count against the capacity because the leader does
// not know them or has given them up: orders that arrive late, and orders of earlier
// leaders.
func TestUnknownRunsCountAgainstCapacity(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newCrashFleet(t, 500+seed, 6, 0)
			s.stopGuarding("a")
			s.lateOrderShare = 0.1
			ids := s.changeCapacities(30*time.Second, func() {
				switch hosts := s.sortedHosts(); s.faults.IntN(6) {
				case 0:
					s.failover(time.Duration(100+s.faults.IntN(1500)) * time.Millisecond)
				case 1:
					if e := hosts[s.faults.IntN(len(hosts))].executor; e != nil && e.up {
						e.partitioned = true
						s.schedule(time.Duration(s.faults.IntN(9000))*time.Millisecond, func() { e.partitioned = false })
					}
				default:
				}
			})
			s.lateOrderShare = 0
			s.advance(60 * time.Second)
			s.requireCompleted(ids, true)
			s.requireNoViolations()
		})
	}
}

// Guards against runs that are being stopped and do not count against the capacity
// any more.
func TestStoppingRunsCountAgainstCapacity(t *testing.T) {
	s := newCrashFleet(t, 600, 2, 0)
	s.stopGuarding("a")
	// Each job fills both hosts.
	spec := func(ms int64) *jobs.Spec {
		return &jobs.Spec{Payload: "job", Steps: []jobs.Step{{Count: 4, Demand: jobs.Resources{CPU: 16_000, MemoryMB: 3000}, Estimate: ms}}}
	}
	for range 20 {
		id := s.submit("/quotes/", spec(20_000))
		s.advance(300 * time.Millisecond)
		next := s.submit("/quotes/", spec(100))
		s.cancel(id)
		s.advance(2 * time.Second)
		s.requireCompleted([]string{next}, true)
	}
	s.requireNoViolations()
}

// Guards against a capacity that counts although the executor has not confirmed it for
// long: it shrank while it could not be reached, or while there was no leader.
func TestOldReportsDoNotShowCapacity(t *testing.T) {
	for _, name := range []string{"partition", "failover"} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				s := newCrashFleet(t, 700+seed, 1, 0)
				s.stopGuarding("a")
				s.advance(time.Second)
				e := s.hosts["host-000"].executor
				e.shrinkOrGrow()
				if name == "failover" {
					s.failover(5 * time.Second)
				} else {
					e.partitioned = true
				}
				s.advance(5 * time.Second)
				e.partitioned = false
				// The host has a third of its capacity, room for 5 tasks of each job.
				var ids []string
				for range 3 {
					ids = append(ids, s.submit("/quotes/", batchSpec(6, 500)))
				}
				s.advance(30 * time.Second)
				s.requireCompleted(ids, true)
				s.requireNoViolations()
			})
		}
	}
}

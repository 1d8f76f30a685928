package manager_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/jobs"
)

// setAdvisor configures the times of the advisor, and no standby pool, so that the hosts
// stay where they are.
func (s *simulation) setAdvisor(perCall, perExecutor int64) {
	c := s.jobsConfig(s.state.Config().Version + 1)
	c.Queue("advised").Advisor = &jobs.AdvisorTiming{PerCall: perCall, PerExecutor: perExecutor}
	c.Pools = c.Pools[:2]
	require.Nil(s.t, s.state.Apply(jobs.Command{Configure: c}))
	s.startLeader()
}

// submitAdvised submits jobs of one step to the advised queue within half a second.
func (s *simulation) submitAdvised(count, tasks int, demand jobs.Resources) []string {
	var ids []string
	for range count {
		spec := &jobs.Spec{Payload: "advised", Steps: []jobs.Step{{Count: tasks, Demand: demand, Estimate: 500}}}
		ids = append(ids, s.submit("/advised/", spec))
		s.advance(500 * time.Millisecond / time.Duration(count))
	}
	return ids
}

// Guards against jobs of a burst that never start: the advisor handles one call at a
// time, also those that were given up, so that calls which are given up before their
// turn keep it from answering any.
func TestBurstOnAdvisedQueueStarts(t *testing.T) {
	for _, timing := range []struct {
		perCall, perExecutor int64
		slowness             int
	}{{1, 0, 1}, {300, 5, 1}, {10, 40, 1}, {1500, 100, 1}, {300, 5, 2}, {300, 5, 8}} {
		t.Run(fmt.Sprintf("%+v", timing), func(t *testing.T) {
			s := newSimulation(t, 1)
			for range 12 {
				s.addHost("b")
			}
			s.setAdvisor(timing.perCall, timing.perExecutor)
			s.advisor.slowness = timing.slowness
			s.advance(3 * time.Second)
			ids := s.submitAdvised(16, 6, jobs.Resources{CPU: 1800, MemoryMB: 3300})
			// The advisor's own time for the calls of all steps, and as much again for
			// calls that are repeated.
			handling := time.Duration(timing.perCall+12*timing.perExecutor) * time.Duration(timing.slowness) * time.Millisecond
			s.advance(2*16*handling + 14*time.Second)
			s.requireCompleted(ids, true)
			s.requireNoViolations()
		})
	}
}

// Guards against a job that never starts because the advisor is asked about the same
// executors for ever, none of which it allows.
func TestEachAllowedExecutorIsAskedAbout(t *testing.T) {
	s := newSimulation(t, 1)
	for range 40 {
		s.addHost("b")
	}
	s.setAdvisor(50, 5)
	s.advance(3 * time.Second)
	list := s.state.Executors()
	last := list[len(list)-2:]
	s.advisor.allows = func(id string) bool { return id == last[0].ID || id == last[1].ID }
	ids := s.submitAdvised(3, 4, jobs.Resources{CPU: 9000, MemoryMB: 1000})
	s.advance(10 * time.Second)
	s.requireCompleted(ids, true)
	s.requireNoViolations()
}

// Guards against a gang that waits for ever with tickets for too few executors.
func TestAdvisedGangGetsFurtherTickets(t *testing.T) {
	s := newSimulation(t, 1)
	for range 40 {
		s.addHost("b")
	}
	s.setAdvisor(50, 5)
	s.advance(3 * time.Second)
	spec := &jobs.Spec{Payload: "advised", Steps: []jobs.Step{{Count: 35, Gang: true, Demand: jobs.Resources{CPU: 20_000, MemoryMB: 1000}, Estimate: 500}}}
	id := s.submit("/advised/", spec)
	s.advance(8 * time.Second)
	s.requireCompleted([]string{id}, true)
	s.requireNoViolations()
}

// Guards against an advisor that is called without end about a step that no executor
// has capacity for, while the step behind it could start.
func TestStepWithoutCapacityDoesNotOccupyAdvisor(t *testing.T) {
	s := newSimulation(t, 1)
	for range 4 {
		s.addHost("b")
	}
	s.setAdvisor(300, 5)
	s.advance(3 * time.Second)
	s.submitAdvised(12, 1, jobs.Resources{CPU: 33_000, MemoryMB: 1000})
	ids := s.submitAdvised(1, 2, jobs.Resources{CPU: 1000, MemoryMB: 1000})
	s.advance(2 * time.Second)
	s.requireCompleted(ids, true)
	s.requireNoViolations()
}

// Guards against a long wait after the advisor was silent: calls are repeated with a
// bounded back-off, one at a time.
func TestAdvisorIsUsedAgainAfterSilence(t *testing.T) {
	s := newSimulation(t, 1)
	for range 4 {
		s.addHost("b")
	}
	s.setAdvisor(50, 5)
	s.advance(3 * time.Second)
	s.advisor.isSilent = true
	ids := s.submitAdvised(8, 2, jobs.Resources{CPU: 1000, MemoryMB: 1000})
	s.advance(10 * time.Second)
	require.LessOrEqual(t, s.advisor.calls, 2+10)
	s.advisor.isSilent = false
	s.advance(8 * time.Second)
	s.requireCompleted(ids, true)
	s.requireNoViolations()
}

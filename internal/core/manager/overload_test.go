package manager_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/jobs"
)

// burst submits jobs of one kind at a constant rate and returns how many of them were
// completed within the given time after their submission.
func (s *simulation) burst(perSecond int, length time.Duration, spec *jobs.Spec, aim time.Duration) (inTime int) {
	submitted := map[string]time.Time{}
	stop := s.now.Add(length)
	for s.now.Before(stop.Add(4 * aim)) {
		if s.now.Before(stop) {
			submitted[s.submit("/quotes/", spec)] = s.now
		}
		s.advance(time.Second / time.Duration(perSecond))
		for id, at := range submitted {
			switch {
			case s.phase(id) == jobs.PhaseCompleted:
				inTime++
				delete(submitted, id)
			case s.now.Sub(at) > aim:
				delete(submitted, id)
			}
		}
	}
	return inTime
}

// Guards against an overload in which the hosts do nothing but work that is already
// late: of more than twice the work that they can carry for seconds, at least two
// thirds of what they can do in time must be in time.
func TestOverloadIsServedInTime(t *testing.T) {
	s := newSimulation(t, 12)
	config := s.jobsConfig(2)
	config.Pools = config.Pools[:2]
	require.Nil(t, s.state.Apply(jobs.Command{Configure: config}))
	const hosts = 6
	for range hosts {
		s.addHost("a")
	}
	s.advance(5 * time.Second)
	const (
		// Two steps of four tasks, each 0.5 s on 2 of the 32 cores of a host.
		coreSeconds = 2 * 4 * 2 * 0.5
		capacity    = hosts * 32 / coreSeconds // jobs a second
		length      = 4 * time.Second
		aim         = 2200 * time.Millisecond // 1.6 times the two steps, and 0.6 s
	)
	perSecond := int(2.5 * capacity)
	inTime := s.burst(perSecond, length, batchSpec(4, 500), aim)
	feasible := capacity * (length + aim).Seconds()
	require.Greater(t, float64(inTime), feasible*2/3, "of %d jobs", int(length.Seconds())*perSecond)
	s.requireNoViolations()
}

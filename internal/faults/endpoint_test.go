package faults

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// leaveSettleTime is how long a leaving endpoint waits for work in transit.
const leaveSettleTime = 4 * time.Second

// endpointSimulation has an endpoint announce itself and leave under continuous
// load.
type endpointSimulation struct{ *requestSimulation }

func endpointProcedure() procedure {
	return procedure{
		name:  "announcement and leaving of an endpoint",
		steps: []string{"announced", "leaving", "leaving heard", "left"},
		newSimulation: func(rng *rand.Rand, onEvent func(string)) simulation {
			return &endpointSimulation{newRequestSimulation(rng, onEvent, true)}
		},
		skipReason: func(_ string, f faultKind) string {
			if f == twoOperators || f == resend || f == cancellation {
				return "no operator and no caller takes part; an announcement is sent again every 500 ms"
			}
			return ""
		},
	}
}

func (s *endpointSimulation) sendLoad(rounds int) {
	for range rounds {
		s.step()
		s.sendCall(s.round%2, s.newID(fmt.Sprintf("load-%d", s.round)), "load", false)
	}
}

func (s *endpointSimulation) run() []string {
	s.tracksEndpoint = true
	s.sendLoad(20)
	ep := s.endpoints[0]
	ep.isLeaving, ep.leavingSince = true, s.now
	s.markStep("leaving")
	s.sendLoad(100)
	if ep.isStopped {
		s.markStep("left")
	}
	s.sendLoad(30)
	// The endpoint restarts as a new incarnation.
	ep.isLeaving, ep.isStopped, ep.isDown, ep.inFlight = false, false, false, 0
	ep.incarnation++
	ep.leavingSince = time.Time{}
	return s.finish()
}

// stopLeavingEndpoints stops a leaving endpoint once it has no work and
// leaveSettleTime has passed.
func (s *requestSimulation) stopLeavingEndpoints() {
	for _, ep := range s.endpoints {
		if ep.isLeaving && !ep.isStopped && ep.inFlight == 0 && s.now.Sub(ep.leavingSince) > leaveSettleTime {
			ep.isStopped = true
		}
	}
}

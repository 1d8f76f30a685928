package faults

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// leaveSettle is how long an endpoint that leaves waits for late work.
const leaveSettle = 4 * time.Second

// endpointScene has an endpoint announce itself and leave while requests come
// in all the time.
type endpointScene struct{ *requestScene }

func endpointFlow() flow {
	return flow{
		name:  "announcement and leaving of an endpoint",
		steps: []string{"announced", "leaving", "leaving heard", "left"},
		start: func(rng *rand.Rand, reach func(string)) scene {
			return &endpointScene{newRequestScene(rng, reach, true)}
		},
		skip: func(_ string, f injection) string {
			if f == twoOperators || f == resend || f == cancellation {
				return "no operator and no caller takes part; an announcement is sent again every 500 ms"
			}
			return ""
		},
	}
}

func (s *endpointScene) load(rounds int) {
	for range rounds {
		s.step()
		s.send(s.round%2, s.newID(fmt.Sprintf("load-%d", s.round)), "load", false)
	}
}

func (s *endpointScene) play() []string {
	s.isLeaving = true
	s.load(20)
	x := s.executors[0]
	x.isLeaving, x.leftAt = true, s.now
	s.mark("leaving")
	s.load(100)
	if x.isStopped {
		s.mark("left")
	}
	s.load(30)
	// The endpoint comes back as a new process.
	x.isLeaving, x.isStopped, x.down, x.inFlight = false, false, false, 0
	x.incarnation++
	x.leftAt = time.Time{}
	return s.settle()
}

// stopExecutors ends an endpoint that is leaving once it has no work and none
// can be on its way.
func (s *requestScene) stopExecutors() {
	for _, x := range s.executors {
		if x.isLeaving && !x.isStopped && x.inFlight == 0 && s.now.Sub(x.leftAt) > leaveSettle {
			x.isStopped = true
		}
	}
}

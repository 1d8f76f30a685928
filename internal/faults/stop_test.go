package faults

import (
	"math/rand/v2"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

func moveProcedure() procedure {
	return procedure{
		name:  "move of a host",
		steps: []string{"requested", "draining", "drained", "switched", "serving"},
		newSimulation: func(rng *rand.Rand, onEvent func(string)) simulation {
			return &moveSimulation{newFleetSimulation(rng, onEvent)}
		},
		skipReason: stopSkipReason,
	}
}

func waveProcedure() procedure {
	return procedure{
		name:  "stop and return of a host in a wave",
		steps: []string{"asked", "draining", "drained", "rebooting", "returning", "active"},
		newSimulation: func(rng *rand.Rand, onEvent func(string)) simulation {
			return &waveSimulation{newFleetSimulation(rng, onEvent)}
		},
		skipReason: stopSkipReason,
	}
}

// stopSkipReason returns why a fault does not apply at a step of a planned stop.
func stopSkipReason(step string, f faultKind) string {
	if f == falseSize && (step == "drained" || step == "rebooting" || step == "switched") {
		return "no work is left on the host at this step, so its size has no effect"
	}
	return ""
}

// moveSimulation moves a spare host to the web pool.
type moveSimulation struct{ *fleetSimulation }

func (s *moveSimulation) run() []string {
	s.trackedHost = "spare-00"
	for i := 0; s.host(s.trackedHost).Spec.Pool == "spare" && !s.reachedSteps["draining"] && i < 10; i++ {
		s.operatorRequest = state.HostStep{
			Origin: state.Origin{Actor: "operator", Time: s.time(), ChangeID: "move-1", IssuedAt: epoch},
			Host:   s.trackedHost, Expected: state.AnyVersion, To: model.HostDraining,
			Stop: &model.PlannedStop{Action: model.StopMove, TargetPool: "web"},
		}
		s.markStep("requested")
		if s.leaderlessRounds == 0 && !s.storageFailed {
			s.firstResult = s.execute(s.operatorRequest)
		}
		s.runUntil(func() bool { return s.leaderlessRounds == 0 && !s.storageFailed })
	}
	if !s.runUntil(s.isConverged) {
		s.fail("the move did not end: %+v", s.host(s.trackedHost).Status)
	}
	return s.finish()
}

// waveSimulation reboots the hosts of the web pool in a wave.
type waveSimulation struct{ *fleetSimulation }

func (s *waveSimulation) run() []string {
	s.wave = "w"
	w := model.New(model.KindWave).(*model.Wave)
	w.Name = s.wave
	w.Spec = model.WaveSpec{Pools: []string{"web"}, Action: model.StopReboot, Started: true, MaxParallel: 4, StragglerLimitSeconds: 20}
	s.operatorRequest = state.Put{Origin: state.Origin{Actor: "operator", Time: s.time(), ChangeID: "wave-1", IssuedAt: epoch}, Object: w}
	s.firstResult = s.execute(s.operatorRequest)
	if !s.runUntil(func() bool { return s.isConverged() && s.isEnded() }) {
		s.fail("the wave did not end: %+v", s.st.Get(model.Key{Kind: model.KindWave, Name: "w"}).(*model.Wave).Status)
	}
	return s.finish()
}

func (s *waveSimulation) isEnded() bool {
	phase := s.st.Get(model.Key{Kind: model.KindWave, Name: "w"}).(*model.Wave).Status.Phase
	return phase == model.WaveFinished || phase == model.WaveCancelled
}

func (s *fleetSimulation) inject(f faultKind) {
	s.repairAt = s.now.Add(fleetRepairTime)
	if !s.injectMessageFault(f) && !s.injectProcessFault(f, s.startLeader) {
		s.injectHostFault(f)
	}
}

// injectHostFault injects faults into machines and the actions of operators.
func (s *fleetSimulation) injectHostFault(f faultKind) {
	m, h := s.machines[s.trackedHost], s.host(s.trackedHost)
	switch f {
	case restart:
		// The machine restarts by itself without a planned stop; its work is lost.
		m.bootCount++
		m.inFlight = 0
	case secondFault:
		m.isUp = m.isUp && !m.rebootEnds.IsZero()
		s.onRepair = append(s.onRepair, func() {
			s.machines[s.otherHostInPool()].isUp = false
			s.repairAt = s.now.Add(fleetRepairTime)
		})
	case falseSize:
		m.isStraggler = true
		if !m.isDraining {
			m.inFlight++
		}
		s.onRepair = append(s.onRepair, func() { m.isStraggler = false })
	case rackLost, zoneLost:
		for _, name := range s.names {
			spec := s.host(name).Spec
			if spec.Zone == h.Spec.Zone && (f == zoneLost || spec.Rack == h.Spec.Rack) && s.machines[name].rebootEnds.IsZero() {
				s.machines[name].isUp = false
			}
		}
	default:
		s.injectOperatorFault(f, h)
	}
}

// otherHostInPool returns a host in the tracked host's pool other than the tracked
// one, or the tracked one if there is none.
func (s *fleetSimulation) otherHostInPool() string {
	pool := s.host(s.trackedHost).Spec.Pool
	for _, name := range s.names {
		if name != s.trackedHost && s.host(name).Spec.Pool == pool {
			return name
		}
	}
	return s.trackedHost
}

func (s *fleetSimulation) injectOperatorFault(f faultKind, h *model.Host) {
	switch f {
	case cancellation:
		if w, ok := s.st.Get(model.Key{Kind: model.KindWave, Name: s.wave}).(*model.Wave); ok {
			next := w.Clone().(*model.Wave)
			next.Spec.Cancelled = true
			// The change is refused if the wave has ended.
			s.execute(state.Put{Origin: s.origin(), Object: next, Expected: state.AnyVersion})
			return
		}
		s.execute(state.HostStep{Origin: s.origin(), Host: h.Name, Expected: h.Version, Cancel: true})
	case twoOperators:
		s.raceOperators(h)
	case resend:
		s.resendRequest(s.execute)
	default:
		panic("fault not implemented: " + f)
	}
}

// raceOperators has operators request different steps on the same version of a
// host. At most one may succeed.
func (s *fleetSimulation) raceOperators(h *model.Host) {
	steps := []state.HostStep{
		{Origin: s.origin(), Host: h.Name, Expected: h.Version, Cancel: true},
		{Origin: s.origin(), Host: h.Name, Expected: h.Version, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopDrain}},
		{Origin: s.origin(), Host: h.Name, Expected: h.Version, Cancel: true},
		{Origin: s.origin(), Host: h.Name, Expected: h.Version, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopReboot}},
	}
	accepted := 0
	for _, step := range steps {
		if s.execute(step).Err == nil {
			accepted++
		}
	}
	if accepted > 1 {
		s.fail("%d operators succeed on version %d of host %s", accepted, h.Version, h.Name)
	}
}

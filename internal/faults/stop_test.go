package faults

import (
	"math/rand/v2"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

func moveFlow() flow {
	return flow{
		name:  "move of a host",
		steps: []string{"requested", "draining", "drained", "switched", "serving"},
		start: func(rng *rand.Rand, reach func(string)) scene { return &moveScene{newFleetScene(rng, reach)} },
		skip:  skipStop,
	}
}

func waveFlow() flow {
	return flow{
		name:  "stop and return of a host in a wave",
		steps: []string{"asked", "draining", "drained", "rebooting", "returning", "active"},
		start: func(rng *rand.Rand, reach func(string)) scene { return &waveScene{newFleetScene(rng, reach)} },
		skip:  skipStop,
	}
}

func skipStop(step string, f injection) string {
	if f == falseSize && (step == "drained" || step == "rebooting" || step == "switched") {
		return "no work is left on the host at this step, so its size has no effect"
	}
	return ""
}

type moveScene struct{ *fleetScene }

func (s *moveScene) play() []string {
	s.tracked = "spare-00"
	for i := 0; s.host(s.tracked).Spec.Pool == "spare" && !s.seen["draining"] && i < 10; i++ {
		s.request = state.HostStep{
			Origin: state.Origin{Actor: "operator", Time: s.time(), ChangeID: "move-1", IssuedAt: epoch},
			Host:   s.tracked, Expected: state.AnyVersion, To: model.HostDraining,
			Stop: &model.PlannedStop{Action: model.StopMove, TargetPool: "web"},
		}
		s.mark("requested")
		if s.pause == 0 && !s.refuse {
			s.first = s.do(s.request)
		}
		s.until(func() bool { return s.pause == 0 && !s.refuse })
	}
	if !s.until(s.isCalm) {
		s.fail("the move does not end: %+v", s.host(s.tracked).Status)
	}
	return s.finish()
}

type waveScene struct{ *fleetScene }

func (s *waveScene) play() []string {
	s.wave = "w"
	w := model.New(model.KindWave).(*model.Wave)
	w.Name = s.wave
	w.Spec = model.WaveSpec{Pools: []string{"web"}, Action: model.StopReboot, Started: true, MaxParallel: 4, StragglerLimitSeconds: 20}
	s.request = state.Put{Origin: state.Origin{Actor: "operator", Time: s.time(), ChangeID: "wave-1", IssuedAt: epoch}, Object: w}
	s.first = s.do(s.request)
	if !s.until(func() bool { return s.isCalm() && s.isOver() }) {
		s.fail("the wave does not end: %+v", s.st.Get(model.Key{Kind: model.KindWave, Name: "w"}).(*model.Wave).Status)
	}
	return s.finish()
}

func (s *waveScene) isOver() bool {
	phase := s.st.Get(model.Key{Kind: model.KindWave, Name: "w"}).(*model.Wave).Status.Phase
	return phase == model.WaveFinished || phase == model.WaveCancelled
}

func (s *fleetScene) inject(f injection) {
	s.repairAt = s.now.Add(fleetRepair)
	if !s.injectMessages(f) && !s.injectProcess(f, s.lead) {
		s.injectHost(f)
	}
}

// injectHost injects the faults of machines and operators.
func (s *fleetScene) injectHost(f injection) {
	m, h := s.machines[s.tracked], s.host(s.tracked)
	switch f {
	case restart:
		// The machine restarts by itself; its work is lost with no plan.
		m.boot++
		m.inFlight = 0
	case failAgain:
		m.up = m.up && !m.backAt.IsZero()
		s.onRepair = append(s.onRepair, func() {
			s.machines[s.neighbour()].up = false
			s.repairAt = s.now.Add(fleetRepair)
		})
	case falseSize:
		m.isStraggler = true
		if !m.draining {
			m.inFlight++
		}
		s.onRepair = append(s.onRepair, func() { m.isStraggler = false })
	case rackLost, zoneLost:
		for _, name := range s.names {
			spec := s.host(name).Spec
			if spec.Zone == h.Spec.Zone && (f == zoneLost || spec.Rack == h.Spec.Rack) && s.machines[name].backAt.IsZero() {
				s.machines[name].up = false
			}
		}
	default:
		s.injectOperator(f, h)
	}
}

func (s *fleetScene) neighbour() string {
	pool := s.host(s.tracked).Spec.Pool
	for _, name := range s.names {
		if name != s.tracked && s.host(name).Spec.Pool == pool {
			return name
		}
	}
	return s.tracked
}

func (s *fleetScene) injectOperator(f injection, h *model.Host) {
	switch f {
	case cancellation:
		if w, ok := s.st.Get(model.Key{Kind: model.KindWave, Name: s.wave}).(*model.Wave); ok {
			next := w.Clone().(*model.Wave)
			next.Spec.Cancelled = true
			// An ended wave refuses it.
			s.do(state.Put{Origin: s.origin(), Object: next, Expected: state.AnyVersion})
			return
		}
		s.do(state.HostStep{Origin: s.origin(), Host: h.Name, Expected: h.Version, Cancel: true})
	case twoOperators:
		s.race(h)
	case resend:
		s.again(s.do)
	default:
		panic("no injection for " + f)
	}
}

// race has two operators ask for different steps of one host version.
func (s *fleetScene) race(h *model.Host) {
	steps := []state.HostStep{
		{Origin: s.origin(), Host: h.Name, Expected: h.Version, Cancel: true},
		{Origin: s.origin(), Host: h.Name, Expected: h.Version, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopDrain}},
		{Origin: s.origin(), Host: h.Name, Expected: h.Version, Cancel: true},
		{Origin: s.origin(), Host: h.Name, Expected: h.Version, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopReboot}},
	}
	taken := 0
	for _, step := range steps {
		if s.do(step).Err == nil {
			taken++
		}
	}
	if taken > 1 {
		s.fail("%d operators succeed on version %d of host %s", taken, h.Version, h.Name)
	}
}

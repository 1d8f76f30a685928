package state

import (
	"slices"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

func (s *State) applyWaveStep(c WaveStep) Result {
	key := model.Key{Kind: model.KindWave, Name: c.Wave}
	stored, ok := s.Get(key).(*model.Wave)
	if !ok {
		return Result{Err: fault.New(fault.NotFound, "%s %s does not exist", key.Kind, key.Name)}
	}
	if err := checkWaveStep(c, stored); err != nil {
		return Result{Object: stored, Err: err}
	}
	wave := *stored
	wave.Status = c.Status
	wave.Status.Done = stored.Status.Done
	wave.Status.Started = stored.Status.Started
	if wave.Status.Started.IsZero() && c.Status.Phase != model.WavePending {
		wave.Status.Started = s.now
	}
	if c.Status.Phase == model.WaveFinished || c.Status.Phase == model.WaveCancelled {
		wave.Status.Finished = s.now
	}
	s.store(&wave)
	if wave.Status.Phase != stored.Status.Phase {
		s.record(c.Origin, "wave "+string(wave.Status.Phase), key, stored.Version, s.version, nil)
	}
	return Result{Object: &wave}
}

func checkWaveStep(c WaveStep, stored *model.Wave) *fault.Error {
	if err := checkVersion(stored.Key(), stored, c.Expected); err != nil {
		return err
	}
	if phase := stored.Status.Phase; phase == model.WaveFinished || phase == model.WaveCancelled {
		return fault.New(fault.Conflict, "wave %s is %s", c.Wave, phase)
	}
	if stored.Spec.Cancelled != (c.Status.Phase == model.WaveCancelled) {
		return fault.New(fault.Conflict, "wave %s cannot become %s, its spec says cancelled: %t", c.Wave, c.Status.Phase, stored.Spec.Cancelled)
	}
	if stored.Spec.Cancelled {
		return nil
	}
	if !stored.Spec.Started && c.Status.Phase != model.WavePending {
		return fault.New(fault.Conflict, "wave %s is not started", c.Wave)
	}
	if stored.Status.Phase != model.WavePending && c.Status.Phase == model.WavePending {
		return fault.New(fault.Conflict, "wave %s has run already", c.Wave)
	}
	return nil
}

// checkWaveStop checks a stop that a wave asks for. A host goes through a wave
// once, and the wave's limit holds whichever planner asks.
func (s *State) checkWaveStop(stop model.PlannedStop, h *model.Host) *fault.Error {
	wave, ok := s.Get(model.Key{Kind: model.KindWave, Name: stop.Wave}).(*model.Wave)
	if !ok {
		return fault.New(fault.NotFound, "wave %s does not exist", stop.Wave)
	}
	switch {
	case wave.Spec.Action != stop.Action:
		return fault.InvalidField("stop.action", string(wave.Spec.Action), "wave %s does not ask for %s", wave.Name, stop.Action)
	case wave.Spec.Cancelled:
		return fault.New(fault.Conflict, "wave %s is cancelled", wave.Name)
	case wave.Spec.Paused:
		return blocked(model.ReasonPaused, "wave %s is paused", wave.Name)
	case wave.Status.Phase == model.WavePaused:
		return blocked(wave.Status.Reason, "wave %s is paused", wave.Name)
	case wave.Status.Phase != model.WaveRunning:
		return fault.New(fault.Conflict, "wave %s is %s", wave.Name, wave.Status.Phase)
	case !slices.Contains(wave.Spec.Pools, h.Spec.Pool):
		return fault.New(fault.Conflict, "wave %s does not cover pool %s", wave.Name, h.Spec.Pool)
	case slices.Contains(wave.Status.Done, h.Name):
		return fault.New(fault.Conflict, "host %s has been through wave %s", h.Name, wave.Name)
	case s.ledger.waveStops[wave.Name] >= wave.Spec.MaxParallel:
		return blocked(model.ReasonParallelLimit, "wave %s has %d hosts in a planned stop", wave.Name, wave.Spec.MaxParallel)
	}
	return nil
}

// finishWaveHost notes that a host has been through a wave, in the entry that
// ends its stop, so that a planner that takes over cannot repeat the host.
func (s *State) finishWaveHost(name, host string) {
	stored, ok := s.Get(model.Key{Kind: model.KindWave, Name: name}).(*model.Wave)
	if !ok || slices.Contains(stored.Status.Done, host) {
		return
	}
	wave := *stored
	done := stored.Status.Done
	if s.evaluates {
		// A command that is only evaluated must not write to the shared array.
		done = slices.Clip(done)
	}
	// The older lists end before the new element, so they can share the array:
	// a copy per host would keep a list of all hosts in each retained event.
	wave.Status.Done = append(done, host)
	s.store(&wave)
}

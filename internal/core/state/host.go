package state

import (
	"cmp"
	"slices"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

// DrainSettleTime is the time after the start of a drain during which a
// partitioned entry host may still send work to the host. It equals the lease of
// an announcement. Only a later report proves that no work is left.
const DrainSettleTime = 3 * time.Second

func hostKey(name string) model.Key { return model.Key{Kind: model.KindHost, Name: name} }

func (s *State) applyHostReport(c HostReport) {
	marks := s.validMarks(c.Marks)
	for _, o := range c.Hosts {
		s.observeHost(o)
	}
	for _, m := range marks {
		s.markPool(m)
	}
}

// observeHost stores an observation unless a newer one is stored.
func (s *State) observeHost(o HostObservation) {
	stored, ok := s.Get(model.Key{Kind: model.KindHost, Name: o.Host}).(*model.Host)
	if !ok || o.Observed.Before(stored.Status.LastReport) {
		return
	}
	host := stored.Clone().(*model.Host)
	if host.Status.Health != o.Health {
		host.Status.HealthSince = s.now
	}
	host.Status.Health = o.Health
	host.Status.InFlight = o.InFlight
	host.Status.BootID = o.BootID
	host.Status.LastReport = s.capAtNow(o.Observed)
	if needsNewVersion(host, stored) {
		s.store(host)
	} else {
		s.set(host)
	}
}

// capAtNow returns t, or the replicated time if t is later. Otherwise, a report
// from a clock that runs ahead would count as recent for too long.
func (s *State) capAtNow(t time.Time) time.Time {
	if t.After(s.now) {
		return s.now
	}
	return t
}

// validMarks returns the marks whose listing was compared with the current
// health and membership of the pool.
func (s *State) validMarks(marks []PoolMark) []PoolMark {
	var valid []PoolMark
	for _, m := range marks {
		if m.Base >= s.capacity.pool(m.Pool).changedVersion {
			valid = append(valid, m)
		}
	}
	return valid
}

// markPool updates Status.Reported of a pool without a new version or an event.
// Marks arrive every few seconds, and with a new version each time, every
// operator's change that expects a version would be refused.
func (s *State) markPool(m PoolMark) {
	stored, ok := s.Get(model.Key{Kind: model.KindPool, Name: m.Pool}).(*model.Pool)
	if !ok || !m.Observed.After(stored.Status.Reported) {
		return
	}
	pool := stored.Clone().(*model.Pool)
	pool.Status.Reported = s.capAtNow(m.Observed)
	s.set(pool)
}

func (s *State) applyHostStep(c HostStep) Result {
	key := hostKey(c.Host)
	stored, ok := s.Get(key).(*model.Host)
	if !ok {
		return Result{Err: fault.New(fault.NotFound, "%s %s does not exist", key.Kind, key.Name)}
	}
	host, err := s.stepHost(c, stored)
	if err != nil {
		s.recordAudit(c.Origin, stepAction(c), key, stored.Version, stored.Version, err)
		return Result{Object: stored, Err: err}
	}
	s.store(host)
	if stop := stored.Status.Stop; stop != nil && host.Status.Stop == nil && isActionCompleted(c, stored) {
		s.markWaveHostDone(stop.Wave, host.Name)
	}
	s.recordAudit(c.Origin, stepAction(c), key, stored.Version, s.version, nil)
	return Result{Object: host}
}

// isActionCompleted reports whether the action of a planned stop that c ended
// was carried out. A host that rebooted but failed to return counts as processed
// by its wave.
func isActionCompleted(c HostStep, stored *model.Host) bool {
	return !c.Cancel || stored.Status.Phase == model.HostReturning
}

// stepAction returns the action of a step in the audit trail.
func stepAction(c HostStep) string {
	switch {
	case c.Cancel:
		return "cancel stop"
	case c.To == "":
		return "update host"
	}
	return "step to " + string(c.To)
}

// stepHost returns the host after the step, or the error that rejects the step.
func (s *State) stepHost(c HostStep, stored *model.Host) (*model.Host, *fault.Error) {
	if err := checkVersion(stored.Key(), stored, c.Expected); err != nil {
		return nil, err
	}
	if c.Epoch != 0 && c.Epoch != stored.Status.Epoch {
		return nil, fault.New(fault.Fenced, "host %s has epoch %d, the step expects %d", c.Host, stored.Status.Epoch, c.Epoch)
	}
	host := stored.Clone().(*model.Host)
	var err *fault.Error
	switch {
	case c.Cancel:
		err = s.cancelStop(host)
	case c.To == "":
		err = updateHost(c, host)
	default:
		err = s.transition(c, host)
	}
	if err != nil {
		return nil, err
	}
	return host, nil
}

// updateHost updates the quarantine of a host, or its planned stop in progress.
func updateHost(c HostStep, h *model.Host) *fault.Error {
	if !c.QuarantineUntil.IsZero() {
		h.Status.QuarantineUntil = c.QuarantineUntil
		return nil
	}
	stop := h.Status.Stop
	if stop == nil {
		return fault.New(fault.Conflict, "host %s is in no planned stop", h.Name)
	}
	stop.Checkpoint = stop.Checkpoint || c.Checkpoint
	stop.Reason, stop.Message = c.Reason, c.Message
	return nil
}

// cancelStop ends a planned stop without its action. A reboot cannot be
// cancelled, so a rebooting host that appears healthy is not made available: it
// may go down at any moment.
func (s *State) cancelStop(h *model.Host) *fault.Error {
	if h.Status.Stop == nil {
		return fault.New(fault.Conflict, "host %s is in no planned stop", h.Name)
	}
	if h.Status.Phase == model.HostRebooting || h.Status.Phase == model.HostReturning {
		if h.Status.Health == model.HealthHealthy && s.isHealthKnown(h) {
			return fault.New(fault.Conflict, "host %s is %s, only the stop of a failed host can be cancelled then", h.Name, h.Status.Phase)
		}
		s.setHealthUnknown(h)
		// A failed return counts as a failure at the current time, so that a wave
		// that breaks its hosts is paused.
		h.Status.HealthSince = s.now
	}
	s.endStop(h)
	return nil
}

// setHealthUnknown sets the health of a healthy host to unknown.
func (s *State) setHealthUnknown(h *model.Host) {
	if h.Status.Health == model.HealthHealthy {
		h.Status.Health = model.HealthUnknown
		h.Status.HealthSince = s.now
	}
}

// endStop makes the host active. The new epoch fences pending steps that were
// decided during the stop.
func (s *State) endStop(h *model.Host) {
	h.Status.Phase = model.HostActive
	h.Status.Stop = nil
	h.Status.Epoch++
}

type phaseChange struct{ from, to model.HostPhase }

// transition moves the host to the phase c.To.
func (s *State) transition(c HostStep, h *model.Host) *fault.Error {
	switch (phaseChange{h.Status.Phase, c.To}) {
	case phaseChange{model.HostActive, model.HostDraining}:
		return s.startStop(c, h)
	case phaseChange{model.HostDraining, model.HostDrained}:
		return s.finishDrain(h)
	case phaseChange{model.HostDrained, model.HostRebooting}:
		return startReboot(h)
	case phaseChange{model.HostRebooting, model.HostReturning}:
		return finishReboot(h)
	case phaseChange{model.HostReturning, model.HostActive}:
		return s.finishReturn(h)
	case phaseChange{model.HostDrained, model.HostActive}:
		return s.activateDrained(h)
	}
	return fault.New(fault.Conflict, "host %s is %s and cannot become %s", h.Name, h.Status.Phase, c.To)
}

// startStop starts a planned stop if the budgets of the pool allow it.
func (s *State) startStop(c HostStep, h *model.Host) *fault.Error {
	if c.Stop == nil {
		return fault.InvalidField("stop", "reboot, drain, move", "a planned stop needs its action")
	}
	stop := *c.Stop
	if err := s.checkAction(stop, h); err != nil {
		return err
	}
	if err := s.checkStop(h); err != nil {
		return err
	}
	stop.Since = s.now
	stop.BootID = h.Status.BootID
	stop.Checkpoint = false
	h.Status.Phase = model.HostDraining
	h.Status.Stop = &stop
	return nil
}

// checkAction returns an error if the action of a planned stop is invalid or not
// allowed for the host.
func (s *State) checkAction(stop model.PlannedStop, h *model.Host) *fault.Error {
	switch stop.Action {
	case model.StopReboot, model.StopDrain:
		if stop.Wave != "" {
			return s.checkWaveStop(stop, h)
		}
		return nil
	case model.StopMove:
		if stop.Wave != "" {
			return fault.InvalidField("stop.wave", "none for a move", "wave is %s", stop.Wave)
		}
		return s.checkMove(stop.TargetPool, h)
	}
	return fault.InvalidField("stop.action", "reboot, drain, move", "value is %q", stop.Action)
}

// checkMove returns an error if the host cannot leave its pool or the target
// pool cannot take it. The move must not have started.
func (s *State) checkMove(target string, h *model.Host) *fault.Error {
	if target == h.Spec.Pool {
		return fault.InvalidField("stop.targetPool", "another pool", "host %s is in pool %s already", h.Name, target)
	}
	source, ok := s.Get(model.Key{Kind: model.KindPool, Name: h.Spec.Pool}).(*model.Pool)
	if ok {
		p := s.capacity.pool(source.Name)
		if remaining := p.Hosts - p.MovesOut - 1; remaining < source.Spec.MinHosts {
			return blockedError(model.ReasonBudget, "pool %s would keep %d hosts, its minimum is %d", source.Name, remaining, source.Spec.MinHosts)
		}
	}
	return s.checkPoolCapacity(target, s.capacity.pool(target).MovesIn)
}

// checkPoolCapacity returns an error if the target pool cannot take one host in
// addition to its hosts and the incoming ones.
func (s *State) checkPoolCapacity(target string, incoming int) *fault.Error {
	pool, ok := s.Get(model.Key{Kind: model.KindPool, Name: target}).(*model.Pool)
	if !ok {
		return fault.New(fault.NotFound, "pool %s does not exist", target)
	}
	hosts := s.capacity.pool(target).Hosts + incoming
	if pool.Spec.MaxHosts > 0 && hosts >= pool.Spec.MaxHosts {
		return blockedError(model.ReasonNoCapacity, "pool %s has or expects %d hosts, its maximum is %d", target, hosts, pool.Spec.MaxHosts)
	}
	return nil
}

// finishDrain requires a report that proves that no work is left, because a
// drain interrupts no work.
func (s *State) finishDrain(h *model.Host) *fault.Error {
	if h.Status.LastReport.Before(h.Status.Stop.Since.Add(DrainSettleTime)) {
		return blockedError(model.ReasonWorkInFlight, "host %s has not been reported since %s after the start of the drain", h.Name, DrainSettleTime)
	}
	if h.Status.Health == model.HealthUnknown {
		return blockedError(model.ReasonHealthUnknown, "host %s is not reported, its work in flight is not known", h.Name)
	}
	if h.Status.InFlight > 0 {
		return blockedError(model.ReasonWorkInFlight, "host %s has %d tasks and requests in flight", h.Name, h.Status.InFlight)
	}
	h.Status.Phase = model.HostDrained
	return nil
}

// startReboot records the boot ID from before the reboot, by which finishReboot
// detects that the host has rebooted.
func startReboot(h *model.Host) *fault.Error {
	if h.Status.Stop.Action != model.StopReboot {
		return fault.New(fault.Conflict, "host %s is stopped for %s, not for a reboot", h.Name, h.Status.Stop.Action)
	}
	if h.Status.BootID == "" {
		return blockedError(model.ReasonHealthUnknown, "host %s has no known boot, its reboot could not be recognised", h.Name)
	}
	h.Status.Stop.BootID = h.Status.BootID
	h.Status.Phase = model.HostRebooting
	return nil
}

func finishReboot(h *model.Host) *fault.Error {
	if h.Status.BootID == "" || h.Status.BootID == h.Status.Stop.BootID {
		return blockedError(model.ReasonRebooting, "host %s still has the boot from before the reboot", h.Name)
	}
	h.Status.Phase = model.HostReturning
	return nil
}

func (s *State) finishReturn(h *model.Host) *fault.Error {
	if h.Status.Health != model.HealthHealthy || !s.isHealthKnown(h) {
		return blockedError(model.ReasonReturning, "host %s is not reported healthy", h.Name)
	}
	s.endStop(h)
	return nil
}

// activateDrained ends a drain or completes a move. A move changes the pool and
// the epoch of the host in the same log entry.
func (s *State) activateDrained(h *model.Host) *fault.Error {
	switch h.Status.Stop.Action {
	case model.StopDrain:
		s.endStop(h)
		return nil
	case model.StopMove:
		return s.finishMove(h)
	case model.StopReboot:
	}
	return fault.New(fault.Conflict, "host %s must reboot before it returns", h.Name)
}

func (s *State) finishMove(h *model.Host) *fault.Error {
	target := h.Status.Stop.TargetPool
	if err := s.checkPoolCapacity(target, 0); err != nil {
		return err
	}
	if !s.isHealthKnown(h) {
		// The target pool may have a recent mark that does not include this host.
		s.setHealthUnknown(h)
	}
	source := h.Spec.Pool
	h.Spec.Pool = target
	h.Generation++
	h.Status.HomePool = s.homePoolAfterMove(source, target)
	h.Status.PoolSince = s.now
	s.endStop(h)
	return nil
}

// homePoolAfterMove returns the spare pool from which a host is borrowed after a
// move, or the empty string if it is not borrowed.
func (s *State) homePoolAfterMove(source, target string) string {
	from, fromFound := s.Get(model.Key{Kind: model.KindPool, Name: source}).(*model.Pool)
	to, toFound := s.Get(model.Key{Kind: model.KindPool, Name: target}).(*model.Pool)
	if fromFound && toFound && from.Spec.Spare && to.Spec.SpareFrom == source {
		return source
	}
	return ""
}

func sortBudgets(budgets []*model.Budget) {
	slices.SortFunc(budgets, func(a, b *model.Budget) int { return cmp.Compare(a.Name, b.Name) })
}

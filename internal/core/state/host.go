package state

import (
	"cmp"
	"slices"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

// DrainSettle is how long after the start of a drain an entry host that is cut
// off from the rest may still send work: the lease of an announcement. Only a
// report from after it proves that no work is left.
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
	host.Status.LastReport = s.notLater(o.Observed)
	if isNewsOf(host, stored) {
		s.store(host)
	} else {
		s.set(host)
	}
}

// notLater keeps a clock that runs ahead from making a report recent for too
// long.
func (s *State) notLater(t time.Time) time.Time {
	if t.After(s.now) {
		return s.now
	}
	return t
}

// validMarks returns the marks whose listing was compared with the current
// health of the pool.
func (s *State) validMarks(marks []PoolMark) []PoolMark {
	var valid []PoolMark
	for _, m := range marks {
		if m.Base >= s.ledger.pool(m.Pool).changed {
			valid = append(valid, m)
		}
	}
	return valid
}

// markPool stores the pool under its old version and without an event: a mark
// comes every few seconds, and a new version would refuse every operator that
// edits the pool.
func (s *State) markPool(m PoolMark) {
	stored, ok := s.Get(model.Key{Kind: model.KindPool, Name: m.Pool}).(*model.Pool)
	if !ok || !m.Observed.After(stored.Status.Reported) {
		return
	}
	pool := stored.Clone().(*model.Pool)
	pool.Status.Reported = s.notLater(m.Observed)
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
		s.record(c.Origin, stepAction(c), key, stored.Version, stored.Version, err)
		return Result{Object: stored, Err: err}
	}
	s.store(host)
	if stop := stored.Status.Stop; stop != nil && host.Status.Stop == nil && isStopDone(c, stored) {
		s.finishWaveHost(stop.Wave, host.Name)
	}
	s.record(c.Origin, stepAction(c), key, stored.Version, s.version, nil)
	return Result{Object: host}
}

// isStopDone tells whether the end of a stop carried its action out. A host
// that rebooted but failed to return has been through its wave.
func isStopDone(c HostStep, stored *model.Host) bool {
	return !c.Cancel || stored.Status.Phase == model.HostReturning
}

func stepAction(c HostStep) string {
	switch {
	case c.Cancel:
		return "cancel stop"
	case c.To == "":
		return "update host"
	}
	return "step to " + string(c.To)
}

// stepHost returns the host after the step, or the reason to refuse it.
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

// cancelStop returns the host to service without the action of the stop. A
// reboot cannot be taken back, so a rebooting host that looks healthy is not
// made available: it may go down any moment.
func (s *State) cancelStop(h *model.Host) *fault.Error {
	if h.Status.Stop == nil {
		return fault.New(fault.Conflict, "host %s is in no planned stop", h.Name)
	}
	if h.Status.Phase == model.HostRebooting || h.Status.Phase == model.HostReturning {
		if h.Status.Health == model.HealthHealthy && s.healthKnown(h) {
			return fault.New(fault.Conflict, "host %s is %s, only the stop of a failed host can be cancelled then", h.Name, h.Status.Phase)
		}
		s.setUnknown(h)
		// A failed return counts as a failure of now, so that a wave that
		// breaks its hosts pauses.
		h.Status.HealthSince = s.now
	}
	s.endStop(h)
	return nil
}

func (s *State) setUnknown(h *model.Host) {
	if h.Status.Health == model.HealthHealthy {
		h.Status.Health = model.HealthUnknown
		h.Status.HealthSince = s.now
	}
}

// endStop makes the host active. The new epoch fences whatever was decided for
// the stop and still is on its way.
func (s *State) endStop(h *model.Host) {
	h.Status.Phase = model.HostActive
	h.Status.Stop = nil
	h.Status.Epoch++
}

type phaseChange struct{ from, to model.HostPhase }

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
		return s.leaveDrained(h)
	}
	return fault.New(fault.Conflict, "host %s is %s and cannot become %s", h.Name, h.Status.Phase, c.To)
}

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

// checkMove checks both ends of a move that has not started.
func (s *State) checkMove(target string, h *model.Host) *fault.Error {
	if target == h.Spec.Pool {
		return fault.InvalidField("stop.targetPool", "another pool", "host %s is in pool %s already", h.Name, target)
	}
	source, ok := s.Get(model.Key{Kind: model.KindPool, Name: h.Spec.Pool}).(*model.Pool)
	if ok {
		p := s.ledger.pool(source.Name)
		if left := p.Hosts - p.MovesOut - 1; left < source.Spec.MinHosts {
			return blocked(model.ReasonBudget, "pool %s would keep %d hosts, its minimum is %d", source.Name, left, source.Spec.MinHosts)
		}
	}
	return s.checkRoom(target, s.ledger.pool(target).MovesIn)
}

// checkRoom tells whether the pool can take one host besides those on the way.
func (s *State) checkRoom(target string, onTheWay int) *fault.Error {
	pool, ok := s.Get(model.Key{Kind: model.KindPool, Name: target}).(*model.Pool)
	if !ok {
		return fault.New(fault.NotFound, "pool %s does not exist", target)
	}
	hosts := s.ledger.pool(target).Hosts + onTheWay
	if pool.Spec.MaxHosts > 0 && hosts >= pool.Spec.MaxHosts {
		return blocked(model.ReasonNoCapacity, "pool %s has or expects %d hosts, its maximum is %d", target, hosts, pool.Spec.MaxHosts)
	}
	return nil
}

// finishDrain needs a report that proves that no work is left: a drain
// interrupts nothing.
func (s *State) finishDrain(h *model.Host) *fault.Error {
	if h.Status.LastReport.Before(h.Status.Stop.Since.Add(DrainSettleTime)) {
		return blocked(model.ReasonWorkInFlight, "host %s has not been reported since %s after the start of the drain", h.Name, DrainSettleTime)
	}
	if h.Status.Health == model.HealthUnknown {
		return blocked(model.ReasonHealthUnknown, "host %s is not reported, its work in flight is not known", h.Name)
	}
	if h.Status.InFlight > 0 {
		return blocked(model.ReasonWorkInFlight, "host %s has %d tasks and requests in flight", h.Name, h.Status.InFlight)
	}
	h.Status.Phase = model.HostDrained
	return nil
}

func startReboot(h *model.Host) *fault.Error {
	if h.Status.Stop.Action != model.StopReboot {
		return fault.New(fault.Conflict, "host %s is stopped for %s, not for a reboot", h.Name, h.Status.Stop.Action)
	}
	if h.Status.BootID == "" {
		return blocked(model.ReasonHealthUnknown, "host %s has no known boot, its reboot could not be recognised", h.Name)
	}
	h.Status.Stop.BootID = h.Status.BootID
	h.Status.Phase = model.HostRebooting
	return nil
}

func finishReboot(h *model.Host) *fault.Error {
	if h.Status.BootID == "" || h.Status.BootID == h.Status.Stop.BootID {
		return blocked(model.ReasonRebooting, "host %s still has the boot from before the reboot", h.Name)
	}
	h.Status.Phase = model.HostReturning
	return nil
}

func (s *State) finishReturn(h *model.Host) *fault.Error {
	if h.Status.Health != model.HealthHealthy || !s.healthKnown(h) {
		return blocked(model.ReasonReturning, "host %s is not reported healthy", h.Name)
	}
	s.endStop(h)
	return nil
}

// leaveDrained ends a drain, or switches the pool of a moved host: pool and
// epoch change in this one entry.
func (s *State) leaveDrained(h *model.Host) *fault.Error {
	switch h.Status.Stop.Action {
	case model.StopDrain:
		s.endStop(h)
		return nil
	case model.StopMove:
		return s.switchPool(h)
	case model.StopReboot:
	}
	return fault.New(fault.Conflict, "host %s must reboot before it returns", h.Name)
}

func (s *State) switchPool(h *model.Host) *fault.Error {
	target := h.Status.Stop.TargetPool
	if err := s.checkRoom(target, 0); err != nil {
		return err
	}
	if !s.healthKnown(h) {
		// The target may have a recent mark that does not cover this host.
		s.setUnknown(h)
	}
	source := h.Spec.Pool
	h.Spec.Pool = target
	h.Generation++
	h.Status.HomePool = s.homeAfter(source, target)
	h.Status.PoolSince = s.now
	s.endStop(h)
	return nil
}

// homeAfter returns the spare pool that a host is borrowed from after a move.
func (s *State) homeAfter(source, target string) string {
	from, ok := s.Get(model.Key{Kind: model.KindPool, Name: source}).(*model.Pool)
	to, found := s.Get(model.Key{Kind: model.KindPool, Name: target}).(*model.Pool)
	if ok && found && from.Spec.Spare && to.Spec.SpareFrom == source {
		return source
	}
	return ""
}

func sortBudgets(list []*model.Budget) {
	slices.SortFunc(list, func(a, b *model.Budget) int { return cmp.Compare(a.Name, b.Name) })
}

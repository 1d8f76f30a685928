package fleet

import (
	"fmt"
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// RebootLimit is how long a host may be absent for a reboot. After it, the stop is
// cancelled, so that a dead host does not occupy a planned stop.
const RebootLimit = 15 * time.Minute

// unhealthySince returns since when a host has not been known to be healthy, or the
// zero time if it is healthy.
func unhealthySince(h *model.Host, reported, now time.Time) time.Time {
	if h.Status.Health != model.HealthHealthy {
		return h.Status.HealthSince
	}
	if state.IsHealthKnown(h, reported, now) {
		return time.Time{}
	}
	if h.Status.LastReport.After(reported) {
		return h.Status.LastReport
	}
	return reported
}

// stragglerLimit returns how long a planned stop waits for work in flight before it
// requests a checkpoint.
func (pl *Planner) stragglerLimit(stop *model.PlannedStop) time.Duration {
	seconds := model.DefaultStragglerLimitSeconds
	if w := pl.waves[stop.Wave]; w != nil {
		seconds = w.wave.Spec.StragglerLimitSeconds
	}
	return time.Duration(seconds) * time.Second
}

// proposeHostStep proposes a step of a host that change completes. The step is valid
// only for the version and epoch of h.
func (pl *Planner) proposeHostStep(h *model.Host, change func(*state.HostStep)) {
	c := state.HostStep{Origin: pl.origin(), Host: h.Name, Expected: h.Version, Epoch: h.Status.Epoch}
	change(&c)
	pl.propose(c)
}

// proposePhase proposes the next phase of a host.
func (pl *Planner) proposePhase(h *model.Host, phase model.HostPhase) {
	pl.proposeHostStep(h, func(c *state.HostStep) { c.To = phase })
}

// cancelStop proposes to cancel the planned stop of a host.
func (pl *Planner) cancelStop(h *model.Host) {
	pl.proposeHostStep(h, func(c *state.HostStep) { c.Cancel = true })
}

// advanceStop proposes the next step of a planned stop, or records what it waits for.
func (pl *Planner) advanceStop(p *poolIndex, h *model.Host, reported time.Time) {
	cancellable := h.Status.Phase == model.HostDraining || h.Status.Phase == model.HostDrained
	if w := pl.waves[h.Status.Stop.Wave]; cancellable && w != nil && w.wave.Spec.Cancelled {
		pl.cancelStop(h)
		return
	}
	switch h.Status.Phase {
	case model.HostActive:
		// An active host is in no planned stop.
	case model.HostDraining:
		pl.advanceDraining(p, h, reported)
	case model.HostDrained:
		pl.advanceDrained(p, h)
	case model.HostRebooting:
		if h.Status.BootID != "" && h.Status.BootID != h.Status.Stop.BootID {
			pl.proposePhase(h, model.HostReturning)
			return
		}
		pl.advanceAbsent(p, h, reported, model.ReasonRebooting, "host is rebooting")
	case model.HostReturning:
		if h.Status.Health == model.HealthHealthy && state.IsHealthKnown(h, reported, pl.now) {
			pl.proposePhase(h, model.HostActive)
			return
		}
		pl.advanceAbsent(p, h, reported, model.ReasonReturning, "host has rebooted and is not reported healthy yet")
	}
}

// advanceAbsent cancels the stop of a host that has been absent for longer than
// RebootLimit. Until then it records the wait.
func (pl *Planner) advanceAbsent(p *poolIndex, h *model.Host, reported time.Time, reason model.Reason, message string) {
	if since := unhealthySince(h, reported, pl.now); !since.IsZero() {
		limit := since.Add(RebootLimit)
		if pl.now.After(limit) {
			pl.cancelStop(h)
			return
		}
		p.nextPlan = earliest(p.nextPlan, limit.Add(time.Millisecond))
	}
	pl.addStopWait(p, h, reason, message)
}

// addStopWait records what a planned stop waits for.
func (pl *Planner) addStopWait(p *poolIndex, h *model.Host, reason model.Reason, message string) {
	pl.addWait(p, Wait{Host: h.Name, Wave: h.Status.Stop.Wave, Reason: reason, Message: message})
}

// advanceDraining marks a host as drained once it has no work in flight, and requests
// a checkpoint at the straggler limit.
func (pl *Planner) advanceDraining(p *poolIndex, h *model.Host, reported time.Time) {
	stop := h.Status.Stop
	limit := pl.stragglerLimit(stop)
	settled := !h.Status.LastReport.Before(stop.Since.Add(state.DrainSettleTime))
	if settled && h.Status.InFlight == 0 && h.Status.Health != model.HealthUnknown {
		pl.proposePhase(h, model.HostDrained)
		return
	}
	if since := unhealthySince(h, reported, pl.now); !since.IsZero() {
		pl.advanceUnhealthy(p, h, since.Add(limit))
		return
	}
	if !settled {
		p.nextPlan = earliest(p.nextPlan, pl.now.Add(time.Second))
		pl.addStopWait(p, h, model.ReasonWorkInFlight, "no report yet from after the drain")
		return
	}
	deadline := stop.Since.Add(limit)
	if !pl.now.Before(deadline) {
		pl.requestCheckpoint(h)
		pl.addStopWait(p, h, model.ReasonStraggler, fmt.Sprintf("%d in flight after %s, checkpoint asked", h.Status.InFlight, limit))
		return
	}
	p.nextPlan = earliest(p.nextPlan, deadline)
	pl.addStopWait(p, h, model.ReasonWorkInFlight, fmt.Sprintf("%d in flight", h.Status.InFlight))
}

// requestCheckpoint proposes to checkpoint the work of a draining host, once per stop.
func (pl *Planner) requestCheckpoint(h *model.Host) {
	if h.Status.Stop.Checkpoint {
		return
	}
	pl.proposeHostStep(h, func(c *state.HostStep) {
		c.Checkpoint = true
		c.Reason = model.ReasonStraggler
		c.Message = fmt.Sprintf("%d in flight at the limit", h.Status.InFlight)
	})
}

// advanceUnhealthy cancels a stop that the planner started if its draining host is
// still not known to be healthy after limit. A stop that an operator started stays
// until the operator decides.
func (pl *Planner) advanceUnhealthy(p *poolIndex, h *model.Host, limit time.Time) {
	stop := h.Status.Stop
	if pl.now.After(limit) && (stop.Wave != "" || stop.Action == model.StopMove) {
		pl.cancelStop(h)
		return
	}
	if !pl.now.After(limit) {
		p.nextPlan = earliest(p.nextPlan, limit.Add(time.Millisecond))
	}
	pl.addStopWait(p, h, model.ReasonHealthUnknown, "host was lost during its drain")
}

// advanceDrained proposes the action of the planned stop of a drained host.
func (pl *Planner) advanceDrained(p *poolIndex, h *model.Host) {
	stop := h.Status.Stop
	switch stop.Action {
	case model.StopReboot:
		pl.proposePhase(h, model.HostRebooting)
	case model.StopDrain:
		if stop.Wave != "" {
			pl.proposePhase(h, model.HostActive)
			return
		}
		pl.addStopWait(p, h, model.ReasonPaused, "host is drained until an operator cancels the stop")
	case model.StopMove:
		pl.advanceMove(h)
	}
}

// advanceMove proposes the change of the pool, or cancels the move if the host failed
// or the target pool is deleted or full.
func (pl *Planner) advanceMove(h *model.Host) {
	target := pl.pools[h.Status.Stop.TargetPool]
	deleted := target == nil || target.pool == nil
	if deleted || h.Status.Health != model.HealthHealthy || target.isFull(len(target.hosts)) {
		pl.cancelStop(h)
		return
	}
	pl.proposePhase(h, model.HostActive)
}

// isFull reports whether a pool with this number of hosts is at its maximum.
func (p *poolIndex) isFull(hosts int) bool {
	return p.pool.Spec.MaxHosts > 0 && hosts >= p.pool.Spec.MaxHosts
}

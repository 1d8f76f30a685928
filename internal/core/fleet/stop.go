package fleet

import (
	"fmt"
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// RebootLimit is how long a host may be away for a reboot. After it, the stop
// ends without success, so that a dead host holds no planned stop.
const RebootLimit = 15 * time.Minute

// lostSince returns since when a host has not been known to be healthy, or the
// zero time if it is.
func lostSince(h *model.Host, reported, now time.Time) time.Time {
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

// stragglerLimit returns how long a stop waits for work in flight.
func (pl *Planner) stragglerLimit(stop *model.PlannedStop) time.Duration {
	seconds := model.DefaultStragglerLimitSeconds
	if w := pl.waves[stop.Wave]; w != nil {
		seconds = w.wave.Spec.StragglerLimitSeconds
	}
	return time.Duration(seconds) * time.Second
}

func (pl *Planner) stepHost(h *model.Host, change func(*state.HostStep)) {
	c := state.HostStep{Origin: pl.origin(), Host: h.Name, Expected: h.Version, Epoch: h.Status.Epoch}
	change(&c)
	pl.propose(c)
}

func (pl *Planner) stepTo(h *model.Host, phase model.HostPhase) {
	pl.stepHost(h, func(c *state.HostStep) { c.To = phase })
}

func (pl *Planner) cancelStop(h *model.Host) {
	pl.stepHost(h, func(c *state.HostStep) { c.Cancel = true })
}

// driveStop plans the next step of a planned stop, or says what it waits for.
func (pl *Planner) driveStop(p *poolIndex, h *model.Host, reported time.Time) {
	before := h.Status.Phase == model.HostDraining || h.Status.Phase == model.HostDrained
	if w := pl.waves[h.Status.Stop.Wave]; before && w != nil && w.wave.Spec.Cancelled {
		pl.cancelStop(h)
		return
	}
	switch h.Status.Phase {
	case model.HostActive:
		// An active host is in no stop.
	case model.HostDraining:
		pl.driveDraining(p, h, reported)
	case model.HostDrained:
		pl.driveDrained(p, h)
	case model.HostRebooting:
		if h.Status.BootID != "" && h.Status.BootID != h.Status.Stop.BootID {
			pl.stepTo(h, model.HostReturning)
			return
		}
		pl.driveAway(p, h, reported, model.ReasonRebooting, "host is rebooting")
	case model.HostReturning:
		if h.Status.Health == model.HealthHealthy && state.IsHealthKnown(h, reported, pl.now) {
			pl.stepTo(h, model.HostActive)
			return
		}
		pl.driveAway(p, h, reported, model.ReasonReturning, "host has rebooted and is not reported healthy yet")
	}
}

// driveAway ends the stop of a host that is away for too long.
func (pl *Planner) driveAway(p *poolIndex, h *model.Host, reported time.Time, reason model.Reason, message string) {
	if since := lostSince(h, reported, pl.now); !since.IsZero() {
		limit := since.Add(RebootLimit)
		if pl.now.After(limit) {
			pl.cancelStop(h)
			return
		}
		p.due = earliest(p.due, limit.Add(time.Millisecond))
	}
	pl.waitStop(p, h, reason, message)
}

func (pl *Planner) waitStop(p *poolIndex, h *model.Host, reason model.Reason, message string) {
	pl.wait(p, Wait{Host: h.Name, Wave: h.Status.Stop.Wave, Reason: reason, Message: message})
}

func (pl *Planner) driveDraining(p *poolIndex, h *model.Host, reported time.Time) {
	stop := h.Status.Stop
	limit := pl.stragglerLimit(stop)
	settled := !h.Status.LastReport.Before(stop.Since.Add(state.DrainSettleTime))
	if settled && h.Status.InFlight == 0 && h.Status.Health != model.HealthUnknown {
		pl.stepTo(h, model.HostDrained)
		return
	}
	if since := lostSince(h, reported, pl.now); !since.IsZero() {
		pl.driveLost(p, h, since.Add(limit))
		return
	}
	if !settled {
		p.due = earliest(p.due, pl.now.Add(time.Second))
		pl.waitStop(p, h, model.ReasonWorkInFlight, "no report yet from after the drain")
		return
	}
	late := stop.Since.Add(limit)
	if !pl.now.Before(late) {
		pl.askCheckpoint(h)
		pl.waitStop(p, h, model.ReasonStraggler, fmt.Sprintf("%d in flight after %s, checkpoint asked", h.Status.InFlight, limit))
		return
	}
	p.due = earliest(p.due, late)
	pl.waitStop(p, h, model.ReasonWorkInFlight, fmt.Sprintf("%d in flight", h.Status.InFlight))
}

func (pl *Planner) askCheckpoint(h *model.Host) {
	if h.Status.Stop.Checkpoint {
		return
	}
	pl.stepHost(h, func(c *state.HostStep) {
		c.Checkpoint = true
		c.Reason = model.ReasonStraggler
		c.Message = fmt.Sprintf("%d in flight at the limit", h.Status.InFlight)
	})
}

// driveLost gives up a stop that the planner asked for once its host has been
// lost for too long. An operator decides on a stop of their own.
func (pl *Planner) driveLost(p *poolIndex, h *model.Host, limit time.Time) {
	stop := h.Status.Stop
	if pl.now.After(limit) && (stop.Wave != "" || stop.Action == model.StopMove) {
		pl.cancelStop(h)
		return
	}
	if !pl.now.After(limit) {
		p.due = earliest(p.due, limit.Add(time.Millisecond))
	}
	pl.waitStop(p, h, model.ReasonHealthUnknown, "host was lost during its drain")
}

func (pl *Planner) driveDrained(p *poolIndex, h *model.Host) {
	stop := h.Status.Stop
	switch stop.Action {
	case model.StopReboot:
		pl.stepTo(h, model.HostRebooting)
	case model.StopDrain:
		if stop.Wave != "" {
			pl.stepTo(h, model.HostActive)
			return
		}
		pl.waitStop(p, h, model.ReasonPaused, "host is drained until an operator cancels the stop")
	case model.StopMove:
		pl.driveSwitch(h)
	}
}

// driveSwitch switches the pool, or gives the move up if the host failed or the
// target has no room.
func (pl *Planner) driveSwitch(h *model.Host) {
	target := pl.pools[h.Status.Stop.TargetPool]
	gone := target == nil || target.pool == nil
	if gone || h.Status.Health != model.HealthHealthy || target.full(len(target.hosts)) {
		pl.cancelStop(h)
		return
	}
	pl.stepTo(h, model.HostActive)
}

// full tells whether a pool with this many hosts takes no more.
func (p *poolIndex) full(hosts int) bool {
	return p.pool.Spec.MaxHosts > 0 && hosts >= p.pool.Spec.MaxHosts
}

package fleet

import (
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Drains remembers since when the platform lists each draining host as
// draining. The call that drains a host may be lost or late; until the platform
// has carried it out, and for state.DrainSettle after that, the host gets new
// work, so an observation without work in flight proves nothing. The leader's
// goroutine owns it; a new leader starts without the memory and waits again.
type DrainTracker struct {
	since map[string]drainSeen
}

type drainSeen struct {
	epoch uint64
	at    time.Time
}

// NewDrains returns an empty memory.
func NewDrainTracker() *DrainTracker { return &DrainTracker{since: make(map[string]drainSeen)} }

// Observations returns what a listing says of the hosts. A host that may still
// get new work counts as having some.
func (d *DrainTracker) Observations(snap *state.Snapshot, machines []Machine) []state.HostObservation {
	list := make([]state.HostObservation, 0, len(machines))
	for _, m := range machines {
		o := m.HostObservation
		h, ok := snap.Get(model.Key{Kind: model.KindHost, Name: m.Host}).(*model.Host)
		if ok && h.Status.Phase == model.HostDraining {
			if !d.isSettled(m, h.Status.Epoch) {
				o.InFlight = max(o.InFlight, 1)
			}
		} else {
			delete(d.since, m.Host)
		}
		list = append(list, o)
	}
	return list
}

func (d *DrainTracker) isSettled(m Machine, epoch uint64) bool {
	if !m.Draining || m.Epoch != epoch {
		delete(d.since, m.Host)
		return false
	}
	seen, ok := d.since[m.Host]
	if !ok || seen.epoch != epoch {
		d.since[m.Host] = drainSeen{epoch: epoch, at: m.Observed}
		return false
	}
	return m.Observed.Sub(seen.at) >= state.DrainSettleTime
}

// Unserved returns the hosts that are active again and that the platform still
// keeps from work, because the call that returns them to service was lost or is
// late. They are no capacity yet.
func StillDraining(snap *state.Snapshot, machines []Machine) map[string]bool {
	unserved := make(map[string]bool)
	for _, m := range machines {
		h, ok := snap.Get(model.Key{Kind: model.KindHost, Name: m.Host}).(*model.Host)
		if ok && m.Draining && h.Status.Phase == model.HostActive {
			unserved[m.Host] = true
		}
	}
	return unserved
}

package fleet

import (
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// DrainTracker tracks since when the platform lists each draining host as draining.
// The call that drains a host can be lost or delayed. Until the platform has
// executed it, and for state.DrainSettleTime after that, the host may get new work,
// so an observation without work in flight does not show that it is drained. It is
// owned by the leader's goroutine and not replicated; a new leader starts with an
// empty tracker and waits again.
type DrainTracker struct {
	firstListed map[string]drainRecord
}

// drainRecord is when the platform first listed a host as draining, and the epoch of
// that drain.
type drainRecord struct {
	epoch uint64
	at    time.Time
}

// NewDrainTracker returns an empty tracker.
func NewDrainTracker() *DrainTracker { return &DrainTracker{firstListed: make(map[string]drainRecord)} }

// Observations returns the observations of a listing. A host that may still get new
// work is given at least one request in flight.
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
			delete(d.firstListed, m.Host)
		}
		list = append(list, o)
	}
	return list
}

// isSettled reports whether the platform has listed the host as draining under the
// epoch for at least state.DrainSettleTime.
func (d *DrainTracker) isSettled(m Machine, epoch uint64) bool {
	if !m.Draining || m.Epoch != epoch {
		delete(d.firstListed, m.Host)
		return false
	}
	record, ok := d.firstListed[m.Host]
	if !ok || record.epoch != epoch {
		d.firstListed[m.Host] = drainRecord{epoch: epoch, at: m.Observed}
		return false
	}
	return m.Observed.Sub(record.at) >= state.DrainSettleTime
}

// StillDraining returns the hosts that are active in the state but still draining on
// the platform, because the call that returns them to service was lost or is
// delayed. They do not count as capacity yet.
func StillDraining(snap *state.Snapshot, machines []Machine) map[string]bool {
	stillDraining := make(map[string]bool)
	for _, m := range machines {
		h, ok := snap.Get(model.Key{Kind: model.KindHost, Name: m.Host}).(*model.Host)
		if ok && m.Draining && h.Status.Phase == model.HostActive {
			stillDraining[m.Host] = true
		}
	}
	return stillDraining
}

package fleet

import (
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// MarkInterval is how often an unchanged pool is marked as reported. Two marks
// may be lost before the health of the pool counts as unknown.
const MarkInterval = 3 * time.Second

// Report compares a listing of the platform with the snapshot and returns the
// entry that brings the state up to date, or false if none is needed.
//
// Only hosts that changed get an observation of their own: 16,000 hosts that
// are each reported every few seconds would cost a hundred times what a control
// process may send. The others are covered by one mark per pool and
// MarkInterval, which says that the whole pool was listed unchanged. A host that
// the listing leaves out, or whose sample is too old, becomes unknown by an
// observation, so a mark never covers it.
func Report(snap *state.Snapshot, listing []state.HostObservation, now time.Time) (state.HostReport, bool) {
	listed := make(map[string]state.HostObservation, len(listing))
	for _, o := range listing {
		listed[o.Host] = o
	}
	report := state.HostReport{Origin: state.Origin{Actor: Actor, Source: "platform", Time: now}}
	oldest := make(map[string]time.Time)
	for _, obj := range snap.List(model.KindHost) {
		h := obj.(*model.Host)
		o, known := listed[h.Name]
		if known = known && now.Sub(o.Observed) <= state.MaxHealthAge; known {
			oldest[h.Spec.Pool] = earliest(oldest[h.Spec.Pool], o.Observed)
		} else {
			o = state.HostObservation{Host: h.Name, Health: model.HealthUnknown, InFlight: h.Status.InFlight, BootID: h.Status.BootID, Observed: now}
		}
		if needsObservation(h, o) {
			report.Hosts = append(report.Hosts, o)
		}
	}
	for _, obj := range snap.List(model.KindPool) {
		pool := obj.(*model.Pool)
		at, ok := oldest[pool.Name]
		if ok && at.Sub(pool.Status.Reported) >= MarkInterval {
			report.Marks = append(report.Marks, state.PoolMark{Pool: pool.Name, Observed: at, Base: snap.Version})
		}
	}
	return report, len(report.Hosts)+len(report.Marks) > 0
}

// needsObservation tells whether the host differs from what is stored. The
// work in flight of an active host is no reason: only a drain waits for it.
func needsObservation(h *model.Host, o state.HostObservation) bool {
	if o.Health != h.Status.Health || o.BootID != h.Status.BootID {
		return true
	}
	stop := h.Status.Stop
	if stop == nil {
		return false
	}
	settled := stop.Since.Add(state.DrainSettleTime)
	return o.InFlight != h.Status.InFlight || h.Status.LastReport.Before(settled) && !o.Observed.Before(settled)
}

package fleet

import (
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// MarkInterval is the interval at which an unchanged pool is marked as reported. Two
// marks may be lost before the health of the pool counts as unknown.
const MarkInterval = 3 * time.Second

// Report compares a listing of the platform with the snapshot. It returns the command
// that updates the state, and false if none is needed.
//
// Only hosts that changed get an observation of their own. Reporting each of 16,000
// hosts every few seconds would cost a hundred times the traffic that a control
// replica may send. The other hosts are covered by one mark per pool and
// MarkInterval, which states that the whole pool was listed unchanged. A host that
// is missing from the listing, or whose sample is too old, gets an observation
// with unknown health, so a mark never covers it.
func Report(snap *state.Snapshot, listing []state.HostObservation, now time.Time) (state.HostReport, bool) {
	byHost := make(map[string]state.HostObservation, len(listing))
	for _, o := range listing {
		byHost[o.Host] = o
	}
	report := state.HostReport{Origin: state.Origin{Actor: Actor, Source: "platform", Time: now}}
	oldest := make(map[string]time.Time)
	for _, obj := range snap.List(model.KindHost) {
		h := obj.(*model.Host)
		o, isKnown := byHost[h.Name]
		if isKnown = isKnown && now.Sub(o.Observed) <= state.MaxHealthAge; isKnown {
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

// needsObservation reports whether an observation differs from the stored host enough
// to be committed. The work in flight counts only during a planned stop, because
// only a drain waits for it.
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

// Package explain derives from the state why resources wait, as typed values and
// as sentences for operators.
package explain

import (
	"cmp"
	"slices"
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Wait is a reason for which a resource waits, with the figures behind it.
type Wait struct {
	Kind   model.Kind   `json:"kind"`
	Name   string       `json:"name"`
	Reason model.Reason `json:"reason"`
	// Message is the planner's message, if it gave one.
	Message string    `json:"message,omitempty"`
	Since   time.Time `json:"since,omitzero"`
	Until   time.Time `json:"until,omitzero"`
	// Pool is the pool that the wait concerns. The figures up to MaxPlannedStops are
	// set if the reason depends on the hosts of the pool.
	Pool            string `json:"pool,omitempty"`
	Hosts           int    `json:"hosts,omitempty"`
	Healthy         int    `json:"healthy,omitempty"`
	Needed          int    `json:"needed,omitempty"`
	PlannedStops    int    `json:"plannedStops,omitempty"`
	MaxPlannedStops int    `json:"maxPlannedStops,omitempty"`
	// Tasks is the number of tasks of a job that wait for this reason.
	Tasks int `json:"tasks,omitempty"`
	// InFlight is the work in flight on a host.
	InFlight int `json:"inFlight,omitempty"`
}

// Waits returns why a resource and the resources that it contains wait, or nil if
// nothing does.
func Waits(snap *state.Snapshot, key model.Key) []Wait {
	switch o := snap.Get(key).(type) {
	case *model.Host:
		return hostWaits(snap, o)
	case *model.Wave:
		return waveWaits(snap, o)
	case *model.Job:
		return jobWaits(o)
	case *model.Budget:
		return budgetWaits(snap, o)
	case *model.Pool:
		return poolWaits(snap, o)
	}
	return nil
}

func hostWaits(snap *state.Snapshot, h *model.Host) []Wait {
	var list []Wait
	if reason := stopReason(h); reason != model.ReasonNone {
		w := Wait{Kind: model.KindHost, Name: h.Name, Reason: reason, InFlight: h.Status.InFlight}
		if stop := h.Status.Stop; stop != nil {
			w.Message, w.Since = stop.Message, stop.Since
		}
		list = append(list, withPoolFigures(snap, w, h.Spec.Pool))
	}
	if h.Status.QuarantineUntil.After(snap.Now) {
		list = append(list, Wait{Kind: model.KindHost, Name: h.Name, Reason: model.ReasonQuarantined, Until: h.Status.QuarantineUntil})
	}
	if h.Status.Health == model.HealthUnknown {
		list = append(list, Wait{Kind: model.KindHost, Name: h.Name, Reason: model.ReasonHealthUnknown, Since: h.Status.LastReport})
	}
	return list
}

// stopReason returns the reason that the planner gave for a stop, or the one that
// the phase of the host implies.
func stopReason(h *model.Host) model.Reason {
	if stop := h.Status.Stop; stop != nil && stop.Reason != model.ReasonNone {
		return stop.Reason
	}
	switch h.Status.Phase {
	case model.HostDraining:
		return model.ReasonWorkInFlight
	case model.HostRebooting:
		return model.ReasonRebooting
	case model.HostReturning:
		return model.ReasonReturning
	default:
		return model.ReasonNone
	}
}

func waveWaits(snap *state.Snapshot, w *model.Wave) []Wait {
	var list []Wait
	if w.Status.Reason != model.ReasonNone {
		list = append(list, Wait{Kind: model.KindWave, Name: w.Name, Reason: w.Status.Reason, Message: w.Status.Message})
	}
	for _, name := range w.Status.Stopped {
		if h, ok := snap.Get(model.Key{Kind: model.KindHost, Name: name}).(*model.Host); ok {
			list = append(list, hostWaits(snap, h)...)
		}
	}
	for _, entry := range w.Status.Waiting {
		wait := Wait{Kind: model.KindHost, Name: entry.Host, Reason: entry.Reason, Message: entry.Message}
		if h, ok := snap.Get(model.Key{Kind: model.KindHost, Name: entry.Host}).(*model.Host); ok {
			wait = withPoolFigures(snap, wait, h.Spec.Pool)
		}
		list = append(list, wait)
	}
	return list
}

// jobWaits groups the tasks of a job by reason, so that a large job has few waits.
func jobWaits(j *model.Job) []Wait {
	byReason := make(map[model.Reason]*Wait)
	var list []*Wait
	for _, task := range j.Status.Tasks {
		if task.Reason == model.ReasonNone {
			continue
		}
		w := byReason[task.Reason]
		if w == nil {
			w = &Wait{Kind: model.KindJob, Name: j.Name, Reason: task.Reason, Message: task.Message, Pool: j.Spec.Pool}
			byReason[task.Reason] = w
			list = append(list, w)
		}
		w.Tasks++
		if task.RetryAfter.After(w.Until) {
			w.Until = task.RetryAfter
		}
	}
	if len(list) == 0 && j.Status.Reason != model.ReasonNone {
		return []Wait{{Kind: model.KindJob, Name: j.Name, Reason: j.Status.Reason, Message: j.Status.Message, Pool: j.Spec.Pool}}
	}
	slices.SortStableFunc(list, func(a, b *Wait) int { return cmp.Compare(b.Tasks, a.Tasks) })
	waits := make([]Wait, 0, len(list))
	for _, w := range list {
		waits = append(waits, *w)
	}
	return waits
}

func budgetWaits(snap *state.Snapshot, b *model.Budget) []Wait {
	if b.Status.Reason == model.ReasonNone {
		return nil
	}
	w := Wait{Kind: model.KindBudget, Name: b.Name, Reason: b.Status.Reason, Message: b.Status.Message}
	return []Wait{withPoolFigures(snap, w, b.Spec.Pool)}
}

func poolWaits(snap *state.Snapshot, p *model.Pool) []Wait {
	var list []Wait
	for _, c := range p.Status.Conditions {
		if c.Reason != model.ReasonNone {
			w := Wait{Kind: model.KindPool, Name: p.Name, Reason: c.Reason, Message: c.Message, Since: c.LastTransitionTime}
			list = append(list, withPoolFigures(snap, w, p.Name))
		}
	}
	if b := findBudget(snap, p.Name); b != nil {
		list = append(list, budgetWaits(snap, b)...)
	}
	for _, obj := range snap.List(model.KindHost) {
		if h := obj.(*model.Host); h.Spec.Pool == p.Name {
			list = append(list, hostWaits(snap, h)...)
		}
	}
	return list
}

// findBudget returns the budget of a pool, or nil.
func findBudget(snap *state.Snapshot, pool string) *model.Budget {
	for _, obj := range snap.List(model.KindBudget) {
		if b := obj.(*model.Budget); b.Spec.Pool == pool {
			return b
		}
	}
	return nil
}

// withPoolFigures returns the wait with its pool and, if the reason depends on the
// hosts of the pool, with the figures of the pool.
func withPoolFigures(snap *state.Snapshot, w Wait, pool string) Wait {
	w.Pool = pool
	switch w.Reason {
	case model.ReasonBudget, model.ReasonBudgetBroken, model.ReasonRackSurvival, model.ReasonZoneSurvival, model.ReasonSurgeReserve, model.ReasonParallelLimit:
	default:
		return w
	}
	for _, obj := range snap.List(model.KindHost) {
		h := obj.(*model.Host)
		if h.Spec.Pool != pool {
			continue
		}
		w.Hosts++
		if h.Available() {
			w.Healthy++
		}
		if h.Status.Stop != nil {
			w.PlannedStops++
		}
	}
	if b := findBudget(snap, pool); b != nil {
		w.Needed = max(b.Spec.MinHealthy, b.Status.Needed)
		w.MaxPlannedStops = b.Spec.MaxPlannedStops
	}
	return w
}

// Package explain tells from the state why something waits, as typed values
// and as sentences for operators.
package explain

import (
	"cmp"
	"slices"
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Wait is one thing that waits, with its reason and the figures behind it.
type Wait struct {
	Kind   model.Kind   `json:"kind"`
	Name   string       `json:"name"`
	Reason model.Reason `json:"reason"`
	// Message is what the planner said.
	Message string    `json:"message,omitempty"`
	Since   time.Time `json:"since,omitzero"`
	Until   time.Time `json:"until,omitzero"`
	// Pool is the pool whose figures follow, if the reason is about one.
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

// Waits returns what waits in a resource, or nil if nothing does.
func Waits(snap *state.Snapshot, key model.Key) []Wait {
	switch o := snap.Get(key).(type) {
	case *model.Host:
		return ofHost(snap, o)
	case *model.Wave:
		return ofWave(snap, o)
	case *model.Job:
		return ofJob(o)
	case *model.Budget:
		return ofBudget(snap, o)
	case *model.Pool:
		return ofPool(snap, o)
	}
	return nil
}

func ofHost(snap *state.Snapshot, h *model.Host) []Wait {
	var list []Wait
	if reason := stopReason(h); reason != model.ReasonNone {
		w := Wait{Kind: model.KindHost, Name: h.Name, Reason: reason, InFlight: h.Status.InFlight}
		if stop := h.Status.Stop; stop != nil {
			w.Message, w.Since = stop.Message, stop.Since
		}
		list = append(list, withFigures(snap, w, h.Spec.Pool))
	}
	if h.Status.QuarantineUntil.After(snap.Now) {
		list = append(list, Wait{Kind: model.KindHost, Name: h.Name, Reason: model.ReasonQuarantined, Until: h.Status.QuarantineUntil})
	}
	if h.Status.Health == model.HealthUnknown {
		list = append(list, Wait{Kind: model.KindHost, Name: h.Name, Reason: model.ReasonHealthUnknown, Since: h.Status.LastReport})
	}
	return list
}

// stopReason is the reason that the planner gave, or the one that the phase
// implies.
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

func ofWave(snap *state.Snapshot, w *model.Wave) []Wait {
	var list []Wait
	if w.Status.Reason != model.ReasonNone {
		list = append(list, Wait{Kind: model.KindWave, Name: w.Name, Reason: w.Status.Reason, Message: w.Status.Message})
	}
	for _, name := range w.Status.Stopped {
		if h, ok := snap.Get(model.Key{Kind: model.KindHost, Name: name}).(*model.Host); ok {
			list = append(list, ofHost(snap, h)...)
		}
	}
	for _, entry := range w.Status.Waiting {
		wait := Wait{Kind: model.KindHost, Name: entry.Host, Reason: entry.Reason, Message: entry.Message}
		if h, ok := snap.Get(model.Key{Kind: model.KindHost, Name: entry.Host}).(*model.Host); ok {
			wait = withFigures(snap, wait, h.Spec.Pool)
		}
		list = append(list, wait)
	}
	return list
}

// ofJob groups the tasks of a job by reason, so that a large job has few lines.
func ofJob(j *model.Job) []Wait {
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

func ofBudget(snap *state.Snapshot, b *model.Budget) []Wait {
	if b.Status.Reason == model.ReasonNone {
		return nil
	}
	w := Wait{Kind: model.KindBudget, Name: b.Name, Reason: b.Status.Reason, Message: b.Status.Message}
	return []Wait{withFigures(snap, w, b.Spec.Pool)}
}

func ofPool(snap *state.Snapshot, p *model.Pool) []Wait {
	var list []Wait
	for _, c := range p.Status.Conditions {
		if c.Reason != model.ReasonNone {
			w := Wait{Kind: model.KindPool, Name: p.Name, Reason: c.Reason, Message: c.Message, Since: c.LastTransitionTime}
			list = append(list, withFigures(snap, w, p.Name))
		}
	}
	if b := budgetOf(snap, p.Name); b != nil {
		list = append(list, ofBudget(snap, b)...)
	}
	for _, obj := range snap.List(model.KindHost) {
		if h := obj.(*model.Host); h.Spec.Pool == p.Name {
			list = append(list, ofHost(snap, h)...)
		}
	}
	return list
}

func budgetOf(snap *state.Snapshot, pool string) *model.Budget {
	for _, obj := range snap.List(model.KindBudget) {
		if b := obj.(*model.Budget); b.Spec.Pool == pool {
			return b
		}
	}
	return nil
}

// withFigures adds the figures of a pool to a wait whose reason is about it.
func withFigures(snap *state.Snapshot, w Wait, pool string) Wait {
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
	if b := budgetOf(snap, pool); b != nil {
		w.Needed = max(b.Spec.MinHealthy, b.Status.Needed)
		w.MaxPlannedStops = b.Spec.MaxPlannedStops
	}
	return w
}

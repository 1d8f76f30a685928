package model

import (
	"maps"
	"slices"
)

// Clone implements Object.
func (p *Pool) Clone() Object {
	clone := *p
	clone.Status.Conditions = slices.Clone(p.Status.Conditions)
	return &clone
}

// Clone implements Object.
func (h *Host) Clone() Object {
	clone := *h
	if h.Status.Stop != nil {
		stop := *h.Status.Stop
		clone.Status.Stop = &stop
	}
	return &clone
}

// Clone implements Object.
func (j *Job) Clone() Object {
	clone := *j
	clone.Status.Tasks = slices.Clone(j.Status.Tasks)
	return &clone
}

// Clone implements Object.
func (b *Budget) Clone() Object {
	clone := *b
	return &clone
}

// Clone implements Object.
func (w *Wave) Clone() Object {
	clone := *w
	clone.Spec.Pools = slices.Clone(w.Spec.Pools)
	clone.Status.Done = slices.Clone(w.Status.Done)
	clone.Status.Stopped = slices.Clone(w.Status.Stopped)
	clone.Status.Skipped = slices.Clone(w.Status.Skipped)
	clone.Status.Waiting = slices.Clone(w.Status.Waiting)
	return &clone
}

// Clone implements Object.
func (t *Team) Clone() Object {
	clone := *t
	return &clone
}

// Clone implements Object.
func (c *Config) Clone() Object {
	clone := *c
	clone.Spec.Values = maps.Clone(c.Spec.Values)
	return &clone
}

// CopyStatusFrom implements Object.
func (p *Pool) CopyStatusFrom(stored Object) { p.Status = stored.Clone().(*Pool).Status }

// CopyStatusFrom implements Object.
func (h *Host) CopyStatusFrom(stored Object) { h.Status = stored.Clone().(*Host).Status }

// CopyStatusFrom implements Object.
func (j *Job) CopyStatusFrom(stored Object) { j.Status = stored.Clone().(*Job).Status }

// CopyStatusFrom implements Object.
func (b *Budget) CopyStatusFrom(stored Object) { b.Status = stored.Clone().(*Budget).Status }

// CopyStatusFrom implements Object.
func (w *Wave) CopyStatusFrom(stored Object) { w.Status = stored.Clone().(*Wave).Status }

// CopyStatusFrom implements Object.
func (t *Team) CopyStatusFrom(stored Object) { t.Status = stored.Clone().(*Team).Status }

// CopyStatusFrom implements Object. A configuration has no status.
func (c *Config) CopyStatusFrom(Object) {}

// SpecEqual implements Object.
func (p *Pool) SpecEqual(other Object) bool { return p.Spec == other.(*Pool).Spec }

// SpecEqual implements Object.
func (h *Host) SpecEqual(other Object) bool { return h.Spec == other.(*Host).Spec }

// SpecEqual implements Object.
func (j *Job) SpecEqual(other Object) bool { return j.Spec == other.(*Job).Spec }

// SpecEqual implements Object.
func (b *Budget) SpecEqual(other Object) bool { return b.Spec == other.(*Budget).Spec }

// SpecEqual implements Object.
func (w *Wave) SpecEqual(other Object) bool {
	o := other.(*Wave).Spec
	s := w.Spec
	return slices.Equal(s.Pools, o.Pools) && s.Action == o.Action && s.Started == o.Started && s.Paused == o.Paused && s.Cancelled == o.Cancelled &&
		s.MaxParallel == o.MaxParallel && s.StragglerLimitSeconds == o.StragglerLimitSeconds &&
		s.PauseOnFailures == o.PauseOnFailures && s.FailureWindowSeconds == o.FailureWindowSeconds
}

// SpecEqual implements Object.
func (t *Team) SpecEqual(other Object) bool { return t.Spec == other.(*Team).Spec }

// SpecEqual implements Object.
func (c *Config) SpecEqual(other Object) bool {
	return maps.Equal(c.Spec.Values, other.(*Config).Spec.Values)
}

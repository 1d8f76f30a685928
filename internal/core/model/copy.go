package model

import (
	"maps"
	"slices"
)

// Clone implements Object.
func (p *Pool) Clone() Object {
	c := *p
	c.Status.Conditions = slices.Clone(p.Status.Conditions)
	return &c
}

// Clone implements Object.
func (h *Host) Clone() Object {
	c := *h
	if h.Status.Stop != nil {
		stop := *h.Status.Stop
		c.Status.Stop = &stop
	}
	return &c
}

// Clone implements Object.
func (j *Job) Clone() Object {
	c := *j
	c.Status.Tasks = slices.Clone(j.Status.Tasks)
	return &c
}

// Clone implements Object.
func (b *Budget) Clone() Object {
	c := *b
	return &c
}

// Clone implements Object.
func (w *Wave) Clone() Object {
	c := *w
	c.Spec.Pools = slices.Clone(w.Spec.Pools)
	c.Status.Done = slices.Clone(w.Status.Done)
	c.Status.Stopped = slices.Clone(w.Status.Stopped)
	c.Status.Skipped = slices.Clone(w.Status.Skipped)
	c.Status.Waiting = slices.Clone(w.Status.Waiting)
	return &c
}

// Clone implements Object.
func (t *Team) Clone() Object {
	c := *t
	return &c
}

// Clone implements Object.
func (c *Config) Clone() Object {
	n := *c
	n.Spec.Values = maps.Clone(c.Spec.Values)
	return &n
}

// KeepStatus implements Object.
func (p *Pool) CopyStatusFrom(stored Object) { p.Status = stored.Clone().(*Pool).Status }

// KeepStatus implements Object.
func (h *Host) CopyStatusFrom(stored Object) { h.Status = stored.Clone().(*Host).Status }

// KeepStatus implements Object.
func (j *Job) CopyStatusFrom(stored Object) { j.Status = stored.Clone().(*Job).Status }

// KeepStatus implements Object.
func (b *Budget) CopyStatusFrom(stored Object) { b.Status = stored.Clone().(*Budget).Status }

// KeepStatus implements Object.
func (w *Wave) CopyStatusFrom(stored Object) { w.Status = stored.Clone().(*Wave).Status }

// KeepStatus implements Object.
func (t *Team) CopyStatusFrom(stored Object) { t.Status = stored.Clone().(*Team).Status }

// KeepStatus implements Object. A configuration has no status.
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

package model

// Defaults of spec fields. They are conservative: one host is stopped at a
// time, and no pool borrows hosts.
const (
	DefaultSurgeFactor           = 5.0
	DefaultRolloutWeight         = 0.5
	DefaultMinDwellSeconds       = 600
	DefaultMaxPlannedStops       = 1
	DefaultMaxParallel           = 1
	DefaultStragglerLimitSeconds = 300
	DefaultPauseOnFailures       = 2
	DefaultFailureWindowSeconds  = 60
)

// setDefaultInt sets v to def if it is zero.
func setDefaultInt(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}

// SetDefaults implements Object.
func (p *Pool) SetDefaults() {
	if p.Spec.Service == "" {
		p.Spec.Service = p.Name
	}
	if p.Spec.SurgeFactor == 0 {
		p.Spec.SurgeFactor = DefaultSurgeFactor
	}
	setDefaultInt(&p.Spec.MinDwellSeconds, DefaultMinDwellSeconds)
}

// SetDefaults implements Object.
func (h *Host) SetDefaults() {
	if h.Status.Phase == "" {
		h.Status.Phase = HostActive
	}
	if h.Status.Health == "" {
		h.Status.Health = HealthUnknown
	}
	if h.Status.Epoch == 0 {
		h.Status.Epoch = 1
	}
}

// SetDefaults implements Object.
func (j *Job) SetDefaults() {
	setDefaultInt(&j.Spec.Tasks, 1)
	setDefaultInt(&j.Spec.Cores, 1)
}

// SetDefaults implements Object.
func (b *Budget) SetDefaults() {
	setDefaultInt(&b.Spec.MaxPlannedStops, DefaultMaxPlannedStops)
}

// SetDefaults implements Object.
func (w *Wave) SetDefaults() {
	if w.Spec.Action == "" {
		w.Spec.Action = StopReboot
	}
	if w.Status.Phase == "" {
		w.Status.Phase = WavePending
	}
	setDefaultInt(&w.Spec.MaxParallel, DefaultMaxParallel)
	setDefaultInt(&w.Spec.StragglerLimitSeconds, DefaultStragglerLimitSeconds)
	setDefaultInt(&w.Spec.PauseOnFailures, DefaultPauseOnFailures)
	setDefaultInt(&w.Spec.FailureWindowSeconds, DefaultFailureWindowSeconds)
}

// SetDefaults implements Object.
func (t *Team) SetDefaults() {}

// SetDefaults implements Object.
func (c *Config) SetDefaults() {
	if c.Spec.Values == nil {
		c.Spec.Values = map[string]string{}
	}
}

package model

// Defaults of the specs. They are safe: one host at a time, no borrowing.
const (
	DefaultSurgeFactor          = 5.0
	DefaultRolloutWeight        = 0.5
	DefaultMinDwellSeconds      = 600
	DefaultMaxPlannedStops      = 1
	DefaultMaxParallel          = 1
	DefaultStragglerLimitSeconds     = 300
	DefaultPauseOnFailures      = 2
	DefaultFailureWindowSeconds = 60
)

func orInt(v *int, def int) {
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
	orInt(&p.Spec.MinDwellSeconds, DefaultMinDwellSeconds)
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
	orInt(&j.Spec.Tasks, 1)
	orInt(&j.Spec.Cores, 1)
}

// SetDefaults implements Object.
func (b *Budget) SetDefaults() {
	orInt(&b.Spec.MaxPlannedStops, DefaultMaxPlannedStops)
}

// SetDefaults implements Object.
func (w *Wave) SetDefaults() {
	if w.Spec.Action == "" {
		w.Spec.Action = StopReboot
	}
	if w.Status.Phase == "" {
		w.Status.Phase = WavePending
	}
	orInt(&w.Spec.MaxParallel, DefaultMaxParallel)
	orInt(&w.Spec.StragglerLimitSeconds, DefaultStragglerLimitSeconds)
	orInt(&w.Spec.PauseOnFailures, DefaultPauseOnFailures)
	orInt(&w.Spec.FailureWindowSeconds, DefaultFailureWindowSeconds)
}

// SetDefaults implements Object.
func (t *Team) SetDefaults() {}

// SetDefaults implements Object.
func (c *Config) SetDefaults() {
	if c.Spec.Values == nil {
		c.Spec.Values = map[string]string{}
	}
}

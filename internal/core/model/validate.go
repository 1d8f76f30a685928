package model

import (
	"fmt"
	"strings"

	"laburnumdock/internal/core/fault"
)

// Limits of the specs.
const (
	MaxNameBytes     = 253
	MaxCount         = 1_000_000
	MaxSeconds       = 7 * 24 * 3600
	MaxSurgeFactor   = 100
	MaxWavePools     = 1000
	MaxTasks         = 100_000
	MaxConfigValues  = 1000
	MaxConfigBytes   = 64 << 10
	MaxWaveParallel  = 10_000
	nameAllowedRunes = "abcdefghijklmnopqrstuvwxyz0123456789-._"
)

// ValidateName checks the name of a resource.
func ValidateName(field, name string) error {
	limit := fmt.Sprintf("1 to %d bytes of a-z, 0-9, '-', '.', '_'", MaxNameBytes)
	if name == "" || len(name) > MaxNameBytes {
		return fault.InvalidField(field, limit, "name has %d bytes", len(name))
	}
	for _, r := range name {
		if !strings.ContainsRune(nameAllowedRunes, r) {
			return fault.InvalidField(field, limit, "name has the character %q", r)
		}
	}
	return nil
}

func checkRange(field string, v, low, high int, unit string) error {
	if v < low || v > high {
		limit := fmt.Sprintf("%d to %d %s", low, high, unit)
		return fault.InvalidField(field, limit, "value is %d", v)
	}
	return nil
}

func checkReference(field, name string) error {
	if name == "" {
		return nil
	}
	return ValidateName(field, name)
}

// firstError returns the first non-nil error.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Validate implements Object.
func (p *Pool) Validate() error {
	s := p.Spec
	err := firstError(
		ValidateName("metadata.name", p.Name),
		ValidateName("spec.service", s.Service),
		checkReference("spec.spareFrom", s.SpareFrom),
		checkRange("spec.minHosts", s.MinHosts, 0, MaxCount, "hosts"),
		checkRange("spec.maxHosts", s.MaxHosts, 0, MaxCount, "hosts"),
		checkRange("spec.minDwellSeconds", s.MinDwellSeconds, 0, MaxSeconds, "seconds"),
	)
	if err != nil {
		return err
	}
	if !(s.RolloutWeight >= 0 && s.RolloutWeight <= 1) {
		return fault.InvalidField("spec.rolloutWeight", "0 to 1", "value is %g", s.RolloutWeight)
	}
	if !(s.SurgeFactor >= 1 && s.SurgeFactor <= MaxSurgeFactor) {
		return fault.InvalidField("spec.surgeFactor", "1 to 100", "value is %g", s.SurgeFactor)
	}
	if s.MaxHosts > 0 && s.MinHosts > s.MaxHosts {
		return fault.InvalidField("spec.minHosts", "at most spec.maxHosts", "%d is above %d", s.MinHosts, s.MaxHosts)
	}
	if s.SpareFrom == p.Name {
		return fault.InvalidField("spec.spareFrom", "another pool", "a pool cannot borrow from itself")
	}
	return nil
}

// Validate implements Object.
func (h *Host) Validate() error {
	s := h.Spec
	return firstError(
		ValidateName("metadata.name", h.Name),
		ValidateName("spec.pool", s.Pool),
		ValidateName("spec.zone", s.Zone),
		ValidateName("spec.rack", s.Rack),
		checkRange("spec.cores", s.Cores, 1, MaxCount, "cores"),
		checkRange("spec.memoryMB", s.MemoryMB, 1, 1<<30, "MB"),
		checkRange("spec.accelerators", s.Accelerators, 0, MaxCount, "accelerators"),
	)
}

// Validate implements Object.
func (j *Job) Validate() error {
	s := j.Spec
	return firstError(
		ValidateName("metadata.name", j.Name),
		ValidateName("spec.pool", s.Pool),
		checkReference("spec.team", s.Team),
		checkRange("spec.tasks", s.Tasks, 1, MaxTasks, "tasks"),
		checkRange("spec.cores", s.Cores, 1, MaxCount, "cores"),
		checkRange("spec.memoryMB", s.MemoryMB, 0, 1<<30, "MB"),
		checkRange("spec.accelerators", s.Accelerators, 0, MaxCount, "accelerators"),
		checkRange("spec.priority", int(s.Priority), int(PriorityBatch), int(PriorityUrgent), "(0 batch, 1 normal, 2 urgent)"),
	)
}

// Validate implements Object.
func (b *Budget) Validate() error {
	s := b.Spec
	return firstError(
		ValidateName("metadata.name", b.Name),
		ValidateName("spec.pool", s.Pool),
		checkRange("spec.minHealthy", s.MinHealthy, 0, MaxCount, "hosts"),
		checkRange("spec.maxPlannedStops", s.MaxPlannedStops, 1, MaxCount, "hosts"),
	)
}

// Validate implements Object.
func (w *Wave) Validate() error {
	s := w.Spec
	err := firstError(
		ValidateName("metadata.name", w.Name),
		checkRange("spec.pools", len(s.Pools), 1, MaxWavePools, "pools"),
		checkRange("spec.maxParallel", s.MaxParallel, 1, MaxWaveParallel, "hosts"),
		checkRange("spec.stragglerLimitSeconds", s.StragglerLimitSeconds, 1, MaxSeconds, "seconds"),
		checkRange("spec.pauseOnFailures", s.PauseOnFailures, 1, MaxCount, "hosts"),
		checkRange("spec.failureWindowSeconds", s.FailureWindowSeconds, 1, MaxSeconds, "seconds"),
	)
	if err != nil {
		return err
	}
	if s.Action != StopReboot && s.Action != StopDrain {
		return fault.InvalidField("spec.action", "reboot, drain", "value is %q", s.Action)
	}
	seen := make(map[string]bool, len(s.Pools))
	for i, pool := range s.Pools {
		field := fmt.Sprintf("spec.pools[%d]", i)
		if err := ValidateName(field, pool); err != nil {
			return err
		}
		if seen[pool] {
			return fault.InvalidField(field, "each pool once", "pool %s is repeated", pool)
		}
		seen[pool] = true
	}
	return nil
}

// Validate implements Object.
func (t *Team) Validate() error {
	s := t.Spec
	return firstError(
		ValidateName("metadata.name", t.Name),
		checkRange("spec.quotaCores", s.QuotaCores, 0, MaxCount, "cores"),
		checkRange("spec.quotaMemoryMB", s.QuotaMemoryMB, 0, 1<<30, "MB"),
		checkRange("spec.quotaAccelerators", s.QuotaAccelerators, 0, MaxCount, "accelerators"),
	)
}

// Validate implements Object.
func (c *Config) Validate() error {
	err := firstError(
		ValidateName("metadata.name", c.Name),
		checkRange("spec.values", len(c.Spec.Values), 0, MaxConfigValues, "values"),
	)
	if err != nil {
		return err
	}
	size := 0
	for key, value := range c.Spec.Values {
		if err := ValidateName("spec.values", key); err != nil {
			return err
		}
		size += len(key) + len(value)
	}
	return checkRange("spec.values", size, 0, MaxConfigBytes, "bytes")
}

// Package model defines the resources that operators declare: their types,
// defaults and validation. It neither stores nor encodes them.
package model

import "time"

// Kind is the kind of a resource. It is also the path element of the kind in
// the API.
type Kind string

// The resource kinds.
const (
	KindPool   Kind = "pools"
	KindHost   Kind = "hosts"
	KindJob    Kind = "jobs"
	KindBudget Kind = "budgets"
	KindWave   Kind = "waves"
	KindTeam   Kind = "teams"
	KindConfig Kind = "configs"
)

// Kinds returns all kinds in the order in which a manifest is applied: a
// resource follows the resources that it references. Budgets follow hosts,
// because a budget that needs more hosts than its pool has is rejected.
func Kinds() []Kind {
	return []Kind{KindTeam, KindConfig, KindPool, KindHost, KindBudget, KindJob, KindWave}
}

// Meta is the metadata that all resources have in common.
type Meta struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version is the log index of the last change. It never decreases.
	Version uint64 `json:"version"`
	// Generation is the number of times that the spec was set.
	Generation uint64    `json:"generation"`
	Created    time.Time `json:"created"`
	Modified   time.Time `json:"modified"`
}

// Key identifies a resource.
type Key struct {
	Kind Kind
	Name string
}

// Key returns the key of the resource.
func (m *Meta) Key() Key { return Key{Kind: m.Kind, Name: m.Name} }

// Metadata implements Object.
func (m *Meta) Metadata() *Meta { return m }

// Object is a resource of any kind. A stored object is immutable: a change is
// made to a clone.
type Object interface {
	// Metadata returns the metadata of the resource, which is not a copy.
	Metadata() *Meta
	// Clone returns a deep copy.
	Clone() Object
	// SetDefaults sets absent fields to their defaults.
	SetDefaults()
	// Validate returns an error for the first invalid field, or nil. It checks
	// only this resource; references are checked by the replicated state.
	Validate() error
	// CopyStatusFrom replaces the status with that of stored, because a declared
	// resource changes only the spec.
	CopyStatusFrom(stored Object)
	// SpecEqual reports whether the spec equals that of other, which must be of
	// the same kind.
	SpecEqual(other Object) bool
}

// New returns an empty resource of the given kind, or nil for an unknown kind.
// Fields for which zero is a meaningful value already have their default, so
// that decoding a document without the field keeps the default.
func New(kind Kind) Object {
	meta := Meta{Kind: kind}
	switch kind {
	case KindPool:
		return &Pool{Meta: meta, Spec: PoolSpec{RolloutWeight: DefaultRolloutWeight}}
	case KindHost:
		return &Host{Meta: meta}
	case KindJob:
		return &Job{Meta: meta}
	case KindBudget:
		return &Budget{Meta: meta}
	case KindWave:
		return &Wave{Meta: meta}
	case KindTeam:
		return &Team{Meta: meta}
	case KindConfig:
		return &Config{Meta: meta}
	}
	return nil
}

// ConditionType is the type of a Condition.
type ConditionType string

// Condition is one aspect of a status, with the reason for its value.
type Condition struct {
	Type               ConditionType `json:"type"`
	Status             bool          `json:"status"`
	Reason             Reason        `json:"reason,omitempty"`
	Message            string        `json:"message,omitempty"`
	LastTransitionTime time.Time     `json:"lastTransitionTime"`
}

// Reason states why an operation waits or is refused.
type Reason string

// The reasons. The list is closed.
const (
	ReasonNone              Reason = ""
	ReasonBudget            Reason = "waits_for_budget"
	ReasonBudgetBroken      Reason = "budget_broken_by_failures"
	ReasonRackSurvival      Reason = "would_not_survive_rack_loss"
	ReasonZoneSurvival      Reason = "would_not_survive_zone_loss"
	ReasonSurgeReserve      Reason = "surge_reserve"
	ReasonParallelLimit     Reason = "parallel_limit"
	ReasonWorkInFlight      Reason = "waits_for_work_in_flight"
	ReasonStraggler         Reason = "waits_for_straggler"
	ReasonRebooting         Reason = "rebooting"
	ReasonReturning         Reason = "waits_for_health_report"
	ReasonPaused            Reason = "paused_by_operator"
	ReasonCorrelatedFailure Reason = "paused_by_correlated_failures"
	ReasonEarlierZone       Reason = "waits_for_earlier_zone"
	ReasonHealthUnknown     Reason = "health_unknown"
	ReasonDwell             Reason = "minimum_dwell_not_over"
	ReasonNoSpare           Reason = "no_spare_host"
	ReasonNoCapacity        Reason = "no_capacity"
	ReasonNeverFits         Reason = "fits_no_host"
	ReasonQuota             Reason = "quota_exceeded"
	ReasonQuarantined       Reason = "hosts_quarantined"
	ReasonPreempting        Reason = "waits_for_lower_priority_checkpoint"
	ReasonBackoff           Reason = "waits_after_failure"
	ReasonNoBudget          Reason = "pool_has_no_budget"
	ReasonOtherWave         Reason = "held_by_other_wave"
)

// Reasons returns every reason except ReasonNone.
func Reasons() []Reason {
	return []Reason{
		ReasonBudget, ReasonBudgetBroken, ReasonRackSurvival, ReasonZoneSurvival, ReasonSurgeReserve, ReasonParallelLimit,
		ReasonWorkInFlight, ReasonStraggler, ReasonRebooting, ReasonReturning, ReasonPaused, ReasonCorrelatedFailure,
		ReasonEarlierZone, ReasonHealthUnknown, ReasonDwell, ReasonNoSpare, ReasonNoCapacity, ReasonNeverFits, ReasonQuota,
		ReasonQuarantined, ReasonPreempting, ReasonBackoff, ReasonNoBudget, ReasonOtherWave,
	}
}

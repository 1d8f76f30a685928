// Package model holds the resources that operators declare: types, defaults
// and validation. It neither stores nor encodes them.
package model

import "time"

// Kind names a kind of resource; it is also the path element of the API.
type Kind string

// The kinds of resources.
const (
	KindPool   Kind = "pools"
	KindHost   Kind = "hosts"
	KindJob    Kind = "jobs"
	KindBudget Kind = "budgets"
	KindWave   Kind = "waves"
	KindTeam   Kind = "teams"
	KindConfig Kind = "configs"
)

// Kinds lists all kinds in the order in which a manifest is applied: a
// resource comes after those it refers to. Budgets come after hosts, because a
// budget that needs more hosts than its pool has is refused.
func Kinds() []Kind {
	return []Kind{KindTeam, KindConfig, KindPool, KindHost, KindBudget, KindJob, KindWave}
}

// Meta is the part that all resources have in common.
type Meta struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version is the log index of the last change; it never decreases.
	Version uint64 `json:"version"`
	// Generation counts the changes of the spec.
	Generation uint64    `json:"generation"`
	Created    time.Time `json:"created"`
	Modified   time.Time `json:"modified"`
}

// Key identifies a resource.
type Key struct {
	Kind Kind
	Name string
}

// Key returns the identity of the resource.
func (m *Meta) Key() Key { return Key{Kind: m.Kind, Name: m.Name} }

// Head returns the metadata; it makes every resource an Object.
func (m *Meta) Metadata() *Meta { return m }

// Object is a resource. A stored object is immutable: a change clones it.
type Object interface {
	Metadata() *Meta
	// Clone returns a deep copy.
	Clone() Object
	// SetDefaults fills absent fields of the spec.
	SetDefaults()
	// Validate returns the first refused field, or nil. It looks at this
	// resource alone; references are checked where the state is known.
	Validate() error
	// KeepStatus takes the status from the stored resource, because a declared
	// resource changes the spec alone.
	CopyStatusFrom(stored Object)
	// SpecEqual tells whether the spec equals that of other.
	SpecEqual(other Object) bool
}

// New returns an empty resource of a kind, or nil for an unknown kind. Fields
// for which zero is a meaningful value carry their default already, so that a
// decoder that finds no such field leaves it.
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

// ConditionType names one aspect of a status.
type ConditionType string

// Condition is one aspect of a status, with the reason for its value.
type Condition struct {
	Type               ConditionType `json:"type"`
	Status             bool          `json:"status"`
	Reason             Reason        `json:"reason,omitempty"`
	Message            string        `json:"message,omitempty"`
	LastTransitionTime time.Time     `json:"lastTransitionTime"`
}

// Reason is the typed reason for which something waits or is refused.
type Reason string

// The closed list of reasons.
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

// Reasons lists every reason but ReasonNone.
func Reasons() []Reason {
	return []Reason{
		ReasonBudget, ReasonBudgetBroken, ReasonRackSurvival, ReasonZoneSurvival, ReasonSurgeReserve, ReasonParallelLimit,
		ReasonWorkInFlight, ReasonStraggler, ReasonRebooting, ReasonReturning, ReasonPaused, ReasonCorrelatedFailure,
		ReasonEarlierZone, ReasonHealthUnknown, ReasonDwell, ReasonNoSpare, ReasonNoCapacity, ReasonNeverFits, ReasonQuota,
		ReasonQuarantined, ReasonPreempting, ReasonBackoff, ReasonNoBudget, ReasonOtherWave,
	}
}

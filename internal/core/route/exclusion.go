package route

import "time"

// Exclusion is a reason why an endpoint may not take an attempt now.
type Exclusion uint8

// The reasons why an endpoint may not take an attempt.
const (
	ExclusionNone Exclusion = iota
	// ExclusionLeaving means that the endpoint leaves, or that its epoch is not current.
	ExclusionLeaving
	// ExclusionExpired means that it was not announced in time.
	ExclusionExpired
	ExclusionEjected
	// ExclusionAvoided means that the attempt before failed there.
	ExclusionAvoided
	// ExclusionRefused means that it has just refused an attempt for lack of slots.
	ExclusionRefused
	ExclusionNoSlot
	// ExclusionReserved means that its free slots are kept for short work.
	ExclusionReserved
)

// String returns the name used in explanations.
func (e Exclusion) String() string {
	names := [...]string{"none", "leaving_or_fenced", "announcement_expired", "ejected", "avoided_after_failure", "refused_for_slots", "no_free_slot", "reserved_for_short_work"}
	if int(e) < len(names) {
		return names[e]
	}
	return names[0]
}

// exclusion returns why no new work may be sent to the endpoint at all, now or once it has
// a free slot, or ExclusionNone.
func (e *Endpoint) exclusion(now time.Duration) Exclusion {
	switch {
	case !e.accepting:
		return ExclusionLeaving
	case now >= e.expires:
		return ExclusionExpired
	case e.health.ejected:
		return ExclusionEjected
	default:
		return ExclusionNone
	}
}

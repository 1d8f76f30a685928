// Package fault holds the closed list of error kinds. Every refusal of the
// system, whichever front end gives it, has one of these kinds.
package fault

import (
	"errors"
	"fmt"
)

// Kind names one kind of error. The zero value is not a kind.
type Kind string

// The closed list of kinds.
const (
	Invalid             Kind = "invalid"
	Unauthenticated     Kind = "unauthenticated"
	Forbidden           Kind = "forbidden"
	NotFound            Kind = "not_found"
	Conflict            Kind = "conflict"
	Compacted           Kind = "compacted"
	ChangeIDExpired     Kind = "change_id_expired"
	ChangeIDReused      Kind = "change_id_reused"
	BudgetBlocked       Kind = "budget_blocked"
	QuotaExceeded       Kind = "quota_exceeded"
	Fenced              Kind = "fenced"
	TooLarge            Kind = "too_large"
	SlowWatcher         Kind = "slow_watcher"
	NotLeader           Kind = "not_leader"
	Unavailable         Kind = "unavailable"
	StorageFailed       Kind = "storage_failed"
	Overloaded          Kind = "overloaded"
	DeadlineUnreachable Kind = "deadline_unreachable"
	DeadlineExceeded    Kind = "deadline_exceeded"
	Cancelled           Kind = "cancelled"
	NoEndpoint          Kind = "no_endpoint"
	Stopping            Kind = "stopping"
	InProgress          Kind = "in_progress"
	OutcomeUnknown      Kind = "outcome_unknown"
	EndpointFailed      Kind = "endpoint_failed"
	RequestIDExpired    Kind = "request_id_expired"
	RequestIDReused     Kind = "request_id_reused"
	Internal            Kind = "internal"
)

// Kinds lists every kind in the order of the documentation.
func Kinds() []Kind {
	return []Kind{
		Invalid, Unauthenticated, Forbidden, NotFound, Conflict, Compacted,
		ChangeIDExpired, ChangeIDReused, BudgetBlocked, QuotaExceeded, Fenced,
		TooLarge, SlowWatcher, NotLeader, Unavailable, StorageFailed, Overloaded,
		DeadlineUnreachable, DeadlineExceeded, Cancelled, NoEndpoint, Stopping,
		InProgress, OutcomeUnknown, EndpointFailed, RequestIDExpired,
		RequestIDReused, Internal,
	}
}

// Ran says whether the request that got the error ran.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is the one error type that core packages return.
type Error struct {
	Kind Kind `json:"kind"`
	// Field is the path of the refused field, as "spec.minHealthy".
	Field string `json:"field,omitempty"`
	// Limit is the allowed range or set of the field, with its unit.
	Limit   string `json:"limit,omitempty"`
	Message string `json:"message"`
	// Reason is the typed reason of a BudgetBlocked or QuotaExceeded refusal; its
	// values are those of model.Reason.
	Reason string `json:"reason,omitempty"`
	// Current is the current version of a resource for Conflict, and the
	// oldest version that can be watched for Compacted.
	Current uint64 `json:"current,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	text := string(e.Kind) + ": " + e.Message
	if e.Field != "" {
		text += " (field " + e.Field
		if e.Limit != "" {
			text += ", allowed: " + e.Limit
		}
		text += ")"
	}
	return text
}

// New returns an error of a kind with a formatted message.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// Field returns an Invalid error about one field.
func InvalidField(field, limit, format string, args ...any) *Error {
	return &Error{Kind: Invalid, Field: field, Limit: limit, Message: fmt.Sprintf(format, args...)}
}

// KindOf returns the kind of err, or Internal if it has none, and "" for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	return Internal
}

// From returns err as an *Error; an error of another type becomes Internal.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return New(Internal, "%s", err.Error())
}

// Package fault defines the closed list of error kinds. Every error that a
// front end returns has one of these kinds.
package fault

import (
	"errors"
	"fmt"
)

// Kind is the kind of an error. The zero value is not a valid kind.
type Kind string

// The error kinds. The list is closed.
const (
	Invalid         Kind = "invalid"
	Unauthenticated Kind = "unauthenticated"
	Forbidden       Kind = "forbidden"
	NotFound        Kind = "not_found"
	Conflict        Kind = "conflict"
	// Compacted means that events after the requested version are no longer
	// retained.
	Compacted Kind = "compacted"
	// ChangeIDExpired means that the result of the change ID may no longer be
	// retained.
	ChangeIDExpired Kind = "change_id_expired"
	// ChangeIDReused means that the ID was already used for another change.
	ChangeIDReused Kind = "change_id_reused"
	BudgetBlocked  Kind = "budget_blocked"
	QuotaExceeded  Kind = "quota_exceeded"
	// Fenced means that the sender has an outdated epoch or token, or the wrong
	// identity.
	Fenced   Kind = "fenced"
	TooLarge Kind = "too_large"
	// SlowWatcher means that a watch fell behind the retained events.
	SlowWatcher   Kind = "slow_watcher"
	NotLeader     Kind = "not_leader"
	Unavailable   Kind = "unavailable"
	StorageFailed Kind = "storage_failed"
	Overloaded    Kind = "overloaded"
	// DeadlineUnreachable means that the request was not started, because it
	// would not finish before its deadline.
	DeadlineUnreachable Kind = "deadline_unreachable"
	DeadlineExceeded    Kind = "deadline_exceeded"
	Cancelled           Kind = "cancelled"
	NoEndpoint          Kind = "no_endpoint"
	// Stopping means that the process or component is shutting down.
	Stopping Kind = "stopping"
	// InProgress means that a request with the same ID is in progress.
	InProgress Kind = "in_progress"
	// OutcomeUnknown means that it is not known whether the operation took
	// effect.
	OutcomeUnknown   Kind = "outcome_unknown"
	EndpointFailed   Kind = "endpoint_failed"
	RequestIDExpired Kind = "request_id_expired"
	// RequestIDReused means that the ID was already used for another request.
	RequestIDReused Kind = "request_id_reused"
	Internal        Kind = "internal"
)

// Kinds returns every kind in the order of the documentation.
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

// Ran states whether the request that failed with an error was executed.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is the error type of the core packages.
type Error struct {
	Kind Kind `json:"kind"`
	// Field is the path of the rejected field, such as "spec.minHealthy".
	Field string `json:"field,omitempty"`
	// Limit describes the allowed values of the field, with their unit.
	Limit   string `json:"limit,omitempty"`
	Message string `json:"message"`
	// Reason is the model.Reason of a BudgetBlocked or QuotaExceeded error.
	Reason string `json:"reason,omitempty"`
	// Current is the current version of the resource for Conflict, and the
	// oldest version from which a watch can start for Compacted.
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

// New returns an error of the given kind with a formatted message.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// InvalidField returns an error of kind Invalid about one field.
func InvalidField(field, limit, format string, args ...any) *Error {
	return &Error{Kind: Invalid, Field: field, Limit: limit, Message: fmt.Sprintf(format, args...)}
}

// KindOf returns the kind of err, Internal if err is not an *Error, and "" for
// nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	return Internal
}

// From returns err as an *Error. An error of another type is converted to one
// of kind Internal.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return New(Internal, "%s", err.Error())
}

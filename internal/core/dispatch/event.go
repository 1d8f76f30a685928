// Package dispatch decides for each request of a caller where it goes, when it
// waits and what the caller is told. It is a pure step function: the entry
// host's control loop hands in events with the time and carries out effects.
package dispatch

import (
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/member"
)

// Event is something that happened. The set is closed.
type Event interface{ event() }

// Request is what the decision needs to know of a caller's request.
type Request struct {
	// ID is unique within the process.
	ID       uint64
	Service  string
	Caller   string
	WorkKind string
	// SizeBytes is the length of the request body.
	SizeBytes  int
	Urgent     bool
	Repeatable bool
	// RequestID is the caller's idempotency key.
	RequestID string
	Deadline  time.Time
}

// Arrive is a new request.
type Arrive struct{ Request Request }

// AttemptOutcome tells how an attempt ended.
type AttemptOutcome uint8

// The outcomes of an attempt.
const (
	// AttemptAnswered is a whole answer to this request.
	AttemptAnswered AttemptOutcome = iota + 1
	// AttemptNotSent failed before any byte left.
	AttemptNotSent
	// AttemptRefused was refused by the endpoint, which says it did not run.
	AttemptRefused
	// AttemptLost failed after the first byte may have left.
	AttemptLost
)

// Finished is the end of an attempt.
type Finished struct {
	ID      uint64
	Attempt int
	Outcome AttemptOutcome
	Detail  string
}

// Gone means that the caller no longer waits.
type Gone struct{ ID uint64 }

// Announced is an announcement, heard directly or from a peer.
type Announced struct{ Announcement member.Announcement }

// Ticked lets time pass.
type Ticked struct{}

func (Arrive) event()    {}
func (Finished) event()  {}
func (Gone) event()      {}
func (Announced) event() {}
func (Ticked) event()    {}

// Effect is something to do. The set is closed.
type Effect interface{ effect() }

// Forward starts an attempt.
type Forward struct {
	ID       uint64
	Attempt  int
	Endpoint string
	Address  string
	Epoch    uint64
	Deadline time.Time
}

// Answer ends a request. If Err is nil, the caller gets the answer of the
// attempt.
type Answer struct {
	ID      uint64
	Attempt int
	Err     *fault.Error
	Ran     fault.Ran
}

func (Forward) effect() {}
func (Answer) effect()  {}

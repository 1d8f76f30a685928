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

// RecordPhase is what a record in the control replicas says of a request that
// must not be repeated.
type RecordPhase uint8

// The phases of a record.
const (
	RecordBegin RecordPhase = iota + 1
	RecordFinished
	RecordDidNotRun
	RecordUnknown
)

// Arrive is a new request.
type Arrived struct{ Request Request }

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
	// AttemptSilent is AttemptLost on a connection that went silent, which is
	// not held against the endpoint.
	AttemptSilent
)

// Finished is the end of an attempt.
type AttemptFinished struct {
	ID      uint64
	Attempt int
	Outcome AttemptOutcome
	Detail  string
	// RunTime is how long the endpoint had the request.
	RunTime time.Duration
	// ServerError tells that the whole answer of an AttemptAnswered says that the
	// endpoint failed. The caller gets the answer; it counts as a failure of the
	// endpoint, because one that fails at once would else attract all work.
	ServerError bool
	// SlotsInUse is the number of slots in use that the endpoint stated in its
	// answer or refusal, without this attempt. It holds only if Stated is set.
	SlotsInUse int
	HasSlotsInUse     bool
}

// Recorded is the answer of the control replicas to a Record. Err is nil if
// the record was taken. For a begin that was refused because the request is
// known, Known is the phase that is recorded.
type Recorded struct {
	ID    uint64
	Phase RecordPhase
	Err   *fault.Error
	KnownPhase RecordPhase
}

// Gone means that the caller no longer waits.
type CallerGone struct{ ID uint64 }

// Announced is an announcement, heard directly or from a peer.
type Announced struct{ Announcement member.Announcement }

// EpochChanged is a new epoch of a host by the control replicas.
type EpochChanged struct {
	Host  string
	Epoch uint64
}

// ServiceLimits is what the control replicas declare of the pool of a service.
// Ejection never leaves fewer than MinHealthy endpoints.
type ServiceLimits struct {
	Service    string
	MinHealthy int
}

// EndpointUse is the number of slots that a peer uses on an endpoint.
type EndpointUse struct {
	Endpoint string
	InUse    int
	Queued   int
	// Long is the number of slots in use by long work.
	Long int
}

// PeerUse is what another entry host uses. It replaces what that peer said
// before, and runs out if the peer falls silent.
type PeerUse struct {
	Peer        string
	Incarnation uint64
	Use         []EndpointUse
}

// Probed is the outcome of a Probe.
type Probed struct {
	Endpoint string
	OK       bool
}

// StopRequested starts the graceful shutdown: new requests are refused.
type StopRequested struct{}

// Ticked lets time pass.
type Ticked struct{}

func (Arrived) event()        {}
func (AttemptFinished) event()      {}
func (Recorded) event()      {}
func (CallerGone) event()          {}
func (Announced) event()     {}
func (EpochChanged) event()  {}
func (ServiceLimits) event() {}
func (PeerUse) event()       {}
func (Probed) event()        {}
func (StopRequested) event() {}
func (Ticked) event()        {}

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

// Abort ends an attempt whose answer is no longer wanted. The attempt still
// ends with a Finished.
type Abort struct {
	ID      uint64
	Attempt int
}

// Record has the control replicas record a phase of a request. The shell adds
// the digest and, for RecordFinished, the answer of the attempt. Every Record
// is answered by a Recorded. A Record other than RecordBegin may follow after
// the Answer or a Gone; if the shell no longer holds the answer of the attempt,
// it records RecordUnknown instead of RecordFinished.
type Record struct {
	ID      uint64
	Attempt int
	Phase   RecordPhase
}

// Answer ends a request. If Err is nil, the caller gets the answer of the
// attempt, or with FromRecord the answer that came with a Recorded.
type Answer struct {
	ID         uint64
	Attempt    int
	FromRecord bool
	Err        *fault.Error
	Ran        fault.Ran
}

// Probe asks an ejected endpoint whether it works again.
type Probe struct {
	Endpoint string
	Address  string
}

func (Forward) effect() {}
func (Abort) effect()   {}
func (Record) effect()  {}
func (Answer) effect()  {}
func (Probe) effect()   {}

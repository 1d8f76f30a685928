// Package dispatch decides for each request of a caller to which endpoint it is
// forwarded, when it waits and what the caller is told. It has no I/O: the entry
// host's control loop passes events with the time to Dispatcher.Step and carries
// out the returned effects.
package dispatch

import (
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/member"
)

// Event is an input of the dispatcher. Only this package implements it.
type Event interface{ event() }

// Request holds the attributes of a caller's request by which it is dispatched.
type Request struct {
	// ID identifies the request within the process.
	ID       uint64
	Service  string
	Caller   string
	WorkKind string
	// SizeBytes is the length of the request body.
	SizeBytes int
	Urgent    bool
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// RequestID is the caller's idempotency key.
	RequestID string
	Deadline  time.Time
}

// RecordPhase is the phase that the control replicas record of a request that
// must not be repeated.
type RecordPhase uint8

const (
	// RecordBegin is recorded before the first attempt.
	RecordBegin RecordPhase = iota + 1
	// RecordFinished means that the request ran and was answered.
	RecordFinished
	// RecordDidNotRun means that no attempt ran.
	RecordDidNotRun
	// RecordUnknown means that an attempt may have run.
	RecordUnknown
)

// Arrived is a new request of a caller.
type Arrived struct{ Request Request }

// AttemptOutcome is the outcome of an attempt.
type AttemptOutcome uint8

const (
	// AttemptAnswered means that a complete answer to this request arrived.
	AttemptAnswered AttemptOutcome = iota + 1
	// AttemptNotSent means that the attempt failed before any byte was sent.
	AttemptNotSent
	// AttemptRefused means that the endpoint refused the attempt and stated that
	// the request did not run.
	AttemptRefused
	// AttemptLost means that the attempt failed after the first byte may have been
	// sent.
	AttemptLost
	// AttemptSilent is AttemptLost on a connection that stopped delivering data.
	// It does not count as a failure of the endpoint.
	AttemptSilent
)

// AttemptFinished is the end of an attempt.
type AttemptFinished struct {
	ID      uint64
	Attempt int
	Outcome AttemptOutcome
	// Detail is the error text of a failed attempt.
	Detail string
	// RunTime is how long the endpoint had the request.
	RunTime time.Duration
	// ServerError is set when the answer of an AttemptAnswered reports a failure of
	// the endpoint. The caller gets the answer, but it counts as a failure of the
	// endpoint: one that fails at once would otherwise attract all work.
	ServerError bool
	// SlotsInUse is the number of slots in use that the endpoint reported with its
	// answer or refusal, without this attempt. It is valid only if HasSlotsInUse is
	// set.
	SlotsInUse    int
	HasSlotsInUse bool
}

// Recorded is the answer of the control replicas to a Record. Err is nil if the
// record was written. For a begin that was refused because the request ID is
// already recorded, KnownPhase is the recorded phase.
type Recorded struct {
	ID         uint64
	Phase      RecordPhase
	Err        *fault.Error
	KnownPhase RecordPhase
}

// CallerGone means that the caller no longer waits for the answer.
type CallerGone struct{ ID uint64 }

// Announced is an announcement of an endpoint, received directly or from a peer.
type Announced struct{ Announcement member.Announcement }

// EpochChanged is a new epoch of a host, set by the control replicas.
type EpochChanged struct {
	Host  string
	Epoch uint64
}

// ServiceLimits holds the limits that the control replicas declare for the pool
// of a service. Ejection never leaves fewer than MinHealthy endpoints.
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

// PeerUse is the report of the slots that another entry host uses. It replaces the
// previous report of that peer, and expires if no other follows.
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

// Ticked reports only the time, for work that is due.
type Ticked struct{}

func (Arrived) event()         {}
func (AttemptFinished) event() {}
func (Recorded) event()        {}
func (CallerGone) event()      {}
func (Announced) event()       {}
func (EpochChanged) event()    {}
func (ServiceLimits) event()   {}
func (PeerUse) event()         {}
func (Probed) event()          {}
func (StopRequested) event()   {}
func (Ticked) event()          {}

// Effect is an action that the control loop must carry out. Only this package
// implements it.
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

// Abort cancels an attempt whose answer is no longer needed. The attempt still
// ends with an AttemptFinished.
type Abort struct {
	ID      uint64
	Attempt int
}

// Record asks the control replicas to record a phase of a request. The I/O layer
// adds the digest and, for RecordFinished, the answer of the attempt. Every Record
// is answered by a Recorded. A Record other than RecordBegin may follow after the
// Answer or a CallerGone; if the I/O layer no longer holds the answer of the
// attempt, it records RecordUnknown instead of RecordFinished.
type Record struct {
	ID      uint64
	Attempt int
	Phase   RecordPhase
}

// Answer answers the caller of a request. If Err is nil, the caller gets the
// answer of the attempt, or with FromRecord the answer that came with a Recorded.
type Answer struct {
	ID         uint64
	Attempt    int
	FromRecord bool
	Err        *fault.Error
	Ran        fault.Ran
}

// Probe checks whether an ejected endpoint works again. It is answered by a
// Probed.
type Probe struct {
	Endpoint string
	Address  string
}

func (Forward) effect() {}
func (Abort) effect()   {}
func (Record) effect()  {}
func (Answer) effect()  {}
func (Probe) effect()   {}

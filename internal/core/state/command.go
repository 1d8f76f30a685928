// Package state implements the replicated state machine. Apply is
// deterministic: the same commands in the same order produce the same state on
// every replica.
package state

import (
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/model"
)

// Command is a command in an entry of the replicated log. The set of commands
// is closed.
type Command interface{ command() }

// Origin identifies the requester of a change, its source and its time.
type Origin struct {
	Actor  string `json:"actor"`
	Source string `json:"source"`
	// Time is the time of the leader. A time before the replicated time is
	// ignored.
	Time time.Time `json:"time"`
	// ChangeID makes the change idempotent. If it is empty, the result of the
	// change is not kept for repetitions.
	ChangeID string `json:"changeID,omitempty"`
	// IssuedAt is the time at which the client created ChangeID.
	IssuedAt time.Time `json:"issuedAt,omitzero"`
	// Digest is a digest of the client's request. The front end computes it over
	// the request and not over the command, because a command that is rebuilt
	// for a newer version is still the same request.
	Digest uint64 `json:"digest,omitempty"`
}

// Put creates or replaces the spec of a resource.
type Put struct {
	Origin Origin
	Object model.Object
	// Expected is the version that the change is based on. 0 means that the
	// resource must not exist; AnyVersion disables the check.
	Expected uint64
	// Declared is set when Object comes from a manifest, which is applied
	// repeatedly without changes. Fields that operations such as start and pause
	// or moves have set since are kept.
	Declared bool
}

// AnyVersion is the expected version that disables the version check.
const AnyVersion = ^uint64(0)

// Delete removes a resource.
type Delete struct {
	Origin   Origin
	Key      model.Key
	Expected uint64
}

// HostObservation is the observation of one host in a report of the platform.
type HostObservation struct {
	Host     string
	Health   model.Health
	InFlight int
	BootID   string
	// Observed is the time of the observation. An observation older than the
	// stored one is dropped.
	Observed time.Time
}

// PoolMark states that the platform listed every host of a pool at Observed and
// that each host without an observation in the same report matched its stored
// status.
type PoolMark struct {
	Pool     string
	Observed time.Time
	// Base is the version of the snapshot with which the listing was compared.
	// The mark is dropped if the health of a host or the membership of the pool
	// changed after that version.
	Base uint64
}

// HostReport is a batch of observations. Only changed hosts need an
// observation; Marks refresh the report time of the others.
type HostReport struct {
	Origin Origin
	Hosts  []HostObservation
	Marks  []PoolMark
}

// HostStep requests one transition in the lifecycle of a host, or an update of
// its planned stop or quarantine.
type HostStep struct {
	Origin Origin
	Host   string
	// Expected is the version of the host that the step is based on.
	Expected uint64
	// Epoch is the expected epoch of the host; 0 disables the check.
	Epoch uint64
	// To is the requested phase, or empty for an update within the phase.
	To model.HostPhase
	// Stop is the planned stop to start if To is HostDraining.
	Stop *model.PlannedStop
	// Checkpoint, Reason and Message update the stop in progress.
	Checkpoint bool
	Reason     model.Reason
	Message    string
	// Cancel is set to end the stop in progress without its action.
	Cancel bool
	// QuarantineUntil is the time until which no new task is placed on the host.
	// The zero value leaves the quarantine unchanged.
	QuarantineUntil time.Time
}

// WaveStep replaces the status of a wave except Done and Started. A host is
// added to Done by the log entry that ends its planned stop.
type WaveStep struct {
	Origin   Origin
	Wave     string
	Expected uint64
	Status   model.WaveStatus
}

// TaskStep replaces the state of some tasks of a job.
type TaskStep struct {
	Origin   Origin
	Job      string
	Expected uint64
	Tasks    []model.Task
	Reason   model.Reason
	Message  string
}

// StatusStep replaces the observed status of pools, budgets and teams. No
// decision of Apply depends on this status.
type StatusStep struct {
	Origin  Origin
	Objects []model.Object
}

// RequestPhase is the recorded phase of a request.
type RequestPhase uint8

// The phases of a request that must not be repeated.
const (
	// RequestBegun means that an entry host has begun an attempt.
	RequestBegun RequestPhase = iota + 1
	// RequestFinished means that the request ran and its response is known.
	RequestFinished
	// RequestDidNotRun means that the request was not executed, so that its ID
	// may be used again.
	RequestDidNotRun
	// RequestUnknown means that the outcome is unknown.
	RequestUnknown
)

// RequestRecord records the begin or the outcome of one request.
type RequestRecord struct {
	ID        string
	Phase     RequestPhase
	Caller    string
	Service   string
	EntryHost string
	// Token is unique to one begin. Only the entry host and token that began a
	// request may record its outcome, so that a delayed outcome cannot release
	// an ID that has since been begun again.
	Token string
	// Digest is a digest of the method, path and body. A request that reuses the
	// ID with another digest is rejected.
	Digest      []byte
	Status      int
	ContentType string
	Body        []byte
	// AnswerDropped is set when the response body is not kept because it was too
	// large or the table was full.
	AnswerDropped bool
	// Expires is the expiry time in the ID. The record is dropped RequestGrace
	// after it.
	Expires time.Time
}

// RecordRequests is a batch of request records. Each has its own result.
type RecordRequests struct {
	Origin  Origin
	Records []RequestRecord
}

// JobsStep is a batch of commands on the job records. Each has its own result.
type JobsStep struct {
	Origin   Origin
	Commands []jobs.Command
}

// Tick advances the replicated time and expires requests.
type Tick struct{ Origin Origin }

func (Put) command()            {}
func (Delete) command()         {}
func (HostReport) command()     {}
func (HostStep) command()       {}
func (WaveStep) command()       {}
func (TaskStep) command()       {}
func (StatusStep) command()     {}
func (RecordRequests) command() {}
func (JobsStep) command()       {}
func (Tick) command()           {}

// Result is the result of one command.
type Result struct {
	// Version is the version after the command. If the spec was unchanged, it is
	// the version of the stored resource.
	Version uint64
	// Key is the key of the resource that the command addressed, if any.
	Key model.Key
	// Object is the resource after the command, or the stored resource if the
	// command was rejected. In a replayed result it is nil if the resource has
	// changed since.
	Object model.Object
	// Err is nil if the command succeeded.
	Err *fault.Error
	// Requests has one result per record of RecordRequests.
	Requests []RequestResult
	// Jobs has one entry per command of JobsStep, nil if the command succeeded.
	Jobs []*fault.Error
	// Replayed is set when the change ID was already used and this is the result
	// of its first use.
	Replayed bool
}

// RequestResult is the result of one RequestRecord.
type RequestResult struct {
	ID  string
	Err *fault.Error
	// Recorded is the stored record if the request was already begun or
	// finished, and nil if the record was accepted.
	Recorded *RequestRecord
}

// Event is a change of one resource. It holds the whole resource, so that a
// relay needs no other state.
type Event struct {
	Version uint64
	Key     model.Key
	// Object is nil if the resource was deleted.
	Object model.Object
}

// AuditEntry is one entry of the audit trail.
type AuditEntry struct {
	Version    uint64     `json:"version"`
	Time       time.Time  `json:"time"`
	Actor      string     `json:"actor"`
	Source     string     `json:"source"`
	Action     string     `json:"action"`
	Kind       model.Kind `json:"kind"`
	Name       string     `json:"name"`
	OldVersion uint64     `json:"oldVersion"`
	NewVersion uint64     `json:"newVersion"`
	Outcome    string     `json:"outcome"`
	ChangeID   string     `json:"changeID,omitempty"`
}

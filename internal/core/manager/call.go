package manager

import (
	"time"

	"laburnumdock/internal/core/jobs"
)

// CallKind names an order to an executor or to the platform.
type CallKind uint8

// The orders. Hold renews the lease of everything on an executor, takes note of
// ends and returns what runs there.
const (
	CallHold CallKind = iota + 1
	CallStart
	CallStop
	CallPace
	CallListHosts
	CallMoveHost
	CallUpkeepHost
	CallAdvise
)

// String returns the name used in logs and metrics.
func (k CallKind) String() string {
	names := [...]string{"unknown", "hold", "start", "stop", "pace", "list_hosts", "move_host", "upkeep_host", "advise"}
	if int(k) < len(names) {
		return names[k]
	}
	return names[0]
}

// Call is one order that the shell carries out. Each one is answered by exactly
// one Outcome with its ID, unless the manager is replaced before.
type Call struct {
	ID   uint64
	Kind CallKind
	// Timeout bounds the call.
	Timeout time.Duration
	// Token fences the order: a receiver that has seen a higher one does nothing.
	Token uint64

	// Address and Instance are the executor's, Executor is its number.
	Address  string
	Instance string
	Executor int
	// Until is the end of the lease on the executor's clock in milliseconds; 0
	// leaves the lease as it is.
	LeaseUntil int64
	// Seen is the newest end that is recorded.
	RecordedEnd int64
	// Wait is how long the executor may wait for an end before it answers.
	MaxWait time.Duration

	Task    jobs.TaskRef
	Run     int
	Payload    string
	Checkpoint   string
	Ticket  string
	Percent int

	Host string
	Pool string
	Wave int64
	PageToken string
	// Step and Candidates are what an advisor is asked about.
	Step       string
	Candidates []string
}

// Verdict is what is known of a call's effect.
type Verdict uint8

// The verdicts. NoAnswer means that the order may have been carried out, or
// may yet be; NotSent that it certainly was and will not be.
const (
	OK Verdict = iota + 1
	Refused
	WrongInstance
	Unhealthy
	NoAnswer
	NotSent
)

// String returns the name used in logs.
func (v Verdict) String() string {
	names := [...]string{"unknown", "ok", "refused", "wrong_instance", "unhealthy", "no_answer", "not_sent"}
	if int(v) < len(names) {
		return names[v]
	}
	return names[0]
}

// Refusal is why a receiver refused an order.
type Refusal uint8

// The refusals. RefusedFence says that a higher token was seen, RefusedOld that
// the run's number was used, RefusedLate that the lease had ended, RefusedRoom
// that the executor is full, RefusedTicket that the advice is not valid,
// RefusedBusy that the host is not up, RefusedWave that it is not of the wave,
// RefusedUnknown that the host or its target does not exist, RefusedRate that
// too many calls were made.
const (
	RefusedFenced Refusal = iota + 1
	RefusedStaleRun
	RefusedLeaseEnded
	RefusedCapacity
	RefusedTicket
	RefusedHostBusy
	RefusedNotInWave
	RefusedUnknownHost
	RefusedRateLimit
)

// String returns the name used in logs.
func (r Refusal) String() string {
	names := [...]string{"none", "fence", "old", "late", "room", "ticket", "busy", "wave", "unknown", "rate"}
	if int(r) < len(names) {
		return names[r]
	}
	return names[0]
}

// RunningRow is one run on an executor.
type RunningRow struct {
	Task  jobs.TaskRef
	Run   int
	Saved string
	// Percent is how far the run is; a lasting one is at work at 100.
	Percent int
	// Load is the tail in milliseconds of a task that serves, and the used
	// processor in thousandths of a core of any other.
	Load int64
}

// EndedRow is the end of a run as the executor lists it.
type EndedRow struct {
	Number int64
	Task   jobs.TaskRef
	Run    int
	How    jobs.RunResult
	Saved  string
}

// HostState is the platform's state of a host.
type HostState uint8

// The states of a host.
const (
	HostUp HostState = iota + 1
	HostMoving
	HostInUpkeep
	HostDown
)

// HostRow is one host in the platform's list.
type HostRow struct {
	Host     string
	Pool     string
	State    HostState
	Zone     string
	Rack     string
	Labels   []string
	Capacity     jobs.Resources
	Executor string
}

// Allowance is one executor that an advisor allows for a step.
type Allowance struct {
	Executor string
	Ticket   string
}

// Outcome is the answer to a call.
type Outcome struct {
	ID      uint64
	Kind    CallKind
	Verdict Verdict
	Refusal Refusal
	// SentAt and AnsweredAt are the times of the caller.
	SentAt     time.Time
	AnsweredAt time.Time
	// Clock is the executor's clock in milliseconds at some moment between, and
	// Born the start of its life; 0 where the answer does not tell.
	Clock int64
	StartedAt  int64

	Running []RunningRow
	Ended   []EndedRow

	Hosts    []HostRow
	NextPageToken string

	Allowed  []Allowance
	ValidFor time.Duration
}

// Report is what an executor says of itself.
type Report struct {
	ID       string
	StartedAt     int64
	Sequence int64
	Host     string
	Pool     string
	Address  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity     jobs.Resources
	Draining bool
	// DrainLeft is the least time until a draining executor ends.
	DrainLeft time.Duration
	Clock     int64
	// Leaving tells that the executor ends now.
	Leaving bool
}

// Request is what a caller or an operator asks for. Each one is answered by
// exactly one Reply with its ID.
type Request struct {
	ID   uint64
	Kind RequestKind
	// Host and Path select the queue and the job of a caller's request.
	Host string
	Path string
	Spec *jobs.Spec

	Config *jobs.Config
	Wave   *jobs.Wave
	WaveID int64
}

// RequestKind names what is asked for.
type RequestKind uint8

// The requests. Submit, Cancel, Configure and StartWave are answered once they
// are recorded.
const (
	RequestSubmit RequestKind = iota + 1
	RequestState
	RequestCancel
	RequestPending
	RequestConfigure
	RequestStartWave
	RequestWave
)

// Answer is the kind of a reply.
type ReplyKind uint8

// The answers. NoQueue says that the configuration has no such queue, NoConfig
// that there is no configuration yet, NoJob and NoWave that there is no such
// job or wave; Lost that the outcome is not known, because leadership ended.
const (
	ReplyAccepted ReplyKind = iota + 1
	ReplyNoQueue
	ReplyNoConfig
	ReplyNoJob
	ReplyNoWave
	ReplyMalformed
	ReplyOutcomeUnknown
)

// Reply is the answer to a request.
type Reply struct {
	ID     uint64
	Kind ReplyKind
	// Phase is the phase of a job, Pending the number of a queue's jobs that no
	// task has started of, and Complete the state of a wave.
	Phase    jobs.Phase
	Pending  int
	Complete bool
	// ConfigVersion is the version of the configuration that decided.
	ConfigVersion uint64
}

package manager

import (
	"time"

	"laburnumdock/internal/core/jobs"
)

// CallKind is the kind of an order to an executor, the platform or the advisor.
type CallKind uint8

// The kinds of calls. CallHold renews the lease on everything an executor runs,
// acknowledges recorded ends and returns the executor's lists.
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

// Call is an order for the code that calls Step to send. Each call gets exactly
// one Outcome with its ID, unless the manager is replaced first.
type Call struct {
	ID   uint64
	Kind CallKind
	// Timeout bounds the call.
	Timeout time.Duration
	// Token is the fencing token: a receiver that has seen a higher one refuses
	// the order.
	Token uint64
	// SendUntil is the end of the leader's permission to send the order: from then
	// on another leader may have been elected. It is a time since the boot of the
	// sending host, including time in suspension. The shell sets it; the manager
	// does not know it.
	SendUntil time.Duration

	// Address and Instance identify the executor on the network, and Executor
	// is the number of its incarnation.
	Address  string
	Instance string
	Executor int
	// LeaseUntil is the end of the lease on the executor's clock in
	// milliseconds; 0 leaves the lease unchanged.
	LeaseUntil int64
	// RecordedEnd acknowledges all ends up to this number.
	RecordedEnd int64
	// MaxWait is the time that the executor may wait for an end before it
	// answers.
	MaxWait time.Duration

	Task       jobs.TaskRef
	Run        int
	Payload    string
	Checkpoint string
	Ticket     string
	// Percent is the pace that CallPace sets.
	Percent int

	Host      string
	Pool      string
	Wave      int64
	PageToken string
	// Step and Candidates are the step and the executor IDs that the advisor is
	// asked about.
	Step       string
	Candidates []string
}

// Verdict is the known effect of a call.
type Verdict uint8

// The verdicts.
const (
	OK Verdict = iota + 1
	Refused
	// WrongInstance means that another executor answered at the address.
	WrongInstance
	// Unhealthy means that the executor reports itself unhealthy.
	Unhealthy
	// NoAnswer means that the order may have been carried out, or may still be.
	NoAnswer
	// NotSent means that the order was not carried out and will not be.
	NotSent
	// NotPermitted means the same because the leader's permission to send it ended
	// before it was sent.
	NotPermitted
)

// String returns the name used in logs.
func (v Verdict) String() string {
	names := [...]string{"unknown", "ok", "refused", "wrong_instance", "unhealthy", "no_answer", "not_sent", "not_permitted"}
	if int(v) < len(names) {
		return names[v]
	}
	return names[0]
}

// Refusal is the reason for which a receiver refused an order.
type Refusal uint8

// The reasons for a refusal.
const (
	// RefusedFenced means that the receiver has seen a higher token.
	RefusedFenced Refusal = iota + 1
	// RefusedStaleRun means that the run number was already used.
	RefusedStaleRun
	// RefusedLeaseEnded means that the lease in the order had ended.
	RefusedLeaseEnded
	// RefusedCapacity means that the executor lacks free capacity.
	RefusedCapacity
	// RefusedTicket means that the ticket of the advisor is not valid.
	RefusedTicket
	// RefusedHostBusy means that the host is not up.
	RefusedHostBusy
	// RefusedNotInWave means that the host is not part of the wave.
	RefusedNotInWave
	// RefusedUnknownHost means that the host or its target does not exist.
	RefusedUnknownHost
	// RefusedRateLimit means that too many calls were made.
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

// RunningRow is an active run as an executor lists it. Saved is its newest
// checkpoint.
type RunningRow struct {
	Task  jobs.TaskRef
	Run   int
	Saved string
	// Percent is the progress of the run; a long-running task is fully started
	// at 100.
	Percent int
	// Load is the tail latency in milliseconds of a serving task, and the used
	// CPU in thousandths of a core of any other.
	Load int64
}

// EndedRow is the end of a run as an executor lists it. Number is the end's
// sequence number and Saved the newest checkpoint.
type EndedRow struct {
	Number int64
	Task   jobs.TaskRef
	Run    int
	How    jobs.RunResult
	Saved  string
}

// HostState is the state of a host in the platform's listing.
type HostState uint8

// The states of a host.
const (
	HostUp HostState = iota + 1
	HostMoving
	HostInUpkeep
	HostDown
)

// HostRow is a host in the platform's listing.
type HostRow struct {
	Host     string
	Pool     string
	State    HostState
	Zone     string
	Rack     string
	Labels   []string
	Capacity jobs.Resources
	Executor string
}

// Allowance is an executor that the advisor allows for a step, with the ticket
// to present to it.
type Allowance struct {
	Executor string
	Ticket   string
}

// Outcome is the result of a call.
type Outcome struct {
	ID      uint64
	Kind    CallKind
	Verdict Verdict
	Refusal Refusal
	// SentAt and AnsweredAt are on the sender's clock.
	SentAt     time.Time
	AnsweredAt time.Time
	// Clock is the executor's clock in milliseconds at some time between the
	// two, and StartedAt the start of its incarnation. They are 0 if the answer
	// does not contain them.
	Clock     int64
	StartedAt int64

	Running []RunningRow
	Ended   []EndedRow

	Hosts []HostRow
	// UnreadableHosts is the number of rows of the listing that could not be read.
	UnreadableHosts int
	NextPageToken   string

	Allowed  []Allowance
	ValidFor time.Duration
}

// Report is the state that an executor reports about itself.
type Report struct {
	ID        string
	StartedAt int64
	Sequence  int64
	Host      string
	Pool      string
	Address   string
	Zone      string
	Rack      string
	Labels    []string
	Capacity  jobs.Resources
	Draining  bool
	// DrainLeft is the least time until a draining executor shuts down.
	DrainLeft time.Duration
	Clock     int64
	// Leaving is set when the executor shuts down now.
	Leaving bool
}

// Request is a request of a caller or an operator. Each one gets exactly one
// Reply with its ID.
type Request struct {
	ID   uint64
	Kind RequestKind
	// Host and Path select the queue and the job.
	Host string
	Path string
	// Key is the digest of the caller's API key, or nil if the call has none.
	Key  *jobs.KeyDigest
	Spec *jobs.Spec

	Config *jobs.Config
	Wave   *jobs.Wave
	WaveID int64
}

// RequestKind is the kind of a request.
type RequestKind uint8

// The kinds of requests. RequestSubmit, RequestCancel, RequestConfigure and
// RequestStartWave are answered once they are recorded.
const (
	RequestSubmit RequestKind = iota + 1
	// RequestState asks for the phase of a job.
	RequestState
	RequestCancel
	// RequestPending asks for the number of a queue's jobs without a started
	// task.
	RequestPending
	RequestConfigure
	RequestStartWave
	// RequestWave asks whether a wave is complete.
	RequestWave
)

// ReplyKind is the kind of a reply.
type ReplyKind uint8

// The kinds of replies.
const (
	ReplyAccepted ReplyKind = iota + 1
	// ReplyNoQueue means that no configured queue matches the request.
	ReplyNoQueue
	// ReplyNoConfig means that there is no configuration yet.
	ReplyNoConfig
	ReplyNoJob
	ReplyNoWave
	ReplyMalformed
	// ReplyOutcomeUnknown means that leadership ended before the reply.
	ReplyOutcomeUnknown
	// ReplyUnauthorized means that the call needs an API key and has no valid one.
	ReplyUnauthorized
	// ReplyOverloaded means that the job was not recorded, because it cannot be served now;
	// RetryAfter says when it may be submitted again.
	ReplyOverloaded
	// ReplyUnavailable means that the request was not recorded, because some replicas cannot
	// read it yet. Missing names them.
	ReplyUnavailable
)

// Reply is the answer to a request.
type Reply struct {
	ID   uint64
	Kind ReplyKind
	// Phase is the phase of the job, Pending the number of the queue's jobs
	// without a started task, and Complete reports whether the wave is
	// complete.
	Phase    jobs.Phase
	Pending  int
	Complete bool
	// Missing names the replicas that do not read a configuration yet.
	Missing []string
	// RetryAfter is the time after which a refused submission may be repeated, or 0.
	RetryAfter time.Duration
	// ConfigVersion is the version of the configuration that the decision was
	// based on.
	ConfigVersion uint64
}

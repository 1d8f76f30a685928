package jobs

// Command is one change to the replicated records. Exactly one field is set.
type Command struct {
	AcceptJob        *AcceptJob        `cbor:"1,keyasint,omitempty"`
	CancelJob        *CancelJob        `cbor:"2,keyasint,omitempty"`
	BeginRun         *BeginRun         `cbor:"3,keyasint,omitempty"`
	EndRun           *EndRun           `cbor:"4,keyasint,omitempty"`
	RegisterExecutor *RegisterExecutor `cbor:"5,keyasint,omitempty"`
	RemoveExecutor   *RemoveExecutor   `cbor:"6,keyasint,omitempty"`
	Configure        *Config           `cbor:"7,keyasint,omitempty"`
	StartWave        *Wave             `cbor:"8,keyasint,omitempty"`
	RecordUpkeep     *RecordUpkeep     `cbor:"9,keyasint,omitempty"`
	DeleteJob        *DeleteJob        `cbor:"10,keyasint,omitempty"`
	RecordHostOrders *RecordHostOrders `cbor:"11,keyasint,omitempty"`
	SettleSilence    *SettleSilence    `cbor:"12,keyasint,omitempty"`
	AdoptRun         *AdoptRun         `cbor:"13,keyasint,omitempty"`
	SetFormat        *SetFormat        `cbor:"14,keyasint,omitempty"`
}

// AcceptJob stores a submitted job. Repeating it for the same ID has no effect.
type AcceptJob struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	Pool  string `cbor:"3,keyasint"`
	Spec  Spec   `cbor:"4,keyasint"`
	// SubmittedAt is the submission time in Unix milliseconds of the leader's
	// clock. It only orders work; no correctness rule depends on it.
	SubmittedAt int64 `cbor:"5,keyasint,omitempty"`
	// Tenant is the name of the tenant that submitted the job, or empty.
	Tenant string `cbor:"6,keyasint,omitempty"`
}

// CancelJob ends a job. It has no effect on a job that has ended.
type CancelJob struct {
	ID string `cbor:"1,keyasint"`
}

// BeginRun records that the leader is about to order the start of a task. No
// start is ordered before its BeginRun is applied.
type BeginRun struct {
	Task     TaskRef `cbor:"1,keyasint"`
	Run      int     `cbor:"2,keyasint"`
	Executor int     `cbor:"3,keyasint"`
}

// RunResult is the way a run ended.
type RunResult uint8

// The results of a run. Executors list all but the last two, which the leader
// concludes by itself. A result other than ResultDone and ResultFailed neither
// completes the task nor counts as a failure.
const (
	ResultDone RunResult = iota + 1
	ResultFailed
	ResultStopped
	// ResultLapsed means that the lease of the run expired.
	ResultLapsed
	ResultBroken
	ResultAlone
	// ResultNotStarted means that the order to start certainly had no effect.
	ResultNotStarted
	// ResultGone means that the executor incarnation has ended, or that the
	// executor no longer lists the run.
	ResultGone
)

// String returns the name used in logs.
func (r RunResult) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone", "not_started", "gone"}
	if int(r) < len(names) {
		return names[r]
	}
	return names[0]
}

// EndRun records the end of a run.
type EndRun struct {
	Task TaskRef `cbor:"1,keyasint"`
	// Run is the number of the run. With 0 and ResultFailed there is no run: the command
	// ends the job if the task has failed as often as its queue allows by now.
	Run      int       `cbor:"2,keyasint"`
	Executor int       `cbor:"3,keyasint"`
	Result   RunResult `cbor:"4,keyasint"`
	// Checkpoint is the newest checkpoint of the task, or empty.
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// Number is the sequence number that the executor gave the end, or 0 if the
	// leader concluded it. Ends of one executor are recorded in the order of
	// their numbers.
	Number int64 `cbor:"6,keyasint,omitempty"`
	// Evidence says whether the task may have crashed the executor, and Crashed is set
	// if the executor has crashed for certain.
	Evidence CrashEvidence `cbor:"7,keyasint,omitempty"`
	Crashed  bool          `cbor:"8,keyasint,omitempty"`
}

// AdoptRun records that another incarnation than the recorded one holds a run: an order
// names an executor by its ID, so that the next one with the ID may have started it.
type AdoptRun struct {
	Task     TaskRef `cbor:"1,keyasint"`
	Run      int     `cbor:"2,keyasint"`
	Executor int     `cbor:"3,keyasint"`
}

// SettleSilence records what became of an executor whose silence was recorded as a
// loss under the task, with the given evidence.
type SettleSilence struct {
	Task     TaskRef       `cbor:"1,keyasint"`
	Evidence CrashEvidence `cbor:"2,keyasint"`
	// Crashed is set if the executor has crashed, and not if it answers again.
	Crashed bool `cbor:"3,keyasint,omitempty"`
}

// RegisterExecutor records a new executor incarnation if its number is 0, and a
// changed description of a known one otherwise.
type RegisterExecutor struct {
	Executor Executor `cbor:"1,keyasint"`
}

// RemoveExecutor records that an executor incarnation has ended. All its runs
// must have ended before.
type RemoveExecutor struct {
	Executor int `cbor:"1,keyasint"`
}

// RecordUpkeep records that the upkeep of a host of a wave has begun, or that
// the host no longer exists.
type RecordUpkeep struct {
	Wave int64  `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// Removed is set when the platform no longer has the host.
	Removed bool `cbor:"3,keyasint,omitempty"`
}

// RecordHostOrders records which hosts have recent orders for a move or upkeep. No
// such order is sent before its record is applied, so a later leader knows every
// host for which an order may still be under way, and need not wait for the others.
type RecordHostOrders struct {
	// Term is the term of the leader that gives the orders.
	Term uint64 `cbor:"1,keyasint"`
	// Orders are about to be sent.
	Orders []HostOrder `cbor:"2,keyasint,omitempty"`
	// Settled are hosts whose newest order is so old that any leader may order them.
	Settled []string `cbor:"3,keyasint,omitempty"`
}

// HostOrder names the host of an order for a move or upkeep.
type HostOrder struct {
	Host string `cbor:"1,keyasint"`
	// Wave is the wave of an order for upkeep, 0 for a move.
	Wave int64 `cbor:"2,keyasint,omitempty"`
	// Term is the term of the leader that gave the order. Apply sets it.
	Term uint64 `cbor:"3,keyasint,omitempty"`
	// Executor is the number of the incarnation on the host when the first of the equal
	// orders was given, or 0. Only that one and those before it are ended for certain
	// once one of the orders is answered with success.
	Executor int `cbor:"4,keyasint,omitempty"`
}

// DeleteJob removes the record of an ended job after its retention time.
type DeleteJob struct {
	ID string `cbor:"1,keyasint"`
}

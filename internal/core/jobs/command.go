package jobs

// Command is one change of the records. Exactly one field is set.
type Command struct {
	AcceptJob    *AcceptJob `cbor:"1,keyasint,omitempty"`
	CancelJob    *CancelJob `cbor:"2,keyasint,omitempty"`
	BeginRun     *BeginRun  `cbor:"3,keyasint,omitempty"`
	EndRun       *EndRun    `cbor:"4,keyasint,omitempty"`
	RegisterExecutor      *RegisterExecutor   `cbor:"5,keyasint,omitempty"`
	RemoveExecutor     *RemoveExecutor  `cbor:"6,keyasint,omitempty"`
	Configure *Config `cbor:"7,keyasint,omitempty"`
	StartWave      *Wave   `cbor:"8,keyasint,omitempty"`
	RecordUpkeep    *RecordUpkeep `cbor:"9,keyasint,omitempty"`
	DeleteJob    *DeleteJob `cbor:"10,keyasint,omitempty"`
}

// Accept stores a submitted job. A second Accept of an ID changes nothing.
type AcceptJob struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	Pool  string `cbor:"3,keyasint"`
	Spec  Spec   `cbor:"4,keyasint"`
	// At is when it was submitted, in Unix milliseconds of the leader. It only
	// orders work and decides nothing that must hold.
	SubmittedAt int64 `cbor:"5,keyasint,omitempty"`
}

// Cancel ends a job. It has no effect on a job that has ended.
type CancelJob struct {
	ID string `cbor:"1,keyasint"`
}

// Begin says that a start of a task is about to be ordered. Nothing is ordered
// before its Begin is applied.
type BeginRun struct {
	Task     TaskRef `cbor:"1,keyasint"`
	Run      int     `cbor:"2,keyasint"`
	Executor int     `cbor:"3,keyasint"`
}

// How tells how a run ended.
type RunResult uint8

// The ends of a run. NotStarted and Gone are conclusions of the leader: the
// order certainly had no effect, or the executor's life is over.
const (
	ResultDone RunResult = iota + 1
	ResultFailed
	ResultStopped
	ResultLapsed
	ResultBroken
	ResultAlone
	ResultNotStarted
	ResultGone
)

// String returns the name used in logs.
func (h RunResult) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone", "not_started", "gone"}
	if int(h) < len(names) {
		return names[h]
	}
	return names[0]
}

// End records how a run ended.
type EndRun struct {
	Task     TaskRef `cbor:"1,keyasint"`
	Run      int     `cbor:"2,keyasint"`
	Executor int     `cbor:"3,keyasint"`
	Result      RunResult     `cbor:"4,keyasint"`
	// Saved is the newest checkpoint of the task, if there is one.
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// Number is the executor's number of the end; 0 for a conclusion of the
	// leader. Ends are recorded in the order of their numbers.
	Number int64 `cbor:"6,keyasint,omitempty"`
}

// Join records an executor's life, or what changed in it.
type RegisterExecutor struct {
	Executor Executor `cbor:"1,keyasint"`
}

// Leave records that an executor's life is over. All its runs must have ended.
type RemoveExecutor struct {
	Executor int `cbor:"1,keyasint"`
}

// Upkeep records that a host of a wave has begun its upkeep, or that it no
// longer exists.
type RecordUpkeep struct {
	Wave int64  `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// Removed tells that the host has left the platform.
	Removed bool `cbor:"3,keyasint,omitempty"`
}

// Forget drops a job that ended long ago.
type DeleteJob struct {
	ID string `cbor:"1,keyasint"`
}

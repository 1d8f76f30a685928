// Package control runs a control replica. One goroutine, the control loop, owns
// the Raft node, the replicated state and the pending proposals. All other
// goroutines read immutable views and send events through bounded queues.
package control

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/wal"
)

// ErrAbandon is the cause to cancel the context of Run with in order to end the
// replica immediately, like a crash. With any other cause, leadership is
// transferred first.
var ErrAbandon = errors.New("replica abandoned")

// Replica is one control replica.
type Replica struct {
	cfg       Config
	store     Store
	recovered recoveredState
	// Requests (events) and messages of the peers (inbound) have separate queues,
	// so that many changes don't delay heartbeats until the leader is deposed.
	events  chan event
	inbound chan delivery
	view    atomic.Pointer[view]
	status  atomic.Pointer[statusView]
	// peers is nil until the replica runs.
	peers    atomic.Pointer[peers]
	recorder *recorder
	gauges   *gauges
	// createdAt is the time at which the replica was created. Its monotonic reading
	// is the origin of clock, which is stored by the control loop.
	createdAt time.Time
	clock     atomic.Pointer[state.Clock]
	// done is closed when Run has returned.
	done chan struct{}
}

// view is a published snapshot of the applied state.
type view struct {
	snapshot *state.Snapshot
	applied  uint64
	// superseded is closed when the next view is published.
	superseded chan struct{}
}

// statusView is a published status.
type statusView struct {
	status Status
	// superseded is closed when the next status is published.
	superseded chan struct{}
}

// Status is a summary of a replica.
type Status struct {
	raft.Status
	// StorageError is the storage failure, if any, because of which the replica
	// acknowledges nothing. Leader is then the leader by messages that it refused.
	StorageError error
	// Stopping reports whether the replica is shutting down.
	Stopping bool
	// Addresses are the base URLs of the replicas by ID.
	Addresses map[uint64]string
	Storage   wal.Stats
}

// recoveredState is the state from which the control loop starts.
type recoveredState struct {
	hardState raft.HardState
	snapshot  raft.SnapshotMeta
	entries   []raft.Entry
	image     *image
	voters    []uint64
}

func newRecoveredState(rec *wal.Recovered) recoveredState {
	return recoveredState{hardState: rec.HardState, snapshot: rec.Snapshot.Meta, entries: rec.Entries}
}

// InitCluster initialises the data directory of one replica of a new cluster. The
// list of voters must be the same for all of them.
func InitCluster(cfg Config, voters []uint64) error {
	snap, err := bootstrapSnapshot(cfg.Peers, voters)
	if err != nil {
		return err
	}
	return initDataDir(cfg, snap)
}

// InitJoin initialises the data directory of a replica that joins an existing
// cluster. Its ID must never have been used in that cluster.
func InitJoin(cfg Config) error { return initDataDir(cfg, nil) }

func initDataDir(cfg Config, snap *raft.Snapshot) error {
	if err := cfg.validate(); err != nil {
		return err
	}
	fs, err := cfg.storage()
	if err != nil {
		return err
	}
	return wal.Init(fs, cfg.Cluster, cfg.ID, snap)
}

// Open returns a replica with the state in its data directory. Run starts it.
func Open(cfg Config) (*Replica, error) {
	fs, err := cfg.storage()
	if err != nil {
		return nil, err
	}
	return OpenFS(cfg, fs)
}

// OpenFS is like Open, with the file operations of fs.
func OpenFS(cfg Config, fs wal.FS) (*Replica, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	log, rec, err := wal.Open(wal.Options{FS: fs, Cluster: cfg.Cluster, Replica: cfg.ID})
	if err != nil {
		return nil, err
	}
	recovered := newRecoveredState(rec)
	recovered.image = &image{state: state.New()}
	if rec.Snapshot.Meta.Index > 0 {
		if recovered.image, err = decodeImage(rec.Snapshot.Data); err != nil {
			log.Close()
			return nil, err
		}
	}
	logRecovery(cfg, rec)
	return newReplica(cfg, log, recovered), nil
}

// New returns an unreplicated replica that has no data directory, so nothing
// survives a restart. It is meant for tests of other packages.
func New(cfg Config) *Replica {
	cfg = cfg.withDefaults()
	if cfg.Cluster == "" {
		cfg.Cluster = "memory"
	}
	start := recoveredState{image: &image{state: state.New()}, voters: []uint64{cfg.ID}}
	return newReplica(cfg, &memoryStore{}, start)
}

func newReplica(cfg Config, store Store, recovered recoveredState) *Replica {
	r := &Replica{
		cfg: cfg, store: store, recovered: recovered,
		events: make(chan event, cfg.QueueLength), inbound: make(chan delivery, peerQueueLength),
		done: make(chan struct{}), gauges: newGauges(cfg.Metrics), createdAt: time.Now(),
	}
	clock := state.NewClock(r.createdAt)
	r.clock.Store(&clock)
	r.advanceClock(recovered.image.state.Now())
	r.recorder = newRecorder(r)
	r.view.Store(&view{snapshot: recovered.image.state.Snapshot(), applied: recovered.snapshot.Index, superseded: make(chan struct{})})
	r.status.Store(&statusView{status: Status{Status: raft.Status{ID: cfg.ID}}, superseded: make(chan struct{})})
	return r
}

// Snapshot returns the state that this replica has applied, which may be behind
// that of the leader.
func (r *Replica) Snapshot() *state.Snapshot { return r.view.Load().snapshot }

// Changed returns a channel that is closed when the current snapshot is replaced.
// Call it before Snapshot, so that no change is missed.
func (r *Replica) Changed() <-chan struct{} { return r.view.Load().superseded }

// Now returns the time for the origin of a command. The leader replaces the time
// of forwarded commands by its own, so that the commands of a term are ordered by
// one clock. Adjustments of the wall clock after the start of the process have no
// effect on it.
func (r *Replica) Now() time.Time { return r.clock.Load().Now(time.Since(r.createdAt)) }

// advanceClock advances the clock so that Now is not before the replicated time.
// Once the replica runs, only the control loop may call it.
func (r *Replica) advanceClock(replicated time.Time) {
	next := r.clock.Load().AdvanceTo(replicated, time.Since(r.createdAt))
	r.clock.Store(&next)
}

// IsLeader reports whether this replica believes that it is the leader.
func (r *Replica) IsLeader() bool { return r.status.Load().status.Role == raft.Leader }

// Status returns the published status, which is at most a few ticks old.
func (r *Replica) Status() Status { return r.status.Load().status }

// StatusChanged returns a channel that is closed when the current status is
// replaced. Call it before Status, so that no change is missed.
func (r *Replica) StatusChanged() <-chan struct{} { return r.status.Load().superseded }

// enqueue queues an event. It fails if the queue is full.
func (r *Replica) enqueue(e event) error {
	select {
	case r.events <- e:
		return nil
	default:
		return fault.New(fault.Overloaded, "%d events wait for the control loop already", cap(r.events))
	}
}

// enqueueAndWait queues an event and waits for its answer. If ctx ends while it
// waits, the error has timeoutKind: the outcome of a change is then unknown,
// whereas a read has just failed.
func (r *Replica) enqueueAndWait(ctx context.Context, e event, reply <-chan outcome, timeoutKind fault.Kind) (state.Result, error) {
	if err := ctx.Err(); err != nil {
		return state.Result{}, fault.New(fault.DeadlineExceeded, "the deadline has passed before the change was queued")
	}
	if err := r.enqueue(e); err != nil {
		return state.Result{}, err
	}
	select {
	case out := <-reply:
		return out.result, out.err
	case <-r.done:
	case <-ctx.Done():
		return state.Result{}, fault.New(timeoutKind, "no answer was seen in time")
	}
	select {
	case out := <-reply:
		return out.result, out.err
	default:
		// Before it ends, the control loop answers each event that it has received.
		return state.Result{}, fault.New(fault.Stopping, "replica %d has stopped", r.cfg.ID)
	}
}

// withLeader calls attempt, and repeats it for at most LeaderWait while the error
// proves that the change was not appended and another leader may accept it.
func (r *Replica) withLeader(ctx context.Context, attempt func(leader uint64) error) error {
	limit := time.NewTimer(r.cfg.LeaderWait)
	defer limit.Stop()
	for {
		current := r.status.Load()
		err := attempt(current.status.Leader)
		if !isNotAppended(err) {
			return err
		}
		select {
		case <-r.done:
			return err
		case <-current.superseded:
		case <-limit.C:
			return err
		case <-ctx.Done():
			return err
		}
	}
}

// isNotAppended reports whether an error proves that the change was not appended
// and another leader may accept it.
func isNotAppended(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader, fault.Unavailable, fault.StorageFailed, fault.Stopping:
		return true
	default:
		return false
	}
}

func logRecovery(cfg Config, rec *wal.Recovered) {
	fields := logevent.Fields{"snapshot": rec.Snapshot.Meta.Index, "entries": len(rec.Entries), "term": rec.HardState.Term}
	cfg.Log.Log(logevent.StorageOpened, fields)
	logTornRecord(cfg, rec)
}

func logTornRecord(cfg Config, rec *wal.Recovered) {
	if rec.TruncatedBytes > 0 {
		cfg.Log.Log(logevent.TornRecordCut, logevent.Fields{"bytes": rec.TruncatedBytes})
	}
}

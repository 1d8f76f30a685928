// Package control runs a control replica. One goroutine, the control loop,
// owns the consensus node, the replicated state and the pending proposals;
// everyone else reads immutable views and sends events through bounded queues.
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

// ErrAbandon is the cause with which Run's context is cancelled to end the
// replica at once, as a crash does. Any other cause hands leadership over first.
var ErrAbandon = errors.New("replica abandoned")

// Replica is one control replica.
type Replica struct {
	cfg   Config
	store Store
	start recovered
	// events has one lane for requests and one for messages of the peers, so
	// that a flood of changes does not depose the leader.
	events  chan event
	inbound chan delivery
	view    atomic.Pointer[view]
	role    atomic.Pointer[role]
	// peers is set while the replica runs.
	peers    atomic.Pointer[peers]
	recorder *recorder
	meters   *meters
	// began is when the replica was made, with the monotonic reading that clock
	// counts from. The control loop stores clock.
	began time.Time
	clock atomic.Pointer[state.Clock]
	// done is closed when Run has returned.
	done chan struct{}
}

// view is what the replica has applied.
type view struct {
	snapshot *state.Snapshot
	applied  uint64
	// newer is closed when the next view is there.
	newer chan struct{}
}

// role is what the replica knows of its place among the others.
type role struct {
	status Status
	// newer is closed when the next role is there.
	newer chan struct{}
}

// Status is a summary of a replica.
type Status struct {
	raft.Status
	// StorageError is the failure after which the replica acknowledges nothing.
	StorageError error
	// Stopping tells that a graceful shutdown is under way.
	Stopping bool
	// Addresses are the base URLs of the members by ID.
	Addresses map[uint64]string
	Storage   wal.Stats
}

// recovered is where the control loop starts.
type recovered struct {
	hs       raft.HardState
	snapshot raft.SnapshotMeta
	entries  []raft.Entry
	image    *image
	voters   []uint64
}

// InitCluster prepares the data folder of one replica of a new cluster. All of
// voters must be prepared with the same list.
func InitCluster(cfg Config, voters []uint64) error {
	first, err := firstSnapshot(cfg.Peers, voters)
	if err != nil {
		return err
	}
	return initFolder(cfg, first)
}

// InitJoin prepares the data folder of a replica that joins an existing
// cluster, under an ID that was never used.
func InitJoin(cfg Config) error { return initFolder(cfg, nil) }

func initFolder(cfg Config, first *raft.Snapshot) error {
	if err := cfg.check(); err != nil {
		return err
	}
	fs, err := wal.Dir(cfg.Dir)
	if err != nil {
		return err
	}
	return wal.Init(fs, cfg.Cluster, cfg.ID, first)
}

// Open reads the data folder of a replica that is not running yet.
func Open(cfg Config) (*Replica, error) {
	fs, err := wal.Dir(cfg.Dir)
	if err != nil {
		return nil, err
	}
	return OpenFS(cfg, fs)
}

// OpenFS is Open with other file operations.
func OpenFS(cfg Config, fs wal.FS) (*Replica, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	log, rec, err := wal.Open(wal.Options{FS: fs, Cluster: cfg.Cluster, Replica: cfg.ID})
	if err != nil {
		return nil, err
	}
	start := recovered{hs: rec.HardState, snapshot: rec.Snapshot.Meta, entries: rec.Entries, image: &image{state: state.New()}}
	if rec.Snapshot.Meta.Index > 0 {
		if start.image, err = decodeImage(rec.Snapshot.Data); err != nil {
			log.Close()
			return nil, err
		}
	}
	logRecovery(cfg, rec)
	return newReplica(cfg, log, start), nil
}

// New returns an unreplicated replica that keeps its log in memory. It serves
// tests of other packages, and nothing that must survive a restart.
func New(cfg Config) *Replica {
	cfg = cfg.withDefaults()
	if cfg.Cluster == "" {
		cfg.Cluster = "memory"
	}
	start := recovered{image: &image{state: state.New()}, voters: []uint64{cfg.ID}}
	return newReplica(cfg, &memoryStore{}, start)
}

func newReplica(cfg Config, store Store, start recovered) *Replica {
	r := &Replica{
		cfg: cfg, store: store, start: start,
		events: make(chan event, cfg.QueueLength), inbound: make(chan delivery, peerQueueLength),
		done: make(chan struct{}), meters: newMeters(cfg.Metrics), began: time.Now(),
	}
	clock := state.NewClock(r.began)
	r.clock.Store(&clock)
	r.followTime(start.image.state.Now())
	r.recorder = newRecorder(r)
	r.view.Store(&view{snapshot: start.image.state.Snapshot(), applied: start.snapshot.Index, newer: make(chan struct{})})
	r.role.Store(&role{status: Status{Status: raft.Status{ID: cfg.ID}}, newer: make(chan struct{})})
	return r
}

// Snapshot returns what this replica has applied, which may lag.
func (r *Replica) Snapshot() *state.Snapshot { return r.view.Load().snapshot }

// Changed returns a channel that is closed when a newer snapshot than the one
// that Snapshot returned before is there. Call it before Snapshot.
func (r *Replica) Changed() <-chan struct{} { return r.view.Load().newer }

// Now returns the time for the origin of a command. The leader replaces it by
// its own, so that one clock orders the commands of a term. It does not depend
// on the wall clock after the start of the process.
func (r *Replica) Now() time.Time { return r.clock.Load().Now(time.Since(r.began)) }

// followTime keeps Now from falling behind the replicated time. Only the
// control loop calls it once the replica runs.
func (r *Replica) followTime(replicated time.Time) {
	next := r.clock.Load().AdvanceTo(replicated, time.Since(r.began))
	r.clock.Store(&next)
}

// IsLeader tells whether this replica leads, as far as it knows.
func (r *Replica) IsLeader() bool { return r.role.Load().status.Role == raft.Leader }

// Status returns a summary that is at most a few ticks old.
func (r *Replica) Status() Status { return r.role.Load().status }

// RoleChanged returns a channel that is closed when a newer Status is there.
// Call it before Status.
func (r *Replica) StatusChanged() <-chan struct{} { return r.role.Load().newer }

// put queues an event and refuses it if the queue is full.
func (r *Replica) put(e event) error {
	select {
	case r.events <- e:
		return nil
	default:
		return fault.New(fault.Overloaded, "%d events wait for the control loop already", cap(r.events))
	}
}

// await queues an event and waits for its answer. After that the outcome of a
// change is not known if ctx ends, whereas a read has simply failed.
func (r *Replica) await(ctx context.Context, e event, reply <-chan outcome, late fault.Kind) (state.Result, error) {
	if err := ctx.Err(); err != nil {
		return state.Result{}, fault.New(fault.DeadlineExceeded, "the deadline has passed before the change was queued")
	}
	if err := r.put(e); err != nil {
		return state.Result{}, err
	}
	select {
	case out := <-reply:
		return out.result, out.err
	case <-r.done:
	case <-ctx.Done():
		return state.Result{}, fault.New(late, "no answer was seen in time")
	}
	select {
	case out := <-reply:
		return out.result, out.err
	default:
		// The loop answers whatever it has taken before it ends.
		return state.Result{}, fault.New(fault.Stopping, "replica %d has stopped", r.cfg.ID)
	}
}

// withLeader repeats attempt while it is certain that the change was not
// appended because there is no leader, for at most LeaderWait.
func (r *Replica) withLeader(ctx context.Context, attempt func(leader uint64) error) error {
	limit := time.NewTimer(r.cfg.LeaderWait)
	defer limit.Stop()
	for {
		role := r.role.Load()
		err := attempt(role.status.Leader)
		if !isNotAppended(err) {
			return err
		}
		select {
		case <-r.done:
			return err
		case <-role.newer:
		case <-limit.C:
			return err
		case <-ctx.Done():
			return err
		}
	}
}

// isNotAppended tells whether a failure proves that the change was not appended
// and another leader may take it.
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
	if rec.TruncatedBytes > 0 {
		cfg.Log.Log(logevent.TornRecordCut, logevent.Fields{"bytes": rec.TruncatedBytes})
	}
}

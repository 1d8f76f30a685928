package control

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/logevent"
)

const (
	// resolveElectionTimeouts is the number of election timeouts for which pending
	// proposals wait for their outcome after this replica lost leadership. By then
	// a new leader has usually committed or overwritten them.
	resolveElectionTimeouts = 4
	// transferElectionTimeouts is the maximum number of election timeouts for which
	// a graceful shutdown waits for another leader.
	transferElectionTimeouts = 2
	// tickCommandInterval is the interval at which the replicated time advances
	// while there are no other commands.
	tickCommandInterval = time.Second
	// expiryHorizon is the maximum lifetime of anything in the state that expires,
	// 10 minutes for the outcome of a request, plus a margin. A state that has not
	// changed for that long holds nothing that can expire, so an idle cluster
	// writes no more ticks to its disks.
	expiryHorizon = 11 * time.Minute
)

// loop is the state of the control loop. Except for schedDelay, only the goroutine
// in Run accesses it.
// Invariants: a Ready is persisted, then its messages are sent, then its entries
// are applied, and only then are proposals and reads answered; pending holds the
// proposals that this replica appended and has not answered yet; nothing is
// acknowledged while failed is set; an entry is applied once, also if a node that was
// created after a failure commits it again.
type loop struct {
	r         *Replica
	node      *raft.Node
	state     *state.State
	hardState raft.HardState
	applied   uint64
	pending   pendingTable
	// reads are the reply channels of pending reads by token.
	reads     map[uint64]chan outcome
	readToken uint64
	// images are the decoded payloads of received snapshots. processReady discards
	// them at its end.
	images    map[*raft.Snapshot]*image
	addresses map[uint64]string
	peers     *peers
	// failed is the failure that halted the replica, or nil. outage
	// describes it.
	failed error
	outage outage
	// reopenedAt is when the storage was last reopened, and reopenDelay the time before
	// the first attempt of the last outage.
	reopenedAt  time.Time
	reopenDelay time.Duration
	stopping    bool
	// statusDue is set when a tick has passed since the status was published.
	statusDue bool
	// ticksSinceLeading is the number of ticks since this replica was last the
	// leader.
	ticksSinceLeading int
	lastStatus        raft.Status
	lastTickCommand   time.Time
	// changedAt is the time at which the last command other than a tick was
	// applied.
	changedAt time.Time
	// snapshotIndex is the index of the newest snapshot, bytesSinceSnapshot the size
	// of the entries applied since the last snapshot was started. savingSnapshot is
	// set while a snapshot is being written.
	snapshotIndex      uint64
	bytesSinceSnapshot int
	savingSnapshot     bool
	// snapshotRetryAt is the time before which no snapshot is started, because the
	// last one could not be written.
	snapshotRetryAt time.Time
	savedSnapshots  chan savedSnapshot
	snapshotWriters sync.WaitGroup
	leadership      leadership
	// consecutiveSlowSyncs is the number of slow syncs since the last fast one or
	// the last transfer of leadership.
	consecutiveSlowSyncs int
	// schedDelay is updated by its own goroutine.
	schedDelay schedulingDelay
}

// Run runs the control loop until ctx ends. It transfers leadership before it
// returns, unless the cause is ErrAbandon.
func (r *Replica) Run(ctx context.Context) error {
	peerCtx, cancel := context.WithCancel(context.Background())
	l, err := r.newLoop(peerCtx)
	if err != nil {
		cancel()
		return err
	}
	defer func() {
		cancel()
		l.peers.wait()
		l.snapshotWriters.Wait()
		close(r.done)
		if err := r.store.Close(); err != nil {
			r.cfg.Log.Err(logevent.StorageFailed, err, nil)
		}
	}()
	l.peers.group.Go(func() { r.recorder.run(peerCtx) })
	l.peers.group.Go(func() { l.schedDelay.run(peerCtx) })
	ticker := time.NewTicker(r.cfg.Tick)
	defer ticker.Stop()
	l.processReady()
	for {
		select {
		case <-ctx.Done():
			l.shutDown(ctx, ticker)
			return nil
		default:
		}
		l.runBatch(ctx, ticker)
	}
}

// newNode returns a Raft node with stored state.
func (c Config) newNode(s recoveredState) (*raft.Node, error) {
	return raft.New(raft.Config{
		ID: c.ID, Voters: s.voters, ElectionTicks: c.ElectionTicks, HeartbeatTicks: c.HeartbeatTicks,
		MaxEntriesPerMessage: maxEntriesPerMessage, MaxBytesPerMessage: maxBytesPerMessage, MaxInflight: maxInflight,
		MaxUncommitted: maxUncommittedBytes, MaxReads: maxReads, LazyCommit: c.LazyCommit, Seed: uint64(time.Now().UnixNano()),
	}, s.hardState, s.snapshot, s.entries)
}

func (r *Replica) newLoop(ctx context.Context) (*loop, error) {
	s := r.recovered
	node, err := r.cfg.newNode(s)
	if err != nil {
		return nil, err
	}
	status := node.Status()
	l := &loop{
		r: r, node: node, state: s.image.state, hardState: s.hardState, applied: status.Applied, pending: pendingTable{},
		reads: map[uint64]chan outcome{}, images: map[*raft.Snapshot]*image{}, addresses: map[uint64]string{},
		changedAt: time.Now(), snapshotIndex: status.SnapshotIndex, savedSnapshots: make(chan savedSnapshot, 1),
	}
	l.peers = newPeers(ctx, r.cfg, r.store)
	l.setAddresses(s.image.addresses)
	l.setEntryAddresses(s.entries)
	// Configured addresses override stored ones, so that an operator can move a
	// replica to another address.
	l.setAddresses(r.cfg.Peers)
	r.peers.Store(l.peers)
	return l, nil
}

// runBatch waits for an event, handles it with everything that is queued behind
// it, and then processes the resulting work as one batch.
func (l *loop) runBatch(ctx context.Context, ticker *time.Ticker) {
	select {
	case <-ctx.Done():
		return
	case <-ticker.C:
		l.handleTick()
	case e := <-l.r.events:
		l.handleEvent(e)
	case d := <-l.r.inbound:
		l.handleDelivery(d)
	case s := <-l.savedSnapshots:
		l.finishSnapshot(s)
	}
	l.handleQueued()
	l.processReady()
	l.stepJobManager()
}

// handleQueued handles queued events and messages until the queues are empty, up
// to the capacity of the event queue.
func (l *loop) handleQueued() {
	for range cap(l.r.events) {
		select {
		case e := <-l.r.events:
			l.handleEvent(e)
		case d := <-l.r.inbound:
			l.handleDelivery(d)
		default:
			return
		}
	}
}

// handleEvent handles an event, or refuses it if the replica has failed or is
// stopping.
func (l *loop) handleEvent(e event) {
	switch {
	case l.failed != nil:
		e.refuse(l.refusal())
	case l.stopping:
		e.refuse(fault.New(fault.Stopping, "replica %d is stopping", l.r.cfg.ID))
	default:
		e.handle(l)
	}
}

// handleDelivery passes the messages of a peer to the Raft node.
func (l *loop) handleDelivery(d delivery) {
	if l.failed != nil {
		l.observeLeader(d.messages)
		d.reply <- l.failed
		return
	}
	if err := l.r.store.CheckDisk(d.from, d.disk); err != nil {
		l.r.cfg.Log.Err(logevent.PeerRefused, err, logevent.Fields{"peer": d.from})
		d.reply <- err
		if fault.KindOf(err) == fault.StorageFailed {
			l.fail(err)
		}
		return
	}
	d.reply <- nil
	for _, m := range d.messages {
		if m.Snapshot != nil {
			l.images[m.Snapshot] = d.images[m.Snapshot]
		}
		if err := l.node.Step(m); err != nil {
			l.r.cfg.Log.Err(logevent.PeerRefused, err, logevent.Fields{"peer": d.from})
		}
	}
}

// handleTick handles a tick of the timer.
func (l *loop) handleTick() {
	l.statusDue = true
	if l.failed != nil {
		l.reopenStorageIfDue()
	}
	l.node.Tick()
	l.requestConfirmation()
	if l.node.Role() == raft.Leader {
		l.ticksSinceLeading = 0
		l.proposeTick()
		return
	}
	l.ticksSinceLeading++
	if l.ticksSinceLeading > resolveElectionTimeouts*l.r.cfg.ElectionTicks {
		l.pending.fail(^uint64(0), fault.New(fault.OutcomeUnknown, "leadership changed before the change was committed"))
	}
}

// proposeTick proposes a tick that advances the replicated time. It does so at
// most once a second, and only while no other command advances the time and
// something may expire.
func (l *loop) proposeTick() {
	now := l.r.Now()
	if l.stopping || now.Sub(l.lastTickCommand) < tickCommandInterval || now.Sub(l.state.Now()) < tickCommandInterval || now.Sub(l.changedAt) > expiryHorizon {
		return
	}
	l.lastTickCommand = now
	data, err := codec.EncodeCommand(state.Tick{Origin: state.Origin{Actor: "system", Source: "control", Time: now}})
	if err != nil {
		return
	}
	// An error means that the log is full or leadership was lost. The next tick
	// command is proposed a second later.
	_, _, _ = l.node.Propose(data)
}

// processReady processes the outputs of the Raft node. The order is persist, send,
// apply, answer.
func (l *loop) processReady() {
	for {
		rd, ok := l.node.Ready()
		if !ok {
			break
		}
		if err := l.persist(rd); err != nil {
			l.fail(err)
			continue
		}
		l.send(rd.Messages)
		if err := l.apply(rd.Committed); err != nil {
			l.fail(err)
			continue
		}
		for _, res := range rd.Reads {
			l.answerRead(res)
		}
		l.node.Advance(rd)
	}
	clear(l.images)
	l.startSnapshot()
	l.publishStatus()
}

// persist stores what the messages and answers of rd depend on. A new commit index
// alone is not written: it is stored with the next entries, and after a restart
// the leader sends it.
func (l *loop) persist(rd raft.Ready) error {
	if rd.HardState != nil {
		l.hardState = *rd.HardState
	}
	if rd.Snapshot != nil {
		if err := l.installSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if !rd.MustSync || rd.Snapshot != nil && len(rd.Entries) == 0 {
		return nil
	}
	l.setEntryAddresses(rd.Entries)
	start := time.Now()
	err := l.r.store.Append(l.hardState, rd.Entries)
	l.checkSyncDuration(time.Since(start))
	return err
}

const (
	// slowSyncFraction is the fraction of the election timeout from which a sync
	// counts as slow. The loop waits for the sync, so a leader with slow syncs
	// delays every change, although a quorum without it would be faster.
	slowSyncFraction = 0.12
	// slowSyncsBeforeTransfer is the number of consecutive slow syncs after which a
	// leader transfers leadership. A single one may be transient.
	slowSyncsBeforeTransfer = 2
)

// checkSyncDuration transfers leadership if the disk has become slow. The recent
// scheduling delay is subtracted from the duration: if processor time is short,
// the next leader would be delayed as well.
func (l *loop) checkSyncDuration(duration time.Duration) {
	timeout := time.Duration(l.r.cfg.ElectionTicks) * l.r.cfg.Tick
	if duration-l.schedDelay.recent() < time.Duration(slowSyncFraction*float64(timeout)) {
		l.consecutiveSlowSyncs = 0
		return
	}
	l.consecutiveSlowSyncs++
	if l.consecutiveSlowSyncs >= slowSyncsBeforeTransfer && l.node.Role() == raft.Leader && l.node.TransferLeadership(0) {
		l.consecutiveSlowSyncs = 0
		l.r.cfg.Log.Log(logevent.DiskSlow, logevent.Fields{"sync_ms": duration.Milliseconds()})
	}
}

// installSnapshot replaces the log and the state by a snapshot from the leader.
func (l *loop) installSnapshot(snap *raft.Snapshot) error {
	img := l.images[snap]
	if img == nil {
		return fault.New(fault.Internal, "snapshot at %d has no content", snap.Meta.Index)
	}
	if err := l.r.store.InstallSnapshot(l.hardState, *snap); err != nil {
		return err
	}
	l.state, l.applied, l.snapshotIndex = img.state, snap.Meta.Index, snap.Meta.Index
	l.setAddresses(img.addresses)
	l.pending.fail(l.applied, fault.New(fault.OutcomeUnknown, "a snapshot that may include the change was installed"))
	l.publishView()
	l.r.cfg.Log.Log(logevent.SnapshotInstalled, logevent.Fields{"index": l.applied})
	return nil
}

func (l *loop) send(messages []raft.Message) {
	if l.node.IsTransferring() {
		// The target may lead as soon as it has the message, so the job manager stops
		// before.
		l.updateLeadership()
	}
	for _, m := range messages {
		l.peers.send(m)
	}
}

// apply applies committed entries to the state, publishes the new view and answers
// the proposals.
func (l *loop) apply(entries []raft.Entry) error {
	for len(entries) > 0 && entries[0].Index <= l.applied {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return nil
	}
	results := make([]state.Result, len(entries))
	for i, e := range entries {
		if e.Kind != raft.EntryCommand {
			continue
		}
		cmd, err := codec.DecodeCommand(e.Data)
		if err != nil {
			// If the entry were skipped, this replica would diverge.
			return fault.New(fault.Internal, "entry %d cannot be decoded: %v", e.Index, err)
		}
		results[i] = l.state.Apply(e.Index, cmd)
		l.bytesSinceSnapshot += len(e.Data)
		if step, ok := cmd.(state.JobsStep); ok {
			l.notifyApplied(step, results[i])
		}
		if _, isTick := cmd.(state.Tick); !isTick {
			l.changedAt = time.Now()
		}
	}
	l.applied = entries[len(entries)-1].Index
	// The view is published before the answers, so that the effect of an answered
	// change is visible in Snapshot.
	l.publishView()
	for i, e := range entries {
		l.pending.resolve(e.Index, e.Term, results[i])
	}
	return nil
}

func (l *loop) answerRead(res raft.ReadResult) {
	if l.handleConfirmation(res) {
		return
	}
	reply, ok := l.reads[res.Token]
	if !ok {
		return
	}
	delete(l.reads, res.Token)
	reply <- readOutcome(res)
}

// startSnapshot starts writing a snapshot in another goroutine if enough entries
// were applied. The dump shares the objects of the state, which are never
// modified.
func (l *loop) startSnapshot() {
	isDue := l.applied >= l.snapshotIndex+l.r.cfg.SnapshotEntries || l.bytesSinceSnapshot >= l.r.cfg.SnapshotBytes
	if l.savingSnapshot || l.failed != nil || !isDue || time.Now().Before(l.snapshotRetryAt) {
		return
	}
	meta, err := l.node.SnapshotMeta(l.applied)
	if err != nil {
		return
	}
	entryBytes := l.bytesSinceSnapshot
	l.savingSnapshot, l.bytesSinceSnapshot = true, 0
	dump, addresses := l.state.Dump(), maps.Clone(l.addresses)
	l.snapshotWriters.Go(func() {
		data, err := encodeImage(dump, addresses)
		if err == nil {
			err = l.r.store.SaveSnapshot(raft.Snapshot{Meta: meta, Data: data})
		}
		l.savedSnapshots <- savedSnapshot{meta: meta, entryBytes: entryBytes, err: err}
	})
}

// snapshotRetryInterval is the time after which a snapshot that could not be written
// is tried again. Until then the log only keeps more entries, whereas each attempt
// encodes the whole state.
const snapshotRetryInterval = time.Second

// finishSnapshot compacts the log up to a snapshot that was written. Without the
// snapshot, the log keeps its entries.
func (l *loop) finishSnapshot(s savedSnapshot) {
	l.savingSnapshot = false
	if s.err != nil {
		l.bytesSinceSnapshot += s.entryBytes
		l.snapshotRetryAt = time.Now().Add(snapshotRetryInterval)
		l.r.cfg.Log.Err(logevent.SnapshotNotWritten, s.err, logevent.Fields{"index": s.meta.Index})
		return
	}
	if l.failed != nil || s.meta.Index <= l.snapshotIndex {
		return
	}
	l.snapshotIndex = s.meta.Index
	l.node.Compact(s.meta, l.r.cfg.KeepEntries, l.r.cfg.SnapshotBytes/4)
	if err := l.r.store.Compact(s.meta.Index); err != nil {
		l.fail(err)
	}
}

func (l *loop) setEntryAddresses(entries []raft.Entry) {
	for _, e := range entries {
		if e.Kind == raft.EntryMember && e.Change.Address != "" {
			l.setAddresses(map[uint64]string{e.Change.ID: e.Change.Address})
		}
	}
}

func (l *loop) setAddresses(addresses map[uint64]string) {
	for id, url := range addresses {
		l.addresses[id] = url
		l.peers.setAddress(id, url)
	}
}

func (l *loop) publishView() {
	l.r.advanceClock(l.state.Now())
	next := &view{snapshot: l.state.Snapshot(), applied: l.applied, superseded: make(chan struct{})}
	close(l.r.view.Swap(next).superseded)
}

// publishStatus publishes the status after each tick and each change of role, term
// or leader. It does not do so after each batch, because callers that wait for a
// leader retry at each new status.
func (l *loop) publishStatus() {
	old := l.lastStatus
	isChanged := l.node.Role() != old.Role || l.leader() != old.Leader || l.node.Term() != old.Term
	if !isChanged && !l.statusDue {
		return
	}
	l.statusDue = false
	s := l.node.Status()
	s.Leader = l.leader()
	if s.Leader != old.Leader {
		l.r.cfg.Log.Log(logevent.LeaderChanged, logevent.Fields{"leader": s.Leader, "term": s.Term, "own_role": s.Role.String()})
	}
	l.lastStatus = s
	status := Status{Status: s, StorageError: l.failed, Stopping: l.stopping, Addresses: maps.Clone(l.addresses), Storage: l.r.store.Stats()}
	next := &statusView{status: status, superseded: make(chan struct{})}
	close(l.r.status.Swap(next).superseded)
	l.r.gauges.update(status)
}

// shutDown transfers leadership unless the replica is abandoned, refuses events
// that arrive in the meantime and fails everything that is pending.
func (l *loop) shutDown(ctx context.Context, ticker *time.Ticker) {
	l.stopping = true
	if !errors.Is(context.Cause(ctx), ErrAbandon) && l.node.TransferLeadership(0) {
		timeout := time.Duration(transferElectionTimeouts*l.r.cfg.ElectionTicks) * l.r.cfg.Tick
		transferCtx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		l.processReady()
		for transferCtx.Err() == nil && (l.node.Role() == raft.Leader || l.node.Leader() == 0) {
			l.runBatch(transferCtx, ticker)
		}
	}
	stopped := fault.New(fault.Stopping, "replica %d has stopped", l.r.cfg.ID)
	l.pending.fail(^uint64(0), fault.New(fault.OutcomeUnknown, "replica %d stopped before the change was committed", l.r.cfg.ID))
	for _, reply := range l.reads {
		reply <- outcome{err: stopped}
	}
	l.failed = stopped
	l.handleQueued()
}

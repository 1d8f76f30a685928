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
	// resolveTimeouts is how long, in election timeouts, proposals wait for
	// their outcome after this replica lost leadership; a new leader has usually
	// decided by then.
	resolveTimeouts = 4
	// handoverTimeouts bounds, in election timeouts, how long a graceful
	// shutdown waits for another leader.
	handoverTimeouts = 2
	// tickEvery is the resolution of the replicated time when no change
	// advances it.
	tickEvery = time.Second
	// expiryHorizon is the longest time for which the state keeps anything that
	// expires, 10 minutes for the outcome of a request, and a margin. A state
	// that has not changed for that long holds nothing that could expire, so
	// no further tick is written to the disks of an idle cluster.
	expiryHorizon = 11 * time.Minute
)

// loop is the state of the control loop. Only the goroutine in Run touches it, but
// for lag.
// Invariants: the order is persist, send, apply, answer; pending holds the
// proposals that were appended here and are not answered yet; nothing is
// acknowledged after failed is set.
type loop struct {
	r         *Replica
	node      *raft.Node
	state     *state.State
	hs        raft.HardState
	applied   uint64
	pending   pendingTable
	reads     map[uint64]chan outcome
	readToken uint64
	images    map[*raft.Snapshot]*image
	addresses map[uint64]string
	peers     *peers
	failed    error
	stopping  bool
	// ticked tells that the status is due for publication.
	ticked bool
	// ticksSinceLead counts the ticks since leadership was lost.
	ticksSinceLead int
	lastRole       raft.Status
	lastTick       time.Time
	// changedAt is when the last command other than a tick was applied.
	changedAt time.Time
	// snapshotAt is the index of the newest snapshot, and bytesSince the size
	// of what was applied since the last one was begun; saving tells that the
	// next is being written.
	snapshotAt uint64
	bytesSince int
	saving     bool
	saved      chan savedSnapshot
	writers    sync.WaitGroup
	office     office
	// slowSyncs counts the slow syncs in a row.
	slowSyncs int
	// lag is measured by a goroutine of its own.
	lag lagMeter
}

// Run is the control loop. It returns when ctx ends, after leadership was
// handed over.
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
		l.writers.Wait()
		close(r.done)
		if err := r.store.Close(); err != nil {
			r.cfg.Log.Err(logevent.StorageFailed, err, nil)
		}
	}()
	l.peers.group.Go(func() { r.recorder.run(peerCtx) })
	l.peers.group.Go(func() { l.lag.run(peerCtx) })
	ticker := time.NewTicker(r.cfg.Tick)
	defer ticker.Stop()
	l.process()
	for {
		select {
		case <-ctx.Done():
			l.shutDown(ctx, ticker)
			return nil
		default:
		}
		l.wait(ctx, ticker)
	}
}

func (r *Replica) newLoop(ctx context.Context) (*loop, error) {
	s := r.start
	node, err := raft.New(raft.Config{
		ID: r.cfg.ID, Voters: s.voters, ElectionTicks: r.cfg.ElectionTicks, HeartbeatTicks: r.cfg.HeartbeatTicks,
		MaxEntriesPerMessage: maxEntriesPerMessage, MaxBytesPerMessage: maxBytesPerMessage, MaxInflight: maxInflight,
		MaxUncommitted: maxUncommittedBytes, MaxReads: maxReads, LazyCommit: r.cfg.LazyCommit, Seed: uint64(time.Now().UnixNano()),
	}, s.hs, s.snapshot, s.entries)
	if err != nil {
		return nil, err
	}
	status := node.Status()
	l := &loop{
		r: r, node: node, state: s.image.state, hs: s.hs, applied: status.Applied, pending: pendingTable{},
		reads: map[uint64]chan outcome{}, images: map[*raft.Snapshot]*image{}, addresses: map[uint64]string{},
		changedAt: time.Now(), snapshotAt: status.SnapshotIndex, saved: make(chan savedSnapshot, 1),
	}
	l.peers = newPeers(ctx, r.cfg, r.store)
	l.learnAddresses(s.image.addresses)
	l.learnEntryAddresses(s.entries)
	// The settings win over what was stored, so that an operator can move a
	// replica to another address.
	l.learnAddresses(r.cfg.Peers)
	r.peers.Store(l.peers)
	return l, nil
}

// wait takes one event and everything that is queued behind it, and then
// carries out the effects as one batch.
func (l *loop) wait(ctx context.Context, ticker *time.Ticker) {
	select {
	case <-ctx.Done():
		return
	case <-ticker.C:
		l.tick()
	case e := <-l.r.events:
		l.take(e)
	case d := <-l.r.inbound:
		l.step(d)
	case s := <-l.saved:
		l.finishSnapshot(s)
	}
	l.drain()
	l.process()
	l.stepResident()
}

func (l *loop) drain() {
	for range cap(l.r.events) {
		select {
		case e := <-l.r.events:
			l.take(e)
		case d := <-l.r.inbound:
			l.step(d)
		default:
			return
		}
	}
}

func (l *loop) take(e event) {
	switch {
	case l.failed != nil:
		e.refuse(l.failed)
	case l.stopping:
		e.refuse(fault.New(fault.Stopping, "replica %d is stopping", l.r.cfg.ID))
	default:
		e.handle(l)
	}
}

// step hands the messages of a peer to the node.
func (l *loop) step(d delivery) {
	if l.failed != nil {
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

// tick is the event of the timer.
func (l *loop) tick() {
	l.ticked = true
	l.node.Tick()
	l.confirm()
	if l.node.Role() == raft.Leader {
		l.ticksSinceLead = 0
		l.tickState()
		return
	}
	l.ticksSinceLead++
	if l.ticksSinceLead > resolveTimeouts*l.r.cfg.ElectionTicks {
		l.pending.fail(^uint64(0), fault.New(fault.OutcomeUnknown, "leadership changed before the change was committed"))
	}
}

// tickState advances the replicated time, at most once a second and only while
// no change advances it and something may expire.
func (l *loop) tickState() {
	now := l.r.Now()
	if l.stopping || now.Sub(l.lastTick) < tickEvery || now.Sub(l.state.Now()) < tickEvery || now.Sub(l.changedAt) > expiryHorizon {
		return
	}
	l.lastTick = now
	data, err := codec.EncodeCommand(state.Tick{Origin: state.Origin{Actor: "system", Source: "control", Time: now}})
	if err != nil {
		return
	}
	// A refusal means that the log is busy or gone; the next second tries again.
	_, _, _ = l.node.Propose(data)
}

// process carries out what the node asks for, in the order persist, send,
// apply, answer.
func (l *loop) process() {
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
	l.publishRole()
}

// persist stores what messages and answers depend on. A new commit index alone
// is not written: a restart learns it from the leader, and it goes along with
// the next entries.
func (l *loop) persist(rd raft.Ready) error {
	if rd.HardState != nil {
		l.hs = *rd.HardState
	}
	if rd.Snapshot != nil {
		if err := l.install(rd.Snapshot); err != nil {
			return err
		}
	}
	if !rd.MustSync || rd.Snapshot != nil && len(rd.Entries) == 0 {
		return nil
	}
	l.learnEntryAddresses(rd.Entries)
	began := time.Now()
	err := l.r.store.Append(l.hs, rd.Entries)
	l.watchDisk(time.Since(began))
	return err
}

const (
	// slowSyncShare is the share of the election timeout above which a sync
	// counts as slow. The loop waits for its disk, so a leader with slow syncs
	// delays every change although a quorum without it would be faster.
	slowSyncShare = 0.12
	// slowSyncs is the number of slow syncs in a row after which a leader hands
	// over; one alone may be a hiccup.
	slowSyncs = 2
)

// watchDisk hands leadership over if the disk has become slow. What a lack of
// processor time adds to a sync does not count: the next leader would lack it as
// well.
func (l *loop) watchDisk(took time.Duration) {
	timeout := time.Duration(l.r.cfg.ElectionTicks) * l.r.cfg.Tick
	if took-l.lag.recent() < time.Duration(slowSyncShare*float64(timeout)) {
		l.slowSyncs = 0
		return
	}
	l.slowSyncs++
	if l.slowSyncs >= slowSyncs && l.node.Role() == raft.Leader && l.node.TransferLeadership(0) {
		l.slowSyncs = 0
		l.r.cfg.Log.Log(logevent.DiskSlow, logevent.Fields{"sync_ms": took.Milliseconds()})
	}
}

// install replaces log and state by a snapshot of the leader.
func (l *loop) install(snap *raft.Snapshot) error {
	img := l.images[snap]
	if img == nil {
		return fault.New(fault.Internal, "snapshot at %d has no content", snap.Meta.Index)
	}
	if err := l.r.store.InstallSnapshot(l.hs, *snap); err != nil {
		return err
	}
	l.state, l.applied, l.snapshotAt = img.state, snap.Meta.Index, snap.Meta.Index
	l.learnAddresses(img.addresses)
	l.pending.fail(l.applied, fault.New(fault.OutcomeUnknown, "the change may be part of a snapshot"))
	l.publishView()
	l.r.cfg.Log.Log(logevent.SnapshotInstalled, logevent.Fields{"index": l.applied})
	return nil
}

func (l *loop) send(messages []raft.Message) {
	for _, m := range messages {
		l.peers.send(m)
	}
}

func (l *loop) apply(entries []raft.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	answers := make([]state.Result, len(entries))
	for i, e := range entries {
		if e.Kind != raft.EntryCommand {
			continue
		}
		cmd, err := codec.DecodeCommand(e.Data)
		if err != nil {
			// Skipping the entry would let this replica diverge.
			return fault.New(fault.Internal, "entry %d cannot be decoded: %v", e.Index, err)
		}
		answers[i] = l.state.Apply(e.Index, cmd)
		l.bytesSince += len(e.Data)
		if step, ok := cmd.(state.JobsStep); ok {
			l.appliedJobs(step, answers[i])
		}
		if _, isTick := cmd.(state.Tick); !isTick {
			l.changedAt = time.Now()
		}
	}
	l.applied = entries[len(entries)-1].Index
	// The view comes before the answers, so that whoever has an answer finds
	// its effect in Snapshot.
	l.publishView()
	for i, e := range entries {
		l.pending.resolve(e.Index, e.Term, answers[i])
	}
	return nil
}

func (l *loop) answerRead(res raft.ReadResult) {
	if l.confirmed(res) {
		return
	}
	reply, ok := l.reads[res.Token]
	if !ok {
		return
	}
	delete(l.reads, res.Token)
	reply <- readOutcome(res)
}

// fail ends the replica's part in the cluster after a failure of its storage.
// What was appended may or may not survive a restart.
func (l *loop) fail(err error) {
	if l.failed != nil {
		return
	}
	l.failed = err
	l.r.store.Fail(err)
	l.r.cfg.Log.Err(logevent.StorageFailed, err, nil)
	l.node.Halt()
	l.pending.fail(^uint64(0), fault.New(fault.OutcomeUnknown, "the replica's storage failed before the change was committed: %v", err))
	for token, reply := range l.reads {
		delete(l.reads, token)
		reply <- outcome{err: err}
	}
}

// startSnapshot writes a snapshot beside the loop once enough was applied. The
// dump shares the objects of the state, which are never modified.
func (l *loop) startSnapshot() {
	isDue := l.applied >= l.snapshotAt+l.r.cfg.SnapshotEntries || l.bytesSince >= l.r.cfg.SnapshotBytes
	if l.saving || l.failed != nil || !isDue {
		return
	}
	meta, err := l.node.SnapshotMeta(l.applied)
	if err != nil {
		return
	}
	l.saving, l.bytesSince = true, 0
	dump, addresses := l.state.Dump(), maps.Clone(l.addresses)
	l.writers.Go(func() {
		data, err := encodeImage(dump, addresses)
		if err == nil {
			err = l.r.store.SaveSnapshot(raft.Snapshot{Meta: meta, Data: data})
		}
		l.saved <- savedSnapshot{meta: meta, err: err}
	})
}

// finishSnapshot drops the log that a stored snapshot replaces.
func (l *loop) finishSnapshot(s savedSnapshot) {
	l.saving = false
	if s.err != nil {
		l.fail(s.err)
		return
	}
	if l.failed != nil || s.meta.Index <= l.snapshotAt {
		return
	}
	l.snapshotAt = s.meta.Index
	l.node.Compact(s.meta, l.r.cfg.KeepEntries, l.r.cfg.SnapshotBytes/4)
	if err := l.r.store.Compact(s.meta.Index); err != nil {
		l.fail(err)
	}
}

func (l *loop) learnEntryAddresses(entries []raft.Entry) {
	for _, e := range entries {
		if e.Kind == raft.EntryMember && e.Change.Address != "" {
			l.learnAddresses(map[uint64]string{e.Change.ID: e.Change.Address})
		}
	}
}

func (l *loop) learnAddresses(addresses map[uint64]string) {
	for id, url := range addresses {
		l.addresses[id] = url
		l.peers.set(id, url)
	}
}

func (l *loop) publishView() {
	l.r.followTime(l.state.Now())
	next := &view{snapshot: l.state.Snapshot(), applied: l.applied, newer: make(chan struct{})}
	close(l.r.view.Swap(next).newer)
}

// publishRole publishes the status after every tick and change of role. It does
// not after every batch, because those who wait for a leader try again then.
func (l *loop) publishRole() {
	old := l.lastRole
	isChanged := l.node.Role() != old.Role || l.node.Leader() != old.Leader || l.node.Term() != old.Term
	if !isChanged && !l.ticked {
		return
	}
	l.ticked = false
	s := l.node.Status()
	if s.Leader != old.Leader {
		l.r.cfg.Log.Log(logevent.LeaderChanged, logevent.Fields{"leader": s.Leader, "term": s.Term, "own_role": s.Role.String()})
	}
	l.lastRole = s
	status := Status{Status: s, StorageError: l.failed, Stopping: l.stopping, Addresses: maps.Clone(l.addresses), Storage: l.r.store.Stats()}
	next := &role{status: status, newer: make(chan struct{})}
	close(l.r.role.Swap(next).newer)
	l.r.meters.update(status)
}

// shutDown hands leadership over and refuses whatever comes in the meantime.
func (l *loop) shutDown(ctx context.Context, ticker *time.Ticker) {
	l.stopping = true
	if !errors.Is(context.Cause(ctx), ErrAbandon) && l.node.TransferLeadership(0) {
		limit := time.Duration(handoverTimeouts*l.r.cfg.ElectionTicks) * l.r.cfg.Tick
		handover, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		l.process()
		for handover.Err() == nil && (l.node.Role() == raft.Leader || l.node.Leader() == 0) {
			l.wait(handover, ticker)
		}
	}
	stopped := fault.New(fault.Stopping, "replica %d has stopped", l.r.cfg.ID)
	l.pending.fail(^uint64(0), fault.New(fault.OutcomeUnknown, "replica %d stopped before the change was committed", l.r.cfg.ID))
	for _, reply := range l.reads {
		reply <- outcome{err: stopped}
	}
	l.failed = stopped
	l.drain()
}

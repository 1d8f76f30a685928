package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/wal"
)

const (
	clusterName = "matrix"
	// tickInterval is the duration of a round.
	tickInterval = 50 * time.Millisecond
	// repairRounds is the time from a fault to its repair.
	repairRounds = 60
	// maxConvergeRounds limits the time to answer changes and to converge.
	maxConvergeRounds = 1500
	// clientRetryRounds is the shortest time between two attempts of a client.
	clientRetryRounds = 12
	// maxDelayRounds bounds the random delay of late messages.
	maxDelayRounds = 15
	// slowDelayRounds is the extra delay of messages of a slow peer.
	slowDelayRounds = 4
)

var epoch = time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)

// replica is one control replica: its Raft node, its files and its state. The
// node is nil while the process is down.
type replica struct {
	id        uint64
	fs        *memFS
	log       *wal.Log
	node      *raft.Node
	st        *state.State
	clock     state.Clock
	startedAt time.Time
	// skew is the error of the wall clock, which the process reads at its start.
	skew          time.Duration
	hardState     raft.HardState
	snapshotIndex uint64
	// incarnation counts the starts of the process.
	incarnation int
	// isHalted is set when the storage failed and the node was halted.
	isHalted    bool
	hasLostDisk bool
	// isHeldDown is set while the procedure itself keeps the process down.
	isHeldDown bool
	// isRemoved is set when an operator removed the replica while its process runs.
	isRemoved bool
	// pending holds the proposals that await their result, by log index.
	pending map[uint64]proposal
	// readFloors holds the highest version acknowledged before each pending read,
	// by read token.
	readFloors map[uint64]uint64
	applied    map[uint64]string
}

type proposal struct {
	term   uint64
	change *change
}

// change is a change of a client, which resends it under the same ID until it is
// answered.
type change struct {
	observedChange
	// isPending is set while a leader holds the change as a proposal.
	isPending     bool
	lastSentRound int
	isCancelled   bool
	isTracked     bool
	// answersToLose is the number of answers that are still to be lost.
	answersToLose int
}

type packet struct {
	msg raft.Message
	due int
}

// cluster simulates three control replicas, one per zone, with their network and
// their clients.
type cluster struct {
	rng          *rand.Rand
	onEvent      func(string)
	reachedSteps map[string]bool
	replicas     []*replica
	packets      []packet
	// cutLinks holds the links that drop messages, by sender and receiver.
	cutLinks          map[[2]uint64]bool
	messagesToLose    int
	duplicateMessages bool
	delayMessages     bool
	reorderMessages   bool
	truncateSnapshots bool
	slowReplica       uint64
	round             int
	changes           []*change
	confirmedReads    []confirmedRead
	nextRead          uint64
	// trackedLeader is the ID of the leader that received the tracked change last.
	trackedLeader uint64
	repairAt      int
	onRepair      []func()
	violations    []string
	// joiningID is the replica that joins in place of a lost one or because the
	// procedure requires it. idsToRemove lists the replicas that the leader removes.
	joiningID   uint64
	idsToRemove []uint64
	// loseDiskAfterJoin is set while the loss of a second disk is postponed until
	// the join is complete.
	loseDiskAfterJoin bool
	// losesSyncedData selects a faulty variant in which a crash loses synced data.
	losesSyncedData bool
}

func newCluster(rng *rand.Rand, onEvent func(string)) *cluster {
	c := &cluster{rng: rng, onEvent: onEvent, reachedSteps: map[string]bool{}, cutLinks: map[[2]uint64]bool{}}
	voters := []uint64{1, 2, 3}
	data, err := encodeImage(state.New())
	must(err)
	for _, id := range voters {
		r := &replica{id: id, fs: newMemFS(), applied: map[uint64]string{}}
		must(wal.Init(r.fs, clusterName, id, &raft.Snapshot{Meta: raft.BootstrapSnapshot(voters, nil), Data: data}))
		c.replicas = append(c.replicas, r)
		c.startReplica(r)
	}
	return c
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (c *cluster) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *cluster) now() time.Time { return epoch.Add(time.Duration(c.round) * tickInterval) }

func encodeImage(s *state.State) ([]byte, error) {
	dump, err := codec.EncodeDump(s.Dump())
	if err != nil {
		return nil, err
	}
	return codec.EncodeImage(codec.Image{State: dump})
}

func decodeImage(data []byte) (*state.State, error) {
	img, err := codec.DecodeImage(data)
	if err != nil {
		return nil, err
	}
	dump, err := codec.DecodeDump(img.State)
	if err != nil {
		return nil, err
	}
	return state.Restore(dump), nil
}

// startReplica starts the process of a replica from its files.
func (c *cluster) startReplica(r *replica) {
	log, rec, err := wal.Open(wal.Options{FS: r.fs, Cluster: clusterName, Replica: r.id, SegmentBytes: 2048})
	if err != nil {
		c.fail("replica %d failed to open its log: %v", r.id, err)
		return
	}
	r.st = state.New()
	if rec.Snapshot.Meta.Index > 0 {
		r.st, err = decodeImage(rec.Snapshot.Data)
		must(err)
	}
	r.node, err = raft.New(raft.Config{
		ID: r.id, ElectionTicks: 10, HeartbeatTicks: 2, MaxEntriesPerMessage: 64, MaxBytesPerMessage: 1 << 16,
		MaxInflight: 8, MaxUncommitted: 1 << 20, MaxReads: 64, Seed: c.rng.Uint64(),
	}, rec.HardState, rec.Snapshot.Meta, rec.Entries)
	if err != nil {
		c.fail("replica %d failed to start: %v", r.id, err)
		return
	}
	r.log, r.hardState, r.snapshotIndex = log, rec.HardState, rec.Snapshot.Meta.Index
	r.startedAt, r.clock = c.now(), state.NewClock(c.now().Add(r.skew))
	r.pending, r.readFloors, r.isHalted = map[uint64]proposal{}, map[uint64]uint64{}, false
	r.incarnation++
}

// crash ends the process of a replica. Unsynced writes are lost; if torn is true,
// half of their bytes are kept.
func (c *cluster) crash(r *replica, torn bool) {
	if r.node == nil {
		return
	}
	for _, p := range r.pending {
		p.change.isPending = false
	}
	r.node, r.log = nil, nil
	r.fs = r.fs.crash(torn)
	if c.losesSyncedData {
		r.fs.loseSyncedData()
	}
}

func (c *cluster) replica(id uint64) *replica {
	for _, r := range c.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

// leader returns the first replica that considers itself the leader, or nil if
// there is none. Clients find the leader in the same way.
func (c *cluster) leader() *replica {
	for _, r := range c.replicas {
		if r.node != nil && !r.isHalted && r.node.Role() == raft.Leader {
			return r
		}
	}
	return nil
}

// markStep calls onEvent when a step is reached for the first time.
func (c *cluster) markStep(step string) {
	if !c.reachedSteps[step] {
		c.reachedSteps[step] = true
		c.onEvent(step)
	}
}

func (r *replica) time(now time.Time) time.Time { return r.clock.Now(now.Sub(r.startedAt)) }

func (r *replica) advanceClock(now time.Time) {
	r.clock = r.clock.AdvanceTo(r.st.Now(), now.Sub(r.startedAt))
}

// processReady handles the node's Ready batches in the order of the control loop:
// persist, send, apply, answer.
func (c *cluster) processReady(r *replica) {
	for r.node != nil {
		incarnation := r.incarnation
		rd, ok := r.node.Ready()
		if !ok {
			break
		}
		if err := c.persist(r, rd); err != nil {
			c.halt(r)
			continue
		}
		if c.markEntryStep(r, incarnation, rd.Entries, "synced"); r.node == nil || r.incarnation != incarnation {
			return
		}
		c.send(r, rd.Messages)
		if c.markEntryStep(r, incarnation, rd.Committed, "committed"); r.node == nil || r.incarnation != incarnation {
			return
		}
		if !c.apply(r, incarnation, rd.Committed) {
			return
		}
		for _, res := range rd.Reads {
			if res.Err == nil {
				c.confirmedReads = append(c.confirmedReads, confirmedRead{floor: r.readFloors[res.Token], index: res.Index})
			}
		}
		r.node.Advance(rd)
	}
	c.compact(r)
}

// halt stops a node whose storage failed and gives up its pending proposals.
func (c *cluster) halt(r *replica) {
	r.isHalted = true
	r.node.Halt()
	for index, p := range r.pending {
		p.change.isPending = false
		delete(r.pending, index)
	}
}

func (c *cluster) persist(r *replica, rd raft.Ready) error {
	if rd.HardState != nil {
		r.hardState = *rd.HardState
	}
	if rd.Snapshot != nil {
		st, err := decodeImage(rd.Snapshot.Data)
		must(err)
		if err := r.log.InstallSnapshot(r.hardState, *rd.Snapshot); err != nil {
			return err
		}
		r.st, r.snapshotIndex = st, rd.Snapshot.Meta.Index
		if r.id == c.joiningID {
			c.markStep("snapshot installed")
		}
	}
	if !rd.MustSync || rd.Snapshot != nil && len(rd.Entries) == 0 || r.node == nil {
		return nil
	}
	return r.log.Append(r.hardState, rd.Entries)
}

// markEntryStep marks a step if entries hold the tracked change that r proposed.
// It returns early if a fault ended the incarnation.
func (c *cluster) markEntryStep(r *replica, incarnation int, entries []raft.Entry, step string) {
	for _, e := range entries {
		if r.incarnation != incarnation || r.node == nil {
			return
		}
		if p, ok := r.pending[e.Index]; ok && p.term == e.Term && p.change.isTracked {
			c.markStep(step)
		}
	}
}

// apply applies committed entries and answers their changes. It returns false if
// a fault ended the incarnation.
func (c *cluster) apply(r *replica, incarnation int, entries []raft.Entry) bool {
	for _, e := range entries {
		if e.Kind != raft.EntryCommand {
			continue
		}
		cmd, err := codec.DecodeCommand(e.Data)
		must(err)
		if old, ok := r.applied[e.Index]; ok && old != string(e.Data) {
			c.fail("replica %d applied different entries at index %d", r.id, e.Index)
		}
		r.applied[e.Index] = string(e.Data)
		before := r.st.Now()
		res := r.st.Apply(e.Index, cmd)
		if r.st.Now().Before(before) {
			c.fail("replicated time of replica %d moved backwards", r.id)
		}
		r.advanceClock(c.now())
		p, ok := r.pending[e.Index]
		if !ok {
			continue
		}
		delete(r.pending, e.Index)
		if p.term != e.Term {
			p.change.isPending = false
			continue
		}
		if p.change.isTracked {
			c.markStep("applied")
		}
		if r.node == nil || r.incarnation != incarnation {
			return false
		}
		c.answer(p.change, res)
		if r.node == nil || r.incarnation != incarnation {
			return false
		}
	}
	return true
}

// answer delivers a result to the client, unless the answer is lost or the client
// no longer waits.
func (c *cluster) answer(ch *change, res state.Result) {
	ch.isPending = false
	if ch.isTracked && ch.answers == 0 {
		c.markStep("answered")
	}
	if ch.answersToLose > 0 {
		ch.answersToLose--
		return
	}
	if ch.isCancelled || ch.answers > 0 {
		return
	}
	ch.answers++
	ch.version, ch.refused, ch.answeredRound = res.Version, res.Err != nil, c.round
}

// compact stores a snapshot at intervals, so that restarts and joins use one.
func (c *cluster) compact(r *replica) {
	if r.node == nil || r.isHalted || r.st.Version() < r.snapshotIndex+6 {
		return
	}
	meta, err := r.node.SnapshotMeta(r.st.Version())
	if err != nil {
		return
	}
	data, err := encodeImage(r.st)
	must(err)
	if r.log.SaveSnapshot(raft.Snapshot{Meta: meta, Data: data}) != nil {
		c.halt(r)
		return
	}
	r.node.Compact(meta, 2, 1<<12)
	if r.log.Compact(meta.Index) != nil {
		c.halt(r)
		return
	}
	r.snapshotIndex = meta.Index
}

func (c *cluster) send(r *replica, messages []raft.Message) {
	for _, m := range messages {
		if m.Snapshot != nil {
			snap, err := r.log.LoadSnapshot()
			if err != nil {
				continue
			}
			m.Snapshot = &snap
			if m.To == c.joiningID {
				c.markStep("snapshot sent")
			}
		}
		if c.cutLinks[[2]uint64{m.From, m.To}] {
			continue
		}
		if c.messagesToLose > 0 {
			c.messagesToLose--
			continue
		}
		due := c.round + 1
		if c.delayMessages {
			due += c.rng.IntN(maxDelayRounds)
		}
		if c.slowReplica == m.From || c.slowReplica == m.To {
			due += slowDelayRounds
		}
		c.packets = append(c.packets, packet{m, due})
		if c.duplicateMessages {
			c.packets = append(c.packets, packet{m, due + c.rng.IntN(3)})
		}
	}
}

func (c *cluster) deliverDue() {
	var now, rest []packet
	for _, p := range c.packets {
		if p.due <= c.round {
			now = append(now, p)
		} else {
			rest = append(rest, p)
		}
	}
	c.packets = rest
	if c.reorderMessages {
		c.rng.Shuffle(len(now), func(i, j int) { now[i], now[j] = now[j], now[i] })
	}
	for _, p := range now {
		c.deliverMessage(p.msg)
	}
}

func (c *cluster) deliverMessage(m raft.Message) {
	r, from := c.replica(m.To), c.replica(m.From)
	if r == nil || r.node == nil || r.isHalted || from == nil || from.hasLostDisk || c.cutLinks[[2]uint64{m.From, m.To}] {
		return
	}
	m.Entries = slices.Clone(m.Entries)
	if m.Snapshot != nil {
		snap := *m.Snapshot
		if c.truncateSnapshots {
			snap.Data = snap.Data[:len(snap.Data)/2]
		}
		// The transport decodes a snapshot before the node sees it.
		if _, err := decodeImage(snap.Data); err != nil {
			return
		}
		m.Snapshot = &snap
	}
	if err := r.node.Step(m); err != nil && !r.isHalted {
		c.fail("replica %d rejected %v from %d: %v", r.id, m.Type, m.From, err)
	}
}

// step runs one round: the network, the timers, the clients and the control loops.
func (c *cluster) step() {
	c.round++
	if c.repairAt > 0 && c.round >= c.repairAt {
		c.repair()
	}
	c.deliverDue()
	for _, r := range c.replicas {
		if r.node != nil && !r.isHalted {
			r.node.Tick()
		}
		c.processReady(r)
	}
	c.sendDueChanges()
	c.updateMembership()
	c.issueRead()
	for _, r := range c.replicas {
		c.processReady(r)
	}
}

func (c *cluster) newChange(id, key string, expected uint64) *change {
	ch := &change{observedChange: observedChange{id: id, key: key, expected: expected, sentRound: c.round}, lastSentRound: -clientRetryRounds}
	c.changes = append(c.changes, ch)
	return ch
}

func (c *cluster) sendDueChanges() {
	for _, ch := range c.changes {
		isDue := !ch.isPending || c.round-ch.lastSentRound >= 4*clientRetryRounds
		if ch.answers == 0 && !ch.isCancelled && isDue && c.round-ch.lastSentRound >= clientRetryRounds {
			c.submit(ch)
		}
	}
}

// submit proposes a change to the leader that the client finds.
func (c *cluster) submit(ch *change) {
	r := c.leader()
	if r == nil {
		return
	}
	ch.lastSentRound = c.round
	if ch.isTracked {
		c.trackedLeader = r.id
		if c.markStep("received"); r.node == nil || r.isHalted || r.node.Role() != raft.Leader {
			return
		}
	}
	cfg := model.New(model.KindConfig).(*model.Config)
	cfg.Name = ch.key
	cfg.Spec.Values = map[string]string{"by": ch.id}
	origin := state.Origin{Actor: "operator", ChangeID: ch.id, IssuedAt: epoch.Add(time.Duration(ch.sentRound) * tickInterval), Time: r.time(c.now())}
	data, err := codec.EncodeCommand(state.Put{Origin: origin, Object: cfg, Expected: ch.expected})
	must(err)
	index, term, err := r.node.Propose(data)
	if err != nil {
		return
	}
	ch.isPending = true
	r.pending[index] = proposal{term, ch}
	if ch.isTracked {
		c.markStep("appended")
	}
}

// issueRead requests a linearizable read from the leader every fifth round.
func (c *cluster) issueRead() {
	r := c.leader()
	if r == nil || c.round%5 != 0 {
		return
	}
	floor := uint64(0)
	for _, ch := range c.changes {
		if ch.answers > 0 && !ch.refused {
			floor = max(floor, ch.version)
		}
	}
	c.nextRead++
	if r.node.ReadIndex(c.nextRead) == nil {
		r.readFloors[c.nextRead] = floor
	}
}

// updateMembership replaces a lost replica: it removes the replica, adds another
// as a learner under a new ID and promotes it.
func (c *cluster) updateMembership() {
	r := c.leader()
	if r == nil || c.joiningID == 0 {
		return
	}
	m := r.node.Members()
	if c.loseDiskAfterJoin && m.IsVoter(c.joiningID) && r.node.Status().Commit == c.replica(c.joiningID).st.Version() {
		c.loseDiskAfterJoin = false
		c.loseDisk(r)
		c.repairAt = c.round + repairRounds
		return
	}
	for _, id := range c.idsToRemove {
		if m.IsVoter(id) || m.IsLearner(id) {
			_, _, _ = r.node.ProposeMember(raft.MemberChange{Kind: raft.RemoveMember, ID: id})
			return
		}
	}
	switch {
	case !m.IsLearner(c.joiningID) && !m.IsVoter(c.joiningID):
		if _, _, err := r.node.ProposeMember(raft.MemberChange{Kind: raft.AddLearner, ID: c.joiningID}); err == nil {
			c.markStep("join asked")
		}
	case m.IsLearner(c.joiningID):
		if _, _, err := r.node.ProposeMember(raft.MemberChange{Kind: raft.PromoteLearner, ID: c.joiningID}); err == nil {
			c.markStep("promoted")
		}
	}
}

// addReplica starts a new replica that joins the cluster. The replica replacing,
// if not 0, is removed.
func (c *cluster) addReplica(replacing uint64) {
	r := &replica{id: uint64(len(c.replicas) + 1), fs: newMemFS(), applied: map[uint64]string{}}
	must(wal.Init(r.fs, clusterName, r.id, nil))
	c.replicas = append(c.replicas, r)
	c.startReplica(r)
	c.joiningID = r.id
	if replacing != 0 {
		c.idsToRemove = append(c.idsToRemove, replacing)
	}
}

// repair ends all faults, restarts the processes that are down and runs the
// repair actions.
func (c *cluster) repair() {
	c.repairAt = 0
	c.cutLinks = map[[2]uint64]bool{}
	c.messagesToLose, c.slowReplica, c.duplicateMessages, c.delayMessages, c.reorderMessages, c.truncateSnapshots = 0, 0, false, false, false, false
	for _, r := range c.replicas {
		r.fs.isFull, r.fs.failsSync, r.fs.tearsWrite = false, false, false
		if r.isHalted {
			c.crash(r, false)
		}
		if r.node == nil && !r.hasLostDisk && !r.isHeldDown {
			c.startReplica(r)
		}
	}
	actions := c.onRepair
	c.onRepair = nil
	for _, action := range actions {
		action()
	}
	c.onEvent(repairedEvent)
}

// runUntil runs rounds until done returns true or the limit is reached, and
// reports whether the condition holds.
func (c *cluster) runUntil(rounds int, done func() bool) bool {
	for range rounds {
		if done() {
			return true
		}
		c.step()
	}
	return done()
}

// isAnswered reports whether each change is answered or cancelled.
func (c *cluster) isAnswered(list ...*change) bool {
	for _, ch := range list {
		if ch.answers == 0 && !ch.isCancelled {
			return false
		}
	}
	return true
}

// isConverged reports whether all voters have applied and committed as much as
// the leader, with no repair or join outstanding.
func (c *cluster) isConverged() bool {
	lead := c.leader()
	if lead == nil || c.repairAt > 0 {
		return false
	}
	members := lead.node.Members()
	if c.joiningID != 0 && !members.IsVoter(c.joiningID) {
		return false
	}
	for _, id := range members.Voters {
		r := c.replica(id)
		if r.node == nil || r.isHalted || r.st.Version() != lead.st.Version() || r.node.Status().Commit != lead.node.Status().Commit {
			return false
		}
	}
	return true
}

// finish checks that the cluster works after the repair and returns the
// violations of the run.
func (c *cluster) finish() []string {
	if !c.runUntil(maxConvergeRounds, func() bool { return c.repairAt == 0 && c.isAnswered(c.changes...) }) {
		c.fail("a change was not answered after the repair")
	}
	for i := range 3 {
		last := c.newChange(fmt.Sprintf("after-%d", i), fmt.Sprintf("after-%d", i), 0)
		if !c.runUntil(maxConvergeRounds, func() bool { return c.isAnswered(last) }) || last.refused {
			c.fail("change %s did not succeed after the repair", last.id)
		}
	}
	if !c.runUntil(maxConvergeRounds, c.isConverged) {
		c.fail("the replicas did not converge after the repair")
	}
	return append(c.violations, checkChanges(c.history())...)
}

// history returns the changes, the replicas that take part and the reads, as input
// for checkChanges.
func (c *cluster) history() ([]observedChange, []replicaView, []confirmedRead) {
	changes := make([]observedChange, 0, len(c.changes))
	for _, ch := range c.changes {
		changes = append(changes, ch.observedChange)
	}
	var views []replicaView
	for _, r := range c.replicas {
		if r.node == nil || r.isHalted || r.hasLostDisk || r.isRemoved {
			continue
		}
		v := replicaView{name: fmt.Sprint(r.id), applied: r.applied, values: map[string]storedValue{}}
		for _, obj := range r.st.Snapshot().List(model.KindConfig) {
			cfg := obj.(*model.Config)
			v.values[cfg.Name] = storedValue{cfg.Version, cfg.Spec.Values["by"]}
		}
		views = append(views, v)
	}
	return changes, views, c.confirmedReads
}

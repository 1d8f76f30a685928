package raft

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
)

// randomSource makes the random choices of a history.
type randomSource interface{ IntN(n int) int }

// simulation is a set of replicas and a network that loses, duplicates, reorders
// and delays messages. It checks the invariants of Raft after every step and keeps
// the first violation.
type simulation struct {
	random   randomSource
	replicas map[uint64]*replica
	// order holds the IDs of the replicas in the order in which they were added.
	order []uint64
	// network holds the messages in transit, oldest first.
	network []Message
	// blocked holds the partitioned links as sender and receiver.
	blocked map[[2]uint64]bool
	// violation is the text of the first violation.
	violation          string
	violatedInvariants map[string]bool
	// nextID is the ID of the next replica that joins.
	nextID    uint64
	lostDisks int
	proposals uint64

	// leaders holds the leader of each term.
	leaders map[uint64]uint64
	// entries holds each entry that was ever in a log, by index and term.
	entries map[[2]uint64]observedEntry
	// committed holds the entry that was committed at each index.
	committed map[uint64]committedEntry
	// states holds the digest of the state after each index.
	states    map[uint64]uint64
	maxCommit uint64
	// reads holds the minimum index of the result of each pending read, by token.
	reads    map[uint64]uint64
	nextRead uint64
	stats    simulationStats

	// fault is the fault to inject, which tests the checks.
	fault injectedFault
}

// simulationStats counts the events of a history, to show that it reached the
// cases that it is meant to cover.
type simulationStats struct {
	elections, commits, crashes, snapshots, reads, memberChanges, lostDisks int
}

// injectedFault is a fault in the environment of the replicas that violates an
// assumption of Raft.
type injectedFault int

const (
	noFault injectedFault = iota
	// losesVote loses the term and the vote in a crash.
	losesVote
	// losesEntries loses the last synced entries in a crash.
	losesEntries
	// corruptsEntries changes the data of entries in transit.
	corruptsEntries
	// appliesTwice applies some entries twice.
	appliesTwice
	// readsWithoutQuorum answers reads with the leader's own commit index.
	readsWithoutQuorum
	// commitsEarly delivers a commit index that no quorum has reached.
	commitsEarly
	// reusesID restarts a replica that lost its disk under its old ID.
	reusesID
)

// observedEntry identifies the contents of a log entry and the term before it.
type observedEntry struct {
	prevTerm uint64
	digest   uint64
}

// committedEntry is a committed entry and the term that is known to have committed
// it.
type committedEntry struct {
	entry Entry
	// commitTerm is the lowest term of a replica when it applied the entry.
	commitTerm uint64
}

// disk is the state of a replica that survives a crash.
type disk struct {
	hs      HardState
	snap    SnapshotMeta
	state   uint64
	entries []Entry
}

// replica is a simulated replica.
type replica struct {
	id uint64
	// node is nil while the replica is down.
	node *Node
	// hs is the newest hard state, which is not necessarily synced.
	hs   HardState
	disk disk
	// state is the digest of all entries up to applied.
	state   uint64
	applied uint64
	// hasLostDisk is set when the replica is permanently down.
	hasLostDisk bool
	// checkedLogEnd identifies the bounds of the log when it was last checked. An
	// append or a truncation by a newer leader changes it.
	checkedLogEnd [3]uint64
}

// testConfig returns a configuration with small limits, so that short histories
// reach them.
func testConfig(id uint64, voters ...uint64) Config {
	return Config{
		ID: id, Voters: voters, ElectionTicks: 10, HeartbeatTicks: 2, MaxEntriesPerMessage: 3, MaxBytesPerMessage: 1 << 10,
		MaxInflight: 3, MaxUncommitted: 1 << 12, MaxReads: 8, Seed: 7,
	}
}

// newSimulation returns a simulation of a new cluster with the given voters.
func newSimulation(random randomSource, voters ...uint64) *simulation {
	sim := &simulation{
		violatedInvariants: map[string]bool{},
		random:             random, replicas: map[uint64]*replica{}, blocked: map[[2]uint64]bool{}, nextID: uint64(len(voters)) + 1,
		leaders: map[uint64]uint64{}, entries: map[[2]uint64]observedEntry{}, committed: map[uint64]committedEntry{},
		states: map[uint64]uint64{1: 0}, reads: map[uint64]uint64{}, maxCommit: 1,
	}
	for _, id := range voters {
		r := &replica{id: id, disk: disk{snap: BootstrapSnapshot(voters, nil)}}
		sim.add(r)
	}
	return sim
}

// add adds a replica and starts it.
func (sim *simulation) add(r *replica) {
	sim.replicas[r.id] = r
	sim.order = append(sim.order, r.id)
	sim.start(r)
}

// recordViolation records a violation. The text up to the colon names the
// violated invariant.
func (sim *simulation) recordViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if sim.violation == "" {
		sim.violation = text
	}
	name, _, _ := strings.Cut(text, ":")
	sim.violatedInvariants[name] = true
}

// start starts a replica from its disk.
func (sim *simulation) start(r *replica) {
	cfg := testConfig(r.id)
	cfg.Seed = uint64(sim.random.IntN(1 << 20))
	node, err := New(cfg, r.disk.hs, r.disk.snap, slices.Clone(r.disk.entries))
	if err != nil {
		sim.recordViolation("restart of %d: %v", r.id, err)
		return
	}
	r.node, r.hs, r.state, r.applied, r.checkedLogEnd = node, r.disk.hs, r.disk.state, r.disk.snap.Index, [3]uint64{}
}

// crash stops a replica. Only its disk remains.
func (sim *simulation) crash(r *replica) {
	if r.node == nil {
		return
	}
	sim.stats.crashes++
	r.node = nil
	switch sim.fault {
	case losesVote:
		r.disk.hs.Vote, r.disk.hs.Term = 0, 0
		if len(r.disk.entries) > 0 {
			r.disk.hs.Term = r.disk.entries[len(r.disk.entries)-1].Term
		}
	case losesEntries:
		r.disk.entries = r.disk.entries[:len(r.disk.entries)/2]
	default:
	}
}

// step performs one random action and checks the invariants.
func (sim *simulation) step() {
	r := sim.replicas[sim.order[sim.random.IntN(len(sim.order))]]
	if sim.fault != noFault && sim.random.IntN(30) == 0 && r.node != nil {
		// Storage faults take effect only in a crash, so crashes are more frequent.
		sim.crash(r)
		sim.start(r)
	}
	switch n := sim.random.IntN(1000); {
	case n < 400:
		r = sim.deliverRandom()
	case n < 720:
		sim.processReady(r, -1)
	case n < 880:
		sim.tick(r)
	case n < 930:
		sim.propose(r)
	case n < 955:
		sim.read(r)
	case n < 958:
		sim.processReady(r, sim.random.IntN(4))
	case n < 970:
		sim.restartOrCrash(r)
	case n < 975:
		sim.partition()
	case n < 981:
		sim.blocked = map[[2]uint64]bool{}
	case n < 990:
		sim.compact(r)
	case n < 999:
		sim.changeMembers(r)
	default:
		sim.loseDisk(r)
	}
	sim.checkInvariants(r)
}

func (sim *simulation) tick(r *replica) {
	if r.node != nil {
		r.node.Tick()
	}
}

// deliverRandom delivers, loses or duplicates a random message. It returns the
// receiver of a delivered message, or nil.
func (sim *simulation) deliverRandom() *replica {
	if len(sim.network) == 0 {
		return nil
	}
	// One of the oldest messages is chosen, so that elections make progress.
	i := sim.random.IntN(min(len(sim.network), 8))
	m := sim.network[i]
	if sim.random.IntN(20) != 0 {
		sim.network = slices.Delete(sim.network, i, i+1)
	}
	if sim.random.IntN(20) == 0 {
		return nil
	}
	sim.deliver(m)
	return sim.replicas[m.To]
}

// deliver passes a message to its receiver, unless the receiver is down or the
// link is blocked.
func (sim *simulation) deliver(m Message) {
	r := sim.replicas[m.To]
	if r == nil || r.node == nil || sim.blocked[[2]uint64{m.From, m.To}] {
		return
	}
	if from := sim.replicas[m.From]; from != nil && from.hasLostDisk && sim.fault != reusesID {
		return
	}
	m.Entries = slices.Clone(m.Entries)
	if sim.fault == corruptsEntries && len(m.Entries) > 0 && m.To == sim.order[0] {
		m.Entries[0].Data = append(slices.Clone(m.Entries[0].Data), 1)
	}
	if sim.fault == commitsEarly && m.Type == MsgAppend {
		m.Commit = m.Index + uint64(len(m.Entries))
	}
	if err := r.node.Step(m); err != nil && sim.fault == noFault {
		sim.recordViolation("step of %d: %v", r.id, err)
	}
}

func (sim *simulation) propose(r *replica) {
	if r.node == nil {
		return
	}
	sim.proposals++
	// Rejected proposals are part of the history.
	_, _, _ = r.node.Propose(binary.AppendUvarint(nil, sim.proposals))
}

// read requests a read index from a leader and records the minimum result.
func (sim *simulation) read(r *replica) {
	if r.node == nil || r.node.Role() != Leader || sim.fault == commitsEarly {
		return
	}
	sim.nextRead++
	if sim.fault == readsWithoutQuorum {
		if r.node.Status().Commit < sim.maxCommit {
			sim.recordViolation("stale read: index %d, acknowledged %d", r.node.Status().Commit, sim.maxCommit)
		}
		return
	}
	if r.node.ReadIndex(sim.nextRead) == nil {
		sim.reads[sim.nextRead] = sim.maxCommit
	}
}

// restartOrCrash restarts a replica that is down. It crashes a running one in one
// of eight cases.
func (sim *simulation) restartOrCrash(r *replica) {
	switch {
	case r.hasLostDisk:
	case r.node == nil:
		sim.start(r)
	case sim.random.IntN(8) == 0:
		sim.crash(r)
	}
}

// partition blocks all links from one replica and most links to it. If there is a
// leader, it is that replica in at least half of the cases.
func (sim *simulation) partition() {
	isolated := sim.order[sim.random.IntN(len(sim.order))]
	if leader := sim.leader(); leader != nil && sim.random.IntN(2) == 0 {
		isolated = leader.id
	}
	for _, id := range sim.order {
		sim.blocked[[2]uint64{isolated, id}] = true
		if sim.random.IntN(3) > 0 {
			sim.blocked[[2]uint64{id, isolated}] = true
		}
	}
}

// loseDisk destroys the disk of a replica, at most once in a history. The replica
// does not return.
func (sim *simulation) loseDisk(r *replica) {
	if sim.fault == reusesID {
		sim.crash(r)
		r.disk = disk{snap: BootstrapSnapshot([]uint64{1, 2, 3}, nil)}
		sim.start(r)
		return
	}
	if sim.lostDisks > 0 || r.hasLostDisk || sim.random.IntN(4) > 0 {
		return
	}
	sim.lostDisks++
	sim.stats.lostDisks++
	sim.crash(r)
	r.hasLostDisk, r.disk = true, disk{}
}

// changeMembers proposes a random membership change to a leader. An added learner
// is started.
func (sim *simulation) changeMembers(r *replica) {
	if r.node == nil || r.node.Role() != Leader {
		return
	}
	members := r.node.Members()
	c := MemberChange{Kind: ChangeKind(1 + sim.random.IntN(3))}
	switch {
	case c.Kind == AddLearner && len(sim.order) < 6:
		c.ID = sim.nextID
	case c.Kind == PromoteLearner && len(members.Learners) > 0:
		c.ID = members.Learners[sim.random.IntN(len(members.Learners))]
	case c.Kind == RemoveMember && len(members.Voters) > 2:
		c.ID = members.Voters[sim.random.IntN(len(members.Voters))]
	default:
		return
	}
	if _, _, err := r.node.ProposeMember(c); err != nil {
		return
	}
	sim.stats.memberChanges++
	if c.Kind == AddLearner {
		sim.nextID++
		sim.add(&replica{id: c.ID})
	}
}

// processReady processes a Ready. With crashAt from 0 to 3, the replica crashes
// before persisting, after persisting, while sending, or before applying.
func (sim *simulation) processReady(r *replica, crashAt int) {
	if r.node == nil {
		return
	}
	rd, ok := r.node.Ready()
	if !ok {
		return
	}
	if crashAt == 0 {
		sim.crash(r)
		return
	}
	r.persist(rd)
	if crashAt == 1 {
		sim.crash(r)
		return
	}
	for i, m := range rd.Messages {
		if crashAt == 2 && i == len(rd.Messages)/2 {
			sim.crash(r)
			return
		}
		sim.send(r, m)
	}
	if crashAt == 3 {
		sim.crash(r)
		return
	}
	sim.apply(r, rd)
	r.node.Advance(rd)
}

// persist writes a Ready to the disk. A hard state that need not be synced is kept
// in memory only.
func (r *replica) persist(rd Ready) {
	if rd.HardState != nil {
		r.hs = *rd.HardState
	}
	if rd.Snapshot != nil {
		r.disk.snap, r.disk.entries = rd.Snapshot.Meta, nil
		r.disk.state = binary.LittleEndian.Uint64(rd.Snapshot.Data)
	}
	if !rd.MustSync {
		return
	}
	r.disk.hs = r.hs
	if len(rd.Entries) > 0 {
		keep := rd.Entries[0].Index - r.disk.snap.Index - 1
		r.disk.entries = append(slices.Clone(r.disk.entries[:keep]), rd.Entries...)
	}
}

// send adds a message to the network. It fills in snapshots and drops the oldest
// messages of a long queue.
func (sim *simulation) send(r *replica, m Message) {
	if m.Type == MsgSnapshot {
		if r.disk.snap.Index < m.Snapshot.Meta.Index {
			sim.recordViolation("replica %d sends a snapshot at %d that it does not have", r.id, m.Snapshot.Meta.Index)
			return
		}
		sim.stats.snapshots++
		m.Snapshot = &Snapshot{Meta: r.disk.snap, Data: binary.LittleEndian.AppendUint64(nil, r.disk.state)}
	}
	sim.network = append(sim.network, m)
	if len(sim.network) > 400 {
		sim.network = slices.Delete(sim.network, 0, 100)
	}
}

// apply restores the snapshot of a Ready, applies its committed entries and checks
// the results of its reads.
func (sim *simulation) apply(r *replica, rd Ready) {
	if rd.Snapshot != nil {
		r.state, r.applied = binary.LittleEndian.Uint64(rd.Snapshot.Data), rd.Snapshot.Meta.Index
		sim.checkState(r)
	}
	for _, e := range rd.Committed {
		if e.Index != r.applied+1 {
			sim.recordViolation("replica %d applies %d after %d", r.id, e.Index, r.applied)
		}
		sim.recordCommit(r, e)
		r.state = digest(r.state, e)
		if sim.fault == appliesTwice && r.id == sim.order[0] && e.Index%5 == 0 {
			r.state = digest(r.state, e)
		}
		r.applied = e.Index
		sim.checkState(r)
	}
	for _, result := range rd.Reads {
		minIndex, ok := sim.reads[result.Token]
		delete(sim.reads, result.Token)
		if ok && result.Err == nil {
			sim.stats.reads++
			if result.Index < minIndex {
				sim.recordViolation("stale read: index %d, acknowledged %d", result.Index, minIndex)
			}
		}
	}
}

// recordCommit records a committed entry and checks state machine safety: at most
// one entry is committed at each index.
func (sim *simulation) recordCommit(r *replica, e Entry) {
	known, ok := sim.committed[e.Index]
	if !ok {
		sim.stats.commits++
		sim.committed[e.Index] = committedEntry{entry: e, commitTerm: r.node.Term()}
		sim.maxCommit = max(sim.maxCommit, e.Index)
		return
	}
	if known.entry.Term != e.Term || digest(0, known.entry) != digest(0, e) {
		sim.recordViolation("state machine safety: index %d has terms %d and %d", e.Index, known.entry.Term, e.Term)
	}
	known.commitTerm = min(known.commitTerm, r.node.Term())
	sim.committed[e.Index] = known
}

// checkState checks state machine safety: all replicas have the same state after
// an index.
func (sim *simulation) checkState(r *replica) {
	known, ok := sim.states[r.applied]
	if !ok {
		sim.states[r.applied] = r.state
		return
	}
	if known != r.state {
		sim.recordViolation("state machine safety: replica %d differs after index %d", r.id, r.applied)
	}
}

// digest returns a hash of e and of the digest before it.
func digest(before uint64, e Entry) uint64 {
	h := fnv.New64a()
	fields := [...]uint64{before, e.Index, e.Term, uint64(e.Kind), uint64(e.Change.Kind), e.Change.ID}
	var word [8]byte
	for _, f := range fields {
		binary.LittleEndian.PutUint64(word[:], f)
		h.Write(word[:])
	}
	h.Write(e.Data)
	return h.Sum64()
}

// compact takes a snapshot of a replica's state and compacts its log.
func (sim *simulation) compact(r *replica) {
	if r.node == nil || r.applied <= r.disk.snap.Index+3 || r.node.pendingSnapshot != nil {
		return
	}
	meta, err := r.node.SnapshotMeta(r.applied)
	if err != nil {
		sim.recordViolation("snapshot of %d: %v", r.id, err)
		return
	}
	drop := int(meta.Index - r.disk.snap.Index)
	r.disk.entries = slices.Clone(r.disk.entries[drop:])
	r.disk.snap, r.disk.state = meta, r.state
	r.node.Compact(meta, uint64(sim.random.IntN(4)), 200)
}

// checkInvariants checks the invariants across replicas for the replica that the
// last action changed.
func (sim *simulation) checkInvariants(r *replica) {
	if r == nil || r.node == nil {
		return
	}
	sim.checkLeader(r)
	sim.checkLog(r)
}

// checkLeader checks election safety (at most one leader per term) and leader
// completeness (a new leader has all entries committed in earlier terms).
func (sim *simulation) checkLeader(r *replica) {
	if r.node.Role() != Leader {
		return
	}
	term := r.node.Term()
	if known, ok := sim.leaders[term]; ok {
		if known != r.id {
			sim.recordViolation("election safety: %d and %d lead term %d", known, r.id, term)
		}
		return
	}
	sim.leaders[term] = r.id
	sim.stats.elections++
	for index, c := range sim.committed {
		if c.commitTerm >= term || index <= r.node.log.compacted {
			continue
		}
		if got, ok := r.node.log.term(index); !ok || got != c.entry.Term {
			sim.recordViolation("leader completeness: leader %d of term %d lacks entry %d of term %d", r.id, term, index, c.entry.Term)
		}
	}
}

// checkLog checks log matching: an index and a term determine the entry and the
// term of the entry before it.
func (sim *simulation) checkLog(r *replica) {
	l := &r.node.log
	end := [3]uint64{l.compacted, l.lastIndex(), l.lastTerm()}
	if end == r.checkedLogEnd {
		return
	}
	r.checkedLogEnd = end
	prev := l.compactedTerm
	for _, e := range l.entries {
		observed := observedEntry{prevTerm: prev, digest: digest(0, e)}
		key := [2]uint64{e.Index, e.Term}
		if known, ok := sim.entries[key]; !ok {
			sim.entries[key] = observed
		} else if known != observed {
			sim.recordViolation("log matching: entry %d of term %d differs on replica %d", e.Index, e.Term, r.id)
		}
		prev = e.Term
	}
}

// verifyRecovery heals all partitions, restarts all replicas and runs a fair
// schedule. It checks that the cluster commits and applies a new entry, unless too
// few disks are left for a quorum.
func (sim *simulation) verifyRecovery() {
	sim.blocked = map[[2]uint64]bool{}
	for _, id := range sim.order {
		if r := sim.replicas[id]; r.node == nil && !r.hasLostDisk {
			sim.start(r)
		}
	}
	sim.runFair(400)
	leader := sim.leader()
	if leader == nil {
		if sim.canElect() {
			sim.recordViolation("liveness: no leader after all partitions were healed")
		}
		return
	}
	index, term, err := leader.node.Propose([]byte("last"))
	if err != nil {
		sim.recordViolation("liveness: %v", err)
		return
	}
	sim.runFair(200)
	if c := sim.committed[index]; c.entry.Term != term {
		sim.recordViolation("liveness: entry %d of term %d was not committed", index, term)
	}
	for _, id := range leader.node.Members().Voters {
		if r := sim.replicas[id]; r.node != nil && r.applied < index {
			sim.recordViolation("liveness: replica %d has applied %d of %d", id, r.applied, index)
		}
	}
}

// runFair runs rounds in which every replica gets a tick and all messages are
// delivered in order.
func (sim *simulation) runFair(rounds int) {
	for range rounds {
		for _, id := range sim.order {
			sim.tick(sim.replicas[id])
			sim.processReady(sim.replicas[id], -1)
		}
		for range 4 {
			batch := sim.network
			sim.network = nil
			for _, m := range batch {
				sim.deliver(m)
				sim.checkInvariants(sim.replicas[m.To])
			}
			for _, id := range sim.order {
				sim.processReady(sim.replicas[id], -1)
				sim.checkInvariants(sim.replicas[id])
			}
		}
	}
}

// leader returns the leader with the highest term, or nil.
func (sim *simulation) leader() *replica {
	var newest *replica
	for _, id := range sim.order {
		r := sim.replicas[id]
		if r.node != nil && r.node.Role() == Leader && (newest == nil || r.node.Term() > newest.node.Term()) {
			newest = r
		}
	}
	return newest
}

// canElect reports whether a quorum of the membership in the most up-to-date log
// still has a disk.
func (sim *simulation) canElect() bool {
	var newest *replica
	for _, id := range sim.order {
		r := sim.replicas[id]
		if r.node == nil {
			continue
		}
		if newest == nil || newest.node.log.isUpToDate(r.node.log.lastIndex(), r.node.log.lastTerm()) {
			newest = r
		}
	}
	members := newest.node.Members()
	withDisk := 0
	for _, id := range members.Voters {
		if !sim.replicas[id].hasLostDisk {
			withDisk++
		}
	}
	return withDisk >= members.Quorum()
}

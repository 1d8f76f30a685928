package raft

import (
	"math/rand/v2"
	"slices"

	"laburnumdock/internal/core/fault"
)

// Role is the role of a replica in its term.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	// PreCandidate asks whether it could win an election, without raising its
	// term.
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role, such as "pre_candidate".
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// membershipAt is a membership and the index of the log entry or snapshot that
// established it.
type membershipAt struct {
	index   uint64
	members Membership
}

// Node is the Raft state machine of one replica. It is owned by the control loop
// and not safe for concurrent use. Invariants: the term never decreases; a
// replica votes at most once per term; a leader never overwrites its own log;
// entries up to the commit index are removed only by compaction or when a
// snapshot that covers them replaces the log.
type Node struct {
	cfg    Config
	rng    *rand.Rand
	role   Role
	term   uint64
	vote   uint64
	leader uint64
	log    entryLog
	snap   SnapshotMeta
	// memberships are the memberships of the retained log, oldest first. The last
	// one is in force as soon as its entry is appended.
	memberships []membershipAt
	// progress is the replication state of each member, this replica included. It
	// is nil unless this replica is the leader.
	progress map[uint64]*progress
	// votes are the votes received in the current pre-vote or election.
	votes map[uint64]bool
	// electionElapsed is the number of ticks since the last message from the
	// leader or, on the leader, since the last quorum check.
	electionElapsed  int
	heartbeatElapsed int
	// electionTimeout is the current randomized election timeout in ticks.
	electionTimeout int
	// heartbeatCommit is the commit index at the last periodic heartbeat and
	// prevHeartbeatCommit the one before it. A member that has synced
	// prevHeartbeatCommit counts as caught up.
	prevHeartbeatCommit, heartbeatCommit uint64
	// uncommittedBytes is the size of the leader's uncommitted entries.
	uncommittedBytes int
	// transferee is the target of a leadership transfer in progress, or 0.
	transferee uint64
	reads      readQueue
	// msgs are the messages for the next Ready.
	msgs []Message
	// prevHardState is the last hard state that the calling code has stored.
	prevHardState HardState
	// pendingSnapshot is a received snapshot for the next Ready.
	pendingSnapshot *Snapshot
	// awaitingAdvance is set between a Ready and its Advance.
	awaitingAdvance bool
	halted          bool
}

// New returns a node with the given persisted state. Entries must be contiguous
// and may start anywhere up to the entry after the snapshot.
func New(c Config, hs HardState, snap SnapshotMeta, entries []Entry) (*Node, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	if snap.Index == 0 && len(c.Voters) > 0 {
		snap = BootstrapSnapshot(c.Voters, c.Learners)
	}
	n := &Node{cfg: c, rng: rand.New(rand.NewPCG(c.Seed, c.ID)), term: hs.Term, vote: hs.Vote, snap: snap, prevHardState: hs}
	n.log.reset(snap.Index, snap.Term)
	n.memberships = []membershipAt{{index: snap.Index, members: snap.Members}}
	for _, e := range entries {
		if e.Index <= snap.Index {
			continue
		}
		if e.Index != n.log.lastIndex()+1 || e.Term < n.log.lastTerm() {
			return nil, fault.New(fault.StorageFailed, "stored entry %d of term %d does not follow entry %d of term %d", e.Index, e.Term, n.log.lastIndex(), n.log.lastTerm())
		}
		if err := n.appendEntry(e); err != nil {
			return nil, err
		}
	}
	n.log.stable = n.log.lastIndex()
	n.log.commit = min(max(hs.Commit, snap.Index), n.log.lastIndex())
	// The log or the snapshot may have a newer term than the hard state. This
	// replica has not voted in that term.
	n.becomeFollower(max(n.term, n.log.lastTerm()), 0)
	if members := n.Members(); len(members.Voters) == 1 && members.IsVoter(c.ID) {
		// A sole voter has no competing candidates, so it need not wait.
		n.electionTimeout = 1
	}
	return n, nil
}

// BootstrapSnapshot returns the snapshot from which the replicas of a new cluster
// start: the initial membership and an empty state, at index 1. A replica that
// joins later starts without it, so the leader must send it a snapshot with the
// membership. Otherwise the replica could consider itself the only voter.
func BootstrapSnapshot(voters, learners []uint64) SnapshotMeta {
	return SnapshotMeta{Index: 1, Term: 1, Members: Membership{Voters: sorted(voters), Learners: sorted(learners)}}
}

// sorted returns a sorted copy of ids.
func sorted(ids []uint64) []uint64 {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	return ids
}

// Members returns the membership in force.
func (n *Node) Members() Membership { return n.memberships[len(n.memberships)-1].members }

// appendEntry appends an entry. A membership change takes effect at once.
func (n *Node) appendEntry(e Entry) error {
	if e.Kind == EntryMember {
		members, err := n.Members().With(e.Change)
		if err != nil {
			return err
		}
		n.memberships = append(n.memberships, membershipAt{index: e.Index, members: members})
	}
	n.log.append(e)
	return nil
}

// truncate removes the entries after index and reverts their membership changes.
func (n *Node) truncate(index uint64) {
	n.log.truncate(index)
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index > index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// Tick advances the node's timers by one tick.
func (n *Node) Tick() {
	if n.halted {
		return
	}
	n.electionElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed >= n.electionTimeout && n.canCampaign() {
		n.startPreVote()
	}
}

// canCampaign reports whether this replica may start an election. A voter may. So
// may a replica whose removal is not known to be committed, although its own vote
// does not count: it may be the only one left whose log is up-to-date.
func (n *Node) canCampaign() bool {
	last := len(n.memberships) - 1
	if n.memberships[last].members.IsVoter(n.cfg.ID) {
		return true
	}
	return last > 0 && n.memberships[last].index > n.log.commit && n.memberships[last-1].members.IsVoter(n.cfg.ID)
}

// tickLeader runs the periodic quorum check and sends heartbeats.
func (n *Node) tickLeader() {
	if n.electionElapsed >= n.cfg.ElectionTicks {
		n.electionElapsed = 0
		n.transferee = 0
		if !n.checkQuorum() {
			n.becomeFollower(n.term, 0)
			return
		}
	}
	for _, p := range n.progress {
		p.snapshotTicks++
		p.silentTicks++
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.prevHeartbeatCommit, n.heartbeatCommit = n.heartbeatCommit, n.log.commit
		n.broadcastHeartbeat()
	}
}

// checkQuorum reports whether a quorum of voters has responded since the last
// check, and starts a new period. A leader that does not reach a quorum cannot
// know whether it has been replaced.
func (n *Node) checkQuorum() bool {
	responded := 0
	members := n.Members()
	for _, id := range n.memberIDs() {
		p := n.progress[id]
		if members.IsVoter(id) && (p.active || id == n.cfg.ID) {
			responded++
		}
		p.prevActive, p.active = p.active, false
	}
	return responded >= members.Quorum()
}

// memberIDs returns the IDs of all members in ascending order, so that equal
// inputs give equal outputs.
func (n *Node) memberIDs() []uint64 {
	members := n.Members()
	ids := slices.Concat(members.Voters, members.Learners)
	slices.Sort(ids)
	return ids
}

// becomeFollower switches to the follower role in the given term. A leader of 0 is
// an unknown leader. Pending reads of a leader fail.
func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.term {
		n.term, n.vote = term, 0
	}
	if n.role == Leader {
		n.reads.failAll(fault.New(fault.NotLeader, "leadership was lost before a quorum confirmed the read"))
	}
	n.role, n.leader = Follower, leader
	n.progress, n.votes, n.transferee = nil, nil, 0
	n.resetElectionTimeout()
}

// resetElectionTimeout starts a new election timeout of random length.
func (n *Node) resetElectionTimeout() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + int(n.rng.Uint64()%uint64(n.cfg.ElectionTicks))
}

// send queues a message for the next Ready. A Term of 0 is set to the current
// term.
func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.msgs = append(n.msgs, m)
}

// Step handles a message from another replica.
func (n *Node) Step(m Message) error {
	if n.halted {
		return fault.New(fault.StorageFailed, "replica %d has stopped after a storage failure", n.cfg.ID)
	}
	if m.From == n.cfg.ID || m.From == 0 {
		return fault.New(fault.Invalid, "invalid message sender: replica %d", m.From)
	}
	switch {
	case m.Term > n.term:
		if !n.handleHigherTerm(m) {
			return nil
		}
	case m.Term < n.term:
		n.handleLowerTerm(m)
		return nil
	}
	return n.dispatch(m)
}

// handleHigherTerm adopts the term of m, unless m is a pre-vote request, a granted
// pre-vote response or a vote request to ignore. It reports whether m is to be
// handled further.
func (n *Node) handleHigherTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote:
		return !n.hasActiveLeader()
	case MsgPreVoteResp:
		if !m.Reject {
			return true
		}
	case MsgVote:
		// A replica with an active leader ignores candidates, so that a removed or
		// partitioned replica cannot depose a working leader.
		if m.Token == 0 && n.hasActiveLeader() {
			return false
		}
	default:
	}
	n.becomeFollower(m.Term, 0)
	return true
}

// hasActiveLeader reports whether this replica is the leader or has received a
// message from the leader within the minimum election timeout.
func (n *Node) hasActiveLeader() bool {
	return n.role == Leader || n.leader != 0 && n.electionElapsed < n.cfg.ElectionTicks
}

// handleLowerTerm sends the current term to the sender of a message of an older
// term. Without this response, a replica with a higher term could never rejoin a
// leader with a lower term.
func (n *Node) handleLowerTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Type: MsgAppendResp, To: m.From, Index: m.Index, Reject: true, RejectHint: n.log.lastIndex()})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteResp, To: m.From, Reject: true})
	default:
	}
}

// dispatch handles a message of the current term or a pre-vote message.
func (n *Node) dispatch(m Message) error {
	switch m.Type {
	case MsgPreVote, MsgVote:
		n.handleVoteRequest(m)
	case MsgPreVoteResp, MsgVoteResp:
		n.handleVoteResp(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		return n.handleLeaderMessage(m)
	case MsgAppendResp:
		n.handleAppendResp(m)
	case MsgHeartbeatResp:
		n.handleHeartbeatResp(m)
	case MsgTimeoutNow:
		if n.role == Follower && n.canCampaign() {
			n.startElection(1)
		}
	default:
		return fault.New(fault.Invalid, "unknown message type %d", m.Type)
	}
	return nil
}

// Halt stops the node after a storage failure. A leader transfers its leadership
// first. Afterwards Ready returns only messages, which depend on nothing that is
// not synced, and the results of reads.
func (n *Node) Halt() {
	if n.halted {
		return
	}
	transferee := uint64(0)
	if n.role == Leader {
		transferee = n.bestTransferee()
	}
	n.msgs = nil
	n.becomeFollower(n.term, 0)
	if transferee != 0 {
		n.send(Message{Type: MsgTimeoutNow, To: transferee})
	}
	n.halted, n.awaitingAdvance = true, false
}

// Ready returns the work of the calling code, or false if there is none or if
// Advance has not been called for the previous Ready.
func (n *Node) Ready() (Ready, bool) {
	if n.awaitingAdvance {
		return Ready{}, false
	}
	if n.halted {
		r := Ready{Messages: n.msgs, Reads: n.reads.takeResults()}
		n.msgs = nil
		return r, len(r.Messages)+len(r.Reads) > 0
	}
	if n.role == Leader {
		n.startReadRound()
		n.replicate()
	}
	r := Ready{Snapshot: n.pendingSnapshot, Messages: n.msgs, Reads: n.reads.takeResults()}
	n.msgs, n.pendingSnapshot = nil, nil
	r.Entries = n.log.slice(n.log.stable+1, n.log.lastIndex(), len(n.log.entries), maxReadyBytes)
	r.Committed = n.log.slice(n.log.applied+1, min(n.log.commit, n.log.stable+uint64(len(r.Entries))), maxCommittedPerReady, maxReadyBytes)
	if hs := n.hardState(); hs != n.prevHardState {
		r.MustSync = hs.Term != n.prevHardState.Term || hs.Vote != n.prevHardState.Vote
		r.HardState = &hs
	}
	r.MustSync = r.MustSync || len(r.Entries) > 0 || r.Snapshot != nil
	if r.HardState == nil && !r.MustSync && len(r.Messages)+len(r.Committed)+len(r.Reads) == 0 {
		return r, false
	}
	n.awaitingAdvance = true
	return r, true
}

const (
	// maxReadyBytes limits the size of the entries in one Ready. It is above any
	// MaxUncommitted in use, so that a Ready always contains all the entries that
	// its messages refer to.
	maxReadyBytes = 1 << 40
	// maxCommittedPerReady limits the committed entries in one Ready, so that
	// messages are sent between the parts of a long replay.
	maxCommittedPerReady = 4096
)

// hardState returns the current hard state.
func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// Advance confirms that r has been processed: its contents are synced and
// applied.
func (n *Node) Advance(r Ready) {
	n.awaitingAdvance = false
	if n.halted {
		return
	}
	if r.HardState != nil {
		n.prevHardState = *r.HardState
	}
	if len(r.Committed) > 0 {
		n.log.applied = max(n.log.applied, r.Committed[len(r.Committed)-1].Index)
	}
	if len(r.Entries) == 0 {
		return
	}
	last := r.Entries[len(r.Entries)-1]
	if !n.log.matches(last.Index, last.Term) {
		return
	}
	n.log.stable = max(n.log.stable, last.Index)
	if n.role == Leader {
		if p := n.progress[n.cfg.ID]; p != nil {
			p.match, p.next = n.log.stable, n.log.stable+1
		}
		n.advanceCommit()
	}
}

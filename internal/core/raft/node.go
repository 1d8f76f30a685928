package raft

import (
	"math/rand/v2"
	"slices"

	"laburnumdock/internal/core/fault"
)

// Role is the role of a replica in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// configAt is a membership and the index of the entry that made it.
type configAt struct {
	index   uint64
	members Membership
}

// Node is one replica of the log. The control loop owns it. Invariants: the
// term never decreases and a replica votes at most once a term; a leader never
// overwrites its own log; nothing up to the commit index is ever dropped but
// by compaction.
type Node struct {
	cfg    Config
	rng    *rand.Rand
	role   Role
	term   uint64
	vote   uint64
	leader uint64
	log    entryLog
	snap   SnapshotMeta
	// configs are the memberships of the retained log, oldest first; the last
	// one is in force from the moment its entry is appended.
	configs []configAt
	peers   map[uint64]*progress
	votes   map[uint64]bool
	// elapsed counts ticks since the leader was heard or, on the leader, since
	// the last quorum check.
	elapsed          int
	heartbeatElapsed int
	timeout          int
	// commitBefore is the commit index at the heartbeat before the last one;
	// a member that has synced it counts as caught up.
	commitBefore, commitAtBeat uint64
	uncommitted                int
	transferee                 uint64
	reads                      readQueue
	msgs                       []Message
	given                      HardState
	restored                   *Snapshot
	outstanding                bool
	halted                     bool
}

// New returns the node that the persisted state describes. Entries must follow
// on each other and may begin anywhere up to the entry after the snapshot.
func New(c Config, hs HardState, snap SnapshotMeta, entries []Entry) (*Node, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	if snap.Index == 0 && len(c.Voters) > 0 {
		snap = BootstrapSnapshot(c.Voters, c.Learners)
	}
	n := &Node{cfg: c, rng: rand.New(rand.NewPCG(c.Seed, c.ID)), term: hs.Term, vote: hs.Vote, snap: snap, given: hs}
	n.log.reset(snap.Index, snap.Term)
	n.configs = []configAt{{index: snap.Index, members: snap.Members}}
	for _, e := range entries {
		if e.Index <= snap.Index {
			continue
		}
		if e.Index != n.log.last()+1 || e.Term < n.log.lastTerm() {
			return nil, fault.New(fault.StorageFailed, "stored entry %d of term %d does not follow entry %d of term %d", e.Index, e.Term, n.log.last(), n.log.lastTerm())
		}
		if err := n.appendEntry(e); err != nil {
			return nil, err
		}
	}
	n.log.stable = n.log.last()
	n.log.commit = min(max(hs.Commit, snap.Index), n.log.last())
	// The log may know of a newer term than the hard state, for which this
	// replica has not voted.
	n.becomeFollower(max(n.term, n.log.lastTerm()), 0)
	if members := n.Members(); len(members.Voters) == 1 && members.IsVoter(c.ID) {
		// A sole voter competes with nobody and need not wait.
		n.timeout = 1
	}
	return n, nil
}

// FirstSnapshot is what the replicas of a new cluster start from: the first
// membership and an empty state, at index 1. A replica that joins later has
// nothing, so that the leader must send it a snapshot with the membership; it
// could take itself for the only voter otherwise.
func BootstrapSnapshot(voters, learners []uint64) SnapshotMeta {
	return SnapshotMeta{Index: 1, Term: 1, Members: Membership{Voters: sorted(voters), Learners: sorted(learners)}}
}

func sorted(ids []uint64) []uint64 {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	return ids
}

// Members returns the membership in force.
func (n *Node) Members() Membership { return n.configs[len(n.configs)-1].members }

// appendEntry appends one entry and puts its membership in force.
func (n *Node) appendEntry(e Entry) error {
	if e.Kind == EntryMember {
		members, err := n.Members().With(e.Change)
		if err != nil {
			return err
		}
		n.configs = append(n.configs, configAt{index: e.Index, members: members})
	}
	n.log.append(e)
	return nil
}

// truncate drops the entries after index and the memberships they made.
func (n *Node) truncate(index uint64) {
	n.log.truncate(index)
	for len(n.configs) > 1 && n.configs[len(n.configs)-1].index > index {
		n.configs = n.configs[:len(n.configs)-1]
	}
}

// Tick advances the node by one tick of the calling code's timer.
func (n *Node) Tick() {
	if n.halted {
		return
	}
	n.elapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.timeout && n.mayCampaign() {
		n.preCampaign()
	}
}

// mayCampaign tells whether this replica is a voter. One whose removal is not
// known to be committed campaigns as well, without a vote of its own: it may be
// the only one left whose log is long enough to lead.
func (n *Node) mayCampaign() bool {
	last := len(n.configs) - 1
	if n.configs[last].members.IsVoter(n.cfg.ID) {
		return true
	}
	return last > 0 && n.configs[last].index > n.log.commit && n.configs[last-1].members.IsVoter(n.cfg.ID)
}

func (n *Node) tickLeader() {
	if n.elapsed >= n.cfg.ElectionTicks {
		n.elapsed = 0
		n.transferee = 0
		if !n.checkQuorum() {
			n.becomeFollower(n.term, 0)
			return
		}
	}
	for _, p := range n.peers {
		p.snapshotTicks++
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.commitBefore, n.commitAtBeat = n.commitAtBeat, n.log.commit
		n.broadcastHeartbeat()
	}
}

// checkQuorum tells whether a quorum was heard since the last check. A leader
// without one could not know that it was replaced.
func (n *Node) checkQuorum() bool {
	heard := 0
	members := n.Members()
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if members.IsVoter(id) && (p.active || id == n.cfg.ID) {
			heard++
		}
		p.recent, p.active = p.active, false
	}
	return heard >= members.Quorum()
}

// peerIDs returns the members in a fixed order, so that equal inputs give equal
// outputs.
func (n *Node) peerIDs() []uint64 {
	members := n.Members()
	ids := slices.Concat(members.Voters, members.Learners)
	slices.Sort(ids)
	return ids
}

func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.term {
		n.term, n.vote = term, 0
	}
	if n.role == Leader {
		n.reads.fail(fault.New(fault.NotLeader, "leadership was lost before a quorum confirmed the read"))
	}
	n.role, n.leader = Follower, leader
	n.peers, n.votes, n.transferee = nil, nil, 0
	n.resetTimeout()
}

func (n *Node) resetTimeout() {
	n.elapsed = 0
	n.timeout = n.cfg.ElectionTicks + int(n.rng.Uint64()%uint64(n.cfg.ElectionTicks))
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.msgs = append(n.msgs, m)
}

// Step takes a message from another replica.
func (n *Node) Step(m Message) error {
	if n.halted {
		return fault.New(fault.StorageFailed, "replica %d has stopped after a storage failure", n.cfg.ID)
	}
	if m.From == n.cfg.ID || m.From == 0 {
		return fault.New(fault.Invalid, "message claims to come from replica %d", m.From)
	}
	switch {
	case m.Term > n.term:
		if !n.takeHigherTerm(m) {
			return nil
		}
	case m.Term < n.term:
		n.answerLowerTerm(m)
		return nil
	}
	return n.dispatch(m)
}

// takeHigherTerm moves to the term of a message, if it is entitled to that, and
// tells whether the message is to be handled.
func (n *Node) takeHigherTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote:
		return !n.hearsLeader()
	case MsgPreVoteResp:
		if !m.Reject {
			return true
		}
	case MsgVote:
		// A replica that hears its leader ignores candidates, so that one that
		// was removed or cut off cannot depose a working leader.
		if m.Token == 0 && n.hearsLeader() {
			return false
		}
	default:
	}
	n.becomeFollower(m.Term, 0)
	return true
}

func (n *Node) hearsLeader() bool {
	return n.role == Leader || n.leader != 0 && n.elapsed < n.cfg.ElectionTicks
}

// answerLowerTerm tells the sender of an outdated message our term. Without the
// answer, a replica whose term ran ahead would stay cut off from a leader with
// a lower term.
func (n *Node) answerLowerTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Type: MsgAppendResp, To: m.From, Index: m.Index, Reject: true, RejectHint: n.log.last()})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteResp, To: m.From, Reject: true})
	default:
	}
}

func (n *Node) dispatch(m Message) error {
	switch m.Type {
	case MsgPreVote, MsgVote:
		n.answerVote(m)
	case MsgPreVoteResp, MsgVoteResp:
		n.countVote(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		return n.followLeader(m)
	case MsgAppendResp:
		n.takeAppendResp(m)
	case MsgHeartbeatResp:
		n.takeHeartbeatResp(m)
	case MsgTimeoutNow:
		if n.role == Follower && n.mayCampaign() {
			n.campaign(1)
		}
	default:
		return fault.New(fault.Invalid, "message type %d is not known", m.Type)
	}
	return nil
}

// Halt ends the node after a storage failure: it hands leadership on if it has
// it and does nothing more. Only Ready.Messages may be carried out afterwards;
// they depend on nothing that was not synced before.
func (n *Node) Halt() {
	if n.halted {
		return
	}
	target := uint64(0)
	if n.role == Leader {
		target = n.bestSuccessor()
	}
	n.msgs = nil
	n.becomeFollower(n.term, 0)
	if target != 0 {
		n.send(Message{Type: MsgTimeoutNow, To: target})
	}
	n.halted, n.outstanding = true, false
}

// Ready returns what is to be done, if there is anything. It returns false
// until the former Ready is advanced.
func (n *Node) Ready() (Ready, bool) {
	if n.outstanding {
		return Ready{}, false
	}
	if n.halted {
		r := Ready{Messages: n.msgs, Reads: n.reads.takeDone()}
		n.msgs = nil
		return r, len(r.Messages)+len(r.Reads) > 0
	}
	if n.role == Leader {
		n.startReadRound()
		n.replicate()
	}
	r := Ready{Snapshot: n.restored, Messages: n.msgs, Reads: n.reads.takeDone()}
	n.msgs, n.restored = nil, nil
	r.Entries = n.log.slice(n.log.stable+1, n.log.last(), len(n.log.entries), maxReadyBytes)
	r.Committed = n.log.slice(n.log.applied+1, min(n.log.commit, n.log.stable+uint64(len(r.Entries))), maxCommittedPerReady, maxReadyBytes)
	if hs := n.hardState(); hs != n.given {
		r.MustSync = hs.Term != n.given.Term || hs.Vote != n.given.Vote
		r.HardState = &hs
	}
	r.MustSync = r.MustSync || len(r.Entries) > 0 || r.Snapshot != nil
	if r.HardState == nil && !r.MustSync && len(r.Messages)+len(r.Committed)+len(r.Reads) == 0 {
		return r, false
	}
	n.outstanding = true
	return r, true
}

const (
	// maxReadyBytes bounds the entries of one Ready. It is above any
	// MaxUncommitted in use, so that a leader's batch is never split; messages
	// depend on entries, so entries that a message refers to are never left out.
	maxReadyBytes = 1 << 40
	// maxCommittedPerReady lets messages go out between the parts of a long
	// replay.
	maxCommittedPerReady = 4096
)

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// Advance tells that r was carried out: what it contained is synced and
// applied.
func (n *Node) Advance(r Ready) {
	n.outstanding = false
	if n.halted {
		return
	}
	if r.HardState != nil {
		n.given = *r.HardState
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
		if p := n.peers[n.cfg.ID]; p != nil {
			p.match, p.next = n.log.stable, n.log.stable+1
		}
		n.advanceCommit()
	}
}

// Package raft implements the Raft consensus of the control replicas as a
// deterministic state machine. Its inputs are messages, ticks and proposals;
// its output is a Ready, which lists what the calling code must persist, send
// and apply, in that order. The package uses no clock, file or socket.
package raft

import (
	"slices"

	"laburnumdock/internal/core/fault"
)

// EntryKind is the kind of payload of a log entry.
type EntryKind uint8

// The kinds of log entries. The numbers are part of the wire and stored formats.
const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = 0
	// EntryMember carries a membership change.
	EntryMember EntryKind = 1
	// EntryEmpty is the first entry of a new leader. Raft commits entries of
	// earlier terms only through an entry of the current term.
	EntryEmpty EntryKind = 2
)

// Entry is an entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	// Data is the command of an EntryCommand. Raft does not interpret it.
	Data []byte
	// Change is the membership change of an EntryMember.
	Change MemberChange
}

// size returns the number of bytes that the entry counts towards size limits.
func (e Entry) size() int { return len(e.Data) + entryOverheadBytes }

// entryOverheadBytes is added to the data size of each entry, so that size
// limits also bound the number of empty commands.
const entryOverheadBytes = 32

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// The kinds of membership changes. A replica joins as a learner and is promoted
// once it has caught up, so that a new voter does not delay commits.
const (
	// AddLearner adds a replica that receives the log but does not vote.
	AddLearner ChangeKind = iota + 1
	// PromoteLearner makes a learner a voter.
	PromoteLearner
	// RemoveMember removes a voter or a learner.
	RemoveMember
)

// MemberChange is a membership change of a single replica. Consecutive
// memberships differ by at most one voter, so their majorities overlap.
type MemberChange struct {
	Kind ChangeKind
	ID   uint64
	// Address is the replica's address for the transport. Raft does not
	// interpret it.
	Address string
}

// Membership is the set of replicas of a cluster. Both lists are sorted.
type Membership struct {
	Voters   []uint64
	Learners []uint64
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id uint64) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id is a learner.
func (m Membership) IsLearner(id uint64) bool { return slices.Contains(m.Learners, id) }

// Quorum returns the number of voters in a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// Clone returns a deep copy.
func (m Membership) Clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// With returns the membership after c, or an error if c does not apply to m.
func (m Membership) With(c MemberChange) (Membership, error) {
	next := m.Clone()
	switch c.Kind {
	case AddLearner:
		if c.ID == 0 || m.IsVoter(c.ID) || m.IsLearner(c.ID) {
			return m, fault.InvalidField("id", "an ID that was never used", "replica %d is already a member", c.ID)
		}
		next.Learners = insert(next.Learners, c.ID)
	case PromoteLearner:
		if !m.IsLearner(c.ID) {
			return m, fault.InvalidField("id", "a learner", "replica %d is not a learner", c.ID)
		}
		next.Learners = without(next.Learners, c.ID)
		next.Voters = insert(next.Voters, c.ID)
	case RemoveMember:
		if !m.IsVoter(c.ID) && !m.IsLearner(c.ID) {
			return m, fault.InvalidField("id", "a member", "replica %d is not a member", c.ID)
		}
		next.Learners = without(next.Learners, c.ID)
		next.Voters = without(next.Voters, c.ID)
		if len(next.Voters) == 0 {
			return m, fault.InvalidField("id", "a member other than the last voter", "replica %d is the last voter", c.ID)
		}
	default:
		return m, fault.InvalidField("kind", "add, promote or remove", "unknown membership change kind %d", c.Kind)
	}
	return next, nil
}

func insert(ids []uint64, id uint64) []uint64 {
	ids = append(ids, id)
	slices.Sort(ids)
	return ids
}

func without(ids []uint64, id uint64) []uint64 {
	return slices.DeleteFunc(ids, func(other uint64) bool { return other == id })
}

// HardState is the state that a replica must persist beside its log. Term and
// Vote are synced before any message that depends on them is sent. A stale
// Commit is harmless: it only delays the application of entries after a restart.
type HardState struct {
	Term   uint64
	Vote   uint64
	Commit uint64
}

// SnapshotMeta identifies the log prefix that a snapshot replaces: the index and
// term of its last entry, and the membership at that entry.
type SnapshotMeta struct {
	Index   uint64
	Term    uint64
	Members Membership
}

// Snapshot is a snapshot in a message or a Ready. The calling code sets Data when
// it sends the message.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// MessageType is the type of a message. The numbers are part of the wire format.
type MessageType uint8

// The types of messages between replicas.
const (
	// MsgPreVote asks whether the receiver would vote for the sender.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteResp answers MsgPreVote.
	MsgPreVoteResp
	// MsgVote requests a vote.
	MsgVote
	// MsgVoteResp answers MsgVote.
	MsgVoteResp
	// MsgAppend replicates log entries.
	MsgAppend
	// MsgAppendResp answers MsgAppend and MsgSnapshot. It also rejects a
	// MsgHeartbeat, MsgAppend or MsgSnapshot of an older term.
	MsgAppendResp
	// MsgHeartbeat asserts leadership and carries the read round.
	MsgHeartbeat
	// MsgHeartbeatResp answers MsgHeartbeat.
	MsgHeartbeatResp
	// MsgSnapshot sends a snapshot to a member whose next entry is compacted.
	MsgSnapshot
	// MsgTimeoutNow tells the receiver to start an election at once.
	MsgTimeoutNow
)

// Message is a message between replicas. Messages may be lost, duplicated,
// reordered and delayed.
type Message struct {
	Type MessageType
	From uint64
	To   uint64
	// Term is the sender's term. In MsgPreVote and in a granted MsgPreVoteResp it
	// is the term of the election that would follow.
	Term uint64
	// Index is the entry before Entries in MsgAppend, the sender's last entry in
	// vote requests, and the last synced entry or the rejected entry in
	// MsgAppendResp. LogTerm is the term of the entry in MsgAppend and in vote
	// requests.
	Index   uint64
	LogTerm uint64
	// Commit is the commit index that the receiver may adopt.
	Commit uint64
	Reject bool
	// RejectHint and LogTerm are, in a rejecting MsgAppendResp, the index and the
	// term of the follower's last entry that may match the leader's log.
	RejectHint uint64
	// Token is the read round in MsgHeartbeat and MsgHeartbeatResp. A nonzero
	// Token in MsgVote marks an election that the leader asked for.
	Token    uint64
	Entries  []Entry
	Snapshot *Snapshot
}

// Config holds the parameters of a Node.
type Config struct {
	// ID is the ID of this replica.
	ID uint64
	// Voters and Learners are the initial membership of a new cluster. They are
	// ignored if New gets a snapshot. A replica that joins an existing cluster
	// leaves both empty and receives the membership from the leader.
	Voters, Learners []uint64
	// ElectionTicks is the minimum election timeout in ticks. Each timeout is
	// drawn at random from ElectionTicks up to twice that, so that elections
	// rarely collide.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats in ticks.
	HeartbeatTicks int
	// MaxEntriesPerMessage and MaxBytesPerMessage limit the size of a MsgAppend.
	MaxEntriesPerMessage int
	MaxBytesPerMessage   int
	// MaxInflight limits the unacknowledged MsgAppend messages to one follower.
	MaxInflight int
	// MaxUncommitted limits the uncommitted entries of a leader, in bytes.
	MaxUncommitted int
	// MaxReads limits the reads that wait for a quorum.
	MaxReads int
	// LazyCommit sends a new commit index to followers only with the next entries
	// or heartbeat. It halves the number of messages where followers need not
	// apply entries at once.
	LazyCommit bool
	// Seed and ID seed the random election timeouts.
	Seed uint64
}

// validate returns an error that names a field that is out of range.
func (c Config) validate() error {
	if c.ID == 0 {
		return fault.InvalidField("id", "1 or more", "replica ID is 0")
	}
	for name, value := range map[string]int{
		"heartbeatTicks": c.HeartbeatTicks, "maxEntriesPerMessage": c.MaxEntriesPerMessage,
		"maxBytesPerMessage": c.MaxBytesPerMessage, "maxInflight": c.MaxInflight,
		"maxUncommitted": c.MaxUncommitted, "maxReads": c.MaxReads,
	} {
		if value < 1 {
			return fault.InvalidField(name, "1 or more", "value is %d", value)
		}
	}
	if c.ElectionTicks <= c.HeartbeatTicks {
		return fault.InvalidField("electionTicks", "more than heartbeatTicks", "value is %d", c.ElectionTicks)
	}
	return nil
}

// ReadResult is the result of one ReadIndex call. State that includes the entry
// at Index includes every change that was acknowledged before the read.
type ReadResult struct {
	// Token is the token that was passed to ReadIndex.
	Token uint64
	Index uint64
	// Err is set if leadership was lost before a quorum confirmed the read.
	Err error
}

// Ready lists the work of the calling code, which must be done in this order:
// persist and sync HardState, Snapshot and Entries; send Messages; apply
// Committed; answer Reads; call Advance.
type Ready struct {
	// HardState is nil if it has not changed.
	HardState *HardState
	// Snapshot, if not nil, replaces the whole log and state.
	Snapshot *Snapshot
	// Entries are to be stored from the index of the first entry on, replacing
	// any stored entries from that index on.
	Entries []Entry
	// MustSync is set when a change must be synced before Messages are sent.
	MustSync bool
	// Messages are the messages to send.
	Messages []Message
	// Committed are the newly committed entries to apply.
	Committed []Entry
	// Reads are the results of ReadIndex calls.
	Reads []ReadResult
}

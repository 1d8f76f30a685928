// Package raft is the consensus of the control replicas. It is a pure state
// machine: it takes messages and ticks and returns, as a Ready, what the
// calling code must persist, send and apply, in that order. It never refers to
// a clock, a file or a socket.
package raft

import (
	"slices"

	"laburnumdock/internal/core/fault"
)

// EntryKind tells what a log entry carries.
type EntryKind uint8

// The kinds of entries. The numbers are part of the wire and stored forms.
const (
	EntryCommand EntryKind = 0
	EntryMember  EntryKind = 1
	// EntryEmpty is the first entry of a new leader. It lets the leader commit
	// what earlier terms left, which raft allows only through an entry of the
	// current term.
	EntryEmpty EntryKind = 2
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	// Data is the command of an EntryCommand; raft does not look into it.
	Data []byte
	// Change is the change of an EntryMember.
	Change MemberChange
}

func (e Entry) size() int { return len(e.Data) + entryOverhead }

// entryOverhead is the size in bytes that is counted for an entry beside its
// data, so that empty commands are bounded as well.
const entryOverhead = 32

// ChangeKind is one step of a membership change.
type ChangeKind uint8

// The steps. A replica joins as learner and is promoted once it has caught up,
// so that a new voter never delays commits.
const (
	AddLearner ChangeKind = iota + 1
	PromoteLearner
	RemoveMember
)

// MemberChange is a change by one replica. Two consecutive memberships differ
// by at most one voter, so their majorities overlap.
type MemberChange struct {
	Kind ChangeKind
	ID   uint64
	// Address is carried for the transport; raft does not look into it.
	Address string
}

// Membership is the set of replicas, each list sorted.
type Membership struct {
	Voters   []uint64
	Learners []uint64
}

// IsVoter tells whether id votes.
func (m Membership) IsVoter(id uint64) bool { return slices.Contains(m.Voters, id) }

// IsLearner tells whether id receives the log without a vote.
func (m Membership) IsLearner(id uint64) bool { return slices.Contains(m.Learners, id) }

// Quorum is the number of voters that decide.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// Clone returns a copy that shares nothing.
func (m Membership) Clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// With returns the membership after a change, or the reason to refuse it.
func (m Membership) With(c MemberChange) (Membership, error) {
	next := m.Clone()
	switch c.Kind {
	case AddLearner:
		if c.ID == 0 || m.IsVoter(c.ID) || m.IsLearner(c.ID) {
			return m, fault.InvalidField("id", "an ID that was never used", "replica %d is a member already", c.ID)
		}
		next.Learners = insert(next.Learners, c.ID)
	case PromoteLearner:
		if !m.IsLearner(c.ID) {
			return m, fault.InvalidField("id", "a learner", "replica %d is no learner", c.ID)
		}
		next.Learners = without(next.Learners, c.ID)
		next.Voters = insert(next.Voters, c.ID)
	case RemoveMember:
		if !m.IsVoter(c.ID) && !m.IsLearner(c.ID) {
			return m, fault.InvalidField("id", "a member", "replica %d is no member", c.ID)
		}
		next.Learners = without(next.Learners, c.ID)
		next.Voters = without(next.Voters, c.ID)
		if len(next.Voters) == 0 {
			return m, fault.InvalidField("id", "any but the last voter", "replica %d is the last voter", c.ID)
		}
	default:
		return m, fault.InvalidField("kind", "add, promote or remove", "membership change %d is not known", c.Kind)
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

// HardState is what a replica must not forget. Term and Vote are synced before
// any message that depends on them; a stale Commit is harmless, because it only
// delays what is applied after a restart.
type HardState struct {
	Term   uint64
	Vote   uint64
	Commit uint64
}

// SnapshotMeta says which prefix of the log a snapshot replaces.
type SnapshotMeta struct {
	Index   uint64
	Term    uint64
	Members Membership
}

// Snapshot is a snapshot in transit. The calling code fills in Data when it
// sends one.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// MessageType names a message. The numbers are part of the wire form.
type MessageType uint8

// The messages between replicas.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteResp
	MsgVote
	MsgVoteResp
	MsgAppend
	MsgAppendResp
	MsgHeartbeat
	MsgHeartbeatResp
	MsgSnapshot
	MsgTimeoutNow
)

// Message is one message between replicas. Messages may be lost, repeated,
// reordered and delayed.
type Message struct {
	Type MessageType
	From uint64
	To   uint64
	// Term is the sender's term, but for MsgPreVote and its granted answer: the
	// term of the election that would follow.
	Term uint64
	// Index and LogTerm identify the entry before Entries in MsgAppend, the
	// sender's last entry in votes, and in MsgAppendResp the last entry that is
	// synced, or the entry that was refused.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Reject  bool
	// RejectHint, with LogTerm, is the last entry of a refusing follower that
	// may agree with the leader's log.
	RejectHint uint64
	// Token is the read round in heartbeats and their answers. In MsgVote any
	// value but 0 says that the leader itself asked for the election.
	Token    uint64
	Entries  []Entry
	Snapshot *Snapshot
}

// Config is what a node needs.
type Config struct {
	ID uint64
	// Voters and Learners are the first membership of a new cluster. They are
	// ignored if New gets a snapshot. A replica that joins an existing cluster
	// leaves both empty and is told by the leader.
	Voters, Learners []uint64
	// ElectionTicks is the shortest election timeout. Each timeout is drawn
	// from ElectionTicks up to twice as much, so that candidates rarely meet.
	ElectionTicks  int
	HeartbeatTicks int
	// MaxEntriesPerMessage and MaxBytesPerMessage bound one MsgAppend.
	MaxEntriesPerMessage int
	MaxBytesPerMessage   int
	// MaxInflight bounds the unacknowledged MsgAppend to one follower.
	MaxInflight int
	// MaxUncommitted bounds, in bytes, what a leader appends before it is
	// committed.
	MaxUncommitted int
	// MaxReads bounds the reads that wait for a quorum.
	MaxReads int
	// LazyCommit leaves it to the next entries or heartbeat to tell followers of
	// a commit. It halves the messages where followers need not apply at once.
	LazyCommit bool
	Seed       uint64
}

func (c Config) check() error {
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

// ReadResult answers one ReadIndex. A snapshot that contains Index contains
// every change that was acknowledged before the read.
type ReadResult struct {
	Token uint64
	Index uint64
	// Err is set if the leader lost its role before a quorum confirmed it.
	Err error
}

// Ready is what the calling code must do, in the order of the fields: persist
// and sync HardState, Snapshot and Entries, then send Messages, then apply
// Committed, then answer Reads, then call Advance.
type Ready struct {
	// HardState is nil if it has not changed.
	HardState *HardState
	// Snapshot, if not nil, replaces the whole log and state.
	Snapshot *Snapshot
	// Entries are appended at the index of the first; entries that are stored
	// from there on are dropped.
	Entries []Entry
	// MustSync is false if nothing that a message depends on has changed.
	MustSync  bool
	Messages  []Message
	Committed []Entry
	Reads     []ReadResult
}

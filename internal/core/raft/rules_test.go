package raft

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// These tests pin single rules of the protocol that random histories reach too
// rarely: each was seen to survive the removal of its rule there.

// follower returns a follower of replica 1 with entries of the given terms from
// index 2 on, all of them synced.
func followerWith(t *testing.T, term, commit uint64, terms ...uint64) *Node {
	t.Helper()
	var entries []Entry
	for i, entryTerm := range terms {
		entries = append(entries, Entry{Index: uint64(i) + 2, Term: entryTerm})
	}
	n, err := New(testConfig(2, 1, 2, 3), HardState{Term: term, Commit: commit}, SnapshotMeta{}, entries)
	require.NoError(t, err)
	return n
}

func carryOut(n *Node) Ready {
	var all Ready
	for {
		rd, ok := n.Ready()
		if !ok {
			return all
		}
		all.MustSync = all.MustSync || rd.MustSync
		all.Messages = append(all.Messages, rd.Messages...)
		all.Committed = append(all.Committed, rd.Committed...)
		n.Advance(rd)
	}
}

// Guards against a leader that counts replicas of an entry of an older term as
// a commit. A leader of a term between could still overwrite that entry.
func TestOlderTermIsCommittedOnlyThroughCurrentTerm(t *testing.T) {
	n := followerWith(t, 4, 1, 2)
	n.campaign(1)
	require.NoError(t, n.Step(Message{Type: MsgVoteResp, From: 3, To: 2, Term: 5}))
	require.Equal(t, Leader, n.Role())
	carryOut(n)
	require.NoError(t, n.Step(Message{Type: MsgAppendResp, From: 3, To: 2, Term: 5, Index: 2}))
	require.EqualValues(t, 1, n.Status().Commit, "entry 2 of term 2 is on a quorum")
	require.NoError(t, n.Step(Message{Type: MsgAppendResp, From: 3, To: 2, Term: 5, Index: 3}))
	require.EqualValues(t, 3, n.Status().Commit)
}

// Guards against a vote that is given out before it is synced because the term
// was synced earlier.
func TestVoteInCurrentTermIsSynced(t *testing.T) {
	n := followerWith(t, 4, 1)
	rd := carryOut(n)
	require.False(t, rd.MustSync)
	require.NoError(t, n.Step(Message{Type: MsgVote, From: 3, To: 2, Term: 4, Index: 1, LogTerm: 1}))
	rd = carryOut(n)
	require.Len(t, rd.Messages, 1)
	require.False(t, rd.Messages[0].Reject)
	require.True(t, rd.MustSync)
}

// Guards against a membership that stays in force after its entry was replaced
// by another leader's.
func TestOverwrittenMembershipIsReverted(t *testing.T) {
	n := followerWith(t, 2, 1)
	change := Entry{Index: 2, Term: 2, Kind: EntryMember, Change: MemberChange{Kind: AddLearner, ID: 4}}
	require.NoError(t, n.Step(Message{Type: MsgAppend, From: 1, To: 2, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{change}}))
	require.True(t, n.Members().IsLearner(4))
	other := Entry{Index: 2, Term: 3}
	require.NoError(t, n.Step(Message{Type: MsgAppend, From: 3, To: 2, Term: 3, Index: 1, LogTerm: 1, Entries: []Entry{other}}))
	require.False(t, n.Members().IsLearner(4))
}

// Guards against a delayed snapshot that drops entries behind it which the
// leader has counted as synced.
func TestDelayedSnapshotKeepsLaterEntries(t *testing.T) {
	n := followerWith(t, 2, 1, 2, 2, 2, 2)
	members := n.Members()
	meta := SnapshotMeta{Index: 3, Term: 2, Members: members}
	require.NoError(t, n.Step(Message{Type: MsgSnapshot, From: 1, To: 2, Term: 2, Snapshot: &Snapshot{Meta: meta}}))
	rd := carryOut(n)
	require.Nil(t, rd.Snapshot)
	require.EqualValues(t, 5, n.Status().LastIndex)
	require.EqualValues(t, 3, n.Status().Commit)
}

// Guards against a follower that commits its own entries behind those that the
// leader's message confirms.
func TestCommitStopsAtConfirmedEntries(t *testing.T) {
	n := followerWith(t, 3, 1, 2, 2, 2)
	require.NoError(t, n.Step(Message{Type: MsgAppend, From: 1, To: 2, Term: 3, Index: 2, LogTerm: 2, Commit: 4}))
	require.EqualValues(t, 2, n.Status().Commit, "entries 3 and 4 may differ from the leader's")
}

// Guards against a delayed append that cuts off entries which a later one
// brought.
func TestDelayedAppendKeepsLaterEntries(t *testing.T) {
	n := followerWith(t, 2, 1, 2, 2, 2)
	old := Message{Type: MsgAppend, From: 1, To: 2, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}}
	require.NoError(t, n.Step(old))
	require.EqualValues(t, 4, n.Status().LastIndex)
}

// Guards against a stored hard state older than the log, which a crash between
// the two leaves: the vote of the older term must not count for the newer one.
func TestVoteOfOlderTermIsDiscarded(t *testing.T) {
	n, err := New(testConfig(2, 1, 2, 3), HardState{Term: 4, Vote: 3}, SnapshotMeta{Index: 9, Term: 5, Members: Membership{Voters: []uint64{1, 2, 3}}}, nil)
	require.NoError(t, err)
	require.EqualValues(t, 5, n.Term())
	require.NoError(t, n.Step(Message{Type: MsgVote, From: 1, To: 2, Term: 5, Index: 9, LogTerm: 5}))
	rd := carryOut(n)
	require.Len(t, rd.Messages, 1)
	require.False(t, rd.Messages[0].Reject)
}

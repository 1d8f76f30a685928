package raft

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
)

// settled returns a world with an elected leader and no random faults.
func settled(t *testing.T, voters ...uint64) (*world, *server) {
	t.Helper()
	w := newWorld(rand.New(rand.NewPCG(1, 1)), voters...)
	w.fair(60)
	lead := w.leader()
	require.NotNil(t, lead)
	require.Empty(t, w.violation)
	return w, lead
}

func (w *world) isolate(id uint64) {
	for _, other := range w.order {
		w.blocked[[2]uint64{id, other}] = true
		w.blocked[[2]uint64{other, id}] = true
	}
}

func (w *world) heal() { w.blocked = map[[2]uint64]bool{} }

func (w *world) otherThan(s *server) *server {
	for _, id := range w.order {
		if id != s.id {
			return w.servers[id]
		}
	}
	return nil
}

func mustPropose(t *testing.T, s *server, data string) uint64 {
	t.Helper()
	index, _, err := s.node.Propose([]byte(data))
	require.NoError(t, err)
	return index
}

// Guards against a replica that was cut off for long and deposes a working
// leader with a high term when it returns. The second case shows that the test
// would notice it: without pre-vote the term rises.
func TestReturningReplicaDoesNotDeposeLeader(t *testing.T) {
	for _, withPreVote := range []bool{true, false} {
		w, lead := settled(t, 1, 2, 3)
		term := lead.node.Term()
		away := w.otherThan(lead)
		w.isolate(away.id)
		for range 50 {
			if !withPreVote {
				away.node.campaign(0)
			}
			w.fair(20)
		}
		mustPropose(t, lead, "while away")
		w.heal()
		w.fair(60)
		if !withPreVote {
			require.Greater(t, w.leader().node.Term(), term)
			continue
		}
		require.Equal(t, lead, w.leader())
		require.Equal(t, term, lead.node.Term())
		require.Equal(t, lead.applied, away.applied)
	}
}

// Guards against a leader without a quorum that goes on leading, and against
// reads that it answers.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	w, lead := settled(t, 1, 2, 3)
	w.isolate(lead.id)
	require.NoError(t, lead.node.ReadIndex(1))
	var results []ReadResult
	for range 2 * testConfig(1).ElectionTicks {
		lead.node.Tick()
		if rd, ok := lead.node.Ready(); ok {
			results = append(results, rd.Reads...)
			lead.persist(rd)
			lead.node.Advance(rd)
		}
	}
	require.NotEqual(t, Leader, lead.node.Role())
	require.Len(t, results, 1)
	require.Equal(t, fault.NotLeader, fault.KindOf(results[0].Err))
	_, _, err := lead.node.Propose([]byte("x"))
	require.Equal(t, fault.NotLeader, fault.KindOf(err))
}

// Guards against a leader that takes more than it can get committed.
func TestUncommittedBytesAreBounded(t *testing.T) {
	w, lead := settled(t, 1, 2, 3)
	w.isolate(lead.id)
	data := make([]byte, 100)
	var err error
	accepted := 0
	for range 100 {
		if _, _, err = lead.node.Propose(data); err != nil {
			break
		}
		accepted++
	}
	require.Equal(t, fault.Overloaded, fault.KindOf(err))
	require.LessOrEqual(t, accepted*(100+entryOverhead), testConfig(1).MaxUncommitted)
	w.heal()
	w.fair(20)
	mustPropose(t, lead, "after the quorum is back")
}

// Guards against an unbounded number of messages to a follower that does not
// answer, and against messages above their bounds.
func TestInflightBatchesAreBounded(t *testing.T) {
	w, lead := settled(t, 1, 2, 3)
	cfg := testConfig(1)
	sent := map[uint64]int{}
	for range 30 {
		mustPropose(t, lead, "x")
		rd, ok := lead.node.Ready()
		require.True(t, ok)
		for _, m := range rd.Messages {
			if m.Type == MsgAppend && len(m.Entries) > 0 {
				sent[m.To]++
				require.LessOrEqual(t, len(m.Entries), cfg.MaxEntriesPerMessage)
			}
		}
		lead.persist(rd)
		lead.node.Advance(rd)
	}
	for _, id := range w.order {
		if id != lead.id {
			require.Equal(t, cfg.MaxInflight, sent[id])
		}
	}
}

// Guards against a leader that finds the common prefix one entry a round trip.
func TestBacktrackingSkipsWholeTerms(t *testing.T) {
	w, lead := settled(t, 1, 2, 3)
	behind := w.otherThan(lead)
	w.isolate(behind.id)
	// The follower holds 500 entries of an old term that nobody committed.
	for i := range uint64(500) {
		e := Entry{Index: behind.node.log.last() + 1, Term: lead.node.Term(), Data: []byte{byte(i), 1}}
		behind.node.log.append(e)
	}
	lead.node.becomeFollower(lead.node.Term()+1, 0)
	lead.node.campaign(1)
	w.fair(30)
	require.Equal(t, Leader, w.leader().node.Role())
	for range 20 {
		mustPropose(t, w.leader(), "x")
		w.fair(2)
	}
	w.entries = map[[2]uint64]seenEntry{}
	w.heal()
	rounds := 0
	for behind.node.log.commit < w.leader().node.log.commit {
		w.fair(1)
		rounds++
		require.Less(t, rounds, 40)
	}
	require.Equal(t, w.leader().node.log.last(), behind.node.log.last())
}

// Guards against a learner that counts for commits, that is promoted before it
// has caught up, and against two membership changes at once.
func TestLearnerIsPromotedOnlyWhenCaughtUp(t *testing.T) {
	w, lead := settled(t, 1, 2, 3)
	for range 10 {
		mustPropose(t, lead, "x")
		w.fair(1)
	}
	_, _, err := lead.node.ProposeMember(MemberChange{Kind: PromoteLearner, ID: 4})
	require.Equal(t, fault.Invalid, fault.KindOf(err), "a replica joins as learner first")
	w.add(&server{id: 4})
	w.isolate(4)
	_, _, err = lead.node.ProposeMember(MemberChange{Kind: AddLearner, ID: 4})
	require.NoError(t, err)
	_, _, err = lead.node.ProposeMember(MemberChange{Kind: AddLearner, ID: 5})
	require.Equal(t, fault.Conflict, fault.KindOf(err))
	w.fair(40)
	require.Equal(t, 2, lead.node.Members().Quorum())
	require.True(t, lead.node.Members().IsLearner(4))
	_, _, err = lead.node.ProposeMember(MemberChange{Kind: PromoteLearner, ID: 4})
	require.Equal(t, fault.Unavailable, fault.KindOf(err), "the learner has not caught up")

	w.heal()
	w.fair(40)
	require.Equal(t, lead.applied, w.servers[4].applied)
	for range 100 {
		w.servers[4].node.Tick()
	}
	require.Equal(t, Follower, w.servers[4].node.Role(), "a learner does not campaign")
	_, _, err = lead.node.ProposeMember(MemberChange{Kind: PromoteLearner, ID: 4})
	require.NoError(t, err)
	w.fair(40)
	require.Equal(t, []uint64{1, 2, 3, 4}, w.servers[4].node.Members().Voters)
	require.Empty(t, w.violation)
}

// Guards against a removed leader that goes on leading, and against a removed
// replica that disturbs the rest.
func TestRemovedLeaderStepsDown(t *testing.T) {
	w, lead := settled(t, 1, 2, 3)
	_, _, err := lead.node.ProposeMember(MemberChange{Kind: RemoveMember, ID: lead.id})
	require.NoError(t, err)
	w.fair(100)
	next := w.leader()
	require.NotNil(t, next)
	require.NotEqual(t, lead.id, next.id)
	term := next.node.Term()
	w.fair(200)
	require.Equal(t, term, w.leader().node.Term())
	require.Len(t, next.node.Members().Voters, 2)
	require.Empty(t, w.violation)
}

// Guards against a removal that would leave no quorum of working voters.
func TestRemovalThatBreaksQuorumIsRejected(t *testing.T) {
	w, lead := settled(t, 1, 2, 3)
	dead := w.otherThan(lead)
	w.crash(dead)
	w.fair(60)
	for _, id := range []uint64{1, 2, 3} {
		_, _, err := lead.node.ProposeMember(MemberChange{Kind: RemoveMember, ID: id})
		if id == dead.id {
			require.NoError(t, err)
			return
		}
		require.Equal(t, fault.Unavailable, fault.KindOf(err))
	}
}

// Guards against a status that counts a replica which is behind or gone as a
// spare: a second loss would then stop the cluster without a warning.
func TestStatusCountsOnlyCaughtUpReplicas(t *testing.T) {
	w, lead := settled(t, 1, 2, 3)
	require.Equal(t, 1, lead.node.Status().ToleratedLosses)
	away := w.otherThan(lead)
	w.isolate(away.id)
	w.fair(60)
	require.Equal(t, 0, lead.node.Status().ToleratedLosses)
	require.True(t, lead.node.Status().HasQuorum)
	// The replica answers again, but what it syncs is lost on the way.
	for range 20 {
		mustPropose(t, lead, "x")
		w.fair(1)
	}
	p := lead.node.peers[away.id]
	p.active = true
	require.Equal(t, 0, lead.node.Status().ToleratedLosses, "reachable, but behind")
	w.heal()
	w.fair(60)
	require.Equal(t, 1, lead.node.Status().ToleratedLosses)

	five, lead5 := settled(t, 1, 2, 3, 4, 5)
	require.Equal(t, 2, lead5.node.Status().ToleratedLosses)
	five.crash(five.otherThan(lead5))
	five.fair(60)
	require.Equal(t, 1, five.leader().node.Status().ToleratedLosses)
	require.False(t, five.otherThan(five.leader()).node != nil && five.otherThan(five.leader()).node.Status().ProgressKnown)
}

// Guards against a graceful stop that costs an election timeout.
func TestLeadershipTransfer(t *testing.T) {
	w, lead := settled(t, 1, 2, 3)
	to := w.otherThan(lead)
	w.isolate(to.id)
	mustPropose(t, lead, "the successor lacks this")
	w.fair(1)
	w.heal()
	require.True(t, lead.node.TransferLeadership(to.id))
	_, _, err := lead.node.Propose([]byte("x"))
	require.Equal(t, fault.Unavailable, fault.KindOf(err))
	w.fair(testConfig(1).HeartbeatTicks + 2)
	require.Equal(t, to, w.leader())
	require.Empty(t, w.violation)
	require.False(t, lead.node.TransferLeadership(0), "only a leader can hand leadership over")
}

// Guards against a replica that takes part after its storage failed.
func TestHaltedNodeTransfersLeadership(t *testing.T) {
	w, lead := settled(t, 1, 2, 3)
	lead.node.Halt()
	rd, ok := lead.node.Ready()
	require.True(t, ok)
	require.Len(t, rd.Messages, 1)
	require.Equal(t, MsgTimeoutNow, rd.Messages[0].Type)
	require.Nil(t, rd.HardState)
	require.Empty(t, rd.Entries)
	w.hand(rd.Messages[0])
	_, _, err := lead.node.Propose([]byte("x"))
	require.Equal(t, fault.StorageFailed, fault.KindOf(err))
	require.Error(t, lead.node.Step(Message{Type: MsgHeartbeat, From: 2, To: lead.id, Term: 99}))
	halted := lead.node
	lead.node = nil
	w.fair(10)
	require.NotNil(t, w.leader())
	_, ok = halted.Ready()
	require.False(t, ok)
}

// Guards against a start from stored entries that do not belong together.
func TestNewRejectsInvalidState(t *testing.T) {
	cases := map[string][]Entry{
		"gap":           {{Index: 2, Term: 1}, {Index: 4, Term: 1}},
		"term decrease": {{Index: 2, Term: 2}, {Index: 3, Term: 1}},
	}
	for name, entries := range cases {
		_, err := New(testConfig(1, 1, 2, 3), HardState{Term: 3}, SnapshotMeta{}, entries)
		require.Equal(t, fault.StorageFailed, fault.KindOf(err), name)
	}
	bad := testConfig(1, 1)
	bad.MaxInflight = 0
	_, err := New(bad, HardState{}, SnapshotMeta{}, nil)
	var f *fault.Error
	require.True(t, errors.As(err, &f))
	require.Equal(t, "maxInflight", f.Field)
}

// Guards against a replica that joins and takes itself for the only voter.
func TestJoiningReplicaNeverCampaigns(t *testing.T) {
	n, err := New(testConfig(9), HardState{}, SnapshotMeta{}, nil)
	require.NoError(t, err)
	for range 1000 {
		n.Tick()
	}
	require.Equal(t, Follower, n.Role())
	require.Zero(t, n.Term())
}

// Guards against an answer to a read that is older than the leader's term
// allows: a new leader may not know yet what was committed before it.
func TestReadWaitsForCommitInCurrentTerm(t *testing.T) {
	w, lead := settled(t, 1, 2, 3)
	mustPropose(t, lead, "x")
	w.fair(3)
	next := w.otherThan(lead)
	w.crash(lead)
	next.node.campaign(1)
	for next.node.Role() != Leader {
		w.process(next, -1)
		batch := w.net
		w.net = nil
		for _, m := range batch {
			w.hand(m)
		}
		for _, id := range w.order {
			w.process(w.servers[id], -1)
		}
	}
	require.False(t, next.node.HasCommittedInTerm())
	require.NoError(t, next.node.ReadIndex(77))
	next.node.startReadRound()
	require.Empty(t, next.node.reads.rounds)
	w.reads[77] = w.maxCommit
	w.fair(5)
	require.NotContains(t, w.reads, uint64(77))
	require.Empty(t, w.violation)
}

// Guards against a compacted log that keeps more than it may, in entries or in
// bytes, and against one that keeps less than a follower needs.
func TestCompactKeepsBoundedTail(t *testing.T) {
	cases := map[string]struct {
		entries uint64
		bytes   int
		first   uint64
	}{
		"by entries": {4, 1 << 20, 17},
		"by bytes":   {100, 3 * (50 + entryOverhead), 18},
		"nothing":    {0, 1 << 20, 21},
		"everything": {100, 1 << 20, 2},
	}
	for name, c := range cases {
		w, lead := settled(t, 1)
		for lead.node.log.last() < 20 {
			mustPropose(t, lead, string(make([]byte, 50)))
			w.fair(1)
		}
		meta, err := lead.node.SnapshotMeta(20)
		require.NoError(t, err)
		lead.node.Compact(meta, c.entries, c.bytes)
		require.Equal(t, c.first, lead.node.Status().FirstIndex, name)
		require.EqualValues(t, 20, lead.node.Status().SnapshotIndex, name)
	}
}

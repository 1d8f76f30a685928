package raft

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
)

// newStableCluster returns a simulation without random faults, and its elected
// leader.
func newStableCluster(t *testing.T, voters ...uint64) (*simulation, *replica) {
	t.Helper()
	sim := newSimulation(rand.New(rand.NewPCG(1, 1)), voters...)
	sim.runFair(60)
	leader := sim.leader()
	require.NotNil(t, leader)
	require.Empty(t, sim.violation)
	return sim, leader
}

// isolate blocks all links from and to a replica.
func (sim *simulation) isolate(id uint64) {
	for _, other := range sim.order {
		sim.blocked[[2]uint64{id, other}] = true
		sim.blocked[[2]uint64{other, id}] = true
	}
}

// heal unblocks all links.
func (sim *simulation) heal() { sim.blocked = map[[2]uint64]bool{} }

// anyOther returns the first replica other than r.
func (sim *simulation) anyOther(r *replica) *replica {
	for _, id := range sim.order {
		if id != r.id {
			return sim.replicas[id]
		}
	}
	return nil
}

// mustPropose proposes a command to r, which must accept it, and returns its index.
func mustPropose(t *testing.T, r *replica, data string) uint64 {
	t.Helper()
	index, _, err := r.node.Propose([]byte(data))
	require.NoError(t, err)
	return index
}

// Guards against a replica that deposes a working leader with a high term when it
// returns from a long partition. The second case shows that the test detects this:
// without pre-vote the term increases.
func TestReturningReplicaDoesNotDeposeLeader(t *testing.T) {
	for _, withPreVote := range []bool{true, false} {
		sim, leader := newStableCluster(t, 1, 2, 3)
		term := leader.node.Term()
		partitioned := sim.anyOther(leader)
		sim.isolate(partitioned.id)
		for range 50 {
			if !withPreVote {
				partitioned.node.startElection(0)
			}
			sim.runFair(20)
		}
		mustPropose(t, leader, "committed during the partition")
		sim.heal()
		sim.runFair(60)
		if !withPreVote {
			require.Greater(t, sim.leader().node.Term(), term)
			continue
		}
		require.Equal(t, leader, sim.leader())
		require.Equal(t, term, leader.node.Term())
		require.Equal(t, leader.applied, partitioned.applied)
	}
}

// Guards against a leader without a quorum that stays leader or answers reads.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	sim, leader := newStableCluster(t, 1, 2, 3)
	sim.isolate(leader.id)
	require.NoError(t, leader.node.ReadIndex(1))
	var results []ReadResult
	for range 2 * testConfig(1).ElectionTicks {
		leader.node.Tick()
		if rd, ok := leader.node.Ready(); ok {
			results = append(results, rd.Reads...)
			leader.persist(rd)
			leader.node.Advance(rd)
		}
	}
	require.NotEqual(t, Leader, leader.node.Role())
	require.Len(t, results, 1)
	require.Equal(t, fault.NotLeader, fault.KindOf(results[0].Err))
	_, _, err := leader.node.Propose([]byte("x"))
	require.Equal(t, fault.NotLeader, fault.KindOf(err))
}

// Guards against a leader without a quorum that accepts an unbounded amount of
// uncommitted entries.
func TestUncommittedBytesAreBounded(t *testing.T) {
	sim, leader := newStableCluster(t, 1, 2, 3)
	sim.isolate(leader.id)
	data := make([]byte, 100)
	var err error
	accepted := 0
	for range 100 {
		if _, _, err = leader.node.Propose(data); err != nil {
			break
		}
		accepted++
	}
	require.Equal(t, fault.Overloaded, fault.KindOf(err))
	require.LessOrEqual(t, accepted*(100+entryOverheadBytes), testConfig(1).MaxUncommitted)
	sim.heal()
	sim.runFair(20)
	mustPropose(t, leader, "accepted again")
}

// Guards against an unbounded number of messages to a follower that does not
// respond, and against messages with too many entries.
func TestInflightBatchesAreBounded(t *testing.T) {
	sim, leader := newStableCluster(t, 1, 2, 3)
	cfg := testConfig(1)
	sent := map[uint64]int{}
	for range 30 {
		mustPropose(t, leader, "x")
		rd, ok := leader.node.Ready()
		require.True(t, ok)
		for _, m := range rd.Messages {
			if m.Type == MsgAppend && len(m.Entries) > 0 {
				sent[m.To]++
				require.LessOrEqual(t, len(m.Entries), cfg.MaxEntriesPerMessage)
			}
		}
		leader.persist(rd)
		leader.node.Advance(rd)
	}
	for _, id := range sim.order {
		if id != leader.id {
			require.Equal(t, cfg.MaxInflight, sent[id])
		}
	}
}

// Guards against a leader that needs one round trip for each entry to find the
// common prefix of the logs.
func TestBacktrackingSkipsWholeTerms(t *testing.T) {
	sim, leader := newStableCluster(t, 1, 2, 3)
	behind := sim.anyOther(leader)
	sim.isolate(behind.id)
	// The follower has 500 uncommitted entries of an old term.
	for i := range uint64(500) {
		e := Entry{Index: behind.node.log.lastIndex() + 1, Term: leader.node.Term(), Data: []byte{byte(i), 1}}
		behind.node.log.append(e)
	}
	leader.node.becomeFollower(leader.node.Term()+1, 0)
	leader.node.startElection(1)
	sim.runFair(30)
	require.Equal(t, Leader, sim.leader().node.Role())
	for range 20 {
		mustPropose(t, sim.leader(), "x")
		sim.runFair(2)
	}
	sim.entries = map[[2]uint64]observedEntry{}
	sim.heal()
	rounds := 0
	for behind.node.log.commit < sim.leader().node.log.commit {
		sim.runFair(1)
		rounds++
		require.Less(t, rounds, 40)
	}
	require.Equal(t, sim.leader().node.log.lastIndex(), behind.node.log.lastIndex())
}

// Guards against a learner that counts towards the quorum or is promoted before it
// has caught up, and against two uncommitted membership changes at once.
func TestLearnerIsPromotedOnlyWhenCaughtUp(t *testing.T) {
	sim, leader := newStableCluster(t, 1, 2, 3)
	for range 10 {
		mustPropose(t, leader, "x")
		sim.runFair(1)
	}
	_, _, err := leader.node.ProposeMember(MemberChange{Kind: PromoteLearner, ID: 4})
	require.Equal(t, fault.Invalid, fault.KindOf(err), "a replica must join as a learner first")
	sim.add(&replica{id: 4})
	sim.isolate(4)
	_, _, err = leader.node.ProposeMember(MemberChange{Kind: AddLearner, ID: 4})
	require.NoError(t, err)
	_, _, err = leader.node.ProposeMember(MemberChange{Kind: AddLearner, ID: 5})
	require.Equal(t, fault.Conflict, fault.KindOf(err))
	sim.runFair(40)
	require.Equal(t, 2, leader.node.Members().Quorum())
	require.True(t, leader.node.Members().IsLearner(4))
	_, _, err = leader.node.ProposeMember(MemberChange{Kind: PromoteLearner, ID: 4})
	require.Equal(t, fault.Unavailable, fault.KindOf(err), "the learner has not caught up")

	sim.heal()
	sim.runFair(40)
	require.Equal(t, leader.applied, sim.replicas[4].applied)
	for range 100 {
		sim.replicas[4].node.Tick()
	}
	require.Equal(t, Follower, sim.replicas[4].node.Role(), "a learner does not campaign")
	_, _, err = leader.node.ProposeMember(MemberChange{Kind: PromoteLearner, ID: 4})
	require.NoError(t, err)
	sim.runFair(40)
	require.Equal(t, []uint64{1, 2, 3, 4}, sim.replicas[4].node.Members().Voters)
	require.Empty(t, sim.violation)
}

// Guards against a removed leader that stays leader, and against a removed replica
// that disrupts the remaining ones.
func TestRemovedLeaderStepsDown(t *testing.T) {
	sim, leader := newStableCluster(t, 1, 2, 3)
	_, _, err := leader.node.ProposeMember(MemberChange{Kind: RemoveMember, ID: leader.id})
	require.NoError(t, err)
	sim.runFair(100)
	next := sim.leader()
	require.NotNil(t, next)
	require.NotEqual(t, leader.id, next.id)
	term := next.node.Term()
	sim.runFair(200)
	require.Equal(t, term, sim.leader().node.Term())
	require.Len(t, next.node.Members().Voters, 2)
	require.Empty(t, sim.violation)
}

// Guards against a removal that would leave no quorum of working voters.
func TestRemovalThatBreaksQuorumIsRejected(t *testing.T) {
	sim, leader := newStableCluster(t, 1, 2, 3)
	crashed := sim.anyOther(leader)
	sim.crash(crashed)
	sim.runFair(60)
	for _, id := range []uint64{1, 2, 3} {
		_, _, err := leader.node.ProposeMember(MemberChange{Kind: RemoveMember, ID: id})
		if id == crashed.id {
			require.NoError(t, err)
			return
		}
		require.Equal(t, fault.Unavailable, fault.KindOf(err))
	}
}

// Guards against a status that counts a replica that is behind or unreachable as a
// working voter: a second loss would then stop the cluster without a warning.
func TestStatusCountsOnlyCaughtUpReplicas(t *testing.T) {
	sim, leader := newStableCluster(t, 1, 2, 3)
	require.Equal(t, 1, leader.node.Status().ToleratedLosses)
	partitioned := sim.anyOther(leader)
	sim.isolate(partitioned.id)
	sim.runFair(60)
	require.Equal(t, 0, leader.node.Status().ToleratedLosses)
	require.True(t, leader.node.Status().HasQuorum)
	// The replica counts as reachable again but has not received the new entries.
	for range 20 {
		mustPropose(t, leader, "x")
		sim.runFair(1)
	}
	p := leader.node.progress[partitioned.id]
	p.active = true
	require.Equal(t, 0, leader.node.Status().ToleratedLosses, "reachable, but behind")
	sim.heal()
	sim.runFair(60)
	require.Equal(t, 1, leader.node.Status().ToleratedLosses)

	five, leader5 := newStableCluster(t, 1, 2, 3, 4, 5)
	require.Equal(t, 2, leader5.node.Status().ToleratedLosses)
	five.crash(five.anyOther(leader5))
	five.runFair(60)
	require.Equal(t, 1, five.leader().node.Status().ToleratedLosses)
	require.False(t, five.anyOther(five.leader()).node != nil && five.anyOther(five.leader()).node.Status().ProgressKnown)
}

// Guards against a graceful shutdown of the leader that costs an election timeout.
func TestLeadershipTransfer(t *testing.T) {
	sim, leader := newStableCluster(t, 1, 2, 3)
	transferee := sim.anyOther(leader)
	sim.isolate(transferee.id)
	mustPropose(t, leader, "missing on the transferee")
	sim.runFair(1)
	sim.heal()
	require.True(t, leader.node.TransferLeadership(transferee.id))
	_, _, err := leader.node.Propose([]byte("x"))
	require.Equal(t, fault.Unavailable, fault.KindOf(err))
	sim.runFair(testConfig(1).HeartbeatTicks + 2)
	require.Equal(t, transferee, sim.leader())
	require.Empty(t, sim.violation)
	require.False(t, leader.node.TransferLeadership(0), "only a leader can transfer leadership")
}

// Guards against a replica that remains active after a storage failure.
func TestHaltedNodeTransfersLeadership(t *testing.T) {
	sim, leader := newStableCluster(t, 1, 2, 3)
	leader.node.Halt()
	rd, ok := leader.node.Ready()
	require.True(t, ok)
	require.Len(t, rd.Messages, 1)
	require.Equal(t, MsgTimeoutNow, rd.Messages[0].Type)
	require.Nil(t, rd.HardState)
	require.Empty(t, rd.Entries)
	sim.deliver(rd.Messages[0])
	_, _, err := leader.node.Propose([]byte("x"))
	require.Equal(t, fault.StorageFailed, fault.KindOf(err))
	require.Error(t, leader.node.Step(Message{Type: MsgHeartbeat, From: 2, To: leader.id, Term: 99}))
	halted := leader.node
	leader.node = nil
	sim.runFair(10)
	require.NotNil(t, sim.leader())
	_, ok = halted.Ready()
	require.False(t, ok)
}

// Guards against a start from stored entries that are not contiguous or whose terms
// decrease, and against a start with an invalid configuration.
func TestNewRejectsInvalidState(t *testing.T) {
	cases := map[string][]Entry{
		"gap":           {{Index: 2, Term: 1}, {Index: 4, Term: 1}},
		"term decrease": {{Index: 2, Term: 2}, {Index: 3, Term: 1}},
	}
	for name, entries := range cases {
		_, err := New(testConfig(1, 1, 2, 3), HardState{Term: 3}, SnapshotMeta{}, entries)
		require.Equal(t, fault.StorageFailed, fault.KindOf(err), name)
	}
	invalid := testConfig(1, 1)
	invalid.MaxInflight = 0
	_, err := New(invalid, HardState{}, SnapshotMeta{}, nil)
	var faultErr *fault.Error
	require.True(t, errors.As(err, &faultErr))
	require.Equal(t, "maxInflight", faultErr.Field)
}

// Guards against a joining replica that considers itself the only voter.
func TestJoiningReplicaNeverCampaigns(t *testing.T) {
	n, err := New(testConfig(9), HardState{}, SnapshotMeta{}, nil)
	require.NoError(t, err)
	for range 1000 {
		n.Tick()
	}
	require.Equal(t, Follower, n.Role())
	require.Zero(t, n.Term())
}

// Guards against stale reads from a new leader, which does not know what earlier
// leaders committed until it has committed an entry of its own term.
func TestReadWaitsForCommitInCurrentTerm(t *testing.T) {
	sim, leader := newStableCluster(t, 1, 2, 3)
	mustPropose(t, leader, "x")
	sim.runFair(3)
	next := sim.anyOther(leader)
	sim.crash(leader)
	next.node.startElection(1)
	for next.node.Role() != Leader {
		sim.processReady(next, -1)
		batch := sim.network
		sim.network = nil
		for _, m := range batch {
			sim.deliver(m)
		}
		for _, id := range sim.order {
			sim.processReady(sim.replicas[id], -1)
		}
	}
	require.False(t, next.node.HasCommittedInTerm())
	require.NoError(t, next.node.ReadIndex(77))
	next.node.startReadRound()
	require.Empty(t, next.node.reads.rounds)
	sim.reads[77] = sim.maxCommit
	sim.runFair(5)
	require.NotContains(t, sim.reads, uint64(77))
	require.Empty(t, sim.violation)
}

// Guards against compaction that keeps more entries or bytes than the limits allow,
// or that keeps fewer than it should.
func TestCompactKeepsBoundedTail(t *testing.T) {
	cases := map[string]struct {
		entries uint64
		bytes   int
		first   uint64
	}{
		"by entries": {4, 1 << 20, 17},
		"by bytes":   {100, 3 * (50 + entryOverheadBytes), 18},
		"nothing":    {0, 1 << 20, 21},
		"everything": {100, 1 << 20, 2},
	}
	for name, c := range cases {
		sim, leader := newStableCluster(t, 1)
		for leader.node.log.lastIndex() < 20 {
			mustPropose(t, leader, string(make([]byte, 50)))
			sim.runFair(1)
		}
		meta, err := leader.node.SnapshotMeta(20)
		require.NoError(t, err)
		leader.node.Compact(meta, c.entries, c.bytes)
		require.Equal(t, c.first, leader.node.Status().FirstIndex, name)
		require.EqualValues(t, 20, leader.node.Status().SnapshotIndex, name)
	}
}

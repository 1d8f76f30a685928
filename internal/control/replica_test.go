package control

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/wal"
)

// Guards against a log that is not replicated, a follower that doesn't forward
// changes, and stale reads.
func TestChangesAreReplicatedAndRead(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	c.mustPut(c.leader(), 1)
	c.mustPut(c.follower(), 2)
	for _, run := range c.replicas {
		snap, err := run.ReadSnapshot(testContext(t))
		require.NoError(t, err)
		require.NotNil(t, snap.Get(teamKey(1)))
		require.NotNil(t, snap.Get(teamKey(2)))
	}
}

// Guards against a lost change, or a cluster that accepts no more changes, after a
// crash of the leader.
func TestChangesSurviveLeaderCrash(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	old := c.leader()
	c.mustPut(old, 1)
	id, survivor := old.Status().ID, c.follower()
	start := time.Now()
	c.kill(id)
	c.proposeUntilAccepted(survivor, 2)
	t.Logf("first accepted change %s after the leader was killed", time.Since(start))
	c.restart(id)
	snap, err := c.replicas[id].ReadSnapshot(testContext(t))
	require.NoError(t, err)
	require.NotNil(t, snap.Get(teamKey(1)))
	require.NotNil(t, snap.Get(teamKey(2)))
}

// Guards against a graceful stop that loses a change or leaves the cluster without
// a leader for an election timeout.
func TestGracefulStopTransfersLeadership(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	old := c.leader()
	c.mustPut(old, 1)
	other := c.follower()
	term := old.Status().Term
	c.stop(old.Status().ID)
	successor := old.Status().Leader
	require.NotZero(t, successor, "the old leader must wait for its successor")
	require.NotEqual(t, old.Status().ID, successor)
	require.Equal(t, term+1, c.leader().Status().Term, "there must be one election, started by the old leader")
	c.mustPut(other, 2)
}

// Guards against a partitioned leader that acknowledges a change or answers a read,
// and against a replica that causes an election when its partition ends.
func TestPartitionedLeaderAcknowledgesNothing(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	old := c.leader()
	c.mustPut(old, 1)
	setPartition(c, old, true)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := old.Propose(ctx, putTeam(2))
	require.Error(t, err)
	_, err = old.ReadSnapshot(ctx)
	require.Error(t, err)
	require.Eventually(t, func() bool { return !old.IsLeader() }, testTimeout, time.Millisecond)
	next := c.leader()
	c.mustPut(next, 3)
	term := next.Status().Term
	setPartition(c, old, false)
	snap, err := old.ReadSnapshot(testContext(t))
	require.NoError(t, err)
	require.NotNil(t, snap.Get(teamKey(3)))
	require.Equal(t, term, next.Status().Term)
	require.True(t, next.IsLeader())
}

// setPartition partitions a replica from the others in both directions, or ends the
// partition.
func setPartition(c *cluster, target *runningReplica, partitioned bool) {
	target.faults.setPartitioned(partitioned)
	id := target.Status().ID
	for _, run := range c.replicas {
		if run == target {
			continue
		}
		url := run.cfg.Peers[id]
		peerURL := target.cfg.Peers[run.cfg.ID]
		if partitioned {
			url, peerURL = "http://127.0.0.1:1", "http://127.0.0.1:1"
		}
		run.peers.Load().setAddress(id, url)
		target.peers.Load().setAddress(run.cfg.ID, peerURL)
	}
}

// Guards against a replica that lost its disk and is accepted under its old ID, and
// against a replacement that cannot catch up from a snapshot.
func TestReplicaWithLostDiskJoinsUnderNewID(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	lead := c.leader()
	for i := range 5 {
		c.mustPut(lead, i)
	}
	lostID := c.follower().Status().ID
	for _, run := range c.replicas {
		require.Eventually(t, func() bool { return run.Status().Storage.KnownDisks == 2 }, testTimeout, time.Millisecond)
	}
	require.Eventually(t, func() bool { return lead.Status().ToleratedLosses == 1 }, testTimeout, time.Millisecond)
	c.kill(lostID)
	require.Eventually(t, func() bool { return lead.Status().ToleratedLosses == 0 }, testTimeout, time.Millisecond)

	// The operator initialises the empty directory with the old ID.
	c.dirs[lostID] = t.TempDir()
	require.NoError(t, InitJoin(c.config(lostID)))
	c.restart(lostID)
	require.Never(t, func() bool { return lead.Status().ToleratedLosses != 0 }, 2*time.Second, 10*time.Millisecond)
	for _, run := range c.replicas {
		if run.cfg.ID == lostID {
			continue
		}
		reply := make(chan error, 1)
		run.inbound <- delivery{from: lostID, disk: "another", reply: reply}
		require.Equal(t, fault.Fenced, fault.KindOf(<-reply), "replica %d", run.cfg.ID)
	}
	c.kill(lostID)

	joined := c.join(4)
	ctx := testContext(t)
	require.NoError(t, lead.ProposeMember(ctx, raft.MemberChange{Kind: raft.AddLearner, ID: 4, Address: c.urls[4]}))
	require.Eventually(t, func() bool {
		return lead.ProposeMember(ctx, raft.MemberChange{Kind: raft.PromoteLearner, ID: 4}) == nil
	}, testTimeout, 10*time.Millisecond)
	require.NoError(t, lead.ProposeMember(ctx, raft.MemberChange{Kind: raft.RemoveMember, ID: lostID}))
	snap, err := joined.ReadSnapshot(ctx)
	require.NoError(t, err)
	require.NotNil(t, snap.Get(teamKey(4)))
	require.Eventually(t, func() bool { return lead.Status().ToleratedLosses == 1 }, testTimeout, time.Millisecond)
}

// Guards against a replica that still acknowledges changes while its disk has failed,
// and against one that does not take part again afterwards.
func TestFailedDiskEndsLeadership(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	old := c.leader()
	id := old.Status().ID
	c.mustPut(old, 1)
	c.kill(id)
	lead := c.leader()
	disk := &failingFS{}
	l := c.relisten(id)
	fs, err := wal.Dir(c.dirs[id])
	require.NoError(t, err)
	disk.FS = fs
	restarted := c.startFS(id, l, disk)
	require.Eventually(t, func() bool { return lead.Status().ToleratedLosses == 1 }, testTimeout, time.Millisecond)
	require.NoError(t, transfer(lead, id))
	require.Eventually(t, restarted.IsLeader, testTimeout, time.Millisecond)
	c.mustPut(restarted, 2)

	disk.full.Store(true)
	_, err = restarted.proposeLocal(testContext(t), putTeam(3))
	require.Equal(t, fault.OutcomeUnknown, fault.KindOf(err))
	_, err = restarted.proposeLocal(testContext(t), putTeam(4))
	require.Equal(t, fault.Unavailable, fault.KindOf(err), "the change certainly had no effect")
	require.Eventually(t, func() bool { return restarted.Status().StorageError != nil && !restarted.IsLeader() }, testTimeout, time.Millisecond)
	c.mustPut(lead, 5)
	require.True(t, restarted.Status().Halted)
	_, err = restarted.proposeLocal(testContext(t), putTeam(6))
	require.Equal(t, fault.Unavailable, fault.KindOf(err), "a failed disk must stay failed until it takes writes again")
	disk.full.Store(false)
	require.Eventually(t, func() bool { return restarted.Status().StorageError == nil }, testTimeout, time.Millisecond)
	snap, err := restarted.ReadSnapshot(testContext(t))
	require.NoError(t, err)
	require.NotNil(t, snap.Get(teamKey(5)))
	require.Nil(t, snap.Get(teamKey(4)))
	require.Nil(t, snap.Get(teamKey(6)))
}

// transferRequest is an event that transfers leadership to a given replica.
type transferRequest struct {
	to    uint64
	reply chan outcome
}

func (q transferRequest) handle(l *loop) {
	if !l.node.TransferLeadership(q.to) {
		q.refuse(errors.New("leadership transfer was refused"))
		return
	}
	q.reply <- outcome{}
}

func (q transferRequest) refuse(err error) { q.reply <- outcome{err: err} }

func transfer(from *runningReplica, to uint64) error {
	q := transferRequest{to: to, reply: make(chan outcome, 1)}
	if err := from.enqueue(q); err != nil {
		return err
	}
	return (<-q.reply).err
}

// failingFS is a file system whose writes fail with ENOSPC while full is set.
type failingFS struct {
	wal.FS
	full atomic.Bool
}

func (f *failingFS) Append(name string) (wal.File, error) {
	file, err := f.FS.Append(name)
	return failingFile{File: file, fs: f}, err
}

type failingFile struct {
	wal.File
	fs *failingFS
}

func (f failingFile) Write(data []byte) (int, error) {
	if f.fs.full.Load() {
		n, _ := f.File.Write(data[:len(data)/2])
		return n, syscall.ENOSPC
	}
	return f.File.Write(data)
}

// Guards against a replica that cannot catch up after the entries it needs were
// compacted, and against a received snapshot that is lost at a restart.
func TestLaggingReplicaReceivesSnapshot(t *testing.T) {
	c := newClusterWithConfig(t, func(cfg *Config) { cfg.SnapshotEntries, cfg.KeepEntries = 20, 5 }, 1, 2, 3)
	lead := c.leader()
	c.mustPut(lead, 0)
	laggingID := c.follower().Status().ID
	c.kill(laggingID)
	for i := 1; i < 100; i++ {
		c.mustPut(lead, i)
	}
	require.Eventually(t, func() bool { return lead.Status().FirstIndex > 50 }, testTimeout, time.Millisecond)
	c.restart(laggingID)
	snap, err := c.replicas[laggingID].ReadSnapshot(testContext(t))
	require.NoError(t, err)
	for i := range 100 {
		require.NotNil(t, snap.Get(teamKey(i)), i)
	}
	require.Eventually(t, func() bool { return c.replicas[laggingID].Status().SnapshotIndex > 50 }, testTimeout, time.Millisecond)
	c.kill(laggingID)
	c.restart(laggingID)
	snap, err = c.replicas[laggingID].ReadSnapshot(testContext(t))
	require.NoError(t, err)
	require.Equal(t, 99, snap.Get(teamKey(99)).(*model.Team).Spec.QuotaCores)
}

// Guards against a forwarded change whose response was lost and that is reported as
// not accepted, after which the client or the follower would repeat it.
func TestLostResponseOfForwardedChangeIsUnknown(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	lead, follower := c.leader(), c.follower()
	c.mustPut(follower, 1)
	lead.faults.setDropsResponses(true)
	_, err := follower.Propose(testContext(t), putTeam(2))
	require.Equal(t, fault.OutcomeUnknown, fault.KindOf(err))
	lead.faults.setDropsResponses(false)
	snap, err := lead.ReadSnapshot(testContext(t))
	require.NoError(t, err)
	require.NotNil(t, snap.Get(teamKey(2)))
}

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

// Guards against a log that is not replicated, against a follower that does not
// forward, and against stale reads.
func TestThreeReplicasAcceptAndRead(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	c.mustPut(c.leader(), 1)
	c.mustPut(c.follower(), 2)
	for _, run := range c.replicas {
		snap, err := run.ReadSnapshot(within(t))
		require.NoError(t, err)
		require.NotNil(t, snap.Get(teamKey(1)))
		require.NotNil(t, snap.Get(teamKey(2)))
	}
}

// Guards against a change that is lost, or a cluster that stands still, when
// the leader is killed.
func TestLeaderKilledKeepsChanges(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	old := c.leader()
	c.mustPut(old, 1)
	id, survivor := old.Status().ID, c.follower()
	began := time.Now()
	c.kill(id)
	c.resend(survivor, 2)
	t.Logf("first accepted change %s after the leader was killed", time.Since(began))
	c.restart(id)
	snap, err := c.replicas[id].ReadSnapshot(within(t))
	require.NoError(t, err)
	require.NotNil(t, snap.Get(teamKey(1)))
	require.NotNil(t, snap.Get(teamKey(2)))
}

// Guards against a graceful stop that leaves the cluster without a leader until
// an election timeout has passed, or that loses a change.
func TestGracefulStopHandsLeadershipOver(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	old := c.leader()
	c.mustPut(old, 1)
	other := c.follower()
	term := old.Status().Term
	c.stop(old.Status().ID)
	successor := old.Status().Leader
	require.NotZero(t, successor, "the old leader waits for its successor")
	require.NotEqual(t, old.Status().ID, successor)
	require.Equal(t, term+1, c.leader().Status().Term, "one election, asked for by the old leader")
	c.mustPut(other, 2)
}

// Guards against a partitioned leader that acknowledges a change or answers a
// read, and against a replica that disturbs the others when it returns.
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
	require.Eventually(t, func() bool { return !old.IsLeader() }, generous, time.Millisecond)
	next := c.leader()
	c.mustPut(next, 3)
	term := next.Status().Term
	setPartition(c, old, false)
	snap, err := old.ReadSnapshot(within(t))
	require.NoError(t, err)
	require.NotNil(t, snap.Get(teamKey(3)))
	require.Equal(t, term, next.Status().Term)
	require.True(t, next.IsLeader())
}

// setPartition cuts one replica off in both directions, or connects it again.
func setPartition(c *cluster, one *running, cut bool) {
	one.cut.set(cut)
	id := one.Status().ID
	for _, run := range c.replicas {
		if run == one {
			continue
		}
		url := run.cfg.Peers[id]
		mine := one.cfg.Peers[run.cfg.ID]
		if cut {
			url, mine = "http://127.0.0.1:1", "http://127.0.0.1:1"
		}
		run.peers.Load().set(id, url)
		one.peers.Load().set(run.cfg.ID, mine)
	}
}

// Guards against a replica that lost its disk and comes back under its old ID,
// and against a replacement that cannot catch up from a snapshot.
func TestReplicaWithLostDiskJoinsUnderNewID(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	lead := c.leader()
	for i := range 5 {
		c.mustPut(lead, i)
	}
	lost := c.follower().Status().ID
	for _, run := range c.replicas {
		require.Eventually(t, func() bool { return run.Status().Storage.KnownDisks == 2 }, generous, time.Millisecond)
	}
	require.Eventually(t, func() bool { return lead.Status().ToleratedLosses == 1 }, generous, time.Millisecond)
	c.kill(lost)
	require.Eventually(t, func() bool { return lead.Status().ToleratedLosses == 0 }, generous, time.Millisecond)

	// The operator prepares the empty folder under the old ID.
	c.dirs[lost] = t.TempDir()
	require.NoError(t, InitJoin(c.config(lost)))
	c.restart(lost)
	require.Never(t, func() bool { return lead.Status().ToleratedLosses != 0 }, 2*time.Second, 10*time.Millisecond)
	for _, run := range c.replicas {
		if run.cfg.ID == lost {
			continue
		}
		reply := make(chan error, 1)
		run.inbound <- delivery{from: lost, disk: "another", reply: reply}
		require.Equal(t, fault.Fenced, fault.KindOf(<-reply), "replica %d", run.cfg.ID)
	}
	c.kill(lost)

	joined := c.join(4)
	ctx := within(t)
	require.NoError(t, lead.ProposeMember(ctx, raft.MemberChange{Kind: raft.AddLearner, ID: 4, Address: c.urls[4]}))
	require.Eventually(t, func() bool {
		return lead.ProposeMember(ctx, raft.MemberChange{Kind: raft.PromoteLearner, ID: 4}) == nil
	}, generous, 10*time.Millisecond)
	require.NoError(t, lead.ProposeMember(ctx, raft.MemberChange{Kind: raft.RemoveMember, ID: lost}))
	snap, err := joined.ReadSnapshot(ctx)
	require.NoError(t, err)
	require.NotNil(t, snap.Get(teamKey(4)))
	require.Eventually(t, func() bool { return lead.Status().ToleratedLosses == 1 }, generous, time.Millisecond)
}

// Guards against a replica that goes on acknowledging after its disk failed.
func TestFailingDiskGivesUpLeadership(t *testing.T) {
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
	back := c.startFS(id, l, disk)
	require.Eventually(t, func() bool { return lead.Status().ToleratedLosses == 1 }, generous, time.Millisecond)
	require.NoError(t, transfer(lead, id))
	require.Eventually(t, back.IsLeader, generous, time.Millisecond)
	c.mustPut(back, 2)

	disk.full.Store(true)
	_, err = back.proposeLocal(within(t), putTeam(3))
	require.Equal(t, fault.OutcomeUnknown, fault.KindOf(err))
	_, err = back.proposeLocal(within(t), putTeam(4))
	require.Equal(t, fault.StorageFailed, fault.KindOf(err))
	require.Eventually(t, func() bool { return back.Status().StorageError != nil && !back.IsLeader() }, generous, time.Millisecond)
	c.mustPut(lead, 5)
	require.True(t, back.Status().Halted)
	disk.full.Store(false)
	_, err = back.proposeLocal(within(t), putTeam(6))
	require.Equal(t, fault.StorageFailed, fault.KindOf(err), "a failed disk stays failed until the restart")
}

// transferRequest asks the loop to hand leadership to a certain replica.
type transferRequest struct {
	to    uint64
	reply chan outcome
}

func (q transferRequest) handle(l *loop) {
	if !l.node.TransferLeadership(q.to) {
		q.refuse(errors.New("no transfer"))
		return
	}
	q.reply <- outcome{}
}

func (q transferRequest) refuse(err error) { q.reply <- outcome{err: err} }

func transfer(from *running, to uint64) error {
	q := transferRequest{to: to, reply: make(chan outcome, 1)}
	if err := from.put(q); err != nil {
		return err
	}
	return (<-q.reply).err
}

// failingFS is a disk that can run full.
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

// Guards against a replica that cannot follow once the log it needs is gone,
// and against a snapshot that does not survive a restart.
func TestLaggingReplicaGetsSnapshot(t *testing.T) {
	c := newClusterTuned(t, func(cfg *Config) { cfg.SnapshotEntries, cfg.KeepEntries = 20, 5 }, 1, 2, 3)
	lead := c.leader()
	c.mustPut(lead, 0)
	behind := c.follower().Status().ID
	c.kill(behind)
	for i := 1; i < 100; i++ {
		c.mustPut(lead, i)
	}
	require.Eventually(t, func() bool { return lead.Status().FirstIndex > 50 }, generous, time.Millisecond)
	c.restart(behind)
	snap, err := c.replicas[behind].ReadSnapshot(within(t))
	require.NoError(t, err)
	for i := range 100 {
		require.NotNil(t, snap.Get(teamKey(i)), i)
	}
	require.Eventually(t, func() bool { return c.replicas[behind].Status().SnapshotIndex > 50 }, generous, time.Millisecond)
	c.kill(behind)
	c.restart(behind)
	snap, err = c.replicas[behind].ReadSnapshot(within(t))
	require.NoError(t, err)
	require.Equal(t, 99, snap.Get(teamKey(99)).(*model.Team).Spec.QuotaCores)
}

// Guards against a forwarded change whose answer was lost and that is reported
// as not accepted, after which a client or this replica would repeat it.
func TestLostAnswerOfForwardedChangeIsUnknown(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	lead, follower := c.leader(), c.follower()
	c.mustPut(follower, 1)
	lead.cut.loseAnswers(true)
	_, err := follower.Propose(within(t), putTeam(2))
	require.Equal(t, fault.OutcomeUnknown, fault.KindOf(err))
	lead.cut.loseAnswers(false)
	snap, err := lead.ReadSnapshot(within(t))
	require.NoError(t, err)
	require.NotNil(t, snap.Get(teamKey(2)))
}

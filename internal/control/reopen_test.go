package control

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/wal"
	"laburnumdock/internal/wal/waltest"
)

// recoveryBound is the time within which a replica takes part again, and the cluster
// accepts changes, after the disk takes writes again: one interval between two
// attempts to reopen the storage, and four elections of at most two election
// timeouts each, because a busy test host delays messages.
const recoveryBound = reopenInterval + 8*DefaultElectionTicks*DefaultTick

// newClusterOnFaultyDisks starts a cluster whose disks can refuse operations. It
// returns the disks by replica ID.
func newClusterOnFaultyDisks(t *testing.T, configure func(*Config), voters ...uint64) (*cluster, map[uint64]*waltest.FaultyFS) {
	c := &cluster{t: t, configure: configure, dirs: map[uint64]string{}, urls: map[uint64]string{}, replicas: map[uint64]*runningReplica{}}
	disks := map[uint64]*waltest.FaultyFS{}
	listeners := map[uint64]net.Listener{}
	for _, id := range voters {
		listeners[id] = c.listen(id, "127.0.0.1:0")
	}
	for _, id := range voters {
		c.dirs[id] = t.TempDir()
		require.NoError(t, InitCluster(c.config(id), voters))
		fs, err := wal.Dir(c.dirs[id])
		require.NoError(t, err)
		disks[id] = &waltest.FaultyFS{FS: fs}
	}
	for _, id := range voters {
		c.startFS(id, listeners[id], disks[id])
	}
	t.Cleanup(c.stopAll)
	return c, disks
}

// acceptWithin resends change i until it is accepted, and fails if that takes longer
// than limit.
func (c *cluster) acceptWithin(run *runningReplica, i int, limit time.Duration) {
	c.t.Helper()
	put := putTeam(i)
	put.Origin.ChangeID, put.Origin.IssuedAt = fmt.Sprintf("change-%d", i), time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for {
		res, err := run.Propose(ctx, put)
		if err == nil {
			require.Nil(c.t, res.Err)
			return
		}
		require.NoError(c.t, ctx.Err(), "change %d was not accepted within %s: %v", i, limit, err)
	}
}

// awaitRecovery waits until a replica has no storage failure and the cluster tolerates
// a loss again, and fails if that takes longer than recoveryBound.
func (c *cluster) awaitRecovery(id uint64) {
	c.t.Helper()
	run := c.replicas[id]
	limit := time.Now().Add(recoveryBound)
	for {
		tolerated := 0
		for _, other := range c.replicas {
			if other.IsLeader() {
				tolerated = other.Status().ToleratedLosses
			}
		}
		storageErr := run.Status().StorageError
		if storageErr == nil && tolerated == 1 {
			return
		}
		require.True(c.t, time.Now().Before(limit), "replica %d does not take part within %s: storage error %v, tolerated losses %d", id, recoveryBound, storageErr, tolerated)
		time.Sleep(time.Millisecond)
	}
}

// Guards against replicas that stay halted after their disk refused an operation for
// a moment: once that has happened to a majority, one after another and never two at
// once, the cluster accepts no more changes.
func TestClusterSurvivesDisksThatFailInTurn(t *testing.T) {
	for name, ops := range map[string]waltest.Op{
		"full": waltest.Full, "sync": waltest.Sync, "create": waltest.Create,
		"rename": waltest.Rename, "remove": waltest.Remove, "sync of the directory": waltest.SyncDir,
	} {
		t.Run(name, func(t *testing.T) {
			c, disks := newClusterOnFaultyDisks(t, func(cfg *Config) { cfg.SnapshotEntries, cfg.KeepEntries = 20, 5 }, 1, 2, 3)
			change := 0
			accept := func(run *runningReplica, n int) {
				for range n {
					c.acceptWithin(run, change, recoveryBound)
					change++
				}
			}
			accept(c.leader(), 30)
			for id, disk := range disks {
				other := c.replicas[id%3+1]
				disk.Refuse(ops)
				accept(other, 30)
				require.NotZero(t, disk.Refusals(), "replica %d was not asked to write", id)
				disk.Refuse(0)
				c.awaitRecovery(id)
				accept(other, 1)
			}
			// Each pair has to elect a leader, so each replica must vote.
			for id := uint64(1); id <= 3; id++ {
				c.kill(id)
				accept(c.replicas[id%3+1], 1)
				fs, err := wal.Dir(c.dirs[id])
				require.NoError(t, err)
				c.startFS(id, c.relisten(id), fs)
				c.awaitRecovery(id)
			}
			for id, run := range c.replicas {
				snap, err := run.ReadSnapshot(testContext(t))
				require.NoError(t, err)
				for i := range change {
					require.NotNil(t, snap.Get(teamKey(i)), "replica %d lost change %d", id, i)
				}
			}
		})
	}
}

// Guards against a snapshot that could not be written and halts the replica, or is
// tried again without a pause or never.
func TestFailedSnapshotKeepsReplicaRunning(t *testing.T) {
	c, disks := newClusterOnFaultyDisks(t, func(cfg *Config) { cfg.SnapshotEntries, cfg.KeepEntries = 20, 5 }, 1)
	run, disk := c.leader(), disks[1]
	disk.Refuse(waltest.Rename)
	for i := range 100 {
		c.mustPut(run, i)
	}
	require.NoError(t, run.Status().StorageError)
	require.LessOrEqual(t, disk.Refusals(), 2, "attempts are a second apart")
	require.EqualValues(t, 1, run.Status().SnapshotIndex)
	disk.Refuse(0)
	require.Eventually(t, func() bool { return run.Status().SnapshotIndex > 50 }, testTimeout, time.Millisecond)
}

// Guards against a replica whose applied state goes back to its last snapshot when
// its storage is reopened, and against an entry that is applied twice.
func TestReopenKeepsAppliedState(t *testing.T) {
	c, disks := newClusterOnFaultyDisks(t, nil, 1, 2, 3)
	for i := range 20 {
		c.mustPut(c.leader(), i)
	}
	run := c.follower()
	require.Eventually(t, func() bool { return run.Snapshot().Get(teamKey(19)) != nil }, testTimeout, time.Millisecond)
	before := run.Snapshot().Get(teamKey(19)).Metadata().Version
	disks[run.cfg.ID].Refuse(waltest.Sync)
	for i := 20; i < 30; i++ {
		c.mustPut(c.leader(), i)
	}
	require.Eventually(t, func() bool { return run.Status().StorageError != nil }, testTimeout, time.Millisecond)
	disks[run.cfg.ID].Refuse(0)
	for run.Snapshot().Get(teamKey(29)) == nil {
		changed := run.Changed()
		snap := run.Snapshot()
		require.NotNil(t, snap.Get(teamKey(19)), "the state went back")
		require.Equal(t, before, snap.Get(teamKey(19)).Metadata().Version)
		if snap.Get(teamKey(29)) != nil {
			break
		}
		select {
		case <-changed:
		case <-time.After(recoveryBound):
			t.Fatal("the replica does not follow the leader again")
		}
	}
}

// Guards against a replica that does not stop while its disk is full.
func TestStopWithFullDisk(t *testing.T) {
	c, disks := newClusterOnFaultyDisks(t, nil, 1, 2, 3)
	run := c.leader()
	disks[run.cfg.ID].Refuse(waltest.Full)
	_, err := run.proposeLocal(testContext(t), putTeam(1))
	require.Error(t, err)
	start := time.Now()
	c.stop(run.cfg.ID)
	require.Less(t, time.Since(start), 2*recoveryBound)
}

// Guards against a replica with a full disk that answers that a change may have run
// although it did nothing, or that keeps changes for itself instead of passing them
// to the leader.
func TestReplicaWithFullDiskForwardsChanges(t *testing.T) {
	c, disks := newClusterOnFaultyDisks(t, nil, 1, 2, 3)
	old := c.leader()
	c.mustPut(old, 1)
	disks[old.cfg.ID].Refuse(waltest.Full)
	_, err := old.proposeLocal(testContext(t), putTeam(2))
	require.Equal(t, fault.OutcomeUnknown, fault.KindOf(err))
	for i := 3; i < 6; i++ {
		c.acceptWithin(old, i, recoveryBound)
	}
	require.Error(t, old.Status().StorageError)
	_, err = old.proposeLocal(testContext(t), putTeam(6))
	require.Equal(t, fault.Unavailable, fault.KindOf(err), "the change certainly had no effect")
	_, err = old.ReadSnapshot(testContext(t))
	require.Equal(t, fault.Unavailable, fault.KindOf(err))
	snap, err := c.leader().ReadSnapshot(testContext(t))
	require.NoError(t, err)
	require.Nil(t, snap.Get(teamKey(6)))
}

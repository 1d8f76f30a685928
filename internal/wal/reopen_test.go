package wal

import (
	"fmt"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/raft"
)

// heal ends all refusals.
func (m *memFS) heal() { m.refuseAfter, m.failSync, m.freeBytes = -1, false, -1 }

// Guards against a log that cannot be opened again in the same process after the
// disk refused any one operation or all from one on, that loses synced data then, or
// that returns data of a failed sync which a crash of the host still loses. A failed
// SaveSnapshot must leave the log usable.
func TestReopenAfterRefusalAtEveryOperation(t *testing.T) {
	for _, count := range []int{1, -1} {
		for _, l := range []crashLoss{loseUnsynced, loseHalfOfUnsynced, loseNothing} {
			for refuseAfter := 0; refuseWorkload(t, refuseAfter, count, l); refuseAfter++ {
			}
		}
	}
}

// refuseWorkload runs the workload with count refused operations after the first
// refuseAfter. It reports whether any was refused.
func refuseWorkload(t *testing.T, refuseAfter, count int, l crashLoss) bool {
	fs := newInitialisedFS(t)
	log, _, err := Open(options(fs))
	require.NoError(t, err)
	fs.ops, fs.refuseAfter, fs.refuseCount = 0, refuseAfter, count
	m := model{snap: bootstrapSnapshot().Meta}
	for _, op := range workload() {
		description := fmt.Sprintf("%d refusals after %d operations in %q, loss %d", count, refuseAfter, op.name, l)
		next := op.next(m)
		err := op.run(log)
		if err != nil && log.Err() == nil {
			require.Contains(t, op.name, "save", description)
			fs.heal()
			err = op.run(log)
			require.NoError(t, err, description)
		}
		if err == nil {
			m = next
			continue
		}
		require.True(t, IsRefusal(err), description)
		require.Error(t, log.Append(raft.HardState{Term: 9}, nil), description)
		if count < 0 {
			_, err := log.Reopen()
			require.True(t, IsRefusal(err), "%s: %v", description, err)
		}
		fs.heal()
		rec, err := log.Reopen()
		require.NoError(t, err, description)
		requireDurable(t, log, rec, fs, l, m, next, description)
		return true
	}
	return fs.ops > refuseAfter
}

// requireDurable checks that rec is the state before or after the failed operation,
// that a crash loses nothing of it, and that the log is usable.
func requireDurable(t *testing.T, log *Log, rec *Recovered, fs *memFS, l crashLoss, before, after model, description string) {
	if rec.HardState == after.hs {
		// InstallSnapshot stores the hard state before the snapshot.
		before.hs = after.hs
	}
	actual := before
	if errBefore := before.check(rec); errBefore != nil {
		actual = after
		require.NoError(t, after.check(rec), "%s: %v", description, errBefore)
	}
	_, crashed, err := Open(options(fs.crash(l)))
	require.NoError(t, err, description)
	require.NoError(t, actual.check(crashed), description)
	requireUsable(t, log, fs, actual, description)
}

// Guards against a process that starts after a failed sync and answers on data that
// only the page cache holds.
func TestOpenAfterFailedSyncIsDurable(t *testing.T) {
	fs := newInitialisedFS(t)
	log, _, err := Open(options(fs))
	require.NoError(t, err)
	m := model{snap: bootstrapSnapshot().Meta}.withAppended(raft.HardState{Term: 2, Vote: 1}, entries(2, 3, 2))
	require.NoError(t, log.Append(m.hs, entries(2, 3, 2)))
	after := m.withAppended(m.hs, entries(4, 5, 2))
	fs.failSync = true
	require.Error(t, log.Append(m.hs, entries(4, 5, 2)))
	restarted := fs.crash(loseNothing)
	log, rec, err := Open(options(restarted))
	require.NoError(t, err)
	requireDurable(t, log, rec, restarted, loseUnsynced, m, after, "restart after a failed sync")
}

// Guards against a crash while the log is opened, with a torn last record, that loses
// acknowledged data or leaves files that cannot be opened.
func TestCrashWhileOpening(t *testing.T) {
	for _, l := range []crashLoss{loseUnsynced, loseHalfOfUnsynced, loseNothing} {
		for crashAfter := 0; ; crashAfter++ {
			fs, _ := newFilledFS(t)
			_, f := lastSegment(fs)
			f.data = append(f.data, f.data[:20]...)
			fs.ops, fs.crashAfter = 0, crashAfter
			_, _, err := Open(options(fs))
			if err == nil {
				break
			}
			_, rec, err := Open(options(fs.crash(l)))
			require.NoError(t, err, "crash after %d operations, loss %d", crashAfter, l)
			require.Equal(t, entries(2, 4, 2), rec.Entries)
		}
	}
}

// Guards against a disk registry that is written after the rest of a failed attempt,
// and against a failed attempt that leaves its temporary file on a full disk.
func TestRefusedFileIsWrittenAnew(t *testing.T) {
	fs := newInitialisedFS(t)
	log, _, err := Open(options(fs))
	require.NoError(t, err)
	require.NoError(t, log.CheckDisk(2, "a"))
	fs.freeBytes = 5
	require.Equal(t, fault.StorageFailed, fault.KindOf(log.CheckDisk(3, "b")))
	snap := raft.Snapshot{Meta: raft.SnapshotMeta{Index: 9, Term: 1}, Data: []byte("state")}
	require.ErrorIs(t, log.SaveSnapshot(snap), syscall.ENOSPC)
	require.NotContains(t, fs.files, disksFile+tempSuffix)
	require.NotContains(t, fs.files, snapshotName(9)+tempSuffix)
	fs.heal()
	// A removal that was refused as well leaves a part of the file.
	fs.files[disksFile+tempSuffix] = &memFile{fs: fs, data: []byte("part")}
	require.NoError(t, log.CheckDisk(3, "b"))
	require.NoError(t, log.SaveSnapshot(snap))
	require.NoError(t, log.Close())
	log, rec, err := Open(options(fs))
	require.NoError(t, err)
	require.EqualValues(t, 9, rec.Snapshot.Meta.Index)
	require.Equal(t, fault.Fenced, fault.KindOf(log.CheckDisk(3, "c")))
	require.NoError(t, log.CheckDisk(2, "a"))
}

// Guards against a closed log that is opened again without a lock, and against one
// that takes the files of another replica for its own.
func TestReopenIsRefused(t *testing.T) {
	fs := newInitialisedFS(t)
	log, _, err := Open(options(fs))
	require.NoError(t, err)
	log.Fail(fault.New(fault.StorageFailed, "x"))
	require.NoError(t, Clear(fs))
	require.NoError(t, Init(fs, "c", 1, bootstrapSnapshot()))
	_, err = log.Reopen()
	require.ErrorContains(t, err, "now belongs to")
	require.NoError(t, log.Close())
	_, err = log.Reopen()
	require.Equal(t, fault.Stopping, fault.KindOf(err))
}

package wal

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/raft"
)

var voters = []uint64{1, 2, 3}

func bootstrapSnapshot() *raft.Snapshot {
	return &raft.Snapshot{Meta: raft.BootstrapSnapshot(voters, nil), Data: []byte("first")}
}

func options(fs FS) Options {
	return Options{FS: fs, Cluster: "c", Replica: 1, SegmentBytes: 600}
}

func newInitialisedFS(t testing.TB) *memFS {
	fs := newMemFS()
	require.NoError(t, Init(fs, "c", 1, bootstrapSnapshot()))
	return fs
}

func entry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "data-%d-%d", index, term)}
}

func entries(from, to, term uint64) []raft.Entry {
	var list []raft.Entry
	for i := from; i <= to; i++ {
		list = append(list, entry(i, term))
	}
	return list
}

// model is the state that the files must hold.
type model struct {
	hs   raft.HardState
	snap raft.SnapshotMeta
	log  []raft.Entry
}

func (m model) entriesAfter(snap raft.SnapshotMeta) []raft.Entry {
	return slices.DeleteFunc(slices.Clone(m.log), func(e raft.Entry) bool { return e.Index <= snap.Index })
}

func (m model) withAppended(hs raft.HardState, list []raft.Entry) model {
	kept := slices.Clone(m.log)
	if len(list) > 0 {
		kept = slices.DeleteFunc(kept, func(e raft.Entry) bool { return e.Index >= list[0].Index })
	}
	return model{hs: hs, snap: m.snap, log: append(kept, list...)}
}

func (m model) check(rec *Recovered) error {
	if rec.HardState != m.hs {
		return fmt.Errorf("hard state %+v, want %+v", rec.HardState, m.hs)
	}
	if rec.Snapshot.Meta.Index != m.snap.Index {
		return fmt.Errorf("snapshot at %d, want %d", rec.Snapshot.Meta.Index, m.snap.Index)
	}
	want := m.entriesAfter(m.snap)
	if len(want) != len(rec.Entries) {
		return fmt.Errorf("%d entries, want %d", len(rec.Entries), len(want))
	}
	for i, e := range want {
		got := rec.Entries[i]
		if got.Index != e.Index || got.Term != e.Term || string(got.Data) != string(e.Data) {
			return fmt.Errorf("entry %+v, want %+v", got, e)
		}
	}
	return nil
}

// operation is one call of a log and its effect on the model.
type operation struct {
	name string
	run  func(l *Log) error
	next func(m model) model
}

func appendOp(hs raft.HardState, list []raft.Entry) operation {
	return operation{
		name: fmt.Sprintf("append %d entries in term %d", len(list), hs.Term),
		run:  func(l *Log) error { return l.Append(hs, list) },
		next: func(m model) model { return m.withAppended(hs, list) },
	}
}

func saveOp(index, term uint64) operation {
	meta := raft.SnapshotMeta{Index: index, Term: term, Members: raft.Membership{Voters: voters}}
	return operation{
		name: fmt.Sprintf("save snapshot at %d", index),
		run:  func(l *Log) error { return l.SaveSnapshot(raft.Snapshot{Meta: meta, Data: []byte("state")}) },
		next: func(m model) model { m.snap = meta; return m },
	}
}

func compactOp(index uint64) operation {
	return operation{
		name: fmt.Sprintf("compact to %d", index),
		run:  func(l *Log) error { return l.Compact(index) },
		next: func(m model) model { return m },
	}
}

func installOp(hs raft.HardState, index, term uint64) operation {
	meta := raft.SnapshotMeta{Index: index, Term: term, Members: raft.Membership{Voters: voters}}
	return operation{
		name: fmt.Sprintf("install snapshot at %d", index),
		run: func(l *Log) error {
			return l.InstallSnapshot(hs, raft.Snapshot{Meta: meta, Data: []byte("leader's")})
		},
		next: func(model) model { return model{hs: hs, snap: meta} },
	}
}

func workload() []operation {
	hs := func(term, vote, commit uint64) raft.HardState {
		return raft.HardState{Term: term, Vote: vote, Commit: commit}
	}
	return []operation{
		appendOp(hs(2, 1, 1), nil),
		appendOp(hs(2, 1, 1), entries(2, 6, 2)),
		appendOp(hs(2, 1, 5), entries(7, 20, 2)),
		appendOp(hs(3, 2, 5), entries(6, 12, 3)),
		saveOp(10, 3),
		compactOp(10),
		appendOp(hs(3, 2, 12), entries(13, 30, 3)),
		appendOp(hs(4, 3, 12), entries(13, 14, 4)),
		saveOp(13, 4),
		appendOp(hs(4, 3, 13), entries(15, 16, 4)),
		compactOp(13),
		appendOp(hs(4, 3, 16), entries(17, 35, 4)),
		saveOp(18, 4),
		compactOp(18),
		saveOp(22, 4),
		compactOp(22),
		installOp(hs(5, 0, 40), 40, 5),
		appendOp(hs(5, 0, 40), entries(41, 60, 5)),
		installOp(hs(6, 0, 50), 50, 6),
		appendOp(hs(6, 0, 50), entries(51, 52, 6)),
	}
}

// Guards against a crash at any file operation that loses acknowledged data,
// restores replaced data, or leaves files that cannot be opened.
func TestCrashAtEveryOperation(t *testing.T) {
	for _, l := range []crashLoss{loseUnsynced, loseHalfOfUnsynced, loseNothing} {
		for crashAfter := 0; ; crashAfter++ {
			fs := newInitialisedFS(t)
			log, _, err := Open(options(fs))
			require.NoError(t, err)
			fs.ops, fs.crashAfter = 0, crashAfter
			before, after, name, done := runUntilCrash(log, model{snap: bootstrapSnapshot().Meta})
			if done {
				break
			}
			description := fmt.Sprintf("crash after %d operations in %q, loss %d", crashAfter, name, l)
			restarted := fs.crash(l)
			log, rec, err := Open(options(restarted))
			require.NoError(t, err, description)
			if rec.HardState == after.hs {
				// InstallSnapshot stores the hard state before the snapshot.
				before.hs = after.hs
			}
			errBefore, errAfter := before.check(rec), after.check(rec)
			require.True(t, errBefore == nil || errAfter == nil, "%s: %v; %v", description, errBefore, errAfter)
			actual := before
			if errAfter == nil {
				actual = after
			}
			requireUsable(t, log, restarted, actual, description)
		}
	}
}

func runUntilCrash(log *Log, m model) (before, after model, name string, done bool) {
	for _, op := range workload() {
		next := op.next(m)
		if op.run(log) != nil {
			return m, next, op.name, false
		}
		m = next
	}
	return m, m, "", true
}

// requireUsable checks that the log accepts entries after a restart and keeps them
// over another crash.
func requireUsable(t *testing.T, log *Log, fs *memFS, want model, description string) {
	last := want.snap.Index
	if n := len(want.log); n > 0 && want.log[n-1].Index > last {
		last = want.log[n-1].Index
	}
	hs := raft.HardState{Term: 9, Commit: last}
	list := entries(last+1, last+3, 9)
	require.NoError(t, log.Append(hs, list), description)
	want = want.withAppended(hs, list)
	_, rec, err := Open(options(fs.crash(loseUnsynced)))
	require.NoError(t, err, description)
	require.NoError(t, want.check(rec), description)
}

// Guards against a model that doesn't detect lost, extra or changed data, so that
// the crash test would pass.
func TestModelDetectsDifferences(t *testing.T) {
	m := model{snap: bootstrapSnapshot().Meta}.withAppended(raft.HardState{Term: 2}, entries(2, 5, 2))
	good := &Recovered{HardState: m.hs, Snapshot: raft.Snapshot{Meta: m.snap}, Entries: entries(2, 5, 2)}
	require.NoError(t, m.check(good))
	for name, corrupt := range map[string]func(r *Recovered){
		"entry lost":    func(r *Recovered) { r.Entries = r.Entries[:3] },
		"entry extra":   func(r *Recovered) { r.Entries = entries(2, 6, 2) },
		"entry changed": func(r *Recovered) { r.Entries = append(entries(2, 4, 2), entry(5, 3)) },
		"vote lost":     func(r *Recovered) { r.HardState.Vote = 2 },
		"snapshot lost": func(r *Recovered) { r.Snapshot.Meta.Index = 0 },
	} {
		bad := *good
		corrupt(&bad)
		require.Error(t, m.check(&bad), name)
	}
}

// Guards against a log that accepts writes after a full disk or a failed sync: data
// acknowledged then might be lost in the next crash.
func TestFailureIsSticky(t *testing.T) {
	cases := map[string]struct {
		inject func(*memFS)
		heal   func(*memFS)
		cause  error
	}{
		"disk full":   {func(m *memFS) { m.freeBytes = 10 }, func(m *memFS) { m.freeBytes = -1 }, syscall.ENOSPC},
		"short write": {func(m *memFS) { m.freeBytes = 0 }, func(m *memFS) { m.freeBytes = -1 }, syscall.ENOSPC},
		"sync fails":  {func(m *memFS) { m.failSync = true }, func(m *memFS) { m.failSync = false }, syscall.EIO},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			fs := newInitialisedFS(t)
			log, _, err := Open(options(fs))
			require.NoError(t, err)
			hs := raft.HardState{Term: 2, Vote: 1}
			require.NoError(t, log.Append(hs, entries(2, 3, 2)))
			c.inject(fs)
			err = log.Append(hs, entries(4, 5, 2))
			require.Equal(t, fault.StorageFailed, fault.KindOf(err))
			require.ErrorContains(t, err, c.cause.Error())
			c.heal(fs)
			require.Error(t, log.Append(hs, entries(4, 5, 2)))
			require.Error(t, log.Compact(2))
			require.Error(t, log.InstallSnapshot(hs, *bootstrapSnapshot()))
			require.Error(t, log.CheckDisk(2, "d"))

			_, rec, err := Open(options(fs.crash(loseHalfOfUnsynced)))
			require.NoError(t, err)
			require.NoError(t, model{snap: bootstrapSnapshot().Meta}.withAppended(hs, entries(2, 3, 2)).check(rec))
		})
	}
}

// lastSegment returns the name and file of the newest log file.
func lastSegment(fs *memFS) (string, *memFile) {
	last := ""
	for name := range fs.files {
		if strings.HasPrefix(name, segmentPrefix) {
			last = max(last, name)
		}
	}
	return last, fs.files[last]
}

// newFilledFS returns a directory with one log file of three records after the
// header, and the offset of each record.
func newFilledFS(t testing.TB) (*memFS, []int) {
	fs := newInitialisedFS(t)
	log, _, err := Open(options(fs))
	require.NoError(t, err)
	for i := range uint64(3) {
		require.NoError(t, log.Append(raft.HardState{Term: 2, Vote: 1}, entries(2+i, 2+i, 2)))
	}
	_, f := lastSegment(fs)
	var offsets []int
	for at := 0; at < len(f.data); {
		_, size, state := nextFrame(f.data[at:])
		require.Equal(t, frameValid, state)
		offsets = append(offsets, at)
		at += size
	}
	require.Len(t, offsets, 4)
	return fs, offsets
}

// Guards against a torn last record that keeps a replica from starting, and
// against one that is read as complete.
func TestTornLastRecordIsTruncated(t *testing.T) {
	intact, offsets := newFilledFS(t)
	_, f := lastSegment(intact)
	for cut := offsets[3] + 1; cut < len(f.data); cut++ {
		fs, _ := newFilledFS(t)
		_, f := lastSegment(fs)
		f.data = f.data[:cut]
		_, rec, err := Open(options(fs))
		require.NoError(t, err, cut)
		require.Len(t, rec.Entries, 2)
		require.EqualValues(t, cut-offsets[3], rec.TruncatedBytes)
		// Open replaces the file by a copy.
		_, f = lastSegment(fs)
		require.Len(t, f.data, offsets[3])
	}
	for name, corrupt := range map[string]func(data []byte){
		"zeros":   func(data []byte) { clear(data) },
		"content": func(data []byte) { data[len(data)-1] ^= 1 },
		"length":  func(data []byte) { data[0] ^= 1 },
	} {
		fs, _ := newFilledFS(t)
		_, f := lastSegment(fs)
		corrupt(f.data[offsets[3]:])
		_, rec, err := Open(options(fs))
		require.NoError(t, err, name)
		require.Len(t, rec.Entries, 2, name)
		require.Positive(t, rec.TruncatedBytes, name)
	}
}

// Guards against corrupt acknowledged records that are silently truncated like a
// torn last record, whichever byte is corrupt.
func TestCorruptionBeforeLastRecordIsRejected(t *testing.T) {
	_, offsets := newFilledFS(t)
	for at := range offsets[3] {
		for _, bit := range []byte{1, 128} {
			fs, _ := newFilledFS(t)
			_, f := lastSegment(fs)
			f.data[at] ^= bit
			_, _, err := Open(options(fs))
			require.Equal(t, fault.StorageFailed, fault.KindOf(err), "byte %d", at)
		}
	}
}

// Guards against a replica that starts although one of its files is missing.
func TestMissingFileIsRejected(t *testing.T) {
	newCompactedFS := func() *memFS {
		fs := newInitialisedFS(t)
		log, _, err := Open(options(fs))
		require.NoError(t, err)
		for i := range uint64(40) {
			require.NoError(t, log.Append(raft.HardState{Term: 2}, entries(2+i, 2+i, 2)))
		}
		meta := raft.SnapshotMeta{Index: 20, Term: 2, Members: raft.Membership{Voters: voters}}
		require.NoError(t, log.SaveSnapshot(raft.Snapshot{Meta: meta, Data: []byte("state")}))
		require.NoError(t, log.Compact(20))
		return fs
	}
	names, err := newCompactedFS().List()
	require.NoError(t, err)
	require.Greater(t, len(names), 5)
	for _, name := range names {
		fs := newCompactedFS()
		delete(fs.files, name)
		_, _, err := Open(options(fs))
		require.Equal(t, fault.StorageFailed, fault.KindOf(err), name)
	}
}

// Guards against a replica that starts with files of another cluster, replica or
// disk.
func TestForeignFilesAreRejected(t *testing.T) {
	o := options(newInitialisedFS(t))
	o.Cluster = "other"
	_, _, err := Open(o)
	require.ErrorContains(t, err, `belongs to replica 1 of cluster "c"`)
	o = options(newInitialisedFS(t))
	o.Replica = 2
	_, _, err = Open(o)
	require.ErrorContains(t, err, "not to replica 2")

	fs, foreign := newInitialisedFS(t), newMemFS()
	require.NoError(t, Init(foreign, "other", 1, bootstrapSnapshot()))
	for name, f := range foreign.files {
		if name == identityFile {
			continue
		}
		mixed := fs.crash(loseNothing)
		mixed.files[name] = &memFile{fs: mixed, data: f.data, synced: len(f.data)}
		_, _, err = Open(options(mixed))
		require.ErrorContains(t, err, `cluster "other"`, name)
	}
}

// Guards against a replica that opens an empty directory after it lost its disk,
// and against the initialisation of a directory that is in use.
func TestUninitialisedDirectoryIsRejected(t *testing.T) {
	_, _, err := Open(options(newMemFS()))
	require.ErrorContains(t, err, "initialise it under a replica ID that was never used")
	require.ErrorContains(t, Init(newInitialisedFS(t), "c", 1, bootstrapSnapshot()), "not empty")
	half := newInitialisedFS(t)
	delete(half.files, identityFile)
	require.ErrorContains(t, Init(half, "c", 1, bootstrapSnapshot()), "not empty")
	_, _, err = Open(options(half))
	require.Error(t, err)
}

// Guards against a replica that lost its disk and returns under its old ID.
func TestReplicaWithAnotherDiskIsFenced(t *testing.T) {
	fs := newInitialisedFS(t)
	log, _, err := Open(options(fs))
	require.NoError(t, err)
	require.NoError(t, log.CheckDisk(2, "a"))
	require.NoError(t, log.CheckDisk(2, "a"))
	require.Equal(t, fault.Fenced, fault.KindOf(log.CheckDisk(2, "b")))
	log, _, err = Open(options(fs.crash(loseUnsynced)))
	require.NoError(t, err)
	require.Equal(t, fault.Fenced, fault.KindOf(log.CheckDisk(2, "b")))
	require.NoError(t, log.CheckDisk(2, "a"))
}

// Guards against a corrupt snapshot that is loaded, or skipped in favour of an older
// one.
func TestCorruptSnapshotIsRejected(t *testing.T) {
	size := len(newInitialisedFS(t).files[snapshotName(1)].data)
	for at := range size {
		fs := newInitialisedFS(t)
		fs.files[snapshotName(1)].data[at] ^= 1
		_, _, err := Open(options(fs))
		require.Equal(t, fault.StorageFailed, fault.KindOf(err), "byte %d", at)
	}
}

// Guards against an unfinished snapshot file that is read as a snapshot.
func TestTemporaryFilesAreRemoved(t *testing.T) {
	fs := newInitialisedFS(t)
	fs.files[snapshotName(99)+tempSuffix] = &memFile{fs: fs, data: []byte("part")}
	_, rec, err := Open(options(fs))
	require.NoError(t, err)
	require.EqualValues(t, 1, rec.Snapshot.Meta.Index)
	require.NotContains(t, fs.files, snapshotName(99)+tempSuffix)
}

// Guards against two processes in one data directory, and against differences
// between the file system of the operating system and memFS.
func TestOSDirectory(t *testing.T) {
	fs, err := Dir(t.TempDir())
	require.NoError(t, err)
	require.NoError(t, Init(fs, "c", 1, bootstrapSnapshot()))
	log, _, err := Open(options(fs))
	require.NoError(t, err)
	_, _, err = Open(options(fs))
	require.ErrorContains(t, err, "another process")
	m := model{snap: bootstrapSnapshot().Meta}
	for _, op := range workload() {
		require.NoError(t, op.run(log), op.name)
		m = op.next(m)
	}
	require.NoError(t, log.Close())
	require.Error(t, log.Append(raft.HardState{}, nil))
	_, rec, err := Open(options(fs))
	require.NoError(t, err)
	require.NoError(t, m.check(rec))
}

// Guards against a separate sync for every entry of a batch.
func TestBatchIsSyncedOnce(t *testing.T) {
	log, _, err := Open(options(newInitialisedFS(t)))
	require.NoError(t, err)
	before := log.Stats()
	require.NoError(t, log.Append(raft.HardState{Term: 2}, entries(2, 257, 2)))
	require.Equal(t, before.Syncs+1, log.Stats().Syncs)
	require.Equal(t, before.Entries+256, log.Stats().Entries)
}

// FuzzOpen guards against log files that crash the process or yield entries that
// are not contiguous.
func FuzzOpen(f *testing.F) {
	fs, offsets := newFilledFS(f)
	_, file := lastSegment(fs)
	f.Add(file.data)
	f.Add(file.data[:offsets[2]+5])
	f.Add(file.data[:offsets[1]])
	f.Add([]byte{})
	name, _ := lastSegment(fs)
	f.Fuzz(func(t *testing.T, data []byte) {
		corrupted := fs.crash(loseNothing)
		corrupted.files[name].data = data
		corrupted.files[name].synced = len(data)
		_, rec, err := Open(options(corrupted))
		if err != nil {
			var fail *fault.Error
			require.True(t, errors.As(err, &fail))
			return
		}
		next := rec.Snapshot.Meta.Index + 1
		for _, e := range rec.Entries {
			require.Equal(t, next, e.Index)
			next++
		}
	})
}

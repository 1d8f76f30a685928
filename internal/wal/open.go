package wal

import (
	"strings"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/raft"
)

// Open opens the data directory of a replica and reads its files. It removes a torn
// last record, which was never acknowledged, and returns an error for any other
// corruption. What it returns is durable; see rewriteLastSegment.
func Open(o Options) (*Log, *Recovered, error) {
	lock, err := o.FS.Lock(lockFile)
	if err != nil {
		return nil, nil, storageFailure(err, "lock the data directory, which another process may use")
	}
	l, rec, err := open(o)
	if err != nil {
		lock.Close()
		return nil, nil, err
	}
	l.lock = lock
	return l, rec, nil
}

func open(o Options) (*Log, *Recovered, error) {
	id, err := readIdentity(o.FS)
	if err != nil {
		return nil, nil, err
	}
	if id.Cluster != o.Cluster || id.Replica != o.Replica {
		return nil, nil, fault.New(fault.StorageFailed, "the data directory belongs to replica %d of cluster %q, not to replica %d of cluster %q", id.Replica, id.Cluster, o.Replica, o.Cluster)
	}
	l := &Log{fs: o.FS, identity: id, maxSegmentBytes: o.SegmentBytes}
	if l.maxSegmentBytes == 0 {
		l.maxSegmentBytes = DefaultSegmentBytes
	}
	rec, err := l.recover()
	return l, rec, err
}

// Reopen reads the files again after a failure, as Open does after a crash. The data
// directory stays locked. If Reopen fails, the log stays failed with the new error.
// No SaveSnapshot may run meanwhile.
func (l *Log) Reopen() (*Recovered, error) {
	if l.closed {
		return nil, errClosed
	}
	// What the failed writes left is not trusted, so an error of Close adds nothing.
	_ = l.closeFile()
	l.err = nil
	rec, err := l.reopen()
	if err != nil {
		l.Fail(err)
		return nil, l.err
	}
	return rec, nil
}

func (l *Log) reopen() (*Recovered, error) {
	// The probe fails early, before the whole log is read, while the disk is full.
	if err := writeTempFile(l.fs, probeFile, [][]byte{make([]byte, probeBytes)}); err != nil {
		return nil, storageFailure(err, "test whether the disk takes writes")
	}
	id, err := readIdentity(l.fs)
	if err != nil {
		return nil, err
	}
	if id != l.identity {
		return nil, fault.New(fault.StorageFailed, "the data directory now belongs to replica %d of cluster %q with disk %s", id.Replica, id.Cluster, id.Disk)
	}
	durable := l.hardState
	rec, err := l.recover()
	if err != nil {
		return nil, err
	}
	if got := rec.HardState; got.Term < durable.Term || got.Term == durable.Term && got.Vote != durable.Vote && durable.Vote != 0 {
		_ = l.closeFile()
		l.hardState = durable
		return nil, fault.New(fault.StorageFailed, "the log was stored with term %d and vote %d and now has term %d and vote %d", durable.Term, durable.Vote, got.Term, got.Vote)
	}
	return rec, nil
}

// recover reads all files and opens the last segment.
func (l *Log) recover() (*Recovered, error) {
	if err := removeTempFiles(l.fs); err != nil {
		return nil, err
	}
	disks, err := openDiskRegistry(l.fs)
	if err != nil {
		return nil, err
	}
	snap, err := newestSnapshot(l.fs, l.identity)
	if err != nil {
		return nil, err
	}
	r := &replay{fs: l.fs, identity: l.identity}
	if err := r.readAll(); err != nil {
		return nil, err
	}
	entries, err := r.entriesAfter(snap.Meta)
	if err != nil {
		return nil, err
	}
	if err := r.rewriteLastSegment(); err != nil {
		return nil, err
	}
	if l.file, err = l.fs.Append(r.lastName()); err != nil {
		return nil, storageFailure(err, "open the last log file")
	}
	l.segments, l.size, l.hardState, l.disks = r.segments, int64(len(r.lastData)), r.hardState, disks
	l.lastIndex, l.lastTerm = r.last()
	if err := l.completeSnapshotInstall(snap.Meta); err != nil {
		_ = l.closeFile()
		return nil, err
	}
	return &Recovered{Identity: l.identity, HardState: r.hardState, Snapshot: snap, Entries: entries, TruncatedBytes: r.truncated}, nil
}

// completeSnapshotInstall finishes the installation of a snapshot that a crash
// interrupted: the snapshot is stored, but the log ends before it.
func (l *Log) completeSnapshotInstall(snap raft.SnapshotMeta) error {
	if l.lastIndex >= snap.Index {
		return nil
	}
	l.lastIndex, l.lastTerm = snap.Index, snap.Term
	return l.rotate(true)
}

// removeTempFiles removes unfinished files that a crash left behind.
func removeTempFiles(fs FS) error {
	names, err := fs.List()
	if err != nil {
		return storageFailure(err, "list the data directory")
	}
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := fs.Remove(name); err != nil {
				return storageFailure(err, "remove %s", name)
			}
		}
	}
	return nil
}

// replay rebuilds the log from its segments. Invariant: entries are contiguous and
// start after the entry with index base and term baseTerm.
type replay struct {
	fs        FS
	identity  Identity
	segments  []segment
	base      uint64
	baseTerm  uint64
	entries   []raft.Entry
	hardState raft.HardState
	// lastData is the valid content of the last segment.
	lastData []byte
	// truncated is the number of bytes that were removed at the end.
	truncated int64
	// sealed is set when the last record read seals its segment.
	sealed bool
}

func (r *replay) last() (index, term uint64) {
	if len(r.entries) == 0 {
		return r.base, r.baseTerm
	}
	e := r.entries[len(r.entries)-1]
	return e.Index, e.Term
}

func (r *replay) readAll() error {
	names, err := matchingNames(r.fs, segmentPrefix, segmentSuffix)
	if err != nil {
		return err
	}
	if len(names) == 0 {
		return fault.New(fault.StorageFailed, "the log files are missing")
	}
	if names, err = r.removeUnfinishedSegment(names); err != nil {
		return err
	}
	for i, name := range names {
		sequence, ok := parseSequence(name)
		if !ok {
			return fault.New(fault.StorageFailed, "%s is not the name of a log file", name)
		}
		if i > 0 && sequence != r.segments[i-1].sequence+1 {
			return fault.New(fault.StorageFailed, "log file %s is missing", segmentName(r.segments[i-1].sequence+1))
		}
		r.segments = append(r.segments, segment{sequence: sequence})
		if err := r.readSegment(name, i == len(names)-1); err != nil {
			return err
		}
	}
	if r.sealed {
		return fault.New(fault.StorageFailed, "log file %s is missing", segmentName(r.segments[len(r.segments)-1].sequence+1))
	}
	return nil
}

// removeUnfinishedSegment removes a last segment without a complete header. A crash
// between the creation of the file and its first sync leaves it, before anything in
// it could be acknowledged. The segment before it is then not sealed.
func (r *replay) removeUnfinishedSegment(names []string) ([]string, error) {
	name := names[len(names)-1]
	data, err := r.fs.ReadFile(name)
	if err != nil {
		return nil, storageFailure(err, "read %s", name)
	}
	if _, _, state := nextFrame(data); state == frameValid || len(names) == 1 || !isTorn(data) {
		return names, nil
	}
	if err := r.fs.Remove(name); err != nil {
		return nil, storageFailure(err, "remove %s", name)
	}
	if err := r.fs.SyncDir(); err != nil {
		return nil, storageFailure(err, "sync the data directory")
	}
	r.truncated += int64(len(data))
	return names[:len(names)-1], nil
}

func (r *replay) readSegment(name string, isLast bool) error {
	data, err := r.fs.ReadFile(name)
	if err != nil {
		return storageFailure(err, "read %s", name)
	}
	r.sealed = false
	at := 0
	for at < len(data) {
		payload, size, state := nextFrame(data[at:])
		if state != frameValid {
			// The seal of a segment that is not the last may be torn as well,
			// because it is written after the next segment is durable.
			if at == 0 || !isTorn(data[at:]) {
				return fault.New(fault.StorageFailed, "%s: wrong checksum at byte %d, before the last record", name, at)
			}
			if isLast {
				r.truncated += int64(len(data) - at)
			}
			break
		}
		if err := r.applyRecord(name, payload, at == 0); err != nil {
			return err
		}
		at += size
	}
	if at == 0 {
		return fault.New(fault.StorageFailed, "%s is empty", name)
	}
	r.lastData = data[:at]
	return nil
}

// rewriteLastSegment replaces the last segment by a copy without a torn last record.
// The page cache returns what was written before a failed sync, also to another
// process, although the disk may not hold it and a further sync of the same pages
// may report success. Only the last segment can contain such data, because each
// record is synced before the next is written; a segment before it at most in its
// seal, which may be lost.
func (r *replay) rewriteLastSegment() error {
	if err := writeAtomic(r.fs, r.lastName(), r.lastData); err != nil {
		return storageFailure(err, "write the last log file anew")
	}
	return nil
}

// lastName returns the name of the last segment.
func (r *replay) lastName() string { return segmentName(r.segments[len(r.segments)-1].sequence) }

func (r *replay) applyRecord(name string, payload []byte, isFirst bool) error {
	var rec record
	if err := decMode.Unmarshal(payload, &rec); err != nil {
		return storageFailure(err, "%s: record cannot be decoded", name)
	}
	if isFirst != (rec.Header != nil) || r.sealed {
		return fault.New(fault.StorageFailed, "%s: a record is out of place", name)
	}
	if rec.Header != nil {
		if err := r.applyHeader(name, *rec.Header); err != nil {
			return err
		}
	}
	if rec.HardState != nil {
		r.hardState = *rec.HardState
	}
	r.sealed = rec.Sealed
	return r.applyEntries(name, rec.Entries)
}

func (r *replay) applyHeader(name string, h segmentHeader) error {
	if err := r.identity.check(name, h.Version, h.Identity); err != nil {
		return err
	}
	if segmentName(h.Sequence) != name {
		return fault.New(fault.StorageFailed, "%s is log file %d by its header", name, h.Sequence)
	}
	if len(r.segments) == 1 || h.Reset {
		r.base, r.baseTerm, r.entries = h.PrevIndex, h.PrevTerm, nil
		return nil
	}
	if index, term := r.last(); index != h.PrevIndex || term != h.PrevTerm {
		return fault.New(fault.StorageFailed, "%s follows entry %d of term %d, but the file before it ends with entry %d of term %d", name, h.PrevIndex, h.PrevTerm, index, term)
	}
	return nil
}

func (r *replay) applyEntries(name string, entries []storedEntry) error {
	for _, stored := range entries {
		e := stored.entry()
		last, _ := r.last()
		if e.Index > last+1 || e.Index == 0 {
			return fault.New(fault.StorageFailed, "%s: entry %d follows entry %d", name, e.Index, last)
		}
		if e.Index <= r.base {
			// The entry that the first segment follows was overwritten. The term
			// of the entry before it is not needed, because such entries are
			// covered by the snapshot.
			r.base, r.baseTerm, r.entries = e.Index-1, 0, nil
		}
		r.entries = append(r.entries[:e.Index-r.base-1], e)
		current := &r.segments[len(r.segments)-1]
		current.lastIndex = max(current.lastIndex, e.Index)
	}
	return nil
}

// entriesAfter returns the entries after the snapshot.
func (r *replay) entriesAfter(snap raft.SnapshotMeta) ([]raft.Entry, error) {
	if snap.Index < r.base {
		return nil, fault.New(fault.StorageFailed, "the log begins after entry %d, but the snapshot ends with entry %d: a file is missing", r.base, snap.Index)
	}
	last, _ := r.last()
	if snap.Index > last {
		r.entries = nil
		r.base, r.baseTerm = last, 0
		return nil, nil
	}
	if snap.Index == r.base {
		return r.entries, nil
	}
	if r.entries[snap.Index-r.base-1].Term != snap.Term {
		// A crash happened after the leader's snapshot was stored and before the
		// next log file was created: the old log conflicts with the snapshot.
		r.entries = nil
		r.base, r.baseTerm = 0, 0
		return nil, nil
	}
	return r.entries[snap.Index-r.base:], nil
}

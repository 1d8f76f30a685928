// Package wal stores the write-ahead log, the hard state and the snapshot of a
// control replica in files in its data directory. The data of an Append is durable
// when Append returns.
package wal

import (
	"fmt"
	"io"
	"strings"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/raft"
)

const (
	segmentPrefix = "log-"
	segmentSuffix = ".wal"
	// DefaultSegmentBytes is the size at which a new segment is started. It bounds
	// what is read at once on start, and what Open writes anew. A start on a disk
	// that writes 20 MB/s is delayed by at most 0.2 s.
	DefaultSegmentBytes = 4 << 20
	// probeFile and probeBytes are the name and the size of the file that shows
	// whether the disk takes writes again. 8 KiB needs newly allocated blocks, so the
	// write does not succeed within a block that is allocated already.
	probeFile  = segmentPrefix + "probe" + tempSuffix
	probeBytes = 8 << 10
)

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, sequence, segmentSuffix)
}

// Options are the location of a log and the replica that it must belong to.
type Options struct {
	FS      FS
	Cluster string
	Replica uint64
	// SegmentBytes is the size at which a new segment is started, or 0 for
	// DefaultSegmentBytes.
	SegmentBytes int64
}

// segment is one log file.
type segment struct {
	sequence uint64
	// lastIndex is the largest index of an entry in the file.
	lastIndex uint64
}

// Log is an open log. One goroutine owns it; only SaveSnapshot and LoadSnapshot may
// be called from others. Invariants: every record is synced before the next is
// written; after a failure nothing is written before Reopen has read the files
// again; hardState, lastIndex and lastTerm are durable.
type Log struct {
	fs              FS
	identity        Identity
	maxSegmentBytes int64
	lock            io.Closer
	// file is the last segment, or nil if Reopen has failed after it closed it.
	file     File
	size     int64
	segments []segment
	// lastIndex and lastTerm identify the last entry.
	lastIndex uint64
	lastTerm  uint64
	hardState raft.HardState
	disks     *diskRegistry
	err       error
	closed    bool
	stats     Stats
}

// Stats are the counters of a log since it was opened.
type Stats struct {
	Syncs   uint64
	Entries uint64
	Bytes   uint64
	// KnownDisks is the number of other replicas whose disk is known.
	KnownDisks int
}

// Recovered is the stored state that Open has read.
type Recovered struct {
	Identity  Identity
	HardState raft.HardState
	Snapshot  raft.Snapshot
	Entries   []raft.Entry
	// TruncatedBytes is the length of the torn last record that was truncated.
	TruncatedBytes int64
}

// createSegment creates a segment and returns it with its size.
func createSegment(fs FS, header segmentHeader, hs raft.HardState) (File, int64, error) {
	data, err := encodeFrame(record{Header: &header, HardState: &hs})
	if err != nil {
		return nil, 0, err
	}
	f, err := fs.Append(segmentName(header.Sequence))
	if err != nil {
		return nil, 0, err
	}
	if _, err := f.Write(data); err != nil {
		f.Close()
		return nil, 0, err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return nil, 0, err
	}
	if err := fs.SyncDir(); err != nil {
		f.Close()
		return nil, 0, err
	}
	return f, int64(len(data)), nil
}

// Err returns the first failure, after which the log stores nothing, or nil.
func (l *Log) Err() error { return l.err }

// Fail makes every later write return err, unless the log has failed before.
func (l *Log) Fail(err error) {
	if l.err == nil {
		l.err = err
	}
}

// fail records a failure and returns it.
func (l *Log) fail(cause error, format string, args ...any) error {
	l.Fail(storageFailure(cause, format, args...))
	return l.err
}

// Stats returns the counters.
func (l *Log) Stats() Stats {
	s := l.stats
	s.KnownDisks = len(l.disks.diskByReplica)
	return s
}

// Identity returns the identity of the data directory.
func (l *Log) Identity() Identity { return l.identity }

// CheckDisk returns an error if the replica is known with another disk: it has
// lost the disk with its vote.
func (l *Log) CheckDisk(replica uint64, disk string) error {
	if l.err != nil {
		return l.err
	}
	return l.disks.check(replica, disk)
}

// Append stores the hard state and the entries as one record and syncs it once,
// however many entries there are. The entries replace all stored entries from the
// first index on.
func (l *Log) Append(hs raft.HardState, entries []raft.Entry) error {
	if l.err != nil {
		return l.err
	}
	if l.size >= l.maxSegmentBytes {
		if err := l.rotate(false); err != nil {
			return err
		}
	}
	if err := l.write(record{HardState: &hs, Entries: toStoredEntries(entries)}); err != nil {
		return err
	}
	l.hardState = hs
	l.stats.Entries += uint64(len(entries))
	if len(entries) > 0 {
		last := entries[len(entries)-1]
		l.lastIndex, l.lastTerm = last.Index, last.Term
		current := &l.segments[len(l.segments)-1]
		current.lastIndex = max(current.lastIndex, last.Index)
	}
	return nil
}

func (l *Log) write(rec record) error {
	data, err := encodeFrame(rec)
	if err != nil {
		return l.fail(err, "encode a log record")
	}
	if len(data) > maxRecordBytes {
		return l.fail(io.ErrShortWrite, "log record has %d bytes", len(data))
	}
	if n, err := l.file.Write(data); err != nil || n != len(data) {
		if err == nil {
			err = io.ErrShortWrite
		}
		return l.fail(err, "write the log")
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err, "sync the log")
	}
	l.size += int64(len(data))
	l.stats.Syncs++
	l.stats.Bytes += uint64(len(data))
	return nil
}

// rotate starts a new segment. It seals the old one after the new one is durable,
// so that Open detects a missing last file.
func (l *Log) rotate(reset bool) error {
	sequence := l.segments[len(l.segments)-1].sequence + 1
	header := segmentHeader{
		Version: formatVersion, Identity: l.identity, Sequence: sequence,
		PrevIndex: l.lastIndex, PrevTerm: l.lastTerm, Reset: reset,
	}
	f, size, err := createSegment(l.fs, header, l.hardState)
	if err != nil {
		return l.fail(err, "begin log file %d", sequence)
	}
	if err := l.write(record{Sealed: true}); err != nil {
		f.Close()
		return err
	}
	if err := l.file.Close(); err != nil {
		f.Close()
		return l.fail(err, "close the log")
	}
	l.file, l.size = f, size
	l.segments = append(l.segments, segment{sequence: sequence})
	return nil
}

// SaveSnapshot stores a snapshot of the applied state. It may run concurrently with
// the other methods except Reopen. The log keeps its entries until Compact, so a
// failure leaves the log usable.
func (l *Log) SaveSnapshot(snap raft.Snapshot) error {
	if err := writeSnapshot(l.fs, l.identity, snap); err != nil {
		return storageFailure(err, "write the snapshot at %d", snap.Meta.Index)
	}
	return nil
}

// LoadSnapshot returns the newest snapshot. It may run concurrently with the other
// methods.
func (l *Log) LoadSnapshot() (raft.Snapshot, error) { return newestSnapshot(l.fs, l.identity) }

// Compact removes the segments and older snapshots that the stored snapshot at
// index replaces.
func (l *Log) Compact(index uint64) error {
	if l.err != nil {
		return l.err
	}
	if err := l.rotate(false); err != nil {
		return err
	}
	keep := 0
	for keep < len(l.segments)-1 && l.segments[keep].lastIndex <= index {
		keep++
	}
	return l.removeBefore(keep, index)
}

// removeBefore removes the first count segments, oldest first so that the rest
// stays contiguous, and the snapshots before index.
func (l *Log) removeBefore(count int, index uint64) error {
	for _, s := range l.segments[:count] {
		if err := l.fs.Remove(segmentName(s.sequence)); err != nil {
			return l.fail(err, "remove a log file")
		}
	}
	l.segments = append([]segment(nil), l.segments[count:]...)
	if err := removeSnapshotsBefore(l.fs, index); err != nil {
		return l.fail(err, "remove an old snapshot")
	}
	if err := l.fs.SyncDir(); err != nil {
		return l.fail(err, "sync the data folder")
	}
	return nil
}

// InstallSnapshot replaces the whole log with a snapshot from the leader.
func (l *Log) InstallSnapshot(hs raft.HardState, snap raft.Snapshot) error {
	if l.err != nil {
		return l.err
	}
	// The hard state is stored first, so that after a crash the term is never
	// older than the snapshot.
	if err := l.Append(hs, nil); err != nil {
		return err
	}
	if err := writeSnapshot(l.fs, l.identity, snap); err != nil {
		return l.fail(err, "write the snapshot at %d", snap.Meta.Index)
	}
	l.lastIndex, l.lastTerm = snap.Meta.Index, snap.Meta.Term
	if err := l.rotate(true); err != nil {
		return err
	}
	return l.removeBefore(len(l.segments)-1, snap.Meta.Index)
}

// Close closes the log and unlocks the data directory.
func (l *Log) Close() error {
	l.closed = true
	l.Fail(errClosed)
	err := l.closeFile()
	if unlockErr := l.lock.Close(); err == nil {
		err = unlockErr
	}
	return err
}

// errClosed is returned by the methods of a closed log.
var errClosed = fault.New(fault.Stopping, "the log is closed")

// closeFile closes the last segment if it is open.
func (l *Log) closeFile() error {
	if l.file == nil {
		return nil
	}
	file := l.file
	l.file = nil
	return file.Close()
}

// parseSequence returns the sequence number in the name of a segment.
func parseSequence(name string) (uint64, bool) {
	var sequence uint64
	text := strings.TrimSuffix(strings.TrimPrefix(name, segmentPrefix), segmentSuffix)
	if n, err := fmt.Sscanf(text, "%016x", &sequence); n != 1 || err != nil {
		return 0, false
	}
	return sequence, segmentName(sequence) == name
}

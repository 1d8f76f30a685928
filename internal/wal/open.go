package wal

import (
	"strings"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/raft"
)

// Open reads the files of a replica. It cuts off a torn last record, which was
// never acknowledged, and refuses any other damage.
func Open(o Options) (*Log, *Recovered, error) {
	lock, err := o.FS.Lock(lockName)
	if err != nil {
		return nil, nil, refuse(err, "lock the data folder, which another process may use")
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
		return nil, nil, fault.New(fault.StorageFailed, "the data folder belongs to replica %d of cluster %q, not to replica %d of cluster %q", id.Replica, id.Cluster, o.Replica, o.Cluster)
	}
	if err := removeTemporary(o.FS); err != nil {
		return nil, nil, err
	}
	disks, err := openDisks(o.FS)
	if err != nil {
		return nil, nil, err
	}
	snap, err := newestSnapshot(o.FS, id)
	if err != nil {
		return nil, nil, err
	}
	p := &replay{fs: o.FS, id: id}
	if err := p.readAll(); err != nil {
		return nil, nil, err
	}
	entries, err := p.entriesAfter(snap.Meta)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{fs: o.FS, id: id, limit: o.SegmentBytes, segments: p.segments, size: p.size, hs: p.hs, disks: disks}
	if l.limit == 0 {
		l.limit = DefaultSegmentBytes
	}
	l.lastIndex, l.lastTerm = p.last()
	if l.file, err = o.FS.Append(segmentName(p.segments[len(p.segments)-1].sequence)); err != nil {
		return nil, nil, refuse(err, "open the last log file")
	}
	if err := l.adopt(snap.Meta); err != nil {
		l.file.Close()
		return nil, nil, err
	}
	return l, &Recovered{Identity: id, HardState: p.hs, Snapshot: snap, Entries: entries, TruncatedBytes: p.cut}, nil
}

// adopt finishes the installation of a snapshot that a crash interrupted: the
// snapshot is stored, and the log does not reach it.
func (l *Log) adopt(snap raft.SnapshotMeta) error {
	if l.lastIndex >= snap.Index {
		return nil
	}
	l.lastIndex, l.lastTerm = snap.Index, snap.Term
	return l.rotate(true)
}

// removeTemporary removes what a crash left of unfinished files.
func removeTemporary(fs FS) error {
	names, err := fs.List()
	if err != nil {
		return refuse(err, "list the data folder")
	}
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := fs.Remove(name); err != nil {
				return refuse(err, "remove %s", name)
			}
		}
	}
	return nil
}

// replay rebuilds the log from its files. Invariant: entries follow on each
// other and on the entry (base, baseTerm).
type replay struct {
	fs       FS
	id       Identity
	segments []segment
	base     uint64
	baseTerm uint64
	entries  []raft.Entry
	hs       raft.HardState
	size     int64
	cut      int64
	sealed   bool
}

func (p *replay) last() (index, term uint64) {
	if len(p.entries) == 0 {
		return p.base, p.baseTerm
	}
	e := p.entries[len(p.entries)-1]
	return e.Index, e.Term
}

func (p *replay) readAll() error {
	names, err := namesLike(p.fs, segmentPrefix, segmentSuffix)
	if err != nil {
		return err
	}
	if len(names) == 0 {
		return fault.New(fault.StorageFailed, "the log files are missing")
	}
	if names, err = p.dropUnborn(names); err != nil {
		return err
	}
	for i, name := range names {
		sequence, ok := parseSequence(name)
		if !ok {
			return fault.New(fault.StorageFailed, "%s is not the name of a log file", name)
		}
		if i > 0 && sequence != p.segments[i-1].sequence+1 {
			return fault.New(fault.StorageFailed, "log file %s is missing", segmentName(p.segments[i-1].sequence+1))
		}
		p.segments = append(p.segments, segment{sequence: sequence})
		if err := p.readSegment(name, i == len(names)-1); err != nil {
			return err
		}
	}
	if p.sealed {
		return fault.New(fault.StorageFailed, "log file %s is missing", segmentName(p.segments[len(p.segments)-1].sequence+1))
	}
	return nil
}

// dropUnborn removes a last file without a whole header. A crash leaves it
// between the creation of the file and its first sync, before anything in it
// could be acknowledged. The file before it is then not sealed.
func (p *replay) dropUnborn(names []string) ([]string, error) {
	name := names[len(names)-1]
	data, err := p.fs.ReadFile(name)
	if err != nil {
		return nil, refuse(err, "read %s", name)
	}
	if _, _, state := nextFrame(data); state == frameValid || len(names) == 1 || !isTorn(data) {
		return names, nil
	}
	if err := p.fs.Remove(name); err != nil {
		return nil, refuse(err, "remove %s", name)
	}
	if err := p.fs.SyncDir(); err != nil {
		return nil, refuse(err, "sync the data folder")
	}
	p.cut += int64(len(data))
	return names[:len(names)-1], nil
}

func (p *replay) readSegment(name string, isLast bool) error {
	data, err := p.fs.ReadFile(name)
	if err != nil {
		return refuse(err, "read %s", name)
	}
	p.sealed = false
	at := 0
	for at < len(data) {
		payload, size, state := nextFrame(data[at:])
		if state != frameValid {
			// A sealing record may be torn as well: it is written after the
			// next file is durable.
			if at == 0 || !isTorn(data[at:]) {
				return fault.New(fault.StorageFailed, "%s: wrong checksum at byte %d, before the last record", name, at)
			}
			return p.cutBack(name, data, at, isLast)
		}
		if err := p.take(name, payload, at == 0); err != nil {
			return err
		}
		at += size
	}
	if at == 0 {
		return fault.New(fault.StorageFailed, "%s is empty", name)
	}
	p.size = int64(at)
	return nil
}

// cutBack removes a torn last record. In a file that another one follows, only
// the seal can be torn, and it stays: nothing is appended there any more.
func (p *replay) cutBack(name string, data []byte, at int, isLast bool) error {
	p.size = int64(at)
	if !isLast {
		return nil
	}
	p.cut += int64(len(data) - at)
	if err := p.fs.Truncate(name, int64(at)); err != nil {
		return refuse(err, "cut the torn last record off %s", name)
	}
	return nil
}

func (p *replay) take(name string, payload []byte, isFirst bool) error {
	var rec record
	if err := decMode.Unmarshal(payload, &rec); err != nil {
		return refuse(err, "%s: record cannot be decoded", name)
	}
	if isFirst != (rec.Header != nil) || p.sealed {
		return fault.New(fault.StorageFailed, "%s: a record is out of place", name)
	}
	if rec.Header != nil {
		if err := p.takeHeader(name, *rec.Header); err != nil {
			return err
		}
	}
	if rec.HardState != nil {
		p.hs = *rec.HardState
	}
	p.sealed = rec.Sealed
	return p.takeEntries(name, rec.Entries)
}

func (p *replay) takeHeader(name string, h segmentHeader) error {
	if err := p.id.check(name, h.Version, h.Identity); err != nil {
		return err
	}
	if segmentName(h.Sequence) != name {
		return fault.New(fault.StorageFailed, "%s is log file %d by its header", name, h.Sequence)
	}
	if len(p.segments) == 1 || h.Reset {
		p.base, p.baseTerm, p.entries = h.PrevIndex, h.PrevTerm, nil
		return nil
	}
	if index, term := p.last(); index != h.PrevIndex || term != h.PrevTerm {
		return fault.New(fault.StorageFailed, "%s follows entry %d of term %d, but the file before it ends with entry %d of term %d", name, h.PrevIndex, h.PrevTerm, index, term)
	}
	return nil
}

func (p *replay) takeEntries(name string, entries []storedEntry) error {
	for _, stored := range entries {
		e := stored.entry()
		last, _ := p.last()
		if e.Index > last+1 || e.Index == 0 {
			return fault.New(fault.StorageFailed, "%s: entry %d follows entry %d", name, e.Index, last)
		}
		if e.Index <= p.base {
			// Everything that the first file followed on was overwritten. The
			// term before is not needed: such entries lie before the snapshot.
			p.base, p.baseTerm, p.entries = e.Index-1, 0, nil
		}
		p.entries = append(p.entries[:e.Index-p.base-1], e)
		current := &p.segments[len(p.segments)-1]
		current.last = max(current.last, e.Index)
	}
	return nil
}

// entriesAfter returns the entries that go on from the snapshot.
func (p *replay) entriesAfter(snap raft.SnapshotMeta) ([]raft.Entry, error) {
	if snap.Index < p.base {
		return nil, fault.New(fault.StorageFailed, "the log begins after entry %d, but the snapshot ends with entry %d: a file is missing", p.base, snap.Index)
	}
	last, _ := p.last()
	if snap.Index > last {
		p.entries = nil
		p.base, p.baseTerm = last, 0
		return nil, nil
	}
	if snap.Index == p.base {
		return p.entries, nil
	}
	if p.entries[snap.Index-p.base-1].Term != snap.Term {
		// A crash came between storing the leader's snapshot and beginning the
		// log file after it: the old log differs from the snapshot.
		p.entries = nil
		p.base, p.baseTerm = 0, 0
		return nil, nil
	}
	return p.entries[snap.Index-p.base:], nil
}

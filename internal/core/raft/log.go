package raft

import "slices"

// entryLog is the part of the log after the compaction point. Invariants:
// entries are contiguous and start at offset+1; applied <= commit <= last;
// stable <= last; terms never decrease.
type entryLog struct {
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	// stable is the last entry that is synced on this replica.
	stable  uint64
	commit  uint64
	applied uint64
}

func (l *entryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry; it is false for an entry that is not held.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from low to high as a copy, bounded by count and
// bytes but for the first entry.
func (l *entryLog) slice(low, high uint64, maxEntries, maxBytes int) []Entry {
	high = min(high, l.last())
	if low > high || low <= l.offset {
		return nil
	}
	part := l.entries[low-l.offset-1 : high-l.offset]
	count, bytes := 0, 0
	for count < len(part) && count < maxEntries {
		bytes += part[count].size()
		if count > 0 && bytes > maxBytes {
			break
		}
		count++
	}
	return slices.Clone(part[:count])
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate drops the entries after index.
func (l *entryLog) truncate(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.offset])
	l.stable = min(l.stable, index)
}

// offsetToKeep returns the compaction point that keeps the last entries up to
// index, bounded by count and bytes.
func (l *entryLog) offsetToKeep(index, count uint64, bytes int) uint64 {
	for ; index > l.offset && count > 0; index, count = index-1, count-1 {
		if bytes -= l.entries[index-l.offset-1].size(); bytes < 0 {
			break
		}
	}
	return index
}

// compact moves the compaction point up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.offset:])
	l.offset, l.offsetTerm = index, term
}

// reset replaces the log by a snapshot. The state at the snapshot is applied by
// the calling code, so applied moves as well.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{offset: index, offsetTerm: term, stable: index, commit: index, applied: index}
}

// lastNotAfter returns the last entry up to index whose term is at most term.
// A leader and a follower skip a whole diverging term with it instead of one
// entry a round trip.
func (l *entryLog) lastNotAfter(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for ; index > l.offset; index-- {
		if t, _ := l.term(index); t <= term {
			return index, t
		}
	}
	if index == l.offset && l.offsetTerm <= term {
		return index, l.offsetTerm
	}
	return 0, 0
}

// isUpToDate tells whether a candidate's last entry is at least as new as ours.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

package raft

import "slices"

// entryLog is the part of the log after the compaction point. Invariants:
// entries are contiguous and start at compacted+1; applied <= commit <=
// lastIndex; stable <= lastIndex; terms never decrease.
type entryLog struct {
	// compacted is the last compacted entry and compactedTerm its term.
	compacted     uint64
	compactedTerm uint64
	entries       []Entry
	// stable is the last entry that this replica has synced.
	stable  uint64
	commit  uint64
	applied uint64
}

func (l *entryLog) lastIndex() uint64 { return l.compacted + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, or false if the log does not hold
// it. The term of the last compacted entry is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.compacted:
		return l.compactedTerm, true
	case index < l.compacted || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.compacted-1].Term, true
}

// matches reports whether the entry at index has the given term.
func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns a copy of the entries from low to high, limited to maxEntries
// and maxBytes. The first entry is returned even if it exceeds maxBytes.
func (l *entryLog) slice(low, high uint64, maxEntries, maxBytes int) []Entry {
	high = min(high, l.lastIndex())
	if low > high || low <= l.compacted {
		return nil
	}
	entries := l.entries[low-l.compacted-1 : high-l.compacted]
	count, bytes := 0, 0
	for count < len(entries) && count < maxEntries {
		bytes += entries[count].size()
		if count > 0 && bytes > maxBytes {
			break
		}
		count++
	}
	return slices.Clone(entries[:count])
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entries after index.
func (l *entryLog) truncate(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.compacted])
	l.stable = min(l.stable, index)
}

// compactionPoint returns the index to compact to so that at most count entries
// up to index, of at most the given size in bytes, stay in the log.
func (l *entryLog) compactionPoint(index, count uint64, bytes int) uint64 {
	for ; index > l.compacted && count > 0; index, count = index-1, count-1 {
		if bytes -= l.entries[index-l.compacted-1].size(); bytes < 0 {
			break
		}
	}
	return index
}

// compact removes the entries up to index. It does nothing if they are compacted
// already.
func (l *entryLog) compact(index uint64) {
	if index <= l.compacted {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.compacted:])
	l.compacted, l.compactedTerm = index, term
}

// reset replaces the log with a snapshot. The calling code restores the state of
// the snapshot, so applied advances as well.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{compacted: index, compactedTerm: term, stable: index, commit: index, applied: index}
}

// lastWithTermAtMost returns the index and the term of the last entry up to index
// whose term is at most term, or zeros if there is none. With it, a leader and a
// follower skip a whole conflicting term in one round trip instead of one entry.
func (l *entryLog) lastWithTermAtMost(index, term uint64) (uint64, uint64) {
	index = min(index, l.lastIndex())
	for ; index > l.compacted; index-- {
		if t, _ := l.term(index); t <= term {
			return index, t
		}
	}
	if index == l.compacted && l.compactedTerm <= term {
		return index, l.compactedTerm
	}
	return 0, 0
}

// isUpToDate reports whether a log that ends with the given index and term is at
// least as up-to-date as this one.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || term == lastTerm && index >= l.lastIndex()
}

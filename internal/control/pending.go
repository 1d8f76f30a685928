package control

import (
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/state"
)

// outcome is the answer to a proposal.
type outcome struct {
	result state.Result
	err    error
}

// pendingEntry is an appended proposal that waits for its commit.
type pendingEntry struct {
	term  uint64
	reply chan outcome
}

// pendingTable holds the proposals that this replica appended as leader, by
// their index. The control loop owns it. Invariant: an entry leaves the table
// with exactly one answer, and reply channels have room for it.
type pendingTable map[uint64]pendingEntry

// resolve answers the proposal at index, now that the entry of term is
// committed there.
func (t pendingTable) resolve(index, term uint64, res state.Result) {
	p, ok := t[index]
	if !ok {
		return
	}
	delete(t, index)
	if p.term == term {
		p.reply <- outcome{result: res}
		return
	}
	p.reply <- outcome{err: fault.New(fault.Unavailable, "the change was replaced by another leader's and did not take effect")}
}

// fail answers every proposal up to index with err.
func (t pendingTable) fail(index uint64, err error) {
	for i, p := range t {
		if i > index {
			continue
		}
		delete(t, i)
		p.reply <- outcome{err: err}
	}
}

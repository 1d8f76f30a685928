package control

import (
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/state"
)

// outcome is the answer to a proposal or a read.
type outcome struct {
	result state.Result
	err    error
}

// pendingEntry is an appended proposal that is not committed yet.
type pendingEntry struct {
	term  uint64
	reply chan outcome
}

// pendingTable holds the proposals that this replica appended as leader, by log
// index. It is owned by the control loop. Invariant: an entry that leaves the table
// is answered exactly once, and its reply channel has capacity for the answer.
type pendingTable map[uint64]pendingEntry

// resolve answers the proposal at index after an entry of term was committed
// there. The proposal succeeds only if it was made in that term.
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
	p.reply <- outcome{err: fault.New(fault.Unavailable, "the change was overwritten by another leader and did not take effect")}
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

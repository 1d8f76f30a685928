package raft

import "laburnumdock/internal/core/fault"

// readQueue holds the pending reads of a leader. Invariant: rounds are in the
// order in which they were sent, and their indexes never decrease.
type readQueue struct {
	// lastRound is the number of the newest read round. Heartbeats carry it.
	lastRound uint64
	// waiting are the tokens of reads that are not in a round yet.
	waiting []uint64
	// rounds are the read rounds that no quorum has confirmed yet.
	rounds []readRound
	// results are the results for the next Ready.
	results []ReadResult
	// pending is the number of reads in waiting and rounds.
	pending int
}

// readRound is a set of reads that one round of heartbeats confirms.
type readRound struct {
	number uint64
	index  uint64
	tokens []uint64
}

// reset discards all pending reads. Results stay.
func (q *readQueue) reset() { q.waiting, q.rounds, q.pending = nil, nil, 0 }

// takeResults returns and clears the results.
func (q *readQueue) takeResults() []ReadResult {
	results := q.results
	q.results = nil
	return results
}

// failAll fails all pending reads with err.
func (q *readQueue) failAll(err error) {
	for _, r := range q.rounds {
		for _, token := range r.tokens {
			q.results = append(q.results, ReadResult{Token: token, Err: err})
		}
	}
	for _, token := range q.waiting {
		q.results = append(q.results, ReadResult{Token: token, Err: err})
	}
	q.reset()
}

// ReadIndex requests a read index, which is at least the current commit index.
// The result is in Ready.Reads once a quorum has confirmed that this replica is
// still the leader.
func (n *Node) ReadIndex(token uint64) error {
	if n.halted {
		return fault.New(fault.StorageFailed, "replica %d has stopped after a storage failure", n.cfg.ID)
	}
	if n.role != Leader {
		return fault.New(fault.NotLeader, "replica %d does not lead", n.cfg.ID)
	}
	if n.reads.pending >= n.cfg.MaxReads {
		return fault.New(fault.Overloaded, "%d reads wait for a quorum already", n.reads.pending)
	}
	n.reads.waiting = append(n.reads.waiting, token)
	n.reads.pending++
	return nil
}

// startReadRound starts one round of heartbeats for all waiting reads. A new
// leader does not know the commit index until it has committed an entry of its
// own term, so reads wait until then.
func (n *Node) startReadRound() {
	if len(n.reads.waiting) == 0 || !n.HasCommittedInTerm() {
		return
	}
	n.reads.lastRound++
	n.reads.rounds = append(n.reads.rounds, readRound{number: n.reads.lastRound, index: n.log.commit, tokens: n.reads.waiting})
	n.reads.waiting = nil
	n.broadcastHeartbeat()
	n.confirmReads()
}

// HasCommittedInTerm reports whether the newest committed entry is of the current
// term. A leader then knows all entries that earlier leaders committed.
func (n *Node) HasCommittedInTerm() bool {
	term, ok := n.log.term(n.log.commit)
	return ok && term == n.term
}

// confirmReads moves the read rounds that a quorum has confirmed to the results.
func (n *Node) confirmReads() {
	if own := n.progress[n.cfg.ID]; own != nil {
		own.ackedReadRound = n.reads.lastRound
	}
	confirmed := n.quorumValue(func(p *progress) uint64 { return p.ackedReadRound })
	for len(n.reads.rounds) > 0 && n.reads.rounds[0].number <= confirmed {
		r := n.reads.rounds[0]
		n.reads.rounds = n.reads.rounds[1:]
		n.reads.pending -= len(r.tokens)
		for _, token := range r.tokens {
			n.reads.results = append(n.reads.results, ReadResult{Token: token, Index: r.index})
		}
	}
}

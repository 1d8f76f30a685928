package raft

// progressState tells how the leader sends to one follower.
type progressState uint8

const (
	// probing sends one batch and waits, because it is not known where the
	// follower's log agrees.
	probing progressState = iota
	// replicating sends batches ahead of their acknowledgement.
	replicating
	// snapshotting waits for a snapshot to be installed.
	snapshotting
)

// progress is what the leader knows of one member. Invariants: match < next;
// every entry up to match is synced on the member; inflight is sorted and holds
// the last index of each unacknowledged batch.
type progress struct {
	match    uint64
	next     uint64
	state    progressState
	inflight []uint64
	// probeSent stops a probing leader until an answer or a heartbeat answer.
	probeSent bool
	// active tells whether the member was heard since the last quorum check.
	active bool
	// recent is active of the period before the last quorum check.
	recent bool
	// sentCommit is the commit index of the last message.
	sentCommit uint64
	// ackedRead is the newest read round that the member confirmed.
	ackedRead uint64
	// snapshotTicks counts the ticks since a snapshot was sent.
	snapshotTicks int
}

func (p *progress) probe(next uint64) {
	p.state, p.next, p.probeSent = probing, max(next, p.match+1), false
	p.inflight = p.inflight[:0]
}

func (p *progress) replicate() {
	p.state, p.next, p.probeSent = replicating, p.match+1, false
	p.inflight = p.inflight[:0]
}

func (p *progress) isPaused(maxInflight int) bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return len(p.inflight) >= maxInflight
	default:
		return true
	}
}

// acknowledge frees the batches up to index.
func (p *progress) acknowledge(index uint64) {
	done := 0
	for done < len(p.inflight) && p.inflight[done] <= index {
		done++
	}
	p.inflight = append(p.inflight[:0], p.inflight[done:]...)
}

// isReachable tells whether the member was heard within the last two quorum
// check periods.
func (p *progress) isReachable() bool { return p.active || p.recent }

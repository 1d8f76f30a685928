package raft

// progressState is the replication mode of one member.
type progressState uint8

const (
	// probing sends one batch at a time, because the point up to which the
	// follower's log matches is not known.
	probing progressState = iota
	// replicating sends batches before earlier ones are acknowledged.
	replicating
	// snapshotting sends nothing until the snapshot is installed or counts as lost.
	snapshotting
)

// progress is the leader's view of the replication to one member. Invariants:
// match < next; every entry up to match is synced on the member; inflight is
// sorted and holds the last index of each unacknowledged batch.
type progress struct {
	// match is the last entry that the member is known to have synced.
	match uint64
	// next is the first entry of the next batch.
	next     uint64
	state    progressState
	inflight []uint64
	// probeSent is set while a probe is unanswered. A heartbeat response clears it
	// as well.
	probeSent bool
	// active is set when the member has responded since the last quorum check.
	active bool
	// prevActive is the value of active in the period before the last quorum check.
	prevActive bool
	// silentTicks is the number of ticks since the member last responded, or since
	// this replica became the leader or added it. Ticks do not pass while the
	// leader's process is suspended, so its own pause is no silence of the others.
	silentTicks int
	// sentCommit is the commit index in the last MsgAppend sent.
	sentCommit uint64
	// ackedReadRound is the newest read round that the member has confirmed.
	ackedReadRound uint64
	// snapshotTicks is the number of ticks since the last snapshot was sent.
	snapshotTicks int
}

// recordResponse notes that the member has responded.
func (p *progress) recordResponse() { p.active, p.silentTicks = true, 0 }

// becomeProbing switches to probing from next on, but not below match+1.
func (p *progress) becomeProbing(next uint64) {
	p.state, p.next, p.probeSent = probing, max(next, p.match+1), false
	p.inflight = p.inflight[:0]
}

// becomeReplicating switches to replicating from match+1 on.
func (p *progress) becomeReplicating() {
	p.state, p.next, p.probeSent = replicating, p.match+1, false
	p.inflight = p.inflight[:0]
}

// isPaused reports whether no further batch may be sent for now.
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

// acknowledge removes the batches up to index from inflight.
func (p *progress) acknowledge(index uint64) {
	acked := 0
	for acked < len(p.inflight) && p.inflight[acked] <= index {
		acked++
	}
	p.inflight = append(p.inflight[:0], p.inflight[acked:]...)
}

// isReachable reports whether the member has responded within the last two quorum
// check periods.
func (p *progress) isReachable() bool { return p.active || p.prevActive }

package raft

import (
	"slices"

	"laburnumdock/internal/core/fault"
)

// Propose appends a command to the leader's log. The command is committed once
// an entry with the returned index and term is in Ready.Committed. An entry with
// another term at that index means that the command was overwritten.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.checkLeader(); err != nil {
		return 0, 0, err
	}
	size := Entry{Data: data}.size()
	if n.uncommittedBytes > 0 && n.uncommittedBytes+size > n.cfg.MaxUncommitted {
		return 0, 0, fault.New(fault.Overloaded, "%d bytes are already waiting for a quorum", n.uncommittedBytes)
	}
	index = n.appendProposal(Entry{Kind: EntryCommand, Data: data})
	return index, n.term, nil
}

// checkLeader returns an error if this replica cannot accept proposals.
func (n *Node) checkLeader() error {
	switch {
	case n.halted:
		return fault.New(fault.StorageFailed, "replica %d has stopped after a storage failure", n.cfg.ID)
	case n.role != Leader:
		return fault.New(fault.NotLeader, "replica %d is not the leader", n.cfg.ID)
	case n.transferee != 0:
		return fault.New(fault.Unavailable, "leadership is being transferred to replica %d", n.transferee)
	}
	return nil
}

// appendProposal appends e to the leader's log and returns its index.
func (n *Node) appendProposal(e Entry) uint64 {
	e.Index, e.Term = n.log.lastIndex()+1, n.term
	n.log.append(e)
	n.uncommittedBytes += e.size()
	return e.Index
}

// replicate sends each member its missing entries, as far as the limit on
// unacknowledged batches allows.
func (n *Node) replicate() {
	for _, id := range n.memberIDs() {
		if id == n.cfg.ID {
			continue
		}
		for n.sendAppend(id, false) {
		}
	}
}

// sendAppend sends one batch to a member and reports whether another may follow.
// An empty batch is sent only as a probe, with a new commit index (unless
// LazyCommit is set), or if force is set.
func (n *Node) sendAppend(to uint64, force bool) bool {
	p := n.progress[to]
	if p == nil || p.isPaused(n.cfg.MaxInflight) {
		return false
	}
	prev := p.next - 1
	prevTerm, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(to, p)
		return false
	}
	entries := n.log.slice(p.next, n.log.lastIndex(), n.cfg.MaxEntriesPerMessage, n.cfg.MaxBytesPerMessage)
	hasUpdate := len(entries) > 0 || p.sentCommit < n.log.commit && !n.cfg.LazyCommit || p.state == probing
	if !hasUpdate && !force {
		return false
	}
	n.send(Message{Type: MsgAppend, To: to, Index: prev, LogTerm: prevTerm, Commit: n.log.commit, Entries: entries})
	p.sentCommit = n.log.commit
	if p.state == probing {
		p.probeSent = true
		return false
	}
	if len(entries) > 0 {
		p.next = entries[len(entries)-1].Index + 1
		p.inflight = append(p.inflight, p.next-1)
	}
	return p.next <= n.log.lastIndex()
}

// sendSnapshot sends a member the latest snapshot if the member is reachable.
func (n *Node) sendSnapshot(to uint64, p *progress) {
	if !p.isReachable() {
		// The transfer is expensive, so it waits until the member responds.
		return
	}
	p.state, p.snapshotTicks = snapshotting, 0
	n.send(Message{Type: MsgSnapshot, To: to, Snapshot: &Snapshot{Meta: n.snap}})
}

// broadcastHeartbeat sends a heartbeat to every other member. The commit index is
// limited to what the member has synced.
func (n *Node) broadcastHeartbeat() {
	n.heartbeatElapsed = 0
	for _, id := range n.memberIDs() {
		if id == n.cfg.ID {
			continue
		}
		commit := min(n.progress[id].match, n.log.commit)
		n.send(Message{Type: MsgHeartbeat, To: id, Commit: commit, Token: n.reads.lastRound})
	}
}

// handleLeaderMessage handles the messages that only the leader of the current
// term sends.
func (n *Node) handleLeaderMessage(m Message) error {
	if n.role == Leader {
		return fault.New(fault.Internal, "replica %d claims leadership of term %d, which replica %d holds", m.From, m.Term, n.cfg.ID)
	}
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(n.term, m.From)
	}
	n.electionElapsed = 0
	switch m.Type {
	case MsgAppend:
		return n.handleAppend(m)
	case MsgHeartbeat:
		n.log.commit = max(n.log.commit, min(m.Commit, n.log.lastIndex()))
		n.send(Message{Type: MsgHeartbeatResp, To: m.From, Token: m.Token})
	case MsgSnapshot:
		return n.handleSnapshot(m)
	default:
	}
	return nil
}

// handleAppend appends the entries of a MsgAppend, or rejects it with a hint where
// the logs may match.
func (n *Node) handleAppend(m Message) error {
	if m.Index < n.log.commit {
		n.send(Message{Type: MsgAppendResp, To: m.From, Index: n.log.commit})
		return nil
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		hint, term := n.log.lastWithTermAtMost(min(m.Index, n.log.lastIndex()), m.LogTerm)
		n.send(Message{Type: MsgAppendResp, To: m.From, Index: m.Index, Reject: true, RejectHint: hint, LogTerm: term})
		return nil
	}
	last := m.Index + uint64(len(m.Entries))
	if err := n.appendMissing(m.Index, m.Entries); err != nil {
		return err
	}
	n.log.commit = max(n.log.commit, min(m.Commit, last))
	n.send(Message{Type: MsgAppendResp, To: m.From, Index: last})
	return nil
}

// appendMissing appends the entries after prev that the log does not hold. It
// truncates the log only at a conflicting entry, so that a delayed message removes
// no acknowledged entries.
func (n *Node) appendMissing(prev uint64, entries []Entry) error {
	for i, e := range entries {
		if e.Index != prev+uint64(i)+1 {
			return fault.New(fault.Invalid, "entry %d does not directly follow entry %d", e.Index, prev+uint64(i))
		}
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.commit {
			return fault.New(fault.Internal, "entry %d of term %d conflicts with a committed entry", e.Index, e.Term)
		}
		if e.Index <= n.log.lastIndex() {
			n.truncate(e.Index - 1)
		}
		if err := n.appendEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// handleSnapshot replaces the log with a snapshot unless the log contains its last
// entry already.
func (n *Node) handleSnapshot(m Message) error {
	if m.Snapshot == nil {
		return fault.New(fault.Invalid, "snapshot message has no snapshot")
	}
	meta := m.Snapshot.Meta
	if meta.Index > n.log.commit && !n.log.matches(meta.Index, meta.Term) {
		n.log.reset(meta.Index, meta.Term)
		n.snap = meta
		n.memberships = []membershipAt{{index: meta.Index, members: meta.Members.Clone()}}
		n.pendingSnapshot = m.Snapshot
	}
	n.log.commit = max(n.log.commit, meta.Index)
	n.send(Message{Type: MsgAppendResp, To: m.From, Index: n.log.commit})
	return nil
}

// handleAppendResp updates a member's progress from a MsgAppendResp.
func (n *Node) handleAppendResp(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.recordResponse()
	if m.Reject {
		n.backtrack(p, m)
		return
	}
	if m.Index > n.log.lastIndex() {
		return
	}
	p.acknowledge(m.Index)
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, m.Index+1)
	}
	// In probing, any acceptance shows up to where the member's log matches. In
	// snapshotting, the snapshot is installed once the log holds all the entries
	// after match.
	if p.state == probing || p.state == snapshotting && p.match >= n.log.compacted {
		p.becomeReplicating()
	}
	n.advanceCommit()
	if n.role == Leader && m.From == n.transferee {
		n.sendTimeoutNowIfCaughtUp()
	}
}

// backtrack moves next back to the point where the follower's log may match.
func (n *Node) backtrack(p *progress, m Message) {
	switch p.state {
	case replicating:
		if m.Index <= p.match {
			return
		}
		p.becomeProbing(p.match + 1)
	case probing:
		if m.Index != p.next-1 {
			return
		}
		hint, _ := n.log.lastWithTermAtMost(m.RejectHint, m.LogTerm)
		p.becomeProbing(min(m.Index, hint+1))
	default:
	}
}

// handleHeartbeatResp updates a member's progress from a MsgHeartbeatResp and
// resumes replication to it if messages may have been lost.
func (n *Node) handleHeartbeatResp(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.recordResponse()
	p.probeSent = false
	p.ackedReadRound = max(p.ackedReadRound, m.Token)
	n.confirmReads()
	if p.state == snapshotting && p.snapshotTicks > snapshotTimeoutElections*n.cfg.ElectionTicks {
		p.becomeProbing(n.log.lastIndex() + 1)
	}
	if p.state == replicating && len(p.inflight) >= n.cfg.MaxInflight {
		p.inflight = append(p.inflight[:0], p.inflight[1:]...)
	}
	if p.match < n.log.lastIndex() {
		// If the last batches were lost, the follower rejects this one with a hint
		// where to continue.
		n.sendAppend(m.From, true)
	}
}

// snapshotTimeoutElections is the time after which a sent snapshot counts as
// lost, in multiples of ElectionTicks. A transfer of 64 MB at 26 MB/s fits in it.
const snapshotTimeoutElections = 6

// advanceCommit advances the commit index to the newest entry that a quorum has
// synced, if that entry is of the current term.
func (n *Node) advanceCommit() {
	members := n.Members()
	index := n.quorumValue(func(p *progress) uint64 { return p.match })
	if index <= n.log.commit {
		return
	}
	if term, _ := n.log.term(index); term != n.term {
		return
	}
	for _, e := range n.log.slice(n.log.commit+1, index, len(n.log.entries), maxReadyBytes) {
		n.uncommittedBytes -= e.size()
	}
	n.log.commit = index
	if current := n.memberships[len(n.memberships)-1]; !members.IsVoter(n.cfg.ID) && index >= current.index {
		// The removal of this leader is committed. Announcing the commit index
		// before stepping down lets the other members elect a new leader.
		n.replicate()
		n.broadcastHeartbeat()
		n.becomeFollower(n.term, 0)
	}
}

// quorumValue returns the largest value that a quorum of voters has reached, or 0.
func (n *Node) quorumValue(value func(*progress) uint64) uint64 {
	members := n.Members()
	values := make([]uint64, 0, len(members.Voters))
	for _, id := range members.Voters {
		if p := n.progress[id]; p != nil {
			values = append(values, value(p))
		}
	}
	if len(values) < members.Quorum() {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-members.Quorum()]
}

package raft

import "laburnumdock/internal/core/fault"

// ProposeMember appends a membership change to the leader's log. The change takes
// effect as soon as it is appended. Further changes are rejected until it is
// committed.
func (n *Node) ProposeMember(c MemberChange) (index, term uint64, err error) {
	if err := n.checkLeader(); err != nil {
		return 0, 0, err
	}
	if !n.HasCommittedInTerm() {
		// Without this check, majorities of two leaders' memberships might not
		// overlap.
		return 0, 0, fault.New(fault.Unavailable, "the leader has not yet committed an entry of its term")
	}
	if n.memberships[len(n.memberships)-1].index > n.log.commit {
		return 0, 0, fault.New(fault.Conflict, "another membership change is not yet committed")
	}
	next, err := n.Members().With(c)
	if err != nil {
		return 0, 0, err
	}
	if err := n.checkChangeSafety(c, next); err != nil {
		return 0, 0, err
	}
	index = n.appendProposal(Entry{Kind: EntryMember, Change: c})
	n.memberships = append(n.memberships, membershipAt{index: index, members: next})
	n.reconcileProgress()
	return index, n.term, nil
}

// checkChangeSafety returns an error if c promotes a learner that is not caught
// up, or removes a member so that next has no quorum of caught-up voters.
func (n *Node) checkChangeSafety(c MemberChange, next Membership) error {
	if c.Kind == PromoteLearner && !n.isCaughtUp(c.ID) {
		return fault.New(fault.Unavailable, "learner %d has not yet caught up", c.ID)
	}
	if c.Kind == RemoveMember && n.countCaughtUpVoters(next) < next.Quorum() {
		return fault.New(fault.Unavailable, "removing replica %d would leave no quorum of caught-up voters", c.ID)
	}
	return nil
}

// isCaughtUp reports whether a member is reachable and has synced the entries that
// were committed one heartbeat ago. The delay of one heartbeat keeps a member that
// follows a steady load from counting as behind.
func (n *Node) isCaughtUp(id uint64) bool {
	p := n.progress[id]
	if p == nil {
		return false
	}
	return (id == n.cfg.ID || p.isReachable()) && p.match > 0 && p.match >= n.prevHeartbeatCommit
}

// countCaughtUpVoters returns the number of voters in m that are caught up.
func (n *Node) countCaughtUpVoters(m Membership) int {
	count := 0
	for _, id := range m.Voters {
		if n.isCaughtUp(id) {
			count++
		}
	}
	return count
}

// SnapshotMeta returns the metadata for a snapshot of the state after the entry at
// index, which must be applied.
func (n *Node) SnapshotMeta(index uint64) (SnapshotMeta, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied {
		return SnapshotMeta{}, fault.New(fault.Invalid, "entry %d is not applied or already compacted", index)
	}
	return SnapshotMeta{Index: index, Term: term, Members: n.membersAt(index)}, nil
}

// membersAt returns the membership that was in force at index.
func (n *Node) membersAt(index uint64) Membership {
	members := n.memberships[0].members
	for _, c := range n.memberships {
		if c.index <= index {
			members = c.members
		}
	}
	return members.Clone()
}

// Compact removes log entries that snap, which must be synced, covers. The last
// entries up to the snapshot stay, at most keepEntries of at most keepBytes in
// total, so that a follower that is slightly behind needs no snapshot.
func (n *Node) Compact(snap SnapshotMeta, keepEntries uint64, keepBytes int) {
	if snap.Index <= n.snap.Index || snap.Index > n.log.applied {
		return
	}
	n.snap = snap
	index := n.log.compactionPoint(snap.Index, keepEntries, keepBytes)
	members := n.membersAt(index)
	n.log.compact(index)
	kept := []membershipAt{{index: index, members: members}}
	for _, c := range n.memberships {
		if c.index > index {
			kept = append(kept, c)
		}
	}
	n.memberships = kept
}

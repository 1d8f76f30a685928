package raft

// MemberStatus is what the leader knows of one member.
type MemberStatus struct {
	ID      uint64
	Learner bool
	// Match is the last entry that the member is known to have synced.
	Match uint64
	// Reachable tells whether it was heard lately, CaughtUp whether it has also
	// synced what is committed.
	Reachable bool
	CaughtUp  bool
}

// Status is a summary of a node.
type Status struct {
	ID      uint64
	Role    Role
	Term    uint64
	Leader  uint64
	Commit  uint64
	Applied uint64
	// First and Last bound the entries that the log holds.
	FirstIndex    uint64
	LastIndex     uint64
	SnapshotIndex uint64
	Members  Membership
	// Known tells whether the fields below are known: only the leader knows
	// them.
	ProgressKnown bool
	// Tolerates is the number of further voters that may be lost while changes
	// are still accepted. Only voters that are caught up and have synced count.
	ToleratedLosses int
	// HasQuorum tells whether enough voters are caught up now.
	HasQuorum bool
	MemberStatuses     []MemberStatus
	Halted    bool
}

// Status returns a summary of the node.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Role: n.role, Term: n.term, Leader: n.leader, Commit: n.log.commit, Applied: n.log.applied,
		FirstIndex: n.log.offset + 1, LastIndex: n.log.last(), SnapshotIndex: n.snap.Index, Members: n.Members().Clone(), Halted: n.halted,
	}
	if n.role != Leader {
		return s
	}
	s.ProgressKnown = true
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		s.MemberStatuses = append(s.MemberStatuses, MemberStatus{
			ID: id, Learner: s.Members.IsLearner(id), Match: p.match,
			Reachable: id == n.cfg.ID || p.isReachable(), CaughtUp: n.isCaughtUp(id),
		})
	}
	spare := n.caughtUpVoters(s.Members) - s.Members.Quorum()
	s.HasQuorum = spare >= 0
	s.ToleratedLosses = max(spare, 0)
	return s
}

// Role returns the role of the node.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the leader that the node follows, or 0.
func (n *Node) Leader() uint64 { return n.leader }

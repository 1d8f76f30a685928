package raft

// MemberStatus is the leader's view of one member.
type MemberStatus struct {
	ID      uint64
	Learner bool
	// Match is the index of the last entry that the member is known to have
	// synced.
	Match uint64
	// Reachable is set when the member responded within the last two quorum
	// check periods.
	Reachable bool
	// SilentTicks is the number of ticks since the member last responded, or since
	// this replica became the leader or added it. It is 0 for the leader.
	SilentTicks int
	// CaughtUp is set when the member is reachable and has synced the entries
	// that were committed one heartbeat ago.
	CaughtUp bool
}

// Status is a summary of the state of a Node.
type Status struct {
	ID   uint64
	Role Role
	Term uint64
	// Leader is the ID of the current leader, or 0 if it is not known.
	Leader  uint64
	Commit  uint64
	Applied uint64
	// FirstIndex and LastIndex are the first and the last entry in the log.
	FirstIndex uint64
	LastIndex  uint64
	// SnapshotIndex is the last entry that the latest snapshot covers.
	SnapshotIndex uint64
	Members       Membership
	// ProgressKnown is set when ToleratedLosses, HasQuorum and MemberStatuses are
	// valid. Only the leader knows them.
	ProgressKnown bool
	// ToleratedLosses is the number of further voters that may be lost while
	// changes are still accepted. Only voters that are caught up and have synced
	// count.
	ToleratedLosses int
	// HasQuorum is set when a quorum of voters is caught up.
	HasQuorum bool
	// MemberStatuses has one element for each member, the leader included.
	MemberStatuses []MemberStatus
	// Halted is set after a storage failure.
	Halted bool
}

// Status returns a summary of the node.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Role: n.role, Term: n.term, Leader: n.leader, Commit: n.log.commit, Applied: n.log.applied,
		FirstIndex: n.log.compacted + 1, LastIndex: n.log.lastIndex(), SnapshotIndex: n.snap.Index, Members: n.Members().Clone(), Halted: n.halted,
	}
	if n.role != Leader {
		return s
	}
	s.ProgressKnown = true
	for _, id := range n.memberIDs() {
		p := n.progress[id]
		status := MemberStatus{
			ID: id, Learner: s.Members.IsLearner(id), Match: p.match,
			Reachable: id == n.cfg.ID || p.isReachable(), CaughtUp: n.isCaughtUp(id),
		}
		if id != n.cfg.ID {
			status.SilentTicks = p.silentTicks
		}
		s.MemberStatuses = append(s.MemberStatuses, status)
	}
	surplus := n.countCaughtUpVoters(s.Members) - s.Members.Quorum()
	s.HasQuorum = surplus >= 0
	s.ToleratedLosses = max(surplus, 0)
	return s
}

// Role returns the role of the node.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the ID of the current leader, or 0 if it is not known.
func (n *Node) Leader() uint64 { return n.leader }

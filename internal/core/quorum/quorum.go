// Package quorum decides on the membership of a cell: which replica is added,
// promoted or removed next. The leader's view of the cell is passed in as values.
package quorum

import (
	"slices"
	"time"

	"laburnumdock/internal/core/raft"
)

const (
	// ReplaceVoterAfter is how long a voter must be unreachable before a learner
	// that has caught up replaces it. It exceeds the longest election, so that a
	// failover does not cause a replacement.
	ReplaceVoterAfter = 3 * time.Second
	// RemoveLearnerAfter is how long a learner may be unreachable before it is
	// removed. A learner has no vote, so its removal affects no quorum.
	RemoveLearnerAfter = 10 * time.Second
)

// Joiner is a replica that asked to join the cell.
type Joiner struct {
	ID      uint64
	Address string
}

// View is the leader's view of its cell.
type View struct {
	// Self is the ID of the leader.
	Self           uint64
	Members        raft.Membership
	MemberStatuses []raft.MemberStatus
	Addresses      map[uint64]string
	// Joiners are the replicas that recently asked to join, in order of ID.
	Joiners []Joiner
	// UnreachableFor is how long each unreachable member has been unreachable.
	UnreachableFor map[uint64]time.Duration
}

// NextChange returns the membership change that is due, or false if there is none.
// Changes are made one at a time; the next one is decided on the view after it.
//
// A replica with a new ID at the address of a member has lost its disk. The
// member's ID never returns, so the member is removed at once, before the replica
// is added. A voter that is only unreachable is removed only when a learner has
// caught up and can replace it.
func NextChange(v View) (raft.MemberChange, bool) {
	for _, j := range v.Joiners {
		if old, found := v.predecessor(j); found {
			return raft.MemberChange{Kind: raft.RemoveMember, ID: old}, true
		}
		if !v.Members.IsVoter(j.ID) && !v.Members.IsLearner(j.ID) {
			return raft.MemberChange{Kind: raft.AddLearner, ID: j.ID, Address: j.Address}, true
		}
	}
	for _, status := range v.MemberStatuses {
		if !status.Learner {
			continue
		}
		if status.CaughtUp {
			if voter, found := v.replaceableVoter(); found {
				return raft.MemberChange{Kind: raft.RemoveMember, ID: voter}, true
			}
			return raft.MemberChange{Kind: raft.PromoteLearner, ID: status.ID}, true
		}
		if v.UnreachableFor[status.ID] > RemoveLearnerAfter {
			return raft.MemberChange{Kind: raft.RemoveMember, ID: status.ID}, true
		}
	}
	return raft.MemberChange{}, false
}

// predecessor returns the member with the address of j under another ID, or false
// if there is none. The leader is never returned.
func (v View) predecessor(j Joiner) (uint64, bool) {
	for _, id := range slices.Concat(v.Members.Voters, v.Members.Learners) {
		if id != j.ID && id != v.Self && v.Addresses[id] == j.Address {
			return id, true
		}
	}
	return 0, false
}

// replaceableVoter returns the voter that has been unreachable for the longest
// time, or false if none has been for more than ReplaceVoterAfter.
func (v View) replaceableVoter() (uint64, bool) {
	voter, longest := uint64(0), ReplaceVoterAfter
	for _, id := range v.Members.Voters {
		if unreachable := v.UnreachableFor[id]; id != v.Self && unreachable > longest {
			voter, longest = id, unreachable
		}
	}
	return voter, voter != 0
}

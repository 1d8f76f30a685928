// Package quorum decides on the membership of a cell: which replica is taken in,
// promoted or removed next. It takes what the leader knows as values.
package quorum

import (
	"slices"
	"time"

	"laburnumdock/internal/core/raft"
)

const (
	// ReplaceAfter is how long a voter must be unreachable before a replica that
	// has caught up takes its place. It is above the longest election, so that a
	// failover replaces nobody.
	ReplaceVoterAfter = 3 * time.Second
	// DropLearnerAfter is how long a learner may be unreachable before it is
	// removed. It has no vote, so nothing depends on it.
	RemoveLearnerAfter = 10 * time.Second
)

// Joiner is a replica that asked to be taken in.
type Joiner struct {
	ID      uint64
	Address string
}

// View is what the leader knows of its cell.
type View struct {
	Self      uint64
	Members   raft.Membership
	MemberStatuses     []raft.MemberStatus
	Addresses map[uint64]string
	// Joiners are the replicas that asked lately, in the order of their IDs.
	Joiners []Joiner
	// Silent tells how long each unreachable member has been silent.
	UnreachableFor map[uint64]time.Duration
}

// Next returns the change that is due, or false. One change at a time is in
// force, so the next one is decided on the view after it.
//
// A replica under a new ID at the address of a member has lost its disk: the
// member's ID never returns, so it is removed at once, before the replica is
// taken in. A voter that is merely silent is removed only when another replica
// stands ready in its place.
func NextChange(v View) (raft.MemberChange, bool) {
	for _, j := range v.Joiners {
		if old, found := v.predecessor(j); found {
			return raft.MemberChange{Kind: raft.RemoveMember, ID: old}, true
		}
		if !v.Members.IsVoter(j.ID) && !v.Members.IsLearner(j.ID) {
			return raft.MemberChange{Kind: raft.AddLearner, ID: j.ID, Address: j.Address}, true
		}
	}
	for _, p := range v.MemberStatuses {
		if !p.Learner {
			continue
		}
		if p.CaughtUp {
			if dead, found := v.deadVoter(); found {
				return raft.MemberChange{Kind: raft.RemoveMember, ID: dead}, true
			}
			return raft.MemberChange{Kind: raft.PromoteLearner, ID: p.ID}, true
		}
		if v.UnreachableFor[p.ID] > RemoveLearnerAfter {
			return raft.MemberChange{Kind: raft.RemoveMember, ID: p.ID}, true
		}
	}
	return raft.MemberChange{}, false
}

// predecessor returns the member at a joiner's address under another ID.
func (v View) predecessor(j Joiner) (uint64, bool) {
	for _, id := range slices.Concat(v.Members.Voters, v.Members.Learners) {
		if id != j.ID && id != v.Self && v.Addresses[id] == j.Address {
			return id, true
		}
	}
	return 0, false
}

// deadVoter returns the voter that has been silent for longest.
func (v View) deadVoter() (uint64, bool) {
	dead, longest := uint64(0), ReplaceVoterAfter
	for _, id := range v.Members.Voters {
		if silent := v.UnreachableFor[id]; id != v.Self && silent > longest {
			dead, longest = id, silent
		}
	}
	return dead, dead != 0
}

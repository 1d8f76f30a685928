// Package quorum decides on the membership of a cell: which replica is added,
// promoted or removed next. The leader's view of the cell is passed in as values.
//
// What a cell bears is the number of voters in touch beyond a majority: so many
// more of them may lose their disks at once, and the rest still holds every
// acknowledged change and elects a leader. The rule keeps the following:
//
//   - Every replica that asks to join becomes a voter once it has caught up.
//   - A voter that has gone counts towards the majority as long as it is a member.
//     It is removed as soon as its removal raises what the cell bears, whether the
//     replica that takes its place came before or after it went silent.
//   - No removal lowers what the cell bears. None leaves fewer voters than
//     MinVoters, or than there are hosts in touch where these are fewer: a voter
//     that was only cut off is needed again when it returns.
//   - The ID of a removed replica never returns. The replica joins again under a
//     new ID, so a seed list that lags cannot undo a removal.
package quorum

import (
	"cmp"
	"slices"
	"time"

	"laburnumdock/internal/core/raft"
)

const (
	// RemoveVoterAfter is how long a voter must be silent before it is removed,
	// where that raises what the cell bears. With the election of a new leader, which
	// counts anew, the sum stays below the 4 s after which a replaced host no longer
	// counts as lost.
	RemoveVoterAfter = 1500 * time.Millisecond
	// RemoveSurplusAfter is how long a member must be silent before it is removed
	// where that changes nothing in what the cell bears: a learner, or a voter
	// above MinVoters. It exceeds the usual pause of a host, because a replica that
	// was removed copies the whole state again.
	RemoveSurplusAfter = 10 * time.Second
)

// DefaultLosses is the number of hosts whose loss at once a cell bears where the
// settings name none: one under upkeep and one that fails meanwhile.
const DefaultLosses = 2

// Reason tells why a membership change is due, or why one waits.
type Reason string

// The reasons of changes that are due.
const (
	// DiskLost: a replica with another ID has the address of the member.
	DiskLost Reason = "disk_lost"
	// AskedToJoin: the replica asked to join.
	AskedToJoin Reason = "asked_to_join"
	// HasCaughtUp: the learner has all committed entries.
	HasCaughtUp Reason = "has_caught_up"
	// SilentVoter: without the silent voter the cell bears more losses.
	SilentVoter Reason = "silent_voter"
	// SilentSurplus: the cell bears as much without the silent member.
	SilentSurplus Reason = "silent_surplus"
)

// The reasons why a change waits.
const (
	// SilentTooShortly: the member has not been silent for long enough.
	SilentTooShortly Reason = "silent_too_shortly"
	// NoReplacement: no other replica takes the place of the silent voter.
	NoReplacement Reason = "no_replacement"
	// NoQuorumWithout: too few of the other voters have caught up.
	NoQuorumWithout Reason = "no_quorum_without"
	// NotCaughtUp: the learner lacks committed entries.
	NotCaughtUp Reason = "not_caught_up"
	// FormatNotRead: the replica does not read the format of the records in use.
	FormatNotRead Reason = "format_not_read"
	// FormatUnknown: the replica has not said yet which format it reads.
	FormatUnknown Reason = "format_unknown"
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
	// Joiners are the replicas that recently asked to join, in order of ID, at most
	// one for each address.
	Joiners []Joiner
	// SilentFor is how long each silent member has not responded. Members that
	// responded within an election timeout are not in it.
	SilentFor map[uint64]time.Duration
	// Unready are the joiners and learners that have not confirmed that they read the format
	// of the records in use. They are neither added nor promoted: a replica that cannot
	// decode an entry of its log stops.
	Unready map[uint64]Reason
	// MinVoters is the number of voters that the cell needs for the losses that it
	// has to bear. See the function MinVoters.
	MinVoters int
}

// MinVoters returns the number of voters that a cell needs to bear the loss of the
// given number of disks at once.
func MinVoters(losses int) int { return 2*losses + 1 }

// Wait is a member or a joiner about which no change is due yet.
type Wait struct {
	ID     uint64
	Reason Reason
	// SilentFor is how long the member has not responded, 0 if it is not silent.
	SilentFor time.Duration
}

// Decision is the outcome of Decide.
type Decision struct {
	// Due reports whether Change is to be made now, for Reason.
	Due    bool
	Change raft.MemberChange
	Reason Reason
	// Aim is the number of voters that the cell aims at: all members in touch, but
	// at least MinVoters.
	Aim int
	// Waits are the silent members, the learners and the joiners that stay as they are for now,
	// in order of ID.
	Waits []Wait
}

// Decide returns the membership change that is due, if any. Changes are made one
// at a time; the next one is decided on the view after it.
func Decide(v View) Decision {
	d := Decision{Aim: max(v.hostsInTouch(), v.MinVoters), Waits: v.waits()}
	for _, next := range []func() (raft.MemberChange, Reason){v.nextJoin, v.nextRemoval, v.nextPromotion} {
		if change, reason := next(); reason != "" {
			d.Due, d.Change, d.Reason = true, change, reason
			return d
		}
	}
	return d
}

// nextJoin returns the change for the first replica that asked to join and is not a
// member. A replica with a new ID at the address of a member has lost its disk. The
// member's ID never returns, so the member is removed before the replica is added.
func (v View) nextJoin() (raft.MemberChange, Reason) {
	for _, j := range v.Joiners {
		if v.isMember(j.ID) || v.Unready[j.ID] != "" {
			continue
		}
		if old, found := v.predecessor(j); found {
			return raft.MemberChange{Kind: raft.RemoveMember, ID: old}, DiskLost
		}
		return raft.MemberChange{Kind: raft.AddLearner, ID: j.ID, Address: j.Address}, AskedToJoin
	}
	return raft.MemberChange{}, ""
}

// nextRemoval returns the removal of the member that has been silent for longest
// among those that may be removed now.
func (v View) nextRemoval() (raft.MemberChange, Reason) {
	for _, id := range v.silentMembers() {
		if reason, due := v.judgeSilent(id); due {
			return raft.MemberChange{Kind: raft.RemoveMember, ID: id}, reason
		}
	}
	return raft.MemberChange{}, ""
}

// nextPromotion returns the promotion of the first learner that has caught up.
func (v View) nextPromotion() (raft.MemberChange, Reason) {
	for _, status := range v.MemberStatuses {
		if status.Learner && status.CaughtUp && v.Unready[status.ID] == "" {
			return raft.MemberChange{Kind: raft.PromoteLearner, ID: status.ID}, HasCaughtUp
		}
	}
	return raft.MemberChange{}, ""
}

// judgeSilent reports whether a silent member is to be removed now, and why or why
// not.
func (v View) judgeSilent(id uint64) (Reason, bool) {
	silent := v.SilentFor[id]
	if !v.Members.IsVoter(id) {
		return tooShortlyUnless(silent > RemoveSurplusAfter, SilentSurplus)
	}
	voters := len(v.Members.Voters)
	if v.caughtUpVotersExcept(id) < majority(voters-1) {
		return NoQuorumWithout, false
	}
	lowersMajority := majority(voters-1) < majority(voters)
	switch {
	case lowersMajority && voters-1 >= min(v.MinVoters, v.hostsInTouch()):
		return tooShortlyUnless(silent > RemoveVoterAfter, SilentVoter)
	case voters-2 >= v.MinVoters && v.votersToRemove() >= 2:
		// The removal of one lowers no majority, that of both does.
		return tooShortlyUnless(silent > RemoveVoterAfter, SilentVoter)
	case voters > v.MinVoters:
		return tooShortlyUnless(silent > RemoveSurplusAfter, SilentSurplus)
	}
	return NoReplacement, false
}

// votersToRemove returns the number of voters that have been silent for longer than
// RemoveVoterAfter.
func (v View) votersToRemove() int {
	count := 0
	for _, id := range v.silentMembers() {
		if v.Members.IsVoter(id) && v.SilentFor[id] > RemoveVoterAfter {
			count++
		}
	}
	return count
}

func tooShortlyUnless(due bool, reason Reason) (Reason, bool) {
	if due {
		return reason, true
	}
	return SilentTooShortly, false
}

func majority(voters int) int { return voters/2 + 1 }

// waits lists the silent members, the learners and the joiners with the reason why they
// stay as they are.
func (v View) waits() []Wait {
	var waits []Wait
	for _, id := range v.silentMembers() {
		if reason, due := v.judgeSilent(id); !due {
			waits = append(waits, Wait{ID: id, Reason: reason, SilentFor: v.SilentFor[id]})
		}
	}
	for _, status := range v.MemberStatuses {
		_, silent := v.SilentFor[status.ID]
		reason := v.Unready[status.ID]
		if !status.CaughtUp {
			reason = NotCaughtUp
		}
		if status.Learner && !silent && reason != "" {
			waits = append(waits, Wait{ID: status.ID, Reason: reason})
		}
	}
	for _, j := range v.Joiners {
		if reason := v.Unready[j.ID]; reason != "" && !v.isMember(j.ID) {
			waits = append(waits, Wait{ID: j.ID, Reason: reason})
		}
	}
	slices.SortFunc(waits, func(a, b Wait) int { return cmp.Compare(a.ID, b.ID) })
	return waits
}

// silentMembers returns the silent members except the leader, the longest
// silent first.
func (v View) silentMembers() []uint64 {
	var silent []uint64
	for id := range v.SilentFor {
		if id != v.Self && v.isMember(id) {
			silent = append(silent, id)
		}
	}
	slices.SortFunc(silent, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(v.SilentFor[b], v.SilentFor[a]), cmp.Compare(a, b))
	})
	return silent
}

// caughtUpVotersExcept returns the number of voters other than id that have caught
// up.
func (v View) caughtUpVotersExcept(id uint64) int {
	count := 0
	for _, status := range v.MemberStatuses {
		if !status.Learner && status.ID != id && status.CaughtUp {
			count++
		}
	}
	return count
}

// hostsInTouch returns the number of members that are not silent, the leader and
// learners included.
func (v View) hostsInTouch() int { return len(v.MemberStatuses) - len(v.silentMembers()) }

func (v View) isMember(id uint64) bool { return v.Members.IsVoter(id) || v.Members.IsLearner(id) }

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

// SilentMembers returns View.SilentFor for the given statuses.
func SilentMembers(statuses []raft.MemberStatus, tick time.Duration, electionTicks int) map[uint64]time.Duration {
	silent := map[uint64]time.Duration{}
	for _, status := range statuses {
		if status.SilentTicks > electionTicks {
			silent[status.ID] = time.Duration(status.SilentTicks) * tick
		}
	}
	return silent
}

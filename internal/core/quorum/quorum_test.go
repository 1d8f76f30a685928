package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/raft"
)

// Guards against a membership that loses a vote it needs, or that never takes in
// the replica that stands ready.
func TestNextChange(t *testing.T) {
	five := raft.Membership{Voters: []uint64{1, 2, 3, 4, 5}}
	withLearner := raft.Membership{Voters: []uint64{1, 2, 3, 4, 5}, Learners: []uint64{9}}
	addresses := map[uint64]string{1: "a", 2: "b", 3: "c", 4: "d", 5: "e", 9: "n"}
	for _, c := range []struct {
		name string
		view View
		want raft.MemberChange
		none bool
	}{
		{name: "calm", view: View{Self: 1, Members: five, Addresses: addresses}, none: true},
		{
			name: "a new replica is added as a learner",
			view: View{Self: 1, Members: five, Addresses: addresses, Joiners: []Joiner{{9, "n"}}},
			want: raft.MemberChange{Kind: raft.AddLearner, ID: 9, Address: "n"},
		},
		{
			name: "a replica that lost its disk removes its predecessor first",
			view: View{Self: 1, Members: five, Addresses: addresses, Joiners: []Joiner{{9, "b"}}},
			want: raft.MemberChange{Kind: raft.RemoveMember, ID: 2},
		},
		{
			name: "the leader never removes itself",
			view: View{Self: 1, Members: five, Addresses: addresses, Joiners: []Joiner{{9, "a"}}},
			want: raft.MemberChange{Kind: raft.AddLearner, ID: 9, Address: "a"},
		},
		{
			name: "a learner that has caught up is promoted",
			view: View{Self: 1, Members: withLearner, Addresses: addresses, MemberStatuses: []raft.MemberStatus{{ID: 9, Learner: true, CaughtUp: true}}},
			want: raft.MemberChange{Kind: raft.PromoteLearner, ID: 9},
		},
		{
			name: "it takes the place of a voter that is silent",
			view: View{
				Self: 1, Members: withLearner, Addresses: addresses, MemberStatuses: []raft.MemberStatus{{ID: 9, Learner: true, CaughtUp: true}},
				UnreachableFor: map[uint64]time.Duration{3: 4 * time.Second, 4: 5 * time.Second},
			},
			want: raft.MemberChange{Kind: raft.RemoveMember, ID: 4},
		},
		{
			name: "a silent voter stays while no replica stands ready",
			view: View{Self: 1, Members: five, Addresses: addresses, UnreachableFor: map[uint64]time.Duration{3: time.Hour}}, none: true,
		},
		{
			name: "a learner that is gone is dropped",
			view: View{
				Self: 1, Members: withLearner, Addresses: addresses, MemberStatuses: []raft.MemberStatus{{ID: 9, Learner: true}},
				UnreachableFor: map[uint64]time.Duration{9: time.Minute},
			},
			want: raft.MemberChange{Kind: raft.RemoveMember, ID: 9},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			change, due := NextChange(c.view)
			require.Equal(t, !c.none, due)
			require.Equal(t, c.want, change)
		})
	}
}

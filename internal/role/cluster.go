package role

import (
	"context"

	"laburnumdock/internal/api"
	"laburnumdock/internal/control"
	"laburnumdock/internal/core/raft"
)

// cluster shows a replica's group to the operators' API.
type cluster struct{ replica *control.Replica }

// ClusterStatus implements api.Cluster.
func (c cluster) ClusterStatus() api.ClusterStatus {
	s := c.replica.Status()
	status := api.ClusterStatus{
		Replica: s.ID, Leader: s.Leader, Term: s.Term, Commit: s.Commit, Applied: s.Applied,
		ProgressKnown: s.ProgressKnown, ToleratedLosses: s.ToleratedLosses,
	}
	if s.StorageError != nil {
		status.StorageError = s.StorageError.Error()
	}
	progress := make(map[uint64]raft.MemberStatus, len(s.MemberStatuses))
	for _, p := range s.MemberStatuses {
		progress[p.ID] = p
	}
	add := func(ids []uint64, voter bool) {
		for _, id := range ids {
			p := progress[id]
			status.Members = append(status.Members, api.ClusterMember{
				ID: id, Address: s.Addresses[id], Voter: voter, Reachable: p.Reachable, CaughtUp: p.CaughtUp, Match: p.Match,
			})
		}
	}
	add(s.Members.Voters, true)
	add(s.Members.Learners, false)
	return status
}

// changeKinds maps the steps of the API to those of the consensus core.
var changeKinds = map[api.MemberAction]raft.ChangeKind{
	api.MemberAdd:     raft.AddLearner,
	api.MemberPromote: raft.PromoteLearner,
	api.MemberRemove:  raft.RemoveMember,
}

// ChangeMember implements api.Cluster.
func (c cluster) ChangeMember(ctx context.Context, change api.MemberChange) error {
	return c.replica.ProposeMember(ctx, raft.MemberChange{Kind: changeKinds[change.Action], ID: change.ID, Address: change.Address})
}

package api

import (
	"context"
	"net/http"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
)

// Cluster is the group of control replicas as the API sees it.
type Cluster interface {
	ClusterStatus() ClusterStatus
	// ChangeMember changes the membership by one replica. A follower refuses it
	// with not_leader.
	ChangeMember(ctx context.Context, change MemberChange) error
}

// ClusterStatus is the state of the group as one replica knows it.
type ClusterStatus struct {
	Replica uint64 `json:"replica"`
	// Leader is 0 if none is known.
	Leader  uint64 `json:"leader"`
	Term    uint64 `json:"term"`
	Commit  uint64 `json:"commit"`
	Applied uint64 `json:"applied"`
	// Known tells whether the answer is from the leader, which alone knows
	// FurtherLosses and the progress of the members.
	ProgressKnown bool `json:"known"`
	// FurtherLosses is the number of voters that may still be lost while changes
	// are accepted. Only voters that are caught up and have synced count.
	ToleratedLosses int             `json:"furtherLosses"`
	Members       []ClusterMember `json:"members"`
	StorageError  string          `json:"storageError,omitempty"`
}

// ClusterMember is one replica of the group.
type ClusterMember struct {
	ID        uint64 `json:"id"`
	Address   string `json:"address"`
	Voter     bool   `json:"voter"`
	Reachable bool   `json:"reachable"`
	CaughtUp  bool   `json:"caughtUp"`
	// Match is the last log entry that the member is known to have synced.
	Match uint64 `json:"match"`
}

// MemberAction is one step of a membership change.
type MemberAction string

// The steps. A replica is added as a learner and promoted to a voter once it
// has caught up.
const (
	MemberAdd     MemberAction = "add"
	MemberPromote MemberAction = "promote"
	MemberRemove  MemberAction = "remove"
)

// MemberChange is the body of a membership change.
type MemberChange struct {
	Action MemberAction `json:"action"`
	ID     uint64       `json:"id"`
	// Address is the base URL of the replica's peer listener, for add.
	Address string `json:"address,omitempty"`
}

func (c *MemberChange) validate() *fault.Error {
	switch c.Action {
	case MemberAdd, MemberPromote, MemberRemove:
	default:
		return fault.InvalidField("action", "add, promote, remove", "value is %q", c.Action)
	}
	if c.ID == 0 {
		return fault.InvalidField("id", "1 or more", "value is 0")
	}
	if (c.Action == MemberAdd) != (c.Address != "") {
		return fault.InvalidField("address", "a base URL for add, nothing else", "value is %q", c.Address)
	}
	return nil
}

func (a *api) cluster(w http.ResponseWriter, _ *http.Request) {
	if a.Cluster == nil {
		answer.WriteError(w, fault.New(fault.NotFound, "this backend has no cluster"))
		return
	}
	answer.WriteJSON(w, http.StatusOK, a.Cluster.ClusterStatus())
}

func (a *api) changeMember(w http.ResponseWriter, r *http.Request) {
	if a.Cluster == nil {
		answer.WriteError(w, fault.New(fault.NotFound, "this backend has no cluster"))
		return
	}
	body, fail := a.readBody(w, r)
	if fail != nil {
		answer.WriteError(w, fail)
		return
	}
	var change MemberChange
	if fail := decodeBody(body, &change); fail != nil {
		answer.WriteError(w, fail)
		return
	}
	if fail := change.validate(); fail != nil {
		answer.WriteError(w, fail)
		return
	}
	if err := a.Cluster.ChangeMember(r.Context(), change); err != nil {
		answer.WriteError(w, err)
		return
	}
	answer.WriteJSON(w, http.StatusOK, change)
}

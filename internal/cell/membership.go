package cell

import (
	"context"
	"slices"
	"sync"
	"time"

	"laburnumdock/internal/control"
	"laburnumdock/internal/core/quorum"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/logevent"
)

const (
	// reconcileInterval is the time between two checks of the membership.
	reconcileInterval = 150 * time.Millisecond
	// joinRequestTTL is how long a request to join is kept. Joiners repeat it
	// more often.
	joinRequestTTL = 3 * time.Second
	// memberChangeTimeout bounds one membership change.
	memberChangeTimeout = 2 * time.Second
)

// membershipReconciler proposes the membership changes that package quorum decides
// on, while this replica leads.
type membershipReconciler struct {
	replica *control.Replica
	log     *logevent.Logger
	// mu protects joinRequests, the latest request to join of each replica.
	mu           sync.Mutex
	joinRequests map[uint64]joinRequest
	// unreachableSince is owned by the goroutine of run.
	unreachableSince map[uint64]time.Time
}

type joinRequest struct {
	joiner     quorum.Joiner
	receivedAt time.Time
}

func newMembershipReconciler(r *control.Replica, log *logevent.Logger) *membershipReconciler {
	return &membershipReconciler{replica: r, log: log, joinRequests: map[uint64]joinRequest{}, unreachableSince: map[uint64]time.Time{}}
}

// addJoinRequest records a request to join. Any goroutine may call it.
func (m *membershipReconciler) addJoinRequest(j quorum.Joiner, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.joinRequests[j.ID] = joinRequest{joiner: j, receivedAt: now}
}

// run checks the membership at every reconcileInterval until ctx ends.
func (m *membershipReconciler) run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !m.replica.IsLeader() {
			clear(m.unreachableSince)
			continue
		}
		change, due := quorum.NextChange(m.view(time.Now()))
		if !due {
			continue
		}
		m.propose(ctx, change)
	}
}

func (m *membershipReconciler) propose(ctx context.Context, change raft.MemberChange) {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	fields := logevent.Fields{"change": changeNames[change.Kind], "replica": change.ID, "address": change.Address}
	if err := m.replica.ProposeMember(ctx, change); err != nil {
		m.log.Err(logevent.MemberNotChanged, err, fields)
		return
	}
	m.log.Log(logevent.MemberChanged, fields)
}

// changeNames are the kinds of changes as the log shows them.
var changeNames = map[raft.ChangeKind]string{raft.AddLearner: "add", raft.PromoteLearner: "promote", raft.RemoveMember: "remove"}

// view returns the leader's view of the cell and updates unreachableSince.
func (m *membershipReconciler) view(now time.Time) quorum.View {
	status := m.replica.Status()
	v := quorum.View{
		Self: status.ID, Members: status.Members, MemberStatuses: status.MemberStatuses, Addresses: status.Addresses,
		Joiners: m.recentJoiners(now), UnreachableFor: map[uint64]time.Duration{},
	}
	for _, p := range status.MemberStatuses {
		if p.Reachable || p.ID == status.ID {
			delete(m.unreachableSince, p.ID)
			continue
		}
		if _, ok := m.unreachableSince[p.ID]; !ok {
			m.unreachableSince[p.ID] = now
		}
		v.UnreachableFor[p.ID] = now.Sub(m.unreachableSince[p.ID])
	}
	return v
}

// recentJoiners returns the replicas that recently requested to join, in order of
// ID, and drops older requests.
func (m *membershipReconciler) recentJoiners(now time.Time) []quorum.Joiner {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []quorum.Joiner
	for id, r := range m.joinRequests {
		if now.Sub(r.receivedAt) > joinRequestTTL {
			delete(m.joinRequests, id)
			continue
		}
		list = append(list, r.joiner)
	}
	slices.SortFunc(list, func(a, b quorum.Joiner) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

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
	// keepEvery is the time between two looks of the leader at the membership.
	keepEvery = 150 * time.Millisecond
	// joinerFresh is how long a request to join is remembered; joiners ask again
	// more often.
	joinerFresh = 3 * time.Second
	// memberTimeout bounds one change of the membership.
	memberTimeout = 2 * time.Second
)

// keeper carries out the changes of the membership that package quorum decides
// on, while this replica leads.
type keeper struct {
	replica *control.Replica
	log     *logevent.Logger
	// mu protects joiners, the requests to join by replica.
	mu      sync.Mutex
	joiners map[uint64]joinRequest
	// silentSince belongs to run.
	silentSince map[uint64]time.Time
}

type joinRequest struct {
	joiner quorum.Joiner
	at     time.Time
}

func newKeeper(r *control.Replica, log *logevent.Logger) *keeper {
	return &keeper{replica: r, log: log, joiners: map[uint64]joinRequest{}, silentSince: map[uint64]time.Time{}}
}

func (k *keeper) asked(j quorum.Joiner, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.joiners[j.ID] = joinRequest{joiner: j, at: now}
}

func (k *keeper) run(ctx context.Context) {
	ticker := time.NewTicker(keepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !k.replica.IsLeader() {
			clear(k.silentSince)
			continue
		}
		change, due := quorum.NextChange(k.view(time.Now()))
		if !due {
			continue
		}
		k.carryOut(ctx, change)
	}
}

func (k *keeper) carryOut(ctx context.Context, change raft.MemberChange) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	fields := logevent.Fields{"change": changeNames[change.Kind], "replica": change.ID, "address": change.Address}
	if err := k.replica.ProposeMember(ctx, change); err != nil {
		k.log.Err(logevent.MemberNotChanged, err, fields)
		return
	}
	k.log.Log(logevent.MemberChanged, fields)
}

var changeNames = map[raft.ChangeKind]string{raft.AddLearner: "add", raft.PromoteLearner: "promote", raft.RemoveMember: "remove"}

func (k *keeper) view(now time.Time) quorum.View {
	status := k.replica.Status()
	v := quorum.View{
		Self: status.ID, Members: status.Members, MemberStatuses: status.MemberStatuses, Addresses: status.Addresses,
		Joiners: k.fresh(now), UnreachableFor: map[uint64]time.Duration{},
	}
	for _, p := range status.MemberStatuses {
		if p.Reachable || p.ID == status.ID {
			delete(k.silentSince, p.ID)
			continue
		}
		if _, ok := k.silentSince[p.ID]; !ok {
			k.silentSince[p.ID] = now
		}
		v.UnreachableFor[p.ID] = now.Sub(k.silentSince[p.ID])
	}
	return v
}

func (k *keeper) fresh(now time.Time) []quorum.Joiner {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []quorum.Joiner
	for id, r := range k.joiners {
		if now.Sub(r.at) > joinerFresh {
			delete(k.joiners, id)
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

package cell

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

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
	// maxJoinRequests bounds the replicas that ask to join at the same time.
	maxJoinRequests = 256
	// memberChangeTimeout bounds one membership change.
	memberChangeTimeout = 2 * time.Second
)

// membershipReconciler proposes the membership changes that package quorum decides
// on, while this replica leads.
type membershipReconciler struct {
	replica   *control.Replica
	log       *logevent.Logger
	minVoters int
	// tick is the time between two ticks of the replica.
	tick   time.Duration
	gauges membershipGauges
	// mu protects joinRequests, the latest request to join from each address. A
	// replica that loses its disk again replaces its own earlier request.
	mu           sync.Mutex
	joinRequests map[string]joinRequest
	formats      *formatChecker
	// decision is the latest decision of this replica as the leader, nil if it does
	// not lead.
	decision atomic.Pointer[quorum.Decision]
	// loggedWaits is owned by the goroutine of run.
	loggedWaits map[uint64]quorum.Reason
}

// membershipGauges are the metrics of the leader's decisions. They are 0 on the
// other replicas.
type membershipGauges struct{ voters, aim, silent metrics.Gauge }

func newMembershipGauges(reg metrics.Registry) membershipGauges {
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("cell_"+name, reg) }
	return membershipGauges{voters: gauge("voters"), aim: gauge("voters_aim"), silent: gauge("members_silent")}
}

func (g membershipGauges) update(voters, aim, silent int) {
	g.voters.Update(int64(voters))
	g.aim.Update(int64(aim))
	g.silent.Update(int64(silent))
}

type joinRequest struct {
	joiner     quorum.Joiner
	receivedAt time.Time
}

func newMembershipReconciler(r *control.Replica, cfg Config, formats formatClient) *membershipReconciler {
	return &membershipReconciler{
		replica: r, log: cfg.Log, minVoters: quorum.MinVoters(cmp.Or(cfg.ToleratedLosses, quorum.DefaultLosses)), gauges: newMembershipGauges(cfg.Metrics),
		tick: cfg.ElectionTimeout / ticksPerElection, joinRequests: map[string]joinRequest{}, loggedWaits: map[uint64]quorum.Reason{},
		formats: &formatChecker{client: formats},
	}
}

// addJoinRequest records a request to join. It returns false if there are too many others.
// Any goroutine may call it.
func (m *membershipReconciler) addJoinRequest(j quorum.Joiner, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.joinRequests[j.Address]; !known && len(m.joinRequests) >= maxJoinRequests {
		return false
	}
	m.joinRequests[j.Address] = joinRequest{joiner: j, receivedAt: now}
	return true
}

// run checks the membership at every reconcileInterval until ctx ends.
func (m *membershipReconciler) run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	defer m.formats.group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !m.replica.IsLeader() {
			clear(m.loggedWaits)
			m.decision.Store(nil)
			m.gauges.update(0, 0, 0)
			continue
		}
		view := m.view(ctx, time.Now())
		decision := quorum.Decide(view)
		m.decision.Store(&decision)
		m.gauges.update(len(view.Members.Voters), decision.Aim, len(view.SilentFor))
		m.logWaits(view, decision)
		if decision.Due {
			m.propose(ctx, view, decision)
		}
	}
}

// logWaits logs each member about which no change is due, once for each reason.
func (m *membershipReconciler) logWaits(view quorum.View, decision quorum.Decision) {
	waits := make(map[uint64]quorum.Reason, len(decision.Waits))
	for _, w := range decision.Waits {
		waits[w.ID] = w.Reason
		if m.loggedWaits[w.ID] == w.Reason {
			continue
		}
		m.log.Log(logevent.MemberChangeWaits, logevent.Fields{
			"replica": w.ID, "address": addressOf(view, w.ID), "reason": w.Reason, "silent_ms": w.SilentFor.Milliseconds(),
			"voters": len(view.Members.Voters), "aim": decision.Aim,
		})
	}
	m.loggedWaits = waits
}

// addressOf returns the address of a member or of a replica that asked to join.
func addressOf(view quorum.View, id uint64) string {
	for _, j := range view.Joiners {
		if j.ID == id {
			return j.Address
		}
	}
	return view.Addresses[id]
}

func (m *membershipReconciler) propose(ctx context.Context, view quorum.View, decision quorum.Decision) {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	change := decision.Change
	fields := logevent.Fields{
		"change": changeNames[change.Kind], "replica": change.ID, "address": cmp.Or(change.Address, view.Addresses[change.ID]), "reason": decision.Reason,
		"silent_ms": view.SilentFor[change.ID].Milliseconds(), "voters": len(view.Members.Voters), "aim": decision.Aim,
	}
	if err := m.replica.ProposeMember(ctx, change); err != nil {
		m.log.Err(logevent.MemberNotChanged, err, fields)
		return
	}
	m.log.Log(logevent.MemberChanged, fields)
}

// changeNames are the kinds of changes as the log shows them.
var changeNames = map[raft.ChangeKind]string{raft.AddLearner: "add", raft.PromoteLearner: "promote", raft.RemoveMember: "remove"}

// view returns the leader's view of the cell.
func (m *membershipReconciler) view(ctx context.Context, now time.Time) quorum.View {
	status := m.replica.Status()
	view := quorum.View{
		Self: status.ID, Members: status.Members, MemberStatuses: status.MemberStatuses, Addresses: status.Addresses,
		Joiners: m.recentJoiners(status.Members, now), MinVoters: m.minVoters,
		SilentFor: quorum.SilentMembers(status.MemberStatuses, m.tick, ticksPerElection),
	}
	view.Unready = m.formats.unready(ctx, m.replica.Snapshot().JobFormat, view, now)
	return view
}

// recentJoiners returns the replicas that recently requested to join, in order of
// ID, and drops older requests and those of members: a request that was kept would
// bring a member back under its old ID after its removal.
func (m *membershipReconciler) recentJoiners(members raft.Membership, now time.Time) []quorum.Joiner {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []quorum.Joiner
	for address, r := range m.joinRequests {
		isMember := members.IsVoter(r.joiner.ID) || members.IsLearner(r.joiner.ID)
		if isMember || now.Sub(r.receivedAt) > joinRequestTTL {
			delete(m.joinRequests, address)
			continue
		}
		list = append(list, r.joiner)
	}
	slices.SortFunc(list, func(a, b quorum.Joiner) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

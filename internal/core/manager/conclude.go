package manager

import (
	"time"

	"laburnumdock/internal/core/jobs"
)

// This file holds the rule by which the leader concludes that a run has ended or has
// never begun, although no executor has listed its end:
//
//	A run is concluded only on proof about the incarnation that holds it: the
//	incarnation has ended, or a complete list that it made after the order lacks the
//	run, or the order certainly had no effect.
//
// An answer to a start does not say which incarnation of the executor gave it. So a run
// counts as held by an incarnation only once that incarnation has listed it; until then
// it may as well be held by the next one under the same ID. What cannot be proved ends
// with the last lease that any incarnation may have.

// proof is the evidence on which a run is concluded.
type proof uint8

const (
	// proofNotOrdered means that the order to start was never sent.
	proofNotOrdered proof = iota + 1
	// proofRefused means that the receiver of the order has answered that it did
	// nothing.
	proofRefused
	// proofAbsent means that a complete list of the incarnation, which refuses the
	// order from then on, lacks the run.
	proofAbsent
	// proofIncarnationEnded means that the incarnation that listed the run has ended.
	proofIncarnationEnded
	// proofSuccessorList means that a complete list of the next incarnation, which
	// refuses the order from then on, lacks the run.
	proofSuccessorList
	// proofReplaced means that an executor with another ID answers in the place of the
	// one that was ordered. It refuses orders for that one.
	proofReplaced
	// proofLeaseExpired means that the lease of the incarnation has expired.
	proofLeaseExpired
	// proofOrdersExpired means that the order cannot arrive any more and every lease
	// that it may have carried has expired.
	proofOrdersExpired
)

// String returns the name used in logs.
func (p proof) String() string {
	names := [...]string{
		"none", "not_ordered", "refused", "absent_from_list", "incarnation_ended", "absent_from_next_list", "replaced", "lease_expired", "orders_expired",
	}
	if int(p) < len(names) {
		return names[p]
	}
	return names[0]
}

// concludeRun proposes an end of a run that no executor has listed.
func (m *Manager) concludeRun(r *run, result jobs.RunResult, p proof, now time.Time) {
	if r.state == runEnded || r.state == runProposed {
		return
	}
	m.logEvent(Event{
		Kind: EventRunConcluded, Job: r.key.task.Job, Task: r.key.task, Run: r.key.run, Executor: r.session.rec.ID,
		Incarnation: r.session.rec.Number, Pool: r.session.rec.Pool, Reason: p.String(), Age: now.Sub(r.stateSince),
	})
	r.setState(runEnded, now)
	end := &jobs.EndRun{Task: r.key.task, Run: r.key.run, Executor: r.session.rec.Number, Result: result, Checkpoint: r.checkpoint, Evidence: m.crashEvidence(r, result)}
	if end.Evidence != 0 && end.Evidence != jobs.Survived {
		end.Crashed = r.session.cause == endCrashed
		if result == jobs.ResultLapsed {
			r.session.lapsed = append(r.session.lapsed, lapsedRun{task: r.key.task, evidence: end.Evidence})
		}
		m.logEvent(Event{Kind: EventTaskSuspected, Job: r.key.task.Job, Task: r.key.task, Run: r.key.run, Executor: r.session.rec.ID, Pool: r.session.rec.Pool, Reason: end.Evidence.String()})
	}
	m.propose(jobs.Command{EndRun: end})
}

// isListed reports whether the incarnation of the run's session has listed it, which
// shows that no other incarnation holds it.
func (r *run) isListed() bool { return !r.listedAt.IsZero() }

// maxOrderDelay is the longest time after which an unanswered order is still
// carried out. The platform's documentation speaks of seconds; the faults it
// describes delay an order by at most 12 s.
const maxOrderDelay = 15 * time.Second

// longestLease returns the longest time for which an executor keeps a run without a
// further order, on a clock that may be slow.
func (m *Manager) longestLease() time.Duration {
	return time.Duration(float64(m.cfg.MaxLease) / minClockRate)
}

// mayHoldAfterLease reports whether a run may still be active after the leases of its
// session have expired. Those are times on the clock of the session's incarnation. A
// run that it has not listed may be held by the next one, on another clock.
func (m *Manager) mayHoldAfterLease(r *run, now time.Time) bool {
	if r.isListed() {
		return false
	}
	switch r.state {
	case runActive:
		return now.Sub(r.stateSince) < m.longestLease()
	case runOrdered, runUncertain:
		return now.Sub(r.orderedAt) < m.longestLease()
	default:
		return false
	}
}

// leaveUnsettled keeps a run of an ended incarnation open until it is known whether the
// next one under the same ID holds it.
func (m *Manager) leaveUnsettled(r *run, now time.Time) {
	r.setState(runUncertain, now)
	m.unsettledRuns = append(m.unsettledRuns, r)
}

// stepUnsettledRuns concludes runs of ended incarnations once there is proof that no
// incarnation holds them. The next one refuses their orders once it has answered this
// leader; the runs that it had started by then were adopted.
func (m *Manager) stepUnsettledRuns(now time.Time) {
	var unsettled []*run
	for _, r := range m.unsettledRuns {
		if r.state != runUncertain || !r.session.ended {
			continue
		}
		next := m.sessions.get(m.newestNumber(r.session.rec.ID))
		switch {
		case next != nil && next != r.session && next.hasListedAll:
			m.concludeRun(r, jobs.ResultGone, proofSuccessorList, now)
		case now.Sub(r.stateSince) > maxOrderDelay+m.longestLease():
			m.concludeRun(r, jobs.ResultGone, proofOrdersExpired, now)
		default:
			unsettled = append(unsettled, r)
		}
	}
	m.unsettledRuns = unsettled
}

// settleReplaced concludes the unsettled runs of executors in whose place another one
// has answered a call that was sent after they had ended.
func (m *Manager) settleReplaced(s *session, sentAt, now time.Time) {
	for _, r := range m.unsettledRuns {
		old := r.session
		if r.state == runUncertain && old.ended && old.rec.Host == s.rec.Host && old.rec.ID != s.rec.ID && r.stateSince.Before(sentAt) {
			m.concludeRun(r, jobs.ResultGone, proofReplaced, now)
		}
	}
}

// adoptRun moves a run of an ended incarnation to the session of the
// incarnation that runs it. It returns nil if there is no such run.
func (m *Manager) adoptRun(s *session, key runKey, now time.Time) *run {
	r := m.runs[key]
	if r == nil || r.state != runUncertain || !r.session.ended || r.session.rec.ID != s.rec.ID {
		return nil
	}
	old := r.session
	old.remove(r)
	r.session = s
	s.add(r)
	r.setState(runActive, now)
	m.propose(jobs.Command{AdoptRun: &jobs.AdoptRun{Task: key.task, Run: key.run, Executor: s.rec.Number}})
	m.removeIfEmpty(old)
	return r
}

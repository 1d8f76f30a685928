package manager

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
)

func (m *Manager) addSession(e *jobs.Executor, now time.Time) *session {
	s := &session{rec: e, runs: map[runKey]*run{}, draining: e.Draining, knownSince: now, lastHeardAt: now, proposedEnd: e.RecordedEnd}
	m.sessions.add(s)
	m.pool(e.Pool).addSession(s)
	return s
}

// HandleReport processes a report of an executor. A report that names a pool
// which is not configured may come from another sender and is ignored.
func (m *Manager) HandleReport(r Report, now time.Time) {
	if c := m.state.Config(); !r.Leaving && (c == nil || c.Pool(r.Pool) == nil) {
		return
	}
	known := m.state.ExecutorByID(r.ID)
	if known != nil && r.StartedAt < known.StartedAt {
		return
	}
	if known == nil || r.StartedAt > known.StartedAt {
		m.registerNew(r)
		return
	}
	s := m.sessions.get(known.Number)
	if s == nil || s.ended {
		return
	}
	if r.Leaving {
		m.endSession(s, "deregistered", now)
		return
	}
	if s.isLateReport(r, now) {
		return
	}
	s.sequence, s.reportedAt, s.lastHeardAt = r.Sequence, now, now
	s.readClock(r.Clock, now)
	m.executorHeard(s, presenceReport, now)
	if r.Draining && !s.draining {
		s.draining = true
		m.requestPasses()
	}
	// After a failover a delayed report looks new. An incarnation that drains never
	// stops draining.
	r.Draining = r.Draining || s.draining
	next := r.executor(known.Number)
	if !hasChanged(known, &next) {
		s.describedAt = now
		return
	}
	m.propose(jobs.Command{RegisterExecutor: &jobs.RegisterExecutor{Executor: next}})
}

// maxReportDelay is the longest time for which a report may be delayed, as an order.
// After it a lower sequence number is not that of a late report: the higher one came
// from another writer and would keep out all others of the incarnation.
const maxReportDelay = maxOrderDelay

// isLateReport reports whether a later report of the incarnation has arrived before.
func (s *session) isLateReport(r Report, now time.Time) bool {
	return r.Sequence <= s.sequence && now.Sub(s.reportedAt) <= maxReportDelay
}

// registerNew proposes the record of an unknown incarnation.
func (m *Manager) registerNew(r Report) {
	if r.Leaving || m.registering[r.ID] >= max(r.StartedAt, 1) {
		return
	}
	m.registering[r.ID] = max(r.StartedAt, 1)
	m.propose(jobs.Command{RegisterExecutor: &jobs.RegisterExecutor{Executor: r.executor(0)}})
}

func (r *Report) executor(number int) jobs.Executor {
	return jobs.Executor{
		Number: number, ID: r.ID, StartedAt: r.StartedAt, Host: r.Host, Pool: r.Pool, Zone: r.Zone, Rack: r.Rack,
		Address: r.Address, Labels: r.Labels, Capacity: r.Capacity, Draining: r.Draining,
	}
}

func hasChanged(a, b *jobs.Executor) bool {
	return a.Pool != b.Pool || a.Address != b.Address || a.Capacity != b.Capacity || a.Draining != b.Draining ||
		a.Host != b.Host || !slices.Equal(a.Labels, b.Labels)
}

func (m *Manager) executorRegistered(reg *jobs.RegisterExecutor, err *fault.Error, now time.Time) {
	if err != nil {
		return
	}
	if n := reg.Executor.Number; n > 0 {
		m.executorChanged(m.sessions.get(n), m.state.Executor(n), now)
		return
	}
	e := m.state.ExecutorByID(reg.Executor.ID)
	delete(m.registering, e.ID)
	if m.sessions.get(e.Number) != nil {
		return
	}
	m.logEvent(Event{Kind: EventExecutorJoined, Executor: e.ID, Pool: e.Pool, Host: e.Host, Reason: e.Address})
	s := m.addSession(e, now)
	s.describedAt = now
	for _, old := range slices.Clone(m.sessions.sorted) {
		if old != s && old.rec.ID == e.ID {
			m.endSession(old, reasonRestarted, now)
		}
	}
	m.hostReturned(e, now)
	m.requestPasses()
}

// executorChanged updates the session after a changed description was recorded.
func (m *Manager) executorChanged(s *session, e *jobs.Executor, now time.Time) {
	if s == nil || e == nil {
		return
	}
	if s.rec.Pool != e.Pool {
		m.pool(s.rec.Pool).removeSession(s)
		m.pool(e.Pool).addSession(s)
	}
	m.sessions.updateRecord(s, e)
	s.draining, s.describedAt = e.Draining, now
}

const (
	// reasonRestarted is the reason given when an incarnation has ended because a
	// newer one answers under the same ID.
	reasonRestarted = "executor restarted"
	// reasonReplaced and reasonHostReplaced are the reasons given when one with
	// another ID answers at its address or on its host.
	reasonReplaced     = "another executor answers at the address"
	reasonHostReplaced = "another executor answers on the host"
)

// isReplaced reports whether another incarnation answers in the place of one that
// ended for the reason.
func isReplaced(reason string) bool {
	return reason == reasonRestarted || reason == reasonReplaced || reason == reasonHostReplaced
}

// endSession concludes that an incarnation has ended, so that none of the runs that it
// has listed is active. The others may be held by the next incarnation under the same
// ID, unless another executor answers in its place: an order names the executor and not
// the incarnation, and so does an answer to a start.
func (m *Manager) endSession(s *session, reason string, now time.Time) {
	if s.ended {
		return
	}
	s.ended = true
	if isReplaced(reason) {
		s.cause = m.causeOfEnd(s, now)
	}
	if s.cause == endCrashed {
		m.settleSilence(s, true)
	}
	m.logEvent(Event{Kind: EventExecutorLeft, Executor: s.rec.ID, Incarnation: s.rec.Number, Pool: s.rec.Pool, Host: s.rec.Host, Reason: reason})
	m.pool(s.rec.Pool).removeSession(s)
	m.forgetForeign(s)
	for _, r := range s.sortedRuns(nil) {
		switch {
		case r.state == runProposed || r.state == runEnded:
		case reason == reasonReplaced || reason == reasonHostReplaced:
			m.concludeRun(r, jobs.ResultGone, proofReplaced, now)
		case r.isListed():
			m.concludeRun(r, jobs.ResultGone, proofIncarnationEnded, now)
		default:
			m.leaveUnsettled(r, now)
		}
	}
	m.removeIfEmpty(s)
}

func (m *Manager) newestNumber(id string) int {
	if e := m.state.ExecutorByID(id); e != nil {
		return e.Number
	}
	return 0
}

// removeIfEmpty proposes to remove an ended incarnation once it has no live
// run.
func (m *Manager) removeIfEmpty(s *session) {
	if !s.ended || len(s.runs) > 0 {
		return
	}
	if m.state.Executor(s.rec.Number) == nil {
		m.sessions.remove(s.rec.Number)
		return
	}
	m.propose(jobs.Command{RemoveExecutor: &jobs.RemoveExecutor{Executor: s.rec.Number}})
}

func (m *Manager) executorRemoved(number int) { m.sessions.remove(number) }

// sortedRuns returns the runs selected by isWanted, or all if it is nil. The
// order is fixed, so that equal inputs give equal outputs.
func (s *session) sortedRuns(isWanted func(*run) bool) []*run {
	var list []*run
	for _, r := range s.runs {
		if isWanted == nil || isWanted(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, compareRuns)
	return list
}

// stepSessions renews leases and detects executors that no longer answer.
func (m *Manager) stepSessions(now time.Time) {
	for _, s := range m.sessions.sorted {
		if s.ended {
			continue
		}
		if s.isLeaseExpired(m.cfg.MaxLease, now) {
			m.expireLease(s, now)
		}
		if m.isLost(s, now) {
			m.endSession(s, "silent", now)
			continue
		}
		m.holdIfDue(s, now)
		m.stopIfDue(s, now)
	}
}

// expireLease concludes that the runs of an executor ended when its lease
// expired.
func (m *Manager) expireLease(s *session, now time.Time) {
	for _, r := range s.sortedRuns(nil) {
		if r.state != runProposed && r.state != runEnded && !m.mayHoldAfterLease(r, now) {
			m.concludeRun(r, jobs.ResultLapsed, proofLeaseExpired, now)
		}
	}
}

// isLost reports whether an incarnation without runs has been silent for so
// long that it need not be called any more. It is registered again if it
// reports again.
func (m *Manager) isLost(s *session, now time.Time) bool {
	silenceLimit := max(lostAfterReports*m.cfg.ReportInterval, m.cfg.MaxLease)
	if len(s.lapsed) > 0 {
		silenceLimit = max(silenceLimit, maxCrashTime)
	}
	return len(s.runs) == 0 && s.failures > 0 && now.Sub(s.lastHeardAt) > silenceLimit
}

// maxCrashTime is the time for which a silent executor is kept if a task may have
// crashed it, so that its return shows whether it has. A crashed one is back after
// some seconds.
const maxCrashTime = 20 * time.Second

// lostAfterReports is the number of report intervals after which a silent
// executor without runs is dropped.
const lostAfterReports = 6

func (m *Manager) holdIfDue(s *session, now time.Time) {
	if s.holdPending || now.Before(s.nextHold) || s.proposedEnd > s.rec.RecordedEnd {
		return
	}
	m.hold(s, m.holdWait(s), now)
}

func (m *Manager) holdWait(s *session) time.Duration {
	switch {
	case !s.confirmed || s.failures > 0 || s.hasUncertainRun():
		return 0
	case s.suspects > 0:
		return suspectProvingTime
	case len(s.runs) == 0:
		return idleHoldWait
	case s.pacer.isActive:
		return pacedHoldWait
	default:
		return busyHoldWait
	}
}

// hasUncertainRun reports whether the state of some run can only be decided by
// the executor's lists.
func (s *session) hasUncertainRun() bool {
	for _, r := range s.runs {
		if r.state == runUncertain || r.state == runBlocked || r.state == runInherited {
			return true
		}
	}
	return false
}

// hold renews the lease of an executor and requests its lists. The lease of an
// executor that does not answer is not extended; otherwise its runs could never
// be concluded to have ended.
func (m *Manager) hold(s *session, wait time.Duration, now time.Time) {
	leaseUntil := int64(0)
	if len(s.runs) > 0 && s.failures == 0 {
		leaseUntil = s.grantLease(now, m.leaseLength())
	}
	// The executor discards its ends up to the acknowledged one. Unless this
	// incarnation has just answered, the order may reach another one, whose
	// ends use the same numbers.
	recordedEnd := int64(0)
	if s.confirmed && s.failures == 0 {
		recordedEnd = s.rec.RecordedEnd
	}
	s.holdPending, s.holdSentAt = true, now
	m.call(Call{
		Kind: CallHold, Timeout: wait + callTimeout, Address: s.rec.Address, Instance: s.rec.ID, Executor: s.rec.Number,
		LeaseUntil: leaseUntil, RecordedEnd: recordedEnd, MaxWait: wait,
	}, pendingCall{session: s}, now)
}

// leaseLength returns the length of a lease.
func (m *Manager) leaseLength() time.Duration {
	return time.Duration(leaseFraction * float64(m.cfg.MaxLease))
}

// holdAnswered processes the answer to a hold.
func (m *Manager) holdAnswered(s *session, o Outcome, sentAt, now time.Time) {
	if !sentAt.Equal(s.holdSentAt) {
		// A later hold was sent by holdNow; its answer is newer.
		if o.Verdict != OK {
			return
		}
	} else {
		s.holdPending = false
	}
	s.nextHold = now
	if !m.recordAnswer(s, o, now) {
		s.nextHold = now.Add(retryInterval)
		return
	}
	if !s.confirmed {
		s.confirm(now)
		m.endOthersOnHost(s, sentAt, now)
		m.requestPasses()
	} else if m.isContested(s.rec.Host) {
		m.endOthersOnHost(s, sentAt, now)
	}
	m.hostAnswers(s, sentAt, now)
	m.recordEnds(s, o.Ended, now)
	m.reconcileRuns(s, o, sentAt, now)
	s.hasListedAll = s.hasListedAll || o.isComplete()
}

// recordAnswer processes the part common to all answers of an executor and
// reports whether the order was carried out.
func (m *Manager) recordAnswer(s *session, o Outcome, now time.Time) bool {
	if s.ended {
		return false
	}
	switch o.Verdict {
	case NotPermitted:
		// This says nothing about the executor.
		return false
	case NoAnswer, NotSent:
		if s.failures == 0 && !m.hosts.get(s.rec.Host).away {
			m.logEvent(Event{Kind: EventExecutorSilent, Executor: s.rec.ID, Pool: s.rec.Pool, Reason: o.Verdict.String(), Age: now.Sub(s.lastHeardAt)})
		}
		if s.failures++; s.failures == 1 {
			s.failingSince = now
			s.disturbRuns()
			m.noteRackLoss(s)
		}
		return false
	case WrongInstance:
		m.endSession(s, reasonReplaced, now)
		return false
	default:
	}
	if o.StartedAt != s.rec.StartedAt && o.StartedAt > 0 && s.rec.StartedAt > 0 {
		// The start may be earlier if the host's clock was set back.
		m.endSession(s, reasonRestarted, now)
		return false
	}
	s.lastHeardAt, s.lastAnswerAt = now, now
	m.executorHeard(s, presenceAnswer, now)
	if o.StartedAt == s.rec.StartedAt {
		// An answer without a start may come from the next incarnation under the ID,
		// whose clock is another one.
		s.readClock(o.Clock, o.AnsweredAt)
		m.settleSilence(s, false)
	}
	if s.failures > 0 {
		s.failures, s.rackLost = 0, false
		m.logEvent(Event{Kind: EventExecutorAnswers, Executor: s.rec.ID, Pool: s.rec.Pool})
		m.requestPasses()
	}
	return o.Verdict == OK
}

// recordEnds proposes to record the ends that are not recorded yet.
func (m *Manager) recordEnds(s *session, ended []EndedRow, now time.Time) {
	slices.SortFunc(ended, func(a, b EndedRow) int { return cmp.Compare(a.Number, b.Number) })
	ended = slices.DeleteFunc(ended, func(e EndedRow) bool { return e.Number <= s.rec.RecordedEnd })
	for _, e := range ended[:min(len(ended), maxEndsListed)] {
		if e.Number <= s.proposedEnd {
			continue
		}
		s.proposedEnd = e.Number
		key := runKey{e.Task, e.Run}
		r := s.runs[key]
		if r == nil {
			r = m.adoptRun(s, key, now)
		}
		end := &jobs.EndRun{Task: e.Task, Run: e.Run, Executor: s.rec.Number, Result: e.How, Checkpoint: e.Saved, Number: e.Number}
		if r != nil {
			if r.hasSurvived() {
				end.Evidence = m.crashEvidence(r, e.How)
			}
			r.setState(runEnded, now)
		}
		m.propose(jobs.Command{EndRun: end})
	}
}

// reconcileRuns compares the runs that an executor lists with those it should
// have. A list says nothing about an order that was settled after the hold was
// sent.
func (m *Manager) reconcileRuns(s *session, o Outcome, sentAt, now time.Time) {
	listed := make(map[runKey]*RunningRow, len(o.Running))
	maps.DeleteFunc(s.orphanStops, func(_ runKey, next time.Time) bool { return !now.Before(next) })
	foreign := jobs.Resources{}
	m.forgetForeign(s)
	for i := range o.Running {
		row := &o.Running[i]
		key := runKey{row.Task, row.Run}
		listed[key] = row
		r := s.runs[key]
		if r == nil {
			r = m.adoptRun(s, key, now)
		}
		if r != nil {
			m.handleListedRun(r, row, now)
			continue
		}
		foreign = foreign.Plus(m.foreignAllocation(s, row.Task))
		m.countForeign(s, row.Task)
		if len(s.orphanStops) < maxOrphanStops {
			m.stopOrphan(s, key, now)
		}
	}
	s.foreign = foreign
	if o.isComplete() {
		for _, r := range s.sortedRuns(nil) {
			if listed[r.key] == nil && r.stateSince.Before(sentAt) {
				m.handleMissingRun(r, now)
			}
		}
	}
	m.stopStalledRuns(s, now)
	m.adjustPace(s, now)
}

// maxOrphanStops bounds the orphaned runs that an executor is ordered to stop within
// stopInterval. A list may name any number of runs, and every order takes a goroutine.
const maxOrphanStops = 256

// foreignAllocation returns what a listed run that the leader has no record of
// occupies. The demand of a job that has ended is not recorded any more: where the
// executor does not guard its capacity, it counts as full until the run has gone.
func (m *Manager) foreignAllocation(s *session, ref jobs.TaskRef) jobs.Resources {
	if _, step := m.state.Task(ref); step != nil {
		return step.Allocation()
	}
	if m.isUnguarded(s) {
		return s.rec.Capacity
	}
	return jobs.Resources{}
}

// handleListedRun updates a run from the executor's list.
func (m *Manager) handleListedRun(r *run, row *RunningRow, now time.Time) {
	if r.state == runInherited {
		r.markStarted(m.startedAt)
	}
	r.markStarted(now)
	r.markListed(now)
	switch r.state {
	case runOrdered, runUncertain, runInherited, runBlocked:
		r.setState(runActive, now)
	default:
	}
	if row.Saved != "" {
		r.checkpoint = row.Saved
	}
	if r.activeSince.IsZero() {
		r.activeSince, r.progressAt = now, now
	}
	if row.Percent != r.progress {
		r.progressAt = now
	}
	r.progress, r.load = row.Percent, row.Load
}

// maxEndsListed is the largest number of ends in one answer of an executor. It lists
// the others once these are acknowledged.
const maxEndsListed = 500

// isComplete reports whether the lists hold every run that is active or whose end is
// not acknowledged, so that they show which runs the executor does not have.
func (o *Outcome) isComplete() bool { return len(o.Ended) < maxEndsListed }

// handleMissingRun processes the absence of a run from the executor's complete lists.
func (m *Manager) handleMissingRun(r *run, now time.Time) {
	switch r.state {
	case runInherited, runBlocked:
		// Executors refuse the orders of earlier leaders once they have seen
		// this leader's token, and a blocked run cannot start.
		m.concludeRun(r, jobs.ResultNotStarted, proofAbsent, now)
	case runUncertain:
		m.orderStop(r, r.session, now)
	case runActive:
		m.concludeRun(r, jobs.ResultGone, proofAbsent, now)
	default:
	}
}

package manager

import (
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

// Hear takes what an executor says of itself. A report of a pool that is not
// configured may come from another writer and names no executor to use.
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
	if r.Sequence <= s.sequence {
		return
	}
	s.sequence, s.lastHeardAt = r.Sequence, now
	s.readClock(r.Clock, now)
	if r.Draining && !s.draining {
		s.draining = true
		m.requestPasses()
	}
	if next := r.executor(known.Number); hasChanged(known, &next) {
		m.propose(jobs.Command{RegisterExecutor: &jobs.RegisterExecutor{Executor: next}})
	}
}

// hearNew proposes the record of a life that is not known yet.
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

func (m *Manager) executorRegistered(j *jobs.RegisterExecutor, err *fault.Error, now time.Time) {
	if err != nil {
		return
	}
	if n := j.Executor.Number; n > 0 {
		m.executorChanged(m.sessions.get(n), m.state.Executor(n))
		return
	}
	e := m.state.ExecutorByID(j.Executor.ID)
	delete(m.registering, e.ID)
	if m.sessions.get(e.Number) != nil {
		return
	}
	m.logEvent(Event{Kind: EventExecutorJoined, Executor: e.ID, Pool: e.Pool, Host: e.Host, Reason: e.Address})
	s := m.addSession(e, now)
	for _, old := range slices.Clone(m.sessions.sorted) {
		if old != s && old.rec.ID == e.ID {
			m.endSession(old, reasonRestarted, now)
		}
	}
	m.hostReturned(e, now)
	m.requestPasses()
}

// changed takes a new description of a life that is known.
func (m *Manager) executorChanged(s *session, e *jobs.Executor) {
	if s == nil || e == nil {
		return
	}
	if s.rec.Pool != e.Pool {
		m.pool(s.rec.Pool).removeSession(s)
		m.pool(e.Pool).addSession(s)
	}
	m.sessions.updateRecord(s, e)
	s.draining = e.Draining
}

// reborn is the reason for the end of a life after which another one answers
// under the same ID.
const reasonRestarted = "the executor was born again"

// endLife concludes that a life is over: none of its runs works any more. An
// order that may still be on its way names the executor and not the life, so
// after a rebirth such runs wait for the first answer of the new life.
func (m *Manager) endSession(s *session, reason string, now time.Time) {
	if s.ended {
		return
	}
	s.ended = true
	m.logEvent(Event{Kind: EventExecutorLeft, Executor: s.rec.ID, Pool: s.rec.Pool, Host: s.rec.Host, Reason: reason})
	m.pool(s.rec.Pool).removeSession(s)
	for _, r := range s.sortedRuns(nil) {
		if reason == reasonRestarted && (r.state == runOrdered || r.state == runUncertain || r.state == runInherited) {
			r.setState(runUncertain, now)
			m.unsettledRuns = append(m.unsettledRuns, r)
			continue
		}
		m.concludeRun(r, jobs.ResultGone, now)
	}
	m.removeIfEmpty(s)
}

// lateOrder is the longest time after which an unanswered order is still
// carried out. The platform's pages speak of seconds; its kinds of trouble name
// 12 s at most.
const maxOrderDelay = 15 * time.Second

// stepStrays concludes the runs of ended lives. The next life refuses their
// orders once it has answered this leader; what it runs of them by then was
// taken over.
func (m *Manager) stepUnsettledRuns(now time.Time) {
	var left []*run
	for _, r := range m.unsettledRuns {
		next := m.sessions.get(m.newestNumber(r.session.rec.ID))
		switch {
		case r.state != runUncertain:
		case next != nil && next != r.session && next.confirmed || now.Sub(r.stateSince) > maxOrderDelay:
			m.concludeRun(r, jobs.ResultGone, now)
		default:
			left = append(left, r)
		}
	}
	m.unsettledRuns = left
}

// takeOver moves a run of an ended life to the life that runs it, and tells
// whether there was one.
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
	m.removeIfEmpty(old)
	return r
}

func (m *Manager) newestNumber(id string) int {
	if e := m.state.ExecutorByID(id); e != nil {
		return e.Number
	}
	return 0
}

// leaveIfEmpty records that a life is over once no run of it is live.
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

// sortedRuns returns the runs that are wanted in a fixed order, so that equal
// inputs give equal outputs; nil wants all.
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

// stepContacts renews leases and draws conclusions from silence.
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

// lapse concludes that what an executor ran has ended with its lease.
func (m *Manager) expireLease(s *session, now time.Time) {
	for _, r := range s.sortedRuns(nil) {
		if r.state != runProposed && r.state != runEnded {
			m.concludeRun(r, jobs.ResultLapsed, now)
		}
	}
}

// isLost tells whether a life without runs has been silent for so long that it
// need not be called any more. It is recorded anew if it reports again.
func (m *Manager) isLost(s *session, now time.Time) bool {
	silent := time.Duration(lostAfterReports * float64(m.cfg.ReportInterval))
	return len(s.runs) == 0 && s.failures > 0 && now.Sub(s.lastHeardAt) > max(silent, m.cfg.MaxLease)
}

// lostReports is the number of report intervals after which a silent executor
// without runs is dropped.
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
	case len(s.runs) == 0:
		return idleHoldWait
	case s.pacer.isActive:
		return pacedHoldWait
	default:
		return busyHoldWait
	}
}

// hasUncertain tells whether the lists of the executor are wanted at once.
func (s *session) hasUncertainRun() bool {
	for _, r := range s.runs {
		if r.state == runUncertain || r.state == runBlocked || r.state == runInherited {
			return true
		}
	}
	return false
}

// hold renews the lease of an executor and asks for its lists. One that gives no
// answer gets no longer lease: its runs could otherwise never be concluded to
// have ended.
func (m *Manager) hold(s *session, wait time.Duration, now time.Time) {
	until := int64(0)
	if len(s.runs) > 0 && s.failures == 0 {
		until = s.grantLease(now, m.leaseLength())
	}
	// The executor forgets the ends up to the one that is seen. Unless this life
	// has just answered, another one may take the order, whose ends have the same
	// numbers.
	seen := int64(0)
	if s.confirmed && s.failures == 0 {
		seen = s.rec.RecordedEnd
	}
	s.holdPending, s.holdSentAt = true, now
	m.call(Call{
		Kind: CallHold, Timeout: wait + callTimeout, Address: s.rec.Address, Instance: s.rec.ID, Executor: s.rec.Number,
		LeaseUntil: until, RecordedEnd: seen, MaxWait: wait,
	}, pendingCall{session: s}, now)
}

// lease is the length of a lease.
func (m *Manager) leaseLength() time.Duration {
	return time.Duration(leaseFraction * float64(m.cfg.MaxLease))
}

// held takes the answer to a hold.
func (m *Manager) holdAnswered(s *session, o Outcome, sentAt, now time.Time) {
	if !sentAt.Equal(s.holdSentAt) {
		// An extra look was sent after this one; its answer is newer.
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
		s.confirm()
		m.requestPasses()
	}
	m.recordEnds(s, o.Ended, now)
	m.reconcileRuns(s, o, sentAt, now)
}

// answered takes what every answer of an executor tells, and returns whether it
// carried out the order.
func (m *Manager) recordAnswer(s *session, o Outcome, now time.Time) bool {
	if s.ended {
		return false
	}
	switch o.Verdict {
	case NoAnswer, NotSent:
		if s.failures == 0 && !m.hosts.get(s.rec.Host).away {
			m.logEvent(Event{Kind: EventExecutorSilent, Executor: s.rec.ID, Pool: s.rec.Pool, Reason: o.Verdict.String(), Age: now.Sub(s.lastHeardAt)})
		}
		s.failures++
		return false
	case WrongInstance:
		m.endSession(s, "another executor answers at its address", now)
		return false
	default:
	}
	if o.StartedAt > s.rec.StartedAt && s.rec.StartedAt > 0 {
		m.endSession(s, reasonRestarted, now)
		return false
	}
	s.readClock(o.Clock, o.AnsweredAt)
	s.lastHeardAt = now
	if s.failures > 0 {
		s.failures = 0
		m.logEvent(Event{Kind: EventExecutorAnswers, Executor: s.rec.ID, Pool: s.rec.Pool})
		m.requestPasses()
	}
	return o.Verdict == OK
}

// takeEnds proposes the records of ends that are news.
func (m *Manager) recordEnds(s *session, ended []EndedRow, now time.Time) {
	slices.SortFunc(ended, func(a, b EndedRow) int { return int(a.Number - b.Number) })
	for _, e := range ended {
		if e.Number <= s.rec.RecordedEnd || e.Number <= s.proposedEnd {
			continue
		}
		s.proposedEnd = e.Number
		key := runKey{e.Task, e.Run}
		r := s.runs[key]
		if r == nil {
			r = m.adoptRun(s, key, now)
		}
		m.propose(jobs.Command{EndRun: &jobs.EndRun{Task: e.Task, Run: e.Run, Executor: s.rec.Number, Result: e.How, Checkpoint: e.Saved, Number: e.Number}})
		if r != nil {
			r.setState(runEnded, now)
		}
	}
}

// takeRunning compares what an executor runs with what it should run. Only
// answers to a hold that was sent after an order was settled tell anything about
// that order.
func (m *Manager) reconcileRuns(s *session, o Outcome, sentAt, now time.Time) {
	listed := make(map[runKey]*RunningRow, len(o.Running))
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
		} else {
			m.stopOrphan(s, key, now)
		}
	}
	for _, r := range s.sortedRuns(nil) {
		if listed[r.key] == nil && r.stateSince.Before(sentAt) {
			m.handleMissingRun(r, len(o.Ended) >= maxEndsListed, now)
		}
	}
	m.stopStalledRuns(s, now)
	m.pacePerTails(s, now)
}

// seenRunning takes the row of a run.
func (m *Manager) handleListedRun(r *run, row *RunningRow, now time.Time) {
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

// maxEndsListed is the number of ends that an executor lists at once.
const maxEndsListed = 500

// seenAbsent draws the conclusion from a list without a run. A list of ends that
// is cut short may lack the run's end.
func (m *Manager) handleMissingRun(r *run, cutShort bool, now time.Time) {
	switch r.state {
	case runInherited, runBlocked:
		// The token of this leader keeps out what earlier ones ordered, and a
		// blocked run cannot start.
		m.concludeRun(r, jobs.ResultNotStarted, now)
	case runUncertain:
		m.orderStop(r, r.session, now)
	case runActive:
		if !cutShort {
			m.concludeRun(r, jobs.ResultGone, now)
		}
	default:
	}
}

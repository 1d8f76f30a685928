package manager

import (
	"slices"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
)

func (m *Manager) addContact(e *jobs.Executor, now time.Time) *contact {
	c := &contact{ex: e, runs: map[runKey]*run{}, draining: e.Draining, knownSince: now, heardAt: now, proposedEnd: e.RecordedEnd}
	m.contacts.add(c)
	m.pool(e.Pool).add(c)
	return c
}

// Hear takes what an executor says of itself. A report of a pool that is not
// configured may come from another writer and names no executor to use.
func (m *Manager) HandleReport(r Report, now time.Time) {
	if c := m.st.Config(); !r.Leaving && (c == nil || c.Pool(r.Pool) == nil) {
		return
	}
	known := m.st.ExecutorByID(r.ID)
	if known != nil && r.StartedAt < known.StartedAt {
		return
	}
	if known == nil || r.StartedAt > known.StartedAt {
		m.hearNew(r)
		return
	}
	c := m.contacts.get(known.Number)
	if c == nil || c.over {
		return
	}
	if r.Leaving {
		m.endLife(c, "deregistered", now)
		return
	}
	if r.Sequence <= c.sequence {
		return
	}
	c.sequence, c.heardAt = r.Sequence, now
	c.mark(r.Clock, now)
	if r.Draining && !c.draining {
		c.draining = true
		m.wakePools()
	}
	if next := r.executor(known.Number); isChanged(known, &next) {
		m.propose(jobs.Command{RegisterExecutor: &jobs.RegisterExecutor{Executor: next}})
	}
}

// hearNew proposes the record of a life that is not known yet.
func (m *Manager) hearNew(r Report) {
	if r.Leaving || m.joining[r.ID] >= max(r.StartedAt, 1) {
		return
	}
	m.joining[r.ID] = max(r.StartedAt, 1)
	m.propose(jobs.Command{RegisterExecutor: &jobs.RegisterExecutor{Executor: r.executor(0)}})
}

func (r *Report) executor(number int) jobs.Executor {
	return jobs.Executor{
		Number: number, ID: r.ID, StartedAt: r.StartedAt, Host: r.Host, Pool: r.Pool, Zone: r.Zone, Rack: r.Rack,
		Address: r.Address, Labels: r.Labels, Capacity: r.Capacity, Draining: r.Draining,
	}
}

func isChanged(a, b *jobs.Executor) bool {
	return a.Pool != b.Pool || a.Address != b.Address || a.Capacity != b.Capacity || a.Draining != b.Draining ||
		a.Host != b.Host || !slices.Equal(a.Labels, b.Labels)
}

func (m *Manager) joined(j *jobs.RegisterExecutor, err *fault.Error, now time.Time) {
	if err != nil {
		return
	}
	if n := j.Executor.Number; n > 0 {
		m.changed(m.contacts.get(n), m.st.Executor(n))
		return
	}
	e := m.st.ExecutorByID(j.Executor.ID)
	delete(m.joining, e.ID)
	if m.contacts.get(e.Number) != nil {
		return
	}
	m.note(Event{Kind: EventExecutorJoined, Executor: e.ID, Pool: e.Pool, Host: e.Host, Reason: e.Address})
	c := m.addContact(e, now)
	for _, old := range slices.Clone(m.contacts.sorted) {
		if old != c && old.ex.ID == e.ID {
			m.endLife(old, reborn, now)
		}
	}
	m.hostJoined(e, now)
	m.wakePools()
}

// changed takes a new description of a life that is known.
func (m *Manager) changed(c *contact, e *jobs.Executor) {
	if c == nil || e == nil {
		return
	}
	if c.ex.Pool != e.Pool {
		m.pool(c.ex.Pool).drop(c)
		m.pool(e.Pool).add(c)
	}
	m.contacts.describe(c, e)
	c.draining = e.Draining
}

// reborn is the reason for the end of a life after which another one answers
// under the same ID.
const reborn = "the executor was born again"

// endLife concludes that a life is over: none of its runs works any more. An
// order that may still be on its way names the executor and not the life, so
// after a rebirth such runs wait for the first answer of the new life.
func (m *Manager) endLife(c *contact, why string, now time.Time) {
	if c.over {
		return
	}
	c.over = true
	m.note(Event{Kind: EventExecutorLeft, Executor: c.ex.ID, Pool: c.ex.Pool, Host: c.ex.Host, Reason: why})
	m.pool(c.ex.Pool).drop(c)
	for _, r := range c.sortedRuns(nil) {
		if why == reborn && (r.state == runOrdered || r.state == runDoubtful || r.state == runInherited) {
			r.enter(runDoubtful, now)
			m.strays = append(m.strays, r)
			continue
		}
		m.conclude(r, jobs.ResultGone, now)
	}
	m.leaveIfEmpty(c)
}

// lateOrder is the longest time after which an unanswered order is still
// carried out. The platform's pages speak of seconds; its kinds of trouble name
// 12 s at most.
const lateOrder = 15 * time.Second

// stepStrays concludes the runs of ended lives. The next life refuses their
// orders once it has answered this leader; what it runs of them by then was
// taken over.
func (m *Manager) stepStrays(now time.Time) {
	var left []*run
	for _, r := range m.strays {
		next := m.contacts.get(m.numberOf(r.at.ex.ID))
		switch {
		case r.state != runDoubtful:
		case next != nil && next != r.at && next.confirmed || now.Sub(r.since) > lateOrder:
			m.conclude(r, jobs.ResultGone, now)
		default:
			left = append(left, r)
		}
	}
	m.strays = left
}

// takeOver moves a run of an ended life to the life that runs it, and tells
// whether there was one.
func (m *Manager) takeOver(c *contact, key runKey, now time.Time) *run {
	r := m.runs[key]
	if r == nil || r.state != runDoubtful || !r.at.over || r.at.ex.ID != c.ex.ID {
		return nil
	}
	old := r.at
	old.remove(r)
	r.at = c
	c.add(r)
	r.enter(runWorking, now)
	m.leaveIfEmpty(old)
	return r
}

func (m *Manager) numberOf(id string) int {
	if e := m.st.ExecutorByID(id); e != nil {
		return e.Number
	}
	return 0
}

// leaveIfEmpty records that a life is over once no run of it is live.
func (m *Manager) leaveIfEmpty(c *contact) {
	if !c.over || len(c.runs) > 0 {
		return
	}
	if m.st.Executor(c.ex.Number) == nil {
		m.contacts.remove(c.ex.Number)
		return
	}
	m.propose(jobs.Command{RemoveExecutor: &jobs.RemoveExecutor{Executor: c.ex.Number}})
}

func (m *Manager) left(number int) { m.contacts.remove(number) }

// sortedRuns returns the runs that are wanted in a fixed order, so that equal
// inputs give equal outputs; nil wants all.
func (c *contact) sortedRuns(isWanted func(*run) bool) []*run {
	var list []*run
	for _, r := range c.runs {
		if isWanted == nil || isWanted(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, compareRuns)
	return list
}

// stepContacts renews leases and draws conclusions from silence.
func (m *Manager) stepContacts(now time.Time) {
	for _, c := range m.contacts.sorted {
		if c.over {
			continue
		}
		if c.hasLapsed(m.cfg.MaxLease, now) {
			m.lapse(c, now)
		}
		if m.isLost(c, now) {
			m.endLife(c, "silent", now)
			continue
		}
		m.holdIfDue(c, now)
		m.stopIfDue(c, now)
	}
}

// lapse concludes that what an executor ran has ended with its lease.
func (m *Manager) lapse(c *contact, now time.Time) {
	for _, r := range c.sortedRuns(nil) {
		if r.state != runProposed && r.state != runEnded {
			m.conclude(r, jobs.ResultLapsed, now)
		}
	}
}

// isLost tells whether a life without runs has been silent for so long that it
// need not be called any more. It is recorded anew if it reports again.
func (m *Manager) isLost(c *contact, now time.Time) bool {
	silent := time.Duration(lostReports * float64(m.cfg.ReportInterval))
	return len(c.runs) == 0 && c.failures > 0 && now.Sub(c.heardAt) > max(silent, m.cfg.MaxLease)
}

// lostReports is the number of report intervals after which a silent executor
// without runs is dropped.
const lostReports = 6

func (m *Manager) holdIfDue(c *contact, now time.Time) {
	if c.holding || now.Before(c.nextHold) || c.proposedEnd > c.ex.RecordedEnd {
		return
	}
	m.hold(c, m.holdWait(c), now)
}

func (m *Manager) holdWait(c *contact) time.Duration {
	switch {
	case !c.confirmed || c.failures > 0 || c.hasUncertain():
		return 0
	case len(c.runs) == 0:
		return idleWait
	case c.tails.isActive:
		return tailWait
	default:
		return holdWait
	}
}

// hasUncertain tells whether the lists of the executor are wanted at once.
func (c *contact) hasUncertain() bool {
	for _, r := range c.runs {
		if r.state == runDoubtful || r.state == runBlocked || r.state == runInherited {
			return true
		}
	}
	return false
}

// hold renews the lease of an executor and asks for its lists. One that gives no
// answer gets no longer lease: its runs could otherwise never be concluded to
// have ended.
func (m *Manager) hold(c *contact, wait time.Duration, now time.Time) {
	until := int64(0)
	if len(c.runs) > 0 && c.failures == 0 {
		until = c.leaseFor(now, m.lease())
	}
	// The executor forgets the ends up to the one that is seen. Unless this life
	// has just answered, another one may take the order, whose ends have the same
	// numbers.
	seen := int64(0)
	if c.confirmed && c.failures == 0 {
		seen = c.ex.RecordedEnd
	}
	c.holding, c.holdAt = true, now
	m.call(Call{
		Kind: CallHold, Timeout: wait + callTimeout, Address: c.ex.Address, Instance: c.ex.ID, Executor: c.ex.Number,
		LeaseUntil: until, RecordedEnd: seen, MaxWait: wait,
	}, pendingCall{contact: c}, now)
}

// lease is the length of a lease.
func (m *Manager) lease() time.Duration {
	return time.Duration(leaseShare * float64(m.cfg.MaxLease))
}

// held takes the answer to a hold.
func (m *Manager) held(c *contact, o Outcome, sentAt, now time.Time) {
	if !sentAt.Equal(c.holdAt) {
		// An extra look was sent after this one; its answer is newer.
		if o.Verdict != OK {
			return
		}
	} else {
		c.holding = false
	}
	c.nextHold = now
	if !m.answered(c, o, now) {
		c.nextHold = now.Add(retryPause)
		return
	}
	if !c.confirmed {
		c.confirm()
		m.wakePools()
	}
	m.takeEnds(c, o.Ended, now)
	m.takeRunning(c, o, sentAt, now)
}

// answered takes what every answer of an executor tells, and returns whether it
// carried out the order.
func (m *Manager) answered(c *contact, o Outcome, now time.Time) bool {
	if c.over {
		return false
	}
	switch o.Verdict {
	case NoAnswer, NotSent:
		if c.failures == 0 && !m.hosts.get(c.ex.Host).away {
			m.note(Event{Kind: EventExecutorSilent, Executor: c.ex.ID, Pool: c.ex.Pool, Reason: o.Verdict.String(), Age: now.Sub(c.heardAt)})
		}
		c.failures++
		return false
	case WrongInstance:
		m.endLife(c, "another executor answers at its address", now)
		return false
	default:
	}
	if o.StartedAt > c.ex.StartedAt && c.ex.StartedAt > 0 {
		m.endLife(c, reborn, now)
		return false
	}
	c.mark(o.Clock, o.AnsweredAt)
	c.heardAt = now
	if c.failures > 0 {
		c.failures = 0
		m.note(Event{Kind: EventExecutorAnswers, Executor: c.ex.ID, Pool: c.ex.Pool})
		m.wakePools()
	}
	return o.Verdict == OK
}

// takeEnds proposes the records of ends that are news.
func (m *Manager) takeEnds(c *contact, ended []EndedRow, now time.Time) {
	slices.SortFunc(ended, func(a, b EndedRow) int { return int(a.Number - b.Number) })
	for _, e := range ended {
		if e.Number <= c.ex.RecordedEnd || e.Number <= c.proposedEnd {
			continue
		}
		c.proposedEnd = e.Number
		key := runKey{e.Task, e.Run}
		r := c.runs[key]
		if r == nil {
			r = m.takeOver(c, key, now)
		}
		m.propose(jobs.Command{EndRun: &jobs.EndRun{Task: e.Task, Run: e.Run, Executor: c.ex.Number, Result: e.How, Checkpoint: e.Saved, Number: e.Number}})
		if r != nil {
			r.enter(runEnded, now)
		}
	}
}

// takeRunning compares what an executor runs with what it should run. Only
// answers to a hold that was sent after an order was settled tell anything about
// that order.
func (m *Manager) takeRunning(c *contact, o Outcome, sentAt, now time.Time) {
	listed := make(map[runKey]*RunningRow, len(o.Running))
	for i := range o.Running {
		row := &o.Running[i]
		key := runKey{row.Task, row.Run}
		listed[key] = row
		r := c.runs[key]
		if r == nil {
			r = m.takeOver(c, key, now)
		}
		if r != nil {
			m.seenRunning(r, row, now)
		} else {
			m.stopStray(c, key, now)
		}
	}
	for _, r := range c.sortedRuns(nil) {
		if listed[r.key] == nil && r.since.Before(sentAt) {
			m.seenAbsent(r, len(o.Ended) >= maxEndsListed, now)
		}
	}
	m.watchProgress(c, now)
	m.watchTails(c, now)
}

// seenRunning takes the row of a run.
func (m *Manager) seenRunning(r *run, row *RunningRow, now time.Time) {
	switch r.state {
	case runOrdered, runDoubtful, runInherited, runBlocked:
		r.enter(runWorking, now)
	default:
	}
	if row.Saved != "" {
		r.saved = row.Saved
	}
	if r.began.IsZero() {
		r.began, r.progressAt = now, now
	}
	if row.Percent != r.percent {
		r.progressAt = now
	}
	r.percent, r.load = row.Percent, row.Load
}

// maxEndsListed is the number of ends that an executor lists at once.
const maxEndsListed = 500

// seenAbsent draws the conclusion from a list without a run. A list of ends that
// is cut short may lack the run's end.
func (m *Manager) seenAbsent(r *run, cutShort bool, now time.Time) {
	switch r.state {
	case runInherited, runBlocked:
		// The token of this leader keeps out what earlier ones ordered, and a
		// blocked run cannot start.
		m.conclude(r, jobs.ResultNotStarted, now)
	case runDoubtful:
		m.orderStop(r, r.at, now)
	case runWorking:
		if !cutShort {
			m.conclude(r, jobs.ResultGone, now)
		}
	default:
	}
}

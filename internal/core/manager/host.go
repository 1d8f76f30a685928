package manager

import (
	"slices"
	"time"

	"laburnumdock/internal/core/jobs"
)

// plannedAction is the planned action that an executor is reserved for.
type plannedAction uint8

const (
	actionNone plannedAction = iota
	actionUpkeep
	actionMove
)

// host is the leader's view of a host. Invariant: away is set before an order
// that takes the host away is sent, and cleared once the host is certainly
// back.
type host struct {
	name string
	away bool
	// changedAt is when away was last set, confirmed or cleared.
	changedAt time.Time
	// orderedAt is when the newest order that takes the host away was sent, and
	// evictedAt the same unless it certainly had no effect.
	orderedAt time.Time
	evictedAt time.Time
	// orderPending is set while an order has no outcome. nextOrder is the
	// earliest time for the next one.
	orderPending bool
	nextOrder    time.Time
	// endsExecutor is the number of the newest incarnation that the order under way ends
	// for certain: the one on the host when the first of the equal orders was given, or
	// 0. An answer that the operation is done may be about the first one.
	endsExecutor int
	// mayBeDone is set while the order or an equal one before it has no known outcome
	// and may have been carried out.
	mayBeDone bool
	// queued is the order that is sent once its record is applied, or nil.
	queued *queuedOrder
	// inherited is the recent order of an earlier leader, which may still be under
	// way, or nil.
	inherited *jobs.HostOrder
	// pool is the pool that the host belongs to, and target the pool it is
	// moving to.
	pool   string
	target string
	// wave is the wave whose upkeep keeps the host away, or 0.
	wave int64
	// listed is the host's row in the newest listing that contains it.
	listed   HostRow
	listedAt time.Time
	// heardAt is when an executor on the host last reported or answered.
	heardAt time.Time
	// presence is the newest evidence that the host exists.
	presence presence
	// absences counts the listings in a row that lack the host and began after the
	// presence, the first of them at absentSince.
	absences    int
	absentSince time.Time
	// removedAt is the time of the proof that the host has been removed from the platform
	// since the presence, or zero.
	removedAt time.Time
}

// queuedOrder is an order for a host with its context.
type queuedOrder struct {
	call    Call
	pending pendingCall
}

// hostReturned marks the host of a new executor incarnation as back. An
// incarnation that is recorded after an order, but sooner than the move or
// upkeep takes, is the one that the order ends.
func (m *Manager) hostReturned(rec *jobs.Executor, now time.Time) {
	if rec.Host == "" {
		return
	}
	h := m.hosts.get(rec.Host)
	h.pool, h.heardAt = rec.Pool, now
	h.exists(presenceReport, now)
	if h.away && now.Sub(h.orderedAt) >= m.minAway(h) {
		h.away, h.changedAt, h.target, h.wave = false, now, "", 0
	}
}

// minAway returns the time that the order under way keeps the host away.
func (m *Manager) minAway(h *host) time.Duration {
	if h.wave != 0 {
		return m.cfg.UpkeepTime
	}
	return m.cfg.MoveTime
}

const (
	// hostCallTimeout bounds a call to the platform, which may be slow.
	hostCallTimeout = 2 * time.Second
	// settleInterval is the time between two checks for orders that have settled. The
	// records are read only after a change of leader.
	settleInterval = 500 * time.Millisecond
	// hostOrderInterval is the time between two equal orders for one host.
	hostOrderInterval = 500 * time.Millisecond
)

// mayOrderHost reports whether this leader may give an order for a host. Orders
// of two leaders for one host must be at least HostLease apart. An earlier leader
// has recorded every order before it sent it, so only hosts with such a record
// have to wait. The age of the host's executor incarnation shows nothing about the order:
// one that is older than HostLease has not been ended yet, and the order may still be
// under way.
func (m *Manager) mayOrderHost(name string, now time.Time) bool {
	h := m.hosts.byName[name]
	return h == nil || !m.mayBeUnderWay(h, now)
}

// mayBeUnderWay reports whether an order of an earlier leader for the host may not
// have taken effect yet.
func (m *Manager) mayBeUnderWay(h *host, now time.Time) bool {
	return h.inherited != nil && now.Sub(m.startedAt) < m.cfg.HostLease
}

// newestNumberOn returns the number of the newest incarnation on a host, or 0.
func (m *Manager) newestNumberOn(name string) int {
	if s := m.sessionOn(name); s != nil {
		return s.rec.Number
	}
	return 0
}

// orderHost queues an order for a host until its record is applied. The host counts
// as away from now on.
func (m *Manager) orderHost(h *host, c Call, now time.Time) {
	h.away, h.changedAt, h.orderedAt, h.orderPending = true, now, now, true
	c.Timeout, c.Host = hostCallTimeout, h.name
	h.queued = &queuedOrder{call: c, pending: pendingCall{host: h.name, pool: c.Pool, wave: c.Wave}}
	m.hosts.unrecorded = append(m.hosts.unrecorded, jobs.HostOrder{Host: h.name, Wave: c.Wave, Executor: h.endsExecutor})
}

// recordHostOrders proposes the record of the queued orders. From time to time it
// also proposes to remove the records of orders that have settled.
func (m *Manager) recordHostOrders(now time.Time) {
	record := jobs.RecordHostOrders{Term: m.term, Orders: m.hosts.unrecorded}
	m.hosts.unrecorded = nil
	if now.Sub(m.hosts.settledAt) >= settleInterval {
		m.hosts.settledAt = now
		record.Settled = m.settledHosts(now)
	}
	if len(record.Orders)+len(record.Settled) > 0 {
		m.propose(jobs.Command{RecordHostOrders: &record})
	}
}

// settledHosts returns the recorded hosts that any leader may order now. While the upkeep
// of a host is pending, the record tells the next leader which incarnation an order that
// may have been carried out has ended.
func (m *Manager) settledHosts(now time.Time) []string {
	var settled []string
	for _, o := range m.state.HostOrders() {
		h := m.hosts.get(o.Host)
		if w := m.waves[o.Wave]; w != nil && w.isPending[o.Host] {
			continue
		}
		if !h.orderPending && now.Sub(m.startedAt) >= m.cfg.HostLease && now.Sub(h.orderedAt) >= m.cfg.HostLease {
			settled = append(settled, o.Host)
		}
	}
	return settled
}

// hostOrdersRecorded sends the queued orders of a record that was applied.
func (m *Manager) hostOrdersRecorded(r *jobs.RecordHostOrders, now time.Time) {
	for _, o := range r.Orders {
		h := m.hosts.get(o.Host)
		if r.Term != m.term {
			h.inherited = &o
			continue
		}
		if h.queued == nil {
			continue
		}
		order := *h.queued
		h.queued, h.changedAt, h.orderedAt, h.evictedAt = nil, now, now, now
		m.call(order.call, order.pending, now)
	}
}

// hostOrderDone processes the answer that an order for a host is done. It ends the
// incarnation that the first of the equal orders was given for. A later one may have
// started after that order or may be ended by a repeated one: it shows by its next answer
// that the host is back.
func (m *Manager) hostOrderDone(h *host, reason string, now time.Time) {
	h.changedAt, h.mayBeDone = now, false
	s := m.sessionOn(h.name)
	if s == nil {
		return
	}
	if s.rec.Number <= h.endsExecutor {
		m.endSession(s, reason, now)
		return
	}
	if s.reservedFor != actionNone {
		m.releaseReservation(s)
	}
	m.holdNow(s, now)
}

// hostAnswers marks the host of an executor as back that has answered a call which was
// sent after the last order for the host was answered, and that the order does not end.
// An order without an answer may have been under way for as long as it keeps a host away.
func (m *Manager) hostAnswers(s *session, sentAt, now time.Time) {
	h := m.hosts.byName[s.rec.Host]
	if h == nil || !h.away || h.orderPending || s.rec.Number <= h.endsExecutor || !sentAt.After(h.changedAt) {
		return
	}
	if h.mayBeDone && now.Sub(h.orderedAt) < m.minAway(h) {
		return
	}
	h.away, h.changedAt, h.target, h.wave, h.pool = false, now, "", 0, s.rec.Pool
	if !h.mayBeDone {
		h.evictedAt = time.Time{}
	}
	m.pool(s.rec.Pool).requestPass()
}

// executorHeard notes a report or an answer of the executor on a host. A host that is not
// away belongs to the pool that its executor serves, whatever an older listing says.
func (m *Manager) executorHeard(s *session, source presenceSource, now time.Time) {
	if s.rec.Host == "" {
		return
	}
	h := m.hosts.get(s.rec.Host)
	h.heardAt = now
	h.exists(source, now)
	if !h.away {
		h.pool = s.rec.Pool
	}
}

// mayBeEvicted reports whether an order for the executor's host may end it at any moment.
func (m *Manager) mayBeEvicted(s *session) bool {
	h := m.hosts.byName[s.rec.Host]
	return h != nil && (h.orderPending || h.away)
}

// isContested reports whether the newest executor on a host has not answered yet while
// another one is not known to have ended. The report of the newest may have been held up,
// so that the other one has the work. The next answer of the one that runs ends the others.
func (m *Manager) isContested(name string) bool {
	newest := m.sessionOn(name)
	if name == "" || newest == nil || newest.confirmed {
		return false
	}
	return slices.ContainsFunc(m.sessions.byHost[name], func(s *session) bool { return s != newest && !s.ended })
}

// sessionOn returns the session of the newest incarnation on a host, or nil.
func (m *Manager) sessionOn(name string) *session { return m.sessions.newestOn(name) }

// mayInterrupt reports whether a planned action may end a long-running task:
// fewer other tasks of its step are unavailable than the step allows.
func (m *Manager) mayInterrupt(r *run) bool {
	return r.step.MaxUnavailable == 0 || m.countUnavailable(r) < r.step.MaxUnavailable
}

// countUnavailable counts the other tasks of the run's step that are not known
// to be available.
func (m *Manager) countUnavailable(run *run) int {
	t := run.key.task
	available := 0
	for _, r := range run.job.runs {
		if r != run && r.key.task.Occurrence == t.Occurrence && r.key.task.Step == t.Step && r.isAvailable() {
			available++
		}
	}
	return len(run.job.tasks[t.Occurrence][t.Step]) - 1 - available
}

// isAvailable reports whether the run of a long-running task is, as far as
// known, active and healthy.
func (r *run) isAvailable() bool {
	return r.state == runActive && !r.stopWanted && r.progress >= fullPercent && r.session.failures == 0 && !r.session.draining
}

// evictRuns stops the runs on an executor that is reserved for a planned action
// and reports whether none is left. Long-running tasks are stopped as soon as
// their steps allow it, other runs only if force is set.
func (m *Manager) evictRuns(s *session, force bool, now time.Time) bool {
	if len(s.runs) == 0 {
		return true
	}
	for _, r := range s.sortedRuns(nil) {
		if r.step.LongRunning && !r.stopWanted && m.mayInterrupt(r) || !r.step.LongRunning && force {
			r.requestStop()
		}
	}
	m.stopIfDue(s, now)
	return false
}

// releaseReservation cancels a reservation whose action was not carried out.
func (m *Manager) releaseReservation(s *session) {
	s.reservedFor = actionNone
	m.pool(s.rec.Pool).requestPass()
}

package manager

import (
	"time"

	"laburnumdock/internal/core/jobs"
)

// plan names the planned action that an executor is emptied for.
type plannedAction uint8

const (
	actionNone plannedAction = iota
	actionUpkeep
	actionMove
)

// host is the leader's view of a host. Invariant: away is set before an order
// that takes the host away is sent, and cleared once it is certainly back.
type host struct {
	name      string
	away      bool
	changedAt time.Time
	// orderedAt is when the newest order that takes the host away was sent.
	orderedAt time.Time
	// order tells that an order is on its way, again when it may be repeated.
	orderPending bool
	nextOrder    time.Time
	// pool is where the host belongs, and target where it is moving.
	pool   string
	target string
	// wave is the wave for which the host is away, or 0.
	wave int64
	// listed is the row of the newest list.
	listed   HostRow
	listedAt time.Time
}

// hostBook holds the hosts and the reading of the platform's list.
type hostInventory struct {
	byName        map[string]*host
	listPending   bool
	listedAt      time.Time
	nextList      time.Time
	rows          []HostRow
	listStartedAt time.Time
}

func newHostInventory() hostInventory { return hostInventory{byName: map[string]*host{}} }

func (inv *hostInventory) get(name string) *host {
	h := inv.byName[name]
	if h == nil {
		h = &host{name: name}
		inv.byName[name] = h
	}
	return h
}

// hostJoined takes a new executor life: its host is back. A life that is recorded
// sooner after an order than the order takes is one that the order ends.
func (m *Manager) hostReturned(e *jobs.Executor, now time.Time) {
	if e.Host == "" {
		return
	}
	h := m.hosts.get(e.Host)
	h.pool = e.Pool
	took := m.cfg.MoveTime
	if h.wave != 0 {
		took = m.cfg.UpkeepTime
	}
	if h.away && now.Sub(h.orderedAt) >= took {
		h.away, h.changedAt, h.target, h.wave = false, now, "", 0
	}
}

const (
	// listPause is the least time between two readings of the platform's list.
	// A reading has a price, and what changes is mostly known from reports.
	minListInterval = 2 * time.Second
	// hostCallTimeout bounds a call to the platform, which may be slow.
	hostCallTimeout = 2 * time.Second
	// hostPause is the time between two equal orders for one host.
	hostOrderInterval = 500 * time.Millisecond
)

// mayOrder tells whether this leader may give an order for a host. Orders of two
// leaders for one host must be some time apart. An order that was carried out
// ends the life of the host's executor, so a life that has answered this leader
// and is old enough shows that there was none of late.
func (m *Manager) mayOrderHost(name string, now time.Time) bool {
	if now.Sub(m.startedAt) >= m.cfg.HostLease {
		return true
	}
	s := m.sessionOn(name)
	return s != nil && s.confirmed && s.minAge(m.cfg.ReportInterval) >= m.cfg.HostLease
}

// age is how old a life is at least, by the number of its reports.
func (s *session) minAge(reportEvery time.Duration) time.Duration {
	return time.Duration(max(s.sequence-1, 0)) * reportEvery
}

// wantHosts asks for a reading of the platform's list.
func (m *Manager) listHosts(now time.Time) {
	inv := &m.hosts
	if inv.listPending || now.Before(inv.nextList) {
		return
	}
	inv.listPending, inv.rows, inv.listStartedAt = true, nil, now
	m.call(Call{Kind: CallListHosts, Timeout: hostCallTimeout}, pendingCall{}, now)
}

// hostsListed takes one page of the list.
func (m *Manager) listHostsAnswered(o Outcome, now time.Time) {
	inv := &m.hosts
	if o.Verdict != OK {
		inv.listPending, inv.nextList = false, now.Add(hostOrderInterval)
		return
	}
	inv.rows = append(inv.rows, o.Hosts...)
	if o.NextPageToken != "" {
		m.call(Call{Kind: CallListHosts, Timeout: hostCallTimeout, PageToken: o.NextPageToken}, pendingCall{}, now)
		return
	}
	inv.listPending, inv.listedAt, inv.nextList = false, inv.listStartedAt, now.Add(minListInterval)
	for _, row := range inv.rows {
		h := inv.get(row.Host)
		h.listed, h.listedAt = row, inv.listStartedAt
		if !h.away && !h.orderPending {
			h.pool = row.Pool
			if row.State == HostInUpkeep {
				h.away, h.changedAt, h.orderedAt, h.wave = true, inv.listStartedAt, inv.listStartedAt, m.waveOf(row.Host)
			}
		}
		isBack := row.State == HostUp || row.State == HostDown
		if h.away && !h.orderPending && isBack && h.changedAt.Before(inv.listStartedAt.Add(-m.cfg.UpkeepTime)) {
			h.away, h.changedAt, h.target, h.wave, h.pool = false, now, "", 0, row.Pool
			if s := m.sessionOn(row.Host); s != nil && s.reservedFor == actionMove {
				m.releaseReservation(s)
			}
		}
	}
	inv.rows = nil
}

// contactOf returns the newest life on a host, or nil.
func (m *Manager) sessionOn(name string) *session { return m.sessions.newestOn(name) }

// mayInterrupt tells whether a planned action may end a lasting task: fewer
// others of its step than it allows are away.
func (m *Manager) mayInterrupt(r *run) bool {
	return r.step.MaxUnavailable == 0 || m.countUnavailable(r) < r.step.MaxUnavailable
}

// away counts the other tasks of a run's step that are not known to be at work.
func (m *Manager) countUnavailable(of *run) int {
	t := of.key.task
	available := 0
	for _, r := range of.job.runs {
		if r != of && r.key.task.Occurrence == t.Occurrence && r.key.task.Step == t.Step && r.isAvailable() {
			available++
		}
	}
	return len(of.job.tasks[t.Occurrence][t.Step]) - 1 - available
}

// isAtWork tells whether a lasting task works, as far as is known.
func (r *run) isAvailable() bool {
	return r.state == runActive && !r.stopWanted && r.progress >= fullPercent && r.session.failures == 0 && !r.session.draining
}

// empty orders the end of the runs on an executor that a planned action waits
// for, and tells whether none is left. Lasting tasks end as soon as their steps
// allow it, other runs only if force is set.
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

// release ends a reservation that led to nothing.
func (m *Manager) releaseReservation(s *session) {
	s.reservedFor = actionNone
	m.pool(s.rec.Pool).requestPass()
}

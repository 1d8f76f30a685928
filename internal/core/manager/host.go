package manager

import (
	"time"

	"laburnumdock/internal/core/jobs"
)

// plan names the planned action that an executor is emptied for.
type plan uint8

const (
	planNone plan = iota
	planUpkeep
	planMove
)

// host is the leader's view of a host. Invariant: away is set before an order
// that takes the host away is sent, and cleared once it is certainly back.
type host struct {
	name  string
	away  bool
	since time.Time
	// orderedAt is when the newest order that takes the host away was sent.
	orderedAt time.Time
	// order tells that an order is on its way, again when it may be repeated.
	order bool
	again time.Time
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
type hostBook struct {
	byName  map[string]*host
	reading bool
	readAt  time.Time
	nextAt  time.Time
	pages   []HostRow
	begunAt time.Time
}

func newHostBook() hostBook { return hostBook{byName: map[string]*host{}} }

func (b *hostBook) get(name string) *host {
	h := b.byName[name]
	if h == nil {
		h = &host{name: name}
		b.byName[name] = h
	}
	return h
}

// hostJoined takes a new executor life: its host is back. A life that is recorded
// sooner after an order than the order takes is one that the order ends.
func (m *Manager) hostJoined(e *jobs.Executor, now time.Time) {
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
		h.away, h.since, h.target, h.wave = false, now, "", 0
	}
}

const (
	// listPause is the least time between two readings of the platform's list.
	// A reading has a price, and what changes is mostly known from reports.
	listPause = 2 * time.Second
	// hostCallTimeout bounds a call to the platform, which may be slow.
	hostCallTimeout = 2 * time.Second
	// hostPause is the time between two equal orders for one host.
	hostPause = 500 * time.Millisecond
)

// mayOrder tells whether this leader may give an order for a host. Orders of two
// leaders for one host must be some time apart. An order that was carried out
// ends the life of the host's executor, so a life that has answered this leader
// and is old enough shows that there was none of late.
func (m *Manager) mayOrder(name string, now time.Time) bool {
	if now.Sub(m.since) >= m.cfg.HostLease {
		return true
	}
	c := m.contactOf(name)
	return c != nil && c.confirmed && c.age(m.cfg.ReportInterval) >= m.cfg.HostLease
}

// age is how old a life is at least, by the number of its reports.
func (c *contact) age(reportEvery time.Duration) time.Duration {
	return time.Duration(max(c.sequence-1, 0)) * reportEvery
}

// wantHosts asks for a reading of the platform's list.
func (m *Manager) wantHosts(now time.Time) {
	b := &m.hosts
	if b.reading || now.Before(b.nextAt) {
		return
	}
	b.reading, b.pages, b.begunAt = true, nil, now
	m.call(Call{Kind: CallListHosts, Timeout: hostCallTimeout}, pendingCall{}, now)
}

// hostsListed takes one page of the list.
func (m *Manager) hostsListed(o Outcome, now time.Time) {
	b := &m.hosts
	if o.Verdict != OK {
		b.reading, b.nextAt = false, now.Add(hostPause)
		return
	}
	b.pages = append(b.pages, o.Hosts...)
	if o.NextPageToken != "" {
		m.call(Call{Kind: CallListHosts, Timeout: hostCallTimeout, PageToken: o.NextPageToken}, pendingCall{}, now)
		return
	}
	b.reading, b.readAt, b.nextAt = false, b.begunAt, now.Add(listPause)
	for _, row := range b.pages {
		h := b.get(row.Host)
		h.listed, h.listedAt = row, b.begunAt
		if !h.away && !h.order {
			h.pool = row.Pool
			if row.State == HostInUpkeep {
				h.away, h.since, h.orderedAt, h.wave = true, b.begunAt, b.begunAt, m.waveOf(row.Host)
			}
		}
		isBack := row.State == HostUp || row.State == HostDown
		if h.away && !h.order && isBack && h.since.Before(b.begunAt.Add(-m.cfg.UpkeepTime)) {
			h.away, h.since, h.target, h.wave, h.pool = false, now, "", 0, row.Pool
			if c := m.contactOf(row.Host); c != nil && c.reserved == planMove {
				m.release(c)
			}
		}
	}
	b.pages = nil
}

// contactOf returns the newest life on a host, or nil.
func (m *Manager) contactOf(name string) *contact { return m.contacts.newestAt(name) }

// mayInterrupt tells whether a planned action may end a lasting task: fewer
// others of its step than it allows are away.
func (m *Manager) mayInterrupt(r *run) bool {
	return r.step.MaxUnavailable == 0 || m.away(r) < r.step.MaxUnavailable
}

// away counts the other tasks of a run's step that are not known to be at work.
func (m *Manager) away(of *run) int {
	t := of.key.task
	atWork := 0
	for _, r := range of.job.runs {
		if r != of && r.key.task.Occurrence == t.Occurrence && r.key.task.Step == t.Step && r.isAtWork() {
			atWork++
		}
	}
	return len(of.job.tasks[t.Occurrence][t.Step]) - 1 - atWork
}

// isAtWork tells whether a lasting task works, as far as is known.
func (r *run) isAtWork() bool {
	return r.state == runWorking && !r.stop && r.percent >= fullPace && r.at.failures == 0 && !r.at.draining
}

// empty orders the end of the runs on an executor that a planned action waits
// for, and tells whether none is left. Lasting tasks end as soon as their steps
// allow it, other runs only if force is set.
func (m *Manager) empty(c *contact, force bool, now time.Time) bool {
	if len(c.runs) == 0 {
		return true
	}
	for _, r := range c.sortedRuns(nil) {
		if r.step.LongRunning && !r.stop && m.mayInterrupt(r) || !r.step.LongRunning && force {
			r.end()
		}
	}
	m.stopIfDue(c, now)
	return false
}

// release ends a reservation that led to nothing.
func (m *Manager) release(c *contact) {
	c.reserved = planNone
	m.pool(c.ex.Pool).wake()
}

package manager

import (
	"slices"
	"time"

	"laburnumdock/internal/core/demand"
)

const (
	// poolCheckInterval is the time between two checks of the pool sizes.
	poolCheckInterval = 100 * time.Millisecond
	// listInterval is the time between two listings of the platform's hosts if
	// nothing else requests one. It finds hosts that send no report.
	listInterval = 15 * time.Second
	// lateReturnGrace is the time after the end of a move for which a host may
	// stay silent before it is looked up in a listing.
	lateReturnGrace = 2 * time.Second
)

// poolSize is the size of a pool in one check.
type poolSize struct {
	pool *pool
	// current counts the hosts that serve the pool or are moving to it.
	current int
	// desired is the size needed now, and retained the largest desired size in
	// the stabilization window.
	desired, retained int
}

// stepPoolSizes moves hosts to the pools that need them, and hosts that no pool
// needs to the standby pool, where they cost nothing.
func (m *Manager) stepPoolSizes(now time.Time) {
	config := m.state.Config()
	if config == nil || !m.cfg.HasHostAPI || now.Sub(m.poolsCheckedAt) < poolCheckInterval {
		return
	}
	m.poolsCheckedAt = now
	if now.Sub(m.hosts.listedAt) > listInterval || m.hasLateHost(now) {
		m.listHosts(now)
	}
	if m.hosts.listedAt.IsZero() {
		return
	}
	standby := ""
	var sizes []*poolSize
	for i := range config.Pools {
		if config.Pools[i].Standby {
			standby = config.Pools[i].Name
			continue
		}
		sizes = append(sizes, m.poolSizeOf(m.pool(config.Pools[i].Name), now))
	}
	for _, ps := range sizes {
		m.grow(ps, sizes, standby, now)
	}
	if standby != "" {
		for _, ps := range sizes {
			m.shrink(ps, standby, now)
		}
	}
	for _, ps := range sizes {
		ps.pool.spareHosts = m.spareHosts(ps, now)
	}
}

// spareHosts returns the number of idle hosts that a pool gives to one that needs them.
func (m *Manager) spareHosts(ps *poolSize, now time.Time) int {
	spare := 0
	for _, s := range ps.pool.sessions {
		if spare >= ps.current-ps.desired {
			break
		}
		if m.mayMove(s, now) {
			spare++
		}
	}
	return spare
}

func (m *Manager) poolSizeOf(p *pool, now time.Time) *poolSize {
	ps := &poolSize{pool: p}
	for _, s := range p.sessions {
		if !s.draining && !s.ended && s.failures == 0 && s.reservedFor == actionNone && s.health.isTrusted(now) {
			ps.current++
		}
	}
	for _, h := range m.hosts.byName {
		if h.away && h.target == p.name {
			ps.current++
		}
	}
	ps.desired = m.desiredHosts(p, now)
	ps.retained = p.sizing.stabilized(ps.desired, now)
	return ps
}

// hasLateHost reports whether a moved host has not reported in time.
func (m *Manager) hasLateHost(now time.Time) bool {
	for _, h := range m.hosts.byName {
		if h.away && h.target != "" && now.Sub(h.changedAt) > m.cfg.MoveTime+lateReturnGrace {
			return true
		}
	}
	return false
}

// grow moves hosts to a pool that is smaller than desired: first from the
// standby pool, then idle ones of a pool that is larger than desired.
func (m *Manager) grow(ps *poolSize, sizes []*poolSize, standby string, now time.Time) {
	for ps.current < ps.desired {
		if h := m.standbyHost(standby, now); h != nil {
			m.orderMove(h, ps.pool.name, now)
			ps.current++
			continue
		}
		donor := m.donor(ps, sizes, now)
		if donor == nil {
			return
		}
		s := m.idleSession(donor.pool, now)
		s.reservedFor = actionMove
		m.orderMove(m.hosts.get(s.rec.Host), ps.pool.name, now)
		donor.current--
		ps.current++
	}
}

// donor returns the pool with the largest surplus of hosts among those with an
// idle host, or nil.
func (m *Manager) donor(ps *poolSize, sizes []*poolSize, now time.Time) *poolSize {
	var best *poolSize
	for _, other := range sizes {
		if other != ps && other.current > other.desired && m.idleSession(other.pool, now) != nil && (best == nil || other.current-other.desired > best.current-best.desired) {
			best = other
		}
	}
	return best
}

// mayMove reports whether the executor's host may move: it answers and has no runs, and
// no other executor may run on the host.
func (m *Manager) mayMove(s *session, now time.Time) bool {
	if len(s.runs) > 0 || s.reservedFor != actionNone || s.draining || s.ended || !s.confirmed || s.failures > 0 || s.rec.Host == "" {
		return false
	}
	return !m.hosts.get(s.rec.Host).away && !m.isContested(s.rec.Host) && m.mayOrderHost(s.rec.Host, now)
}

// idleSession returns an executor without runs whose host may move, or nil.
// Hosts with pending upkeep are preferred, because it disturbs no work in the
// standby pool.
func (m *Manager) idleSession(p *pool, now time.Time) *session {
	var found *session
	for _, s := range p.sessions {
		if m.mayMove(s, now) {
			found = s
			if m.awaitsUpkeep(s.rec.Host) {
				return s
			}
		}
	}
	return found
}

// standbyHost returns a host of the standby pool that may move, or nil. Hosts
// with pending upkeep are the last choice.
func (m *Manager) standbyHost(standby string, now time.Time) *host {
	if standby == "" {
		return nil
	}
	var names, inWave []string
	for name, h := range m.hosts.byName {
		if h.pool != standby || h.away || h.orderPending || now.Before(h.nextOrder) || !m.mayOrderHost(name, now) {
			continue
		}
		if m.awaitsUpkeep(name) {
			inWave = append(inWave, name)
		} else {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		names = inWave
	}
	if len(names) == 0 {
		return nil
	}
	return m.hosts.get(slices.Min(names))
}

// shrink moves hosts that the pool has not needed during the stabilization
// window to the standby pool. A new leader does not know yet what a pool has
// needed.
func (m *Manager) shrink(ps *poolSize, standby string, now time.Time) {
	if now.Sub(m.startedAt) < stabilizationWindow+demand.Window {
		return
	}
	for ps.current > ps.retained {
		s := m.idleSession(ps.pool, now)
		if s == nil {
			return
		}
		s.reservedFor = actionMove
		m.orderMove(m.hosts.get(s.rec.Host), standby, now)
		ps.current--
	}
}

func (m *Manager) orderMove(h *host, target string, now time.Time) {
	h.target, h.endsExecutor, h.mayBeDone = target, m.newestNumberOn(h.name), false
	m.orderHost(h, Call{Kind: CallMoveHost, Pool: target}, now)
	m.logEvent(Event{Kind: EventHostMoved, Host: h.name, Pool: target})
}

// moveAnswered processes the answer to an order to move a host.
func (m *Manager) moveAnswered(pending pendingCall, o Outcome, now time.Time) {
	h := m.hosts.get(pending.host)
	h.orderPending, h.nextOrder = false, now.Add(hostOrderInterval)
	s := m.sessionOn(pending.host)
	switch o.Verdict {
	case OK:
		h.exists(presenceOrder, now)
		h.pool = pending.pool
		m.hostOrderDone(h, "host is being moved", now)
		if config := m.state.Config(); config != nil {
			if pool := config.Pool(pending.pool); pool != nil && pool.Standby {
				// A host of the standby pool is powered off and sends no
				// reports.
				h.away, h.target, h.nextOrder = false, "", now.Add(m.cfg.MoveTime+hostOrderInterval)
			}
		}
	case Refused, NotSent, NotPermitted:
		h.away, h.target, h.evictedAt = false, "", time.Time{}
		h.nextOrder = now.Add(m.cfg.MoveTime)
		if s != nil && s.reservedFor == actionMove {
			m.releaseReservation(s)
		}
	default:
		// The order may have been carried out; the next listing shows it.
		h.mayBeDone = true
	}
}

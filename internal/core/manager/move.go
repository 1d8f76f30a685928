package manager

import (
	"slices"
	"time"
)

const (
	// moveEvery is the time between two looks at the sizes of the pools.
	moveEvery = 100 * time.Millisecond
	// listEvery is the time between two readings of the platform's list while
	// nothing asks for one, to find hosts that nobody reports.
	listEvery = 15 * time.Second
	// lateReturn is the time, beside that of a move, after which a host that has
	// not reported is looked up.
	lateReturn = 2 * time.Second
)

// poolSize is the state of one pool in a look at the sizes.
type poolSize struct {
	pool *pool
	// have counts the hosts that serve the pool or are on their way to it.
	have int
	// want is the wish of now, keep the largest one of late.
	want, keep int
}

// stepMoves brings hosts to the pools that need them, and hosts that none needs
// to the standby pool, where they cost nothing.
func (m *Manager) stepMoves(now time.Time) {
	config := m.st.Config()
	if config == nil || !m.cfg.HasHostAPI || now.Sub(m.movesAt) < moveEvery {
		return
	}
	m.movesAt = now
	if now.Sub(m.hosts.readAt) > listEvery || m.hasLateHost(now) {
		m.wantHosts(now)
	}
	if m.hosts.readAt.IsZero() {
		return
	}
	standby := ""
	var sizes []*poolSize
	for i := range config.Pools {
		if config.Pools[i].Standby {
			standby = config.Pools[i].Name
			continue
		}
		sizes = append(sizes, m.sizeOf(m.pool(config.Pools[i].Name), now))
	}
	for _, z := range sizes {
		m.grow(z, sizes, standby, now)
	}
	if standby != "" {
		for _, z := range sizes {
			m.shrink(z, standby, now)
		}
	}
}

func (m *Manager) sizeOf(p *pool, now time.Time) *poolSize {
	z := &poolSize{pool: p}
	for _, c := range p.contacts {
		if !c.draining && !c.over && c.failures == 0 && c.reserved == planNone && c.health.isTrusted(now) {
			z.have++
		}
	}
	for _, h := range m.hosts.byName {
		if h.away && h.target == p.name {
			z.have++
		}
	}
	z.want = m.wanted(p, now)
	z.keep = p.size.settled(z.want, now)
	return z
}

// hasLateHost tells whether a host should have reported by now.
func (m *Manager) hasLateHost(now time.Time) bool {
	for _, h := range m.hosts.byName {
		if h.away && h.target != "" && now.Sub(h.since) > m.cfg.MoveTime+lateReturn {
			return true
		}
	}
	return false
}

// grow brings hosts to a pool that wants more than it has: from the standby
// pool, else idle ones of a pool that has more than it wants.
func (m *Manager) grow(z *poolSize, sizes []*poolSize, standby string, now time.Time) {
	for z.have < z.want {
		if h := m.standbyHost(standby, now); h != nil {
			m.orderMove(h, z.pool.name, now)
			z.have++
			continue
		}
		donor := m.donor(z, sizes, now)
		if donor == nil {
			return
		}
		c := m.idle(donor.pool, now)
		c.reserved = planMove
		m.orderMove(m.hosts.get(c.ex.Host), z.pool.name, now)
		donor.have--
		z.have++
	}
}

// donor returns the pool with an idle host that has most beyond what it wants.
func (m *Manager) donor(z *poolSize, sizes []*poolSize, now time.Time) *poolSize {
	var best *poolSize
	for _, o := range sizes {
		if o != z && o.have > o.want && m.idle(o.pool, now) != nil && (best == nil || o.have-o.want > best.have-best.want) {
			best = o
		}
	}
	return best
}

// idle returns an executor without runs whose host may move, or nil. Hosts whose
// upkeep is to come are preferred: in the standby pool it disturbs nobody.
func (m *Manager) idle(p *pool, now time.Time) *contact {
	var found *contact
	for _, c := range p.contacts {
		if len(c.runs) == 0 && c.reserved == planNone && !c.draining && !c.over && c.confirmed && c.failures == 0 && c.ex.Host != "" && !m.hosts.get(c.ex.Host).away && m.mayOrder(c.ex.Host, now) {
			found = c
			if m.isInWave(c.ex.Host) {
				return c
			}
		}
	}
	return found
}

// standbyHost returns a host of the standby pool that may move, or nil. Hosts
// whose upkeep is to come are the last choice.
func (m *Manager) standbyHost(standby string, now time.Time) *host {
	if standby == "" {
		return nil
	}
	var names, due []string
	for name, h := range m.hosts.byName {
		if h.pool != standby || h.away || h.order || now.Before(h.again) || !m.mayOrder(name, now) {
			continue
		}
		if m.isInWave(name) {
			due = append(due, name)
		} else {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		names = due
	}
	if len(names) == 0 {
		return nil
	}
	return m.hosts.get(slices.Min(names))
}

// shrink moves hosts that a pool has not needed for a while to the standby pool. A
// new leader does not know yet what a pool has needed.
func (m *Manager) shrink(z *poolSize, standby string, now time.Time) {
	if now.Sub(m.since) < shrinkAfter+rateWindow {
		return
	}
	for z.have > z.keep {
		c := m.idle(z.pool, now)
		if c == nil {
			return
		}
		c.reserved = planMove
		m.orderMove(m.hosts.get(c.ex.Host), standby, now)
		z.have--
	}
}

func (m *Manager) orderMove(h *host, target string, now time.Time) {
	h.away, h.since, h.orderedAt, h.order, h.target = true, now, now, true, target
	m.call(Call{Kind: CallMoveHost, Timeout: hostCallTimeout, Host: h.name, Pool: target}, pendingCall{host: h.name, pool: target}, now)
	m.note(Event{Kind: EventHostMoved, Host: h.name, Pool: target})
}

// moved takes the answer to an order to move a host.
func (m *Manager) moved(p pendingCall, o Outcome, now time.Time) {
	h := m.hosts.get(p.host)
	h.order, h.again = false, now.Add(hostPause)
	c := m.contactOf(p.host)
	switch o.Verdict {
	case OK:
		h.since, h.pool = now, p.pool
		if c != nil && c.ex.Pool != p.pool {
			m.endLife(c, "its host moves", now)
		}
		if config := m.st.Config(); config != nil {
			if pool := config.Pool(p.pool); pool != nil && pool.Standby {
				// A host of the standby pool is off and reports nothing.
				h.away, h.target, h.again = false, "", now.Add(m.cfg.MoveTime+hostPause)
			}
		}
	case Refused, NotSent:
		h.away, h.target = false, ""
		h.again = now.Add(m.cfg.MoveTime)
		if c != nil && c.reserved == planMove {
			m.release(c)
		}
	default:
		// It may have been carried out: the list will tell.
	}
}

package manager

import (
	"cmp"
	"slices"
	"time"

	"laburnumdock/internal/core/jobs"
)

// wave is the leader's view of an upkeep wave.
type wave struct {
	rec   *jobs.Wave
	since time.Time
	// steppedAt is when the leader last looked at the wave.
	steppedAt time.Time
	// left are the hosts whose upkeep has not begun, and isLeft the same as a set.
	left   []string
	isLeft map[string]bool
	// sent are the hosts that were ordered and not recorded yet.
	sent map[string]bool
}

const (
	// waveEvery is the time between two looks at a wave. It is short against the
	// upkeep of a host, and a look costs more the more hosts a wave has.
	waveEvery = 50 * time.Millisecond
	// waveReserve is the share of a wave's time that is kept free at its end,
	// for hosts that cannot have their upkeep when it is their turn.
	waveReserve = 0.15
	// upkeepOverhead is the time that a host's upkeep takes beside the stated
	// one: the order, the report of the new executor and its record.
	upkeepOverhead = 300 * time.Millisecond
)

func (m *Manager) addWave(rec *jobs.Wave, now time.Time) {
	w := &wave{rec: rec, since: arrival(rec.RequestedAt, now), sent: map[string]bool{}}
	m.waves[rec.ID] = w
	m.refreshWave(w)
}

// waveOf returns the wave of a host that has not finished, or 0.
func (m *Manager) waveOf(name string) int64 {
	for id, w := range m.waves {
		if slices.Contains(w.rec.Hosts, name) && !w.rec.IsComplete() {
			return id
		}
	}
	return 0
}

func (m *Manager) refreshWave(w *wave) {
	over := make(map[string]bool, len(w.rec.Begun)+len(w.rec.Removed))
	for _, name := range w.rec.Begun {
		over[name] = true
	}
	for _, name := range w.rec.Removed {
		over[name] = true
	}
	w.left, w.isLeft = w.left[:0], map[string]bool{}
	for _, name := range w.rec.Hosts {
		if !over[name] {
			w.left = append(w.left, name)
			w.isLeft[name] = true
		}
	}
}

func (m *Manager) upkeepRecorded(u *jobs.RecordUpkeep, now time.Time) {
	w := m.waves[u.Wave]
	if w == nil {
		return
	}
	delete(w.sent, u.Host)
	m.refreshWave(w)
	m.note(Event{Kind: EventUpkeepBegan, Run: int(u.Wave), Host: u.Host, Age: now.Sub(w.since)})
}

// stepWaves brings the hosts of every wave to their upkeep.
func (m *Manager) stepWaves(now time.Time) {
	if !m.cfg.HasHostAPI {
		return
	}
	ids := make([]int64, 0, len(m.waves))
	for id := range m.waves {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if w := m.waves[id]; len(w.left) > 0 && now.Sub(w.steppedAt) >= waveEvery {
			w.steppedAt = now
			m.stepWave(w, now)
		}
	}
}

func (m *Manager) stepWave(w *wave, now time.Time) {
	if m.needsList(w, now) {
		m.wantHosts(now)
	}
	if m.hosts.readAt.IsZero() {
		// An earlier leader may have sent hosts away without a record of it.
		return
	}
	pressed := m.isPressed(w, now)
	m.reserveHosts(w, pressed)
	slots := max(w.rec.MaxParallel, 1) - m.downOf(w)
	for _, name := range m.candidates(w) {
		if m.tryUpkeep(w, name, slots > 0, pressed, now) {
			slots--
		}
	}
}

// downOf counts the hosts of a wave that are away for their upkeep.
func (m *Manager) downOf(w *wave) int {
	down := 0
	for _, name := range w.rec.Hosts {
		if h := m.hosts.get(name); h.away && h.wave == w.rec.ID {
			down++
		}
	}
	return down
}

// needsList tells whether the wave has hosts of which only the platform's list
// tells: those without an executor, and those that should be back by now.
func (m *Manager) needsList(w *wave, now time.Time) bool {
	if m.hosts.readAt.IsZero() {
		return true
	}
	for _, name := range w.left {
		if m.contactOf(name) == nil {
			return true
		}
	}
	for _, name := range w.rec.Hosts {
		if h := m.hosts.get(name); h.away && h.wave == w.rec.ID && now.Sub(h.since) > m.cfg.UpkeepTime+upkeepOverhead {
			return true
		}
	}
	return false
}

// reserveHosts keeps new runs off the hosts whose upkeep is to come: those with
// lasting tasks at once, because these move one after the other, and when time is
// short those with the least work.
func (m *Manager) reserveHosts(w *wave, pressed bool) {
	reserved := 0
	for _, name := range w.left {
		c := m.contactOf(name)
		if c == nil {
			continue
		}
		if c.reserved == planNone && c.lasting > 0 {
			c.reserved = planUpkeep
		}
		if c.reserved == planUpkeep {
			reserved++
		}
	}
	if !pressed {
		return
	}
	for _, c := range m.emptiest(w) {
		if reserved >= max(w.rec.MaxParallel, 1) {
			return
		}
		c.reserved = planUpkeep
		reserved++
	}
}

// emptiest returns the executors of a wave's hosts that are not reserved, those
// with the least work first.
func (m *Manager) emptiest(w *wave) []*contact {
	var list []*contact
	for _, name := range w.left {
		if c := m.contactOf(name); c != nil && c.reserved == planNone && !w.sent[name] {
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(a, b *contact) int { return int(a.used.CPU - b.used.CPU) })
	return list
}

// isInWave tells whether a host's upkeep is still to come.
func (m *Manager) isInWave(name string) bool {
	for _, w := range m.waves {
		if w.isLeft[name] {
			return true
		}
	}
	return false
}

// candidates returns the hosts whose upkeep has not begun, the emptiest first.
func (m *Manager) candidates(w *wave) []string {
	list := slices.Clone(w.left)
	work := make(map[string]int64, len(list))
	for _, name := range list {
		work[name] = -1
		if c := m.contactOf(name); c != nil {
			work[name] = c.used.CPU
		}
	}
	slices.SortStableFunc(list, func(a, b string) int { return cmp.Compare(work[a], work[b]) })
	return list
}

// tryUpkeep orders the upkeep of a host if a place is free and nothing speaks
// against it, and tells whether the host takes a place of the wave. A host that
// works is left alone unless it is reserved.
func (m *Manager) tryUpkeep(w *wave, name string, free, pressed bool, now time.Time) bool {
	h := m.hosts.get(name)
	if h.order || now.Before(h.again) || h.away && !w.sent[name] || !m.mayOrder(name, now) {
		return false
	}
	c := m.contactOf(name)
	switch {
	case c == nil:
		return free && m.tryUpkeepOff(w, h, now)
	case c.reserved == planMove || c.reserved == planNone && len(c.runs) > 0:
		return false
	case !m.empty(c, pressed, now) || !free:
		return false
	}
	c.reserved = planUpkeep
	m.orderUpkeep(w, h, now)
	return true
}

// tryUpkeepOff orders the upkeep of a host on which no executor is known.
func (m *Manager) tryUpkeepOff(w *wave, h *host, now time.Time) bool {
	switch {
	case h.listedAt.IsZero() && m.hosts.readAt.IsZero():
		return false
	case h.listedAt.Before(m.hosts.readAt):
		m.propose(jobs.Command{RecordUpkeep: &jobs.RecordUpkeep{Wave: w.rec.ID, Host: h.name, Removed: true}})
		h.again = now.Add(hostPause)
		return false
	case h.listed.State != HostUp:
		return false
	}
	m.orderUpkeep(w, h, now)
	return true
}

func (m *Manager) orderUpkeep(w *wave, h *host, now time.Time) {
	h.away, h.since, h.orderedAt, h.order, h.wave = true, now, now, true, w.rec.ID
	w.sent[h.name] = true
	m.call(Call{Kind: CallUpkeepHost, Timeout: hostCallTimeout, Host: h.name, Wave: w.rec.ID}, pendingCall{host: h.name, wave: w.rec.ID}, now)
}

// isPressed tells whether a wave would be late if it waited for work to end.
func (m *Manager) isPressed(w *wave, now time.Time) bool {
	turn := m.cfg.UpkeepTime + upkeepOverhead
	rounds := (len(w.left) + max(w.rec.MaxParallel, 1) - 1) / max(w.rec.MaxParallel, 1)
	within := time.Duration(w.rec.TimeLimit) * time.Millisecond
	left := time.Duration((1-waveReserve)*float64(within)) - now.Sub(w.since)
	return left < time.Duration(rounds)*turn
}

// upkept takes the answer to an order of upkeep.
func (m *Manager) upkept(p pendingCall, o Outcome, now time.Time) {
	h := m.hosts.get(p.host)
	h.order, h.again = false, now.Add(hostPause)
	w := m.waves[p.wave]
	if w == nil {
		return
	}
	switch {
	case o.Verdict == OK:
		h.since = now
		m.propose(jobs.Command{RecordUpkeep: &jobs.RecordUpkeep{Wave: p.wave, Host: p.host}})
		if c := m.contactOf(p.host); c != nil {
			m.endLife(c, "its host has its upkeep", now)
		}
	case o.Verdict == Refused && o.Refusal == RefusedUnknownHost:
		h.away, h.wave = false, 0
		m.propose(jobs.Command{RecordUpkeep: &jobs.RecordUpkeep{Wave: p.wave, Host: p.host, Removed: true}})
	case o.Verdict == Refused || o.Verdict == NotSent:
		h.away, h.wave = false, 0
		delete(w.sent, p.host)
	default:
		// It may have been carried out; the host counts as away until an equal
		// order is answered.
	}
}

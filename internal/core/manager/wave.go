package manager

import (
	"cmp"
	"slices"
	"time"

	"laburnumdock/internal/core/jobs"
)

// wave is the leader's view of an upkeep wave.
type wave struct {
	rec         *jobs.Wave
	requestedAt time.Time
	// steppedAt is when the leader last looked at the wave.
	steppedAt time.Time
	// left are the hosts whose upkeep has not begun, and isLeft the same as a set.
	pending   []string
	isPending map[string]bool
	// sent are the hosts that were ordered and not recorded yet.
	ordered map[string]bool
}

const (
	// waveEvery is the time between two looks at a wave. It is short against the
	// upkeep of a host, and a look costs more the more hosts a wave has.
	waveInterval = 50 * time.Millisecond
	// waveReserve is the share of a wave's time that is kept free at its end,
	// for hosts that cannot have their upkeep when it is their turn.
	waveReserveShare = 0.15
	// upkeepOverhead is the time that a host's upkeep takes beside the stated
	// one: the order, the report of the new executor and its record.
	upkeepOverhead = 300 * time.Millisecond
)

func (m *Manager) addWave(rec *jobs.Wave, now time.Time) {
	w := &wave{rec: rec, requestedAt: requestTime(rec.RequestedAt, now), ordered: map[string]bool{}}
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
	done := make(map[string]bool, len(w.rec.Begun)+len(w.rec.Removed))
	for _, name := range w.rec.Begun {
		done[name] = true
	}
	for _, name := range w.rec.Removed {
		done[name] = true
	}
	w.pending, w.isPending = w.pending[:0], map[string]bool{}
	for _, name := range w.rec.Hosts {
		if !done[name] {
			w.pending = append(w.pending, name)
			w.isPending[name] = true
		}
	}
}

func (m *Manager) upkeepRecorded(u *jobs.RecordUpkeep, now time.Time) {
	w := m.waves[u.Wave]
	if w == nil {
		return
	}
	delete(w.ordered, u.Host)
	m.refreshWave(w)
	m.logEvent(Event{Kind: EventUpkeepBegan, Run: int(u.Wave), Host: u.Host, Age: now.Sub(w.requestedAt)})
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
		if w := m.waves[id]; len(w.pending) > 0 && now.Sub(w.steppedAt) >= waveInterval {
			w.steppedAt = now
			m.stepWave(w, now)
		}
	}
}

func (m *Manager) stepWave(w *wave, now time.Time) {
	if m.needsHostList(w, now) {
		m.listHosts(now)
	}
	if m.hosts.listedAt.IsZero() {
		// An earlier leader may have sent hosts away without a record of it.
		return
	}
	pressed := m.isUrgent(w, now)
	m.reserveHosts(w, pressed)
	slots := max(w.rec.MaxParallel, 1) - m.countInUpkeep(w)
	for _, name := range m.candidates(w) {
		if m.tryUpkeep(w, name, slots > 0, pressed, now) {
			slots--
		}
	}
}

// downOf counts the hosts of a wave that are away for their upkeep.
func (m *Manager) countInUpkeep(w *wave) int {
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
func (m *Manager) needsHostList(w *wave, now time.Time) bool {
	if m.hosts.listedAt.IsZero() {
		return true
	}
	for _, name := range w.pending {
		if m.sessionOn(name) == nil {
			return true
		}
	}
	for _, name := range w.rec.Hosts {
		if h := m.hosts.get(name); h.away && h.wave == w.rec.ID && now.Sub(h.changedAt) > m.cfg.UpkeepTime+upkeepOverhead {
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
	for _, name := range w.pending {
		s := m.sessionOn(name)
		if s == nil {
			continue
		}
		if s.reservedFor == actionNone && s.longRunning > 0 {
			s.reservedFor = actionUpkeep
		}
		if s.reservedFor == actionUpkeep {
			reserved++
		}
	}
	if !pressed {
		return
	}
	for _, s := range m.leastLoaded(w) {
		if reserved >= max(w.rec.MaxParallel, 1) {
			return
		}
		s.reservedFor = actionUpkeep
		reserved++
	}
}

// emptiest returns the executors of a wave's hosts that are not reserved, those
// with the least work first.
func (m *Manager) leastLoaded(w *wave) []*session {
	var list []*session
	for _, name := range w.pending {
		if s := m.sessionOn(name); s != nil && s.reservedFor == actionNone && !w.ordered[name] {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *session) int { return int(a.allocated.CPU - b.allocated.CPU) })
	return list
}

// isInWave tells whether a host's upkeep is still to come.
func (m *Manager) awaitsUpkeep(name string) bool {
	for _, w := range m.waves {
		if w.isPending[name] {
			return true
		}
	}
	return false
}

// candidates returns the hosts whose upkeep has not begun, the emptiest first.
func (m *Manager) candidates(w *wave) []string {
	list := slices.Clone(w.pending)
	work := make(map[string]int64, len(list))
	for _, name := range list {
		work[name] = -1
		if s := m.sessionOn(name); s != nil {
			work[name] = s.allocated.CPU
		}
	}
	slices.SortStableFunc(list, func(a, b string) int { return cmp.Compare(work[a], work[b]) })
	return list
}

// tryUpkeep orders the upkeep of a host if a place is free and nothing speaks
// against it, and tells whether the host takes a place of the wave. A host that
// works is left alone unless it is reserved.
func (m *Manager) tryUpkeep(w *wave, name string, hasSlot, pressed bool, now time.Time) bool {
	h := m.hosts.get(name)
	if h.orderPending || now.Before(h.nextOrder) || h.away && !w.ordered[name] || !m.mayOrderHost(name, now) {
		return false
	}
	s := m.sessionOn(name)
	switch {
	case s == nil:
		return hasSlot && m.tryUpkeepWithoutExecutor(w, h, now)
	case s.reservedFor == actionMove || s.reservedFor == actionNone && len(s.runs) > 0:
		return false
	case !m.evictRuns(s, pressed, now) || !hasSlot:
		return false
	}
	s.reservedFor = actionUpkeep
	m.orderUpkeep(w, h, now)
	return true
}

// tryUpkeepOff orders the upkeep of a host on which no executor is known.
func (m *Manager) tryUpkeepWithoutExecutor(w *wave, h *host, now time.Time) bool {
	switch {
	case h.listedAt.IsZero() && m.hosts.listedAt.IsZero():
		return false
	case h.listedAt.Before(m.hosts.listedAt):
		m.propose(jobs.Command{RecordUpkeep: &jobs.RecordUpkeep{Wave: w.rec.ID, Host: h.name, Removed: true}})
		h.nextOrder = now.Add(hostOrderInterval)
		return false
	case h.listed.State != HostUp:
		return false
	}
	m.orderUpkeep(w, h, now)
	return true
}

func (m *Manager) orderUpkeep(w *wave, h *host, now time.Time) {
	h.away, h.changedAt, h.orderedAt, h.orderPending, h.wave = true, now, now, true, w.rec.ID
	w.ordered[h.name] = true
	m.call(Call{Kind: CallUpkeepHost, Timeout: hostCallTimeout, Host: h.name, Wave: w.rec.ID}, pendingCall{host: h.name, wave: w.rec.ID}, now)
}

// isPressed tells whether a wave would be late if it waited for work to end.
func (m *Manager) isUrgent(w *wave, now time.Time) bool {
	perHost := m.cfg.UpkeepTime + upkeepOverhead
	rounds := (len(w.pending) + max(w.rec.MaxParallel, 1) - 1) / max(w.rec.MaxParallel, 1)
	limit := time.Duration(w.rec.TimeLimit) * time.Millisecond
	left := time.Duration((1-waveReserveShare)*float64(limit)) - now.Sub(w.requestedAt)
	return left < time.Duration(rounds)*perHost
}

// upkept takes the answer to an order of upkeep.
func (m *Manager) upkeepAnswered(pending pendingCall, o Outcome, now time.Time) {
	h := m.hosts.get(pending.host)
	h.orderPending, h.nextOrder = false, now.Add(hostOrderInterval)
	w := m.waves[pending.wave]
	if w == nil {
		return
	}
	switch {
	case o.Verdict == OK:
		h.changedAt = now
		m.propose(jobs.Command{RecordUpkeep: &jobs.RecordUpkeep{Wave: pending.wave, Host: pending.host}})
		if s := m.sessionOn(pending.host); s != nil {
			m.endSession(s, "its host has its upkeep", now)
		}
	case o.Verdict == Refused && o.Refusal == RefusedUnknownHost:
		h.away, h.wave = false, 0
		m.propose(jobs.Command{RecordUpkeep: &jobs.RecordUpkeep{Wave: pending.wave, Host: pending.host, Removed: true}})
	case o.Verdict == Refused || o.Verdict == NotSent:
		h.away, h.wave = false, 0
		delete(w.ordered, pending.host)
	default:
		// It may have been carried out; the host counts as away until an equal
		// order is answered.
	}
}

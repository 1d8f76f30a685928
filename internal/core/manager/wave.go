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
	// steppedAt is the time of the wave's last check.
	steppedAt time.Time
	// pending are the hosts whose upkeep has not begun, and isPending the same
	// hosts as a set.
	pending   []string
	isPending map[string]bool
	// ordered holds the orders for hosts whose upkeep is not recorded yet.
	ordered map[string]upkeepOrder
}

// upkeepOrder describes the equal orders for the upkeep of a host in a wave.
type upkeepOrder struct {
	// endsExecutor is the number of the newest incarnation on the host when the first of
	// them was given, or 0.
	endsExecutor int
	// mayBeDone is set when one of them without a known outcome may have been carried
	// out.
	mayBeDone bool
}

const (
	// waveInterval is the time between two checks of a wave. It is short
	// compared with the upkeep of a host, and a check costs more the more hosts
	// a wave has.
	waveInterval = 50 * time.Millisecond
	// waveReserveShare is the share of a wave's time limit that is reserved at
	// its end for hosts that could not have their upkeep earlier.
	waveReserveShare = 0.15
	// upkeepOverhead is the time that the upkeep of a host takes beside
	// UpkeepTime: the order, the report of the new executor and its record.
	upkeepOverhead = 300 * time.Millisecond
)

func (m *Manager) addWave(rec *jobs.Wave, now time.Time) {
	w := &wave{rec: rec, requestedAt: requestTime(rec.RequestedAt, now), ordered: map[string]upkeepOrder{}}
	m.waves[rec.ID] = w
	m.refreshWave(w)
	for _, name := range w.pending {
		m.hosts.get(name).exists(presenceWave, now)
	}
}

// waveOf returns the ID of the wave to which an upkeep of the host belongs that this leader
// did not order, or 0: that of an earlier leader's order, else of the first incomplete wave
// that contains the host.
func (m *Manager) waveOf(h *host) int64 {
	if h.inherited != nil && h.inherited.Wave != 0 {
		return h.inherited.Wave
	}
	for _, rec := range m.state.Waves() {
		if slices.Contains(rec.Hosts, h.name) && !rec.IsComplete() {
			return rec.ID
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
	if u.Removed {
		return
	}
	m.logEvent(Event{Kind: EventUpkeepBegan, Run: int(u.Wave), Host: u.Host, Age: now.Sub(w.requestedAt)})
}

// stepWaves advances all waves that are due for a check.
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
		// An earlier leader may have ordered the upkeep of hosts without
		// recording it; only a listing shows them.
		return
	}
	urgent := m.isUrgent(w, now)
	m.reserveHosts(w, urgent)
	slots := max(w.rec.MaxParallel, 1) - m.countInUpkeep(w, now)
	for _, name := range m.candidates(w) {
		if m.tryUpkeep(w, name, slots > 0, urgent, now) {
			slots--
		}
	}
}

// countInUpkeep returns the number of hosts that are away for their upkeep in
// the wave, or may soon be by an order of an earlier leader.
func (m *Manager) countInUpkeep(w *wave, now time.Time) int {
	count := 0
	for _, name := range w.rec.Hosts {
		h := m.hosts.get(name)
		if h.away && h.wave == w.rec.ID || m.mayBeUnderWay(h, now) && h.inherited.Wave == w.rec.ID {
			count++
		}
	}
	return count
}

// needsHostList reports whether the wave has hosts whose state only the
// platform's listing shows: those without an executor, and those that should be
// back by now.
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

// reserveHosts keeps new runs off hosts with pending upkeep. Hosts with
// long-running tasks are reserved at once, because these tasks are moved one
// after the other; those with the least work are reserved if the wave is urgent.
func (m *Manager) reserveHosts(w *wave, urgent bool) {
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
	if !urgent {
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

// leastLoaded returns the unreserved executors of the wave's pending hosts,
// those with the least work first.
func (m *Manager) leastLoaded(w *wave) []*session {
	var list []*session
	for _, name := range w.pending {
		if s := m.sessionOn(name); s != nil && s.reservedFor == actionNone && !w.isOrdered(name) {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *session) int { return int(a.allocated.CPU - b.allocated.CPU) })
	return list
}

// awaitsUpkeep reports whether the upkeep of a host is pending in some wave.
func (m *Manager) awaitsUpkeep(name string) bool {
	for _, w := range m.waves {
		if w.isPending[name] {
			return true
		}
	}
	return false
}

// candidates returns the hosts with pending upkeep, those with the least work
// first.
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

// tryUpkeep orders the upkeep of a host if the wave has a free slot and the
// host may go, and reports whether it did. A host with runs is left alone
// unless it is reserved.
func (m *Manager) tryUpkeep(w *wave, name string, hasSlot, urgent bool, now time.Time) bool {
	h := m.hosts.get(name)
	if now.Before(h.nextOrder) {
		return false
	}
	if h.isRemoved() {
		m.waiveUpkeep(w, h, now)
		return false
	}
	if h.orderPending || m.isContested(name) || !m.mayOrderHost(name, now) {
		return false
	}
	if h.away && (!w.isOrdered(name) || h.wave != w.rec.ID) {
		// It is away for another operation, also if an earlier order of this wave has no
		// known outcome.
		return false
	}
	s := m.sessionOn(name)
	switch {
	case s == nil:
		return hasSlot && m.tryUpkeepWithoutExecutor(w, h, now)
	case s.reservedFor == actionMove || s.reservedFor == actionNone && len(s.runs) > 0:
		return false
	case !m.evictRuns(s, urgent, now) || !hasSlot:
		return false
	}
	s.reservedFor = actionUpkeep
	m.orderUpkeep(w, h, now)
	return true
}

// tryUpkeepWithoutExecutor orders the upkeep of a host without a known executor, unless
// the newest listing shows that it is not up, or lacks it although it began later than
// anything that showed the host: then the next listing decides. A host may also be missing
// because it was added after the listing began, or because some rows could not be read. The
// platform refuses the upkeep of a host that does not exist.
func (m *Manager) tryUpkeepWithoutExecutor(w *wave, h *host, now time.Time) bool {
	if h.absences > 0 || !h.listedAt.Before(m.hosts.listedAt) && h.listed.State != HostUp {
		return false
	}
	m.orderUpkeep(w, h, now)
	return true
}

// waiveUpkeep proposes to record that a host of the wave is removed.
func (m *Manager) waiveUpkeep(w *wave, h *host, now time.Time) {
	m.propose(jobs.Command{RecordUpkeep: &jobs.RecordUpkeep{Wave: w.rec.ID, Host: h.name, Removed: true}})
	h.nextOrder = now.Add(hostOrderInterval)
}

func (w *wave) isOrdered(name string) bool {
	_, ok := w.ordered[name]
	return ok
}

func (m *Manager) orderUpkeep(w *wave, h *host, now time.Time) {
	o := w.ordered[h.name]
	switch {
	case o.mayBeDone:
	case h.inherited != nil && h.inherited.Wave == w.rec.ID:
		o = upkeepOrder{endsExecutor: h.inherited.Executor, mayBeDone: true}
	default:
		o = upkeepOrder{endsExecutor: m.newestNumberOn(h.name)}
	}
	w.ordered[h.name] = o
	h.wave, h.endsExecutor, h.mayBeDone = w.rec.ID, o.endsExecutor, o.mayBeDone
	m.orderHost(h, Call{Kind: CallUpkeepHost, Wave: w.rec.ID}, now)
}

// isUrgent reports whether the wave would exceed its time limit if it waited
// for runs to end.
func (m *Manager) isUrgent(w *wave, now time.Time) bool {
	return m.spareTime(w, now) < 0
}

// spareTime returns the time for which the wave can wait until the upkeep of its pending
// hosts must begin one after the other to keep the time limit.
func (m *Manager) spareTime(w *wave, now time.Time) time.Duration {
	perHost := m.cfg.UpkeepTime + upkeepOverhead
	rounds := (len(w.pending) + max(w.rec.MaxParallel, 1) - 1) / max(w.rec.MaxParallel, 1)
	limit := time.Duration(w.rec.TimeLimit) * time.Millisecond
	timeLeft := time.Duration((1-waveReserveShare)*float64(limit)) - now.Sub(w.requestedAt)
	return timeLeft - time.Duration(rounds)*perHost
}

// upkeepAnswered processes the answer to an upkeep order.
func (m *Manager) upkeepAnswered(pending pendingCall, o Outcome, now time.Time) {
	h := m.hosts.get(pending.host)
	h.orderPending, h.nextOrder = false, now.Add(hostOrderInterval)
	w := m.waves[pending.wave]
	if w == nil {
		return
	}
	order := w.ordered[pending.host]
	switch {
	case o.Verdict == OK:
		h.exists(presenceOrder, now)
		m.propose(jobs.Command{RecordUpkeep: &jobs.RecordUpkeep{Wave: pending.wave, Host: pending.host}})
		m.hostOrderDone(h, "host is in upkeep", now)
	case o.Verdict == Refused && o.Refusal == RefusedUnknownHost && !h.presence.at.After(pending.sentAt):
		delete(w.ordered, pending.host)
		m.hostRemoved(h, removalUnknown, pending.sentAt, now)
		m.waiveUpkeep(w, h, now)
	case o.Verdict == Refused && o.Refusal == RefusedHostBusy && order.mayBeDone:
		// An earlier order may have been carried out and be the reason.
		h.nextOrder = now.Add(m.cfg.UpkeepTime + upkeepOverhead)
	case (o.Verdict == Refused || o.Verdict == NotSent || o.Verdict == NotPermitted) && !order.mayBeDone:
		h.away, h.wave, h.evictedAt = false, 0, time.Time{}
		delete(w.ordered, pending.host)
	default:
		// This order or an earlier one may have been carried out. The host counts as
		// away until an equal order is answered.
		order.mayBeDone, h.mayBeDone = true, true
		w.ordered[pending.host] = order
	}
}

package manager

import (
	"slices"
	"time"

	"laburnumdock/internal/core/jobs"
)

// This file holds the rule by which the leader uses the platform's listing of hosts:
//
//	A listing speaks of the time between its call and its answer. It shows nothing about
//	a host that is contradicted by anything newer than its call.
//
// Its pool and its state are contradicted by a report or an answer of its executor, by the
// answer to an order for it, and by an order that has no answer yet. Its absence is
// contradicted by whatever shows its presence: these reports and answers, or the request
// of a wave that names it. A host is taken for removed only on proof that is newer than its
// presence: its absence from a complete listing, or the platform's answer to an order that
// it does not know the host.

// presenceSource is the kind of evidence that a host exists.
type presenceSource uint8

const (
	// presenceWave means that a wave which names the host was recorded, or was already
	// running when this leader began.
	presenceWave presenceSource = iota + 1
	// presenceListing means that a listing contained the host.
	presenceListing
	// presenceOrder means that the platform has carried out an order for the host. A
	// refusal shows nothing: the platform may call a host busy that it no longer lists.
	presenceOrder
	// presenceReport and presenceAnswer mean that an executor on the host reported, or
	// answered a call.
	presenceReport
	presenceAnswer
)

// String returns the name used in logs.
func (p presenceSource) String() string {
	names := [...]string{"none", "wave_request", "listing", "order_answered", "executor_report", "executor_answer"}
	if int(p) < len(names) {
		return names[p]
	}
	return names[0]
}

// presence is evidence that a host existed at some time.
type presence struct {
	source presenceSource
	at     time.Time
}

// The reasons of EventHostRemoved, which name the proof.
const (
	removalAbsent  = "absent_from_listing"
	removalUnknown = "unknown_to_platform"
)

// exists notes evidence that the host existed at the given time.
func (h *host) exists(source presenceSource, at time.Time) {
	if at.Before(h.presence.at) || h.isRemoved() && !at.After(h.removedAt) {
		return
	}
	h.presence, h.removedAt = presence{source: source, at: at}, time.Time{}
	if at.After(h.absentSince) {
		h.absences = 0
	}
}

// isRemoved reports whether there is proof, newer than the presence, that the host has been
// removed from the platform.
func (h *host) isRemoved() bool { return !h.removedAt.IsZero() }

// hostInventory holds the hosts and the state of the platform listing.
type hostInventory struct {
	byName      map[string]*host
	listPending bool
	// listFailures is the number of listings in a row that failed.
	listFailures int
	// listedAt is the start of the newest complete listing.
	listedAt time.Time
	nextList time.Time
	// rows are those of the pages received so far, and unreadable is the number of
	// those that could not be read.
	rows       []HostRow
	unreadable int
	// pages is the number of pages received so far.
	pages int
	// listStartedAt is the start of the newest listing, complete or not.
	listStartedAt time.Time
	// unrecorded are the queued orders whose record is not proposed yet.
	unrecorded []jobs.HostOrder
	// settledAt is the time of the last check for orders that have settled.
	settledAt time.Time
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

const (
	// minListInterval is the least time between two listings of the platform's
	// hosts. A listing has a cost, and most changes are known from reports.
	minListInterval = 2 * time.Second
	// maxListPages bounds the pages of a listing, which would otherwise never end if
	// the platform repeats a page token.
	maxListPages = 1000
	// lostListings is the number of failed listings in a row before the timeout of the
	// next one doubles. The outages of the platform that are described last 5 s.
	lostListings = 3
	// maxListTimeoutDoublings bounds how often it doubles, to 16 s.
	maxListTimeoutDoublings = 3
	// pagedAbsences is the number of listings in a row that must lack a host if they have
	// several pages. A host may be missing from one of them because the listing changes
	// between two pages.
	pagedAbsences = 2
)

// listHosts starts a listing of the platform's hosts unless one is pending or
// too recent.
func (m *Manager) listHosts(now time.Time) {
	inv := &m.hosts
	if inv.listPending || now.Before(inv.nextList) {
		return
	}
	inv.listPending, inv.rows, inv.unreadable, inv.pages, inv.listStartedAt = true, nil, 0, 0, now
	m.callListHosts("", now)
}

// callListHosts requests a page of the listing. A platform that has become slow gets
// more time after some failures. The first ones may be answers that were lost, after
// which a long timeout would only delay the next try.
func (m *Manager) callListHosts(pageToken string, now time.Time) {
	timeout := hostCallTimeout << min(max(m.hosts.listFailures-lostListings, 0), maxListTimeoutDoublings)
	m.call(Call{Kind: CallListHosts, Timeout: timeout, PageToken: pageToken}, pendingCall{}, now)
}

// listHostsAnswered processes one page of the listing.
func (m *Manager) listHostsAnswered(o Outcome, now time.Time) {
	inv := &m.hosts
	if o.Verdict != OK {
		inv.listPending, inv.nextList = false, now.Add(hostOrderInterval)
		inv.listFailures++
		return
	}
	inv.rows, inv.unreadable = append(inv.rows, o.Hosts...), inv.unreadable+o.UnreadableHosts
	if inv.pages++; o.NextPageToken != "" && inv.pages >= maxListPages {
		inv.listPending, inv.rows, inv.nextList = false, nil, now.Add(minListInterval)
		return
	}
	if o.NextPageToken != "" {
		m.callListHosts(o.NextPageToken, now)
		return
	}
	inv.listFailures = 0
	inv.listPending, inv.listedAt, inv.nextList = false, inv.listStartedAt, now.Add(minListInterval)
	for _, row := range inv.rows {
		m.hostListed(row, now)
	}
	if inv.unreadable == 0 {
		m.settleAbsentHosts(now)
	}
	inv.rows = nil
}

// hostListed updates a host from its row in a complete listing. What has been heard from
// the host's executor since the listing began tells its pool, and that it is not away.
func (m *Manager) hostListed(row HostRow, now time.Time) {
	inv := &m.hosts
	h := inv.get(row.Host)
	h.listed, h.listedAt = row, inv.listStartedAt
	h.exists(presenceListing, inv.listStartedAt)
	if h.orderPending || h.changedAt.After(inv.listStartedAt) {
		return
	}
	isHeardSince := h.heardAt.After(inv.listStartedAt)
	if !h.away && !isHeardSince {
		h.pool = row.Pool
		if row.State == HostInUpkeep {
			h.away, h.changedAt, h.orderedAt, h.wave = true, inv.listStartedAt, inv.listStartedAt, m.waveOf(h)
		}
	}
	// An operation that began some time after its order may still be under way.
	longestAway := max(m.cfg.MoveTime, m.cfg.UpkeepTime)
	hasReturned := row.State == HostUp || row.State == HostDown
	if !h.away || !hasReturned || !h.changedAt.Before(inv.listStartedAt.Add(-longestAway)) {
		return
	}
	h.away, h.changedAt, h.target, h.wave, h.pool = false, now, "", 0, row.Pool
	s := m.sessionOn(row.Host)
	if s == nil {
		return
	}
	if isHeardSince {
		h.pool = s.rec.Pool
	}
	if s.reservedFor == actionMove {
		m.releaseReservation(s)
	}
}

// settleAbsentHosts concludes which hosts are removed after a complete listing without
// unreadable rows. A host with an executor is left alone: silence ends the executor, and
// an order for the host shows whether it exists.
func (m *Manager) settleAbsentHosts(now time.Time) {
	inv := &m.hosts
	needed := 1
	if inv.pages > 1 {
		needed = pagedAbsences
	}
	names := make([]string, 0, len(inv.byName))
	for name, h := range inv.byName {
		if h.listedAt.Before(inv.listStartedAt) {
			names = append(names, name)
		} else {
			h.absences = 0
		}
	}
	slices.Sort(names)
	for _, name := range names {
		h := inv.byName[name]
		switch {
		case h.isRemoved():
			if !h.orderPending && !m.awaitsUpkeep(name) {
				delete(inv.byName, name)
			}
		case h.presence.at.After(inv.listStartedAt) || m.sessionOn(name) != nil:
			h.absences = 0
		default:
			if h.absences == 0 {
				h.absentSince = inv.listStartedAt
			}
			if h.absences++; h.absences >= needed {
				m.hostRemoved(h, removalAbsent, h.absentSince, now)
			}
		}
	}
}

// hostRemoved concludes that a host has been removed from the platform, on a proof from
// the given time. It is not away any more, so that it takes no place in a wave or a pool.
func (m *Manager) hostRemoved(h *host, reason string, provedAt, now time.Time) {
	m.logEvent(Event{
		Kind: EventHostRemoved, Run: int(m.waveOf(h)), Host: h.name, Pool: h.pool, Reason: reason, Age: now.Sub(provedAt),
		LastHeard: h.presence.source.String(), LastHeardAge: now.Sub(h.presence.at),
	})
	h.removedAt, h.absences, h.changedAt, h.evictedAt = provedAt, 0, now, time.Time{}
	h.away, h.target, h.wave, h.pool, h.mayBeDone = false, "", 0, "", false
}

package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// peerReportTTL is how long a report of a peer is valid: four report intervals.
	peerReportTTL = time.Second
	// maxPeers bounds the number of peers whose reports are kept.
	maxPeers = 64
	// maxReportedEndpoints bounds the endpoints in one report.
	maxReportedEndpoints = 32768
	// refusalInitialBackoff and refusalMaxBackoff bound the time for which an
	// endpoint is skipped after a refusal. The first is about the run time of short
	// work.
	refusalInitialBackoff = 2 * time.Millisecond
	refusalMaxBackoff     = 50 * time.Millisecond
	// maxConsecutiveRefusals is the number of consecutive refusals that count as a
	// failure. With the backoff between them they take about 0.7 s, longer than
	// full slots explain.
	maxConsecutiveRefusals = 20
	// endpointReportTTL is how long the endpoint's own report of its slots takes
	// precedence over the reports of peers, which arrive every 250 ms.
	endpointReportTTL = 100 * time.Millisecond
	// borrowHeadroom is the number of slots that are not borrowed on an endpoint
	// that others use, for work that they started since their last report.
	borrowHeadroom = 1
)

// PeerSlots is the number of slots of one endpoint that an entry host uses.
type PeerSlots struct {
	Endpoint            string
	InUse, Long, Queued int
}

// peer is the last report of another entry host.
type peer struct {
	incarnation uint64
	expires     time.Duration
	use         map[string]slotUse
}

type slotUse struct{ inUse, long int }

// SetPeerUse replaces the previous report of a peer. A report of an older
// incarnation is ignored.
func (t *Table) SetPeerUse(now time.Duration, name string, incarnation uint64, use []PeerSlots) {
	p := t.peers[name]
	if name == t.cfg.Self || len(use) > maxReportedEndpoints || (p == nil && len(t.peers) >= maxPeers) {
		return
	}
	if p == nil {
		p = &peer{use: make(map[string]slotUse)}
		t.peers[name] = p
		t.updateEntryHosts()
	}
	if incarnation < p.incarnation {
		return
	}
	t.addPeerUse(p, -1)
	clear(p.use)
	p.incarnation = incarnation
	p.expires = now + peerReportTTL
	for _, u := range use {
		p.use[u.Endpoint] = slotUse{inUse: max(u.InUse, 0), long: max(u.Long, 0)}
	}
	t.addPeerUse(p, 1)
}

// addPeerUse adds the report of a peer to the sums, or subtracts it if sign is -1.
func (t *Table) addPeerUse(p *peer, sign int) {
	for name, u := range p.use {
		if e := t.endpoints[name]; e != nil {
			e.peerInUse += sign * u.inUse
			e.peerLong += sign * u.long
			e.service.peerInUse += sign * u.inUse
			e.service.peerLong += sign * u.long
		}
	}
}

// ExpirePeers drops the reports of peers that are no longer valid.
func (t *Table) ExpirePeers(now time.Duration) {
	dropped := false
	for name, p := range t.peers {
		if now >= p.expires {
			t.addPeerUse(p, -1)
			delete(t.peers, name)
			dropped = true
		}
	}
	if dropped {
		t.updateEntryHosts()
	}
}

// updateEntryHosts recomputes the set of entry hosts and all quotas after a peer
// was added or dropped.
func (t *Table) updateEntryHosts() {
	t.entryHosts = append(t.entryHosts[:0], t.cfg.Self)
	for name := range t.peers {
		t.entryHosts = append(t.entryHosts, name)
	}
	slices.Sort(t.entryHosts)
	for _, e := range t.endpoints {
		t.assignQuota(e)
	}
}

// assignQuota computes this entry host's quota of an endpoint. All entry hosts
// compute the same division: the slots are dealt to them in turn, starting at a
// host that depends on the hash of the endpoint. The endpoint's home is chosen by
// rendezvous hashing.
func (t *Table) assignQuota(e *Endpoint) {
	n := len(t.entryHosts)
	self := slices.Index(t.entryHosts, t.cfg.Self)
	rank := (self + int(e.hash%uint64(n))) % n
	e.quota = e.Slots / n
	if rank < e.Slots%n {
		e.quota++
	}
	bestWeight := uint64(0)
	for i, host := range t.entryHosts {
		if weight := mix(xxhash.Sum64String(host), e.hash); i == 0 || weight > bestWeight {
			bestWeight = weight
			e.isHome = host == t.cfg.Self
		}
	}
}

// freeSlots returns the number of slots that this entry host may still take.
// With SplitLearned short work may try the last slot that appears free: a refusal
// costs it one round trip, less than the wait for a slot. It does not do so
// after a refusal, because attempts after a refusal have a budget.
func (t *Table) freeSlots(e *Endpoint, now time.Duration, long bool) int {
	if now < e.blockedUntil {
		return 0
	}
	switch t.cfg.Sharing {
	case ShareHome:
		if !e.isHome {
			return 0
		}
		return e.Slots - e.InUse
	case ShareFeedback:
		return e.Slots - e.InUse - e.usedByOthers(now)
	case ShareCredits:
		if len(t.peers) == 0 {
			return e.Slots - e.InUse
		}
		borrowable := e.Slots - e.InUse - e.usedByOthers(now)
		if e.usedByOthers(now) > 0 && (long || e.refusals > 0 || t.cfg.Placement != SplitLearned) {
			borrowable -= borrowHeadroom
		}
		return max(min(e.quota, e.Slots)-e.InUse, borrowable)
	}
	return 0
}

// RecordSlotsInUse records the number of slots in use that the endpoint itself
// reported.
func (t *Table) RecordSlotsInUse(e *Endpoint, inUse int, now time.Duration) {
	e.reportedByEndpoint = max(inUse-e.InUse, 0)
	e.reportExpires = now + endpointReportTTL
}

// usedByOthers returns the number of slots that other entry hosts use: by the
// endpoint's own report while it is valid, else by the reports of peers.
func (e *Endpoint) usedByOthers(now time.Duration) int {
	if now < e.reportExpires {
		return e.reportedByEndpoint
	}
	return e.peerInUse
}

// RecordRefusal records that the endpoint had no free slot. An endpoint that
// keeps refusing while this entry host uses none of its slots counts as failed.
func (t *Table) RecordRefusal(e *Endpoint, now time.Duration) {
	e.refusals++
	e.blockedUntil = now + min(refusalInitialBackoff<<min(e.refusals-1, 10), refusalMaxBackoff)
	if e.refusals >= maxConsecutiveRefusals && e.InUse == 0 {
		t.RecordFailure(e, now)
	}
}

// SlotsInUse calls yield for every endpoint on which this entry host uses slots.
func (t *Table) SlotsInUse(yield func(PeerSlots)) {
	for name, e := range t.endpoints {
		if e.InUse > 0 {
			yield(PeerSlots{Endpoint: name, InUse: e.InUse, Long: e.Long})
		}
	}
}

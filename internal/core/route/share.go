package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// peerSilence is how long a report of a peer counts: four missed reports.
	peerSilence = time.Second
	// maxPeers bounds the reports kept.
	maxPeers = 64
	// maxReported bounds the endpoints of one report.
	maxReported = 32768
	// blockFirst and blockMax are how long an endpoint without a free slot is
	// left alone: about the run time of short work at first.
	blockFirst = 2 * time.Millisecond
	blockMax   = 50 * time.Millisecond
	// refusalsFail is the number of refusals in a row, with the blocks between
	// them about 0.7 s, after which full slots do not explain them.
	refusalsFail = 20
	// statedSpan is how long the statement of an endpoint outweighs the reports
	// of peers, which come every 250 ms.
	statedSpan = 100 * time.Millisecond
	// lendSlack is the number of slots that are not lent on an endpoint that
	// others use, for work that they started since their last report.
	lendSlack = 1
)

// PeerSlots is the use of one endpoint by a peer.
type PeerSlots struct {
	Endpoint            string
	InUse, Long, Queued int
}

type peer struct {
	incarnation uint64
	until       time.Duration
	use         map[string]slotUse
}

type slotUse struct{ inUse, long int }

// PeerUse replaces what a peer reported before. A report of an older
// incarnation is ignored.
func (t *Table) SetPeerUse(now time.Duration, name string, incarnation uint64, use []PeerSlots) {
	p := t.peers[name]
	if name == t.cfg.Self || len(use) > maxReported || (p == nil && len(t.peers) >= maxPeers) {
		return
	}
	if p == nil {
		p = &peer{use: make(map[string]slotUse)}
		t.peers[name] = p
		t.regroup()
	}
	if incarnation < p.incarnation {
		return
	}
	t.apply(p, -1)
	clear(p.use)
	p.incarnation = incarnation
	p.until = now + peerSilence
	for _, u := range use {
		p.use[u.Endpoint] = slotUse{inUse: max(u.InUse, 0), long: max(u.Long, 0)}
	}
	t.apply(p, 1)
}

// apply adds or subtracts the report of a peer.
func (t *Table) apply(p *peer, sign int) {
	for name, u := range p.use {
		if e := t.endpoints[name]; e != nil {
			e.peers += sign * u.inUse
			e.peerLong += sign * u.long
			e.service.peers += sign * u.inUse
			e.service.peerLong += sign * u.long
		}
	}
}

// ExpirePeers drops the reports of peers that fell silent.
func (t *Table) ExpirePeers(now time.Duration) {
	dropped := false
	for name, p := range t.peers {
		if now >= p.until {
			t.apply(p, -1)
			delete(t.peers, name)
			dropped = true
		}
	}
	if dropped {
		t.regroup()
	}
}

// regroup computes all shares after a change of the set of entry hosts.
func (t *Table) regroup() {
	t.members = append(t.members[:0], t.cfg.Self)
	for name := range t.peers {
		t.members = append(t.members, name)
	}
	slices.Sort(t.members)
	for _, e := range t.endpoints {
		t.share(e)
	}
}

// share computes what this entry host may use of an endpoint. Each entry host
// computes the same division: the slots go round the members, starting at a
// member that differs by endpoint.
func (t *Table) share(e *Endpoint) {
	n := len(t.members)
	self := slices.Index(t.members, t.cfg.Self)
	turn := (self + int(e.hash%uint64(n))) % n
	e.quota = e.Slots / n
	if turn < e.Slots%n {
		e.quota++
	}
	best := uint64(0)
	for i, m := range t.members {
		if w := mix(xxhash.Sum64String(m), e.hash); i == 0 || w > best {
			best = w
			e.home = m == t.cfg.Self
		}
	}
}

// free is the number of slots that this entry host may still take. With
// SplitLearned short work may try the last slot that looks free: a refusal
// costs it one round trip, less than the wait for a slot. It does not do so
// after a refusal, because refusals use up the budget of moves.
func (t *Table) free(e *Endpoint, now time.Duration, long bool) int {
	if now < e.blockedUntil {
		return 0
	}
	switch t.cfg.Sharing {
	case ShareHome:
		if !e.home {
			return 0
		}
		return e.Slots - e.InUse
	case ShareFeedback:
		return e.Slots - e.InUse - e.others(now)
	case ShareCredits:
		if len(t.peers) == 0 {
			return e.Slots - e.InUse
		}
		lent := e.Slots - e.InUse - e.others(now)
		if e.others(now) > 0 && (long || e.refusals > 0 || t.cfg.Placement != SplitLearned) {
			lent -= lendSlack
		}
		return max(min(e.quota, e.Slots)-e.InUse, lent)
	}
	return 0
}

// Stated notes the number of slots in use by the endpoint's own statement.
func (t *Table) RecordSlotsInUse(e *Endpoint, inUse int, now time.Duration) {
	e.stated = max(inUse-e.InUse, 0)
	e.statedUntil = now + statedSpan
}

// others is the number of slots that other entry hosts use: by the endpoint's
// statement while it is fresh, else by the reports of the peers.
func (e *Endpoint) others(now time.Duration) int {
	if now < e.statedUntil {
		return e.stated
	}
	return e.peers
}

// Refused notes that the endpoint had no free slot. An endpoint that goes on
// refusing while this entry host uses none of its slots counts as failed.
func (t *Table) RecordRefusal(e *Endpoint, now time.Duration) {
	e.refusals++
	e.blockedUntil = now + min(blockFirst<<min(e.refusals-1, 10), blockMax)
	if e.refusals >= refusalsFail && e.InUse == 0 {
		t.RecordFailure(e, now)
	}
}

// Use calls yield for every endpoint on which this entry host uses slots.
func (t *Table) SlotsInUse(yield func(PeerSlots)) {
	for name, e := range t.endpoints {
		if e.InUse > 0 {
			yield(PeerSlots{Endpoint: name, InUse: e.InUse, Long: e.Long})
		}
	}
}

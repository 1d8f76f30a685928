package route

import (
	"math"
	"math/bits"
	"time"
)

const (
	// DefaultSlack is the factor of square-root staffing. 2.2 would keep the
	// chance that short work finds no slot near 1% for random arrivals; 1.5 holds
	// short work below 0.05 of the baseline and costs long work less.
	DefaultSlack = 1.5
	// demandSpan averages the demand of short work. If this entry host's own
	// demand points to more than surgeRatio times the average, changeSpan holds:
	// a surge is answered before long work fills the slots. It also holds when
	// no short work waits and the demand is below the average by that ratio, so
	// that the reserve is free for long work soon after a surge.
	demandSpan = 300 * time.Millisecond
	changeSpan = 30 * time.Millisecond
	surgeRatio = 2
	// idleShare is the least reserve by the number of endpoints against long
	// work that has waited for PeakWait.
	idleShare = 0.2
	// peakSpan is how long a peak of the demand of short work is remembered:
	// several surges of a queue.
	peakSpan = time.Minute
	// PeakWait is how long long work waits before it may take the slots that
	// only a remembered peak needs. The demand of a new surge is known by then.
	AgingDelay = 50 * time.Millisecond
	// shareSpan is the span over which this entry host's share of the load is
	// averaged.
	shareSpan = 2 * time.Second
)

// demand is the averaged load of a service.
type demand struct {
	at time.Duration
	// short is the mean number of short attempts that run or wait.
	short float64
	// own and peers are the mean numbers of used slots.
	own, peers float64
	// reserve is the number of slots kept for short work on all endpoints, and
	// longLimit the number of this entry host's long attempts.
	reserve, longLimit int
	// peak and peakLimit are the same for long work that has not waited yet: by
	// the highest demand of short work that is remembered.
	peak, peakLimit int
	held            float64
	long            int
	inUse           int
}

// limit is the number of long attempts that this entry host may run.
func (d *demand) limit(aged bool) int {
	if aged {
		return d.longLimit
	}
	return d.peakLimit
}

// Wish is what is asked of Pick.
type PickOptions struct {
	Long bool
	// Aged is set for long work that has waited for PeakWait.
	Aged bool
	// Not is the endpoint of the former attempt, which is avoided.
	Avoid *Endpoint
}

// Pick returns the endpoint for an attempt, or nil if no slot may be taken.
func (t *Table) Pick(s *Service, now time.Duration, w PickOptions) *Endpoint {
	if len(s.endpoints) == 0 {
		return nil
	}
	if t.cfg.Placement == TwoChoices {
		if e := t.pickTwo(s, now, w); e != nil {
			return e
		}
	}
	if w.Long && t.cfg.Placement == SplitLearned && s.demand.long >= s.demand.limit(w.Aged) {
		return nil
	}
	var best *Endpoint
	score := math.MinInt
	// The scan starts at a random place so that equal endpoints share the load.
	n := len(s.endpoints)
	start := s.randomIndex(n)
	for i := range n {
		at := start + i
		if at >= n {
			at -= n
		}
		e := s.endpoints[at]
		if v, ok := t.score(e, now, w); ok && v > score {
			best = e
			score = v
		}
	}
	return best
}

// pickTwo takes the better of two random endpoints. It returns nil if neither
// has a free slot.
func (t *Table) pickTwo(s *Service, now time.Duration, w PickOptions) *Endpoint {
	a := s.endpoints[s.randomIndex(len(s.endpoints))]
	b := s.endpoints[s.randomIndex(len(s.endpoints))]
	va, oka := t.score(a, now, w)
	vb, okb := t.score(b, now, w)
	switch {
	case oka && (!okb || va >= vb):
		return a
	case okb:
		return b
	}
	return nil
}

// Another tells whether an endpoint other than the given one takes new work
// now or when a slot is free.
func (t *Table) HasAlternative(s *Service, now time.Duration, not *Endpoint) bool {
	for _, e := range s.endpoints {
		if e != not && e.routable(now) {
			return true
		}
	}
	return false
}

// Weights of the score: another rack or zone than the failed attempt's comes
// before the number of free slots.
const (
	otherZone = 200000
	otherRack = 100000
)

// score tells whether the endpoint may take the attempt, and how well it fits.
func (t *Table) score(e *Endpoint, now time.Duration, w PickOptions) (int, bool) {
	if !e.routable(now) || e == w.Avoid {
		return 0, false
	}
	free := t.free(e, now, w.Long)
	if free <= 0 {
		return 0, false
	}
	if w.Long && t.cfg.Placement == SplitLearned && e.Long+e.peerLong >= e.Slots-e.reserve(w.Aged) {
		return 0, false
	}
	v := e.Slots - e.InUse - e.others(now)
	if w.Avoid != nil {
		if e.Zone != w.Avoid.Zone {
			v += otherZone
		}
		if e.Rack != w.Avoid.Rack {
			v += otherRack
		}
	}
	return v, true
}

// reserve is the number of slots of the endpoint that long work must leave. It
// is one less than the endpoint's part of the whole reserve, which bounds long
// work in the service, because what peers run is known with a lag.
func (e *Endpoint) reserve(aged bool) int {
	s := e.service
	n := len(s.endpoints)
	whole, least := s.demand.peak, 1
	if aged {
		whole, least = s.demand.reserve, 0
	}
	r := whole / n
	if e.order < whole%n {
		r++
	}
	return max(r-1, least)
}

func (s *Service) randomIndex(n int) int {
	s.random ^= s.random << 13
	s.random ^= s.random >> 7
	s.random ^= s.random << 17
	high, _ := bits.Mul64(s.random, uint64(n))
	return int(high)
}

// Start counts an attempt on an endpoint.
func (t *Table) StartAttempt(e *Endpoint, long bool) {
	e.InUse++
	e.service.demand.inUse++
	if long {
		e.Long++
		e.service.demand.long++
	}
}

// End counts the end of an attempt.
func (t *Table) EndAttempt(e *Endpoint, long bool) {
	e.InUse--
	e.service.demand.inUse--
	if long {
		e.Long--
		e.service.demand.long--
	}
}

// TurnLong counts a running attempt as long from now on.
func (t *Table) MarkLong(e *Endpoint) {
	e.Long++
	e.service.demand.long++
}

// InFlight is the number of this entry host's attempts in a service.
func (s *Service) InFlight() int { return s.demand.inUse }

// LongInFlight is the number of those that count as long.
func (s *Service) LongInFlight() int { return s.demand.long }

// Observe averages the demand of a service. Waiting is the number of short
// requests in the queue of this entry host.
func (t *Table) ObserveDemand(s *Service, now time.Duration, waiting int) {
	d := &s.demand
	step := float64(now - d.at)
	d.at = now
	slow := 1 - math.Exp(-step/float64(shareSpan))
	d.own += slow * (float64(d.inUse+waiting) - d.own)
	d.peers += slow * (float64(s.peers) - d.peers)
	share := t.ownShare(d)
	// The reports of peers are old when a surge begins, so the demand of all is
	// also inferred from this entry host's own.
	own := d.inUse - d.long + waiting
	current := float64(own + s.peers - s.peerLong)
	span := demandSpan
	if inferred := float64(own) / share; inferred > surgeRatio*max(d.short, 1) {
		current = max(current, inferred)
		span = changeSpan
	}
	if waiting == 0 && current*surgeRatio < d.short {
		span = changeSpan
	}
	d.short += (1 - math.Exp(-step/float64(span))) * (current - d.short)
	need := d.short + t.cfg.Slack*math.Sqrt(d.short)
	d.held = max(need, d.held*math.Exp(-step/float64(peakSpan)))
	// Long work keeps one slot of every endpoint, so that it never starves. Short
	// work keeps another one, so that a surge finds room, but for long work that
	// has waited.
	n := len(s.endpoints)
	bound := func(v, least float64) int { return min(int(math.Ceil(max(v, least))), max(s.slots-n, 0)) }
	d.reserve = bound(need, idleShare*float64(n))
	d.peak = bound(d.held, float64(n))
	d.longLimit = longLimit(share, s.slots-d.reserve)
	d.peakLimit = longLimit(share, s.slots-d.peak)
}

// longLimit is an entry host's part of the slots for long work. It is rounded
// up, because hosts that use less leave slots idle.
func longLimit(share float64, slots int) int {
	return max(int(math.Ceil(share*float64(slots))), 1)
}

// ownShare is this entry host's share of the recent load, at least an equal
// share among the entry hosts.
func (t *Table) ownShare(d *demand) float64 {
	if len(t.peers) == 0 || d.own+d.peers <= 0 {
		return 1
	}
	return max(d.own/(d.own+d.peers), 1/float64(len(t.members)))
}

// Reserve is the number of slots kept for short work, for reports.
func (s *Service) Reserve() int { return s.demand.reserve }

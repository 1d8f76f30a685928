package route

import (
	"math"
	"math/bits"
	"time"
)

const (
	// DefaultSlack is the factor of the square root in the reserve by square-root
	// staffing. 2.2 would keep the probability that short work finds no slot near
	// 1% for random arrivals; 1.5 keeps the wait of short work below 0.05 of the
	// baseline and costs long work less.
	DefaultSlack = 1.5
	// demandTimeConstant is the time constant of the average demand of short work.
	// surgeTimeConstant replaces it if this entry host's own demand implies more
	// than surgeRatio times the average, so that the reserve grows before long work
	// fills the slots. It also applies if no short work waits and the demand is
	// below the average by that ratio, so that long work gets the reserve soon
	// after a surge.
	demandTimeConstant = 300 * time.Millisecond
	surgeTimeConstant  = 30 * time.Millisecond
	surgeRatio         = 2
	// minReservePerEndpoint is the least reserve, in slots per endpoint, against
	// long work that has waited for AgingDelay.
	minReservePerEndpoint = 0.2
	// peakTimeConstant is the time constant with which the peak demand of short
	// work decays. It spans several surges of a queue.
	peakTimeConstant = time.Minute
	// AgingDelay is how long long work waits before it may take slots that are
	// reserved for a past peak only. By then the demand of a new surge is known.
	AgingDelay = 50 * time.Millisecond
	// shareTimeConstant is the time constant of this entry host's average share of
	// the load.
	shareTimeConstant = 2 * time.Second
)

// demand is the average load of a service and the reserve derived from it.
type demand struct {
	updatedAt time.Duration
	// meanShort is the mean number of short attempts that run or wait.
	meanShort float64
	// meanOwn is the mean number of slots that this entry host uses or waits for,
	// meanPeers that of the slots that its peers use.
	meanOwn, meanPeers float64
	// reserve is the number of slots on all endpoints that are kept for short work,
	// and longLimit the number of long attempts that this entry host may run.
	reserve, longLimit int
	// peakReserve and peakLongLimit are the same for long work that has not waited
	// for AgingDelay. They are derived from peakNeed, the decaying peak of the slots
	// that short work needs.
	peakReserve, peakLongLimit int
	peakNeed                   float64
	longInUse                  int
	inUse                      int
}

// maxLong returns the number of long attempts that this entry host may run. aged
// is set for long work that has waited for AgingDelay.
func (d *demand) maxLong(aged bool) int {
	if aged {
		return d.longLimit
	}
	return d.peakLongLimit
}

// PickOptions restricts the choice of Pick.
type PickOptions struct {
	Long bool
	// Aged is set for long work that has waited for AgingDelay.
	Aged bool
	// Avoid is the endpoint of the failed previous attempt, or nil.
	Avoid *Endpoint
}

// Pick returns the endpoint for an attempt, or nil if no slot may be taken.
func (t *Table) Pick(s *Service, now time.Duration, opts PickOptions) *Endpoint {
	return t.pick(s, now, opts, &s.random, nil)
}

// Considered is an endpoint that was considered for an attempt, and why it may not take
// it.
type Considered struct {
	Endpoint  *Endpoint
	Score     int
	Exclusion Exclusion
}

// Choice is what Pick would return now, with the endpoints that were considered.
type Choice struct {
	Best       *Endpoint
	Considered []Considered
	// LimitsLong is set if the service runs as much long work of this entry host as it
	// may.
	LimitsLong bool
}

// Explain returns what Pick would return now, and why. It changes nothing.
func (t *Table) Explain(s *Service, now time.Duration, opts PickOptions) Choice {
	var c Choice
	random := s.random
	c.Best = t.pick(s, now, opts, &random, &c)
	return c
}

// pick chooses the endpoint for an attempt. It draws from the generator whose state is
// given, and adds to notes unless that is nil.
func (t *Table) pick(s *Service, now time.Duration, opts PickOptions, random *uint64, notes *Choice) *Endpoint {
	if len(s.endpoints) == 0 {
		return nil
	}
	if t.cfg.Placement == TwoChoices {
		if e := t.pickTwoChoices(s, now, opts, random, notes); e != nil {
			return e
		}
	}
	if opts.Long && t.cfg.Placement == SplitLearned && s.demand.longInUse >= s.demand.maxLong(opts.Aged) {
		if notes != nil {
			notes.LimitsLong = true
		}
		return nil
	}
	var best *Endpoint
	bestScore := math.MinInt
	// The scan starts at a random index so that equal endpoints share the load.
	n := len(s.endpoints)
	start := randomIndex(random, n)
	for i := range n {
		at := start + i
		if at >= n {
			at -= n
		}
		e := s.endpoints[at]
		score, exclusion := t.score(e, now, opts)
		notes.add(e, score, exclusion)
		if exclusion == ExclusionNone && score > bestScore {
			best = e
			bestScore = score
		}
	}
	return best
}

func (c *Choice) add(e *Endpoint, score int, exclusion Exclusion) {
	if c != nil {
		c.Considered = append(c.Considered, Considered{e, score, exclusion})
	}
}

// pickTwoChoices returns the better of two random endpoints, or nil if neither
// may take the attempt.
func (t *Table) pickTwoChoices(s *Service, now time.Duration, opts PickOptions, random *uint64, notes *Choice) *Endpoint {
	a := s.endpoints[randomIndex(random, len(s.endpoints))]
	b := s.endpoints[randomIndex(random, len(s.endpoints))]
	scoreA, exclusionA := t.score(a, now, opts)
	scoreB, exclusionB := t.score(b, now, opts)
	notes.add(a, scoreA, exclusionA)
	if a != b {
		notes.add(b, scoreB, exclusionB)
	}
	okA, okB := exclusionA == ExclusionNone, exclusionB == ExclusionNone
	switch {
	case okA && (!okB || scoreA >= scoreB):
		return a
	case okB:
		return b
	}
	return nil
}

// HasAlternative reports whether an endpoint other than avoid takes new work now
// or once it has a free slot.
func (t *Table) HasAlternative(s *Service, now time.Duration, avoid *Endpoint) bool {
	for _, e := range s.endpoints {
		if e != avoid && e.isRoutable(now) {
			return true
		}
	}
	return false
}

// A different zone or rack than that of the failed attempt outweighs the number
// of free slots in the score.
const (
	otherZoneScore = 200000
	otherRackScore = 100000
)

// score returns how well the endpoint fits the attempt, and why it may not take it, or
// ExclusionNone.
func (t *Table) score(e *Endpoint, now time.Duration, opts PickOptions) (int, Exclusion) {
	if exclusion := e.exclusion(now); exclusion != ExclusionNone {
		return 0, exclusion
	}
	if e == opts.Avoid {
		return 0, ExclusionAvoided
	}
	if t.freeSlots(e, now, opts.Long) <= 0 {
		if now < e.blockedUntil {
			return 0, ExclusionRefused
		}
		return 0, ExclusionNoSlot
	}
	if opts.Long && t.cfg.Placement == SplitLearned && e.Long+e.peerLong >= e.Slots-e.reserve(opts.Aged) {
		return 0, ExclusionReserved
	}
	score := e.Slots - e.InUse - e.usedByOthers(now)
	if opts.Avoid != nil {
		if e.Zone != opts.Avoid.Zone {
			score += otherZoneScore
		}
		if e.Rack != opts.Avoid.Rack {
			score += otherRackScore
		}
	}
	return score, ExclusionNone
}

// reserve returns the number of slots of the endpoint that long work must leave
// free. It is one less than the endpoint's part of the total reserve, because
// the slots that peers use are known with a lag; the total is enforced by the
// limit on long work in the service.
func (e *Endpoint) reserve(aged bool) int {
	s := e.service
	n := len(s.endpoints)
	total, minimum := s.demand.peakReserve, 1
	if aged {
		total, minimum = s.demand.reserve, 0
	}
	r := total / n
	if e.index < total%n {
		r++
	}
	return max(r-1, minimum)
}

// randomIndex returns a number from 0 to n-1 by an xorshift generator with the given
// state.
func randomIndex(state *uint64, n int) int {
	x := *state
	x ^= x << 13
	x ^= x >> 7
	x ^= x << 17
	*state = x
	high, _ := bits.Mul64(x, uint64(n))
	return int(high)
}

// StartAttempt counts an attempt on an endpoint.
func (t *Table) StartAttempt(e *Endpoint, long bool) {
	e.InUse++
	e.service.demand.inUse++
	if long {
		e.Long++
		e.service.demand.longInUse++
	}
}

// EndAttempt counts the end of an attempt.
func (t *Table) EndAttempt(e *Endpoint, long bool) {
	e.InUse--
	e.service.demand.inUse--
	if long {
		e.Long--
		e.service.demand.longInUse--
	}
}

// MarkLong counts a running attempt as long from now on.
func (t *Table) MarkLong(e *Endpoint) {
	e.Long++
	e.service.demand.longInUse++
}

// InFlight returns the number of this entry host's running attempts in the
// service.
func (s *Service) InFlight() int { return s.demand.inUse }

// LongInFlight returns the number of those that count as long.
func (s *Service) LongInFlight() int { return s.demand.longInUse }

// ObserveDemand updates the average demand and the reserve of a service. waiting
// is the number of short requests in the queue of this entry host.
func (t *Table) ObserveDemand(s *Service, now time.Duration, waiting int) {
	d := &s.demand
	elapsed := float64(now - d.updatedAt)
	d.updatedAt = now
	shareWeight := 1 - math.Exp(-elapsed/float64(shareTimeConstant))
	d.meanOwn += shareWeight * (float64(d.inUse+waiting) - d.meanOwn)
	d.meanPeers += shareWeight * (float64(s.peerInUse) - d.meanPeers)
	share := t.ownShare(d)
	// The reports of peers are out of date when a surge begins, so the total demand
	// is also extrapolated from this entry host's own.
	ownShort := d.inUse - d.longInUse + waiting
	current := float64(ownShort + s.peerInUse - s.peerLong)
	timeConstant := demandTimeConstant
	if inferred := float64(ownShort) / share; inferred > surgeRatio*max(d.meanShort, 1) {
		current = max(current, inferred)
		timeConstant = surgeTimeConstant
	}
	if waiting == 0 && current*surgeRatio < d.meanShort {
		timeConstant = surgeTimeConstant
	}
	d.meanShort += (1 - math.Exp(-elapsed/float64(timeConstant))) * (current - d.meanShort)
	need := d.meanShort + t.cfg.Slack*math.Sqrt(d.meanShort)
	d.peakNeed = max(need, d.peakNeed*math.Exp(-elapsed/float64(peakTimeConstant)))
	// One slot of every endpoint is never reserved, so that long work does not
	// starve. At least one other is reserved for a surge of short work, except from
	// long work that has waited for AgingDelay.
	n := len(s.endpoints)
	bound := func(v, least float64) int { return min(int(math.Ceil(max(v, least))), max(s.slots-n, 0)) }
	d.reserve = bound(need, minReservePerEndpoint*float64(n))
	d.peakReserve = bound(d.peakNeed, float64(n))
	d.longLimit = longShare(share, s.slots-d.reserve)
	d.peakLongLimit = longShare(share, s.slots-d.peakReserve)
}

// longShare returns the number of long attempts that an entry host with a share
// of the load may run on the given slots. It rounds up, because hosts that use
// less leave slots idle.
func longShare(share float64, slots int) int {
	return max(int(math.Ceil(share*float64(slots))), 1)
}

// ownShare returns this entry host's share of the recent load, and at least an
// equal share among the entry hosts.
func (t *Table) ownShare(d *demand) float64 {
	if len(t.peers) == 0 || d.meanOwn+d.meanPeers <= 0 {
		return 1
	}
	return max(d.meanOwn/(d.meanOwn+d.meanPeers), 1/float64(len(t.entryHosts)))
}

// Reserve returns the number of slots kept for short work, for reports.
func (s *Service) Reserve() int { return s.demand.reserve }

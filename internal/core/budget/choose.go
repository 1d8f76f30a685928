package budget

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a connection is doing.
type Phase uint8

// Phases in the order in which connections are closed to make room, except for Serving.
const (
	// Unused is a connection on which no request has begun, or one whose head is not
	// complete.
	Unused Phase = iota
	// Receiving is a connection on which the body of a request is being read.
	Receiving
	// Unread is a connection whose client does not read its answer.
	Unread
	// Waiting is a connection of which all requests wait for room for their bodies, so that
	// none of them has been passed on.
	Waiting
	// Idle is a connection between two requests.
	Idle
	// Serving is a connection whose request has been passed on. It is not closed: its
	// outcome would be unknown to the client.
	Serving
)

// Holder is a connection or a request that holds something.
type Holder struct {
	ID uint64
	// Port is the listener of a connection.
	Port  int
	Phase Phase
	// Since is when it made progress last.
	Since time.Time
	// Began is when a body began to be received, and Received what came of it.
	Began    time.Time
	Received int64
	// Bytes is what it holds of the account.
	Bytes int64
}

// shared returns the connections that no listener is guaranteed, and those that each is.
func (l Limits) shared() (shared, guaranteed int) {
	ports := max(l.Ports, 1)
	guaranteed = l.Conns / guaranteedShare / ports
	return l.Conns - guaranteed*ports, guaranteed
}

// excess returns how many of the shared connections are in use beyond the given number, for
// the numbers of connections by listener.
func (l Limits) excess(counts []int, allowed int) int {
	_, guaranteed := l.shared()
	lent := 0
	for _, n := range counts {
		lent += max(0, n-guaranteed)
	}
	return lent - allowed
}

// HasRoom reports whether a connection is admitted and none need be closed for it. counts are
// the numbers of connections by listener with the new one.
func (l Limits) HasRoom(counts []int, port int) bool {
	shared, guaranteed := l.shared()
	return counts[port] <= guaranteed || l.excess(counts, shared-l.ReservedConns) <= 0
}

// urgentShare is the divisor of the grace for bodies that are slow or wait, when there is no
// other connection to close. Ordinary requests are received in less.
const urgentShare = 4

// ConnsToClose returns which connections are closed when one more is accepted on a listener,
// and whether it is admitted. Connections without progress, and those with slow bodies, are
// closed as soon as the reserved part is in use, others only if there is no other room. A
// listener keeps the connections that it is guaranteed. counts are the numbers of connections
// by listener with the new one.
func (l Limits) ConnsToClose(conns []Holder, counts []int, port int, now time.Time) (closed []uint64, admitted bool) {
	if l.HasRoom(counts, port) {
		return nil, true
	}
	counts = slices.Clone(counts)
	shared, guaranteed := l.shared()
	choose := func(list []Holder, wanted int) {
		for _, h := range list {
			if l.excess(counts, wanted) <= 0 {
				return
			}
			if counts[h.Port] > guaranteed {
				counts[h.Port]--
				closed = append(closed, h.ID)
			}
		}
	}
	stalled := l.withoutProgress(conns, now)
	idle := slices.IndexFunc(stalled, func(h Holder) bool { return h.Phase >= Idle })
	if idle < 0 {
		idle = len(stalled)
	}
	// The whole reserved part is freed at once, so that the search is not repeated for each
	// new connection of a crowd.
	choose(stalled[:idle], shared-2*l.ReservedConns)
	choose(l.slowBodies(conns, now), shared-2*l.ReservedConns)
	choose(l.urgent(conns, now), shared)
	choose(stalled[idle:], shared)
	return closed, l.excess(counts, shared) <= 0
}

// HoldersToClose returns the holders that are closed to free the given number of bytes, until
// enough is free: those without progress, and then the slowest bodies.
func (l Limits) HoldersToClose(holders []Holder, bytes int64, now time.Time) []uint64 {
	var closed []uint64
	for _, h := range slices.Concat(l.withoutProgress(holders, now), l.slowBodies(holders, now)) {
		if bytes <= 0 {
			break
		}
		if h.Bytes > 0 {
			closed = append(closed, h.ID)
			bytes -= h.Bytes
		}
	}
	return closed
}

// slowBodies returns the bodies that make progress, but too slowly, the slowest first.
func (l Limits) slowBodies(holders []Holder, now time.Time) []Holder {
	return sortedByRate(holders, now, func(h Holder) bool {
		return now.Sub(h.Began) >= l.Grace && now.Sub(h.Since) < l.Grace && l.isSlow(h, now)
	})
}

// urgent returns the slow bodies and the waiting ones within the grace, the slowest first.
func (l Limits) urgent(holders []Holder, now time.Time) []Holder {
	isWithin := func(since time.Time) bool {
		age := now.Sub(since)
		return age >= l.Grace/urgentShare && age < l.Grace
	}
	return sortedByRate(holders, now, func(h Holder) bool {
		return isWithin(h.Began) && l.isSlow(h, now) || h.Phase == Waiting && isWithin(h.Since)
	})
}

func (l Limits) isSlow(h Holder, now time.Time) bool {
	return h.Phase == Receiving && h.rate(now) < float64(l.BodyRate)
}

// rate returns the bytes per second of a body since it began.
func (h Holder) rate(now time.Time) float64 {
	return float64(h.Received) / max(now.Sub(h.Began), 1).Seconds()
}

func sortedByRate(holders []Holder, now time.Time, isWanted func(Holder) bool) []Holder {
	var list []Holder
	for _, h := range holders {
		if isWanted(h) {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b Holder) int { return cmp.Compare(a.rate(now), b.rate(now)) })
	return list
}

// withoutProgress returns the holders that have made no progress within the grace, in the
// order in which they are closed: those in the middle of something before idle ones, and
// among equals the one that has made no progress for the longest time.
func (l Limits) withoutProgress(holders []Holder, now time.Time) []Holder {
	var stalled []Holder
	for _, h := range holders {
		if h.Phase != Serving && now.Sub(h.Since) >= l.Grace {
			stalled = append(stalled, h)
		}
	}
	slices.SortFunc(stalled, func(a, b Holder) int {
		if aIdle, bIdle := a.Phase >= Idle, b.Phase >= Idle; aIdle != bIdle {
			return cmp.Compare(a.Phase, b.Phase)
		}
		return a.Since.Compare(b.Since)
	})
	return stalled
}

// Timeouts are how long clients may make no progress while nobody else needs their room.
type Timeouts struct {
	Body, Answer time.Duration
}

// Expired returns the holders whose time has passed.
func (t Timeouts) Expired(holders []Holder, now time.Time) []uint64 {
	var closed []uint64
	for _, h := range holders {
		limit := map[Phase]time.Duration{Receiving: t.Body, Unread: t.Answer}[h.Phase]
		if limit > 0 && now.Sub(h.Since) >= limit {
			closed = append(closed, h.ID)
		}
	}
	return closed
}

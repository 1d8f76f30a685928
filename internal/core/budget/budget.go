// Package budget decides how much memory and how many connections clients may hold: who
// gets room, who waits, and who is closed when room is needed. It performs no I/O.
package budget

import (
	"cmp"
	"slices"
	"time"
)

// Limits are the limits of a process for all its clients.
type Limits struct {
	// Bytes is the memory for what clients hold. Reserved is the part of it that only
	// requests with small bodies get.
	Bytes, Reserved int64
	// Ports is the number of listeners. Half of the connections and half of what large bodies
	// may use is guaranteed to the listeners in equal parts, so that a crowd on one does not
	// take the room of the others.
	Ports int
	// Conns is the largest number of connections. ReservedConns is the part of them that
	// is kept free by closing connections without progress.
	Conns, ReservedConns int
	// Grace is how long a connection may make no progress before it may be closed to make
	// room.
	Grace time.Duration
	// BodyRate is the rate in bytes per second below which a body may be closed to make room
	// although it makes progress.
	BodyRate int64
}

const (
	// kernelBytes is the part of connBytes that the kernel holds, and programBytes what the
	// program itself takes beside its heap.
	kernelBytes  = 40 << 10
	programBytes = 20 << 20
	// heapShare is the divisor of the memory that the heap leaves free in any case.
	heapShare = 5
	// connBytes is what a connection may hold apart from bodies: 24 KB for its goroutine,
	// its buffers and a usual head, and 40 KB in the kernel.
	connBytes = 64 << 10
	// reservedShare and reservedConnShare are the divisors for the reserved parts.
	reservedShare     = 4
	reservedConnShare = 8
	// descriptorShare is the divisor for the descriptors that remain for files and for calls
	// that no client causes, such as those of a leader to 350 executors. Of the others, every
	// second one is for the call that a client's request may cause.
	descriptorShare = 4
	// connsShare is the divisor for what HTTP/2 connections may use.
	connsShare = 2
	// guaranteedShare is the divisor for what all listeners together are guaranteed.
	guaranteedShare = 2
	// unlimitedBytes and unlimitedConns apply to a process without a memory limit. Its
	// descriptors bound the connections: an entry host of the product's own interface may
	// have one from each of 16,000 endpoints.
	unlimitedBytes = 1 << 30
	unlimitedConns = 1 << 16
	minConns       = 16
)

// Derive returns the limits of a process with the given memory in bytes, of which a share in
// percent is for clients, and the given number of descriptors. 0 means no limit. If conns is
// not 0, it is the largest number of connections unless the descriptors allow fewer.
func Derive(memory int64, percent int, descriptors uint64, conns, ports int, grace time.Duration, bodyRate int64) Limits {
	const whole = 100
	bytes, derived := int64(unlimitedBytes), unlimitedConns
	if memory > 0 {
		bytes = memory / whole * int64(percent)
		derived = int(bytes / connBytes)
	}
	if conns == 0 {
		conns = derived
	}
	if descriptors > 0 {
		conns = int(min(uint64(conns), (descriptors-descriptors/descriptorShare)/2))
	}
	conns = max(conns, minConns)
	return Limits{Bytes: bytes, Reserved: bytes / reservedShare, Conns: conns, ReservedConns: conns / reservedConnShare, Ports: ports, Grace: grace, BodyRate: bodyRate}
}

// guaranteedOf returns what each of the listeners is guaranteed of a room, and lent what all of
// them share.
func guaranteedOf(room int64, ports int) (guaranteed, lent int64) {
	guaranteed = room / guaranteedShare / int64(ports)
	return guaranteed, room - guaranteed*int64(ports)
}

// LargeRoom returns what the large bodies of one listener may use at most.
func (l Limits) LargeRoom() int64 {
	guaranteed, lent := guaranteedOf(l.Bytes-l.Reserved, max(l.Ports, 1))
	return guaranteed + lent
}

// HeapLimit returns the limit for the heap of a process with the given memory: what remains
// beside its program and the kernel's buffers, and at most four fifths.
func (l Limits) HeapLimit(memory int64) int64 {
	return max(min(memory-memory/heapShare, memory-programBytes-int64(l.Conns)*kernelBytes), memory/2)
}

// Request is a request for room. ID identifies it while it waits.
type Request struct {
	ID    uint64
	Bytes int64
	// Holder identifies the body that asks for its next part, or is 0 for a request that is
	// the only one of a body. Remaining is what the body will ask for after this part.
	Holder    uint64
	Remaining int64
	// Port is the listener, from 0 to Limits.Ports-1.
	Port int
	// Small is set for requests of ordinary size, which may use the reserved part.
	Small bool
	// Conn is set for the room of an HTTP/2 connection.
	Conn bool
}

// group is the part of the room for which requests wait together: that for small bodies of all
// listeners, or that of one listener for large bodies or for HTTP/2 connections.
type group struct {
	kind groupKind
	port int
}

type groupKind uint8

const (
	smallGroup groupKind = iota
	largeGroup
	connGroup
)

func (r Request) group() group {
	switch {
	case r.Conn:
		return group{connGroup, r.Port}
	case r.Small:
		return group{kind: smallGroup}
	default:
		return group{largeGroup, r.Port}
	}
}

// Account is the memory in use. Requests that get no room wait in the order of arrival on
// their listener, those with small bodies before the others. A part of a body gets room only
// if all bodies of the listener can still get the room that they will ask for, one after the
// other. Bodies therefore do not block each other half way, and the room that large ones leave
// free serves shorter ones, which pass them.
type Account struct {
	limits Limits
	// used includes the requests with large bodies and the HTTP/2 connections, of which large
	// and conns hold the sums for each listener.
	used    int64
	large   []int64
	conns   []int64
	waiting []Request
	// holdings are the bodies with more than one request, by Request.Holder.
	holdings map[uint64]holding
}

// holding is what a body holds of the room for large bodies, and what it will ask for.
type holding struct {
	port             int
	bytes, remaining int64
}

// NewAccount returns an account with nothing in use.
func NewAccount(limits Limits) *Account {
	ports := max(limits.Ports, 1)
	return &Account{limits: limits, large: make([]int64, ports), conns: make([]int64, ports), holdings: map[uint64]holding{}}
}

// Used returns the bytes in use.
func (a *Account) Used() int64 { return a.used }

// Waiting returns the number of requests that wait.
func (a *Account) Waiting() int { return len(a.waiting) }

// Ask reports whether a request gets room now. Otherwise it waits until Release grants it or
// Withdraw removes it.
func (a *Account) Ask(r Request) bool {
	if !a.isOvertaking(r) && a.fits(r) {
		a.take(r)
		return true
	}
	a.waiting = append(a.waiting, r)
	return false
}

// isOvertaking reports whether a request that would be served first already waits. Parts of
// bodies may be overtaken.
func (a *Account) isOvertaking(r Request) bool {
	return slices.ContainsFunc(a.waiting, func(w Request) bool { return w.group() == r.group() && w.Holder == 0 })
}

// fits reports whether there is room for a request. One that exceeds the budget by itself,
// such as a snapshot between replicas, gets room while nothing large is held. What it takes
// beyond the part for large bodies does not count, so that others are served meanwhile.
func (a *Account) fits(r Request) bool {
	room := a.limits.Bytes - a.limits.Reserved
	var allLarge int64
	for _, bytes := range a.large {
		allLarge += bytes
	}
	isWithin := a.used-max(0, allLarge-room)+r.Bytes <= a.limits.Bytes
	switch {
	case r.Conn:
		return isWithin && r.Bytes <= freeOf(a.limits.Bytes/connsShare, a.conns, r.Port)
	case r.Small:
		return isWithin
	case allLarge == 0:
		return true
	default:
		return isWithin && r.Bytes <= a.free(r.Port) && a.isSafe(r)
	}
}

// free returns what the large bodies of a listener may still take.
func (a *Account) free(port int) int64 {
	return freeOf(a.limits.Bytes-a.limits.Reserved, a.large, port)
}

// freeOf returns what a listener may still take of a room in which each listener uses a part.
func freeOf(room int64, used []int64, port int) int64 {
	guaranteed, lent := guaranteedOf(room, len(used))
	for _, bytes := range used {
		lent -= max(0, bytes-guaranteed)
	}
	return max(0, guaranteed-used[port]) + max(0, lent)
}

// isSafe reports whether, after a request, all bodies of its listener can get what they will
// ask for, each from what is free and what those before it return when they are done.
func (a *Account) isSafe(r Request) bool {
	if r.Holder == 0 {
		return true
	}
	free := a.free(r.Port) - r.Bytes
	after := []holding{{bytes: a.holdings[r.Holder].bytes + r.Bytes, remaining: r.Remaining}}
	for id, h := range a.holdings {
		if h.port == r.Port && id != r.Holder {
			after = append(after, h)
		}
	}
	slices.SortFunc(after, func(x, y holding) int { return cmp.Compare(x.remaining, y.remaining) })
	for _, h := range after {
		if h.remaining > free {
			return false
		}
		free += h.bytes
	}
	return true
}

func (a *Account) take(r Request) {
	a.used += r.Bytes
	switch r.group().kind {
	case connGroup:
		a.conns[r.Port] += r.Bytes
	case largeGroup:
		a.large[r.Port] += r.Bytes
	default:
	}
	if r.Holder != 0 {
		a.holdings[r.Holder] = holding{port: r.Port, bytes: a.holdings[r.Holder].bytes + r.Bytes, remaining: r.Remaining}
	}
}

// Release returns the room of a request, or of all parts of a body, and returns the IDs of the
// waiting requests that get room now.
func (a *Account) Release(r Request) []uint64 {
	a.used -= r.Bytes
	switch r.group().kind {
	case connGroup:
		a.conns[r.Port] -= r.Bytes
	case largeGroup:
		a.large[r.Port] -= r.Bytes
		delete(a.holdings, r.Holder)
	default:
	}
	return a.grant()
}

// Withdraw removes a request that waits no longer, and returns the IDs of those that get
// room now. It reports whether the request was waiting.
func (a *Account) Withdraw(id uint64) (granted []uint64, found bool) {
	i := slices.IndexFunc(a.waiting, func(w Request) bool { return w.ID == id })
	if i < 0 {
		return nil, false
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return a.grant(), true
}

func (a *Account) grant() []uint64 {
	granted := a.grantWaiting(group{kind: smallGroup})
	for port := range a.large {
		granted = append(granted, a.grantWaiting(group{connGroup, port})...)
		granted = append(granted, a.grantWaiting(group{largeGroup, port})...)
	}
	return granted
}

// grantWaiting gives room to the waiting requests of one group, in the order of arrival. A part
// of a body that gets none does not keep others from theirs.
func (a *Account) grantWaiting(g group) []uint64 {
	var granted []uint64
	isBlocked := false
	a.waiting = slices.DeleteFunc(a.waiting, func(r Request) bool {
		if isBlocked || r.group() != g {
			return false
		}
		if !a.fits(r) {
			isBlocked = r.Holder == 0
			return false
		}
		a.take(r)
		granted = append(granted, r.ID)
		return true
	})
	return granted
}

// Missing returns how many bytes are to be freed for the first waiting request.
func (a *Account) Missing() int64 {
	if len(a.waiting) == 0 {
		return 0
	}
	i := slices.IndexFunc(a.waiting, func(r Request) bool { return r.Small })
	return a.waiting[max(i, 0)].Bytes
}

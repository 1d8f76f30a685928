package route

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketCount covers 32 us to about 9 hours in half powers of two.
	bucketCount = 60
	// bucketShift is the first power of two of microseconds with a bucket.
	bucketShift = 5
	// decayTotal is the number of samples after which all counts are halved.
	decayTotal = 256
	// minFine and minCoarse are the samples before a key is believed.
	minFine   = 4
	minCoarse = 8
	// sketchKeys bounds the keys; the least recently used gives way.
	sketchKeys = 4096
	// unknownRun is assumed of work of which nothing is known.
	unknownRun = 10 * time.Millisecond
	// longFactor separates long from short work: multiples of the median of
	// the service.
	longFactor = 8
)

// histogram counts run times on a logarithmic scale with decay.
type histogram struct {
	total  uint16
	counts [bucketCount]uint16
}

func bucketOf(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 1))
	n := bits.Len64(us)
	if n <= bucketShift {
		return 0
	}
	half := int(us >> (n - 2) & 1)
	return min(2*(n-bucketShift-1)+half, bucketCount-1)
}

// boundOf is the upper bound of a bucket.
func boundOf(i int) time.Duration {
	low := time.Microsecond << (i/2 + bucketShift)
	if i%2 == 0 {
		return low + low/2
	}
	return 2 * low
}

func (h *histogram) add(d time.Duration) {
	if h.total >= decayTotal {
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += h.counts[i]
		}
	}
	h.counts[bucketOf(d)]++
	h.total++
}

func (h *histogram) quantile(percent int) time.Duration {
	need := (int(h.total)*percent + 99) / 100
	seen := 0
	for i, n := range h.counts {
		seen += int(n)
		if seen >= need && n > 0 {
			return boundOf(i)
		}
	}
	return 0
}

// Sketch learns run times by service, work kind, caller and size class in
// fixed memory. Invariant: the list from first to last holds every used cell,
// most recently used first, and index maps its key to it.
type RunTimes struct {
	cells       []cell
	index       map[uint64]int32
	first, last int32
}

type cell struct {
	key        uint64
	prev, next int32
	histogram
}

const none = -1

// NewSketch returns an empty sketch for a number of keys.
func NewRunTimes(keys int) *RunTimes {
	return &RunTimes{cells: make([]cell, 0, keys), index: make(map[uint64]int32, keys), first: none, last: none}
}

// Key identifies a class of work.
type Key struct {
	Service, WorkKind, Caller string
	SizeBytes                 int
}

// Class is a Key reduced to hashes, so that a request keeps no strings for it.
type Class struct{ fine, coarse, service uint64 }

// ClassOf returns the class of a key. The size counts in powers of two.
func ClassOf(k Key) Class {
	service := xxhash.Sum64String(k.Service)
	coarse := mix(service, xxhash.Sum64String(k.WorkKind)^uint64(bits.Len(uint(k.SizeBytes))))
	return Class{fine: mix(coarse, xxhash.Sum64String(k.Caller)), coarse: coarse, service: service}
}

func mix(a, b uint64) uint64 {
	h, l := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xd6e8feb86659fd93)
	return h ^ l
}

// Learn adds a run time.
func (s *RunTimes) Learn(c Class, d time.Duration) {
	s.use(c.fine).add(d)
	s.use(c.coarse).add(d)
	s.use(c.service).add(d)
}

// Expectation is what is expected of a class of work.
type Estimate struct {
	Median, High time.Duration
	// Limit separates short from long work in the service.
	Limit time.Duration
	Long  bool
	// Known is false while too few run times were learned.
	Known bool
}

// Expect returns the expectation for a class: by the fine key, else by work
// kind and size, else by service.
func (s *RunTimes) Estimate(c Class) Estimate {
	e := Estimate{Median: unknownRun, High: unknownRun}
	service := s.find(c.service)
	if service == nil || service.total < minCoarse {
		return e
	}
	e.Known = true
	e.Limit = service.quantile(50) * longFactor
	h := service
	if fine := s.find(c.fine); fine != nil && fine.total >= minFine {
		h = fine
	} else if coarse := s.find(c.coarse); coarse != nil && coarse.total >= minCoarse {
		h = coarse
	}
	e.Median = h.quantile(50)
	e.High = h.quantile(99)
	e.Long = e.Median > e.Limit
	return e
}

func (s *RunTimes) find(key uint64) *cell {
	if i, ok := s.index[key]; ok {
		return &s.cells[i]
	}
	return nil
}

// use returns the cell of a key and makes it the most recently used.
func (s *RunTimes) use(key uint64) *cell {
	i, ok := s.index[key]
	switch {
	case ok:
		s.unlink(i)
	case len(s.cells) < cap(s.cells):
		i = int32(len(s.cells))
		s.cells = append(s.cells, cell{key: key})
		s.index[key] = i
	default:
		i = s.last
		s.unlink(i)
		delete(s.index, s.cells[i].key)
		s.cells[i] = cell{key: key}
		s.index[key] = i
	}
	c := &s.cells[i]
	c.prev, c.next = none, s.first
	if s.first != none {
		s.cells[s.first].prev = i
	} else {
		s.last = i
	}
	s.first = i
	return c
}

func (s *RunTimes) unlink(i int32) {
	c := &s.cells[i]
	if c.prev != none {
		s.cells[c.prev].next = c.next
	} else {
		s.first = c.next
	}
	if c.next != none {
		s.cells[c.next].prev = c.prev
	} else {
		s.last = c.prev
	}
}

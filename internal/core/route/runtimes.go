package route

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketCount covers 32 us to about 9 hours with two buckets for each power
	// of two.
	bucketCount = 60
	// firstBucketBits is the exponent of the first power of two, in microseconds,
	// with a bucket; shorter run times fall into that bucket too.
	firstBucketBits = 5
	// decaySamples is the number of samples after which all counts are halved.
	decaySamples = 256
	// minFineSamples and minCoarseSamples are the samples that a key needs before
	// its histogram is used.
	minFineSamples   = 4
	minCoarseSamples = 8
	// maxRunTimeKeys bounds the number of keys; the least recently used is evicted.
	maxRunTimeKeys = 4096
	// defaultRunTime is assumed while too few run times are known.
	defaultRunTime = 10 * time.Millisecond
	// longFactor separates long from short work, as a multiple of the median run
	// time of the service.
	longFactor = 8
)

// histogram counts run times on a logarithmic scale. Older samples decay.
type histogram struct {
	total  uint16
	counts [bucketCount]uint16
}

func bucketIndex(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 1))
	bitLength := bits.Len64(us)
	if bitLength <= firstBucketBits {
		return 0
	}
	half := int(us >> (bitLength - 2) & 1)
	return min(2*(bitLength-firstBucketBits-1)+half, bucketCount-1)
}

// bucketUpperBound returns the upper bound of a bucket.
func bucketUpperBound(i int) time.Duration {
	low := time.Microsecond << (i/2 + firstBucketBits)
	if i%2 == 0 {
		return low + low/2
	}
	return 2 * low
}

func (h *histogram) add(d time.Duration) {
	if h.total >= decaySamples {
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += h.counts[i]
		}
	}
	h.counts[bucketIndex(d)]++
	h.total++
}

// quantile returns the upper bound of the bucket that holds the percentile, or 0
// if the histogram is empty.
func (h *histogram) quantile(percent int) time.Duration {
	need := (int(h.total)*percent + 99) / 100
	seen := 0
	for i, n := range h.counts {
		seen += int(n)
		if seen >= need && n > 0 {
			return bucketUpperBound(i)
		}
	}
	return 0
}

// RunTimes learns run times by service, work kind, caller and size class, in an
// LRU cache of histograms of fixed size. Invariant: the list from head to tail
// holds every used entry, most recently used first, and index maps the key of
// each to its position in entries.
type RunTimes struct {
	entries    []entry
	index      map[uint64]int32
	head, tail int32
}

type entry struct {
	key        uint64
	prev, next int32
	histogram
}

// noEntry ends the list.
const noEntry = -1

// NewRunTimes returns an empty cache for a number of keys.
func NewRunTimes(keys int) *RunTimes {
	return &RunTimes{entries: make([]entry, 0, keys), index: make(map[uint64]int32, keys), head: noEntry, tail: noEntry}
}

// Key holds the attributes of a request by which run times are learned.
type Key struct {
	Service, WorkKind, Caller string
	SizeBytes                 int
}

// Class is a Key reduced to hashes, so that a request keeps no strings for it:
// by all attributes, by all but the caller, and by service alone.
type Class struct{ fine, coarse, service uint64 }

// ClassOf returns the class of a key. Sizes within a power of two share a class.
func ClassOf(k Key) Class {
	service := xxhash.Sum64String(k.Service)
	coarse := mix(service, xxhash.Sum64String(k.WorkKind)^uint64(bits.Len(uint(k.SizeBytes))))
	return Class{fine: mix(coarse, xxhash.Sum64String(k.Caller)), coarse: coarse, service: service}
}

// mix combines two hashes.
func mix(a, b uint64) uint64 {
	h, l := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xd6e8feb86659fd93)
	return h ^ l
}

// Learn adds a run time to the histograms of its class.
func (r *RunTimes) Learn(c Class, d time.Duration) {
	r.touch(c.fine).add(d)
	r.touch(c.coarse).add(d)
	r.touch(c.service).add(d)
}

// Estimate is the expected run time of a class of work.
type Estimate struct {
	// Median and High are the 50th and 99th percentile.
	Median, High time.Duration
	// Limit is the run time above which work counts as long in the service.
	Limit time.Duration
	// Long reports whether Median exceeds Limit.
	Long bool
	// Known is false while too few run times were learned.
	Known bool
}

// Estimate returns the estimate for a class: by all attributes if enough run
// times are known, else by work kind and size, else by service.
func (r *RunTimes) Estimate(c Class) Estimate {
	e := Estimate{Median: defaultRunTime, High: defaultRunTime}
	service := r.find(c.service)
	if service == nil || service.total < minCoarseSamples {
		return e
	}
	e.Known = true
	e.Limit = service.quantile(50) * longFactor
	h := service
	if fine := r.find(c.fine); fine != nil && fine.total >= minFineSamples {
		h = fine
	} else if coarse := r.find(c.coarse); coarse != nil && coarse.total >= minCoarseSamples {
		h = coarse
	}
	e.Median = h.quantile(50)
	e.High = h.quantile(99)
	e.Long = e.Median > e.Limit
	return e
}

func (r *RunTimes) find(key uint64) *entry {
	if i, ok := r.index[key]; ok {
		return &r.entries[i]
	}
	return nil
}

// touch returns the entry of a key, which it adds if it is missing, and makes it
// the most recently used.
func (r *RunTimes) touch(key uint64) *entry {
	i, ok := r.index[key]
	switch {
	case ok:
		r.unlink(i)
	case len(r.entries) < cap(r.entries):
		i = int32(len(r.entries))
		r.entries = append(r.entries, entry{key: key})
		r.index[key] = i
	default:
		i = r.tail
		r.unlink(i)
		delete(r.index, r.entries[i].key)
		r.entries[i] = entry{key: key}
		r.index[key] = i
	}
	c := &r.entries[i]
	c.prev, c.next = noEntry, r.head
	if r.head != noEntry {
		r.entries[r.head].prev = i
	} else {
		r.tail = i
	}
	r.head = i
	return c
}

func (r *RunTimes) unlink(i int32) {
	c := &r.entries[i]
	if c.prev != noEntry {
		r.entries[c.prev].next = c.next
	} else {
		r.head = c.next
	}
	if c.next != noEntry {
		r.entries[c.next].prev = c.prev
	} else {
		r.tail = c.prev
	}
}

package forecast

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// queueHash identifies the model of a key's queue.
func queueHash(k Key) uint64 { return xxhash.Sum64String(k.Queue) }

// keyHash identifies the model of a key within its queue. Demands within a power of two
// share a model, and so do tasks on and off the rack of their data, which differ by a
// factor that is learned for the queue.
func keyHash(k Key) uint64 {
	demand := uint64(bits.Len64(uint64(k.CPU)))<<16 | uint64(bits.Len64(uint64(k.MemoryMB)))<<8 | uint64(bits.Len64(uint64(k.Accelerators)))
	return mix(mix(queueHash(k), xxhash.Sum64String(k.Image)), demand)
}

// mix combines two hashes.
func mix(a, b uint64) uint64 {
	high, low := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xd6e8feb86659fd93)
	return high ^ low
}

// noEntry ends the list of a modelCache.
const noEntry = -1

// modelCache holds a fixed number of models. Invariant: the list from head to tail holds
// every used entry, the one that learned last first, and index maps the hash of each to
// its position.
type modelCache struct {
	entries    []modelEntry
	index      map[uint64]int32
	head, tail int32
	limit      int
}

type modelEntry struct {
	hash       uint64
	prev, next int32
	model
}

func newModelCache(limit int) modelCache {
	return modelCache{index: map[uint64]int32{}, head: noEntry, tail: noEntry, limit: limit}
}

// find returns a model, or nil. It does not count as a use.
func (c *modelCache) find(hash uint64) *model {
	if i, ok := c.index[hash]; ok {
		return &c.entries[i].model
	}
	return nil
}

// touch returns a model and makes it the most recently used. A new one begins with the
// spreads of its parent; pointers from earlier calls may become invalid only by eviction.
func (c *modelCache) touch(hash uint64, parent *model) *model {
	i, ok := c.index[hash]
	switch {
	case ok:
		c.unlink(i)
	case len(c.entries) < c.limit:
		if c.entries == nil {
			c.entries = make([]modelEntry, 0, c.limit)
		}
		i = int32(len(c.entries))
		c.entries = append(c.entries, newEntry(hash, parent))
		c.index[hash] = i
	default:
		i = c.tail
		c.unlink(i)
		delete(c.index, c.entries[i].hash)
		c.entries[i] = newEntry(hash, parent)
		c.index[hash] = i
	}
	c.pushFront(i)
	return &c.entries[i].model
}

func newEntry(hash uint64, parent *model) modelEntry {
	m := newModel()
	m.spread = parent.spread
	m.tasks = parent.tasks.scaledTo(initialTaskWeight)
	return modelEntry{hash: hash, model: m}
}

func (c *modelCache) pushFront(i int32) {
	e := &c.entries[i]
	e.prev, e.next = noEntry, c.head
	if c.head != noEntry {
		c.entries[c.head].prev = i
	} else {
		c.tail = i
	}
	c.head = i
}

func (c *modelCache) unlink(i int32) {
	e := &c.entries[i]
	if e.prev != noEntry {
		c.entries[e.prev].next = e.next
	} else {
		c.head = e.next
	}
	if e.next != noEntry {
		c.entries[e.next].prev = e.prev
	} else {
		c.tail = e.prev
	}
}

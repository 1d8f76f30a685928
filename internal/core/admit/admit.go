// Package admit implements the admission queue of one service on one entry
// host. It is bounded and fair among callers, and serves urgent and short work
// first.
package admit

import "time"

// Lane is a priority class of waiting work.
type Lane uint8

// The lanes are listed in the order in which they are served.
const (
	UrgentShort Lane = iota
	NormalShort
	UrgentLong
	NormalLong
	laneCount
)

// LaneOf returns the lane of a request.
func LaneOf(urgent, long bool) Lane {
	switch {
	case urgent && !long:
		return UrgentShort
	case !long:
		return NormalShort
	case urgent:
		return UrgentLong
	}
	return NormalLong
}

// Long reports whether the lane holds long work.
func (l Lane) Long() bool { return l >= UrgentLong }

// reverseInterval is the number of pops of which one tries the lanes in reverse
// order, so that no lane starves.
const reverseInterval = 8

// Item is one waiting request.
type Item struct {
	ID       uint64
	Caller   string
	Lane     Lane
	Deadline time.Duration
	// Cost is the expected run time.
	Cost time.Duration
	// RequiredTime is the run time that must remain before the deadline when the
	// request starts; 0 if it is not known.
	RequiredTime time.Duration

	sequence  uint64
	flow      *flow
	heapIndex int
}

// Queue is the queue of one service. Invariants: length is the number of items
// in all lanes, which Push does not raise above limit; a flow is in the ring of
// its lane exactly while it has items, so no memory is held for a caller without
// items.
type Queue struct {
	limit    int
	length   int
	pops     uint64
	sequence uint64
	lanes    [laneCount]lane
	// fifo is set when items are served strictly by arrival, which is the
	// baseline of the evaluation.
	fifo bool
}

type lane struct {
	flows map[string]*flow
	// ring holds the flows with items; current is the index of the next to serve.
	ring    []*flow
	current int
	// quantumGranted is set when the current flow got its quantum of this round.
	quantumGranted bool
	// cost is the sum over the items.
	cost time.Duration
	// quantum is the moving average of the cost of inserted items.
	quantum time.Duration
}

// flow holds the items of one caller in a lane as a binary heap; in a FIFO queue
// it holds those of all callers.
type flow struct {
	key     string
	items   []*Item
	deficit time.Duration
}

// New returns a queue for at most limit items.
func New(limit int) *Queue {
	q := &Queue{limit: limit}
	for i := range q.lanes {
		q.lanes[i].flows = make(map[string]*flow)
	}
	return q
}

// NewFIFO returns a queue for at most limit items that serves strictly in the
// order of arrival.
func NewFIFO(limit int) *Queue {
	q := New(limit)
	q.fifo = true
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// CostAhead returns the total expected run time of the items in the lanes that
// are served before or with the given lane.
func (q *Queue) CostAhead(l Lane) time.Duration {
	sum := time.Duration(0)
	for i := range q.lanes {
		if Lane(i) <= l || q.fifo {
			sum += q.lanes[i].cost
		}
	}
	return sum
}

// Count returns the number of waiting items of long work, or of short work if
// long is false.
func (q *Queue) Count(long bool) int {
	n := 0
	for i := range q.lanes {
		if Lane(i).Long() != long {
			continue
		}
		for _, f := range q.lanes[i].ring {
			n += len(f.items)
		}
	}
	return n
}

// maxCostQuanta caps the cost charged for one item, in quanta, and thereby the
// number of rounds that it waits for its deficit.
const maxCostQuanta = 8

// Push adds an item. If the queue is full, it evicts an item of the longest
// flow, or refuses the new item if its own flow would become at least as long.
// It returns the evicted or refused item, or nil.
func (q *Queue) Push(it *Item) *Item {
	var evicted *Item
	if q.length >= q.limit {
		evicted = q.evictionCandidate(it)
		if evicted == it {
			return it
		}
		q.Remove(evicted)
	}
	q.sequence++
	it.sequence = q.sequence
	q.insert(it)
	return evicted
}

// Requeue inserts a popped item again in its former order. The queue may then
// exceed its limit by the number of running requests.
func (q *Queue) Requeue(it *Item) { q.insert(it) }

func (q *Queue) insert(it *Item) {
	l := &q.lanes[it.Lane]
	key := it.Caller
	if q.fifo {
		key = ""
	}
	f := l.flows[key]
	if f == nil {
		f = &flow{key: key}
		l.flows[key] = f
		l.ring = append(l.ring, f)
	}
	it.flow = f
	f.push(it, q.fifo)
	l.cost += it.Cost
	if l.quantum == 0 {
		l.quantum = it.Cost
	}
	l.quantum += (it.Cost - l.quantum) / 8
	q.length++
}

// evictionCandidate returns the item to drop for a new one, which may be the new
// one itself.
func (q *Queue) evictionCandidate(it *Item) *Item {
	if q.fifo {
		return it
	}
	var longest *flow
	for i := range q.lanes {
		for _, f := range q.lanes[i].ring {
			if longest == nil || len(f.items) > len(longest.items) {
				longest = f
			}
		}
	}
	own := 0
	if f := q.lanes[it.Lane].flows[it.Caller]; f != nil {
		own = len(f.items)
	}
	if longest == nil || own+1 >= len(longest.items) {
		return it
	}
	return longest.items[len(longest.items)-1]
}

// Remove removes an item from the queue; it does nothing if the item is not
// waiting.
func (q *Queue) Remove(it *Item) {
	if it.flow == nil {
		return
	}
	l := &q.lanes[it.Lane]
	f := it.flow
	f.remove(it, q.fifo)
	it.flow = nil
	l.cost -= it.Cost
	q.length--
	if len(f.items) == 0 {
		l.removeFlow(f)
	}
}

// removeFlow removes a flow without items.
func (l *lane) removeFlow(f *flow) {
	delete(l.flows, f.key)
	for i, other := range l.ring {
		if other == f {
			l.ring = append(l.ring[:i], l.ring[i+1:]...)
			switch {
			case i < l.current:
				l.current--
			case i == l.current:
				l.quantumGranted = false
			}
			return
		}
	}
}

// Pop removes and returns the next item that canPlace accepts, or nil. It calls
// canPlace at most once for each lane, with the next item of that lane.
func (q *Queue) Pop(canPlace func(*Item) bool) *Item {
	if q.length == 0 {
		return nil
	}
	reversed := q.pops%reverseInterval == reverseInterval-1
	for i := range q.lanes {
		n := i
		if reversed {
			n = len(q.lanes) - 1 - i
		}
		l := &q.lanes[n]
		if len(l.ring) == 0 {
			continue
		}
		it := l.nextItem()
		if !canPlace(it) {
			continue
		}
		it.flow.deficit -= q.charge(l, it)
		q.Remove(it)
		q.pops++
		return it
	}
	return nil
}

// charge returns the cost of an item that counts against the deficit of its flow.
func (q *Queue) charge(l *lane, it *Item) time.Duration {
	return min(max(it.Cost, 1), maxCostQuanta*max(l.quantum, 1))
}

// nextItem returns the next item by deficit round robin: a flow gets a quantum
// when its turn comes, and is served while its deficit covers the cost of its
// first item.
func (l *lane) nextItem() *Item {
	quantum := max(l.quantum, 1)
	for {
		if l.current >= len(l.ring) {
			l.current = 0
		}
		f := l.ring[l.current]
		it := f.items[0]
		if !l.quantumGranted {
			f.deficit += quantum
			l.quantumGranted = true
		}
		if f.deficit >= min(max(it.Cost, 1), maxCostQuanta*quantum) {
			return it
		}
		l.current++
		l.quantumGranted = false
	}
}

// Overdue calls yield for every waiting item that can no longer meet its
// deadline. yield may remove the item.
func (q *Queue) Overdue(now time.Duration, yield func(*Item)) {
	var overdue []*Item
	for i := range q.lanes {
		for _, f := range q.lanes[i].ring {
			for _, it := range f.items {
				if it.Deadline <= now+it.RequiredTime {
					overdue = append(overdue, it)
				}
			}
		}
	}
	for _, it := range overdue {
		yield(it)
	}
}

// less orders the items of one flow by deadline, then by arrival; with fifo by
// arrival only.
func less(a, b *Item, fifo bool) bool {
	if !fifo && a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.sequence < b.sequence
}

func (f *flow) push(it *Item, fifo bool) {
	it.heapIndex = len(f.items)
	f.items = append(f.items, it)
	f.up(it.heapIndex, fifo)
}

func (f *flow) remove(it *Item, fifo bool) {
	i := it.heapIndex
	last := len(f.items) - 1
	f.swap(i, last)
	f.items[last] = nil
	f.items = f.items[:last]
	if i < last {
		f.down(i, fifo)
		f.up(i, fifo)
	}
}

func (f *flow) swap(i, j int) {
	f.items[i], f.items[j] = f.items[j], f.items[i]
	f.items[i].heapIndex = i
	f.items[j].heapIndex = j
}

func (f *flow) up(i int, fifo bool) {
	for i > 0 && less(f.items[i], f.items[(i-1)/2], fifo) {
		f.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (f *flow) down(i int, fifo bool) {
	for {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(f.items); child++ {
			if less(f.items[child], f.items[smallest], fifo) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		f.swap(i, smallest)
		i = smallest
	}
}

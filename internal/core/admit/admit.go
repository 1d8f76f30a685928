// Package admit holds the admission queue of one service on one entry host:
// bounded, fair among callers, urgent and short work first.
package admit

import "time"

// Lane is a class of waiting work.
type Lane uint8

// The lanes in the order in which they are served.
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

// Long tells whether the lane holds long work.
func (l Lane) Long() bool { return l >= UrgentLong }

// reversal is the number of picks after which the lanes are tried in reverse
// order once, so that no lane starves.
const reversal = 8

// Item is one waiting request.
type Item struct {
	ID       uint64
	Caller   string
	Lane     Lane
	Deadline time.Duration
	// Cost is the expected run time.
	Cost time.Duration
	// Need is the time that the request needs at least, as far as it is known.
	RequiredTime time.Duration

	sequence uint64
	flow     *flow
	position int
}

// Queue is the queue of one service. Invariants: length is the number of items
// in all lanes and at most limit; a flow is in the ring of its lane exactly
// while it has items, so memory per caller ends with its last item.
type Queue struct {
	limit    int
	length   int
	picks    uint64
	sequence uint64
	lanes    [laneCount]lane
	// fifo serves strictly by arrival; it is the baseline of the evaluation.
	fifo bool
}

type lane struct {
	flows map[string]*flow
	// ring holds the flows with items; turn is the index of the next.
	ring []*flow
	turn int
	// granted is set when the flow whose turn it is has its quantum.
	granted bool
	cost    time.Duration
	// quantum is the mean cost of recent items.
	quantum time.Duration
}

type flow struct {
	caller  string
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

// NewFIFO returns a queue that serves strictly in the order of arrival.
func NewFIFO(limit int) *Queue {
	q := New(limit)
	q.fifo = true
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Cost returns the expected run time of all items that are served before a new
// one of the lane.
func (q *Queue) CostAhead(l Lane) time.Duration {
	sum := time.Duration(0)
	for i := range q.lanes {
		if Lane(i) <= l || q.fifo {
			sum += q.lanes[i].cost
		}
	}
	return sum
}

// Count returns the number of items that wait for short or for long work.
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

// maxCostQuanta bounds the rounds that one item can wait for its deficit.
const maxCostQuanta = 8

// Push adds an item. If the queue is full, an item of the caller with the most
// items gives way, unless that is the new item's caller: then the new item is
// refused. The item that does not wait any more is returned.
func (q *Queue) Push(it *Item) *Item {
	var evicted *Item
	if q.length >= q.limit {
		evicted = q.victim(it)
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

// Return puts an item back that was popped, in its former order. It may
// exceed the limit by the requests that run.
func (q *Queue) Requeue(it *Item) { q.insert(it) }

func (q *Queue) insert(it *Item) {
	l := &q.lanes[it.Lane]
	key := it.Caller
	if q.fifo {
		key = ""
	}
	f := l.flows[key]
	if f == nil {
		f = &flow{caller: key}
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

// victim returns the item that gives way to a new one.
func (q *Queue) victim(it *Item) *Item {
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

// Remove takes a waiting item out.
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
		l.drop(f)
	}
}

// drop forgets a flow without items.
func (l *lane) drop(f *flow) {
	delete(l.flows, f.caller)
	for i, g := range l.ring {
		if g == f {
			l.ring = append(l.ring[:i], l.ring[i+1:]...)
			switch {
			case i < l.turn:
				l.turn--
			case i == l.turn:
				l.granted = false
			}
			return
		}
	}
}

// Pop takes the next item for which a place exists. Place is asked at most
// once per lane, for the item that is next there.
func (q *Queue) Pop(place func(*Item) bool) *Item {
	if q.length == 0 {
		return nil
	}
	backwards := q.picks%reversal == reversal-1
	for i := range q.lanes {
		n := i
		if backwards {
			n = len(q.lanes) - 1 - i
		}
		l := &q.lanes[n]
		if len(l.ring) == 0 {
			continue
		}
		it := l.next()
		if !place(it) {
			continue
		}
		it.flow.deficit -= q.charge(l, it)
		q.Remove(it)
		q.picks++
		return it
	}
	return nil
}

func (q *Queue) charge(l *lane, it *Item) time.Duration {
	return min(max(it.Cost, 1), maxCostQuanta*max(l.quantum, 1))
}

// next returns the item whose turn it is by deficit round robin: a flow gets a
// quantum when its turn comes, and is served while its deficit covers the cost
// of its first item.
func (l *lane) next() *Item {
	quantum := max(l.quantum, 1)
	for {
		if l.turn >= len(l.ring) {
			l.turn = 0
		}
		f := l.ring[l.turn]
		it := f.items[0]
		if !l.granted {
			f.deficit += quantum
			l.granted = true
		}
		if f.deficit >= min(max(it.Cost, 1), maxCostQuanta*quantum) {
			return it
		}
		l.turn++
		l.granted = false
	}
}

// Late calls yield for every waiting item that cannot meet its deadline. Yield may remove the item.
func (q *Queue) Overdue(now time.Duration, yield func(*Item)) {
	var late []*Item
	for i := range q.lanes {
		for _, f := range q.lanes[i].ring {
			for _, it := range f.items {
				if it.Deadline <= now+it.RequiredTime {
					late = append(late, it)
				}
			}
		}
	}
	for _, it := range late {
		yield(it)
	}
}

// before orders the items of one caller by deadline, then by arrival.
func before(a, b *Item, fifo bool) bool {
	if !fifo && a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.sequence < b.sequence
}

// push adds to the binary heap of a flow.
func (f *flow) push(it *Item, fifo bool) {
	it.position = len(f.items)
	f.items = append(f.items, it)
	f.up(it.position, fifo)
}

func (f *flow) remove(it *Item, fifo bool) {
	i := it.position
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
	f.items[i].position = i
	f.items[j].position = j
}

func (f *flow) up(i int, fifo bool) {
	for i > 0 && before(f.items[i], f.items[(i-1)/2], fifo) {
		f.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (f *flow) down(i int, fifo bool) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(f.items); c++ {
			if before(f.items[c], f.items[least], fifo) {
				least = c
			}
		}
		if least == i {
			return
		}
		f.swap(i, least)
		i = least
	}
}

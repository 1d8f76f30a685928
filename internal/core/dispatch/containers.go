package dispatch

import "time"

// requestSet is an unordered set of requests. A request is in at most one
// requestSet or delayHeap at a time, and its index is its position there.
type requestSet struct{ list []*request }

func (s *requestSet) has(r *request) bool {
	return r.index < len(s.list) && s.list[r.index] == r
}

func (s *requestSet) add(r *request) {
	r.index = len(s.list)
	s.list = append(s.list, r)
}

func (s *requestSet) remove(r *request) {
	last := len(s.list) - 1
	s.list[r.index] = s.list[last]
	s.list[r.index].index = r.index
	s.list[last] = nil
	s.list = s.list[:last]
}

// delayHeap orders delayed requests by when they are due, then by ID.
type delayHeap []*request

func (h delayHeap) less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].id < h[j].id
}

func (h delayHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *delayHeap) push(r *request) {
	r.index = len(*h)
	*h = append(*h, r)
	h.up(r.index)
}

func (h *delayHeap) pop() *request {
	r := (*h)[0]
	h.remove(r)
	return r
}

// remove removes a request and reports whether it was in the heap.
func (h *delayHeap) remove(r *request) bool {
	i := r.index
	if i >= len(*h) || (*h)[i] != r {
		return false
	}
	last := len(*h) - 1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
	return true
}

func (h delayHeap) up(i int) {
	for i > 0 && h.less(i, (i-1)/2) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h delayHeap) down(i int) {
	for {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if h.less(child, smallest) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		h.swap(i, smallest)
		i = smallest
	}
}

// overdue returns the requests whose deadline has passed.
func (h delayHeap) overdue(at time.Duration) []*request {
	var list []*request
	for _, r := range h {
		if at >= r.deadline {
			list = append(list, r)
		}
	}
	return list
}

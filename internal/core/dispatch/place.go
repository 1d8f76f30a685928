package dispatch

import "time"

// set is an unordered set of requests. A request is in at most one set or
// heap at a time; its index is its position there.
type set struct{ list []*request }

func (s *set) has(r *request) bool {
	return r.index < len(s.list) && s.list[r.index] == r
}

func (s *set) add(r *request) {
	r.index = len(s.list)
	s.list = append(s.list, r)
}

func (s *set) remove(r *request) {
	last := len(s.list) - 1
	s.list[r.index] = s.list[last]
	s.list[r.index].index = r.index
	s.list[last] = nil
	s.list = s.list[:last]
}

// delayHeap orders delayed requests by when they are due, then by ID.
type delayHeap []*request

func (h delayHeap) before(i, j int) bool {
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

// remove takes a request out and tells whether it was in.
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
	for i > 0 && h.before(i, (i-1)/2) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h delayHeap) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h); c++ {
			if h.before(c, least) {
				least = c
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

// late lists the requests whose deadline has passed.
func (h delayHeap) late(at time.Duration) []*request {
	var list []*request
	for _, r := range h {
		if at >= r.deadline {
			list = append(list, r)
		}
	}
	return list
}

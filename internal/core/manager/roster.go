package manager

import (
	"cmp"
	"slices"

	"laburnumdock/internal/core/jobs"
)

// roster holds the contacts, by number, in the order of their numbers and by
// host. Every step looks at all contacts and every look at a wave or a pool asks
// for those of many hosts, so neither may cost a search.
type roster struct {
	byNumber map[int]*contact
	sorted   []*contact
	byHost   map[string][]*contact
}

func newRoster() roster {
	return roster{byNumber: map[int]*contact{}, byHost: map[string][]*contact{}}
}

func (r *roster) get(number int) *contact { return r.byNumber[number] }

func (r *roster) find(number int) (int, bool) {
	return slices.BinarySearchFunc(r.sorted, number, func(c *contact, n int) int { return cmp.Compare(c.ex.Number, n) })
}

func (r *roster) add(c *contact) {
	r.byNumber[c.ex.Number] = c
	if at, known := r.find(c.ex.Number); !known {
		r.sorted = slices.Insert(r.sorted, at, c)
	}
	r.byHost[c.ex.Host] = append(r.byHost[c.ex.Host], c)
}

func (r *roster) remove(number int) {
	c := r.byNumber[number]
	if c == nil {
		return
	}
	delete(r.byNumber, number)
	if at, known := r.find(number); known {
		r.sorted = slices.Delete(r.sorted, at, at+1)
	}
	r.leaveHost(c)
}

// describe takes a new description of a contact, whose host may differ.
func (r *roster) describe(c *contact, e *jobs.Executor) {
	if c.ex.Host == e.Host {
		c.ex = e
		return
	}
	r.leaveHost(c)
	c.ex = e
	r.byHost[e.Host] = append(r.byHost[e.Host], c)
}

func (r *roster) leaveHost(c *contact) {
	host := c.ex.Host
	r.byHost[host] = slices.DeleteFunc(r.byHost[host], func(o *contact) bool { return o == c })
	if len(r.byHost[host]) == 0 {
		delete(r.byHost, host)
	}
}

// newestAt returns the newest life on a host, or nil.
func (r *roster) newestAt(host string) *contact {
	var newest *contact
	for _, c := range r.byHost[host] {
		if !c.over && (newest == nil || c.ex.Number > newest.ex.Number) {
			newest = c
		}
	}
	return newest
}

// Package member holds the directory of endpoints. Endpoints announce themselves
// to any entry host, and entry hosts exchange the announcements they received.
package member

import (
	"slices"
	"time"

	"laburnumdock/internal/core/fault"
)

// Lease is how long an announcement is valid. An endpoint gets no new work once
// its newest announcement has expired, even if it could not announce that it is
// leaving.
const Lease = 3 * time.Second

// retention is how long an endpoint stays in the directory after its newest
// announcement, so that an older announcement that arrives late is recognised as
// outdated.
const retention = 5 * time.Minute

// maxEndpoints limits the size of the directory to twice the expected 16,000
// endpoints.
const maxEndpoints = 32768

// MaxChanges is the maximum number of announcements in one listing of changes.
const MaxChanges = 2048

// Announcement is the state that an endpoint reports of itself.
type Announcement struct {
	Endpoint, Host, Service, Address string
	// Epoch is the fencing token of the host.
	Epoch uint64
	// Incarnation is the start time of the endpoint's process. Incarnation and
	// Sequence order the announcements of one endpoint.
	Incarnation, Sequence uint64
	Slots, Connections    int
	Rack, Zone            string
	Leaving               bool
	// AnnouncedAt is when the endpoint made the announcement, on the clock of this
	// process.
	AnnouncedAt time.Time
}

// supersedes reports whether a is newer than b, both of the same endpoint.
func (a Announcement) supersedes(b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Directory is the set of known endpoints. It is owned by the control loop of an
// entry host. Invariants: entries holds the newest announcement of each endpoint;
// the linked list from oldest to newest holds every entry once, in the order of
// their last changes.
type Directory struct {
	entries map[string]*entry
	// byHost holds the entries of each host, for changes of its epoch.
	byHost map[string][]*entry
	// epochs holds the current epoch of each host, as set by the control replicas.
	epochs map[string]uint64
	// lastChange is the number of the last change. Numbers start at 1.
	lastChange uint64
	oldest     *entry
	newest     *entry
}

// entry is the directory entry of one endpoint.
type entry struct {
	Announcement
	// changed is the number of the entry's last change, or 0 before the first one.
	changed    uint64
	prev, next *entry
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[string]*entry), byHost: make(map[string][]*entry), epochs: make(map[string]uint64)}
}

// SetEpoch sets the current epoch of a host. An older epoch is ignored, because
// changes may be replayed after a reconnection.
func (d *Directory) SetEpoch(host string, epoch uint64) {
	if epoch <= d.epochs[host] {
		return
	}
	d.epochs[host] = epoch
	for _, e := range d.byHost[host] {
		d.markChanged(e)
	}
}

// Merge adds an announcement and reports whether it changed the directory. An
// announcement with an outdated epoch is rejected.
func (d *Directory) Merge(a Announcement) (bool, *fault.Error) {
	if current := d.epochs[a.Host]; a.Epoch < current {
		return false, fault.New(fault.Fenced, "host %s is at epoch %d, the announcement has epoch %d", a.Host, current, a.Epoch)
	}
	e := d.entries[a.Endpoint]
	if e == nil {
		if len(d.entries) >= maxEndpoints {
			return false, fault.New(fault.Overloaded, "the directory already holds %d endpoints", maxEndpoints)
		}
		e = &entry{Announcement: a}
		d.entries[a.Endpoint] = e
		d.byHost[a.Host] = append(d.byHost[a.Host], e)
		d.markChanged(e)
		return true, nil
	}
	if !a.supersedes(e.Announcement) {
		return false, nil
	}
	if e.Host != a.Host {
		d.removeFromHost(e)
		d.byHost[a.Host] = append(d.byHost[a.Host], e)
	}
	e.Announcement = a
	d.markChanged(e)
	return true, nil
}

// removeFromHost removes e from the entries of its host.
func (d *Directory) removeFromHost(e *entry) {
	rest := slices.DeleteFunc(d.byHost[e.Host], func(o *entry) bool { return o == e })
	if len(rest) == 0 {
		delete(d.byHost, e.Host)
		return
	}
	d.byHost[e.Host] = rest
}

// markChanged makes e the entry that changed last.
func (d *Directory) markChanged(e *entry) {
	if e.changed != 0 {
		d.unlink(e)
	}
	d.lastChange++
	e.changed = d.lastChange
	e.prev = d.newest
	e.next = nil
	if d.newest != nil {
		d.newest.next = e
	} else {
		d.oldest = e
	}
	d.newest = e
}

// unlink removes e from the linked list.
func (d *Directory) unlink(e *entry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		d.oldest = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		d.newest = e.prev
	}
}

// LastChange returns the number of the last change, or 0 if there was none.
func (d *Directory) LastChange() uint64 { return d.lastChange }

// firstAfter returns the first entry that changed after change n, or nil.
func (d *Directory) firstAfter(n uint64) *entry {
	if d.newest == nil || d.newest.changed <= n {
		return nil
	}
	e := d.newest
	for e.prev != nil && e.prev.changed > n {
		e = e.prev
	}
	return e
}

// ChangesSince returns the announcements that changed after change n, in order of
// change, and the change number to continue from. It returns at most MaxChanges
// announcements; the next call continues the listing.
func (d *Directory) ChangesSince(n uint64) ([]Announcement, uint64) {
	var list []Announcement
	for e := d.firstAfter(n); e != nil && len(list) < MaxChanges; e = e.next {
		list = append(list, e.Announcement)
		n = e.changed
	}
	return list, n
}

// ForEachChange calls yield for every endpoint that changed after change n and
// returns the number of the last change. The argument current reports whether the
// epoch of the announcement is current.
func (d *Directory) ForEachChange(n uint64, yield func(a *Announcement, current bool)) uint64 {
	for e := d.firstAfter(n); e != nil; e = e.next {
		yield(&e.Announcement, e.Epoch >= d.epochs[e.Host])
	}
	return d.lastChange
}

// IsRoutable reports whether new work may be sent to the endpoint of a.
func (d *Directory) IsRoutable(a Announcement, now time.Time) bool {
	return !a.Leaving && now.Sub(a.AnnouncedAt) < Lease && a.Epoch >= d.epochs[a.Host]
}

// ForEachRoutable calls yield for every routable endpoint, in no particular order.
func (d *Directory) ForEachRoutable(now time.Time, yield func(Announcement)) {
	for _, e := range d.entries {
		if d.IsRoutable(e.Announcement, now) {
			yield(e.Announcement)
		}
	}
}

// Expire removes endpoints without an announcement for longer than the retention
// and returns their names. It examines the oldest changes only: an endpoint that
// announces itself moves away from there within a second, so that silent
// endpoints come first.
func (d *Directory) Expire(now time.Time) []string {
	var expired []string
	for e := d.oldest; e != nil && now.Sub(e.AnnouncedAt) > retention; e = d.oldest {
		expired = append(expired, e.Endpoint)
		d.unlink(e)
		d.removeFromHost(e)
		delete(d.entries, e.Endpoint)
	}
	return expired
}

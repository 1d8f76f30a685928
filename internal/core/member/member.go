// Package member keeps the directory of endpoints. Endpoints announce
// themselves to any entry host, and entry hosts exchange what they heard.
package member

import (
	"slices"
	"time"

	"laburnumdock/internal/core/fault"
)

// Lease is how long an announcement is good for. An endpoint that is leaving,
// or whose leaving cannot be heard, gets no new work after it.
const Lease = 3 * time.Second

// retention is how long a silent endpoint stays known, so that an older
// announcement that arrives late is recognised as old.
const retention = 5 * time.Minute

// maxEndpoints bounds the directory: twice the 16,000 endpoints expected.
const maxEndpoints = 32768

// MaxChanges bounds one listing of changes.
const MaxChanges = 2048

// Announcement is what an endpoint said of itself.
type Announcement struct {
	Endpoint, Host, Service, Address string
	// Epoch is the fencing token of the host.
	Epoch uint64
	// Incarnation is the start time of the endpoint's process; with Sequence
	// it orders the announcements of one endpoint.
	Incarnation, Sequence uint64
	Slots, Connections    int
	Rack, Zone            string
	Leaving               bool
	// Heard is when the endpoint said it, on the clock of this process.
	AnnouncedAt time.Time
}

// newer tells whether a supersedes b.
func (a Announcement) newer(b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Directory is the set of known endpoints. The control loop of an entry host
// owns it. Invariants: entries holds the newest announcement of each endpoint;
// the list from oldest to newest holds every entry once, in the order of
// their last change.
type Directory struct {
	entries map[string]*entry
	// hosts has the endpoints of each host, for changes of its epoch.
	hosts map[string][]*entry
	// epochs is the current epoch of each host by the control replicas.
	epochs  map[string]uint64
	changes uint64
	oldest  *entry
	newest  *entry
}

type entry struct {
	Announcement
	changed    uint64
	prev, next *entry
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[string]*entry), hosts: make(map[string][]*entry), epochs: make(map[string]uint64)}
}

// SetEpoch records the current epoch of a host. An older epoch is ignored,
// because changes may be replayed after a reconnection.
func (d *Directory) SetEpoch(host string, epoch uint64) {
	if epoch <= d.epochs[host] {
		return
	}
	d.epochs[host] = epoch
	for _, e := range d.hosts[host] {
		d.touch(e)
	}
}

// Merge takes an announcement and tells whether it was news. An announcement
// of an old epoch is refused.
func (d *Directory) Merge(a Announcement) (bool, *fault.Error) {
	if current := d.epochs[a.Host]; a.Epoch < current {
		return false, fault.New(fault.Fenced, "host %s is at epoch %d, the announcement has %d", a.Host, current, a.Epoch)
	}
	known := d.entries[a.Endpoint]
	if known == nil {
		if len(d.entries) >= maxEndpoints {
			return false, fault.New(fault.Overloaded, "%d endpoints are known already", maxEndpoints)
		}
		known = &entry{Announcement: a}
		d.entries[a.Endpoint] = known
		d.hosts[a.Host] = append(d.hosts[a.Host], known)
		d.touch(known)
		return true, nil
	}
	if !a.newer(known.Announcement) {
		return false, nil
	}
	if known.Host != a.Host {
		d.leaveHost(known)
		d.hosts[a.Host] = append(d.hosts[a.Host], known)
	}
	known.Announcement = a
	d.touch(known)
	return true, nil
}

// leaveHost takes an entry out of the endpoints of its host.
func (d *Directory) leaveHost(e *entry) {
	rest := slices.DeleteFunc(d.hosts[e.Host], func(o *entry) bool { return o == e })
	if len(rest) == 0 {
		delete(d.hosts, e.Host)
		return
	}
	d.hosts[e.Host] = rest
}

// touch makes e the newest change.
func (d *Directory) touch(e *entry) {
	if e.changed != 0 {
		d.unlink(e)
	}
	d.changes++
	e.changed = d.changes
	e.prev = d.newest
	e.next = nil
	if d.newest != nil {
		d.newest.next = e
	} else {
		d.oldest = e
	}
	d.newest = e
}

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

// Changes is the number of the last change.
func (d *Directory) LastChange() uint64 { return d.changes }

// after returns the first entry that changed after change n, or nil.
func (d *Directory) after(n uint64) *entry {
	if d.newest == nil || d.newest.changed <= n {
		return nil
	}
	e := d.newest
	for e.prev != nil && e.prev.changed > n {
		e = e.prev
	}
	return e
}

// ChangesSince lists the announcements that changed after change n, the
// oldest change first, and the number to continue from. A listing has at most
// MaxChanges entries; the next one continues it.
func (d *Directory) ChangesSince(n uint64) ([]Announcement, uint64) {
	var list []Announcement
	for e := d.after(n); e != nil && len(list) < MaxChanges; e = e.next {
		list = append(list, e.Announcement)
		n = e.changed
	}
	return list, n
}

// Follow calls yield for every endpoint that changed after change n, with
// whether its epoch is still current, and returns the number of the last
// change.
func (d *Directory) ForEachChange(n uint64, yield func(a *Announcement, current bool)) uint64 {
	for e := d.after(n); e != nil; e = e.next {
		yield(&e.Announcement, e.Epoch >= d.epochs[e.Host])
	}
	return d.changes
}

// Routable tells whether new work may be sent to the endpoint.
func (d *Directory) IsRoutable(a Announcement, now time.Time) bool {
	return !a.Leaving && now.Sub(a.AnnouncedAt) < Lease && a.Epoch >= d.epochs[a.Host]
}

// Live calls yield for every endpoint that is routable.
func (d *Directory) ForEachRoutable(now time.Time, yield func(Announcement)) {
	for _, e := range d.entries {
		if d.IsRoutable(e.Announcement, now) {
			yield(e.Announcement)
		}
	}
}

// Expire forgets endpoints that were silent for long and returns their names.
// It looks only at the oldest changes: an endpoint that announces itself moves
// away from there within a second, so that a silent one comes first.
func (d *Directory) Expire(now time.Time) []string {
	var gone []string
	for e := d.oldest; e != nil && now.Sub(e.AnnouncedAt) > retention; e = d.oldest {
		gone = append(gone, e.Endpoint)
		d.unlink(e)
		d.leaveHost(e)
		delete(d.entries, e.Endpoint)
	}
	return gone
}

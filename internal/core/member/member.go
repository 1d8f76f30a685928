// Package member keeps the directory of endpoints. Endpoints announce
// themselves to any entry host, and entry hosts exchange what they heard.
package member

import (
	"time"

	"laburnumdock/internal/core/fault"
)

// Lease is how long an announcement is good for. An endpoint that is leaving,
// or whose leaving cannot be heard, gets no new work after it.
const Lease = 3 * time.Second

// retention is how long a silent endpoint stays known, so that an older
// announcement that arrives late is recognised as old.
const retention = 5 * time.Minute

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
	Heard time.Time
}

// newer tells whether a supersedes b.
func (a Announcement) newer(b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Directory is the set of known endpoints. The control loop of an entry host
// owns it. Invariant: entries holds the newest announcement of each endpoint.
type Directory struct {
	entries map[string]*entry
	// epochs is the current epoch of each host by the control replicas.
	epochs map[string]uint64
}

type entry struct{ Announcement }

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[string]*entry), epochs: make(map[string]uint64)}
}

// SetEpoch records the current epoch of a host.
func (d *Directory) SetEpoch(host string, epoch uint64) { d.epochs[host] = epoch }

// Merge takes an announcement and tells whether it was news. An announcement
// of an old epoch is refused.
func (d *Directory) Merge(a Announcement) (bool, *fault.Error) {
	if current := d.epochs[a.Host]; a.Epoch < current {
		return false, fault.New(fault.Fenced, "host %s is at epoch %d, the announcement has %d", a.Host, current, a.Epoch)
	}
	known := d.entries[a.Endpoint]
	if known == nil {
		d.entries[a.Endpoint] = &entry{Announcement: a}
		return true, nil
	}
	if !a.newer(known.Announcement) {
		return false, nil
	}
	known.Announcement = a
	return true, nil
}

// Routable tells whether new work may be sent to the endpoint.
func (d *Directory) Routable(a Announcement, now time.Time) bool {
	return !a.Leaving && now.Sub(a.Heard) < Lease && a.Epoch >= d.epochs[a.Host]
}

// Live calls yield for every endpoint that is routable.
func (d *Directory) Live(now time.Time, yield func(Announcement)) {
	for _, e := range d.entries {
		if d.Routable(e.Announcement, now) {
			yield(e.Announcement)
		}
	}
}

// Expire forgets endpoints that were silent for long.
func (d *Directory) Expire(now time.Time) {
	for name, e := range d.entries {
		if now.Sub(e.Heard) > retention {
			delete(d.entries, name)
		}
	}
}

package entry

import (
	"time"

	"laburnumdock/internal/core/member"
	"laburnumdock/internal/logevent"
)

// announcementRetention is how long an endpoint stays in the table after its newest
// announcement.
const announcementRetention = 5 * time.Minute

// announcementTable holds the newest announcement of each endpoint, with the number
// of the change that set it, so that each peer is sent only what it lacks. The
// control loop owns it. Only announcements received from the endpoints themselves
// are sent on: every entry host has a connection to every other, and relaying an
// announcement a second time would cost a message per pair of hosts.
type announcementTable struct {
	// entries is keyed by endpoint.
	entries    map[string]*announcementEntry
	lastChange uint64
}

// announcementEntry is the table entry of one endpoint.
type announcementEntry struct {
	member.Announcement
	// direct is set when the endpoint itself sent the announcement to this host.
	direct bool
	// change is the number of the change that set the entry.
	change uint64
}

func newAnnouncementTable() *announcementTable {
	return &announcementTable{entries: make(map[string]*announcementEntry)}
}

// update stores an accepted announcement and returns the event to log for it, or nil.
// An announcement that is not newer than the stored one changes nothing.
func (t *announcementTable) update(a member.Announcement, direct bool) *logevent.Event {
	e := t.entries[a.Endpoint]
	if e == nil {
		e = &announcementEntry{}
		t.entries[a.Endpoint] = e
	} else if a.Incarnation < e.Incarnation || a.Incarnation == e.Incarnation && a.Sequence <= e.Sequence {
		return nil
	}
	before := e.Announcement
	t.lastChange++
	*e = announcementEntry{Announcement: a, direct: direct, change: t.lastChange}
	switch {
	case a.Leaving && !before.Leaving:
		return &logevent.EndpointLeft
	case !a.Leaving && (a.Incarnation != before.Incarnation || a.AnnouncedAt.Sub(before.AnnouncedAt) > member.Lease):
		return &logevent.EndpointJoined
	}
	return nil
}

// directSince returns the direct announcements that were stored after the given change.
func (t *announcementTable) directSince(change uint64) []member.Announcement {
	var list []member.Announcement
	for _, e := range t.entries {
		if e.direct && e.change > change {
			list = append(list, e.Announcement)
		}
	}
	return list
}

// prune removes the endpoints whose newest announcement is older than
// announcementRetention.
func (t *announcementTable) prune(now time.Time) {
	for endpoint, e := range t.entries {
		if now.Sub(e.AnnouncedAt) > announcementRetention {
			delete(t.entries, endpoint)
		}
	}
}

// connections returns the connection limit that an endpoint announced, or
// defaultConnections if it is unknown.
func (t *announcementTable) connections(endpoint string) int {
	if e := t.entries[endpoint]; e != nil {
		return e.Connections
	}
	return defaultConnections
}

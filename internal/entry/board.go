package entry

import (
	"time"

	"laburnumdock/internal/core/member"
	"laburnumdock/internal/logevent"
)

// boardRetention is how long a silent endpoint stays on the board.
const boardRetention = 5 * time.Minute

// board has the newest announcement of each endpoint, numbered by change, so
// that each peer gets what it lacks. The control loop owns it. Only what was
// heard directly is passed on: every entry host has a connection to every
// other, and an announcement that is passed on twice would cost a message per
// pair of hosts.
type board struct {
	entries map[string]*boardEntry
	change  uint64
}

type boardEntry struct {
	member.Announcement
	direct bool
	change uint64
}

func newBoard() *board { return &board{entries: make(map[string]*boardEntry)} }

// note takes an announcement that was accepted, and returns the log event that
// it is worth, or nil. An older one changes nothing.
func (b *board) note(a member.Announcement, direct bool) *logevent.Event {
	e := b.entries[a.Endpoint]
	if e == nil {
		e = &boardEntry{}
		b.entries[a.Endpoint] = e
	} else if a.Incarnation < e.Incarnation || a.Incarnation == e.Incarnation && a.Sequence <= e.Sequence {
		return nil
	}
	before := e.Announcement
	b.change++
	*e = boardEntry{Announcement: a, direct: direct, change: b.change}
	switch {
	case a.Leaving && !before.Leaving:
		return &logevent.EndpointLeft
	case !a.Leaving && (a.Incarnation != before.Incarnation || a.AnnouncedAt.Sub(before.AnnouncedAt) > member.Lease):
		return &logevent.EndpointJoined
	}
	return nil
}

// since returns what was heard directly after a change.
func (b *board) since(change uint64) []member.Announcement {
	var list []member.Announcement
	for _, e := range b.entries {
		if e.direct && e.change > change {
			list = append(list, e.Announcement)
		}
	}
	return list
}

func (b *board) prune(now time.Time) {
	for endpoint, e := range b.entries {
		if now.Sub(e.AnnouncedAt) > boardRetention {
			delete(b.entries, endpoint)
		}
	}
}

// connections returns what the executor of an endpoint allows.
func (b *board) connections(endpoint string) int {
	if e := b.entries[endpoint]; e != nil {
		return e.Connections
	}
	return defaultConnections
}

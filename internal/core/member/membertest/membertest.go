// Package membertest provides announcements for tests and measurements.
package membertest

import (
	"fmt"
	"time"

	"laburnumdock/internal/core/member"
)

// Announcements returns one announcement for each of the given number of
// endpoints, made at announcedAt. Endpoints are assigned to services in turn.
func Announcements(services, endpoints int, announcedAt time.Time) []member.Announcement {
	list := make([]member.Announcement, 0, endpoints)
	for n := range endpoints {
		list = append(list, member.Announcement{
			Endpoint: fmt.Sprint("endpoint-", n), Host: fmt.Sprint("host-", n), Service: ServiceName(n % services), Address: fmt.Sprint("10.0.0.1:", n), Epoch: 1,
			Incarnation: 1, Sequence: 1, Slots: 8, Connections: 64, Rack: fmt.Sprint(n / 4), Zone: fmt.Sprint(n % 3), AnnouncedAt: announcedAt,
		})
	}
	return list
}

// ServiceName returns the name of service n, counted from 0.
func ServiceName(n int) string { return fmt.Sprint("service-", n) }

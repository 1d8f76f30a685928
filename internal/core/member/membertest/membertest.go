// Package membertest makes announcements for tests and measurements.
package membertest

import (
	"fmt"
	"time"

	"laburnumdock/internal/core/member"
)

// Announcements are those of endpoints that belong to services in turn.
func Announcements(services, endpoints int, heard time.Time) []member.Announcement {
	list := make([]member.Announcement, 0, endpoints)
	for n := range endpoints {
		list = append(list, member.Announcement{
			Endpoint: fmt.Sprint("endpoint-", n), Host: fmt.Sprint("host-", n), Service: ServiceName(n % services), Address: fmt.Sprint("10.0.0.1:", n), Epoch: 1,
			Incarnation: 1, Sequence: 1, Slots: 8, Connections: 64, Rack: fmt.Sprint(n / 4), Zone: fmt.Sprint(n % 3), AnnouncedAt: heard,
		})
	}
	return list
}

// ServiceName is the name of the n-th service.
func ServiceName(n int) string { return fmt.Sprint("service-", n) }

package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/internal/core/fleet"
)

// Guards against load reports whose values are assigned to the wrong fields.
func TestLoadsFromWire(t *testing.T) {
	now := time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)
	msg := &pb.ReportEndpointsRequest{EntryHost: "e", Loads: []*pb.ServiceLoad{{Service: "quotes", Queued: 3, InFlight: 8, Arrived: 20, IntervalMs: 500}}}
	want := fleet.Load{EntryHost: "e", Service: "quotes", Queued: 3, InFlight: 8, Arrived: 20, Interval: 500 * time.Millisecond, Observed: now}
	require.Equal(t, []fleet.Load{want}, loadsFromWire(msg, now))
}

package control

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/fleet"
)

// ReportEndpoints implements the ControlService. Only the leader plans, so the
// others send the entry host on to the next replica.
func (s *Service) ReportEndpoints(_ context.Context, req *connect.Request[pb.ReportEndpointsRequest]) (*connect.Response[pb.ReportEndpointsResponse], error) {
	if !s.Replica.IsLeader() {
		return nil, answer.ConnectError(fault.New(fault.NotLeader, "replica does not lead"))
	}
	if s.HandleLoads != nil {
		s.HandleLoads(loadsOf(req.Msg, s.Replica.Now()))
	}
	return connect.NewResponse(&pb.ReportEndpointsResponse{}), nil
}

func loadsOf(msg *pb.ReportEndpointsRequest, now time.Time) []fleet.Load {
	loads := make([]fleet.Load, 0, len(msg.GetLoads()))
	for _, l := range msg.GetLoads() {
		loads = append(loads, fleet.Load{
			EntryHost: msg.GetEntryHost(), Service: l.GetService(),
			Queued: int(l.GetQueued()), InFlight: int(l.GetInFlight()), Arrived: int(l.GetArrived()),
			Interval: time.Duration(l.GetIntervalMs()) * time.Millisecond, Observed: now,
		})
	}
	return loads
}

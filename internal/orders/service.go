package orders

import (
	"context"
	"sync/atomic"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/boottime"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/manager"
)

// outcomeQueueLength bounds the outcomes that wait for the stream to the leader.
const outcomeQueueLength = 1024

// maxServiceOrders bounds the orders that a Service carries out at the same time, on all its
// streams. A leader has one call to list runs and a few orders in flight at each executor,
// and shares 16,000 executors among several replicas.
const maxServiceOrders = 8192

// Service sends orders to executors for a leader on another host. It sends an order
// only before its permission ends on this host's clock, however late the order was
// delivered.
type Service struct {
	laburnumdockv1connect.UnimplementedOrderServiceHandler
	Client PlatformClient
	// Stopping is closed when this replica stops, because an open stream would
	// keep its listener from closing.
	Stopping <-chan struct{}
	// inFlight is the number of orders that are being carried out.
	inFlight atomic.Int64
}

// CarryOut implements the OrderService.
func (s *Service) CarryOut(ctx context.Context, stream *connect.BidiStream[pb.CarryOutRequest, pb.CarryOutResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan *pb.OrderOutcome, outcomeQueueLength)
	errs := make(chan error, 2)
	go func() { errs <- s.receiveOrders(ctx, stream, outcomes) }()
	senderDone := make(chan struct{})
	go func() {
		defer close(senderDone)
		errs <- sendOutcomes(ctx, stream, outcomes)
	}()
	// Nothing may send after the handler has returned. The receiver ends only
	// after that, when the stream is closed.
	defer func() {
		cancel()
		<-senderDone
	}()
	select {
	case err := <-errs:
		return err
	case <-s.Stopping:
		return connect.NewError(connect.CodeUnavailable, fault.New(fault.Stopping, "the replica is stopping"))
	}
}

// receiveOrders starts a goroutine for each order. Orders beyond the limit are not sent, and
// their outcome says so.
func (s *Service) receiveOrders(ctx context.Context, stream *connect.BidiStream[pb.CarryOutRequest, pb.CarryOutResponse], outcomes chan<- *pb.OrderOutcome) error {
	for {
		req, err := stream.Receive()
		if err != nil {
			return err
		}
		for _, m := range req.GetOrders() {
			report := func(o manager.Outcome) {
				select {
				case <-ctx.Done():
				case outcomes <- outcomeToWire(&o):
				}
			}
			c, ok := orderFromWire(m)
			if !ok || s.inFlight.Add(1) > maxServiceOrders {
				if ok {
					s.inFlight.Add(-1)
				}
				report(manager.Outcome{ID: m.GetId(), Verdict: manager.NotSent})
				continue
			}
			go func() {
				defer s.inFlight.Add(-1)
				report(do(ctx, s.Client, c))
			}()
		}
	}
}

// sendOutcomes reports this host's clock, by which the leader dates the ends of its
// permissions, and sends all queued outcomes as one message.
func sendOutcomes(ctx context.Context, stream *connect.BidiStream[pb.CarryOutRequest, pb.CarryOutResponse], outcomes <-chan *pb.OrderOutcome) error {
	if err := stream.Send(&pb.CarryOutResponse{ClockNs: int64(boottime.Now())}); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-outcomes:
			resp := &pb.CarryOutResponse{Outcomes: []*pb.OrderOutcome{first}}
			for more := true; more; {
				select {
				case next := <-outcomes:
					resp.Outcomes = append(resp.Outcomes, next)
				default:
					more = false
				}
			}
			resp.ClockNs = int64(boottime.Now())
			if err := stream.Send(resp); err != nil {
				return err
			}
		}
	}
}

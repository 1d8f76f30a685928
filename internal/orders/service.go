package orders

import (
	"context"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/manager"
)

// answerQueue bounds the outcomes that wait for the stream to the leader.
const answerQueue = 1024

// Service makes calls for a leader on another host.
type Service struct {
	laburnumdockv1connect.UnimplementedOrderServiceHandler
	Client PlatformClient
	// Stopping is closed when this replica ends: an open stream would keep its
	// listener from closing.
	Stopping <-chan struct{}
}

// CarryOut implements the OrderService.
func (s *Service) CarryOut(ctx context.Context, wire *connect.BidiStream[pb.CarryOutRequest, pb.CarryOutResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *pb.OrderOutcome, answerQueue)
	failed := make(chan error, 2)
	go func() { failed <- s.receive(ctx, wire, answers) }()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		failed <- answer(ctx, wire, answers)
	}()
	// Nothing may send after the handler has returned. The receiver ends only then,
	// because the stream is closed.
	defer func() {
		cancel()
		<-sent
	}()
	select {
	case err := <-failed:
		return err
	case <-s.Stopping:
		return connect.NewError(connect.CodeUnavailable, fault.New(fault.Stopping, "the replica stops"))
	}
}

// receive starts a goroutine for each order.
func (s *Service) receive(ctx context.Context, wire *connect.BidiStream[pb.CarryOutRequest, pb.CarryOutResponse], answers chan<- *pb.OrderOutcome) error {
	for {
		req, err := wire.Receive()
		if err != nil {
			return err
		}
		for _, m := range req.GetOrders() {
			go func() {
				o := manager.Outcome{ID: m.GetId(), Verdict: manager.NotSent}
				if c, ok := orderFromWire(m); ok {
					o = do(ctx, s.Client, c)
				}
				select {
				case <-ctx.Done():
				case answers <- outcomeToWire(&o):
				}
			}()
		}
	}
}

// answer sends everything that waits as one message.
func answer(ctx context.Context, wire *connect.BidiStream[pb.CarryOutRequest, pb.CarryOutResponse], answers <-chan *pb.OrderOutcome) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-answers:
			resp := &pb.CarryOutResponse{Outcomes: []*pb.OrderOutcome{first}}
			for more := true; more; {
				select {
				case next := <-answers:
					resp.Outcomes = append(resp.Outcomes, next)
				default:
					more = false
				}
			}
			if err := wire.Send(resp); err != nil {
				return err
			}
		}
	}
}

package orders

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/logevent"
)

const (
	// helperQueue bounds the batches that wait for one replica.
	helperQueue = 256
	// overdueAfter is the time after an order's timeout by which its outcome
	// must have come back: a replica answers every order within the timeout.
	overdueAfter = 200 * time.Millisecond
	// watchEvery is the time between two looks for overdue orders.
	watchEvery = 100 * time.Millisecond
)

var (
	errOverdue = errors.New("an outcome is overdue")
	errFull    = errors.New("the replica does not take orders")
)

// helper is another replica that makes calls for the leader. Its goroutine owns
// the stream and what waits for an outcome. Invariant: every order that offer
// has taken gets one outcome, unless the leadership ends before.
type helper struct {
	url    string
	client laburnumdockv1connect.OrderServiceClient
	done   func([]manager.Outcome)
	log    *logevent.Logger
	queue  chan []manager.Call
	ended  chan struct{}

	mu sync.Mutex
	// downUntil is the time before which the replica gets no orders.
	downUntil time.Time
}

func (h *helper) isUsable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !time.Now().Before(h.downUntil)
}

// offer takes a batch unless too many wait.
func (h *helper) offer(batch []manager.Call) bool {
	select {
	case h.queue <- batch:
		return true
	default:
		return false
	}
}

// run keeps a stream open while there are orders, until ctx ends.
func (h *helper) run(ctx context.Context) {
	defer close(h.ended)
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-h.queue:
			err := h.serve(ctx, first)
			if ctx.Err() != nil {
				return
			}
			h.fail(err)
		}
	}
}

// fail keeps orders away for a while and returns those that wait.
func (h *helper) fail(err error) {
	h.log.Err(logevent.HelperLost, err, logevent.Fields{"peer": h.url})
	h.mu.Lock()
	h.downUntil = time.Now().Add(helperPause)
	h.mu.Unlock()
	for {
		select {
		case batch := <-h.queue:
			h.done(outcomes(batch, manager.NotSent))
		default:
			return
		}
	}
}

// outcomes returns the same verdict on every order of a batch.
func outcomes(batch []manager.Call, v manager.Verdict) []manager.Outcome {
	list := make([]manager.Outcome, 0, len(batch))
	now := time.Now()
	for _, c := range batch {
		list = append(list, manager.Outcome{ID: c.ID, Kind: c.Kind, Verdict: v, SentAt: now, AnsweredAt: now})
	}
	return list
}

// waitingOrder is an order without an outcome.
type waitingOrder struct {
	call   manager.Call
	sentAt time.Time
}

// stream is one open stream with what waits for an outcome.
type stream struct {
	helper  *helper
	waiting map[uint64]waitingOrder
	out     chan []manager.Call
}

// serve passes orders on and outcomes back until the stream fails.
func (h *helper) serve(ctx context.Context, first []manager.Call) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &stream{helper: h, waiting: map[uint64]waitingOrder{}, out: make(chan []manager.Call, helperQueue)}
	defer s.abandon()
	wire := h.client.CarryOut(ctx)
	failed := make(chan error, 2)
	received := make(chan []*pb.OrderOutcome, helperQueue)
	var group sync.WaitGroup
	defer group.Wait()
	defer func() {
		// The transport looks at its context only once the request has ended.
		cancel()
		if err := wire.CloseRequest(); err != nil {
			h.log.Err(logevent.OrderFailed, err, logevent.Fields{"peer": h.url})
		}
	}()
	group.Go(func() { failed <- send(ctx, wire, s.out) })
	group.Go(func() { failed <- receive(ctx, wire, received) })
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	if err := s.take(first); err != nil {
		return err
	}
	for {
		var err error
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case batch := <-h.queue:
			err = s.take(batch)
		case list := <-received:
			s.settle(list)
		case now := <-ticker.C:
			err = s.checkOverdue(now)
		case err = <-failed:
		}
		if err != nil {
			return err
		}
	}
}

func (s *stream) take(batch []manager.Call) error {
	now := time.Now()
	for _, c := range batch {
		s.waiting[c.ID] = waitingOrder{call: c, sentAt: now}
	}
	select {
	case s.out <- batch:
		return nil
	default:
		return errFull
	}
}

func (s *stream) settle(list []*pb.OrderOutcome) {
	now := time.Now()
	settled := make([]manager.Outcome, 0, len(list))
	for _, m := range list {
		w, ok := s.waiting[m.GetId()]
		if !ok {
			continue
		}
		delete(s.waiting, m.GetId())
		o := outcomeFromWire(m)
		// A reading of the executor's clock counts from when it came here, so
		// that a delay on the way makes it no newer than it is.
		o.Kind, o.SentAt, o.AnsweredAt = w.call.Kind, w.sentAt, now
		settled = append(settled, o)
	}
	s.helper.done(settled)
}

func (s *stream) checkOverdue(now time.Time) error {
	for _, w := range s.waiting {
		if now.Sub(w.sentAt) > w.call.Timeout+overdueAfter {
			return errOverdue
		}
	}
	return nil
}

// abandon answers what has no outcome: it may have been carried out.
func (s *stream) abandon() {
	rest := make([]manager.Call, 0, len(s.waiting))
	for _, w := range s.waiting {
		rest = append(rest, w.call)
	}
	s.helper.done(outcomes(rest, manager.NoAnswer))
}

// wireStream is the leader's end of a stream.
type wireStream = connect.BidiStreamForClient[pb.CarryOutRequest, pb.CarryOutResponse]

// send sends everything that waits as one message.
func send(ctx context.Context, wire *wireStream, out <-chan []manager.Call) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batch := <-out:
			req := &pb.CarryOutRequest{}
			for more := true; more; {
				for i := range batch {
					req.Orders = append(req.Orders, orderToWire(&batch[i]))
				}
				select {
				case batch = <-out:
				default:
					more = false
				}
			}
			if err := wire.Send(req); err != nil {
				return err
			}
		}
	}
}

func receive(ctx context.Context, wire *wireStream, received chan<- []*pb.OrderOutcome) error {
	for {
		resp, err := wire.Receive()
		if err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case received <- resp.GetOutcomes():
		}
	}
}

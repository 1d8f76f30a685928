package orders

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/boottime"
	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/core/permit"
	"laburnumdock/internal/logevent"
)

const (
	// proxyQueueLength bounds the batches that wait for one replica.
	proxyQueueLength = 256
	// outcomeGrace is the time after an order's timeout by which its outcome
	// must have arrived. A replica ends every order within its timeout.
	outcomeGrace = 200 * time.Millisecond
	// overdueCheckInterval is the time between two checks for overdue outcomes.
	overdueCheckInterval = 100 * time.Millisecond
)

var (
	errOverdue   = errors.New("order outcome is overdue")
	errNoClock   = errors.New("the replica did not report its clock in time")
	errQueueFull = errors.New("queue of outgoing orders is full")
)

// proxy is another replica that sends orders to executors for the leader. The
// goroutine of run owns the stream and the orders without an outcome. Invariant:
// every order that enqueue accepted gets exactly one outcome, unless the
// leadership ends first.
type proxy struct {
	url     string
	client  laburnumdockv1connect.OrderServiceClient
	deliver func([]manager.Outcome)
	log     *logevent.Logger
	queue   chan []manager.Call
	stopped chan struct{}

	mu sync.Mutex
	// suspendedUntil is the time before which the replica gets no orders.
	suspendedUntil time.Time
}

// isAvailable reports whether the replica may get orders.
func (p *proxy) isAvailable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !time.Now().Before(p.suspendedUntil)
}

// enqueue accepts a batch and returns true, or returns false if the queue is full.
func (p *proxy) enqueue(batch []manager.Call) bool {
	select {
	case p.queue <- batch:
		return true
	default:
		return false
	}
}

// run opens a stream when orders are queued, and a new one after a failure, until
// ctx ends.
func (p *proxy) run(ctx context.Context) {
	defer close(p.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-p.queue:
			err := p.runStream(ctx, first)
			if ctx.Err() != nil {
				return
			}
			p.log.Err(logevent.ProxyLost, err, logevent.Fields{"peer": p.url})
			p.returnQueued()
		}
	}
}

// suspend keeps new orders away for proxySuspension.
func (p *proxy) suspend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspendedUntil = time.Now().Add(proxySuspension)
}

// returnQueued returns the queued orders as not sent.
func (p *proxy) returnQueued() {
	for {
		select {
		case batch := <-p.queue:
			p.deliver(outcomesWithVerdict(batch, manager.NotSent))
		default:
			return
		}
	}
}

// outcomesWithVerdict returns an outcome with the same verdict for each order of
// a batch.
func outcomesWithVerdict(batch []manager.Call, v manager.Verdict) []manager.Outcome {
	list := make([]manager.Outcome, 0, len(batch))
	for i := range batch {
		list = append(list, newOutcome(&batch[i], v))
	}
	return list
}

// pendingOrder is an order without an outcome. isPassedOn is set once it may have
// been sent to the replica.
type pendingOrder struct {
	call       manager.Call
	sentAt     time.Time
	isPassedOn bool
}

// orderStream is one open stream with its orders that have no outcome yet.
type orderStream struct {
	proxy    *proxy
	pending  map[uint64]pendingOrder
	outgoing chan []*pb.Order
	// clock relates the replica's clock to the clock of this host. Until the replica
	// has reported its clock, orders wait in waiting.
	clock   permit.ClockSample
	waiting [][]manager.Call
}

// runStream sends orders and delivers their outcomes until the stream fails.
func (p *proxy) runStream(ctx context.Context, first []manager.Call) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &orderStream{proxy: p, pending: map[uint64]pendingOrder{}, outgoing: make(chan []*pb.Order, proxyQueueLength)}
	defer func() {
		// Before the outcomes, on which the leader may give the same orders again.
		p.suspend()
		s.failPending()
	}()
	stream := p.client.CarryOut(ctx)
	errs := make(chan error, 2)
	received := make(chan response, proxyQueueLength)
	var group sync.WaitGroup
	defer group.Wait()
	defer func() {
		// The transport checks its context only after the request has ended.
		cancel()
		if err := stream.CloseRequest(); err != nil {
			p.log.Err(logevent.OrderFailed, err, logevent.Fields{"peer": p.url})
		}
	}()
	group.Go(func() { errs <- sendOrders(ctx, stream, s.outgoing) })
	group.Go(func() { errs <- receiveResponses(ctx, stream, received) })
	ticker := time.NewTicker(overdueCheckInterval)
	defer ticker.Stop()
	if err := s.enqueue(first); err != nil {
		return err
	}
	for {
		var err error
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case batch := <-p.queue:
			err = s.enqueue(batch)
		case r := <-received:
			err = s.handleResponse(r)
		case now := <-ticker.C:
			err = s.checkOverdue(now, boottime.Now())
		case err = <-errs:
		}
		if err != nil {
			return err
		}
	}
}

// enqueue records a batch as pending and passes it on once the replica's clock is
// known.
func (s *orderStream) enqueue(batch []manager.Call) error {
	now := time.Now()
	for _, c := range batch {
		s.pending[c.ID] = pendingOrder{call: c, sentAt: now}
	}
	if s.clock != (permit.ClockSample{}) {
		return s.passOn(batch)
	}
	if len(s.waiting) == proxyQueueLength {
		return errQueueFull
	}
	s.waiting = append(s.waiting, batch)
	return nil
}

// passOn passes a batch to the goroutine that sends. The end of each permission is
// converted to the replica's clock, so that a batch that is delivered late, or a
// suspension of the replica, does not extend it.
func (s *orderStream) passOn(batch []manager.Call) error {
	list := make([]*pb.Order, 0, len(batch))
	for i := range batch {
		list = append(list, orderToWire(&batch[i], s.clock.EndAtRemote(batch[i].SendUntil)))
	}
	select {
	case s.outgoing <- list:
	default:
		return errQueueFull
	}
	for _, c := range batch {
		order := s.pending[c.ID]
		order.isPassedOn = true
		s.pending[c.ID] = order
	}
	return nil
}

// handleResponse records the replica's clock and delivers outcomes.
func (s *orderStream) handleResponse(r response) error {
	if remote := time.Duration(r.message.GetClockNs()); remote > 0 {
		s.clock = permit.Better(s.clock, permit.ClockSample{Remote: remote, ReceivedAt: r.receivedAt}, r.receivedAt)
	}
	s.handleOutcomes(r.message.GetOutcomes())
	if s.clock == (permit.ClockSample{}) {
		return nil
	}
	waiting := s.waiting
	s.waiting = nil
	for _, batch := range waiting {
		if err := s.passOn(batch); err != nil {
			return err
		}
	}
	return nil
}

func (s *orderStream) handleOutcomes(list []*pb.OrderOutcome) {
	now := time.Now()
	outcomes := make([]manager.Outcome, 0, len(list))
	for _, m := range list {
		order, ok := s.pending[m.GetId()]
		if !ok {
			continue
		}
		delete(s.pending, m.GetId())
		o := outcomeFromWire(m)
		// The executor's clock reading counts from its arrival here, so that a
		// delay on the way does not make it look newer than it is.
		o.Kind, o.SentAt, o.AnsweredAt = order.call.Kind, order.sentAt, now
		outcomes = append(outcomes, o)
	}
	s.proxy.deliver(outcomes)
}

// checkOverdue returns errOverdue if an outcome should have arrived by now, and
// errNoClock if the permission of an order ended while it waited for the replica's
// clock. sinceBoot is now on the clock of boottime.
func (s *orderStream) checkOverdue(now time.Time, sinceBoot time.Duration) error {
	for _, order := range s.pending {
		if !order.isPassedOn && !permit.IsValid(order.call.SendUntil, sinceBoot) {
			return errNoClock
		}
		if now.Sub(order.sentAt) > order.call.Timeout+outcomeGrace {
			return errOverdue
		}
	}
	return nil
}

// failPending gives the orders without an outcome the verdict NoAnswer, because
// they may have taken effect. Those that were never passed on were not sent.
func (s *orderStream) failPending() {
	rest := make([]manager.Outcome, 0, len(s.pending))
	for _, order := range s.pending {
		verdict := manager.NotSent
		if order.isPassedOn {
			verdict = manager.NoAnswer
		}
		rest = append(rest, newOutcome(&order.call, verdict))
	}
	s.proxy.deliver(rest)
}

// clientStream is the leader's end of a stream.
type clientStream = connect.BidiStreamForClient[pb.CarryOutRequest, pb.CarryOutResponse]

// sendOrders opens the stream, so that the replica reports its clock, and sends all
// queued batches as one message.
func sendOrders(ctx context.Context, stream *clientStream, outgoing <-chan []*pb.Order) error {
	// Without a message, Send sends only the header of the request.
	if err := stream.Send(nil); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batch := <-outgoing:
			req := &pb.CarryOutRequest{}
			for more := true; more; {
				req.Orders = append(req.Orders, batch...)
				select {
				case batch = <-outgoing:
				default:
					more = false
				}
			}
			if err := stream.Send(req); err != nil {
				return err
			}
		}
	}
}

// response is a message from a replica with the time since boot at which it was
// read.
type response struct {
	message    *pb.CarryOutResponse
	receivedAt time.Duration
}

func receiveResponses(ctx context.Context, stream *clientStream, received chan<- response) error {
	for {
		resp, err := stream.Receive()
		if err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case received <- response{message: resp, receivedAt: boottime.Now()}:
		}
	}
}

package entry

import (
	"context"
	"time"

	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/member"
	"laburnumdock/internal/logevent"
)

// tickInterval is the resolution of leases and deadlines in the dispatcher.
const tickInterval = 50 * time.Millisecond

// minWait keeps the loop from waking up again at once for the same delay.
const minWait = time.Millisecond

// pruneInterval is how often endpoints that were silent for long are dropped.
const pruneInterval = 10 * time.Second

// loop is the control state of an entry host. The goroutine of run owns all
// of it. Invariants: exchanges holds every request that is not answered or
// has an attempt or a record outstanding; use[e] is the number of attempts
// that are outstanding on endpoint e.
type loop struct {
	host       *Host
	dispatcher *dispatch.Dispatcher
	exchanges  map[uint64]*exchange
	use        map[string]int
	// board has the announcements that were heard directly, for the peers.
	board *board
	// refused has the epoch with which each endpoint was last refused, so that
	// the log has one line and not one for each announcement.
	refused  map[string]uint64
	services map[string]*serviceLoad
	// idle is closed when the loop is stopping and has no exchange left.
	idle     chan struct{}
	stopping bool
}

func newLoop(h *Host, d *dispatch.Dispatcher) *loop {
	return &loop{
		host: h, dispatcher: d, exchanges: make(map[uint64]*exchange), use: make(map[string]int),
		board: newBoard(), refused: make(map[string]uint64), services: make(map[string]*serviceLoad),
		idle: make(chan struct{}),
	}
}

func (l *loop) run(ctx context.Context) error {
	defer close(l.host.queue.closed)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	due := time.NewTimer(tickInterval)
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.step(dispatch.Ticked{})
		case <-due.C:
			l.step(dispatch.Ticked{})
		case <-prune.C:
			l.board.prune(time.Now())
			clear(l.refused)
		case m := <-l.host.queue.messages:
			m.handle(l)
		}
		if at, ok := l.dispatcher.NextDue(); ok {
			due.Reset(max(time.Until(at), minWait))
		}
	}
}

// step hands an event to the dispatcher and carries out the effects.
func (l *loop) step(ev dispatch.Event) {
	for _, effect := range l.dispatcher.Step(time.Now(), ev) {
		switch e := effect.(type) {
		case dispatch.Forward:
			l.forward(e)
		case dispatch.Abort:
			l.abort(e)
		case dispatch.Record:
			l.record(e)
		case dispatch.Answer:
			l.answer(e)
		case dispatch.Probe:
			go l.host.probe(e)
		}
	}
}

func (l *loop) forward(e dispatch.Forward) {
	x := l.exchanges[e.ID]
	if x == nil {
		// The dispatcher gets an end for every attempt, even for one of a
		// request that is gone.
		go l.host.queue.post(&finishedMessage{event: dispatch.AttemptFinished{ID: e.ID, Attempt: e.Attempt, Outcome: dispatch.AttemptNotSent, Detail: "request is gone"}})
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), e.Deadline)
	a := &attempt{forward: e, cancel: cancel, connections: l.board.connections(e.Endpoint)}
	x.attempts = append(x.attempts, a)
	x.outstanding++
	l.use[e.Endpoint]++
	l.load(x.request.Service).inFlight++
	go l.host.runAttempt(ctx, x, a)
}

func (l *loop) abort(e dispatch.Abort) {
	if a := l.exchanges[e.ID].attempt(e.Attempt); a != nil {
		a.cancel()
	}
}

func (l *loop) record(e dispatch.Record) {
	x := l.exchanges[e.ID]
	if x == nil {
		go l.host.queue.post(&recordedMessage{event: dispatch.Recorded{
			ID: e.ID, Phase: e.Phase, Err: fault.New(fault.Internal, "request is gone"),
		}})
		return
	}
	x.outstanding++
	var res *response
	if a := x.attempt(e.Attempt); a != nil && e.Phase == dispatch.RecordFinished {
		res = a.response
	}
	l.host.recorder.add(newRecord(x, e.Phase, res))
}

// answer ends the wait of the caller. The channel has room for the one answer
// of a request, so this never blocks.
func (l *loop) answer(e dispatch.Answer) {
	x := l.exchanges[e.ID]
	if x == nil || x.closed {
		return
	}
	out := outcome{err: e.Err, ran: e.Ran}
	switch a := x.attempt(e.Attempt); {
	case e.Err != nil:
		if e.Ran == fault.RanNo {
			l.load(x.request.Service).refused++
		}
	case e.FromRecord && x.recorded == nil:
		out.err = fault.New(fault.OutcomeUnknown, "request %s ran, but its answer was too large to be kept", x.request.RequestID)
		out.ran = fault.RanYes
	case e.FromRecord:
		out.response = x.recorded
	case a != nil:
		out.response = a.response
	}
	x.done <- out
	l.closeExchange(x)
}

// closeExchange notes that nobody waits for the answer any more.
func (l *loop) closeExchange(x *exchange) {
	if !x.closed {
		x.closed = true
		l.load(x.request.Service).open--
	}
	l.forget(x)
}

// forget drops an exchange for which nothing can happen any more.
func (l *loop) forget(x *exchange) {
	if !x.closed || x.outstanding > 0 || l.exchanges[x.request.ID] != x {
		return
	}
	delete(l.exchanges, x.request.ID)
	l.host.release(x.reserved)
	l.checkIdle()
}

// checkIdle tells the shutdown that the last request is over.
func (l *loop) checkIdle() {
	if !l.stopping || len(l.exchanges) > 0 {
		return
	}
	select {
	case <-l.idle:
	default:
		close(l.idle)
	}
}

// announced takes an announcement and tells why it is refused.
func (l *loop) announced(a member.Announcement, direct bool) *fault.Error {
	l.step(dispatch.Announced{Announcement: a})
	// The directory has the announcement now, so asking it again only tells
	// why it was refused.
	if _, err := l.dispatcher.Directory.Merge(a); err != nil {
		l.logRefused(a, err)
		return err
	}
	if event := l.board.note(a, direct); event != nil {
		l.host.cfg.Log.Log(*event, logevent.Fields{"endpoint": a.Endpoint, "host": a.Host, "service": a.Service})
	}
	return nil
}

func (l *loop) logRefused(a member.Announcement, err *fault.Error) {
	if epoch, ok := l.refused[a.Endpoint]; ok && epoch == a.Epoch {
		return
	}
	l.refused[a.Endpoint] = a.Epoch
	l.host.cfg.Log.Err(logevent.EndpointRefused, err, logevent.Fields{"endpoint": a.Endpoint, "host": a.Host, "epoch": a.Epoch})
}

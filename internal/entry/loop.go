package entry

import (
	"context"
	"time"

	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/member"
	"laburnumdock/internal/logevent"
)

// tickInterval is the interval of the dispatcher's checks of leases and deadlines.
const tickInterval = 50 * time.Millisecond

// minDelay is the shortest delay until the next due time, so that the loop does not
// wake up again at once for the same one.
const minDelay = time.Millisecond

// pruneInterval is the interval at which expired announcements are removed.
const pruneInterval = 10 * time.Second

// loop is the control loop of an entry host with its state. The goroutine of run owns
// it. Invariants: requests holds every request that is not closed or has an
// outstanding attempt or record; attemptsInFlight[e] is the number of outstanding
// attempts on endpoint e.
type loop struct {
	host             *Host
	dispatcher       *dispatch.Dispatcher
	requests         map[uint64]*openRequest
	attemptsInFlight map[string]int
	// announcements holds the newest announcements, for peers, reports and the status.
	announcements *announcementTable
	// refusedEpochs holds the epoch with which each endpoint was last refused, so that
	// a refusal is logged once and not for each announcement.
	refusedEpochs map[string]uint64
	services      map[string]*serviceLoad
	// drained is closed when the host is stopping and requests is empty.
	drained  chan struct{}
	stopping bool
}

func newLoop(h *Host, d *dispatch.Dispatcher) *loop {
	return &loop{
		host: h, dispatcher: d, requests: make(map[uint64]*openRequest), attemptsInFlight: make(map[string]int),
		announcements: newAnnouncementTable(), refusedEpochs: make(map[string]uint64), services: make(map[string]*serviceLoad),
		drained: make(chan struct{}),
	}
}

// run handles messages and timers until ctx ends.
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
			l.announcements.prune(time.Now())
			clear(l.refusedEpochs)
		case m := <-l.host.queue.messages:
			m.handle(l)
		}
		if at, ok := l.dispatcher.NextDue(); ok {
			due.Reset(max(time.Until(at), minDelay))
		}
	}
}

// step passes an event to the dispatcher and carries out the effects.
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
	req := l.requests[e.ID]
	if req == nil {
		// The dispatcher expects an end for every attempt, even one of a request that
		// is no longer open.
		go l.host.queue.post(&attemptFinishedMessage{event: dispatch.AttemptFinished{ID: e.ID, Attempt: e.Attempt, Outcome: dispatch.AttemptNotSent, Detail: "request is no longer open"}})
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), e.Deadline)
	a := &attempt{forward: e, cancel: cancel, connections: l.announcements.connections(e.Endpoint)}
	req.attempts = append(req.attempts, a)
	req.outstanding++
	l.attemptsInFlight[e.Endpoint]++
	l.serviceLoad(req.attributes.Service).attemptsInFlight++
	go l.host.runAttempt(ctx, req, a)
}

func (l *loop) abort(e dispatch.Abort) {
	if a := l.requests[e.ID].attempt(e.Attempt); a != nil {
		a.cancel()
	}
}

func (l *loop) record(e dispatch.Record) {
	req := l.requests[e.ID]
	if req == nil {
		go l.host.queue.post(&recordedMessage{event: dispatch.Recorded{
			ID: e.ID, Phase: e.Phase, Err: fault.New(fault.Internal, "request is no longer open"),
		}})
		return
	}
	req.outstanding++
	var res *response
	if a := req.attempt(e.Attempt); a != nil && e.Phase == dispatch.RecordFinished {
		res = a.response
	}
	l.host.recorder.add(newRecord(req, e.Phase, res))
}

// answer sends the reply to the caller. The channel has room for the only reply of a
// request, so answer never blocks.
func (l *loop) answer(e dispatch.Answer) {
	req := l.requests[e.ID]
	if req == nil || req.closed {
		return
	}
	reply := callerReply{err: e.Err, ran: e.Ran}
	switch a := req.attempt(e.Attempt); {
	case e.Err != nil:
		if e.Ran == fault.RanNo {
			l.serviceLoad(req.attributes.Service).refusedRequests++
		}
	case e.FromRecord && req.recordedAnswer == nil:
		reply.err = fault.New(fault.OutcomeUnknown, "request %s ran, but its answer was too large to be recorded", req.attributes.RequestID)
		reply.ran = fault.RanYes
	case e.FromRecord:
		reply.response = req.recordedAnswer
	case a != nil:
		reply.response = a.response
	}
	req.done <- reply
	l.closeRequest(req)
}

// closeRequest marks a request whose caller was answered or is gone.
func (l *loop) closeRequest(req *openRequest) {
	if !req.closed {
		req.closed = true
		l.serviceLoad(req.attributes.Service).openRequests--
	}
	l.removeIfDone(req)
}

// removeIfDone removes a closed request without outstanding attempts or records and
// releases its resources.
func (l *loop) removeIfDone(req *openRequest) {
	if !req.closed || req.outstanding > 0 || l.requests[req.attributes.ID] != req {
		return
	}
	delete(l.requests, req.attributes.ID)
	l.host.release(req.reservedBytes)
	l.signalDrained()
}

// signalDrained closes drained if the host is stopping and no request is left.
func (l *loop) signalDrained() {
	if !l.stopping || len(l.requests) > 0 {
		return
	}
	select {
	case <-l.drained:
	default:
		close(l.drained)
	}
}

// applyAnnouncement applies an announcement and returns why it was refused, or nil.
func (l *loop) applyAnnouncement(a member.Announcement, direct bool) *fault.Error {
	l.step(dispatch.Announced{Announcement: a})
	// The dispatcher has merged the announcement already, so this second merge only
	// returns the reason of a refusal.
	if _, err := l.dispatcher.Directory.Merge(a); err != nil {
		l.logRefusedOnce(a, err)
		return err
	}
	if event := l.announcements.update(a, direct); event != nil {
		l.host.cfg.Log.Log(*event, logevent.Fields{"endpoint": a.Endpoint, "host": a.Host, "service": a.Service})
	}
	return nil
}

// logRefusedOnce logs a refusal unless the endpoint was last refused with the same epoch.
func (l *loop) logRefusedOnce(a member.Announcement, err *fault.Error) {
	if epoch, ok := l.refusedEpochs[a.Endpoint]; ok && epoch == a.Epoch {
		return
	}
	l.refusedEpochs[a.Endpoint] = a.Epoch
	l.host.cfg.Log.Err(logevent.EndpointRefused, err, logevent.Fields{"endpoint": a.Endpoint, "host": a.Host, "epoch": a.Epoch})
}

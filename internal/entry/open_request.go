package entry

import (
	"context"
	"net/http"
	"sync/atomic"

	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
)

// openRequest is a request of a caller. The fields up to claimed are set before the
// control loop receives it, and are then immutable except for claimed; the control loop
// owns the rest.
type openRequest struct {
	attributes dispatch.Request
	method     string
	// path is the escaped path below the service, with its leading slash.
	path, query string
	header      http.Header
	remoteAddr  string
	body        []byte
	// reservedBytes is the part of Config.MaxBufferedBytes that the request holds.
	reservedBytes int64
	// entryHost, token and digest are set for a request that must not be repeated.
	entryHost, token string
	digest           []byte
	// done has a buffer of one for the only reply, so that sending never blocks.
	done chan callerReply
	// claimed is set by whichever comes first: the control loop when it starts the
	// request, or the serving goroutine when the loop has ended.
	claimed atomic.Bool

	attempts []*attempt
	// recordedAnswer is the answer to an earlier send of the same request, as the
	// control replicas recorded it.
	recordedAnswer *response
	// outstanding is the number of attempts and records that have not ended.
	outstanding int
	// closed is set when the caller was answered or is gone.
	closed bool
}

// attempt is one forward of a request to an endpoint. The control loop owns it;
// response is set before the loop receives the end of the attempt.
type attempt struct {
	forward dispatch.Forward
	cancel  context.CancelFunc
	// connections is the connection limit of the endpoint for all entry hosts
	// together.
	connections int
	response    *response
}

// attempt returns the attempt with the given number, or nil.
func (req *openRequest) attempt(number int) *attempt {
	if req == nil {
		return nil
	}
	for _, a := range req.attempts {
		if a.forward.Attempt == number {
			return a
		}
	}
	return nil
}

// response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// callerReply is the reply to a caller: a response or an error.
type callerReply struct {
	response *response
	err      *fault.Error
	ran      fault.Ran
}

// arrivedMessage is a new request of a caller.
type arrivedMessage struct{ request *openRequest }

func (m *arrivedMessage) handle(l *loop) {
	req := m.request
	if !req.claimed.CompareAndSwap(false, true) {
		return
	}
	l.requests[req.attributes.ID] = req
	load := l.serviceLoad(req.attributes.Service)
	load.arrivedRequests++
	load.openRequests++
	l.step(dispatch.Arrived{Request: req.attributes})
}

// callerGoneMessage means that the caller no longer waits for the reply.
type callerGoneMessage struct{ request *openRequest }

func (m *callerGoneMessage) handle(l *loop) {
	if l.requests[m.request.attributes.ID] != m.request || m.request.closed {
		return
	}
	l.step(dispatch.CallerGone{ID: m.request.attributes.ID})
	l.closeRequest(m.request)
}

// attemptFinishedMessage is the end of an attempt. request is nil if the attempt was
// never started.
type attemptFinishedMessage struct {
	event   dispatch.AttemptFinished
	request *openRequest
	attempt *attempt
}

func (m *attemptFinishedMessage) handle(l *loop) {
	if m.request == nil {
		l.step(m.event)
		return
	}
	m.attempt.cancel()
	endpoint := m.attempt.forward.Endpoint
	l.attemptsInFlight[endpoint]--
	if l.attemptsInFlight[endpoint] == 0 {
		delete(l.attemptsInFlight, endpoint)
	}
	l.serviceLoad(m.request.attributes.Service).attemptsInFlight--
	l.step(m.event)
	m.request.outstanding--
	l.removeIfDone(m.request)
}

// recordedMessage is the answer of the control replicas to a record. request is nil if
// the record was never sent.
type recordedMessage struct {
	event          dispatch.Recorded
	request        *openRequest
	recordedAnswer *response
}

func (m *recordedMessage) handle(l *loop) {
	req := m.request
	if req == nil {
		l.step(m.event)
		return
	}
	if m.recordedAnswer != nil {
		req.recordedAnswer = m.recordedAnswer
	}
	l.step(m.event)
	req.outstanding--
	l.removeIfDone(req)
}

// eventMessage passes an event to the dispatcher without further action.
type eventMessage struct{ event dispatch.Event }

func (m *eventMessage) handle(l *loop) { l.step(m.event) }

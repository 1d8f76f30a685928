package entry

import (
	"context"
	"net/http"
	"sync/atomic"

	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
)

// exchange is one request of a caller on its way. The first part is fixed
// before the control loop sees it; the second belongs to the control loop.
type exchange struct {
	request dispatch.Request
	method  string
	// path is the escaped path below the service, with its leading slash.
	path, query string
	header      http.Header
	remote      string
	body        []byte
	// reserved is the share of Config.MaxBufferedBytes that it holds.
	reserved int64
	// These are set for a request that must not be repeated.
	entryHost, token string
	digest           []byte
	// done has room for the one answer.
	done chan outcome
	// taken is set by whoever comes first: the control loop when it starts with
	// the request, or its sender when the loop has ended.
	taken atomic.Bool

	attempts []*attempt
	// recorded is the answer that came with a record of an earlier try.
	recorded *response
	// outstanding counts the attempts and records whose end is not known.
	outstanding int
	// closed is set when nobody waits for the answer any more.
	closed bool
}

// attempt is one forward of a request. The control loop owns it; response is
// set before the loop hears that the attempt is finished.
type attempt struct {
	forward dispatch.Forward
	cancel  context.CancelFunc
	// connections is what the executor allows to all entry hosts together.
	connections int
	response    *response
}

// attempt returns the attempt of a number, or nil.
func (x *exchange) attempt(number int) *attempt {
	if x == nil {
		return nil
	}
	for _, a := range x.attempts {
		if a.forward.Attempt == number {
			return a
		}
	}
	return nil
}

// response is a whole answer.
type response struct {
	status int
	header http.Header
	body   []byte
}

// outcome is what the caller is told.
type outcome struct {
	response *response
	err      *fault.Error
	ran      fault.Ran
}

// arriveMessage is a new request.
type arriveMessage struct{ exchange *exchange }

func (m *arriveMessage) handle(l *loop) {
	x := m.exchange
	if !x.taken.CompareAndSwap(false, true) {
		return
	}
	l.exchanges[x.request.ID] = x
	load := l.load(x.request.Service)
	load.arrived++
	load.open++
	l.step(dispatch.Arrived{Request: x.request})
}

// goneMessage tells that the caller no longer waits.
type goneMessage struct{ exchange *exchange }

func (m *goneMessage) handle(l *loop) {
	if l.exchanges[m.exchange.request.ID] != m.exchange || m.exchange.closed {
		return
	}
	l.step(dispatch.CallerGone{ID: m.exchange.request.ID})
	l.closeExchange(m.exchange)
}

// finishedMessage is the end of an attempt.
type finishedMessage struct {
	event    dispatch.AttemptFinished
	exchange *exchange
	attempt  *attempt
}

func (m *finishedMessage) handle(l *loop) {
	if m.exchange == nil {
		l.step(m.event)
		return
	}
	m.attempt.cancel()
	endpoint := m.attempt.forward.Endpoint
	l.use[endpoint]--
	if l.use[endpoint] == 0 {
		delete(l.use, endpoint)
	}
	l.load(m.exchange.request.Service).inFlight--
	l.step(m.event)
	m.exchange.outstanding--
	l.forget(m.exchange)
}

// recordedMessage is the answer of the control replicas to a record.
type recordedMessage struct {
	event    dispatch.Recorded
	exchange *exchange
	recorded *response
}

func (m *recordedMessage) handle(l *loop) {
	x := m.exchange
	if x == nil {
		l.step(m.event)
		return
	}
	if m.recorded != nil {
		x.recorded = m.recorded
	}
	l.step(m.event)
	x.outstanding--
	l.forget(x)
}

// eventMessage is an event that needs nothing else of the shell.
type eventMessage struct{ event dispatch.Event }

func (m *eventMessage) handle(l *loop) { l.step(m.event) }

package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laburnumdock/internal/core/dispatch"
)

// Times of the check for silent connections. Two doubts in a row make a
// verdict: 600 ms + 500 ms and two pings of at most 400 ms stay below the
// bound of 2 s.
const (
	firstSilenceCheck = 600 * time.Millisecond
	silenceInterval   = 500 * time.Millisecond
	pingTimeout       = 400 * time.Millisecond
	doubtsForVerdict  = 2
	// pingReuse lets requests on one endpoint share a ping.
	pingReuse    = 100 * time.Millisecond
	maxPingBytes = 1 << 20
)

var errSilent = errors.New("connection is silent")

// PingPath is where an endpoint answers pings.
const PingPath = "/laburnum/ping"

// PingAnswer is the answer of an endpoint to a ping. Running has the
// Laburnum-Request-Id of each request from the moment its header was read
// until its answer was handed to the connection.
type PingResponse struct {
	Endpoint    string   `json:"endpoint"`
	Incarnation uint64   `json:"incarnation"`
	Running     []string `json:"running"`
}

// wire follows one attempt on its connection.
type wire struct {
	mu sync.Mutex
	// conn and the byte count at its start are guarded by mu; sentBefore tells
	// whether an earlier connection took bytes of the request.
	conn       *countingConn
	base       int64
	sentBefore bool
	silent     atomic.Bool
}

func (w *wire) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*countingConn)
		if !ok {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.sentBefore = w.sentBefore || w.conn != nil && w.conn.wrote.Load() > w.base
		w.conn = conn
		w.base = conn.wrote.Load()
	}}
}

// sent tells whether a byte of the request may have left.
func (w *wire) sent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sentBefore || w.conn != nil && w.conn.wrote.Load() > w.base
}

// moved returns the bytes that the connection has moved so far.
func (w *wire) moved() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn == nil {
		return 0
	}
	return w.conn.wrote.Load() + w.conn.read.Load()
}

// discard closes the connection of the attempt and the idle ones of its link.
func (w *wire) discard(l *link) {
	w.mu.Lock()
	conn := w.conn
	w.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
	l.transport.CloseIdleConnections()
}

// watch checks in the background whether the connection of an attempt went
// silent, and ends the attempt if so. The returned function stops it.
//
// The verdict needs two pings in a row, on fresh connections, in whose answer
// the endpoint does not run the request, while the connection of the attempt
// moved no byte. It proves that no answer is to come on this connection. It
// does not prove that the request did not run: the answer may be what was
// lost. Without an answer to the ping, and while the endpoint runs the
// request, the attempt goes on until its deadline.
func (l *link) watch(ctx context.Context, w *wire, id string, cancel context.CancelCauseFunc) func() {
	timer := time.AfterFunc(firstSilenceCheck, func() {
		if !l.goesSilent(ctx, w, id) {
			return
		}
		w.silent.Store(true)
		cancel(errSilent)
		l.transport.CloseIdleConnections()
	})
	return func() { timer.Stop() }
}

// goesSilent returns true once the verdict stands, or false when ctx ends.
func (l *link) goesSilent(ctx context.Context, w *wire, id string) bool {
	wait := time.NewTimer(silenceInterval)
	defer wait.Stop()
	doubts := 0
	last := w.moved()
	for {
		reply, err := l.pinger.ping(ctx)
		moved := w.moved()
		if err != nil || moved != last || !w.sent() || slices.Contains(reply.Running, id) {
			doubts = 0
		} else {
			doubts++
		}
		last = moved
		if doubts == doubtsForVerdict {
			return true
		}
		wait.Reset(silenceInterval)
		select {
		case <-ctx.Done():
			return false
		case <-wait.C:
		}
	}
}

// pinger asks one endpoint what it runs. One ping at a time is on its way, and
// a recent answer is shared.
type pinger struct {
	transport *http.Transport
	address   string
	mu        sync.Mutex
	// started, answer and err are of the last ping; mu guards them.
	started time.Time
	answer  PingResponse
	err     error
}

func (p *pinger) ping(ctx context.Context) (PingResponse, error) {
	notBefore := time.Now().Add(-pingReuse)
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		return PingResponse{}, ctx.Err()
	}
	if p.started.Before(notBefore) {
		p.started = time.Now()
		p.answer, p.err = pingEndpoint(context.WithoutCancel(ctx), p.transport, p.address)
	}
	return p.answer, p.err
}

func pingEndpoint(ctx context.Context, transport *http.Transport, address string) (PingResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var reply PingResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PingPath, nil)
	if err != nil {
		return reply, err
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return reply, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("ping answered with status %d", res.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxPingBytes)).Decode(&reply)
	return reply, err
}

// probe asks an ejected endpoint whether it works again. The dispatcher has at
// most one probe outstanding per endpoint.
func (h *Host) probe(e dispatch.Probe) {
	reply, err := pingEndpoint(context.Background(), h.links.pings, e.Address)
	h.queue.post(&eventMessage{event: dispatch.Probed{Endpoint: e.Endpoint, OK: err == nil && reply.Endpoint == e.Endpoint}})
}

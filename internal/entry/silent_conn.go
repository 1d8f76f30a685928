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

// Timing and limits of the detection of silent connections: connections that stay open
// but no longer deliver data. Detection takes at most 600 ms plus 500 ms plus two pings
// of at most 400 ms each, which is below the required 2 s.
const (
	firstPingDelay = 600 * time.Millisecond
	pingInterval   = 500 * time.Millisecond
	pingTimeout    = 400 * time.Millisecond
	// pingsToConfirm is the number of consecutive pings that must find the connection
	// silent.
	pingsToConfirm = 2
	// pingReuse is the age up to which the response to a ping is shared by requests on
	// the same endpoint.
	pingReuse    = 100 * time.Millisecond
	maxPingBytes = 1 << 20
)

var errConnSilent = errors.New("connection is silent")

// PingPath is the path at which an endpoint answers pings.
const PingPath = "/laburnum/ping"

// PingResponse is the response of an endpoint to a ping. Running holds the
// Laburnum-Request-Id of each request from when its header was read until its response
// was written to the connection.
type PingResponse struct {
	Endpoint    string   `json:"endpoint"`
	Incarnation uint64   `json:"incarnation"`
	Running     []string `json:"running"`
}

// attemptConn tracks the bytes that an attempt transfers on its connections.
type attemptConn struct {
	mu sync.Mutex
	// conn, writtenBefore and sentEarlier are guarded by mu. conn is the current
	// connection. writtenBefore is its count of written bytes when the attempt got it.
	// sentEarlier is set when an earlier connection accepted bytes of the request.
	conn          *countingConn
	writtenBefore int64
	sentEarlier   bool
	silent        atomic.Bool
}

// trace returns a client trace that sets the connection of the attempt.
func (a *attemptConn) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*countingConn)
		if !ok {
			return
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.sentEarlier = a.sentEarlier || a.conn != nil && a.conn.written.Load() > a.writtenBefore
		a.conn = conn
		a.writtenBefore = conn.written.Load()
	}}
}

// mayHaveSent reports whether a byte of the request may have been sent.
func (a *attemptConn) mayHaveSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sentEarlier || a.conn != nil && a.conn.written.Load() > a.writtenBefore
}

// transferredBytes returns the bytes written and read on the connection so far.
func (a *attemptConn) transferredBytes() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return 0
	}
	return a.conn.written.Load() + a.conn.read.Load()
}

// discard closes the connection of the attempt and the idle connections of the client.
func (a *attemptConn) discard(c *endpointClient) {
	a.mu.Lock()
	conn := a.conn
	a.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
	c.transport.CloseIdleConnections()
}

// monitorConn checks in the background whether the connection of an attempt is silent,
// and cancels the attempt if so. The returned function stops the check.
//
// A connection is silent if two consecutive pings on new connections are answered
// without the request among the running ones, while the connection of the attempt
// transferred no byte. This proves that no response will arrive on the connection. It
// does not prove that the request did not run: the response may have been lost. While
// pings are not answered or the endpoint runs the request, the attempt continues until
// its deadline.
func (c *endpointClient) monitorConn(ctx context.Context, conn *attemptConn, id string, cancel context.CancelCauseFunc) func() {
	timer := time.AfterFunc(firstPingDelay, func() {
		if !c.awaitSilence(ctx, conn, id) {
			return
		}
		conn.silent.Store(true)
		cancel(errConnSilent)
		c.transport.CloseIdleConnections()
	})
	return func() { timer.Stop() }
}

// awaitSilence pings the endpoint until the connection is found to be silent and returns
// true, or returns false when ctx ends.
func (c *endpointClient) awaitSilence(ctx context.Context, conn *attemptConn, id string) bool {
	wait := time.NewTimer(pingInterval)
	defer wait.Stop()
	silentPings := 0
	lastTransferred := conn.transferredBytes()
	for {
		reply, err := c.pinger.ping(ctx)
		transferred := conn.transferredBytes()
		if err != nil || transferred != lastTransferred || !conn.mayHaveSent() || slices.Contains(reply.Running, id) {
			silentPings = 0
		} else {
			silentPings++
		}
		lastTransferred = transferred
		if silentPings == pingsToConfirm {
			return true
		}
		wait.Reset(pingInterval)
		select {
		case <-ctx.Done():
			return false
		case <-wait.C:
		}
	}
}

// pinger pings one endpoint to learn which requests it runs. There is at most one ping at
// a time, and a recent response is shared.
type pinger struct {
	transport *http.Transport
	address   string
	mu        sync.Mutex
	// lastPing, response and err are the start and the result of the last ping; mu
	// guards them.
	lastPing time.Time
	response PingResponse
	err      error
}

// ping returns the response to a ping that started at most pingReuse ago.
func (p *pinger) ping(ctx context.Context) (PingResponse, error) {
	notBefore := time.Now().Add(-pingReuse)
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		return PingResponse{}, ctx.Err()
	}
	if p.lastPing.Before(notBefore) {
		p.lastPing = time.Now()
		p.response, p.err = pingEndpoint(context.WithoutCancel(ctx), p.transport, p.address)
	}
	return p.response, p.err
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

// probe pings an ejected endpoint and reports whether it has recovered. The dispatcher
// has at most one outstanding probe per endpoint.
func (h *Host) probe(e dispatch.Probe) {
	reply, err := pingEndpoint(context.Background(), h.endpointClients.pingTransport, e.Address)
	h.queue.post(&eventMessage{event: dispatch.Probed{Endpoint: e.Endpoint, OK: err == nil && reply.Endpoint == e.Endpoint}})
}

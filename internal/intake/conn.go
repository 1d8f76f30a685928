package intake

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"laburnumdock/internal/core/budget"
)

// listener admits connections within the limits.
type listener struct {
	net.Listener
	guard *Guard
	port  int
}

// Accept implements net.Listener. Connections over the limit are closed, because in the
// queue of the kernel they would hold memory, too.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked := l.guard.admit(c, l.port); tracked != nil {
			return tracked, nil
		}
	}
}

// admit returns the tracked connection, or nil if it was closed because there is no room.
func (g *Guard) admit(c net.Conn, port int) *conn {
	now := g.now()
	tracked := &conn{Conn: c, guard: g, port: port}
	tracked.stateSince.Store(now)
	g.mu.Lock()
	admitted := true
	var closing []*conn
	g.connCounts[port]++
	if !g.limits.HasRoom(g.connCounts, port) {
		var ids []uint64
		ids, admitted = g.limits.ConnsToClose(g.connHolders(), g.connCounts, port, g.at(now))
		closing = g.connsByID(ids)
	}
	if admitted {
		g.nextID++
		tracked.id = g.nextID
		g.conns[tracked.id] = tracked
	} else {
		g.connCounts[port]--
	}
	g.mu.Unlock()
	for _, victim := range closing {
		g.evict(victim, EvictedConn)
	}
	if !admitted {
		g.refuse(TooManyConns, c.RemoteAddr().String())
		_ = c.Close()
		return nil
	}
	return tracked
}

// evict closes a connection at once, with the answer that its client has not read.
func (g *Guard) evict(c *conn, reason Reason) {
	c.refused.Store(true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	g.refuse(reason, c.RemoteAddr().String())
	_ = c.Close()
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	guard *Guard
	id    uint64
	port  int
	// state is the http.ConnState, and stateSince when it or the number of requests changed.
	state      atomic.Int32
	stateSince atomic.Int64
	// writeMu is held during a call of Write.
	writeMu sync.Mutex
	// writingSince is when the present piece of a call of Write began, or 0.
	writingSince atomic.Int64
	// serving is the number of requests being handled. Of these, streaming ones are streams.
	// receiving is the number of those whose body is being received, and bodyProgress when
	// one made progress last.
	serving, streaming, receiving atomic.Int32
	bodyProgress                  atomic.Int64
	// receivingSince is when the first of these bodies began, and received what came of all of
	// them since.
	receivingSince, received atomic.Int64
	// waiting is the number of those that wait for room, and waitSince when one began to.
	waiting   atomic.Int32
	waitSince atomic.Int64
	// served is set once a request was handled, refused if the guard closed the connection.
	served, refused atomic.Bool
	// h2Bytes is the room for the buffers of HTTP/2. The mutex of the guard protects it.
	h2Bytes budget.Request
	h2Once  sync.Once
	errH2   error
	head    headCounter
	closed  sync.Once
}

// trackedConn returns the tracked connection below c, or nil.
func trackedConn(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	tracked, _ := c.(*conn)
	return tracked
}

var errTooManyFields = errors.New("too many header fields")

// Read implements net.Conn. Nothing more is read of an HTTP/2 connection while its client does
// not read: the server would answer each frame, and keep the answers.
func (c *conn) Read(p []byte) (int, error) {
	if c.head.binary {
		c.awaitWrite()
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.head.begun && bytes.HasPrefix(p[:n], http2Preface) && c.reserveHTTP2(context.Background()) != nil {
		c.guard.evict(c, BodyNoRoom)
		return 0, errNoRoom
	}
	if n > 0 && c.serving.Load() == 0 && c.head.add(p[:n]) > *c.guard.settings.MaxHeaderFields {
		c.guard.evict(c, TooManyFields)
		return 0, errTooManyFields
	}
	return n, err
}

// awaitWrite waits for the end of the present call of Write.
func (c *conn) awaitWrite() {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
}

// pieceBytes is what a client must read of an answer to count as making progress.
const pieceBytes = 16 << 10

// Write implements net.Conn. It writes in pieces, so that a client which reads a large answer
// slowly is not taken for one that does not read.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	defer c.writingSince.Store(0)
	written := 0
	for {
		c.writingSince.Store(max(c.guard.now(), 1))
		n, err := c.Conn.Write(p[written:min(len(p), written+pieceBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Do(func() {
		g := c.guard
		g.mu.Lock()
		delete(g.conns, c.id)
		g.connCounts[c.port]--
		g.release(c.h2Bytes)
		c.h2Bytes = budget.Request{}
		g.mu.Unlock()
		if http.ConnState(c.state.Load()) == http.StateActive && !c.served.Load() && !c.refused.Load() {
			g.refuse(IncompleteHead, c.RemoteAddr().String())
		}
	})
	return c.Conn.Close()
}

func (c *conn) setState(state http.ConnState) {
	c.state.Store(int32(state))
	c.stateSince.Store(c.guard.now())
}

// begin is called when a request is passed on, and end when it is done.
func (c *conn) begin(stream bool) {
	c.serving.Add(1)
	if !c.head.binary {
		c.head.lines = 0
	}
	c.served.Store(true)
	if stream {
		c.streaming.Add(1)
	}
}

func (c *conn) end(stream bool) {
	c.stateSince.Store(c.guard.now())
	if stream {
		c.streaming.Add(-1)
	}
	if c.serving.Add(-1) == 0 {
		c.receivingSince.Store(0)
	}
}

// beginReceiving is called when a body begins to be received, or goes on after a wait.
func (c *conn) beginReceiving() {
	if c.receiving.Add(1) == 1 && c.receivingSince.Load() == 0 {
		c.received.Store(0)
		c.receivingSince.Store(max(c.guard.now(), 1))
	}
}

// beginWait is called when a request begins to wait for room, and endWait when it no longer
// does.
func (c *conn) beginWait() {
	c.waitSince.Store(c.guard.now())
	c.waiting.Add(1)
}

func (c *conn) endWait() { c.waiting.Add(-1) }

// holder returns the connection as the budget sees it.
func (c *conn) holder() budget.Holder {
	h := budget.Holder{ID: c.id, Port: c.port, Phase: budget.Unused, Since: c.guard.at(c.stateSince.Load()), Bytes: c.h2Bytes.Bytes}
	switch writing := c.writingSince.Load(); {
	case writing > 0:
		h.Phase, h.Since = budget.Unread, c.guard.at(writing)
	case c.receiving.Load() > 0 && c.serving.Load() == c.receiving.Load():
		h.Phase, h.Since = budget.Receiving, c.guard.at(c.bodyProgress.Load())
		h.Began, h.Received = c.guard.at(c.receivingSince.Load()), c.received.Load()
	case c.waiting.Load() > 0 && c.serving.Load() == c.waiting.Load()+c.receiving.Load():
		h.Phase, h.Since = budget.Waiting, c.guard.at(c.waitSince.Load())
	case c.serving.Load() > c.streaming.Load():
		h.Phase = budget.Serving
	case c.streaming.Load() > 0:
		// Streams between replicas may be silent for long and are resumed when they end.
		h.Phase = budget.Idle
	case http.ConnState(c.state.Load()) == http.StateIdle && c.served.Load():
		h.Phase = budget.Idle
	}
	return h
}

// headCounter counts the lines of heads. The limit of net/http counts bytes only, and a field
// of four bytes takes more than a hundred once it is decoded. It counts up to the first empty
// line of a read, and is exact enough for a limit: what follows is a body, or a head that
// begins in the same packet.
type headCounter struct {
	lines int
	// binary is set for connections of HTTP/2 and TLS, whose bytes are not lines.
	binary bool
	begun  bool
}

var (
	http2Preface = []byte("PRI ")
	lineEnd      = []byte("\n")
)

const tlsHandshake = 0x16

// add returns the lines of the present head.
func (h *headCounter) add(data []byte) int {
	if !h.begun {
		h.begun = true
		h.binary = data[0] == tlsHandshake || bytes.HasPrefix(data, http2Preface)
	}
	if h.binary {
		return 0
	}
	if i := bytes.Index(data, []byte("\r\n\r\n")); i >= 0 {
		n := h.lines + bytes.Count(data[:i], lineEnd)
		h.lines = 0
		return n
	}
	h.lines += bytes.Count(data, lineEnd)
	return h.lines
}

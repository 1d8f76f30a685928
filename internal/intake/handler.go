package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"

	"laburnumdock/internal/core/budget"
)

const (
	// h2Buffer is the flow-control window of an HTTP/2 connection: what its client may send
	// before a handler reads it.
	h2Buffer = 256 << 10
	// maxStreams is the largest number of concurrent requests of an HTTP/2 connection. Go's
	// clients open another connection beyond it.
	maxStreams = 32
	// peerHeadBytes is the largest header section of a request between processes of the
	// system, which have few fields.
	peerHeadBytes = 8 << 10
	// h2ConnBytes is the room that an HTTP/2 connection takes: what its client may send before
	// a handler reads it, and the heads of its requests.
	h2ConnBytes = h2Buffer + maxStreams*peerHeadBytes
	// h2FrameBytes is the smallest limit that the protocol allows; the server keeps a buffer
	// of this size for each connection.
	h2FrameBytes = 16 << 10
	// peerBufferFactor is how much larger the kernel's buffers are for snapshots.
	peerBufferFactor = 2
)

// Port is what a listener serves.
type Port struct {
	Handler http.Handler
	// MaxBody is the largest body of a request in bytes.
	MaxBody int64
	// PlainHTTP2 is set if clients use HTTP/2 without TLS.
	PlainHTTP2 bool
	// Peers is set if only processes of the system are clients, whose heads are small.
	Peers bool
	// Streams is set if processes of the system open streams, which may be silent for long,
	// and send snapshots.
	Streams bool
}

// Listen opens a listener that admits connections within the limits, and returns it with the
// HTTP server of the port.
func (g *Guard) Listen(ctx context.Context, address string, p Port, useTLS bool) (net.Listener, *http.Server, error) {
	size := *g.settings.SocketBuffer
	if p.Streams {
		size *= peerBufferFactor
	}
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) { err = setBuffers(int(fd), size) })
		return errors.Join(controlErr, err)
	}}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	g.mu.Lock()
	number := g.ports % len(g.connCounts)
	g.ports++
	g.mu.Unlock()
	return listener{Listener: l, guard: g, port: number}, g.server(p, number, useTLS), nil
}

func (g *Guard) server(p Port, number int, useTLS bool) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(p.PlainHTTP2 && !useTLS)
	maxHead := *g.settings.MaxHeaderBytes
	if p.Peers {
		maxHead = min(maxHead, peerHeadBytes)
	}
	return &http.Server{
		Handler: &handler{guard: g, port: p, number: number}, Protocols: protocols,
		MaxHeaderBytes: maxHead, ReadHeaderTimeout: *g.settings.HeaderTimeout, IdleTimeout: *g.settings.IdleTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReadFrameSize: h2FrameBytes,
			MaxReceiveBufferPerConnection: h2Buffer, MaxReceiveBufferPerStream: h2Buffer,
		},
		ConnState: g.connState, ErrorLog: g.newServerLog(),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, trackedConn(c))
		},
	}
}

// setBuffers bounds what the kernel holds for each connection of a listener.
func setBuffers(fd, size int) error {
	return errors.Join(
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size),
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, size),
	)
}

type connKey struct{}

// handler passes on requests within the limits.
type handler struct {
	guard  *Guard
	port   Port
	number int
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil {
		h.port.Handler.ServeHTTP(w, r)
		return
	}
	stream := h.port.Streams && isStream(r)
	c.begin(stream)
	defer c.end(stream)
	// Connections bound the requests of HTTP/1.1; one of HTTP/2 carries many.
	defer h.guard.inFlight.Add(-1)
	if h.guard.inFlight.Add(1) > int64(h.guard.limits.Conns) {
		h.refuse(w, r, newRefusal(TooManyRequests))
		return
	}
	if r.ProtoMajor > 1 {
		if err := c.reserveHTTP2(r.Context()); err != nil {
			h.guard.evict(c, BodyNoRoom)
			return
		}
	}
	if r.Body == nil || r.Body == http.NoBody {
		h.port.Handler.ServeHTTP(w, r)
		return
	}
	if isEncoded(r) {
		h.refuse(w, r, newRefusal(EncodedBody))
		return
	}
	if r.ContentLength > h.port.MaxBody {
		h.refuse(w, r, newRefusal(BodyTooLarge))
		return
	}
	b := &body{ReadCloser: r.Body, guard: h.guard, conn: c, writer: w, request: r, limit: h.port.MaxBody, stream: stream, port: h.number}
	r.Body = b
	defer b.done()
	if (r.Method == http.MethodGet || r.Method == http.MethodHead) && !h.receive(w, r) {
		return
	}
	h.port.Handler.ServeHTTP(w, r)
}

// receive reads the body of a request whose handler may not read it, and reports whether it
// came. Otherwise net/http would read it before the answer, for as long as the client takes,
// while the request counts as passed on.
func (h *handler) receive(w http.ResponseWriter, r *http.Request) bool {
	data, err := ReadBody(r, h.port.MaxBody)
	if refusal, ok := errors.AsType[*Refusal](err); ok {
		refusal.SetHeaders(w, r)
		http.Error(w, refusal.Error(), refusal.Status())
		return false
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		http.Error(w, "the body is not complete", http.StatusBadRequest)
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	return true
}

func (h *handler) refuse(w http.ResponseWriter, r *http.Request, refusal *Refusal) {
	h.guard.refuse(refusal.Reason, r.RemoteAddr)
	refusal.SetHeaders(w, r)
	http.Error(w, refusal.Error(), refusal.Status())
}

// reserveHTTP2 takes room for an HTTP/2 connection, once: before its first frame is read, or
// for its first request if TLS hides the frames.
func (c *conn) reserveHTTP2(ctx context.Context) error {
	c.h2Once.Do(func() {
		r := budget.Request{Bytes: h2ConnBytes, Port: c.port, Conn: true}
		if c.errH2 = c.guard.reserve(ctx, &r); c.errH2 != nil {
			return
		}
		c.guard.mu.Lock()
		defer c.guard.mu.Unlock()
		if c.guard.conns[c.id] == nil {
			c.guard.release(r)
			return
		}
		c.h2Bytes = r
	})
	return c.errH2
}

// isStream reports whether a request may send messages for as long as it likes, as those
// between replicas do.
func isStream(r *http.Request) bool {
	return strings.HasPrefix(r.Header.Get("Content-Type"), "application/connect+")
}

// isEncoded reports whether a body is compressed. What it would take in memory is not known
// from its size, and no client of the system compresses requests.
func isEncoded(r *http.Request) bool {
	for _, name := range []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"} {
		if v := r.Header.Get(name); v != "" && v != "identity" {
			return true
		}
	}
	return false
}

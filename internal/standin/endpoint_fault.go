package standin

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"laburnumdock/internal/entry"
)

// Fault switches faults of an endpoint on. The zero value is a good endpoint.
type Fault struct {
	// Fail answers every request with status 500 after it ran.
	Fail bool
	// Refuse answers that the request did not run.
	Refuse bool
	// Hang runs every request until its connection closes.
	Hang bool
	// HangPing lets pings hang.
	HangPing bool
	// Late adds to the run time.
	ExtraDelay time.Duration
	// CutBody closes the connection within the body of the answer.
	TruncateBody bool
	// Close closes the connection before the answer.
	DropConnection bool
	// OtherID answers with the ID of another request.
	WrongRequestID bool
	// NoLength answers without a length and ends the body by closing.
	OmitLength bool
	// SilentAnswer makes the connection silent just before the answer.
	SilentResponse bool
}

// SetFault replaces the faults that are switched on.
func (e *Endpoint) SetFault(f Fault) { e.fault.Store(&f) }

// SilenceConnections makes every open connection silent: it stays open, but
// nothing is read or written any more. New connections work.
func (e *Endpoint) SilenceConnections() { e.listener.silence() }

// respond writes the answer, or what the fault makes of it.
func (f *Fault) respond(w http.ResponseWriter, e *Endpoint, r *http.Request, body []byte) {
	reply := e.reply(r, body)
	switch {
	case f.SilentResponse:
		e.listener.silenceAddress(r.RemoteAddr)
		writeReply(w, http.StatusOK, reply)
	case f.DropConnection:
		panic(http.ErrAbortHandler)
	case f.TruncateBody:
		w.Header().Set("Content-Length", strconv.Itoa(len(reply)+1))
		_, _ = w.Write(reply)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case f.OmitLength:
		f.respondRaw(w, r, reply)
	case f.WrongRequestID:
		w.Header().Set(entry.HeaderRequestID, "another-request")
		writeReply(w, http.StatusOK, reply)
	case f.Fail:
		writeReply(w, http.StatusInternalServerError, reply)
	default:
		writeReply(w, http.StatusOK, reply)
	}
}

func (f *Fault) respondRaw(w http.ResponseWriter, r *http.Request, reply []byte) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = buf.WriteString("HTTP/1.1 200 OK\r\n" + entry.HeaderRequestID + ": " + r.Header.Get(entry.HeaderRequestID) + "\r\nConnection: close\r\n\r\n")
	_, _ = buf.Write(reply)
	_ = buf.Flush()
}

// faultListener bounds the open connections and can make them silent.
type faultListener struct {
	net.Listener
	limit int
	mu    sync.Mutex
	// open is guarded by mu.
	open map[*faultConn]struct{}
}

// Accept returns the next connection within the limit; others are closed.
func (l *faultListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &faultConn{Conn: conn, listener: l, silent: make(chan struct{}), closed: make(chan struct{})}
		l.mu.Lock()
		full := len(l.open) >= l.limit
		if !full {
			l.open[c] = struct{}{}
		}
		l.mu.Unlock()
		if !full {
			return c, nil
		}
		_ = conn.Close()
	}
}

func (l *faultListener) each(f func(*faultConn)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		f(c)
	}
}

func (l *faultListener) silence() { l.each((*faultConn).goSilent) }

func (l *faultListener) silenceAddress(remote string) {
	l.each(func(c *faultConn) {
		if c.RemoteAddr().String() == remote {
			c.goSilent()
		}
	})
}

func (l *faultListener) closeSilent() {
	var silent []*faultConn
	l.each(func(c *faultConn) {
		if c.isSilent() {
			silent = append(silent, c)
		}
	})
	for _, c := range silent {
		_ = c.Close()
	}
}

// faultConn is a connection that can go silent: what arrives is thrown away
// and what is written does not leave, while the connection stays open.
type faultConn struct {
	net.Conn
	listener   *faultListener
	silentOnce sync.Once
	silent     chan struct{}
	closeOnce  sync.Once
	closed     chan struct{}
}

func (c *faultConn) goSilent() { c.silentOnce.Do(func() { close(c.silent) }) }

func (c *faultConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.open, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}

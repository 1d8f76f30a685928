package scenario

import (
	"net"
	"sync"
	"sync/atomic"
)

// linkMode selects how a link treats its connections.
type linkMode int

const (
	// linkPass forwards both directions.
	linkPass linkMode = iota
	// linkStall keeps connections open and discards both directions.
	linkStall
	// linkDropResponses forwards requests and discards responses.
	linkDropResponses
)

// link forwards TCP connections from one process to another, so that a scenario can
// inject network faults between the two.
type link struct {
	from, to, target string
	listener         net.Listener
	mu               sync.Mutex
	// mode and open are guarded by mu.
	mode linkMode
	open map[*linkConn]struct{}
}

// linkConn is one forwarded connection.
type linkConn struct {
	caller, target net.Conn
	// dropRequests and dropResponses discard the data of one direction.
	dropRequests, dropResponses atomic.Bool
}

func newLink(from, to, target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{from: from, to: to, target: target, listener: listener, open: make(map[*linkConn]struct{})}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// connects reports whether the process is at one end of the link.
func (l *link) connects(name string) bool { return l.from == name || l.to == name }

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *link) serve(caller net.Conn) {
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	c := &linkConn{caller: caller, target: target}
	l.mu.Lock()
	c.apply(l.mode)
	l.open[c] = struct{}{}
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { c.forward(caller, target, &c.dropRequests) })
	directions.Go(func() { c.forward(target, caller, &c.dropResponses) })
	directions.Wait()
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
}

func (c *linkConn) apply(mode linkMode) {
	c.dropRequests.Store(mode == linkStall)
	c.dropResponses.Store(mode != linkPass)
}

// forward copies data until one side closes, and then closes both.
func (c *linkConn) forward(from, to net.Conn, drop *atomic.Bool) {
	defer c.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !drop.Load() {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (c *linkConn) close() {
	_ = c.caller.Close()
	_ = c.target.Close()
}

// setMode sets the mode of open and new connections. A change to linkPass closes the
// connections that discard data, because their streams have gaps.
func (l *link) setMode(mode linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	for c := range l.open {
		if mode == linkPass && (c.dropRequests.Load() || c.dropResponses.Load()) {
			c.close()
			continue
		}
		c.apply(mode)
	}
}

// stallOpen stalls the open connections. New connections use the mode of the link.
func (l *link) stallOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.apply(linkStall)
	}
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.close()
	}
}

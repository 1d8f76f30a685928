package scenario

import (
	"net"
	"sync"
	"sync/atomic"
)

// linkMode is what a link does with its connections.
type linkMode int

const (
	linkPass linkMode = iota
	// linkStall keeps connections open and moves nothing.
	linkStall
	// linkLoseAnswers moves requests and throws answers away.
	linkLoseAnswers
)

// link forwards TCP connections from one process to another, so that a
// scenario can break the network between the two.
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
	// loseThere and loseBack throw away what is read in this direction.
	loseThere, loseBack atomic.Bool
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

func (l *link) touches(name string) bool { return l.from == name || l.to == name }

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
	var both sync.WaitGroup
	both.Go(func() { c.pass(caller, target, &c.loseThere) })
	both.Go(func() { c.pass(target, caller, &c.loseBack) })
	both.Wait()
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
}

func (c *linkConn) apply(mode linkMode) {
	c.loseThere.Store(mode == linkStall)
	c.loseBack.Store(mode != linkPass)
}

// pass moves bytes until one side closes, which closes both.
func (c *linkConn) pass(from, to net.Conn, lose *atomic.Bool) {
	defer c.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !lose.Load() {
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

// set changes the mode of open and new connections. Going back to linkPass
// closes the connections that have lost bytes.
func (l *link) set(mode linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	for c := range l.open {
		if mode == linkPass && (c.loseThere.Load() || c.loseBack.Load()) {
			c.close()
			continue
		}
		c.apply(mode)
	}
}

// silence stalls the open connections; new ones work.
func (l *link) silence() {
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

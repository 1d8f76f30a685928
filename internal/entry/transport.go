package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of the connections to endpoints.
const (
	dialTimeout = time.Second
	// idleTimeout is shorter than the usual idle timeout of HTTP servers, so
	// that this side closes first and no request meets a closing connection.
	idleTimeout = 20 * time.Second
	// userTimeout ends a connection on which sent bytes are not acknowledged.
	userTimeout = 10 * time.Second
	// maxAnswerHeaderBytes bounds the header of an endpoint's answer.
	maxAnswerHeaderBytes = 64 << 10
	// linkRetention is how long the connections of an endpoint are kept after
	// its last request.
	linkRetention = 5 * time.Minute
	// minConnectionShare leaves room for one request beside a doubted one.
	minConnectionShare = 2
)

// links holds the connections to all endpoints. Traffic goroutines share it.
type links struct {
	hosts  int
	dialer *net.Dialer
	pings  *http.Transport
	mu     sync.Mutex
	// byEndpoint is guarded by mu.
	byEndpoint map[string]*link
}

// link is the connections to one endpoint at one address.
type link struct {
	address   string
	transport *http.Transport
	pinger    pinger
	// used is the time of the last request in Unix nanoseconds.
	used atomic.Int64
}

// newLinks returns links that share each executor's connections with all
// entry hosts.
func newLinks(cfg Config, hosts int) *links {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 5},
		Control:         setUserTimeout,
	}
	return &links{
		hosts: hosts, dialer: dialer, byEndpoint: make(map[string]*link),
		pings: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: cfg.MaxBodyBytes},
	}
}

func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// get returns the link to an endpoint, which has connections connections for
// all entry hosts together.
func (ls *links) get(endpoint, address string, connections int) *link {
	now := time.Now()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	l := ls.byEndpoint[endpoint]
	if l == nil || l.address != address {
		if l != nil {
			l.transport.CloseIdleConnections()
		}
		ls.prune(now)
		l = ls.open(address, connections)
		ls.byEndpoint[endpoint] = l
	}
	l.used.Store(now.UnixNano())
	return l
}

func (ls *links) open(address string, connections int) *link {
	share := max(connections/ls.hosts, minConnectionShare)
	l := &link{address: address, pinger: pinger{transport: ls.pings, address: address}}
	l.transport = &http.Transport{
		DialContext:            ls.dial,
		MaxConnsPerHost:        share,
		MaxIdleConnsPerHost:    share,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
	return l
}

func (ls *links) prune(now time.Time) {
	for endpoint, l := range ls.byEndpoint {
		if now.Sub(time.Unix(0, l.used.Load())) > linkRetention {
			l.transport.CloseIdleConnections()
			delete(ls.byEndpoint, endpoint)
		}
	}
}

func (ls *links) close() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, l := range ls.byEndpoint {
		l.transport.CloseIdleConnections()
	}
}

func (ls *links) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := ls.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

// countingConn counts the bytes that the kernel took and gave. It is what
// proves that nothing of a request was sent, and what shows progress.
type countingConn struct {
	net.Conn
	wrote, read atomic.Int64
}

// Write counts the bytes before the kernel takes them and takes back those that
// it did not take. Counted afterwards, an answer that arrives in between would
// be seen before the bytes of its request, and the attempt would be taken for
// one that was not sent.
func (c *countingConn) Write(p []byte) (int, error) {
	c.wrote.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.wrote.Add(int64(n - len(p)))
	return n, err
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

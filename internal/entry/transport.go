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
	// idleTimeout is shorter than the usual idle timeout of HTTP servers, so that the
	// client closes first and no request is sent on a closing connection.
	idleTimeout = 20 * time.Second
	// userTimeout closes a connection on which sent bytes stay unacknowledged.
	userTimeout = 10 * time.Second
	// maxResponseHeaderBytes bounds the header of an endpoint's response.
	maxResponseHeaderBytes = 64 << 10
	// clientRetention is how long the client of an endpoint is kept after its last
	// request.
	clientRetention = 5 * time.Minute
	// minConnectionShare is the minimum number of connections of an entry host to an
	// endpoint. With two, one is left for another request while the other may be
	// silent.
	minConnectionShare = 2
)

// endpointClients holds a client for each endpoint. The goroutines of the attempts share
// it.
type endpointClients struct {
	entryHosts    int
	dialer        *net.Dialer
	pingTransport *http.Transport
	mu            sync.Mutex
	// byEndpoint is guarded by mu.
	byEndpoint map[string]*endpointClient
}

// endpointClient holds the connections to an endpoint at an address.
type endpointClient struct {
	address   string
	transport *http.Transport
	pinger    pinger
	// lastUsed is the time of the last request in Unix nanoseconds.
	lastUsed atomic.Int64
}

// newEndpointClients returns clients that divide the connection limit of each endpoint
// among the given number of entry hosts.
func newEndpointClients(cfg Config, hosts int) *endpointClients {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 5},
		Control:         setUserTimeout,
	}
	return &endpointClients{
		entryHosts: hosts, dialer: dialer, byEndpoint: make(map[string]*endpointClient),
		pingTransport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: cfg.MaxBodyBytes},
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var sockoptErr error
	err := conn.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// get returns the client of an endpoint. connections is the connection limit of the
// endpoint for all entry hosts together.
func (cs *endpointClients) get(endpoint, address string, connections int) *endpointClient {
	now := time.Now()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c := cs.byEndpoint[endpoint]
	if c == nil || c.address != address {
		if c != nil {
			c.transport.CloseIdleConnections()
		}
		cs.prune(now)
		c = cs.newClient(address, connections)
		cs.byEndpoint[endpoint] = c
	}
	c.lastUsed.Store(now.UnixNano())
	return c
}

func (cs *endpointClients) newClient(address string, connections int) *endpointClient {
	share := max(connections/cs.entryHosts, minConnectionShare)
	c := &endpointClient{address: address, pinger: pinger{transport: cs.pingTransport, address: address}}
	c.transport = &http.Transport{
		DialContext:            cs.dial,
		MaxConnsPerHost:        share,
		MaxIdleConnsPerHost:    share,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return c
}

// prune removes the clients that were not used for clientRetention.
func (cs *endpointClients) prune(now time.Time) {
	for endpoint, c := range cs.byEndpoint {
		if now.Sub(time.Unix(0, c.lastUsed.Load())) > clientRetention {
			c.transport.CloseIdleConnections()
			delete(cs.byEndpoint, endpoint)
		}
	}
}

func (cs *endpointClients) close() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, c := range cs.byEndpoint {
		c.transport.CloseIdleConnections()
	}
}

func (cs *endpointClients) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := cs.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

// countingConn counts the bytes that the kernel accepted and delivered. The counts prove
// that nothing of a request was sent, and show progress.
type countingConn struct {
	net.Conn
	written, read atomic.Int64
}

// Write counts the bytes before the kernel accepts them and then subtracts those that it
// did not accept. If they were counted afterwards, a response could be read before the
// bytes of its request are counted, and the attempt would be reported as not sent.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n - len(p)))
	return n, err
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

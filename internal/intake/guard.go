// Package intake limits what clients hold: connections, request heads and bodies, and
// answers that they do not read. All listeners of a process share one Guard. Its decisions
// are those of the package budget; this package has the sockets and timers.
package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"laburnumdock/internal/core/budget"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/settings"
)

// Reason is why a client was refused. It names a metric.
type Reason string

// The reasons.
const (
	// TooManyConns is a new connection that was closed, and EvictedConn one without progress
	// that was closed to make room.
	TooManyConns Reason = "too_many_connections"
	EvictedConn  Reason = "connection_evicted"
	// IncompleteHead is a connection that ended with a head that was too long, too late or
	// malformed, and TooManyFields one whose head had too many fields.
	IncompleteHead  Reason = "incomplete_head"
	TooManyFields   Reason = "too_many_fields"
	TooManyRequests Reason = "too_many_requests"
	BodyTooLarge    Reason = "body_too_large"
	BodyStalled     Reason = "body_stalled"
	BodyNoRoom      Reason = "body_no_room"
	EncodedBody     Reason = "encoded_body"
	// FailedHandshake is a connection that ended in the middle of a TLS handshake.
	FailedHandshake Reason = "tls_handshake_failed"
	UnreadAnswer    Reason = "unread_answer"
)

var reasons = []Reason{
	TooManyConns, EvictedConn, IncompleteHead, TooManyFields, TooManyRequests, BodyTooLarge, BodyStalled, BodyNoRoom, EncodedBody, UnreadAnswer, FailedHandshake,
}

const (
	// sweepInterval is how often connections are looked through for those without progress.
	sweepInterval = 250 * time.Millisecond
	// connSweeps is the number of sweeps of which one looks through all connections, of which
	// an entry host may have thousands, although no request waits for room.
	connSweeps = 4
	// repeatInterval is the least time between two log lines with one reason.
	repeatInterval = 10 * time.Second
)

// Guard applies the limits of a process to all its listeners.
type Guard struct {
	settings settings.Intake
	limits   budget.Limits
	// bodyTimeouts and connTimeouts apply to bodies and to connections.
	bodyTimeouts, connTimeouts budget.Timeouts
	log                        *logevent.Logger
	refused                    map[Reason]*refusals
	started                    time.Time
	inFlight                   atomic.Int64
	// decoding is held while a large body is decoded.
	decoding chan struct{}

	// mu protects the fields below, the phases of the bodies and the reservations.
	mu      sync.Mutex
	account *budget.Account
	nextID  uint64
	conns   map[uint64]*conn
	// connCounts are the numbers of connections by listener.
	connCounts []int
	bodies     map[uint64]*body
	waiters    map[uint64]chan struct{}
	// users is the number of listeners; the first starts the sweeps and the last ends them.
	users int
	stop  chan struct{}
	// ports is the number of listeners that were opened.
	ports int
}

// refusals counts the refusals with one reason and logs some of them.
type refusals struct {
	count  metrics.Counter
	logged rate.Sometimes
}

// NewGuard returns the guard of a process and sets the limit of the heap. memoryMB is the
// memory of the process, 0 if it has no limit, and ports the number of its listeners. The
// registry may be nil.
func NewGuard(s settings.Intake, memoryMB, ports int, registry metrics.Registry, log *logevent.Logger) *Guard {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	var files syscall.Rlimit
	// Without the limit, only the memory bounds the connections.
	_ = syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files)
	limits := budget.Derive(int64(memoryMB)<<20, *s.MemoryPercent, files.Cur, *s.MaxConns, ports, *s.StallGrace, int64(*s.MinBodyRate))
	if memoryMB > 0 {
		debug.SetMemoryLimit(limits.HeapLimit(int64(memoryMB) << 20))
	}
	g := &Guard{
		settings: s, limits: limits, bodyTimeouts: budget.Timeouts{Body: *s.BodyTimeout}, connTimeouts: budget.Timeouts{Answer: *s.AnswerTimeout}, log: log,
		refused: map[Reason]*refusals{}, started: time.Now(), decoding: make(chan struct{}, 1),
		account: budget.NewAccount(limits), conns: map[uint64]*conn{}, connCounts: make([]int, max(ports, 1)), bodies: map[uint64]*body{}, waiters: map[uint64]chan struct{}{},
	}
	for _, r := range reasons {
		g.refused[r] = &refusals{
			count:  metrics.GetOrRegisterCounter("clients_refused_"+string(r)+"_total", registry),
			logged: rate.Sometimes{Interval: repeatInterval},
		}
	}
	g.registerGauge(registry, "client_memory_used_bytes", func() int64 { return g.account.Used() })
	g.registerGauge(registry, "client_requests_waiting_for_memory", func() int64 { return int64(g.account.Waiting()) })
	g.registerGauge(registry, "client_connections", func() int64 { return int64(len(g.conns)) })
	return g
}

// streamShare is the divisor of the connections that requests without an end may use.
const streamShare = 4

// MaxStreams returns the largest number of requests without an end, such as watches. They
// cannot be closed to make room for others.
func (g *Guard) MaxStreams() int { return max(g.limits.Conns/streamShare, 1) }

// registerGauge registers a gauge whose function is called with the mutex held.
func (g *Guard) registerGauge(registry metrics.Registry, name string, value func() int64) {
	_ = registry.Register(name, metrics.NewFunctionalGauge(func() int64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return value()
	}))
}

// refuse counts a refusal and logs it, unless one with the same reason was logged shortly
// before.
func (g *Guard) refuse(reason Reason, client string) {
	r := g.refused[reason]
	r.count.Inc(1)
	r.logged.Do(func() {
		g.log.Log(logevent.ClientRefused, logevent.Fields{"reason": string(reason), "number": r.count.Count(), "client": client})
	})
}

// now returns the monotonic time since the guard was made, in nanoseconds.
func (g *Guard) now() int64 { return int64(time.Since(g.started)) }

// at returns the time of a value of now.
func (g *Guard) at(ns int64) time.Time { return g.started.Add(time.Duration(ns)) }

// Use starts the sweeps for one listener. The returned function ends them.
func (g *Guard) Use() (release func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.users++
	if g.users == 1 {
		g.stop = make(chan struct{})
		go g.sweepUntil(g.stop)
	}
	return sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.users--
		if g.users == 0 {
			close(g.stop)
		}
	})
}

func (g *Guard) sweepUntil(stop <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			g.sweep(n%connSweeps == 0)
		}
	}
}

// sweep ends bodies whose time has passed, and makes room for requests that wait. If withConns
// is set, it also ends answers whose time has passed.
func (g *Guard) sweep(withConns bool) {
	now := time.Now()
	g.mu.Lock()
	for _, id := range g.bodyTimeouts.Expired(g.bodyHolders(), now) {
		g.bodies[id].expire()
	}
	if !withConns && g.account.Waiting() == 0 {
		g.mu.Unlock()
		return
	}
	conns := g.connHolders()
	unread := g.connTimeouts.Expired(conns, now)
	evicted := g.makeRoom(conns, now)
	closing := g.connsByID(append(unread, evicted...))
	g.mu.Unlock()
	for i, c := range closing {
		reason := UnreadAnswer
		if i >= len(unread) {
			reason = EvictedConn
		}
		g.evict(c, reason)
	}
}

// makeRoom ends bodies without progress that hold what a waiting request lacks, and returns
// the connections that are to be closed for it. The mutex must be held.
func (g *Guard) makeRoom(conns []budget.Holder, now time.Time) []uint64 {
	missing := g.account.Missing()
	if missing == 0 {
		return nil
	}
	bodies := g.bodyHolders()
	for _, id := range g.limits.HoldersToClose(bodies, missing, now) {
		missing -= g.bodies[id].heldBytes()
		g.bodies[id].expire()
	}
	return g.limits.HoldersToClose(conns, missing, now)
}

func (g *Guard) bodyHolders() []budget.Holder {
	list := make([]budget.Holder, 0, len(g.bodies))
	for _, b := range g.bodies {
		list = append(list, b.holder())
	}
	return list
}

func (g *Guard) connHolders() []budget.Holder {
	list := make([]budget.Holder, 0, len(g.conns))
	for _, c := range g.conns {
		list = append(list, c.holder())
	}
	return list
}

func (g *Guard) connsByID(ids []uint64) []*conn {
	list := make([]*conn, 0, len(ids))
	for _, id := range ids {
		if c := g.conns[id]; c != nil {
			list = append(list, c)
		}
	}
	return list
}

var errNoRoom = errors.New("no memory for the request")

// reserve takes room, or waits for it for at most the configured time.
func (g *Guard) reserve(ctx context.Context, r *budget.Request) error {
	g.mu.Lock()
	g.nextID++
	r.ID = g.nextID
	if g.account.Ask(*r) {
		g.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	g.waiters[r.ID] = granted
	g.mu.Unlock()
	timer := time.NewTimer(*g.settings.RoomWait)
	defer timer.Stop()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	others, waited := g.account.Withdraw(r.ID)
	if !waited {
		// It was granted in the meantime.
		return nil
	}
	delete(g.waiters, r.ID)
	g.wake(others)
	return errNoRoom
}

// release returns room. The mutex must be held.
func (g *Guard) release(r budget.Request) {
	if r.Bytes > 0 {
		g.wake(g.account.Release(r))
	}
}

func (g *Guard) wake(ids []uint64) {
	for _, id := range ids {
		close(g.waiters[id])
		delete(g.waiters, id)
	}
}

// connState is the hook of the HTTP server.
func (g *Guard) connState(c net.Conn, state http.ConnState) {
	if tracked := trackedConn(c); tracked != nil {
		tracked.setState(state)
	}
}

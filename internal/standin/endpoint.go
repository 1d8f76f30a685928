// Package standin has stand-ins for what the system meets outside: endpoints
// and the platform. Tests and the demo use them; no product process does.
package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumdock/internal/entry"
)

// Defaults of an executor.
const (
	// AnnounceInterval is how often an endpoint announces itself.
	AnnounceInterval = 500 * time.Millisecond
	// DefaultSlots and DefaultConnections are those of the users' executors.
	DefaultSlots       = 8
	DefaultConnections = 64
	// MaxRunTime bounds the run time of every kind of work.
	MaxRunTime = 10 * time.Minute
	// stopTimeout bounds the wait for requests in flight at the end.
	stopTimeout = 5 * time.Second
)

// EndpointConfig describes one endpoint.
type EndpointConfig struct {
	Announcement entry.Announcement
	// EntryHosts are the base addresses to announce to.
	EntryHosts []string
	// RunTime returns how long a kind of work takes.
	RunTime func(workKind string) time.Duration
	// LeaveDelay is how long a leaving endpoint still takes requests that were
	// sent before every entry host knew that it leaves.
	LeaveDelay time.Duration
}

// Endpoint is a running stand-in of an executor.
type Endpoint struct {
	cfg      EndpointConfig
	listener *faultListener
	slots    chan struct{}
	sequence atomic.Uint64
	leaving  atomic.Bool
	fault    atomic.Pointer[Fault]
	ledger   *ledger
	// stop ends what hangs when the endpoint stops.
	stop chan struct{}
	// kill is closed by Kill.
	kill     chan struct{}
	killOnce sync.Once
}

// NewEndpoint listens on address.
func NewEndpoint(cfg EndpointConfig, address string) (*Endpoint, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	a := &cfg.Announcement
	a.Address = l.Addr().String()
	a.Incarnation = uint64(time.Now().UnixNano())
	if a.Slots == 0 {
		a.Slots = DefaultSlots
	}
	if a.Connections == 0 {
		a.Connections = DefaultConnections
	}
	if cfg.RunTime == nil {
		cfg.RunTime = func(string) time.Duration { return 0 }
	}
	e := &Endpoint{cfg: cfg, slots: make(chan struct{}, a.Slots), ledger: newLedger(), stop: make(chan struct{}), kill: make(chan struct{})}
	e.listener = &faultListener{Listener: l, limit: a.Connections, open: make(map[*faultConn]struct{})}
	e.fault.Store(&Fault{})
	return e, nil
}

// Address returns where the endpoint listens.
func (e *Endpoint) Address() string { return e.cfg.Announcement.Address }

// Run serves and announces until ctx ends; then it leaves gracefully.
func (e *Endpoint) Run(ctx context.Context) error {
	server := &http.Server{Handler: e.handler(), ReadHeaderTimeout: stopTimeout}
	group, inner := errgroup.WithContext(context.WithoutCancel(ctx))
	announcing, stopAnnouncing := context.WithCancel(inner)
	defer stopAnnouncing()
	group.Go(func() error {
		if err := server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	leave := make(chan struct{})
	group.Go(func() error {
		e.announceAll(announcing, leave)
		return nil
	})
	group.Go(func() error {
		defer stopAnnouncing()
		select {
		case <-ctx.Done():
		case <-inner.Done():
			return nil
		case <-e.kill:
			close(e.stop)
			e.listener.closeSilent()
			return server.Close()
		}
		e.leaving.Store(true)
		close(leave)
		wait(inner, e.cfg.LeaveDelay)
		return e.shutdown(server)
	})
	return group.Wait()
}

// Kill ends the endpoint at once: it announces nothing, and requests in flight
// lose their connections.
func (e *Endpoint) Kill() { e.killOnce.Do(func() { close(e.kill) }) }

// shutdown waits for the requests in flight. What hangs by a fault is ended
// first, and silent connections are closed.
func (e *Endpoint) shutdown(server *http.Server) error {
	close(e.stop)
	e.listener.closeSilent()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return server.Close()
	}
	return nil
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

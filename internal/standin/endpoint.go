// Package standin simulates the external parts that the system works with:
// endpoints and the platform. Tests and the demo use it; no product process does.
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

// Timing and default capacity of a simulated endpoint.
const (
	// AnnounceInterval is the interval between announcements of an endpoint.
	AnnounceInterval = 500 * time.Millisecond
	// DefaultSlots and DefaultConnections match the users' executors.
	DefaultSlots       = 8
	DefaultConnections = 64
	// MaxRunTime is the upper limit on the run time of any kind of work.
	MaxRunTime = 10 * time.Minute
	// stopTimeout bounds the wait for requests in flight during shutdown.
	stopTimeout = 5 * time.Second
)

// EndpointConfig describes one endpoint.
type EndpointConfig struct {
	Announcement entry.Announcement
	// EntryHosts are the base URLs of the entry hosts to announce to.
	EntryHosts []string
	// RunTime returns the run time of a kind of work; nil means 0.
	RunTime func(workKind string) time.Duration
	// LeaveDelay is the time for which a leaving endpoint still accepts requests,
	// because entry hosts send to it until they have learned that it leaves.
	LeaveDelay time.Duration
}

// Endpoint is a simulated executor that serves HTTP requests.
type Endpoint struct {
	cfg      EndpointConfig
	listener *faultListener
	slots    chan struct{}
	sequence atomic.Uint64
	leaving  atomic.Bool
	fault    atomic.Pointer[Fault]
	tracker  *runTracker
	// stopping is closed by shutdown and after Kill; it releases requests that
	// hang because of a fault.
	stopping chan struct{}
	// kill is closed by Kill.
	kill     chan struct{}
	killOnce sync.Once
}

// NewEndpoint returns an endpoint that listens on address and isn't serving yet.
func NewEndpoint(cfg EndpointConfig, address string) (*Endpoint, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	a := &cfg.Announcement
	a.Address = listener.Addr().String()
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
	e := &Endpoint{cfg: cfg, slots: make(chan struct{}, a.Slots), tracker: newRunTracker(), stopping: make(chan struct{}), kill: make(chan struct{})}
	e.listener = &faultListener{Listener: listener, maxOpen: a.Connections, open: make(map[*faultConn]struct{})}
	e.fault.Store(&Fault{})
	return e, nil
}

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() string { return e.cfg.Announcement.Address }

// Run serves and announces until ctx ends or Kill is called. When ctx
// ends, it announces that the endpoint leaves and shuts down gracefully.
func (e *Endpoint) Run(ctx context.Context) error {
	server := &http.Server{Handler: e.handler(), ReadHeaderTimeout: stopTimeout}
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	announceCtx, stopAnnouncing := context.WithCancel(groupCtx)
	defer stopAnnouncing()
	group.Go(func() error {
		if err := server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	leave := make(chan struct{})
	group.Go(func() error {
		e.announceAll(announceCtx, leave)
		return nil
	})
	group.Go(func() error {
		defer stopAnnouncing()
		select {
		case <-ctx.Done():
		case <-groupCtx.Done():
			return nil
		case <-e.kill:
			close(e.stopping)
			e.listener.closeSilent()
			return server.Close()
		}
		e.leaving.Store(true)
		close(leave)
		wait(groupCtx, e.cfg.LeaveDelay)
		return e.shutdown(server)
	})
	return group.Wait()
}

// Kill ends the endpoint without announcing that it leaves and closes the
// connections of the requests in flight.
func (e *Endpoint) Kill() { e.killOnce.Do(func() { close(e.kill) }) }

// shutdown waits up to stopTimeout for the requests in flight. It first releases
// requests that hang because of a fault and closes silent connections, which would
// otherwise use up the timeout.
func (e *Endpoint) shutdown(server *http.Server) error {
	close(e.stopping)
	e.listener.closeSilent()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return server.Close()
	}
	return nil
}

// wait blocks for d or until ctx ends.
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

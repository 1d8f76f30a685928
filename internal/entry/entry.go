// Package entry runs an entry host. One goroutine, the control loop, owns the
// dispatcher and reads one bounded queue; traffic goroutines send it messages
// and carry out its effects.
package entry

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/logevent"
)

// Config is what an entry host needs. Fields left at zero get their default.
type Config struct {
	Name string
	// Peers are the base addresses of the other entry hosts.
	Peers []string
	// Controls are the base addresses of the control replicas. Without any,
	// the host runs without configuration and cannot record requests.
	ControlReplicas []string
	// QueueLength bounds the messages that wait for the control loop.
	QueueLength int
	// MaxRequests bounds the requests of callers in the process.
	MaxRequests int
	// MaxBufferedBytes bounds the request bodies in memory together.
	MaxBufferedBytes int64
	// MaxBodyBytes bounds the body of a request and of an answer.
	MaxBodyBytes int64
	// DefaultDeadline holds for requests without one, MaxDeadline for all.
	DefaultDeadline, MaxDeadline time.Duration
	// SettleTime is how long announcements are heard before the host is ready.
	SettleTime time.Duration
	// BalancerDelay is how long the load balancer needs to notice that the
	// host is not ready; DrainTimeout bounds the wait for requests in flight.
	BalancerDelay, DrainTimeout time.Duration
	// Slack is the factor of the square root in the reserve for short work; 0
	// means the default of the router.
	Slack float64
	// Client calls peers and control replicas. The default speaks HTTP/2
	// without TLS.
	Client  *http.Client
	Log     *logevent.Logger
	Metrics metrics.Registry
}

// Defaults of the configuration.
const (
	defaultQueueLength  = 4096
	defaultMaxRequests  = 8192
	defaultMaxBodyBytes = 1 << 20
	defaultBuffered     = 256 << 20
	defaultDeadline     = 10 * time.Second
	defaultMaxDeadline  = 10 * time.Minute
	defaultSettleTime   = time.Second
	defaultDrainTimeout = 10 * time.Minute
	// defaultConnections is assumed of an executor that is not known yet.
	defaultConnections = 64
)

func (c *Config) setDefaults() {
	orDefault(&c.QueueLength, defaultQueueLength)
	orDefault(&c.MaxRequests, defaultMaxRequests)
	orDefault(&c.MaxBodyBytes, defaultMaxBodyBytes)
	orDefault(&c.MaxBufferedBytes, defaultBuffered)
	orDefault(&c.DefaultDeadline, defaultDeadline)
	orDefault(&c.MaxDeadline, defaultMaxDeadline)
	orDefault(&c.SettleTime, defaultSettleTime)
	orDefault(&c.DrainTimeout, defaultDrainTimeout)
	if c.Client == nil {
		c.Client = defaultClient()
	}
	if c.Log == nil {
		c.Log = logevent.Discard()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Host is one entry host.
type Host struct {
	cfg Config
	// incarnation is the start time in nanoseconds. It tells the requests and
	// the peer messages of this process from those of an earlier one.
	incarnation uint64
	started     time.Time
	queue       queue
	loop        *loop
	links       *links
	recorder    *recorder
	control     *controlClient
	peers       []*peer
	reporter    *reporter
	metrics     *hostMetrics
	nextID      atomic.Uint64
	// requests counts the exchanges that the loop has not forgotten.
	requests atomic.Int64
	// buffered is the size of their bodies.
	buffered atomic.Int64
	// heard is set by the first announcement, in nanoseconds after started.
	heard    atomic.Int64
	stopping atomic.Bool
}

// New returns an entry host that is not running yet.
func New(cfg Config) *Host {
	cfg.setDefaults()
	h := &Host{cfg: cfg, started: time.Now(), queue: newQueue(cfg.QueueLength)}
	h.incarnation = uint64(h.started.UnixNano())
	h.metrics = newHostMetrics(cfg.Metrics, h)
	h.links = newLinks(cfg, len(cfg.Peers)+1)
	h.recorder = newRecorder(cfg, h.queue, h.metrics)
	h.control = newControlClient(cfg, h.queue)
	h.reporter = newReporter(cfg, h.queue)
	for _, address := range cfg.Peers {
		h.peers = append(h.peers, newPeer(h, address))
	}
	h.loop = newLoop(h, dispatch.NewWithConfig(dispatch.Config{EntryHost: cfg.Name, Seed: h.incarnation, Slack: cfg.Slack}))
	return h
}

// Run runs the host until ctx ends, then shuts it down gracefully: the caller
// keeps serving the Handler until Run returns.
func (h *Host) Run(ctx context.Context) error {
	// The parts outlive ctx: requests in flight need them to finish.
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, inner := errgroup.WithContext(inner)
	group.Go(func() error { return h.loop.run(inner) })
	group.Go(func() error { return h.recorder.run(inner) })
	group.Go(func() error { return h.control.run(inner) })
	group.Go(func() error { return h.reporter.run(inner) })
	for _, p := range h.peers {
		group.Go(func() error { return p.run(inner) })
	}
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			h.shutdown(inner)
		case <-inner.Done():
		}
		return nil
	})
	err := group.Wait()
	h.links.close()
	return err
}

// PeerHandler returns the routes for other entry hosts.
func (h *Host) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	h.routePeers(mux)
	return mux
}

// Handler returns the routes for callers, endpoints and operators.
func (h *Host) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", h.announce)
	h.routeHealth(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// ServeMux would redirect a path that it takes for unclean, but the
		// path below the service is the endpoint's own.
		if strings.HasPrefix(r.URL.Path, servicePrefix) {
			h.serve(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

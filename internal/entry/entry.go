// Package entry implements an entry host, the reverse proxy between callers and
// endpoints. One goroutine, the control loop, owns the dispatcher and reads one
// bounded queue of messages. Other goroutines do the I/O: they send messages to the
// control loop and carry out the effects that the dispatcher returns.
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

// Config holds the settings of an entry host. Zero fields get their default.
type Config struct {
	Name string
	// Peers are the base addresses of the other entry hosts.
	Peers []string
	// ControlReplicas are the base addresses of the control replicas. Without any,
	// the host runs without configuration and cannot record requests.
	ControlReplicas []string
	// QueueLength is the capacity of the control loop's message queue.
	QueueLength int
	// MaxRequests bounds the callers' requests that are open at a time.
	MaxRequests int
	// MaxBufferedBytes bounds the total size of the buffered request bodies.
	MaxBufferedBytes int64
	// MaxBodyBytes bounds the body of a request and of a response.
	MaxBodyBytes int64
	// DefaultDeadline is the time limit of a request that sets none. MaxDeadline is
	// the longest time limit that a request may set.
	DefaultDeadline, MaxDeadline time.Duration
	// SettleTime is how long the host collects announcements, counted from the first
	// one, before it reports ready.
	SettleTime time.Duration
	// BalancerDelay is how long the load balancer takes to notice that the host is
	// not ready. DrainTimeout bounds the wait for requests in flight at shutdown.
	BalancerDelay, DrainTimeout time.Duration
	// Slack is the factor of the square root of the demand in the number of slots
	// reserved for short work; 0 means the default of the router.
	Slack float64
	// Client calls peers and control replicas. The default uses HTTP/2 without TLS.
	Client  *http.Client
	Log     *logevent.Logger
	Metrics metrics.Registry
}

// Defaults of Config.
const (
	defaultQueueLength      = 4096
	defaultMaxRequests      = 8192
	defaultMaxBodyBytes     = 1 << 20
	defaultMaxBufferedBytes = 256 << 20
	defaultDeadline         = 10 * time.Second
	defaultMaxDeadline      = 10 * time.Minute
	defaultSettleTime       = time.Second
	defaultDrainTimeout     = 10 * time.Minute
	// defaultConnections is the assumed connection limit of an endpoint that has not
	// announced itself.
	defaultConnections = 64
)

func (c *Config) setDefaults() {
	orDefault(&c.QueueLength, defaultQueueLength)
	orDefault(&c.MaxRequests, defaultMaxRequests)
	orDefault(&c.MaxBodyBytes, defaultMaxBodyBytes)
	orDefault(&c.MaxBufferedBytes, defaultMaxBufferedBytes)
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
	// incarnation is the start time in Unix nanoseconds. It distinguishes the requests
	// and peer messages of this process from those of an earlier one.
	incarnation     uint64
	started         time.Time
	queue           queue
	loop            *loop
	endpointClients *endpointClients
	recorder        *recorder
	control         *controlClient
	peers           []*peer
	reporter        *reporter
	metrics         *hostMetrics
	nextID          atomic.Uint64
	// requests is the number of requests that hold a place, including those that the
	// control loop has not received yet.
	requests atomic.Int64
	// bufferedBytes is the memory reserved for their bodies.
	bufferedBytes atomic.Int64
	// firstAnnouncement is the time of the first accepted direct announcement, in
	// nanoseconds since started, or 0.
	firstAnnouncement atomic.Int64
	stopping          atomic.Bool
}

// New returns an entry host. Run starts it.
func New(cfg Config) *Host {
	cfg.setDefaults()
	h := &Host{cfg: cfg, started: time.Now(), queue: newQueue(cfg.QueueLength)}
	h.incarnation = uint64(h.started.UnixNano())
	h.metrics = newHostMetrics(cfg.Metrics, h)
	h.endpointClients = newEndpointClients(cfg, len(cfg.Peers)+1)
	h.recorder = newRecorder(cfg, h.queue, h.metrics)
	h.control = newControlClient(cfg, h.queue)
	h.reporter = newReporter(cfg, h.queue)
	for _, address := range cfg.Peers {
		h.peers = append(h.peers, newPeer(h, address))
	}
	h.loop = newLoop(h, dispatch.NewWithConfig(dispatch.Config{EntryHost: cfg.Name, Seed: h.incarnation, Slack: cfg.Slack}))
	return h
}

// Run runs the host until ctx ends, then shuts it down gracefully. The caller must
// keep serving Handler and PeerHandler until Run returns.
func (h *Host) Run(ctx context.Context) error {
	// The components outlive ctx, because requests in flight need them to finish.
	componentsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, componentsCtx := errgroup.WithContext(componentsCtx)
	group.Go(func() error { return h.loop.run(componentsCtx) })
	group.Go(func() error { return h.recorder.run(componentsCtx) })
	group.Go(func() error { return h.control.run(componentsCtx) })
	group.Go(func() error { return h.reporter.run(componentsCtx) })
	for _, p := range h.peers {
		group.Go(func() error { return p.run(componentsCtx) })
	}
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			h.shutdown(componentsCtx)
		case <-componentsCtx.Done():
		}
		return nil
	})
	err := group.Wait()
	h.endpointClients.close()
	return err
}

// PeerHandler returns the HTTP handler for other entry hosts.
func (h *Host) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	h.routePeers(mux)
	return mux
}

// Handler returns the HTTP handler for callers, endpoints and operators.
func (h *Host) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", h.handleAnnounce)
	h.routeHealth(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// ServeMux redirects a path that is not clean, but the path below the
		// service is the endpoint's and is forwarded unchanged.
		if strings.HasPrefix(r.URL.Path, servicePrefix) {
			h.serve(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

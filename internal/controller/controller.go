// Package controller executes fleet decisions on the leader. One goroutine, the
// control loop, owns the planner and the scheduler. Other goroutines fetch
// listings and execute platform calls, and communicate with the loop through
// bounded queues.
package controller

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/sched"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/platform"
)

// Backend is the interface to the control replica.
type Backend interface {
	Propose(ctx context.Context, cmd state.Command) (state.Result, error)
	Snapshot() *state.Snapshot
	// Changed returns a channel that is closed when the next snapshot is
	// available. It must be called before Snapshot.
	Changed() <-chan struct{}
	IsLeader() bool
	Now() time.Time
}

// Platform is the interface to the platform.
type Platform interface {
	List(ctx context.Context) (platform.Listing, error)
	// ActOnHost executes an action on a host.
	ActOnHost(ctx context.Context, a fleet.Action) error
	// ActOnTask executes an action on a task.
	ActOnTask(ctx context.Context, a sched.Action, now time.Time) error
}

// Config configures a controller.
type Config struct {
	Backend  Backend
	Platform Platform
	// Interval is the time between two listings.
	Interval time.Duration
	// SlotsPerHost is the number of requests that a host can run concurrently.
	SlotsPerHost int
	Metrics      metrics.Registry
	Log          *logevent.Logger
}

// Limits of the control loop.
const (
	// minPlanGap is the minimum time between two plans, so that one plan covers a
	// burst of changes.
	minPlanGap = 50 * time.Millisecond
	// minPassGap is the minimum time between two scheduler passes.
	minPassGap = 200 * time.Millisecond
	// fullPlanInterval is the interval at which all pools are planned again, even
	// if they have not changed.
	fullPlanInterval = 30 * time.Second
	// callWorkers is the number of concurrent platform calls.
	callWorkers = 16
	// queueLength is the capacity of the queues of calls, results and load reports.
	queueLength = 1024
	// proposeTimeout bounds one proposal. The next plan repeats a lost one.
	proposeTimeout = 5 * time.Second
)

// Controller makes and executes decisions while its replica is the leader.
type Controller struct {
	cfg   Config
	loads chan []fleet.Load
	// fetchNow requests a listing before the next interval.
	fetchNow chan struct{}
	// listings carries at most one unprocessed listing.
	listings chan listing
	// calls carries platform calls to the workers, and results their outcomes
	// back to the loop.
	calls   chan platformCall
	results chan platformCall
	// explains carries requests for explanations to the loop.
	explains chan explainCall
	metrics  controllerMetrics
}

type controllerMetrics struct {
	plan, pass                       metrics.Timer
	proposed, refused, calls, failed metrics.Counter
}

// listing is one response of the platform, requested at requestedAt.
type listing struct {
	platform.Listing
	requestedAt time.Time
	err         error
}

// New returns a controller, which Run starts.
func New(cfg Config) *Controller {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	timer := func(name string) metrics.Timer {
		return metrics.GetOrRegisterTimer("controller_"+name+"_ns", cfg.Metrics)
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("controller_"+name, cfg.Metrics)
	}
	return &Controller{
		cfg: cfg, loads: make(chan []fleet.Load, queueLength), fetchNow: make(chan struct{}, 1),
		listings: make(chan listing, 1), calls: make(chan platformCall, queueLength), results: make(chan platformCall, queueLength),
		explains: make(chan explainCall, maxExplains),
		metrics: controllerMetrics{
			plan: timer("plan"), pass: timer("schedule"), proposed: counter("proposed"), refused: counter("refused"),
			calls: counter("platform_calls"), failed: counter("platform_failures"),
		},
	}
}

// EnqueueLoads queues load reports of an entry host. It never blocks: reports
// arrive every second, so they may be dropped when the queue is full.
func (c *Controller) EnqueueLoads(loads []fleet.Load) {
	select {
	case c.loads <- loads:
	default:
		c.cfg.Log.Log(logevent.QueueFull, nil)
	}
}

// Run runs the controller until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.fetchListings(ctx) })
	for range callWorkers {
		group.Go(func() error { return c.executeCalls(ctx) })
	}
	group.Go(func() error { return c.runLoop(ctx) })
	return group.Wait()
}

// fetchListings requests listings while the replica is the leader: at each
// interval, and whenever requestListing is called.
func (c *Controller) fetchListings(ctx context.Context) error {
	ticker := time.NewTicker(c.cfg.Interval)
	defer ticker.Stop()
	for {
		if c.cfg.Backend.IsLeader() {
			requestedAt := c.cfg.Backend.Now()
			answer, err := c.cfg.Platform.List(ctx)
			select {
			case c.listings <- listing{answer, requestedAt, err}:
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.fetchNow:
		}
	}
}

// requestListing makes fetchListings request a listing at once, because a
// platform call has outdated the last one.
func (c *Controller) requestListing() {
	select {
	case c.fetchNow <- struct{}{}:
	default:
	}
}

// executeCalls executes queued platform calls one at a time.
func (c *Controller) executeCalls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-c.calls:
			next.err = c.executeCall(ctx, next)
			select {
			case c.results <- next:
			case <-ctx.Done():
				return nil
			}
		}
	}
}

func (c *Controller) executeCall(ctx context.Context, next platformCall) error {
	if !c.cfg.Backend.IsLeader() {
		return fault.New(fault.NotLeader, "replica is no longer the leader")
	}
	c.metrics.calls.Inc(1)
	if next.key.task != (sched.Action{}) {
		return c.cfg.Platform.ActOnTask(ctx, next.key.task, c.cfg.Backend.Now())
	}
	return c.cfg.Platform.ActOnHost(ctx, next.key.host)
}

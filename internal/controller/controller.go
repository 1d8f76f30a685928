// Package controller carries fleet decisions out on the leader. One goroutine,
// the loop of Run, owns the planner and the scheduler; others fetch listings and
// make calls of the platform, and reach the loop through bounded queues.
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

// Backend is the control replica as the controller sees it.
type Backend interface {
	Propose(ctx context.Context, cmd state.Command) (state.Result, error)
	Snapshot() *state.Snapshot
	// Changed returns a channel that is closed with the next snapshot. It is
	// called before Snapshot.
	Changed() <-chan struct{}
	IsLeader() bool
	Now() time.Time
}

// Platform is the platform as the controller sees it.
type Platform interface {
	List(ctx context.Context) (platform.Listing, error)
	Host(ctx context.Context, a fleet.Action) error
	Task(ctx context.Context, a sched.Action, now time.Time) error
}

// Config is what a controller needs.
type Config struct {
	Backend  Backend
	Platform Platform
	// Interval is the time between two listings.
	Interval time.Duration
	// SlotsPerHost is the capacity of a host for requests.
	SlotsPerHost int
	Metrics      metrics.Registry
	Log          *logevent.Logger
}

// Limits of the loop.
const (
	// minGap is the least time between two plans, so that a burst of changes is
	// planned as one.
	minGap = 50 * time.Millisecond
	// passGap is the least time between two passes of the scheduler.
	passGap = 200 * time.Millisecond
	// fullPlanInterval is when everything is planned again, whatever has changed.
	fullPlanInterval = 30 * time.Second
	// callers is the number of platform calls at a time.
	callers = 16
	// queueLength bounds the calls and load reports that wait.
	queueLength = 1024
	// proposeTimeout bounds one proposal; the next plan makes up for a lost one.
	proposeTimeout = 5 * time.Second
)

// Controller carries out decisions while its replica leads.
type Controller struct {
	cfg   Config
	loads chan []fleet.Load
	kick  chan struct{}
	// listings has the newest listing; calls and results are those of the
	// platform.
	listings chan listing
	calls    chan call
	results  chan call
	meters   meters
}

type meters struct {
	plan, pass                       metrics.Timer
	proposed, refused, calls, failed metrics.Counter
}

// listing is one answer of the platform. asked is when it was asked for.
type listing struct {
	platform.Listing
	asked time.Time
	err   error
}

// New returns a controller that is not running yet.
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
		cfg: cfg, loads: make(chan []fleet.Load, queueLength), kick: make(chan struct{}, 1),
		listings: make(chan listing, 1), calls: make(chan call, queueLength), results: make(chan call, queueLength),
		meters: meters{
			plan: timer("plan"), pass: timer("schedule"), proposed: counter("proposed"), refused: counter("refused"),
			calls: counter("platform_calls"), failed: counter("platform_failures"),
		},
	}
}

// Observe takes load reports of an entry host. It never blocks: reports come
// every second, so one that finds the queue full may be dropped.
func (c *Controller) EnqueueLoads(loads []fleet.Load) {
	select {
	case c.loads <- loads:
	default:
		c.cfg.Log.Log(logevent.QueueFull, nil)
	}
}

// Run returns when ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.fetch(ctx) })
	for range callers {
		group.Go(func() error { return c.makeCalls(ctx) })
	}
	group.Go(func() error { return c.run(ctx) })
	return group.Wait()
}

// fetch asks for listings while the replica leads.
func (c *Controller) fetch(ctx context.Context) error {
	ticker := time.NewTicker(c.cfg.Interval)
	defer ticker.Stop()
	for {
		if c.cfg.Backend.IsLeader() {
			asked := c.cfg.Backend.Now()
			answer, err := c.cfg.Platform.List(ctx)
			select {
			case c.listings <- listing{answer, asked, err}:
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.kick:
		}
	}
}

// askAgain has the next listing fetched at once, because calls have changed it.
func (c *Controller) askAgain() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// makeCalls makes calls of the platform, one at a time.
func (c *Controller) makeCalls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-c.calls:
			next.err = c.makeCall(ctx, next)
			select {
			case c.results <- next:
			case <-ctx.Done():
				return nil
			}
		}
	}
}

func (c *Controller) makeCall(ctx context.Context, next call) error {
	if !c.cfg.Backend.IsLeader() {
		return fault.New(fault.NotLeader, "replica leads no more")
	}
	c.meters.calls.Inc(1)
	if next.key.task != (sched.Action{}) {
		return c.cfg.Platform.Task(ctx, next.key.task, c.cfg.Backend.Now())
	}
	return c.cfg.Platform.Host(ctx, next.key.host)
}

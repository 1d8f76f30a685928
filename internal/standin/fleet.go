package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/entry"
	"laburnumdock/internal/platform"
)

// FleetConfig describes the hosts of a deployment with their executors.
type FleetConfig struct {
	Hosts []*model.Host
	// Services has the service of each pool.
	Services map[string]string
	// EntryHosts are the base addresses to announce to.
	EntryHosts []string
	Slots      int
	RunTime    func(workKind string) time.Duration
	LeaveDelay time.Duration
	Platform   PlatformConfig
}

// Fleet stands in for the platform and for the executors on its hosts: when
// the platform changes a host's pool, epoch or drain, the executor follows.
type Fleet struct {
	cfg      FleetConfig
	Platform *Platform
	// executors does not change after New.
	executors map[string]*executor
}

// executor runs at most one endpoint on a host. The goroutine of run owns the
// endpoint; others reach it through wanted.
type executor struct {
	fleet *Fleet
	host  *model.Host
	// wanted holds the newest state of the host that the platform told.
	wanted chan platform.Host

	// mu guards what follows.
	mu       sync.Mutex
	endpoint *Endpoint
	// told is the newest state that the platform told.
	told platform.Host
	// past are the endpoints that have ended, for what they ran.
	past []*Endpoint
}

// NewFleet returns a fleet that is not running yet.
func NewFleet(cfg FleetConfig) *Fleet {
	f := &Fleet{cfg: cfg, executors: make(map[string]*executor, len(cfg.Hosts))}
	var hosts []PlatformHost
	for _, h := range cfg.Hosts {
		hosts = append(hosts, PlatformHost{Host: h.Name, Pool: h.Spec.Pool, Zone: h.Spec.Zone, Rack: h.Spec.Rack})
		f.executors[h.Name] = &executor{fleet: f, host: h, wanted: make(chan platform.Host, 1)}
	}
	f.cfg.Platform.InFlight = f.inFlight
	f.cfg.Platform.HostChanged = f.changed
	f.Platform = NewPlatform(f.cfg.Platform, hosts)
	return f
}

// Handler serves the platform API.
func (f *Fleet) Handler() http.Handler { return f.Platform.Handler() }

// Run runs the executors until ctx ends and they have left.
func (f *Fleet) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, e := range f.executors {
		group.Go(func() error { return e.run(ctx) })
	}
	return group.Wait()
}

// changed is called by the platform under its lock, so it does not wait.
func (f *Fleet) changed(h platform.Host) {
	f.executors[h.Host].tell(h)
}

func (e *executor) tell(h platform.Host) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.told = h
	select {
	case <-e.wanted:
	default:
	}
	e.wanted <- h
}

func (f *Fleet) inFlight(host string) int {
	if e := f.executors[host].current(); e != nil {
		return e.InFlight()
	}
	return 0
}

// Crash kills the executor of a host and has the platform report a failure;
// Heal brings both back.
func (f *Fleet) Crash(host string) {
	f.Platform.SetHostFailed(host, true)
	if e := f.executors[host].current(); e != nil {
		e.Kill()
	}
}

// Heal is the reverse of Crash.
func (f *Fleet) Heal(host string) {
	f.Platform.SetHostFailed(host, false)
	e := f.executors[host]
	e.mu.Lock()
	told := e.told
	e.mu.Unlock()
	e.tell(told)
}

// Size is the number of hosts.
func (f *Fleet) Size() int { return len(f.executors) }

// Busy is the number of requests that all executors have.
func (f *Fleet) InFlight() int {
	n := 0
	for host := range f.executors {
		n += f.inFlight(host)
	}
	return n
}

// Pools returns the pool of each host that the platform was told of.
func (f *Fleet) Pools() map[string]string {
	pools := make(map[string]string, len(f.executors))
	for host, e := range f.executors {
		e.mu.Lock()
		pools[host] = e.told.Pool
		e.mu.Unlock()
	}
	return pools
}

// Endpoint returns the running endpoint of a host, or nil.
func (f *Fleet) Endpoint(host string) *Endpoint { return f.executors[host].current() }

// Runs returns how often each request ran on all endpoints of all times.
func (f *Fleet) Runs() map[string]int {
	runs := make(map[string]int)
	for _, e := range f.executors {
		for _, endpoint := range e.all() {
			for id, n := range endpoint.Runs() {
				runs[id] += n
			}
		}
	}
	return runs
}

func (e *executor) current() *Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.endpoint
}

func (e *executor) all() []*Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := append([]*Endpoint(nil), e.past...)
	if e.endpoint != nil {
		list = append(list, e.endpoint)
	}
	return list
}

func (e *executor) set(endpoint *Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endpoint != nil {
		e.past = append(e.past, e.endpoint)
	}
	e.endpoint = endpoint
}

// run starts and stops endpoints as the platform wants, until ctx ends.
func (e *executor) run(ctx context.Context) error {
	var wanted platform.Host
	for ctx.Err() == nil {
		if wanted.Epoch == 0 || wanted.Draining {
			wanted = e.await(ctx)
			continue
		}
		next, err := e.serve(ctx, wanted)
		if err != nil {
			return err
		}
		wanted = next
	}
	return nil
}

// await returns the next state that the platform tells.
func (e *executor) await(ctx context.Context) platform.Host {
	select {
	case <-ctx.Done():
		return platform.Host{}
	case next := <-e.wanted:
		return next
	}
}

// serve runs an endpoint until the platform wants another or none, and returns
// what it wants. A killed endpoint stays down until the platform tells
// something.
func (e *executor) serve(ctx context.Context, now platform.Host) (platform.Host, error) {
	endpoint, err := e.newEndpoint(now)
	if err != nil {
		return now, err
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	e.set(endpoint)
	defer e.set(nil)
	ended := make(chan error, 1)
	go func() { ended <- endpoint.Run(running) }()
	for {
		select {
		case <-ctx.Done():
			return now, <-ended
		case err := <-ended:
			if err != nil {
				return now, err
			}
			return e.await(ctx), nil
		case next := <-e.wanted:
			if next.Draining != now.Draining || next.Epoch != now.Epoch || next.Pool != now.Pool {
				stop()
				return next, <-ended
			}
		}
	}
}

func (e *executor) newEndpoint(h platform.Host) (*Endpoint, error) {
	cfg := e.fleet.cfg
	return NewEndpoint(EndpointConfig{
		Announcement: entry.Announcement{
			Endpoint: h.Host, Host: h.Host, Service: cfg.Services[h.Pool], Epoch: h.Epoch,
			Slots: cfg.Slots, Rack: e.host.Spec.Rack, Zone: e.host.Spec.Zone,
		},
		EntryHosts: cfg.EntryHosts, RunTime: cfg.RunTime, LeaveDelay: cfg.LeaveDelay,
	}, "127.0.0.1:0")
}

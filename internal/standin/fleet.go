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

// FleetConfig describes the simulated hosts of a deployment and their executors.
type FleetConfig struct {
	Hosts []*model.Host
	// Services maps each pool to its service.
	Services map[string]string
	// EntryHosts are the base URLs of the entry hosts to announce to.
	EntryHosts []string
	Slots      int
	RunTime    func(workKind string) time.Duration
	LeaveDelay time.Duration
	Platform   PlatformConfig
}

// Fleet simulates the platform and the executors on its hosts. When the platform
// changes a host's pool, epoch or drain state, its executor follows.
type Fleet struct {
	cfg      FleetConfig
	Platform *Platform
	// executors is keyed by host and does not change after NewFleet.
	executors map[string]*executor
}

// executor runs at most one endpoint on a host. The goroutine of run starts and
// stops the endpoint; others request changes through updates.
type executor struct {
	fleet *Fleet
	host  *model.Host
	// updates holds the newest desired state that run has not read yet.
	updates chan platform.Host

	// mu guards the fields below.
	mu       sync.Mutex
	endpoint *Endpoint
	// desired is the newest host state set by the platform.
	desired platform.Host
	// endedEndpoints are kept for their run counts.
	endedEndpoints []*Endpoint
}

// NewFleet returns a fleet that is not running yet.
func NewFleet(cfg FleetConfig) *Fleet {
	f := &Fleet{cfg: cfg, executors: make(map[string]*executor, len(cfg.Hosts))}
	var hosts []PlatformHost
	for _, h := range cfg.Hosts {
		hosts = append(hosts, PlatformHost{Host: h.Name, Pool: h.Spec.Pool, Zone: h.Spec.Zone, Rack: h.Spec.Rack})
		f.executors[h.Name] = &executor{fleet: f, host: h, updates: make(chan platform.Host, 1)}
	}
	f.cfg.Platform.InFlight = f.hostInFlight
	f.cfg.Platform.HostChanged = f.hostChanged
	f.Platform = NewPlatform(f.cfg.Platform, hosts)
	return f
}

// Handler serves the platform API.
func (f *Fleet) Handler() http.Handler { return f.Platform.Handler() }

// Run runs the executors until ctx ends and all endpoints have shut down.
func (f *Fleet) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, e := range f.executors {
		group.Go(func() error { return e.run(ctx) })
	}
	return group.Wait()
}

// hostChanged passes a new host state to its executor. The platform calls it
// with its lock held, so it must not block.
func (f *Fleet) hostChanged(h platform.Host) {
	f.executors[h.Host].setDesired(h)
}

// setDesired replaces the desired state and the update that run has not read.
func (e *executor) setDesired(h platform.Host) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.desired = h
	select {
	case <-e.updates:
	default:
	}
	e.updates <- h
}

func (f *Fleet) hostInFlight(host string) int {
	if e := f.executors[host].currentEndpoint(); e != nil {
		return e.InFlight()
	}
	return 0
}

// Crash kills the executor of a host and makes the platform report the host as
// failed. Heal reverts it.
func (f *Fleet) Crash(host string) {
	f.Platform.SetHostFailed(host, true)
	if e := f.executors[host].currentEndpoint(); e != nil {
		e.Kill()
	}
}

// Heal makes the platform report the host as healthy and restarts its executor
// in the state that the platform desires.
func (f *Fleet) Heal(host string) {
	f.Platform.SetHostFailed(host, false)
	e := f.executors[host]
	e.mu.Lock()
	desired := e.desired
	e.mu.Unlock()
	e.setDesired(desired)
}

// Size returns the number of hosts.
func (f *Fleet) Size() int { return len(f.executors) }

// InFlight returns the number of requests in flight on all executors.
func (f *Fleet) InFlight() int {
	n := 0
	for host := range f.executors {
		n += f.hostInFlight(host)
	}
	return n
}

// Pools returns the pool of each host that the platform last set.
func (f *Fleet) Pools() map[string]string {
	pools := make(map[string]string, len(f.executors))
	for host, e := range f.executors {
		e.mu.Lock()
		pools[host] = e.desired.Pool
		e.mu.Unlock()
	}
	return pools
}

// Endpoint returns the running endpoint of a host, or nil.
func (f *Fleet) Endpoint(host string) *Endpoint { return f.executors[host].currentEndpoint() }

// Runs returns the number of runs of each request over all endpoints, including
// those that have ended.
func (f *Fleet) Runs() map[string]int {
	runs := make(map[string]int)
	for _, e := range f.executors {
		for _, endpoint := range e.allEndpoints() {
			for id, n := range endpoint.Runs() {
				runs[id] += n
			}
		}
	}
	return runs
}

func (e *executor) currentEndpoint() *Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.endpoint
}

func (e *executor) allEndpoints() []*Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := append([]*Endpoint(nil), e.endedEndpoints...)
	if e.endpoint != nil {
		list = append(list, e.endpoint)
	}
	return list
}

func (e *executor) setEndpoint(endpoint *Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endpoint != nil {
		e.endedEndpoints = append(e.endedEndpoints, e.endpoint)
	}
	e.endpoint = endpoint
}

// run starts and stops endpoints to follow the desired state until ctx ends.
func (e *executor) run(ctx context.Context) error {
	var desired platform.Host
	for ctx.Err() == nil {
		if desired.Epoch == 0 || desired.Draining {
			desired = e.waitUpdate(ctx)
			continue
		}
		next, err := e.serve(ctx, desired)
		if err != nil {
			return err
		}
		desired = next
	}
	return nil
}

// waitUpdate returns the next desired state, or the zero value when ctx ends.
func (e *executor) waitUpdate(ctx context.Context) platform.Host {
	select {
	case <-ctx.Done():
		return platform.Host{}
	case next := <-e.updates:
		return next
	}
}

// serve runs an endpoint until the desired state requires another one or none,
// and returns that state. A killed endpoint stays down until the next update.
func (e *executor) serve(ctx context.Context, current platform.Host) (platform.Host, error) {
	endpoint, err := e.newEndpoint(current)
	if err != nil {
		return current, err
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	e.setEndpoint(endpoint)
	defer e.setEndpoint(nil)
	ended := make(chan error, 1)
	go func() { ended <- endpoint.Run(running) }()
	for {
		select {
		case <-ctx.Done():
			return current, <-ended
		case err := <-ended:
			if err != nil {
				return current, err
			}
			return e.waitUpdate(ctx), nil
		case next := <-e.updates:
			if next.Draining != current.Draining || next.Epoch != current.Epoch || next.Pool != current.Pool {
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

package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/sched"
	"laburnumdock/internal/platform"
)

// PlatformConfig configures a simulated platform.
type PlatformConfig struct {
	RebootTime time.Duration
	// TaskTime is the run time of a task; with 0 a task never finishes by itself.
	TaskTime time.Duration
	// ReportLag is the age of the listing that the platform returns.
	ReportLag time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// InFlight, if set, returns the requests in flight on a host's executor. They
	// are added to the host's running tasks.
	InFlight func(host string) int
	// HostChanged, if set, is called with the lock of Platform held when the pool,
	// epoch or drain state of a host is set, so that its endpoint can follow.
	HostChanged func(host platform.Host)
}

// PlatformHost identifies one simulated host and its place.
type PlatformHost struct {
	Host, Pool, Zone, Rack string
}

// simulatedHost is the state of one host. Platform.mu guards it.
type simulatedHost struct {
	PlatformHost
	bootCount  int
	failed     bool
	rebootEnds time.Time
	epoch      uint64
	draining   bool
	failsTasks bool
	// usageFactor is the ratio of the reported usage to the declared size.
	usageFactor float64
	tasks       map[string]*simulatedTask
}

type simulatedTask struct {
	call       platform.TaskCall
	outcome    sched.Outcome
	leaseUntil time.Time
	finishesAt time.Time
	endedAt    time.Time
}

// Platform simulates the platform's host and task API. Calls are idempotent
// within an epoch, and calls with an older epoch are refused.
type Platform struct {
	cfg   PlatformConfig
	mu    sync.Mutex
	hosts map[string]*simulatedHost
	// history holds past listings, oldest first, to simulate the reporting lag.
	history []listingSample
	down    bool
}

type listingSample struct {
	takenAt time.Time
	listing platform.Listing
}

// endedTaskRetention is the time for which an ended task stays listed.
const endedTaskRetention = 10 * time.Minute

// NewPlatform returns a platform whose hosts are healthy.
func NewPlatform(cfg PlatformConfig, hosts []PlatformHost) *Platform {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	p := &Platform{cfg: cfg, hosts: make(map[string]*simulatedHost)}
	for _, h := range hosts {
		p.hosts[h.Host] = &simulatedHost{PlatformHost: h, bootCount: 1, usageFactor: 1, tasks: make(map[string]*simulatedTask)}
	}
	return p
}

// Handler serves the platform API.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", p.listHosts)
	mux.HandleFunc("POST /v1/hosts/{host}/serve", p.hostHandler(p.serveHost))
	mux.HandleFunc("POST /v1/hosts/{host}/drain", p.hostHandler(p.drainHost))
	mux.HandleFunc("POST /v1/hosts/{host}/checkpoint", p.hostHandler(p.checkpointHost))
	mux.HandleFunc("POST /v1/hosts/{host}/reboot", p.hostHandler(p.rebootHost))
	mux.HandleFunc("POST /v1/hosts/{host}/tasks", p.taskHandler(p.startTask))
	mux.HandleFunc("POST /v1/hosts/{host}/tasks/stop", p.taskHandler(p.stopTask))
	return mux
}

func writeFailure(w http.ResponseWriter, status int, format string, args ...any) {
	answer.WriteJSON(w, status, platform.Failure{Message: fmt.Sprintf(format, args...)})
}

// withHost decodes the request into body, advances the simulation to the current
// time and calls f on the host of the path with mu held.
func (p *Platform) withHost(w http.ResponseWriter, r *http.Request, body any, f func(h *simulatedHost) error) {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(body); err != nil {
		writeFailure(w, http.StatusBadRequest, "body: %s", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	h := p.hosts[r.PathValue("host")]
	switch {
	case p.down:
		writeFailure(w, http.StatusServiceUnavailable, "platform is down")
	case h == nil:
		writeFailure(w, http.StatusNotFound, "host %s does not exist", r.PathValue("host"))
	default:
		if err := f(h); err != nil {
			writeFailure(w, http.StatusConflict, "%s", err)
			return
		}
		answer.WriteJSON(w, http.StatusOK, struct{}{})
	}
}

func (p *Platform) hostHandler(f func(h *simulatedHost, c platform.HostCall) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c platform.HostCall
		p.withHost(w, r, &c, func(h *simulatedHost) error {
			if c.Epoch < h.epoch {
				return fmt.Errorf("host %s has epoch %d, the call has %d", h.Host, h.epoch, c.Epoch)
			}
			return f(h, c)
		})
	}
}

// serveHost refuses to end a drain within the same epoch. A return from a drain
// has a new epoch, so such a call comes from a leader that has lost leadership.
func (p *Platform) serveHost(h *simulatedHost, c platform.HostCall) error {
	if h.draining && c.Epoch == h.epoch {
		return fmt.Errorf("host %s is draining at epoch %d", h.Host, h.epoch)
	}
	h.epoch, h.draining, h.Pool = c.Epoch, false, c.Pool
	p.notifyChanged(h)
	return nil
}

func (p *Platform) drainHost(h *simulatedHost, c platform.HostCall) error {
	h.epoch, h.draining = c.Epoch, true
	p.notifyChanged(h)
	return nil
}

func (p *Platform) notifyChanged(h *simulatedHost) {
	if p.cfg.HostChanged != nil {
		p.cfg.HostChanged(p.describe(h))
	}
}

func (p *Platform) checkpointHost(h *simulatedHost, _ platform.HostCall) error {
	for _, t := range h.tasks {
		p.endTask(t, sched.OutcomeStopped)
	}
	return nil
}

func (p *Platform) rebootHost(h *simulatedHost, c platform.HostCall) error {
	if c.BootID != h.bootID() || !h.rebootEnds.IsZero() {
		return nil
	}
	h.epoch, h.draining = c.Epoch, true
	h.rebootEnds = p.cfg.Now().Add(p.cfg.RebootTime)
	p.stopTasks(h)
	return nil
}

func (h *simulatedHost) bootID() string { return fmt.Sprintf("%s-boot-%d", h.Host, h.bootCount) }

func (p *Platform) stopTasks(h *simulatedHost) {
	for _, t := range h.tasks {
		p.endTask(t, sched.OutcomeStopped)
	}
}

func (p *Platform) endTask(t *simulatedTask, outcome sched.Outcome) {
	if t.outcome == sched.OutcomeRunning {
		t.outcome, t.endedAt = outcome, p.cfg.Now()
	}
}

func (p *Platform) taskHandler(f func(h *simulatedHost, t *simulatedTask, c platform.TaskCall) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c platform.TaskCall
		p.withHost(w, r, &c, func(h *simulatedHost) error {
			t := h.tasks[taskKey(c)]
			if t != nil && c.Epoch < t.call.Epoch {
				return fmt.Errorf("task %s has epoch %d, the call has %d", taskKey(c), t.call.Epoch, c.Epoch)
			}
			return f(h, t, c)
		})
	}
}

func taskKey(c platform.TaskCall) string { return fmt.Sprintf("%s/%d", c.Job, c.Index) }

func (p *Platform) startTask(h *simulatedHost, t *simulatedTask, c platform.TaskCall) error {
	if h.failed || !h.rebootEnds.IsZero() {
		return fmt.Errorf("host %s is not up", h.Host)
	}
	now := p.cfg.Now()
	until := now.Add(time.Duration(c.LeaseMs) * time.Millisecond)
	if t != nil && t.call.Epoch == c.Epoch {
		if t.outcome == sched.OutcomeRunning {
			t.leaseUntil = until
		}
		return nil
	}
	h.tasks[taskKey(c)] = &simulatedTask{call: c, outcome: sched.OutcomeRunning, leaseUntil: until, finishesAt: now.Add(p.cfg.TaskTime)}
	return nil
}

// stopTask also records a task that never started, so that a delayed start of
// the same epoch has no effect.
func (p *Platform) stopTask(h *simulatedHost, t *simulatedTask, c platform.TaskCall) error {
	if t == nil || t.call.Epoch < c.Epoch {
		t = &simulatedTask{call: c, outcome: sched.OutcomeRunning}
		h.tasks[taskKey(c)] = t
	}
	p.endTask(t, sched.OutcomeStopped)
	return nil
}

// advance applies what is due at the current time: it completes reboots, ends
// tasks that are finished or whose lease expired, and removes old ended tasks.
func (p *Platform) advance() {
	now := p.cfg.Now()
	for _, h := range p.hosts {
		if !h.rebootEnds.IsZero() && !now.Before(h.rebootEnds) {
			h.rebootEnds = time.Time{}
			h.failed = false
			h.bootCount++
		}
		for name, t := range h.tasks {
			p.advanceTask(h, t, now)
			if t.outcome != sched.OutcomeRunning && now.Sub(t.endedAt) > endedTaskRetention {
				delete(h.tasks, name)
			}
		}
	}
}

func (p *Platform) advanceTask(h *simulatedHost, t *simulatedTask, now time.Time) {
	switch {
	case h.failed || !now.Before(t.leaseUntil):
		p.endTask(t, sched.OutcomeStopped)
	case h.failsTasks:
		p.endTask(t, sched.OutcomeFailed)
	case p.cfg.TaskTime > 0 && !now.Before(t.finishesAt):
		p.endTask(t, sched.OutcomeFinished)
	}
}

func (p *Platform) listHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	if p.down {
		writeFailure(w, http.StatusServiceUnavailable, "platform is down")
		return
	}
	answer.WriteJSON(w, http.StatusOK, p.delayedListing())
}

// delayedListing returns the newest listing that is at least ReportLag old, or
// the oldest one if there is none.
func (p *Platform) delayedListing() platform.Listing {
	now := p.cfg.Now()
	p.history = append(p.history, listingSample{now, p.listing()})
	for len(p.history) > 1 && now.Sub(p.history[1].takenAt) >= p.cfg.ReportLag {
		p.history = p.history[1:]
	}
	oldest := p.history[0]
	hosts := make([]platform.Host, len(oldest.listing.Hosts))
	for i, h := range oldest.listing.Hosts {
		h.AgeMs = now.Sub(oldest.takenAt).Milliseconds()
		hosts[i] = h
	}
	return platform.Listing{Hosts: hosts, Tasks: oldest.listing.Tasks}
}

func (p *Platform) listing() platform.Listing {
	var l platform.Listing
	for _, h := range p.hosts {
		l.Hosts = append(l.Hosts, p.describe(h))
		for _, t := range h.tasks {
			l.Tasks = append(l.Tasks, p.describeTask(h, t))
		}
	}
	sort.Slice(l.Hosts, func(i, j int) bool { return l.Hosts[i].Host < l.Hosts[j].Host })
	return l
}

func (p *Platform) describe(h *simulatedHost) platform.Host {
	health, inFlight := model.HealthHealthy, 0
	if h.failed || !h.rebootEnds.IsZero() {
		health = model.HealthUnhealthy
	} else {
		inFlight = h.runningTasks()
		if p.cfg.InFlight != nil {
			inFlight += p.cfg.InFlight(h.Host)
		}
	}
	return platform.Host{Host: h.Host, Health: health, InFlight: inFlight, BootID: h.bootID(), Epoch: h.epoch, Pool: h.Pool, Draining: h.draining}
}

func (h *simulatedHost) runningTasks() int {
	n := 0
	for _, t := range h.tasks {
		if t.outcome == sched.OutcomeRunning {
			n++
		}
	}
	return n
}

func (p *Platform) describeTask(h *simulatedHost, t *simulatedTask) platform.Task {
	return platform.Task{
		Host: h.Host, Job: t.call.Job, Index: t.call.Index, Epoch: t.call.Epoch, Outcome: t.outcome,
		UsedCores:    int(float64(t.call.Cores) * h.usageFactor),
		UsedMemoryMB: int(float64(t.call.MemoryMB) * h.usageFactor),
		LeaseLeftMs:  max(t.leaseUntil.Sub(p.cfg.Now()).Milliseconds(), 0),
	}
}

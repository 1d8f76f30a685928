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

// PlatformConfig describes a stand-in of the platform.
type PlatformConfig struct {
	RebootTime time.Duration
	// TaskTime is how long a task runs until it finishes.
	TaskTime time.Duration
	// ReportLag is how old the listing is.
	ReportLag time.Duration
	// Now is the clock; nil means the system's.
	Now func() time.Time
	// InFlight, if set, adds the requests in flight of a host's executor.
	InFlight func(host string) int
	// Changed, if set, is told when a host changes its pool, epoch or drain, so
	// that its endpoint can follow.
	HostChanged func(host platform.Host)
}

// PlatformHost is a host to stand in for.
type PlatformHost struct {
	Host, Pool, Zone, Rack string
}

// standinHost is one host. The mutex of Platform guards it.
type standinHost struct {
	PlatformHost
	boot     int
	failed   bool
	backAt   time.Time
	epoch    uint64
	draining bool
	bad      bool
	// useFactor multiplies the declared size in the reported use.
	useFactor float64
	tasks     map[string]*standinTask
}

type standinTask struct {
	call    platform.TaskCall
	outcome sched.Outcome
	until   time.Time
	ends    time.Time
	endedAt time.Time
}

// Platform is a stand-in of the platform. Its calls are idempotent by epoch,
// and an older epoch is refused.
type Platform struct {
	cfg   PlatformConfig
	mutex sync.Mutex
	hosts map[string]*standinHost
	// samples are listings of the past, oldest first, for the reporting lag.
	samples []sample
	down    bool
}

type sample struct {
	at      time.Time
	listing platform.Listing
}

// endedFor is how long an ended task stays listed.
const endedFor = 10 * time.Minute

// NewPlatform returns a platform with healthy hosts.
func NewPlatform(cfg PlatformConfig, hosts []PlatformHost) *Platform {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	p := &Platform{cfg: cfg, hosts: make(map[string]*standinHost)}
	for _, h := range hosts {
		p.hosts[h.Host] = &standinHost{PlatformHost: h, boot: 1, useFactor: 1, tasks: make(map[string]*standinTask)}
	}
	return p
}

// Handler serves the platform API.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", p.list)
	mux.HandleFunc("POST /v1/hosts/{host}/serve", p.onHost(p.serveHost))
	mux.HandleFunc("POST /v1/hosts/{host}/drain", p.onHost(p.drainHost))
	mux.HandleFunc("POST /v1/hosts/{host}/checkpoint", p.onHost(p.checkpointHost))
	mux.HandleFunc("POST /v1/hosts/{host}/reboot", p.onHost(p.rebootHost))
	mux.HandleFunc("POST /v1/hosts/{host}/tasks", p.onTask(p.startTask))
	mux.HandleFunc("POST /v1/hosts/{host}/tasks/stop", p.onTask(p.stopTask))
	return mux
}

func fail(w http.ResponseWriter, status int, format string, args ...any) {
	answer.WriteJSON(w, status, platform.Failure{Message: fmt.Sprintf(format, args...)})
}

// with runs f on the host of the path under the mutex, after what time did.
func (p *Platform) with(w http.ResponseWriter, r *http.Request, body any, f func(h *standinHost) error) {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(body); err != nil {
		fail(w, http.StatusBadRequest, "body: %s", err)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pass()
	h := p.hosts[r.PathValue("host")]
	switch {
	case p.down:
		fail(w, http.StatusServiceUnavailable, "platform is down")
	case h == nil:
		fail(w, http.StatusNotFound, "host %s does not exist", r.PathValue("host"))
	default:
		if err := f(h); err != nil {
			fail(w, http.StatusConflict, "%s", err)
			return
		}
		answer.WriteJSON(w, http.StatusOK, struct{}{})
	}
}

func (p *Platform) onHost(f func(h *standinHost, c platform.HostCall) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c platform.HostCall
		p.with(w, r, &c, func(h *standinHost) error {
			if c.Epoch < h.epoch {
				return fmt.Errorf("host %s has epoch %d, the call has %d", h.Host, h.epoch, c.Epoch)
			}
			return f(h, c)
		})
	}
}

// serveHost never takes back a drain of the same epoch: the return from a drain
// has a new one, so such a call is from a leader that lost its office.
func (p *Platform) serveHost(h *standinHost, c platform.HostCall) error {
	if h.draining && c.Epoch == h.epoch {
		return fmt.Errorf("host %s drains under epoch %d", h.Host, h.epoch)
	}
	h.epoch, h.draining, h.Pool = c.Epoch, false, c.Pool
	p.changed(h)
	return nil
}

func (p *Platform) drainHost(h *standinHost, c platform.HostCall) error {
	h.epoch, h.draining = c.Epoch, true
	p.changed(h)
	return nil
}

func (p *Platform) changed(h *standinHost) {
	if p.cfg.HostChanged != nil {
		p.cfg.HostChanged(p.describe(h))
	}
}

func (p *Platform) checkpointHost(h *standinHost, _ platform.HostCall) error {
	for _, t := range h.tasks {
		p.end(t, sched.OutcomeStopped)
	}
	return nil
}

func (p *Platform) rebootHost(h *standinHost, c platform.HostCall) error {
	if c.BootID != h.bootID() || !h.backAt.IsZero() {
		return nil
	}
	h.epoch, h.draining = c.Epoch, true
	h.backAt = p.cfg.Now().Add(p.cfg.RebootTime)
	p.endAll(h)
	return nil
}

func (h *standinHost) bootID() string { return fmt.Sprintf("%s-boot-%d", h.Host, h.boot) }

func (p *Platform) endAll(h *standinHost) {
	for _, t := range h.tasks {
		p.end(t, sched.OutcomeStopped)
	}
}

func (p *Platform) end(t *standinTask, outcome sched.Outcome) {
	if t.outcome == sched.OutcomeRunning {
		t.outcome, t.endedAt = outcome, p.cfg.Now()
	}
}

func (p *Platform) onTask(f func(h *standinHost, t *standinTask, c platform.TaskCall) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c platform.TaskCall
		p.with(w, r, &c, func(h *standinHost) error {
			t := h.tasks[taskName(c)]
			if t != nil && c.Epoch < t.call.Epoch {
				return fmt.Errorf("task %s has epoch %d, the call has %d", taskName(c), t.call.Epoch, c.Epoch)
			}
			return f(h, t, c)
		})
	}
}

func taskName(c platform.TaskCall) string { return fmt.Sprintf("%s/%d", c.Job, c.Index) }

func (p *Platform) startTask(h *standinHost, t *standinTask, c platform.TaskCall) error {
	if h.failed || !h.backAt.IsZero() {
		return fmt.Errorf("host %s is not up", h.Host)
	}
	now := p.cfg.Now()
	until := now.Add(time.Duration(c.LeaseMs) * time.Millisecond)
	if t != nil && t.call.Epoch == c.Epoch {
		if t.outcome == sched.OutcomeRunning {
			t.until = until
		}
		return nil
	}
	h.tasks[taskName(c)] = &standinTask{call: c, outcome: sched.OutcomeRunning, until: until, ends: now.Add(p.cfg.TaskTime)}
	return nil
}

// stopTask also notes a task that never started, so that a late start of the
// same epoch has no effect.
func (p *Platform) stopTask(h *standinHost, t *standinTask, c platform.TaskCall) error {
	if t == nil || t.call.Epoch < c.Epoch {
		t = &standinTask{call: c, outcome: sched.OutcomeRunning}
		h.tasks[taskName(c)] = t
	}
	p.end(t, sched.OutcomeStopped)
	return nil
}

// pass carries out what time did: reboots end, tasks end or lose their lease.
func (p *Platform) pass() {
	now := p.cfg.Now()
	for _, h := range p.hosts {
		if !h.backAt.IsZero() && !now.Before(h.backAt) {
			h.backAt = time.Time{}
			h.failed = false
			h.boot++
		}
		for name, t := range h.tasks {
			p.passTask(h, t, now)
			if t.outcome != sched.OutcomeRunning && now.Sub(t.endedAt) > endedFor {
				delete(h.tasks, name)
			}
		}
	}
}

func (p *Platform) passTask(h *standinHost, t *standinTask, now time.Time) {
	switch {
	case h.failed || !now.Before(t.until):
		p.end(t, sched.OutcomeStopped)
	case h.bad:
		p.end(t, sched.OutcomeFailed)
	case p.cfg.TaskTime > 0 && !now.Before(t.ends):
		p.end(t, sched.OutcomeFinished)
	}
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pass()
	if p.down {
		fail(w, http.StatusServiceUnavailable, "platform is down")
		return
	}
	answer.WriteJSON(w, http.StatusOK, p.lagged())
}

// lagged returns the newest listing that is at least ReportLag old, or the
// oldest one.
func (p *Platform) lagged() platform.Listing {
	now := p.cfg.Now()
	p.samples = append(p.samples, sample{now, p.listing()})
	for len(p.samples) > 1 && now.Sub(p.samples[1].at) >= p.cfg.ReportLag {
		p.samples = p.samples[1:]
	}
	old := p.samples[0]
	hosts := make([]platform.Host, len(old.listing.Hosts))
	for i, h := range old.listing.Hosts {
		h.AgeMs = now.Sub(old.at).Milliseconds()
		hosts[i] = h
	}
	return platform.Listing{Hosts: hosts, Tasks: old.listing.Tasks}
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

func (p *Platform) describe(h *standinHost) platform.Host {
	health, inFlight := model.HealthHealthy, 0
	if h.failed || !h.backAt.IsZero() {
		health = model.HealthUnhealthy
	} else {
		inFlight = h.running()
		if p.cfg.InFlight != nil {
			inFlight += p.cfg.InFlight(h.Host)
		}
	}
	return platform.Host{Host: h.Host, Health: health, InFlight: inFlight, BootID: h.bootID(), Epoch: h.epoch, Pool: h.Pool, Draining: h.draining}
}

func (h *standinHost) running() int {
	n := 0
	for _, t := range h.tasks {
		if t.outcome == sched.OutcomeRunning {
			n++
		}
	}
	return n
}

func (p *Platform) describeTask(h *standinHost, t *standinTask) platform.Task {
	return platform.Task{
		Host: h.Host, Job: t.call.Job, Index: t.call.Index, Epoch: t.call.Epoch, Outcome: t.outcome,
		UsedCores:    int(float64(t.call.Cores) * h.useFactor),
		UsedMemoryMB: int(float64(t.call.MemoryMB) * h.useFactor),
		LeaseLeftMs:  max(t.until.Sub(p.cfg.Now()).Milliseconds(), 0),
	}
}

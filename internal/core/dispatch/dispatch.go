package dispatch

import (
	"math"
	"time"

	"laburnumdock/internal/core/admit"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/member"
	"laburnumdock/internal/core/outcome"
	"laburnumdock/internal/core/retry"
	"laburnumdock/internal/core/route"
)

const (
	// defaultQueueLimit bounds the waiting requests of one service: about two
	// seconds of work at 12 endpoints.
	defaultQueueLimit = 4096
	// maxOpen bounds all requests of the entry host.
	maxOpen = 65536
	// checkInterval is the resolution at which running attempts are looked at.
	checkInterval = 10 * time.Millisecond
	// tickInterval is the resolution of deadlines, leases and probes.
	tickInterval = 20 * time.Millisecond
	// hangFloor and hangFactor tell when a running attempt counts as hanging:
	// when it takes many times what its class was expected to take.
	hangFloor  = 2 * time.Second
	hangFactor = 20
	// maxIDLifetime is how far ahead the expiry of a request ID may be.
	maxIDLifetime = 10 * time.Minute
)

// Config is how a dispatcher decides. The zero value is the chosen policy for
// a single entry host.
type Config struct {
	// EntryHost is the name of this entry host among its peers.
	EntryHost  string
	Seed       uint64
	QueueLimit int
	Sharing    route.Sharing
	Placement  route.Placement
	Slack      float64
}

// Dispatcher holds the requests of one entry host. The control loop owns it.
// Invariants: every open request is in exactly one of a queue, running,
// recording and delayed; each attempt that was started and has not finished
// takes one slot of its endpoint.
type Dispatcher struct {
	Directory *member.Directory

	cfg       Config
	base      time.Time
	seen      uint64
	table     *route.Table
	budget    *retry.Budget
	requests  map[uint64]*request
	lines     map[string]*line
	order     []*line
	running   set
	recording set
	delayed   delayHeap
	checked   time.Duration
	ticked    time.Duration
	stopping  bool
	effects   []Effect
}

// line is what waits for one service.
type line struct {
	service string
	queue   *admit.Queue
	// held counts requests that are neither in the queue nor running.
	held int
}

type request struct {
	Request
	id       uint64
	arrived  time.Duration
	deadline time.Duration
	line     *line
	item     admit.Item
	class    route.Class
	expect   route.Estimate

	attempt  int
	failures int
	endpoint *route.Endpoint
	// avoid is the endpoint that failed the former attempt.
	avoid   *route.Endpoint
	started time.Duration
	// long tells whether the running attempt counts as long.
	long      bool
	suspected bool
	aborted   bool
	verdict   outcome.Verdict
	detail    string

	begun bool
	// answered is set when the caller has its answer or is gone.
	answered bool
	phase    RecordPhase
	pending  Answer
	due      time.Duration
	// paid tells that a token of the retry budget was taken for the attempt.
	paid  bool
	index int
}

// New returns a dispatcher without endpoints, for a single entry host.
func New() *Dispatcher { return NewWithConfig(Config{}) }

// NewWith returns a dispatcher without endpoints.
func NewWithConfig(cfg Config) *Dispatcher {
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = defaultQueueLimit
	}
	return &Dispatcher{
		Directory: member.New(), cfg: cfg, budget: retry.New(cfg.Seed),
		table:    route.New(route.Config{Self: cfg.EntryHost, Sharing: cfg.Sharing, Placement: cfg.Placement, Seed: cfg.Seed, Slack: cfg.Slack}),
		requests: make(map[uint64]*request), lines: make(map[string]*line),
	}
}

// Step takes one event and returns what to do. The effects are valid until
// the next Step.
func (d *Dispatcher) Step(now time.Time, ev Event) []Effect {
	if d.base.IsZero() {
		d.base = now
	}
	at := now.Sub(d.base)
	d.effects = d.effects[:0]
	d.follow()
	switch e := ev.(type) {
	case Arrived:
		d.arrive(now, at, e.Request)
	case AttemptFinished:
		d.finish(at, e)
	case Recorded:
		d.recorded(at, e)
	case CallerGone:
		d.gone(at, e.ID)
	case Announced:
		d.announced(now, at, e.Announcement)
	case EpochChanged:
		d.Directory.SetEpoch(e.Host, e.Epoch)
		d.follow()
	case ServiceLimits:
		d.table.SetMinHealthy(e.Service, e.MinHealthy)
	case PeerUse:
		d.peerUse(at, e)
	case Probed:
		d.table.RecordProbe(e.Endpoint, e.OK, at)
		d.pumpAll(at)
	case StopRequested:
		d.stopping = true
	case Ticked:
		d.tick(now, at)
	}
	d.timers(at)
	return d.effects
}

// Open is the number of requests that have not ended. A graceful stop waits
// until it is 0.
func (d *Dispatcher) OpenRequests() int { return len(d.requests) }

// NextDue is when the next delayed attempt may start. A Ticked at that time
// starts it; later is allowed.
func (d *Dispatcher) NextDue() (time.Time, bool) {
	if len(d.delayed) == 0 {
		return time.Time{}, false
	}
	return d.base.Add(d.delayed[0].due), true
}

// Use lists the slots that this entry host uses, for its peers.
func (d *Dispatcher) SlotsInUse() []EndpointUse {
	var list []EndpointUse
	d.table.SlotsInUse(func(u route.PeerSlots) {
		list = append(list, EndpointUse{Endpoint: u.Endpoint, InUse: u.InUse, Long: u.Long})
	})
	return list
}

func (d *Dispatcher) emit(e Effect) { d.effects = append(d.effects, e) }

// follow brings the routing table up to date with the directory, to which the
// shell may have added announcements directly.
func (d *Dispatcher) follow() {
	if d.seen == d.Directory.LastChange() {
		return
	}
	d.seen = d.Directory.ForEachChange(d.seen, func(a *member.Announcement, current bool) {
		d.table.Update(a, a.AnnouncedAt.Sub(d.base), current)
	})
}

func (d *Dispatcher) announced(now time.Time, at time.Duration, a member.Announcement) {
	if a.AnnouncedAt.After(now) {
		a.AnnouncedAt = now
	}
	// A refusal of an announcement is the answer to the endpoint, which the
	// shell gets from the directory.
	if news, err := d.Directory.Merge(a); err != nil || !news {
		return
	}
	d.follow()
	if l := d.lines[a.Service]; l != nil {
		d.pump(at, l)
	}
}

func (d *Dispatcher) peerUse(at time.Duration, e PeerUse) {
	use := make([]route.PeerSlots, 0, len(e.Use))
	for _, u := range e.Use {
		use = append(use, route.PeerSlots{Endpoint: u.Endpoint, InUse: u.InUse, Long: u.Long, Queued: u.Queued})
	}
	d.table.SetPeerUse(at, e.Peer, e.Incarnation, use)
	d.pumpAll(at)
}

// tick lets time pass for everything that no event ends. Ticks that come in
// quick succession, for delayed attempts, do no more than timers.
func (d *Dispatcher) tick(now time.Time, at time.Duration) {
	if d.ticked != 0 && at-d.ticked < tickInterval {
		return
	}
	d.ticked = at
	for _, name := range d.Directory.Expire(now) {
		d.table.Remove(name)
	}
	d.table.ExpirePeers(at)
	d.budget.Decay(at)
	d.expireRequests(at)
	kept := d.order[:0]
	for _, l := range d.order {
		s := d.table.Service(l.service)
		if s == nil && l.held == 0 && l.queue.Len() == 0 {
			delete(d.lines, l.service)
			continue
		}
		kept = append(kept, l)
		if s != nil {
			d.table.DueProbes(s, at, func(e *route.Endpoint) { d.emit(Probe{Endpoint: e.Name, Address: e.Address}) })
		}
	}
	clear(d.order[len(kept):])
	d.order = kept
	d.pumpAll(at)
}

// timers does what is due, whatever the event was.
func (d *Dispatcher) timers(at time.Duration) {
	for len(d.delayed) > 0 && d.delayed[0].due <= at {
		d.resume(at, d.delayed.pop())
	}
	if at-d.checked < checkInterval {
		return
	}
	d.checked = at
	for _, r := range d.running.list {
		d.look(at, r)
	}
	for _, l := range d.order {
		if s := d.table.Service(l.service); s != nil {
			d.table.ObserveDemand(s, at, l.queue.Count(false))
		}
	}
	d.pumpAll(at)
}

// look confines a running attempt that turns out long, and holds an attempt
// that hangs against its endpoint.
func (d *Dispatcher) look(at time.Duration, r *request) {
	elapsed := at - r.started
	if !r.long && r.expect.Known && elapsed > r.expect.Limit {
		r.long = true
		d.table.MarkLong(r.endpoint)
	}
	if !r.suspected && elapsed > max(hangFloor, hangFactor*r.expect.High) {
		r.suspected = d.table.RecordSuspectedFailure(r.endpoint, r.started, at)
	}
}

func (d *Dispatcher) pumpAll(at time.Duration) {
	for _, l := range d.order {
		d.pump(at, l)
	}
}

// pump starts waiting requests while slots can be taken.
func (d *Dispatcher) pump(at time.Duration, l *line) {
	if l.queue.Len() == 0 {
		return
	}
	s := d.table.Service(l.service)
	if s == nil {
		return
	}
	for {
		var chosen *route.Endpoint
		it := l.queue.Pop(func(it *admit.Item) bool {
			chosen = d.table.Pick(s, at, d.wish(at, it))
			return chosen != nil
		})
		if it == nil {
			return
		}
		r := d.requests[it.ID]
		if r.deadline <= at+it.RequiredTime {
			d.expired(r)
			continue
		}
		d.forward(at, r, chosen)
	}
}

func (d *Dispatcher) wish(at time.Duration, it *admit.Item) route.PickOptions {
	r := d.requests[it.ID]
	return route.PickOptions{Long: it.Lane.Long(), Aged: at-r.arrived >= route.AgingDelay, Avoid: r.avoid}
}

func (d *Dispatcher) forward(at time.Duration, r *request, e *route.Endpoint) {
	r.attempt++
	r.endpoint = e
	r.started = at
	r.long = r.item.Lane.Long()
	r.suspected = false
	d.table.StartAttempt(e, r.long)
	d.running.add(r)
	d.emit(Forward{ID: r.id, Attempt: r.attempt, Endpoint: e.Name, Address: e.Address, Epoch: e.Epoch, Deadline: d.base.Add(r.deadline)})
}

// refusal answers a request that was never open.
func (d *Dispatcher) refusal(id uint64, ran fault.Ran, err *fault.Error) {
	d.emit(Answer{ID: id, Err: err, Ran: ran})
}

// maxDuration is a deadline that is never reached.
const maxDuration = time.Duration(math.MaxInt64)

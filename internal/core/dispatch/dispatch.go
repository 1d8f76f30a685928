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
	// seconds of work for 12 endpoints.
	defaultQueueLimit = 4096
	// maxOpenRequests bounds the open requests of the entry host.
	maxOpenRequests = 65536
	// checkInterval is the interval of the checks of running attempts.
	checkInterval = 10 * time.Millisecond
	// tickInterval is the least interval of the checks of deadlines, leases and
	// probes.
	tickInterval = 20 * time.Millisecond
	// A running attempt counts as hanging after hangMinimum or hangFactor times the
	// high estimate of its run time, whichever is longer.
	hangMinimum = 2 * time.Second
	hangFactor  = 20
	// maxIDLifetime is how far ahead the expiry of a request ID may be.
	maxIDLifetime = 10 * time.Minute
)

// Config holds the policies and limits of a dispatcher. The zero value holds the
// default policies for a single entry host.
type Config struct {
	// EntryHost is the name of this entry host among its peers.
	EntryHost string
	Seed      uint64
	// QueueLimit bounds the waiting requests of one service; 0 means the default.
	QueueLimit int
	Sharing    route.Sharing
	Placement  route.Placement
	// Slack is the Slack of route.Config.
	Slack float64
}

// Dispatcher holds the open requests of one entry host. The control loop owns
// it. Invariants: every open request is in exactly one of a queue, running,
// recording and delayed; each attempt that was started and has not ended uses
// one slot of its endpoint.
type Dispatcher struct {
	Directory *member.Directory

	cfg Config
	// base is the time of the first Step. All durations that are points in time
	// count from it.
	base time.Time
	// directoryVersion is the state of the directory to which table is up to date.
	directoryVersion uint64
	table            *route.Table
	budget           *retry.Budget
	requests         map[uint64]*request
	backlogs         map[string]*backlog
	backlogOrder     []*backlog
	running          requestSet
	recording        requestSet
	delayed          delayHeap
	lastCheck        time.Duration
	lastTick         time.Duration
	stopping         bool
	effects          []Effect
}

// backlog is the waiting work of one service.
type backlog struct {
	service string
	queue   *admit.Queue
	// recordingOrDelayed counts the open requests that are neither in the queue nor
	// running.
	recordingOrDelayed int
}

// request is an open request.
type request struct {
	Request
	id       uint64
	arrived  time.Duration
	deadline time.Duration
	backlog  *backlog
	item     admit.Item
	class    route.Class
	estimate route.Estimate

	attempt  int
	failures int
	endpoint *route.Endpoint
	// avoid is the endpoint of the failed previous attempt, or nil.
	avoid   *route.Endpoint
	started time.Duration
	// long reports whether the running attempt counts as long.
	long bool
	// suspected is set when the running attempt was recorded as a failure because
	// it appears to hang.
	suspected bool
	// aborted is set when an Abort was emitted for the running attempt.
	aborted bool
	// verdict is the verdict on all ended attempts.
	verdict outcome.Verdict
	// detail is the error text of the last attempt.
	detail string

	// begun is set when the begin of a request that must not be repeated is
	// recorded.
	begun bool
	// answered is set when the caller has its answer or no longer waits.
	answered bool
	// phase is the phase that is being recorded, and pendingAnswer the answer to
	// give once it is.
	phase         RecordPhase
	pendingAnswer Answer
	// due is the time at which a delayed request is queued again.
	due time.Duration
	// tokenTaken is set when a token of the retry budget was taken for the next
	// attempt.
	tokenTaken bool
	// index is the position in the requestSet or delayHeap that holds the request.
	index int
}

// New returns a dispatcher with the default policies and without endpoints, for a
// single entry host.
func New() *Dispatcher { return NewWithConfig(Config{}) }

// NewWithConfig returns a dispatcher without endpoints.
func NewWithConfig(cfg Config) *Dispatcher {
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = defaultQueueLimit
	}
	return &Dispatcher{
		Directory: member.New(), cfg: cfg, budget: retry.New(cfg.Seed),
		table:    route.New(route.Config{Self: cfg.EntryHost, Sharing: cfg.Sharing, Placement: cfg.Placement, Seed: cfg.Seed, Slack: cfg.Slack}),
		requests: make(map[uint64]*request), backlogs: make(map[string]*backlog),
	}
}

// Step handles one event and returns the effects to carry out, which are valid
// until the next Step.
func (d *Dispatcher) Step(now time.Time, ev Event) []Effect {
	if d.base.IsZero() {
		d.base = now
	}
	at := now.Sub(d.base)
	d.effects = d.effects[:0]
	d.syncTable()
	switch e := ev.(type) {
	case Arrived:
		d.handleArrived(now, at, e.Request)
	case AttemptFinished:
		d.handleAttemptFinished(at, e)
	case Recorded:
		d.handleRecorded(at, e)
	case CallerGone:
		d.handleCallerGone(at, e.ID)
	case Announced:
		d.handleAnnounced(now, at, e.Announcement)
	case EpochChanged:
		d.Directory.SetEpoch(e.Host, e.Epoch)
		d.syncTable()
	case ServiceLimits:
		d.table.SetMinHealthy(e.Service, e.MinHealthy)
	case PeerUse:
		d.handlePeerUse(at, e)
	case Probed:
		d.table.RecordProbe(e.Endpoint, e.OK, at)
		d.dispatchAll(at)
	case StopRequested:
		d.stopping = true
	case Ticked:
		d.handleTick(now, at)
	}
	d.runTimers(at)
	return d.effects
}

// OpenRequests returns the number of requests that have not ended. A graceful
// shutdown waits until it is 0.
func (d *Dispatcher) OpenRequests() int { return len(d.requests) }

// NextDue returns the time at which the next delayed request may be queued again,
// and false if none is delayed. A Ticked at that time or later queues it.
func (d *Dispatcher) NextDue() (time.Time, bool) {
	if len(d.delayed) == 0 {
		return time.Time{}, false
	}
	return d.base.Add(d.delayed[0].due), true
}

// SlotsInUse returns the slots that this entry host uses, as reported to peers.
func (d *Dispatcher) SlotsInUse() []EndpointUse {
	var list []EndpointUse
	d.table.SlotsInUse(func(u route.PeerSlots) {
		list = append(list, EndpointUse{Endpoint: u.Endpoint, InUse: u.InUse, Long: u.Long})
	})
	return list
}

func (d *Dispatcher) emit(e Effect) { d.effects = append(d.effects, e) }

// syncTable brings the routing table up to date with the directory, to which the
// I/O layer may have added announcements directly.
func (d *Dispatcher) syncTable() {
	if d.directoryVersion == d.Directory.LastChange() {
		return
	}
	d.directoryVersion = d.Directory.ForEachChange(d.directoryVersion, func(a *member.Announcement, current bool) {
		d.table.Update(a, a.AnnouncedAt.Sub(d.base), current)
	})
}

func (d *Dispatcher) handleAnnounced(now time.Time, at time.Duration, a member.Announcement) {
	if a.AnnouncedAt.After(now) {
		a.AnnouncedAt = now
	}
	// The error is the answer to the endpoint, which the I/O layer gets from the
	// directory and sends.
	if changed, err := d.Directory.Merge(a); err != nil || !changed {
		return
	}
	d.syncTable()
	if b := d.backlogs[a.Service]; b != nil {
		d.dispatchQueued(at, b)
	}
}

func (d *Dispatcher) handlePeerUse(at time.Duration, e PeerUse) {
	use := make([]route.PeerSlots, 0, len(e.Use))
	for _, u := range e.Use {
		use = append(use, route.PeerSlots{Endpoint: u.Endpoint, InUse: u.InUse, Long: u.Long, Queued: u.Queued})
	}
	d.table.SetPeerUse(at, e.Peer, e.Incarnation, use)
	d.dispatchAll(at)
}

// handleTick handles the passing of time: leases, deadlines, probes and the decay
// of the retry budget. It ignores a tick within tickInterval of the last, as sent
// for delayed requests; runTimers handles those.
func (d *Dispatcher) handleTick(now time.Time, at time.Duration) {
	if d.lastTick != 0 && at-d.lastTick < tickInterval {
		return
	}
	d.lastTick = at
	for _, name := range d.Directory.Expire(now) {
		d.table.Remove(name)
	}
	d.table.ExpirePeers(at)
	d.budget.Decay(at)
	d.expireRequests(at)
	kept := d.backlogOrder[:0]
	for _, b := range d.backlogOrder {
		s := d.table.Service(b.service)
		if s == nil && b.recordingOrDelayed == 0 && b.queue.Len() == 0 {
			delete(d.backlogs, b.service)
			continue
		}
		kept = append(kept, b)
		if s != nil {
			d.table.DueProbes(s, at, func(e *route.Endpoint) { d.emit(Probe{Endpoint: e.Name, Address: e.Address}) })
		}
	}
	clear(d.backlogOrder[len(kept):])
	d.backlogOrder = kept
	d.dispatchAll(at)
}

// runTimers handles what is due after any event: delayed requests, and the checks
// of running attempts and demand.
func (d *Dispatcher) runTimers(at time.Duration) {
	for len(d.delayed) > 0 && d.delayed[0].due <= at {
		d.resume(at, d.delayed.pop())
	}
	if at-d.lastCheck < checkInterval {
		return
	}
	d.lastCheck = at
	for _, r := range d.running.list {
		d.checkRunning(at, r)
	}
	for _, b := range d.backlogOrder {
		if s := d.table.Service(b.service); s != nil {
			d.table.ObserveDemand(s, at, b.queue.Count(false))
		}
	}
	d.dispatchAll(at)
}

// checkRunning counts a running attempt that exceeds the limit of short work as
// long, and records a failure of the endpoint for an attempt that hangs.
func (d *Dispatcher) checkRunning(at time.Duration, r *request) {
	elapsed := at - r.started
	if !r.long && r.estimate.Known && elapsed > r.estimate.Limit {
		r.long = true
		d.table.MarkLong(r.endpoint)
	}
	if !r.suspected && elapsed > max(hangMinimum, hangFactor*r.estimate.High) {
		r.suspected = d.table.RecordSuspectedFailure(r.endpoint, r.started, at)
	}
}

func (d *Dispatcher) dispatchAll(at time.Duration) {
	for _, b := range d.backlogOrder {
		d.dispatchQueued(at, b)
	}
}

// dispatchQueued starts attempts of queued requests while slots are available.
func (d *Dispatcher) dispatchQueued(at time.Duration, b *backlog) {
	if b.queue.Len() == 0 {
		return
	}
	s := d.table.Service(b.service)
	if s == nil {
		return
	}
	for {
		var chosen *route.Endpoint
		it := b.queue.Pop(func(it *admit.Item) bool {
			chosen = d.table.Pick(s, at, d.pickOptions(at, it))
			return chosen != nil
		})
		if it == nil {
			return
		}
		r := d.requests[it.ID]
		if r.deadline <= at+it.RequiredTime {
			d.expire(r)
			continue
		}
		d.forward(at, r, chosen)
	}
}

func (d *Dispatcher) pickOptions(at time.Duration, it *admit.Item) route.PickOptions {
	r := d.requests[it.ID]
	return route.PickOptions{Long: it.Lane.Long(), Aged: at-r.arrived >= route.AgingDelay, Avoid: r.avoid}
}

// forward starts an attempt on an endpoint.
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

// refuse answers a request that is not admitted.
func (d *Dispatcher) refuse(id uint64, ran fault.Ran, err *fault.Error) {
	d.emit(Answer{ID: id, Err: err, Ran: ran})
}

// noDeadline is a deadline that is never reached.
const noDeadline = time.Duration(math.MaxInt64)

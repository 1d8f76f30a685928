package evaluate

import (
	"container/heap"
	"fmt"
	"time"

	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/member"
	"laburnumdock/internal/core/route"
)

// Policy is a combination of slot sharing, placement and slack.
type Policy struct {
	Name      string
	Sharing   route.Sharing
	Placement route.Placement
	// Slack overrides the slack of the deployment unless it is 0.
	Slack float64
	// IgnoreReportedSlots drops the numbers of slots in use that endpoints
	// report with their answers.
	IgnoreReportedSlots bool
}

const (
	tickInterval     = 100 * time.Millisecond
	slotUseInterval  = 250 * time.Millisecond
	announceInterval = 500 * time.Millisecond
	requestTimeout   = time.Minute
)

// startTime is the wall-clock time at the start of the simulation.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation is a discrete-event simulation of one service with its entry hosts
// and endpoints.
type simulation struct {
	deployment   Deployment
	policy       Policy
	now          time.Duration
	events       eventHeap
	sequence     uint64
	dispatchers  []*dispatch.Dispatcher
	nextTick     []time.Duration
	slotsInUse   []int
	totalRunTime time.Duration
	trace        []Arrival
	outcomes     []requestOutcome
	openRequests int
	refusals     int
	attempts     int
	peakSlots    int
	// longSlotsInUse and allSlotsInUse are the slots in use now. The sums add up
	// samples of them, taken at every report of an entry host while isSampled
	// returns true.
	longSlotsInUse, allSlotsInUse          int
	isSampled                              func(time.Duration) bool
	longSlotsSum, allSlotsSum, sampleCount int
}

// requestOutcome is the outcome of one arrival.
type requestOutcome struct {
	started, ended      time.Duration
	answered, completed bool
	kind                fault.Kind
}

// event is a function to run at a simulated time. Events at the same time run in
// the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// schedule adds an event that runs after the given delay.
func (s *simulation) schedule(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now + delay, sequence: s.sequence, run: run})
}

func newSimulation(d Deployment, p Policy, seed uint64, trace []Arrival) *simulation {
	s := &simulation{deployment: d, policy: p, trace: trace, outcomes: make([]requestOutcome, len(trace)), openRequests: len(trace), slotsInUse: make([]int, d.Endpoints), nextTick: make([]time.Duration, d.EntryHosts)}
	slack := p.Slack
	if slack == 0 {
		slack = d.Slack
	}
	for i := range d.EntryHosts {
		s.dispatchers = append(s.dispatchers, dispatch.NewWithConfig(dispatch.Config{
			EntryHost: entryName(i), Seed: seed + uint64(i), Sharing: p.Sharing, Placement: p.Placement, Slack: slack,
		}))
	}
	return s
}

func entryName(i int) string    { return fmt.Sprintf("entry-%d", i) }
func endpointName(i int) string { return fmt.Sprintf("executor-%02d", i) }

// networkDelay returns the one-way delay between an entry host and an endpoint or
// another entry host.
func (s *simulation) networkDelay(entry, endpoint int) time.Duration {
	if entry%s.deployment.Zones == endpoint%s.deployment.Zones {
		return s.deployment.LocalDelay
	}
	return s.deployment.ZoneDelay
}

// run simulates until all requests of the trace have ended.
func (s *simulation) run() {
	for i := range s.dispatchers {
		s.announce(i, 1)
		s.schedule(tickInterval*time.Duration(i+1)/time.Duration(len(s.dispatchers)), func() { s.tick(i) })
		s.schedule(slotUseInterval*time.Duration(i+1)/time.Duration(len(s.dispatchers)), func() { s.reportSlotUse(i) })
	}
	s.scheduleArrival(0)
	for len(s.events) > 0 && s.openRequests > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// scheduleArrival schedules the n-th arrival of the trace; it schedules the next
// one when it happens.
func (s *simulation) scheduleArrival(n int) {
	if n >= len(s.trace) {
		return
	}
	a := s.trace[n]
	s.schedule(a.At-s.now, func() {
		s.step(a.EntryHost, dispatch.Arrived{Request: dispatch.Request{
			ID: uint64(n) + 1, Service: "service", Caller: a.Caller, WorkKind: a.WorkKind, SizeBytes: a.SizeBytes,
			Repeatable: true, Deadline: startTime.Add(s.now + requestTimeout),
		}})
		s.scheduleArrival(n + 1)
	})
}

// announce sends the announcements of all endpoints to one entry host, and
// repeats this after every interval.
func (s *simulation) announce(host int, sequence uint64) {
	for n := range s.deployment.Endpoints {
		s.step(host, dispatch.Announced{Announcement: member.Announcement{
			Endpoint: endpointName(n), Host: endpointName(n), Service: "service", Address: fmt.Sprint(n), Epoch: 1, Incarnation: 1, Sequence: sequence,
			Slots: s.deployment.Slots, Rack: fmt.Sprint(n / 4), Zone: fmt.Sprint(n % s.deployment.Zones), AnnouncedAt: startTime.Add(s.now),
		}})
	}
	s.schedule(announceInterval, func() { s.announce(host, sequence+1) })
}

func (s *simulation) tick(host int) {
	s.step(host, dispatch.Ticked{})
	s.schedule(tickInterval, func() { s.tick(host) })
}

// reportSlotUse samples the slots in use, and sends the use by one entry host to
// the others.
func (s *simulation) reportSlotUse(host int) {
	if s.isSampled(s.now) {
		s.sampleCount++
		s.longSlotsSum += s.longSlotsInUse
		s.allSlotsSum += s.allSlotsInUse
	}
	use := s.dispatchers[host].SlotsInUse()
	for peer := range s.dispatchers {
		if peer != host {
			s.schedule(s.networkDelay(host, peer), func() {
				s.step(peer, dispatch.PeerUse{Peer: entryName(host), Incarnation: 1, Use: use})
			})
		}
	}
	s.schedule(slotUseInterval, func() { s.reportSlotUse(host) })
}

// step passes an event to a dispatcher and applies its effects.
func (s *simulation) step(host int, ev dispatch.Event) {
	for _, effect := range s.dispatchers[host].Step(startTime.Add(s.now), ev) {
		switch e := effect.(type) {
		case dispatch.Forward:
			s.forwardAttempt(host, e)
		case dispatch.Answer:
			s.recordAnswer(e)
		}
	}
	if due, ok := s.dispatchers[host].NextDue(); ok && s.nextTick[host] != due.Sub(startTime) {
		s.nextTick[host] = due.Sub(startTime)
		s.schedule(max(s.nextTick[host]-s.now, 0), func() { s.step(host, dispatch.Ticked{}) })
	}
}

func (s *simulation) recordAnswer(e dispatch.Answer) {
	outcome := &s.outcomes[e.ID-1]
	outcome.completed = true
	outcome.answered = e.Err == nil
	if e.Err != nil {
		outcome.kind = e.Err.Kind
	}
	outcome.ended = s.now
	s.openRequests--
}

// forwardAttempt delivers an attempt to its endpoint, which refuses it if all
// slots are in use.
func (s *simulation) forwardAttempt(host int, f dispatch.Forward) {
	var endpoint int
	_, _ = fmt.Sscan(f.Address, &endpoint)
	delay := s.networkDelay(host, endpoint)
	s.attempts++
	finish := func(outcome dispatch.AttemptOutcome, runTime time.Duration) {
		reportedUse := s.slotsInUse[endpoint]
		s.schedule(delay, func() {
			s.step(host, dispatch.AttemptFinished{ID: f.ID, Attempt: f.Attempt, Outcome: outcome, RunTime: runTime, SlotsInUse: reportedUse, HasSlotsInUse: !s.policy.IgnoreReportedSlots})
		})
	}
	s.schedule(delay, func() {
		if s.slotsInUse[endpoint] >= s.deployment.Slots {
			s.refusals++
			finish(dispatch.AttemptRefused, 0)
			return
		}
		s.slotsInUse[endpoint]++
		s.peakSlots = max(s.peakSlots, s.slotsInUse[endpoint])
		runTime := s.trace[f.ID-1].RunTime
		longSlots := 0
		if s.trace[f.ID-1].Long {
			longSlots = 1
		}
		s.allSlotsInUse++
		s.longSlotsInUse += longSlots
		s.totalRunTime += runTime
		s.outcomes[f.ID-1].started = s.now
		s.schedule(runTime, func() {
			s.slotsInUse[endpoint]--
			s.allSlotsInUse--
			s.longSlotsInUse -= longSlots
			finish(dispatch.AttemptAnswered, runTime)
		})
	})
}

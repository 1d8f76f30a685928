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

// Policy is one way to decide.
type Policy struct {
	Name      string
	Sharing   route.Sharing
	Placement route.Placement
	Slack     float64
	// NoStatement leaves out the slots in use that executors state.
	IgnoreReportedSlots bool
}

const (
	tickInterval     = 100 * time.Millisecond
	useInterval      = 250 * time.Millisecond
	announceInterval = 500 * time.Millisecond
	requestDeadline  = time.Minute
)

// origin is the wall clock at the start of the model.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// model is one service with its entry hosts and executors.
type model struct {
	d        Deployment
	policy   Policy
	now      time.Duration
	events   eventHeap
	sequence uint64
	hosts    []*dispatch.Dispatcher
	dueAt    []time.Duration
	used     []int
	busy     time.Duration
	trace    []Arrival
	done     []finished
	open     int
	refusals int
	attempts int
	peak     int
	// longUsed and allUsed are slots in use now; the sums are taken at every
	// report of an entry host while surge says so.
	longUsed, allUsed            int
	surge                        func(time.Duration) bool
	longSum, allSum, sampleCount int
}

// finished is what came of one arrival.
type finished struct {
	started, ended time.Duration
	answered, told bool
	kind           fault.Kind
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

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

func (m *model) after(d time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, event{at: m.now + d, sequence: m.sequence, run: run})
}

func newModel(d Deployment, p Policy, seed uint64, trace []Arrival) *model {
	m := &model{d: d, policy: p, trace: trace, done: make([]finished, len(trace)), open: len(trace), used: make([]int, d.Executors), dueAt: make([]time.Duration, d.EntryHosts)}
	slack := p.Slack
	if slack == 0 {
		slack = d.Slack
	}
	for i := range d.EntryHosts {
		m.hosts = append(m.hosts, dispatch.NewWithConfig(dispatch.Config{
			EntryHost: entryName(i), Seed: seed + uint64(i), Sharing: p.Sharing, Placement: p.Placement, Slack: slack,
		}))
	}
	return m
}

func entryName(i int) string    { return fmt.Sprintf("entry-%d", i) }
func endpointName(i int) string { return fmt.Sprintf("executor-%02d", i) }

// delay is one way between an entry host and an executor.
func (m *model) delay(entry, executor int) time.Duration {
	if entry%m.d.Zones == executor%m.d.Zones {
		return m.d.LocalDelay
	}
	return m.d.ZoneDelay
}

// run plays the trace to its end.
func (m *model) run() {
	for i := range m.hosts {
		m.announce(i, 1)
		m.after(tickInterval*time.Duration(i+1)/time.Duration(len(m.hosts)), func() { m.tick(i) })
		m.after(useInterval*time.Duration(i+1)/time.Duration(len(m.hosts)), func() { m.report(i) })
	}
	m.arrive(0)
	for len(m.events) > 0 && m.open > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
}

func (m *model) arrive(n int) {
	if n >= len(m.trace) {
		return
	}
	a := m.trace[n]
	m.after(a.At-m.now, func() {
		m.step(a.EntryHost, dispatch.Arrived{Request: dispatch.Request{
			ID: uint64(n) + 1, Service: "service", Caller: a.Caller, WorkKind: a.WorkKind, SizeBytes: a.SizeBytes,
			Repeatable: true, Deadline: origin.Add(m.now + requestDeadline),
		}})
		m.arrive(n + 1)
	})
}

func (m *model) announce(host int, sequence uint64) {
	for n := range m.d.Executors {
		m.step(host, dispatch.Announced{Announcement: member.Announcement{
			Endpoint: endpointName(n), Host: endpointName(n), Service: "service", Address: fmt.Sprint(n), Epoch: 1, Incarnation: 1, Sequence: sequence,
			Slots: m.d.Slots, Rack: fmt.Sprint(n / 4), Zone: fmt.Sprint(n % m.d.Zones), AnnouncedAt: origin.Add(m.now),
		}})
	}
	m.after(announceInterval, func() { m.announce(host, sequence+1) })
}

func (m *model) tick(host int) {
	m.step(host, dispatch.Ticked{})
	m.after(tickInterval, func() { m.tick(host) })
}

// report sends the use of one entry host to the others.
func (m *model) report(host int) {
	if m.surge(m.now) {
		m.sampleCount++
		m.longSum += m.longUsed
		m.allSum += m.allUsed
	}
	use := m.hosts[host].SlotsInUse()
	for peer := range m.hosts {
		if peer != host {
			m.after(m.delay(host, peer), func() {
				m.step(peer, dispatch.PeerUse{Peer: entryName(host), Incarnation: 1, Use: use})
			})
		}
	}
	m.after(useInterval, func() { m.report(host) })
}

// step hands an event to a dispatcher and carries out the effects.
func (m *model) step(host int, ev dispatch.Event) {
	for _, effect := range m.hosts[host].Step(origin.Add(m.now), ev) {
		switch e := effect.(type) {
		case dispatch.Forward:
			m.forward(host, e)
		case dispatch.Answer:
			m.answer(e)
		}
	}
	if due, ok := m.hosts[host].NextDue(); ok && m.dueAt[host] != due.Sub(origin) {
		m.dueAt[host] = due.Sub(origin)
		m.after(max(m.dueAt[host]-m.now, 0), func() { m.step(host, dispatch.Ticked{}) })
	}
}

func (m *model) answer(e dispatch.Answer) {
	f := &m.done[e.ID-1]
	f.told = true
	f.answered = e.Err == nil
	if e.Err != nil {
		f.kind = e.Err.Kind
	}
	f.ended = m.now
	m.open--
}

// forward carries an attempt to its executor, which refuses it if all slots
// are taken.
func (m *model) forward(host int, f dispatch.Forward) {
	var executor int
	_, _ = fmt.Sscan(f.Address, &executor)
	d := m.delay(host, executor)
	m.attempts++
	end := func(o dispatch.AttemptOutcome, run time.Duration) {
		stated := m.used[executor]
		m.after(d, func() {
			m.step(host, dispatch.AttemptFinished{ID: f.ID, Attempt: f.Attempt, Outcome: o, RunTime: run, SlotsInUse: stated, HasSlotsInUse: !m.policy.IgnoreReportedSlots})
		})
	}
	m.after(d, func() {
		if m.used[executor] >= m.d.Slots {
			m.refusals++
			end(dispatch.AttemptRefused, 0)
			return
		}
		m.used[executor]++
		m.peak = max(m.peak, m.used[executor])
		run := m.trace[f.ID-1].RunTime
		long := 0
		if m.trace[f.ID-1].Long {
			long = 1
		}
		m.allUsed++
		m.longUsed += long
		m.busy += run
		m.done[f.ID-1].started = m.now
		m.after(run, func() {
			m.used[executor]--
			m.allUsed--
			m.longUsed -= long
			end(dispatch.AttemptAnswered, run)
		})
	})
}

package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/member"
)

// simulation drives one dispatcher through a random history in place of the I/O
// layer, and keeps the effects that it has not answered.
type simulation struct {
	t        *rapid.T
	d        *Dispatcher
	checker  *checker
	now      time.Time
	nextID   uint64
	sequence uint64
	running  []Forward
	records  []Record
	probes   []Probe
	// mutation changes events and effects, to test the checker; draws counts the
	// drawn numbers.
	mutation mutation
	draws    uint64
}

// between draws a number from low to high. Rapid prefers small numbers, which
// would make most requests expire at once; the hash distributes them evenly.
func (sim *simulation) between(low, high int, label string) int {
	sim.draws++
	h := (rapid.Uint64().Draw(sim.t, label) + sim.draws) * 0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return low + int(h%uint64(high-low+1))
}

// oneOf draws one of the values.
func oneOf[V any](sim *simulation, label string, values []V) V {
	return values[sim.between(0, len(values)-1, label)]
}

// mutation injects a fault between the dispatcher and the checker: event returns
// the event that the dispatcher gets and whether it gets one, and effect returns
// the effects that the checker gets in place of one.
type mutation struct {
	event  func(sim *simulation, ev Event) (Event, bool)
	effect func(sim *simulation, e Effect) []Effect
}

func newSimulation(t *rapid.T, m mutation) *simulation {
	cfg := Config{EntryHost: "entry-1", QueueLimit: 12, Seed: rapid.Uint64Range(1, 50).Draw(t, "seed")}
	return &simulation{t: t, d: NewWithConfig(cfg), checker: newChecker(), now: start, mutation: m}
}

func (sim *simulation) step(ev Event) {
	sim.checker.observeEvent(ev)
	keep := true
	if sim.mutation.event != nil {
		ev, keep = sim.mutation.event(sim, ev)
	}
	var effects []Effect
	if keep {
		effects = slices.Clone(sim.d.Step(sim.now, ev))
	}
	if sim.mutation.effect != nil {
		var changed []Effect
		for _, e := range effects {
			changed = append(changed, sim.mutation.effect(sim, e)...)
		}
		effects = changed
	}
	sim.checker.observeEffects(sim.now, effects)
	sim.running = append(sim.running, effectsOf[Forward](effects)...)
	sim.records = append(sim.records, effectsOf[Record](effects)...)
	sim.probes = append(sim.probes, effectsOf[Probe](effects)...)
	sim.checker.checkSlots(sim.d.SlotsInUse())
}

const (
	services            = 2
	endpointsPerService = 4
	maxAction           = 100
)

// randomAction takes one random action.
func (sim *simulation) randomAction() {
	sim.now = sim.now.Add(time.Duration(sim.between(0, 20, "ms")) * time.Millisecond)
	switch n := sim.between(0, maxAction, "action"); {
	case n < 24:
		sim.arriveRequest()
	case n < 50:
		sim.finishAttempt(oneOf(sim, "outcome", []AttemptOutcome{AttemptAnswered, AttemptAnswered, AttemptNotSent, AttemptRefused, AttemptLost, AttemptSilent}))
	case n < 73:
		sim.finishRecord()
	case n < 76 && sim.nextID > 0:
		sim.step(CallerGone{ID: uint64(sim.between(1, int(sim.nextID), "gone"))})
	case n < 86:
		sim.announceEndpoint(sim.between(0, services*endpointsPerService-1, "endpoint"), sim.between(0, 9, "leaving") == 0)
	case n < 88:
		host := fmt.Sprintf("host-%d", sim.between(0, services*endpointsPerService-1, "host"))
		sim.step(EpochChanged{Host: host, Epoch: uint64(sim.between(1, 3, "epoch"))})
	case n < 91:
		sim.reportPeerUse()
	case n < 92:
		sim.step(ServiceLimits{Service: "s0", MinHealthy: sim.between(0, endpointsPerService, "min")})
	case n < 93 && len(sim.probes) > 0:
		sim.step(Probed{Endpoint: sim.probes[0].Endpoint, OK: (sim.between(0, 1, "ok") == 1)})
		sim.probes = sim.probes[1:]
	default:
		sim.now = sim.now.Add(time.Duration(sim.between(1, 900, "pause")) * time.Millisecond)
		sim.step(Ticked{})
	}
}

func (sim *simulation) arriveRequest() {
	sim.nextID++
	q := Request{
		ID: sim.nextID, Service: fmt.Sprintf("s%d", sim.between(0, services-1, "service")),
		Caller: oneOf(sim, "caller", []string{"a", "b", "c"}), WorkKind: oneOf(sim, "kind", []string{"k", "l"}),
		Urgent: (sim.between(0, 1, "urgent") == 1), Repeatable: (sim.between(0, 1, "repeatable") == 1),
		Deadline: sim.now.Add(time.Duration(sim.between(1, 3000, "deadline")) * time.Millisecond),
	}
	if !q.Repeatable {
		q.RequestID = fmt.Sprintf("%d.x%d", sim.now.Add(time.Duration(sim.between(-100, 30000, "expiry"))*time.Millisecond).UnixMilli(), q.ID)
	}
	sim.step(Arrived{Request: q})
}

func (sim *simulation) finishAttempt(o AttemptOutcome) {
	if len(sim.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.running)-1).Draw(sim.t, "attempt")
	f := sim.running[i]
	sim.running = slices.Delete(sim.running, i, i+1)
	run := time.Duration(sim.between(1, 200, "run")) * time.Millisecond
	sim.step(AttemptFinished{ID: f.ID, Attempt: f.Attempt, Outcome: o, RunTime: run})
}

func (sim *simulation) finishRecord() {
	if len(sim.records) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.records)-1).Draw(sim.t, "record")
	r := sim.records[i]
	sim.records = slices.Delete(sim.records, i, i+1)
	e := Recorded{ID: r.ID, Phase: r.Phase}
	switch n := sim.between(0, 9, "recorded"); {
	case n < 2:
		e.Err = fault.New(fault.Unavailable, "no quorum")
	case n == 2 && r.Phase == RecordBegin:
		e.KnownPhase = oneOf(sim, "known", []RecordPhase{RecordBegin, RecordFinished, RecordDidNotRun, RecordUnknown})
		e.Err = fault.New(fault.Conflict, "known")
	}
	sim.step(e)
}

func (sim *simulation) announceEndpoint(n int, leaving bool) {
	sim.sequence++
	host := fmt.Sprintf("host-%d", n)
	a := member.Announcement{
		Endpoint: fmt.Sprintf("endpoint-%d", n), Host: host, Service: fmt.Sprintf("s%d", n%services), Address: "10.0.0.1:1",
		Epoch: uint64(sim.between(1, 3, "epoch")), Incarnation: uint64(sim.between(1, 3, "incarnation")),
		Sequence: sim.sequence, Slots: 2, Leaving: leaving, Rack: fmt.Sprint(n / 2), Zone: fmt.Sprint(n / 3), AnnouncedAt: sim.now,
	}
	sim.step(Announced{Announcement: a})
}

func (sim *simulation) reportPeerUse() {
	use := []EndpointUse{{
		Endpoint: fmt.Sprintf("endpoint-%d", sim.between(0, services*endpointsPerService-1, "used")),
		InUse:    sim.between(0, 3, "inUse"), Long: sim.between(0, 1, "long"),
	}}
	peer := oneOf(sim, "peer", []string{"entry-2", "entry-3"})
	sim.step(PeerUse{Peer: peer, Incarnation: uint64(sim.between(1, 2, "incarnation")), Use: use})
}

// run simulates a whole history, random actions and then a graceful shutdown, and
// returns the violations.
func (sim *simulation) run() []string {
	for n := range services * endpointsPerService {
		sim.announceEndpoint(n, false)
	}
	for range sim.between(50, 250, "actions") {
		sim.randomAction()
	}
	sim.step(StopRequested{})
	for range 100 {
		sim.now = sim.now.Add(100 * time.Millisecond)
		sim.step(Ticked{})
		for len(sim.running) > 0 {
			sim.finishAttempt(AttemptAnswered)
		}
		for len(sim.records) > 0 {
			sim.finishRecord()
		}
	}
	sim.checker.checkEnd(sim.d.OpenRequests())
	if len(sim.d.SlotsInUse()) != 0 {
		sim.checker.report(ruleSlots, "slots remain in use: %v", sim.d.SlotsInUse())
	}
	sim.checkCounts()
	return sim.checker.violations
}

// checkCounts checks that every counter is 0 at the end.
func (sim *simulation) checkCounts() {
	for _, b := range sim.d.backlogOrder {
		if b.recordingOrDelayed != 0 || b.queue.Len() != 0 || b.queue.CostAhead(3) != 0 {
			sim.checker.report(ruleSlots, "backlog of %s: %d recording or delayed, %d queued", b.service, b.recordingOrDelayed, b.queue.Len())
		}
		if s := sim.d.table.Service(b.service); s != nil && (s.InFlight() != 0 || s.LongInFlight() != 0) {
			sim.checker.report(ruleSlots, "service %s: %d in flight, %d long", b.service, s.InFlight(), s.LongInFlight())
		}
	}
	if len(sim.d.delayed)+len(sim.d.running.list)+len(sim.d.recording.list) != 0 {
		sim.checker.report(ruleSlots, "requests remain running, recording or delayed")
	}
}

// Guards against lost or duplicate answers, requests that run twice, "did not run"
// without proof, attempts on endpoints that must get none, and leaked slots.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		violations := newSimulation(t, mutation{}).run()
		if len(violations) > 0 {
			t.Fatal(strings.Join(violations, "\n"))
		}
	})
}

// Guards against a checker that detects nothing: for each mutation, a violation of
// its rule must appear in at least one history.
func TestCheckerFindsMutations(t *testing.T) {
	for _, m := range mutants() {
		t.Run(m.name, func(t *testing.T) {
			found := 0
			for seed := range 60 {
				violations := rapid.Custom(func(t *rapid.T) []string { return newSimulation(t, m.mutation).run() }).Example(seed)
				for _, violation := range violations {
					if strings.HasPrefix(violation, m.rule) {
						found++
						break
					}
				}
			}
			require.Positive(t, found, "no history violates the rule: %s", m.name)
		})
	}
}

// mutant is a named mutation and the rule that it violates.
type mutant struct {
	name, rule string
	mutation   mutation
}

// onEffect returns a mutation of the effects of one type.
func onEffect[E Effect](change func(sim *simulation, e E) []Effect) mutation {
	return mutation{effect: func(sim *simulation, e Effect) []Effect {
		if v, ok := e.(E); ok {
			return change(sim, v)
		}
		return []Effect{e}
	}}
}

func mutants() []mutant {
	return []mutant{
		{"an answer is given twice", ruleOneAnswer, onEffect(func(_ *simulation, e Answer) []Effect { return []Effect{e, e} })},
		{"an answer is lost", ruleOneAnswer, onEffect(func(_ *simulation, e Answer) []Effect {
			if e.ID%7 == 0 {
				return nil
			}
			return []Effect{e}
		})},
		{"a failure is reported as did not run", ruleRanNoProof, onEffect(func(_ *simulation, e Answer) []Effect {
			if e.Err != nil {
				e.Ran = fault.RanNo
			}
			return []Effect{e}
		})},
		{"an attempt is started twice", ruleSingleForward, onEffect(func(_ *simulation, e Forward) []Effect { return []Effect{e, e} })},
		{"the answer does not wait for the record", ruleRecordFirst, onEffect(func(_ *simulation, e Record) []Effect {
			if e.Phase == RecordFinished {
				return []Effect{Answer{ID: e.ID, Attempt: e.Attempt, Ran: fault.RanYes}, e}
			}
			return []Effect{e}
		})},
		{"a lost attempt is reported as not sent", ruleSingleForward, mutation{event: func(_ *simulation, ev Event) (Event, bool) {
			if f, ok := ev.(AttemptFinished); ok && f.Outcome == AttemptLost {
				f.Outcome = AttemptNotSent
				return f, true
			}
			return ev, true
		}}},
		{"a refused begin counts as begun", ruleBeginFirst, mutation{event: func(_ *simulation, ev Event) (Event, bool) {
			if r, ok := ev.(Recorded); ok && r.Phase == RecordBegin {
				r.Err, r.KnownPhase = nil, 0
				return r, true
			}
			return ev, true
		}}},
		{"an announcement that an endpoint is leaving is dropped", ruleRoutable, mutation{event: func(_ *simulation, ev Event) (Event, bool) {
			a, ok := ev.(Announced)
			return ev, !ok || !a.Announcement.Leaving
		}}},
		{"a change of an epoch is dropped", ruleRoutable, mutation{event: func(_ *simulation, ev Event) (Event, bool) {
			_, ok := ev.(EpochChanged)
			return ev, !ok
		}}},
		{"leases do not expire", ruleRoutable, mutation{event: func(sim *simulation, ev Event) (Event, bool) {
			if a, ok := ev.(Announced); ok {
				a.Announcement.AnnouncedAt = a.Announcement.AnnouncedAt.Add(time.Hour)
				sim.d.Directory.Merge(a.Announcement)
			}
			return ev, true
		}}},
		{"the end of an attempt is dropped", ruleSlots, mutation{event: func(_ *simulation, ev Event) (Event, bool) {
			f, ok := ev.(AttemptFinished)
			return ev, !ok || f.ID%5 != 0
		}}},
	}
}

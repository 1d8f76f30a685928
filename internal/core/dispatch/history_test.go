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

// world drives one dispatcher through a random history and keeps what is
// outstanding towards it. It stands for the shell.
type world struct {
	t        *rapid.T
	d        *Dispatcher
	check    *checker
	now      time.Time
	nextID   uint64
	sequence uint64
	running  []Forward
	records  []Record
	probes   []Probe
	// broken changes events and effects, to test the checker.
	broken breakage
	drawn  uint64
}

// between draws a number from low to high. Rapid prefers small numbers, which
// would make most requests expire at once; the hash spreads them evenly.
func (w *world) between(low, high int, label string) int {
	w.drawn++
	h := (rapid.Uint64().Draw(w.t, label) + w.drawn) * 0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return low + int(h%uint64(high-low+1))
}

func oneOf[V any](w *world, label string, values []V) V {
	return values[w.between(0, len(values)-1, label)]
}

// breakage is a deliberate fault between the dispatcher and the checker: it
// returns the events that the dispatcher gets and the effects that it is said
// to have had.
type breakage struct {
	event  func(w *world, ev Event) (Event, bool)
	effect func(w *world, e Effect) []Effect
}

func newWorld(t *rapid.T, b breakage) *world {
	cfg := Config{EntryHost: "entry-1", QueueLimit: 12, Seed: rapid.Uint64Range(1, 50).Draw(t, "seed")}
	return &world{t: t, d: NewWithConfig(cfg), check: newChecker(), now: start, broken: b}
}

func (w *world) step(ev Event) {
	w.check.event(ev)
	keep := true
	if w.broken.event != nil {
		ev, keep = w.broken.event(w, ev)
	}
	var effects []Effect
	if keep {
		effects = slices.Clone(w.d.Step(w.now, ev))
	}
	if w.broken.effect != nil {
		var changed []Effect
		for _, e := range effects {
			changed = append(changed, w.broken.effect(w, e)...)
		}
		effects = changed
	}
	w.check.effects(w.now, effects)
	w.running = append(w.running, of[Forward](effects)...)
	w.records = append(w.records, of[Record](effects)...)
	w.probes = append(w.probes, of[Probe](effects)...)
	w.check.slots(w.d.SlotsInUse())
}

const (
	services  = 2
	perEach   = 4
	maxAction = 100
)

// act takes one random action.
func (w *world) act() {
	w.now = w.now.Add(time.Duration(w.between(0, 20, "ms")) * time.Millisecond)
	switch n := w.between(0, maxAction, "action"); {
	case n < 24:
		w.arrive()
	case n < 50:
		w.finish(oneOf(w, "outcome", []AttemptOutcome{AttemptAnswered, AttemptAnswered, AttemptNotSent, AttemptRefused, AttemptLost, AttemptSilent}))
	case n < 73:
		w.record()
	case n < 76 && w.nextID > 0:
		w.step(CallerGone{ID: uint64(w.between(1, int(w.nextID), "gone"))})
	case n < 86:
		w.announce(w.between(0, services*perEach-1, "endpoint"), w.between(0, 9, "leaving") == 0)
	case n < 88:
		host := fmt.Sprintf("host-%d", w.between(0, services*perEach-1, "host"))
		w.step(EpochChanged{Host: host, Epoch: uint64(w.between(1, 3, "epoch"))})
	case n < 91:
		w.peerUse()
	case n < 92:
		w.step(ServiceLimits{Service: "s0", MinHealthy: w.between(0, perEach, "min")})
	case n < 93 && len(w.probes) > 0:
		w.step(Probed{Endpoint: w.probes[0].Endpoint, OK: (w.between(0, 1, "ok") == 1)})
		w.probes = w.probes[1:]
	default:
		w.now = w.now.Add(time.Duration(w.between(1, 900, "pause")) * time.Millisecond)
		w.step(Ticked{})
	}
}

func (w *world) arrive() {
	w.nextID++
	q := Request{
		ID: w.nextID, Service: fmt.Sprintf("s%d", w.between(0, services-1, "service")),
		Caller: oneOf(w, "caller", []string{"a", "b", "c"}), WorkKind: oneOf(w, "kind", []string{"k", "l"}),
		Urgent: (w.between(0, 1, "urgent") == 1), Repeatable: (w.between(0, 1, "repeatable") == 1),
		Deadline: w.now.Add(time.Duration(w.between(1, 3000, "deadline")) * time.Millisecond),
	}
	if !q.Repeatable {
		q.RequestID = fmt.Sprintf("%d.x%d", w.now.Add(time.Duration(w.between(-100, 30000, "expiry"))*time.Millisecond).UnixMilli(), q.ID)
	}
	w.step(Arrived{Request: q})
}

func (w *world) finish(o AttemptOutcome) {
	if len(w.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.running)-1).Draw(w.t, "attempt")
	f := w.running[i]
	w.running = slices.Delete(w.running, i, i+1)
	run := time.Duration(w.between(1, 200, "run")) * time.Millisecond
	w.step(AttemptFinished{ID: f.ID, Attempt: f.Attempt, Outcome: o, RunTime: run})
}

func (w *world) record() {
	if len(w.records) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.records)-1).Draw(w.t, "record")
	r := w.records[i]
	w.records = slices.Delete(w.records, i, i+1)
	e := Recorded{ID: r.ID, Phase: r.Phase}
	switch n := w.between(0, 9, "recorded"); {
	case n < 2:
		e.Err = fault.New(fault.Unavailable, "no quorum")
	case n == 2 && r.Phase == RecordBegin:
		e.KnownPhase = oneOf(w, "known", []RecordPhase{RecordBegin, RecordFinished, RecordDidNotRun, RecordUnknown})
		e.Err = fault.New(fault.Conflict, "known")
	}
	w.step(e)
}

func (w *world) announce(n int, leaving bool) {
	w.sequence++
	host := fmt.Sprintf("host-%d", n)
	a := member.Announcement{
		Endpoint: fmt.Sprintf("endpoint-%d", n), Host: host, Service: fmt.Sprintf("s%d", n%services), Address: "10.0.0.1:1",
		Epoch: uint64(w.between(1, 3, "epoch")), Incarnation: uint64(w.between(1, 3, "incarnation")),
		Sequence: w.sequence, Slots: 2, Leaving: leaving, Rack: fmt.Sprint(n / 2), Zone: fmt.Sprint(n / 3), AnnouncedAt: w.now,
	}
	w.step(Announced{Announcement: a})
}

func (w *world) peerUse() {
	use := []EndpointUse{{
		Endpoint: fmt.Sprintf("endpoint-%d", w.between(0, services*perEach-1, "used")),
		InUse:    w.between(0, 3, "inUse"), Long: w.between(0, 1, "long"),
	}}
	peer := oneOf(w, "peer", []string{"entry-2", "entry-3"})
	w.step(PeerUse{Peer: peer, Incarnation: uint64(w.between(1, 2, "incarnation")), Use: use})
}

// run plays a whole history: random actions, then everything ends.
func (w *world) run() []string {
	for n := range services * perEach {
		w.announce(n, false)
	}
	for range w.between(50, 250, "actions") {
		w.act()
	}
	w.step(StopRequested{})
	for range 100 {
		w.now = w.now.Add(100 * time.Millisecond)
		w.step(Ticked{})
		for len(w.running) > 0 {
			w.finish(AttemptAnswered)
		}
		for len(w.records) > 0 {
			w.record()
		}
	}
	w.check.end(w.d.OpenRequests())
	if len(w.d.SlotsInUse()) != 0 {
		w.check.fail(ruleSlots, "slots stay in use: %v", w.d.SlotsInUse())
	}
	w.checkCounts()
	return w.check.faults
}

// checkCounts compares every counter with what is left at the end: nothing.
func (w *world) checkCounts() {
	for _, l := range w.d.order {
		if l.held != 0 || l.queue.Len() != 0 || l.queue.CostAhead(3) != 0 {
			w.check.fail(ruleSlots, "line %s: %d held, %d waiting", l.service, l.held, l.queue.Len())
		}
		if s := w.d.table.Service(l.service); s != nil && (s.InFlight() != 0 || s.LongInFlight() != 0) {
			w.check.fail(ruleSlots, "service %s: %d in flight, %d long", l.service, s.InFlight(), s.LongInFlight())
		}
	}
	if len(w.d.delayed)+len(w.d.running.list)+len(w.d.recording.list) != 0 {
		w.check.fail(ruleSlots, "requests stay in a place")
	}
}

// Guards against lost or double answers, work that runs twice, unproved "did
// not run", work for endpoints that must get none, and leaked slots.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := newWorld(t, breakage{}).run()
		if len(faults) > 0 {
			t.Fatal(strings.Join(faults, "\n"))
		}
	})
}

// Guards against a checker that finds nothing: each rule is violated by a
// deliberate fault, which some history must show.
func TestCheckersFindBrokenVariants(t *testing.T) {
	for _, c := range brokenVariants() {
		t.Run(c.name, func(t *testing.T) {
			found := 0
			for seed := range 60 {
				faults := rapid.Custom(func(t *rapid.T) []string { return newWorld(t, c.broken).run() }).Example(seed)
				for _, f := range faults {
					if strings.HasPrefix(f, c.rule) {
						found++
						break
					}
				}
			}
			require.Positive(t, found, "no history shows %s", c.name)
		})
	}
}

type variant struct {
	name, rule string
	broken     breakage
}

func onEffect[E Effect](change func(w *world, e E) []Effect) breakage {
	return breakage{effect: func(w *world, e Effect) []Effect {
		if v, ok := e.(E); ok {
			return change(w, v)
		}
		return []Effect{e}
	}}
}

func brokenVariants() []variant {
	return []variant{
		{"an answer is given twice", ruleOneAnswer, onEffect(func(_ *world, e Answer) []Effect { return []Effect{e, e} })},
		{"an answer is lost", ruleOneAnswer, onEffect(func(_ *world, e Answer) []Effect {
			if e.ID%7 == 0 {
				return nil
			}
			return []Effect{e}
		})},
		{"a failure is told as did not run", ruleRan, onEffect(func(_ *world, e Answer) []Effect {
			if e.Err != nil {
				e.Ran = fault.RanNo
			}
			return []Effect{e}
		})},
		{"an attempt is started twice", ruleOnce, onEffect(func(_ *world, e Forward) []Effect { return []Effect{e, e} })},
		{"the answer does not wait for the record", ruleRecord, onEffect(func(_ *world, e Record) []Effect {
			if e.Phase == RecordFinished {
				return []Effect{Answer{ID: e.ID, Attempt: e.Attempt, Ran: fault.RanYes}, e}
			}
			return []Effect{e}
		})},
		{"a lost attempt is reported as not sent", ruleOnce, breakage{event: func(_ *world, ev Event) (Event, bool) {
			if f, ok := ev.(AttemptFinished); ok && f.Outcome == AttemptLost {
				f.Outcome = AttemptNotSent
				return f, true
			}
			return ev, true
		}}},
		{"a refused begin counts as begun", ruleBegin, breakage{event: func(_ *world, ev Event) (Event, bool) {
			if r, ok := ev.(Recorded); ok && r.Phase == RecordBegin {
				r.Err, r.KnownPhase = nil, 0
				return r, true
			}
			return ev, true
		}}},
		{"leaving is not heard", ruleRoutable, breakage{event: func(_ *world, ev Event) (Event, bool) {
			a, ok := ev.(Announced)
			return ev, !ok || !a.Announcement.Leaving
		}}},
		{"an epoch is not heard", ruleRoutable, breakage{event: func(_ *world, ev Event) (Event, bool) {
			_, ok := ev.(EpochChanged)
			return ev, !ok
		}}},
		{"leases do not run out", ruleRoutable, breakage{event: func(w *world, ev Event) (Event, bool) {
			if a, ok := ev.(Announced); ok {
				a.Announcement.AnnouncedAt = a.Announcement.AnnouncedAt.Add(time.Hour)
				w.d.Directory.Merge(a.Announcement)
			}
			return ev, true
		}}},
		{"the end of an attempt is not counted", ruleSlots, breakage{event: func(_ *world, ev Event) (Event, bool) {
			f, ok := ev.(AttemptFinished)
			return ev, !ok || f.ID%5 != 0
		}}},
	}
}

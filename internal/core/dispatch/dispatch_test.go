package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
)

// Guards against an answer that differs from what the attempt proves.
func TestOutcomeOfOneAttempt(t *testing.T) {
	for _, c := range []struct {
		outcome AttemptOutcome
		ran     fault.Ran
		kind    fault.Kind
	}{
		{AttemptAnswered, fault.RanYes, ""},
		{AttemptNotSent, fault.RanNo, fault.EndpointFailed},
		{AttemptLost, fault.RanUnknown, fault.OutcomeUnknown},
		{AttemptSilent, fault.RanUnknown, fault.OutcomeUnknown},
	} {
		f := newFixture(Config{})
		f.announce("quotes", 1)
		require.Len(t, of[Forward](f.step(Arrived{Request: f.request(1, true)})), 1)
		a := of[Answer](f.step(AttemptFinished{ID: 1, Attempt: 1, Outcome: c.outcome}))
		require.Len(t, a, 1)
		require.Equal(t, c.ran, a[0].Ran)
		if c.kind == "" {
			require.Nil(t, a[0].Err)
		} else {
			require.Equal(t, c.kind, a[0].Err.Kind)
		}
		require.Zero(t, f.d.OpenRequests())
	}
}

// Guards against request IDs whose retention is not bounded, and against "did
// not run" for an ID of which an earlier try may have run.
func TestRequestIDRules(t *testing.T) {
	ms := func(d time.Duration) int64 { return start.Add(d).UnixMilli() }
	for _, c := range []struct {
		id   string
		kind fault.Kind
		ran  fault.Ran
	}{
		{"", fault.Invalid, fault.RanNo},
		{"abc", fault.Invalid, fault.RanNo},
		{"x.y", fault.Invalid, fault.RanNo},
		{fmt.Sprintf("%d.", ms(time.Minute)), fault.Invalid, fault.RanNo},
		{fmt.Sprintf("-%d.a", ms(time.Minute)), fault.Invalid, fault.RanNo},
		{fmt.Sprintf("%d.a", ms(10*time.Minute+time.Millisecond)), fault.Invalid, fault.RanNo},
		{fmt.Sprintf("%d.a", ms(0)), fault.RequestIDExpired, fault.RanUnknown},
		{fmt.Sprintf("%d.a", ms(-time.Hour)), fault.RequestIDExpired, fault.RanUnknown},
		{fmt.Sprintf("%d.a", ms(10*time.Minute)), "", ""},
		{fmt.Sprintf("%d.a.b", ms(time.Second)), "", ""},
	} {
		f := newFixture(Config{})
		f.announce("quotes", 1)
		q := f.request(1, false)
		q.RequestID = c.id
		out := f.step(Arrived{Request: q})
		if c.kind == "" {
			require.Equal(t, []Effect{Record{ID: 1, Phase: RecordBegin}}, out, c.id)
			continue
		}
		a := of[Answer](out)
		require.Len(t, a, 1, c.id)
		require.Equal(t, c.kind, a[0].Err.Kind, c.id)
		require.Equal(t, c.ran, a[0].Ran, c.id)
		require.Zero(t, f.d.OpenRequests())
	}
}

// Guards against sending before the begin is recorded, and against a wrong
// answer for an ID that is known.
func TestBeginRefused(t *testing.T) {
	for _, c := range []struct {
		recorded Recorded
		from     bool
		kind     fault.Kind
		ran      fault.Ran
	}{
		{Recorded{Err: fault.New(fault.Unavailable, "no quorum")}, false, fault.Unavailable, fault.RanNo},
		{Recorded{KnownPhase: RecordBegin, Err: fault.New(fault.InProgress, "begun")}, false, fault.InProgress, fault.RanUnknown},
		{Recorded{KnownPhase: RecordBegin}, false, fault.InProgress, fault.RanUnknown},
		{Recorded{KnownPhase: RecordFinished, Err: fault.New(fault.Conflict, "finished")}, true, "", fault.RanYes},
		{Recorded{KnownPhase: RecordUnknown, Err: fault.New(fault.OutcomeUnknown, "unknown")}, false, fault.OutcomeUnknown, fault.RanUnknown},
		{Recorded{KnownPhase: RecordFinished, Err: fault.New(fault.RequestIDReused, "digest")}, false, fault.RequestIDReused, fault.RanNo},
	} {
		f := newFixture(Config{})
		f.announce("quotes", 2)
		require.Empty(t, of[Forward](f.step(Arrived{Request: f.request(1, false)})))
		c.recorded.ID, c.recorded.Phase = 1, RecordBegin
		out := f.step(c.recorded)
		require.Empty(t, of[Forward](out))
		a := of[Answer](out)
		require.Len(t, a, 1)
		require.Equal(t, c.from, a[0].FromRecord)
		require.Equal(t, c.ran, a[0].Ran)
		if c.kind != "" {
			require.Equal(t, c.kind, a[0].Err.Kind)
		}
		require.Zero(t, f.d.OpenRequests())
	}
}

// Guards against a second attempt of a request that may have run, and against
// an answer before its record.
func TestNonRepeatableAttempts(t *testing.T) {
	for _, c := range []struct {
		first  AttemptOutcome
		again  bool
		record RecordPhase
	}{
		{AttemptAnswered, false, RecordFinished},
		{AttemptNotSent, true, 0},
		{AttemptRefused, true, 0},
		{AttemptLost, false, RecordUnknown},
		{AttemptSilent, false, RecordUnknown},
	} {
		f := newFixture(Config{})
		f.announce("quotes", 4)
		f.step(Arrived{Request: f.request(1, false)})
		first := of[Forward](f.step(Recorded{ID: 1, Phase: RecordBegin}))
		require.Len(t, first, 1)
		out := f.step(AttemptFinished{ID: 1, Attempt: 1, Outcome: c.first})
		require.Empty(t, of[Answer](out))
		if c.again {
			require.Empty(t, of[Record](out))
			out = append(out, f.pass(50*time.Millisecond, time.Millisecond)...)
			next := of[Forward](out)
			require.Len(t, next, 1)
			require.Equal(t, 2, next[0].Attempt)
			require.NotEqual(t, first[0].Endpoint, next[0].Endpoint)
			continue
		}
		require.Equal(t, []Record{{ID: 1, Attempt: 1, Phase: c.record}}, of[Record](out))
		// A failed write does not keep the whole answer from the caller.
		a := of[Answer](f.step(Recorded{ID: 1, Phase: c.record, Err: fault.New(fault.Unavailable, "no quorum")}))
		require.Len(t, a, 1)
		require.Equal(t, c.first == AttemptAnswered, a[0].Err == nil)
		require.Zero(t, f.d.OpenRequests())
	}
}

// Guards against work admitted during the graceful stop, and against a stop
// that drops admitted work.
func TestStopFinishesAdmittedWork(t *testing.T) {
	f := newFixture(Config{})
	f.announce("quotes", 1)
	for id := range uint64(10) {
		f.step(Arrived{Request: f.request(id+1, true)})
	}
	f.step(StopRequested{})
	a := of[Answer](f.step(Arrived{Request: f.request(99, true)}))
	require.Len(t, a, 1)
	require.Equal(t, fault.Stopping, a[0].Err.Kind)
	require.Equal(t, fault.RanNo, a[0].Ran)
	for id := range uint64(10) {
		f.step(AttemptFinished{ID: id + 1, Attempt: 1, Outcome: AttemptAnswered, RunTime: time.Millisecond})
	}
	require.Len(t, of[Forward](f.effects), 10)
	require.Len(t, of[Answer](f.effects), 11)
	require.Zero(t, f.d.OpenRequests())
}

// Guards against waiting for an answer that cannot come in time.
func TestDeadlineUnreachable(t *testing.T) {
	f := newFixture(Config{})
	f.announce("quotes", 1)
	id := uint64(0)
	for range 20 {
		id++
		f.step(Arrived{Request: f.request(id, true)})
		f.step(AttemptFinished{ID: id, Attempt: 1, Outcome: AttemptAnswered, RunTime: 100 * time.Millisecond})
	}
	for range 80 {
		id++
		f.step(Arrived{Request: f.request(id, true)})
	}
	id++
	q := f.request(id, true)
	q.Deadline = f.now.Add(500 * time.Millisecond)
	a := of[Answer](f.step(Arrived{Request: q}))
	require.Len(t, a, 1)
	require.Equal(t, fault.DeadlineUnreachable, a[0].Err.Kind)
	require.Equal(t, fault.RanNo, a[0].Ran)
}

// Guards against a queue without bound, and against one caller's surge that
// takes the whole queue.
func TestQueueBoundAndFairness(t *testing.T) {
	f := newFixture(Config{QueueLimit: 20})
	f.announce("quotes", 1)
	for id := range uint64(40) {
		f.step(Arrived{Request: f.request(id+1, true)})
	}
	refused := of[Answer](f.effects)
	require.Len(t, refused, 40-8-20)
	require.Equal(t, fault.Overloaded, refused[0].Err.Kind)
	q := f.request(100, true)
	q.Caller = "caller-b"
	out := f.step(Arrived{Request: q})
	require.Len(t, of[Answer](out), 1)
	require.NotEqual(t, uint64(100), of[Answer](out)[0].ID)
	first := of[Forward](f.step(AttemptFinished{ID: 1, Attempt: 1, Outcome: AttemptAnswered, RunTime: time.Millisecond}))
	second := of[Forward](f.step(AttemptFinished{ID: 2, Attempt: 1, Outcome: AttemptAnswered, RunTime: time.Millisecond}))
	require.Contains(t, []uint64{first[0].ID, second[0].ID}, uint64(100))
}

// Guards against a retry storm: with every endpoint failing, attempts exceed
// requests by at most 10% and the initial credit, at start and after a long
// time of successes.
func TestAttemptsWithEveryEndpointFailing(t *testing.T) {
	for _, outcome := range []AttemptOutcome{AttemptLost, AttemptNotSent, AttemptRefused} {
		for _, warm := range []int{0, 5000} {
			f := newFixture(Config{Seed: 5})
			const credit, requests = 2, 10000
			attempts := 0
			pending := []Forward{}
			work := func(o AttemptOutcome) {
				for len(pending) > 0 {
					e := pending[0]
					pending = append(pending[1:], of[Forward](f.d.Step(f.now, AttemptFinished{ID: e.ID, Attempt: e.Attempt, Outcome: o, RunTime: time.Millisecond}))...)
					attempts++
				}
			}
			send := func(id int, o AttemptOutcome) {
				f.now = f.now.Add(time.Millisecond)
				if id%500 == 0 {
					f.announce("quotes", 12)
				}
				q := f.request(uint64(id), true)
				q.Deadline = f.now.Add(500 * time.Millisecond)
				pending = append(pending, of[Forward](f.d.Step(f.now, Arrived{Request: q}))...)
				work(o)
				pending = append(pending, of[Forward](f.d.Step(f.now, Ticked{}))...)
				work(o)
			}
			f.announce("quotes", 12)
			for id := range warm {
				send(id+1, AttemptAnswered)
			}
			attempts = 0
			for id := range requests {
				send(warm+id+1, outcome)
				if id < 100 && warm == 0 {
					require.LessOrEqual(t, attempts, (id+1)*11/10+credit, "at start, %v", outcome)
				}
			}
			require.LessOrEqual(t, attempts, requests*11/10+credit, "outcome %v after %d successes", outcome, warm)
		}
	}
}

// Guards against an endpoint that hangs everything and keeps its share of the
// work, and against silent connections held against an endpoint.
func TestHangingEndpointIsEjected(t *testing.T) {
	for _, c := range []struct {
		outcome AttemptOutcome
		ejected bool
	}{{AttemptLost, true}, {AttemptSilent, false}} {
		f := newFixture(Config{})
		f.announce("quotes", 6)
		for id := range uint64(20) {
			f.step(Arrived{Request: f.request(id+1, true)})
			f.step(AttemptFinished{ID: id + 1, Attempt: 1, Outcome: AttemptAnswered, RunTime: time.Millisecond})
		}
		f.now = f.now.Add(10 * time.Millisecond)
		// Eight requests stay on each endpoint; all but those of one finish.
		hung := map[string][]Forward{}
		for id := range uint64(48) {
			for _, e := range of[Forward](f.step(Arrived{Request: f.request(100+id, true)})) {
				hung[e.Endpoint] = append(hung[e.Endpoint], e)
			}
		}
		const bad = "quotes-3"
		for name, list := range hung {
			for _, e := range list {
				if name != bad {
					f.step(AttemptFinished{ID: e.ID, Attempt: e.Attempt, Outcome: AttemptAnswered, RunTime: time.Millisecond})
				}
			}
		}
		require.NotEmpty(t, hung[bad])
		for _, e := range hung[bad] {
			if c.outcome == AttemptSilent {
				f.step(AttemptFinished{ID: e.ID, Attempt: e.Attempt, Outcome: c.outcome})
			}
		}
		for range 6 {
			f.announce("quotes", 6)
			f.pass(500*time.Millisecond, 50*time.Millisecond)
		}
		require.Equal(t, c.ejected, f.d.table.Endpoint(bad).IsEjected())
	}
}

// Guards against a worker that fails everything at once and, being the fastest,
// attracts the work of its pool.
func TestEndpointThatAnswersWithServerErrorsIsEjected(t *testing.T) {
	const bad = "quotes-3"
	f := newFixture(Config{})
	f.announce("quotes", 6)
	errors := 0
	for id := range uint64(600) {
		f.now = f.now.Add(time.Millisecond)
		for _, e := range of[Forward](f.step(Arrived{Request: f.request(id+1, true)})) {
			failed := e.Endpoint == bad
			if failed {
				errors++
			}
			end := AttemptFinished{ID: e.ID, Attempt: e.Attempt, Outcome: AttemptAnswered, ServerError: failed, RunTime: time.Millisecond}
			answers := of[Answer](f.step(end))
			require.Len(t, answers, 1)
			require.Nil(t, answers[0].Err, "the answer of the endpoint is passed on")
		}
	}
	require.True(t, f.d.table.Endpoint(bad).IsEjected())
	require.Less(t, errors, 30)
}

// Guards against long work that is not recognised beforehand and goes on to
// count as short.
func TestRunningWorkTurnsLong(t *testing.T) {
	f := newFixture(Config{})
	f.announce("quotes", 2)
	for id := range uint64(20) {
		f.step(Arrived{Request: f.request(id+1, true)})
		f.step(AttemptFinished{ID: id + 1, Attempt: 1, Outcome: AttemptAnswered, RunTime: time.Millisecond})
	}
	f.step(Arrived{Request: f.request(100, true)})
	require.Equal(t, 0, f.d.SlotsInUse()[0].Long)
	f.pass(100*time.Millisecond, 10*time.Millisecond)
	require.Equal(t, 1, f.d.SlotsInUse()[0].Long)
	f.step(AttemptFinished{ID: 100, Attempt: 1, Outcome: AttemptAnswered, RunTime: 100 * time.Millisecond})
	require.Empty(t, f.d.SlotsInUse())
}

// Guards against a caller that waits past its deadline, whatever its request
// waits for.
func TestDeadlinePassesEverywhere(t *testing.T) {
	f := newFixture(Config{})
	f.announce("quotes", 1)
	for id := range uint64(9) {
		f.step(Arrived{Request: f.request(id+1, true)})
	}
	f.step(Arrived{Request: f.request(10, false)})
	f.pass(10500*time.Millisecond, 100*time.Millisecond)
	answers := map[uint64]Answer{}
	for _, a := range of[Answer](f.effects) {
		require.NotContains(t, answers, a.ID)
		answers[a.ID] = a
	}
	require.Len(t, answers, 10)
	require.Equal(t, fault.RanUnknown, answers[1].Ran)
	require.Equal(t, fault.DeadlineExceeded, answers[1].Err.Kind)
	require.Equal(t, fault.RanNo, answers[9].Ran)
	require.Equal(t, fault.RanNo, answers[10].Ran)
	require.Len(t, of[Abort](f.effects), 8)
	// A begin that is taken late is closed as not run.
	require.Equal(t, []Record{{ID: 10, Phase: RecordDidNotRun}}, of[Record](f.step(Recorded{ID: 10, Phase: RecordBegin})))
}

// Guards against "did not run" for a request ID that the control replicas call
// expired: an earlier try under it may have run.
func TestIDThatExpiredAtTheControlReplicasMayHaveRun(t *testing.T) {
	f := newFixture(Config{})
	f.announce("quotes", 1)
	f.step(Arrived{Request: f.request(1, false)})
	answers := of[Answer](f.step(Recorded{ID: 1, Phase: RecordBegin, Err: fault.New(fault.RequestIDExpired, "expired")}))
	require.Len(t, answers, 1)
	require.Equal(t, fault.RanUnknown, answers[0].Ran)
}

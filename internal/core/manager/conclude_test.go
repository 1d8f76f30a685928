package manager_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
)

const concludedJob = "fedcba9876543210"

// restartReport returns a report of executor i-1, which started at the given time. Two
// reports of one incarnation differ by their sequence number.
func restartReport(startedAt, sequence int64) manager.Report {
	return manager.Report{
		ID: "i-1", StartedAt: startedAt, Sequence: sequence, Host: "host-1", Pool: "p", Address: "a:1",
		Capacity: jobs.Resources{CPU: 1000}, Clock: 1000,
	}
}

// otherReport returns a report of executor i-2 on another host, to which a task could
// move.
func otherReport(sequence int64) manager.Report {
	r := restartReport(3, sequence)
	r.ID, r.Host, r.Address = "i-2", "host-2", "a:2"
	return r
}

// listing is the answer of an incarnation to a call for its lists.
func listing(startedAt, clock int64, running ...manager.RunningRow) manager.Outcome {
	return manager.Outcome{Verdict: manager.OK, Clock: clock, StartedAt: startedAt, Running: running}
}

func runningRow(c manager.Call) manager.RunningRow {
	return manager.RunningRow{Task: c.Task, Run: c.Run, Percent: 10}
}

// takeFor removes the oldest call of a kind to an executor and returns it.
func (l *directLeader) takeFor(kind manager.CallKind, instance string) manager.Call {
	for i, c := range l.calls {
		if c.Kind == kind && c.Instance == instance {
			l.calls = append(l.calls[:i:i], l.calls[i+1:]...)
			return c
		}
	}
	require.Failf(l.t, "no call", "of kind %s to %s", kind, instance)
	return manager.Call{}
}

// startOnFirst lets executor i-1 start one task and returns the order. Executor i-2
// joins afterwards, so that the task could move there.
func (l *directLeader) startOnFirst() manager.Call {
	l.report(restartReport(5, 1))
	l.answer(l.take(manager.CallHold), listing(5, 1000))
	l.submit(concludedJob)
	start := l.take(manager.CallStart)
	l.report(otherReport(1))
	l.answer(l.takeFor(manager.CallHold, "i-2"), listing(3, 1000))
	return start
}

// restart lets i-1 report a later start and returns the call for the new incarnation's
// lists.
func (l *directLeader) restart() manager.Call {
	l.calls = nil
	l.report(restartReport(900, 1))
	return l.takeFor(manager.CallHold, "i-1")
}

// Guards against a task that runs twice after an executor restarted under its ID and
// the new incarnation started the task before its first report: an answered start does
// not show which incarnation gave the answer.
func TestAnsweredStartIsNoProofOfItsIncarnation(t *testing.T) {
	l := newDirectLeader(t)
	start := l.startOnFirst()
	l.answer(start, manager.Outcome{Verdict: manager.OK, Clock: 1100})
	hold := l.restart()
	l.step(time.Second)
	require.Zero(t, l.count(manager.CallStart))
	l.answer(hold, listing(900, 50, runningRow(start)))
	l.step(time.Second)
	require.Zero(t, l.count(manager.CallStart), "the new incarnation runs the task")
	require.Zero(t, l.count(manager.CallStop), "and goes on with it")
}

// Guards against a run that is left open for ever after a restart: the list of the new
// incarnation lacks it.
func TestListOfNextIncarnationSettlesRuns(t *testing.T) {
	l := newDirectLeader(t)
	l.answer(l.startOnFirst(), manager.Outcome{Verdict: manager.OK, Clock: 1100})
	l.answer(l.restart(), listing(900, 50))
	require.Equal(t, 1, l.count(manager.CallStart))
}

// Guards against a run that the new incarnation has carried out and that counts as gone,
// because the list of ends was truncated before it.
func TestTruncatedListOfNextIncarnationSettlesNothing(t *testing.T) {
	l := newDirectLeader(t)
	start := l.startOnFirst()
	l.answer(start, manager.Outcome{Verdict: manager.OK, Clock: 1100})
	l.answer(l.restart(), truncatedListing(900, 50))
	require.Zero(t, l.count(manager.CallStart))
	rest := listing(900, 60)
	rest.Ended = []manager.EndedRow{{Number: 501, Task: start.Task, Run: start.Run, How: jobs.ResultDone}}
	l.answer(l.takeFor(manager.CallHold, "i-1"), rest)
	require.Zero(t, l.count(manager.CallStart))
	require.Equal(t, jobs.PhaseCompleted, l.state.Job(concludedJob).Phase)
}

// Guards against a run that counts as lapsed while the new incarnation holds it, because
// the clock in an answer to a start was taken for that of the old one.
func TestClockOfNextIncarnationMovesNoLease(t *testing.T) {
	l := newDirectLeader(t)
	l.answer(l.startOnFirst(), manager.Outcome{Verdict: manager.OK, Clock: 9_000_000})
	l.step(time.Second)
	require.Zero(t, l.count(manager.CallStart))
}

// Guards against a run that counts as lapsed with the lease of the old incarnation while
// the new one, which has started it, may hold it for the longest lease.
func TestUnlistedRunIsHeldForTheLongestLease(t *testing.T) {
	l := newDirectLeader(t)
	l.answer(l.startOnFirst(), manager.Outcome{Verdict: manager.OK, Clock: 1100})
	l.step(5 * time.Second)
	l.report(otherReport(2))
	l.step(1100 * time.Millisecond)
	require.Zero(t, l.count(manager.CallStart))
	l.step(200 * time.Millisecond)
	require.Equal(t, 1, l.count(manager.CallStart))
}

// Guards against runs that count as lapsed while the executor holds them: an order for
// the incarnation before, with a lease on that one's clock, reached the new one, which
// shortened it to the longest lease. That is longer than any lease it got since.
func TestLeaseForEarlierIncarnationHoldsNext(t *testing.T) {
	l := newDirectLeader(t)
	start := l.startOnFirst()
	l.answer(start, manager.Outcome{Verdict: manager.OK})
	l.answer(l.restart(), listing(900, 50, runningRow(start)))
	l.step(6100 * time.Millisecond)
	l.report(otherReport(2))
	require.Zero(t, l.count(manager.CallStart))
	l.step(200 * time.Millisecond)
	require.Equal(t, 1, l.count(manager.CallStart))
}

// Guards against a start that got no answer and is carried out by the next incarnation,
// after the one that was ordered has deregistered.
func TestUnansweredStartStaysOpenAfterDeregistration(t *testing.T) {
	l := newDirectLeader(t)
	start := l.startOnFirst()
	leaving := restartReport(5, 2)
	leaving.Leaving = true
	l.report(leaving)
	l.step(time.Second)
	require.Zero(t, l.count(manager.CallStart))
	l.answer(l.restart(), listing(900, 50, runningRow(start)))
	require.Zero(t, l.count(manager.CallStart))
	require.Zero(t, l.count(manager.CallStop))
}

// Guards against a task that waits although its order was refused: a refusal shows that
// the order had no effect, also after the incarnation has ended.
func TestRefusalAfterRestartSettlesRun(t *testing.T) {
	l := newDirectLeader(t)
	start := l.startOnFirst()
	l.restart()
	l.answer(start, manager.Outcome{Verdict: manager.Refused, Refusal: manager.RefusedCapacity})
	require.Equal(t, 1, l.count(manager.CallStart))
}

// Guards against a task that waits for an executor that does not return: its run is
// settled once no order can arrive and no lease last any more, and at once when another
// executor answers in its place.
func TestUnsettledRunEnds(t *testing.T) {
	t.Run("orders and leases have expired", func(t *testing.T) {
		l := newDirectLeader(t)
		l.answer(l.startOnFirst(), manager.Outcome{Verdict: manager.OK, Clock: 1100})
		l.restart()
		l.step(21 * time.Second)
		require.Zero(t, l.count(manager.CallStart))
		l.report(otherReport(2))
		l.step(200 * time.Millisecond)
		require.Equal(t, 1, l.count(manager.CallStart))
	})
	t.Run("another executor answers on the host", func(t *testing.T) {
		l := newDirectLeader(t)
		l.answer(l.startOnFirst(), manager.Outcome{Verdict: manager.OK, Clock: 1100})
		l.restart()
		l.step(100 * time.Millisecond)
		next := restartReport(950, 1)
		next.ID = "i-3"
		l.report(next)
		l.answer(l.takeFor(manager.CallHold, "i-3"), listing(950, 50))
		require.Equal(t, 1, l.count(manager.CallStart))
	})
}

// Guards against work that is stopped after a change of leader, because the records name
// the old incarnation for a run that the new one has adopted.
func TestAdoptedRunOutlivesLeader(t *testing.T) {
	l := newDirectLeader(t)
	start := l.startOnFirst()
	l.answer(start, manager.Outcome{Verdict: manager.OK, Clock: 1100})
	l.answer(l.restart(), listing(900, 50, runningRow(start)))
	l.step(time.Second)
	l.lead()
	l.answer(l.takeFor(manager.CallHold, "i-1"), listing(900, 60, runningRow(start)))
	l.answer(l.takeFor(manager.CallHold, "i-2"), listing(3, 2000))
	l.step(time.Second)
	require.Zero(t, l.count(manager.CallStop))
	require.Zero(t, l.count(manager.CallStart))
	o := listing(900, 1500)
	o.Ended = []manager.EndedRow{{Number: 1, Task: start.Task, Run: start.Run, How: jobs.ResultDone}}
	l.answer(l.takeFor(manager.CallHold, "i-1"), o)
	require.Equal(t, jobs.PhaseCompleted, l.state.Job(concludedJob).Phase)
	l.step(time.Second)
	require.Len(t, l.state.Executors(), 2, "the record of the old incarnation goes with its last run")
}

// Guards against an executor that counts as replaced, and its runs as gone, because
// another one answers at an address that it has left.
func TestAnswerAtFormerAddressEndsNothing(t *testing.T) {
	l := newDirectLeader(t)
	l.report(restartReport(5, 1))
	l.answer(l.take(manager.CallHold), listing(5, 1000))
	hold := l.takeFor(manager.CallHold, "i-1")
	moved := restartReport(5, 2)
	moved.Address = "a:9"
	l.report(moved)
	l.answer(hold, manager.Outcome{Verdict: manager.WrongInstance})
	require.NotNil(t, l.state.ExecutorByID("i-1"))
	l.step(time.Second)
	require.Equal(t, "a:9", l.takeFor(manager.CallHold, "i-1").Address)
}

// truncatedListing returns a list that is full of ends of an unknown job.
func truncatedListing(startedAt, clock int64) manager.Outcome {
	o := listing(startedAt, clock)
	for n := range int64(500) {
		o.Ended = append(o.Ended, manager.EndedRow{Number: n + 1, Task: jobs.TaskRef{Job: "00000000000000ff", Index: int(n)}, Run: 1, How: jobs.ResultDone})
	}
	return o
}

// Guards against a task that starts again after its end, because the list of ends was
// truncated before it: a run that an earlier leader ordered, one that the executor has
// stopped, and one without an answer are concluded from complete lists only.
func TestTruncatedListConcludesNothing(t *testing.T) {
	for name, prepare := range map[string]func(l *directLeader, start manager.Call){
		"inherited": func(l *directLeader, start manager.Call) {
			l.answer(start, manager.Outcome{Verdict: manager.OK})
			l.lead()
			l.report(otherReport(2))
			l.answer(l.takeFor(manager.CallHold, "i-2"), listing(3, 2000))
		},
		"active": func(l *directLeader, start manager.Call) {
			l.answer(start, manager.Outcome{Verdict: manager.OK})
			l.step(10 * time.Millisecond)
			l.answer(l.takeFor(manager.CallHold, "i-1"), listing(5, 1100, runningRow(start)))
		},
		"stopped": func(l *directLeader, start manager.Call) {
			l.answer(start, manager.Outcome{Verdict: manager.NoAnswer})
			for l.count(manager.CallStop) == 0 {
				l.step(300 * time.Millisecond)
				l.answer(l.takeFor(manager.CallHold, "i-1"), listing(5, 1400))
			}
			l.answer(l.take(manager.CallStop), manager.Outcome{Verdict: manager.OK})
		},
		"without an answer": func(l *directLeader, start manager.Call) {
			l.answer(start, manager.Outcome{Verdict: manager.NoAnswer})
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newDirectLeader(t)
			start := l.startOnFirst()
			prepare(l, start)
			for l.countFor(manager.CallHold, "i-1") > 0 {
				l.answer(l.takeFor(manager.CallHold, "i-1"), manager.Outcome{Verdict: manager.NoAnswer})
			}
			l.step(300 * time.Millisecond)
			l.answer(l.takeFor(manager.CallHold, "i-1"), truncatedListing(5, 1500))
			require.Zero(t, l.count(manager.CallStart))
			require.Zero(t, l.count(manager.CallStop))
			rest := listing(5, 1600)
			rest.Ended = []manager.EndedRow{{Number: 501, Task: start.Task, Run: start.Run, How: jobs.ResultDone}}
			hold := l.takeFor(manager.CallHold, "i-1")
			require.EqualValues(t, 500, hold.RecordedEnd)
			l.answer(hold, rest)
			require.Zero(t, l.count(manager.CallStart))
			require.Equal(t, jobs.PhaseCompleted, l.state.Job(concludedJob).Phase)
		})
	}
}

// countFor returns the number of open calls of a kind to an executor.
func (l *directLeader) countFor(kind manager.CallKind, instance string) int {
	count := 0
	for _, c := range l.calls {
		if c.Kind == kind && c.Instance == instance {
			count++
		}
	}
	return count
}

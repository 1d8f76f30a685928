package manager_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
)

const departedJob = "0123456789abcdef"

// departedReport returns the report of an executor with the given sequence number.
func departedReport(sequence int64) manager.Report {
	return manager.Report{ID: "i-1", StartedAt: 5, Sequence: sequence, Pool: "p", Address: "a:1", Capacity: jobs.Resources{CPU: 1000}, Clock: 1000}
}

func (l *directLeader) confirm() {
	l.answer(l.take(manager.CallHold), manager.Outcome{Verdict: manager.OK, Clock: 1000, StartedAt: 5})
}

// Guards against a draining executor that is used again after a failover: a new
// leader does not know the sequence number of its newest report, so an older one that
// was delayed looks new.
func TestDelayedReportDoesNotEndDraining(t *testing.T) {
	l := newDirectLeader(t)
	l.report(departedReport(1))
	l.confirm()
	draining := departedReport(3)
	draining.Draining = true
	l.report(draining)
	l.lead()
	l.report(departedReport(2))
	l.confirm()
	l.submit(departedJob)
	l.step(time.Second)
	require.True(t, l.state.ExecutorByID("i-1").Draining)
	require.Zero(t, l.count(manager.CallStart))
}

// Guards against the same when the delayed report arrives before the record of the
// draining one is committed.
func TestDelayedReportIsNotRecordedOverDraining(t *testing.T) {
	l := newDirectLeader(t)
	l.report(departedReport(1))
	l.confirm()
	draining := departedReport(3)
	draining.Draining = true
	l.manager.HandleReport(departedReport(2), l.now)
	l.manager.HandleReport(draining, l.now)
	l.manager.HandleReport(departedReport(2), l.now)
	l.step(0)
	l.submit(departedJob)
	require.True(t, l.state.ExecutorByID("i-1").Draining)
	require.Zero(t, l.count(manager.CallStart))
}

// Guards against an executor that has left and gets work because a delayed report
// registers it again, under the same leader or after a failover: nothing starts on it
// before it has answered a call that names it, and it is dropped if another service
// answers at its address.
func TestDelayedReportGivesNoWorkToExecutorThatLeft(t *testing.T) {
	for name, failover := range map[string]bool{"same leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			l := newDirectLeader(t)
			l.report(departedReport(1))
			l.confirm()
			l.calls = nil
			l.report(manager.Report{ID: "i-1", StartedAt: 5, Leaving: true})
			require.Nil(t, l.state.ExecutorByID("i-1"))
			if failover {
				l.lead()
			}
			l.report(departedReport(2))
			l.submit(departedJob)
			l.step(time.Second)
			require.Zero(t, l.count(manager.CallStart))
			l.answer(l.take(manager.CallHold), manager.Outcome{Verdict: manager.WrongInstance})
			require.Nil(t, l.state.ExecutorByID("i-1"))
			l.step(time.Second)
			require.Zero(t, l.count(manager.CallStart))
		})
	}
}

// Guards against an executor whose reports are ignored for ever after another writer has
// sent one with a very high sequence number.
func TestReportsAreReadAgainAfterOddSequence(t *testing.T) {
	l := newDirectLeader(t)
	l.report(departedReport(1))
	l.confirm()
	l.report(departedReport(1 << 49))
	shrunk := departedReport(2)
	shrunk.Capacity.CPU = 400
	l.report(shrunk)
	require.EqualValues(t, 1000, l.state.ExecutorByID("i-1").Capacity.CPU)
	l.step(16 * time.Second)
	shrunk.Sequence = 12
	l.report(shrunk)
	require.EqualValues(t, 400, l.state.ExecutorByID("i-1").Capacity.CPU)
}

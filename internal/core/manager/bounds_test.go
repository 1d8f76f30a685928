package manager_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
)

// Guards against one list of runs that makes the leader send any number of orders or
// record any number of ends at once.
func TestLongListCausesBoundedWork(t *testing.T) {
	l := newDirectLeader(t)
	l.report(departedReport(1))
	o := manager.Outcome{Verdict: manager.OK, Clock: 1000, StartedAt: 5}
	for i := range 20_000 {
		ref := jobs.TaskRef{Job: departedJob, Index: i}
		o.Running = append(o.Running, manager.RunningRow{Task: ref, Run: 1})
		o.Ended = append(o.Ended, manager.EndedRow{Number: int64(i + 1), Task: ref, Run: 2, How: jobs.ResultDone})
	}
	l.answer(l.take(manager.CallHold), o)
	require.LessOrEqual(t, l.count(manager.CallStop), 256)
	require.EqualValues(t, 500, l.state.ExecutorByID("i-1").RecordedEnd)
	stops := l.count(manager.CallStop)
	l.step(time.Second)
	l.answer(l.take(manager.CallHold), o)
	require.Greater(t, l.count(manager.CallStop), stops)
	require.EqualValues(t, 1000, l.state.ExecutorByID("i-1").RecordedEnd)
}

// Guards against a listing that never ends because the platform repeats a page token.
func TestListingWithRepeatedTokenEnds(t *testing.T) {
	l := newDirectLeader(t)
	l.step(time.Second)
	pages := 0
	for ; l.count(manager.CallListHosts) > 0 && pages < 5000; pages++ {
		l.answer(l.take(manager.CallListHosts), manager.Outcome{Verdict: manager.OK, Hosts: []manager.HostRow{{Host: "m-1", State: manager.HostUp}}, NextPageToken: "x"})
	}
	require.LessOrEqual(t, pages, 1000)
	l.step(5 * time.Second)
	require.Equal(t, 1, l.count(manager.CallListHosts))
}

// Guards against advice that is valid for no time and is requested again as fast as
// the advisor answers.
func TestShortAdviceIsNotRequestedAgainAtOnce(t *testing.T) {
	l := newDirectLeader(t)
	config := *l.state.Config()
	config.Version++
	config.Queues = []jobs.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Timeout: 1000, Advisor: &jobs.AdvisorTiming{PerCall: 1}}}
	l.manager.HandleRequest(manager.Request{ID: 1, Kind: manager.RequestConfigure, Config: &config}, l.now)
	l.step(0)
	l.report(departedReport(1))
	l.confirm()
	l.submit(departedJob)
	for range 2 {
		l.answer(l.take(manager.CallAdvise), manager.Outcome{Verdict: manager.OK, Allowed: []manager.Allowance{{Executor: "i-1", Ticket: "x"}}})
		require.Zero(t, l.count(manager.CallAdvise))
		l.step(time.Second)
	}
}

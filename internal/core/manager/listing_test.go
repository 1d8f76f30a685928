package manager_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
)

// Guards against a wave that counts a host as removed because its row in the listing
// could not be read, or that waits for ever for a row that stays unreadable.
func TestUnreadableRowRemovesNoHostFromWave(t *testing.T) {
	l := newDirectLeader(t)
	l.manager.HandleRequest(manager.Request{ID: 1, Kind: manager.RequestStartWave, Wave: &jobs.Wave{ID: 1, Hosts: []string{"m-1"}, TimeLimit: 60_000, MaxParallel: 1}}, l.now)
	l.step(0)
	l.answer(l.take(manager.CallListHosts), manager.Outcome{Verdict: manager.OK, Hosts: []manager.HostRow{{Host: "m-2", State: manager.HostUp}}, UnreadableHosts: 1})
	l.step(time.Second)
	require.False(t, l.state.Wave(1).IsComplete())
	order := l.take(manager.CallUpkeepHost)
	require.Equal(t, "m-1", order.Host)
	l.answer(order, manager.Outcome{Verdict: manager.Refused, Refusal: manager.RefusedUnknownHost})
	require.Equal(t, []string{"m-1"}, l.state.Wave(1).Removed)
}

// Guards against a wave that never completes because one of its hosts no longer
// exists.
func TestHostMissingFromListingIsRemovedFromWave(t *testing.T) {
	l := newDirectLeader(t)
	l.manager.HandleRequest(manager.Request{ID: 1, Kind: manager.RequestStartWave, Wave: &jobs.Wave{ID: 1, Hosts: []string{"m-1"}, TimeLimit: 60_000, MaxParallel: 1}}, l.now)
	l.step(0)
	l.answer(l.take(manager.CallListHosts), manager.Outcome{Verdict: manager.OK, Hosts: []manager.HostRow{{Host: "m-2", State: manager.HostUp}}})
	l.step(time.Second)
	require.Equal(t, []string{"m-1"}, l.state.Wave(1).Removed)
}

// Guards against a platform that has become slow and whose listing is given up for ever
// before it arrives.
func TestSlowListingGetsMoreTime(t *testing.T) {
	l := newDirectLeader(t)
	l.step(time.Second)
	for _, timeout := range []time.Duration{2, 2, 2, 2, 4, 8, 16, 16} {
		call := l.take(manager.CallListHosts)
		require.Equal(t, timeout*time.Second, call.Timeout)
		l.answer(call, manager.Outcome{Verdict: manager.NoAnswer})
		l.step(4 * time.Second)
	}
	l.answer(l.take(manager.CallListHosts), manager.Outcome{Verdict: manager.OK})
	l.step(20 * time.Second)
	require.Equal(t, 2*time.Second, l.take(manager.CallListHosts).Timeout)
}

// moveToStandby lets the executor on host-1 report and answer, and answers the order
// that moves the idle host to the standby pool.
func (l *directLeader) moveToStandby() {
	l.report(restartReport(5, 1))
	l.answerHolds("i-1", 5)
	l.step(5 * time.Second)
	move := l.take(manager.CallMoveHost)
	require.Equal(l.t, "host-1", move.Host)
	l.answer(move, manager.Outcome{Verdict: manager.OK})
}

// requestWave starts a wave over the hosts, one at a time.
func (l *directLeader) requestWave(id int64, hosts ...string) {
	w := &jobs.Wave{ID: id, Hosts: hosts, TimeLimit: 600_000, MaxParallel: 1}
	l.manager.HandleRequest(manager.Request{ID: uint64(id), Kind: manager.RequestStartWave, Wave: w}, l.now)
	l.step(0)
}

func hostUp(name, pool string) manager.HostRow {
	return manager.HostRow{Host: name, Pool: pool, State: manager.HostUp, Capacity: jobs.Resources{CPU: 1000, MemoryMB: 1000}}
}

func hostList(rows ...manager.HostRow) manager.Outcome {
	return manager.Outcome{Verdict: manager.OK, Hosts: rows}
}

// submitWork submits a job whose tasks each fill a host for some seconds.
func (l *directLeader) submitWork(id string, tasks int) {
	spec := &jobs.Spec{Steps: []jobs.Step{{Count: tasks, Demand: jobs.Resources{CPU: 1000, MemoryMB: 1000}, Estimate: 4000}}}
	l.manager.HandleRequest(manager.Request{ID: 1, Kind: manager.RequestSubmit, Host: "h", Path: "/q/" + id, Spec: spec}, l.now)
	l.step(0)
	l.step(100 * time.Millisecond)
}

// Guards against a wave that is complete without a host that was added after the newest
// listing began: that listing says nothing about it (review/7).
func TestListingBeforeHostWasAddedRemovesNoHostFromWave(t *testing.T) {
	l := newDirectLeader(t)
	l.step(time.Second)
	l.answer(l.take(manager.CallListHosts), hostList(hostUp("m-2", "off")))
	l.step(time.Second)
	l.moveToStandby()
	l.requestWave(1, "host-1")
	l.step(4 * time.Second)
	require.Empty(t, l.state.Wave(1).Removed)
	order := l.take(manager.CallUpkeepHost)
	require.Equal(t, "host-1", order.Host)
	l.answer(order, manager.Outcome{Verdict: manager.OK})
	require.True(t, l.state.Wave(1).IsComplete())
}

// Guards against the same where the listing began before the host reported and its answer
// arrives only after the wave was requested.
func TestListingThatOverlapsAdditionRemovesNoHostFromWave(t *testing.T) {
	l := newDirectLeader(t)
	l.step(time.Second)
	l.answer(l.take(manager.CallListHosts), hostList(hostUp("m-2", "off")))
	l.step(16 * time.Second)
	slow := l.take(manager.CallListHosts)
	l.step(100 * time.Millisecond)
	l.moveToStandby()
	l.requestWave(1, "host-1")
	l.answer(slow, hostList(hostUp("m-2", "off")))
	l.step(4 * time.Second)
	require.Empty(t, l.state.Wave(1).Removed)
	require.Equal(t, "host-1", l.take(manager.CallUpkeepHost).Host)
}

// Guards against a new leader that takes a host of a running wave for removed because a
// listing of the earlier leader's time, or one that a report contradicts, lacks it.
func TestNewLeaderTakesReportingHostForPresent(t *testing.T) {
	l := newDirectLeader(t)
	l.step(time.Second)
	l.answer(l.take(manager.CallListHosts), hostList(hostUp("m-2", "off")))
	l.requestWave(1, "host-1")
	l.lead()
	l.step(100 * time.Millisecond)
	slow := l.take(manager.CallListHosts)
	l.step(time.Second)
	l.report(restartReport(5, 1))
	leaving := restartReport(5, 2)
	leaving.Leaving = true
	l.report(leaving)
	l.answer(slow, hostList(hostUp("m-2", "off")))
	require.Empty(t, l.state.Wave(1).Removed)
	l.step(5 * time.Second)
	require.Empty(t, l.state.Wave(1).Removed)
	require.Equal(t, "host-1", l.take(manager.CallUpkeepHost).Host)
}

// Guards against a host that stays away for ever, and keeps its wave from completing,
// because it was removed during its upkeep or during a move without an answer.
func TestHostRemovedWhileAwayFreesItsWave(t *testing.T) {
	t.Run("upkeep", func(t *testing.T) {
		l := newDirectLeader(t)
		l.requestWave(1, "m-1", "m-2")
		l.step(100 * time.Millisecond)
		l.answer(l.take(manager.CallListHosts), hostList(hostUp("m-1", "off"), hostUp("m-2", "off")))
		l.step(100 * time.Millisecond)
		order := l.take(manager.CallUpkeepHost)
		require.Equal(t, "m-1", order.Host)
		l.answer(order, manager.Outcome{Verdict: manager.OK})
		l.step(3 * time.Second)
		l.answer(l.take(manager.CallListHosts), hostList(hostUp("m-2", "off")))
		l.step(time.Second)
		require.Equal(t, "m-2", l.take(manager.CallUpkeepHost).Host)
	})
	t.Run("move", func(t *testing.T) {
		l := newDirectLeader(t)
		l.step(time.Second)
		l.answer(l.take(manager.CallListHosts), hostList(hostUp("m-1", "off")))
		l.submitWork(concludedJob, 1)
		move := l.take(manager.CallMoveHost)
		require.Equal(t, "m-1", move.Host)
		l.step(2 * time.Second)
		l.answer(move, manager.Outcome{Verdict: manager.NoAnswer})
		l.requestWave(1, "m-1")
		l.step(2 * time.Second)
		l.answer(l.take(manager.CallListHosts), hostList(hostUp("m-2", "off")))
		l.step(time.Second)
		require.True(t, l.state.Wave(1).IsComplete())
	})
}

// Guards against a row that is lost between two pages of a listing, which may change
// meanwhile: one listing of several pages does not show that a host is removed, two do.
func TestAbsenceFromOneListingOfSeveralPagesRemovesNoHost(t *testing.T) {
	l := newDirectLeader(t)
	l.requestWave(1, "m-1", "m-3")
	l.step(100 * time.Millisecond)
	list := func() {
		first := hostList(hostUp("m-2", "off"))
		first.NextPageToken = "2"
		l.answer(l.take(manager.CallListHosts), first)
		l.answer(l.take(manager.CallListHosts), hostList(hostUp("m-4", "off")))
	}
	list()
	require.Empty(t, l.state.Wave(1).Removed)
	l.step(100 * time.Millisecond)
	require.Zero(t, l.count(manager.CallUpkeepHost), "the next listing decides")
	l.step(2 * time.Second)
	list()
	l.step(time.Second)
	require.Equal(t, []string{"m-1", "m-3"}, l.state.Wave(1).Removed)
}

// Guards against a wave that never completes because the platform calls a host busy that it
// no longer lists, and against orders for such a host while the listings decide.
func TestBusyHostMissingFromListingsIsRemovedFromWave(t *testing.T) {
	l := newDirectLeader(t)
	l.step(time.Second)
	l.answer(l.take(manager.CallListHosts), hostList(hostUp("m-2", "off")))
	l.requestWave(1, "m-1")
	l.step(100 * time.Millisecond)
	l.answer(l.take(manager.CallUpkeepHost), manager.Outcome{Verdict: manager.Refused, Refusal: manager.RefusedHostBusy})
	for range 2 {
		require.Empty(t, l.state.Wave(1).Removed)
		l.step(2 * time.Second)
		first := hostList(hostUp("m-2", "off"))
		first.NextPageToken = "2"
		l.answer(l.take(manager.CallListHosts), first)
		l.calls = slices.DeleteFunc(l.calls, func(c manager.Call) bool {
			if c.Kind == manager.CallUpkeepHost {
				l.manager.HandleOutcome(manager.Outcome{ID: c.ID, Verdict: manager.Refused, Refusal: manager.RefusedHostBusy}, l.now)
			}
			return c.Kind == manager.CallUpkeepHost
		})
		l.answer(l.take(manager.CallListHosts), hostList(hostUp("m-4", "off")))
		l.step(600 * time.Millisecond)
	}
	require.Equal(t, []string{"m-1"}, l.state.Wave(1).Removed)
	require.Zero(t, l.count(manager.CallUpkeepHost))
}

// Guards against a host that is moved away from its work because a listing which began
// before it left the standby pool arrives after it has begun to work.
func TestListingBeforeMoveTakesNoWorkingHostForStandby(t *testing.T) {
	l := newDirectLeader(t)
	l.step(time.Second)
	l.answer(l.take(manager.CallListHosts), hostList(hostUp("host-1", "off")))
	l.step(16 * time.Second)
	slow := l.take(manager.CallListHosts)
	l.submitWork(concludedJob, 3)
	l.answer(l.take(manager.CallMoveHost), manager.Outcome{Verdict: manager.OK})
	l.step(1500 * time.Millisecond)
	first := restartReport(5, 1)
	first.Capacity.MemoryMB = 1000
	l.report(first)
	l.answerHolds("i-1", 5)
	l.answer(l.take(manager.CallStart), manager.Outcome{Verdict: manager.OK})
	l.answer(slow, hostList(hostUp("host-1", "off")))
	l.step(time.Second)
	require.Zero(t, l.count(manager.CallMoveHost))
}

// Guards against a host that counts as away, and gets no work, because a listing which
// began during its upkeep arrives after its return.
func TestListingBeforeReturnTakesNoHostForAway(t *testing.T) {
	l := newDirectLeader(t)
	l.report(restartReport(5, 1))
	l.report(otherReport(1))
	l.answerHolds("i-1", 5)
	l.answerHolds("i-2", 3)
	l.startWave("host-1", "host-2")
	order := l.take(manager.CallUpkeepHost)
	require.Equal(t, "host-1", order.Host)
	l.answer(order, manager.Outcome{Verdict: manager.OK})
	l.step(2100 * time.Millisecond)
	slow := l.take(manager.CallListHosts)
	l.step(100 * time.Millisecond)
	l.report(successorReport(1))
	l.answerHolds("i-9", 900)
	l.answer(slow, hostList(manager.HostRow{Host: "host-1", Pool: "p", State: manager.HostInUpkeep}))
	l.submit(concludedJob)
	require.Equal(t, "i-9", l.take(manager.CallStart).Instance)
}

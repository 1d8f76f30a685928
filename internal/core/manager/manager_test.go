package manager_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
)

// yard is a world with two pools and a standby pool.
func yard(t *testing.T, seed uint64) *world {
	w := newWorld(t, seed)
	for range 6 {
		w.addHost("a")
		w.addHost("b")
	}
	for range 4 {
		w.addHost("off")
	}
	w.run(5 * time.Second)
	return w
}

// Guards against a path that does not serve a calm day.
func TestJobsComplete(t *testing.T) {
	w := yard(t, 1)
	var ids []string
	for range 10 {
		ids = append(ids, w.submit("/quotes/", batch(4, 500)))
	}
	w.run(5 * time.Second)
	for _, id := range ids {
		require.Equal(t, jobs.PhaseCompleted, w.phase(id))
	}
	w.check()
}

// Guards against a job that can never be done and is tried for ever, or shown as
// failed before its attempts are used.
func TestHopelessJobFails(t *testing.T) {
	w := yard(t, 2)
	spec := batch(3, 100)
	spec.Payload = "poison"
	id := w.submit("/quotes/", spec)
	w.run(4 * time.Second)
	require.Equal(t, jobs.PhaseFailed, w.phase(id))
	w.check()
}

// Guards against tasks that go on after their job is cancelled.
func TestCancelStopsRuns(t *testing.T) {
	w := yard(t, 3)
	id := w.submit("/quotes/", batch(4, 20_000))
	w.run(time.Second)
	w.cancel(id)
	w.run(time.Second)
	for _, e := range w.executors {
		require.Empty(t, e.runs)
	}
	w.check()
}

// Guards against a wave that is late, that takes more hosts at once than it may,
// or that ends lasting tasks of one step together.
func TestWaveFinishesInTime(t *testing.T) {
	w := yard(t, 4)
	w.submit("/stock/", lasting(5))
	w.submit("/stock/", lasting(4))
	w.run(3 * time.Second)
	var names []string
	for name := range w.hosts {
		names = append(names, name)
	}
	w.ask(manager.Request{Kind: manager.RequestStartWave, Wave: &jobs.Wave{ID: 1, Hosts: names, TimeLimit: 30_000, MaxParallel: 4}}, func(manager.Reply) {})
	w.run(30 * time.Second)
	require.True(t, w.st.Wave(1).IsComplete(), "%d of %d hosts", len(w.st.Wave(1).Begun), len(names))
	w.check()
}

// Guards against an executor that is silent for good and whose tasks count as
// running for ever: a lease that each unanswered call extends never ends.
func TestSilentExecutorLapses(t *testing.T) {
	w := yard(t, 5)
	id := w.submit("/quotes/", batch(4, 3000))
	w.run(time.Second)
	for _, e := range w.executors {
		if len(e.runs) > 0 {
			e.cut = true
		}
	}
	w.run(20 * time.Second)
	require.Equal(t, jobs.PhaseCompleted, w.phase(id))
	w.check()
}

// Guards against calls to an address that only a report of an unknown pool names.
func TestReportOfUnknownPoolIsIgnored(t *testing.T) {
	w := yard(t, 8)
	before := len(w.st.Executors())
	w.m.HandleReport(manager.Report{ID: "i-other", StartedAt: 1, Sequence: 1, Pool: "nowhere", Address: "addr"}, w.now)
	w.run(time.Second)
	require.Len(t, w.st.Executors(), before)
}

// Guards against a wave whose time starts anew with each leader, and is late.
func TestWaveKeepsItsTimeThroughAFailover(t *testing.T) {
	w := yard(t, 9)
	w.submit("/cuts/", batch(10, 20_000))
	w.run(time.Second)
	var names []string
	for name := range w.hosts {
		names = append(names, name)
	}
	w.ask(manager.Request{Kind: manager.RequestStartWave, Wave: &jobs.Wave{ID: 1, Hosts: names, TimeLimit: 18_000, MaxParallel: 4}}, func(manager.Reply) {})
	w.run(7 * time.Second)
	w.failover(time.Second)
	w.run(11 * time.Second)
	require.True(t, w.st.Wave(1).IsComplete(), "%d of %d hosts", len(w.st.Wave(1).Begun), len(names))
	w.check()
}

// Guards against an upkeep beyond the wave's limit: a report that was sent before
// a host went down for its upkeep is recorded after the order, and does not show
// that the host is back.
func TestEarlierReportDoesNotEndAnUpkeep(t *testing.T) {
	now := time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)
	st := jobs.New()
	require.Nil(t, st.Apply(jobs.Command{Configure: (&world{}).config(1)}))
	require.Nil(t, st.Apply(jobs.Command{StartWave: &jobs.Wave{ID: 1, Hosts: []string{"h1", "h2"}, TimeLimit: 30_000, MaxParallel: 1}}))
	m := manager.New(manager.Config{HasHostAPI: true, MaxLease: holdMax, HostLease: time.Second, UpkeepTime: upkeepTime, MoveTime: moveTime, ReportInterval: time.Second, Retention: time.Minute}, st, 1, now)
	upkeeps := 0
	step := func(d time.Duration) {
		now = now.Add(d)
		out := m.Step(now)
		for _, c := range out.Commands {
			m.HandleApplied(c, st.Apply(c), now)
		}
		for _, c := range out.Calls {
			o := manager.Outcome{ID: c.ID, Verdict: manager.OK, SentAt: now, AnsweredAt: now}
			switch c.Kind {
			case manager.CallListHosts:
				for _, name := range []string{"h1", "h2"} {
					o.Hosts = append(o.Hosts, manager.HostRow{Host: name, Pool: "a", State: manager.HostUp})
				}
			case manager.CallUpkeepHost:
				upkeeps++
			default:
				o.Verdict = manager.NoAnswer
			}
			m.HandleOutcome(o, now)
		}
	}
	for range 30 {
		step(50 * time.Millisecond)
	}
	require.Equal(t, 1, upkeeps)
	for _, name := range []string{"h1", "h2"} {
		m.HandleReport(manager.Report{ID: "i-" + name, StartedAt: 1, Sequence: 1, Host: name, Pool: "a", Address: name}, now)
	}
	for range 10 {
		step(50 * time.Millisecond)
	}
	require.Equal(t, 1, upkeeps)
}

// Guards against a new leader that does not count the hosts which its predecessor
// sent to their upkeep without a record of it.
func TestNewLeaderCountsHostsInUpkeep(t *testing.T) {
	// Without a standby pool idle hosts stay where a new leader may order them at
	// once.
	w := newWorld(t, 10)
	config := w.config(2)
	config.Pools = config.Pools[:2]
	require.Nil(t, w.st.Apply(jobs.Command{Configure: config}))
	for range 12 {
		w.addHost("a")
	}
	w.run(8 * time.Second)
	var names []string
	for name := range w.hosts {
		names = append(names, name)
	}
	w.ask(manager.Request{Kind: manager.RequestStartWave, Wave: &jobs.Wave{ID: 1, Hosts: names, TimeLimit: 60_000, MaxParallel: 2}}, func(manager.Reply) {})
	for range 12 {
		// The leader is lost as soon as it has sent a host away.
		for range 1000 {
			w.run(10 * time.Millisecond)
			if w.leading && w.hasHostInUpkeep() {
				break
			}
		}
		w.failover(100 * time.Millisecond)
		w.run(1500 * time.Millisecond)
	}
	w.check()
}

func (w *world) hasHostInUpkeep() bool {
	for _, h := range w.hosts {
		if h.state == manager.HostInUpkeep {
			return true
		}
	}
	return false
}

// Guards against tasks that fill and harm the ones that serve beside them, and
// against a pace that never rises again.
func TestPaceKeepsTailsBelowTheTarget(t *testing.T) {
	w := newWorld(t, 11)
	host := w.addHost("a")
	w.run(5 * time.Second)
	w.at(0, w.checkTails)
	w.submit("/stock/", &jobs.Spec{Payload: "lasting", Steps: []jobs.Step{
		{Count: 2, Demand: jobs.Resources{CPU: 3000, MemoryMB: 3000}, LongRunning: true, TailLatencyTarget: 100},
		{Count: 2, Demand: jobs.Resources{CPU: 8000, MemoryMB: 3000}, LongRunning: true, BestEffort: true},
	}})
	w.run(2 * time.Second)
	paces := func() (sum int) {
		for _, r := range host.executor.runs {
			if r.step.BestEffort {
				sum += r.pace
			}
		}
		return sum
	}
	require.Len(t, host.executor.runs, 4)
	require.Equal(t, 200, paces())
	host.executor.disturb = 90
	w.run(20 * time.Second)
	require.Less(t, paces(), 200)
	host.executor.disturb = 0
	w.run(15 * time.Second)
	require.Equal(t, 200, paces())
	w.check()
}

// Guards against starts that the advisor has not allowed, and against steps that
// wait for advice for ever.
func TestAdvisedStepsCarryTickets(t *testing.T) {
	w := yard(t, 6)
	spec := batch(6, 400)
	spec.Payload = "advised"
	id := w.submit("/advised/", spec)
	w.run(6 * time.Second)
	require.Equal(t, jobs.PhaseCompleted, w.phase(id))
	w.check()
}

// Guards against a gang whose members are not placed together.
func TestGangStartsTogether(t *testing.T) {
	w := yard(t, 7)
	spec := &jobs.Spec{Payload: "job", Steps: []jobs.Step{{Count: 5, Gang: true, Demand: jobs.Resources{CPU: 10_000, MemoryMB: 1000}, Estimate: 500}}}
	id := w.submit("/cuts/", spec)
	w.run(200 * time.Millisecond)
	started := 0
	for _, e := range w.executors {
		started += len(e.runs)
	}
	require.Contains(t, []int{0, 5}, started)
	w.run(6 * time.Second)
	require.Equal(t, jobs.PhaseCompleted, w.phase(id))
	w.check()
}

// Guards against tasks that run twice, start out of order or stay undone when
// executors crash, hang, are cut off and born again, orders are carried out late
// and leaders change. RANDOM_DAYS sets the number of days.
func TestRandomDays(t *testing.T) {
	seeds := 150
	if testing.Short() {
		seeds = 10
	}
	if more, err := strconv.Atoi(os.Getenv("RANDOM_DAYS")); err == nil {
		seeds = more
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			randomDay(t, seed+1000)
		})
	}
}

func randomDay(t *testing.T, seed uint64) {
	w := yard(t, seed)
	if w.rng.IntN(2) == 0 {
		w.lateShare = 0.05
	}
	var ids []string
	for range 15 {
		ids = append(ids, w.submit("/quotes/", batch(1+w.rng.IntN(6), int64(100+w.rng.IntN(1500)))))
		if w.rng.IntN(4) == 0 {
			ids = append(ids, w.submit("/stock/", lasting(3)))
		}
		w.trouble()
		w.run(time.Duration(w.rng.IntN(2000)) * time.Millisecond)
		if w.rng.IntN(6) == 0 {
			w.cancel(ids[w.rng.IntN(len(ids))])
		}
	}
	w.lateShare = 0
	w.heal()
	w.run(40 * time.Second)
	for _, id := range ids {
		if w.truth[id].spec.Payload == "job" && w.phase(id) != jobs.PhaseCancelled {
			if w.phase(id) != jobs.PhaseCompleted {
				w.fail("LOST job %s is in phase %d: %+v", id, w.phase(id), w.st.Job(id))
			}
		}
	}
	w.checkRest(ids)
	w.check()
}

// checkRest looks, after a calm time, for runs and lives that the records keep
// although they have ended.
func (w *world) checkRest(ids []string) {
	for _, id := range ids {
		if j := w.st.Job(id); j != nil && j.Phase.IsFinal() && j.LiveRuns > 0 {
			w.fail("the records keep %d runs of job %s, which is over", j.LiveRuns, id)
		}
	}
	for _, rec := range w.st.Executors() {
		if e := w.byAddress(rec.Address); e == nil || e.id != rec.ID || e.born != rec.StartedAt {
			w.fail("the records keep the life %d of %s, which is over", rec.Number, rec.ID)
		}
	}
}

// trouble harms something.
func (w *world) trouble() {
	list := w.hosts[fmt.Sprintf("host-%03d", w.rng.IntN(12))]
	e := list.executor
	switch w.rng.IntN(7) {
	case 0:
		w.failover(time.Duration(500+w.rng.IntN(1500)) * time.Millisecond)
	case 1:
		if e != nil {
			e.reboot()
		}
	case 2:
		if e != nil {
			e.cut = true
			w.at(time.Duration(w.rng.IntN(12_000))*time.Millisecond, func() { e.cut = false })
		}
	case 3:
		if e != nil {
			e.kill()
			w.at(time.Duration(w.rng.IntN(8_000))*time.Millisecond, func() {
				if e.host.executor == e {
					e.reboot()
				}
			})
		}
	case 4:
		if e != nil {
			e.grey = "hang"
			w.at(time.Duration(w.rng.IntN(4_000))*time.Millisecond, func() { e.grey = "" })
		}
	default:
	}
}

// heal ends all troubles.
func (w *world) heal() {
	for n := range len(w.hosts) {
		h := w.hosts[fmt.Sprintf("host-%03d", n)]
		if e := h.executor; e != nil {
			e.cut, e.grey = false, ""
			if !e.up {
				e.reboot()
			}
		}
	}
}

// Guards against an executor that is left alone without a line that says so.
func TestDistrustIsNoted(t *testing.T) {
	w := yard(t, 11)
	w.submit("/quotes/", batch(4, 3000))
	w.run(2500 * time.Millisecond)
	for _, e := range w.executors {
		e.grey = "fail"
	}
	for range 6 {
		w.submit("/quotes/", batch(4, 100))
	}
	w.run(3 * time.Second)
	require.True(t, slices.ContainsFunc(w.trace, func(line string) bool { return strings.Contains(line, "it fails what it starts") }))
}

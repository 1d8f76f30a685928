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

// newSmallFleet returns a simulation with two pools and a standby pool.
func newSmallFleet(t *testing.T, seed uint64) *simulation {
	s := newSimulation(t, seed)
	for range 6 {
		s.addHost("a")
		s.addHost("b")
	}
	for range 4 {
		s.addHost("off")
	}
	s.advance(5 * time.Second)
	return s
}

// Guards against jobs that do not complete although nothing fails.
func TestJobsComplete(t *testing.T) {
	s := newSmallFleet(t, 1)
	var ids []string
	for range 10 {
		ids = append(ids, s.submit("/quotes/", batchSpec(4, 500)))
	}
	s.advance(5 * time.Second)
	for _, id := range ids {
		require.Equal(t, jobs.PhaseCompleted, s.phase(id))
	}
	s.requireNoViolations()
}

// Guards against a job that can never succeed and is retried forever, or fails
// before its attempts are used up.
func TestJobFailsAfterMaxAttempts(t *testing.T) {
	s := newSmallFleet(t, 2)
	spec := batchSpec(3, 100)
	spec.Payload = "poison"
	id := s.submit("/quotes/", spec)
	s.advance(4 * time.Second)
	require.Equal(t, jobs.PhaseFailed, s.phase(id))
	s.requireNoViolations()
}

// Guards against runs that continue after their job is cancelled.
func TestCancelStopsRuns(t *testing.T) {
	s := newSmallFleet(t, 3)
	id := s.submit("/quotes/", batchSpec(4, 20_000))
	s.advance(time.Second)
	s.cancel(id)
	s.advance(time.Second)
	for _, e := range s.executors {
		require.Empty(t, e.runs)
	}
	s.requireNoViolations()
}

// Guards against a wave that exceeds its time limit, takes more hosts at once
// than it may, or ends several long-running tasks of one step together.
func TestWaveFinishesInTime(t *testing.T) {
	s := newSmallFleet(t, 4)
	s.submit("/stock/", longRunningSpec(5))
	s.submit("/stock/", longRunningSpec(4))
	s.advance(3 * time.Second)
	var names []string
	for name := range s.hosts {
		names = append(names, name)
	}
	s.request(manager.Request{Kind: manager.RequestStartWave, Wave: &jobs.Wave{ID: 1, Hosts: names, TimeLimit: 30_000, MaxParallel: 4}}, func(manager.Reply) {})
	s.advance(30 * time.Second)
	require.True(t, s.state.Wave(1).IsComplete(), "%d of %d hosts", len(s.state.Wave(1).Begun), len(names))
	s.requireNoViolations()
}

// Guards against tasks that count as running forever after their executor has
// become silent: a lease that each unanswered call extends never expires.
func TestSilentExecutorLeaseExpires(t *testing.T) {
	s := newSmallFleet(t, 5)
	id := s.submit("/quotes/", batchSpec(4, 3000))
	s.advance(time.Second)
	for _, e := range s.executors {
		if len(e.runs) > 0 {
			e.partitioned = true
		}
	}
	s.advance(20 * time.Second)
	require.Equal(t, jobs.PhaseCompleted, s.phase(id))
	s.requireNoViolations()
}

// Guards against calls to an address that only a report of an unknown pool
// contains.
func TestReportOfUnknownPoolIsIgnored(t *testing.T) {
	s := newSmallFleet(t, 8)
	before := len(s.state.Executors())
	s.manager.HandleReport(manager.Report{ID: "i-other", StartedAt: 1, Sequence: 1, Pool: "nowhere", Address: "addr"}, s.now)
	s.advance(time.Second)
	require.Len(t, s.state.Executors(), before)
}

// Guards against a wave whose time limit starts anew with each leader, so that
// the wave is late.
func TestWaveKeepsTimeLimitAfterFailover(t *testing.T) {
	s := newSmallFleet(t, 9)
	s.submit("/cuts/", batchSpec(10, 20_000))
	s.advance(time.Second)
	var names []string
	for name := range s.hosts {
		names = append(names, name)
	}
	s.request(manager.Request{Kind: manager.RequestStartWave, Wave: &jobs.Wave{ID: 1, Hosts: names, TimeLimit: 18_000, MaxParallel: 4}}, func(manager.Reply) {})
	s.advance(7 * time.Second)
	s.failover(time.Second)
	s.advance(11 * time.Second)
	require.True(t, s.state.Wave(1).IsComplete(), "%d of %d hosts", len(s.state.Wave(1).Begun), len(names))
	s.requireNoViolations()
}

// hostsOf counts the hosts that serve a pool or are moving to it.
func (s *simulation) hostsOf(pool string) int {
	count := 0
	for _, h := range s.hosts {
		if h.pool == pool {
			count++
		}
	}
	return count
}

// Guards against a rise of demand that meets a change of leader and gets no host for
// the whole time in which orders of the earlier leader could be under way, although
// that leader had not ordered the hosts for long.
func TestNewLeaderMovesHostsWithoutRecentOrders(t *testing.T) {
	s := newSmallFleet(t, 11)
	s.advance(10 * time.Second)
	before := s.hostsOf("a")
	s.failover(500 * time.Millisecond)
	s.advance(600 * time.Millisecond)
	for range 20 {
		s.submit("/quotes/", batchSpec(8, 2000))
	}
	s.advance(time.Second)
	require.Greater(t, s.hostsOf("a"), before+3)
	s.requireNoViolations()
}

// Guards against orders of two leaders for one host within the lease time: hosts that
// the earlier leader had just ordered must wait.
func TestNewLeaderWaitsForHostsWithRecentOrders(t *testing.T) {
	for seed := range uint64(20) {
		s := newSmallFleet(t, 100+seed)
		for i := range 6 {
			for range 10 {
				s.submit([]string{"/quotes/", "/cuts/"}[i%2], batchSpec(8, 800))
			}
			s.advance(time.Duration(1000+100*seed) * time.Millisecond)
			s.failover(300 * time.Millisecond)
		}
		s.advance(10 * time.Second)
		s.requireNoViolations()
	}
}

// Guards against upkeep beyond the wave's limit: a report that was sent before
// a host went down for its upkeep is recorded after the order and does not show
// that the host is back.
func TestEarlierReportDoesNotEndUpkeep(t *testing.T) {
	now := time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)
	state := jobs.New()
	require.Nil(t, state.Apply(jobs.Command{Configure: (&simulation{}).jobsConfig(1)}))
	require.Nil(t, state.Apply(jobs.Command{StartWave: &jobs.Wave{ID: 1, Hosts: []string{"h1", "h2"}, TimeLimit: 30_000, MaxParallel: 1}}))
	m := manager.New(manager.Config{HasHostAPI: true, MaxLease: maxLease, HostLease: time.Second, UpkeepTime: upkeepTime, MoveTime: moveTime, ReportInterval: time.Second, Retention: time.Minute}, state, 1, now)
	upkeeps := 0
	step := func(d time.Duration) {
		now = now.Add(d)
		out := m.Step(now)
		for _, c := range out.Commands {
			m.HandleApplied(c, state.Apply(c), now)
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

// Guards against a new leader that does not count the hosts that its
// predecessor ordered to their upkeep without recording it.
func TestNewLeaderCountsHostsInUpkeep(t *testing.T) {
	// Without a standby pool idle hosts stay where a new leader may give orders
	// for them at once.
	s := newSimulation(t, 10)
	config := s.jobsConfig(2)
	config.Pools = config.Pools[:2]
	require.Nil(t, s.state.Apply(jobs.Command{Configure: config}))
	for range 12 {
		s.addHost("a")
	}
	s.advance(8 * time.Second)
	var names []string
	for name := range s.hosts {
		names = append(names, name)
	}
	s.request(manager.Request{Kind: manager.RequestStartWave, Wave: &jobs.Wave{ID: 1, Hosts: names, TimeLimit: 60_000, MaxParallel: 2}}, func(manager.Reply) {})
	for range 12 {
		// The leader is lost as soon as a host has begun its upkeep.
		for range 1000 {
			s.advance(10 * time.Millisecond)
			if s.leading && s.hasHostInUpkeep() {
				break
			}
		}
		s.failover(100 * time.Millisecond)
		s.advance(1500 * time.Millisecond)
	}
	s.requireNoViolations()
}

func (s *simulation) hasHostInUpkeep() bool {
	for _, h := range s.hosts {
		if h.state == manager.HostInUpkeep {
			return true
		}
	}
	return false
}

// Guards against best-effort tasks that slow down the serving tasks beside
// them, and against a pace that never rises again.
func TestPaceKeepsTailLatencyBelowTarget(t *testing.T) {
	s := newSimulation(t, 11)
	host := s.addHost("a")
	s.advance(5 * time.Second)
	s.schedule(0, s.checkTails)
	s.submit("/stock/", &jobs.Spec{Payload: "long-running", Steps: []jobs.Step{
		{Count: 2, Demand: jobs.Resources{CPU: 3000, MemoryMB: 3000}, LongRunning: true, TailLatencyTarget: 100},
		{Count: 2, Demand: jobs.Resources{CPU: 8000, MemoryMB: 3000}, LongRunning: true, BestEffort: true},
	}})
	s.advance(2 * time.Second)
	totalPace := func() (sum int) {
		for _, r := range host.executor.runs {
			if r.step.BestEffort {
				sum += r.pace
			}
		}
		return sum
	}
	require.Len(t, host.executor.runs, 4)
	require.Equal(t, 200, totalPace())
	host.executor.interference = 90
	s.advance(20 * time.Second)
	require.Less(t, totalPace(), 200)
	host.executor.interference = 0
	s.advance(15 * time.Second)
	require.Equal(t, 200, totalPace())
	s.requireNoViolations()
}

// Guards against starts that the advisor has not allowed, and against steps
// that wait for advice forever.
func TestAdvisedStartsCarryTickets(t *testing.T) {
	s := newSmallFleet(t, 6)
	spec := batchSpec(6, 400)
	spec.Payload = "advised"
	id := s.submit("/advised/", spec)
	s.advance(6 * time.Second)
	require.Equal(t, jobs.PhaseCompleted, s.phase(id))
	s.requireNoViolations()
}

// Guards against a gang of which only some members are started.
func TestGangStartsTogether(t *testing.T) {
	s := newSmallFleet(t, 7)
	spec := &jobs.Spec{Payload: "job", Steps: []jobs.Step{{Count: 5, Gang: true, Demand: jobs.Resources{CPU: 10_000, MemoryMB: 1000}, Estimate: 500}}}
	id := s.submit("/cuts/", spec)
	s.advance(200 * time.Millisecond)
	started := 0
	for _, e := range s.executors {
		started += len(e.runs)
	}
	require.Contains(t, []int{0, 5}, started)
	s.advance(6 * time.Second)
	require.Equal(t, jobs.PhaseCompleted, s.phase(id))
	s.requireNoViolations()
}

// Guards against tasks that run twice, start out of order or are never
// completed when executors crash, hang, are partitioned and restart, orders are
// carried out late and leaders change. A day is a random history;
// RANDOM_DAYS sets their number.
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
			runRandomDay(t, seed+1000)
		})
	}
}

func runRandomDay(t *testing.T, seed uint64) {
	s := newSmallFleet(t, seed)
	if s.rng.IntN(2) == 0 {
		s.lateOrderShare = 0.05
	}
	var ids []string
	for range 15 {
		ids = append(ids, s.submit("/quotes/", batchSpec(1+s.rng.IntN(6), int64(100+s.rng.IntN(1500)))))
		if s.rng.IntN(4) == 0 {
			ids = append(ids, s.submit("/stock/", longRunningSpec(3)))
		}
		s.injectFault()
		s.advance(time.Duration(s.rng.IntN(2000)) * time.Millisecond)
		if s.rng.IntN(6) == 0 {
			s.cancel(ids[s.rng.IntN(len(ids))])
		}
	}
	s.lateOrderShare = 0
	s.clearFaults()
	s.advance(40 * time.Second)
	for _, id := range ids {
		if s.jobs[id].spec.Payload == "job" && s.phase(id) != jobs.PhaseCancelled {
			if s.phase(id) != jobs.PhaseCompleted {
				s.violate("lost job: %s is in phase %d: %+v", id, s.phase(id), s.state.Job(id))
			}
		}
	}
	s.checkLeftovers(ids)
	s.requireNoViolations()
}

// checkLeftovers checks, after a time without faults, that the records hold no
// runs or executor incarnations that have ended.
func (s *simulation) checkLeftovers(ids []string) {
	for _, id := range ids {
		if j := s.state.Job(id); j != nil && j.Phase.IsFinal() && j.LiveRuns > 0 {
			s.violate("the records keep %d runs of the ended job %s", j.LiveRuns, id)
		}
	}
	for _, rec := range s.state.Executors() {
		if e := s.executorAt(rec.Address); e == nil || e.id != rec.ID || e.startedAt != rec.StartedAt {
			s.violate("the records keep the ended incarnation %d of %s", rec.Number, rec.ID)
		}
	}
}

// injectFault injects a random fault into a random host or the leader.
func (s *simulation) injectFault() {
	host := s.hosts[fmt.Sprintf("host-%03d", s.rng.IntN(12))]
	e := host.executor
	switch s.rng.IntN(7) {
	case 0:
		s.failover(time.Duration(500+s.rng.IntN(1500)) * time.Millisecond)
	case 1:
		if e != nil {
			e.restart()
		}
	case 2:
		if e != nil {
			e.partitioned = true
			s.schedule(time.Duration(s.rng.IntN(12_000))*time.Millisecond, func() { e.partitioned = false })
		}
	case 3:
		if e != nil {
			e.kill()
			s.schedule(time.Duration(s.rng.IntN(8_000))*time.Millisecond, func() {
				if e.host.executor == e {
					e.restart()
				}
			})
		}
	case 4:
		if e != nil {
			e.failureMode = "hang"
			s.schedule(time.Duration(s.rng.IntN(4_000))*time.Millisecond, func() { e.failureMode = "" })
		}
	default:
	}
}

// clearFaults ends all faults.
func (s *simulation) clearFaults() {
	for n := range len(s.hosts) {
		h := s.hosts[fmt.Sprintf("host-%03d", n)]
		if e := h.executor; e != nil {
			e.partitioned, e.failureMode = false, ""
			if !e.up {
				e.restart()
			}
		}
	}
}

// Guards against an executor that is distrusted without a logged event.
func TestDistrustIsLogged(t *testing.T) {
	s := newSmallFleet(t, 11)
	s.submit("/quotes/", batchSpec(4, 3000))
	s.advance(2500 * time.Millisecond)
	for _, e := range s.executors {
		e.failureMode = "fail"
	}
	for range 6 {
		s.submit("/quotes/", batchSpec(4, 100))
	}
	s.advance(3 * time.Second)
	require.True(t, slices.ContainsFunc(s.trace, func(line string) bool { return strings.Contains(line, "runs of different jobs failed in a row") }))
}

package manager_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
)

// givingUpTime is the time within which a job with a deadly task must be shown as
// failed while nothing else happens.
const givingUpTime = 60 * time.Second

// harmlessDelay is the longest time from a start to its crash for which no other
// job may be shown as failed.
const harmlessDelay = 150 * time.Millisecond

// newCrashFleet returns a simulation with two pools of the given numbers of hosts and
// without a standby pool, so that idle hosts stay where they are.
func newCrashFleet(t *testing.T, seed uint64, hostsA, hostsB int) *simulation {
	s := newSimulation(t, seed)
	config := s.jobsConfig(2)
	config.Pools = config.Pools[:2]
	require.Nil(t, s.state.Apply(jobs.Command{Configure: config}))
	for range hostsA {
		s.addHost("a")
	}
	for range hostsB {
		s.addHost("b")
	}
	s.advance(5 * time.Second)
	return s
}

// submitHealthy submits jobs without a deadly task over the given time.
func (s *simulation) submitHealthy(length time.Duration) []string {
	var ids []string
	for end := s.now.Add(length); s.now.Before(end); {
		ids = append(ids, s.submit("/quotes/", batchSpec(4, int64(200+s.faults.IntN(1300)))))
		s.advance(time.Duration(300+s.faults.IntN(400)) * time.Millisecond)
	}
	return ids
}

// requireCompleted requires that the jobs are completed. With isHarmless unset, a
// job may also be shown as failed if two executors crashed under one of its tasks.
func (s *simulation) requireCompleted(ids []string, isHarmless bool) {
	s.t.Helper()
	s.checkFailedJobs(ids, isHarmless)
	for _, id := range ids {
		if phase := s.phase(id); phase != jobs.PhaseCompleted && (isHarmless || phase != jobs.PhaseFailed) {
			s.violate("lost job: %s is in phase %d", id, phase)
		}
	}
}

// requireGivenUp requires that a job with a deadly task is shown as failed, logs the
// number of executors that the task crashed, and compares it with the limit. Where
// executors never return, the job may stay as it is, because a silent executor may only
// have been cut off: the task must not be started again all the same.
func (s *simulation) requireGivenUp(id string, limit int) {
	s.t.Helper()
	s.checkFailedJobs([]string{id}, false)
	crashes := s.crashesOf(id)
	s.t.Logf("the deadly task with a delay of %s crashed %d executors, its job is in phase %d", s.jobs[id].deadly.delay, crashes, s.phase(id))
	returns := slices.ContainsFunc(s.crashReturns, func(r crashReturn) bool { return r != returnNever })
	if phase := s.phase(id); phase != jobs.PhaseFailed && (returns || phase != jobs.PhaseRunning) {
		s.violate("given up: the job %s with a deadly task is in phase %d", id, phase)
	}
	if crashes > limit {
		s.violate("given up: the deadly task of %s crashed %d executors", id, crashes)
	}
}

// maxCalmCrashes is the largest number of executors that one deadly task may crash
// while leaders stay: the platform allows two starts after the third crash.
const maxCalmCrashes = 5

var crashDelays = []time.Duration{0, 10 * time.Millisecond, 150 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second}

func forEachCrashDelay(t *testing.T, run func(t *testing.T, seed uint64, delay time.Duration, returns crashReturn)) {
	for i, delay := range crashDelays {
		for returns := returnWithNewID; returns <= returnNever; returns++ {
			t.Run(fmt.Sprintf("%s/return-%d", delay, returns), func(t *testing.T) {
				run(t, uint64(100+10*i)+uint64(returns), delay, returns)
			})
		}
	}
}

// Guards against a task that crashes one executor after the other, and against
// healthy jobs that are shown as failed because they ran beside it.
func TestDeadlyTaskIsGivenUp(t *testing.T) {
	forEachCrashDelay(t, func(t *testing.T, seed uint64, delay time.Duration, returns crashReturn) {
		s := newCrashFleet(t, seed, 12, 0)
		s.crashReturns = []crashReturn{returns}
		ids := s.submitHealthy(time.Second)
		deadly := s.submitDeadly("/quotes/", batchSpec(4, 4000), deadlyTask{index: 2, delay: delay})
		ids = append(ids, s.submitHealthy(15*time.Second)...)
		s.advance(givingUpTime - 15*time.Second)
		s.requireGivenUp(deadly, maxCalmCrashes)
		s.requireCompleted(ids, delay <= harmlessDelay)
		s.requireNoViolations()
	})
}

// Guards against several deadly tasks at once that hide each other.
func TestSeveralDeadlyTasksAreGivenUp(t *testing.T) {
	forEachCrashDelay(t, func(t *testing.T, seed uint64, delay time.Duration, returns crashReturn) {
		s := newCrashFleet(t, seed, 16, 0)
		s.crashReturns = []crashReturn{returns}
		ids := s.submitHealthy(time.Second)
		var deadly []string
		for i := range 3 {
			deadly = append(deadly, s.submitDeadly("/quotes/", batchSpec(2, 4000), deadlyTask{index: i % 2, delay: delay}))
		}
		ids = append(ids, s.submitHealthy(10*time.Second)...)
		s.advance(givingUpTime - 10*time.Second)
		for _, id := range deadly {
			s.requireGivenUp(id, maxCalmCrashes)
		}
		s.requireCompleted(ids, delay <= harmlessDelay)
		s.requireNoViolations()
	})
}

// Guards against a deadly task that is only recognized in the first step of a job.
func TestDeadlyTaskOfSecondStepIsGivenUp(t *testing.T) {
	forEachCrashDelay(t, func(t *testing.T, seed uint64, delay time.Duration, returns crashReturn) {
		s := newCrashFleet(t, seed, 12, 0)
		s.crashReturns = []crashReturn{returns}
		deadly := s.submitDeadly("/quotes/", batchSpec(3, 2500), deadlyTask{step: 1, index: 1, delay: delay})
		ids := s.submitHealthy(10 * time.Second)
		s.advance(givingUpTime - 10*time.Second)
		s.requireGivenUp(deadly, maxCalmCrashes)
		s.requireCompleted(ids, delay <= harmlessDelay)
		s.requireNoViolations()
	})
}

// Guards against a deadly long-running task that is started for ever because such
// tasks have no limit of failed runs, and against stops of the other tasks of its job.
func TestDeadlyLongRunningTaskIsGivenUp(t *testing.T) {
	forEachCrashDelay(t, func(t *testing.T, seed uint64, delay time.Duration, returns crashReturn) {
		s := newCrashFleet(t, seed, 12, 0)
		s.crashReturns = []crashReturn{returns}
		healthy := s.submit("/stock/", longRunningSpec(4))
		s.advance(2 * time.Second)
		deadly := s.submitDeadly("/stock/", longRunningSpec(3), deadlyTask{index: 1, delay: delay})
		ids := s.submitHealthy(10 * time.Second)
		s.advance(givingUpTime - 10*time.Second)
		s.requireLeftOut(deadly, maxCalmCrashes)
		s.requireCompleted(ids, delay <= harmlessDelay)
		s.checkFailedJobs([]string{healthy}, delay <= harmlessDelay)
		if s.phase(healthy) == jobs.PhaseRunning {
			s.requireRunning(healthy, 4)
		}
		s.requireNoViolations()
	})
}

// requireLeftOut requires that the job with a deadly long-running task goes on without
// it, and compares the number of executors that the task crashed with the limit.
func (s *simulation) requireLeftOut(id string, limit int) {
	s.t.Helper()
	crashes := s.crashesOf(id)
	s.t.Logf("the deadly task with a delay of %s crashed %d executors, its job is in phase %d", s.jobs[id].deadly.delay, crashes, s.phase(id))
	if crashes > limit {
		s.violate("left out: the deadly task of %s crashed %d executors", id, crashes)
	}
	if phase := s.phase(id); phase != jobs.PhaseRunning {
		s.violate("left out: the job %s with a deadly task is in phase %d", id, phase)
		return
	}
	s.requireRunning(id, s.jobs[id].spec.Steps[0].Count-1)
}

// requireRunning requires that all tasks of the first step of a job run.
func (s *simulation) requireRunning(id string, count int) {
	running := 0
	for _, e := range s.executors {
		for ref, r := range e.runs {
			if e.up && ref.Job == id && !r.stopped {
				running++
			}
		}
	}
	if running != count {
		s.violate("lost job: %d of %d long-running tasks of %s run", running, count, id)
	}
}

// Guards against a deadly member of a gang that takes the executors of its gang with
// it again and again.
func TestDeadlyGangMemberIsGivenUp(t *testing.T) {
	forEachCrashDelay(t, func(t *testing.T, seed uint64, delay time.Duration, returns crashReturn) {
		s := newCrashFleet(t, seed, 12, 0)
		s.crashReturns = []crashReturn{returns}
		gang := func() *jobs.Spec {
			return &jobs.Spec{Payload: "job", Steps: []jobs.Step{{Count: 4, Gang: true, Demand: jobs.Resources{CPU: 10_000, MemoryMB: 3000}, Estimate: 3000}}}
		}
		deadly := s.submitDeadly("/quotes/", gang(), deadlyTask{index: 3, delay: delay})
		ids := []string{s.submit("/quotes/", gang())}
		ids = append(ids, s.submitHealthy(10*time.Second)...)
		s.advance(givingUpTime - 10*time.Second)
		s.requireGivenUp(deadly, maxCalmCrashes)
		s.requireCompleted(ids, delay <= harmlessDelay)
		s.requireNoViolations()
	})
}

// Guards against a leader that starts a deadly task anew because only its
// predecessor knew of the crashes.
func TestDeadlyTaskIsGivenUpDespiteFailovers(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newCrashFleet(t, 200+seed, 12, 0)
			delay := crashDelays[s.faults.IntN(len(crashDelays))]
			s.crashReturns = []crashReturn{returnWithNewID, returnWithSameID, returnAfterLease}
			deadly := s.submitDeadly("/quotes/", batchSpec(4, 4000), deadlyTask{index: 1, delay: delay})
			failovers := 0
			s.onStart = func(c manager.Call) {
				if failovers < 8 && s.jobs[c.Task.Job].isDeadly(c.Task) && s.faults.IntN(2) == 0 {
					failovers++
					s.schedule(time.Duration(s.faults.IntN(30))*time.Millisecond, func() { s.failover(time.Duration(100+s.faults.IntN(900)) * time.Millisecond) })
				}
			}
			var ids []string
			for range 10 {
				ids = append(ids, s.submitHealthy(2*time.Second)...)
				if s.faults.IntN(3) == 0 {
					failovers++
					s.failover(time.Duration(100+s.faults.IntN(900)) * time.Millisecond)
				}
			}
			s.onStart = nil
			s.advance(givingUpTime)
			// A start whose leader is gone does not count, so each failover may add one.
			s.requireGivenUp(deadly, maxCalmCrashes+failovers)
			s.requireCompleted(ids, delay <= harmlessDelay)
			s.requireNoViolations()
		})
	}
}

// Guards against healthy jobs that are given up, and a pool that stands still,
// because whole racks crash under them.
func TestRackCrashesFailNoHealthyJob(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newCrashFleet(t, 300+seed, 12, 0)
			s.crashReturns = []crashReturn{crashReturn(seed % 4)}
			// 60 tasks of one step, and a long-running job.
			service := s.submit("/stock/", longRunningSpec(6))
			s.advance(time.Second)
			quick := func() string {
				return s.submit("/quotes/", &jobs.Spec{Payload: "job", Steps: []jobs.Step{{Count: 60, Demand: jobs.Resources{CPU: 3000, MemoryMB: 3000}, Estimate: 500}}})
			}
			ids := []string{quick(), quick()}
			s.advance(time.Duration(50+s.faults.IntN(400)) * time.Millisecond)
			s.crashRack("r0")
			// The runs of the first rack are lost at the latest when their lease has
			// expired. Most of them have begun again by then.
			pause := []time.Duration{500 * time.Millisecond, 4 * time.Second, 6500 * time.Millisecond}[seed/4%3]
			s.advance(pause)
			ids = append(ids, quick())
			s.advance(300 * time.Millisecond)
			s.crashRack("r1")
			ids = append(ids, quick())
			// The work of four jobs of 60 tasks of 0.5 s, if every task has a host for
			// itself and 4 of the 12 hosts are left: 30 s. Before that, the leases of
			// the lost runs expire, on a clock that may be 2% slow.
			s.advance(maxLease*100/98 + 30*time.Second)
			s.requireCompleted(ids, true)
			s.checkFailedJobs([]string{service}, true)
			s.requireRunning(service, 6)
			// The pool is as fast as before: 60 tasks of 0.5 s on at least 4 hosts of 10
			// such tasks each take two rounds.
			last := quick()
			s.advance(1500 * time.Millisecond)
			s.requireCompleted([]string{last}, true)
			s.requireNoViolations()
		})
	}
}

// Guards against tasks that run twice, are lost, crash too many executors or exceed
// the capacity of an executor when tasks crash executors and capacities change among
// the faults of the other random days. RANDOM_DAYS sets the number of days.
func TestRandomCrashDays(t *testing.T) {
	seeds := 100
	if testing.Short() {
		seeds = 10
	}
	if more, err := strconv.Atoi(os.Getenv("RANDOM_DAYS")); err == nil {
		seeds = more
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runRandomCrashDay(t, seed+1000)
		})
	}
}

func runRandomCrashDay(t *testing.T, seed uint64) {
	s := newSmallFleet(t, seed)
	if s.faults.IntN(2) == 0 {
		s.lateOrderShare = 0.05
	}
	if s.faults.IntN(2) == 0 {
		s.stopGuarding("a")
	}
	s.crashReturns = []crashReturn{returnWithNewID, returnWithSameID, returnAfterLease, returnNever}
	isHarmless := true
	var ids, deadly []string
	for range 15 {
		ids = append(ids, s.submit("/quotes/", batchSpec(1+s.faults.IntN(6), int64(100+s.faults.IntN(1500)))))
		if s.faults.IntN(4) == 0 {
			ids = append(ids, s.submit("/stock/", longRunningSpec(3)))
		}
		if s.faults.IntN(6) == 0 {
			task := s.randomDeadlyTask()
			isHarmless = isHarmless && task.delay <= harmlessDelay
			deadly = append(deadly, s.submitDeadly("/quotes/", batchSpec(3, 2500), task))
		}
		if s.faults.IntN(3) == 0 {
			s.injectFault()
		}
		for range s.faults.IntN(3) {
			if e := s.hosts[fmt.Sprintf("host-%03d", s.faults.IntN(16))].executor; e != nil {
				e.shrinkOrGrow()
			}
		}
		if s.faults.IntN(20) == 0 {
			// A healthy task may be on both racks that crash, so that its job may be
			// shown as failed.
			isHarmless = false
			s.crashRack(fmt.Sprintf("r%d", s.faults.IntN(4)))
		}
		s.advance(time.Duration(s.faults.IntN(2000)) * time.Millisecond)
		if s.faults.IntN(6) == 0 {
			s.cancel(ids[s.faults.IntN(len(ids))])
		}
	}
	s.lateOrderShare = 0
	s.clearFaults()
	for _, h := range s.sortedHosts() {
		if e := h.executor; e != nil && e.capacity != fullCapacity {
			e.shrinkOrGrow()
		}
	}
	s.crashReturns = []crashReturn{returnWithNewID, returnWithSameID}
	s.advance(givingUpTime)
	s.clearFaults()
	s.advance(30 * time.Second)
	s.checkFailedJobs(ids, isHarmless)
	for _, id := range ids {
		if phase := s.phase(id); s.jobs[id].spec.Payload == "job" && phase != jobs.PhaseCancelled && phase != jobs.PhaseCompleted && phase != jobs.PhaseFailed {
			s.violate("lost job: %s is in phase %d: %+v", id, phase, s.state.Job(id))
		}
	}
	for _, id := range deadly {
		t.Logf("a deadly task with a delay of %s crashed %d executors", s.jobs[id].deadly.delay, s.crashesOf(id))
		if s.phase(id) != jobs.PhaseFailed {
			s.violate("given up: the job %s with a deadly task is in phase %d", id, s.phase(id))
		}
	}
	s.checkFailedJobs(deadly, false)
	s.checkLeftovers(ids)
	s.requireNoViolations()
}

// randomDeadlyTask returns a deadly task of a job of two steps of three tasks. Most
// crash their executors after 10 ms.
func (s *simulation) randomDeadlyTask() deadlyTask {
	d := deadlyTask{step: s.faults.IntN(2), index: s.faults.IntN(3), delay: 10 * time.Millisecond}
	if s.faults.IntN(3) == 0 {
		d.delay = crashDelays[s.faults.IntN(len(crashDelays))]
	}
	return d
}

// Guards against a healthy job that is shown as failed because its executors are cut off
// again and again soon after its tasks have started: none of them crashes.
func TestPartitionsFailNoHealthyJob(t *testing.T) {
	for _, spec := range []*jobs.Spec{batchSpec(2, 2000), longRunningSpec(2)} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%s/%d", spec.Payload, seed), func(t *testing.T) {
				s := newCrashFleet(t, 800+seed, 12, 0)
				partitions := 0
				s.onStart = func(c manager.Call) {
					e := s.executorAt(c.Address)
					if e == nil || e.partitioned || partitions == 6 {
						return
					}
					partitions++
					s.schedule(time.Duration(s.faults.IntN(80))*time.Millisecond, func() {
						e.partitioned = true
						s.schedule(time.Duration(1+s.faults.IntN(9))*time.Second, func() { e.partitioned = false })
					})
				}
				id := s.submit("/quotes/", spec)
				s.advance(givingUpTime)
				if spec.Steps[0].LongRunning {
					s.checkFailedJobs([]string{id}, true)
					s.requireRunning(id, 2)
				} else {
					s.requireCompleted([]string{id}, true)
				}
				s.requireNoViolations()
			})
		}
	}
}

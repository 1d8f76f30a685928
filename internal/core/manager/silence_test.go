package manager_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
)

// Guards against a healthy task that is given up because the executors that started it
// were cut off one after the other: none of them has crashed.
func TestCutExecutorsFailNoHealthyTask(t *testing.T) {
	for _, spec := range []*jobs.Spec{batchSpec(1, 2000), longRunningSpec(1)} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", spec.Payload, seed), func(t *testing.T) {
				s := newCrashFleet(t, 800+seed, 12, 0)
				cuts := 0
				s.onStart = func(c manager.Call) {
					e := s.executorAt(c.Address)
					if e == nil || e.partitioned || cuts == 6 {
						return
					}
					cuts++
					s.schedule(time.Duration(20+s.faults.IntN(80))*time.Millisecond, func() {
						e.partitioned = true
						s.schedule(time.Duration(5+s.faults.IntN(5))*time.Second, func() { e.partitioned = false })
					})
				}
				id := s.submit("/quotes/", spec)
				s.advance(givingUpTime)
				require.Equal(t, 6, cuts)
				if spec.Steps[0].LongRunning {
					s.requireRunning(id, 1)
				} else {
					s.requireCompleted([]string{id}, true)
				}
				s.requireNoViolations()
			})
		}
	}
}

// Guards against a crash that is held against a task which had run on the executor
// before: the executor was cut off, answered again and crashed later while idle.
func TestLaterCrashIsNotHeldAgainstEarlierTask(t *testing.T) {
	s := newCrashFleet(t, 1, 4, 0)
	s.crashReturns = []crashReturn{returnWithNewID}
	var first *executor
	s.onStart = func(c manager.Call) {
		if e := s.executorAt(c.Address); first == nil && e != nil {
			first = e
			s.schedule(20*time.Millisecond, func() {
				e.partitioned = true
				s.schedule(7*time.Second, func() { e.partitioned = false })
			})
		}
	}
	id := s.submit("/quotes/", batchSpec(1, 30000))
	s.advance(15 * time.Second)
	require.Empty(t, first.sortedTasks())
	require.True(t, first.up)
	first.crash()
	s.advance(6 * time.Second)
	require.Nil(t, s.state.Job(id).Steps[0][0].Tasks[0].Crashes)
	s.requireNoViolations()
}

// Guards against an executor that restarts under its ID while its host's clock is set
// back, and is taken for the incarnation before it: the ends of the new one are then
// acknowledged by the numbers of the old one.
func TestEarlierStartTimeIsARestart(t *testing.T) {
	s := newCrashFleet(t, 1, 4, 0)
	s.crashReturns = []crashReturn{returnNever}
	ids := s.submitHealthy(6 * time.Second)
	for _, h := range s.sortedHosts() {
		e := h.executor
		e.crash()
		s.schedule(3*time.Second, func() {
			before := e.startedAt
			e.restart()
			e.startedAt = before - 60_000
		})
	}
	ids = append(ids, s.submitHealthy(6*time.Second)...)
	s.advance(40 * time.Second)
	s.requireCompleted(ids, true)
	s.requireNoViolations()
}

// Guards against crashes that are not counted because the clock of the host is set back
// with each of them.
func TestDeadlyTaskIsGivenUpWhileClocksAreSetBack(t *testing.T) {
	s := newCrashFleet(t, 1, 6, 0)
	s.crashReturns = []crashReturn{returnNever}
	deadly := s.submitDeadly("/quotes/", batchSpec(1, 4000), deadlyTask{delay: 150 * time.Millisecond})
	for _, h := range s.sortedHosts() {
		e := h.executor
		startedAt := e.startedAt
		var watch func()
		watch = func() {
			if !e.up {
				startedAt -= 60_000
				e.restart()
				e.startedAt = startedAt
			}
			s.schedule(3*time.Second, watch)
		}
		watch()
	}
	s.advance(givingUpTime)
	require.LessOrEqual(t, s.crashesOf(deadly), maxCalmCrashes)
	s.requireNoViolations()
}

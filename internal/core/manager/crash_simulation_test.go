package manager_test

import (
	"maps"
	"slices"
	"time"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
)

// This file simulates tasks that crash the executors that start them, crashes of
// whole racks, and executors whose capacity changes.

// deadlyTask is the task of a job that crashes each executor that starts it.
type deadlyTask struct {
	step, index int
	// delay is the time from the start to the crash. With 0 the executor crashes
	// before it answers the start.
	delay time.Duration
}

// crashReturn is the way in which a crashed executor returns.
type crashReturn uint8

const (
	// returnWithNewID means that another executor starts at the same address.
	returnWithNewID crashReturn = iota
	// returnWithSameID means that the executor starts again under its ID.
	returnWithSameID
	// returnAfterLease means that the executor starts again under its ID, after
	// the leases on its runs have expired.
	returnAfterLease
	// returnNever means that the executor stays down.
	returnNever
)

// crashCount counts what executors have seen of a task.
type crashCount struct {
	// under is the number of executors that crashed while they ran the task, and
	// caused the number of those that the task itself crashed.
	under, caused int
	// startsAfterThird counts the starts after the third crash under the task.
	startsAfterThird int
}

const (
	// crashesBeforeLimit is the number of crashes after which the starts of a task
	// count, and startsTooMany the number of such starts that breaks the rule.
	crashesBeforeLimit = 3
	startsTooMany      = 3
	// crashesForGivingUp is the number of crashes after which a task may be given
	// up.
	crashesForGivingUp = 2
	// shrinkNotice is the time after which a smaller capacity counts: the time for
	// which a machine must be in touch, and one report.
	shrinkNotice = 3000*time.Millisecond + 1500*time.Millisecond
)

// submitDeadly submits a job of which one task crashes its executors.
func (s *simulation) submitDeadly(path string, spec *jobs.Spec, deadly deadlyTask) string {
	spec.Payload = "deadly"
	id := s.submit(path, spec)
	s.jobs[id].deadly = &deadly
	return id
}

func (s *simulation) crashCount(ref jobs.TaskRef) *crashCount {
	c := s.crashes[ref]
	if c == nil {
		c = &crashCount{}
		s.crashes[ref] = c
	}
	return c
}

// isDeadly reports whether the task crashes its executors.
func (h *jobHistory) isDeadly(ref jobs.TaskRef) bool {
	return h.deadly != nil && ref.Step == h.deadly.step && ref.Index == h.deadly.index
}

// crashAfterStart crashes the executor if the task that it has started is deadly.
func (e *executor) crashAfterStart(c manager.Call, history *jobHistory) {
	if !history.isDeadly(c.Task) {
		return
	}
	if history.deadly.delay == 0 {
		e.crashBy(c.Task)
		return
	}
	startedAt := e.startedAt
	e.sim.schedule(history.deadly.delay, func() {
		if r := e.runs[c.Task]; e.up && e.startedAt == startedAt && r != nil && r.run == c.Run && !r.stopped {
			e.crashBy(c.Task)
		}
	})
}

func (e *executor) crashBy(ref jobs.TaskRef) {
	e.sim.crashCount(ref).caused++
	e.crash()
}

// crash ends the executor's process and all its runs. The executor returns 3 to
// 4 s later if it does not stay down or return after its lease.
func (e *executor) crash() {
	if !e.up {
		return
	}
	s := e.sim
	lost, runs := e.sortedTasks(), e.runs
	e.kill()
	e.breakCalls()
	for _, ref := range lost {
		s.breakGang(gangKeyOf(ref, runs[ref].run))
	}
	delay := time.Duration(3000+s.faults.IntN(1000)) * time.Millisecond
	how := s.crashReturns[s.faults.IntN(len(s.crashReturns))]
	if how == returnNever {
		return
	}
	if how == returnAfterLease {
		delay += maxLease
	}
	s.schedule(delay, func() {
		switch {
		case e.up || e.host.executor != e:
		case how == returnWithNewID:
			s.boot(e.host)
		default:
			e.restart()
		}
	})
}

// breakCalls ends the calls that the crashed executor has not answered. In half of the
// crashes the connections break at once, in the others the calls time out.
func (e *executor) breakCalls() {
	calls := slices.Sorted(maps.Keys(e.openCalls))
	isSilent := e.partitioned || e.sim.faults.IntN(2) == 0
	for _, call := range calls {
		if !isSilent {
			e.openCalls[call]()
		}
		delete(e.openCalls, call)
	}
}

// crashRack crashes all executors of a rack.
func (s *simulation) crashRack(rack string) {
	for _, h := range s.sortedHosts() {
		if h.rack == rack && h.executor != nil {
			h.executor.crash()
		}
	}
}

func (s *simulation) sortedHosts() []*host {
	var list []*host
	for _, h := range s.hosts {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *host) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return list
}

// checkCrashBudget checks that a task that crashes executors is not started again
// and again. Starts that were held up or sent by an earlier leader do not count.
func (s *simulation) checkCrashBudget(e *executor, c manager.Call, history *jobHistory) {
	count := s.crashCount(c.Task)
	if !history.isDeadly(c.Task) || count.under < crashesBeforeLimit || s.order.late || s.order.term != s.term {
		return
	}
	if count.startsAfterThird++; count.startsAfterThird >= startsTooMany {
		s.violate("crash budget: %s with a delay of %s, run %d starts on %s, start %d after the third of %d crashes under it", c.Task, history.deadly.delay, c.Run, e.id, count.startsAfterThird, count.under)
	}
}

// checkFailedJobs checks that a job is only shown as failed if two executors have
// crashed under one of its tasks, and never if it has no deadly task and isHarmless
// is set.
func (s *simulation) checkFailedJobs(ids []string, isHarmless bool) {
	for _, id := range ids {
		if s.phase(id) != jobs.PhaseFailed {
			continue
		}
		most := 0
		for ref, count := range s.crashes {
			if ref.Job == id {
				most = max(most, count.under)
			}
		}
		switch {
		case most < crashesForGivingUp:
			s.violate("failed job: %s is shown as failed after %d crashes under one task", id, most)
		case s.jobs[id].deadly == nil && isHarmless:
			s.violate("failed job: %s has no deadly task and is shown as failed after %d crashes under one task", id, most)
		}
	}
}

// crashesOf returns the largest number of executors that a task of the job crashed.
func (s *simulation) crashesOf(id string) int {
	most := 0
	for ref, count := range s.crashes {
		if ref.Job == id {
			most = max(most, count.caused)
		}
	}
	return most
}

// gangKey identifies the runs of a gang that belong together.
type gangKey struct {
	job              string
	occurrence, step int
	run              int
}

// gangRun is the state of such runs.
type gangRun struct {
	started map[int]bool
	broken  bool
}

func gangKeyOf(ref jobs.TaskRef, run int) gangKey {
	return gangKey{ref.Job, ref.Occurrence, ref.Step, run}
}

// joinGang records the start of a member of a gang.
func (s *simulation) joinGang(c manager.Call, step *jobs.Step) {
	if !step.Gang {
		return
	}
	key := gangKeyOf(c.Task, c.Run)
	if s.gangs[key] == nil {
		s.gangs[key] = &gangRun{started: map[int]bool{}}
	}
	s.gangs[key].started[c.Task.Index] = true
}

// gangResult returns the result of a run that has worked for its whole time: the
// member of a gang achieves nothing without the others.
func (s *simulation) gangResult(c manager.Call, step *jobs.Step, result jobs.RunResult) jobs.RunResult {
	switch g := s.gangs[gangKeyOf(c.Task, c.Run)]; {
	case g == nil || result != jobs.ResultDone:
		return result
	case g.broken:
		return jobs.ResultBroken
	case len(g.started) < step.Count:
		return jobs.ResultAlone
	}
	return result
}

// breakGang ends the other members of a gang of which a run was lost.
func (s *simulation) breakGang(key gangKey) {
	g := s.gangs[key]
	if g == nil || g.broken {
		return
	}
	g.broken = true
	for _, h := range s.sortedHosts() {
		if h.executor == nil || !h.executor.up {
			continue
		}
		for _, ref := range h.executor.sortedTasks() {
			if gangKeyOf(ref, h.executor.runs[ref].run) == key {
				h.executor.endRun(ref, jobs.ResultBroken)
			}
		}
	}
}

// capacityChange is a capacity that an executor has from a time on.
type capacityChange struct {
	at       time.Time
	capacity jobs.Resources
}

// fullCapacity is the capacity with which executors start.
var fullCapacity = jobs.Resources{CPU: 32000, MemoryMB: 64 << 10}

// setCapacity changes the capacity of a running executor. Its next report contains
// the new one.
func (e *executor) setCapacity(c jobs.Resources) {
	e.capacity = c
	e.capacities = append(e.capacities, capacityChange{e.sim.now, c})
}

// shrinkOrGrow shrinks the capacity of an executor to a third, or restores it.
func (e *executor) shrinkOrGrow() {
	if e.capacity != fullCapacity {
		e.setCapacity(fullCapacity)
		return
	}
	e.setCapacity(jobs.Resources{CPU: fullCapacity.CPU / 3, MemoryMB: fullCapacity.MemoryMB / 3})
}

// largestCapacity returns the largest capacity that the executor had at or after
// the given time.
func (e *executor) largestCapacity(since time.Time) jobs.Resources {
	largest := e.capacity
	for i, c := range e.capacities {
		if i+1 < len(e.capacities) && !e.capacities[i+1].at.After(since) {
			continue
		}
		largest = jobs.Resources{
			CPU: max(largest.CPU, c.capacity.CPU), MemoryMB: max(largest.MemoryMB, c.capacity.MemoryMB),
			Accelerators: max(largest.Accelerators, c.capacity.Accelerators),
		}
	}
	return largest
}

// checkCapacity checks that a start does not bring an executor over its capacity.
// An order that was held up may be measured by the capacity from its sending on.
func (s *simulation) checkCapacity(e *executor, c manager.Call, used, allocation jobs.Resources) {
	largest := e.largestCapacity(s.order.sentAt.Add(-shrinkNotice))
	if !s.order.late {
		largest = e.largestCapacity(s.now.Add(-shrinkNotice))
	}
	total := used.Plus(allocation)
	if allocation.CPU > 0 && total.CPU > largest.CPU || allocation.MemoryMB > 0 && total.MemoryMB > largest.MemoryMB ||
		allocation.Accelerators > 0 && total.Accelerators > largest.Accelerators {
		s.violate("capacity: %s run %d brings %s to %+v of %+v, now %+v (late %t, sent by term %d in term %d)", c.Task, c.Run, e.id, total, largest, e.capacity, s.order.late, s.order.term, s.term)
	}
}

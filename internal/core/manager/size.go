package manager

import (
	"math"
	"slices"
	"time"

	"laburnumdock/internal/core/jobs"
)

const (
	// rateWindow is the time over which arriving work is counted. It is short
	// against the time that a move takes, so that a rise is met while it lasts.
	arrivalWindow = 600 * time.Millisecond
	// spareHosts times the square root of a pool's work in hosts is how much
	// larger the pool is: independent jobs make work vary with the square root of
	// its amount, and demands do not fill hosts evenly.
	headroomFactor = 0.7
	// maxSpread bounds the hosts that a batch step gets for the sake of tasks
	// that must not share one.
	maxSpreadHosts = 8
	// shrinkAfter is the time for which a pool must be too large before it gives
	// hosts away. With the time that the arrivals are counted over, a host stays
	// for about as long as a move there and back costs.
	stabilizationWindow = 1200 * time.Millisecond
)

// amount is processor, memory and accelerators, in hosts. Each is added up by
// itself: tasks that need much of one fit beside those that need much of another.
type hostFractions [3]float64

// plus returns the amount with a multiple of another one added.
func (f hostFractions) addScaled(other hostFractions, times float64) hostFractions {
	for i := range f {
		f[i] += times * other[i]
	}
	return f
}

// hosts is the number of hosts that the amount takes.
func (f hostFractions) hosts() float64 { return slices.Max(f[:]) }

// arrival of work, in hosts times milliseconds.
type workArrival struct {
	at   time.Time
	work hostFractions
}

// sizing is what the sizes of a pool depend on.
type sizeEstimator struct {
	arrivals []workArrival
	// took and estimated are the observed durations of tasks and the estimates of
	// the same tasks in milliseconds, as averages of late.
	meanDuration, meanEstimate float64
	// wants are the recent wishes, the oldest first.
	recentSizes []desiredSize
}

type desiredSize struct {
	at    time.Time
	hosts int
}

// partOf is the part of a host that a demand takes.
func hostFractionsOf(demand, capacity jobs.Resources) hostFractions {
	var f hostFractions
	for i, pair := range [len(f)][2]int64{
		{demand.CPU, capacity.CPU}, {demand.MemoryMB, capacity.MemoryMB}, {demand.Accelerators, capacity.Accelerators},
	} {
		if pair[1] > 0 {
			f[i] = float64(pair[0]) / float64(pair[1])
		}
	}
	return f
}

// typicalRoom is the room of a host of the pool.
func (m *Manager) hostCapacity(p *pool) jobs.Resources {
	var capacity jobs.Resources
	for _, s := range p.sessions {
		if s.rec.Capacity.CPU > capacity.CPU {
			capacity = s.rec.Capacity
		}
	}
	if capacity.CPU > 0 {
		return capacity
	}
	for _, h := range m.hosts.byName {
		if h.listed.Capacity.CPU > capacity.CPU {
			capacity = h.listed.Capacity
		}
	}
	return capacity
}

// arrive counts the work of a new job.
func (m *Manager) recordArrival(j *job, now time.Time) {
	if j.longRunning {
		return
	}
	capacity := m.hostCapacity(j.pool)
	var sum hostFractions
	for i := range j.rec.Spec.Steps {
		s := &j.rec.Spec.Steps[i]
		sum = sum.addScaled(hostFractionsOf(s.Allocation(), capacity), float64(s.Count)*float64(s.Estimate))
	}
	j.pool.sizing.arrivals = append(j.pool.sizing.arrivals, workArrival{at: now, work: sum})
}

// rate is the arriving work in hosts.
func (e *sizeEstimator) arrivalRate(now time.Time) hostFractions {
	keep := 0
	for keep < len(e.arrivals) && now.Sub(e.arrivals[keep].at) > arrivalWindow {
		keep++
	}
	e.arrivals = e.arrivals[keep:]
	var sum, rate hostFractions
	for _, w := range e.arrivals {
		sum = sum.addScaled(w.work, 1)
	}
	return rate.addScaled(sum, e.durationRatio()/float64(arrivalWindow.Milliseconds()))
}

// scale is the observed duration of tasks as a share of the estimates. It is the
// share of the sums: the mean of the shares of single tasks is larger where
// estimates err to both sides.
func (e *sizeEstimator) durationRatio() float64 {
	if e.meanEstimate == 0 {
		return 1
	}
	return e.meanDuration / e.meanEstimate
}

// durationWeight is the weight of one task in the averages of durations.
const durationWeight = 0.02

// learn takes the duration of a task that is done.
func (e *sizeEstimator) recordDuration(took time.Duration, estimate int64) {
	if estimate <= 0 {
		return
	}
	if e.meanEstimate == 0 {
		e.meanDuration, e.meanEstimate = float64(estimate), float64(estimate)
	}
	e.meanDuration += durationWeight * (float64(took.Milliseconds()) - e.meanDuration)
	e.meanEstimate += durationWeight * (float64(estimate) - e.meanEstimate)
}

// load is a pool's work in hosts.
type workload struct {
	lasting, running, waiting hostFractions
	// spread is the number of hosts that some step needs for not sharing them.
	minHosts int
}

// loadOf adds up the work of a pool. Tasks that wait count unless their job is too
// late to be worth anything; it is finished with the hosts that are there.
func (m *Manager) workloadOf(p *pool, now time.Time) workload {
	capacity := m.hostCapacity(p)
	var l workload
	for _, j := range p.jobs {
		isWorthwhile := j.timeliness(now) != timelinessTooLate
		for occ, steps := range j.rec.Steps {
			for s := range steps {
				step := &j.rec.Spec.Steps[s]
				if steps[s].TasksLeft == 0 || !j.rec.IsStepReady(occ, s) {
					continue
				}
				perTask := hostFractionsOf(step.Allocation(), capacity)
				if step.LongRunning {
					l.lasting = l.lasting.addScaled(perTask, float64(step.Count))
					l.minHosts = max(l.minHosts, hostsForSpread(step, steps[s].TasksLeft))
					continue
				}
				running := j.countLive(occ, s)
				l.running = l.running.addScaled(perTask, float64(running))
				if isWorthwhile {
					l.waiting = l.waiting.addScaled(perTask, float64(steps[s].TasksLeft-running))
					l.minHosts = max(l.minHosts, hostsForSpread(step, steps[s].TasksLeft))
				}
			}
		}
	}
	return l
}

// countLive counts the tasks of a step with a run.
func (j *job) countLive(occurrence, stepIndex int) int {
	count := 0
	for i := range j.tasks[occurrence][stepIndex] {
		if j.tasks[occurrence][stepIndex][i].liveRuns > 0 {
			count++
		}
	}
	return count
}

// wanted returns the number of hosts that a pool wants: for its lasting tasks,
// and for the work that it will have when a host that is ordered now serves. By
// then a part of the running tasks has ended, and the arriving work has taken
// their place.
func (m *Manager) desiredHosts(p *pool, now time.Time) int {
	l := m.workloadOf(p, now)
	stillRunning := 0.0
	if p.sizing.meanDuration > 0 {
		stillRunning = math.Exp(-float64(m.cfg.MoveTime.Milliseconds()) / p.sizing.meanDuration)
	}
	expected := l.waiting.addScaled(l.running, stillRunning).addScaled(p.sizing.arrivalRate(now), 1-stillRunning)
	need := expected.addScaled(l.lasting, 1).hosts() + headroomFactor*math.Sqrt(expected.hosts())
	return max(int(math.Ceil(need)), l.minHosts, min(len(p.jobs), 1))
}

// spreadOf is the number of hosts that the tasks of a step need for not sharing
// them.
func hostsForSpread(step *jobs.Step, left int) int {
	if step.MaxPerExecutor == 0 {
		return 0
	}
	hosts := (left + step.MaxPerExecutor - 1) / step.MaxPerExecutor
	if step.LongRunning {
		return hosts
	}
	return min(hosts, maxSpreadHosts)
}

// settled returns the largest wish of late, so that a pool shrinks only after
// its demand has been low for a while.
func (e *sizeEstimator) stabilized(want int, now time.Time) int {
	e.recentSizes = append(e.recentSizes, desiredSize{now, want})
	for now.Sub(e.recentSizes[0].at) > stabilizationWindow {
		e.recentSizes = e.recentSizes[1:]
	}
	largest := want
	for _, w := range e.recentSizes {
		largest = max(largest, w.hosts)
	}
	return largest
}

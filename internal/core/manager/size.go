package manager

import (
	"math"
	"time"

	"laburnumdock/internal/core/demand"
	"laburnumdock/internal/core/jobs"
)

const (
	// headroomFactor times the square root of a pool's work in hosts is added
	// to the pool's size: the work of independent jobs varies with the square
	// root of its amount, and demands do not fill hosts evenly.
	headroomFactor = 0.7
	// maxSpreadHosts bounds the hosts that a batch step gets because its tasks
	// must not share one.
	maxSpreadHosts = 8
	// stabilizationWindow is the time for which a pool must be too large before
	// it gives hosts away. Together with demand.Window, a host stays for about
	// as long as a move there and back costs.
	stabilizationWindow = 1200 * time.Millisecond
	// overdueTime is the time in which a pool finishes the steps at hand of jobs that are too
	// late to be worth anything. They must end, although nobody waits for them: with one host
	// for all of them, some had not ended 14 s after a surge.
	overdueTime = 3 * time.Second
	// growthLead is the time beyond that of a move by which a pool grows before a
	// surge: a check, the boot of the executor, and half of arrivalWindow, by which
	// the recorded demand lags.
	growthLead = 600 * time.Millisecond
)

// hostFractions are CPU, memory and accelerators as fractions of one host's
// capacity. Each is summed separately, because tasks that need much of one fit
// beside tasks that need much of another.
type hostFractions = demand.Work

// sizeEstimator holds the statistics from which the size of a pool is computed.
type sizeEstimator struct {
	arrivals demand.Arrivals
	// recentSizes are the recent desired sizes, oldest first.
	recentSizes []desiredSize
	pattern     demand.Pattern
}

type desiredSize struct {
	at    time.Time
	hosts int
}

// hostFractionsOf returns a demand as fractions of a host's capacity.
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

// hostCapacity returns the capacity of the largest host of the pool by CPU, or
// of any host if the pool has none.
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

// recordArrival adds the work of a new job to the statistics of its pool. A refused one counts
// as well, at its first attempt: the pool would have to be larger to serve it.
func (m *Manager) recordArrival(p *pool, queue, tenant string, spec *jobs.Spec, now time.Time) {
	if hasLongRunningStep(spec) {
		return
	}
	capacity := m.hostCapacity(p)
	var sum hostFractions
	for i := range spec.Steps {
		step := &spec.Steps[i]
		mean := m.taskTime(queue, step).Mean()
		whole := float64(step.Count) * float64(mean) / float64(time.Millisecond)
		sum = sum.AddScaled(hostFractionsOf(step.Allocation(), capacity), whole*(1-m.shareLeftAfterMove(mean)))
	}
	p.sizing.arrivals.Add(tenant, sum, now)
}

// shareLeftAfterMove returns the share of running tasks with a mean duration that still
// run when a host ordered now is in service.
func (m *Manager) shareLeftAfterMove(mean time.Duration) float64 {
	return math.Exp(-float64(m.cfg.MoveTime) / float64(max(mean, time.Millisecond)))
}

// workload is the work of a pool in hosts.
type workload struct {
	longRunning, waiting hostFractions
	// stillRunning is the part of the running work that is left when a host ordered now
	// is in service.
	stillRunning hostFractions
	// overdue is the work of jobs that are too late to be worth anything, in hosts times
	// seconds.
	overdue hostFractions
	// minHosts is the number of hosts that a step needs because its tasks must
	// not share them.
	minHosts int
}

// workloadOf sums up the work of a pool. Waiting tasks count unless their job
// is too late to be worth anything; see overdueTime.
func (m *Manager) workloadOf(p *pool, now time.Time) workload {
	capacity, budget := m.hostCapacity(p), m.growthBudget(now)
	var load workload
	for _, j := range p.jobs {
		isWorthwhile := j.timeliness(now) != tooLate
		for occ, steps := range j.rec.Steps {
			for s := range steps {
				step := &j.rec.Spec.Steps[s]
				if steps[s].TasksLeft == 0 || !j.rec.IsStepReady(occ, s) {
					continue
				}
				perTask := hostFractionsOf(step.Allocation(), capacity)
				running := j.countLive(occ, s)
				if step.LongRunning {
					held := steps[s].TasksLeft - running - budget.take(j, step, steps[s].TasksLeft-running)
					load.longRunning = load.longRunning.AddScaled(perTask, float64(step.Count-held))
					load.minHosts = max(load.minHosts, hostsForSpread(step, steps[s].TasksLeft-held))
					continue
				}
				load.stillRunning = load.stillRunning.AddScaled(perTask, float64(running)*m.shareLeftAfterMove(m.taskTime(j.rec.Queue, step).Mean()))
				if !isWorthwhile && occ == 0 {
					load.overdue = load.overdue.AddScaled(perTask, float64(steps[s].TasksLeft-running)*j.progress[s].task.Seconds())
				}
				if isWorthwhile {
					waiting := budget.take(j, step, steps[s].TasksLeft-running)
					load.waiting = load.waiting.AddScaled(perTask, float64(waiting))
					load.minHosts = max(load.minHosts, hostsForSpread(step, running+waiting))
				}
			}
		}
	}
	return load
}

// countLive returns the number of tasks of a step that have a run.
func (j *job) countLive(occurrence, stepIndex int) int {
	count := 0
	for i := range j.tasks[occurrence][stepIndex] {
		if j.tasks[occurrence][stepIndex][i].liveRuns > 0 {
			count++
		}
	}
	return count
}

// desiredHosts returns the number of hosts that a pool needs for its
// long-running tasks and for the work that it will have when a host ordered now
// is in service. By then a part of the running tasks has ended, and arriving
// work has taken their place.
func (m *Manager) desiredHosts(p *pool, now time.Time) int {
	load := m.workloadOf(p, now)
	counts := m.growsForArrivals(now)
	arriving := p.sizing.arrivals.Rate(now, m.cfg.MoveTime, counts)
	p.sizing.pattern.Record(p.sizing.arrivals.Present(now, counts).Largest(), now)
	if ahead := p.sizing.pattern.Expected(m.cfg.MoveTime + growthLead); ahead > arriving.Largest() {
		// The learned demand tells nothing about which resource is scarce.
		arriving = hostFractions{ahead}
	}
	expected := load.waiting.AddScaled(load.stillRunning, 1).AddScaled(arriving, 1)
	need := expected.AddScaled(load.longRunning, 1).Largest() + headroomFactor*math.Sqrt(expected.Largest())
	return max(int(math.Ceil(need+load.overdue.Largest()/overdueTime.Seconds())), load.minHosts, min(len(p.jobs), 1))
}

// hostsForSpread returns the number of hosts that a step needs because its
// tasks must not share them.
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

// stabilized returns the largest desired size in the stabilization window, so
// that a pool shrinks only after its demand has been low for a while.
func (e *sizeEstimator) stabilized(desired int, now time.Time) int {
	e.recentSizes = append(e.recentSizes, desiredSize{now, desired})
	for now.Sub(e.recentSizes[0].at) > stabilizationWindow {
		e.recentSizes = e.recentSizes[1:]
	}
	largest := desired
	for _, w := range e.recentSizes {
		largest = max(largest, w.hosts)
	}
	return largest
}

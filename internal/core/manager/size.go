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
	rateWindow = 600 * time.Millisecond
	// spareHosts times the square root of a pool's work in hosts is how much
	// larger the pool is: independent jobs make work vary with the square root of
	// its amount, and demands do not fill hosts evenly.
	spareHosts = 0.7
	// maxSpread bounds the hosts that a batch step gets for the sake of tasks
	// that must not share one.
	maxSpread = 8
	// shrinkAfter is the time for which a pool must be too large before it gives
	// hosts away. With the time that the arrivals are counted over, a host stays
	// for about as long as a move there and back costs.
	shrinkAfter = 1200 * time.Millisecond
)

// amount is processor, memory and accelerators, in hosts. Each is added up by
// itself: tasks that need much of one fit beside those that need much of another.
type amount [3]float64

// plus returns the amount with a multiple of another one added.
func (a amount) plus(b amount, times float64) amount {
	for i := range a {
		a[i] += times * b[i]
	}
	return a
}

// hosts is the number of hosts that the amount takes.
func (a amount) hosts() float64 { return slices.Max(a[:]) }

// arrival of work, in hosts times milliseconds.
type work struct {
	at     time.Time
	amount amount
}

// sizing is what the sizes of a pool depend on.
type sizing struct {
	arrivals []work
	// took and estimated are the observed durations of tasks and the estimates of
	// the same tasks in milliseconds, as averages of late.
	took, estimated float64
	// wants are the recent wishes, the oldest first.
	wants []wish
}

type wish struct {
	at    time.Time
	hosts int
}

// partOf is the part of a host that a demand takes.
func partOf(demand, room jobs.Resources) amount {
	var a amount
	for i, pair := range [len(a)][2]int64{
		{demand.CPU, room.CPU}, {demand.MemoryMB, room.MemoryMB}, {demand.Accelerators, room.Accelerators},
	} {
		if pair[1] > 0 {
			a[i] = float64(pair[0]) / float64(pair[1])
		}
	}
	return a
}

// typicalRoom is the room of a host of the pool.
func (m *Manager) typicalRoom(p *pool) jobs.Resources {
	var room jobs.Resources
	for _, c := range p.contacts {
		if c.ex.Capacity.CPU > room.CPU {
			room = c.ex.Capacity
		}
	}
	if room.CPU > 0 {
		return room
	}
	for _, h := range m.hosts.byName {
		if h.listed.Capacity.CPU > room.CPU {
			room = h.listed.Capacity
		}
	}
	return room
}

// arrive counts the work of a new job.
func (m *Manager) arrive(j *job, now time.Time) {
	if j.lasting {
		return
	}
	room := m.typicalRoom(j.pool)
	var sum amount
	for i := range j.rec.Spec.Steps {
		s := &j.rec.Spec.Steps[i]
		sum = sum.plus(partOf(s.Allocation(), room), float64(s.Count)*float64(s.Estimate))
	}
	j.pool.size.arrivals = append(j.pool.size.arrivals, work{at: now, amount: sum})
}

// rate is the arriving work in hosts.
func (z *sizing) rate(now time.Time) amount {
	keep := 0
	for keep < len(z.arrivals) && now.Sub(z.arrivals[keep].at) > rateWindow {
		keep++
	}
	z.arrivals = z.arrivals[keep:]
	var sum, rate amount
	for _, w := range z.arrivals {
		sum = sum.plus(w.amount, 1)
	}
	return rate.plus(sum, z.scale()/float64(rateWindow.Milliseconds()))
}

// scale is the observed duration of tasks as a share of the estimates. It is the
// share of the sums: the mean of the shares of single tasks is larger where
// estimates err to both sides.
func (z *sizing) scale() float64 {
	if z.estimated == 0 {
		return 1
	}
	return z.took / z.estimated
}

// durationWeight is the weight of one task in the averages of durations.
const durationWeight = 0.02

// learn takes the duration of a task that is done.
func (z *sizing) learn(took time.Duration, estimate int64) {
	if estimate <= 0 {
		return
	}
	if z.estimated == 0 {
		z.took, z.estimated = float64(estimate), float64(estimate)
	}
	z.took += durationWeight * (float64(took.Milliseconds()) - z.took)
	z.estimated += durationWeight * (float64(estimate) - z.estimated)
}

// load is a pool's work in hosts.
type load struct {
	lasting, running, waiting amount
	// spread is the number of hosts that some step needs for not sharing them.
	spread int
}

// loadOf adds up the work of a pool. Tasks that wait count unless their job is too
// late to be worth anything; it is finished with the hosts that are there.
func (m *Manager) loadOf(p *pool, now time.Time) load {
	room := m.typicalRoom(p)
	var l load
	for _, j := range p.jobs {
		isWorth := j.outlook(now) != tooLate
		for k, steps := range j.rec.Steps {
			for s := range steps {
				step := &j.rec.Spec.Steps[s]
				if steps[s].TasksLeft == 0 || !j.rec.IsStepReady(k, s) {
					continue
				}
				part := partOf(step.Allocation(), room)
				if step.LongRunning {
					l.lasting = l.lasting.plus(part, float64(step.Count))
					l.spread = max(l.spread, spreadOf(step, steps[s].TasksLeft))
					continue
				}
				running := j.countLive(k, s)
				l.running = l.running.plus(part, float64(running))
				if isWorth {
					l.waiting = l.waiting.plus(part, float64(steps[s].TasksLeft-running))
					l.spread = max(l.spread, spreadOf(step, steps[s].TasksLeft))
				}
			}
		}
	}
	return l
}

// countLive counts the tasks of a step with a run.
func (j *job) countLive(occurrence, place int) int {
	count := 0
	for i := range j.tasks[occurrence][place] {
		if j.tasks[occurrence][place][i].live > 0 {
			count++
		}
	}
	return count
}

// wanted returns the number of hosts that a pool wants: for its lasting tasks,
// and for the work that it will have when a host that is ordered now serves. By
// then a part of the running tasks has ended, and the arriving work has taken
// their place.
func (m *Manager) wanted(p *pool, now time.Time) int {
	l := m.loadOf(p, now)
	left := 0.0
	if p.size.took > 0 {
		left = math.Exp(-float64(m.cfg.MoveTime.Milliseconds()) / p.size.took)
	}
	work := l.waiting.plus(l.running, left).plus(p.size.rate(now), 1-left)
	need := work.plus(l.lasting, 1).hosts() + spareHosts*math.Sqrt(work.hosts())
	return max(int(math.Ceil(need)), l.spread, min(len(p.jobs), 1))
}

// spreadOf is the number of hosts that the tasks of a step need for not sharing
// them.
func spreadOf(step *jobs.Step, left int) int {
	if step.MaxPerExecutor == 0 {
		return 0
	}
	hosts := (left + step.MaxPerExecutor - 1) / step.MaxPerExecutor
	if step.LongRunning {
		return hosts
	}
	return min(hosts, maxSpread)
}

// settled returns the largest wish of late, so that a pool shrinks only after
// its demand has been low for a while.
func (z *sizing) settled(want int, now time.Time) int {
	z.wants = append(z.wants, wish{now, want})
	for now.Sub(z.wants[0].at) > shrinkAfter {
		z.wants = z.wants[1:]
	}
	largest := want
	for _, w := range z.wants {
		largest = max(largest, w.hosts)
	}
	return largest
}

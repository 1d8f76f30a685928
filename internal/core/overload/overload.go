// Package overload decides whether a submitted job is refused because it cannot be on time.
//
// It answers surges that are larger than a pool: for some seconds several times more work
// arrives than the pool can start in time. If all of it is accepted, every job waits until
// its slack is used up, nearly all are late, and the work that is late by then takes the
// capacity of the jobs behind it. A job whose estimated wait clearly exceeds its slack is
// refused instead, before it is recorded, and its capacity serves a job that can be on time.
//
// The estimate is the work that starts before the job, divided by what the pool starts,
// with the hosts that are on their way. It follows three measurements: the part of the
// capacity that runs fill while work waits, the time that a run occupies its capacity
// relative to its run time, and the waits of accepted jobs relative to the estimates. Errors
// of the predicted run times are left to the forecaster, which learns from the same runs.
package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumdock/internal/core/demand"
)

// Amount is CPU, memory and accelerators, each in any unit, or such amounts times seconds.
type Amount = demand.Work

// Arrival is capacity that a pool gets after some time.
type Arrival struct {
	After    time.Duration
	Capacity Amount
}

// Pool is the state of a pool, or of the part of a pool to which a job has a claim.
type Pool struct {
	// Capacity is what may run tasks now, and Free the part of it that no run has.
	Capacity, Free Amount
	// Arrivals is the capacity on its way, in the order of time.
	Arrivals []Arrival
	// TaskTime is the mean run time of a task, and StepTime that of a step.
	TaskTime, StepTime time.Duration
	// isPart is set for the part of a tenant.
	isPart bool
}

// Part returns a part of the pool. What is free is lent to whoever asks for it, so a job for
// which there is room is accepted: work of its tenant that waits beside free capacity waits
// for the tenant's limit or for executors of another kind.
func (p Pool) Part(part float64) Pool {
	if part >= 1 {
		return p
	}
	p.isPart = true
	p.Capacity = Amount{}.AddScaled(p.Capacity, part)
	arrivals := make([]Arrival, 0, len(p.Arrivals))
	for _, a := range p.Arrivals {
		arrivals = append(arrivals, Arrival{After: a.After, Capacity: Amount{}.AddScaled(a.Capacity, part)})
	}
	p.Arrivals = arrivals
	return p
}

// Job is a submitted job.
type Job struct {
	// Ahead is the predicted work that waits and could start now, before the job. Later is the
	// work of the same jobs that depends on steps before it.
	Ahead, Later Amount
	// Demand is what the tasks of the job need that could start at once.
	Demand Amount
	// Slack is the time that the job can wait from now and still be on time. It is negative
	// for a repeated submission whose objective, which counts from the first attempt, can no
	// longer be met.
	Slack time.Duration
	// Work is the predicted work of the job, and Accepted all work that waits in the pool.
	Work, Accepted Amount
}

// Decision is the result for one job.
type Decision struct {
	Refused bool
	// Wait is the estimated time until the first tasks of the job start.
	Wait time.Duration
	// RetryAfter is the time after which a refused submission may be repeated.
	RetryAfter time.Duration
}

const (
	// refuseAbove and acceptBelow are the multiples of a job's slack between which the
	// decision stays as it was. With 1.1 and 1.0, a tenth of the jobs of some days on the
	// platform was refused beside free executors, and what is refused wrongly is late when it
	// returns. With 2 and 1.6, pools that were full for long served less.
	refuseAbove = 1.5
	acceptBelow = 1.3
	// freeWait is the wait below which no job is refused: the time that a start takes anyway.
	freeWait = 100 * time.Millisecond
	// minRetryAfter is the least time in a refusal. Callers get whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter bounds the time in a refusal. A surge lasts some seconds, and a later
	// attempt would waste capacity that is free before.
	maxRetryAfter = 8 * time.Second
	// finishTime is the time in which a pool must be able to finish all that it has accepted.
	// Callers expect the end of every accepted job within 14 s after a surge, and estimates of
	// work err.
	finishTime = 8 * time.Second
	// maxWait bounds an estimate where a pool has no capacity.
	maxWait = time.Minute
)

// Gate decides on the submissions to one pool. The zero value has no measurements. It is not
// safe for concurrent use.
type Gate struct {
	drain Drain
	// refusing is set while the last decision that was outside the margin was to refuse.
	refusing bool
	// returns is the time up to which the capacity that becomes free is promised to callers
	// that were refused.
	returns time.Time
}

// Drain returns the measurements of the pool, to be updated by the caller.
func (g *Gate) Drain() *Drain { return &g.drain }

// Decide returns the decision on a job. A job is refused only if no capacity is free for it
// and its wait exceeds its slack by the margin, or the pool has accepted more than it can
// finish soon. A job that can no longer be on time is accepted only on free capacity.
func (g *Gate) Decide(p Pool, j Job, now time.Time) Decision {
	wait := g.drain.Wait(p, j)
	d := Decision{Wait: wait}
	if wait <= freeWait || p.isPart && p.hasRoomFor(j.Demand) {
		g.refusing = false
		return d
	}
	slack := max(j.Slack, 0)
	bound := refuseAbove
	if g.refusing {
		bound = acceptBelow
	}
	isTooLong := float64(wait) > bound*float64(slack)
	if d.Refused = isTooLong || g.drain.timeFor(p.future(), j.Accepted) > finishTime; !d.Refused {
		return d
	}
	g.refusing = true
	d.RetryAfter = g.retryAfter(p, j, wait-slack, now)
	return d
}

// hasRoomFor reports whether a demand fits into the free capacity.
func (p Pool) hasRoomFor(demand Amount) bool {
	for i := range demand {
		if demand[i] > p.Free[i] {
			return false
		}
	}
	return true
}

// retryAfter returns the time after which a refused job may be submitted again. The excess
// must have drained by then, and the callers return one after the other, as fast as the pool
// drains.
func (g *Gate) retryAfter(p Pool, j Job, excess time.Duration, now time.Time) time.Duration {
	earliest := now.Add(max(excess, minRetryAfter))
	if g.returns.Before(earliest) {
		g.returns = earliest
	}
	if at := now.Add(maxRetryAfter); g.returns.After(at) {
		// More callers wait than can be served within the limit. They are spread over it again.
		g.returns = earliest
	}
	after := g.returns.Sub(now)
	g.returns = g.returns.Add(g.drain.timeFor(p.future(), j.Work))
	return after
}

// future returns the capacity of the pool once everything on its way has arrived.
func (p Pool) future() Amount {
	capacity := p.Capacity
	for _, a := range p.Arrivals {
		capacity = capacity.AddScaled(a.Capacity, 1)
	}
	return capacity
}

const (
	// defaultFill and defaultStretch hold until measurements replace them.
	defaultFill    = 0.9
	defaultStretch = 1.1
	// observationWeight is the weight of one run or pass in the moving averages.
	observationWeight = 0.02
	// waitWeight is the weight of one accepted job in the correction, and maxCorrection its
	// bound in either direction: an estimate that is wrong by more is not the cause of a wait.
	waitWeight    = 0.005
	maxCorrection = 1.5
	// waitFloor is added to both sides of the ratio of waits, so that short ones do not count.
	waitFloor = 200 * time.Millisecond
)

// Drain measures how fast a pool works off what waits. The zero value has no measurements.
type Drain struct {
	// fill is the part of the capacity that runs have while tasks wait.
	fill float64
	// occupied and running are moving averages of the times that runs have held their
	// capacity and of their run times, in seconds.
	occupied, running float64
	// correction is the logarithm of the factor by which waits exceed their estimates.
	correction float64
}

// ObserveRun records that a run held its capacity for some time, and its run time. The run
// time is not the predicted one: the forecaster corrects its predictions by the same runs, and
// after a change of the work a second correction would stay when the predictions are right.
func (d *Drain) ObserveRun(occupied, running time.Duration) {
	if occupied <= 0 || running <= 0 {
		return
	}
	if d.running == 0 {
		d.running = running.Seconds()
		d.occupied = defaultStretch * d.running
	}
	d.occupied += observationWeight * (occupied.Seconds() - d.occupied)
	d.running += observationWeight * (running.Seconds() - d.running)
}

// ObserveFill records the part of the capacity that runs have although tasks wait.
func (d *Drain) ObserveFill(fill float64) {
	if d.fill == 0 {
		d.fill = defaultFill
	}
	d.fill += observationWeight * (min(max(fill, 0.1), 1) - d.fill)
}

// ObserveWait records the wait of an accepted job and its estimate.
func (d *Drain) ObserveWait(estimated, actual time.Duration) {
	if max(estimated, actual) < waitFloor {
		return
	}
	ratio := math.Log(float64(actual+waitFloor) / float64(estimated+waitFloor))
	limit := math.Log(maxCorrection)
	d.correction = min(max(d.correction+waitWeight*ratio, -limit), limit)
}

// Stretch returns the time that a run holds its capacity relative to its run time.
func (d *Drain) Stretch() float64 {
	if d.running == 0 {
		return defaultStretch
	}
	return d.occupied / d.running
}

// rate returns the predicted work per second that a capacity of 1 finishes.
func (d *Drain) rate() float64 {
	fill := d.fill
	if fill == 0 {
		fill = defaultFill
	}
	return fill / max(d.Stretch(), 0.1)
}

// timeFor returns the time that a capacity needs for some work.
func (d *Drain) timeFor(capacity, work Amount) time.Duration {
	longest := 0.0
	for i := range work {
		if work[i] <= 0 {
			continue
		}
		if capacity[i] <= 0 {
			return maxWait
		}
		longest = max(longest, work[i]/(capacity[i]*d.rate()))
	}
	return min(time.Duration(longest*float64(time.Second)), maxWait)
}

// Wait returns the estimated time until the first tasks of a job start. The later steps of
// the jobs ahead count as far as they can start by then.
func (d *Drain) Wait(p Pool, j Job) time.Duration {
	wait := d.waitFor(p, j.Ahead.AddScaled(j.Later, 1), j.Demand)
	for range laterRounds {
		share := 0.0
		if delay := p.StepTime / 2; wait > delay {
			share = float64(wait-delay) / float64(wait)
		}
		wait = (wait + d.waitFor(p, j.Ahead.AddScaled(j.Later, share), j.Demand)) / 2
	}
	return min(time.Duration(float64(wait)*math.Exp(d.correction)), maxWait)
}

// laterRounds is the number of rounds in which a wait and the part of the later steps that
// start in it are made consistent. The last one changes it by a few hundredths.
const laterRounds = 4

// waitFor returns the time until some work has started. Free capacity takes as much work at
// once as it can finish in the time of a task. A resource of which the pool has nothing and
// expects nothing says nothing about a wait.
func (d *Drain) waitFor(p Pool, ahead, demand Amount) time.Duration {
	longest := time.Duration(0)
	future := p.future()
	for i := range ahead {
		if future[i] <= 0 {
			continue
		}
		left := ahead[i] - max(p.Free[i], 0)*p.TaskTime.Seconds()
		if ahead[i] <= 0 && demand[i] <= p.Free[i] || left <= 0 && demand[i] <= 0 {
			continue
		}
		longest = max(longest, d.drainTime(p, i, left))
	}
	return longest
}

// drainTime returns the time in which the pool starts the rest of the work in one dimension.
func (d *Drain) drainTime(p Pool, dimension int, left float64) time.Duration {
	elapsed, capacity := time.Duration(0), p.Capacity[dimension]
	for _, a := range p.Arrivals {
		done := capacity * d.rate() * (a.After - elapsed).Seconds()
		if capacity > 0 && left <= done {
			break
		}
		left -= max(done, 0)
		elapsed, capacity = max(a.After, elapsed), capacity+a.Capacity[dimension]
	}
	if capacity <= 0 {
		return maxWait
	}
	if left > 0 {
		elapsed += min(time.Duration(left/(capacity*d.rate())*float64(time.Second)), maxWait)
	}
	return elapsed
}

// SortArrivals puts arrivals in the order of time.
func SortArrivals(list []Arrival) {
	slices.SortFunc(list, func(a, b Arrival) int { return cmp.Compare(a.After, b.After) })
}

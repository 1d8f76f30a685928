// Package forecast predicts how long the steps of jobs take, from the submitters'
// estimates and from what was observed.
//
// It answers two patterns of load. Estimates that err by a factor of three or more
// in either direction say little about a step, so a prediction leans on the mean of
// the queue as far as the estimates have proved useless. And a step ends with its
// last task: a step of eight tasks takes much longer than its mean task.
package forecast

import (
	"math"
	"time"
)

const (
	// memory is the number of observations after which an older one has lost about
	// two thirds of its weight.
	memory = 200
	// priorWeight is the number of observations that the assumption before the first
	// one is worth: estimates are right but for the spread of the tasks.
	priorWeight = 8
	// priorVariance is the variance of the logarithms of estimates that the
	// assumption stands for: a factor of two in either direction.
	priorVariance = 0.5
	// spreadPerTask times the logarithm of the number of tasks is the share by which
	// the longest task exceeds the mean one: 1.5 for eight tasks whose durations vary
	// by a factor of two.
	spreadPerTask = 0.24
)

// Durations predicts the durations of the steps of one queue. The zero value has no
// observations. It is not safe for concurrent use.
type Durations struct {
	// The following are sums with exponentially decreasing weights, over the
	// logarithms of the expected duration by the estimate alone (x) and of the
	// observed one (y).
	weight, x, y, xx, xy float64
}

// byEstimate returns the duration in milliseconds that the estimate of a task
// implies for a step with the given number of tasks.
func byEstimate(estimate int64, tasks int) float64 {
	return float64(max(estimate, 1)) * (1 + spreadPerTask*math.Log(float64(max(tasks, 1))))
}

// Observe records that a step took a certain time from the start of its tasks to
// the end of the last one.
func (d *Durations) Observe(estimate int64, tasks int, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	const keep = 1 - 1.0/memory
	x, y := math.Log(byEstimate(estimate, tasks)), math.Log(float64(took)/float64(time.Millisecond))
	d.weight = keep*d.weight + 1
	d.x, d.y = keep*d.x+x, keep*d.y+y
	d.xx, d.xy = keep*d.xx+x*x, keep*d.xy+x*y
}

// Predict returns the expected duration of a step. It is the median: half of the
// steps take longer.
func (d *Durations) Predict(estimate int64, tasks int) time.Duration {
	x := math.Log(byEstimate(estimate, tasks))
	if d.weight > 0 {
		mean := d.x / d.weight
		offset := (d.y - d.x) / (d.weight + priorWeight)
		x = mean + offset + d.slope()*(x-mean)
	}
	return time.Duration(math.Exp(x) * float64(time.Millisecond))
}

// slope returns how far a prediction follows the estimate: 1 where estimates are
// right up to a constant factor, 0 where they say nothing.
func (d *Durations) slope() float64 {
	const prior = priorWeight * priorVariance
	variance := d.xx - d.x*d.x/d.weight
	covariance := d.xy - d.x*d.y/d.weight
	return min(max((covariance+prior)/(variance+prior), 0), 1)
}

// Package forecast predicts how long tasks and steps of jobs run, from the submitters'
// estimates and from finished runs.
//
// It addresses four patterns of load. Estimates err by a factor of three or more, so a
// prediction follows them only as far as they have explained observed run times. A step
// ends with its last task, so the spread between tasks decides how long a step of many
// tasks takes. A few stragglers must not raise the expected time of all other tasks. And
// the work of a queue may change at any time, which must show within some ten steps.
package forecast

import (
	"math"
	"slices"
	"time"
)

// Key holds what tells the tasks of different steps apart.
type Key struct {
	Queue, Image string
	// CPU is in thousandths of a core.
	CPU, MemoryMB, Accelerators int64
	// Remote is set for a task that runs on another rack than its data.
	Remote bool
}

// Prediction is the expected run time of a task or of a step.
type Prediction struct {
	// Median is exceeded by half of the run times and High by a tenth.
	Median, High time.Duration
	// Known is false while too few run times of the queue were learned; the prediction
	// then rests on the submitter's estimate alone.
	Known bool
}

// Mean returns the mean of a logarithmic normal distribution with the two quantiles.
// Amounts of work add up by means, not by medians.
func (p Prediction) Mean() time.Duration {
	if p.Median <= 0 || p.High <= p.Median {
		return p.Median
	}
	sigma := min(math.Log(float64(p.High)/float64(p.Median))/highDeviations, maxMeanSigma)
	return time.Duration(float64(p.Median) * math.Exp(sigma*sigma/2))
}

const (
	// highQuantile is the quantile of Prediction.High, and highDeviations its distance
	// from the median of a normal distribution in standard deviations.
	highQuantile   = 0.9
	highDeviations = 1.2816
	// maxMeanSigma bounds the mean to 1.6 times the median. Wider spreads come from a few
	// stragglers, of which the logarithmic normal distribution makes too much.
	maxMeanSigma = 1.0
	// maxKeys bounds the number of models. One takes about 300 bytes.
	maxKeys = 1024
	// minKnown is the number of steps of a queue from which on its predictions are Known.
	minKnown = 4
	// ownWeight is the number of steps after which a key's own model counts as much as
	// that of its queue.
	ownWeight = 4
	// staleSteps is the number of steps of the queue after which the model of a key that
	// did not occur among them counts half.
	staleSteps = 128
)

// Estimator learns and predicts run times. It is not safe for concurrent use. Predictions
// change nothing, so that a read-only pass may ask for them; the least recently used model
// is the one that has not learned for the longest time.
type Estimator struct {
	models modelCache
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator { return &Estimator{models: newModelCache(maxKeys)} }

// Task predicts the run time of one task.
func (e *Estimator) Task(k Key, estimate int64) Prediction { return e.Step(k, estimate, 1) }

// Step predicts the time from the start of a step with n tasks to the end of the last one,
// if all of them start at once. The estimate is that of one task in milliseconds, or 0.
func (e *Estimator) Step(k Key, estimate int64, tasks int) Prediction {
	queue := e.models.find(queueHash(k))
	if queue == nil {
		queue = &unknownQueue
	}
	x, hasEstimate := logOf(estimate)
	center, spread, tasksSpread := queue.predict(x, hasEstimate), queue.spread, &queue.tasks
	if own := e.models.find(keyHash(k)); own != nil {
		weight := own.weightBeside(queue)
		center += weight * (own.predict(x, hasEstimate) - center)
		spread += weight * (own.spread - spread)
		tasksSpread = &own.tasks
	}
	if k.Remote {
		center += queue.remote
	}
	n := float64(max(tasks, 1))
	median := tasksSpread.quantile(math.Pow(0.5, 1/n))
	tail := tasksSpread.quantile(math.Pow(highQuantile, 1/n)) - median
	high := math.Hypot(tail, highDeviations*deviationsPerMean*spread)
	return Prediction{
		Median: milliseconds(center + median), High: milliseconds(center + median + high), Known: queue.steps >= minKnown,
	}
}

// unknownQueue is the model of a queue without observations.
var unknownQueue = newModel()

// maxLog bounds predictions to about 12 days.
const maxLog = 20.8

// milliseconds returns the duration whose logarithm in milliseconds is x.
func milliseconds(x float64) time.Duration {
	return time.Duration(math.Exp(min(max(x, 0), maxLog)) * float64(time.Millisecond))
}

// logOf returns the logarithm of an estimate, and false if there is none.
func logOf(estimate int64) (float64, bool) {
	if estimate <= 0 {
		return 0, false
	}
	return math.Log(float64(estimate)), true
}

// Learn adds the run times of the tasks of a finished step. Steps of which less than half
// of the sampled tasks have a run time teach nothing.
func (e *Estimator) Learn(k Key, estimate int64, s *Sample) {
	queue := e.models.touch(queueHash(k), &unknownQueue)
	if len(s.local) > 0 && len(s.remote) > 0 {
		queue.learnRemote(medianOf(s.remote)-medianOf(s.local), min(len(s.local), len(s.remote)))
	}
	x, hasEstimate := logOf(estimate)
	own := e.models.find(keyHash(k))
	expected := queue.predict(x, hasEstimate)
	if own != nil {
		expected += own.weightBeside(queue) * (own.predict(x, hasEstimate) - expected)
	}
	times := s.normalized(queue.remote, expected)
	if 2*len(times) < s.wanted() {
		return
	}
	center := medianOf(times)
	queue.learn(x, hasEstimate, center, times)
	own = e.models.touch(keyHash(k), queue)
	own.learn(x, hasEstimate, center, times)
	own.queueSteps = queue.steps
}

// maxSampled bounds the tasks of a step whose run times are kept until the step ends.
const maxSampled = 64

// Sample holds the logarithms of the run times of a step's tasks, in milliseconds. Of a
// step with many tasks only some are kept, chosen by their index and not by the order of
// their ends: the first ends are those of the shortest tasks.
type Sample struct {
	tasks         int
	local, remote []float64
	// bounds are times that a task took at least.
	bounds []float64
}

// NewSample returns an empty sample of a step with a number of tasks.
func NewSample(tasks int) *Sample { return &Sample{tasks: max(tasks, 1)} }

// stride returns the distance between the indexes of sampled tasks.
func (s *Sample) stride() int { return (s.tasks + maxSampled - 1) / maxSampled }

// wanted returns the number of tasks that are sampled.
func (s *Sample) wanted() int { return (s.tasks + s.stride() - 1) / s.stride() }

// Add records the run time of a task that ran undisturbed from its beginning to its end.
func (s *Sample) Add(index int, took time.Duration, remote bool) {
	if took <= 0 || index%s.stride() != 0 {
		return
	}
	if remote {
		s.remote = append(s.remote, logMilliseconds(took))
	} else {
		s.local = append(s.local, logMilliseconds(took))
	}
}

// AddBound records that a task took longer than the given time: the beginning of its run
// is not known, or an earlier run had done a part of the work.
func (s *Sample) AddBound(index int, tookAtLeast time.Duration) {
	if tookAtLeast > 0 && index%s.stride() == 0 {
		s.bounds = append(s.bounds, logMilliseconds(tookAtLeast))
	}
}

func logMilliseconds(d time.Duration) float64 {
	return math.Log(max(float64(d)/float64(time.Millisecond), 1))
}

// normalized returns the run times as they would be on the rack of the data. A bound
// counts as a run time if it exceeds what was expected or, where that is known, the
// median of the other tasks; a lower one shows nothing.
func (s *Sample) normalized(remote, expected float64) []float64 {
	times := make([]float64, 0, len(s.local)+len(s.remote)+len(s.bounds))
	times = append(times, s.local...)
	for _, t := range s.remote {
		times = append(times, t-remote)
	}
	threshold := expected
	if len(times) > 0 {
		threshold = medianOf(times)
	}
	for _, b := range s.bounds {
		if b > threshold {
			times = append(times, b)
		}
	}
	return times
}

// medianOf returns the median of a list that is not empty.
func medianOf(list []float64) float64 {
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// Tasks returns the number of the step's tasks.
func (s *Sample) Tasks() int { return s.tasks }

// Times returns the known run times of the sampled tasks, on whatever rack they ran.
func (s *Sample) Times() []time.Duration {
	times := make([]time.Duration, 0, len(s.local)+len(s.remote))
	for _, list := range [][]float64{s.local, s.remote} {
		for _, t := range list {
			times = append(times, milliseconds(t))
		}
	}
	return times
}

// Bounds returns the times that sampled tasks took at least.
func (s *Sample) Bounds() []time.Duration {
	bounds := make([]time.Duration, 0, len(s.bounds))
	for _, t := range s.bounds {
		bounds = append(bounds, milliseconds(t))
	}
	return bounds
}

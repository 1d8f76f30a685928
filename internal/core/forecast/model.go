package forecast

import "math"

const (
	// levelMemory is the number of steps over which the level of run times is averaged.
	levelMemory = 24
	// slopeMemory is the number of steps after which an observation has lost about two
	// thirds of its weight in how far estimates are followed. That changes more slowly
	// than the level and needs more observations.
	slopeMemory = 200
	// levelPrior is the number of steps that the assumption before the first one is
	// worth: a task takes as long as estimated.
	levelPrior = 2
	// slopePrior is the variance of the logarithms of estimates, times the number of
	// observations, for which estimates are assumed to be right.
	slopePrior = 4
	// initialSpread is the assumed mean deviation of the logarithm of a step's typical
	// run time: a factor of 1.5 in either direction.
	initialSpread = 0.4
	// minSpread keeps constant run times from making every deviation an outlier.
	minSpread = 0.03
	// spreadMemory is the number of steps over which the spread is averaged.
	spreadMemory = 32
	// clipFactor times the spread is the largest deviation with which one step counts.
	clipFactor = 3
	// deviationsPerMean is the standard deviation of a normal distribution as a multiple
	// of its mean deviation.
	deviationsPerMean = 1.2533
	// changeSteps successive steps that deviate by more than changeFactor times the
	// spread to the same side show that the work has changed: 1 in 300 such series
	// arises by chance. The level then follows with changeRate.
	changeSteps  = 4
	changeFactor = 1.5
	changeRate   = 0.3
	// initialRemote is the logarithm of the assumed factor by which a task takes longer on
	// another rack than its data's, and remotePrior the number of compared tasks that it
	// is worth. The platform states a factor of 2 to 3.
	initialRemote = 0.9
	remotePrior   = 8
	// remoteMemory is the number of compared tasks over which the factor is averaged.
	remoteMemory = 256
	// maxRemote bounds the learned logarithm of that factor.
	maxRemote = 2.5
)

// model holds what was learned of a queue or of a key within it. All times are logarithms
// of milliseconds. Invariants: level and x are averages over the same steps; slope sums
// hold deviations from these averages, so that a change of the level does not pass for an
// effect of the estimates.
type model struct {
	// steps is the number of observed steps, and queueSteps that of the queue when the
	// key last occurred.
	steps, queueSteps int
	// x is the average of the logarithms of estimates, and level that of run times.
	x, level float64
	xx, xy   float64
	// spread is the mean deviation from the prediction between steps.
	spread float64
	// deviating counts successive deviations to one side; its sign is theirs.
	deviating int
	// remote is the logarithm of the factor for tasks on another rack than their data,
	// learned from compared tasks. It is used of the model of the queue only.
	remote   float64
	compared float64
	// tasks is the distribution of single tasks around the center of their step.
	tasks histogram
}

func newModel() model {
	return model{spread: initialSpread, remote: initialRemote, tasks: initialTasks}
}

// predict returns the expected center of a step.
func (m *model) predict(x float64, hasEstimate bool) float64 {
	switch {
	case m.steps == 0:
		return x
	case !hasEstimate:
		return m.level
	}
	offset := (m.level - m.x) * float64(m.steps) / float64(m.steps+levelPrior)
	return m.x + offset + m.slope()*(x-m.x)
}

// slope returns how far predictions follow the estimates: 1 where they are right up to a
// constant factor, 0 where they say nothing.
func (m *model) slope() float64 {
	return min(max((m.xy+slopePrior)/(m.xx+slopePrior), 0), 1)
}

// weightBeside returns the weight of a key's model beside that of its queue.
func (m *model) weightBeside(queue *model) float64 {
	stale := 1 + float64(queue.steps-m.queueSteps)/staleSteps
	own := float64(m.steps) / stale
	return own / (own + ownWeight)
}

// learn adds a step with the given center and run times.
func (m *model) learn(x float64, hasEstimate bool, center float64, times []float64) {
	if !hasEstimate {
		x = m.x
		if m.steps == 0 {
			x = center
		}
	}
	rate := 1 / float64(min(m.steps+1, levelMemory))
	if m.steps > 0 {
		expected := m.predict(x, true)
		deviation := center - expected
		if m.noteDeviation(deviation) {
			rate = max(rate, changeRate)
		} else {
			limit := clipFactor * m.spread
			deviation = min(max(deviation, -limit), limit)
			m.spread = max(m.spread+(math.Abs(deviation)-m.spread)/spreadMemory, minSpread)
		}
		center = expected + deviation
		const keep = 1 - 1.0/slopeMemory
		dx := x - m.x
		m.xx, m.xy = keep*m.xx+dx*dx, keep*m.xy+dx*(center-m.level)
	}
	m.steps++
	m.x += rate * (x - m.x)
	m.level += rate * (center - m.level)
	m.tasks.add(times)
}

// noteDeviation counts successive large deviations to one side and reports whether they
// show a change of the work.
func (m *model) noteDeviation(deviation float64) bool {
	switch {
	case math.Abs(deviation) < changeFactor*m.spread:
		m.deviating = 0
	case deviation > 0:
		m.deviating = max(m.deviating, 0) + 1
	default:
		m.deviating = min(m.deviating, 0) - 1
	}
	return m.deviating >= changeSteps || m.deviating <= -changeSteps
}

// learnRemote adds the difference between tasks on another rack and tasks on the rack of
// their data in one step, which compares tasks of equal work.
func (m *model) learnRemote(difference float64, tasks int) {
	m.compared = min(m.compared+float64(tasks), remoteMemory)
	difference = min(max(difference, 0), maxRemote)
	m.remote += float64(tasks) / (m.compared + remotePrior) * (difference - m.remote)
}

const (
	// buckets of bucketWidth cover run times of single tasks from 0.3 to 11 times the
	// center of their step. Shorter and longer ones count in the outermost buckets.
	buckets     = 36
	bucketWidth = 0.1
	// firstBucket puts equal run times in the middle of a bucket.
	firstBucket = -1.25
	// initialDeviation is the assumed standard deviation of the logarithms of the tasks
	// of a step: eight tasks then take 1.5 times as long as one.
	initialDeviation = 0.29
	// initialTaskWeight is the number of steps that this assumption is worth, and
	// taskMemory the number of steps over which the distribution is averaged.
	initialTaskWeight = 4
	taskMemory        = 64
)

// histogram is a distribution of deviations. Each step adds a weight of 1 in all.
type histogram struct {
	total  float64
	counts [buckets]float32
}

// initialTasks is the assumed distribution.
var initialTasks = normalHistogram(initialDeviation, initialTaskWeight)

func normalHistogram(deviation, weight float64) histogram {
	cumulative := func(x float64) float64 { return 0.5 * (1 + math.Erf(x/deviation/math.Sqrt2)) }
	h := histogram{total: weight}
	for i := range h.counts {
		low := firstBucket + bucketWidth*float64(i)
		h.counts[i] = float32(weight * (cumulative(low+bucketWidth) - cumulative(low)))
	}
	return h
}

// add adds the deviations of a step's tasks from their median.
func (h *histogram) add(times []float64) {
	if len(times) < 2 {
		return
	}
	const keep = 1 - 1.0/taskMemory
	h.total = keep * h.total
	for i := range h.counts {
		h.counts[i] *= keep
	}
	center, share := medianOf(times), 1/float64(len(times))
	for _, t := range times {
		i := int(math.Floor((t - center - firstBucket) / bucketWidth))
		h.counts[min(max(i, 0), buckets-1)] += float32(share)
	}
	h.total++
}

// scaledTo returns the distribution with another total weight.
func (h *histogram) scaledTo(weight float64) histogram {
	next := histogram{total: weight}
	for i, c := range h.counts {
		next.counts[i] = float32(float64(c) * weight / h.total)
	}
	return next
}

// quantile returns the deviation below which the given share of the tasks is.
func (h *histogram) quantile(share float64) float64 {
	need, seen := share*h.total, 0.0
	for i, c := range h.counts {
		if c > 0 && seen+float64(c) >= need {
			return firstBucket + bucketWidth*(float64(i)+(need-seen)/float64(c))
		}
		seen += float64(c)
	}
	return firstBucket + bucketWidth*buckets
}

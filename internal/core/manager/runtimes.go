package manager

import (
	"time"

	"laburnumdock/internal/core/forecast"
	"laburnumdock/internal/core/jobs"
)

// This file passes the run times of tasks to the forecaster and its predictions to the
// jobs.

// Forecaster predicts run times and learns from the finished steps. Predictions must not
// change what it predicts next. The control loop alone calls it.
type Forecaster interface {
	Task(k forecast.Key, estimate int64) forecast.Prediction
	Step(k forecast.Key, estimate int64, tasks int) forecast.Prediction
	Learn(k forecast.Key, estimate int64, s *forecast.Sample)
}

// StepTime is the predicted and the observed time of a step that has ended.
type StepTime struct {
	Queue               string
	Predicted, Observed time.Duration
}

// forecastKey returns what tells a step's tasks apart.
func forecastKey(queue string, step *jobs.Step) forecast.Key {
	return forecast.Key{
		Queue: queue, Image: step.Image,
		CPU: step.Demand.CPU, MemoryMB: step.Demand.MemoryMB, Accelerators: step.Demand.Accelerators,
	}
}

// taskTime predicts the run time of one task of a step on the rack of its data.
func (m *Manager) taskTime(queue string, step *jobs.Step) forecast.Prediction {
	return m.runTimes.Task(forecastKey(queue, step), step.Estimate)
}

// taskTimeOn predicts the run time of one task of a step on an executor.
func (m *Manager) taskTimeOn(j *job, step *jobs.Step, s *session) forecast.Prediction {
	key := forecastKey(j.rec.Queue, step)
	key.Remote = isRemote(step, s)
	return m.runTimes.Task(key, step.Estimate)
}

// isRemote reports whether tasks of the step are on another rack than their data if they
// run on the executor.
func isRemote(step *jobs.Step, s *session) bool {
	return step.DataRack != "" && s.rec.Rack != step.DataRack
}

// forecastSteps predicts the times of a job's steps that are not done.
func (m *Manager) forecastSteps(j *job, now time.Time) {
	if j.progress == nil {
		j.progress = make([]stepProgress, len(j.rec.Spec.Steps))
	}
	j.forecastAt = now
	for s := range j.rec.Spec.Steps {
		step := &j.rec.Spec.Steps[s]
		if j.progress[s].predicted == 0 || !j.isStepDone(s) {
			j.progress[s].predicted, j.progress[s].task = m.predictStep(j.rec.Queue, step)
		}
	}
}

// predictStep predicts the median time of a step and the mean time of one of its tasks, by
// which the work of many tasks adds up.
func (m *Manager) predictStep(queue string, step *jobs.Step) (whole, task time.Duration) {
	key := forecastKey(queue, step)
	whole = m.runTimes.Step(key, step.Estimate, timedTasks(step)).Median
	one := m.runTimes.Task(key, step.Estimate)
	if !one.Known {
		// The spread is an assumption then, and a mean by it makes every job seem too late.
		return whole, one.Median
	}
	return whole, one.Mean()
}

// predictSteps predicts the steps of a job that is not accepted yet.
func (m *Manager) predictSteps(spec *jobs.Spec, queue string) []stepProgress {
	progress := make([]stepProgress, len(spec.Steps))
	for s := range spec.Steps {
		progress[s].predicted, progress[s].task = m.predictStep(queue, &spec.Steps[s])
	}
	return progress
}

// timedTasks returns the number of tasks of a step that take times of their own. Those of a
// gang run together, and the end of one is the end of the step.
func timedTasks(step *jobs.Step) int {
	if step.Gang {
		return 1
	}
	return step.Count
}

// isStepDone reports whether the step is done in the first occurrence.
func (j *job) isStepDone(step int) bool {
	return len(j.rec.Steps) > 0 && j.rec.Steps[0][step].TasksLeft == 0
}

// forecastInterval is the time after which the steps of a waiting job are predicted again:
// what it waits behind has taught how long it will take. It is a part of the shortest
// targets of queues, and so long that predictions for 1,000 waiting jobs cost little.
const forecastInterval = 400 * time.Millisecond

// refreshForecasts predicts the steps of a pool's waiting jobs anew.
func (m *Manager) refreshForecasts(p *pool, now time.Time) {
	for _, j := range p.jobs {
		if j.waitingTasks > 0 && !j.longRunning && now.Sub(j.forecastAt) >= forecastInterval {
			m.forecastSteps(j, now)
			j.updateDeadline()
		}
	}
}

// recordRunTime passes the time of a run that has ended to the statistics of its step, and
// those of a step that is done to the forecaster.
//
// A run teaches its time only if nothing but the work determined it. A run that a leader
// before this one ordered, or that began from a checkpoint, shows how long the task takes
// at least. All others teach nothing: a run that failed, was stopped, was lost or lapsed
// ended at a time that its work did not choose, one that was paced down took longer, and
// the end of one whose executor did not answer was reported late.
func (m *Manager) recordRunTime(r *run, result jobs.RunResult) {
	j, ref := r.job, r.key.task
	isEnded := j.rec.Phase.IsFinal() && j.rec.Phase != jobs.PhaseCompleted
	if r.step.LongRunning || result != jobs.ResultDone || isEnded {
		return
	}
	took := r.stateSince.Sub(r.orderedAt)
	if ref.Occurrence == 0 && !r.orderedAt.IsZero() {
		p := &j.progress[ref.Step]
		p.longest = max(p.longest, took)
	}
	sample := j.sample(stepKeyOf(ref), r.step)
	if sample == nil {
		// The other members of a gang and the other runs of a task end after their step.
		return
	}
	index := ref.Index % timedTasks(r.step)
	switch {
	case r.isDisturbed:
	case r.orderedAt.IsZero():
		if !r.startedBy.IsZero() {
			sample.AddBound(index, r.stateSince.Sub(r.startedBy))
		}
	case r.isResumed:
		sample.AddBound(index, took)
	default:
		sample.Add(index, took, isRemote(r.step, r.session))
	}
	// The records of the steps are discarded with the last run of a completed job.
	if len(j.rec.Steps) == 0 || j.rec.Steps[ref.Occurrence][ref.Step].TasksLeft == 0 {
		m.learnStep(j, stepKeyOf(ref), r.step)
	}
}

// sample returns the run times of a step, of which there are none at first, or nil if the
// step was learned.
func (j *job) sample(key stepKey, step *jobs.Step) *forecast.Sample {
	if j.samples == nil {
		j.samples = map[stepKey]*forecast.Sample{}
	}
	if _, ok := j.samples[key]; !ok {
		j.samples[key] = forecast.NewSample(timedTasks(step))
	}
	return j.samples[key]
}

// learnStep passes the run times of a step that is done to the forecaster.
func (m *Manager) learnStep(j *job, key stepKey, step *jobs.Step) {
	m.runTimes.Learn(forecastKey(j.rec.Queue, step), step.Estimate, j.samples[key])
	j.samples[key] = nil
	if p := j.progress[key.step]; key.occurrence == 0 && p.longest > 0 {
		m.out.StepTimes = append(m.out.StepTimes, StepTime{Queue: j.rec.Queue, Predicted: p.predicted, Observed: p.longest})
	}
}

// disturbRuns marks the runs of an executor that does not answer: the ends of those that go
// on are reported late.
func (s *session) disturbRuns() {
	for _, r := range s.runs {
		r.isDisturbed = true
	}
}

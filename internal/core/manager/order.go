package manager

import (
	"cmp"
	"slices"
	"time"

	"laburnumdock/internal/core/jobs"
)

// This file decides in which order the jobs of a pool get capacity. It answers a
// rise of demand: until moved hosts serve, or while all hosts together are too few,
// more work waits than can be done in time. In the order of arrival every job then
// starts when its slack is used up, and nearly all are late. Instead:
//
//   - A job that has begun and can still be in time goes first. Work that is half
//     done earns nothing, and its next step must not wait behind new jobs.
//   - Then come the jobs that can still be in time, the one whose latest start comes
//     first before the others. Such a job needs a margin, because its tasks do not
//     all start at once and forecasts err.
//   - All others go last. They are worth little or nothing to their submitters. A small
//     part of the capacity is theirs before that of new jobs, because they must end.

// stepProgress is what is foreseen and known of a step in the first occurrence.
type stepProgress struct {
	// predicted is the forecast of the step's duration, and task the mean of one of its tasks.
	predicted time.Duration
	task      time.Duration
	// longest is the duration of its longest run so far that was successful.
	longest time.Duration
}

// updateDeadline computes the deadline and the latest start. The deadline is the
// critical path multiplied by the queue's slack factor, plus the queue's target,
// after submission. Steps that are done count with the duration that they had.
func (j *job) updateDeadline() {
	slack, target := objectiveOf(j.queue)
	whole := j.criticalPath(func(step int, done bool) time.Duration {
		if p := j.progress[step]; done && p.longest > 0 {
			return p.longest
		}
		return j.progress[step].predicted
	})
	left := j.criticalPath(func(step int, done bool) time.Duration {
		if done {
			return 0
		}
		return j.progress[step].predicted
	})
	j.deadline = j.submittedAt.Add(time.Duration(slack*float64(whole)) + target)
	j.latestStart = j.deadline.Add(-left)
}

// objectiveOf returns the slack factor and the target of a queue, which may be nil.
func objectiveOf(q *jobs.Queue) (slack float64, target time.Duration) {
	if q == nil {
		return 1, 0
	}
	return max(q.SlackFactor, 1), time.Duration(q.Target) * time.Millisecond
}

// criticalPath returns the length of the critical path through the steps of the
// first occurrence, with the given length of each step.
func (j *job) criticalPath(length func(step int, done bool) time.Duration) time.Duration {
	if len(j.rec.Steps) == 0 {
		return 0
	}
	return longestChain(&j.rec.Spec, func(s int) time.Duration { return length(s, j.rec.Steps[0][s].TasksLeft == 0) })
}

// longestChain returns the length of the longest chain of dependent steps, with the given
// length of each step.
func longestChain(spec *jobs.Spec, length func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(spec.Steps))
	longest := time.Duration(0)
	for s := range spec.Steps {
		start := time.Duration(0)
		for _, earlier := range spec.Steps[s].After {
			start = max(start, ends[earlier])
		}
		ends[s] = start + length(s)
		longest = max(longest, ends[s])
	}
	return longest
}

// timeliness classifies a job by whether it can still meet its deadline.
type timeliness uint8

// The classes of timeliness. A late job is worth little to its submitter and
// one that is far too late nothing; it is still finished.
const (
	onTime timeliness = iota
	late
	tooLate
)

const (
	// startMargin is the share of a job's remaining path that must be left before its
	// latest start for new work on it to begin in time. At its latest start, half of
	// the jobs would be late. With 0.15 and 0.2, less was served in time in overloads that
	// last and where the work changes; with 0.3, less in surges.
	startMargin = 0.25
	// finishAllowance is the share of the remaining path by which a job that has begun
	// may have missed its latest start and still counts as on time: what is left of
	// it is a part of its work, for the worth of the whole.
	finishAllowance = 0.3
)

// lateFactor is the multiple of the time to a job's deadline up to which a late job
// is worth something to its submitter.
const lateFactor = 3

// timeliness classifies the job by its latest start.
func (j *job) timeliness(now time.Time) timeliness {
	worthless := j.latestStart.Add((lateFactor - 1) * j.deadline.Sub(j.submittedAt))
	limit := latestBegin(j.latestStart, j.deadline.Sub(j.latestStart))
	if j.hasBegun() {
		limit = j.latestStart.Add(time.Duration(finishAllowance * float64(j.deadline.Sub(j.latestStart))))
	}
	switch {
	case !now.After(limit):
		return onTime
	case now.After(worthless):
		return tooLate
	default:
		return late
	}
}

// latestBegin returns the time by which a job that has not begun must begin to count as on
// time, from its latest start and its remaining path.
func latestBegin(latestStart time.Time, path time.Duration) time.Time {
	return latestStart.Add(-time.Duration(startMargin * float64(path)))
}

// hasBegun reports whether the start of a task of the job is recorded. It may not have been
// carried out; see isStarted.
func (j *job) hasBegun() bool { return j.rec.Phase == jobs.PhaseRunning }

// waitingJob is a job with tasks that wait for a run.
type waitingJob struct {
	job        *job
	timeliness timeliness
	// isRaised is set for a late job that is moved in front of new ones.
	isRaised bool
}

// waitingJobs returns the jobs with waiting tasks in scheduling order.
func (p *pool) waitingJobs(now time.Time) []waitingJob {
	var list []waitingJob
	for _, j := range p.jobs {
		if j.waitingTasks > 0 && !j.rec.Phase.IsFinal() {
			list = append(list, waitingJob{job: j, timeliness: j.timeliness(now)})
		}
	}
	slices.SortFunc(list, compareJobs)
	return p.raiseLate(list)
}

// lateShare is the part of a pool's capacity that jobs which can no longer be on time get
// before new jobs that can. With 0.2, a pool that is overloaded for long served a fifth less
// of the worth.
const lateShare = 0.05

// raiseLate moves the oldest late jobs in front of the new ones until late jobs have their
// part of the capacity. Late work earns little, but whatever was accepted must end, and in an
// overload that lasts some of it would never start.
func (p *pool) raiseLate(list []waitingJob) []waitingJob {
	first := slices.IndexFunc(list, func(w waitingJob) bool { return !w.job.longRunning && (w.timeliness != onTime || !w.job.hasBegun()) })
	oldest := slices.IndexFunc(list, func(w waitingJob) bool { return !w.job.longRunning && w.timeliness != onTime })
	if first < 0 || oldest <= first {
		return list
	}
	var capacity, used int64
	for _, s := range p.sessions {
		if !s.ended {
			capacity += s.rec.Capacity.CPU
		}
		for _, r := range s.runs {
			if r.job.isRaised && !r.step.LongRunning {
				used += r.allocation.CPU
			}
		}
	}
	room := int64(lateShare*float64(capacity)) - used
	var raised []waitingJob
	for _, w := range list[oldest:] {
		if room <= 0 {
			break
		}
		w.isRaised = true
		raised = append(raised, w)
		room -= w.job.readyDemand()
	}
	return slices.Concat(list[:first], raised, list[first:oldest], list[oldest+len(raised):])
}

// readyDemand returns the CPU that the waiting tasks of the ready steps need.
func (j *job) readyDemand() int64 {
	demand := int64(0)
	for occ := range j.rec.Steps {
		for s := range j.rec.Steps[occ] {
			if left := j.rec.Steps[occ][s].TasksLeft; left > 0 && j.rec.IsStepReady(occ, s) {
				demand += int64(left-j.countLive(occ, s)) * j.rec.Spec.Steps[s].Allocation().CPU
			}
		}
	}
	return demand
}

// compareJobs gives the scheduling order of a pool's jobs: long-running ones first,
// then by priority and timeliness. Of those on time the ones that have begun come
// first, then the order is that of their latest starts. The others go by age.
func compareJobs(a, b waitingJob) int {
	if a.job.longRunning != b.job.longRunning {
		if a.job.longRunning {
			return -1
		}
		return 1
	}
	order := cmp.Or(cmp.Compare(a.job.priority(), b.job.priority()), cmp.Compare(a.timeliness, b.timeliness))
	if order == 0 && a.timeliness == onTime {
		if a.job.hasBegun() != b.job.hasBegun() {
			if a.job.hasBegun() {
				return -1
			}
			return 1
		}
		order = a.job.latestStart.Compare(b.job.latestStart)
	}
	return cmp.Or(order, cmp.Compare(a.job.rec.Seq, b.job.rec.Seq))
}

// hasLongRunningStep reports whether a step of the job runs until the job is
// cancelled.
func hasLongRunningStep(spec *jobs.Spec) bool {
	return slices.ContainsFunc(spec.Steps, func(s jobs.Step) bool { return s.LongRunning })
}

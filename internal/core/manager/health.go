package manager

import (
	"time"

	"laburnumdock/internal/core/jobs"
)

const (
	// distrustAfterJobs is the number of jobs that must fail in a row on an
	// executor before it is distrusted. A job that can never succeed fails
	// everywhere and counts once.
	distrustAfterJobs = 2
	// minDistrust and maxDistrust bound the time for which a distrusted
	// executor gets no new runs. The time doubles each time the executor is
	// distrusted again.
	minDistrust = 2 * time.Second
	maxDistrust = 16 * time.Second
	// fullInterval is the time for which an executor gets no new runs after it
	// refused a start for lack of capacity.
	fullInterval = 200 * time.Millisecond
)

// health is the state of an executor as seen from its runs and answers, which
// outweigh what it reports of itself.
type health struct {
	// failedJobs are the newest of the jobs that failed in a row, one less than
	// distrustAfterJobs at most.
	failedJobs      []string
	distrustTime    time.Duration
	distrustedUntil time.Time
	fullUntil       time.Time
}

// isTrusted reports whether the executor may get new runs.
func (h *health) isTrusted(now time.Time) bool { return !now.Before(h.distrustedUntil) }

func (h *health) isFull(now time.Time) bool { return now.Before(h.fullUntil) }

func (h *health) markFull(now time.Time) { h.fullUntil = now.Add(fullInterval) }

// recordEnd processes the end of a run and reports whether the executor is to
// be distrusted because jobs keep failing on it.
func (h *health) recordEnd(e *jobs.EndRun) bool {
	switch e.Result {
	case jobs.ResultDone:
		h.failedJobs, h.distrustTime = nil, 0
	case jobs.ResultFailed:
		for _, id := range h.failedJobs {
			if id == e.Task.Job {
				return false
			}
		}
		h.failedJobs = append(h.failedJobs, e.Task.Job)
		if len(h.failedJobs) >= distrustAfterJobs {
			h.failedJobs = h.failedJobs[1:]
			return true
		}
	default:
	}
	return false
}

// distrust keeps new runs off an executor for a while.
func (m *Manager) distrust(s *session, reason string, now time.Time) {
	h := &s.health
	if !h.isTrusted(now) {
		return
	}
	h.distrustTime = min(max(2*h.distrustTime, minDistrust), maxDistrust)
	h.distrustedUntil = now.Add(h.distrustTime)
	m.logEvent(Event{Kind: EventExecutorDistrusted, Executor: s.rec.ID, Pool: s.rec.Pool, Reason: reason, Age: h.distrustTime})
}

const (
	// maxStallTime is the longest time for which a run may show no progress.
	// Executors report progress in whole percent, so the longest tasks advance
	// once in a little more than a second.
	maxStallTime = 1500 * time.Millisecond
	// maxStartupTime is the longest time until a long-running task is fully
	// started.
	maxStartupTime = 3 * time.Second
)

// stopStalledRuns stops runs without progress, so that they start elsewhere,
// and distrusts the executor.
func (m *Manager) stopStalledRuns(s *session, now time.Time) {
	stalled := 0
	for _, r := range s.sortedRuns(nil) {
		if !r.isStalled(now) {
			continue
		}
		stalled++
		if !r.stopWanted {
			r.requestStop()
			r.job.task(r.key.task).avoid(s.rec.Number)
			m.logEvent(Event{Kind: EventRunStalled, Task: r.key.task, Run: r.key.run, Executor: s.rec.ID, Pool: s.rec.Pool, Age: now.Sub(r.progressAt)})
		}
	}
	if stalled > 0 {
		m.distrust(s, "runs make no progress", now)
		m.stopIfDue(s, now)
	}
}

// isStalled reports whether a run makes no progress. The members of a gang wait
// for each other, so one of them shows nothing by itself.
func (r *run) isStalled(now time.Time) bool {
	if r.state != runActive || r.activeSince.IsZero() || r.progress >= fullPercent {
		return false
	}
	if r.step.Gang {
		return r.isGangStalled(now)
	}
	if r.step.LongRunning {
		return !r.step.BestEffort && now.Sub(r.progressAt) > maxStartupTime
	}
	return now.Sub(r.progressAt) > maxStallTime
}

// gangStallTime is the time without progress of any member after which a gang is stalled.
// It is longer than maxStallTime, because the members wait for the last one to start.
const gangStallTime = 2 * maxStallTime

// isGangStalled reports whether all members of the run's gang have started and none of them
// makes progress.
func (r *run) isGangStalled(now time.Time) bool {
	if r.step.LongRunning {
		return false
	}
	members := 0
	for key, o := range r.job.runs {
		if key.run != r.key.run || key.task.Occurrence != r.key.task.Occurrence || key.task.Step != r.key.task.Step {
			continue
		}
		if o.state != runActive || o.activeSince.IsZero() || o.progress >= fullPercent || now.Sub(o.progressAt) <= gangStallTime {
			return false
		}
		members++
	}
	return members == r.step.Count
}

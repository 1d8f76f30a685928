package manager

import (
	"time"

	"laburnumdock/internal/core/jobs"
)

const (
	// failuresToDistrust is the number of jobs in a row that must fail on an
	// executor before it is distrusted. A job that can never be done fails
	// everywhere and counts once.
	failuresToDistrust = 2
	// firstDistrust and longestDistrust bound how long a distrusted executor
	// gets no new runs. The time doubles with each relapse.
	firstDistrust   = 2 * time.Second
	longestDistrust = 16 * time.Second
	// fullPause is how long an executor that refused a start for want of room
	// gets no new runs.
	fullPause = 200 * time.Millisecond
)

// health is what an executor's runs and answers tell of it. What it does
// outweighs what it reports of itself.
type health struct {
	// failedJobs are the jobs that failed in a row, the last ones at most.
	failedJobs []string
	distrust   time.Duration
	until      time.Time
	fullUntil  time.Time
}

// isTrusted tells whether the executor gets new runs.
func (h *health) isTrusted(now time.Time) bool { return !now.Before(h.until) }

func (h *health) isFull(now time.Time) bool { return now.Before(h.fullUntil) }

func (h *health) full(now time.Time) { h.fullUntil = now.Add(fullPause) }

// ended takes the end of a run and tells whether the executor fails what it
// starts.
func (h *health) ended(e *jobs.EndRun) bool {
	switch e.Result {
	case jobs.ResultDone:
		h.failedJobs, h.distrust = nil, 0
	case jobs.ResultFailed:
		for _, id := range h.failedJobs {
			if id == e.Task.Job {
				return false
			}
		}
		h.failedJobs = append(h.failedJobs, e.Task.Job)
		if len(h.failedJobs) >= failuresToDistrust {
			h.failedJobs = h.failedJobs[1:]
			return true
		}
	default:
	}
	return false
}

// doubt keeps new runs off an executor for a while.
func (m *Manager) doubt(c *contact, why string, now time.Time) {
	h := &c.health
	if !h.isTrusted(now) {
		return
	}
	h.distrust = min(max(2*h.distrust, firstDistrust), longestDistrust)
	h.until = now.Add(h.distrust)
	m.note(Event{Kind: EventExecutorDistrusted, Executor: c.ex.ID, Pool: c.ex.Pool, Reason: why, Age: h.distrust})
}

const (
	// stallAfter is how long a run may show no progress. Executors show it in
	// whole percent, so the longest tasks move once in a good second.
	stallAfter = 1500 * time.Millisecond
	// startupTime is how long a lasting task may take until it is at work.
	startupTime = 3 * time.Second
)

// watchProgress stops runs that stand still, so that they start elsewhere, and
// distrusts an executor on which several do.
func (m *Manager) watchProgress(c *contact, now time.Time) {
	stalled := 0
	for _, r := range c.sortedRuns(nil) {
		if !r.isStalled(now) {
			continue
		}
		stalled++
		if !r.stop {
			r.end()
			r.job.task(r.key.task).avoid(c.ex.Number)
			m.note(Event{Kind: EventRunStalled, Task: r.key.task, Run: r.key.run, Executor: c.ex.ID, Pool: c.ex.Pool, Age: now.Sub(r.progressAt)})
		}
	}
	if stalled > 0 {
		m.doubt(c, "its runs make no progress", now)
		m.stopIfDue(c, now)
	}
}

// isStalled tells whether a run makes no progress. The members of a gang wait
// for each other and tell nothing by themselves.
func (r *run) isStalled(now time.Time) bool {
	if r.state != runWorking || r.began.IsZero() || r.step.Gang || r.percent >= fullPace {
		return false
	}
	if r.step.LongRunning {
		return !r.step.BestEffort && now.Sub(r.progressAt) > startupTime
	}
	return now.Sub(r.progressAt) > stallAfter
}

package manager

import (
	"time"

	"laburnumdock/internal/core/jobs"
)

// This file keeps tasks off executors that leave before they end. It addresses an upkeep
// wave under load: a host of the wave has its upkeep when it is idle, or, when the time of
// the wave runs short, after its runs have been stopped. Work that a stop destroys is done
// twice, and a long task on a host of the wave delays its upkeep until then. Executors that
// drain get no work at all (exclusionOf).

// leavingExecutors returns the executors whose hosts await their upkeep, with the time at
// which it is expected to begin if they are not idle before, or nil if there are none.
// When a wave has no time to spare, the hosts with the least work are the first to go. That
// order changes with their work, so a host counts as leaving after half of the time of
// those before it.
func (m *Manager) leavingExecutors(now time.Time) map[*session]time.Time {
	var leaving map[*session]time.Time
	for _, w := range m.waves {
		if len(w.pending) == 0 {
			continue
		}
		if leaving == nil {
			leaving = map[*session]time.Time{}
		}
		begin := now.Add(max(m.spareTime(w, now), 0))
		for rank, s := range m.leastLoaded(w) {
			at := begin.Add(time.Duration(rank/max(w.rec.MaxParallel, 1)) * (m.cfg.UpkeepTime + upkeepOverhead) / 2)
			if earlier, ok := leaving[s]; !ok || at.Before(earlier) {
				leaving[s] = at
			}
		}
	}
	return leaving
}

func (p *pass) isLeaving(s *session) bool {
	_, ok := p.leaving[s]
	return ok
}

// endsBeforeUpkeep reports whether a task is expected to end before the upkeep of the
// executor's host begins, or can resume elsewhere from a checkpoint. While run times are
// not known, work does not wait for what may be wrong.
func (p *pass) endsBeforeUpkeep(j *job, step *jobs.Step, s *session) bool {
	leavesAt, ok := p.leaving[s]
	if !ok || step.LongRunning || step.Checkpoints {
		return true
	}
	took := p.m.taskTimeOn(j, step, s)
	return !took.Known || !p.now.Add(took.Median).After(leavesAt)
}

// delaysUpkeep reports whether a task takes so long that it would delay the upkeep of its
// host noticeably, compared with the upkeep itself. Shorter tasks may fill such hosts.
func (p *pass) delaysUpkeep(j *job, step *jobs.Step) bool {
	return !step.LongRunning && p.m.taskTime(j.rec.Queue, step).Median > p.m.cfg.UpkeepTime/2
}

//go:build review

package main

import (
	"fmt"
	"sort"
	"time"
)

// Figures of the case of hopeless jobs. Of 40 jobs 2 can never be done, a share of 0.05. A
// task of the others fails once in 240 s on average.
const (
	soundJobs    = 38
	hopelessJobs = 2
	lastingTasks = 4
	meanFailMs   = 240_000
	watchTime    = 85 * time.Second
)

// playHopeless checks that tasks that last are restarted after they have failed (LOST), when
// two other jobs can never be done.
func playHopeless(b *bed) (bool, error) {
	if err := b.setUp(8, 4); err != nil {
		return false, err
	}
	var names []string
	for i := range soundJobs {
		id := fmt.Sprintf("a0000000000000%02x", i)
		if !b.submit(id, lastingStep(step{FailMs: meanFailMs})) {
			return false, errCannotRun
		}
		for k := range lastingTasks {
			names = append(names, fmt.Sprintf("%s.0.0.%d", id, k))
		}
	}
	b.sleep(2 * time.Second)
	if b.trouble {
		b.rec.log("disruption: %d jobs come that can never be done", hopelessJobs)
		for i := range hopelessJobs {
			if !b.submit(fmt.Sprintf("b0000000000000%02x", i), lastingStep(step{IsPoison: true})) {
				return false, errCannotRun
			}
		}
	}
	calmFrom := time.Now()
	b.sleep(watchTime)
	return b.idleSpans(names, calmFrom, time.Now()), nil
}

func lastingStep(s step) []step {
	s.Count, s.CPU, s.MemMB, s.EstimatedMs, s.AntiAffinity, s.LongRunning, s.Image = lastingTasks, 1000, 1000, 700, 1, true, "img-1"
	return []step{s}
}

// idleSpans reports whether a task that lasts had no run for 3 s, from 6 s after its last
// run on, in a calm time.
func (b *bed) idleSpans(names []string, calmFrom, end time.Time) bool {
	broken := false
	worst := time.Duration(0)
	for _, task := range names {
		runs := b.runsOf(task)
		sort.Slice(runs, func(i, j int) bool { return runs[i].began.Before(runs[j].began) })
		for i, r := range runs {
			if r.ended.IsZero() {
				continue
			}
			next := end
			if i+1 < len(runs) {
				next = runs[i+1].began
			}
			from := later(r.ended.Add(6*time.Second), calmFrom.Add(4*time.Second))
			worst = max(worst, next.Sub(r.ended))
			if idle := next.Sub(from); idle >= 3*time.Second {
				b.rec.log("check: task %s has no run from %.3f to %.3f, for %.1f s after the end of run %d", task, r.ended.Sub(b.rec.start).Seconds(), next.Sub(b.rec.start).Seconds(), next.Sub(r.ended).Seconds(), r.run)
				broken = true
			}
		}
	}
	b.rec.log("check: the longest time without a run is %.1f s", worst.Seconds())
	return broken
}

//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// playLate checks that no task runs twice (TWICE) when one start is left unanswered and
// carried out late, by the next life of the executor that it was sent to.
func playLate(b *bed) (bool, error) {
	const id, tasks = "7be20d1495c3fa60", 20
	const heldTask = id + ".0.0.7"
	part := os.Getenv("PART")
	if err := b.setUp(8, 4); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var held *order
	var holder *machine
	var heldAt time.Time
	if b.trouble && part != "crash" {
		for _, m := range b.machines {
			m.mu.Lock()
			m.withhold = func(path string, o order) bool {
				mu.Lock()
				defer mu.Unlock()
				return path == "/run-start" && o.Task == heldTask && held == nil
			}
			m.onWithheld = func(o order) {
				mu.Lock()
				defer mu.Unlock()
				held, holder, heldAt = &o, m, time.Now()
				b.rec.log("disruption: executor %s leaves run-start %s run %d unanswered, and will carry it out late", m.id, o.Task, o.Run)
			}
			m.mu.Unlock()
		}
	}
	if !b.submit(id, []step{{Count: tasks, CPU: 1800, MemMB: 3300, EstimatedMs: 1000, WorkMs: 1000}}) {
		return false, errCannotRun
	}
	if b.trouble {
		b.awaitCompleted(id)
		b.sleep(300 * time.Millisecond)
		mu.Lock()
		m, o, at := holder, held, heldAt
		mu.Unlock()
		if part == "crash" {
			m, at = b.machines[0], time.Now().Add(-2300*time.Millisecond)
		}
		if m == nil {
			return false, fmt.Errorf("%w: no start was held up", errCannotRun)
		}
		if part == "late" {
			b.sleep(time.Until(at.Add(lateAfter)))
			m.mu.Lock()
			status, reason := m.start(*o)
			b.rec.log("executor %s: the held order is carried out: %d %s", m.id, status, reason)
			m.mu.Unlock()
		} else {
			m.powerOff()
			b.sleep(time.Until(at.Add(lateAfter)))
			var late []order
			if o != nil {
				late = append(late, *o)
			}
			if err := m.powerOn(late...); err != nil {
				return false, err
			}
		}
	}
	b.awaitCompleted(id)
	b.sleep(3 * time.Second)
	return b.ranTwice(), nil
}

// lateAfter is when the order is carried out, of 2 to 12 s.
const lateAfter = 4 * time.Second

func (b *bed) awaitCompleted(id string) {
	for range 80 {
		if b.state(id) == "completed" {
			return
		}
		b.sleep(250 * time.Millisecond)
	}
}

// ranTwice reports whether two runs of one task were active at the same time, on executors
// that were up, or one started after another had ended done and the end was taken note of.
func (b *bed) ranTwice() bool {
	b.runsMu.Lock()
	defer b.runsMu.Unlock()
	byTask := map[string][]*runRecord{}
	for _, r := range b.runs {
		byTask[r.task] = append(byTask[r.task], r)
	}
	now, broken := time.Now(), false
	for task, list := range byTask {
		for i, x := range list {
			for _, y := range list[i+1:] {
				from, to := later(x.began, y.began), earlier(endOf(x, now), endOf(y, now))
				if to.After(from) {
					b.rec.log("check: task %s runs twice for %d ms from %.3f on: run %d on %s and run %d on %s", task, to.Sub(from).Milliseconds(), from.Sub(b.rec.start).Seconds(), x.run, x.machine, y.run, y.machine)
					broken = true
				}
				if x.how == "done" && !x.noted.IsZero() && y.began.After(x.ended) {
					b.rec.log("check: task %s run %d starts on %s at %.3f, after run %d on %s has ended done at %.3f, taken note of at %.3f", task, y.run, y.machine, y.began.Sub(b.rec.start).Seconds(), x.run, x.machine, x.ended.Sub(b.rec.start).Seconds(), x.noted.Sub(b.rec.start).Seconds())
					broken = true
				}
			}
		}
	}
	return broken
}

func endOf(r *runRecord, now time.Time) time.Time {
	if r.ended.IsZero() {
		return now
	}
	return r.ended
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

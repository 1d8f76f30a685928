//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// play is a case: it returns whether the rule was broken.
type play func(b *bed) (broken bool, err error)

var plays = map[string]play{
	"lasting": playLasting, "failed": playFailed, "late": playLate, "gang": playGang, "wave": playWave, "hopeless": playHopeless,
}

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed3 CASE FOLDER")
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, disruption %t", os.Args[1], trouble)
	os.Exit(run(rec, plays[os.Args[1]], trouble))
}

func run(rec *record, p play, trouble bool) int {
	b, err := newBed(rec, trouble)
	defer func() {
		if b != nil {
			b.close()
		}
	}()
	if err != nil {
		rec.log("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return 2
	}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := p(b)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case <-stop:
		rec.log("cannot run: it was stopped")
		return 2
	case r := <-done:
		switch {
		case r.err != nil:
			rec.log("cannot run: %v", r.err)
			fmt.Println("cannot run:", r.err)
			return 2
		case r.broken:
			rec.log("the rule was broken")
			fmt.Println("the rule was broken")
			return 1
		}
		rec.log("the rule held")
		fmt.Println("the rule held")
		return 0
	case <-time.After(timeLimit):
		rec.log("cannot run: out of time")
		return 2
	}
}

var errSetup = errors.New("the tasks did not start before the disruption")

// runsOf returns the records of the runs of a task.
func (b *bed) runsOf(task string) []runRecord {
	b.runsMu.Lock()
	defer b.runsMu.Unlock()
	var list []runRecord
	for _, r := range b.runs {
		if r.task == task {
			list = append(list, *r)
		}
	}
	return list
}

func (b *bed) isRunning(task string) bool {
	for _, r := range b.runsOf(task) {
		if r.ended.IsZero() {
			return true
		}
	}
	return false
}

// awaitRunning waits until all tasks of the first step of a job run.
func (b *bed) awaitRunning(id string, count int) error {
	for range 150 {
		n := 0
		for i := range count {
			if b.isRunning(fmt.Sprintf("%s.0.0.%d", id, i)) {
				n++
			}
		}
		if n == count {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errSetup
}

// rackWaves crashes the two racks by turns.
func (b *bed) rackWaves(waves int, gap, down time.Duration) {
	for i := range waves {
		began := time.Now()
		rack := fmt.Sprintf("r1-%d", i%2)
		b.rec.log("disruption: the workers of rack %s crash", rack)
		for _, m := range b.machines {
			if m.rack == rack {
				m.powerOff()
			}
		}
		time.Sleep(down)
		for _, m := range b.machines {
			if m.rack == rack {
				if err := m.powerOn(); err != nil {
					b.rec.log("machine %s: %v", m.name, err)
				}
			}
		}
		b.rec.log("disruption: the workers of rack %s are back", rack)
		if i < waves-1 {
			time.Sleep(gap - time.Since(began))
		}
	}
}

const (
	waveCount = 4
	waveGap   = 4 * time.Second
	waveDown  = 1500 * time.Millisecond
)

// playLasting checks that tasks that last are restarted after crashes of executors (LOST).
func playLasting(b *bed) (bool, error) {
	const id, tasks = "5c0e7a21d94b36f8", 4
	if err := b.setUp(8, 4); err != nil {
		return false, err
	}
	if !b.submit(id, []step{{Count: tasks, CPU: 3000, MemMB: 4800, EstimatedMs: 700, AntiAffinity: 1, LongRunning: true, Image: "img-1"}}) {
		return false, errCannotRun
	}
	if err := b.awaitRunning(id, tasks); err != nil {
		return false, err
	}
	b.sleep(2 * time.Second)
	if b.trouble {
		b.rackWaves(waveCount, waveGap, waveDown)
	}
	calmFrom := time.Now()
	b.rec.log("calm begins")
	const observed = 30 * time.Second
	for time.Since(calmFrom) < observed {
		b.sleep(5 * time.Second)
		b.state(id)
	}
	end := time.Now()
	broken := false
	for i := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", id, i)
		if b.isIdleTooLong(task, calmFrom, end) {
			broken = true
		}
	}
	return broken, nil
}

// isIdleTooLong reports whether a task that lasts has no run for 3 s, from 6 s after its
// last run on, and with nothing disrupted in these 3 s and the 4 s before them. All
// executors are up then and nearly empty.
func (b *bed) isIdleTooLong(task string, calmFrom, end time.Time) bool {
	lastEnd, idleFrom := time.Time{}, calmFrom.Add(4*time.Second)
	for _, r := range b.runsOf(task) {
		if r.ended.IsZero() {
			b.rec.log("check: task %s runs on %s since %.3f", task, r.machine, r.began.Sub(b.rec.start).Seconds())
			lastEnd = end
			continue
		}
		if r.ended.After(lastEnd) {
			lastEnd = r.ended
		}
	}
	if from := lastEnd.Add(6 * time.Second); from.After(idleFrom) {
		idleFrom = from
	}
	idle := end.Sub(idleFrom)
	if idle < 3*time.Second {
		return false
	}
	b.rec.log("check: task %s has no run for %.1f s, from %.3f on; its last run ended at %.3f", task, idle.Seconds(), idleFrom.Sub(b.rec.start).Seconds(), lastEnd.Sub(b.rec.start).Seconds())
	return true
}

func (b *bed) setUp(machines, perRack int) error {
	if err := b.addMachines(machines, perRack); err != nil {
		return fmt.Errorf("%w: %v", errCannotRun, err)
	}
	if err := b.ready(); err != nil {
		return err
	}
	// Executors report every 1.5 s; all are known after two reports.
	b.sleep(2 * heartbeatEvery)
	return nil
}

// playFailed checks that a job is not shown as failed although no run of it ended failed
// (LOST).
func playFailed(b *bed) (bool, error) {
	const id, tasks = "41d0be7792aa6c05", 4
	if err := b.setUp(8, 4); err != nil {
		return false, err
	}
	if !b.submit(id, []step{{Count: tasks, CPU: 3800, MemMB: 5500, EstimatedMs: 15000, AntiAffinity: 1, WorkMs: 15000}}) {
		return false, errCannotRun
	}
	if err := b.awaitRunning(id, tasks); err != nil {
		return false, err
	}
	b.sleep(2 * time.Second)
	if b.trouble {
		b.rackWaves(waveCount, waveGap, waveDown)
	}
	state := ""
	for range 24 {
		b.sleep(1500 * time.Millisecond)
		if state = b.state(id); state == "failed" || state == "completed" || state == "cancelled" {
			break
		}
	}
	failed := 0
	for i := range tasks {
		for _, r := range b.runsOf(fmt.Sprintf("%s.0.0.%d", id, i)) {
			b.rec.log("check: %s run %d on %s ended %s", r.task, r.run, r.machine, r.how)
			if r.how == "failed" {
				failed++
			}
		}
	}
	b.rec.log("check: the job is shown as %q, %d of its runs ended failed", state, failed)
	return (state == "failed" || state == "cancelled") && failed == 0, nil
}

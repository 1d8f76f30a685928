//go:build review

package main

import (
	"fmt"
	"time"
)

// sampleEvery is the time between two looks at what runs.
const sampleEvery = 100 * time.Millisecond

// watchWaiting looks at what runs until the returned function is called, which notes a
// breach for each accepted job of which nothing has run for lostAfter, though the turn of
// a task of it has come, there is room for it twice over and under half of the room of the
// service's executors is in use.
func (b *bed) watchWaiting() func() {
	stop, done := make(chan struct{}), make(chan struct{})
	since := map[string]time.Time{}
	found := map[string]string{}
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(sampleEvery):
			}
			rooms := b.rooms("desk")
			b.mu.Lock()
			now := time.Now()
			for _, j := range b.order {
				name, needs, waits := b.waitsLocked(j)
				if !waits || !rooms.fitTwice(needs) {
					delete(since, j.id)
					continue
				}
				if since[j.id].IsZero() {
					since[j.id] = now
				}
				if now.Sub(since[j.id]) >= lostAfter && found[j.id] == "" {
					found[j.id] = fmt.Sprintf("task %s of accepted job %s could run and doesn't for %s; %d of %d thousandths of a core are in use", name, j.id, lostAfter, rooms.used.Cpu, rooms.total.Cpu)
				}
			}
			b.mu.Unlock()
		}
	}()
	return func() {
		close(stop)
		<-done
		b.mu.Lock()
		list := append([]*job{}, b.order...)
		b.mu.Unlock()
		for _, j := range list {
			if found[j.id] == "" {
				continue
			}
			// A job that has been given up meanwhile does not wait.
			if status, state := b.ask(j); status == 200 && !isFinal(state) {
				b.breach("LOST: %s; the job is shown as %s", found[j.id], state)
			}
		}
	}
}

// rooms is the room of the executors of a service.
type rooms struct {
	total, used resources
	free        []resources
}

// fitTwice reports whether there is room for two such tasks and under half of it all is in
// use.
func (r rooms) fitTwice(needs resources) bool {
	if 2*r.used.Cpu >= r.total.Cpu || 2*r.used.MemMb >= r.total.MemMb {
		return false
	}
	places := 0
	for _, f := range r.free {
		for n := int64(1); places < 2 && needs.times(n).within(f); n++ {
			places++
		}
	}
	return places >= 2
}

func (b *bed) rooms(pool string) rooms {
	var r rooms
	for _, m := range b.running(pool) {
		m.mu.Lock()
		e := m.exec
		m.mu.Unlock()
		if e == nil {
			continue
		}
		e.mu.Lock()
		used := e.inUse()
		e.mu.Unlock()
		r.total, r.used = r.total.plus(b.room), r.used.plus(used)
		r.free = append(r.free, resources{b.room.Cpu - used.Cpu, b.room.MemMb - used.MemMb, 0})
	}
	return r
}

// waitsLocked reports whether nothing of an accepted job runs, or nothing of one of its
// lasting tasks from lastingAfter after its last run on, though the turn of a task has
// come, and names that task.
func (b *bed) waitsLocked(j *job) (string, resources, bool) {
	if j.accepted.IsZero() || isFinal(j.shown) || !j.cancelSent.IsZero() {
		return "", resources{}, false
	}
	first, needs := "", resources{}
	for s, step := range j.steps {
		if !b.isTurnLocked(j, step) {
			continue
		}
		for i := range step.count {
			name := taskName(j, s, i)
			t := b.tasks[name]
			isActive := t != nil && len(t.active) > 0
			if step.lasting {
				if !isActive && (t == nil || time.Since(t.lastEnd) > lastingAfter) {
					return name, step.needs, true
				}
				continue
			}
			if isActive {
				return "", resources{}, false
			}
			if first == "" && (t == nil || !t.done) {
				first, needs = name, step.needs
			}
		}
	}
	return first, needs, first != ""
}

func (b *bed) isTurnLocked(j *job, step stepPlan) bool {
	for _, s := range step.dependsOn {
		for i := range j.steps[s].count {
			if t := b.tasks[taskName(j, s, i)]; t == nil || !t.done {
				return false
			}
		}
	}
	return true
}

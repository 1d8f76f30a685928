//go:build review

package main

import (
	"math/rand"
	"sync"
	"time"
)

// Bounds of the rules, in the small deployments.
const (
	visible   = 3 * time.Second
	finish    = 14 * time.Second
	lostAfter = 3 * time.Second
	// lastingAfter is the time after the last run of a lasting task from which the rule
	// on it holds.
	lastingAfter = 6 * time.Second
)

var hostRoom = resources{Cpu: 32000, MemMb: 65536}

// traffic submits jobs until the time is over, perSecond on average.
func (b *bed) traffic(group *sync.WaitGroup, length time.Duration, perSecond float64, next func() *job) {
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		j := next()
		group.Go(func() { b.submit(j) })
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
	}
}

// running returns the machines of a pool on which an executor runs.
func (b *bed) running(pool string) []*machine {
	var list []*machine
	for _, m := range b.allMachines() {
		m.mu.Lock()
		if m.exec != nil && m.pool == pool {
			list = append(list, m)
		}
		m.mu.Unlock()
	}
	return list
}

// crash ends an executor at once. Another one starts on its machine some time later.
func (m *machine) crash(down time.Duration) {
	m.halt("crash", "down")
	time.AfterFunc(down, m.boot)
}

// crashes is the case of executors that crash one after the other, and that are back a
// little later. No run of a task ends failed in it.
func crashes(b *bed) {
	b.playCrashes(80*time.Millisecond, 550*time.Millisecond, 500*time.Millisecond, 100, 10)
	b.askAll()
}

// waiting is the same with another check: whether what was accepted runs once all is calm.
func waiting(b *bed) {
	b.playCrashes(540*time.Millisecond, time.Second, 900*time.Millisecond, 45, 5)
	b.askStates()
	watch := b.watchWaiting()
	time.Sleep(lostAfter + 500*time.Millisecond)
	watch()
}

// playCrashes plays the traffic and the crashes, and returns finish after their end.
func (b *bed) playCrashes(mean, pause, down time.Duration, count, lasting int) {
	const (
		// One executor at a time is down, of minRunning or more.
		minRunning = 8
		perSecond  = 20
	)
	b.pools, b.standby = []string{"desk"}, "spare"
	if !b.begin(hostRoom, map[string]int{"desk": 11, "spare": 8}, routeOf("proof", "desk", 2), routeOf("serve", "desk", 4)) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() {
		b.traffic(&group, 7*time.Second+time.Duration(count)*pause, perSecond, func() *job {
			step := stepPlan{count: 1 + rand.Intn(11), needs: resources{Cpu: 1800, MemMb: 4000}, mean: mean, outcome: "done"}
			if rand.Intn(2) == 0 {
				return b.newJob("proof", "desk", step)
			}
			second := step
			second.dependsOn = []int{0}
			return b.newJob("proof", "desk", step, second)
		})
	})
	for range 3 {
		j := b.newJob("serve", "desk", stepPlan{count: lasting, needs: resources{Cpu: 2500, MemMb: 8000}, lasting: true, apart: 1, outcome: "done"})
		group.Go(func() { b.submit(j) })
	}
	time.Sleep(7 * time.Second)
	if b.trouble {
		for range count {
			if list := b.running("desk"); len(list) >= minRunning {
				list[rand.Intn(len(list))].crash(down)
			}
			time.Sleep(pause)
		}
	} else {
		time.Sleep(time.Duration(count) * pause)
	}
	group.Wait()
	calm := time.Now()
	time.Sleep(finish)
	b.note("the traffic and the crashes ended %.1f s before", time.Since(calm).Seconds())
}

// askStates asks for the state of each accepted job, so that those that have ended are known.
func (b *bed) askStates() {
	b.mu.Lock()
	list := append([]*job{}, b.order...)
	b.mu.Unlock()
	for _, j := range list {
		if !j.accepted.IsZero() {
			b.ask(j)
		}
	}
}

// askAll asks for all accepted jobs, and notes a breach for each one that is shown as failed
// although none of its tasks has failed as often as the queue allows.
func (b *bed) askAll() {
	b.mu.Lock()
	list := append([]*job{}, b.order...)
	b.mu.Unlock()
	for _, j := range list {
		if j.accepted.IsZero() {
			continue
		}
		status, state := b.ask(j)
		for range 5 {
			if status == 200 || status == 410 {
				break
			}
			time.Sleep(200 * time.Millisecond)
			status, state = b.ask(j)
		}
		switch {
		case status == 410:
			b.breach("LOST: accepted job %s is answered 410", j.id)
		case state == "failed" && !b.mayBeGivenUp(j):
			b.breach("LOST: accepted job %s is shown as failed, no run of its tasks has ended failed, and fewer than %d executors have crashed under each of them", j.id, crashesAllowed)
		case state == "cancelled":
			b.breach("LOST: accepted job %s is shown as cancelled, and nobody has cancelled it", j.id)
		}
	}
}

// crashesAllowed is the number of executors that have to crash under a task before its job
// may be given up, by a newer page.
const crashesAllowed = 2

// mayBeGivenUp reports whether a run of a task of the job has ended failed, or enough
// executors have crashed under one of its tasks.
func (b *bed) mayBeGivenUp(j *job) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, t := range b.tasks {
		if id, _, _, _ := parse(name); id == j.id && (t.failed > 0 || t.crashed >= crashesAllowed) {
			return true
		}
	}
	return false
}

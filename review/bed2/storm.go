//go:build review

package main

import (
	"math/rand"
	"sync"
	"syscall"
	"time"
)

// storm is no case of its own: it mixes disruptions, to look for faults.
func storm(b *bed) {
	b.pools, b.standby = []string{"desk", "saw"}, "spare"
	if !b.begin(hostRoom, map[string]int{"desk": 9, "saw": 9, "spare": 8}, routeOf("proof", "desk", 2), routeOf("verse", "saw", 4), routeOf("serve", "desk", 4)) {
		return
	}
	var group sync.WaitGroup
	for _, q := range [][2]string{{"proof", "desk"}, {"verse", "saw"}} {
		group.Go(func() {
			b.traffic(&group, 45*time.Second, 5, func() *job {
				step := stepPlan{count: 1 + rand.Intn(8), needs: resources{Cpu: 1800, MemMb: 4000}, mean: time.Duration(300+rand.Intn(3000)) * time.Millisecond, outcome: "done"}
				second := step
				second.dependsOn = []int{0}
				return b.newJob(q[0], q[1], step, second)
			})
		})
	}
	for range 3 {
		j := b.newJob("serve", "desk", stepPlan{count: 5, needs: resources{Cpu: 2500, MemMb: 8000}, lasting: true, apart: 1, outcome: "done"})
		group.Go(func() { b.submit(j) })
	}
	time.Sleep(4 * time.Second)
	lateUntil := time.Time{}
	b.late = func(*executor) bool { return time.Now().Before(lateUntil) && rand.Intn(3) == 0 }
	end := time.Now().Add(38 * time.Second)
	for time.Now().Before(end) {
		pool := b.pools[rand.Intn(2)]
		list := b.running(pool)
		switch kind := rand.Intn(8); {
		case kind == 0:
			p := b.processes[rand.Intn(cells)]
			b.note("SIGKILL %s", p.name)
			p.kill()
			time.Sleep(time.Duration(100+rand.Intn(900)) * time.Millisecond)
			_ = p.start()
		case kind == 1:
			p := b.processes[rand.Intn(cells)]
			b.note("SIGSTOP %s", p.name)
			_ = p.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(300+rand.Intn(2500)) * time.Millisecond)
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			b.note("SIGCONT %s", p.name)
		case kind <= 3 && len(list) > 2:
			m := list[rand.Intn(len(list))]
			m.crash(time.Duration(300+rand.Intn(3000)) * time.Millisecond)
		case kind <= 5 && len(list) > 2:
			m := list[rand.Intn(len(list))]
			b.note("executor on %s is cut off", m.name)
			m.cut(true)
			time.AfterFunc(time.Duration(500+rand.Intn(8000))*time.Millisecond, func() {
				m.cut(false)
				b.note("executor on %s is joined again", m.name)
			})
		case kind == 6:
			b.note("orders are carried out late")
			lateUntil = time.Now().Add(3 * time.Second)
		}
		time.Sleep(time.Duration(300+rand.Intn(1500)) * time.Millisecond)
	}
	group.Wait()
	time.Sleep(finish)
	watch := b.watchWaiting()
	b.askAll()
	time.Sleep(lostAfter + 500*time.Millisecond)
	watch()
}

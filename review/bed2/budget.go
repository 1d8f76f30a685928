//go:build review

package main

import (
	"sync"
	"time"
)

// budget is the case of jobs that can never be done, whose route is removed while they run.
func budget(b *bed) {
	const attempts = 2
	b.pools, b.standby, b.maxFails = []string{"desk"}, "spare", attempts
	kept, dropped := routeOf("kept", "desk", attempts), routeOf("dropped", "desk", attempts)
	if !b.begin(hostRoom, map[string]int{"desk": 9, "spare": 8}, kept, dropped) {
		return
	}
	var group sync.WaitGroup
	good := stepPlan{count: 4, needs: resources{Cpu: 1800, MemMb: 4000}, mean: 540 * time.Millisecond, outcome: "done"}
	hopeless := stepPlan{count: 1, needs: resources{Cpu: 1800, MemMb: 4000}, mean: 1500 * time.Millisecond, outcome: "failed"}
	group.Go(func() {
		b.traffic(&group, 12*time.Second, 4, func() *job { return b.newJob("kept", "desk", good) })
	})
	for range 3 {
		j := b.newJob("dropped", "desk", hopeless)
		group.Go(func() { b.submit(j) })
	}
	time.Sleep(time.Second)
	if b.trouble && !b.configure(2, kept) {
		b.broken("the second configuration is not acknowledged")
	}
	group.Wait()
	time.Sleep(6 * time.Second)
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, t := range b.tasks {
		if t.failed > 0 {
			b.write("%s: %d starts, %d runs ended failed", name, t.starts, t.failed)
		}
	}
}

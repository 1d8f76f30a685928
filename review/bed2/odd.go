//go:build review

package main

import (
	"encoding/json"
	"math/rand"
	"sync"
	"time"
)

// odd is the case of a heartbeat of another writer, in which fields are missing. It names the
// ID of an executor that works.
func odd(b *bed) {
	b.pools, b.standby = []string{"desk"}, "spare"
	if !b.begin(hostRoom, map[string]int{"desk": 9, "spare": 8}, routeOf("proof", "desk", 2), routeOf("serve", "desk", 4)) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() {
		b.traffic(&group, 16*time.Second, 6, func() *job {
			return b.newJob("proof", "desk", stepPlan{count: 1 + rand.Intn(8), needs: resources{Cpu: 1800, MemMb: 4000}, mean: 2 * time.Second, outcome: "done"})
		})
	})
	// A job that lasts keeps some executors in the service.
	j := b.newJob("serve", "desk", stepPlan{count: 6, needs: resources{Cpu: 2500, MemMb: 8000}, lasting: true, apart: 1, outcome: "done"})
	group.Go(func() { b.submit(j) })
	time.Sleep(8 * time.Second)
	if m := b.busiest("desk"); b.trouble && m != nil {
		m.mu.Lock()
		e := m.exec
		m.mu.Unlock()
		// Zone, Version, Slots, ColdRemainingMs, Labels, Machine and ClockMs are missing.
		body, _ := json.Marshal(map[string]any{
			"Service": e.pool, "Address": e.addr, "State": "ready", "Capacity": b.room, "Sequence": 1, "born": time.Now().UnixMilli(),
		})
		status, _ := b.call("POST", "http://"+at(b.net.cell(0), controlPort)+"/instances/"+e.id+"/heartbeat", "", string(body), time.Second)
		b.note("another writer sends a heartbeat of %s to core-0 and gets %d: %s", e.id, status, body)
	}
	group.Wait()
	time.Sleep(8 * time.Second)
}

// busiest returns the machine of a pool whose executor has most tasks that have been at work
// for half a second.
func (b *bed) busiest(pool string) *machine {
	var best *machine
	most := 0
	for _, m := range b.running(pool) {
		m.mu.Lock()
		e := m.exec
		m.mu.Unlock()
		if e == nil {
			continue
		}
		e.mu.Lock()
		count := 0
		for _, r := range e.runs {
			if time.Since(r.began) > 500*time.Millisecond {
				count++
			}
		}
		e.mu.Unlock()
		if count > most {
			best, most = m, count
		}
	}
	return best
}

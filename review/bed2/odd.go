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
	for range 3 {
		if m := b.busiest("desk"); b.trouble && m != nil {
			b.sendOdd(m)
		}
		time.Sleep(2500 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(8 * time.Second)
}

// sendOdd sends the heartbeat of another writer for the executor of a machine, to one machine
// of the core after the other until it is acknowledged.
func (b *bed) sendOdd(m *machine) {
	m.mu.Lock()
	e := m.exec
	m.mu.Unlock()
	if e == nil {
		return
	}
	// Zone, Version, Slots, ColdRemainingMs, Labels, Machine and ClockMs are missing.
	body, _ := json.Marshal(map[string]any{
		"Service": e.pool, "Address": e.addr, "State": "ready", "Capacity": b.room, "Sequence": 1, "born": time.Now().UnixMilli(),
	})
	for i := range cells {
		status, _ := b.call("POST", "http://"+at(b.net.cell(i), controlPort)+"/instances/"+e.id+"/heartbeat", "", string(body), time.Second)
		b.note("another writer sends a heartbeat of %s to core-%d and gets %d: %s", e.id, i, status, body)
		if status == 200 || status == 400 {
			return
		}
	}
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

//go:build review

package main

import (
	"strings"
	"sync"
	"time"
)

// added is the case of machines that are added to a service and are due for upkeep a little
// later, when the system has no work for them and has moved them to the pool of machines that
// are off.
func added(b *bed) {
	const sinceAdded = 4 * time.Second
	b.pools, b.standby = []string{"desk"}, "spare"
	machines := map[string]int{"desk": 9, "spare": 8}
	later := []string{"m-18", "m-19"}
	if !b.trouble {
		// The same machines are there from the start.
		machines["desk"] += len(later)
		later = []string{"m-10", "m-11"}
	}
	if !b.begin(hostRoom, machines, routeOf("proof", "desk", 2)) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() {
		b.traffic(&group, 25*time.Second, 4, func() *job {
			return b.newJob("proof", "desk", stepPlan{count: 4, needs: resources{Cpu: 1800, MemMb: 4000}, mean: 540 * time.Millisecond, outcome: "done"})
		})
	})
	time.Sleep(2 * time.Second)
	if b.trouble {
		for i, name := range later {
			m := &machine{bed: b, name: name, rack: "r-9", zone: zones[i], pool: "desk", state: "up", addr: b.net.host(1, 90+i)}
			b.mu.Lock()
			b.machines = append(b.machines, m)
			b.mu.Unlock()
			b.note("machine %s is added to desk", name)
			m.boot()
		}
	}
	time.Sleep(sinceAdded)
	wave := append(append([]string{}, later...), "m-01", "m-02", "m-03")
	b.startWave(1, 24, wave...)
	for range 60 {
		time.Sleep(250 * time.Millisecond)
		status, body := b.call("GET", "http://"+at(b.net.cell(0), controlPort)+"/wave-get/1", "", "", time.Second)
		if status != 200 || !strings.Contains(string(body), "completed") {
			continue
		}
		b.note("the wave is said to be completed")
		b.mu.Lock()
		for _, name := range wave {
			if !b.begun[name] {
				b.breachLocked("MIXED: the wave is said to be completed, and the upkeep of %s has not begun", name)
			}
		}
		b.mu.Unlock()
		break
	}
	group.Wait()
}

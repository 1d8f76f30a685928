//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// takenAway notes that a machine begins its upkeep or its move, and checks that this does not
// end more tasks of a lasting step than the step allows. Tasks count that are at work.
func (b *bed) takenAway(m *machine, what string) {
	m.mu.Lock()
	e := m.exec
	m.mu.Unlock()
	atWork := map[string][]string{}
	if e != nil {
		e.mu.Lock()
		for name, r := range e.runs {
			if id, step, _, _ := parse(name); r.lasting && !r.stopping && r.percent() == 100 {
				key := fmt.Sprintf("%s.0.%d", id, step)
				atWork[key] = append(atWork[key], name)
			}
		}
		e.mu.Unlock()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.write("the %s of %s begins", what, m.name)
	for key, names := range atWork {
		id, _, _ := strings.Cut(key, ".")
		if allowed := b.jobs[id].steps[0].missAllowed; allowed > 0 && len(names) > allowed {
			b.breachLocked("AVAIL: the %s of %s ends %d tasks of step %s that are at work on %s; MissAllowed is %d", what, m.name, len(names), key, e.id, allowed)
		}
	}
}

// upkeep is the case of a heartbeat that was held up by a cut path and arrives after its
// sender has ended and another executor runs on the machine.
func upkeep(b *bed) {
	const cut = 5500 * time.Millisecond
	b.pools = []string{"desk", "saw"}
	if !b.begin(hostRoom, map[string]int{"desk": 9, "saw": 2}, routeOf("proof", "desk", 2), routeOf("serve", "saw", 4)) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() {
		b.traffic(&group, 16*time.Second, 4, func() *job {
			return b.newJob("proof", "desk", stepPlan{count: 4, needs: resources{Cpu: 1800, MemMb: 4000}, mean: 540 * time.Millisecond, outcome: "done"})
		})
	})
	// A machine joins the service desk; its path to one machine of the core is cut.
	m := &machine{bed: b, name: "m-99", rack: "r-9", zone: zones[0], pool: "desk", state: "up", addr: b.net.host(1, 99)}
	if b.trouble {
		m.cutFrom = b.follower()
	}
	b.mu.Lock()
	b.machines = append(b.machines, m)
	b.mu.Unlock()
	began := time.Now()
	m.boot()
	time.Sleep(1600 * time.Millisecond)
	// The service saw needs a third machine for a job that lasts.
	j := b.newJob("serve", "saw", stepPlan{count: 22, needs: resources{Cpu: 3800, MemMb: 7000}, lasting: true, missAllowed: 2, outcome: "done"})
	b.submit(j)
	time.Sleep(time.Until(began.Add(cut)))
	m.mu.Lock()
	m.cutFrom = ""
	m.mu.Unlock()
	time.Sleep(time.Second)
	b.startWave(1, 20, m.name)
	for range 40 {
		time.Sleep(250 * time.Millisecond)
		if status, body := b.call("GET", "http://"+at(b.net.cell(0), controlPort)+"/wave-get/1", "", "", time.Second); status == 200 && strings.Contains(string(body), "completed") {
			b.note("the wave is said to be completed")
			break
		}
	}
	group.Wait()
}

// follower returns the address for heartbeats of a machine of the core that does not lead.
func (b *bed) follower() string {
	for _, p := range b.controlAddresses() {
		if p != b.leaderHint() {
			return p
		}
	}
	return ""
}

// leaderHint returns the address that the system has last named for heartbeats.
func (b *bed) leaderHint() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hint
}

// startWave orders the upkeep of machines until the order is acknowledged.
func (b *bed) startWave(number int64, seconds int, machines ...string) {
	b.mu.Lock()
	for _, name := range machines {
		b.wave[name] = number
	}
	b.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"Wave": number, "Machines": machines, "DurationS": seconds, "MaxCount": 1})
	for attempt := range 30 {
		status, _ := b.call("POST", "http://"+at(b.net.cell(attempt%cells), controlPort)+"/wave-start", "", string(body), time.Second)
		b.note("operator starts wave %d for %v at core-%d and gets %d", number, machines, attempt%cells, status)
		if status == 200 {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	b.broken("the wave is not acknowledged")
}

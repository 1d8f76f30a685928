//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// playWave checks that tasks that last are restarted (LOST) while all machines of their
// service are due for upkeep. Three of the machines have three of the tasks each, and one has
// two; 55 of 128 cores are in use.
func playWave(b *bed) (bool, error) {
	const id = "0c7f91d2be3340a6"
	const machines, tasks, cpu, perMachine = 4, 11, 5000, 3
	if err := b.setUp(machines, machines); err != nil {
		return false, err
	}
	if !b.submit(id, []step{{Count: tasks, CPU: cpu, MemMB: 4800, EstimatedMs: 700, AntiAffinity: perMachine, LongRunning: true, MissAllowed: 1, Image: "img-1"}}) {
		return false, errCannotRun
	}
	if err := b.awaitRunning(id, tasks); err != nil {
		return false, err
	}
	b.sleep(2 * time.Second)
	var names []string
	for k := range tasks {
		names = append(names, fmt.Sprintf("%s.0.0.%d", id, k))
	}
	calmFrom := time.Now()
	if b.trouble {
		if !b.startWave(1, 20, 1) {
			return false, fmt.Errorf("%w: the wave was not acknowledged", errCannotRun)
		}
	}
	for range 12 {
		b.sleep(5 * time.Second)
		if b.trouble {
			status, data := b.call("GET", fmt.Sprintf("http://%s:%d/wave-get/1", b.ip(1), controlPort), "", "")
			b.rec.log("operator: wave-get/1, answer %d %s", status, data)
		}
		b.state(id)
	}
	return b.idleSpans(names, calmFrom, time.Now()), nil
}

// startWave sends a wave over all machines until it is acknowledged.
func (b *bed) startWave(number, durationS, maxCount int) bool {
	b.upkeepMu.Lock()
	b.wave = number
	var names []string
	for _, m := range b.machines {
		names = append(names, m.name)
		b.inWave[m.name] = true
	}
	b.upkeepMu.Unlock()
	body, _ := json.Marshal(map[string]any{"Wave": number, "Machines": names, "DurationS": durationS, "MaxCount": maxCount})
	for i := range 20 {
		status, _ := b.call("POST", fmt.Sprintf("http://%s:%d/wave-start", b.ip(1+i%cores), controlPort), "", string(body))
		b.rec.log("operator: wave-start %s to core-%d, answer %d", body, 1+i%cores, status)
		if status == 200 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

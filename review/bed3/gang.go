//go:build review

package main

import (
	"fmt"
	"time"
)

// playGang checks that a rack-local gang starts where there is room for it (LOST), after one
// executor was lost for good.
func playGang(b *bed) (bool, error) {
	const id, tasks = "93c1e0f2ab5d4478", 4
	if err := b.ready(); err != nil {
		return false, err
	}
	// The machines start rack by rack.
	if err := b.addMachinesRackByRack(12, 4, time.Second); err != nil {
		return false, fmt.Errorf("%w: %v", errCannotRun, err)
	}
	b.sleep(2 * heartbeatEvery)
	if b.trouble {
		b.rec.log("disruption: executor %s of rack %s is lost for good", b.machines[1].id, b.machines[1].rack)
		b.machines[1].powerOff()
		b.sleep(10 * time.Second)
	}
	if !b.submit(id, []step{{Count: tasks, CPU: 20000, MemMB: 1000, EstimatedMs: 1000, Gang: true, RackLocal: true, WorkMs: 1000}}) {
		return false, errCannotRun
	}
	state := ""
	for range 40 {
		b.sleep(time.Second)
		if state = b.state(id); state == "completed" || state == "failed" {
			break
		}
	}
	return state != "completed", nil
}

//go:build review

// Case 4: the platform is slow while machines have their upkeep. See claim.txt.
package main

import (
	"sync"
	"time"

	"laburnumdock/review/bed"
)

func main() { bed.Main(100*time.Second, play) }

const machines = 6

func play(b *bed.Bed) error {
	cloud, err := b.StartCloud()
	if err != nil {
		return err
	}
	cloud.Boot = 800 * time.Millisecond
	if err := b.Start(); err != nil {
		return err
	}
	if err := b.Configure(1, []map[string]any{bed.Service("pricing", false)}, bed.Route{Name: "q", Prefix: "/q/", Service: "pricing", MaxAttempts: 3}); err != nil {
		return err
	}
	var list []*bed.Executor
	for range machines {
		list = append(list, b.NewExecutor("pricing", 32000, 65536, "a", "r1-1"))
	}
	time.Sleep(2 * time.Second)
	if b.Trouble {
		// The trouble lasts for the orders for one machine, less than 5 s.
		var once sync.Once
		troubled := ""
		cloud.Upkeep = func(machine string, order int) (time.Duration, bool) {
			once.Do(func() { troubled = machine })
			switch {
			case machine != troubled:
				return 0, true
			case order == 1:
				return 0, false
			}
			return 700 * time.Millisecond, true
		}
	}
	if err := b.StartWave(1, 60, 1, list...); err != nil {
		return err
	}
	// Work arrives all the time, some more than the executors hold.
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		if _, err := b.Submit("/q/", bed.Step{Count: 12, CPU: 4000, MemMb: 1024, EstimatedMs: 1500}, 1500*time.Millisecond); err != nil {
			return err
		}
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	b.CheckTwice()
	return nil
}

//go:build review

// Case 1: some jobs come at once. See claim.txt.
package main

import (
	"errors"
	"time"

	"laburnumdock/review/bed"
)

func main() { bed.Main(110*time.Second, play) }

const (
	executors = 12
	jobs      = 16
	// burstGap is the time between two jobs of the burst, and usualGap the same without
	// it.
	burstGap = 30 * time.Millisecond
	usualGap = time.Second
)

func play(b *bed.Bed) error {
	if _, err := b.StartAdvisor(func(string) bool { return true }); err != nil {
		return err
	}
	if err := b.Start(); err != nil {
		return err
	}
	if err := b.Configure(1, []map[string]any{bed.Service("pricing", false)}, bed.Route{Name: "q", Prefix: "/q/", Service: "pricing", MaxAttempts: 3, Advised: true}); err != nil {
		return err
	}
	for range executors {
		b.NewExecutor("pricing", 32000, 65536, "a", "r1-1")
	}
	time.Sleep(3 * time.Second)
	var list []*bed.Job
	for range jobs {
		j, err := b.SubmitAdvised("/q/", bed.Step{Count: 6, CPU: 1800, MemMb: 3300, EstimatedMs: 540}, 540*time.Millisecond)
		if err != nil {
			return err
		}
		list = append(list, j)
		if b.Trouble {
			time.Sleep(burstGap)
		} else {
			time.Sleep(usualGap)
		}
	}
	b.Rec.Log("end of the traffic")
	time.Sleep(bed.FinishS * time.Second)
	idle := make([]time.Time, jobs)
	for i := range idle {
		idle[i] = time.Now()
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		stuck, done := 0, 0
		for i, j := range list {
			ends := b.Ends(j)
			if ends["done"] == 6 {
				done++
				continue
			}
			if ends["active"] > 0 {
				idle[i] = time.Now()
			}
			if time.Since(idle[i]) > 3*time.Second {
				stuck++
			}
		}
		if done == jobs {
			return nil
		}
		if stuck > 0 {
			b.Break("LOST: finish_s after the end of the traffic %d of %d accepted jobs have had nothing running for 3 s, and %d are done; all executors are up and empty", stuck, jobs, done)
			return nil
		}
	}
	return errors.New("neither all jobs are done nor one is stuck")
}

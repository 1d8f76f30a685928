//go:build review

// Case 3: an executor loses power and is back at once under its ID. See claim.txt.
package main

import (
	"time"

	"laburnumdock/review/bed"
)

func main() { bed.Main(60*time.Second, play) }

func play(b *bed.Bed) error {
	if err := b.Start(); err != nil {
		return err
	}
	if err := b.Configure(1, []map[string]any{bed.Service("pricing", false)}, bed.Route{Name: "q", Prefix: "/q/", Service: "pricing", MaxAttempts: 3}); err != nil {
		return err
	}
	first := b.NewExecutor("pricing", 32000, 65536, "a", "r1-1")
	time.Sleep(time.Second)
	for range 7 {
		b.NewExecutor("pricing", 32000, 65536, "a", "r1-2")
	}
	time.Sleep(3 * time.Second)
	if b.Trouble {
		// The machine loses power while the executor has nothing to do, and is back after
		// 0.5 s.
		if err := b.WaitFor(10*time.Second, "the executor has been asked for its lists", func() bool {
			held := first.HeldSince()
			return !held.IsZero() && time.Since(held) < 200*time.Millisecond
		}); err != nil {
			return err
		}
		first.Reboot(500*time.Millisecond, 700*time.Millisecond)
	}
	time.Sleep(700 * time.Millisecond)
	j, err := b.Submit("/q/", bed.Step{Count: 24, CPU: 1300, MemMb: 2000, EstimatedMs: 3000}, 3*time.Second)
	if err != nil {
		return err
	}
	if err := b.WaitFor(40*time.Second, "the job ends", func() bool {
		time.Sleep(200 * time.Millisecond)
		return b.State(j) == "completed"
	}); err != nil {
		return err
	}
	b.CheckTwice()
	return nil
}

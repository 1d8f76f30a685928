//go:build review

// Case 5: an executor considers itself unhealthy. See claim.txt.
package main

import (
	"time"

	"laburnumdock/review/bed"
)

func main() { bed.Main(100*time.Second, play) }

func play(b *bed.Bed) error {
	if err := b.Start(); err != nil {
		return err
	}
	if err := b.Configure(1, []map[string]any{bed.Service("pricing", false)}, bed.Route{Name: "q", Prefix: "/q/", Service: "pricing", MaxAttempts: 3}); err != nil {
		return err
	}
	special := b.NewExecutor("pricing", 32000, 65536, "b", "r1-1")
	for range 9 {
		b.NewExecutor("pricing", 32000, 65536, "a", "r1-2")
	}
	time.Sleep(3 * time.Second)
	begin := time.Now()
	if b.Trouble {
		special.SetUnhealthy(true)
	}
	var list []*bed.Job
	for range 10 {
		j, err := b.Submit("/q/", bed.Step{Count: 2, CPU: 1500, MemMb: 1024, EstimatedMs: 540, Requirements: "b"}, 540*time.Millisecond)
		if err != nil {
			return err
		}
		list = append(list, j)
	}
	// The executor is unhealthy for 6.5 s at most.
	for time.Since(begin) < 6400*time.Millisecond {
		time.Sleep(200 * time.Millisecond)
		waiting := 0
		for _, j := range list {
			if b.Starts(j) == 0 && time.Since(j.Accepted) > bed.VisibleMs*time.Millisecond+2*time.Second {
				waiting++
			}
		}
		pending := b.Pending("/q/")
		if pending >= 0 && 2*pending < waiting {
			b.Break("MIXED: Pending is %d, and %d accepted jobs have not begun for over visible_ms + 2 s", pending, waiting)
			break
		}
	}
	special.SetUnhealthy(false)
	return b.WaitFor(20*time.Second, "all jobs complete", func() bool {
		time.Sleep(200 * time.Millisecond)
		for _, j := range list {
			if b.State(j) != "completed" {
				return false
			}
		}
		return true
	})
}

//go:build review

// Case 5: the leader is killed while a wide job works. See claim.txt.
package main

import (
	"errors"
	"syscall"
	"time"

	"laburnumdock/review/bed"
)

const (
	tasks    = 700
	duration = 5 * time.Second
	// beforeEnds is the time from the kill to the end of the first task, and down how
	// long the process is away.
	beforeEnds = 150 * time.Millisecond
	down       = 3500 * time.Millisecond
)

func main() { bed.Main(100*time.Second, play) }

func play(b *bed.Bed) error {
	if err := b.Start(); err != nil {
		return err
	}
	if err := b.Configure(1, []map[string]any{bed.Service("pricing", false)}, bed.Route{Name: "q", Prefix: "/q/", Service: "pricing", MaxAttempts: 3}); err != nil {
		return err
	}
	for range 3 {
		b.NewExecutor("pricing", 32000, 65536, "a", "r1-1")
	}
	time.Sleep(2 * time.Second)
	j, err := b.Submit("/q/", bed.Step{Count: tasks, CPU: 40, MemMb: 64, EstimatedMs: int(duration.Milliseconds())}, duration)
	if err != nil {
		return err
	}
	if err := b.WaitFor(20*time.Second, "all tasks start", func() bool { return b.Starts(j) >= tasks }); err != nil {
		return err
	}
	b.Rec.Log("all %d tasks have started", tasks)
	_, first, _ := b.RunOf(j, 0)
	_, last, _ := b.RunOf(j, tasks-1)
	b.Rec.Log("starts took %s", last.Sub(first))
	if b.Trouble {
		leader := b.Leader()
		if leader == nil {
			return errors.New("no executor knows the leader")
		}
		time.Sleep(time.Until(first.Add(duration - beforeEnds)))
		b.Signal(leader, syscall.SIGKILL)
		time.Sleep(down)
		if err := b.StartProc(leader); err != nil {
			return err
		}
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end) && b.State(j) != "completed"; {
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	b.CheckTwice()
	return nil
}

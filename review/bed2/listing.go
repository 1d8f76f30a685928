//go:build review

package main

import (
	"sync"
	"time"
)

// listing is the case of a platform that is slow for a while: a machine is moved while the
// platform answers a listing.
func listing(b *bed) {
	const (
		listTime = 38 * time.Millisecond
		slowness = 50
		slowFor  = 5 * time.Second
	)
	b.pools, b.standby = []string{"desk", "saw"}, "spare"
	var slowUntil time.Time
	asked := make(chan struct{}, 100)
	b.onList = func() time.Duration {
		b.note("the platform is asked for its machines")
		select {
		case asked <- struct{}{}:
		default:
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		if time.Now().Before(slowUntil) {
			return slowness * listTime
		}
		return listTime
	}
	if !b.begin(hostRoom, map[string]int{"desk": 6, "saw": 3, "spare": 4}, routeOf("proof", "desk", 2), routeOf("serve", "saw", 4)) {
		return
	}
	var group sync.WaitGroup
	lasting := func(count int) {
		b.submit(b.newJob("serve", "saw", stepPlan{count: count, needs: resources{Cpu: 3800, MemMb: 7000}, lasting: true, missAllowed: 1, outcome: "done"}))
	}
	lasting(8)
	// The leader asks for the machines every 15 s at least. The platform turns slow before it
	// does so again, for slowFor.
	time.Sleep(6 * time.Second)
	for len(asked) > 0 {
		<-asked
	}
	if b.trouble {
		// The slow time begins at an arbitrary time before the listing; here it is the time
		// of the listing.
		b.mu.Lock()
		slowUntil = time.Now().Add(time.Hour)
		b.mu.Unlock()
	}
	select {
	case <-asked:
	case <-time.After(30 * time.Second):
		b.broken("the platform is not asked for its machines")
		return
	}
	b.mu.Lock()
	if b.trouble {
		slowUntil = time.Now().Add(slowFor)
	}
	b.mu.Unlock()
	lasting(6)
	time.Sleep(4 * time.Second)
	group.Go(func() {
		b.traffic(&group, 6*time.Second, 12, func() *job {
			return b.newJob("proof", "desk", stepPlan{count: 12, needs: resources{Cpu: 1800, MemMb: 4000}, mean: 900 * time.Millisecond, outcome: "done"})
		})
	})
	group.Wait()
	time.Sleep(6 * time.Second)
}

//go:build review

package main

import (
	"encoding/json"
	"math/rand"
	"sync"
	"time"
)

// pending is the case of an executor that is cut off: the jobs whose starts it does not
// get have not begun, and the count of jobs that have not begun has to hold them.
func pending(b *bed) {
	const (
		cut       = 5500 * time.Millisecond
		pause     = 6 * time.Second
		cuts      = 3
		perSecond = 10
	)
	b.pools, b.standby = []string{"desk"}, "spare"
	if !b.begin(hostRoom, map[string]int{"desk": 9, "spare": 8}, routeOf("proof", "desk", 2)) {
		return
	}
	var group sync.WaitGroup
	stop := make(chan struct{})
	var asking sync.WaitGroup
	asking.Go(func() { b.askPending("proof", stop) })
	group.Go(func() {
		b.traffic(&group, 40*time.Second, perSecond, func() *job {
			return b.newJob("proof", "desk", stepPlan{count: 1 + rand.Intn(2), needs: resources{Cpu: 1800, MemMb: 4000}, mean: 540 * time.Millisecond, outcome: "done"})
		})
	})
	time.Sleep(8 * time.Second)
	for range cuts {
		m := b.newest("desk")
		if b.trouble && m != nil {
			b.note("executor on %s is cut off", m.name)
			m.cut(true)
			time.Sleep(cut)
			m.cut(false)
			b.note("executor on %s is joined again", m.name)
		} else {
			time.Sleep(cut)
		}
		time.Sleep(pause)
	}
	group.Wait()
	close(stop)
	asking.Wait()
}

// newest returns the machine of a pool whose executor has begun a task last.
func (b *bed) newest(pool string) *machine {
	var best *machine
	latest := time.Time{}
	for _, m := range b.running(pool) {
		m.mu.Lock()
		e := m.exec
		m.mu.Unlock()
		if e == nil {
			continue
		}
		e.mu.Lock()
		for _, r := range e.runs {
			if r.began.After(latest) {
				best, latest = m, r.began
			}
		}
		e.mu.Unlock()
	}
	return best
}

// cut cuts an executor off from all machines of the system, or joins it again. It runs on.
func (m *machine) cut(off bool) {
	m.mu.Lock()
	e := m.exec
	m.mu.Unlock()
	if e == nil {
		return
	}
	e.mu.Lock()
	e.silent = off
	e.mu.Unlock()
}

// askPending asks each entry host in turn for the number of jobs that have not begun.
func (b *bed) askPending(queue string, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		sent := time.Now()
		status, body := b.call("GET", "http://"+b.front(i)+"/"+queue+"/", host, "", 3*time.Second)
		var answer struct{ Pending *int }
		if status != 200 || json.Unmarshal(body, &answer) != nil || answer.Pending == nil {
			continue
		}
		b.mu.Lock()
		waiting := 0
		oldest := ""
		for _, j := range b.order {
			if j.queue == queue && !j.accepted.IsZero() && sent.Sub(j.accepted) > visible+2*time.Second && j.firstBegan.IsZero() {
				if waiting++; oldest == "" {
					oldest = j.id
				}
			}
		}
		if waiting >= 2 && 2**answer.Pending < waiting {
			b.breachLocked("MIXED: frontend-%d gives %d as Pending, and %d jobs that were accepted over %s before have not begun; the oldest is %s", i%entries, *answer.Pending, waiting, visible+2*time.Second, oldest)
		} else if waiting > 0 {
			b.write("frontend-%d gives %d as Pending; %d jobs that were accepted over %s before have not begun", i%entries, *answer.Pending, waiting, visible+2*time.Second)
		}
		b.mu.Unlock()
	}
}

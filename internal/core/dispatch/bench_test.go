package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/member/membertest"
	"laburnumdock/internal/core/route"
)

// fleet announces services with their endpoints.
func fleet(services, endpoints int) *Dispatcher {
	d := NewWithConfig(Config{EntryHost: "entry-1"})
	for _, a := range membertest.Announcements(services, endpoints, start) {
		d.Step(start, Announced{Announcement: a})
	}
	for p := range 6 {
		d.Step(start, PeerUse{Peer: fmt.Sprint("entry-", p+2), Incarnation: 1})
	}
	return d
}

func serviceName(n int) string { return membertest.ServiceName(n) }

var sizes = []struct{ services, endpoints int }{{5, 60}, {238, 16000}}

// BenchmarkDecision measures the routing decision alone: expected run time,
// endpoint and slot accounting.
func BenchmarkDecision(b *testing.B) {
	for _, c := range sizes {
		b.Run(fmt.Sprint(c.endpoints), func(b *testing.B) {
			d := fleet(c.services, c.endpoints)
			names := make([]string, c.services)
			for i := range names {
				names[i] = serviceName(i)
			}
			key := route.Key{WorkKind: "quote", Caller: "caller", SizeBytes: 1000}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				key.Service = names[i%c.services]
				class := route.ClassOf(key)
				s := d.table.Service(key.Service)
				e := d.table.Pick(s, time.Millisecond, route.PickOptions{Long: d.table.RunTimes.Estimate(class).Long})
				d.table.StartAttempt(e, false)
				d.table.RunTimes.Learn(class, time.Millisecond)
				d.table.EndAttempt(e, false)
			}
		})
	}
}

// BenchmarkRequest measures a whole request: arrival, forward, end and answer.
func BenchmarkRequest(b *testing.B) {
	for _, c := range sizes {
		b.Run(fmt.Sprint(c.endpoints), func(b *testing.B) {
			d := fleet(c.services, c.endpoints)
			r := Request{Caller: "caller", WorkKind: "quote", SizeBytes: 1000, Repeatable: true, Deadline: start.Add(time.Hour)}
			names := make([]string, c.services)
			for i := range names {
				names[i] = serviceName(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.ID = uint64(i) + 1
				r.Service = names[i%c.services]
				d.Step(start, Arrived{Request: r})
				d.Step(start, AttemptFinished{ID: r.ID, Attempt: 1, Outcome: AttemptAnswered, RunTime: time.Millisecond})
			}
		})
	}
}

// BenchmarkSurge measures a whole request while all slots are taken and 1,000
// requests of 20 callers wait.
func BenchmarkSurge(b *testing.B) {
	for _, c := range sizes {
		b.Run(fmt.Sprint(c.endpoints), func(b *testing.B) {
			d := fleet(c.services, c.endpoints)
			r := Request{Service: serviceName(0), WorkKind: "quote", Repeatable: true, Deadline: start.Add(time.Hour)}
			var running []Forward
			arrive := func() {
				r.ID++
				r.Caller = callers[r.ID%uint64(len(callers))]
				running = append(running, of[Forward](d.Step(start, Arrived{Request: r}))...)
			}
			for range 1000 + 8*c.endpoints/c.services {
				arrive()
			}
			b.ReportAllocs()
			for b.Loop() {
				e := running[0]
				running = append(running[1:], of[Forward](d.Step(start, AttemptFinished{ID: e.ID, Attempt: e.Attempt, Outcome: AttemptAnswered, RunTime: time.Millisecond}))...)
				arrive()
			}
		})
	}
}

// callers are 20 names.
var callers = func() []string {
	var list []string
	for i := range 20 {
		list = append(list, fmt.Sprint("caller-", i))
	}
	return list
}()

// BenchmarkTimers measures the housekeeping that runs every 10 ms.
func BenchmarkTimers(b *testing.B) {
	for _, c := range sizes {
		b.Run(fmt.Sprint(c.endpoints), func(b *testing.B) {
			d := fleet(c.services, c.endpoints)
			for i := range c.services {
				d.Step(start, Arrived{Request: Request{ID: uint64(i) + 1, Service: serviceName(i), Repeatable: true, Deadline: start.Add(time.Hour)}})
			}
			b.ReportAllocs()
			at := time.Duration(0)
			for b.Loop() {
				at += checkInterval
				d.timers(at)
			}
		})
	}
}

// Guards against a routing decision that allocates.
func TestDecisionDoesNotAllocate(t *testing.T) {
	d := fleet(5, 60)
	s := d.table.Service(serviceName(1))
	class := route.ClassOf(route.Key{Service: s.Name, WorkKind: "quote", Caller: "caller"})
	d.table.RunTimes.Learn(class, time.Millisecond)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		e := d.table.Pick(s, time.Millisecond, route.PickOptions{Long: d.table.RunTimes.Estimate(class).Long})
		d.table.StartAttempt(e, false)
		d.table.EndAttempt(e, false)
	}))
}

// heap returns the bytes that build keeps.
func heap(build func() any) (uint64, any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return after.HeapAlloc - before.HeapAlloc, kept
}

// Guards against memory per endpoint and per request that outgrows an entry
// host: 16,000 endpoints and 4,096 waiting requests fit in 64 MB.
func TestMemoryPerObject(t *testing.T) {
	const endpoints, requests = 16000, 4000
	bytes, kept := heap(func() any { return fleet(238, endpoints) })
	t.Logf("%d bytes per endpoint, with the directory and 6 peers", bytes/endpoints)
	require.Less(t, bytes/endpoints, uint64(2048))
	d := kept.(*Dispatcher)
	fill := func(service string, count int, from uint64) uint64 {
		size, _ := heap(func() any {
			for i := range uint64(count) {
				d.Step(start, Arrived{Request: Request{ID: from + i, Service: service, Caller: "caller", WorkKind: "quote", Repeatable: true, Deadline: start.Add(time.Hour)}})
			}
			return nil
		})
		return size / uint64(count)
	}
	open := fill(serviceName(0), 60*6, 1)
	fill(serviceName(0), 400, 10000)
	queued := fill(serviceName(0), requests-400, 20000)
	t.Logf("%d bytes per running request, %d per waiting request", open, queued)
	require.Less(t, queued, uint64(2048))
	sketch, _ := heap(func() any {
		s := route.NewRunTimes(4096)
		for i := range 5000 {
			s.Learn(route.ClassOf(route.Key{Caller: fmt.Sprint(i)}), time.Millisecond)
		}
		return s
	})
	t.Logf("%d bytes for learned run times of 4096 keys", sketch)
	require.Less(t, sketch, uint64(2<<20))
	runtime.KeepAlive(d)
}

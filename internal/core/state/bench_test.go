package state

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"laburnumdock/internal/core/model"
)

// sizes are the current size, two steps between, and the size in two years.
var hostCountSizes = []int{50, 500, 5_000, 16_000}

func fixtureWithHosts(hosts int) *fixture {
	b := newFixture()
	pools := max(1, hosts/67)
	for p := range pools {
		b.put(pool(fmt.Sprintf("pool-%d", p)))
	}
	for h := range hosts {
		obj := host(fmt.Sprintf("host-%05d", h), fmt.Sprintf("pool-%d", h%pools))
		obj.Spec.Rack, obj.Spec.Zone = fmt.Sprintf("rack-%d", h/4), fmt.Sprintf("zone-%d", h%20)
		b.put(obj)
	}
	return b
}

// BenchmarkSnapshotAndWrite is the cost of a snapshot and of the copies that
// the next write to one host pays for it.
func BenchmarkSnapshotAndWrite(b *testing.B) {
	for _, n := range hostCountSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := fixtureWithHosts(n)
			var kept *Snapshot
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				kept = s.Snapshot()
				s.do(HostReport{Origin: s.origin(), Hosts: []HostObservation{{Host: fmt.Sprintf("host-%05d", i%n), Health: model.HealthHealthy, InFlight: i, Observed: s.now}}})
			}
			runtime.KeepAlive(kept)
		})
	}
}

// BenchmarkHostReport is the cost of a report of all hosts.
func BenchmarkHostReport(b *testing.B) {
	for _, n := range hostCountSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := fixtureWithHosts(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				report := HostReport{Origin: s.origin()}
				for h := range n {
					report.Hosts = append(report.Hosts, HostObservation{Host: fmt.Sprintf("host-%05d", h), Health: model.HealthHealthy, InFlight: i, Observed: s.now})
				}
				s.do(report)
			}
		})
	}
}

// BenchmarkPut is the cost of one accepted change with a change ID.
func BenchmarkPut(b *testing.B) {
	for _, n := range hostCountSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := fixtureWithHosts(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				o := s.origin()
				o.ChangeID, o.IssuedAt = fmt.Sprintf("change-%026d", i), o.Time.Add(time.Duration(i))
				obj := host(fmt.Sprintf("host-%05d", i%n), fmt.Sprintf("pool-%d", i%n%max(1, n/67)))
				obj.Spec.Cores = 1 + i%1000
				s.do(Put{Origin: o, Object: obj, Expected: AnyVersion})
			}
		})
	}
}

func heapAllocBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory reports the bytes of one host without its events, of one
// remembered change ID, of one audit entry and of one request without answer.
func BenchmarkMemory(b *testing.B) {
	for _, n := range hostCountSizes {
		b.Run(fmt.Sprintf("host/%d", n), func(b *testing.B) {
			before := heapAllocBytes()
			s := fixtureWithHosts(n)
			s.events, s.audit = nil, nil
			b.ReportMetric(float64(heapAllocBytes()-before)/float64(n), "B/host")
			runtime.KeepAlive(s)
		})
	}
	b.Run("change", func(b *testing.B) {
		t := newChangeTable()
		before := heapAllocBytes()
		for i := range MaxChangeIDs {
			t.add(ChangeRecord{ID: fmt.Sprintf("%032d", i), Issued: int64(i), Digest: 1, Version: uint64(i)})
		}
		b.ReportMetric(float64(heapAllocBytes()-before)/MaxChangeIDs, "B/change")
		runtime.KeepAlive(t)
	})
	b.Run("audit", func(b *testing.B) {
		s := newFixture()
		before := heapAllocBytes()
		for i := range MaxAudit {
			s.recordAudit(Origin{Actor: "ana", Source: "127.0.0.1:40000", ChangeID: fmt.Sprintf("%032d", i)}, "put", model.Key{Kind: model.KindHost, Name: fmt.Sprintf("host-%05d", i)}, 1, 2, nil)
		}
		b.ReportMetric(float64(heapAllocBytes()-before)/MaxAudit, "B/entry")
		runtime.KeepAlive(s)
	})
	b.Run("request", func(b *testing.B) {
		s := newFixture()
		before := heapAllocBytes()
		for i := range MaxRequests {
			s.recordRequest(request(fmt.Sprintf("%032d", i), RequestBegun, "entry-1", fmt.Sprintf("%016d", i), time.Minute))
		}
		b.ReportMetric(float64(heapAllocBytes()-before)/MaxRequests, "B/request")
		runtime.KeepAlive(s)
	})
}

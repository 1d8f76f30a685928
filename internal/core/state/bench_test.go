package state

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"laburnumdock/internal/core/model"
)

// hostCountSizes holds the numbers of hosts of the current system, of two
// intermediate sizes and of the system expected in two years.
var hostCountSizes = []int{50, 500, 5_000, 16_000}

const hostsPerPool = 67

// fixtureWithHosts returns a fixture with the given number of hosts, spread over
// pools, racks and zones.
func fixtureWithHosts(hosts int) *fixture {
	f := newFixture()
	pools := max(1, hosts/hostsPerPool)
	for p := range pools {
		f.put(pool(fmt.Sprintf("pool-%d", p)))
	}
	for h := range hosts {
		obj := host(fmt.Sprintf("host-%05d", h), fmt.Sprintf("pool-%d", h%pools))
		obj.Spec.Rack, obj.Spec.Zone = fmt.Sprintf("rack-%d", h/4), fmt.Sprintf("zone-%d", h%20)
		f.put(obj)
	}
	return f
}

// BenchmarkSnapshotAndWrite measures a snapshot and the copies that it causes in
// the next write to one host.
func BenchmarkSnapshotAndWrite(b *testing.B) {
	for _, n := range hostCountSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := fixtureWithHosts(n)
			var kept *Snapshot
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				kept = f.Snapshot()
				f.do(HostReport{Origin: f.origin(), Hosts: []HostObservation{{Host: fmt.Sprintf("host-%05d", i%n), Health: model.HealthHealthy, InFlight: i, Observed: f.now}}})
			}
			runtime.KeepAlive(kept)
		})
	}
}

// BenchmarkHostReport measures a report of all hosts.
func BenchmarkHostReport(b *testing.B) {
	for _, n := range hostCountSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := fixtureWithHosts(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				report := HostReport{Origin: f.origin()}
				for h := range n {
					report.Hosts = append(report.Hosts, HostObservation{Host: fmt.Sprintf("host-%05d", h), Health: model.HealthHealthy, InFlight: i, Observed: f.now})
				}
				f.do(report)
			}
		})
	}
}

// BenchmarkPut measures one accepted change with a change ID.
func BenchmarkPut(b *testing.B) {
	for _, n := range hostCountSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := fixtureWithHosts(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				o := f.origin()
				o.ChangeID, o.IssuedAt = fmt.Sprintf("change-%026d", i), o.Time.Add(time.Duration(i))
				obj := host(fmt.Sprintf("host-%05d", i%n), fmt.Sprintf("pool-%d", i%n%max(1, n/hostsPerPool)))
				obj.Spec.Cores = 1 + i%1000
				f.do(Put{Origin: o, Object: obj, Expected: AnyVersion})
			}
		})
	}
}

// heapAllocBytes returns the size of the live heap after a garbage collection.
func heapAllocBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory reports the bytes per host without its events, per change ID,
// per audit entry and per request without a response.
func BenchmarkMemory(b *testing.B) {
	for _, n := range hostCountSizes {
		b.Run(fmt.Sprintf("host/%d", n), func(b *testing.B) {
			before := heapAllocBytes()
			f := fixtureWithHosts(n)
			f.events, f.audit = nil, nil
			b.ReportMetric(float64(heapAllocBytes()-before)/float64(n), "B/host")
			runtime.KeepAlive(f)
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
		f := newFixture()
		before := heapAllocBytes()
		for i := range MaxAudit {
			f.recordAudit(Origin{Actor: "ana", Source: "127.0.0.1:40000", ChangeID: fmt.Sprintf("%032d", i)}, "put", model.Key{Kind: model.KindHost, Name: fmt.Sprintf("host-%05d", i)}, 1, 2, nil)
		}
		b.ReportMetric(float64(heapAllocBytes()-before)/MaxAudit, "B/entry")
		runtime.KeepAlive(f)
	})
	b.Run("request", func(b *testing.B) {
		f := newFixture()
		before := heapAllocBytes()
		for i := range MaxRequests {
			f.recordRequest(request(fmt.Sprintf("%032d", i), RequestBegun, "entry-1", fmt.Sprintf("%016d", i), time.Minute))
		}
		b.ReportMetric(float64(heapAllocBytes()-before)/MaxRequests, "B/request")
		runtime.KeepAlive(f)
	})
}

package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"laburnumdock/internal/entry/entrytest"
	"laburnumdock/internal/standin"
)

// Sizes of the benchmarks.
const (
	benchEndpoints = 4
	benchRoundTime = 500 * time.Millisecond
	benchRounds    = 20
	benchRunTime   = 20 * time.Millisecond
	// halfLoadRate is half of the requests per second that the endpoints can run: 4 x 8
	// slots at 20 ms each.
	halfLoadRate = benchEndpoints * standin.DefaultSlots * int(time.Second/benchRunTime) / 2
)

// startBenchRoutes starts a fixture and returns the routes to its endpoints: a direct
// call, the reverse proxy of the standard library, and an entry host.
func startBenchRoutes(b *testing.B, slots int, runTime time.Duration) (*entrytest.Fixture, []entrytest.Route) {
	b.Helper()
	f, err := entrytest.Start(entrytest.Options{Hosts: 1, Endpoints: benchEndpoints, Slots: slots, RunTime: runTime})
	require.NoError(b, err)
	b.Cleanup(f.Close)
	routes, err := f.Routes()
	require.NoError(b, err)
	return f, routes
}

// BenchmarkThroughput measures the answers per second with concurrent callers in a closed
// loop and endpoints without run time. The routes alternate in short rounds, so that
// other load on the machine affects all of them. Run it with -benchtime=1x.
func BenchmarkThroughput(b *testing.B) {
	f, routes := startBenchRoutes(b, 64, 0)
	done := make([]int64, len(routes))
	failed := make([]int64, len(routes))
	for range benchRounds {
		for i, route := range routes {
			ok, bad := f.ClosedLoop(route, benchRoundTime)
			done[i] += ok
			failed[i] += bad
		}
	}
	for i, route := range routes {
		b.ReportMetric(float64(done[i])/(benchRounds*benchRoundTime).Seconds(), route.Name+"-req/s")
		b.ReportMetric(float64(failed[i]), route.Name+"-failed")
	}
}

// BenchmarkLatencyHalfLoad measures the latency at half of the endpoints' capacity, with
// requests sent at a fixed rate independent of the answers. The routes alternate in
// short rounds, so that other load on the machine affects all of them. Run it with
// -benchtime=1x.
func BenchmarkLatencyHalfLoad(b *testing.B) {
	f, routes := startBenchRoutes(b, standin.DefaultSlots, benchRunTime)
	total := make([]*hdrhistogram.Histogram, len(routes))
	failed := make([]int64, len(routes))
	for i := range routes {
		total[i] = entrytest.NewLatencies()
	}
	for round := range benchRounds {
		for i, route := range routes {
			h, n := f.OpenLoop(route, halfLoadRate, benchRoundTime)
			if round == 0 {
				// The first round opens the connections.
				continue
			}
			total[i].Merge(h)
			failed[i] += n
		}
	}
	for i, route := range routes {
		b.ReportMetric(float64(total[i].ValueAtQuantile(50))/1e3, route.Name+"-p50-us")
		b.ReportMetric(float64(total[i].ValueAtQuantile(99))/1e3, route.Name+"-p99-us")
		b.ReportMetric(float64(failed[i]), route.Name+"-failed")
	}
}

// BenchmarkRecordedRequest compares a request without records to requests that must not
// be repeated, which write two records each: to one control replica without a disk, and
// to three that sync to disk.
func BenchmarkRecordedRequest(b *testing.B) {
	replicas := startReplicas(b, 3)
	proposeConfig(b, replicas, "1")
	for _, bc := range []struct {
		name          string
		nonRepeatable bool
		control       []string
	}{
		{"no records", false, []string{newFakeControl(b).start().url}},
		{"one replica without a disk", true, []string{newFakeControl(b).start().url}},
		{"three replicas", true, []string{replicas[0].URL, replicas[1].URL, replicas[2].URL}},
	} {
		b.Run(bc.name, func(b *testing.B) {
			f := newFixture(b, fixtureConfig{endpoints: benchEndpoints, controlReplicas: bc.control})
			b.SetParallelism(4)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					out, err := f.do(f.hosts[0], callerRequest{method: http.MethodPut, body: "x", nonRepeatable: bc.nonRepeatable})
					if err != nil || out.status != http.StatusOK {
						b.Errorf("%v %s", err, out.body)
					}
				}
			})
		})
	}
}

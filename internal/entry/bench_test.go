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
	benchRound     = 500 * time.Millisecond
	benchRounds    = 20
	benchRunTime   = 20 * time.Millisecond
	// halfLoad is half of what the endpoints can carry: 4 x 8 slots and 20 ms.
	halfLoad = benchEndpoints * standin.DefaultSlots * int(time.Second/benchRunTime) / 2
)

// benchWays starts the endpoints and returns the ways to them: a direct call,
// the reverse proxy of the standard library, and an entry host.
func benchWays(b *testing.B, slots int, runTime time.Duration) (*entrytest.Fixture, []entrytest.Route) {
	b.Helper()
	c, err := entrytest.Start(entrytest.Options{Hosts: 1, Endpoints: benchEndpoints, Slots: slots, RunTime: runTime})
	require.NoError(b, err)
	b.Cleanup(c.Close)
	ways, err := c.Routes()
	require.NoError(b, err)
	return c, ways
}

// BenchmarkThroughput measures answers a second with many callers in a closed
// loop and endpoints without run time. The ways take turns in short rounds, so
// that other load on the machine meets all of them. Run it with -benchtime=1x.
func BenchmarkThroughput(b *testing.B) {
	c, ways := benchWays(b, 64, 0)
	done := make([]int64, len(ways))
	failed := make([]int64, len(ways))
	for range benchRounds {
		for i, w := range ways {
			ok, bad := c.ClosedLoop(w, benchRound)
			done[i] += ok
			failed[i] += bad
		}
	}
	for i, w := range ways {
		b.ReportMetric(float64(done[i])/(benchRounds*benchRound).Seconds(), w.Name+"-req/s")
		b.ReportMetric(float64(failed[i]), w.Name+"-failed")
	}
}

// BenchmarkLatencyHalfLoad measures the latency at half of what the slots of
// the endpoints carry, with requests sent at a fixed rate whatever the
// answers. The ways take turns in short rounds, so that other load on the
// machine meets all of them. Run it with -benchtime=1x.
func BenchmarkLatencyHalfLoad(b *testing.B) {
	c, ways := benchWays(b, standin.DefaultSlots, benchRunTime)
	total := make([]*hdrhistogram.Histogram, len(ways))
	failed := make([]int64, len(ways))
	for i := range ways {
		total[i] = entrytest.NewLatencies()
	}
	for round := range benchRounds {
		for i, w := range ways {
			h, n := c.OpenLoop(w, halfLoad, benchRound)
			if round == 0 {
				// The first round opens the connections.
				continue
			}
			total[i].Merge(h)
			failed[i] += n
		}
	}
	for i, w := range ways {
		b.ReportMetric(float64(total[i].ValueAtQuantile(50))/1e3, w.Name+"-p50-us")
		b.ReportMetric(float64(total[i].ValueAtQuantile(99))/1e3, w.Name+"-p99-us")
		b.ReportMetric(float64(failed[i]), w.Name+"-failed")
	}
}

// BenchmarkRecordedRequest measures a request that must not be repeated against
// one without records: with two records through a control replica without a
// disk, and through three that sync to disk.
func BenchmarkRecordedRequest(b *testing.B) {
	replicas := startReplicas(b, 3)
	putReal(b, replicas, "1")
	for _, bc := range []struct {
		name    string
		once    bool
		control []string
	}{
		{"no records", false, []string{newFakeControl(b).start().url}},
		{"one replica without a disk", true, []string{newFakeControl(b).start().url}},
		{"three replicas", true, []string{replicas[0].URL, replicas[1].URL, replicas[2].URL}},
	} {
		b.Run(bc.name, func(b *testing.B) {
			c := newCell(b, cellConfig{endpoints: benchEndpoints, control: bc.control})
			b.SetParallelism(4)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					out, err := c.do(c.hosts[0], call{method: http.MethodPut, body: "x", once: bc.once})
					if err != nil || out.status != http.StatusOK {
						b.Errorf("%v %s", err, out.body)
					}
				}
			})
		})
	}
}

package entry_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"laburnumdock/internal/entry"
	"laburnumdock/internal/standin"
)

// Sizes of the benchmarks.
const (
	benchEndpoints = 4
	benchBody      = 512
	benchCallers   = 64
	benchRound     = 500 * time.Millisecond
	benchRounds    = 20
	benchRunTime   = 20 * time.Millisecond
	// halfLoad is half of what the endpoints can carry: 4 x 8 slots and 20 ms.
	halfLoad = benchEndpoints * standin.DefaultSlots * int(time.Second/benchRunTime) / 2
)

// way is one way from a caller to an endpoint.
type way struct {
	name string
	url  func() string
}

// benchWays starts the endpoints and returns the ways to them: a direct call,
// the reverse proxy of the standard library, and an entry host.
func benchWays(b *testing.B, slots int, runTime time.Duration) (*cell, []way) {
	b.Helper()
	c := newCell(b, cellConfig{endpoints: benchEndpoints, endpoint: func(cfg *standin.EndpointConfig) {
		cfg.Announcement.Slots, cfg.Announcement.Connections = slots, 4096
		cfg.RunTime = func(string) time.Duration { return runTime }
	}})
	c.client.Transport.(*http.Transport).MaxIdleConnsPerHost = 1024
	var next atomic.Uint64
	pick := func() string { return "http://" + c.endpoints[next.Add(1)%benchEndpoints].Address() }
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			target, _ := url.Parse(pick())
			r.SetURL(target)
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true},
	}
	l := listen(b)
	serveHTTP(b, l, proxy)
	return c, []way{
		{"direct", func() string { return pick() + "/price" }},
		{"proxy", func() string { return "http://" + l.Addr().String() + "/price" }},
		{"entry", func() string { return c.hosts[0].url + "/v1/services/quotes/price" }},
	}
}

func benchCall(client *http.Client, address string, body []byte) error {
	req, err := http.NewRequest(http.MethodPut, address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(entry.HeaderRepeatable, "true")
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
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
			ok, bad := closedLoop(c.client, w, benchRound)
			done[i] += ok
			failed[i] += bad
		}
	}
	for i, w := range ways {
		b.ReportMetric(float64(done[i])/(benchRounds*benchRound).Seconds(), w.name+"-req/s")
		b.ReportMetric(float64(failed[i]), w.name+"-failed")
	}
}

// closedLoop sends requests from many callers, each after its last answer.
func closedLoop(client *http.Client, w way, length time.Duration) (answered, failures int64) {
	var done, failed atomic.Int64
	body := make([]byte, benchBody)
	end := time.Now().Add(length)
	var callers sync.WaitGroup
	for range benchCallers {
		callers.Go(func() {
			for time.Now().Before(end) {
				if benchCall(client, w.url(), body) != nil {
					failed.Add(1)
					continue
				}
				done.Add(1)
			}
		})
	}
	callers.Wait()
	return done.Load(), failed.Load()
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
		total[i] = newLatencies()
	}
	for round := range benchRounds {
		for i, w := range ways {
			h, n := openLoop(c.client, w, halfLoad, benchRound)
			if round == 0 {
				// The first round opens the connections.
				continue
			}
			total[i].Merge(h)
			failed[i] += n
		}
	}
	for i, w := range ways {
		b.ReportMetric(float64(total[i].ValueAtQuantile(50))/1e3, w.name+"-p50-us")
		b.ReportMetric(float64(total[i].ValueAtQuantile(99))/1e3, w.name+"-p99-us")
		b.ReportMetric(float64(failed[i]), w.name+"-failed")
	}
}

func newLatencies() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute), 3) }

// openLoop sends requests at a rate and returns the latencies from when each
// was due, and the number that failed.
func openLoop(client *http.Client, w way, rate int, length time.Duration) (*hdrhistogram.Histogram, int64) {
	var mu sync.Mutex
	h := newLatencies()
	var failed atomic.Int64
	body := make([]byte, benchBody)
	var callers sync.WaitGroup
	start := time.Now()
	for i := range benchCallers {
		callers.Go(func() {
			gap := time.Second * benchCallers / time.Duration(rate)
			due := start.Add(gap * time.Duration(i) / benchCallers)
			for ; due.Sub(start) < length; due = due.Add(gap) {
				time.Sleep(time.Until(due))
				if benchCall(client, w.url(), body) != nil {
					failed.Add(1)
					continue
				}
				took := int64(time.Since(due))
				mu.Lock()
				_ = h.RecordValue(took)
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return h, failed.Load()
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
		{"three replicas", true, []string{replicas[0].url, replicas[1].url, replicas[2].url}},
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

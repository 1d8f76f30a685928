package entrytest

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"laburnumdock/internal/entry"
)

// Size of the load.
const (
	callerCount      = 64
	requestBodyBytes = 512
)

// sendRequest sends a repeatable request and returns an error unless it gets status 200.
func sendRequest(client *http.Client, address string, body []byte) error {
	req, err := http.NewRequest(http.MethodPut, address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(entry.HeaderRepeatable, "true")
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// ClosedLoop sends requests from concurrent callers for the given duration; each caller
// sends its next request when its last one is answered.
func (f *Fixture) ClosedLoop(route Route, duration time.Duration) (answered, failures int64) {
	var done, failed atomic.Int64
	body := make([]byte, requestBodyBytes)
	end := time.Now().Add(duration)
	var group sync.WaitGroup
	for range callerCount {
		group.Go(func() {
			for time.Now().Before(end) {
				if sendRequest(f.Client, route.URL(), body) != nil {
					failed.Add(1)
					continue
				}
				done.Add(1)
			}
		})
	}
	group.Wait()
	return done.Load(), failed.Load()
}

// NewLatencies returns an empty histogram of latencies in nanoseconds.
func NewLatencies() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute), 3) }

// OpenLoop sends requests at a fixed rate per second, independent of the responses. It
// returns the latencies, counted from when each request was due, and the number of
// failed requests.
func (f *Fixture) OpenLoop(route Route, rate int, duration time.Duration) (*hdrhistogram.Histogram, int64) {
	var mu sync.Mutex
	h := NewLatencies()
	var failed atomic.Int64
	body := make([]byte, requestBodyBytes)
	var group sync.WaitGroup
	start := time.Now()
	for i := range callerCount {
		group.Go(func() {
			interval := time.Second * callerCount / time.Duration(rate)
			due := start.Add(interval * time.Duration(i) / callerCount)
			for ; due.Sub(start) < duration; due = due.Add(interval) {
				time.Sleep(time.Until(due))
				if sendRequest(f.Client, route.URL(), body) != nil {
					failed.Add(1)
					continue
				}
				latency := int64(time.Since(due))
				mu.Lock()
				_ = h.RecordValue(latency)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return h, failed.Load()
}

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

const (
	callers   = 64
	bodyBytes = 512
)

func call(client *http.Client, address string, body []byte) error {
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

// ClosedLoop sends requests from many callers, each after its last answer.
func (c *Fixture) ClosedLoop(w Route, length time.Duration) (answered, failures int64) {
	var done, failed atomic.Int64
	body := make([]byte, bodyBytes)
	end := time.Now().Add(length)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for time.Now().Before(end) {
				if call(c.Client, w.URL(), body) != nil {
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

// OpenLoop sends requests at a rate, whatever the answers, and returns the
// latencies from when each was due, and the number that failed.
func (c *Fixture) OpenLoop(w Route, rate int, length time.Duration) (*hdrhistogram.Histogram, int64) {
	var mu sync.Mutex
	h := NewLatencies()
	var failed atomic.Int64
	body := make([]byte, bodyBytes)
	var group sync.WaitGroup
	start := time.Now()
	for i := range callers {
		group.Go(func() {
			gap := time.Second * callers / time.Duration(rate)
			due := start.Add(gap * time.Duration(i) / callers)
			for ; due.Sub(start) < length; due = due.Add(gap) {
				time.Sleep(time.Until(due))
				if call(c.Client, w.URL(), body) != nil {
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
	group.Wait()
	return h, failed.Load()
}

package standin

import (
	"maps"
	"slices"
	"sync"
)

// maxTrackedRequests bounds the number of request IDs whose runs are counted.
const maxTrackedRequests = 1_000_000

// runTracker records which requests are running and how often each has run.
type runTracker struct {
	mu sync.Mutex
	// running counts open requests by attempt ID, and runs counts started runs by
	// the caller's request ID. mu guards them and totalRuns.
	running   map[string]int
	runs      map[string]int
	totalRuns int
}

func newRunTracker() *runTracker {
	return &runTracker{running: make(map[string]int), runs: make(map[string]int)}
}

func (t *runTracker) begin(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[id]++
}

func (t *runTracker) end(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[id]--; t.running[id] == 0 {
		delete(t.running, id)
	}
}

// recordRun counts a run under the caller's request ID, or under the attempt ID
// if the caller gave none.
func (t *runTracker) recordRun(id, callerID string) {
	if callerID != "" {
		id = callerID
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totalRuns++
	if len(t.runs) < maxTrackedRequests {
		t.runs[id]++
	}
}

func (t *runTracker) runningIDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.running))
}

// InFlight returns the number of requests in flight.
func (e *Endpoint) InFlight() int {
	e.tracker.mu.Lock()
	defer e.tracker.mu.Unlock()
	return len(e.tracker.running)
}

// Runs returns the number of runs by the caller's request ID or, for a request
// without one, by the attempt ID.
func (e *Endpoint) Runs() map[string]int {
	e.tracker.mu.Lock()
	defer e.tracker.mu.Unlock()
	return maps.Clone(e.tracker.runs)
}

// TotalRuns returns the number of runs, including those of request IDs beyond
// maxTrackedRequests.
func (e *Endpoint) TotalRuns() int {
	e.tracker.mu.Lock()
	defer e.tracker.mu.Unlock()
	return e.tracker.totalRuns
}

package standin

import (
	"maps"
	"slices"
	"sync"
)

// maxLedger bounds the request IDs that an endpoint remembers.
const maxLedger = 1_000_000

// ledger knows which requests run and which have run.
type ledger struct {
	mu sync.Mutex
	// running counts by the ID of the attempt, runs by the caller's ID; both
	// are guarded by mu.
	running map[string]int
	runs    map[string]int
	total   int
}

func newLedger() *ledger {
	return &ledger{running: make(map[string]int), runs: make(map[string]int)}
}

func (l *ledger) begin(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[id]++
}

func (l *ledger) end(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[id]--; l.running[id] == 0 {
		delete(l.running, id)
	}
}

// ran notes that a request ran, by the caller's ID if it has one.
func (l *ledger) ran(id, callerID string) {
	if callerID != "" {
		id = callerID
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if len(l.runs) < maxLedger {
		l.runs[id]++
	}
}

func (l *ledger) runningIDs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.running))
}

// Running returns the number of requests that the endpoint has.
func (e *Endpoint) InFlight() int {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	return len(e.ledger.running)
}

// Runs returns how often each request ran, by the caller's request ID or, for
// a request without one, by the ID of the attempt.
func (e *Endpoint) Runs() map[string]int {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	return maps.Clone(e.ledger.runs)
}

// TotalRuns returns the number of requests that ran.
func (e *Endpoint) TotalRuns() int {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	return e.ledger.total
}

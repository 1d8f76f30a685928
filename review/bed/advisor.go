//go:build review

package bed

import (
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Times of the advisor, in the configuration of a queue.
const (
	decisionMs = 300
	periodMs   = 5
	validityMs = 3000
)

// maxWaiting is the number of waiting calls from which on the advisor returns 429.
const maxWaiting = 32

// Advisor is a stand-in for the service that knows which executors may run a step. It
// handles one call at a time, in turn, also one whose caller has gone meanwhile.
type Advisor struct {
	b *Bed
	// Allows reports whether the executor on a machine may run the steps of the queue.
	Allows func(machine string) bool
	// calls lets one call at a time through, in turn; waiting counts those that wait.
	calls   chan struct{}
	waiting atomic.Int64
}

// StartAdvisor starts the advisor. The address is in the settings of all processes.
func (b *Bed) StartAdvisor(allows func(machine string) bool) (*Advisor, error) {
	a := &Advisor{b: b, Allows: allows, calls: make(chan struct{}, 1)}
	l, err := net.Listen("tcp", b.advisorAddress)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	b.mu.Lock()
	b.cleanups = append(b.cleanups, func() { _ = server.Close() })
	b.mu.Unlock()
	return a, nil
}

// ticketFor returns the ticket for a step on one life of an executor.
func ticketFor(step string, e *Executor) string {
	return "t-" + step + "-" + e.id + "-" + time.Time.Format(e.startedAt, "150405.000")
}

func (a *Advisor) advise(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string
		Workers []string
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Workers) > 100 {
		write(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if a.waiting.Add(1) > maxWaiting {
		a.waiting.Add(-1)
		a.b.Rec.Log("advisor: %s -> 429", q.Step)
		write(w, http.StatusTooManyRequests, map[string]any{})
		return
	}
	a.calls <- struct{}{}
	a.waiting.Add(-1)
	time.Sleep(time.Duration(decisionMs+periodMs*len(q.Workers)) * time.Millisecond)
	<-a.calls
	allowed := [][2]string{}
	a.b.mu.Lock()
	for _, id := range q.Workers {
		for _, e := range a.b.executors {
			if e.id == id && e.server != nil && a.Allows(e.Machine) {
				allowed = append(allowed, [2]string{id, ticketFor(q.Step, e)})
			}
		}
	}
	a.b.mu.Unlock()
	a.b.Rec.Log("advisor: %s on %d executors (%s to %s) -> %d allowed", q.Step, len(q.Workers), q.Workers[0], q.Workers[len(q.Workers)-1], len(allowed))
	write(w, http.StatusOK, map[string]any{"Allowed": allowed, "ValidityMs": validityMs})
}

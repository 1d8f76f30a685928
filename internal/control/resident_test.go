package control

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
)

// residentRecorder is a resident that notes the terms in which it leads.
type residentRecorder struct {
	mu    sync.Mutex
	terms []uint64
	flood bool
}

func (r *residentRecorder) StartLeading(term uint64, _ *jobs.State, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.terms = append(r.terms, term)
}

func (r *residentRecorder) led() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]uint64(nil), r.terms...)
}

func (r *residentRecorder) Step(time.Time) []jobs.Command {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.flood {
		return nil
	}
	return []jobs.Command{{Configure: &jobs.Config{Version: 1, Document: make([]byte, maxCommandBytes/2)}}}
}

func (r *residentRecorder) set(flood bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flood = flood
}

func (r *residentRecorder) StopLeading()                                       {}
func (r *residentRecorder) HandleEvent(any, time.Time)                           {}
func (r *residentRecorder) HandleApplied(jobs.Command, *fault.Error, time.Time) {}
func (r *residentRecorder) Flush(time.Time)                               {}

// Guards against a resident that resigned and leads again in the same term: its
// orders carry the token of the term, so that executors could not tell those of
// before from those of after, and answers to the former would be taken for
// answers to the latter.
func TestResidentLeadsOncePerTerm(t *testing.T) {
	residents := map[uint64]*residentRecorder{}
	c := newClusterTuned(t, func(cfg *Config) {
		if residents[cfg.ID] == nil {
			residents[cfg.ID] = &residentRecorder{}
		}
		cfg.JobManager = residents[cfg.ID]
	}, 1, 2, 3)
	lead := c.leader()
	resident := residents[lead.cfg.ID]
	require.Eventually(t, func() bool { return len(resident.led()) > 0 }, generous, time.Millisecond)

	// Without followers what is proposed waits, until the log takes no more.
	for _, run := range c.replicas {
		if run != lead {
			run.cut.set(true)
		}
	}
	resident.set(true)
	require.Eventually(t, func() bool { return !lead.IsLeader() }, generous, time.Millisecond)
	resident.set(false)
	for _, run := range c.replicas {
		run.cut.set(false)
	}
	c.leader()
	for id, r := range residents {
		terms := r.led()
		for i := 1; i < len(terms); i++ {
			require.Greater(t, terms[i], terms[i-1], "replica %d", id)
		}
	}
}

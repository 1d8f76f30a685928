package cell

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
)

const (
	benchExecutors     = 300
	benchJobsPerSecond = 100
	benchTasksPerJob   = 10
)

// instantPlatform is a PlatformClient whose executors finish every task at once.
type instantPlatform struct {
	mu      sync.Mutex
	ended   map[string][]manager.EndedRow
	lastEnd map[string]int64
}

func (p *instantPlatform) Do(ctx context.Context, c manager.Call) manager.Outcome {
	o := manager.Outcome{Verdict: manager.OK, Clock: time.Now().UnixMilli(), StartedAt: 1}
	switch c.Kind {
	case manager.CallStart:
		p.mu.Lock()
		p.lastEnd[c.Address]++
		p.ended[c.Address] = append(p.ended[c.Address], manager.EndedRow{Number: p.lastEnd[c.Address], Task: c.Task, Run: c.Run, How: jobs.ResultDone})
		p.mu.Unlock()
	case manager.CallHold:
		wait := time.After(time.Duration(rand.Int64N(int64(100 * time.Millisecond))))
		if c.MaxWait > 0 {
			select {
			case <-ctx.Done():
			case <-wait:
			}
		}
		p.mu.Lock()
		var unacknowledged []manager.EndedRow
		for _, e := range p.ended[c.Address] {
			if e.Number > c.RecordedEnd {
				unacknowledged = append(unacknowledged, e)
			}
		}
		p.ended[c.Address], o.Ended = unacknowledged, append([]manager.EndedRow(nil), unacknowledged...)
		p.mu.Unlock()
	default:
	}
	return o
}

// BenchmarkLeader measures a cell of one replica with 300 executors and 1,000 tasks
// a second, in jobs of 10, which end as soon as they start. One operation is one
// second of this load.
func BenchmarkLeader(b *testing.B) {
	s := newTestCell(b, 1)
	s.platform = &instantPlatform{ended: map[string][]manager.EndedRow{}, lastEnd: map[string]int64{}}
	s.start(s.seeds[0], true)
	s.waitForVoters(s.seeds...)
	c := s.nodes[s.seeds[0]].cell
	ctx := b.Context()
	reply, err := c.Request(ctx, manager.Request{Kind: manager.RequestConfigure, Config: &jobs.Config{
		Version: 1, Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Timeout: 1000, MaxAttempts: 3, SlackFactor: 1.5}}, Pools: []jobs.Pool{{Name: "p", EnforcesCapacity: true}},
	}})
	require.NoError(b, err)
	require.Equal(b, manager.ReplyAccepted, reply.Kind)
	for i := range benchExecutors {
		require.NoError(b, c.Report(ctx, manager.Report{
			ID: fmt.Sprintf("i-%d", i), StartedAt: 1, Sequence: 1, Host: fmt.Sprintf("m-%d", i), Pool: "p", Address: fmt.Sprintf("a-%d", i),
			Capacity: jobs.Resources{CPU: 32000, MemoryMB: 64 << 10}, Clock: time.Now().UnixMilli(),
		}))
	}
	spec := &jobs.Spec{Payload: "text", Steps: []jobs.Step{{Count: benchTasksPerJob, Demand: jobs.Resources{CPU: 2000, MemoryMB: 3000}, Estimate: 500}}}
	job := 0
	for b.Loop() {
		var group sync.WaitGroup
		for range benchJobsPerSecond {
			job++
			id := fmt.Sprintf("%016x", job)
			group.Go(func() {
				_, err := c.Request(ctx, manager.Request{Kind: manager.RequestSubmit, Host: "h", Path: "/q/" + id, Spec: spec})
				require.NoError(b, err)
			})
			time.Sleep(time.Second / benchJobsPerSecond)
		}
		group.Wait()
	}
}

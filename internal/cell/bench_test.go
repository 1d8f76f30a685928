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
	benchExecutors = 300
	benchRate      = 100
	benchTasks     = 10
)

// instant is a platform whose executors finish every task at once.
type instant struct {
	mu    sync.Mutex
	ended map[string][]manager.EndedRow
	last  map[string]int64
}

func (p *instant) Do(ctx context.Context, c manager.Call) manager.Outcome {
	o := manager.Outcome{Verdict: manager.OK, Clock: time.Now().UnixMilli(), StartedAt: 1}
	switch c.Kind {
	case manager.CallStart:
		p.mu.Lock()
		p.last[c.Address]++
		p.ended[c.Address] = append(p.ended[c.Address], manager.EndedRow{Number: p.last[c.Address], Task: c.Task, Run: c.Run, How: jobs.ResultDone})
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
		var keep []manager.EndedRow
		for _, e := range p.ended[c.Address] {
			if e.Number > c.RecordedEnd {
				keep = append(keep, e)
			}
		}
		p.ended[c.Address], o.Ended = keep, append([]manager.EndedRow(nil), keep...)
		p.mu.Unlock()
	default:
	}
	return o
}

// BenchmarkLeader measures a cell of one replica with 300 executors on which 1,000
// tasks a second start and end at once; one operation is a second of that.
func BenchmarkLeader(b *testing.B) {
	s := newSite(b, 1)
	s.caller = &instant{ended: map[string][]manager.EndedRow{}, last: map[string]int64{}}
	s.start(s.seeds[0], true)
	s.voters(s.seeds...)
	c := s.nodes[s.seeds[0]].cell
	ctx := b.Context()
	reply, err := c.Ask(ctx, manager.Request{Kind: manager.RequestConfigure, Config: &jobs.Config{
		Version: 1, Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Timeout: 1000, MaxAttempts: 3, SlackFactor: 1.5}}, Pools: []jobs.Pool{{Name: "p", EnforcesCapacity: true}},
	}})
	require.NoError(b, err)
	require.Equal(b, manager.ReplyAccepted, reply.Kind)
	for i := range benchExecutors {
		require.NoError(b, c.Hear(ctx, manager.Report{
			ID: fmt.Sprintf("i-%d", i), StartedAt: 1, Sequence: 1, Host: fmt.Sprintf("m-%d", i), Pool: "p", Address: fmt.Sprintf("a-%d", i),
			Capacity: jobs.Resources{CPU: 32000, MemoryMB: 64 << 10}, Clock: time.Now().UnixMilli(),
		}))
	}
	spec := &jobs.Spec{Payload: "text", Steps: []jobs.Step{{Count: benchTasks, Demand: jobs.Resources{CPU: 2000, MemoryMB: 3000}, Estimate: 500}}}
	job := 0
	for b.Loop() {
		var group sync.WaitGroup
		for range benchRate {
			job++
			id := fmt.Sprintf("%016x", job)
			group.Go(func() {
				_, err := c.Ask(ctx, manager.Request{Kind: manager.RequestSubmit, Host: "h", Path: "/q/" + id, Spec: spec})
				require.NoError(b, err)
			})
			time.Sleep(time.Second / benchRate)
		}
		group.Wait()
	}
}

package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/wal"
	"laburnumdock/internal/wal/waltest"
)

// quantile returns a quantile of durations in milliseconds.
func quantile(list []time.Duration, q float64) float64 {
	slices.Sort(list)
	return float64(list[int(q*float64(len(list)-1))]) / float64(time.Millisecond)
}

// storage returns the counters of the leader's log after they are published.
func storage(run *running) wal.Stats {
	newer := run.StatusChanged()
	<-newer
	return run.Status().Storage
}

// BenchmarkPropose measures group commit and latency with three replicas over
// loopback, with concurrent proposers at the leader.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			c := newCluster(b, 1, 2, 3)
			lead := c.leader()
			c.mustPut(lead, 0)
			before := storage(lead)
			var next atomic.Int64
			var mu sync.Mutex
			var all []time.Duration
			b.ResetTimer()
			var group sync.WaitGroup
			for range proposers {
				group.Go(func() {
					var mine []time.Duration
					for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
						began := time.Now()
						if _, err := lead.Propose(context.Background(), putTeam(int(i%1000))); err != nil {
							b.Error(err)
						}
						mine = append(mine, time.Since(began))
					}
					mu.Lock()
					defer mu.Unlock()
					all = append(all, mine...)
				})
			}
			group.Wait()
			b.StopTimer()
			after := storage(lead)
			b.ReportMetric(float64(after.Entries-before.Entries)/float64(after.Syncs-before.Syncs), "entries/sync")
			b.ReportMetric(quantile(all, 0.5), "p50-ms")
			b.ReportMetric(quantile(all, 0.99), "p99-ms")
		})
	}
}

// BenchmarkReadSnapshot measures a linearizable read at the leader and at a
// follower.
func BenchmarkReadSnapshot(b *testing.B) {
	c := newCluster(b, 1, 2, 3)
	for name, run := range map[string]*running{"leader": c.leader(), "follower": c.follower()} {
		c.mustPut(run, 0)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, err := run.ReadSnapshot(context.Background())
				require.NoError(b, err)
			}
		})
	}
}

// BenchmarkLeaderLoss measures the time from killing the leader to the first
// accepted change at another replica, which had to elect a leader.
func BenchmarkLeaderLoss(b *testing.B) {
	c := newCluster(b, 1, 2, 3)
	c.mustPut(c.leader(), 0)
	var all []time.Duration
	for i := 0; b.Loop(); i++ {
		lead := c.leader()
		other := c.follower()
		c.mustPut(other, i)
		id := lead.cfg.ID
		began := time.Now()
		c.kill(id)
		c.resend(other, i+1)
		all = append(all, time.Since(began))
		b.StopTimer()
		c.restart(id)
		require.Eventually(b, func() bool { return c.leader().Status().ToleratedLosses == 1 }, generous, time.Millisecond)
		b.StartTimer()
	}
	b.ReportMetric(quantile(all, 0.5), "p50-ms")
	b.ReportMetric(quantile(all, 1), "max-ms")
}

// BenchmarkRestore measures the start from a snapshot of a region, with 2,000
// hosts, and 10,000 entries after it.
func BenchmarkRestore(b *testing.B) {
	fs, err := wal.Dir(b.TempDir())
	require.NoError(b, err)
	last, err := waltest.FillRegion(fs, "test", 2000, 10_000)
	require.NoError(b, err)
	cfg := Config{ID: 1, Cluster: "test"}
	for b.Loop() {
		replica, err := OpenFS(cfg, fs)
		require.NoError(b, err)
		ctx, cancel := context.WithCancelCause(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- replica.Run(ctx) }()
		// The sole voter leads at its first tick and commits the rest.
		for replica.view.Load().applied < last {
			<-replica.Changed()
		}
		b.StopTimer()
		cancel(ErrAbandon)
		require.NoError(b, <-ended)
		b.StartTimer()
	}
}

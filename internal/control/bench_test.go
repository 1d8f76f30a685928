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

// quantile returns the q-quantile of list in milliseconds. It sorts list.
func quantile(list []time.Duration, q float64) float64 {
	slices.Sort(list)
	return float64(list[int(q*float64(len(list)-1))]) / float64(time.Millisecond)
}

// storage returns the storage counters of a replica after its next status is
// published.
func storage(run *runningReplica) wal.Stats {
	newer := run.StatusChanged()
	<-newer
	return run.Status().Storage
}

// BenchmarkPropose measures group commit and commit latency in a cluster of three
// replicas over loopback, with concurrent proposers at the leader.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			c := newCluster(b, 1, 2, 3)
			lead := c.leader()
			c.mustPut(lead, 0)
			before := storage(lead)
			var next atomic.Int64
			var mu sync.Mutex
			var allLatencies []time.Duration
			b.ResetTimer()
			var group sync.WaitGroup
			for range proposers {
				group.Go(func() {
					var latencies []time.Duration
					for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
						start := time.Now()
						if _, err := lead.Propose(context.Background(), putTeam(int(i%1000))); err != nil {
							b.Error(err)
						}
						latencies = append(latencies, time.Since(start))
					}
					mu.Lock()
					defer mu.Unlock()
					allLatencies = append(allLatencies, latencies...)
				})
			}
			group.Wait()
			b.StopTimer()
			after := storage(lead)
			b.ReportMetric(float64(after.Entries-before.Entries)/float64(after.Syncs-before.Syncs), "entries/sync")
			b.ReportMetric(quantile(allLatencies, 0.5), "p50-ms")
			b.ReportMetric(quantile(allLatencies, 0.99), "p99-ms")
		})
	}
}

// BenchmarkReadSnapshot measures a linearizable read at the leader and at a
// follower.
func BenchmarkReadSnapshot(b *testing.B) {
	c := newCluster(b, 1, 2, 3)
	for name, run := range map[string]*runningReplica{"leader": c.leader(), "follower": c.follower()} {
		c.mustPut(run, 0)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, err := run.ReadSnapshot(context.Background())
				require.NoError(b, err)
			}
		})
	}
}

// BenchmarkLeaderLoss measures the time from the crash of the leader to the first
// accepted change at another replica, including the election.
func BenchmarkLeaderLoss(b *testing.B) {
	c := newCluster(b, 1, 2, 3)
	c.mustPut(c.leader(), 0)
	var durations []time.Duration
	for i := 0; b.Loop(); i++ {
		lead := c.leader()
		other := c.follower()
		c.mustPut(other, i)
		id := lead.cfg.ID
		start := time.Now()
		c.kill(id)
		c.proposeUntilAccepted(other, i+1)
		durations = append(durations, time.Since(start))
		b.StopTimer()
		c.restart(id)
		require.Eventually(b, func() bool { return c.leader().Status().ToleratedLosses == 1 }, testTimeout, time.Millisecond)
		b.StartTimer()
	}
	b.ReportMetric(quantile(durations, 0.5), "p50-ms")
	b.ReportMetric(quantile(durations, 1), "max-ms")
}

// BenchmarkRestore measures the start of a replica from a snapshot of a region with
// 2,000 hosts and 10,000 log entries after it.
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
		// The only voter becomes the leader at its first tick and commits the
		// remaining entries.
		for replica.view.Load().applied < last {
			<-replica.Changed()
		}
		b.StopTimer()
		cancel(ErrAbandon)
		require.NoError(b, <-ended)
		b.StartTimer()
	}
}

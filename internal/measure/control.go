package measure

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laburnumdock/internal/control"
	"laburnumdock/internal/control/controltest"
	"laburnumdock/internal/entry/entrytest"
	"laburnumdock/internal/wal"
	"laburnumdock/internal/wal/waltest"
)

// measureControl measures three control replicas in one process, with storage on
// real files.
func measureControl(r *Report) error {
	for _, step := range []func(*Report) error{measureProposals, measureLeaderLoss, measureRestore, measureTimeInForce} {
		if err := step(r); err != nil {
			return err
		}
	}
	return nil
}

// quantile returns the q-quantile of an unsorted list, or 0 if it is empty.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(q*float64(len(sorted)-1))]
}

// measureProposals measures accepted changes per second, and entries per log
// sync as the effect of group commit.
func measureProposals(r *Report) error {
	c, stop, err := startReplicas(controltest.Options{})
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*waitTimeout)
	defer cancel()
	leader, err := c.WaitLeader(ctx)
	if err != nil {
		return err
	}
	for _, proposers := range []int{1, 16, 256} {
		var rates, entriesPerSync []float64
		for range r.rounds() {
			<-leader.StatusChanged()
			before := leader.Status().Storage
			count, seconds, err := proposeConcurrently(ctx, leader, proposers, r.liveRoundDuration())
			if err != nil {
				return err
			}
			// The storage counters are published with the next status.
			<-leader.StatusChanged()
			after := leader.Status().Storage
			rates = append(rates, float64(count)/seconds)
			entriesPerSync = append(entriesPerSync, float64(after.Entries-before.Entries)/float64(max(after.Syncs-before.Syncs, 1)))
		}
		key := fmt.Sprintf("control.proposers_%d.", proposers)
		r.Add(key+"proposals", "1/s", rates...)
		r.Add(key+"entries_per_sync", "entries", entriesPerSync...)
	}
	return nil
}

// proposeConcurrently runs proposers in parallel for the given duration. It
// returns the number of accepted changes, the elapsed seconds and an error of
// any proposer.
func proposeConcurrently(ctx context.Context, leader *controltest.Replica, proposers int, duration time.Duration) (int64, float64, error) {
	var accepted atomic.Int64
	var group sync.WaitGroup
	errs := make(chan error, proposers)
	began := time.Now()
	for range proposers {
		group.Go(func() {
			for time.Since(began) < duration {
				if _, err := leader.Propose(ctx, newConfigChange()); err != nil {
					errs <- err
					return
				}
				accepted.Add(1)
			}
		})
	}
	group.Wait()
	close(errs)
	return accepted.Load(), time.Since(began).Seconds(), <-errs
}

// measureLeaderLoss measures the time from the kill of the leader to the first
// change that is accepted through another replica.
func measureLeaderLoss(r *Report) error {
	c, stop, err := startReplicas(controltest.Options{})
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*waitTimeout)
	defer cancel()
	var times []float64
	for range 2*r.rounds() + 1 {
		leader, err := c.WaitLeader(ctx)
		if err != nil {
			return err
		}
		other := c.Replicas[leader.ID%uint64(len(c.Replicas))]
		if _, err := other.Propose(ctx, newConfigChange()); err != nil {
			return err
		}
		put := newConfigChange()
		began := time.Now()
		leader.Kill()
		// As a client does, resend the change until its outcome is known.
		for _, err = other.Propose(ctx, put); err != nil; _, err = other.Propose(ctx, put) {
			if ctx.Err() != nil {
				return err
			}
		}
		times = append(times, time.Since(began).Seconds())
		if err := c.Restart(leader.ID); err != nil {
			return err
		}
		if err := c.WaitFaultTolerant(ctx); err != nil {
			return err
		}
	}
	r.AddTarget("control.leader_loss.median", targetLeaderLoss, times...)
	r.AddTarget("control.leader_loss.longest", targetLeaderLoss, slices.Max(times))
	return nil
}

// measureRestore measures the start of a replica from a snapshot of 2,000 hosts
// and a log of 10,000 entries.
func measureRestore(r *Report) error {
	dir, err := os.MkdirTemp("", "dock-measure-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fs, err := wal.Dir(dir)
	if err != nil {
		return err
	}
	lastVersion, err := waltest.FillRegion(fs, "test", 2000, 10_000)
	if err != nil {
		return err
	}
	var times []float64
	for range r.rounds() {
		began := time.Now()
		replica, err := control.OpenFS(control.Config{ID: 1, Cluster: "test"}, fs)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		result := make(chan error, 1)
		go func() { result <- replica.Run(ctx) }()
		// The only voter becomes leader at its first tick and commits the
		// remaining entries.
		for next := replica.Changed(); replica.Snapshot().Version < lastVersion; next = replica.Changed() {
			<-next
		}
		times = append(times, time.Since(began).Seconds())
		cancel(control.ErrAbandon)
		if err := <-result; err != nil && !errors.Is(err, control.ErrAbandon) {
			return err
		}
	}
	r.AddTarget("control.restore", targetRestore, times...)
	return nil
}

// watchingEntryHosts is the number of entry hosts that watch changes while the
// time in force is measured.
const watchingEntryHosts = 3

// measureTimeInForce measures the time from the acceptance of a change until it
// is in force on all entry hosts.
func measureTimeInForce(r *Report) error {
	c, stop, err := startReplicas(controltest.Options{})
	if err != nil {
		return err
	}
	defer stop()
	var urls []string
	for _, replica := range c.Replicas {
		urls = append(urls, replica.URL)
	}
	fixture, err := entrytest.Start(entrytest.Options{Hosts: watchingEntryHosts, Slots: 8, ControlReplicas: urls})
	if err != nil {
		return err
	}
	defer fixture.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*waitTimeout)
	defer cancel()
	leader, err := c.WaitLeader(ctx)
	if err != nil {
		return err
	}
	changes := 300
	if r.Quick {
		changes = 50
	}
	var times []time.Duration
	for i := range changes + 1 {
		res, err := leader.Propose(ctx, newConfigChange())
		if err != nil {
			return err
		}
		began := time.Now()
		if err := fixture.WaitVersion(ctx, res.Version); err != nil {
			return err
		}
		// The first change is left out: it waits until the entry hosts have
		// connected.
		if i > 0 {
			times = append(times, time.Since(began))
		}
	}
	r.Add("control.in_force.p50", "s", quantile(times, 0.5).Seconds())
	r.AddTarget("control.in_force.p99", targetInForce, quantile(times, 0.99).Seconds())
	return nil
}

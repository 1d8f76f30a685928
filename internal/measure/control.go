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

// Control measures three replicas in one process with real files.
func measureControl(r *Report) error {
	for _, step := range []func(*Report) error{proposals, leaderLoss, restore, inForce} {
		if err := step(r); err != nil {
			return err
		}
	}
	return nil
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(q*float64(len(sorted)-1))]
}

// proposals measures changes per second and group commit.
func proposals(r *Report) error {
	c, stop, err := startReplicas(controltest.Options{})
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*waitLimit)
	defer cancel()
	lead, err := c.WaitLeader(ctx)
	if err != nil {
		return err
	}
	for _, proposers := range []int{1, 16, 256} {
		var rates, perSync []float64
		for range r.rounds() {
			<-lead.StatusChanged()
			before := lead.Status().Storage
			count, seconds, err := proposeAll(ctx, lead, proposers, r.span())
			if err != nil {
				return err
			}
			// The counters are published with the next role.
			<-lead.StatusChanged()
			after := lead.Status().Storage
			rates = append(rates, float64(count)/seconds)
			perSync = append(perSync, float64(after.Entries-before.Entries)/float64(max(after.Syncs-before.Syncs, 1)))
		}
		key := fmt.Sprintf("control.proposers_%d.", proposers)
		r.Add(key+"proposals", "1/s", rates...)
		r.Add(key+"entries_per_sync", "entries", perSync...)
	}
	return nil
}

func proposeAll(ctx context.Context, lead *controltest.Replica, proposers int, length time.Duration) (int64, float64, error) {
	var done atomic.Int64
	var group sync.WaitGroup
	failed := make(chan error, proposers)
	began := time.Now()
	for range proposers {
		group.Go(func() {
			for time.Since(began) < length {
				if _, err := lead.Propose(ctx, change()); err != nil {
					failed <- err
					return
				}
				done.Add(1)
			}
		})
	}
	group.Wait()
	close(failed)
	return done.Load(), time.Since(began).Seconds(), <-failed
}

// leaderLoss measures from killing the leader to the first accepted change at
// another replica.
func leaderLoss(r *Report) error {
	c, stop, err := startReplicas(controltest.Options{})
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*waitLimit)
	defer cancel()
	var times []float64
	for range 2*r.rounds() + 1 {
		lead, err := c.WaitLeader(ctx)
		if err != nil {
			return err
		}
		other := c.Replicas[lead.ID%uint64(len(c.Replicas))]
		if _, err := other.Propose(ctx, change()); err != nil {
			return err
		}
		put := change()
		began := time.Now()
		lead.Kill()
		// A client resends a change whose outcome it did not learn.
		for _, err = other.Propose(ctx, put); err != nil; _, err = other.Propose(ctx, put) {
			if ctx.Err() != nil {
				return err
			}
		}
		times = append(times, time.Since(began).Seconds())
		if err := c.Restart(lead.ID); err != nil {
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

// restore measures the start from a snapshot of 2,000 hosts and 10,000 entries.
func restore(r *Report) error {
	dir, err := os.MkdirTemp("", "dock-measure-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fs, err := wal.Dir(dir)
	if err != nil {
		return err
	}
	last, err := waltest.FillRegion(fs, "test", 2000, 10_000)
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
		ended := make(chan error, 1)
		go func() { ended <- replica.Run(ctx) }()
		// The sole voter leads at its first tick and commits the rest.
		for next := replica.Changed(); replica.Snapshot().Version < last; next = replica.Changed() {
			<-next
		}
		times = append(times, time.Since(began).Seconds())
		cancel(control.ErrAbandon)
		if err := <-ended; err != nil && !errors.Is(err, control.ErrAbandon) {
			return err
		}
	}
	r.AddTarget("control.restore", targetRestore, times...)
	return nil
}

// entryHosts are those that follow changes in the measurement.
const entryHosts = 3

// inForce measures from the acceptance of a change to its being in force on all
// entry hosts.
func inForce(r *Report) error {
	c, stop, err := startReplicas(controltest.Options{})
	if err != nil {
		return err
	}
	defer stop()
	var urls []string
	for _, replica := range c.Replicas {
		urls = append(urls, replica.URL)
	}
	cell, err := entrytest.Start(entrytest.Options{Hosts: entryHosts, Slots: 8, ControlReplicas: urls})
	if err != nil {
		return err
	}
	defer cell.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*waitLimit)
	defer cancel()
	lead, err := c.WaitLeader(ctx)
	if err != nil {
		return err
	}
	changes := 300
	if r.Quick {
		changes = 50
	}
	var times []time.Duration
	for i := range changes + 1 {
		res, err := lead.Propose(ctx, change())
		if err != nil {
			return err
		}
		began := time.Now()
		if err := cell.WaitVersion(ctx, res.Version); err != nil {
			return err
		}
		// The first change waits for the connections of the entry hosts.
		if i > 0 {
			times = append(times, time.Since(began))
		}
	}
	r.Add("control.in_force.p50", "s", quantile(times, 0.5).Seconds())
	r.AddTarget("control.in_force.p99", targetInForce, quantile(times, 0.99).Seconds())
	return nil
}

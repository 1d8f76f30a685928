package cell

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/control"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/wal/waltest"
)

// requestBound is the time within which a request is answered although a disk has just
// become full or has room again: a failover and the retries of the client.
const requestBound = 5 * time.Second

// Guards against a cell that refuses jobs for good after the disks of its replicas were
// full for a moment, one after another, and against the loss of an accepted job then.
func TestCellSurvivesDisksThatAreFullInTurn(t *testing.T) {
	s := newTestCell(t, 3)
	urls := s.startFive()
	client := s.client()
	require.Equal(t, manager.ReplyAccepted, mustRequest(t, client, manager.Request{Kind: manager.RequestConfigure, Config: testConfig}).Kind)
	var accepted []string
	slowest := time.Duration(0)
	submit := func() {
		path := fmt.Sprintf("/q/%016x", len(accepted)+1)
		start := time.Now()
		reply := mustRequest(t, client, manager.Request{Kind: manager.RequestSubmit, Host: "h", Path: path, Spec: &jobs.Spec{Steps: []jobs.Step{{Count: 1}}}})
		require.Equal(t, manager.ReplyAccepted, reply.Kind)
		slowest = max(slowest, time.Since(start))
		accepted = append(accepted, path)
	}
	// The first turn is the leader's, and later ones are as it happens.
	turns := append([]string{s.waitForLeader()}, urls...)
	for _, url := range turns {
		n := s.nodes[url]
		n.disk.Refuse(waltest.Full)
		for until := time.Now().Add(time.Second); time.Now().Before(until); {
			submit()
		}
		require.Error(t, n.cell.replica.Status().StorageError)
		n.disk.Refuse(0)
		start := time.Now()
		require.Eventually(t, func() bool { return n.cell.replica.Status().StorageError == nil }, requestBound, time.Millisecond)
		t.Logf("storage works again after %s", time.Since(start))
		submit()
	}
	t.Logf("%d jobs, the slowest took %s", len(accepted), slowest)
	require.Less(t, slowest, requestBound)
	s.waitForVoters(urls...)
	// Three of five must be able to lead and to vote.
	for _, url := range urls[:2] {
		s.kill(url)
	}
	submit()
	for _, path := range accepted {
		reply := mustRequest(t, client, manager.Request{Kind: manager.RequestState, Host: "h", Path: path})
		require.Equal(t, jobs.PhaseQueued, reply.Phase, path)
	}
}

// Guards against a process that ends or spins because its disk is full when it starts,
// and against one that then ignores a stop.
func TestReplicaWaitsForFullDiskAtStart(t *testing.T) {
	s := newTestCell(t, 1)
	n := s.nodes[s.seeds[0]]
	n.disk.Refuse(waltest.Full)
	run := func(ctx context.Context) chan error {
		ended := make(chan error, 1)
		go func() {
			ended <- RunUntilStopped(ctx, s.config(n, true), func(ctx context.Context, c *Cell) error {
				n.handler.set(c.Handler())
				return c.Run(ctx)
			})
		}()
		return ended
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := run(ctx)
	time.Sleep(time.Second)
	require.Less(t, n.disk.Refusals(), 10, "attempts must be paced")
	stop()
	require.NoError(t, <-ended)

	ctx, stop = context.WithCancel(t.Context())
	ended = run(ctx)
	time.Sleep(300 * time.Millisecond)
	n.disk.Refuse(0)
	require.Equal(t, manager.ReplyAccepted, mustRequest(t, s.client(), manager.Request{Kind: manager.RequestConfigure, Config: testConfig}).Kind)
	stop()
	require.NoError(t, <-ended)
}

// Guards against a replica that was removed from the cell while its disk was full and
// whose process then ends, or never joins again.
func TestReplicaRemovedWhileDiskIsFullJoinsAgain(t *testing.T) {
	s := newTestCell(t, 3)
	urls := s.startFive()
	url := s.addNode()
	n := s.nodes[url]
	ctx, stop := context.WithCancel(t.Context())
	cells := make(chan *Cell, 10)
	ended := make(chan error, 1)
	go func() {
		ended <- RunUntilStopped(ctx, s.config(n, false), func(ctx context.Context, c *Cell) error {
			n.handler.set(c.Handler())
			cells <- c
			return c.Run(ctx)
		})
	}()
	s.waitForVoters(append(urls, url)...)
	first := <-cells
	// A replica that does not know yet that it votes asks to join under the same ID.
	require.Eventually(t, func() bool { return first.replica.Status().Members.IsVoter(first.id) }, waitTimeout, time.Millisecond)
	n.disk.Refuse(waltest.Full)
	client := s.client()
	require.Equal(t, manager.ReplyAccepted, mustRequest(t, client, manager.Request{Kind: manager.RequestConfigure, Config: testConfig}).Kind)
	// Five voters tolerate more losses than six of which one is silent.
	s.waitForVoters(urls...)
	require.Eventually(t, func() bool {
		id, err := control.StoredID(control.Config{FS: n.disk})
		return err == nil && id == 0
	}, waitTimeout, 10*time.Millisecond)
	n.disk.Refuse(0)
	s.waitForVoters(append(urls, url)...)
	require.Len(t, cells, 1)
	second := <-cells
	require.NotEqual(t, first.id, second.id)
	require.Eventually(t, func() bool { return second.replica.Snapshot().JobConfig != nil }, waitTimeout, time.Millisecond)
	stop()
	require.NoError(t, <-ended)
}

package manager

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/jobs"
)

// Guards against pools that are too large because each task counts with the
// resource of which it needs most, although others fit beside it.
func TestResourcesAddUpApart(t *testing.T) {
	room := jobs.Resources{CPU: 1000, MemoryMB: 1000}
	var sum amount
	sum = sum.plus(partOf(jobs.Resources{CPU: 500, MemoryMB: 100}, room), 10)
	sum = sum.plus(partOf(jobs.Resources{CPU: 100, MemoryMB: 500}, room), 10)
	require.InDelta(t, 6, sum.hosts(), 1e-9)
}

// Guards against pools that are too large or too small because estimates of
// durations err to both sides.
func TestEstimatesThatErrToBothSidesEvenOut(t *testing.T) {
	const duration = 800 * time.Millisecond
	var z sizing
	predicted, actual := 0.0, 0.0
	for i := range 2000 {
		estimate := duration.Milliseconds() / 3
		if i%2 == 0 {
			estimate = duration.Milliseconds() * 3
		}
		z.learn(duration, estimate)
		if i > 1000 {
			predicted += float64(estimate) * z.scale()
			actual += float64(duration.Milliseconds())
		}
	}
	require.InDelta(t, 1, predicted/actual, 0.05)
}

// Guards against a new leader that sends hosts to the standby pool because it has
// not seen any work yet.
func TestNewLeaderKeepsHosts(t *testing.T) {
	now := time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)
	st := jobs.New()
	require.Nil(t, st.Apply(jobs.Command{Configure: &jobs.Config{Version: 1, Pools: []jobs.Pool{{Name: "p"}, {Name: "off", Standby: true}}}}))
	require.Nil(t, st.Apply(jobs.Command{RegisterExecutor: &jobs.RegisterExecutor{Executor: jobs.Executor{ID: "i", StartedAt: 1, Host: "m", Pool: "p", Address: "a", Capacity: jobs.Resources{CPU: 1000, MemoryMB: 1000}}}}))
	m := New(Config{HasHostAPI: true, MaxLease: 6 * time.Second, HostLease: time.Millisecond, MoveTime: time.Second, ReportInterval: time.Second}, st, 1, now)
	c := m.contacts.sorted[0]
	c.confirm()
	m.hosts.readAt = now
	moves := func(until time.Duration) int {
		count := 0
		for at := time.Duration(0); at < until; at += moveEvery {
			for _, call := range m.Step(now.Add(at)).Calls {
				if call.Kind == CallMoveHost {
					count++
				}
			}
		}
		return count
	}
	require.Zero(t, moves(shrinkAfter+rateWindow))
	require.Equal(t, 1, moves(2*(shrinkAfter+rateWindow)))
}

package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an order that is sent at the end of its permission or later, or
// without a permission.
func TestPermissionEnds(t *testing.T) {
	require.True(t, IsValid(2, 1))
	require.False(t, IsValid(2, 2))
	require.False(t, IsValid(2, 3))
	require.False(t, IsValid(0, 0))
	require.Zero(t, ClockSample{}.EndAtRemote(time.Hour))
}

// Guards against a replica that sends an order after the leader's permission has
// ended, for every offset of its clock, every delay of its clock reading and of the
// order, every suspension of the leader between the reading and the order, and a
// clock that is up to 2% slower or faster than the leader's.
func TestNoReplicaSendsAfterEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, least, most int64) time.Duration {
			return time.Duration(rapid.Int64Range(least, most).Draw(t, name)) * time.Millisecond
		}
		speed := rapid.Float64Range(1/(1+maxDrift), 1+maxDrift).Draw(t, "speed")
		start, offset := ms("start", 0, 1e6), ms("offset", 0, 1e9)
		// remote returns the replica's clock when the leader's shows at.
		remote := func(at time.Duration) time.Duration {
			return offset + time.Duration(speed*float64(at-start))
		}
		var best ClockSample
		at := start
		end := at + ms("permission", 0, 20_000)
		for range rapid.IntRange(1, 4).Draw(t, "samples") {
			readAt := at + ms("pause", 0, 3000)
			at = readAt + ms("delay", 0, 3000)
			best = Better(best, ClockSample{Remote: remote(readAt), ReceivedAt: at}, end)
		}
		remoteEnd := best.EndAtRemote(end)
		sentAt := at + ms("order", 0, 25_000)
		if IsValid(remoteEnd, remote(sentAt)) && !IsValid(end, sentAt) {
			// A rounding error of the simulated clock is below a microsecond.
			require.Less(t, sentAt-end, time.Microsecond)
		}
	})
}

// Guards against an estimate that is so cautious that a replica sends nothing: a
// reading that arrives within a millisecond costs that and the allowance for drift.
func TestReplicaUsesPermission(t *testing.T) {
	s := ClockSample{Remote: time.Hour, ReceivedAt: time.Second + time.Millisecond}
	end := time.Second + 400*time.Millisecond
	require.Greater(t, s.EndAtRemote(end), time.Hour+390*time.Millisecond)
}

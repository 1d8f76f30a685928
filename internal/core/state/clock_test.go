package state

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a time for commands that stands still behind the replicated
// time after a clock was set back, or that goes back itself.
func TestClockGoesOnFromReplicatedTime(t *testing.T) {
	wall := time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)
	c := NewClock(wall)
	require.Equal(t, wall.Add(time.Second), c.Now(time.Second))

	ahead := c.AdvanceTo(wall.Add(time.Hour), 2*time.Second)
	require.Equal(t, wall.Add(time.Hour), ahead.Now(2*time.Second))
	require.Equal(t, wall.Add(time.Hour+3*time.Second), ahead.Now(5*time.Second))

	require.Equal(t, ahead, ahead.AdvanceTo(wall.Add(time.Minute), 6*time.Second))
}

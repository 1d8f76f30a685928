package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against one late wake-up that hides a slow disk for ever, and against a
// delay that has decayed before the sync that it slowed down is checked.
func TestSchedulingDelayDecaysSlowly(t *testing.T) {
	var d schedulingDelay
	d.record(100 * time.Millisecond)
	d.record(0)
	require.Greater(t, d.recent(), 50*time.Millisecond)
	for range 20 {
		d.record(0)
	}
	require.Less(t, d.recent(), 5*time.Millisecond)
}

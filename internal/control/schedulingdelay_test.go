package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against one late wake-up that hides a slow disk for ever, and against a
// delay that has decayed before the sync that it slowed down is checked.
func TestSchedulingDelayDecaysSlowly(t *testing.T) {
	var m schedulingDelay
	m.record(100 * time.Millisecond)
	m.record(0)
	require.Greater(t, m.recent(), 50*time.Millisecond)
	for range 20 {
		m.record(0)
	}
	require.Less(t, m.recent(), 5*time.Millisecond)
}

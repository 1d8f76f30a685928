package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a replica that reads its whole log five times a second while its disk
// takes the small file of an attempt but refuses the records.
func TestReopeningSlowsDownWhileStorageFailsAtOnce(t *testing.T) {
	delay := time.Duration(0)
	var delays []time.Duration
	for range 6 {
		delay = nextReopenDelay(delay, 10*time.Millisecond)
		delays = append(delays, delay)
	}
	require.Equal(t, []time.Duration{reopenInterval, 2 * reopenInterval, 4 * reopenInterval, 8 * reopenInterval, maxReopenInterval, maxReopenInterval}, delays)
	require.Equal(t, reopenInterval, nextReopenDelay(delay, stableTime))
}

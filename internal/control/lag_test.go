package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against one late wake-up that excuses a slow disk for good, and against
// one that is forgotten before the sync beside it is judged.
func TestLagIsForgottenSlowly(t *testing.T) {
	var m lagMeter
	m.take(100 * time.Millisecond)
	m.take(0)
	require.Greater(t, m.recent(), 50*time.Millisecond)
	for range 20 {
		m.take(0)
	}
	require.Less(t, m.recent(), 5*time.Millisecond)
}

package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a retry storm: retries stay within 10% of the successes plus
// the initial tokens, in any order of successes and failures.
func TestBudgetBoundsExtraAttempts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	b := New(1)
	successes, taken := 0, 0
	for range 100000 {
		if random.IntN(3) == 0 {
			b.RecordSuccess()
			successes++
		} else if b.Take() {
			taken++
		}
		require.LessOrEqual(t, taken, initialTokens+successes/successesPerToken)
	}
	require.Greater(t, taken, successes/successesPerToken-maxTokens)
}

// Guards against tokens of old successes that allow a burst of retries.
func TestBudgetDecaysOldTokens(t *testing.T) {
	b := New(1)
	for range 10 * maxTokens * successesPerToken {
		b.RecordSuccess()
	}
	for i := range 10 {
		b.Decay(time.Duration(i+1) * halfLife)
	}
	taken := 0
	for b.Take() {
		taken++
	}
	require.LessOrEqual(t, taken, initialTokens+1)
}

// Guards against synchronized retries, and against delays that differ between
// runs with the same seed.
func TestDelayHasJitterFromSeed(t *testing.T) {
	a, b := New(7), New(7)
	seen := map[time.Duration]bool{}
	for range 50 {
		d := a.Delay(2)
		require.Equal(t, d, b.Delay(2))
		require.GreaterOrEqual(t, d, baseDelay/2)
		require.Less(t, d, baseDelay*3/2)
		seen[d] = true
	}
	require.Greater(t, len(seen), 40)
	require.Less(t, a.Delay(100), maxDelay*3/2)
}

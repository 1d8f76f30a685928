package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a retry storm: extra attempts stay within 10% of successes
// and the initial credit, whatever the order of successes and failures.
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
		require.LessOrEqual(t, taken, initialCredit+successes/shareDivisor)
	}
	require.Greater(t, taken, successes/shareDivisor-maxTokens)
}

// Guards against tokens of a distant past that allow a burst.
func TestBudgetForgetsOldSuccesses(t *testing.T) {
	b := New(1)
	for range 10 * maxTokens * shareDivisor {
		b.RecordSuccess()
	}
	for i := range 10 {
		b.Decay(time.Duration(i+1) * halfLife)
	}
	taken := 0
	for b.Take() {
		taken++
	}
	require.LessOrEqual(t, taken, initialCredit+1)
}

// Guards against retries in step and against delays that differ between runs
// of one seed.
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

package forecast

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// logError returns the root mean square of the logarithmic errors of predictions
// and of the estimates, for steps whose true durations and estimates vary by the
// given standard deviations of their logarithms.
func logError(d *Durations, rng *rand.Rand, durations, estimates float64) (predicted, estimated float64) {
	const rounds = 2000
	for i := range rounds {
		truth := math.Exp(7 + durations*rng.NormFloat64())
		estimate := int64(truth / 1.5 * math.Exp(estimates*rng.NormFloat64()))
		if i >= rounds/2 {
			predicted += math.Pow(math.Log(float64(d.Predict(estimate, 8).Milliseconds())/truth), 2)
			estimated += math.Pow(math.Log(byEstimate(estimate, 8)/truth), 2)
		}
		d.Observe(estimate, 8, time.Duration(truth*float64(time.Millisecond)))
	}
	return math.Sqrt(predicted / (rounds / 2)), math.Sqrt(estimated / (rounds / 2))
}

// Guards against predictions that follow estimates which err by a factor of three
// in either direction.
func TestUselessEstimatesAreDiscounted(t *testing.T) {
	predicted, estimated := logError(&Durations{}, rand.New(rand.NewPCG(1, 0)), 0.5, 1.1)
	require.Less(t, predicted, 0.5*estimated)
}

// Guards against predictions that ignore estimates which are right up to a constant
// factor.
func TestGoodEstimatesAreFollowed(t *testing.T) {
	predicted, _ := logError(&Durations{}, rand.New(rand.NewPCG(2, 0)), 1, 0.1)
	require.Less(t, predicted, 0.15)
}

// Guards against a step of many tasks that counts as long as its mean task, and
// against nonsense without observations.
func TestPredictionsWithoutObservations(t *testing.T) {
	var d Durations
	require.InDelta(t, 1000, d.Predict(1000, 1).Milliseconds(), 1)
	require.InDelta(t, 1500, d.Predict(1000, 8).Milliseconds(), 20)
	require.Positive(t, d.Predict(0, 0))
	d.Observe(0, 1, time.Second)
	d.Observe(1000, 1, 0)
	require.InDelta(t, 1000, d.Predict(1000, 1).Milliseconds(), 1)
}

// Guards against a queue whose durations have changed and whose predictions stay.
func TestPredictionsFollowChange(t *testing.T) {
	var d Durations
	for range 3 * memory {
		d.Observe(1000, 1, time.Second)
	}
	for range 3 * memory {
		d.Observe(1000, 1, 3*time.Second)
	}
	require.InDelta(t, 3000, d.Predict(1000, 1).Milliseconds(), 300)
}

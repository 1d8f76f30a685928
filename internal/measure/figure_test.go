package measure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a wrong slope or intercept of the linear fit, and against a fit
// to too few or equal sizes.
func TestFit(t *testing.T) {
	line, err := Fit([]float64{50, 500, 5000}, []float64{200, 1100, 10100})
	require.NoError(t, err)
	require.InDelta(t, 2, line.Slope, 1e-9)
	require.InDelta(t, 100, line.Intercept, 1e-6)
	require.InDelta(t, 32100, line.At(16000), 1e-6)
	_, err = Fit([]float64{1}, []float64{1})
	require.Error(t, err)
	_, err = Fit([]float64{1, 1}, []float64{1, 2})
	require.Error(t, err)
}

// Guards against a missed target that is reported as met, for upper and lower
// bounds and at the bound itself.
func TestTargetCompare(t *testing.T) {
	for _, c := range []struct {
		target  Target
		value   float64
		share   float64
		verdict Verdict
	}{
		{Target{Bound: 2}, 4, 0.5, Miss},
		{Target{Bound: 2}, 2, 1, Pass},
		{Target{Bound: 2}, 1, 2, Pass},
		{Target{Bound: 60, AtLeast: true}, 30, 0.5, Miss},
		{Target{Bound: 60, AtLeast: true}, 60, 1, Pass},
	} {
		share, verdict := c.target.compare(c.value)
		require.InDelta(t, c.share, share, 1e-9)
		require.Equal(t, c.verdict, verdict)
	}
}

// Guards against a figure that isn't the median of its rounds, and against a
// wrong minimum or maximum.
func TestFigureIsMedian(t *testing.T) {
	r := &Report{}
	r.Add("odd", "ms", 9, 1, 2)
	r.Add("even", "ms", 4, 1, 2, 9)
	odd, err := r.Value("odd")
	require.NoError(t, err)
	require.InDelta(t, 2, odd, 1e-9)
	even, err := r.Value("even")
	require.NoError(t, err)
	require.InDelta(t, 3, even, 1e-9)
	require.InDelta(t, 1, r.Figures[0].Low, 1e-9)
	require.InDelta(t, 9, r.Figures[0].High, 1e-9)
	_, err = r.Value("none")
	require.Error(t, err)
}

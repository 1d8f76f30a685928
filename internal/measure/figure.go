// Package measure measures performance and capacity figures of the system and
// compares them with the targets of the design page. Absolute values depend on
// the machine.
package measure

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

// Verdict is the result of comparing a figure with its target.
type Verdict string

// Verdicts of figures that have a target; others have none.
const (
	Pass Verdict = "pass"
	Miss Verdict = "miss"
)

// Figure is the result of one measurement; Value is the median of its rounds or
// seeds.
type Figure struct {
	Key   string  `json:"key"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	// Low and High are the minimum and maximum over the rounds.
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	Rounds int     `json:"rounds"`
	Target *Target `json:"target,omitempty"`
	// Share is target divided by value, or value divided by target if the target
	// is a lower bound; 1 or more is a pass.
	Share   float64 `json:"share,omitempty"`
	Verdict Verdict `json:"verdict,omitempty"`
}

// Report holds the figures of one run.
type Report struct {
	Date        time.Time `json:"date"`
	Quick       bool      `json:"quick"`
	Cores       int       `json:"cores"`
	LoadAverage string    `json:"loadAverage"`
	Seconds     float64   `json:"seconds"`
	Figures     []Figure  `json:"figures"`

	shortWaits []waitDistribution
}

// waitDistribution holds the waits of short work in surges under one policy,
// for the first seed.
type waitDistribution struct {
	deployment, policy string
	sorted             []time.Duration
}

// Add appends a figure without a target.
func (r *Report) Add(key, unit string, rounds ...float64) {
	r.Figures = append(r.Figures, newFigure(key, unit, rounds))
}

// AddTarget appends a figure and compares it with its target.
func (r *Report) AddTarget(key string, t Target, rounds ...float64) {
	f := newFigure(key, t.Unit, rounds)
	f.Target = &t
	f.Share, f.Verdict = t.compare(f.Value)
	r.Figures = append(r.Figures, f)
}

// Value returns the value of the figure with the given key.
func (r *Report) Value(key string) (float64, error) {
	for _, f := range r.Figures {
		if f.Key == key {
			return f.Value, nil
		}
	}
	return 0, fmt.Errorf("figure not found: %s", key)
}

func newFigure(key, unit string, rounds []float64) Figure {
	sorted := slices.Sorted(slices.Values(rounds))
	if len(sorted) == 0 {
		sorted = []float64{0}
	}
	return Figure{Key: key, Unit: unit, Value: median(sorted), Low: sorted[0], High: sorted[len(sorted)-1], Rounds: len(rounds)}
}

func median(sorted []float64) float64 {
	half := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[half]
	}
	return (sorted[half-1] + sorted[half]) / 2
}

// Line is a linear cost model: cost = intercept + slope * size.
type Line struct{ Intercept, Slope float64 }

// At returns the cost at the given size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fit returns the least-squares line through two or more points.
func Fit(sizes, costs []float64) (Line, error) {
	if len(sizes) < 2 || len(sizes) != len(costs) {
		return Line{}, fmt.Errorf("linear fit needs at least two sizes and one cost for each: got %d sizes and %d costs", len(sizes), len(costs))
	}
	n := float64(len(sizes))
	var sx, sy, sxx, sxy float64
	for i, x := range sizes {
		sx += x
		sy += costs[i]
		sxx += x * x
		sxy += x * costs[i]
	}
	denominator := n*sxx - sx*sx
	if denominator == 0 {
		return Line{}, fmt.Errorf("linear fit needs different sizes: all are %v", sizes[0])
	}
	slope := (n*sxy - sx*sy) / denominator
	return Line{Intercept: (sy - slope*sx) / n, Slope: slope}, nil
}

// Print writes the figures to w as a table.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "FIGURE\tMEDIAN\tLOW\tHIGH\tUNIT\tTARGET\tSHARE\tVERDICT")
	for _, f := range r.Figures {
		target, share := "", ""
		if f.Target != nil {
			target = f.Target.String()
			share = fmt.Sprintf("%.2f", f.Share)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", f.Key, formatNumber(f.Value), formatNumber(f.Low), formatNumber(f.High), f.Unit, target, share, f.Verdict)
	}
	return t.Flush()
}

func formatNumber(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1e9 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}

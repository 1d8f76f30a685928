package measure

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"laburnumdock/internal/core/fleet/fleettest"
	"laburnumdock/internal/evaluate"
)

// Size of a plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plots writes the plots of a run into a folder.
func (r *Report) WritePlots(dir string) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	for _, d := range evaluate.Deployments() {
		if err := r.plotWaits(filepath.Join(dir, "waits-"+d.Name+".png"), d.Name); err != nil {
			return err
		}
	}
	if err := r.plotRollouts(filepath.Join(dir, "rollout.png")); err != nil {
		return err
	}
	return r.plotCosts(filepath.Join(dir, "cost.png"))
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Add(plotter.NewGrid())
	return p
}

// plotWaits draws the share of short work that waited at most so long.
func (r *Report) plotWaits(path, user string) error {
	p := newPlot("Wait of short work in surges, "+user, "wait in ms", "share of requests in %")
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Left, p.Legend.Top = false, false
	var lines []any
	for _, w := range r.waits {
		if w.user != user || len(w.sorted) == 0 {
			continue
		}
		var points plotter.XYs
		for permille := 1; permille <= 999; permille += 2 {
			points = append(points, plotter.XY{X: max(ms(w.sorted[len(w.sorted)*permille/1000]), 0.1), Y: float64(permille) / 10})
		}
		lines = append(lines, w.policy, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// plotRollouts draws the roll-out time against the spare capacity that a policy
// leaves, and names each point.
func (r *Report) plotRollouts(path string) error {
	p := newPlot("Roll-out of 50 hosts by rolloutWeight", "mean spare capacity in hosts", "roll-out time in s")
	var lines []any
	for _, f := range fleettest.Fleets() {
		var points plotter.XYLabels
		for _, policy := range rolloutPolicies(f)[:4] {
			key := "fleet." + f.Name + "." + policy.Name
			spare, err := r.Value(key + ".spare")
			if err != nil {
				return err
			}
			took, err := r.Value(key + ".rollout")
			if err != nil {
				return err
			}
			points.XYs = append(points.XYs, plotter.XY{X: spare, Y: took})
			points.Labels = append(points.Labels, strings.TrimPrefix(policy.Name, "weight-"))
		}
		labels, err := plotter.NewLabels(points)
		if err != nil {
			return err
		}
		p.Add(labels)
		lines = append(lines, f.Name, points.XYs)
	}
	p.Legend.Top, p.Legend.Left = true, true
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// plotCosts draws the time of plans and passes against the number of hosts.
func (r *Report) plotCosts(path string) error {
	p := newPlot("Cost of decisions", "hosts", "ms")
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, what := range []string{"full_plan", "plan_after_one_change", "scheduler_pass"} {
		var points plotter.XYs
		for _, hosts := range costSizes {
			cost, err := r.Value(fmt.Sprintf("control.hosts_%d.%s", hosts, what))
			if err != nil {
				// A quick run leaves sizes out.
				continue
			}
			points = append(points, plotter.XY{X: float64(hosts), Y: max(cost, 1e-4)})
		}
		lines = append(lines, strings.ReplaceAll(what, "_", " "), points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// Package metric serves the metrics of a go-metrics registry over HTTP.
package metric

import (
	"fmt"
	"io"
	"net/http"
	"sort"

	metrics "github.com/rcrowley/go-metrics"
)

// quantiles lists the quantiles written for histograms and timers.
var quantiles = []float64{0.5, 0.99, 0.999}

// Handler serves the registry in the text exposition format. Durations are in
// nanoseconds; the name of each metric states its unit.
func Handler(reg metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		write(w, reg)
	})
}

// write writes all metrics, sorted by name.
func write(w io.Writer, reg metrics.Registry) {
	all := map[string]any{}
	var names []string
	reg.Each(func(name string, m any) {
		all[name] = m
		names = append(names, name)
	})
	sort.Strings(names)
	for _, name := range names {
		writeMetric(w, name, all[name])
	}
}

func writeMetric(w io.Writer, name string, m any) {
	switch v := m.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "%s %d\n", name, v.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "%s %d\n", name, v.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(w, "%s %g\n", name, v.Value())
	case metrics.Meter:
		fmt.Fprintf(w, "%s_total %d\n", name, v.Count())
	case metrics.Histogram:
		s := v.Snapshot()
		writeQuantiles(w, name, s.Percentiles(quantiles), s.Count())
	case metrics.Timer:
		s := v.Snapshot()
		writeQuantiles(w, name, s.Percentiles(quantiles), s.Count())
	}
}

func writeQuantiles(w io.Writer, name string, values []float64, count int64) {
	for i, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(w, "%s_count %d\n", name, count)
}

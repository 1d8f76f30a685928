package lead

import (
	metrics "github.com/rcrowley/go-metrics"

	"laburnumdock/internal/core/manager"
)

// sampleSize and sampleAlpha are those of an exponentially decaying sample that
// favours the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// meters count the orders by kind and verdict and measure their latency.
type meters struct{ registry metrics.Registry }

func newMeters(r metrics.Registry) *meters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return &meters{registry: r}
}

func (m *meters) call(o manager.Outcome) {
	name := "orders_" + o.Kind.String()
	metrics.GetOrRegisterCounter(name+"_"+o.Verdict.String()+"_total", m.registry).Inc(1)
	latency := m.registry.GetOrRegister(name+"_latency_microseconds", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	if h, ok := latency.(metrics.Histogram); ok {
		h.Update(o.AnsweredAt.Sub(o.SentAt).Microseconds())
	}
}

package lead

import (
	metrics "github.com/rcrowley/go-metrics"

	"laburnumdock/internal/core/manager"
)

// sampleSize and sampleAlpha are the parameters of an exponentially decaying
// sample that is biased to the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// orderMetrics counts orders by kind and verdict and measures their latency.
type orderMetrics struct{ registry metrics.Registry }

func newOrderMetrics(r metrics.Registry) *orderMetrics {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return &orderMetrics{registry: r}
}

func (m *orderMetrics) record(o manager.Outcome) {
	name := "orders_" + o.Kind.String()
	metrics.GetOrRegisterCounter(name+"_"+o.Verdict.String()+"_total", m.registry).Inc(1)
	latency := m.registry.GetOrRegister(name+"_latency_microseconds", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	if h, ok := latency.(metrics.Histogram); ok {
		h.Update(o.AnsweredAt.Sub(o.SentAt).Microseconds())
	}
}

package lead

import (
	"strings"
	"time"

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
// The observed and predicted times of steps are compared by queue.
type orderMetrics struct {
	registry metrics.Registry
	// queues are those with a histogram of their own.
	queues map[string]bool
}

func newOrderMetrics(r metrics.Registry) *orderMetrics {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return &orderMetrics{registry: r, queues: map[string]bool{}}
}

func (m *orderMetrics) record(o manager.Outcome) {
	name := "orders_" + o.Kind.String()
	metrics.GetOrRegisterCounter(name+"_"+o.Verdict.String()+"_total", m.registry).Inc(1)
	m.histogram(name + "_latency_microseconds").Update(o.AnsweredAt.Sub(o.SentAt).Microseconds())
}

// histogram returns the histogram with the name, which it adds if it is missing.
func (m *orderMetrics) histogram(name string) metrics.Histogram {
	h, ok := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	if !ok {
		return metrics.NilHistogram{}
	}
	return h
}

const (
	// maxQueueMetrics bounds the queues with metrics of their own. The queues of a
	// configuration change, and a metric is never removed.
	maxQueueMetrics = 64
	// otherQueues is the name under which all further queues are counted.
	otherQueues = "other"
)

// queueLabel returns the name under which a queue is counted.
func (m *orderMetrics) queueLabel(queue string) string {
	if !m.queues[queue] {
		if len(m.queues) >= maxQueueMetrics {
			return otherQueues
		}
		m.queues[queue] = true
	}
	return metricName(queue)
}

// recordStep adds the observed time of a step, in percent of the predicted one, to the
// histogram of its queue.
func (m *orderMetrics) recordStep(t manager.StepTime) {
	percent := 100 * t.Observed / max(t.Predicted, time.Millisecond)
	m.histogram("forecast_" + m.queueLabel(t.Queue) + "_observed_percent").Update(int64(percent))
}

// recordRefusal counts a submission that was refused because it cannot be on time.
func (m *orderMetrics) recordRefusal(e manager.Event) {
	metrics.GetOrRegisterCounter("jobs_refused_"+m.queueLabel(e.Queue)+"_"+e.Reason+"_total", m.registry).Inc(1)
	m.histogram("jobs_refused_estimated_wait_milliseconds").Update(e.Age.Milliseconds())
	m.histogram("jobs_refused_retry_after_milliseconds").Update(e.RetryAfter.Milliseconds())
}

// metricName replaces what the name of a metric cannot contain.
func metricName(s string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, s)
}

package entry

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"laburnumdock/internal/core/dispatch"
)

// sampleSize is the number of values that a histogram keeps.
const sampleSize = 4096

// hostMetrics are the metrics of an entry host.
type hostMetrics struct {
	refused  metrics.Counter
	requests metrics.Histogram
	records  metrics.Histogram
	batches  metrics.Histogram
	attempts [dispatch.AttemptSilent + 1]metrics.Counter
}

func newHostMetrics(reg metrics.Registry, h *Host) *hostMetrics {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, reg, metrics.NewUniformSample(sampleSize))
	}
	m := &hostMetrics{
		refused:  metrics.GetOrRegisterCounter("entry_requests_refused", reg),
		requests: histogram("entry_request_ns"),
		records:  histogram("entry_record_batch_ns"),
		batches:  histogram("entry_record_batch_size"),
	}
	for outcome, name := range map[dispatch.AttemptOutcome]string{
		dispatch.AttemptAnswered: "answered", dispatch.AttemptNotSent: "not_sent", dispatch.AttemptRefused: "refused",
		dispatch.AttemptLost: "lost", dispatch.AttemptSilent: "silent",
	} {
		m.attempts[outcome] = metrics.GetOrRegisterCounter("entry_attempts_"+name, reg)
	}
	gauge := func(name string, f func() int64) { _ = reg.Register(name, metrics.NewFunctionalGauge(f)) }
	gauge("entry_queue_length", func() int64 { return int64(len(h.queue.messages)) })
	gauge("entry_requests_in_flight", h.requests.Load)
	gauge("entry_config_version", func() int64 { return int64(h.control.current.Load().Version) })
	return m
}

func (m *hostMetrics) latency(d time.Duration) { m.requests.Update(int64(d)) }

func (m *hostMetrics) recorded(d time.Duration, records int) {
	m.records.Update(int64(d))
	m.batches.Update(int64(records))
}

func (m *hostMetrics) attempt(outcome dispatch.AttemptOutcome) { m.attempts[outcome].Inc(1) }

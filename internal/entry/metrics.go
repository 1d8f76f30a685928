package entry

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"laburnumdock/internal/core/dispatch"
)

// histogramSampleSize is the number of values that a histogram samples.
const histogramSampleSize = 4096

// hostMetrics holds the metrics of an entry host.
type hostMetrics struct {
	refusedRequests  metrics.Counter
	requestTimes     metrics.Histogram
	recordBatchTimes metrics.Histogram
	recordBatchSizes metrics.Histogram
	// attempts is indexed by outcome.
	attempts [dispatch.AttemptSilent + 1]metrics.Counter
}

func newHostMetrics(reg metrics.Registry, h *Host) *hostMetrics {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, reg, metrics.NewUniformSample(histogramSampleSize))
	}
	m := &hostMetrics{
		refusedRequests:  metrics.GetOrRegisterCounter("entry_requests_refused", reg),
		requestTimes:     histogram("entry_request_ns"),
		recordBatchTimes: histogram("entry_record_batch_ns"),
		recordBatchSizes: histogram("entry_record_batch_size"),
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
	gauge("entry_config_version", func() int64 { return int64(h.control.status.Load().Version) })
	return m
}

func (m *hostMetrics) observeRequest(d time.Duration) { m.requestTimes.Update(int64(d)) }

func (m *hostMetrics) observeRecordBatch(d time.Duration, records int) {
	m.recordBatchTimes.Update(int64(d))
	m.recordBatchSizes.Update(int64(records))
}

func (m *hostMetrics) countAttempt(outcome dispatch.AttemptOutcome) { m.attempts[outcome].Inc(1) }

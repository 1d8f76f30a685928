package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
)

// Limits and timing of the calls that record requests.
const (
	maxBatchRecords = 256
	maxBatchBytes   = 1 << 20
	// batchLinger is how long a batch waits for further records.
	batchLinger = 500 * time.Microsecond
	// recordTimeout bounds a call, after which the next replica is tried. Records are
	// idempotent, so repeating a call that took effect does no harm.
	recordTimeout    = time.Second
	recordRetryDelay = 50 * time.Millisecond
	// finishRetryWindow is how long recording the end of a request is retried. Without
	// this record, the request stays in the begin phase until its ID expires.
	finishRetryWindow = 30 * time.Second
	// releaseRetryWindow is how long the release of an abandoned begin is retried.
	releaseRetryWindow = 10 * time.Second
)

// recorder sends records to the control replicas, one batch at a time. The requests
// bound the pending records: each has at most one outstanding record, and one that
// releases an abandoned begin.
type recorder struct {
	queue      queue
	metrics    *hostMetrics
	httpClient *http.Client
	clients    []laburnumdockv1connect.ControlServiceClient
	// current is the index of the replica to call; the goroutine of run owns it.
	current int
	wake    chan struct{}
	mu      sync.Mutex
	// pending, unsettled and drained are guarded by mu. unsettled is the number of
	// records without a result. drained, if not nil, is closed when there is none.
	pending   []*record
	unsettled int
	drained   chan struct{}
}

func newRecorder(cfg Config, q queue, m *hostMetrics) *recorder {
	client := cfg.dedicatedClient()
	return &recorder{queue: q, metrics: m, httpClient: client, clients: newControlServiceClients(cfg, client), wake: make(chan struct{}, 1)}
}

// add queues a record. It does not block.
func (r *recorder) add(rec *record) {
	r.mu.Lock()
	r.pending = append(r.pending, rec)
	r.unsettled++
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run sends batches until ctx ends.
func (r *recorder) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		}
		sleep(ctx, batchLinger)
		for batch := r.nextBatch(); len(batch) > 0 && ctx.Err() == nil; batch = r.nextBatch() {
			r.send(ctx, batch)
		}
	}
}

// nextBatch removes a batch from the pending records.
func (r *recorder) nextBatch() []*record {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, bytes := 0, 0
	for n < len(r.pending) && n < maxBatchRecords && (n == 0 || bytes+r.pending[n].size() <= maxBatchBytes) {
		bytes += r.pending[n].size()
		n++
	}
	batch := r.pending[:n:n]
	r.pending = r.pending[n:]
	return batch
}

// send sends one batch and settles or requeues each of its records.
func (r *recorder) send(ctx context.Context, batch []*record) {
	start := time.Now()
	results, err := r.call(ctx, batch)
	r.metrics.observeRecordBatch(time.Since(start), len(batch))
	retry := false
	for i, rec := range batch {
		var result *pb.RequestResult
		if err == nil {
			result = results[i]
		}
		retry = r.settle(rec, result, err) || retry
	}
	if retry {
		if len(r.clients) > 0 {
			r.current = (r.current + 1) % len(r.clients)
		}
		sleep(ctx, recordRetryDelay)
	}
}

func (r *recorder) call(ctx context.Context, batch []*record) ([]*pb.RequestResult, *fault.Error) {
	if len(r.clients) == 0 {
		return nil, fault.New(fault.Unavailable, "no control replica is configured")
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	req := &pb.RecordRequestsRequest{}
	for _, rec := range batch {
		req.Records = append(req.Records, rec.proto)
	}
	res, err := r.clients[r.current].RecordRequests(ctx, connect.NewRequest(req))
	if err != nil {
		r.httpClient.CloseIdleConnections()
		return nil, fault.From(withFaultKind(err))
	}
	if got := len(res.Msg.GetResults()); got != len(batch) {
		return nil, fault.New(fault.Internal, "%d records have %d results", len(batch), got)
	}
	return res.Msg.GetResults(), nil
}

// settle reports the result of a record, or requeues the record and returns true.
func (r *recorder) settle(rec *record, result *pb.RequestResult, err *fault.Error) bool {
	event, recorded := rec.toEvent(result, err)
	if event.Err != nil && isRetryable(event.Err.Kind) && time.Now().Before(rec.retryUntil) {
		rec.mayHaveApplied = true
		r.requeue(rec)
		return true
	}
	if event.Err != nil && isRetryable(event.Err.Kind) && rec.phase == dispatch.RecordBegin {
		// The begin may be stored already, or may be stored later. Nothing was
		// forwarded, so the ID is released.
		r.add(rec.newRelease())
	}
	if rec.request != nil {
		r.queue.post(&recordedMessage{event: event, request: rec.request, recordedAnswer: recorded})
	}
	r.recordSettled()
	return false
}

// isRetryable reports whether a record that failed with an error of the given kind may
// be stored by a later call. Until then it is not known whether it was stored.
func isRetryable(kind fault.Kind) bool {
	switch kind {
	case fault.Unavailable, fault.NotLeader, fault.Overloaded, fault.StorageFailed, fault.OutcomeUnknown,
		fault.DeadlineExceeded, fault.Cancelled, fault.Stopping, fault.Internal:
		return true
	default:
		return false
	}
}

func (r *recorder) requeue(rec *record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, rec)
}

// recordSettled counts a record that has its result.
func (r *recorder) recordSettled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsettled--
	if r.unsettled == 0 && r.drained != nil {
		close(r.drained)
		r.drained = nil
	}
}

// drain waits until every record has a result or ctx ends.
func (r *recorder) drain(ctx context.Context) {
	r.mu.Lock()
	if r.unsettled == 0 {
		r.mu.Unlock()
		return
	}
	if r.drained == nil {
		r.drained = make(chan struct{})
	}
	drained := r.drained
	r.mu.Unlock()
	select {
	case <-drained:
	case <-ctx.Done():
	}
}

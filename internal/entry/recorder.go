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

// Limits of the records on their way to the control replicas.
const (
	maxBatchRecords = 256
	maxBatchBytes   = 1 << 20
	// linger lets records that come close together share a batch.
	linger = 500 * time.Microsecond
	// recordTimeout ends a call, after which the next replica is tried. A
	// record is idempotent, so a call that took effect does no harm.
	recordTimeout    = time.Second
	recordRetryDelay = 50 * time.Millisecond
	// finishWindow is how long the end of a request is tried to be recorded.
	// Without its record, the request stays begun until its ID expires.
	finishWindow = 30 * time.Second
	// releaseWindow is the same for a begin that was given up.
	releaseWindow = 10 * time.Second
)

// recorder hands records to the control replicas, one batch at a time. Pending
// records are bounded by the requests: each has at most one outstanding, and
// one that releases a begin that was given up.
type recorder struct {
	queue   queue
	metrics *hostMetrics
	http    *http.Client
	clients []laburnumdockv1connect.ControlServiceClient
	// current is the replica that took the last batch; the goroutine of run
	// owns it.
	current int
	wake    chan struct{}
	mu      sync.Mutex
	// pending and open are guarded by mu. open counts the records that have
	// no result yet; drained is closed when there is none, if not nil.
	pending []*record
	open    int
	drained chan struct{}
}

func newRecorder(cfg Config, q queue, m *hostMetrics) *recorder {
	client := cfg.ownClient()
	return &recorder{queue: q, metrics: m, http: client, clients: controlClients(cfg, client), wake: make(chan struct{}, 1)}
}

// add takes one record. It does not block.
func (r *recorder) add(rec *record) {
	r.mu.Lock()
	r.pending = append(r.pending, rec)
	r.open++
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
		sleep(ctx, linger)
		for batch := r.take(); len(batch) > 0 && ctx.Err() == nil; batch = r.take() {
			r.send(ctx, batch)
		}
	}
}

// take removes a batch from the pending records.
func (r *recorder) take() []*record {
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

// send sends one batch and settles or keeps each of its records.
func (r *recorder) send(ctx context.Context, batch []*record) {
	start := time.Now()
	results, err := r.call(ctx, batch)
	r.metrics.recorded(time.Since(start), len(batch))
	again := false
	for i, rec := range batch {
		var result *pb.RequestResult
		if err == nil {
			result = results[i]
		}
		again = r.settle(rec, result, err) || again
	}
	if again {
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
		r.http.CloseIdleConnections()
		return nil, fault.From(kindError(err))
	}
	if got := len(res.Msg.GetResults()); got != len(batch) {
		return nil, fault.New(fault.Internal, "%d records have %d results", len(batch), got)
	}
	return res.Msg.GetResults(), nil
}

// settle reports the end of a record, or keeps it and returns true.
func (r *recorder) settle(rec *record, result *pb.RequestResult, err *fault.Error) bool {
	event, recorded := rec.result(result, err)
	if event.Err != nil && retriable(event.Err.Kind) && time.Now().Before(rec.giveUp) {
		rec.uncertain = true
		r.keep(rec)
		return true
	}
	if event.Err != nil && retriable(event.Err.Kind) && rec.phase == dispatch.RecordBegin {
		// The begin may have been taken, or may yet be. Nothing is forwarded,
		// so the ID is freed.
		r.add(rec.release())
	}
	if rec.exchange != nil {
		r.queue.post(&recordedMessage{event: event, exchange: rec.exchange, recorded: recorded})
	}
	r.done()
	return false
}

// retriable tells whether a record may be taken by a later try. Until then it
// is not known whether it was taken.
func retriable(kind fault.Kind) bool {
	switch kind {
	case fault.Unavailable, fault.NotLeader, fault.Overloaded, fault.StorageFailed, fault.OutcomeUnknown,
		fault.DeadlineExceeded, fault.Cancelled, fault.Stopping, fault.Internal:
		return true
	default:
		return false
	}
}

func (r *recorder) keep(rec *record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, rec)
}

func (r *recorder) done() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	if r.open == 0 && r.drained != nil {
		close(r.drained)
		r.drained = nil
	}
}

// drain waits until no record is open, or ctx ends.
func (r *recorder) drain(ctx context.Context) {
	r.mu.Lock()
	if r.open == 0 {
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

package control

import (
	"context"
	"strconv"
	"strings"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/state"
)

const (
	// recorderQueue bounds the batches of entry hosts that wait.
	recorderQueue = 1024
	// maxRecords bounds one RecordRequests command.
	maxRecords = 1024
	// maxRecordBytes bounds the bodies in one command; it stays well below
	// maxCommandBytes.
	maxRecordBytes = 2 << 20
	// recordTimeout bounds the wait for one command.
	recordTimeout = 10 * time.Second
	// recordsInFlight is the number of commands that wait for their commit at
	// the same time. With one, a slow sync would hold up all entry hosts.
	recordsInFlight = 4
)

// recorder joins the records of many entry hosts into one command, so that a
// commit is paid once for all that arrive during the one before.
type recorder struct {
	r     *Replica
	queue chan recordBatch
}

// recordBatch is what one call brought.
type recordBatch struct {
	records []state.RequestRecord
	reply   chan recordAnswer
}

type recordAnswer struct {
	results []state.RequestResult
	err     error
}

func newRecorder(r *Replica) *recorder {
	return &recorder{r: r, queue: make(chan recordBatch, recorderQueue)}
}

// record has records committed and returns their results in the same order.
func (c *recorder) record(ctx context.Context, records []state.RequestRecord) ([]state.RequestResult, error) {
	if len(records) == 0 {
		return nil, nil
	}
	b := recordBatch{records: records, reply: make(chan recordAnswer, 1)}
	select {
	case c.queue <- b:
	default:
		return nil, fault.New(fault.Overloaded, "%d batches of records wait already", cap(c.queue))
	}
	select {
	case a := <-b.reply:
		return a.results, a.err
	case <-ctx.Done():
		return nil, fault.New(fault.OutcomeUnknown, "the records were queued, but their results were not seen in time")
	case <-c.r.done:
		return nil, fault.New(fault.OutcomeUnknown, "replica %d has stopped", c.r.cfg.ID)
	}
}

// run joins what is queued and proposes it until ctx ends.
func (c *recorder) run(ctx context.Context) {
	slots := make(chan struct{}, recordsInFlight)
	var carried []recordBatch
	for {
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		batches := carried
		if len(batches) == 0 {
			select {
			case <-ctx.Done():
				return
			case b := <-c.queue:
				batches = append(batches, b)
			}
		}
		batches, carried = c.join(batches)
		c.r.peers.Load().group.Go(func() {
			c.propose(ctx, batches)
			<-slots
		})
	}
}

// join adds what is queued, within the bounds of one command. What does not fit
// is carried over.
func (c *recorder) join(batches []recordBatch) (joined, carried []recordBatch) {
	records, bytes := 0, 0
	for _, b := range batches {
		records, bytes = records+len(b.records), bytes+b.size()
	}
	for records < maxRecords && bytes < maxRecordBytes {
		select {
		case b := <-c.queue:
			if records+len(b.records) > maxRecords || bytes+b.size() > maxRecordBytes {
				return batches, []recordBatch{b}
			}
			batches = append(batches, b)
			records, bytes = records+len(b.records), bytes+b.size()
		default:
			return batches, nil
		}
	}
	return batches, nil
}

func (b recordBatch) size() int {
	bytes := 0
	for _, rec := range b.records {
		bytes += len(rec.Body) + len(rec.ID)
	}
	return bytes
}

func (c *recorder) propose(ctx context.Context, batches []recordBatch) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	cmd := state.RecordRequests{Origin: state.Origin{Actor: "system", Source: "entry"}}
	for _, b := range batches {
		cmd.Records = append(cmd.Records, b.records...)
	}
	res, err := c.r.Propose(ctx, cmd)
	if err == nil && res.Err != nil {
		err = res.Err
	}
	if err == nil && len(res.Requests) != len(cmd.Records) {
		err = fault.New(fault.Internal, "%d results for %d records", len(res.Requests), len(cmd.Records))
	}
	at := 0
	for _, b := range batches {
		if err != nil {
			b.reply <- recordAnswer{err: err}
			continue
		}
		b.reply <- recordAnswer{results: res.Requests[at : at+len(b.records)]}
		at += len(b.records)
	}
}

// requestExpiry returns the expiry that a request ID carries: its first part,
// in Unix milliseconds.
func requestExpiry(id string) (time.Time, error) {
	text, unique, ok := strings.Cut(id, ".")
	ms, err := strconv.ParseInt(text, 10, 64)
	if !ok || unique == "" || err != nil || ms <= 0 {
		return time.Time{}, fault.InvalidField("request_id", "<expiry in Unix milliseconds>.<unique part>", "request ID %q has another form", id)
	}
	return time.UnixMilli(ms).UTC(), nil
}

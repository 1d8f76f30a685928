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
	// recorderQueueLength is the maximum number of queued batches.
	recorderQueueLength = 1024
	// maxRecordsPerCommand is the maximum number of records joined into a
	// RecordRequests command.
	maxRecordsPerCommand = 1024
	// maxRecordBytesPerCommand is the maximum size of the bodies and IDs joined into
	// a command. It must stay well below maxCommandBytes.
	maxRecordBytesPerCommand = 2 << 20
	// recordTimeout is the timeout for the commit of a command.
	recordTimeout = 10 * time.Second
	// maxRecordCommandsInFlight is the maximum number of uncommitted commands. With
	// one, a slow sync would delay all entry hosts.
	maxRecordCommandsInFlight = 4
)

// recorder combines the request records of many entry hosts into one command, so
// that all records that arrive during one commit share the next.
type recorder struct {
	r     *Replica
	queue chan recordBatch
}

// recordBatch is the records of one RecordRequests call.
type recordBatch struct {
	records []state.RequestRecord
	reply   chan recordReply
}

type recordReply struct {
	results []state.RequestResult
	err     error
}

func newRecorder(r *Replica) *recorder {
	return &recorder{r: r, queue: make(chan recordBatch, recorderQueueLength)}
}

// record replicates records and returns their results in the same order.
func (c *recorder) record(ctx context.Context, records []state.RequestRecord) ([]state.RequestResult, error) {
	if len(records) == 0 {
		return nil, nil
	}
	b := recordBatch{records: records, reply: make(chan recordReply, 1)}
	select {
	case c.queue <- b:
	default:
		return nil, fault.New(fault.Overloaded, "record queue is full: %d batches", cap(c.queue))
	}
	select {
	case reply := <-b.reply:
		return reply.results, reply.err
	case <-ctx.Done():
		return nil, fault.New(fault.OutcomeUnknown, "the records were queued, but there was no result before the deadline")
	case <-c.r.done:
		return nil, fault.New(fault.OutcomeUnknown, "replica %d has stopped", c.r.cfg.ID)
	}
}

// run proposes the queued records until ctx ends.
func (c *recorder) run(ctx context.Context) {
	slots := make(chan struct{}, maxRecordCommandsInFlight)
	var carriedOver []recordBatch
	for {
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		batches := carriedOver
		if len(batches) == 0 {
			select {
			case <-ctx.Done():
				return
			case b := <-c.queue:
				batches = append(batches, b)
			}
		}
		batches, carriedOver = c.coalesce(batches)
		c.r.peers.Load().group.Go(func() {
			c.propose(ctx, batches)
			<-slots
		})
	}
}

// coalesce appends queued batches within the limits of one command. A batch that
// was taken from the queue and does not fit is returned as carriedOver.
func (c *recorder) coalesce(batches []recordBatch) (coalesced, carriedOver []recordBatch) {
	records, bytes := 0, 0
	for _, b := range batches {
		records, bytes = records+len(b.records), bytes+b.approxBytes()
	}
	for records < maxRecordsPerCommand && bytes < maxRecordBytesPerCommand {
		select {
		case b := <-c.queue:
			if records+len(b.records) > maxRecordsPerCommand || bytes+b.approxBytes() > maxRecordBytesPerCommand {
				return batches, []recordBatch{b}
			}
			batches = append(batches, b)
			records, bytes = records+len(b.records), bytes+b.approxBytes()
		default:
			return batches, nil
		}
	}
	return batches, nil
}

// approxBytes returns the size of the bodies and IDs of the records.
func (b recordBatch) approxBytes() int {
	bytes := 0
	for _, rec := range b.records {
		bytes += len(rec.Body) + len(rec.ID)
	}
	return bytes
}

// propose proposes the records of batches as one command and answers each batch.
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
		err = fault.New(fault.Internal, "got %d results for %d records", len(res.Requests), len(cmd.Records))
	}
	offset := 0
	for _, b := range batches {
		if err != nil {
			b.reply <- recordReply{err: err}
			continue
		}
		b.reply <- recordReply{results: res.Requests[offset : offset+len(b.records)]}
		offset += len(b.records)
	}
}

// requestExpiry returns the expiry time in a request ID: its first part, in Unix
// milliseconds.
func requestExpiry(id string) (time.Time, error) {
	text, unique, ok := strings.Cut(id, ".")
	ms, err := strconv.ParseInt(text, 10, 64)
	if !ok || unique == "" || err != nil || ms <= 0 {
		return time.Time{}, fault.InvalidField("request_id", "<expiry in Unix milliseconds>.<unique part>", "malformed request ID %q", id)
	}
	return time.UnixMilli(ms).UTC(), nil
}

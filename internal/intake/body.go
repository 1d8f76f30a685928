package intake

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"laburnumdock/internal/core/budget"
	"laburnumdock/internal/rpc"
)

// The states of a body.
const (
	// waiting is a body for which there is no room yet.
	waiting int32 = iota
	receiving
	received
	expired
)

const (
	// memoryFactor is what a byte of a body takes in memory: the bytes, the buffer in which
	// they were received, the decoded request and its copy on the way to the leader.
	memoryFactor = 4
	// streamFactor is the same for a stream, which holds at most one message that is
	// incomplete, in a buffer that grows by doubling.
	streamFactor = 2
	// progressBytes is what a client must send of a body to count as making progress, so that
	// a byte now and then does not.
	progressBytes = 4 << 10
)

// body is the body of a request. It takes room before it is read and returns it when the
// request is done.
type body struct {
	io.ReadCloser
	guard   *Guard
	conn    *conn
	writer  http.ResponseWriter
	request *http.Request
	limit   int64
	port    int
	stream  bool
	id      uint64
	// read is the number of bytes received, of which covered ones have room.
	read, covered int64
	// small and large are what the body holds.
	small, large budget.Request
	state        atomic.Int32
	// progress is when the body made progress last, and marked the bytes received by then.
	progress atomic.Int64
	marked   int64
	// began is when the body got room first. The mutex of the guard protects it.
	began int64
	// received is read for other goroutines.
	received atomic.Int64
	refusal  *Refusal
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.refusal != nil {
		return 0, b.refusal
	}
	if len(p) == 0 {
		return 0, nil
	}
	if b.read >= b.covered && !b.isComplete() {
		if err := b.cover(); err != nil {
			return 0, b.refuse(err)
		}
	}
	if left := b.covered - b.read; left > 0 && !b.stream {
		p = p[:min(int64(len(p)), left)]
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	b.received.Store(b.read)
	b.conn.received.Add(int64(n))
	if b.read-b.marked >= progressBytes {
		b.marked = b.read
		b.markProgress()
	}
	if err == nil {
		return n, nil
	}
	if b.state.CompareAndSwap(receiving, received) {
		b.conn.receiving.Add(-1)
	} else if b.state.Load() == expired {
		return 0, b.refuse(newRefusal(BodyStalled))
	}
	return n, err
}

// isComplete reports whether all bytes of a body of known length were received.
func (b *body) isComplete() bool {
	return b.request.ContentLength >= 0 && b.read >= b.request.ContentLength
}

// cover takes room for the next part of the body, as much again as was received. A client
// that sends slowly therefore holds little. A body that exceeds the room of its listener by
// itself, such as a snapshot, gets all of it at once.
func (b *body) cover() *Refusal {
	small := int64(*b.guard.settings.SmallBodyBytes)
	limit, factor := b.limit, int64(memoryFactor)
	if b.stream {
		limit, factor = rpc.MaxMessageBytes, streamFactor
	}
	if b.read >= limit {
		return b.requireEnd()
	}
	end := limit
	if b.request.ContentLength >= 0 {
		end = min(end, b.request.ContentLength)
	}
	next := min(max(small, 2*b.read), end)
	room := b.guard.limits.LargeRoom()
	isWhole := b.request.ContentLength >= 0 && end*factor > room
	if isWhole {
		next = end
	}
	r := budget.Request{Bytes: (next - b.covered) * factor, Small: next <= small || b.stream, Port: b.port}
	if !r.Small && !isWhole {
		r.Holder, r.Remaining = b.id, b.remaining(next, end)*factor
	}
	if !b.takeRoom(&r) {
		return newRefusal(BodyNoRoom)
	}
	b.covered = next
	return nil
}

// remaining returns how many bytes a body may have after those up to next. Of one of unknown
// length it is as much again.
func (b *body) remaining(next, end int64) int64 {
	if b.request.ContentLength < 0 {
		return min(next, end-next)
	}
	return end - next
}

// takeRoom takes room and reports whether there was any. While it waits, the body is not
// one without progress.
func (b *body) takeRoom(r *budget.Request) bool {
	if b.id != 0 && b.state.CompareAndSwap(receiving, waiting) {
		b.conn.receiving.Add(-1)
	}
	b.conn.beginWait()
	err := b.guard.reserve(b.request.Context(), r)
	b.conn.endWait()
	if err != nil {
		return false
	}
	b.guard.mu.Lock()
	defer b.guard.mu.Unlock()
	held := &b.large
	if r.Small {
		held = &b.small
	}
	held.Bytes, held.Small, held.Port, held.Holder = held.Bytes+r.Bytes, r.Small, r.Port, r.Holder
	if b.stream {
		return true
	}
	if b.id == 0 {
		b.guard.nextID++
		b.id = b.guard.nextID
		b.guard.bodies[b.id] = b
		b.began = b.guard.now()
	}
	b.markProgress()
	if b.state.CompareAndSwap(waiting, receiving) {
		b.conn.beginReceiving()
	}
	return true
}

func (b *body) markProgress() {
	now := b.guard.now()
	b.progress.Store(now)
	b.conn.bodyProgress.Store(now)
}

// requireEnd returns a refusal if a body goes on beyond the limit. A stream may.
func (b *body) requireEnd() *Refusal {
	if b.stream {
		return nil
	}
	var one [1]byte
	if n, _ := io.ReadFull(b.ReadCloser, one[:]); n > 0 {
		return newRefusal(BodyTooLarge)
	}
	return nil
}

func (b *body) refuse(r *Refusal) *Refusal {
	if b.refusal == nil {
		b.refusal = r
		b.guard.refuse(r.Reason, b.request.RemoteAddr)
	}
	return b.refusal
}

// done returns what the body holds. net/http reads the rest of a body before it answers; the
// client has the time of a body without progress for that.
func (b *body) done() {
	if b.request.ProtoMajor == 1 && b.state.Load() != received {
		_ = http.NewResponseController(b.writer).SetReadDeadline(time.Now().Add(*b.guard.settings.BodyTimeout))
	}
	if b.small.Bytes == 0 && b.large.Bytes == 0 {
		return
	}
	b.guard.mu.Lock()
	defer b.guard.mu.Unlock()
	if b.state.Swap(received) == receiving && b.id != 0 {
		b.conn.receiving.Add(-1)
	}
	delete(b.guard.bodies, b.id)
	b.guard.release(b.small)
	b.guard.release(b.large)
}

// expire makes the handler's reads fail. The mutex of the guard must be held, which keeps the
// request from ending meanwhile.
func (b *body) expire() {
	if b.state.CompareAndSwap(receiving, expired) {
		b.conn.receiving.Add(-1)
		_ = http.NewResponseController(b.writer).SetReadDeadline(time.Unix(1, 0))
	}
}

func (b *body) heldBytes() int64 { return b.small.Bytes + b.large.Bytes }

// holder returns the body as the budget sees it.
func (b *body) holder() budget.Holder {
	h := budget.Holder{ID: b.id, Phase: budget.Serving, Since: b.guard.at(b.progress.Load()), Began: b.guard.at(b.began), Received: b.received.Load(), Bytes: b.heldBytes()}
	if b.state.Load() == receiving {
		h.Phase = budget.Receiving
	}
	return h
}

// ReadBody reads the body of a request of at most limit bytes. A *Refusal means that the
// limits were met; other errors mean that the body is not complete.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, tooLarge(r)
	}
	if r.ContentLength == 0 || r.Body == nil {
		return nil, nil
	}
	var data []byte
	var err error
	if r.ContentLength > 0 {
		data, err = readLength(r.Body, r.ContentLength)
	} else {
		data, err = io.ReadAll(io.LimitReader(r.Body, limit+1))
	}
	if refusal, ok := errors.AsType[*Refusal](err); ok {
		return nil, refusal
	}
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, tooLarge(r)
	}
	return data, nil
}

// firstBufferBytes is the size of the first buffer for a body.
const firstBufferBytes = 16 << 10

// readLength reads a body of known length and its end, which ends the time limit of the body.
// The buffer grows with what has been received.
func readLength(r io.Reader, length int64) ([]byte, error) {
	var data []byte
	for read := int64(0); read < length; read = int64(len(data)) {
		grown := make([]byte, min(length, max(firstBufferBytes, 2*read)))
		copy(grown, data)
		data = grown
		if _, err := io.ReadFull(r, data[read:]); err != nil {
			return nil, err
		}
	}
	var one [1]byte
	if _, err := r.Read(one[:]); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return data, nil
}

// tooLarge counts the refusal of a body that exceeds the limit of its handler.
func tooLarge(r *http.Request) *Refusal {
	refusal := newRefusal(BodyTooLarge)
	if b, ok := r.Body.(*body); ok {
		return b.refuse(refusal)
	}
	return refusal
}

// Decode decodes a body that ReadBody returned. Large bodies are decoded one at a time,
// because what a decoder makes of them may be far larger than they are.
func Decode[T any](r *http.Request, data []byte, decode func([]byte) (T, error)) (T, error) {
	b, ok := r.Body.(*body)
	if !ok || len(data) <= *b.guard.settings.SmallBodyBytes {
		return decode(data)
	}
	select {
	case b.guard.decoding <- struct{}{}:
	case <-r.Context().Done():
		var none T
		return none, r.Context().Err()
	}
	defer func() { <-b.guard.decoding }()
	return decode(data)
}

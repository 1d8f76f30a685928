package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
)

// answerGrace is how long after the deadline the dispatcher's answer is
// awaited. The dispatcher answers at its first tick after the deadline; the
// grace only covers a loop that is late.
const answerGrace = time.Second

// serve takes one request of a caller.
func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	size := bodySize(r, h.cfg.MaxBodyBytes)
	err := h.reserve(size)
	if err != nil {
		h.refuse(w, err)
		return
	}
	x, err := h.read(w, r, start)
	if err == nil {
		x.reserved = size
		err = refused(h.queue.offer(&arriveMessage{exchange: x}))
	}
	if err != nil {
		h.release(size)
		h.refuse(w, err)
		return
	}
	h.await(w, r, x)
	h.metrics.latency(time.Since(start))
}

// refused returns err as an error; a nil *fault.Error is none.
func refused(err *fault.Error) error {
	if err == nil {
		return nil
	}
	return err
}

// bodySize is the memory that the body of a request may take.
func bodySize(r *http.Request, limit int64) int64 {
	if r.ContentLength < 0 {
		return limit
	}
	return min(r.ContentLength, limit)
}

// reserve takes a place for a request with a body of at most size bytes. The
// control loop gives it back when nothing can happen to the request any more.
func (h *Host) reserve(size int64) error {
	if h.requests.Add(1) > int64(h.cfg.MaxRequests) {
		h.requests.Add(-1)
		return fault.New(fault.Overloaded, "%d requests are in flight already", h.cfg.MaxRequests)
	}
	if h.buffered.Add(size) > h.cfg.MaxBufferedBytes {
		h.release(size)
		return fault.New(fault.Overloaded, "bodies of requests in flight take %d bytes already", h.cfg.MaxBufferedBytes)
	}
	return nil
}

func (h *Host) release(size int64) {
	h.buffered.Add(-size)
	h.requests.Add(-1)
}

// refuse answers a request that the dispatcher never saw, so it did not run.
func (h *Host) refuse(w http.ResponseWriter, err error) {
	h.metrics.refused.Inc(1)
	answer.WriteErrorWithRan(w, fault.From(err), fault.RanNo)
}

// await waits for the answer of the dispatcher and writes it.
func (h *Host) await(w http.ResponseWriter, r *http.Request, x *exchange) {
	late := time.NewTimer(time.Until(x.request.Deadline) + answerGrace)
	defer late.Stop()
	select {
	case out := <-x.done:
		out.write(w)
	case <-r.Context().Done():
		h.queue.post(&goneMessage{exchange: x})
	case <-late.C:
		h.queue.post(&goneMessage{exchange: x})
		answer.WriteErrorWithRan(w, fault.New(fault.DeadlineExceeded, "no answer within the deadline"), fault.RanUnknown)
	case <-h.queue.closed:
		h.stopped(w, x)
	}
}

// stopped answers a request when the loop has ended. One that the loop never
// took did not run.
func (h *Host) stopped(w http.ResponseWriter, x *exchange) {
	if x.taken.CompareAndSwap(false, true) {
		h.refuse(w, fault.New(fault.Stopping, "the entry host has stopped"))
		return
	}
	select {
	case out := <-x.done:
		out.write(w)
	default:
		answer.WriteErrorWithRan(w, fault.New(fault.Stopping, "the entry host stopped before the answer"), fault.RanUnknown)
	}
}

func (o outcome) write(w http.ResponseWriter) {
	if o.err == nil && o.response == nil {
		o.err = fault.New(fault.Internal, "the answer is not known")
		o.ran = fault.RanUnknown
	}
	if o.err != nil {
		answer.WriteErrorWithRan(w, o.err, o.ran)
		return
	}
	copyEndToEnd(w.Header(), o.response.header)
	w.Header().Set(answer.RanHeader, string(fault.RanYes))
	if bodyAllowed(o.response.status) && len(o.response.body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(o.response.body)))
	}
	w.WriteHeader(o.response.status)
	// The caller is gone if this fails.
	_, _ = w.Write(o.response.body)
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// read takes the request apart and refuses what is malformed.
func (h *Host) read(w http.ResponseWriter, r *http.Request, now time.Time) (*exchange, error) {
	service, path, err := target(r)
	if err != nil {
		return nil, err
	}
	deadline, err := h.deadline(r)
	if err != nil {
		return nil, err
	}
	repeatable, err := repeatable(r)
	if err != nil {
		return nil, err
	}
	urgent, err := urgent(r)
	if err != nil {
		return nil, err
	}
	requestID := r.Header.Get(HeaderIdempotencyKey)
	if !repeatable && requestID == "" {
		return nil, fault.InvalidField(HeaderIdempotencyKey, "<expiry in Unix milliseconds>.<unique part>", "a request that must not be repeated needs an ID")
	}
	body, err := readBody(w, r, h.cfg.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	x := &exchange{
		method: r.Method, path: path, query: r.URL.RawQuery, header: r.Header, remote: r.RemoteAddr,
		body: body, done: make(chan outcome, 1),
		request: dispatch.Request{
			ID: h.nextID.Add(1), Service: service, Caller: r.Header.Get(HeaderCaller),
			WorkKind: r.Header.Get(HeaderWorkKind), SizeBytes: len(body), Urgent: urgent,
			Repeatable: repeatable, RequestID: requestID, Deadline: now.Add(deadline),
		},
	}
	if !repeatable {
		x.entryHost = h.cfg.Name
		x.token = h.token(x.request.ID)
		x.digest = digest(x)
	}
	return x, nil
}

// servicePrefix starts the paths of callers' requests.
const servicePrefix = "/v1/services/"

// reservedPrefix starts the paths at which endpoints answer entry hosts only.
const reservedPrefix = "laburnum/"

// target returns the service and the escaped path below it.
func target(r *http.Request) (service, path string, err error) {
	escaped, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix), "/")
	service, bad := url.PathUnescape(escaped)
	if bad != nil || service == "" || len(service) > maxNameBytes {
		return "", "", fault.InvalidField("service", fmt.Sprintf("1 to %d bytes", maxNameBytes), "value is %q", escaped)
	}
	if strings.HasPrefix(path, reservedPrefix) {
		return "", "", fault.InvalidField("path", "not below /"+reservedPrefix, "the path is for entry hosts")
	}
	return service, "/" + path, nil
}

func (h *Host) deadline(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(HeaderDeadlineMs)
	if text == "" {
		return h.cfg.DefaultDeadline, nil
	}
	high := h.cfg.MaxDeadline.Milliseconds()
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > high {
		return 0, fault.InvalidField(HeaderDeadlineMs, "1 to "+strconv.FormatInt(high, 10)+" milliseconds", "value is %q", text)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func repeatable(r *http.Request) (bool, error) {
	switch text := r.Header.Get(HeaderRepeatable); text {
	case "":
		return r.Method == http.MethodGet || r.Method == http.MethodHead, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, fault.InvalidField(HeaderRepeatable, "true, false", "value is %q", text)
	}
}

func urgent(r *http.Request) (bool, error) {
	switch text := r.Header.Get(HeaderPriority); text {
	case "", "normal":
		return false, nil
	case "urgent":
		return true, nil
	default:
		return false, fault.InvalidField(HeaderPriority, "normal, urgent", "value is %q", text)
	}
}

// readBody reads the whole body of a request up to a limit.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, fault.New(fault.TooLarge, "body has %d bytes, the limit is %d", r.ContentLength, limit)
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err == nil {
		return body, nil
	}
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return nil, fault.New(fault.TooLarge, "body has more than %d bytes", limit)
	}
	return nil, fault.InvalidField("body", "a whole body", "body cannot be read: %s", err.Error())
}

// readAll reads to the end. A known length saves the growth of the buffer.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

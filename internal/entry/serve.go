package entry

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/intake"
)

// answerGrace is how long after the deadline the dispatcher's answer is awaited. The
// dispatcher answers at its first tick after the deadline, so the grace only covers a
// delayed control loop.
const answerGrace = time.Second

// serve handles a request of a caller.
func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	size := bodySize(r, h.cfg.MaxBodyBytes)
	err := h.reserve(size)
	if err != nil {
		h.refuse(w, err)
		return
	}
	req, err := h.parseRequest(w, r, start)
	if err == nil {
		req.reservedBytes = size
		err = asError(h.queue.offer(&arrivedMessage{request: req}))
	}
	if err != nil {
		h.release(size)
		h.refuse(w, err)
		return
	}
	h.awaitReply(w, r, req)
	h.metrics.observeRequest(time.Since(start))
}

// asError returns err as an error interface that is nil if err is nil.
func asError(err *fault.Error) error {
	if err == nil {
		return nil
	}
	return err
}

// bodySize returns the number of bytes to reserve for the body of a request.
func bodySize(r *http.Request, limit int64) int64 {
	if r.ContentLength < 0 {
		return limit
	}
	return min(r.ContentLength, limit)
}

// reserve reserves a place for a request with a body of at most size bytes. The control
// loop releases it when the request is done.
func (h *Host) reserve(size int64) error {
	if h.requests.Add(1) > int64(h.cfg.MaxRequests) {
		h.requests.Add(-1)
		return fault.New(fault.Overloaded, "%d requests are already in flight", h.cfg.MaxRequests)
	}
	if h.bufferedBytes.Add(size) > h.cfg.MaxBufferedBytes {
		h.release(size)
		return fault.New(fault.Overloaded, "request bodies in memory exceed %d bytes", h.cfg.MaxBufferedBytes)
	}
	return nil
}

// release returns the place of a request and the bytes reserved for its body.
func (h *Host) release(size int64) {
	h.bufferedBytes.Add(-size)
	h.requests.Add(-1)
}

// refuse answers a request that did not reach the dispatcher, so it did not run.
func (h *Host) refuse(w http.ResponseWriter, err error) {
	h.metrics.refusedRequests.Inc(1)
	answer.WriteErrorWithRan(w, fault.From(err), fault.RanNo)
}

// awaitReply waits for the dispatcher's reply and writes it.
func (h *Host) awaitReply(w http.ResponseWriter, r *http.Request, req *openRequest) {
	timeout := time.NewTimer(time.Until(req.attributes.Deadline) + answerGrace)
	defer timeout.Stop()
	select {
	case reply := <-req.done:
		reply.write(w)
	case <-r.Context().Done():
		h.queue.post(&callerGoneMessage{request: req})
	case <-timeout.C:
		h.queue.post(&callerGoneMessage{request: req})
		answer.WriteErrorWithRan(w, fault.New(fault.DeadlineExceeded, "no answer within the deadline"), fault.RanUnknown)
	case <-h.queue.closed:
		h.replyAfterStop(w, req)
	}
}

// replyAfterStop answers a request when the control loop has ended. A request that the
// loop did not claim did not run.
func (h *Host) replyAfterStop(w http.ResponseWriter, req *openRequest) {
	if req.claimed.CompareAndSwap(false, true) {
		h.refuse(w, fault.New(fault.Stopping, "the entry host has stopped"))
		return
	}
	select {
	case reply := <-req.done:
		reply.write(w)
	default:
		answer.WriteErrorWithRan(w, fault.New(fault.Stopping, "the entry host stopped before the answer"), fault.RanUnknown)
	}
}

func (r callerReply) write(w http.ResponseWriter) {
	if r.err == nil && r.response == nil {
		r.err = fault.New(fault.Internal, "the answer is missing")
		r.ran = fault.RanUnknown
	}
	if r.err != nil {
		answer.WriteErrorWithRan(w, r.err, r.ran)
		return
	}
	copyEndToEnd(w.Header(), r.response.header)
	w.Header().Set(answer.RanHeader, string(fault.RanYes))
	if bodyAllowed(r.response.status) && len(r.response.body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.response.body)))
	}
	w.WriteHeader(r.response.status)
	// A write error means that the caller is gone.
	_, _ = w.Write(r.response.body)
}

// bodyAllowed reports whether a response with the given status may have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// parseRequest validates a request, reads its body and returns it as an open request.
func (h *Host) parseRequest(w http.ResponseWriter, r *http.Request, now time.Time) (*openRequest, error) {
	service, path, err := parseTarget(r)
	if err != nil {
		return nil, err
	}
	deadline, err := h.parseDeadline(r)
	if err != nil {
		return nil, err
	}
	repeatable, err := parseRepeatable(r)
	if err != nil {
		return nil, err
	}
	urgent, err := parseUrgent(r)
	if err != nil {
		return nil, err
	}
	requestID := r.Header.Get(HeaderIdempotencyKey)
	if !repeatable && requestID == "" {
		return nil, fault.InvalidField(HeaderIdempotencyKey, "<expiry in Unix milliseconds>.<unique part>", "a request that must not be repeated requires an ID")
	}
	body, err := readBody(w, r, h.cfg.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	req := &openRequest{
		method: r.Method, path: path, query: r.URL.RawQuery, header: r.Header, remoteAddr: r.RemoteAddr,
		body: body, done: make(chan callerReply, 1),
		attributes: dispatch.Request{
			ID: h.nextID.Add(1), Service: service, Caller: r.Header.Get(HeaderCaller),
			WorkKind: r.Header.Get(HeaderWorkKind), SizeBytes: len(body), Urgent: urgent,
			Repeatable: repeatable, RequestID: requestID, Deadline: now.Add(deadline),
		},
	}
	if !repeatable {
		req.entryHost = h.cfg.Name
		req.token = h.token(req.attributes.ID)
		req.digest = digest(req)
	}
	return req, nil
}

// servicePrefix is the prefix of the paths of callers' requests.
const servicePrefix = "/v1/services/"

// reservedPrefix is the prefix of the paths that endpoints serve to entry hosts only.
const reservedPrefix = "laburnum/"

// parseTarget returns the service and the escaped path below it.
func parseTarget(r *http.Request) (service, path string, err error) {
	escaped, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix), "/")
	service, unescapeErr := url.PathUnescape(escaped)
	if unescapeErr != nil || service == "" || len(service) > maxNameBytes {
		return "", "", fault.InvalidField("service", fmt.Sprintf("1 to %d bytes", maxNameBytes), "value is %q", escaped)
	}
	if strings.HasPrefix(path, reservedPrefix) {
		return "", "", fault.InvalidField("path", "not below /"+reservedPrefix, "the path is reserved for entry hosts")
	}
	return service, "/" + path, nil
}

// parseDeadline returns the time limit of a request.
func (h *Host) parseDeadline(r *http.Request) (time.Duration, error) {
	value := r.Header.Get(HeaderDeadlineMs)
	if value == "" {
		return h.cfg.DefaultDeadline, nil
	}
	maxMs := h.cfg.MaxDeadline.Milliseconds()
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 1 || ms > maxMs {
		return 0, fault.InvalidField(HeaderDeadlineMs, "1 to "+strconv.FormatInt(maxMs, 10)+" milliseconds", "value is %q", value)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// parseRepeatable reports whether a request may run more than once. Without the header,
// GET and HEAD are repeatable.
func parseRepeatable(r *http.Request) (bool, error) {
	switch value := r.Header.Get(HeaderRepeatable); value {
	case "":
		return r.Method == http.MethodGet || r.Method == http.MethodHead, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, fault.InvalidField(HeaderRepeatable, "true, false", "value is %q", value)
	}
}

// parseUrgent reports whether a request has urgent priority.
func parseUrgent(r *http.Request) (bool, error) {
	switch value := r.Header.Get(HeaderPriority); value {
	case "", "normal":
		return false, nil
	case "urgent":
		return true, nil
	default:
		return false, fault.InvalidField(HeaderPriority, "normal, urgent", "value is %q", value)
	}
}

// readBody reads the body of a request. A body of more than limit bytes is an error.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, fault.New(fault.TooLarge, "body has %d bytes, the limit is %d", r.ContentLength, limit)
	}
	body, err := intake.ReadBody(r, limit)
	if err == nil {
		return body, nil
	}
	if refusal, ok := errors.AsType[*intake.Refusal](err); ok {
		refusal.SetHeaders(w, r)
		return nil, refusal.Fault()
	}
	return nil, fault.InvalidField("body", "a complete body", "read body: %s", err.Error())
}

package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"time"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
)

// runAttempt carries out one attempt and reports its end to the control loop.
func (h *Host) runAttempt(ctx context.Context, req *openRequest, a *attempt) {
	start := time.Now()
	result := h.sendAttempt(ctx, req, a)
	a.response = result.response
	h.metrics.countAttempt(result.outcome)
	event := dispatch.AttemptFinished{
		ID: a.forward.ID, Attempt: a.forward.Attempt, Outcome: result.outcome, Detail: result.detail, RunTime: time.Since(start),
		SlotsInUse: result.slotsInUse, HasSlotsInUse: result.hasSlotsInUse,
	}
	event.ServerError = result.response != nil && result.response.status >= http.StatusInternalServerError
	h.queue.post(&attemptFinishedMessage{request: req, attempt: a, event: event})
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	outcome  dispatch.AttemptOutcome
	detail   string
	response *response
	// slotsInUse is the number that the endpoint reported, if hasSlotsInUse is set.
	slotsInUse    int
	hasSlotsInUse bool
}

// readSlotsInUse sets the number of slots in use from the response header.
func (r *attemptResult) readSlotsInUse(header http.Header) {
	n, err := strconv.Atoi(header.Get(HeaderSlotsInUse))
	if err == nil && n >= 0 {
		r.slotsInUse, r.hasSlotsInUse = n, true
	}
}

// sendAttempt sends the request to the endpoint and reads the complete response.
//
// AttemptNotSent is reported only if the kernel accepted no byte of the request on any
// connection. AttemptRefused is reported only if the endpoint echoed the ID of this
// attempt and stated that the request did not run. Anything else than a complete
// response is AttemptLost or AttemptSilent: the request may have run.
func (h *Host) sendAttempt(ctx context.Context, req *openRequest, a *attempt) attemptResult {
	f := a.forward
	id := h.attemptID(f)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn := &attemptConn{}
	endpointReq, err := h.newEndpointRequest(httptrace.WithClientTrace(ctx, conn.trace()), req, f, id)
	if err != nil {
		return attemptResult{outcome: dispatch.AttemptNotSent, detail: err.Error()}
	}
	client := h.endpointClients.get(f.Endpoint, f.Address, a.connections)
	stop := client.monitorConn(ctx, conn, id, cancel)
	defer stop()
	res, err := client.transport.RoundTrip(endpointReq)
	if err != nil {
		return conn.failedResult(ctx, err)
	}
	defer res.Body.Close()
	if problem := headerProblem(res, id); problem != "" {
		// Further data on this connection may also belong to other requests.
		conn.discard(client)
		return attemptResult{outcome: dispatch.AttemptLost, detail: problem}
	}
	result := attemptResult{outcome: dispatch.AttemptAnswered}
	result.readSlotsInUse(res.Header)
	if res.Header.Get(answer.RanHeader) == string(fault.RanNo) {
		result.outcome = dispatch.AttemptRefused
		result.detail = "endpoint refused the request with status " + strconv.Itoa(res.StatusCode)
		return result
	}
	body, err := readResponseBody(res, h.cfg.MaxBodyBytes)
	if err != nil {
		return conn.failedResult(ctx, err)
	}
	result.response = &response{status: res.StatusCode, header: res.Header, body: body}
	return result
}

// attemptID returns an ID that is unique for each attempt of each process, so that the
// response to another attempt is never accepted for this one.
func (h *Host) attemptID(f dispatch.Forward) string {
	return h.cfg.Name + "-" + strconv.FormatUint(h.incarnation, 36) + "-" + strconv.FormatUint(f.ID, 10) + "-" + strconv.Itoa(f.Attempt)
}

// newEndpointRequest returns the request to send to the endpoint.
//
// net/http resends a request on its own if a reused connection breaks and it considers
// the request idempotent. Three measures keep it from resending a request of which a
// byte was sent: GetBody is not set, a request without a body gets an empty body, and
// the Idempotency-Key is forwarded under another name. Only the dispatcher retries
// requests.
func (h *Host) newEndpointRequest(ctx context.Context, req *openRequest, f dispatch.Forward, id string) (*http.Request, error) {
	endpointReq, err := http.NewRequestWithContext(ctx, req.method, "http://"+f.Address+req.path, nil)
	if err != nil {
		return nil, fmt.Errorf("request cannot be forwarded: %w", err)
	}
	endpointReq.URL.RawQuery = req.query
	if len(req.body) > 0 || !neverRetriedByMethod(req.method) {
		endpointReq.Body = io.NopCloser(bytes.NewReader(req.body))
		endpointReq.ContentLength = int64(len(req.body))
	}
	endpointReq.Header = newEndpointHeader(req.header, req.remoteAddr)
	set := func(name, value string) {
		if value != "" {
			endpointReq.Header[name] = []string{value}
		}
	}
	set(HeaderRequestID, id)
	set(HeaderAttempt, strconv.Itoa(f.Attempt))
	set(HeaderEpoch, strconv.FormatUint(f.Epoch, 10))
	set(HeaderDeadlineMs, strconv.FormatInt(max(time.Until(f.Deadline).Milliseconds(), 0), 10))
	set(HeaderWorkKind, req.attributes.WorkKind)
	set(HeaderCaller, req.attributes.Caller)
	set(HeaderCallerRequestID, req.attributes.RequestID)
	return endpointReq, nil
}

// neverRetriedByMethod reports whether net/http never resends a request because of its
// method. With an empty body it sends these methods with a content length of 0.
func neverRetriedByMethod(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// headerProblem returns why a response cannot be the complete response to the attempt
// with the given ID, or an empty string.
func headerProblem(res *http.Response, id string) string {
	switch echoed := res.Header[HeaderRequestID]; {
	case len(echoed) != 1:
		return "response does not carry exactly one request ID"
	case echoed[0] != id:
		return "response carries the ID of another request"
	}
	if res.ContentLength >= 0 || slices.Contains(res.TransferEncoding, "chunked") {
		return ""
	}
	if res.Request.Method == http.MethodHead || !bodyAllowed(res.StatusCode) {
		return ""
	}
	return "response has no length, so its end cannot be verified"
}

// readResponseBody reads the complete body. net/http returns an error for a body that is
// shorter than its length or has no final chunk.
func readResponseBody(res *http.Response, limit int64) ([]byte, error) {
	if res.ContentLength > limit && res.Request.Method != http.MethodHead {
		return nil, fmt.Errorf("response has %d bytes, the limit is %d", res.ContentLength, limit)
	}
	if res.Request.Method == http.MethodHead {
		return nil, nil
	}
	body, err := readAll(io.LimitReader(res.Body, limit+1), res.ContentLength)
	if err != nil {
		return nil, fmt.Errorf("read response body: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("response has more than %d bytes", limit)
	}
	return body, nil
}

// failedResult returns the result of an attempt without a complete response.
func (c *attemptConn) failedResult(ctx context.Context, err error) attemptResult {
	detail := strings.TrimSpace(err.Error())
	switch {
	case !c.mayHaveSent():
		return attemptResult{outcome: dispatch.AttemptNotSent, detail: detail}
	case c.silent.Load():
		return attemptResult{outcome: dispatch.AttemptSilent, detail: "connection is silent and the endpoint is not running the request"}
	case ctx.Err() != nil:
		return attemptResult{outcome: dispatch.AttemptLost, detail: "attempt ended before the response: " + context.Cause(ctx).Error()}
	default:
		return attemptResult{outcome: dispatch.AttemptLost, detail: detail}
	}
}

// readAll reads to the end of r, or length bytes if length is not negative. A known
// length avoids growing the buffer.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

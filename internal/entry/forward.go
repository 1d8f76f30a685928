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

// runAttempt carries out one forward and tells the control loop how it ended.
func (h *Host) runAttempt(ctx context.Context, x *exchange, a *attempt) {
	start := time.Now()
	end := h.try(ctx, x, a)
	a.response = end.response
	h.metrics.attempt(end.outcome)
	event := dispatch.AttemptFinished{
		ID: a.forward.ID, Attempt: a.forward.Attempt, Outcome: end.outcome, Detail: end.detail, RunTime: time.Since(start),
		SlotsInUse: end.slotsInUse, HasSlotsInUse: end.stated,
	}
	event.ServerError = end.response != nil && end.response.status >= http.StatusInternalServerError
	h.queue.post(&finishedMessage{exchange: x, attempt: a, event: event})
}

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	outcome  dispatch.AttemptOutcome
	detail   string
	response *response
	// slotsInUse is what the endpoint stated, if stated is set.
	slotsInUse int
	stated     bool
}

// readSlots takes the number of slots in use that the endpoint states.
func (e *attemptEnd) readSlots(header http.Header) {
	n, err := strconv.Atoi(header.Get(HeaderSlotsInUse))
	if err == nil && n >= 0 {
		e.slotsInUse, e.stated = n, true
	}
}

// try sends the request to the endpoint and reads the whole answer.
//
// AttemptNotSent is reported only if the kernel took no byte of the request on
// any connection. AttemptRefused is reported only if the endpoint echoed the
// ID of this attempt and says that it did not run. Everything else but a whole
// answer is AttemptLost, or AttemptSilent: the request may have run.
func (h *Host) try(ctx context.Context, x *exchange, a *attempt) attemptEnd {
	f := a.forward
	id := h.attemptID(f)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &wire{}
	out, err := h.outgoing(httptrace.WithClientTrace(ctx, w.trace()), x, f, id)
	if err != nil {
		return attemptEnd{outcome: dispatch.AttemptNotSent, detail: err.Error()}
	}
	l := h.links.get(f.Endpoint, f.Address, a.connections)
	stop := l.watch(ctx, w, id, cancel)
	defer stop()
	res, err := l.transport.RoundTrip(out)
	if err != nil {
		return w.failed(ctx, err)
	}
	defer res.Body.Close()
	if problem := checkHeader(res, id); problem != "" {
		// What else is on this connection belongs to other requests too.
		w.discard(l)
		return attemptEnd{outcome: dispatch.AttemptLost, detail: problem}
	}
	end := attemptEnd{outcome: dispatch.AttemptAnswered}
	end.readSlots(res.Header)
	if res.Header.Get(answer.RanHeader) == string(fault.RanNo) {
		end.outcome = dispatch.AttemptRefused
		end.detail = "endpoint refused the request with status " + strconv.Itoa(res.StatusCode)
		return end
	}
	body, err := readAnswer(res, h.cfg.MaxBodyBytes)
	if err != nil {
		return w.failed(ctx, err)
	}
	end.response = &response{status: res.StatusCode, header: res.Header, body: body}
	return end
}

// attemptID is unique for each attempt of each process, so that an answer to
// an earlier one is never taken for this one's.
func (h *Host) attemptID(f dispatch.Forward) string {
	return h.cfg.Name + "-" + strconv.FormatUint(h.incarnation, 36) + "-" + strconv.FormatUint(f.ID, 10) + "-" + strconv.Itoa(f.Attempt)
}

// outgoing builds the request to the endpoint.
//
// net/http sends a request again on its own if a kept connection breaks and
// it takes the request for idempotent. GetBody is left unset, a request
// without a body has an empty one, and the Idempotency-Key has another name
// towards the endpoint: with these three, the library never repeats one of
// which a byte was sent. Only the dispatcher repeats requests.
func (h *Host) outgoing(ctx context.Context, x *exchange, f dispatch.Forward, id string) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, x.method, "http://"+f.Address+x.path, nil)
	if err != nil {
		return nil, fmt.Errorf("request cannot be forwarded: %w", err)
	}
	out.URL.RawQuery = x.query
	if len(x.body) > 0 || !sendsBody(x.method) {
		out.Body = io.NopCloser(bytes.NewReader(x.body))
		out.ContentLength = int64(len(x.body))
	}
	out.Header = endpointHeader(x.header, x.remote)
	set := func(name, value string) {
		if value != "" {
			out.Header[name] = []string{value}
		}
	}
	set(HeaderRequestID, id)
	set(HeaderAttempt, strconv.Itoa(f.Attempt))
	set(HeaderEpoch, strconv.FormatUint(f.Epoch, 10))
	set(HeaderDeadlineMs, strconv.FormatInt(max(time.Until(f.Deadline).Milliseconds(), 0), 10))
	set(HeaderWorkKind, x.request.WorkKind)
	set(HeaderCaller, x.request.Caller)
	set(HeaderCallerRequestID, x.request.RequestID)
	return out, nil
}

// sendsBody tells for which methods net/http never repeats a request by its
// method. With an empty body it sends these with a length of 0.
func sendsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// checkHeader returns why an answer cannot be the whole answer to a request.
func checkHeader(res *http.Response, id string) string {
	switch echoed := res.Header[HeaderRequestID]; {
	case len(echoed) != 1:
		return "answer does not name its request"
	case echoed[0] != id:
		return "answer belongs to another request"
	}
	if res.ContentLength >= 0 || slices.Contains(res.TransferEncoding, "chunked") {
		return ""
	}
	if res.Request.Method == http.MethodHead || !bodyAllowed(res.StatusCode) {
		return ""
	}
	return "answer has no length, so its end cannot be checked"
}

// readAnswer reads the whole body. net/http reports a body that is shorter
// than its length or has no final chunk.
func readAnswer(res *http.Response, limit int64) ([]byte, error) {
	if res.ContentLength > limit && res.Request.Method != http.MethodHead {
		return nil, fmt.Errorf("answer has %d bytes, the limit is %d", res.ContentLength, limit)
	}
	if res.Request.Method == http.MethodHead {
		return nil, nil
	}
	body, err := readAll(io.LimitReader(res.Body, limit+1), res.ContentLength)
	if err != nil {
		return nil, fmt.Errorf("answer ends early: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("answer has more than %d bytes", limit)
	}
	return body, nil
}

// failed tells how an attempt without a whole answer ended.
func (w *wire) failed(ctx context.Context, err error) attemptEnd {
	detail := strings.TrimSpace(err.Error())
	switch {
	case !w.sent():
		return attemptEnd{outcome: dispatch.AttemptNotSent, detail: detail}
	case w.silent.Load():
		return attemptEnd{outcome: dispatch.AttemptSilent, detail: "connection is silent and the endpoint does not run the request"}
	case ctx.Err() != nil:
		return attemptEnd{outcome: dispatch.AttemptLost, detail: "attempt ended before the answer: " + context.Cause(ctx).Error()}
	default:
		return attemptEnd{outcome: dispatch.AttemptLost, detail: detail}
	}
}

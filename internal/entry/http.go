package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/member"
)

// Headers between callers, entry hosts and endpoints.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadlineMs     = "Laburnum-Deadline-Ms"
	HeaderRepeatable     = "Laburnum-Repeatable"
	HeaderCaller         = "Laburnum-Caller"
	HeaderWorkKind       = "Laburnum-Work-Kind"
	HeaderPriority       = "Laburnum-Priority"
	HeaderRequestID      = "Laburnum-Request-Id"
	HeaderAttempt        = "Laburnum-Attempt"
	HeaderEpoch          = "Laburnum-Epoch"
)

// Handler returns the routes for callers and endpoints.
func (h *Host) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/services/{service}/{path...}", h.serve)
	mux.HandleFunc("POST /v1/announce", h.announce)
	return mux
}

// Announcement is the JSON body of an announcement.
type Announcement struct {
	Endpoint    string `json:"endpoint"`
	Host        string `json:"host"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Epoch       uint64 `json:"epoch"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Rack        string `json:"rack"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
}

func (h *Host) announce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, h.cfg.MaxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		answer.WriteError(w, fault.Field("body", "one announcement", "%s", err.Error()))
		return
	}
	result := make(chan *fault.Error, 1)
	event := dispatch.Announced{Announcement: member.Announcement{
		Endpoint: a.Endpoint, Host: a.Host, Service: a.Service, Address: a.Address, Epoch: a.Epoch,
		Incarnation: a.Incarnation, Sequence: a.Sequence, Slots: a.Slots, Connections: a.Connections,
		Rack: a.Rack, Zone: a.Zone, Leaving: a.State == "leaving", Heard: time.Now(),
	}}
	if err := h.send(message{event: event, result: result}); err != nil {
		answer.WriteError(w, err)
		return
	}
	if err := <-result; err != nil {
		answer.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// exchange is one request of a caller on its way.
type exchange struct {
	request  dispatch.Request
	body     []byte
	incoming *http.Request
	// attempts holds the whole answer of each attempt that was answered.
	response *response
}

type response struct {
	status int
	header http.Header
	body   []byte
}

func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	x, err := h.read(w, r)
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.request.Deadline)
	defer cancel()
	reply := make(chan dispatch.Effect, replyRoom)
	if err := h.send(message{event: dispatch.Arrive{Request: x.request}, reply: reply}); err != nil {
		answer.WriteError(w, err)
		return
	}
	h.follow(ctx, w, x, reply)
}

// replyRoom is the number of effects that one request can have outstanding.
const replyRoom = 8

// follow carries out the effects of one request until its answer.
func (h *Host) follow(ctx context.Context, w http.ResponseWriter, x *exchange, reply chan dispatch.Effect) {
	for {
		select {
		case <-ctx.Done():
			_ = h.send(message{event: dispatch.Gone{ID: x.request.ID}})
			answer.WriteError(w, fault.New(fault.DeadlineExceeded, "no answer within the deadline"))
			return
		case effect := <-reply:
			switch e := effect.(type) {
			case dispatch.Forward:
				finished := h.attempt(ctx, x, e)
				if err := h.send(message{event: finished}); err != nil {
					answer.WriteRan(w, err, fault.RanUnknown)
					return
				}
			case dispatch.Answer:
				x.answer(w, e)
				return
			}
		}
	}
}

func (x *exchange) answer(w http.ResponseWriter, e dispatch.Answer) {
	if e.Err != nil {
		answer.WriteRan(w, e.Err, e.Ran)
		return
	}
	for name, values := range x.response.header {
		w.Header()[name] = values
	}
	w.Header().Set(answer.RanHeader, string(fault.RanYes))
	w.WriteHeader(x.response.status)
	// The caller is gone if this fails.
	_, _ = w.Write(x.response.body)
}

func (h *Host) read(w http.ResponseWriter, r *http.Request) (*exchange, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.cfg.MaxBodyBytes))
	if err != nil {
		return nil, fault.New(fault.TooLarge, "body cannot be read: %s", err.Error())
	}
	deadline := h.cfg.DefaultDeadline
	if text := r.Header.Get(HeaderDeadlineMs); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms < 1 {
			return nil, fault.Field(HeaderDeadlineMs, "1 or more milliseconds", "value is %q", text)
		}
		deadline = time.Duration(ms) * time.Millisecond
	}
	repeatable := r.Method == http.MethodGet || r.Method == http.MethodHead
	if text := r.Header.Get(HeaderRepeatable); text != "" {
		repeatable = text == "true"
	}
	return &exchange{incoming: r, body: body, request: dispatch.Request{
		ID: h.nextID.Add(1), Service: r.PathValue("service"), Caller: r.Header.Get(HeaderCaller),
		WorkKind: r.Header.Get(HeaderWorkKind), SizeBytes: len(body), Urgent: r.Header.Get(HeaderPriority) == "urgent",
		Repeatable: repeatable, RequestID: r.Header.Get(HeaderIdempotencyKey), Deadline: time.Now().Add(deadline),
	}}, nil
}

// attempt sends the request to one endpoint and reads the whole answer.
func (h *Host) attempt(ctx context.Context, x *exchange, f dispatch.Forward) dispatch.Finished {
	finished := dispatch.Finished{ID: f.ID, Attempt: f.Attempt, Outcome: dispatch.AttemptLost}
	id := h.cfg.Name + "-" + strconv.FormatUint(f.ID, 10) + "-" + strconv.Itoa(f.Attempt)
	out, err := http.NewRequestWithContext(ctx, x.incoming.Method, "http://"+f.Address+"/"+x.incoming.PathValue("path"), bytes.NewReader(x.body))
	if err != nil {
		finished.Outcome = dispatch.AttemptNotSent
		finished.Detail = err.Error()
		return finished
	}
	out.URL.RawQuery = x.incoming.URL.RawQuery
	out.Header.Set("Content-Type", x.incoming.Header.Get("Content-Type"))
	out.Header.Set(HeaderRequestID, id)
	out.Header.Set(HeaderAttempt, strconv.Itoa(f.Attempt))
	out.Header.Set(HeaderEpoch, strconv.FormatUint(f.Epoch, 10))
	out.Header.Set(HeaderWorkKind, x.request.WorkKind)
	out.Header.Set(HeaderDeadlineMs, strconv.FormatInt(time.Until(f.Deadline).Milliseconds(), 10))
	res, err := h.client.Do(out)
	if err != nil {
		finished.Detail = err.Error()
		if isDialError(err) {
			finished.Outcome = dispatch.AttemptNotSent
		}
		return finished
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, h.cfg.MaxBodyBytes+1))
	switch {
	case err != nil:
		finished.Detail = "answer ends early: " + err.Error()
	case int64(len(body)) > h.cfg.MaxBodyBytes:
		finished.Detail = "answer is too large"
	case res.Header.Get(HeaderRequestID) != id:
		finished.Detail = "answer belongs to another request"
	case res.Header.Get(answer.RanHeader) == string(fault.RanNo):
		finished.Outcome = dispatch.AttemptRefused
		finished.Detail = "refused by the endpoint"
	default:
		finished.Outcome = dispatch.AttemptAnswered
		x.response = &response{status: res.StatusCode, header: res.Header, body: body}
	}
	return finished
}

// isDialError tells whether the connection was never made, so that nothing
// was sent.
func isDialError(err error) bool {
	op, ok := errors.AsType[*net.OpError](err)
	return ok && op.Op == "dial"
}

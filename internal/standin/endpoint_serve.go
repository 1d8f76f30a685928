package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/entry"
)

func (e *Endpoint) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == entry.PingPath {
			e.ping(w, r)
			return
		}
		e.serve(w, r)
	})
}

// ping tells which requests are running. It needs no slot.
func (e *Endpoint) ping(w http.ResponseWriter, _ *http.Request) {
	if e.fault.Load().HangPing {
		<-e.stop
		return
	}
	answer.WriteJSON(w, http.StatusOK, entry.PingResponse{
		Endpoint: e.cfg.Announcement.Endpoint, Incarnation: e.cfg.Announcement.Incarnation, Running: e.ledger.runningIDs(),
	})
}

// serve runs one request in a slot.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(entry.HeaderRequestID)
	w.Header().Set(entry.HeaderRequestID, id)
	e.ledger.begin(id)
	defer e.ledger.end(id)
	if refusal := e.refusal(r); refusal != nil {
		answer.WriteErrorWithRan(w, refusal, fault.RanNo)
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	default:
		stateSlots(w, len(e.slots))
		answer.WriteErrorWithRan(w, fault.New(fault.Overloaded, "all %d slots are taken", cap(e.slots)), fault.RanNo)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.ledger.ran(id, r.Header.Get(entry.HeaderCallerRequestID))
	e.work(r.Context(), r.Header.Get(entry.HeaderWorkKind))
	// One slot is this request's own.
	stateSlots(w, len(e.slots)-1)
	e.fault.Load().respond(w, e, r, body)
}

func stateSlots(w http.ResponseWriter, inUse int) {
	w.Header().Set(entry.HeaderSlotsInUse, strconv.Itoa(inUse))
}

// refusal tells why a request is not run.
func (e *Endpoint) refusal(r *http.Request) *fault.Error {
	epoch, err := strconv.ParseUint(r.Header.Get(entry.HeaderEpoch), 10, 64)
	own := e.cfg.Announcement.Epoch
	switch {
	case e.fault.Load().Refuse:
		return fault.New(fault.Unavailable, "requests are refused")
	case err == nil && epoch != own:
		return fault.New(fault.Fenced, "the endpoint is at epoch %d, the request has %d", own, epoch)
	}
	return nil
}

// work takes the run time of the kind of work, unless the request is
// cancelled or the endpoint is stopped by force.
func (e *Endpoint) work(ctx context.Context, kind string) {
	d := min(e.cfg.RunTime(kind), MaxRunTime)
	f := e.fault.Load()
	wait(ctx, d+f.ExtraDelay)
	if f.Hang {
		select {
		case <-ctx.Done():
		case <-e.stop:
		}
	}
}

// reply returns the body of an answer.
func (e *Endpoint) reply(r *http.Request, body []byte) []byte {
	var out bytes.Buffer
	_ = json.NewEncoder(&out).Encode(Reply{
		Endpoint: e.cfg.Announcement.Endpoint, Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery, Echo: string(body),
	})
	return out.Bytes()
}

// Reply is the body of an answer.
type Reply struct {
	Endpoint string `json:"endpoint"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Query    string `json:"query,omitempty"`
	Echo     string `json:"echo"`
}

// writeReply writes a whole answer.
func writeReply(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

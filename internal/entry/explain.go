package entry

import (
	"net/http"
	"strconv"
	"time"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/decision"
	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
)

// handleExplain answers where a request with the given attributes would go now and why. No
// request is sent.
func (h *Host) handleExplain(w http.ResponseWriter, r *http.Request) {
	q, err := explainedRequest(r)
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	m := &explainMessage{request: q, reply: make(chan explanation, 1)}
	if err := h.queue.offer(m); err != nil {
		answer.WriteError(w, err)
		return
	}
	select {
	case e := <-m.reply:
		if e.err != nil {
			answer.WriteError(w, e.err)
			return
		}
		answer.WriteJSON(w, http.StatusOK, e.value)
	case <-r.Context().Done():
	case <-h.queue.closed:
		answer.WriteError(w, fault.New(fault.Stopping, "the entry host has stopped"))
	}
}

// explainedRequest returns the request that the query describes.
func explainedRequest(r *http.Request) (dispatch.Request, *fault.Error) {
	query := r.URL.Query()
	q := dispatch.Request{Service: query.Get("service"), WorkKind: query.Get("workKind"), Caller: query.Get("caller"), Repeatable: true}
	if q.Service == "" {
		return q, fault.InvalidField("service", "the name of a service", "the query has none")
	}
	if text := query.Get("sizeBytes"); text != "" {
		size, err := strconv.Atoi(text)
		if err != nil || size < 0 {
			return q, fault.InvalidField("sizeBytes", "0 or more", "value is %q", text)
		}
		q.SizeBytes = size
	}
	if text := query.Get("urgent"); text != "" {
		urgent, err := strconv.ParseBool(text)
		if err != nil {
			return q, fault.InvalidField("urgent", "true or false", "value is %q", text)
		}
		q.Urgent = urgent
	}
	if text := query.Get("deadlineMs"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxExplainedDeadlineMs {
			return q, fault.InvalidField("deadlineMs", "1 to 3600000", "value is %q", text)
		}
		q.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return q, nil
}

// maxExplainedDeadlineMs bounds the deadline of a described request to an hour.
const maxExplainedDeadlineMs = 3_600_000

// explanation is the answer of the control loop to an explainMessage.
type explanation struct {
	value *decision.Explanation
	err   *fault.Error
}

// explainMessage asks the control loop to explain a request.
type explainMessage struct {
	request dispatch.Request
	reply   chan explanation
}

func (m *explainMessage) handle(l *loop) {
	value, err := l.dispatcher.Explain(time.Now(), m.request)
	m.reply <- explanation{value, err}
}

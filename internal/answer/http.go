package answer

import (
	"encoding/json"
	"net/http"

	"laburnumdock/internal/core/fault"
)

// Body is the JSON body of every refusal over HTTP.
type ErrorBody struct {
	Error *fault.Error `json:"error"`
	Ran   fault.Ran    `json:"ran"`
	Retryable bool         `json:"retry"`
}

// WriteError writes err as an HTTP answer.
func WriteError(w http.ResponseWriter, err error) {
	f := fault.From(err)
	WriteErrorWithRan(w, f, For(f.Kind).Ran)
}

// WriteRan writes an error for which more is known of whether the request ran
// than its kind tells.
func WriteErrorWithRan(w http.ResponseWriter, f *fault.Error, ran fault.Ran) {
	a := For(f.Kind)
	w.Header().Set(KindHeader, string(f.Kind))
	w.Header().Set(RanHeader, string(ran))
	WriteJSON(w, a.HTTPStatus, ErrorBody{Error: f, Ran: ran, Retryable: a.Retryable || ran == fault.RanNo && f.Kind == fault.EndpointFailed})
}

// WriteJSON writes v with a status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	// The connection is gone if this fails, and nobody is left to tell.
	_ = enc.Encode(v)
}

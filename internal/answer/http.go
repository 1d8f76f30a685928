package answer

import (
	"encoding/json"
	"net/http"

	"laburnumdock/internal/core/fault"
)

// ErrorBody is the JSON body of every error response over HTTP.
type ErrorBody struct {
	Error     *fault.Error `json:"error"`
	Ran       fault.Ran    `json:"ran"`
	Retryable bool         `json:"retry"`
}

// WriteError writes err as an HTTP response.
func WriteError(w http.ResponseWriter, err error) {
	f := fault.From(err)
	WriteErrorWithRan(w, f, For(f.Kind).Ran)
}

// WriteErrorWithRan writes an error for which it is known more exactly than by
// its kind whether the request ran.
func WriteErrorWithRan(w http.ResponseWriter, f *fault.Error, ran fault.Ran) {
	a := For(f.Kind)
	w.Header().Set(KindHeader, string(f.Kind))
	w.Header().Set(RanHeader, string(ran))
	WriteJSON(w, a.HTTPStatus, ErrorBody{Error: f, Ran: ran, Retryable: a.Retryable || ran == fault.RanNo && f.Kind == fault.EndpointFailed})
}

// WriteJSON writes v as a JSON response with the given status code.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	// Encoding fails only if the connection is closed, and then there is no
	// client to report the error to.
	_ = enc.Encode(v)
}

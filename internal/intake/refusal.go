package intake

import (
	"net/http"

	"laburnumdock/internal/core/fault"
)

// retryAfter is the delay in seconds after which a refused client should retry. By then
// requests without progress have been closed.
const retryAfter = "1"

// Refusal is the error for a request that was not passed on: nothing ran.
type Refusal struct{ Reason Reason }

func newRefusal(reason Reason) *Refusal { return &Refusal{Reason: reason} }

var refusalTexts = map[Reason]string{
	TooManyRequests: "too many requests are in flight, this one did not run",
	BodyTooLarge:    "the body is too large",
	BodyStalled:     "the body came too slowly, the request did not run",
	BodyNoRoom:      "there is no memory for the request, which did not run",
	EncodedBody:     "the body is encoded, which is not supported",
}

// Error implements error.
func (r *Refusal) Error() string { return refusalTexts[r.Reason] }

// Status returns the HTTP status of the answer.
func (r *Refusal) Status() int {
	switch r.Reason {
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case BodyStalled:
		return http.StatusRequestTimeout
	case EncodedBody:
		return http.StatusUnsupportedMediaType
	default:
		return http.StatusServiceUnavailable
	}
}

// SetHeaders sets the headers of the answer. The rest of the body is not read.
func (r *Refusal) SetHeaders(w http.ResponseWriter, req *http.Request) {
	if req.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	if r.Status() == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
}

// Fault returns the refusal as an error of the product's own interfaces.
func (r *Refusal) Fault() *fault.Error {
	switch r.Reason {
	case BodyTooLarge:
		return fault.New(fault.TooLarge, "%s", r.Error())
	case TooManyRequests, BodyNoRoom:
		return fault.New(fault.Overloaded, "%s", r.Error())
	default:
		return fault.InvalidField("body", "a complete body", "%s", r.Error())
	}
}

// Package answer maps error kinds to HTTP and Connect responses.
package answer

import (
	"errors"
	"net"
	"net/http"

	"connectrpc.com/connect"

	"laburnumdock/internal/core/fault"
)

// Answer is the response to a request that failed with one error kind.
type Answer struct {
	HTTPStatus int
	Code       connect.Code
	// Ran states whether the request may have run, unless more is known about
	// the particular error.
	Ran fault.Ran
	// Retryable reports whether the same request may be sent again unchanged.
	Retryable bool
}

// statusClientClosedRequest is the status for a request that the client has cancelled.
// It is in common use, but net/http has no constant for it.
const statusClientClosedRequest = 499

var answers = map[fault.Kind]Answer{
	fault.Invalid:             {http.StatusBadRequest, connect.CodeInvalidArgument, fault.RanNo, false},
	fault.Unauthenticated:     {http.StatusUnauthorized, connect.CodeUnauthenticated, fault.RanNo, false},
	fault.Forbidden:           {http.StatusForbidden, connect.CodePermissionDenied, fault.RanNo, false},
	fault.NotFound:            {http.StatusNotFound, connect.CodeNotFound, fault.RanNo, false},
	fault.Conflict:            {http.StatusConflict, connect.CodeAborted, fault.RanNo, false},
	fault.Compacted:           {http.StatusGone, connect.CodeOutOfRange, fault.RanNo, false},
	fault.ChangeIDExpired:     {http.StatusGone, connect.CodeFailedPrecondition, fault.RanUnknown, false},
	fault.ChangeIDReused:      {http.StatusUnprocessableEntity, connect.CodeInvalidArgument, fault.RanNo, false},
	fault.BudgetBlocked:       {http.StatusConflict, connect.CodeFailedPrecondition, fault.RanNo, true},
	fault.QuotaExceeded:       {http.StatusConflict, connect.CodeResourceExhausted, fault.RanNo, true},
	fault.Fenced:              {http.StatusConflict, connect.CodeFailedPrecondition, fault.RanNo, false},
	fault.TooLarge:            {http.StatusRequestEntityTooLarge, connect.CodeInvalidArgument, fault.RanNo, false},
	fault.SlowWatcher:         {http.StatusTooManyRequests, connect.CodeResourceExhausted, fault.RanNo, true},
	fault.NotLeader:           {http.StatusServiceUnavailable, connect.CodeUnavailable, fault.RanNo, true},
	fault.Unavailable:         {http.StatusServiceUnavailable, connect.CodeUnavailable, fault.RanNo, true},
	fault.StorageFailed:       {http.StatusInsufficientStorage, connect.CodeUnavailable, fault.RanUnknown, true},
	fault.Overloaded:          {http.StatusTooManyRequests, connect.CodeResourceExhausted, fault.RanNo, true},
	fault.DeadlineUnreachable: {http.StatusServiceUnavailable, connect.CodeDeadlineExceeded, fault.RanNo, true},
	fault.DeadlineExceeded:    {http.StatusGatewayTimeout, connect.CodeDeadlineExceeded, fault.RanUnknown, false},
	fault.Cancelled:           {statusClientClosedRequest, connect.CodeCanceled, fault.RanUnknown, false},
	fault.NoEndpoint:          {http.StatusServiceUnavailable, connect.CodeUnavailable, fault.RanNo, true},
	fault.Stopping:            {http.StatusServiceUnavailable, connect.CodeUnavailable, fault.RanNo, true},
	fault.InProgress:          {http.StatusConflict, connect.CodeAborted, fault.RanUnknown, true},
	fault.OutcomeUnknown:      {http.StatusBadGateway, connect.CodeUnknown, fault.RanUnknown, false},
	fault.EndpointFailed:      {http.StatusBadGateway, connect.CodeUnavailable, fault.RanUnknown, false},
	fault.RequestIDExpired:    {http.StatusGone, connect.CodeFailedPrecondition, fault.RanUnknown, false},
	fault.RequestIDReused:     {http.StatusUnprocessableEntity, connect.CodeInvalidArgument, fault.RanNo, false},
	fault.Internal:            {http.StatusInternalServerError, connect.CodeInternal, fault.RanUnknown, false},
}

// For returns the answer for a kind, or the one for fault.Internal if the kind
// is unknown.
func For(kind fault.Kind) Answer {
	if a, ok := answers[kind]; ok {
		return a
	}
	return answers[fault.Internal]
}

// ConnectError returns err as a Connect error with its kind in KindHeader.
func ConnectError(err error) *connect.Error {
	f := fault.From(err)
	ce := connect.NewError(For(f.Kind).Code, f)
	ce.Meta().Set(KindHeader, string(f.Kind))
	return ce
}

// RemoteError returns the fault that another process reported, or nil if err is
// nil. lostKind is the kind of a failure after the request may have reached that
// process. A request whose connection was never established had no effect, so
// its kind is fault.Unavailable.
func RemoteError(err error, lostKind fault.Kind) error {
	if err == nil {
		return nil
	}
	if ce, ok := errors.AsType[*connect.Error](err); ok {
		if kind := ce.Meta().Get(KindHeader); kind != "" {
			return fault.New(fault.Kind(kind), "%s", ce.Message())
		}
	}
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return fault.New(fault.Unavailable, "the leader cannot be reached: %v", err)
	}
	return fault.New(lostKind, "the leader did not answer: %v", err)
}

// KindHeader is the name of the header that carries the error kind.
const KindHeader = "Laburnum-Error-Kind"

// RanHeader is the name of the header that states whether a request ran.
const RanHeader = "Laburnum-Ran"

// Package answer maps error kinds to the answers of the front ends.
package answer

import (
	"errors"
	"net"
	"net/http"

	"connectrpc.com/connect"

	"laburnumdock/internal/core/fault"
)

// Answer is how one kind of error is presented.
type Answer struct {
	HTTPStatus int
	Code       connect.Code
	// Ran is what the caller may conclude, unless the error proves more.
	Ran fault.Ran
	// Retry tells whether the same request may be sent again as it is.
	Retryable bool
}

var table = map[fault.Kind]Answer{
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
	fault.Cancelled:           {499, connect.CodeCanceled, fault.RanUnknown, false},
	fault.NoEndpoint:          {http.StatusServiceUnavailable, connect.CodeUnavailable, fault.RanNo, true},
	fault.Stopping:            {http.StatusServiceUnavailable, connect.CodeUnavailable, fault.RanNo, true},
	fault.InProgress:          {http.StatusConflict, connect.CodeAborted, fault.RanUnknown, true},
	fault.OutcomeUnknown:      {http.StatusBadGateway, connect.CodeUnknown, fault.RanUnknown, false},
	fault.EndpointFailed:      {http.StatusBadGateway, connect.CodeUnavailable, fault.RanUnknown, false},
	fault.RequestIDExpired:    {http.StatusGone, connect.CodeFailedPrecondition, fault.RanUnknown, false},
	fault.RequestIDReused:     {http.StatusUnprocessableEntity, connect.CodeInvalidArgument, fault.RanNo, false},
	fault.Internal:            {http.StatusInternalServerError, connect.CodeInternal, fault.RanUnknown, false},
}

// For returns the answer for a kind.
func For(kind fault.Kind) Answer {
	if a, ok := table[kind]; ok {
		return a
	}
	return table[fault.Internal]
}

// ConnectError returns err as a Connect error that carries the kind.
func ConnectError(err error) *connect.Error {
	f := fault.From(err)
	ce := connect.NewError(For(f.Kind).Code, f)
	ce.Meta().Set(KindHeader, string(f.Kind))
	return ce
}

// RemoteError returns the fault that another process reported, or nil for nil.
// Lost is the kind for a failure after the request may have reached it; a request
// for which no connection was made had no effect.
func RemoteError(err error, lost fault.Kind) error {
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
	return fault.New(lost, "the leader did not answer: %v", err)
}

// KindHeader is the name of the header that carries the error kind.
const KindHeader = "Laburnum-Error-Kind"

// RanHeader is the name of the header that tells whether a request ran.
const RanHeader = "Laburnum-Ran"

package entry

import (
	"net"
	"net/http"
	"strings"
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
	// HeaderSlotsInUse is the number of slots in use that an endpoint states in
	// its answers, without the request that is answered.
	HeaderSlotsInUse = "Laburnum-Slots-In-Use"
	// HeaderCallerRequestID carries the caller's idempotency key to the
	// endpoint. It has another name there because net/http repeats a request
	// with an Idempotency-Key on its own.
	HeaderCallerRequestID = "Laburnum-Caller-Request-Id"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internalPrefix starts the headers of the system. A caller's are not passed
// on as they are, so that a caller cannot pose as an entry host.
const internalPrefix = "Laburnum-"

// copyEndToEnd adds the headers of src that concern the far end to dst.
func copyEndToEnd(dst, src http.Header) {
	for name, values := range src {
		if !strings.HasPrefix(name, internalPrefix) {
			dst[name] = values
		}
	}
	for _, list := range src["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			dst.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		dst.Del(name)
	}
}

// endpointHeader returns the caller's headers as the endpoint gets them.
func endpointHeader(src http.Header, remote string) http.Header {
	dst := make(http.Header, len(src)+8)
	copyEndToEnd(dst, src)
	dst.Del(HeaderIdempotencyKey)
	dst.Del("X-Idempotency-Key")
	dst.Del("Expect")
	dst.Del("Content-Length")
	if _, ok := dst["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		dst["User-Agent"] = []string{""}
	}
	if ip, _, err := net.SplitHostPort(remote); err == nil {
		before := dst["X-Forwarded-For"]
		dst["X-Forwarded-For"] = append(before[:len(before):len(before)], ip)
	}
	return dst
}

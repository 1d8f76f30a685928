package entry

import (
	"net"
	"net/http"
	"strings"
)

// Names of the headers between callers, entry hosts and endpoints.
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
	// HeaderSlotsInUse carries the number of slots in use that an endpoint reports in
	// its responses, without the slot of the request that it responds to.
	HeaderSlotsInUse = "Laburnum-Slots-In-Use"
	// HeaderCallerRequestID carries the caller's idempotency key to the endpoint. The
	// name differs because net/http resends a request with an Idempotency-Key on its
	// own.
	HeaderCallerRequestID = "Laburnum-Caller-Request-Id"
)

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internalPrefix is the prefix of the headers of the system. They are not copied from a
// caller's request, so that a caller cannot impersonate an entry host.
const internalPrefix = "Laburnum-"

// copyEndToEnd copies the end-to-end headers of src to dst, without internal ones.
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
	for _, name := range hopByHopHeaders {
		dst.Del(name)
	}
}

// newEndpointHeader returns the header to forward to the endpoint for a caller's header
// and remote address.
func newEndpointHeader(src http.Header, remote string) http.Header {
	dst := make(http.Header, len(src)+8)
	copyEndToEnd(dst, src)
	dst.Del(HeaderIdempotencyKey)
	dst.Del("X-Idempotency-Key")
	dst.Del("Expect")
	dst.Del("Content-Length")
	if _, ok := dst["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its default.
		dst["User-Agent"] = []string{""}
	}
	if ip, _, err := net.SplitHostPort(remote); err == nil {
		before := dst["X-Forwarded-For"]
		dst["X-Forwarded-For"] = append(before[:len(before):len(before)], ip)
	}
	return dst
}

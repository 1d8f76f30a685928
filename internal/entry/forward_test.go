package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
)

// startRawEndpoint starts an endpoint that answers each request with the bytes that reply
// returns, and closes the connection after an answer that ends in "close". It returns
// the address.
func startRawEndpoint(t *testing.T, reply func(*http.Request) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buf := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(buf)
					if err != nil {
						return
					}
					text := reply(req)
					_, _ = conn.Write([]byte(strings.TrimSuffix(text, "close")))
					if strings.HasSuffix(text, "close") {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// sendAttemptOnce sends one attempt to an address.
func sendAttemptOnce(ctx context.Context, h *Host, address string, id uint64) (dispatch.AttemptOutcome, string, *response) {
	req := &openRequest{method: http.MethodGet, path: "/x", header: http.Header{}, remoteAddr: "127.0.0.1:1"}
	a := &attempt{connections: 64, cancel: func() {}, forward: dispatch.Forward{
		ID: id, Attempt: 1, Endpoint: "e", Address: address, Epoch: 1, Deadline: time.Now().Add(time.Minute),
	}}
	end := h.sendAttempt(ctx, req, a)
	return end.outcome, end.detail, end.response
}

// Guards against outcomes without proof: AttemptNotSent after a byte may have been sent,
// AttemptRefused without the echoed attempt ID (requirement R4), and AttemptAnswered for
// a response that is incomplete or belongs to another request (requirement R3).
func TestAttemptOutcomesAreProven(t *testing.T) {
	echo := func(format string) func(*http.Request) string {
		return func(r *http.Request) string {
			return fmt.Sprintf(format, HeaderRequestID+": "+r.Header.Get(HeaderRequestID))
		}
	}
	refused := answer.RanHeader + ": no\r\n"
	for name, tc := range map[string]struct {
		reply func(*http.Request) string
		want  dispatch.AttemptOutcome
	}{
		"complete":                {echo("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 2\r\n\r\nok"), dispatch.AttemptAnswered},
		"complete in chunks":      {echo("HTTP/1.1 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), dispatch.AttemptAnswered},
		"without a body":          {echo("HTTP/1.1 204 No Content\r\n%s\r\n\r\n"), dispatch.AttemptAnswered},
		"refused":                 {echo("HTTP/1.1 503 Busy\r\n%s\r\n" + refused + "Content-Length: 0\r\n\r\n"), dispatch.AttemptRefused},
		"refused without echo":    {func(*http.Request) string { return "HTTP/1.1 503 Busy\r\n" + refused + "Content-Length: 0\r\n\r\n" }, dispatch.AttemptLost},
		"two echoes":              {echo("HTTP/1.1 200 OK\r\n%[1]s\r\n%[1]s\r\nContent-Length: 2\r\n\r\nok"), dispatch.AttemptLost},
		"echo of another attempt": {echo("HTTP/1.1 200 OK\r\n%s0\r\nContent-Length: 2\r\n\r\nok"), dispatch.AttemptLost},
		"body too short":          {echo("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 3\r\n\r\nokclose"), dispatch.AttemptLost},
		"no final chunk":          {echo("HTTP/1.1 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nclose"), dispatch.AttemptLost},
		"unknown length":          {echo("HTTP/1.1 200 OK\r\n%s\r\n\r\nokclose"), dispatch.AttemptLost},
		"closed without answer":   {func(*http.Request) string { return "close" }, dispatch.AttemptLost},
		"not HTTP":                {func(*http.Request) string { return "hello\r\n\r\nclose" }, dispatch.AttemptLost},
		"answer is too large":     {echo("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 4097\r\n\r\n" + strings.Repeat("x", 4097)), dispatch.AttemptLost},
		"redirect":                {echo("HTTP/1.1 302 Found\r\n%s\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n"), dispatch.AttemptAnswered},
	} {
		t.Run(name, func(t *testing.T) {
			h := New(Config{Name: "entry-0", MaxBodyBytes: 4096})
			outcome, detail, res := sendAttemptOnce(t.Context(), h, startRawEndpoint(t, tc.reply), 1)
			assert.Equal(t, tc.want, outcome, detail)
			assert.Equal(t, tc.want == dispatch.AttemptAnswered, res != nil)
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		outcome, _, _ := sendAttemptOnce(t.Context(), New(Config{Name: "entry-0"}), unusedAddress(t), 1)
		assert.Equal(t, dispatch.AttemptNotSent, outcome)
	})
	t.Run("cancelled before it was sent", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		outcome, _, _ := sendAttemptOnce(ctx, New(Config{Name: "entry-0"}), unusedAddress(t), 1)
		assert.Equal(t, dispatch.AttemptNotSent, outcome)
	})
}

// Guards against reuse of a connection that delivered the answer to another request: the
// next answer on it would be wrong too (requirement R3).
func TestDesynchronizedConnectionIsNotReused(t *testing.T) {
	var mu sync.Mutex
	remotes := make(map[string]bool)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		remotes[r.RemoteAddr] = true
		w.Header().Set(HeaderRequestID, "another")
	}))
	defer server.Close()
	h := New(Config{Name: "entry-0"})
	for id := range uint64(3) {
		outcome, _, _ := sendAttemptOnce(t.Context(), h, server.Listener.Addr().String(), id)
		assert.Equal(t, dispatch.AttemptLost, outcome)
	}
	assert.Len(t, remotes, 3, "each attempt used a new connection")
}

// Guards against an unbounded total size of buffered bodies, and a refused request that
// does not release its reservation.
func TestBufferedBodiesAreBounded(t *testing.T) {
	h := New(Config{MaxBufferedBytes: 10})
	for _, body := range []string{strings.Repeat("x", 11), strings.Repeat("x", 100)} {
		rec := httptest.NewRecorder()
		h.serve(rec, httptest.NewRequest(http.MethodGet, "/v1/services/quotes/x", strings.NewReader(body)))
		assert.Equal(t, string(fault.Overloaded), rec.Header().Get(answer.KindHeader))
		assert.Equal(t, string(fault.RanNo), rec.Header().Get(answer.RanHeader))
	}
	assert.Zero(t, h.bufferedBytes.Load())
	assert.Zero(t, h.requests.Load())
}

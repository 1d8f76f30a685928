package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/entry"
	"laburnumdock/internal/standin"
)

// Guards against forwarding that loses or changes a part of the request.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	f := newFixture(t, fixtureConfig{endpoints: 1})
	out := f.mustDo(callerRequest{method: http.MethodPut, path: "a%2Fb//c/../?x=1&y=%20", body: "order"})
	assert.Equal(t, http.StatusOK, out.status)
	assert.Equal(t, fault.RanYes, out.ran)
	assert.Equal(t, standin.Reply{Endpoint: "quotes-0", Method: http.MethodPut, Path: "/a%2Fb//c/../", Query: "x=1&y=%20", Echo: "order"}, out.reply)
	assert.Empty(t, out.header.Get(entry.HeaderRequestID), "the attempt ID is internal to entry host and endpoint")
}

// Guards against a caller that gets an answer which is truncated, has no verifiable end
// or belongs to another request (requirement R3).
func TestInvalidAnswerNeverReachesCaller(t *testing.T) {
	for name, injected := range map[string]standin.Fault{
		"truncated body":              {TruncateBody: true},
		"body without length":         {OmitLength: true},
		"other request's answer":      {WrongRequestID: true},
		"closed before answer":        {DropConnection: true},
		"connection silent at answer": {SilentResponse: true},
	} {
		t.Run(name, func(t *testing.T) {
			control := newFakeControl(t)
			f := newFixture(t, fixtureConfig{endpoints: 1, controlReplicas: []string{control.start().url}})
			f.setFault(injected)
			id := newRequestID()
			out := f.mustDo(callerRequest{method: http.MethodPost, body: "x", nonRepeatable: true, requestID: id, deadline: 5 * time.Second})
			assert.Equal(t, fault.RanUnknown, out.ran, "a byte was sent, so the request may have run")
			assert.NotEqual(t, http.StatusOK, out.status)
			assert.Equal(t, 1, f.runs(id), "requirement R5: the request ran once")
			f.setFault(standin.Fault{})
			assert.Equal(t, "y", f.mustDo(callerRequest{method: http.MethodPut, body: "y"}).reply.Echo, "the next request gets its own answer")
		})
	}
}

// Guards against late or reordered answers that reach another caller (requirement R3).
// Half of the requests end at their deadline while their answers are in transit.
func TestLateAnswersNeverReachOtherCallers(t *testing.T) {
	f := newFixture(t, fixtureConfig{endpoints: 2, configureEndpoint: func(cfg *standin.EndpointConfig) {
		cfg.RunTime = func(kind string) time.Duration {
			if kind == "late" {
				return 60 * time.Millisecond
			}
			return time.Millisecond
		}
	}})
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for j := range 25 {
				r := callerRequest{method: http.MethodPut, path: fmt.Sprintf("%d/%d", i, j), body: fmt.Sprintf("body %d %d", i, j), workKind: "prompt"}
				if j%2 == 0 {
					r.workKind, r.deadline = "late", 55*time.Millisecond
				}
				out, err := f.do(f.hosts[0], r)
				if assert.NoError(t, err) && out.kind == "" {
					assert.Equal(t, r.body, out.reply.Echo)
					assert.Equal(t, "/"+r.path, out.reply.Path)
				}
			}
		})
	}
	wg.Wait()
}

// Guards against the reply that a request did not run when it did (requirement R4). The
// requests are refused by the endpoint, or no endpoint is left to forward them to.
func TestDidNotRunReplyIsCorrect(t *testing.T) {
	control := newFakeControl(t)
	f := newFixture(t, fixtureConfig{endpoints: 1, controlReplicas: []string{control.start().url}})
	f.setFault(standin.Fault{Refuse: true})
	id := newRequestID()
	out := f.mustDo(callerRequest{method: http.MethodPost, nonRepeatable: true, requestID: id, deadline: 300 * time.Millisecond})
	assert.Equal(t, fault.RanNo, out.ran, "refused by the endpoint: %s", out.body)
	assert.Zero(t, f.runs(id))
	f.setFault(standin.Fault{})
	out = f.mustDo(callerRequest{method: http.MethodPost, nonRepeatable: true, requestID: id})
	assert.Equal(t, http.StatusOK, out.status, "the request ID is released: %s", out.body)

	f.endpoints[0].stop()
	<-f.endpoints[0].done
	f.endpoints[0].done <- nil
	id = newRequestID()
	out = f.mustDo(callerRequest{method: http.MethodPost, nonRepeatable: true, requestID: id, deadline: 500 * time.Millisecond})
	assert.Equal(t, fault.RanNo, out.ran, "no endpoint left: %s", out.body)
	assert.Zero(t, f.runs(id))
}

// Guards against malformed requests that reach the dispatcher or an endpoint, and
// refusals without the error kind.
func TestMalformedRequestsAreRefused(t *testing.T) {
	f := newFixture(t, fixtureConfig{endpoints: 1, configureHost: func(cfg *entry.Config) { cfg.MaxBodyBytes = 1024 }})
	for name, tc := range map[string]struct {
		header, value string
		body          io.Reader
		kind          fault.Kind
	}{
		"deadline":          {entry.HeaderDeadlineMs, "soon", nil, fault.Invalid},
		"repeatable":        {entry.HeaderRepeatable, "maybe", nil, fault.Invalid},
		"priority":          {entry.HeaderPriority, "high", nil, fault.Invalid},
		"no request ID":     {entry.HeaderRepeatable, "false", nil, fault.Invalid},
		"body too large":    {"X", "x", strings.NewReader(strings.Repeat("x", 1025)), fault.TooLarge},
		"chunked too large": {"X", "x", io.MultiReader(strings.NewReader(strings.Repeat("x", 1025))), fault.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodGet, f.hosts[0].url+"/v1/services/quotes/x", tc.body)
			require.NoError(t, err)
			req.Header.Set(tc.header, tc.value)
			res, err := f.client.Do(req)
			require.NoError(t, err)
			defer res.Body.Close()
			assert.Equal(t, string(tc.kind), res.Header.Get("Laburnum-Error-Kind"))
			assert.Equal(t, string(fault.RanNo), res.Header.Get("Laburnum-Ran"))
		})
	}
	assert.Zero(t, f.totalRuns())
}

// Guards against net/http resending a request on its own when a reused connection breaks
// after the request was read (requirement R5). The raw endpoint answers the first request
// of each connection and closes the connection at the second.
func TestTransportNeverResendsRequests(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete, http.MethodPost, http.MethodPut} {
		for _, body := range []string{"", "order"} {
			t.Run(method+" "+body, func(t *testing.T) {
				control := newFakeControl(t)
				f := newFixture(t, fixtureConfig{controlReplicas: []string{control.start().url}})
				var seen atomic.Int64
				raw := listen(t)
				t.Cleanup(func() { _ = raw.Close() })
				go closeAtSecondRequest(raw, &seen)
				announceRaw(t, f, raw.Addr().String())
				f.waitForEndpoints(f.hosts[0], 1)
				f.mustDo(callerRequest{method: http.MethodPut, path: "warm", body: "{}"})
				require.EqualValues(t, 1, seen.Load())
				out, err := f.do(f.hosts[0], callerRequest{method: method, path: "once", body: body, nonRepeatable: true})
				require.NoError(t, err)
				assert.Equal(t, fault.RanUnknown, out.ran)
				assert.EqualValues(t, 2, seen.Load(), "the request was sent once")
			})
		}
	}
}

// closeAtSecondRequest accepts connections, answers the first request of each and closes
// the connection at the second. It counts the requests in seen.
func closeAtSecondRequest(l net.Listener, seen *atomic.Int64) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			buf := bufio.NewReader(conn)
			for first := true; ; first = false {
				req, err := http.ReadRequest(buf)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				seen.Add(1)
				if !first {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\n{}", entry.HeaderRequestID, req.Header.Get(entry.HeaderRequestID))
			}
		}()
	}
}

// announceRaw announces a raw endpoint to the first entry host.
func announceRaw(t *testing.T, f *fixture, address string) {
	t.Helper()
	body := fmt.Sprintf(`{"endpoint":"raw","host":"raw","service":"quotes","address":%q,"epoch":1,"incarnation":1,"sequence":1,"slots":8,"connections":64,"state":"serving"}`, address)
	res, err := http.Post(f.hosts[0].url+"/v1/announce", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, res.StatusCode)
	_ = res.Body.Close()
}

// Guards against hop-by-hop and internal headers that are forwarded, and end-to-end
// headers of callers that are lost.
func TestOnlyEndToEndHeadersAreForwarded(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	got := make(chan http.Header, 1)
	raw := listen(t)
	serveHTTP(t, raw, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Clone()
		w.Header().Set(entry.HeaderRequestID, r.Header.Get(entry.HeaderRequestID))
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.Header().Set("X-Result", "2")
		_, _ = io.WriteString(w, "{}")
	}))
	announceRaw(t, f, raw.Addr().String())
	f.waitForEndpoints(f.hosts[0], 1)
	req, err := http.NewRequest(http.MethodGet, f.hosts[0].url+"/v1/services/quotes/x", nil)
	require.NoError(t, err)
	for name, value := range map[string]string{
		"Connection": "X-Hop", "X-Hop": "1", "Te": "trailers", "Accept": "text/plain", "Authorization": "Bearer a",
		"Idempotency-Key": "k", "X-Idempotency-Key": "k", "Laburnum-Epoch": "99", "Laburnum-Caller": "showroom",
	} {
		req.Header.Set(name, value)
	}
	res, err := f.client.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	out := <-got
	for _, name := range []string{"Connection", "X-Hop", "Te", "Idempotency-Key", "X-Idempotency-Key"} {
		assert.Empty(t, out.Get(name), name)
	}
	assert.Equal(t, "text/plain", out.Get("Accept"))
	assert.Equal(t, "Bearer a", out.Get("Authorization"))
	assert.Equal(t, "1", out.Get(entry.HeaderEpoch), "the epoch of the announcement")
	assert.Equal(t, "showroom", out.Get(entry.HeaderCaller))
	assert.Equal(t, "k", out.Get(entry.HeaderCallerRequestID))
	assert.Equal(t, "127.0.0.1", out.Get("X-Forwarded-For"))
	assert.Equal(t, "2", res.Header.Get("X-Result"))
	assert.Empty(t, res.Header.Get("X-Private"))
}

package entry_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/standin"
)

// Guards against a second run, or none, when answers to records are lost and
// replicas have no leader for a while (R5).
func TestLostRecordAnswers(t *testing.T) {
	control := newFakeControl(t)
	c := newCell(t, cellConfig{endpoints: 2, control: []string{control.start().url, control.start().url}})
	for i := range 6 {
		control.with(func() { control.loseAnswers, control.loseCalls = i%3, i/3 })
		id := newRequestID()
		out := c.must(call{method: http.MethodPost, body: "x", once: true, requestID: id})
		assert.Equal(t, http.StatusOK, out.status, "%s", out.body)
		assert.Equal(t, 1, c.runs(id))
		control.with(func() {
			assert.Equal(t, pb.RequestPhase_REQUEST_PHASE_FINISHED, control.records[id].GetPhase())
		})
	}
}

// Guards against a forward without a record: when no replica takes the begin,
// the request does not run, and says so (R4).
func TestNoForwardWithoutRecord(t *testing.T) {
	control := newFakeControl(t)
	replica := control.start()
	c := newCell(t, cellConfig{endpoints: 1, control: []string{replica.url}})
	control.with(func() { control.loseCalls = 1 << 30 })
	id := newRequestID()
	out := c.must(call{method: http.MethodPost, once: true, requestID: id, deadline: 300 * time.Millisecond})
	assert.Equal(t, fault.RanNo, out.ran, "%s", out.body)
	assert.Zero(t, c.runs(id))

	// The begin takes effect, but its answers are lost until the deadline: the
	// request does not run, and its ID is free for another try.
	control.with(func() { control.loseCalls, control.loseAnswers = 0, 1<<30 })
	id = newRequestID()
	out = c.must(call{method: http.MethodPost, once: true, requestID: id, deadline: 300 * time.Millisecond})
	assert.Equal(t, fault.RanNo, out.ran, "%s", out.body)
	assert.Zero(t, c.runs(id))
	control.with(func() { control.loseAnswers = 0 })
	require.Eventually(t, func() bool {
		out, err := c.do(c.hosts[0], call{method: http.MethodPost, once: true, requestID: id})
		return err == nil && out.status == http.StatusOK
	}, patience, 20*time.Millisecond)
	assert.Equal(t, 1, c.runs(id))
}

// Guards against two runs of one request ID that callers send at the same time,
// to one entry host and to two (R5).
func TestSameRequestIDRunsOnce(t *testing.T) {
	control := newFakeControl(t)
	c := newCell(t, cellConfig{hosts: 2, endpoints: 2, control: []string{control.start().url}, endpoint: func(cfg *standin.EndpointConfig) {
		cfg.RunTime = func(string) time.Duration { return 30 * time.Millisecond }
	}})
	for range 5 {
		id := newRequestID()
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				out, err := c.do(c.hosts[i%2], call{method: http.MethodPost, body: "same", once: true, requestID: id})
				if assert.NoError(t, err) && out.kind == "" {
					assert.Equal(t, "same", out.reply.Echo)
				}
			})
		}
		wg.Wait()
		assert.Equal(t, 1, c.runs(id))
		out := c.must(call{method: http.MethodPost, body: "same", once: true, requestID: id})
		assert.Equal(t, "same", out.reply.Echo, "a repetition gets the recorded answer: %s", out.body)
		out = c.must(call{method: http.MethodPost, body: "other", once: true, requestID: id})
		assert.Equal(t, fault.RequestIDReused, out.kind)
		assert.Equal(t, 1, c.runs(id))
	}
}

// Guards against a request that never ends in the ledger because its caller
// went away while it ran.
func TestCallerGoneIsRecorded(t *testing.T) {
	control := newFakeControl(t)
	c := newCell(t, cellConfig{endpoints: 1, control: []string{control.start().url}, endpoint: func(cfg *standin.EndpointConfig) {
		cfg.RunTime = func(string) time.Duration { return 200 * time.Millisecond }
	}})
	id := newRequestID()
	c.client.Timeout = 50 * time.Millisecond
	_, err := c.do(c.hosts[0], call{method: http.MethodPost, body: "x", once: true, requestID: id})
	require.Error(t, err)
	c.client.Timeout = 0
	require.Eventually(t, func() bool {
		control.mu.Lock()
		defer control.mu.Unlock()
		return control.records[id].GetPhase() == pb.RequestPhase_REQUEST_PHASE_FINISHED
	}, patience, 5*time.Millisecond)
	require.Eventually(t, func() bool { return c.status(c.hosts[0]).Requests == 0 }, patience, 5*time.Millisecond, "no request is left behind")
}

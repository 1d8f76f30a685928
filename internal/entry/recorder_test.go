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

// Guards against a request that runs twice or not at all when answers to records are lost
// and replicas have no leader for a while (requirement R5).
func TestLostRecordAnswers(t *testing.T) {
	control := newFakeControl(t)
	f := newFixture(t, fixtureConfig{endpoints: 2, controlReplicas: []string{control.start().url, control.start().url}})
	for i := range 6 {
		control.withLock(func() { control.loseAnswers, control.loseCalls = i%3, i/3 })
		id := newRequestID()
		out := f.mustDo(callerRequest{method: http.MethodPost, body: "x", nonRepeatable: true, requestID: id})
		assert.Equal(t, http.StatusOK, out.status, "%s", out.body)
		assert.Equal(t, 1, f.runs(id))
		control.withLock(func() {
			assert.Equal(t, pb.RequestPhase_REQUEST_PHASE_FINISHED, control.records[id].GetPhase())
		})
	}
}

// Guards against a forward without a record: when no replica stores the begin, the
// request must not run, and the caller must be told so (requirement R4).
func TestNoForwardWithoutRecord(t *testing.T) {
	control := newFakeControl(t)
	replica := control.start()
	f := newFixture(t, fixtureConfig{endpoints: 1, controlReplicas: []string{replica.url}})
	control.withLock(func() { control.loseCalls = 1 << 30 })
	id := newRequestID()
	out := f.mustDo(callerRequest{method: http.MethodPost, nonRepeatable: true, requestID: id, deadline: 300 * time.Millisecond})
	assert.Equal(t, fault.RanNo, out.ran, "%s", out.body)
	assert.Zero(t, f.runs(id))

	// The begin takes effect, but its answers are lost until the deadline. The request
	// does not run, and its ID is released for another send.
	control.withLock(func() { control.loseCalls, control.loseAnswers = 0, 1<<30 })
	id = newRequestID()
	out = f.mustDo(callerRequest{method: http.MethodPost, nonRepeatable: true, requestID: id, deadline: 300 * time.Millisecond})
	assert.Equal(t, fault.RanNo, out.ran, "%s", out.body)
	assert.Zero(t, f.runs(id))
	control.withLock(func() { control.loseAnswers = 0 })
	require.Eventually(t, func() bool {
		out, err := f.do(f.hosts[0], callerRequest{method: http.MethodPost, nonRepeatable: true, requestID: id})
		return err == nil && out.status == http.StatusOK
	}, waitTimeout, 20*time.Millisecond)
	assert.Equal(t, 1, f.runs(id))
}

// Guards against a second run of a request that is sent concurrently with the same
// request ID, to the same entry host and to another (requirement R5).
func TestSameRequestIDRunsOnce(t *testing.T) {
	control := newFakeControl(t)
	f := newFixture(t, fixtureConfig{hosts: 2, endpoints: 2, controlReplicas: []string{control.start().url}, configureEndpoint: func(cfg *standin.EndpointConfig) {
		cfg.RunTime = func(string) time.Duration { return 30 * time.Millisecond }
	}})
	for range 5 {
		id := newRequestID()
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				out, err := f.do(f.hosts[i%2], callerRequest{method: http.MethodPost, body: "same", nonRepeatable: true, requestID: id})
				if assert.NoError(t, err) && out.kind == "" {
					assert.Equal(t, "same", out.reply.Echo)
				}
			})
		}
		wg.Wait()
		assert.Equal(t, 1, f.runs(id))
		out := f.mustDo(callerRequest{method: http.MethodPost, body: "same", nonRepeatable: true, requestID: id})
		assert.Equal(t, "same", out.reply.Echo, "a resend gets the recorded answer: %s", out.body)
		out = f.mustDo(callerRequest{method: http.MethodPost, body: "other", nonRepeatable: true, requestID: id})
		assert.Equal(t, fault.RequestIDReused, out.kind)
		assert.Equal(t, 1, f.runs(id))
	}
}

// Guards against a request whose end is never recorded because its caller disconnected
// while it ran.
func TestCallerGoneIsRecorded(t *testing.T) {
	control := newFakeControl(t)
	f := newFixture(t, fixtureConfig{endpoints: 1, controlReplicas: []string{control.start().url}, configureEndpoint: func(cfg *standin.EndpointConfig) {
		cfg.RunTime = func(string) time.Duration { return 200 * time.Millisecond }
	}})
	id := newRequestID()
	f.client.Timeout = 50 * time.Millisecond
	_, err := f.do(f.hosts[0], callerRequest{method: http.MethodPost, body: "x", nonRepeatable: true, requestID: id})
	require.Error(t, err)
	f.client.Timeout = 0
	require.Eventually(t, func() bool {
		control.mu.Lock()
		defer control.mu.Unlock()
		return control.records[id].GetPhase() == pb.RequestPhase_REQUEST_PHASE_FINISHED
	}, waitTimeout, 5*time.Millisecond)
	require.Eventually(t, func() bool { return f.status(f.hosts[0]).Requests == 0 }, waitTimeout, 5*time.Millisecond, "no request is left behind")
}

package entry_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/standin"
)

// Guards against requests that wait until their deadline on silent connections while new
// connections work, and against a second run of a request that must not be repeated
// (requirement R5).
func TestSilentConnectionIsReplaced(t *testing.T) {
	control := newFakeControl(t)
	f := newFixture(t, fixtureConfig{endpoints: 2, controlReplicas: []string{control.start().url}})
	for range 50 {
		f.mustDo(callerRequest{path: "warm"})
	}
	for _, e := range f.endpoints {
		e.SilenceConnections()
	}
	start := time.Now()
	id := newRequestID()
	out := f.mustDo(callerRequest{method: http.MethodPost, body: "x", nonRepeatable: true, requestID: id, deadline: waitTimeout})
	t.Logf("silent connection detected after %s", time.Since(start))
	assert.Equal(t, fault.RanUnknown, out.ran, "%s", out.body)
	assert.LessOrEqual(t, f.runs(id), 1)
	assert.Less(t, time.Since(start), waitTimeout/2, "the request ended before its deadline")
	start = time.Now()
	out = f.mustDo(callerRequest{path: "repeat", deadline: waitTimeout})
	assert.Equal(t, http.StatusOK, out.status, "retried on a new connection: %s", out.body)
	t.Logf("repeatable request answered after %s", time.Since(start))
}

// Guards against long requests that are aborted because their connection transfers no
// byte while they run.
func TestLongRequestIsNotDetectedAsSilent(t *testing.T) {
	f := newFixture(t, fixtureConfig{endpoints: 1, configureEndpoint: func(cfg *standin.EndpointConfig) {
		cfg.RunTime = func(string) time.Duration { return 3 * time.Second }
	}})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			out, err := f.do(f.hosts[0], callerRequest{method: http.MethodPut, body: "long", deadline: waitTimeout})
			if assert.NoError(t, err) {
				assert.Equal(t, "long", out.reply.Echo)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, 4, f.totalRuns(), "no attempt was retried")
}

// Guards against an attempt that is ended without proof: an endpoint that does not answer
// pings may still run the request, so the attempt continues until its deadline.
func TestUnansweredPingDoesNotEndAttempt(t *testing.T) {
	f := newFixture(t, fixtureConfig{endpoints: 1, configureEndpoint: func(cfg *standin.EndpointConfig) {
		cfg.RunTime = func(string) time.Duration { return 2500 * time.Millisecond }
	}})
	f.setFault(standin.Fault{HangPing: true})
	out := f.mustDo(callerRequest{method: http.MethodPut, body: "long", deadline: waitTimeout})
	assert.Equal(t, "long", out.reply.Echo)
	assert.Equal(t, 1, f.totalRuns())
}

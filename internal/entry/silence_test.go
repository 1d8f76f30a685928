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

// Guards against requests that wait for their deadline on connections that
// went silent while new ones work, and against a second run of a request that
// must not be repeated (R5).
func TestSilentConnectionIsReplaced(t *testing.T) {
	control := newFakeControl(t)
	c := newCell(t, cellConfig{endpoints: 2, control: []string{control.start().url}})
	for range 50 {
		c.must(call{path: "warm"})
	}
	for _, e := range c.endpoints {
		e.SilenceConnections()
	}
	start := time.Now()
	id := newRequestID()
	out := c.must(call{method: http.MethodPost, body: "x", once: true, requestID: id, deadline: patience})
	t.Logf("silence was noticed after %s", time.Since(start))
	assert.Equal(t, fault.RanUnknown, out.ran, "%s", out.body)
	assert.LessOrEqual(t, c.runs(id), 1)
	assert.Less(t, time.Since(start), patience/2, "the deadline was not awaited")
	start = time.Now()
	out = c.must(call{path: "repeat", deadline: patience})
	assert.Equal(t, http.StatusOK, out.status, "repeated on a new connection: %s", out.body)
	t.Logf("repeatable request answered after %s", time.Since(start))
}

// Guards against long work that is cut off because its connection moves no
// byte while it runs.
func TestLongWorkIsNotTakenForSilence(t *testing.T) {
	c := newCell(t, cellConfig{endpoints: 1, endpoint: func(cfg *standin.EndpointConfig) {
		cfg.RunTime = func(string) time.Duration { return 3 * time.Second }
	}})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			out, err := c.do(c.hosts[0], call{method: http.MethodPut, body: "long", deadline: patience})
			if assert.NoError(t, err) {
				assert.Equal(t, "long", out.reply.Echo)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, 4, c.totalRuns(), "no attempt was repeated")
}

// Guards against a verdict without proof: an endpoint that answers no ping may
// still run the request, so it goes on until its deadline.
func TestNoVerdictWithoutPing(t *testing.T) {
	c := newCell(t, cellConfig{endpoints: 1, endpoint: func(cfg *standin.EndpointConfig) {
		cfg.RunTime = func(string) time.Duration { return 2500 * time.Millisecond }
	}})
	c.setFault(standin.Fault{HangPing: true})
	out := c.must(call{method: http.MethodPut, body: "long", deadline: patience})
	assert.Equal(t, "long", out.reply.Echo)
	assert.Equal(t, 1, c.totalRuns())
}

package entry_test

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/entry"
	"laburnumdock/internal/standin"
)

// backgroundLoad is a set of callers that send requests one after the other.
type backgroundLoad struct {
	stopped chan struct{}
	wg      sync.WaitGroup
	// answered counts complete answers, refused the requests that did not run because
	// the host is stopping, and failed all others.
	answered, refused, failed atomic.Int64
	lastFailure               atomic.Value
}

// startLoad starts callers that send requests to the first host until stop.
func (f *fixture) startLoad(callers int) *backgroundLoad {
	l := &backgroundLoad{stopped: make(chan struct{})}
	for i := range callers {
		l.wg.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-l.stopped:
					return
				default:
				}
				l.sendOne(f, strconv.Itoa(i)+"-"+strconv.Itoa(j))
			}
		})
	}
	return l
}

// sendOne sends one request and counts its result.
func (l *backgroundLoad) sendOne(f *fixture, body string) {
	out, err := f.do(f.hosts[0], callerRequest{method: http.MethodPut, body: body})
	switch {
	case err != nil:
		l.failed.Add(1)
		l.lastFailure.Store(err.Error())
	case out.kind == "" && out.reply.Echo == body:
		l.answered.Add(1)
	case out.kind == fault.Stopping && out.ran == fault.RanNo:
		l.refused.Add(1)
	default:
		l.failed.Add(1)
		l.lastFailure.Store(string(out.body))
	}
}

func (l *backgroundLoad) stop() {
	close(l.stopped)
	l.wg.Wait()
}

// Guards against a graceful shutdown that aborts requests in flight, loses the records of
// their ends or accepts new requests (requirement R7).
func TestGracefulShutdownUnderLoad(t *testing.T) {
	control := newFakeControl(t)
	f := newFixture(t, fixtureConfig{
		endpoints: 2, controlReplicas: []string{control.start().url},
		configureHost: func(cfg *entry.Config) { cfg.BalancerDelay = 200 * time.Millisecond },
		configureEndpoint: func(cfg *standin.EndpointConfig) {
			cfg.RunTime = func(kind string) time.Duration {
				if kind == "long" {
					return time.Second
				}
				return 5 * time.Millisecond
			}
		},
	})
	load := f.startLoad(6)
	id := newRequestID()
	long := make(chan callerResult, 1)
	go func() {
		out, err := f.do(f.hosts[0], callerRequest{method: http.MethodPost, body: "long", workKind: "long", nonRepeatable: true, requestID: id})
		assert.NoError(t, err)
		long <- out
	}()
	require.Eventually(t, func() bool { return f.runs(id) == 1 }, waitTimeout, time.Millisecond)
	f.hosts[0].stop()
	require.Eventually(t, func() bool { return f.hosts[0].Ready() != nil }, waitTimeout, time.Millisecond)
	assert.Equal(t, fault.Stopping, fault.KindOf(f.hosts[0].Ready()), "the readiness check fails first")
	out := f.mustDo(callerRequest{method: http.MethodPut, body: "late"})
	assert.Equal(t, "late", out.reply.Echo, "requests are served until the load balancer has noticed")
	assert.Equal(t, "long", (<-long).reply.Echo)
	require.NoError(t, <-f.hosts[0].done)
	load.stop()
	assert.Zero(t, load.failed.Load(), "last: %v", load.lastFailure.Load())
	assert.Positive(t, load.answered.Load())
	assert.Positive(t, load.refused.Load())
	control.withLock(func() {
		assert.Equal(t, pb.RequestPhase_REQUEST_PHASE_FINISHED, control.records[id].GetPhase(), "the end was recorded")
	})
	t.Logf("%d answered, %d refused as stopping", load.answered.Load(), load.refused.Load())
}

// Guards against a host that reports ready before it has the configuration and knows
// endpoints.
func TestReadyOnlyWithConfigurationAndEndpoints(t *testing.T) {
	control := newFakeControl(t)
	replica := control.start()
	control.withLock(func() { replica.silent = true })
	f := newFixture(t, fixtureConfig{controlReplicas: []string{"http://127.0.0.1:1"}, configureHost: func(cfg *entry.Config) { cfg.SettleTime = 10 * time.Millisecond }})
	f.startEndpoint(fixtureConfig{}, 0)
	f.waitForEndpoints(f.hosts[0], 1)
	assert.Error(t, f.hosts[0].Ready(), "no control replica was reached")

	f = newFixture(t, fixtureConfig{controlReplicas: []string{replica.url}})
	assert.Error(t, f.hosts[0].Ready(), "no endpoint has announced itself")
	f.startEndpoint(fixtureConfig{}, 0)
	require.Eventually(t, func() bool { return f.hosts[0].Ready() == nil }, waitTimeout, time.Millisecond)
	res, err := http.Get(f.hosts[0].url + "/readyz")
	require.NoError(t, err)
	defer res.Body.Close()
	assert.Equal(t, http.StatusOK, res.StatusCode)
}

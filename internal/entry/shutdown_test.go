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

// load is callers that send one request after the other.
type load struct {
	stopped chan struct{}
	wg      sync.WaitGroup
	// told counts whole answers, refused those that did not run because the
	// host is stopping, and failed everything else.
	told, refused, failed atomic.Int64
	last                  atomic.Value
}

func (c *cell) startLoad(callers int) *load {
	l := &load{stopped: make(chan struct{})}
	for i := range callers {
		l.wg.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-l.stopped:
					return
				default:
				}
				l.one(c, strconv.Itoa(i)+"-"+strconv.Itoa(j))
			}
		})
	}
	return l
}

func (l *load) one(c *cell, body string) {
	out, err := c.do(c.hosts[0], call{method: http.MethodPut, body: body})
	switch {
	case err != nil:
		l.failed.Add(1)
		l.last.Store(err.Error())
	case out.kind == "" && out.reply.Echo == body:
		l.told.Add(1)
	case out.kind == fault.Stopping && out.ran == fault.RanNo:
		l.refused.Add(1)
	default:
		l.failed.Add(1)
		l.last.Store(string(out.body))
	}
}

func (l *load) stop() {
	close(l.stopped)
	l.wg.Wait()
}

// Guards against a graceful shutdown that cuts off requests in flight, loses
// the records of their ends or takes new ones (R7).
func TestShutdownUnderLoadCutsOffNothing(t *testing.T) {
	control := newFakeControl(t)
	c := newCell(t, cellConfig{
		endpoints: 2, control: []string{control.start().url},
		host: func(cfg *entry.Config) { cfg.BalancerDelay = 200 * time.Millisecond },
		endpoint: func(cfg *standin.EndpointConfig) {
			cfg.RunTime = func(kind string) time.Duration {
				if kind == "long" {
					return time.Second
				}
				return 5 * time.Millisecond
			}
		},
	})
	load := c.startLoad(6)
	id := newRequestID()
	long := make(chan told, 1)
	go func() {
		out, err := c.do(c.hosts[0], call{method: http.MethodPost, body: "long", kind: "long", once: true, requestID: id})
		assert.NoError(t, err)
		long <- out
	}()
	require.Eventually(t, func() bool { return c.runs(id) == 1 }, patience, time.Millisecond)
	c.hosts[0].stop()
	require.Eventually(t, func() bool { return c.hosts[0].Ready() != nil }, patience, time.Millisecond)
	assert.Equal(t, fault.Stopping, fault.KindOf(c.hosts[0].Ready()), "readiness fails first")
	out := c.must(call{method: http.MethodPut, body: "late"})
	assert.Equal(t, "late", out.reply.Echo, "requests are served until the balancer has noticed")
	assert.Equal(t, "long", (<-long).reply.Echo)
	require.NoError(t, <-c.hosts[0].done)
	load.stop()
	assert.Zero(t, load.failed.Load(), "last: %v", load.last.Load())
	assert.Positive(t, load.told.Load())
	assert.Positive(t, load.refused.Load())
	control.with(func() {
		assert.Equal(t, pb.RequestPhase_REQUEST_PHASE_FINISHED, control.records[id].GetPhase(), "the end was recorded")
	})
	t.Logf("%d answered, %d refused as stopping", load.told.Load(), load.refused.Load())
}

// Guards against a host that takes requests before it knows configuration and
// endpoints.
func TestReadyOnlyWithConfigurationAndEndpoints(t *testing.T) {
	control := newFakeControl(t)
	replica := control.start()
	control.with(func() { replica.mute = true })
	c := newCell(t, cellConfig{control: []string{"http://127.0.0.1:1"}, host: func(cfg *entry.Config) { cfg.SettleTime = 10 * time.Millisecond }})
	c.startEndpoint(cellConfig{}, 0)
	c.waitKnown(c.hosts[0], 1)
	assert.Error(t, c.hosts[0].Ready(), "no control replica was reached")

	c = newCell(t, cellConfig{control: []string{replica.url}})
	assert.Error(t, c.hosts[0].Ready(), "no endpoint was heard")
	c.startEndpoint(cellConfig{}, 0)
	require.Eventually(t, func() bool { return c.hosts[0].Ready() == nil }, patience, time.Millisecond)
	res, err := http.Get(c.hosts[0].url + "/readyz")
	require.NoError(t, err)
	defer res.Body.Close()
	assert.Equal(t, http.StatusOK, res.StatusCode)
}

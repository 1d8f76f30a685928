package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/entry"
)

// waitConfig waits until a value is in force on the host, and checks that the
// version never goes back on the way.
func (c *cell) waitConfig(value string) entry.ConfigStatus {
	c.t.Helper()
	var last entry.ConfigStatus
	require.Eventually(c.t, func() bool {
		s := c.status(c.hosts[0]).Configuration
		assert.GreaterOrEqual(c.t, s.Version, last.Version, "the configuration went back")
		last = s
		return s.Configs["c"]["v"] == value
	}, patience, 2*time.Millisecond, "value %s in force", value)
	return last
}

// Guards against an entry host that stays with a replica that is gone, and
// one that loses its configuration when no replica can be reached (R8).
func TestControlFailover(t *testing.T) {
	control := newFakeControl(t)
	a, b := control.start(), control.start()
	putConfig(control, "1")
	c := newCell(t, cellConfig{control: []string{a.url, b.url}})
	c.waitConfig("1")
	for _, r := range []*fakeReplica{a, b} {
		require.NoError(t, r.server.Close())
		putConfig(control, r.url)
		if r == a {
			c.waitConfig(r.url)
		}
	}
	require.Eventually(t, func() bool { return c.status(c.hosts[0]).Configuration.Replica == "" }, patience, 2*time.Millisecond)
	s := c.status(c.hosts[0]).Configuration
	assert.Equal(t, a.url, s.Configs["c"]["v"], "the last configuration stays in force")
	control.with(func() { assert.Equal(t, 1, control.lists, "the watch was resumed and not listed again") })
}

// Guards against an entry host that never hears of changes after its version
// was compacted, and against resources that were deleted meanwhile.
func TestCompactedWatchListsAgain(t *testing.T) {
	control := newFakeControl(t)
	a := control.start()
	putConfig(control, "1")
	control.put(&model.Config{Meta: model.Meta{Kind: model.KindConfig, Name: "old"}, Spec: model.ConfigSpec{Values: map[string]string{"k": "v"}}})
	c := newCell(t, cellConfig{control: []string{a.url}})
	c.waitConfig("1")
	control.with(func() {
		delete(control.objects, model.Key{Kind: model.KindConfig, Name: "old"})
		control.version += 100
		control.compacted = control.version
		control.events = nil
	})
	a.with(func() { a.mute = true })
	putConfig(control, "2")
	a.with(func() { a.mute = false })
	// The stream is cut, so that the client resumes from a version that is gone.
	a.restart()
	s := c.waitConfig("2")
	assert.NotContains(t, s.Configs, "old")
}

// Guards against a configuration that goes back because a replica that lags is
// followed after a failover (R8).
func TestLaggingReplicaIsRejected(t *testing.T) {
	control := newFakeControl(t)
	ahead, behind := control.start(), control.start()
	control.with(func() { ahead.marks, behind.marks = true, true })
	for _, v := range []string{"1", "2", "3"} {
		putConfig(control, v)
	}
	c := newCell(t, cellConfig{control: []string{ahead.url, behind.url}})
	c.waitConfig("3")
	control.with(func() { behind.limit, behind.watches = 1, 0 })
	require.NoError(t, ahead.server.Close())
	require.Eventually(t, func() bool {
		control.mu.Lock()
		defer control.mu.Unlock()
		return behind.watches > 1
	}, patience, time.Millisecond, "the replica is tried and left")
	assert.Equal(t, "3", c.waitConfig("3").Configs["c"]["v"])
	putConfig(control, "4")
	control.with(func() { behind.limit = 0 })
	c.waitConfig("4")
}

// Guards against an entry host that follows a replica which is cut off from
// the others for long: it keeps the connection and sends nothing new.
func TestReplicaCutOffIsLeft(t *testing.T) {
	control := newFakeControl(t)
	a, b := control.start(), control.start()
	putConfig(control, "1")
	c := newCell(t, cellConfig{control: []string{a.url, b.url}})
	followed := c.waitConfig("1").Replica
	control.with(func() {
		for _, r := range []*fakeReplica{a, b} {
			r.isolated = r.url == followed
			if r.isolated {
				r.limit = control.version
			}
		}
	})
	putConfig(control, "2")
	assert.NotEqual(t, followed, c.waitConfig("2").Replica)
}

// Guards against a stream that stays open but sends nothing any more, as of a
// replica that was cut off from the others.
func TestSilentStreamIsLeft(t *testing.T) {
	control := newFakeControl(t)
	a, b := control.start(), control.start()
	control.with(func() { a.marks, b.marks = true, true })
	putConfig(control, "1")
	c := newCell(t, cellConfig{control: []string{a.url, b.url}})
	followed := c.waitConfig("1").Replica
	control.with(func() {
		a.mute = followed == a.url
		b.mute = followed == b.url
	})
	putConfig(control, "2")
	s := c.waitConfig("2")
	assert.NotEqual(t, followed, s.Replica)
}

// Guards against control replicas that do not know the endpoints and the load
// of an entry host.
func TestReportsReachControl(t *testing.T) {
	control := newFakeControl(t)
	c := newCell(t, cellConfig{endpoints: 1, control: []string{control.start().url}})
	for range 3 {
		c.must(call{method: http.MethodPut, body: "x"})
	}
	arrived, endpoints := uint32(0), 0
	require.Eventually(t, func() bool {
		control.mu.Lock()
		defer control.mu.Unlock()
		arrived, endpoints = 0, 0
		for _, r := range control.reports {
			endpoints += len(r.GetEndpoints())
			for _, l := range r.GetLoads() {
				arrived += l.GetArrived()
			}
		}
		return arrived == 3
	}, patience, 10*time.Millisecond)
	assert.Equal(t, 1, endpoints, "only an endpoint that changed is sent again")
}

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

// waitConfig waits until the first host has applied a value, and checks that the version
// never decreases meanwhile.
func (f *fixture) waitConfig(value string) entry.ConfigStatus {
	f.t.Helper()
	var last entry.ConfigStatus
	require.Eventually(f.t, func() bool {
		s := f.status(f.hosts[0]).Configuration
		assert.GreaterOrEqual(f.t, s.Version, last.Version, "the configuration version decreased")
		last = s
		return s.Configs["c"]["v"] == value
	}, waitTimeout, 2*time.Millisecond, "value %s is applied", value)
	return last
}

// Guards against an entry host that does not leave a stopped replica, and one that loses
// its configuration when no replica can be reached (requirement R8).
func TestControlFailover(t *testing.T) {
	control := newFakeControl(t)
	a, b := control.start(), control.start()
	putConfig(control, "1")
	f := newFixture(t, fixtureConfig{controlReplicas: []string{a.url, b.url}})
	f.waitConfig("1")
	for _, r := range []*fakeReplica{a, b} {
		require.NoError(t, r.server.Close())
		putConfig(control, r.url)
		if r == a {
			f.waitConfig(r.url)
		}
	}
	require.Eventually(t, func() bool { return f.status(f.hosts[0]).Configuration.Replica == "" }, waitTimeout, 2*time.Millisecond)
	s := f.status(f.hosts[0]).Configuration
	assert.Equal(t, a.url, s.Configs["c"]["v"], "the last configuration is kept")
	control.withLock(func() { assert.Equal(t, 1, control.listCalls, "the watch was resumed without a new list") })
}

// Guards against an entry host that gets no changes after its version was compacted, and
// one that keeps resources which were deleted meanwhile.
func TestCompactedWatchListsAgain(t *testing.T) {
	control := newFakeControl(t)
	a := control.start()
	putConfig(control, "1")
	control.put(&model.Config{Meta: model.Meta{Kind: model.KindConfig, Name: "old"}, Spec: model.ConfigSpec{Values: map[string]string{"k": "v"}}})
	f := newFixture(t, fixtureConfig{controlReplicas: []string{a.url}})
	f.waitConfig("1")
	control.withLock(func() {
		delete(control.objects, model.Key{Kind: model.KindConfig, Name: "old"})
		control.version += 100
		control.compacted = control.version
		control.events = nil
	})
	a.withLock(func() { a.silent = true })
	putConfig(control, "2")
	a.withLock(func() { a.silent = false })
	// The restart ends the stream, so that the client resumes from a compacted version.
	a.restart()
	s := f.waitConfig("2")
	assert.NotContains(t, s.Configs, "old")
}

// Guards against a configuration that reverts to an older version because a lagging
// replica is watched after a failover (requirement R8).
func TestLaggingReplicaIsRejected(t *testing.T) {
	control := newFakeControl(t)
	ahead, behind := control.start(), control.start()
	control.withLock(func() { ahead.sendsProgressMarks, behind.sendsProgressMarks = true, true })
	for _, v := range []string{"1", "2", "3"} {
		putConfig(control, v)
	}
	f := newFixture(t, fixtureConfig{controlReplicas: []string{ahead.url, behind.url}})
	f.waitConfig("3")
	control.withLock(func() { behind.maxVisibleVersion, behind.watchCalls = 1, 0 })
	require.NoError(t, ahead.server.Close())
	require.Eventually(t, func() bool {
		control.mu.Lock()
		defer control.mu.Unlock()
		return behind.watchCalls > 1
	}, waitTimeout, time.Millisecond, "the replica is tried and abandoned")
	assert.Equal(t, "3", f.waitConfig("3").Configs["c"]["v"])
	putConfig(control, "4")
	control.withLock(func() { behind.maxVisibleVersion = 0 })
	f.waitConfig("4")
}

// Guards against an entry host that keeps watching a partitioned replica, which keeps the
// connection open and sends no changes.
func TestPartitionedReplicaIsAbandoned(t *testing.T) {
	control := newFakeControl(t)
	a, b := control.start(), control.start()
	putConfig(control, "1")
	f := newFixture(t, fixtureConfig{controlReplicas: []string{a.url, b.url}})
	watched := f.waitConfig("1").Replica
	control.withLock(func() {
		for _, r := range []*fakeReplica{a, b} {
			r.partitioned = r.url == watched
			if r.partitioned {
				r.maxVisibleVersion = control.version
			}
		}
	})
	putConfig(control, "2")
	assert.NotEqual(t, watched, f.waitConfig("2").Replica)
}

// Guards against an entry host that keeps watching a stream which stays open but no
// longer delivers messages.
func TestSilentStreamIsAbandoned(t *testing.T) {
	control := newFakeControl(t)
	a, b := control.start(), control.start()
	control.withLock(func() { a.sendsProgressMarks, b.sendsProgressMarks = true, true })
	putConfig(control, "1")
	f := newFixture(t, fixtureConfig{controlReplicas: []string{a.url, b.url}})
	watched := f.waitConfig("1").Replica
	control.withLock(func() {
		a.silent = watched == a.url
		b.silent = watched == b.url
	})
	putConfig(control, "2")
	s := f.waitConfig("2")
	assert.NotEqual(t, watched, s.Replica)
}

// Guards against control replicas that do not get the endpoints and the load of an entry
// host.
func TestReportsReachControlReplicas(t *testing.T) {
	control := newFakeControl(t)
	f := newFixture(t, fixtureConfig{endpoints: 1, controlReplicas: []string{control.start().url}})
	for range 3 {
		f.mustDo(callerRequest{method: http.MethodPut, body: "x"})
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
	}, waitTimeout, 10*time.Millisecond)
	assert.Equal(t, 1, endpoints, "an unchanged endpoint is not sent again")
}

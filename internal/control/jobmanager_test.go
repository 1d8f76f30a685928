package control

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/boottime"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
)

// fakeJobManager is a job manager that records the terms in which it led. While
// flood is set, it proposes large commands.
type fakeJobManager struct {
	mu    sync.Mutex
	terms []uint64
	// leads is set from StartLeading to StopLeading. stoppedAsLeader reports whether
	// the replica was the leader at the last StopLeading, if replica is set.
	leads           bool
	stoppedAsLeader bool
	replica         *Replica
	flood           bool
	// remaining holds for each Flush the time that was left of the lease.
	remaining []time.Duration
}

func (m *fakeJobManager) StartLeading(term uint64, _ *jobs.State, _ time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.terms = append(m.terms, term)
	m.leads = true
}

func (m *fakeJobManager) startedTerms() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]uint64(nil), m.terms...)
}

func (m *fakeJobManager) Step(time.Time) []jobs.Command {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.flood {
		return nil
	}
	return []jobs.Command{{Configure: &jobs.Config{Version: 1, Document: make([]byte, maxCommandBytes/2)}}}
}

func (m *fakeJobManager) setFlood(flood bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.flood = flood
}

func (m *fakeJobManager) Flush(_ time.Time, leaseEnd time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remaining = append(m.remaining, leaseEnd-boottime.Now())
}

func (m *fakeJobManager) flushes() []time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]time.Duration(nil), m.remaining...)
}

func (m *fakeJobManager) StopLeading() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leads = false
	m.stoppedAsLeader = m.replica != nil && m.replica.IsLeader()
}

// setReplica sets the replica whose role StopLeading records.
func (m *fakeJobManager) setReplica(r *Replica) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replica = r
}

func (m *fakeJobManager) hasStoppedAsLeader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stoppedAsLeader
}

func (m *fakeJobManager) isLeading() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leads
}

func (m *fakeJobManager) HandleEvent(any, time.Time)                          {}
func (m *fakeJobManager) HandleApplied(jobs.Command, *fault.Error, time.Time) {}

// Guards against a job manager that stops leading and leads again in the same term.
// Its orders have the fencing token of the term, so executors could not distinguish
// the earlier from the later ones, and responses to earlier orders would be taken
// for responses to later ones.
func TestJobManagerLeadsOncePerTerm(t *testing.T) {
	managers := map[uint64]*fakeJobManager{}
	c := newClusterWithConfig(t, func(cfg *Config) {
		if managers[cfg.ID] == nil {
			managers[cfg.ID] = &fakeJobManager{}
		}
		cfg.JobManager = managers[cfg.ID]
	}, 1, 2, 3)
	lead := c.leader()
	manager := managers[lead.cfg.ID]
	require.Eventually(t, func() bool { return len(manager.startedTerms()) > 0 }, testTimeout, time.Millisecond)

	// Without followers nothing is committed, so the uncommitted part of the log
	// fills up.
	for _, run := range c.replicas {
		if run != lead {
			run.faults.setPartitioned(true)
		}
	}
	manager.setFlood(true)
	require.Eventually(t, func() bool { return !lead.IsLeader() }, testTimeout, time.Millisecond)
	manager.setFlood(false)
	for _, run := range c.replicas {
		run.faults.setPartitioned(false)
	}
	c.leader()
	for id, m := range managers {
		terms := m.startedTerms()
		for i := 1; i < len(terms); i++ {
			require.Greater(t, terms[i], terms[i-1], "replica %d", id)
		}
	}
}

// Guards against orders whose permission lasts longer than the voters that confirmed
// the leader elect no other, and against a leader whose orders have no time left.
func TestFlushCarriesLeaseEnd(t *testing.T) {
	managers := map[uint64]*fakeJobManager{}
	var timeout time.Duration
	c := newClusterWithConfig(t, func(cfg *Config) {
		managers[cfg.ID] = &fakeJobManager{}
		cfg.JobManager = managers[cfg.ID]
	}, 1, 2, 3)
	lead := c.leader()
	timeout = time.Duration(lead.cfg.ElectionTicks) * lead.cfg.Tick
	manager := managers[lead.cfg.ID]
	require.Eventually(t, func() bool { return len(manager.flushes()) >= 20 }, testTimeout, time.Millisecond)
	var longest time.Duration
	for _, remaining := range manager.flushes() {
		longest = max(longest, remaining)
	}
	require.LessOrEqual(t, longest, time.Duration(leaseFraction*float64(timeout)))
	require.Positive(t, longest)
}

// transferEvent begins a leadership transfer and reports whether one began.
type transferEvent struct{ began chan bool }

func (e transferEvent) handle(l *loop) { e.began <- l.node.TransferLeadership(0) }
func (e transferEvent) refuse(error)   { e.began <- false }

// Guards against orders and replies of a leader that transfers its leadership: its
// lease is still valid when the target leads, so both would act. The other replicas
// are partitioned, so that the target is not elected and this replica does not learn
// of a later term.
func TestLeaderStopsActingWhenTransferBegins(t *testing.T) {
	managers := map[uint64]*fakeJobManager{}
	c := newClusterWithConfig(t, func(cfg *Config) {
		managers[cfg.ID] = &fakeJobManager{}
		cfg.JobManager = managers[cfg.ID]
	}, 1, 2, 3)
	lead := c.leader()
	manager := managers[lead.cfg.ID]
	require.Eventually(t, func() bool { return len(manager.flushes()) > 0 }, testTimeout, time.Millisecond)
	manager.setReplica(lead.Replica)
	for _, run := range c.replicas {
		if run != lead {
			run.faults.setPartitioned(true)
		}
	}
	began := make(chan bool, 1)
	lead.events <- transferEvent{began}
	require.True(t, <-began)
	require.Eventually(t, func() bool { return !manager.isLeading() }, testTimeout, time.Millisecond)
	require.True(t, manager.hasStoppedAsLeader())
	flushed := len(manager.flushes())
	require.Eventually(t, func() bool { return !lead.IsLeader() }, testTimeout, time.Millisecond)
	require.Len(t, manager.flushes(), flushed)
}

// sendTransferEvent begins a leadership transfer and sends its message. It reports
// whether the transfer began, and whether the job manager still led after that.
type sendTransferEvent struct{ result chan transferResult }

type transferResult struct{ began, led bool }

func (e sendTransferEvent) handle(l *loop) {
	began := l.node.TransferLeadership(0)
	l.processReady()
	e.result <- transferResult{began: began, led: l.leadership.active}
}

func (e sendTransferEvent) refuse(error) { e.result <- transferResult{} }

// Guards against orders that leave between the message that ends a leadership and the
// end of the job manager: the target may lead as soon as it has the message.
func TestJobManagerStopsBeforeTransferIsSent(t *testing.T) {
	managers := map[uint64]*fakeJobManager{}
	c := newClusterWithConfig(t, func(cfg *Config) {
		managers[cfg.ID] = &fakeJobManager{}
		cfg.JobManager = managers[cfg.ID]
	}, 1, 2, 3)
	var result transferResult
	// No transfer begins while no other replica has responded lately.
	require.Eventually(t, func() bool {
		lead := c.leader()
		if len(managers[lead.cfg.ID].flushes()) == 0 {
			return false
		}
		event := sendTransferEvent{make(chan transferResult, 1)}
		lead.events <- event
		result = <-event.result
		return result.began
	}, testTimeout, time.Millisecond)
	require.False(t, result.led)
}

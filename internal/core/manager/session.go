package manager

import (
	"time"

	"laburnumdock/internal/core/jobs"
)

// minClockRate is the lowest rate of an executor's clock. The platform states that
// a clock may be 2% slow.
const minClockRate = 0.98

// runKey identifies a run.
type runKey struct {
	task jobs.TaskRef
	run  int
}

// runState is the leader's knowledge about the order to start a run.
type runState uint8

const (
	// runProposed means that the BeginRun is not committed yet.
	runProposed runState = iota
	// runOrdered means that the start was sent and has no answer yet.
	runOrdered
	// runUncertain means that the start got no answer: the run may be active,
	// or may still start.
	runUncertain
	// runBlocked means that the start got no answer, and the executor has
	// confirmed that the run cannot start any more.
	runBlocked
	// runActive means that the run is known to have started.
	runActive
	// runInherited means that an earlier leader ordered the run.
	runInherited
	// runEnded means that the end is proposed and not committed yet.
	runEnded
)

// run is a live run and the session of its executor.
type run struct {
	key        runKey
	state      runState
	job        *job
	step       *jobs.Step
	session    *session
	allocation jobs.Resources
	// proposedAt is when this leader created the run, stateSince when the state was entered
	// and orderedAt when this leader ordered the start.
	proposedAt time.Time
	stateSince time.Time
	orderedAt  time.Time
	// checkpoint is the newest checkpoint that the executor reported.
	checkpoint string
	progress   int
	load       int64
	// progressAt is when progress last changed, and activeSince when an
	// executor first listed the run.
	progressAt  time.Time
	activeSince time.Time
	// pace is the pace in percent that was last ordered. pacePending is set
	// while that order has no answer.
	pace        int
	pacePending bool
	// stopWanted is set when the run is to be stopped. stopPending is set while
	// the order has no answer, and nextStop is the earliest time for the next
	// one.
	stopWanted  bool
	stopPending bool
	nextStop    time.Time
	// suspect is set when the task may crash the executors that start it, and
	// provingTime is the time after its start at which the run must be listed.
	suspect     bool
	provingTime time.Duration
	// startedBy is the time by which the run had started as far as known, and
	// listedAt when the incarnation of the session last listed it.
	startedBy time.Time
	listedAt  time.Time
	// startBroken is set when the connection broke before the start was answered.
	startBroken bool
	// proven is set when the executor has listed the run some time after its start.
	proven bool
	// isResumed is set when the run was started from a checkpoint, and isDisturbed when
	// its time from the order to the reported end is not that of the work: it was paced
	// down, or its executor did not answer for a while.
	isResumed, isDisturbed bool
}

// session is the leader's view of one executor incarnation. The manager owns
// it. Invariants: allocated is the sum of the allocations of runs; leaseEnd is
// the latest lease end that was ever sent, on the executor's clock; no run is
// started before confirmed is set, which means that the executor has seen this
// leader's token.
type session struct {
	rec       *jobs.Executor
	runs      map[runKey]*run
	allocated jobs.Resources
	// longRunning counts the runs of long-running steps, and stopping those
	// that are to be stopped.
	longRunning int
	stopping    int
	// unproven counts the runs that have not proved themselves, and suspects those
	// of them whose task is suspect.
	unproven int
	suspects int
	// foreign is the allocation of listed runs that the leader has no record of.
	foreign jobs.Resources
	// foreignTasks are those of these runs that count for their tenants.
	foreignTasks []foreignTask

	confirmed   bool
	confirmedAt time.Time
	// hasListedAll is set when the incarnation has answered this leader with a complete
	// list of its ends.
	hasListedAll bool
	draining     bool
	// ended is set when the incarnation has certainly ended; cause says how.
	ended bool
	cause endCause
	// lapsed are the runs that have lapsed because the executor fell silent, as far as
	// their tasks may have crashed it.
	lapsed []lapsedRun
	// clock is the executor's clock in milliseconds. It was read at clockReadAt
	// or before.
	clock       int64
	clockReadAt time.Time
	leaseEnd    int64
	// leaseExpiry caches the result of leaseExpiresAt, or is zero if that may
	// have changed.
	leaseExpiry time.Time
	// knownSince is when this leader created the session, and lastHeardAt when
	// an answer or a report last arrived.
	knownSince  time.Time
	lastHeardAt time.Time
	// lastAnswerAt is when an answer to a call last arrived.
	lastAnswerAt time.Time
	// sequence is the sequence number of the newest report of this incarnation, which
	// arrived at reportedAt.
	sequence   int64
	reportedAt time.Time
	// describedAt is when this leader last knew from a report that the record describes
	// the executor.
	describedAt time.Time

	holdPending bool
	holdSentAt  time.Time
	nextHold    time.Time
	// failures counts the unanswered calls in a row, and failingSince is when the first
	// of them failed. rackLost is set when the whole rack fell silent with it.
	failures     int
	failingSince time.Time
	rackLost     bool
	// proposedEnd is the number of the newest end whose record was proposed.
	proposedEnd int64

	// orphanStops holds the earliest time for the next stop of each orphaned
	// run.
	orphanStops map[runKey]time.Time
	health      health
	pacer       pacer
	// reservedFor is the planned action that waits until the executor has no
	// runs.
	reservedFor plannedAction
}

// readClock stores a reading of the executor's clock.
func (s *session) readClock(clock int64, at time.Time) {
	if clock <= 0 || at.Before(s.clockReadAt) {
		return
	}
	s.clock, s.clockReadAt = clock, at
	s.leaseExpiry = time.Time{}
}

// clockAt returns a lower bound of the executor's clock at the given time.
func (s *session) clockAt(now time.Time) int64 {
	return s.clock + int64(float64(now.Sub(s.clockReadAt).Milliseconds())*minClockRate)
}

// grantLease returns the end of a lease that begins now, on the executor's
// clock, and stores it. It returns 0 if the clock was never read.
func (s *session) grantLease(now time.Time, length time.Duration) int64 {
	if s.clockReadAt.IsZero() {
		return 0
	}
	leaseEnd := s.clockAt(now) + length.Milliseconds()
	if leaseEnd > s.leaseEnd {
		s.leaseEnd, s.leaseExpiry = leaseEnd, time.Time{}
	}
	return leaseEnd
}

// isLeaseExpired reports whether every lease of the incarnation has certainly
// expired.
func (s *session) isLeaseExpired(maxLease time.Duration, now time.Time) bool {
	if s.leaseExpiry.IsZero() {
		s.leaseExpiry = s.leaseExpiresAt(maxLease)
	}
	return !now.Before(s.leaseExpiry)
}

// confirm records that the executor has seen this leader's token.
func (s *session) confirm(now time.Time) {
	s.confirmed, s.confirmedAt, s.leaseExpiry = true, now, time.Time{}
}

// leaseExpiresAt returns the time by which every lease of the incarnation has
// certainly expired. Until it has seen this leader's token, the incarnation takes
// leases from orders of other leaders and from those for the incarnation before it,
// which are times on another clock. It shortens them to maxLease.
func (s *session) leaseExpiresAt(maxLease time.Duration) time.Time {
	inherited := s.knownSince
	if s.confirmed {
		inherited = s.confirmedAt
	}
	inherited = inherited.Add(time.Duration(float64(maxLease) / minClockRate))
	if s.leaseEnd == 0 || s.clockReadAt.IsZero() {
		return inherited
	}
	remaining := time.Duration(float64(s.leaseEnd-s.clock)/minClockRate) * time.Millisecond
	if granted := s.clockReadAt.Add(remaining); granted.After(inherited) {
		return granted
	}
	return inherited
}

// maxReportAge is the number of report intervals for which a report shows the
// capacity of an executor that does not guard it. One report may be lost.
const maxReportAge = 2

// knowsCapacity reports whether the capacity of an executor is known well enough for
// a start. A capacity may shrink at any time, and an executor that does not guard it
// starts whatever it is told to.
func (m *Manager) knowsCapacity(s *session, now time.Time) bool {
	if !m.isUnguarded(s) {
		return true
	}
	return !s.describedAt.IsZero() && now.Sub(s.describedAt) <= maxReportAge*m.cfg.ReportInterval
}

// isUnguarded reports whether the executor starts what exceeds its capacity.
func (m *Manager) isUnguarded(s *session) bool {
	c := m.state.Config()
	if c == nil {
		return false
	}
	p := c.Pool(s.rec.Pool)
	return p != nil && !p.EnforcesCapacity
}

// free returns the capacity that no run has allocated. It is negative after the
// capacity has shrunk below what the runs have allocated.
func (s *session) free() jobs.Resources {
	return s.rec.Capacity.Minus(s.allocated).Minus(s.foreign)
}

// longRunningAllocation returns the capacity that long-running tasks have allocated.
func (s *session) longRunningAllocation() jobs.Resources {
	var sum jobs.Resources
	if s.longRunning == 0 {
		return sum
	}
	for _, r := range s.runs {
		if r.step.LongRunning {
			sum = sum.Plus(r.allocation)
		}
	}
	return sum
}

func (s *session) add(r *run) {
	s.runs[r.key] = r
	s.allocated = s.allocated.Plus(r.allocation)
	s.countRun(r, 1)
}

func (s *session) countRun(r *run, by int) {
	if r.step.LongRunning {
		s.longRunning += by
	}
	if r.stopWanted {
		s.stopping += by
	}
	if !r.proven {
		s.unproven += by
		if r.suspect {
			s.suspects += by
		}
	}
}

func (s *session) remove(r *run) {
	if s.runs[r.key] == r {
		delete(s.runs, r.key)
		s.allocated = s.allocated.Minus(r.allocation)
		s.countRun(r, -1)
	}
}

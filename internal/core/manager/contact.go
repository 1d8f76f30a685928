package manager

import (
	"time"

	"laburnumdock/internal/core/jobs"
)

// clockRate is the slowest rate of an executor's clock. The platform states
// that a clock may be 2% slow.
const clockRate = 0.98

// runKey names one run.
type runKey struct {
	task jobs.TaskRef
	run  int
}

// runState is what the leader knows of a run's order.
type runState uint8

const (
	// runProposed waits for its Begin to be recorded.
	runProposed runState = iota
	// runOrdered waits for the executor's answer.
	runOrdered
	// runDoubtful got no answer: it may run, or start yet.
	runUncertain
	// runBlocked is doubtful, and the executor has confirmed that it cannot
	// start any more.
	runBlocked
	// runWorking is known to have started.
	runActive
	// runInherited was ordered by an earlier leader.
	runInherited
	// runEnded waits for its end to be recorded.
	runEnded
)

// run is one live run and its place.
type run struct {
	key        runKey
	state      runState
	job        *job
	step       *jobs.Step
	session    *session
	allocation jobs.Resources
	// since is when the state was entered, and orderedAt when this leader
	// ordered the start.
	stateSince time.Time
	orderedAt  time.Time
	// saved is the newest checkpoint that the executor reported.
	checkpoint string
	progress   int
	load       int64
	// progressAt is when percent last changed, and began when the run was first
	// seen at work.
	progressAt  time.Time
	activeSince time.Time
	// pace is the share in percent that was last ordered; paceCall tells that
	// an order is on its way.
	pace        int
	pacePending bool
	// stop tells that the run is to end, and stopCall that the order is on its
	// way.
	stopWanted  bool
	stopPending bool
	nextStop    time.Time
}

// contact is the leader's view of one executor life. The manager owns it.
// Invariants: used is the sum of the room of runs; lease is the latest end of a
// lease that was ever sent, on the executor's clock; no run is started before
// confirmed, which says that the executor has seen this leader's token.
type session struct {
	rec       *jobs.Executor
	runs      map[runKey]*run
	allocated jobs.Resources
	// lasting and stopping count the runs of lasting steps and those to end.
	longRunning int
	stopping    int

	confirmed bool
	draining  bool
	// over tells that this life has certainly ended.
	ended bool
	// clock is the executor's clock, in milliseconds, at clockAt or before.
	clock       int64
	clockReadAt time.Time
	leaseEnd    int64
	// lapses is what lapsesAt returned last, or zero if that may have changed.
	leaseExpiry time.Time
	// knownSince is when this leader began to keep the contact, and heardAt when
	// an answer or a report last came.
	knownSince  time.Time
	lastHeardAt time.Time
	// sequence orders the reports of this life.
	sequence int64

	holdPending bool
	holdSentAt  time.Time
	nextHold    time.Time
	// failures counts calls without an answer in a row.
	failures int
	// proposedEnd is the newest end whose record was proposed.
	proposedEnd int64

	orphanStops map[runKey]time.Time
	health      health
	pacer       pacer
	// reserved names the planned action that waits for the executor to become
	// empty.
	reservedFor plannedAction
}

// mark takes a reading of the executor's clock.
func (s *session) readClock(clock int64, at time.Time) {
	if clock <= 0 || at.Before(s.clockReadAt) {
		return
	}
	s.clock, s.clockReadAt = clock, at
	s.leaseExpiry = time.Time{}
}

// clockNow is what the executor's clock shows at least.
func (s *session) clockAt(now time.Time) int64 {
	return s.clock + int64(float64(now.Sub(s.clockReadAt).Milliseconds())*clockRate)
}

// leaseFor returns the end of a lease that begins now, on the executor's clock,
// and remembers it. Without a reading of the clock it is 0.
func (s *session) grantLease(now time.Time, length time.Duration) int64 {
	if s.clockReadAt.IsZero() {
		return 0
	}
	until := s.clockAt(now) + length.Milliseconds()
	if until > s.leaseEnd {
		s.leaseEnd, s.leaseExpiry = until, time.Time{}
	}
	return until
}

// hasLapsed tells whether every lease that was granted here has certainly ended.
func (s *session) isLeaseExpired(longest time.Duration, now time.Time) bool {
	if s.leaseExpiry.IsZero() {
		s.leaseExpiry = s.leaseExpiresAt(longest)
	}
	return !now.Before(s.leaseExpiry)
}

// confirm notes that the executor has seen this leader's token.
func (s *session) confirm() { s.confirmed, s.leaseExpiry = true, time.Time{} }

// lapsesAt is when every lease that was granted here has certainly ended. A
// leader that has sent none waits out those that others may have sent before it
// knew the life.
func (s *session) leaseExpiresAt(longest time.Duration) time.Time {
	inherited := s.knownSince.Add(time.Duration(float64(longest) / clockRate))
	if s.leaseEnd == 0 || s.clockReadAt.IsZero() {
		return inherited
	}
	left := time.Duration(float64(s.leaseEnd-s.clock)/clockRate) * time.Millisecond
	own := s.clockReadAt.Add(left)
	if !s.confirmed && own.Before(inherited) {
		return inherited
	}
	return own
}

// isUsable tells whether new runs may be placed here.
func (s *session) isSchedulable(now time.Time) bool {
	return s.confirmed && !s.draining && !s.ended && s.failures == 0 && s.reservedFor == actionNone && s.health.isTrusted(now)
}

// free is the room that no run takes.
func (s *session) free() jobs.Resources { return s.rec.Capacity.Minus(s.allocated) }

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
}

func (s *session) remove(r *run) {
	if s.runs[r.key] == r {
		delete(s.runs, r.key)
		s.allocated = s.allocated.Minus(r.allocation)
		s.countRun(r, -1)
	}
}

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
	runDoubtful
	// runBlocked is doubtful, and the executor has confirmed that it cannot
	// start any more.
	runBlocked
	// runWorking is known to have started.
	runWorking
	// runInherited was ordered by an earlier leader.
	runInherited
	// runEnded waits for its end to be recorded.
	runEnded
)

// run is one live run and its place.
type run struct {
	key   runKey
	state runState
	job   *job
	step  *jobs.Step
	at    *contact
	room  jobs.Resources
	// since is when the state was entered, and orderedAt when this leader
	// ordered the start.
	since     time.Time
	orderedAt time.Time
	// saved is the newest checkpoint that the executor reported.
	saved   string
	percent int
	load    int64
	// progressAt is when percent last changed, and began when the run was first
	// seen at work.
	progressAt time.Time
	began      time.Time
	// pace is the share in percent that was last ordered; paceCall tells that
	// an order is on its way.
	pace     int
	paceCall bool
	// stop tells that the run is to end, and stopCall that the order is on its
	// way.
	stop      bool
	stopCall  bool
	stopAgain time.Time
}

// contact is the leader's view of one executor life. The manager owns it.
// Invariants: used is the sum of the room of runs; lease is the latest end of a
// lease that was ever sent, on the executor's clock; no run is started before
// confirmed, which says that the executor has seen this leader's token.
type contact struct {
	ex   *jobs.Executor
	runs map[runKey]*run
	used jobs.Resources
	// lasting and stopping count the runs of lasting steps and those to end.
	lasting  int
	stopping int

	confirmed bool
	draining  bool
	// over tells that this life has certainly ended.
	over bool
	// clock is the executor's clock, in milliseconds, at clockAt or before.
	clock   int64
	clockAt time.Time
	lease   int64
	// lapses is what lapsesAt returned last, or zero if that may have changed.
	lapses time.Time
	// knownSince is when this leader began to keep the contact, and heardAt when
	// an answer or a report last came.
	knownSince time.Time
	heardAt    time.Time
	// sequence orders the reports of this life.
	sequence int64

	holding  bool
	holdAt   time.Time
	nextHold time.Time
	// failures counts calls without an answer in a row.
	failures int
	// proposedEnd is the newest end whose record was proposed.
	proposedEnd int64

	strays map[runKey]time.Time
	health health
	tails  tailWatch
	// reserved names the planned action that waits for the executor to become
	// empty.
	reserved plan
}

// mark takes a reading of the executor's clock.
func (c *contact) mark(clock int64, at time.Time) {
	if clock <= 0 || at.Before(c.clockAt) {
		return
	}
	c.clock, c.clockAt = clock, at
	c.lapses = time.Time{}
}

// clockNow is what the executor's clock shows at least.
func (c *contact) clockNow(now time.Time) int64 {
	return c.clock + int64(float64(now.Sub(c.clockAt).Milliseconds())*clockRate)
}

// leaseFor returns the end of a lease that begins now, on the executor's clock,
// and remembers it. Without a reading of the clock it is 0.
func (c *contact) leaseFor(now time.Time, length time.Duration) int64 {
	if c.clockAt.IsZero() {
		return 0
	}
	until := c.clockNow(now) + length.Milliseconds()
	if until > c.lease {
		c.lease, c.lapses = until, time.Time{}
	}
	return until
}

// hasLapsed tells whether every lease that was granted here has certainly ended.
func (c *contact) hasLapsed(longest time.Duration, now time.Time) bool {
	if c.lapses.IsZero() {
		c.lapses = c.lapsesAt(longest)
	}
	return !now.Before(c.lapses)
}

// confirm notes that the executor has seen this leader's token.
func (c *contact) confirm() { c.confirmed, c.lapses = true, time.Time{} }

// lapsesAt is when every lease that was granted here has certainly ended. A
// leader that has sent none waits out those that others may have sent before it
// knew the life.
func (c *contact) lapsesAt(longest time.Duration) time.Time {
	inherited := c.knownSince.Add(time.Duration(float64(longest) / clockRate))
	if c.lease == 0 || c.clockAt.IsZero() {
		return inherited
	}
	left := time.Duration(float64(c.lease-c.clock)/clockRate) * time.Millisecond
	own := c.clockAt.Add(left)
	if !c.confirmed && own.Before(inherited) {
		return inherited
	}
	return own
}

// isUsable tells whether new runs may be placed here.
func (c *contact) isUsable(now time.Time) bool {
	return c.confirmed && !c.draining && !c.over && c.failures == 0 && c.reserved == planNone && c.health.isTrusted(now)
}

// free is the room that no run takes.
func (c *contact) free() jobs.Resources { return c.ex.Capacity.Minus(c.used) }

func (c *contact) add(r *run) {
	c.runs[r.key] = r
	c.used = c.used.Plus(r.room)
	c.count(r, 1)
}

func (c *contact) count(r *run, by int) {
	if r.step.LongRunning {
		c.lasting += by
	}
	if r.stop {
		c.stopping += by
	}
}

func (c *contact) remove(r *run) {
	if c.runs[r.key] == r {
		delete(c.runs, r.key)
		c.used = c.used.Minus(r.room)
		c.count(r, -1)
	}
}

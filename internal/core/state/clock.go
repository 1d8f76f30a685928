package state

import "time"

// Clock gives a leader the time for its commands. It starts from the wall clock
// and then goes on by elapsed monotonic time, so a wall clock that jumps changes
// nothing: if replicated time followed a jump back, it would stand still and
// health reports would not age. It never falls behind the replicated time.
type Clock struct {
	base        time.Time
	baseElapsed time.Duration
}

// NewClock returns a clock that shows wall when no time has elapsed.
func NewClock(wall time.Time) Clock { return Clock{base: wall.Round(0).UTC()} }

// Now returns the time after elapsed monotonic time.
func (c Clock) Now(elapsed time.Duration) time.Time { return c.base.Add(elapsed - c.baseElapsed) }

// Follow returns the clock after the replicated time was seen.
func (c Clock) AdvanceTo(replicated time.Time, elapsed time.Duration) Clock {
	if replicated.After(c.Now(elapsed)) {
		return Clock{base: replicated, baseElapsed: elapsed}
	}
	return c
}

package state

import "time"

// Clock provides the time for a leader's commands. It starts at the wall-clock
// time and advances by elapsed monotonic time, so that later changes of the wall
// clock have no effect: a wall clock set back would stop the replicated time,
// and health reports would not age. AdvanceTo keeps the clock from falling
// behind the replicated time.
type Clock struct {
	// base is the time of the clock at baseElapsed.
	base        time.Time
	baseElapsed time.Duration
}

// NewClock returns a clock with the time wall at elapsed time 0.
func NewClock(wall time.Time) Clock { return Clock{base: wall.Round(0).UTC()} }

// Now returns the time of the clock at the elapsed monotonic time.
func (c Clock) Now(elapsed time.Duration) time.Time { return c.base.Add(elapsed - c.baseElapsed) }

// AdvanceTo returns a clock that is at least at the replicated time at the
// elapsed monotonic time.
func (c Clock) AdvanceTo(replicated time.Time, elapsed time.Duration) Clock {
	if replicated.After(c.Now(elapsed)) {
		return Clock{base: replicated, baseElapsed: elapsed}
	}
	return c
}

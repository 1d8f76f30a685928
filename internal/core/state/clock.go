package state

import "time"

// Clock gives a leader the time for its commands. It starts from the wall clock
// and then goes on by elapsed monotonic time, so a wall clock that jumps changes
// nothing: if replicated time followed a jump back, it would stand still and
// health reports would not age. It never falls behind the replicated time.
type Clock struct {
	time time.Time
	at   time.Duration
}

// NewClock returns a clock that shows wall when no time has elapsed.
func NewClock(wall time.Time) Clock { return Clock{time: wall.Round(0).UTC()} }

// Now returns the time after elapsed monotonic time.
func (c Clock) Now(elapsed time.Duration) time.Time { return c.time.Add(elapsed - c.at) }

// Follow returns the clock after the replicated time was seen.
func (c Clock) AdvanceTo(replicated time.Time, elapsed time.Duration) Clock {
	if replicated.After(c.Now(elapsed)) {
		return Clock{time: replicated, at: elapsed}
	}
	return c
}

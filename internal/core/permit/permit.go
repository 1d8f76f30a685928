// Package permit decides whether an order of the leader may still be sent. The
// leader gives its orders under a permission that ends before another leader can be
// elected. All times are times since the boot of one host, including time in
// suspension.
package permit

import "time"

// maxDrift is the largest difference in speed between the clocks of two hosts that
// is allowed for, as a fraction.
const maxDrift = 0.02

// IsValid reports whether an order whose permission ends at end may be sent at now.
// An order without a permission, whose end is 0, is never sent.
func IsValid(end, now time.Duration) bool { return now < end }

// ClockSample relates the clock of another host to the clock of this one. The zero
// value relates nothing.
type ClockSample struct {
	// Remote is a reading of the other host's clock. The reading was taken at or
	// before ReceivedAt, a time on the clock of this host.
	Remote     time.Duration
	ReceivedAt time.Duration
}

// EndAtRemote converts end to the other host's clock. The result is never late: at
// ReceivedAt the other clock had reached Remote or more, however long the reading was
// on its way, and it may run faster. It returns 0 if s is zero.
func (s ClockSample) EndAtRemote(end time.Duration) time.Duration {
	if s == (ClockSample{}) {
		return 0
	}
	remaining := end - s.ReceivedAt
	if remaining > 0 {
		remaining -= time.Duration(maxDrift * float64(remaining))
	}
	return max(s.Remote+remaining, 0)
}

// Better returns the one of two samples of the same clock that allows more time
// until end. Both are safe; the reading of one was on its way for a shorter time, or
// is newer.
func Better(a, b ClockSample, end time.Duration) ClockSample {
	if a.EndAtRemote(end) > b.EndAtRemote(end) {
		return a
	}
	return b
}

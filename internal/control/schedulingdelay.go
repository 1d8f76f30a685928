package control

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// delaySampleInterval is the time between two measurements.
	delaySampleInterval = 100 * time.Millisecond
	// delayDecayFactor multiplies the peak at each measurement, so that a delay
	// has little effect after about a second.
	delayDecayFactor = 0.8
)

// schedulingDelay measures how late goroutines of this process wake up. In a
// process that gets too little processor time every wait takes longer, including
// the wait for a sync of the disk. It is safe for concurrent reads.
type schedulingDelay struct{ peak atomic.Int64 }

func (d *schedulingDelay) run(ctx context.Context) {
	timer := time.NewTimer(delaySampleInterval)
	defer timer.Stop()
	for {
		start := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		d.record(time.Since(start) - delaySampleInterval)
		timer.Reset(delaySampleInterval)
	}
}

func (d *schedulingDelay) record(delay time.Duration) {
	d.peak.Store(max(int64(delay), int64(delayDecayFactor*float64(d.peak.Load()))))
}

// recent returns the decaying peak of the delays of about the last second.
func (d *schedulingDelay) recent() time.Duration { return time.Duration(d.peak.Load()) }

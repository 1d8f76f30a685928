package control

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// lagEvery is the time between two measurements of the lag.
	lagEvery = 100 * time.Millisecond
	// lagDecay is what is left of the worst lag after each measurement, so that
	// one is forgotten after about a second.
	lagDecay = 0.8
)

// lagMeter measures how late goroutines of this process wake up. A process that
// gets too little processor time sees every wait as long, the one for its disk as
// well. Any goroutine may read it.
type lagMeter struct{ worst atomic.Int64 }

func (m *lagMeter) run(ctx context.Context) {
	timer := time.NewTimer(lagEvery)
	defer timer.Stop()
	for {
		began := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		m.take(time.Since(began) - lagEvery)
		timer.Reset(lagEvery)
	}
}

func (m *lagMeter) take(late time.Duration) {
	m.worst.Store(max(int64(late), int64(lagDecay*float64(m.worst.Load()))))
}

// recent is the worst lag of about the last second.
func (m *lagMeter) recent() time.Duration { return time.Duration(m.worst.Load()) }

package entry

import (
	"context"
	"time"

	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/logevent"
)

// shutdown stops accepting requests and waits for those in flight. First the readiness
// check fails; requests are still served for BalancerDelay, until the load balancer has
// noticed. Then new requests are refused, those in flight finish, and the records of
// their ends are sent.
func (h *Host) shutdown(ctx context.Context) {
	h.stopping.Store(true)
	h.cfg.Log.Log(logevent.ProcessStopping, nil)
	sleep(ctx, h.cfg.BalancerDelay)
	h.queue.post(&stopMessage{})
	ctx, cancel := context.WithTimeout(ctx, h.cfg.DrainTimeout)
	defer cancel()
	select {
	case <-h.loop.drained:
	case <-ctx.Done():
	}
	h.recorder.drain(ctx)
	h.cfg.Log.Log(logevent.ProcessStopped, logevent.Fields{"unfinished": h.requests.Load(), "seconds": time.Since(h.started).Seconds()})
}

// stopMessage makes the control loop refuse new requests.
type stopMessage struct{}

func (m *stopMessage) handle(l *loop) {
	l.stopping = true
	l.step(dispatch.StopRequested{})
	l.signalDrained()
}

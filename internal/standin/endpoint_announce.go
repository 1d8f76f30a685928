package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"laburnumdock/internal/entry"
)

// announceTimeout bounds one announcement to one entry host.
const announceTimeout = 400 * time.Millisecond

// announceAll announces at every interval, and at once when the endpoint
// starts to leave. An entry host that does not answer delays no other: each
// has its own goroutine, which skips what it could not send in time.
func (e *Endpoint) announceAll(ctx context.Context, leave <-chan struct{}) {
	var senders sync.WaitGroup
	var latest []chan entry.Announcement
	client := &http.Client{Timeout: announceTimeout}
	for _, base := range e.cfg.EntryHosts {
		next := make(chan entry.Announcement, 1)
		latest = append(latest, next)
		senders.Go(func() {
			for a := range next {
				// An entry host that does not answer is tried again with the
				// next announcement.
				_, _ = sling.New().Client(client).Base(base).Post("/v1/announce").BodyJSON(a).ReceiveSuccess(nil)
			}
		})
	}
	ticker := time.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	for running := true; running; {
		e.offer(latest)
		select {
		case <-ticker.C:
		case <-leave:
			leave = nil
		case <-ctx.Done():
			running = false
		}
	}
	for _, next := range latest {
		close(next)
	}
	senders.Wait()
	client.CloseIdleConnections()
}

// offer gives the newest announcement to each sender that is not busy. All
// entry hosts get the same sequence number.
func (e *Endpoint) offer(latest []chan entry.Announcement) {
	a := e.cfg.Announcement
	a.Sequence = e.sequence.Add(1)
	a.State = entry.StateServing
	if e.leaving.Load() {
		a.State = entry.StateLeaving
	}
	for _, next := range latest {
		select {
		case <-next:
		default:
		}
		next <- a
	}
}

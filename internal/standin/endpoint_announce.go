package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"laburnumdock/internal/entry"
)

// announceTimeout bounds one announcement request to one entry host.
const announceTimeout = 400 * time.Millisecond

// announceAll announces to all entry hosts at every AnnounceInterval until ctx
// ends, and immediately when leave is closed. Each entry host has a goroutine of
// its own, so one that doesn't respond delays no other; a goroutine that lags
// skips to the newest announcement.
func (e *Endpoint) announceAll(ctx context.Context, leave <-chan struct{}) {
	var senders sync.WaitGroup
	var pending []chan entry.Announcement
	client := &http.Client{Timeout: announceTimeout}
	for _, base := range e.cfg.EntryHosts {
		queue := make(chan entry.Announcement, 1)
		pending = append(pending, queue)
		senders.Go(func() {
			for a := range queue {
				// A failed announcement is superseded by the next one.
				_, _ = sling.New().Client(client).Base(base).Post("/v1/announce").BodyJSON(a).ReceiveSuccess(nil)
			}
		})
	}
	ticker := time.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	for running := true; running; {
		e.offer(pending)
		select {
		case <-ticker.C:
		case <-leave:
			leave = nil
		case <-ctx.Done():
			running = false
		}
	}
	for _, queue := range pending {
		close(queue)
	}
	senders.Wait()
	client.CloseIdleConnections()
}

// offer replaces the announcement that waits in each queue with a new one. All
// entry hosts get the same sequence number.
func (e *Endpoint) offer(pending []chan entry.Announcement) {
	a := e.cfg.Announcement
	a.Sequence = e.sequence.Add(1)
	a.State = entry.StateServing
	if e.leaving.Load() {
		a.State = entry.StateLeaving
	}
	for _, queue := range pending {
		select {
		case <-queue:
		default:
		}
		queue <- a
	}
}

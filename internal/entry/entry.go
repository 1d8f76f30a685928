// Package entry runs an entry host. One goroutine, the control loop, owns the
// dispatcher; traffic goroutines send it events and carry out its effects.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/logevent"
)

// tickInterval is the resolution of leases and deadlines in the dispatcher.
const tickInterval = 100 * time.Millisecond

// Config is what an entry host needs.
type Config struct {
	Name string
	// QueueLength bounds the events that wait for the control loop.
	QueueLength  int
	MaxBodyBytes int64
	// DefaultDeadline holds for requests without one.
	DefaultDeadline time.Duration
	Log             *logevent.Logger
}

// Host is one entry host.
type Host struct {
	cfg    Config
	queue  chan message
	nextID atomic.Uint64
	client *http.Client
	// waiting holds the reply channel of each request; the control loop owns it.
	waiting    map[uint64]chan dispatch.Effect
	dispatcher *dispatch.Dispatcher
}

// message is an event for the control loop; reply is set for an Arrive.
type message struct {
	event  dispatch.Event
	reply  chan dispatch.Effect
	result chan *fault.Error
}

// New returns an entry host that is not running yet.
func New(cfg Config) *Host {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = maxIdlePerEndpoint
	return &Host{
		cfg: cfg, queue: make(chan message, cfg.QueueLength), client: &http.Client{Transport: transport},
		waiting: make(map[uint64]chan dispatch.Effect), dispatcher: dispatch.New(),
	}
}

// maxIdlePerEndpoint is the number of connections that an executor allows.
const maxIdlePerEndpoint = 64

// Run is the control loop. It returns when ctx ends.
func (h *Host) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			h.deliver(h.dispatcher.Step(time.Now(), dispatch.Ticked{}))
		case m := <-h.queue:
			h.handle(m)
		}
	}
}

func (h *Host) handle(m message) {
	switch e := m.event.(type) {
	case dispatch.Arrive:
		h.waiting[e.Request.ID] = m.reply
	case dispatch.Gone:
		delete(h.waiting, e.ID)
	case dispatch.Announced:
		_, err := h.dispatcher.Directory.Merge(e.Announcement)
		m.result <- err
		return
	}
	h.deliver(h.dispatcher.Step(time.Now(), m.event))
}

// deliver hands effects to the traffic goroutines. A reply channel has room
// for every effect of its request, so this never blocks.
func (h *Host) deliver(effects []dispatch.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case dispatch.Forward:
			h.reply(e.ID, e, false)
		case dispatch.Answer:
			h.reply(e.ID, e, true)
		}
	}
}

func (h *Host) reply(id uint64, e dispatch.Effect, last bool) {
	if ch, ok := h.waiting[id]; ok {
		ch <- e
	}
	if last {
		delete(h.waiting, id)
	}
}

// send hands an event to the control loop, or tells that its queue is full.
func (h *Host) send(m message) *fault.Error {
	select {
	case h.queue <- m:
		return nil
	default:
		h.cfg.Log.Log(logevent.QueueFull, nil)
		return fault.New(fault.Overloaded, "%d events wait already", cap(h.queue))
	}
}

// Package standin has stand-ins for what the system meets outside: endpoints
// and the platform. Tests and the demo use them; no product process does.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/entry"
)

// AnnounceInterval is how often an endpoint announces itself.
const AnnounceInterval = 500 * time.Millisecond

// EndpointConfig describes one endpoint.
type EndpointConfig struct {
	Announcement entry.Announcement
	// EntryHosts are the base addresses to announce to.
	EntryHosts []string
	// RunTime returns how long a kind of work takes.
	RunTime func(workKind string) time.Duration
}

// Endpoint is a running stand-in of an executor.
type Endpoint struct {
	cfg      EndpointConfig
	listener net.Listener
	slots    chan struct{}
	sequence atomic.Uint64
	leaving  atomic.Bool
	ran      atomic.Int64
}

// NewEndpoint listens on address.
func NewEndpoint(cfg EndpointConfig, address string) (*Endpoint, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	cfg.Announcement.Address = l.Addr().String()
	cfg.Announcement.Incarnation = uint64(time.Now().UnixNano())
	return &Endpoint{cfg: cfg, listener: l, slots: make(chan struct{}, cfg.Announcement.Slots)}, nil
}

// Run serves and announces until ctx ends; then it leaves gracefully.
func (e *Endpoint) Run(ctx context.Context) error {
	server := &http.Server{Handler: http.HandlerFunc(e.serve)}
	done := make(chan error, 1)
	go func() { done <- server.Serve(e.listener) }()
	ticker := time.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	e.announce()
	for {
		select {
		case err := <-done:
			return err
		case <-ticker.C:
			e.announce()
		case <-ctx.Done():
			e.leaving.Store(true)
			e.announce()
			stop, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			return server.Shutdown(stop)
		}
	}
}

func (e *Endpoint) announce() {
	a := e.cfg.Announcement
	a.Sequence = e.sequence.Add(1)
	a.State = "serving"
	if e.leaving.Load() {
		a.State = "leaving"
	}
	for _, base := range e.cfg.EntryHosts {
		// An entry host that does not answer is tried again with the next
		// announcement.
		_, _ = sling.New().Base(base).Post("/v1/announce").BodyJSON(a).ReceiveSuccess(nil)
	}
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(entry.HeaderRequestID, r.Header.Get(entry.HeaderRequestID))
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	default:
		answer.WriteRan(w, fault.New(fault.Overloaded, "all %d slots are taken", cap(e.slots)), fault.RanNo)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(e.cfg.RunTime(r.Header.Get(entry.HeaderWorkKind)))
	e.ran.Add(1)
	var out bytes.Buffer
	_ = json.NewEncoder(&out).Encode(map[string]string{
		"endpoint": e.cfg.Announcement.Endpoint, "path": r.URL.Path, "echo": string(body),
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(out.Len()))
	_, _ = w.Write(out.Bytes())
}

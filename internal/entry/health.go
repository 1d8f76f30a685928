package entry

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/process"
)

func (h *Host) routeHealth(mux *http.ServeMux) {
	process.RegisterOpsHandlers(mux, h.cfg.Metrics, h.Ready)
	mux.HandleFunc("GET /v1/status", h.handleStatus)
	mux.HandleFunc("GET /v1/explain", h.handleExplain)
}

// Ready returns nil if the load balancer may send requests to this host, or the reason
// why not.
func (h *Host) Ready() error {
	firstAnnouncement := h.firstAnnouncement.Load()
	switch {
	case h.stopping.Load():
		return fault.New(fault.Stopping, "the entry host is stopping")
	case len(h.cfg.ControlReplicas) > 0 && !h.control.status.Load().Listed:
		return fault.New(fault.Unavailable, "no configuration received yet")
	case firstAnnouncement == 0:
		return fault.New(fault.Unavailable, "no announcement received yet")
	case time.Since(h.started)-time.Duration(firstAnnouncement) < h.cfg.SettleTime:
		return fault.New(fault.Unavailable, "announcements are still being collected")
	}
	return nil
}

// Status is the response body of GET /v1/status.
type Status struct {
	Name          string           `json:"name"`
	Incarnation   uint64           `json:"incarnation"`
	NotReady      *fault.Error     `json:"notReady,omitempty"`
	Configuration ConfigStatus     `json:"configuration"`
	Queue         QueueStatus      `json:"queue"`
	Requests      int64            `json:"requests"`
	Endpoints     []EndpointStatus `json:"endpoints"`
}

// QueueStatus is the fill level of the control loop's queue.
type QueueStatus struct {
	Length   int `json:"length"`
	Capacity int `json:"capacity"`
}

// EndpointStatus is the state of an endpoint as this host knows it.
type EndpointStatus struct {
	Endpoint string `json:"endpoint"`
	Host     string `json:"host"`
	Service  string `json:"service"`
	Epoch    uint64 `json:"epoch"`
	Address  string `json:"address"`
	Leaving  bool   `json:"leaving"`
	// Live reports whether the endpoint is routable: its newest announcement is valid.
	Live bool `json:"live"`
	// AgeMs is the age of the newest announcement in milliseconds.
	AgeMs int64 `json:"ageMs"`
	// InFlight is the number of attempts of this host on the endpoint.
	InFlight int `json:"inFlight"`
}

func (h *Host) handleStatus(w http.ResponseWriter, r *http.Request) {
	m := &statusMessage{reply: make(chan []EndpointStatus, 1)}
	if err := h.queue.offer(m); err != nil {
		answer.WriteError(w, err)
		return
	}
	s := Status{
		Name: h.cfg.Name, Incarnation: h.incarnation, NotReady: fault.From(h.Ready()), Configuration: *h.control.status.Load(),
		Queue: QueueStatus{Length: len(h.queue.messages), Capacity: cap(h.queue.messages)}, Requests: h.requests.Load(),
	}
	select {
	case s.Endpoints = <-m.reply:
		answer.WriteJSON(w, http.StatusOK, s)
	case <-r.Context().Done():
	case <-h.queue.closed:
		answer.WriteJSON(w, http.StatusOK, s)
	}
}

// statusMessage requests the state of all endpoints from the control loop.
type statusMessage struct{ reply chan []EndpointStatus }

func (m *statusMessage) handle(l *loop) {
	now := time.Now()
	list := make([]EndpointStatus, 0, len(l.announcements.entries))
	for name, e := range l.announcements.entries {
		age := now.Sub(e.AnnouncedAt)
		list = append(list, EndpointStatus{
			Endpoint: name, Host: e.Host, Service: e.Service, Epoch: e.Epoch, Address: e.Address, Leaving: e.Leaving,
			Live: l.dispatcher.Directory.IsRoutable(e.Announcement, now), AgeMs: age.Milliseconds(), InFlight: l.attemptsInFlight[name],
		})
	}
	slices.SortFunc(list, func(a, b EndpointStatus) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	m.reply <- list
}

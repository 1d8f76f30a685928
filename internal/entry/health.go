package entry

import (
	"net/http"
	"slices"
	"time"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/metric"
)

func (h *Host) routeHealth(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", h.healthz)
	mux.HandleFunc("GET /readyz", h.readyz)
	mux.HandleFunc("GET /version", h.version)
	mux.HandleFunc("GET /v1/status", h.status)
	mux.Handle("GET /metrics", metric.Handler(h.cfg.Metrics))
}

// Readiness tells whether the host takes requests, and why not.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Ready tells whether the load balancer may send callers here.
func (h *Host) Ready() Readiness {
	heard := h.heard.Load()
	switch {
	case h.stopping.Load():
		return Readiness{Reason: "stopping"}
	case len(h.cfg.Controls) > 0 && !h.control.current.Load().Listed:
		return Readiness{Reason: "configuration is not known yet"}
	case heard == 0:
		return Readiness{Reason: "no announcement was heard yet"}
	case time.Since(h.started)-time.Duration(heard) < h.cfg.SettleTime:
		return Readiness{Reason: "announcements are still being collected"}
	}
	return Readiness{Ready: true}
}

func (h *Host) healthz(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-h.queue.closed:
		answer.WriteJSON(w, http.StatusServiceUnavailable, Readiness{Reason: "control loop has ended"})
	default:
		answer.WriteJSON(w, http.StatusOK, Readiness{Ready: true})
	}
}

func (h *Host) readyz(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	ready := h.Ready()
	if !ready.Ready {
		status = http.StatusServiceUnavailable
	}
	answer.WriteJSON(w, status, ready)
}

// Version is the answer of /version.
type Version struct {
	Role    string `json:"role"`
	Name    string `json:"name"`
	Version string `json:"version"`
}

func (h *Host) version(w http.ResponseWriter, _ *http.Request) {
	answer.WriteJSON(w, http.StatusOK, Version{Role: "entry", Name: h.cfg.Name, Version: h.cfg.Version})
}

// Status is the answer of /v1/status.
type Status struct {
	Name          string           `json:"name"`
	Incarnation   uint64           `json:"incarnation"`
	Ready         Readiness        `json:"ready"`
	Configuration ConfigStatus     `json:"configuration"`
	Queue         QueueStatus      `json:"queue"`
	Requests      int64            `json:"requests"`
	Endpoints     []EndpointStatus `json:"endpoints"`
}

// QueueStatus is the queue of the control loop.
type QueueStatus struct {
	Length   int `json:"length"`
	Capacity int `json:"capacity"`
}

// EndpointStatus is what the host knows of one endpoint.
type EndpointStatus struct {
	Endpoint string `json:"endpoint"`
	Host     string `json:"host"`
	Service  string `json:"service"`
	Epoch    uint64 `json:"epoch"`
	Address  string `json:"address"`
	Leaving  bool   `json:"leaving"`
	// Live tells whether the lease of the last announcement holds.
	Live     bool  `json:"live"`
	AgeMs    int64 `json:"ageMs"`
	InFlight int   `json:"inFlight"`
}

func (h *Host) status(w http.ResponseWriter, r *http.Request) {
	m := &statusMessage{reply: make(chan []EndpointStatus, 1)}
	if err := h.queue.offer(m); err != nil {
		answer.WriteError(w, err)
		return
	}
	s := Status{
		Name: h.cfg.Name, Incarnation: h.incarnation, Ready: h.Ready(), Configuration: *h.control.current.Load(),
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

// statusMessage asks the control loop for the endpoints.
type statusMessage struct{ reply chan []EndpointStatus }

func (m *statusMessage) handle(l *loop) {
	now := time.Now()
	list := make([]EndpointStatus, 0, len(l.board.entries))
	for name, e := range l.board.entries {
		age := now.Sub(e.Heard)
		list = append(list, EndpointStatus{
			Endpoint: name, Host: e.Host, Service: e.Service, Epoch: e.Epoch, Address: e.Address, Leaving: e.Leaving,
			Live: l.dispatcher.Directory.Routable(e.Announcement, now), AgeMs: age.Milliseconds(), InFlight: l.use[name],
		})
	}
	slices.SortFunc(list, func(a, b EndpointStatus) int {
		if a.Endpoint < b.Endpoint {
			return -1
		}
		return 1
	})
	m.reply <- list
}

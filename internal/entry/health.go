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
	mux.HandleFunc("GET /v1/status", h.status)
}

// Ready returns nil if the load balancer may send callers here, else why not.
func (h *Host) Ready() error {
	heard := h.heard.Load()
	switch {
	case h.stopping.Load():
		return fault.New(fault.Stopping, "the entry host is stopping")
	case len(h.cfg.ControlReplicas) > 0 && !h.control.current.Load().Listed:
		return fault.New(fault.Unavailable, "the configuration is not known yet")
	case heard == 0:
		return fault.New(fault.Unavailable, "no announcement was heard yet")
	case time.Since(h.started)-time.Duration(heard) < h.cfg.SettleTime:
		return fault.New(fault.Unavailable, "announcements are still being collected")
	}
	return nil
}

// Status is the answer of /v1/status.
type Status struct {
	Name          string           `json:"name"`
	Incarnation   uint64           `json:"incarnation"`
	NotReady      *fault.Error     `json:"notReady,omitempty"`
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
		Name: h.cfg.Name, Incarnation: h.incarnation, NotReady: fault.From(h.Ready()), Configuration: *h.control.current.Load(),
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
		age := now.Sub(e.AnnouncedAt)
		list = append(list, EndpointStatus{
			Endpoint: name, Host: e.Host, Service: e.Service, Epoch: e.Epoch, Address: e.Address, Leaving: e.Leaving,
			Live: l.dispatcher.Directory.IsRoutable(e.Announcement, now), AgeMs: age.Milliseconds(), InFlight: l.use[name],
		})
	}
	slices.SortFunc(list, func(a, b EndpointStatus) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	m.reply <- list
}

package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/member"
)

// Limits of the fields of an announcement.
const (
	maxAnnouncementBytes = 16 << 10
	maxNameBytes         = 253
	maxSlots             = 4096
	maxConnections       = 65536
)

// States of an endpoint in an announcement.
const (
	// StateServing means that the endpoint accepts work.
	StateServing = "serving"
	// StateLeaving means that the endpoint gets no new work.
	StateLeaving = "leaving"
)

// Announcement is the JSON body of POST /v1/announce.
type Announcement struct {
	Endpoint    string `json:"endpoint"`
	Host        string `json:"host"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Epoch       uint64 `json:"epoch"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Rack        string `json:"rack"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
}

// Validate returns an error for the first invalid field, or nil.
func (a *Announcement) Validate() *fault.Error {
	for _, field := range []struct {
		name, value string
		required    bool
	}{
		{"endpoint", a.Endpoint, true},
		{"host", a.Host, true},
		{"service", a.Service, true},
		{"address", a.Address, true},
		{"rack", a.Rack, false},
		{"zone", a.Zone, false},
	} {
		if len(field.value) > maxNameBytes || field.required && field.value == "" {
			return fault.InvalidField(field.name, fmt.Sprintf("1 to %d bytes", maxNameBytes), "value has %d bytes", len(field.value))
		}
	}
	for _, field := range []struct {
		name         string
		value, limit int
	}{{"slots", a.Slots, maxSlots}, {"connections", a.Connections, maxConnections}} {
		if field.value < 1 || field.value > field.limit {
			return fault.InvalidField(field.name, fmt.Sprintf("1 to %d", field.limit), "value is %d", field.value)
		}
	}
	if a.Epoch == 0 || a.Incarnation == 0 || a.Sequence == 0 {
		return fault.InvalidField("epoch, incarnation, sequence", "1 or more", "values are %d, %d, %d", a.Epoch, a.Incarnation, a.Sequence)
	}
	if a.State != StateServing && a.State != StateLeaving {
		return fault.InvalidField("state", StateServing+", "+StateLeaving, "value is %q", a.State)
	}
	return validateAddress(a.Address)
}

// validateAddress returns an error unless address is an IP address with a port. Host
// names are refused, because the system addresses endpoints by IP address.
func validateAddress(address string) *fault.Error {
	const limit = "<IP address>:<port>"
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return fault.InvalidField("address", limit, "value is %q", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fault.InvalidField("address", limit, "port is %q", port)
	}
	return nil
}

func (a *Announcement) toMember(announcedAt time.Time) member.Announcement {
	return member.Announcement{
		Endpoint: a.Endpoint, Host: a.Host, Service: a.Service, Address: a.Address, Epoch: a.Epoch,
		Incarnation: a.Incarnation, Sequence: a.Sequence, Slots: a.Slots, Connections: a.Connections,
		Rack: a.Rack, Zone: a.Zone, Leaving: a.State == StateLeaving, AnnouncedAt: announcedAt,
	}
}

// handleAnnounce handles an announcement that an endpoint sends.
func (h *Host) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	// The time is taken before the body is read, so that a slow body does not extend
	// the lease.
	receivedAt := time.Now()
	var a Announcement
	body, err := readBody(w, r, maxAnnouncementBytes)
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		answer.WriteError(w, fault.InvalidField("body", "one announcement", "%s", err.Error()))
		return
	}
	if err := a.Validate(); err != nil {
		answer.WriteError(w, err)
		return
	}
	m := &announcementMessage{announcement: a.toMember(receivedAt), result: make(chan *fault.Error, 1)}
	if err := h.queue.offer(m); err != nil {
		answer.WriteError(w, err)
		return
	}
	select {
	case err := <-m.result:
		if err != nil {
			answer.WriteError(w, err)
			return
		}
	case <-h.queue.closed:
		answer.WriteError(w, fault.New(fault.Stopping, "the entry host has stopped"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// announcementMessage is an announcement received from the endpoint itself. If it is
// refused because the queue is full, the endpoint's next announcement replaces it.
type announcementMessage struct {
	announcement member.Announcement
	result       chan *fault.Error
}

func (m *announcementMessage) handle(l *loop) {
	err := l.applyAnnouncement(m.announcement, true)
	if err == nil {
		l.host.firstAnnouncement.CompareAndSwap(0, int64(max(time.Since(l.host.started), 1)))
	}
	m.result <- err
}

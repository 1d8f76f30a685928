package entry

import (
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

// Limits of an announcement.
const (
	maxAnnouncementBytes = 16 << 10
	maxNameBytes         = 253
	maxSlots             = 4096
	maxConnections       = 65536
)

// States of an endpoint in an announcement.
const (
	StateServing = "serving"
	StateLeaving = "leaving"
)

// Announcement is the JSON body of an announcement.
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

// Validate returns the first refused field, or nil.
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
		name        string
		value, high int
	}{{"slots", a.Slots, maxSlots}, {"connections", a.Connections, maxConnections}} {
		if field.value < 1 || field.value > field.high {
			return fault.InvalidField(field.name, fmt.Sprintf("1 to %d", field.high), "value is %d", field.value)
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

// validateAddress accepts an IP address with a port. Names are refused: the
// system communicates by IP address.
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

func (a *Announcement) member(heard time.Time) member.Announcement {
	return member.Announcement{
		Endpoint: a.Endpoint, Host: a.Host, Service: a.Service, Address: a.Address, Epoch: a.Epoch,
		Incarnation: a.Incarnation, Sequence: a.Sequence, Slots: a.Slots, Connections: a.Connections,
		Rack: a.Rack, Zone: a.Zone, Leaving: a.State == StateLeaving, AnnouncedAt: heard,
	}
}

// announce takes an announcement of an endpoint.
func (h *Host) announce(w http.ResponseWriter, r *http.Request) {
	// The time before the body is read: a body that was long on its way does
	// not lengthen the lease.
	heard := time.Now()
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		answer.WriteError(w, fault.InvalidField("body", "one announcement", "%s", err.Error()))
		return
	}
	if err := a.Validate(); err != nil {
		answer.WriteError(w, err)
		return
	}
	m := &announceMessage{announcement: a.member(heard), result: make(chan *fault.Error, 1)}
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

// announceMessage is an announcement that was heard directly. An endpoint that
// is refused for a full queue announces itself again with its next one.
type announceMessage struct {
	announcement member.Announcement
	result       chan *fault.Error
}

func (m *announceMessage) handle(l *loop) {
	err := l.announced(m.announcement, true)
	if err == nil {
		l.host.heard.CompareAndSwap(0, int64(max(time.Since(l.host.started), 1)))
	}
	m.result <- err
}

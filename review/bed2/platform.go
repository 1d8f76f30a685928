//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

// cloud is the platform's interface for machines.
type cloud struct {
	bed    *bed
	server *http.Server
}

func startCloud(b *bed, addr string) (*cloud, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &cloud{bed: b}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machine-move", c.move)
	mux.HandleFunc("POST /machine-upkeep", c.upkeep)
	c.server = &http.Server{Handler: mux}
	go func() { _ = c.server.Serve(listener) }()
	return c, nil
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	rows := []map[string]any{}
	for _, m := range c.bed.allMachines() {
		m.mu.Lock()
		row := map[string]any{"Machine": m.name, "Pool": m.pool, "State": m.state, "Zone": m.zone, "Labels": []string{"a", m.rack}, "Capacity": c.bed.room, "Id": ""}
		if m.exec != nil {
			row["Id"] = m.exec.id
		}
		m.mu.Unlock()
		rows = append(rows, row)
	}
	time.Sleep(c.bed.listTime())
	reply(w, http.StatusOK, map[string]any{"Machines": rows, "NextToken": ""})
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// comeBack ends a move or an upkeep. A new executor starts, but on a machine that is off.
func (m *machine) comeBack(standby string) {
	m.mu.Lock()
	isOff := standby != "" && m.pool == standby
	if isOff {
		m.state = "up"
	}
	m.mu.Unlock()
	if !isOff {
		m.boot()
	}
}

type machineOrder struct {
	Machine string
	Pool    string
	Wave    int64
}

// target returns the machine of an order, or nil after it has refused the order.
func (c *cloud) target(w http.ResponseWriter, r *http.Request) (*machine, machineOrder) {
	var o machineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return nil, o
	}
	for _, m := range c.bed.allMachines() {
		if m.name == o.Machine {
			return m, o
		}
	}
	reply(w, http.StatusBadRequest, map[string]any{})
	return nil, o
}

func (c *cloud) move(w http.ResponseWriter, r *http.Request) {
	m, o := c.target(w, r)
	if m == nil {
		return
	}
	m.mu.Lock()
	state, pool := m.state, m.pool
	m.mu.Unlock()
	switch {
	case pool == o.Pool:
		reply(w, http.StatusOK, map[string]any{})
		return
	case state != "up":
		reply(w, http.StatusConflict, map[string]any{"Reason": "busy"})
		return
	case !c.bed.isPool(o.Pool):
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	c.bed.takenAway(m, "move to "+o.Pool)
	m.halt("moved to "+o.Pool, "moving")
	m.mu.Lock()
	m.pool = o.Pool
	m.moves++
	m.mu.Unlock()
	time.AfterFunc(migrationTime, func() { m.comeBack(c.bed.standby) })
	reply(w, http.StatusOK, map[string]any{})
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	m, o := c.target(w, r)
	if m == nil {
		return
	}
	c.bed.mu.Lock()
	isDue, isBegun := c.bed.wave[m.name] == o.Wave && o.Wave > 0, c.bed.begun[m.name]
	c.bed.mu.Unlock()
	m.mu.Lock()
	state := m.state
	m.mu.Unlock()
	switch {
	case !isDue:
		reply(w, http.StatusConflict, map[string]any{"Reason": "wave"})
		return
	case isBegun:
		reply(w, http.StatusOK, map[string]any{})
		return
	case state != "up":
		reply(w, http.StatusConflict, map[string]any{"Reason": "busy"})
		return
	}
	c.bed.mu.Lock()
	c.bed.begun[m.name] = true
	c.bed.mu.Unlock()
	c.bed.takenAway(m, "upkeep")
	m.halt("upkeep", "upkeep")
	time.AfterFunc(upkeepTime, func() { m.comeBack(c.bed.standby) })
	reply(w, http.StatusOK, map[string]any{})
}

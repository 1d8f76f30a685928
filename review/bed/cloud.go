//go:build review

package bed

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Cloud is a stand-in for the platform's interface for machines.
type Cloud struct {
	b *Bed
	// Upkeep is called before an order for upkeep is answered, after it was carried out,
	// with the number of such orders for the machine so far. It returns how long the
	// answer takes, and false if there is none.
	Upkeep func(machine string, order int) (time.Duration, bool)
	// Boot is the time from the end of an upkeep or move to the first report of the new
	// executor.
	Boot time.Duration

	orders  map[string]int
	upkeeps map[string]map[int64]bool
	state   map[string]string
}

// StartCloud starts the interface.
func (b *Bed) StartCloud() (*Cloud, error) {
	c := &Cloud{b: b, orders: map[string]int{}, upkeeps: map[string]map[int64]bool{}, state: map[string]string{}}
	l, err := net.Listen("tcp", b.cloudAddress)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machine-upkeep", c.upkeep)
	mux.HandleFunc("POST /machine-move", c.move)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	b.mu.Lock()
	b.cleanups = append(b.cleanups, func() { _ = server.Close() })
	b.mu.Unlock()
	b.Cloud = c
	return c, nil
}

func (c *Cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.b.mu.Lock()
	var rows []map[string]any
	for _, e := range c.b.executors {
		state := c.state[e.Machine]
		if state == "" {
			state = "up"
			if !e.MachineUp {
				state = "down"
			}
		}
		id := e.id
		if state != "up" {
			id = ""
		}
		rows = append(rows, map[string]any{
			"Machine": e.Machine, "Pool": e.Service, "State": state, "Zone": "z1", "Labels": e.Labels,
			"Capacity": map[string]int{"Cpu": e.CPU, "MemMb": e.MemMb, "Gpu": 0}, "Id": id,
		})
	}
	c.b.mu.Unlock()
	c.b.Rec.Log("platform: GET /machines -> 200")
	write(w, http.StatusOK, map[string]any{"Machines": rows, "NextToken": ""})
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

type machineOrder struct {
	Machine, Pool string
	Wave          int64
}

// away takes the machine away for a time. The caller holds Bed.mu.
func (c *Cloud) away(e *Executor, state, pool string, length time.Duration) {
	e.downLocked("terminated by the platform")
	c.state[e.Machine] = state
	lives := e.lives
	time.AfterFunc(length, func() {
		c.b.mu.Lock()
		defer c.b.mu.Unlock()
		if e.lives == lives {
			e.Service = pool
			delete(c.state, e.Machine)
			e.upLocked(c.Boot)
		}
	})
}

func (c *Cloud) find(machine string) *Executor {
	for _, e := range c.b.executors {
		if e.Machine == machine {
			return e
		}
	}
	return nil
}

func (c *Cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var o machineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		write(w, http.StatusBadRequest, map[string]any{})
		return
	}
	c.b.mu.Lock()
	e := c.find(o.Machine)
	status, reason := http.StatusOK, ""
	switch {
	case e == nil:
		status = http.StatusBadRequest
	case c.upkeeps[o.Machine][o.Wave]:
		reason = "already done"
	case !e.MachineUp:
		status, reason = http.StatusConflict, "busy"
	default:
		if c.upkeeps[o.Machine] == nil {
			c.upkeeps[o.Machine] = map[int64]bool{}
		}
		c.upkeeps[o.Machine][o.Wave] = true
		c.away(e, "upkeep", e.Service, time.Duration(MaintenanceS*float64(time.Second)))
	}
	c.orders[o.Machine]++
	n := c.orders[o.Machine]
	c.b.mu.Unlock()
	c.b.Rec.Log("platform: upkeep of %s, order %d -> %d %s", o.Machine, n, status, reason)
	if c.Upkeep != nil {
		delay, answered := c.Upkeep(o.Machine, n)
		if !answered {
			c.b.Rec.Log("platform: the answer to order %d for %s is lost", n, o.Machine)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(delay)
		c.b.Rec.Log("platform: the answer to order %d for %s leaves", n, o.Machine)
	}
	body := map[string]any{}
	if status == http.StatusConflict {
		body["Reason"] = reason
	}
	write(w, status, body)
}

func (c *Cloud) move(w http.ResponseWriter, r *http.Request) {
	var o machineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		write(w, http.StatusBadRequest, map[string]any{})
		return
	}
	c.b.mu.Lock()
	e := c.find(o.Machine)
	status, reason := http.StatusOK, ""
	switch {
	case e == nil:
		status = http.StatusBadRequest
	case e.Service == o.Pool:
	case !e.MachineUp:
		status, reason = http.StatusConflict, "busy"
	default:
		c.away(e, "moving", o.Pool, 1500*time.Millisecond)
	}
	c.b.mu.Unlock()
	c.b.Rec.Log("platform: move of %s to %s -> %d %s", o.Machine, o.Pool, status, reason)
	body := map[string]any{}
	if reason != "" {
		body["Reason"] = reason
	}
	write(w, status, body)
}

// StartWave asks for the upkeep of the machines of executors.
func (b *Bed) StartWave(wave int, durationS float64, maxCount int, executors ...*Executor) error {
	var machines []string
	for _, e := range executors {
		machines = append(machines, e.Machine)
	}
	body, err := json.Marshal(map[string]any{"Wave": wave, "Machines": machines, "DurationS": durationS, "MaxCount": maxCount})
	if err != nil {
		return err
	}
	next := 0
	return b.WaitFor(20*time.Second, "wave", func() bool {
		next++
		status, _ := b.call("POST", "http://"+b.ControlAddresses()[next%coreCount]+"/wave-start", "", string(body), time.Second)
		b.Rec.Log("operator: wave %d -> %d", wave, status)
		return status == 200
	})
}

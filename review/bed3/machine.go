//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// machine is a machine of the platform with the executor on it. It follows PROTOCOL.md:
// after a crash the executor runs nothing and knows nothing, and its clock and its numbers
// begin anew.
type machine struct {
	bed                     *bed
	name, id, rack, address string
	mu                      sync.Mutex
	isUp                    bool
	life                    int
	born                    time.Time
	sequence                int64
	token                   uint64
	leaseUntil              time.Time
	running                 map[string]*execution
	highest                 map[string]int
	ended                   []endRow
	lastEnd                 int64
	changed                 chan struct{}
	server                  *http.Server
	cancel                  context.CancelFunc
	// withhold tells whether an order is left unanswered; onWithheld is called with it.
	withhold   func(path string, o order) bool
	onWithheld func(o order)
}

// execution is one run of a task.
type execution struct {
	task     string
	run      int
	began    time.Time
	work     time.Duration
	lasting  bool
	cpu, mem int
	timer    *time.Timer
	stopping bool
	rec      *runRecord
}

type endRow struct {
	number int64
	task   string
	run    int
	how    string
	rec    *runRecord
}

// runRecord is what the checks see of a run.
type runRecord struct {
	task, machine string
	run           int
	began, ended  time.Time
	how           string
	// noted is when LastSeen reached the end.
	noted time.Time
}

// order is the body of a call to an executor.
type order struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	Checkpoint   string
	LastSeen     int64
	WaitMs       int64
	Percent      int
}

// poisonTime is when a task that can never be done fails after its start.
const poisonTime = 300 * time.Millisecond

const (
	machineCPU = 32000
	machineMem = 65536
)

func (*machine) capacity() map[string]int {
	return map[string]int{"Cpu": machineCPU, "MemMb": machineMem, "Gpu": 0}
}

// powerOn starts an executor. Orders that were held up are carried out as it starts.
func (m *machine) powerOn(held ...order) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", m.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	m.life++
	m.isUp, m.born, m.sequence, m.token, m.leaseUntil, m.lastEnd = true, time.Now(), 0, 0, time.Time{}, 0
	m.running, m.highest, m.ended, m.changed = map[string]*execution{}, map[string]int{}, nil, make(chan struct{})
	m.server = &http.Server{Handler: m}
	server := m.server
	ctx, cancel := context.WithCancel(m.bed.ctx)
	m.cancel = cancel
	m.bed.rec.log("executor %s on %s is up (life %d)", m.id, m.name, m.life)
	for _, o := range held {
		status, reason := m.start(o)
		m.bed.rec.log("executor %s (life %d): the held order run-start %s run %d is carried out: %d %s", m.id, m.life, o.Task, o.Run, status, reason)
	}
	m.bed.group.Go(func() { _ = server.Serve(l) })
	m.bed.group.Go(func() { m.beat(ctx) })
	m.bed.group.Go(func() { m.watchLease(ctx) })
	return nil
}

// powerOff ends the executor and all that it runs, without a word.
func (m *machine) powerOff() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isUp {
		return
	}
	m.isUp = false
	m.cancel()
	for task, x := range m.running {
		x.timer.Stop()
		m.bed.endRecord(x.rec, "crashed")
		delete(m.running, task)
	}
	m.bed.rec.log("executor %s on %s crashes (life %d)", m.id, m.name, m.life)
	_ = m.server.Close()
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *machine) clock() int64 { return time.Since(m.born).Milliseconds() + 1 }

// beat sends heartbeats, to the address that was named, or else to one control address
// after the other.
func (m *machine) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	next := int(m.name[len(m.name)-1])
	addr := ""
	for ctx.Err() == nil {
		m.mu.Lock()
		if !m.isUp {
			m.mu.Unlock()
			return
		}
		m.sequence++
		body, _ := json.Marshal(map[string]any{
			"Service": service, "Address": m.address, "Zone": "moratuwa", "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
			"Capacity": m.capacity(), "Labels": []string{"a", m.rack}, "ClockMs": m.clock(), "Sequence": m.sequence, "born": m.born.UnixMilli(), "Machine": m.name,
		})
		m.mu.Unlock()
		for range cores {
			target := addr
			if target == "" {
				target = fmt.Sprintf("%s:%d", m.bed.ip(1+next%cores), controlPort)
				next++
			}
			status, data, err := post(client, "http://"+target+"/instances/"+m.id+"/heartbeat", body)
			if ctx.Err() != nil {
				return
			}
			if err == nil && status == 200 {
				var answer struct{ HeartbeatAddr string }
				_ = json.Unmarshal(data, &answer)
				addr = answer.HeartbeatAddr
				if addr != "" {
					m.bed.setLeader(addr)
				}
				break
			}
			addr = ""
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatEvery):
		}
	}
}

// watchLease ends everything when the lease expires.
func (m *machine) watchLease(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
		m.mu.Lock()
		if m.isUp && len(m.running) > 0 && time.Now().After(m.leaseUntil) {
			for _, x := range m.running {
				m.end(x, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

func (m *machine) extend(deadline int64) {
	until := m.born.Add(time.Duration(deadline) * time.Millisecond)
	if longest := time.Now().Add(holdMax); until.After(longest) {
		until = longest
	}
	if deadline > 0 && until.After(m.leaseUntil) {
		m.leaseUntil = until
	}
}

// ServeHTTP carries out a call.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeJSON(w, 400, map[string]any{})
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isUp {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("Expect-Instance") != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if m.withhold != nil && m.withhold(r.URL.Path, o) {
		m.onWithheld(o)
		m.mu.Unlock()
		<-r.Context().Done()
		m.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if o.FencingToken < m.token {
		m.answer(w, 409, "fence")
		return
	}
	m.token = o.FencingToken
	switch r.URL.Path {
	case "/run-start":
		status, reason := m.start(o)
		if status != 200 {
			m.bed.rec.log("executor %s (life %d): refuses %s run %d: %d %s", m.id, m.life, o.Task, o.Run, status, reason)
		}
		m.answer(w, status, reason)
	case "/run-stop":
		m.extend(o.DeadlineMs)
		m.bed.rec.log("executor %s (life %d): run-stop %s run %d", m.id, m.life, o.Task, o.Run)
		m.highest[o.Task] = max(m.highest[o.Task], o.Run)
		if x := m.running[o.Task]; x != nil && x.run <= o.Run && !x.stopping {
			x.stopping = true
			life := m.life
			time.AfterFunc(stopTimeout, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				if m.life == life && m.running[o.Task] == x {
					m.end(x, "stopped")
				}
			})
		}
		m.answer(w, 200, "")
	case "/hold":
		m.extend(o.DeadlineMs)
		m.hold(w, r, o)
	case "/pace":
		m.answer(w, 200, "")
	default:
		w.WriteHeader(404)
	}
}

func (m *machine) answer(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"ClockMs": m.clock(), "born": m.born.UnixMilli()}
	if reason != "" {
		body["Reason"] = reason
	}
	writeJSON(w, status, body)
}

// start carries out a run-start and returns the status and the reason.
func (m *machine) start(o order) (int, string) {
	m.extend(o.DeadlineMs)
	x := m.running[o.Task]
	switch {
	case x != nil && x.run == o.Run:
		return 200, ""
	case x != nil || o.Run <= m.highest[o.Task]:
		return 409, "old"
	case o.DeadlineMs > 0 && o.DeadlineMs <= m.clock():
		return 409, "late"
	}
	parts := strings.Split(o.Task, ".")
	steps, ok := m.bed.specs.Load(parts[0])
	if !ok || len(parts) != 4 {
		m.bed.rec.log("executor %s: start of %s, which nobody sent", m.id, o.Task)
		return 400, ""
	}
	n, _ := strconv.Atoi(parts[2])
	s := steps.([]step)[n]
	cpu, mem := s.CPU, s.MemMB
	for _, other := range m.running {
		cpu, mem = cpu+other.cpu, mem+other.mem
	}
	if cpu > machineCPU || mem > machineMem {
		return 409, "room"
	}
	m.highest[o.Task] = o.Run
	rec := &runRecord{task: o.Task, machine: m.name, run: o.Run, began: time.Now()}
	x = &execution{task: o.Task, run: o.Run, began: time.Now(), work: time.Duration(s.WorkMs) * time.Millisecond, lasting: s.LongRunning, cpu: s.CPU, mem: s.MemMB, rec: rec}
	m.running[o.Task] = x
	m.bed.runsMu.Lock()
	m.bed.runs = append(m.bed.runs, rec)
	m.bed.runsMu.Unlock()
	m.bed.rec.log("executor %s (life %d): starts %s run %d", m.id, m.life, o.Task, o.Run)
	life := m.life
	finish, how := x.work, "done"
	switch {
	case s.IsPoison:
		finish, how = poisonTime, "failed"
	case s.FailMs > 0:
		finish, how = time.Duration(rand.ExpFloat64()*float64(s.FailMs))*time.Millisecond, "failed"
	case x.lasting:
		finish = time.Hour
	}
	if s.Gang {
		x.timer = time.AfterFunc(gangTimeout, func() { m.endLater(life, x, "alone") })
		m.bed.gangs.join(fmt.Sprintf("%s.%d", strings.Join(parts[:3], "."), o.Run), s.Count, finish, member{m, life, x})
		return 200, ""
	}
	x.timer = time.AfterFunc(finish, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.life == life && m.running[o.Task] == x && !x.stopping {
			m.end(x, how)
		}
	})
	return 200, ""
}

// endLater ends a run if it still runs.
func (m *machine) endLater(life int, x *execution, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == life && m.running[x.task] == x {
		m.end(x, how)
	}
}

// gangTimeout is GangTimeoutMs.
const gangTimeout = 3 * time.Second

// gangs are the gangs at work, by step and run. Their members work from the moment when all
// of them are present, and end done together. If one ends otherwise, the others end broken.
type gangs struct {
	mu      sync.Mutex
	members map[string][]member
}

type member struct {
	m    *machine
	life int
	x    *execution
}

func (g *gangs) join(key string, count int, work time.Duration, who member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members == nil {
		g.members = map[string][]member{}
	}
	g.members[key] = append(g.members[key], who)
	if len(g.members[key]) < count {
		return
	}
	all := g.members[key]
	go func() {
		for _, p := range all {
			p.m.mu.Lock()
			p.x.timer.Stop()
			p.m.mu.Unlock()
		}
		deadline := time.Now().Add(work)
		for time.Now().Before(deadline) {
			time.Sleep(20 * time.Millisecond)
			for _, p := range all {
				p.m.mu.Lock()
				isOver := p.m.life != p.life || p.m.running[p.x.task] != p.x
				p.m.mu.Unlock()
				if isOver {
					for _, q := range all {
						q.m.endLater(q.life, q.x, "broken")
					}
					return
				}
			}
		}
		for _, p := range all {
			p.m.endLater(p.life, p.x, "done")
		}
	}()
}

// end ends a run and lists its end.
func (m *machine) end(x *execution, how string) {
	x.timer.Stop()
	delete(m.running, x.task)
	m.lastEnd++
	m.ended = append(m.ended, endRow{m.lastEnd, x.task, x.run, how, x.rec})
	m.bed.endRecord(x.rec, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (b *bed) endRecord(r *runRecord, how string) {
	b.runsMu.Lock()
	r.ended, r.how = time.Now(), how
	b.runsMu.Unlock()
	b.rec.log("machine %s: %s run %d ends %s", r.machine, r.task, r.run, how)
}

// hold answers with both lists, after an end or WaitMs.
func (m *machine) hold(w http.ResponseWriter, r *http.Request, o order) {
	var left []endRow
	for _, e := range m.ended {
		if e.number > o.LastSeen {
			left = append(left, e)
			continue
		}
		m.bed.runsMu.Lock()
		e.rec.noted = time.Now()
		m.bed.runsMu.Unlock()
	}
	m.ended = left
	life := m.life
	if len(m.ended) == 0 && o.WaitMs > 0 {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		}
		m.mu.Lock()
	}
	if m.life != life || !m.isUp {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for task, x := range m.running {
		percent := 100
		age := time.Since(x.began)
		if x.lasting {
			percent = int(min(100, age.Milliseconds()*100/700))
		} else if x.work > 0 {
			percent = int(min(99, age*100/x.work))
		}
		running = append(running, []any{task, x.run, "", percent, x.cpu})
	}
	for _, e := range m.ended[:min(len(m.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	writeJSON(w, 200, map[string]any{"ClockMs": m.clock(), "born": m.born.UnixMilli(), "Running": running, "EndedRuns": ended})
}

//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployments, as their pages give them.
const (
	holdMax        = 6 * time.Second
	heartbeatEvery = 1500 * time.Millisecond
	stopTimeout    = 900 * time.Millisecond
	migrationTime  = 1500 * time.Millisecond
	upkeepTime     = 2 * time.Second
	maxWait        = 2 * time.Second
	endsPerAnswer  = 500
	startupTime    = 700 * time.Millisecond
)

// machine is a host of the platform. At most one executor runs on it.
type machine struct {
	bed  *bed
	name string
	rack string
	zone string
	addr string

	mu    sync.Mutex
	pool  string
	state string
	exec  *executor
	// cutFrom is the address of a machine of the system to which the path is cut, or "".
	cutFrom string
	// moves counts its moves. After each, its executor has another address.
	moves int
}

// executor is one life of a machine: it begins with a start and ends with a crash, a move
// or an upkeep.
type executor struct {
	m    *machine
	id   string
	pool string
	addr string
	born time.Time

	mu         sync.Mutex
	server     *http.Server
	over       bool
	silent     bool
	token      uint64
	lease      time.Time
	lapsed     time.Time
	sequence   int64
	runs       map[string]*run
	highest    map[string]int
	ends       []end
	lastNumber int64
	lastSeen   int64
	changed    chan struct{}
}

type run struct {
	task     string
	number   int
	began    time.Time
	needs    resources
	lasting  bool
	length   time.Duration
	outcome  string
	stopping bool
	timer    *time.Timer
}

type end struct {
	at     time.Time
	number int64
	task   string
	run    int
	how    string
}

// boot starts an executor on the machine.
func (m *machine) boot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := &executor{
		m: m, id: fmt.Sprintf("i-%08x", rand.Uint32()), pool: m.pool, born: time.Now(),
		runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	e.addr = at(m.addr, execPort+m.moves)
	listener, err := net.Listen("tcp", e.addr)
	if err != nil {
		m.bed.broken("executor on %s cannot listen: %v", m.name, err)
		return
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	m.exec, m.state = e, "up"
	go func() { _ = e.server.Serve(listener) }()
	go e.beat()
	m.bed.note("executor %s of %s starts on %s at %s", e.id, e.pool, m.name, e.addr)
}

// halt ends the executor of the machine at once, with all that it runs.
func (m *machine) halt(why, state string) {
	m.mu.Lock()
	e := m.exec
	m.exec, m.state = nil, state
	m.mu.Unlock()
	if e == nil {
		return
	}
	e.mu.Lock()
	e.over = true
	lost := []string{}
	for task, r := range e.runs {
		r.timer.Stop()
		m.bed.ended(e, r, "gone")
		lost = append(lost, fmt.Sprintf("%s/%d", task, r.number))
	}
	e.runs = map[string]*run{}
	e.mu.Unlock()
	_ = e.server.Close()
	m.bed.note("executor %s of %s ends on %s (%s); it ran %d tasks: %s", e.id, e.pool, m.name, why, len(lost), strings.Join(lost, " "))
}

// clock is the executor's own steady clock in milliseconds.
func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

// beat sends heartbeats until the executor ends.
func (e *executor) beat() {
	addresses := e.m.bed.controlAddresses()
	next := rand.Intn(len(addresses))
	e.m.mu.Lock()
	for i, a := range addresses {
		if a == e.m.cutFrom {
			next = i
		}
	}
	e.m.mu.Unlock()
	wanted := ""
	for {
		e.mu.Lock()
		if e.over {
			e.mu.Unlock()
			return
		}
		e.sequence++
		silent := e.silent
		body, _ := json.Marshal(map[string]any{
			"Service": e.pool, "Address": e.addr, "Zone": e.m.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
			"Machine": e.m.name, "Capacity": e.m.bed.room, "Labels": []string{"a", e.m.rack}, "ClockMs": e.clock(), "Sequence": e.sequence, "born": e.born.UnixMilli(),
		})
		e.mu.Unlock()
		pause := heartbeatEvery
		if !silent {
			to := addresses[next%len(addresses)]
			if wanted != "" {
				to = wanted
			}
			status, answer := e.m.send(to, e.id, string(body))
			if status/100 == 2 {
				var hint struct{ HeartbeatAddr string }
				_ = json.Unmarshal(answer, &hint)
				wanted = hint.HeartbeatAddr
				e.m.bed.mu.Lock()
				e.m.bed.hint = wanted
				e.m.bed.mu.Unlock()
			} else {
				wanted = ""
				next++
				pause = 50 * time.Millisecond
			}
		}
		time.Sleep(pause)
	}
}

// send sends a heartbeat. If the path is cut, the caller gets no answer, and the bytes arrive
// once the path is whole again, whether or not the sender still runs.
func (m *machine) send(to, id, body string) (int, []byte) {
	m.mu.Lock()
	isCut := m.cutFrom == to
	m.mu.Unlock()
	url := "http://" + to + "/instances/" + id + "/heartbeat"
	if !isCut {
		return m.bed.call("POST", url, "", body, time.Second)
	}
	m.bed.note("a heartbeat of %s to %s is held up", id, to)
	go func() {
		for isCut {
			time.Sleep(10 * time.Millisecond)
			m.mu.Lock()
			isCut = m.cutFrom == to
			m.mu.Unlock()
		}
		status, _ := m.bed.call("POST", url, "", body, time.Second)
		m.bed.note("the heartbeat of %s to %s that was held up arrives and is answered with %d", id, to, status)
	}()
	time.Sleep(time.Second)
	return 0, nil
}

type order struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	LastSeen     int64
	WaitMs       int64
	Percent      int
}

func (e *executor) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		// The machine is cut off: the call has not arrived, and nothing answers.
		e.mu.Unlock()
		<-r.Context().Done()
		e.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.over {
		panic(http.ErrAbortHandler)
	}
	if e.m.bed.late != nil && e.m.bed.late(e) {
		// The order gets no answer and is carried out later.
		delay := 2*time.Second + time.Duration(rand.Int63n(int64(10*time.Second)))
		header, path := r.Header.Get("Expect-Instance"), r.URL.Path
		go func() {
			time.Sleep(delay)
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.over || e.silent || header != e.id {
				return
			}
			o.WaitMs = 0
			e.carryOut(discard{}, r, path, o)
		}()
		e.mu.Unlock()
		<-r.Context().Done()
		e.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("Expect-Instance") != e.id {
		e.answer(w, http.StatusMisdirectedRequest, "")
		return
	}
	e.carryOut(w, r, r.URL.Path, o)
}

// discard is a ResponseWriter for an order whose answer is lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

func (e *executor) carryOut(w http.ResponseWriter, r *http.Request, path string, o order) {
	if o.FencingToken < e.token {
		e.answer(w, http.StatusConflict, "fence")
		return
	}
	e.token = o.FencingToken
	switch path {
	case "/run-start":
		e.start(w, o)
	case "/run-stop":
		e.stop(o)
		e.answer(w, http.StatusOK, "")
	case "/hold":
		e.hold(w, r, o)
	case "/pace":
		e.answer(w, http.StatusOK, "")
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *executor) answer(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"ClockMs": e.clock(), "born": e.born.UnixMilli()}
	if reason != "" {
		body["Reason"] = reason
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// extend prolongs the lease on all that runs here, to at most holdMax from now.
func (e *executor) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	until := e.born.Add(time.Duration(deadline) * time.Millisecond)
	if longest := time.Now().Add(holdMax); until.After(longest) {
		until = longest
	}
	if !until.After(e.lease) {
		return
	}
	e.lease = until
	time.AfterFunc(time.Until(until), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.over || time.Now().Before(e.lease) {
			return
		}
		e.lapsed = time.Now()
		for task := range e.runs {
			e.finish(task, "lapsed")
		}
	})
}

func (e *executor) inUse() resources {
	var sum resources
	for _, r := range e.runs {
		sum = sum.plus(r.needs)
	}
	return sum
}

func (e *executor) start(w http.ResponseWriter, o order) {
	plan, ok := e.m.bed.planOf(o.Task)
	if !ok || plan.spec != o.Spec {
		e.m.bed.breach("UNASKED: executor %s is told to start %s with text %q, which no client sent", e.id, o.Task, o.Spec)
		e.answer(w, http.StatusBadRequest, "")
		return
	}
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		e.extend(o.DeadlineMs)
		e.answer(w, http.StatusOK, "")
		return
	}
	e.extend(o.DeadlineMs)
	switch {
	case e.runs[o.Task] != nil || o.Run <= e.highest[o.Task]:
		e.answer(w, http.StatusConflict, "old")
		return
	case o.DeadlineMs > 0 && o.DeadlineMs <= e.clock():
		e.answer(w, http.StatusConflict, "late")
		return
	case !e.inUse().plus(plan.needs).within(e.m.bed.room):
		e.answer(w, http.StatusConflict, "room")
		return
	}
	r := &run{task: o.Task, number: o.Run, began: time.Now(), needs: plan.needs, lasting: plan.lasting, length: plan.length, outcome: plan.outcome}
	e.highest[o.Task] = o.Run
	e.runs[o.Task] = r
	e.m.bed.began(e, r)
	length := r.length
	if r.lasting {
		length = time.Hour
	}
	r.timer = time.AfterFunc(length, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[o.Task] == r && !e.over && !r.stopping {
			e.finish(o.Task, r.outcome)
		}
	})
	e.answer(w, http.StatusOK, "")
}

func (e *executor) stop(o order) {
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	r := e.runs[o.Task]
	if r == nil || r.number > o.Run || r.stopping {
		return
	}
	r.stopping = true
	r.timer.Stop()
	r.timer = time.AfterFunc(stopTimeout/2, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[o.Task] == r && !e.over {
			e.finish(o.Task, "stopped")
		}
	})
}

// finish ends a run and lists its end.
func (e *executor) finish(task, how string) {
	r := e.runs[task]
	r.timer.Stop()
	delete(e.runs, task)
	e.lastNumber++
	e.ends = append(e.ends, end{time.Now(), e.lastNumber, task, r.number, how})
	e.m.bed.ended(e, r, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (r *run) percent() int {
	share := time.Since(r.began).Seconds()
	if r.lasting {
		return min(100, int(100*share/startupTime.Seconds()))
	}
	return min(99, int(100*share/r.length.Seconds()))
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, o order) {
	e.extend(o.DeadlineMs)
	e.lastSeen = max(e.lastSeen, o.LastSeen)
	kept := e.ends[:0:0]
	for _, row := range e.ends {
		if row.number > o.LastSeen {
			kept = append(kept, row)
			continue
		}
		e.m.bed.seen(e, row)
	}
	e.ends = kept
	if len(e.ends) == 0 && o.WaitMs > 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(min(time.Duration(o.WaitMs)*time.Millisecond, maxWait)):
		}
		e.mu.Lock()
	}
	if e.silent {
		e.mu.Unlock()
		<-r.Context().Done()
		e.mu.Lock()
	}
	if e.over || e.silent {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range e.runs {
		load := r.needs.Cpu
		if r.lasting {
			load = 20
		}
		running = append(running, []any{task, r.number, "", r.percent(), load})
	}
	for _, row := range e.ends[:min(len(e.ends), endsPerAnswer)] {
		ended = append(ended, []any{row.number, row.task, row.run, row.how, ""})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"ClockMs": e.clock(), "born": e.born.UnixMilli(), "Running": running, "EndedRuns": ended})
}

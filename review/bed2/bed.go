//go:build review

// Command bed2 starts the project's programs as processes, with stand-ins for the platform,
// its executors, its clients and its operator, and checks a rule. See the cases beside it.
package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

var zones = []string{"za", "zb", "zc"}

// resources is the room of an executor or the need of a task.
type resources struct {
	Cpu   int64
	MemMb int64
	Gpu   int64
}

func (r resources) plus(o resources) resources {
	return resources{r.Cpu + o.Cpu, r.MemMb + o.MemMb, r.Gpu + o.Gpu}
}

func (r resources) times(n int64) resources { return resources{r.Cpu * n, r.MemMb * n, r.Gpu * n} }

func (r resources) within(room resources) bool {
	return r.Cpu <= room.Cpu && r.MemMb <= room.MemMb && r.Gpu <= room.Gpu
}

// stepPlan is a step of a job, with what its tasks do once they run.
type stepPlan struct {
	count     int
	needs     resources
	dependsOn []int
	lasting   bool
	apart     int
	// missAllowed is how many tasks of a lasting step may be away by the system's actions.
	missAllowed int
	// mean is the mean time that a task runs, and outcome how its runs end.
	mean    time.Duration
	outcome string
}

// job is a job of a client, as the client and the executors have seen it.
type job struct {
	id, queue, service, spec string
	steps                    []stepPlan
	firstSent                time.Time
	accepted, cancelSent     time.Time
	rejected                 bool
	shown                    string
	firstBegan               time.Time
}

// task is what the executors have seen of one task.
type task struct {
	starts     int
	active     map[string]*run
	failed     int
	failedSeen int
	// crashed counts the executors that have crashed while they ran the task.
	crashed  int
	done     bool
	doneSeen time.Time
	lastEnd  time.Time
}

// taskPlan is what an executor has to know of a task.
type taskPlan struct {
	spec    string
	needs   resources
	lasting bool
	length  time.Duration
	outcome string
}

type bed struct {
	net       network
	dir       string
	room      resources
	pools     []string
	standby   string
	machines  []*machine
	processes []*process
	client    *http.Client
	trouble   bool

	mu       sync.Mutex
	record   *os.File
	started  time.Time
	jobs     map[string]*job
	order    []*job
	tasks    map[string]*task
	maxFails int
	// wave names the wave of each machine that is due for upkeep, begun those whose upkeep
	// has begun.
	wave  map[string]int64
	begun map[string]bool
	// hint is the address that the system has last named for heartbeats.
	hint string
	// onList is called for each listing and returns how long it takes.
	onList   func() time.Duration
	breaches []string
	failure  string
	// late reports whether an order to an executor gets no answer and is carried out later.
	late func(e *executor) bool
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.write(format, args...)
}

func (b *bed) write(format string, args ...any) {
	fmt.Fprintf(b.record, "%9.3f  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (b *bed) breach(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breachLocked(format, args...)
}

func (b *bed) breachLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.breaches = append(b.breaches, text)
	b.write("BROKEN: %s", text)
}

// broken records that the case could not run.
func (b *bed) broken(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failure = fmt.Sprintf(format, args...)
	b.write("COULD NOT RUN: %s", b.failure)
}

func (b *bed) controlAddresses() []string {
	list := []string{}
	for i := range cells {
		list = append(list, at(b.net.cell(i), controlPort))
	}
	return list
}

func (b *bed) isPool(name string) bool {
	for _, p := range b.pools {
		if p == name {
			return true
		}
	}
	return name == b.standby
}

// listTime returns how long the platform takes for a listing that has just been asked for.
func (b *bed) listTime() time.Duration {
	b.mu.Lock()
	f := b.onList
	b.mu.Unlock()
	if f == nil {
		return 0
	}
	return f()
}

// allMachines returns the machines of the platform.
func (b *bed) allMachines() []*machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*machine{}, b.machines...)
}

// call makes one call. The status is 0 if there is no whole answer.
func (b *bed) call(method, url, host, body string, limit time.Duration) (int, []byte) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if host != "" {
		req.Host = host
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	client := *b.client
	client.Timeout = limit
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// parse splits the name of a task, ID.K.STEP.INDEX.
func parse(name string) (id string, step, index int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, false
	}
	step, err := strconv.Atoi(parts[2])
	index, err2 := strconv.Atoi(parts[3])
	return parts[0], step, index, err == nil && err2 == nil && parts[1] == "0"
}

// planOf returns what the executors have to know of a task, if a client sent it.
func (b *bed) planOf(name string) (taskPlan, bool) {
	id, step, index, ok := parse(name)
	b.mu.Lock()
	j := b.jobs[id]
	b.mu.Unlock()
	if !ok || j == nil || step >= len(j.steps) || index >= j.steps[step].count {
		return taskPlan{}, false
	}
	s := j.steps[step]
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	factor := 0.6 + 0.8*float64(h.Sum32()%1000)/1000
	return taskPlan{spec: j.spec, needs: s.needs, lasting: s.lasting, length: time.Duration(factor * float64(s.mean)), outcome: s.outcome}, true
}

func (b *bed) task(name string) *task {
	t := b.tasks[name]
	if t == nil {
		t = &task{active: map[string]*run{}}
		b.tasks[name] = t
	}
	return t
}

// began notes that a run has begun, and checks what holds for every start.
func (b *bed) began(e *executor, r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.task(r.task)
	t.starts++
	b.write("run %s/%d begins on %s", r.task, r.number, e.id)
	if len(t.active) > 0 {
		b.breachLocked("TWICE: %s/%d begins on %s while another run of it is active", r.task, r.number, e.id)
	}
	if !t.doneSeen.IsZero() {
		b.breachLocked("TWICE: %s/%d begins on %s after an end done was taken note of", r.task, r.number, e.id)
	}
	if !r.lasting && t.failedSeen >= b.maxFails {
		b.breachLocked("BUDGET: %s/%d begins on %s after %d runs have ended failed, all taken note of; MaxAttempts is %d", r.task, r.number, e.id, t.failedSeen, b.maxFails)
	}
	t.active[e.id] = r
	id, _, _, _ := parse(r.task)
	if j := b.jobs[id]; j != nil && j.firstBegan.IsZero() {
		j.firstBegan = time.Now()
	}
}

func (b *bed) ended(e *executor, r *run, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.task(r.task)
	delete(t.active, e.id)
	t.lastEnd = time.Now()
	switch how {
	case "done":
		t.done = true
	case "failed":
		t.failed++
	case "gone":
		t.crashed++
	}
	if how != "gone" {
		b.write("run %s/%d ends %s on %s", r.task, r.number, how, e.id)
	}
}

// seen notes that an end was taken note of.
func (b *bed) seen(e *executor, row end) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.task(row.task)
	b.write("end of %s/%d (%s) on %s is taken note of", row.task, row.run, row.how, e.id)
	if e.lapsed.After(row.at) {
		// The lease lapsed between the two: the end does not count as taken note of.
		return
	}
	switch row.how {
	case "done":
		if t.doneSeen.IsZero() {
			t.doneSeen = time.Now()
		}
	case "failed":
		t.failedSeen++
	}
}

// newJob returns a job that the client has not sent yet.
func (b *bed) newJob(queue, service string, steps ...stepPlan) *job {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), queue: queue, service: service, spec: fmt.Sprintf("job of %s, %d", queue, len(b.order)), steps: steps}
	b.jobs[j.id] = j
	b.order = append(b.order, j)
	return j
}

func (j *job) body() string {
	steps := []map[string]any{}
	for _, s := range j.steps {
		step := map[string]any{"Count": s.count, "Cpu": s.needs.Cpu, "MemMb": s.needs.MemMb, "EstimatedMs": max(s.mean.Milliseconds(), 1)}
		if len(s.dependsOn) > 0 {
			step["DependsOn"] = s.dependsOn
		}
		if s.lasting {
			step["LongRunning"], step["Image"], step["EstimatedMs"] = true, "serve", 700
		}
		if s.missAllowed > 0 {
			step["MissAllowed"] = s.missAllowed
		}
		if s.apart > 0 {
			step["AntiAffinity"] = s.apart
		}
		steps = append(steps, step)
	}
	data, _ := json.Marshal(map[string]any{"Spec": j.spec, "Steps": steps})
	return string(data)
}

const host = "shop.example"

func (b *bed) front(i int) string { return at(b.net.entry(i%entries), frontPort) }

// submit sends a job until it is accepted or the client's attempts are used up.
func (b *bed) submit(j *job) {
	first := rand.Intn(entries)
	allRejected := true
	for attempt := range 5 {
		b.mu.Lock()
		if j.firstSent.IsZero() {
			j.firstSent = time.Now()
		}
		b.write("client sends job %s to frontend-%d", j.id, (first+attempt)%entries)
		b.mu.Unlock()
		status, _ := b.call("POST", "http://"+b.front(first+attempt)+"/"+j.queue+"/"+j.id, host, j.body(), 3*time.Second)
		b.mu.Lock()
		b.write("client gets %d for job %s", status, j.id)
		if status/100 == 2 {
			j.accepted = time.Now()
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		if status != 429 && status != 503 && status != 404 {
			allRejected = false
		}
		if status == 404 || status == 400 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	b.mu.Lock()
	j.rejected = allRejected
	b.mu.Unlock()
}

// ask asks for the state of a job and returns the status and the state.
func (b *bed) ask(j *job) (int, string) {
	status, body := b.call("GET", "http://"+b.front(rand.Intn(entries))+"/"+j.queue+"/"+j.id, host, "", 3*time.Second)
	var state struct{ State string }
	_ = json.Unmarshal(body, &state)
	b.mu.Lock()
	defer b.mu.Unlock()
	if state.State != j.shown {
		b.write("client asks for job %s: %d %s", j.id, status, state.State)
	}
	if status == 200 {
		j.shown = state.State
	}
	return status, state.State
}

// isFinal reports whether a job is shown in a final state.
func isFinal(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// routeOf returns a route of the configuration.
func routeOf(queue, service string, maxAttempts int) map[string]any {
	return map[string]any{
		"Name": "r-" + queue, "Host": host, "PathPrefix": "/" + queue + "/", "Kind": "non_idempotent", "TimeoutMs": 3000, "TargetDurationMs": 600,
		"Priority": 0, "Service": service, "MaxAttempts": maxAttempts, "SlackFactor": 1.6,
	}
}

// configure sends a configuration until it is acknowledged.
func (b *bed) configure(version int, routes ...map[string]any) bool {
	services := []map[string]any{}
	for _, p := range b.pools {
		services = append(services, serviceOf(p, false))
	}
	if b.standby != "" {
		services = append(services, serviceOf(b.standby, true))
	}
	body, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	for attempt := range 60 {
		status, _ := b.call("POST", "http://"+at(b.net.cell(attempt%cells), controlPort)+"/config/replace", "", string(body), time.Second)
		b.note("operator sends configuration %d to core-%d and gets %d", version, attempt%cells, status)
		if status == 200 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func serviceOf(name string, standby bool) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "EnforcesCapacity": true, "Standby": standby}
}

func taskName(j *job, step, index int) string {
	return fmt.Sprintf("%s.0.%d.%d", j.id, step, index)
}

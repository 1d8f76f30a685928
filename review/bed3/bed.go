//go:build review

// Command bed3 plays the scripted cases of the third independent review: it starts the
// project's own programs as separate processes on loopback addresses, with stand-ins for
// clients, executors and the platform, and checks one rule for each case.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the site slidecraft-yard.
const (
	heartbeatEvery = 1500 * time.Millisecond
	holdMax        = 6000 * time.Millisecond
	stopTimeout    = 300 * time.Millisecond
	clientDeadline = 3000 * time.Millisecond
)

const (
	controlPort = 8623
	peerPort    = 7060
	clientPort  = 8624
	readyPort   = 8622
	platformNo  = 250
	cores       = 5
	fronts      = 2
)

// errCannotRun means that the case could not be played.
var errCannotRun = errors.New("the case could not run")

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// bed is a small deployment.
type bed struct {
	rec       *record
	dir       string
	prefix    string
	cells     []*process
	entries   []*process
	machines  []*machine
	client    *http.Client
	version   int
	specs     sync.Map
	trouble   bool
	ctx       context.Context
	stopAll   context.CancelFunc
	group     sync.WaitGroup
	platform  *http.Server
	leaderMu  sync.Mutex
	leaderURL string
	runsMu    sync.Mutex
	runs      []*runRecord
	gangs     gangs
	// upkeepMu protects the wave and the machines that have had their upkeep in it.
	upkeepMu  sync.Mutex
	wave      int
	inWave    map[string]bool
	hadUpkeep map[string]int
}

// process is one program of the project.
type process struct {
	name, binary, settings, ip string
	cmd                        *exec.Cmd
	done                       chan struct{}
	log                        *os.File
}

func (b *bed) ip(n int) string { return fmt.Sprintf("%s.%d", b.prefix, n) }

// newBed starts the processes, sends the first configuration and starts the machines.
func newBed(rec *record, trouble bool) (*bed, error) {
	dir, err := os.MkdirTemp("", "bed3-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &bed{
		rec: rec, dir: dir, trouble: trouble, hadUpkeep: map[string]int{}, inWave: map[string]bool{}, ctx: ctx, stopAll: cancel,
		client: &http.Client{Timeout: clientDeadline, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for range 20 {
		b.prefix = fmt.Sprintf("127.%d.%d", 50+rand.IntN(150), 1+rand.IntN(250))
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", b.ip(platformNo), controlPort)); err == nil {
			l.Close()
			break
		}
	}
	if err := b.servePlatform(); err != nil {
		return b, err
	}
	seeds := fmt.Sprintf("%s:%d,%s:%d,%s:%d", b.ip(1), controlPort, b.ip(2), controlPort, b.ip(3), controlPort)
	for i := range cores {
		if err := b.startCell(i, seeds); err != nil {
			return b, err
		}
	}
	for i := range fronts {
		if err := b.startEntry(i, seeds); err != nil {
			return b, err
		}
	}
	return b, nil
}

func (b *bed) startCell(i int, seeds string) error {
	ip, name := b.ip(1+i), fmt.Sprintf("core-%d", i+1)
	data := filepath.Join(b.dir, name)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	text := fmt.Sprintf("[process]\nname = %s\nzone = moratuwa\nlog-level = info\n\n[executors]\nlisten = %s:%d\n\n[peer]\nlisten = %s:%d\n\n[cell]\nseeds = %s\npeer-port = %d\nbootstrap = true\ndata-dir = %s\ntolerated-losses = 2\n\n[limits]\nmemory = 280\n\n[platform]\nhosts-api = %s:%d\nadvisor = %s:%d\n\n[bounds]\nreport-every = 1500ms\nhold-max = 6000ms\nhost-lease = 3000ms\nmove-time = 1.5s\nupkeep-time = 2s\nretention = 120s\n",
		name, ip, controlPort, ip, peerPort, seeds, peerPort, data, b.ip(platformNo), controlPort, b.ip(platformNo), controlPort)
	p, err := b.startProcess(name, "target/dock-cell", ip, text)
	b.cells = append(b.cells, p)
	return err
}

func (b *bed) startEntry(i int, seeds string) error {
	ip, name := b.ip(11+i), fmt.Sprintf("frontend-%d", i+1)
	text := fmt.Sprintf("[process]\nname = %s\nzone = moratuwa\nlog-level = info\n\n[callers]\nlisten = %s:%d\n\n[peer]\nlisten = %s:%d\n\n[ready]\nlisten = %s:%d\n\n[cell]\nseeds = %s\npeer-port = %d\n\n[limits]\nmemory = 284\ngrace = 6s\n",
		name, ip, clientPort, ip, peerPort, ip, readyPort, seeds, peerPort)
	p, err := b.startProcess(name, "target/dock-jobs", ip, text)
	b.entries = append(b.entries, p)
	return err
}

func (b *bed) startProcess(name, binary, ip, text string) (*process, error) {
	settings := filepath.Join(b.dir, name+".ini")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(b.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, binary: binary, settings: settings, ip: ip, log: log, done: make(chan struct{})}
	p.cmd = exec.Command(binary)
	p.cmd.Env = append(os.Environ(), "LABURNUMDOCK_BOOT="+settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		err := p.cmd.Wait()
		b.rec.log("process %s ended: %v", name, err)
		close(p.done)
	}()
	return p, nil
}

func (b *bed) signal(p *process, s syscall.Signal) {
	b.rec.log("signal %s to %s", s, p.name)
	if err := p.cmd.Process.Signal(s); err != nil {
		b.rec.log("signal failed: %v", err)
	}
}

// close ends everything that the bed started.
func (b *bed) close() {
	b.stopAll()
	for _, m := range b.machines {
		m.powerOff()
	}
	for _, p := range append(append([]*process{}, b.cells...), b.entries...) {
		if p == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		p.log.Close()
	}
	if b.platform != nil {
		b.platform.Close()
	}
	b.group.Wait()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs:", b.dir)
	}
}

// servePlatform is the platform's interface for machines. It lists them and carries out
// their upkeep. It takes no order for a move: there is no other pool with machines.
func (b *bed) servePlatform() error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", b.ip(platformNo), controlPort))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		rows := []any{}
		for _, m := range b.machines {
			m.mu.Lock()
			state, id := "up", m.id
			if !m.isUp {
				state, id = "down", ""
			}
			rows = append(rows, map[string]any{"Machine": m.name, "Pool": service, "State": state, "Zone": "moratuwa", "Labels": []string{"a", m.rack}, "Capacity": m.capacity(), "Id": id})
			m.mu.Unlock()
		}
		writeJSON(w, 200, map[string]any{"Machines": rows, "NextToken": ""})
	})
	mux.HandleFunc("POST /machine-move", func(w http.ResponseWriter, r *http.Request) {
		b.rec.log("platform: %s refused as busy", r.URL.Path)
		writeJSON(w, 409, map[string]any{"Reason": "busy"})
	})
	mux.HandleFunc("POST /machine-upkeep", b.serveUpkeep)
	b.platform = &http.Server{Handler: mux}
	b.group.Go(func() { _ = b.platform.Serve(l) })
	return nil
}

// upkeepTime is MaintenanceS.
const upkeepTime = 2 * time.Second

// serveUpkeep ends what runs on a machine. A new executor joins after the upkeep.
func (b *bed) serveUpkeep(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string
		Wave    int
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	b.upkeepMu.Lock()
	defer b.upkeepMu.Unlock()
	for _, m := range b.machines {
		if m.name != o.Machine {
			continue
		}
		m.mu.Lock()
		isUp := m.isUp
		m.mu.Unlock()
		switch {
		case b.hadUpkeep[m.name] == o.Wave:
			b.rec.log("platform: upkeep of %s, wave %d: 200, already done", o.Machine, o.Wave)
		case o.Wave != b.wave || !b.inWave[m.name]:
			b.rec.log("platform: upkeep of %s, wave %d: 409 wave", o.Machine, o.Wave)
			writeJSON(w, 409, map[string]any{"Reason": "wave"})
			return
		case !isUp:
			b.rec.log("platform: upkeep of %s, wave %d: 409 busy", o.Machine, o.Wave)
			writeJSON(w, 409, map[string]any{"Reason": "busy"})
			return
		default:
			b.rec.log("platform: upkeep of %s, wave %d: 200, it begins", o.Machine, o.Wave)
			b.hadUpkeep[m.name] = o.Wave
			m.powerOff()
			b.group.Go(func() {
				select {
				case <-b.ctx.Done():
					return
				case <-time.After(upkeepTime):
				}
				m.mu.Lock()
				m.id += "x"
				m.mu.Unlock()
				if err := m.powerOn(); err != nil {
					b.rec.log("machine %s: %v", m.name, err)
				}
			})
		}
		writeJSON(w, 200, map[string]any{})
		return
	}
	writeJSON(w, 400, map[string]any{})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

const (
	service  = "sawroom"
	hostName = "cuzi25.example"
	queue    = "/kafi706/"
)

// configuration returns a configuration with one queue, with extra routes.
func configuration(version int, extra ...string) string {
	routes := []string{fmt.Sprintf(`{"Name":"r-1","Host":"%s","PathPrefix":"%s","Kind":"non_idempotent","TimeoutMs":3000,"TargetDurationMs":600,"Priority":0,"Service":"%s","MaxAttempts":4,"SlackFactor":2.2}`, hostName, queue, service)}
	routes = append(routes, extra...)
	return fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[{"Name":"%s","HealthPath":"/healthz","MaxConnections":64,"Protocol":"h1","Tls":false,"EnforcesCapacity":true,"Standby":false},{"Name":"mirror-shop","HealthPath":"/healthz","MaxConnections":64,"Protocol":"h1","Tls":false,"EnforcesCapacity":true,"Standby":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, version, strings.Join(routes, ","), service)
}

// call makes one call and returns the status, 0 without a complete answer.
func (b *bed) call(method, url, host, body string) (int, []byte) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := b.client.Do(req)
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

// configure sends a configuration, at one daemon after the other, until it has a clear
// answer, and returns the status.
func (b *bed) configure(text string) int {
	for i := range 100 {
		status, _ := b.call("POST", fmt.Sprintf("http://%s:%d/config/replace", b.ip(1+i%cores), controlPort), "", text)
		b.rec.log("operator: configuration sent to core-%d, answer %d", 1+i%cores, status)
		if status >= 200 && status < 300 || status >= 400 && status < 500 && status != 408 && status != 429 {
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}

func (b *bed) entryURL(i int) string {
	return fmt.Sprintf("http://%s:%d", b.ip(11+i%fronts), clientPort)
}

// submit hands a job in until it is accepted.
func (b *bed) submit(id string, steps []step) bool {
	b.specs.Store(id, steps)
	body, _ := json.Marshal(map[string]any{"Spec": "text of " + id, "Steps": steps})
	for i := range 30 {
		status, _ := b.call("POST", b.entryURL(i)+queue+id, hostName, string(body))
		b.rec.log("client: POST %s to frontend-%d, answer %d", id, 1+i%fronts, status)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (b *bed) state(id string) string {
	for i := range 10 {
		status, data := b.call("GET", b.entryURL(i)+queue+id, hostName, "")
		var shown struct{ State string }
		_ = json.Unmarshal(data, &shown)
		if status == 200 || status == 410 {
			if status == 410 {
				shown.State = "410"
			}
			b.rec.log("client: GET %s at frontend-%d, answer %d %s", id, 1+i%fronts, status, shown.State)
			return shown.State
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

// step is a step of a job, as clients send it.
type step struct {
	Count        int    `json:"Count"`
	CPU          int    `json:"Cpu"`
	MemMB        int    `json:"MemMb"`
	EstimatedMs  int    `json:"EstimatedMs"`
	AntiAffinity int    `json:"AntiAffinity,omitempty"`
	LongRunning  bool   `json:"LongRunning,omitempty"`
	Gang         bool   `json:"Gang,omitempty"`
	RackLocal    bool   `json:"RackLocal,omitempty"`
	MissAllowed  int    `json:"MissAllowed,omitempty"`
	Image        string `json:"Image,omitempty"`
	WorkMs       int    `json:"-"`
	// FailMs is the mean time after which a task that lasts fails, 0 if it does not, and
	// IsPoison is set if every run of the task fails soon after its start.
	FailMs        int  `json:"-"`
	IsPoison      bool `json:"-"`
	Checkpointing bool `json:"Checkpointing,omitempty"`
}

// ready waits until the configuration is acknowledged and the entry hosts are ready.
func (b *bed) ready() error {
	if status := b.configure(configuration(1)); status != 200 {
		return fmt.Errorf("%w: first configuration has answer %d", errCannotRun, status)
	}
	for i := range fronts {
		ok := false
		for range 100 {
			if status, _ := b.call("GET", fmt.Sprintf("http://%s:%d/readyz", b.ip(11+i), readyPort), "", ""); status == 200 {
				ok = true
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !ok {
			return fmt.Errorf("%w: frontend-%d is not ready", errCannotRun, i+1)
		}
	}
	return nil
}

// addMachines starts machines, perRack to a rack.
func (b *bed) addMachines(count, perRack int) error {
	return b.addMachinesRackByRack(count, perRack, 0)
}

// addMachinesRackByRack does the same with a pause between two racks.
func (b *bed) addMachinesRackByRack(count, perRack int, pause time.Duration) error {
	for i := range count {
		m := &machine{bed: b, name: fmt.Sprintf("m-%02d", i), id: fmt.Sprintf("i-%02d", i), rack: fmt.Sprintf("r1-%d", i/perRack), address: fmt.Sprintf("%s:%d", b.ip(101+i), 8080)}
		b.machines = append(b.machines, m)
	}
	for i, m := range b.machines {
		if i > 0 && i%perRack == 0 {
			b.sleep(pause)
		}
		if err := m.powerOn(); err != nil {
			return err
		}
	}
	return nil
}

func (b *bed) setLeader(address string) {
	b.leaderMu.Lock()
	defer b.leaderMu.Unlock()
	b.leaderURL = address
}

// leader returns the core process that executors were last told to report to.
func (b *bed) leader() *process {
	b.leaderMu.Lock()
	defer b.leaderMu.Unlock()
	host, _, _ := strings.Cut(b.leaderURL, ":")
	for _, p := range b.cells {
		if p.ip == host {
			return p
		}
	}
	return nil
}

func (b *bed) sleep(d time.Duration) { time.Sleep(d) }

func post(client *http.Client, url string, body []byte) (int, []byte, error) {
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

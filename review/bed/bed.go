//go:build review

package bed

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a script.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

const (
	coreCount  = 5
	frontCount = 3
)

// Bed is a small deployment: the programs of the deploy file and the stand-ins.
type Bed struct {
	Rec *Record
	// Cloud is the platform's interface for machines once it is started.
	Cloud *Cloud
	// Trouble reports whether the disruption is to be made.
	Trouble bool

	root, dir, net                              string
	controlPort, frontPort, readyPort, peerPort int
	cloudAddress, advisorAddress                string
	roles                                       map[string]role
	cores, fronts                               []*Proc
	client                                      *http.Client

	mu        sync.Mutex
	jobs      map[string]*Job
	executors []*Executor
	runs      map[string][]*runTrace
	broken    []string
	cleanups  []func()
	nextLife  int
	lastHost  int
}

// Proc is one process of the system.
type Proc struct {
	Name    string
	args    []string
	env     []string
	dir     string
	logPath string
	cmd     *exec.Cmd
	log     *os.File
}

// Main runs a case and exits. It ends all processes that the case started. The arguments
// are the folder for the record, and "with" or "without" the disruption.
func Main(limit time.Duration, play func(b *Bed) error) {
	if len(os.Args) != 3 || os.Args[2] != "with" && os.Args[2] != "without" {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER with|without")
		os.Exit(CantRun)
	}
	os.Exit(run(os.Args[1], os.Args[2] == "with", limit, play))
}

func run(folder string, trouble bool, limit time.Duration, play func(b *Bed) error) int {
	rec, err := NewRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CantRun
	}
	defer rec.Close()
	b, err := newBed(rec, trouble)
	if err != nil {
		rec.Log("the case can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return CantRun
	}
	defer b.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- play(b) }()
	select {
	case err = <-done:
	case <-signals:
		err = errors.New("interrupted")
	case <-time.After(limit):
		err = errors.New("the time limit was reached")
	}
	b.mu.Lock()
	broken := b.broken
	b.mu.Unlock()
	switch {
	case len(broken) > 0:
		for _, text := range broken {
			fmt.Println("BROKEN", text)
		}
		rec.Log("result: %d breaks of the rule", len(broken))
		return Broken
	case err != nil:
		rec.Log("the case can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return CantRun
	}
	rec.Log("result: the rule held")
	fmt.Println("HELD")
	return Held
}

func newBed(rec *Record, trouble bool) (*Bed, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	roles, err := readRoles(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &Bed{
		Rec: rec, Trouble: trouble, root: root, dir: dir, roles: roles, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		jobs: map[string]*Job{}, runs: map[string][]*runTrace{}, lastHost: 100,
	}
	rec.Log("disruption: %t", b.Trouble)
	if err := b.choosePorts(); err != nil {
		return nil, err
	}
	return b, nil
}

// choosePorts chooses a /24 of the loopback range and ports that are free on it.
func (b *Bed) choosePorts() error {
	for range 50 {
		b.net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 20000 + rand.IntN(10000)
		b.controlPort, b.frontPort, b.readyPort, b.peerPort = base, base+1, base+2, base+3
		if b.arePortsFree() {
			b.cloudAddress = fmt.Sprintf("%s99:%d", b.net, base+4)
			b.advisorAddress = fmt.Sprintf("%s99:%d", b.net, base+6)
			return nil
		}
	}
	return errors.New("no free ports were found")
}

func (b *Bed) arePortsFree() bool {
	for host := 1; host <= coreCount+frontCount; host++ {
		for _, port := range []int{b.controlPort, b.frontPort, b.readyPort, b.peerPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", b.net, host, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// ControlAddresses returns the addresses of the core machines for operators and
// executors.
func (b *Bed) ControlAddresses() []string {
	var list []string
	for i := range coreCount {
		list = append(list, fmt.Sprintf("%s%d:%d", b.net, i+1, b.controlPort))
	}
	return list
}

func (b *Bed) frontAddress(i int) string {
	return fmt.Sprintf("%s%d:%d", b.net, coreCount+1+i%frontCount, b.frontPort)
}

// Start starts all processes and the platform's interface for machines, and waits until
// the entry hosts are ready.
func (b *Bed) Start() error {
	if b.Cloud == nil {
		if _, err := b.StartCloud(); err != nil {
			return err
		}
	}
	for i := range coreCount {
		p, err := b.newProc("cell", fmt.Sprintf("core-%d", i+1), "core", fmt.Sprintf("%s%d", b.net, i+1))
		if err != nil {
			return err
		}
		b.cores = append(b.cores, p)
	}
	for i := range frontCount {
		p, err := b.newProc("jobs", fmt.Sprintf("frontend-%d", i+1), "frontend", fmt.Sprintf("%s%d", b.net, coreCount+1+i))
		if err != nil {
			return err
		}
		b.fronts = append(b.fronts, p)
	}
	for _, p := range append(append([]*Proc{}, b.cores...), b.fronts...) {
		if err := b.StartProc(p); err != nil {
			return err
		}
	}
	for i := range frontCount {
		url := fmt.Sprintf("http://%s%d:%d/readyz", b.net, coreCount+1+i, b.readyPort)
		if err := b.waitFor(20*time.Second, func() bool { s, _ := b.call("GET", url, "", "", time.Second); return s == 200 }); err != nil {
			return fmt.Errorf("frontend-%d isn't ready: %w", i+1, err)
		}
	}
	return nil
}

func (b *Bed) newProc(roleName, name, class, ip string) (*Proc, error) {
	r := b.roles[roleName]
	template, err := os.ReadFile(filepath.Join(b.root, r.template))
	if err != nil {
		return nil, err
	}
	dataDir := filepath.Join(b.dir, name)
	if err := os.MkdirAll(dataDir, 0o700); err != nil {
		return nil, err
	}
	path := filepath.Join(b.dir, name+".ini")
	if err := os.WriteFile(path, []byte(render(string(template), b.settingsOf(name, class, ip, dataDir))), 0o600); err != nil {
		return nil, err
	}
	return &Proc{
		Name: name, args: strings.Fields(r.run), dir: b.root, logPath: filepath.Join(b.dir, name+".log"),
		env: []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LABURNUMDOCK_BOOT=" + path},
	}, nil
}

// StartProc starts a process with the command of the deploy file.
func (b *Bed) StartProc(p *Proc) error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(p.dir, p.args[0]), p.args[1:]...)
	cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = p.dir, p.env, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.log = cmd, log
	b.Rec.Log("process %s started", p.Name)
	return nil
}

// Signal sends a signal to a process of the system.
func (b *Bed) Signal(p *Proc, s syscall.Signal) {
	b.Rec.Log("process %s gets signal %q", p.Name, s.String())
	_ = p.cmd.Process.Signal(s)
	if s == syscall.SIGKILL {
		_ = p.cmd.Wait()
		p.log.Close()
	}
}

// Cores returns the processes of the core machines.
func (b *Bed) Cores() []*Proc { return b.cores }

// Leader returns the process that leads, as the reports of the executors show: the
// leader names its own address for later reports.
func (b *Bed) Leader() *Proc {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.executors {
		for i, address := range b.ControlAddresses() {
			if e.reportAddress == address {
				return b.cores[i]
			}
		}
	}
	return nil
}

func (b *Bed) close() {
	b.mu.Lock()
	cleanups := b.cleanups
	b.mu.Unlock()
	for _, f := range cleanups {
		f()
	}
	for _, p := range append(append([]*Proc{}, b.cores...), b.fronts...) {
		if p.cmd != nil && p.cmd.ProcessState == nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	}
	if os.Getenv("KEEP") != "" {
		b.Rec.Log("logs of the processes are kept in a temporary folder")
		fmt.Println("logs:", b.dir)
		return
	}
	os.RemoveAll(b.dir)
}

// Break records that the rule was broken.
func (b *Bed) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.Rec.Log("BROKEN: %s", text)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, text)
}

func (b *Bed) breakLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.Rec.Log("BROKEN: %s", text)
	b.broken = append(b.broken, text)
}

func (b *Bed) waitFor(limit time.Duration, f func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return nil
		}
	}
	return errors.New("timed out")
}

// WaitFor waits until f returns true.
func (b *Bed) WaitFor(limit time.Duration, what string, f func() bool) error {
	if err := b.waitFor(limit, f); err != nil {
		return fmt.Errorf("%s: %w", what, err)
	}
	return nil
}

// call sends one request. The status is 0 if there is no complete response.
func (b *Bed) call(method, url, host, body string, timeout time.Duration) (int, []byte) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	client := *b.client
	client.Timeout = timeout
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

// Route is a route of the configuration.
type Route struct {
	Name, Prefix, Service string
	MaxAttempts           int
	// Advised is set if the advisor decides on the executors.
	Advised bool
}

// Host is the host of all routes.
const Host = "r.example"

// Configure sends a configuration until it is acknowledged.
func (b *Bed) Configure(version int, services []map[string]any, routes ...Route) error {
	var list []map[string]any
	for _, r := range routes {
		route := map[string]any{
			"Name": r.Name, "Host": Host, "PathPrefix": r.Prefix, "Kind": "non_idempotent", "TimeoutMs": 3000, "TargetDurationMs": 600,
			"Priority": 0, "Service": r.Service, "MaxAttempts": r.MaxAttempts, "SlackFactor": 1.6,
		}
		if r.Advised {
			route["PlacementAdvisor"] = map[string]int{"DecisionMs": decisionMs, "PeriodMs": periodMs, "ValidityMs": validityMs}
		}
		list = append(list, route)
	}
	body, err := json.Marshal(map[string]any{
		"Version": version, "Routes": list, "Services": services,
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	next := 0
	return b.WaitFor(20*time.Second, "configuration", func() bool {
		next++
		status, _ := b.call("POST", "http://"+b.ControlAddresses()[next%coreCount]+"/config/replace", "", string(body), time.Second)
		b.Rec.Log("operator: configuration %d -> %d", version, status)
		return status == 200
	})
}

// Service returns a service of the configuration.
func Service(name string, standby bool) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "EnforcesCapacity": true, "Standby": standby}
}

// Step is a step of a job.
type Step struct {
	Count        int    `json:"Count"`
	CPU          int    `json:"Cpu"`
	MemMb        int    `json:"MemMb"`
	EstimatedMs  int    `json:"EstimatedMs"`
	Requirements string `json:"Requirements,omitempty"`
	AntiAffinity int    `json:"AntiAffinity,omitempty"`
	Gang         bool   `json:"Gang,omitempty"`
	RackLocal    bool   `json:"RackLocal,omitempty"`
}

// Job is a job of a client, with what its tasks do on an executor.
type Job struct {
	ID, Prefix string
	Step       Step
	// Duration is how long a task works.
	Duration time.Duration
	// Advised is set if the job's queue has an advisor.
	Advised bool
	// Accepted is when the job was accepted.
	Accepted time.Time
}

// Submit hands a job of one step in, with retries as a client makes them.
func (b *Bed) Submit(prefix string, step Step, duration time.Duration) (*Job, error) {
	return b.SubmitTimes(prefix, step, duration, 5)
}

// SubmitAdvised does the same for a queue with an advisor.
func (b *Bed) SubmitAdvised(prefix string, step Step, duration time.Duration) (*Job, error) {
	return b.submit(&Job{Prefix: prefix, Step: step, Duration: duration, Advised: true}, 5)
}

// SubmitTimes does the same with a number of attempts.
func (b *Bed) SubmitTimes(prefix string, step Step, duration time.Duration, attempts int) (*Job, error) {
	return b.submit(&Job{Prefix: prefix, Step: step, Duration: duration}, attempts)
}

func (b *Bed) submit(j *Job, attempts int) (*Job, error) {
	j.ID = fmt.Sprintf("%016x", rand.Uint64())
	prefix, step := j.Prefix, j.Step
	b.mu.Lock()
	b.jobs[j.ID] = j
	b.mu.Unlock()
	body, err := json.Marshal(map[string]any{"Spec": "work of " + j.ID, "Steps": []Step{step}})
	if err != nil {
		return nil, err
	}
	for attempt := range attempts {
		status, _ := b.call("POST", "http://"+b.frontAddress(attempt)+prefix+j.ID, Host, string(body), 3*time.Second)
		b.Rec.Log("client: POST %s%s (%d tasks) -> %d", prefix, j.ID, step.Count, status)
		if status == 200 {
			j.Accepted = time.Now()
			return j, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return nil, errors.New("a job wasn't accepted")
}

// State asks for the state of a job. It returns "" if there is no answer.
func (b *Bed) State(j *Job) string {
	status, data := b.call("GET", "http://"+b.frontAddress(rand.IntN(frontCount))+j.Prefix+j.ID, Host, "", 3*time.Second)
	var shown struct{ State string }
	if status == 200 {
		_ = json.Unmarshal(data, &shown)
	} else if status == 410 {
		shown.State = "410"
	}
	b.Rec.Log("client: GET %s%s -> %d %s", j.Prefix, j.ID, status, shown.State)
	return shown.State
}

// Pending asks for the number of jobs of a queue that haven't begun, -1 if there is no
// answer.
func (b *Bed) Pending(prefix string) int {
	status, data := b.call("GET", "http://"+b.frontAddress(rand.IntN(frontCount))+prefix, Host, "", 3*time.Second)
	var shown struct{ Pending int }
	if status != 200 || json.Unmarshal(data, &shown) != nil {
		shown.Pending = -1
	}
	b.Rec.Log("client: GET %s -> %d pending %d", prefix, status, shown.Pending)
	return shown.Pending
}

// Sleep waits.
func Sleep(d time.Duration) { time.Sleep(d) }

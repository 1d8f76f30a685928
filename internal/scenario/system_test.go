package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"laburnumdock/internal/api"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/role"
	"laburnumdock/internal/settings"
	"laburnumdock/internal/standin"
)

const (
	// waitTimeout bounds every wait of a scenario. It is far above the time that
	// the system needs, so that a busy machine fails no scenario.
	waitTimeout  = 4 * time.Minute
	pollInterval = 50 * time.Millisecond
	// stopTimeout bounds a graceful shutdown, which includes the balancer delay,
	// the requests in flight and the connections that stay open.
	stopTimeout = 40 * time.Second
	// requestTimeout bounds one request that the scenario itself sends.
	requestTimeout = 5 * time.Second
)

// eventLog collects the log lines of all processes.
type eventLog struct {
	mu sync.Mutex
	// lines and partialLine are guarded by mu.
	lines       []string
	partialLine []byte
}

// Write implements io.Writer.
func (e *eventLog) Write(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.partialLine = append(e.partialLine, p...)
	for {
		line, rest, found := bytes.Cut(e.partialLine, []byte("\n"))
		if !found {
			return len(p), nil
		}
		e.lines = append(e.lines, string(line))
		e.partialLine = rest
	}
}

func (e *eventLog) last(n int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.lines[max(0, len(e.lines)-n):]...)
}

// instance is a running process or a role that runs within the test process.
type instance struct {
	// stop requests a graceful shutdown. kill ends a process immediately; it is nil
	// for a role within the test process.
	stop, kill func()
	// ended is closed after err has been set.
	ended chan struct{}
	err   error
}

// system is the deployment of one scenario.
type system struct {
	// preferredReplica is the index of the replica that last reported the outcome
	// of a change. As in dockctl, the next change is sent to it first, because
	// each attempt at a partitioned replica takes seconds.
	preferredReplica atomic.Int64
	*layout
	shape    shape
	binaries string
	log      *eventLog
	logger   *logevent.Logger
	standin  *settings.Standin
	fleet    *standin.Fleet
	running  map[string]*instance
	// names maps the aliases that the scenario has defined to processes.
	names  map[string]string
	load   *backgroundLoad
	budget *budgetMonitor
}

// newSystem starts a deployment and applies the manifest of its fleet. If binaries
// is set, the control replicas and entry hosts run as processes from that folder,
// otherwise as roles within the test process.
func newSystem(dir string, s shape, binaries string, standinOverrides []string) (*system, error) {
	l, err := newLayout(dir)
	if err != nil {
		return nil, err
	}
	if err := l.writeFiles(s); err != nil {
		return nil, err
	}
	sys := &system{layout: l, shape: s, binaries: binaries, log: &eventLog{}, running: map[string]*instance{}, names: map[string]string{}}
	if sys.logger, err = logevent.New(sys.log, "info", "scenario", "scenario"); err != nil {
		return nil, err
	}
	return sys, sys.startAll(standinOverrides)
}

func (s *system) startAll(standinOverrides []string) error {
	if err := s.startStandin(standinOverrides); err != nil {
		return err
	}
	for i := range controlCount {
		if err := s.initialize(controlName(i+1), "init"); err != nil {
			return err
		}
		if err := s.start(controlName(i + 1)); err != nil {
			return err
		}
	}
	for i := range entryCount {
		if err := s.start(entryName(i + 1)); err != nil {
			return err
		}
	}
	var out bytes.Buffer
	if code := s.dockctl(&out, "apply", "--file", filepath.Join(s.dir, "fleet.yaml")); code != 0 {
		return eris.Errorf("apply of the fleet manifest exited with code %d: %s", code, out.String())
	}
	if err := s.waitUntil("every entry host routes to every host", s.servingMismatch); err != nil {
		return err
	}
	s.budget = startBudgetMonitor(s)
	return nil
}

func (s *system) startStandin(overrides []string) error {
	var set settings.Set
	s.standin = settings.NewStandin(&set)
	if err := loadSettings(&set, s.settingsFile("standin"), overrides...); err != nil {
		return err
	}
	var err error
	if s.fleet, err = role.NewStandin(s.standin); err != nil {
		return err
	}
	s.running["standin"] = s.startRole(func(ctx context.Context) error { return role.Standin(ctx, s.standin, s.fleet, s.logger) })
	return nil
}

func loadSettings(set *settings.Set, path string, overrides ...string) error {
	if problems := set.Load(settings.Source{Path: path, Overrides: overrides}); len(problems) > 0 {
		return eris.Errorf("%s", problems[0])
	}
	return nil
}

// initialize creates the data directory of a control replica. Action is init or
// init-join.
func (s *system) initialize(name, action string) error {
	voters, err := s.votersSetting("")
	if err != nil {
		return err
	}
	if s.binaries != "" {
		out, err := exec.Command(filepath.Join(s.binaries, "dock-control"), "--config", s.settingsFile(name), "--set", "control.voters="+voters, action).CombinedOutput()
		return eris.Wrapf(err, "%s", out)
	}
	var set settings.Set
	c := settings.NewControl(&set)
	if err := loadSettings(&set, s.settingsFile(name), "control.voters="+voters); err != nil {
		return err
	}
	if err := os.MkdirAll(*c.DataDir, 0o750); err != nil {
		return err
	}
	return role.InitControl(c, action == "init-join")
}

func (s *system) start(name string) error {
	if s.binaries != "" {
		return s.startProcess(name)
	}
	logger, err := logevent.New(s.log, "info", "scenario", name)
	if err != nil {
		return err
	}
	var set settings.Set
	var run func(context.Context) error
	if strings.HasPrefix(name, "entry-") {
		e := settings.NewEntry(&set)
		run = func(ctx context.Context) error { return role.Entry(ctx, e, logger) }
	} else {
		c := settings.NewControl(&set)
		run = func(ctx context.Context) error { return role.Control(ctx, c, logger) }
	}
	if err := loadSettings(&set, s.settingsFile(name)); err != nil {
		return err
	}
	s.running[name] = s.startRole(run)
	return nil
}

func (s *system) startRole(run func(context.Context) error) *instance {
	ctx, stop := context.WithCancel(context.Background())
	r := &instance{stop: stop, ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		r.err = run(ctx)
	}()
	return r
}

func (s *system) startProcess(name string) error {
	binary := "dock-control"
	if strings.HasPrefix(name, "entry-") {
		binary = "dock-entry"
	}
	cmd := exec.Command(filepath.Join(s.binaries, binary), "--config", s.settingsFile(name))
	cmd.Stderr = s.log
	if err := cmd.Start(); err != nil {
		return err
	}
	r := &instance{ended: make(chan struct{})}
	r.stop = func() { _ = cmd.Process.Signal(syscall.SIGTERM) }
	r.kill = func() { _ = cmd.Process.Kill() }
	go func() {
		defer close(r.ended)
		r.err = cmd.Wait()
	}()
	s.running[name] = r
	return nil
}

// stop shuts an instance down gracefully and waits until it has ended.
func (s *system) stop(name string) error {
	r := s.running[name]
	if r == nil {
		return eris.Errorf("%s is not running", name)
	}
	delete(s.running, name)
	r.stop()
	select {
	case <-r.ended:
		return eris.Wrapf(r.err, "%s", name)
	case <-time.After(stopTimeout):
		if r.kill != nil {
			r.kill()
		}
		return eris.Errorf("%s did not stop within %s", name, stopTimeout)
	}
}

// close stops the load, the budget monitor and all instances. Processes are killed.
func (s *system) close() {
	if s.load != nil {
		s.load.stop()
	}
	if s.budget != nil {
		s.budget.stop()
	}
	for _, k := range s.links {
		k.setMode(linkPass)
	}
	var names []string
	for name := range s.running {
		names = append(names, name)
	}
	var all sync.WaitGroup
	for _, name := range names {
		r := s.running[name]
		if r.kill != nil {
			r.kill()
		}
		r.stop()
		all.Go(func() {
			select {
			case <-r.ended:
			case <-time.After(stopTimeout):
			}
		})
	}
	all.Wait()
	for _, k := range s.links {
		k.close()
	}
}

// waitUntil polls a condition until it holds. The condition returns "" if it holds
// and otherwise a description of the actual state.
func (s *system) waitUntil(expected string, condition func() string) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		actual := condition()
		if actual == "" {
			return nil
		}
		if err := s.checkRunning(); err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return &expectationError{expected: fmt.Sprintf("%s within %s", expected, waitTimeout), actual: actual}
		}
		time.Sleep(pollInterval)
	}
}

// checkRunning returns an error if an instance has ended that should be running.
func (s *system) checkRunning() error {
	for name, r := range s.running {
		select {
		case <-r.ended:
			return eris.Errorf("%s ended unexpectedly: %v", name, r.err)
		default:
		}
	}
	return nil
}

// expectationError reports an expectation that does not hold.
type expectationError struct{ expected, actual string }

// Error implements error.
func (e *expectationError) Error() string {
	return fmt.Sprintf("expected: %s\nseen:     %s", e.expected, e.actual)
}

// servingMismatch returns "" if every host serves and every entry host is ready and
// knows their endpoints.
func (s *system) servingMismatch() string {
	serving := 0
	for _, n := range s.fleet.Platform.AvailableHosts() {
		serving += n
	}
	if serving < s.fleet.Size() {
		return fmt.Sprintf("%d of %d hosts are serving", serving, s.fleet.Size())
	}
	for name, address := range s.callerAddresses {
		var status struct {
			NotReady  json.RawMessage
			Endpoints []struct{ Live bool }
		}
		if err := getJSON("http://"+address+"/v1/status", &status); err != nil {
			return fmt.Sprintf("%s: %s", name, err)
		}
		if (status.NotReady != nil && string(status.NotReady) != "null") || len(status.Endpoints) < serving {
			return fmt.Sprintf("%s knows %d endpoints, not ready: %s", name, len(status.Endpoints), status.NotReady)
		}
	}
	return ""
}

func getJSON(url string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return eris.Errorf("%s: %s", res.Status, bytes.TrimSpace(data))
	}
	return json.Unmarshal(data, out)
}

// clusterStatus reads the cluster status from the replicas directly. Of several
// statuses from a leader it returns the one of the newest term, because a partitioned
// leader may not have noticed its loss of leadership.
func (s *system) clusterStatus() (api.ClusterStatus, error) {
	var newest api.ClusterStatus
	for name := range s.running {
		if s.apiAddresses[name] == "" {
			continue
		}
		var status api.ClusterStatus
		if err := getJSON("http://"+s.apiAddresses[name]+"/v1/cluster", &status); err == nil && status.ProgressKnown && status.Term > newest.Term {
			newest = status
		}
	}
	if !newest.ProgressKnown {
		return newest, eris.New("no control replica reports that it is the leader")
	}
	return newest, nil
}

// resolve returns the process that a name in a scenario refers to: an alias, leader,
// follower or the process itself.
func (s *system) resolve(name string) (string, error) {
	if process, found := s.names[name]; found {
		return process, nil
	}
	if name != "leader" && name != "follower" {
		return name, nil
	}
	var leader uint64
	err := s.waitUntil("a control replica is leader", func() string {
		status, err := s.clusterStatus()
		if err != nil {
			return err.Error()
		}
		leader = status.Leader
		return ""
	})
	if err != nil || name == "leader" {
		return controlName(int(leader)), err
	}
	return controlName(int(leader)%controlCount + 1), nil
}

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
	// waitLimit bounds every wait of a scenario. It is far above what the
	// system needs, so that a busy machine fails no scenario.
	waitLimit = 4 * time.Minute
	pollEvery = 50 * time.Millisecond
	// stopLimit bounds a graceful shutdown: the balancer delay, the requests
	// in flight and the connections that stay open.
	stopLimit = 40 * time.Second
	// answerLimit bounds one request of the scenario itself.
	answerLimit = 5 * time.Second
)

// eventLog keeps the log lines of all processes.
type eventLog struct {
	mu sync.Mutex
	// lines is guarded by mu.
	lines []string
	rest  []byte
}

// Write implements io.Writer.
func (e *eventLog) Write(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rest = append(e.rest, p...)
	for {
		line, rest, found := bytes.Cut(e.rest, []byte("\n"))
		if !found {
			return len(p), nil
		}
		e.lines = append(e.lines, string(line))
		e.rest = rest
	}
}

func (e *eventLog) last(n int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.lines[max(0, len(e.lines)-n):]...)
}

// started is a running process or, in one process, a running role.
type started struct {
	// stop asks for a graceful shutdown; kill ends a process at once and is nil
	// for a role within the test.
	stop, kill func()
	// ended is closed after err was set.
	ended chan struct{}
	err   error
}

// system is one deployment of a scenario.
type system struct {
	// answered is the index of the replica that answered a change last. Changes
	// start with it, as dockctl does: each try of a replica that is cut off
	// takes seconds.
	answered atomic.Int64
	*layout
	shape    shape
	binaries string
	log      *eventLog
	logger   *logevent.Logger
	standin  *settings.Standin
	fleet    *standin.Fleet
	running  map[string]*started
	// names are those that a scenario gave to processes.
	names  map[string]string
	caller *callers
	budget *budgetWatch
}

// newSystem starts a deployment and declares its fleet. With binaries the
// control replicas and entry hosts are processes, else roles in this one.
func newSystem(dir string, s shape, binaries string, standinOverrides []string) (*system, error) {
	l, err := newLayout(dir)
	if err != nil {
		return nil, err
	}
	if err := l.write(s); err != nil {
		return nil, err
	}
	sys := &system{layout: l, shape: s, binaries: binaries, log: &eventLog{}, running: map[string]*started{}, names: map[string]string{}}
	if sys.logger, err = logevent.New(sys.log, "info", "scenario", "scenario"); err != nil {
		return nil, err
	}
	return sys, sys.startAll(standinOverrides)
}

func (s *system) startAll(standinOverrides []string) error {
	if err := s.startStandin(standinOverrides); err != nil {
		return err
	}
	for i := range controls {
		if err := s.initialize(controlName(i+1), "init"); err != nil {
			return err
		}
		if err := s.start(controlName(i + 1)); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := s.start(entryName(i + 1)); err != nil {
			return err
		}
	}
	var out bytes.Buffer
	if code := s.dockctl(&out, "apply", "--file", filepath.Join(s.dir, "fleet.yaml")); code != 0 {
		return eris.Errorf("apply of the fleet ended with exit code %d: %s", code, out.String())
	}
	if err := s.until("every entry host routes to every host", s.isReady); err != nil {
		return err
	}
	s.budget = watchBudget(s)
	return nil
}

func (s *system) startStandin(overrides []string) error {
	var set settings.Set
	s.standin = settings.NewStandin(&set)
	if err := loadSettings(&set, s.file("standin"), overrides...); err != nil {
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

// initialize prepares the data folder of a control replica.
func (s *system) initialize(name, action string) error {
	voters, err := s.voters("")
	if err != nil {
		return err
	}
	if s.binaries != "" {
		out, err := exec.Command(filepath.Join(s.binaries, "dock-control"), "--config", s.file(name), "--set", "control.voters="+voters, action).CombinedOutput()
		return eris.Wrapf(err, "%s", out)
	}
	var set settings.Set
	c := settings.NewControl(&set)
	if err := loadSettings(&set, s.file(name), "control.voters="+voters); err != nil {
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
	if err := loadSettings(&set, s.file(name)); err != nil {
		return err
	}
	s.running[name] = s.startRole(run)
	return nil
}

func (s *system) startRole(run func(context.Context) error) *started {
	ctx, stop := context.WithCancel(context.Background())
	r := &started{stop: stop, ended: make(chan struct{})}
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
	cmd := exec.Command(filepath.Join(s.binaries, binary), "--config", s.file(name))
	cmd.Stderr = s.log
	if err := cmd.Start(); err != nil {
		return err
	}
	r := &started{ended: make(chan struct{})}
	r.stop = func() { _ = cmd.Process.Signal(syscall.SIGTERM) }
	r.kill = func() { _ = cmd.Process.Kill() }
	go func() {
		defer close(r.ended)
		r.err = cmd.Wait()
	}()
	s.running[name] = r
	return nil
}

// stop asks for a graceful shutdown and waits for it.
func (s *system) stop(name string) error {
	r := s.running[name]
	if r == nil {
		return eris.Errorf("%s does not run", name)
	}
	delete(s.running, name)
	r.stop()
	select {
	case <-r.ended:
		return eris.Wrapf(r.err, "%s", name)
	case <-time.After(stopLimit):
		if r.kill != nil {
			r.kill()
		}
		return eris.Errorf("%s did not stop within %s", name, stopLimit)
	}
}

// close ends everything, entry hosts first.
func (s *system) close() {
	if s.caller != nil {
		s.caller.end()
	}
	if s.budget != nil {
		s.budget.end()
	}
	for _, k := range s.links {
		k.set(linkPass)
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
			case <-time.After(stopLimit):
			}
		})
	}
	all.Wait()
	for _, k := range s.links {
		k.close()
	}
}

// until polls a condition until it returns an empty text, which is else what
// was seen instead.
func (s *system) until(expected string, seen func() string) error {
	deadline := time.Now().Add(waitLimit)
	for {
		text := seen()
		if text == "" {
			return nil
		}
		if err := s.failed(); err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return &unmet{expected: fmt.Sprintf("%s within %s", expected, waitLimit), seen: text}
		}
		time.Sleep(pollEvery)
	}
}

// failed returns why a process has ended that should run.
func (s *system) failed() error {
	for name, r := range s.running {
		select {
		case <-r.ended:
			return eris.Errorf("%s has ended by itself: %v", name, r.err)
		default:
		}
	}
	return nil
}

// unmet is an expectation that failed.
type unmet struct{ expected, seen string }

// Error implements error.
func (u *unmet) Error() string { return fmt.Sprintf("expected: %s\nseen:     %s", u.expected, u.seen) }

func (s *system) isReady() string {
	serving := 0
	for _, n := range s.fleet.Platform.AvailableHosts() {
		serving += n
	}
	if serving < s.fleet.Size() {
		return fmt.Sprintf("%d of %d hosts serve", serving, s.fleet.Size())
	}
	for name, address := range s.callers {
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
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
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

// cluster asks the replicas directly. Of those that say they lead it takes the
// one in the newest term, because one that is cut off may not know it yet.
func (s *system) cluster() (api.ClusterStatus, error) {
	var newest api.ClusterStatus
	for name := range s.running {
		if s.api[name] == "" {
			continue
		}
		var status api.ClusterStatus
		if err := getJSON("http://"+s.api[name]+"/v1/cluster", &status); err == nil && status.ProgressKnown && status.Term > newest.Term {
			newest = status
		}
	}
	if !newest.ProgressKnown {
		return newest, eris.New("no control replica says that it leads")
	}
	return newest, nil
}

// resolve returns the process that a name in a scenario means.
func (s *system) resolve(name string) (string, error) {
	if known, found := s.names[name]; found {
		return known, nil
	}
	if name != "leader" && name != "follower" {
		return name, nil
	}
	var leader uint64
	err := s.until("a control replica leads", func() string {
		status, err := s.cluster()
		if err != nil {
			return err.Error()
		}
		leader = status.Leader
		return ""
	})
	if err != nil || name == "leader" {
		return controlName(int(leader)), err
	}
	return controlName(int(leader)%controls + 1), nil
}

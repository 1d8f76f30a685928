package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/api"
	"laburnumdock/internal/api/apitest"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"dockctl": func() { os.Exit(Run(context.Background(), os.Args, os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// Guards against commands whose output or exit code differs from the response of
// the API.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			backend := apitest.New()
			server := httptest.NewServer(api.Handler(api.Config{Backend: backend, Loopback: true, Watch: api.WatchLimits{ProgressInterval: 20 * time.Millisecond}}))
			env.Defer(server.Close)
			env.Setenv("DOCK_CONTROL", server.URL)
			env.Values["backend"] = backend
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exitcode":  checkExitCode,
			"healthy":   reportHealthy,
			"wave-done": finishWave,
		},
	})
}

// checkExitCode runs dockctl and compares its exit code.
func checkExitCode(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exitcode CODE ARGUMENTS")
	}
	code := ExitOK
	if exit, ok := errors.AsType[*exec.ExitError](ts.Exec("dockctl", args[1:]...)); ok {
		code = exit.ExitCode()
	}
	if fmt.Sprint(code) != args[0] {
		ts.Fatalf("exit code is %d, want %s", code, args[0])
	}
}

// reportHealthy reports hosts as healthy to the backend.
func reportHealthy(ts *testscript.TestScript, _ bool, hosts []string) {
	backend := ts.Value("backend").(*apitest.Backend)
	cmd := state.HostReport{Origin: state.Origin{Time: time.Now()}}
	for _, name := range hosts {
		cmd.Hosts = append(cmd.Hosts, state.HostObservation{Host: name, Health: model.HealthHealthy, BootID: "1", Observed: time.Now()})
	}
	_, err := backend.Propose(context.Background(), cmd)
	ts.Check(err)
}

// finishWave sets a wave to finished, as the planner does.
func finishWave(ts *testscript.TestScript, _ bool, args []string) {
	backend := ts.Value("backend").(*apitest.Backend)
	wave := backend.Snapshot().Get(model.Key{Kind: model.KindWave, Name: args[0]}).(*model.Wave)
	status := wave.Status
	status.Phase = model.WaveFinished
	res, err := backend.Propose(context.Background(), state.WaveStep{Origin: state.Origin{Time: time.Now()}, Wave: args[0], Expected: wave.Version, Status: status})
	ts.Check(err)
	if res.Err != nil {
		ts.Fatalf("%s", res.Err)
	}
}

// flakyHandler is an API handler that processes changes but loses the responses
// to the next loseNext of them.
type flakyHandler struct {
	http.Handler
	mu        sync.Mutex
	loseNext  int
	changeIDs map[string]bool
}

func (f *flakyHandler) setLoseNext(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseNext = n
}

func (f *flakyHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	if id := r.Header.Get(api.ChangeIDHeader); id != "" {
		f.changeIDs[id] = true
	}
	lost := r.Method != http.MethodGet && f.loseNext > 0
	if lost {
		f.loseNext--
	}
	f.mu.Unlock()
	if !lost {
		f.Handler.ServeHTTP(w, r)
		return
	}
	f.Handler.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}

func unusedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return "http://" + l.Addr().String()
}

// Guards against a change that is retried under a new ID after a lost response,
// and so takes effect twice or is wrongly refused.
func TestRetryAfterLostResponseKeepsChangeID(t *testing.T) {
	backend := apitest.New()
	f := &flakyHandler{Handler: api.Handler(api.Config{Backend: backend, Loopback: true}), loseNext: 2, changeIDs: make(map[string]bool)}
	server := httptest.NewServer(f)
	defer server.Close()
	client := NewClient([]string{unusedAddress(t), server.URL}, "", time.Minute)
	changed, err := client.change(t.Context(), apiCall{method: http.MethodPut, path: "/v1/teams/t", body: []byte(`{}`)})
	require.NoError(t, err)
	require.True(t, changed.Replayed)
	require.Len(t, f.changeIDs, 1)
	require.Equal(t, uint64(1), backend.Snapshot().Get(model.Key{Kind: model.KindTeam, Name: "t"}).Metadata().Version)
}

// Guards against an exit code that reports an unknown outcome as known, or a known
// one as unknown.
func TestExitCodeOfUnresolvedChange(t *testing.T) {
	backend := apitest.New()
	f := &flakyHandler{Handler: api.Handler(api.Config{Backend: backend, Loopback: true}), loseNext: 1 << 30, changeIDs: make(map[string]bool)}
	server := httptest.NewServer(f)
	defer server.Close()
	put := apiCall{method: http.MethodPut, path: "/v1/teams/t", body: []byte(`{}`)}
	change := func(address string) int {
		client := NewClient([]string{address}, "", time.Minute)
		client.maxAttempts = 2
		_, err := client.change(t.Context(), put)
		return exitCode(err)
	}
	require.Equal(t, ExitUnknown, change(server.URL))
	require.Equal(t, ExitUnavailable, change(unusedAddress(t)))
	backend.FailProposals(fault.New(fault.NotLeader, "x"))
	f.setLoseNext(0)
	require.Equal(t, ExitUnavailable, change(server.URL))
	backend.FailProposals(fault.New(fault.OutcomeUnknown, "x"))
	require.Equal(t, ExitUnknown, change(server.URL))
}

// Guards against a watch that loses or repeats changes when it reconnects.
func TestWatchResumesAfterLostConnections(t *testing.T) {
	backend := apitest.New()
	handler := api.Handler(api.Config{Backend: backend, Loopback: true, Watch: api.WatchLimits{ProgressInterval: 5 * time.Millisecond}})
	var mu sync.Mutex
	streams := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		streams++
		mu.Unlock()
		ctx, cancel := context.WithTimeout(r.Context(), 30*time.Millisecond)
		defer cancel()
		handler.ServeHTTP(w, r.WithContext(ctx))
	}))
	defer server.Close()
	const changes = 50
	go func() {
		for i := range changes {
			team := &model.Team{Meta: model.Meta{Kind: model.KindTeam, Name: "t"}, Spec: model.TeamSpec{QuotaCores: i + 1}}
			_, _ = backend.Propose(context.Background(), state.Put{Object: team, Expected: state.AnyVersion})
			time.Sleep(20 * time.Millisecond)
		}
	}()
	w := &watcher{client: NewClient([]string{server.URL}, "", time.Minute), errOut: os.Stderr}
	var versions []uint64
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.NoError(t, w.run(ctx, func(e watchEvent) error {
		versions = append(versions, e.Version)
		return endWatchIf(nil, len(versions) == changes)
	}))
	for i, v := range versions {
		require.Equal(t, uint64(i+1), v)
	}
	require.Len(t, versions, changes)
	require.Greater(t, streams, 1)
}

// Guards against a watch that ends, or continues without reporting the gap, when
// the server has compacted the changes it asks for.
func TestWatchRestartsAfterCompaction(t *testing.T) {
	backend := apitest.New()
	handler := api.Handler(api.Config{Backend: backend, Loopback: true})
	var once sync.Once
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		compacted := false
		if r.URL.Path == "/v1/watch" {
			once.Do(func() { compacted = true })
		}
		if compacted {
			answer.WriteError(w, fault.New(fault.Compacted, "gone"))
			return
		}
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	put := func() {
		_, _ = backend.Propose(context.Background(), state.Put{Object: &model.Config{Meta: model.Meta{Kind: model.KindConfig, Name: fmt.Sprint(backend.Snapshot().Version)}}})
	}
	put()
	var errOut strings.Builder
	w := &watcher{client: NewClient([]string{server.URL}, "", time.Minute), errOut: &errOut}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			put()
			time.Sleep(50 * time.Millisecond)
		}
	}()
	require.NoError(t, w.run(ctx, func(watchEvent) error { return errWatchDone }))
	require.Contains(t, errOut.String(), "were missed")
}

// Guards against an exit code that tells a script the wrong outcome.
func TestExitCodes(t *testing.T) {
	for kind, want := range map[fault.Kind]int{
		fault.Invalid: ExitRefused, fault.Forbidden: ExitRefused, fault.BudgetBlocked: ExitRefused, fault.Conflict: ExitConflict,
		fault.NotFound: ExitNotFound, fault.Unavailable: ExitUnavailable, fault.OutcomeUnknown: ExitUnknown, fault.ChangeIDExpired: ExitUnknown,
	} {
		require.Equal(t, want, exitCode(fault.New(kind, "x")), kind)
	}
	require.Equal(t, ExitOK, exitCode(nil))
	require.Equal(t, ExitUsage, exitCode(usagef("x")))
}

// Guards against an INI file that overrides the command line, whose values are
// ignored, or whose invalid values are replaced by defaults.
func TestConfigFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "dockctl.ini")
	run := func(text string, args ...string) (int, string) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		var out bytes.Buffer
		code := Run(t.Context(), append([]string{"dockctl", "--config", path}, args...), nil, &out, &out)
		return code, out.String()
	}
	code, out := run("[dockctl]\noutput = json\ncontrol = 127.0.0.1:1\n", "--check-config")
	require.Equal(t, ExitOK, code, out)
	code, out = run("[dockctl]\noutput = xml\ntimeout = 1\ncolour = red\n", "--check-config")
	require.Equal(t, ExitUsage, code)
	for _, key := range []string{"output", "timeout", "colour"} {
		require.Contains(t, out, key)
	}
	code, out = run("[dockctl]\ncontrol = ,\n", "get", "pools")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, out, "contains no address", "the address in the file must be used")
	code, out = run("[dockctl]\ncontrol = ,\ntimeout = 1s\n", "--control", "127.0.0.1:1", "get", "pools")
	require.Equal(t, ExitUnavailable, code, out)
}

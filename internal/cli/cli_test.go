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

// Guards against commands that say another thing, or end with another exit
// code, than the API answered.
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
			"exitcode":  wantExitCode,
			"healthy":   reportHealthy,
			"wave-done": finishWave,
		},
	})
}

// wantExitCode runs dockctl and compares its exit code.
func wantExitCode(ts *testscript.TestScript, neg bool, args []string) {
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

// reportHealthy reports hosts as healthy.
func reportHealthy(ts *testscript.TestScript, _ bool, hosts []string) {
	backend := ts.Value("backend").(*apitest.Backend)
	cmd := state.HostReport{Origin: state.Origin{Time: time.Now()}}
	for _, name := range hosts {
		cmd.Hosts = append(cmd.Hosts, state.HostObservation{Host: name, Health: model.HealthHealthy, BootID: "1", Observed: time.Now()})
	}
	_, err := backend.Propose(context.Background(), cmd)
	ts.Check(err)
}

// finishWave ends a wave as the planner does.
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

// flaky is an API whose answers get lost.
type flaky struct {
	http.Handler
	mu   sync.Mutex
	lose int
	ids  map[string]bool
}

func (f *flaky) setLose(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lose = n
}

func (f *flaky) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	if id := r.Header.Get(api.ChangeIDHeader); id != "" {
		f.ids[id] = true
	}
	lost := r.Method != http.MethodGet && f.lose > 0
	if lost {
		f.lose--
	}
	f.mu.Unlock()
	if !lost {
		f.Handler.ServeHTTP(w, r)
		return
	}
	f.Handler.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}

func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return "http://" + l.Addr().String()
}

// Guards against a change that is sent again under a new ID after a lost
// answer, and so takes effect twice or gets a wrong refusal.
func TestLostAnswersAreResolvedByTheChangeID(t *testing.T) {
	backend := apitest.New()
	f := &flaky{Handler: api.Handler(api.Config{Backend: backend, Loopback: true}), lose: 2, ids: make(map[string]bool)}
	server := httptest.NewServer(f)
	defer server.Close()
	client := NewClient([]string{closedAddress(t), server.URL}, "", time.Minute)
	changed, err := client.change(t.Context(), call{method: http.MethodPut, path: "/v1/teams/t", body: []byte(`{}`)})
	require.NoError(t, err)
	require.True(t, changed.Replayed)
	require.Len(t, f.ids, 1)
	require.Equal(t, uint64(1), backend.Snapshot().Get(model.Key{Kind: model.KindTeam, Name: "t"}).Metadata().Version)
}

// Guards against an outcome that is reported as known when it is not, and the
// other way round.
func TestUnresolvedOutcomes(t *testing.T) {
	backend := apitest.New()
	f := &flaky{Handler: api.Handler(api.Config{Backend: backend, Loopback: true}), lose: 1 << 30, ids: make(map[string]bool)}
	server := httptest.NewServer(f)
	defer server.Close()
	put := call{method: http.MethodPut, path: "/v1/teams/t", body: []byte(`{}`)}
	change := func(address string) int {
		client := NewClient([]string{address}, "", time.Minute)
		client.tries = 2
		_, err := client.change(t.Context(), put)
		return exitCode(err)
	}
	require.Equal(t, ExitUnknown, change(server.URL))
	require.Equal(t, ExitUnavailable, change(closedAddress(t)))
	backend.FailProposals(fault.New(fault.NotLeader, "x"))
	f.setLose(0)
	require.Equal(t, ExitUnavailable, change(server.URL))
	backend.FailProposals(fault.New(fault.OutcomeUnknown, "x"))
	require.Equal(t, ExitUnknown, change(server.URL))
}

// Guards against a watch that loses or repeats changes over lost connections.
func TestWatchGoesOnAfterLostConnections(t *testing.T) {
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
	w := &watch{client: NewClient([]string{server.URL}, "", time.Minute), notes: os.Stderr}
	var versions []uint64
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.NoError(t, w.run(ctx, func(e watchEvent) error {
		versions = append(versions, e.Version)
		return orDone(nil, len(versions) == changes)
	}))
	for i, v := range versions {
		require.Equal(t, uint64(i+1), v)
	}
	require.Len(t, versions, changes)
	require.Greater(t, streams, 1)
}

// Guards against a watch that ends, or goes on silently, when its changes are
// gone.
func TestWatchStartsAgainWhenChangesAreGone(t *testing.T) {
	backend := apitest.New()
	handler := api.Handler(api.Config{Backend: backend, Loopback: true})
	var once sync.Once
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refused := false
		if r.URL.Path == "/v1/watch" {
			once.Do(func() { refused = true })
		}
		if refused {
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
	var notes strings.Builder
	w := &watch{client: NewClient([]string{server.URL}, "", time.Minute), notes: &notes}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			put()
			time.Sleep(50 * time.Millisecond)
		}
	}()
	require.NoError(t, w.run(ctx, func(watchEvent) error { return errWatchDone }))
	require.Contains(t, notes.String(), "were missed")
}

// Guards against an exit code that scripts would take for another outcome.
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

// Guards against an INI file that wins over the command line, whose values are
// not taken, or whose mistakes are taken for defaults.
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
	require.Contains(t, out, "names no address", "the address of the file is used")
	code, out = run("[dockctl]\ncontrol = ,\ntimeout = 1s\n", "--control", "127.0.0.1:1", "get", "pools")
	require.Equal(t, ExitUnavailable, code, out)
}

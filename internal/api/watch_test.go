package api_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/api"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

func tokenSections(roles map[string]string) string {
	var text strings.Builder
	for name, role := range roles {
		fmt.Fprintf(&text, "[%s]\nsha256 = %x\nrole = %s\n", name, sha256.Sum256([]byte(name)), role)
	}
	return text.String()
}

// line is a line of a watch stream as a client decodes it.
type line struct {
	Type    api.LineType
	Version uint64
	Kind    model.Kind
	Name    string
	Deleted bool
	Object  json.RawMessage
	Error   *fault.Error
	RetryMs int64
}

// stream is an open watch.
type stream struct {
	t     *testing.T
	lines *bufio.Scanner
	body  io.Closer
}

// streamLimit ends a test whose stream never sends what the test waits for.
const streamLimit = 30 * time.Second

func (s *server) open(t *testing.T, query string) *stream {
	ctx, cancel := context.WithTimeout(t.Context(), streamLimit)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, "GET", s.url+"/v1/watch?"+query, nil)
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { res.Body.Close() })
	require.Equal(t, http.StatusOK, res.StatusCode)
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, 1<<20)
	return &stream{t: t, lines: lines, body: res.Body}
}

func (s *stream) next() line {
	require.True(s.t, s.lines.Scan(), "stream ended: %v", s.lines.Err())
	var l line
	require.NoError(s.t, json.Unmarshal(s.lines.Bytes(), &l))
	return l
}

// until returns the events up to the progress line of a version.
func (s *stream) until(version uint64) []line {
	var events []line
	for {
		l := s.next()
		switch l.Type {
		case api.LineEvent:
			events = append(events, l)
		case api.LineProgress:
			if l.Version >= version {
				return events
			}
		case api.LineError:
			require.Fail(s.t, "stream ended", l.Error.Error())
		}
	}
}

// report makes n events in one command.
func (s *server) report(n, round int) {
	cmd := state.HostReport{}
	for i := range n {
		cmd.Hosts = append(cmd.Hosts, state.HostObservation{Host: fmt.Sprintf("g%d", i), Health: model.HealthHealthy, BootID: fmt.Sprint(round), Observed: time.Now()})
	}
	_, err := s.Propose(context.Background(), cmd)
	require.NoError(s.t, err)
}

func (s *server) hosts(n int) {
	s.ok("PUT", "/v1/pools/quotes", `{}`)
	for i := range n {
		s.ok("PUT", fmt.Sprintf("/v1/hosts/g%d", i), `{"spec":{"pool":"quotes","zone":"a","rack":"r1","cores":1,"memoryMB":1}}`)
	}
}

// Guards against lost, repeated or foreign events, and against a progress line
// inside the events of one command, where a client would resume.
func TestWatchSendsEveryEventOnce(t *testing.T) {
	s := newServer(t, func(c *api.Config) { c.Watch.BatchEvents = 4; c.Watch.ProgressInterval = 20 * time.Millisecond })
	const group = 7
	s.hosts(group)
	start := s.Snapshot().Version
	first := s.open(t, fmt.Sprintf("from=%d&kinds=hosts", start))
	for round := range 20 {
		s.report(group, round)
		s.ok("PUT", "/v1/teams/t?force=true", fmt.Sprintf(`{"spec":{"quotaCores":%d}}`, round))
	}
	end := s.Snapshot().Version
	seen := make(map[string]int)
	count := make(map[uint64]int)
	for _, e := range first.until(end) {
		require.Equal(t, model.KindHost, e.Kind)
		seen[fmt.Sprintf("%d %s", e.Version, e.Name)]++
		count[e.Version]++
	}
	require.Len(t, seen, 20*group)
	for version, n := range count {
		require.Equal(t, group, n, version)
	}
	middle := s.open(t, fmt.Sprintf("from=%d", start+20)).until(end)
	require.Len(t, middle, 10*(group+1))
	require.Greater(t, middle[0].Version, start+20)
}

// Guards against a progress line in the middle of one command's events.
func TestProgressIsNeverInsideACommand(t *testing.T) {
	s := newServer(t, func(c *api.Config) { c.Watch.BatchEvents = 2 })
	s.hosts(5)
	start := s.Snapshot().Version
	s.report(5, 1)
	s.report(5, 2)
	w := s.open(t, fmt.Sprintf("from=%d", start))
	pending := 0
	for {
		l := w.next()
		if l.Type == api.LineEvent {
			pending++
			continue
		}
		require.Zero(t, pending%5)
		if l.Version == s.Snapshot().Version {
			break
		}
	}
	require.Equal(t, 10, pending)
}

// Guards against a delete that a watcher does not see and an idle stream that
// looks dead.
func TestWatchSendsDeletesAndProgress(t *testing.T) {
	s := newServer(t, func(c *api.Config) { c.Watch.ProgressInterval = 10 * time.Millisecond })
	s.ok("PUT", "/v1/teams/t", `{}`)
	w := s.open(t, "from=0")
	require.Equal(t, "t", w.next().Name)
	for range 3 {
		require.Equal(t, api.LineProgress, w.next().Type)
	}
	s.ok("DELETE", "/v1/teams/t?version=1", "")
	for {
		if l := w.next(); l.Type == api.LineEvent {
			require.True(t, l.Deleted)
			require.Empty(t, l.Object)
			break
		}
	}
}

// Guards against a watch that silently skips events that are gone, and against
// clients that all list again at once.
func TestCompactedWatchIsTold(t *testing.T) {
	s := newServer(t)
	s.hosts(500)
	for round := range 2*state.MaxEvents/500 + 1 {
		s.report(500, round)
	}
	oldest := s.Snapshot().OldestVersion()
	require.NotZero(t, oldest)
	waits := make(map[string]bool)
	for range 20 {
		r := s.do("GET", "/v1/watch?from=1", "")
		require.Equal(t, http.StatusGone, r.status)
		f := r.fault(t)
		require.Equal(t, fault.Compacted, f.Kind)
		require.Equal(t, oldest, f.Current)
		ms, err := strconv.Atoi(r.header.Get(api.RetryHeader))
		require.NoError(t, err)
		require.Positive(t, ms)
		waits[r.header.Get(api.RetryHeader)] = true
	}
	require.Greater(t, len(waits), 1, "all clients wait equally long")
	s.open(t, fmt.Sprintf("from=%d", oldest)).until(s.Snapshot().Version)
}

// Guards against a watcher that falls behind and holds memory or gets a gap.
func TestSlowWatcherIsCutOff(t *testing.T) {
	s := newServer(t, func(c *api.Config) { c.Watch.WriteTimeout = time.Minute })
	s.hosts(500)
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /v1/watch?from=%d HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", s.Snapshot().Version)
	require.NoError(t, err)
	head := make([]byte, 12)
	_, err = io.ReadFull(conn, head)
	require.NoError(t, err)
	// The client reads nothing while the window passes it: more events than the
	// window and the buffers of the connection hold together.
	for round := range 10 * state.MaxEvents / 500 {
		s.report(500, round)
	}
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(streamLimit)))
	data, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(data[max(0, len(data)-1000):]), string(fault.SlowWatcher))
}

// Guards against a client that reads nothing and keeps its stream for ever.
func TestStalledWatcherIsCutOff(t *testing.T) {
	s := newServer(t, func(c *api.Config) { c.Watch.WriteTimeout = 50 * time.Millisecond; c.Watch.MaxWatchers = 1 })
	s.hosts(500)
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /v1/watch?from=%d HTTP/1.1\r\nHost: x\r\n\r\n", s.Snapshot().Version)
	require.NoError(t, err)
	round := 0
	require.Eventually(t, func() bool {
		round++
		s.report(500, round)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		req, _ := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("%s/v1/watch?from=%d", s.url, s.Snapshot().Version), nil)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		defer res.Body.Close()
		return res.StatusCode == http.StatusOK
	}, streamLimit, time.Millisecond, "the stalled stream keeps its place")
}

// Guards against more streams than the process has room for, and against
// streams that hold up a graceful shutdown.
func TestWatchLimitAndShutdown(t *testing.T) {
	stopping := make(chan struct{})
	s := newServer(t, func(c *api.Config) { c.Watch.MaxWatchers = 1; c.Stopping = stopping })
	w := s.open(t, "from=0")
	require.Equal(t, api.LineProgress, w.next().Type)
	r := s.do("GET", "/v1/watch?from=0", "")
	require.Equal(t, fault.Overloaded, r.fault(t).Kind)
	require.NotEmpty(t, r.header.Get(api.RetryHeader))
	close(stopping)
	l := w.next()
	require.Equal(t, api.LineError, l.Type)
	require.Equal(t, fault.Stopping, l.Error.Kind)
	require.Positive(t, l.RetryMs)
	require.False(t, w.lines.Scan())
}

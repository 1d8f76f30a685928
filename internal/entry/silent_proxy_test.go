package entry_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"laburnumdock/internal/entry"
	"laburnumdock/internal/standin"
)

// silentProxy forwards connections to an address. Its open connections can be made
// silent: they stay open and deliver nothing, while new connections work.
type silentProxy struct {
	t      testing.TB
	url    string
	target string
	mu     sync.Mutex
	// silenced is closed to silence the connections that are open; guarded by mu.
	silenced chan struct{}
}

func newSilentProxy(t testing.TB, targetURL string) *silentProxy {
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	p := &silentProxy{t: t, url: "http://" + l.Addr().String(), target: strings.TrimPrefix(targetURL, "http://"), silenced: make(chan struct{})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.serve(conn)
		}
	}()
	return p
}

func (p *silentProxy) serve(conn net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	p.t.Cleanup(func() {
		_ = conn.Close()
		_ = target.Close()
	})
	p.mu.Lock()
	silenced := p.silenced
	p.mu.Unlock()
	go relay(conn, target, silenced)
	go relay(target, conn, silenced)
}

// relay copies from src to dst until an error, and discards the data once silenced is
// closed.
func relay(dst, src net.Conn, silenced chan struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		select {
		case <-silenced:
			// The connection stays open, and the data is lost.
			_, _ = io.Copy(io.Discard, src)
			return
		default:
		}
		if _, failed := dst.Write(buf[:n]); err != nil || failed != nil {
			_ = dst.Close()
			return
		}
	}
}

// silenceConnections makes all open connections silent.
func (p *silentProxy) silenceConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
}

// Guards against a watch that stops and records that wait forever because the connection
// to the control replica is silent.
func TestSilentConnectionToControl(t *testing.T) {
	control := newFakeControl(t)
	proxy := newSilentProxy(t, control.start().url)
	putConfig(control, "1")
	f := newFixture(t, fixtureConfig{endpoints: 1, controlReplicas: []string{proxy.url}})
	f.waitConfig("1")
	require.Equal(t, http.StatusOK, f.mustDo(callerRequest{method: http.MethodPost, nonRepeatable: true}).status)
	proxy.silenceConnections()
	putConfig(control, "2")
	start := time.Now()
	id := newRequestID()
	out := f.mustDo(callerRequest{method: http.MethodPost, nonRepeatable: true, requestID: id, deadline: waitTimeout})
	assert.Equal(t, http.StatusOK, out.status, "%s", out.body)
	t.Logf("recorded on a new connection after %s", time.Since(start))
	f.waitConfig("2")
	t.Logf("watched on a new connection after %s", time.Since(start))
	assert.Equal(t, 1, f.runs(id))
}

// Guards against an entry host that loses its endpoints permanently because the
// connection from a peer is silent.
func TestSilentConnectionBetweenPeers(t *testing.T) {
	proxies := make(map[string]*silentProxy)
	f := newFixture(t, fixtureConfig{hosts: 2, configureHost: func(cfg *entry.Config) {
		for i, url := range cfg.Peers {
			proxies[cfg.Name] = newSilentProxy(t, url)
			cfg.Peers[i] = proxies[cfg.Name].url
		}
	}})
	f.startEndpoint(fixtureConfig{configureEndpoint: func(cfg *standin.EndpointConfig) { cfg.EntryHosts = []string{f.hosts[0].url} }}, 0)
	f.waitForEndpoints(f.hosts[1], 1)
	proxies["entry-0"].silenceConnections()
	start := time.Now()
	oldest := int64(0)
	for time.Since(start) < 4*time.Second {
		oldest = max(oldest, f.status(f.hosts[1]).Endpoints[0].AgeMs)
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("the oldest announcement was %d ms old", oldest)
	f.waitForEndpoints(f.hosts[1], 1)
	require.Less(t, f.status(f.hosts[1]).Endpoints[0].AgeMs, waitTimeout.Milliseconds())
}

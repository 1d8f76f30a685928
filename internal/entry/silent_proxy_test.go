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

// silentProxy passes connections on to an address. Connections can be made
// silent: they stay open and move nothing more, while new ones work.
type silentProxy struct {
	t      testing.TB
	url    string
	target string
	mu     sync.Mutex
	// silence is closed for the connections that are open; guarded by mu.
	silence chan struct{}
}

func newSilentProxy(t testing.TB, targetURL string) *silentProxy {
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	p := &silentProxy{t: t, url: "http://" + l.Addr().String(), target: strings.TrimPrefix(targetURL, "http://"), silence: make(chan struct{})}
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
	silence := p.silence
	p.mu.Unlock()
	go pass(conn, target, silence)
	go pass(target, conn, silence)
}

func pass(dst, src net.Conn, silence chan struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		select {
		case <-silence:
			// The connection stays open, and what arrives is lost.
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

func (p *silentProxy) goSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silence)
	p.silence = make(chan struct{})
}

// Guards against a configuration that is no longer followed, and records that
// wait for ever, because the connection to the control replica went silent.
func TestSilentConnectionToControl(t *testing.T) {
	control := newFakeControl(t)
	proxy := newSilentProxy(t, control.start().url)
	putConfig(control, "1")
	c := newCell(t, cellConfig{endpoints: 1, control: []string{proxy.url}})
	c.waitConfig("1")
	require.Equal(t, http.StatusOK, c.must(call{method: http.MethodPost, once: true}).status)
	proxy.goSilent()
	putConfig(control, "2")
	start := time.Now()
	id := newRequestID()
	out := c.must(call{method: http.MethodPost, once: true, requestID: id, deadline: patience})
	assert.Equal(t, http.StatusOK, out.status, "%s", out.body)
	t.Logf("recorded on a new connection after %s", time.Since(start))
	c.waitConfig("2")
	t.Logf("followed on a new connection after %s", time.Since(start))
	assert.Equal(t, 1, c.runs(id))
}

// Guards against an entry host that loses its endpoints for good because the
// connection from a peer went silent.
func TestSilentConnectionBetweenPeers(t *testing.T) {
	proxies := make(map[string]*silentProxy)
	c := newCell(t, cellConfig{hosts: 2, host: func(cfg *entry.Config) {
		for i, url := range cfg.Peers {
			proxies[cfg.Name] = newSilentProxy(t, url)
			cfg.Peers[i] = proxies[cfg.Name].url
		}
	}})
	c.startEndpoint(cellConfig{endpoint: func(cfg *standin.EndpointConfig) { cfg.EntryHosts = []string{c.hosts[0].url} }}, 0)
	c.waitKnown(c.hosts[1], 1)
	proxies["entry-0"].goSilent()
	start := time.Now()
	oldest := int64(0)
	for time.Since(start) < 4*time.Second {
		oldest = max(oldest, c.status(c.hosts[1]).Endpoints[0].AgeMs)
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("the oldest announcement was %d ms old", oldest)
	c.waitKnown(c.hosts[1], 1)
	require.Less(t, c.status(c.hosts[1]).Endpoints[0].AgeMs, patience.Milliseconds())
}

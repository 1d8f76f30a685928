package role

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/logevent"
	"laburnumdock/internal/process/certtest"
	"laburnumdock/internal/settings"
)

// patience bounds waits on a busy machine; no verdict depends on it.
const patience = 60 * time.Second

// freeAddresses returns addresses that nobody listened on a moment ago.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list
}

// start runs a role until the test ends, and expects a graceful end.
func start(t *testing.T, run func(context.Context) error) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(ctx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
	})
}

func loadSettings(t *testing.T, set *settings.Set, lines ...string) {
	t.Helper()
	require.Empty(t, set.Load(settings.Source{Path: "test.ini", Data: []byte(strings.Join(lines, "\n"))}))
}

// Guards against replicas and entry hosts that cannot reach each other with TLS
// on both sides, or that do so without it.
func TestRolesTalkOverTLS(t *testing.T) {
	ca := certtest.New(t, "system")
	cert, key := ca.Issue("node")
	addresses := freeAddresses(t, 8)
	var voters []string
	for i := range 3 {
		voters = append(voters, fmt.Sprintf("%d=%s", i+1, addresses[i]))
	}
	secure := fmt.Sprintf("cert-file = %s\nkey-file = %s\nclient-ca-file = %s", cert, key, ca.CAFile())
	client := fmt.Sprintf("[client-tls]\nca-file = %s\ncert-file = %s\nkey-file = %s", ca.CAFile(), cert, key)
	for i := range 3 {
		var set settings.Set
		s := settings.NewControl(&set)
		loadSettings(t, &set, "[process]", fmt.Sprintf("name = control-%d", i+1), "zone = a", client,
			"[control]", "cluster-id = tls", fmt.Sprintf("id = %d", i+1), "voters = "+strings.Join(voters, ", "),
			"data-dir = "+filepath.Join(t.TempDir(), "data"),
			"[api]", "listen = "+addresses[3+i], "[peer]", "listen = "+addresses[i], secure)
		require.NoError(t, InitControl(s, false))
		start(t, func(ctx context.Context) error { return Control(ctx, s, logevent.Discard()) })
	}
	var set settings.Set
	s := settings.NewEntry(&set)
	loadSettings(t, &set, "[process]", "name = entry-1", "zone = a", client, "[callers]", "listen = "+addresses[6],
		"[peer]", "listen = "+addresses[7], secure,
		"[entry]", "balancer-delay = 0s", "control = "+strings.Join(addresses[:3], ", "))
	start(t, func(ctx context.Context) error { return Entry(ctx, s, logevent.Discard()) })
	require.Eventually(t, func() bool { return isListed(addresses[6]) }, patience, 10*time.Millisecond)
	res, err := http.Get("http://" + addresses[0] + "/")
	require.NoError(t, err)
	defer res.Body.Close()
	require.Equal(t, http.StatusBadRequest, res.StatusCode, "a request without TLS")
}

// isListed tells whether an entry host has the configuration.
func isListed(address string) bool {
	res, err := http.Get("http://" + address + "/v1/status")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	var status struct{ Configuration struct{ Listed bool } }
	return json.NewDecoder(res.Body).Decode(&status) == nil && status.Configuration.Listed
}

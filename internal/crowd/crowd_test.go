package crowd

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var systems = []struct {
	name  string
	start func(*testing.T) *system
}{
	{"dock-jobs", startJobs},
	{"dock-cell", startCell},
	{"dock-entry", startEntry},
	{"dock-control", func(t *testing.T) *system { return startControl(t) }},
}

// Guards against a process that ends, hangs, or outgrows the memory or the descriptors of
// its host under a crowd of clients that keep to no limits.
func TestCrowds(t *testing.T) {
	for _, one := range systems {
		t.Run(one.name, func(t *testing.T) {
			for _, k := range kinds() {
				t.Run(k.name, func(t *testing.T) { runCrowd(t, one.start(t), k.stand) })
			}
			t.Run("http2", func(t *testing.T) { runCrowd(t, one.start(t), standHTTP2) })
		})
	}
}

func runCrowd(t *testing.T, s *system, stand func([]port, int) func()) {
	stop := s.process.watch(s.ports)
	leave := stand(s.ports, crowdSize)
	time.Sleep(standTime)
	leave()
	require.True(t, s.process.lives(), "the process has ended")
	eventually(t, s.process, s.ordinary, "no ordinary request is answered after the crowd")
	descriptors, unread := stop()
	memory := s.process.peakMemory(t)
	t.Logf("crowd of %d: memory at most %d MB and %d MB unread, descriptors %d", crowdSize, memory>>20, unread>>20, descriptors)
	s.process.requireWithin(t, memory+unread, descriptors)
}

// slowLink sends at the rate of an entry host's link, 2 Mbit/s.
type slowLink struct {
	io.Reader
}

func (l slowLink) Read(data []byte) (int, error) {
	const bytesPerSecond, piece = 250_000, 4096
	n, err := l.Reader.Read(data[:min(len(data), piece)])
	time.Sleep(time.Duration(n) * time.Second / bytesPerSecond)
	return n, err
}

// Guards against limits that refuse the largest configuration when it comes slowly, or while
// a crowd stands on the other ports.
func TestSlowConfigurationBesideCrowd(t *testing.T) {
	s := startCell(t)
	executors := s.ports[0].address
	replace := func(version int) {
		body := slowLink{strings.NewReader(configuration(version, configBytes))}
		status, answer := call("POST", "http://"+executors+"/config/replace", "", body)
		require.Equal(t, http.StatusOK, status, string(answer))
		status, stored := call("GET", "http://"+executors+"/config/read", "", nil)
		require.Equal(t, http.StatusOK, status)
		require.Contains(t, string(stored[:min(len(stored), 64)]), `"Version":`+strconv.Itoa(version)+",")
	}
	replace(2)
	version := 3
	for _, k := range kinds() {
		if k.name != "bodies-whole" && k.name != "tiny-chunks" && k.name != "endless-heads" {
			continue
		}
		leave := k.stand(s.ports[1:], crowdSize/2)
		replace(version)
		leave()
		version++
	}
}

// Guards against limits that close connections of ordinary clients between two requests. The
// platform's clients keep a connection for 15 s.
func TestIdleConnectionIsKept(t *testing.T) {
	const idleTime = 16 * time.Second
	cell := startCell(t)
	ports := slices.Concat(cell.ports, startJobsOn(t, testHost, cell).ports)
	conns := make([]net.Conn, len(ports))
	ask := func(i int) {
		_, err := io.WriteString(conns[i], "GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		data := make([]byte, 4<<10)
		require.NoError(t, conns[i].SetReadDeadline(time.Now().Add(waitTimeout)))
		n, err := conns[i].Read(data)
		require.NoError(t, err, ports[i].name)
		require.Contains(t, string(data[:n]), "HTTP/1.1 404")
	}
	for i, p := range ports {
		conn, err := net.Dial("tcp", p.address)
		require.NoError(t, err)
		defer conn.Close()
		conns[i] = conn
		ask(i)
	}
	time.Sleep(idleTime)
	for i := range ports {
		ask(i)
	}
}

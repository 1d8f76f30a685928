package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// port is a port on which a crowd stands. The lines of head end with a line feed each; a
// crowd adds the length of the body.
type port struct {
	name, address string
	// postHead begins a request with a body, get is a request with an answer.
	postHead, get string
}

// system is a process under test.
type system struct {
	process *running
	ports   []port
	// ordinary sends a request of a well-behaved client and reports whether it was served.
	ordinary func() bool
	// restart starts the process again after it has ended, if the system supports it.
	restart func() *running
}

func head(lines ...string) string { return strings.Join(lines, "\r\n") + "\r\n" }

const rpcType = "Content-Type: application/proto"

func plainPort(name, address string) port {
	return port{name: name, address: address, postHead: head("POST /metrics HTTP/1.1", "Host: h"), get: head("GET /metrics HTTP/1.1", "Host: h", "")}
}

func rpcPort(name, address, procedure string) port {
	return port{
		name: name, address: address, postHead: head("POST /laburnumdock.v1."+procedure+" HTTP/1.1", "Host: h", rpcType),
		get: head("GET /laburnumdock.v1."+procedure+" HTTP/1.1", "Host: h", ""),
	}
}

// configuration returns a configuration with one queue in the pool p, of the given size.
func configuration(version, size int) string {
	text := fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"q","Host":"h.example","PathPrefix":"/a/","TimeoutMs":3000,"TargetDurationMs":600,"Service":"p","MaxAttempts":3}],`+
		`"Services":[{"Name":"p","MaxConnections":64}],"Padding":"`, version)
	const end = `"}`
	return text + strings.Repeat("x", max(0, size-len(text)-len(end))) + end
}

// standInExecutor serves calls of the leader to an executor, which refuses all of them.
func standInExecutor(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// eventually waits until a condition holds.
func eventually(t *testing.T, p *running, condition func() bool, text string) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
		require.True(t, p.lives(), "the process ended: %s", text)
		require.True(t, time.Now().Before(end), text)
	}
}

// startCell starts a cell of a single voter with a configuration.
func startCell(t *testing.T) *system { return startCellOn(t, testHost) }

func startCellOn(t *testing.T, h host) *system {
	a := freeAddresses(t, 3)
	executors, peer, metrics := a[0], a[1], a[2]
	lines := []string{
		"[process]", "name = cell", "zone = z", "[executors]", "listen = " + executors, "[peer]", "listen = " + peer,
		"[metrics]", "listen = " + metrics, "[cell]", "seeds = " + executors, "peer-port = " + portOf(peer), "bootstrap = true", "data-dir = " + filepath.Join(t.TempDir(), "data"),
	}
	p := start(t, h, "dock-cell", lines)
	send := func() bool {
		status, _ := call("POST", "http://"+executors+"/config/replace", "", strings.NewReader(configuration(1, configBytes)))
		return status == http.StatusOK
	}
	eventually(t, p, send, "the configuration is not taken")
	executor, sequence := standInExecutor(t), 0
	report := func() bool {
		sequence++
		body := fmt.Sprintf(`{"Service":"p","Address":%q,"Zone":"z","State":"ready","Sequence":%d,"Machine":"m","Capacity":{"Cpu":1000,"MemMb":1000,"Gpu":0},"Labels":[],"ClockMs":1,"born":1}`, executor, sequence)
		status, _ := call("POST", "http://"+executors+"/instances/e-1/heartbeat", "", strings.NewReader(body))
		return status == http.StatusOK
	}
	eventually(t, p, report, "the report of the executor is not taken")
	restart := func() *running { return start(t, h, "dock-cell", lines) }
	return &system{process: p, ordinary: report, restart: restart, ports: []port{
		{
			name: "executors", address: executors, postHead: head("POST /config/replace HTTP/1.1", "Host: h"),
			get: head("GET /config/read HTTP/1.1", "Host: h", ""),
		},
		rpcPort("peer", peer, "JobService/Ask"),
		plainPort("metrics", metrics),
	}}
}

// startJobs starts an entry host for jobs of a cell.
func startJobs(t *testing.T) *system { return startJobsOn(t, testHost, startCell(t)) }

// startJobsOn starts an entry host that knows more seeds than the cell.
func startJobsOn(t *testing.T, h host, cell *system, seeds ...string) *system {
	a := freeAddresses(t, 4)
	callers, peer, ready, metrics := a[0], a[1], a[2], a[3]
	p := start(t, h, "dock-jobs", []string{
		"[process]", "name = jobs", "zone = z", "[callers]", "listen = " + callers, "[peer]", "listen = " + peer,
		"[ready]", "listen = " + ready, "[metrics]", "listen = " + metrics, "[cell]", "seeds = " + strings.Join(append(seeds, cell.ports[0].address), ","), "peer-port = " + portOf(cell.ports[1].address),
	})
	job := 0
	submit := func() bool {
		job++
		status, _ := call("POST", fmt.Sprintf("http://%s/a/%016x", callers, job), "h.example", strings.NewReader(`{"Spec":"x","Steps":[{"Count":1,"Cpu":1,"MemMb":1,"EstimatedMs":10}]}`))
		return status == http.StatusOK
	}
	eventually(t, p, submit, "a job is not accepted")
	return &system{process: p, ordinary: submit, ports: []port{
		{
			name: "callers", address: callers, postHead: head("POST /a/ffffffffffffffff HTTP/1.1", "Host: h.example"),
			get: head("GET /a/0000000000000001 HTTP/1.1", "Host: h.example", ""),
		},
		rpcPort("peer", peer, "JobService/Ask"),
		plainPort("ready", ready), plainPort("metrics", metrics),
	}}
}

// startControl starts a cluster of one replica. The lines are those of [peer] besides its
// address.
func startControl(t *testing.T, peerLines ...string) *system {
	a := freeAddresses(t, 2)
	api, peer := a[0], a[1]
	lines := []string{
		"[process]", "name = control-1", "zone = z", "[control]", "cluster-id = crowd", "id = 1", "voters = 1=" + peer,
		"data-dir = " + filepath.Join(t.TempDir(), "data"), "[api]", "listen = " + api, "[peer]", "listen = " + peer,
	}
	lines = append(lines, peerLines...)
	initialize := start(t, testHost, "dock-control", lines, "init")
	<-initialize.exited
	p := start(t, testHost, "dock-control", lines)
	ready := func() bool {
		status, _ := call("GET", "http://"+api+"/v1/pools", "", nil)
		return status == http.StatusOK
	}
	eventually(t, p, ready, "the API does not answer")
	return &system{process: p, ordinary: ready, ports: []port{
		{
			name: "api", address: api, postHead: head("PUT /v1/pools/p HTTP/1.1", "Host: h"),
			get: head("GET /v1/pools HTTP/1.1", "Host: h", ""),
		},
		rpcPort("peer", peer, "RaftService/Deliver"),
	}}
}

// startEntry starts an entry host of a cluster.
func startEntry(t *testing.T) *system {
	control := startControl(t)
	a := freeAddresses(t, 2)
	callers, peer := a[0], a[1]
	p := start(t, testHost, "dock-entry", []string{
		"[process]", "name = entry-1", "zone = z", "[callers]", "listen = " + callers, "[peer]", "listen = " + peer,
		"[entry]", "control = " + control.ports[1].address,
	})
	status := func() bool {
		code, _ := call("GET", "http://"+callers+"/v1/status", "", nil)
		return code == http.StatusOK
	}
	eventually(t, p, status, "the status is not answered")
	return &system{process: p, ordinary: status, ports: []port{
		{
			name: "callers", address: callers, postHead: head("POST /v1/services/s/x HTTP/1.1", "Host: h", "Laburnum-Repeatable: true"),
			get: head("GET /v1/status HTTP/1.1", "Host: h", ""),
		},
		rpcPort("peer", peer, "PeerService/Exchange"),
	}}
}

// Guards against a crowd of the tests that sends requests which no port serves, so that the
// limits of bodies are not met.
func TestPortsServeTheRequestsOfCrowds(t *testing.T) {
	if _, err := exec.LookPath("sh"); err != nil {
		t.Skip("no shell")
	}
	for _, startSystem := range []func(*testing.T) *system{startJobs, startEntry} {
		s := startSystem(t)
		for _, p := range s.ports {
			for _, text := range []string{p.get, p.postHead + "Content-Length: 1\r\n\r\nx"} {
				conn, err := net.Dial("tcp", p.address)
				require.NoError(t, err)
				_, err = io.WriteString(conn, text)
				require.NoError(t, err)
				answer := make([]byte, len("HTTP/1.1 400"))
				_, err = io.ReadFull(conn, answer)
				require.NoError(t, err, p.name)
				require.NotContains(t, string(answer), " 404", p.name+" "+text)
				require.NoError(t, conn.Close())
			}
		}
	}
}

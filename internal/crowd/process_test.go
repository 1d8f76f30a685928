package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	buildOnce sync.Once
	buildDir  string
	errBuild  error
)

func TestMain(m *testing.M) {
	code := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// binaries builds the processes without the race detector, which multiplies their memory,
// and returns their folder.
func binaries(t *testing.T) string {
	buildOnce.Do(func() {
		if buildDir, errBuild = os.MkdirTemp("", "crowd"); errBuild != nil {
			return
		}
		build := exec.Command("go", "build", "-p", "2", "-o", buildDir+"/", "laburnumdock/cmd/dock-cell", "laburnumdock/cmd/dock-jobs",
			"laburnumdock/cmd/dock-entry", "laburnumdock/cmd/dock-control")
		if out, err := build.CombinedOutput(); err != nil {
			errBuild = fmt.Errorf("%w: %s", err, out)
		}
	})
	require.NoError(t, errBuild)
	return buildDir
}

// running is a started process.
type running struct {
	host   host
	cmd    *exec.Cmd
	exited chan struct{}
	// logMu protects log.
	logMu sync.Mutex
	log   bytes.Buffer
}

// Write implements io.Writer. It appends to the log.
func (p *running) Write(data []byte) (int, error) {
	p.logMu.Lock()
	defer p.logMu.Unlock()
	return p.log.Write(data)
}

// start starts a binary with the lines of its settings file and stops it when the test ends.
// The memory is given by the environment, because not every process declares the key.
func start(t *testing.T, h host, binary string, lines []string, args ...string) *running {
	t.Helper()
	path := filepath.Join(t.TempDir(), binary+".ini")
	require.NoError(t, os.WriteFile(path, []byte(strings.Join(slices.Concat(h.limits, lines), "\n")), 0o600))
	script := fmt.Sprintf("ulimit -n %d; exec \"$0\" \"$@\"", h.descriptors)
	cmd := exec.Command("sh", append([]string{"-c", script, filepath.Join(binaries(t), binary), "--config", path}, args...)...)
	cmd.Env = append(os.Environ(), "DOCK_LIMITS_MEMORY="+strconv.Itoa(h.memoryMB))
	p := &running{host: h, cmd: cmd, exited: make(chan struct{})}
	cmd.Stdout, cmd.Stderr = p, p
	require.NoError(t, cmd.Start())
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			text := p.log.String()
			t.Logf("end of the log of %s:\n%s", binary, text[max(0, len(text)-2000):])
		}
	})
	return p
}

// lives reports whether the process has not ended.
func (p *running) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// peakMemory returns the largest resident memory that the process has had, in bytes.
func (p *running) peakMemory(t *testing.T) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			require.NoError(t, err)
			return kb << 10
		}
	}
	require.Fail(t, "no VmHWM")
	return 0
}

// requireWithin requires that the memory of the process, with the bytes that it has not read,
// and its descriptors are within the limits of its host.
func (p *running) requireWithin(t *testing.T, memory int64, descriptors int) {
	require.LessOrEqual(t, memory, int64(p.host.memoryMB)<<20, "memory of the process with bytes that it has not read")
	require.LessOrEqual(t, descriptors, p.host.descriptors-reservedDescriptors, "descriptors")
}

// openDescriptors returns the number of descriptors, or 0 if the process has ended.
func (p *running) openDescriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

// unreadBytes returns the bytes that have arrived at the ports and that the process has not
// read. They count toward the memory of its host.
func unreadBytes(ports map[int64]bool) int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	var sum int64
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		const localColumn, stateColumn, queueColumn = 1, 3, 4
		fields := strings.Fields(scanner.Text())
		// The queue of a listening socket counts connections.
		if len(fields) <= queueColumn || fields[stateColumn] == "0A" {
			continue
		}
		_, port, _ := strings.Cut(fields[localColumn], ":")
		if number, err := strconv.ParseInt(port, 16, 64); err != nil || !ports[number] {
			continue
		}
		_, queue, _ := strings.Cut(fields[queueColumn], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		sum += n
	}
	return sum
}

// watch samples descriptors and unread bytes until the returned function is called, which
// returns the largest of each.
func (p *running) watch(ports []port) func() (descriptors int, unread int64) {
	numbers := map[int64]bool{}
	for _, one := range ports {
		_, text, _ := net.SplitHostPort(one.address)
		number, _ := strconv.ParseInt(text, 10, 64)
		numbers[number] = true
	}
	stop, done := make(chan struct{}), make(chan struct{})
	var descriptors int
	var unread int64
	go func() {
		defer close(done)
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for {
			descriptors, unread = max(descriptors, p.openDescriptors()), max(unread, unreadBytes(numbers))
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	return func() (int, int64) {
		close(stop)
		<-done
		return descriptors, unread
	}
}

// call sends one ordinary request on a connection of its own and returns the status and the
// body, or 0 without an answer.
func call(method, url, host string, body io.Reader) (int, []byte) {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return 0, nil
	}
	req.Host, req.Close = host, true
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{}}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, data
}

// freeAddresses returns addresses on loopback with distinct free ports.
func freeAddresses(t *testing.T, n int) []string {
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list
}

func portOf(address string) string {
	_, text, _ := net.SplitHostPort(address)
	return text
}

package crowd

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mixed is a crowd with all kinds of members at once.
func mixed(kinds ...kind) kind {
	return kind{name: "mixed", send: func(w io.Writer, p port, member int) error {
		return kinds[member%len(kinds)].send(w, p, member)
	}}
}

// Guards against several kinds of clients at once on every port of both processes, beside a
// cell that is killed and starts again, and configurations that are replaced.
func TestMixedCrowdBesideRestart(t *testing.T) {
	all := mixed(append(kinds(), protocolKinds()...)...)
	cell := startCell(t)
	jobs := startJobsOn(t, testHost, cell)
	stopJobs := jobs.process.watch(jobs.ports)
	check := func(s *system, stop func() (int, int64)) {
		require.True(t, s.process.lives(), "the process has ended")
		eventually(t, s.process, s.ordinary, "no ordinary request is answered after the crowd")
		descriptors, unread := stop()
		memory := s.process.peakMemory(t)
		t.Logf("memory at most %d MB and %d MB unread, descriptors %d", memory>>20, unread>>20, descriptors)
		s.process.requireWithin(t, memory+unread, descriptors)
	}
	version := 1
	for range 2 {
		stopCell := cell.process.watch(cell.ports)
		leaveJobs := all.stand(jobs.ports, crowdSize)
		leaveCell := all.stand(cell.ports, crowdSize)
		replace := func() bool {
			version++
			status, _ := call("POST", "http://"+cell.ports[0].address+"/config/replace", "", strings.NewReader(configuration(version, configBytes)))
			return status == http.StatusOK
		}
		eventually(t, cell.process, replace, "the configuration is not taken while the crowd stands")
		eventually(t, jobs.process, jobs.ordinary, "no job is accepted while the crowd stands")
		leaveCell()
		check(cell, stopCell)
		leaveCell = all.stand(cell.ports, crowdSize)
		require.NoError(t, cell.process.cmd.Process.Signal(syscall.SIGKILL))
		<-cell.process.exited
		cell.process = cell.restart()
		eventually(t, cell.process, replace, "the configuration is not taken after the restart")
		eventually(t, jobs.process, jobs.ordinary, "no job is accepted after the restart")
		leaveCell()
		leaveJobs()
		time.Sleep(standTime)
	}
	check(jobs, stopJobs)
	check(cell, cell.process.watch(cell.ports))
}

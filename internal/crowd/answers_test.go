package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// hostileExecutors is the number of executors of a cell that answer as they like.
	hostileExecutors = 32
	// hostilePeers is the number of processes that pose as replicas of a cell.
	hostilePeers = 16
	// hostileAnswerBytes is what each sends as an answer, at most.
	hostileAnswerBytes = 64 << 20
)

// answerKind is how an executor answers the calls of the leader.
type answerKind struct {
	name  string
	reply func(w io.Writer) error
}

func answerKinds() []answerKind {
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
	endless := func(w io.Writer, text string) error {
		piece := strings.Repeat(text, pieceBytes/len(text))
		for sent := 0; sent < hostileAnswerBytes; sent += len(piece) {
			if err := sendAll(w, piece); err != nil {
				return err
			}
		}
		return nil
	}
	return []answerKind{
		{"endless-head", func(w io.Writer) error {
			if err := sendAll(w, ok); err != nil {
				return err
			}
			return endless(w, "X: y\r\n")
		}},
		{"informational-heads", func(w io.Writer) error {
			return endless(w, "HTTP/1.1 103 Early Hints\r\nX: "+strings.Repeat("x", 1<<10)+"\r\n\r\n")
		}},
		{"endless-body", func(w io.Writer) error {
			if err := sendAll(w, ok, "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
				return err
			}
			return endless(w, "1\r\n \r\n")
		}},
		{"nested-rows", func(w io.Writer) error {
			if err := sendAll(w, ok, fmt.Sprintf("Content-Length: %d\r\n\r\n", hostileAnswerBytes), `{"born":1,"ClockMs":1,"EndedRuns":[`); err != nil {
				return err
			}
			return endless(w, `[1,"a.0.0.0",1,"done"],`)
		}},
		{"nested-values", func(w io.Writer) error {
			if err := sendAll(w, ok, fmt.Sprintf("Content-Length: %d\r\n\r\n", hostileAnswerBytes), `{"born":1,"ClockMs":1,"Running":[`); err != nil {
				return err
			}
			return endless(w, `[[],[],[],[],[],[],[],[]],`)
		}},
		{"head-that-stops", func(w io.Writer) error { return sendAll(w, ok+"X: ") }},
	}
}

// hostileExecutor answers each call in one way, and returns its address.
func hostileExecutor(t *testing.T, k answerKind) string { return hostileServer(t, "127.0.0.1:0", k) }

func hostileServer(t *testing.T, address string, k answerKind) string {
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
				// The first bytes of a call are enough to answer.
				if _, err := conn.Read(make([]byte, pieceBytes)); err != nil {
					return
				}
				_ = k.reply(conn)
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
	})
	return l.Addr().String()
}

// Guards against executors whose answers take the memory of the leader.
func TestAnswersOfExecutors(t *testing.T) {
	for _, k := range answerKinds() {
		t.Run(k.name, func(t *testing.T) {
			s := startCell(t)
			stop := s.process.watch(s.ports)
			addresses := make([]string, hostileExecutors)
			for i := range addresses {
				addresses[i] = hostileExecutor(t, k)
			}
			for sequence := 1; sequence <= 3; sequence++ {
				for i, address := range addresses {
					report := func() bool {
						body := fmt.Sprintf(`{"Service":"p","Address":%q,"Zone":"z","State":"ready","Sequence":%d,"Machine":"h-%d","Capacity":{"Cpu":1000,"MemMb":1000,"Gpu":0},"Labels":[],"ClockMs":1,"born":1}`, address, sequence, i)
						status, _ := call("POST", fmt.Sprintf("http://%s/instances/h-%d/heartbeat", s.ports[0].address, i), "", strings.NewReader(body))
						return status == http.StatusOK
					}
					eventually(t, s.process, report, "the report of an executor is not taken")
				}
				time.Sleep(standTime)
			}
			require.True(t, s.process.lives(), "the process has ended")
			eventually(t, s.process, s.ordinary, "no ordinary request is answered")
			descriptors, unread := stop()
			memory := s.process.peakMemory(t)
			t.Logf("%d executors: memory at most %d MB, descriptors %d", hostileExecutors, memory>>20, descriptors)
			s.process.requireWithin(t, memory+unread, descriptors)
			s.process.logMu.Lock()
			defer s.process.logMu.Unlock()
			require.LessOrEqual(t, s.process.log.Len(), maxLogBytes, "bytes of the log")
		})
	}
}

// Guards against answers of other processes of the system, or of what poses as one, that take
// the memory of an entry host.
func TestAnswersOfPeers(t *testing.T) {
	for _, k := range answerKinds() {
		t.Run(k.name, func(t *testing.T) {
			cell := startCell(t)
			peerPort := portOf(cell.ports[1].address)
			// Replicas have one port on different addresses.
			hosts := make([]string, 0, hostilePeers)
			for i := range hostilePeers {
				address := fmt.Sprintf("127.0.0.%d:%s", 2+i, peerPort)
				hostileServer(t, address, k)
				hosts = append(hosts, address)
			}
			s := startJobsOn(t, testHost, cell, hosts...)
			stop := s.process.watch(s.ports)
			require.NoError(t, cell.process.cmd.Process.Kill())
			<-cell.process.exited
			// The entry host looks for another leader.
			time.Sleep(2 * standTime)
			cell.process = cell.restart()
			eventually(t, s.process, s.ordinary, "no ordinary request is answered")
			descriptors, unread := stop()
			memory := s.process.peakMemory(t)
			t.Logf("%d peers: memory at most %d MB, descriptors %d", hostilePeers, memory>>20, descriptors)
			s.process.requireWithin(t, memory+unread, descriptors)
		})
	}
}

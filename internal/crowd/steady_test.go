package crowd

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// steadyBytes is what a member of a steady crowd sends of its body at each interval. It
	// is a little more than what counts as progress.
	steadyBytes    = 5 << 10
	steadyInterval = 800 * time.Millisecond
	// firstBytes is what a member of the second kind sends of its body at once.
	firstBytes = 32 << 10
)

// standSteadily lets a crowd stand on one port whose members send their bodies slowly and
// connect again when they are refused. Each sends the first bytes of its body at once.
func standSteadily(p port, size, first int) (leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for range size {
		group.Go(func() {
			for ctx.Err() == nil {
				sendSteadily(ctx, p, first)
			}
		})
	}
	time.Sleep(sendTime)
	return func() {
		cancel()
		group.Wait()
	}
}

// sendSteadily sends one body, until the connection is closed or answered.
func sendSteadily(ctx context.Context, p port, first int) {
	dialer := net.Dialer{Timeout: sendTime}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = conn.Read(make([]byte, 1))
	}()
	if err := sendAll(conn, withLength(p), strings.Repeat("x", first)); err != nil {
		return
	}
	ticker := time.NewTicker(steadyInterval)
	defer ticker.Stop()
	for sent := first; sent < maxBodyBytes; sent += steadyBytes {
		select {
		case <-answered:
			return
		case <-ticker.C:
		}
		if _, err := conn.Write(bytes.Repeat([]byte("x"), steadyBytes)); err != nil {
			return
		}
	}
}

// Guards against a crowd whose bodies come slowly but steadily, and that keeps ordinary
// requests out, small and large ones.
func TestSteadyCrowds(t *testing.T) {
	for _, one := range []struct {
		name        string
		size, first int
	}{{"small", crowdSize / 8, 0}, {"whole", crowdSize, 0}, {"fast-start", crowdSize / 8, firstBytes}} {
		t.Run(one.name, func(t *testing.T) {
			s := startCell(t)
			ordinary := s.ordinary
			version := 1
			largest := func() bool {
				version++
				status, _ := call("POST", "http://"+s.ports[0].address+"/config/replace", "", strings.NewReader(configuration(version, configBytes)))
				return status == http.StatusOK
			}
			runServedCrowd(t, s, func(ports []port, _ int) func() {
				leave := standSteadily(ports[0], one.size, one.first)
				eventually(t, s.process, ordinary, "no ordinary request is answered while the crowd stands")
				eventually(t, s.process, largest, "the largest configuration is not taken while the crowd stands")
				return leave
			})
		})
	}
}

// Guards against an answer that is cut although its client reads it all the while.
func TestSlowReaderGetsWholeAnswer(t *testing.T) {
	const readBytes, readInterval = 8 << 10, 700 * time.Millisecond
	s := startCell(t)
	conn, err := net.Dial("tcp", s.ports[0].address)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(readBytes))
	_, err = io.WriteString(conn, "GET /config/read HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	total := 0
	for {
		n, err := conn.Read(make([]byte, readBytes))
		total += n
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err, "after %d bytes", total)
		time.Sleep(readInterval)
	}
	require.Greater(t, total, configBytes)
}

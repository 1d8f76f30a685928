package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The limits that the platform states for its clients.
const (
	platformHeadBytes = 16_384
	platformBodyBytes = 262_144
	platformHeadTime  = 3 * time.Second
)

// defaultHost is a host of the smallest size on which a process runs with its default limits.
func defaultHost(memoryMB int) host {
	const descriptors = 4096
	return host{memoryMB: memoryMB, descriptors: descriptors}
}

// exchange sends a head in pieces within a time, and then a body, and returns the status of
// the answer.
func exchange(t *testing.T, address, head, body string, pieces int, within time.Duration) int {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	size := (len(head) + pieces - 1) / pieces
	for start := 0; start < len(head); start += size {
		if start > 0 {
			time.Sleep(within / time.Duration(pieces))
		}
		_, err := io.WriteString(conn, head[start:min(start+size, len(head))])
		require.NoError(t, err)
	}
	_, err = io.WriteString(conn, body)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer res.Body.Close()
	return res.StatusCode
}

// requestLines returns the first lines of a request.
func requestLines(first string, bodyBytes int) string {
	return head(first, "Host: h.example", fmt.Sprintf("Content-Length: %d", bodyBytes))
}

// withHead adds a field to the lines of a head so that it has the given size.
func withHead(lines string, size int) string {
	const field, end = "X: ", "\r\n\r\n"
	return lines + field + strings.Repeat("x", size-len(lines)-len(field)-len(end)) + end
}

// Guards against limits that refuse a single client just inside those that the platform
// states, on either kind of host and with the default settings.
func TestClientsInsidePlatformLimits(t *testing.T) {
	const pieces = 8
	cell := startCellOn(t, defaultHost(280))
	jobs := startJobsOn(t, defaultHost(184), cell)
	job := func(n, bodyBytes int, padding string) (head, body string) {
		body = fmt.Sprintf(`{"Spec":%q,"Steps":[{"Count":1,"Cpu":1,"MemMb":1,"EstimatedMs":10}]`, strings.Repeat("s", 4000))
		body += strings.Repeat(padding, (bodyBytes-len(body)-1)/len(padding)) + "}"
		return requestLines(fmt.Sprintf("POST /a/%016x HTTP/1.1", 1000+n), len(body)), body
	}
	config := func(version int) (head, body string) {
		body = configuration(version, platformBodyBytes)
		return requestLines("POST /config/replace HTTP/1.1", len(body)), body
	}
	for name, one := range map[string]struct {
		address string
		request func() (head, body string)
	}{
		"job": {jobs.ports[0].address, func() (string, string) { return job(1, platformBodyBytes, " ") }},
		// Line breaks in a body are not fields of a head.
		"job with line breaks": {jobs.ports[0].address, func() (string, string) { return job(2, platformBodyBytes, "\n") }},
		"configuration":        {cell.ports[0].address, func() (string, string) { return config(2) }},
	} {
		t.Run(name, func(t *testing.T) {
			lines, body := one.request()
			head := withHead(lines, platformHeadBytes)
			require.Len(t, head, platformHeadBytes)
			require.Equal(t, http.StatusOK, exchange(t, one.address, head, body, 1, 0), "at once")
			require.Equal(t, http.StatusOK, exchange(t, one.address, head, body, pieces, platformHeadTime), "head in pieces")
		})
	}
}

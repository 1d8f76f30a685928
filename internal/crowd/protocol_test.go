package crowd

import (
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The parts of HTTP/2 that the crowds use (RFC 9113).
const (
	http2Preface  = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHeaders  = 1
	frameReset    = 3
	frameSettings = 4
	framePing     = 6
	endStream     = 1
	endHeaders    = 4
)

func http2Frame(kind, flags byte, stream uint32, payload string) string {
	const frameHeadBytes = 9
	head := make([]byte, frameHeadBytes)
	binary.BigEndian.PutUint32(head, uint32(len(payload))<<8|uint32(kind))
	head[4] = flags
	binary.BigEndian.PutUint32(head[5:], stream)
	return string(head) + payload
}

// http2Field returns a field of a head without compression. The lengths of the name and the
// value are below 2^14.
func http2Field(name, value string) string {
	return "\x00" + http2Length(len(name)) + name + http2Length(len(value)) + value
}

func http2Length(n int) string {
	const limit, bits = 0x7f, 7
	if n < limit {
		return string([]byte{byte(n)})
	}
	n -= limit
	return string([]byte{limit, byte(n)&limit | 0x80, byte(n >> bits)})
}

// http2Head returns the head of a request of a port with a large field.
func http2Head(p port, large int) string {
	words := strings.Fields(p.postHead)
	return http2Field(":method", words[0]) + http2Field(":scheme", "http") + http2Field(":authority", "h") + http2Field(":path", words[1]) +
		http2Field("content-type", "application/proto") + http2Field("x", strings.Repeat("x", large))
}

const (
	// unreadPings is the number of pings of a member that does not read their answers.
	unreadPings = 20_000
	// resetStreams is the number of requests that a member begins and cancels, and
	// resetHeadBytes the size of their heads.
	resetStreams   = 500
	resetHeadBytes = 12 << 10
	// peerHeadBytes is the size of a head that listeners for other processes accept.
	peerHeadBytes = 7 << 10
)

// sendHeads begins requests of HTTP/2 with large heads, and sends none of their bodies.
func sendHeads(w io.Writer, p port, headBytes int) error {
	if err := sendAll(w, http2Preface, http2Frame(frameSettings, 0, 0, "")); err != nil {
		return err
	}
	head := http2Head(p, headBytes)
	for i := range uint32(resetStreams) {
		if err := sendAll(w, http2Frame(frameHeaders, endHeaders, 2*i+1, head)); err != nil {
			return err
		}
	}
	return nil
}

// protocolKinds returns the crowds that use the protocols in unusual ways.
func protocolKinds() []kind {
	smallReadBuffer := func(conn *net.TCPConn) error {
		const smallest = 4 << 10
		return conn.SetReadBuffer(smallest)
	}
	return []kind{
		{name: "http2-pings", prepare: smallReadBuffer, send: func(w io.Writer, _ port, _ int) error {
			if err := sendAll(w, http2Preface, http2Frame(frameSettings, 0, 0, "")); err != nil {
				return err
			}
			const perWrite = 100
			pings := strings.Repeat(http2Frame(framePing, 0, 0, "12345678"), perWrite)
			for range unreadPings / perWrite {
				if err := sendAll(w, pings); err != nil {
					return err
				}
			}
			return nil
		}},
		{name: "http2-resets", prepare: smallReadBuffer, send: func(w io.Writer, p port, _ int) error {
			if err := sendAll(w, http2Preface, http2Frame(frameSettings, 0, 0, "")); err != nil {
				return err
			}
			head := http2Head(p, resetHeadBytes)
			const cancel = "\x00\x00\x00\x08"
			for i := range uint32(resetStreams) {
				stream := 2*i + 1
				if err := sendAll(w, http2Frame(frameHeaders, endHeaders, stream, head), http2Frame(frameReset, 0, stream, cancel)); err != nil {
					return err
				}
			}
			return nil
		}},
		{name: "http2-heads", send: func(w io.Writer, p port, _ int) error { return sendHeads(w, p, resetHeadBytes) }},
		{name: "http2-peer-heads", send: func(w io.Writer, p port, _ int) error { return sendHeads(w, p, peerHeadBytes) }},
		{name: "chunk-extensions", send: func(w io.Writer, p port, _ int) error {
			if err := sendAll(w, chunked(p), "1;"); err != nil {
				return err
			}
			return sendPieces(w, longHeadBytes, pieceBytes)
		}},
		{name: "endless-trailers", send: func(w io.Writer, p port, _ int) error {
			if err := sendAll(w, chunked(p), "1\r\nx\r\n0\r\n"); err != nil {
				return err
			}
			for range longHeadBytes / pieceBytes {
				if err := sendAll(w, "X: "+strings.Repeat("x", pieceBytes)+"\r\n"); err != nil {
					return err
				}
			}
			return nil
		}},
		{name: "tiny-fields", send: func(w io.Writer, p port, _ int) error {
			if err := sendAll(w, p.postHead); err != nil {
				return err
			}
			for range longHeadBytes / pieceBytes {
				if err := sendAll(w, strings.Repeat("a:\r\n", pieceBytes/4)); err != nil {
					return err
				}
			}
			return nil
		}},
		{name: "expect-continue", send: func(w io.Writer, p port, _ int) error {
			return sendAll(w, p.postHead+"Expect: 100-continue\r\nContent-Length: "+strconv.Itoa(maxBodyBytes)+"\r\n\r\n")
		}},
		{name: "get-without-its-body", reads: true, send: func(w io.Writer, p port, _ int) error {
			return sendAll(w, strings.TrimSuffix(p.get, "\r\n")+"Content-Length: 1\r\n\r\n")
		}},
		{name: "malformed-requests", reads: true, send: func(w io.Writer, p port, _ int) error {
			text := p.postHead + "Content-Length: 1\r\n\r\nx"
			for range malformedRequests {
				if err := sendAll(w, text); err != nil {
					return err
				}
			}
			return nil
		}},
		{name: "unknown-paths", reads: true, send: func(w io.Writer, p port, _ int) error {
			_, host, _ := strings.Cut(p.get, "\r\n")
			for i := range malformedRequests {
				if err := sendAll(w, "POST /"+strconv.Itoa(i)+strings.Repeat("x", pieceBytes)+" HTTP/1.1\r\n", strings.TrimSuffix(host, "\r\n"), "Content-Length: 2\r\n\r\n{}"); err != nil {
					return err
				}
			}
			return nil
		}},
	}
}

// malformedRequests is the number of requests of each member that cannot be served.
const malformedRequests = 100

// maxLogBytes bounds the log that a process writes because of a crowd. Its host keeps what
// a process writes, and a client must not fill it.
const maxLogBytes = 256 << 10

// runServedCrowd is runCrowd, and requires that ordinary requests are answered while the
// crowd stands, and that the log stays small.
func runServedCrowd(t *testing.T, s *system, stand func([]port, int) func()) {
	s.process.logMu.Lock()
	before := s.process.log.Len()
	s.process.logMu.Unlock()
	runCrowd(t, s, func(ports []port, size int) func() {
		leave := stand(ports, size)
		answered := 0
		for range ordinaryRequests {
			if s.ordinary() {
				answered++
			}
			time.Sleep(ordinaryInterval)
		}
		t.Logf("%d of %d ordinary requests answered while the crowd stands", answered, ordinaryRequests)
		eventually(t, s.process, s.ordinary, "no ordinary request is answered while the crowd stands")
		return leave
	})
	s.process.logMu.Lock()
	defer s.process.logMu.Unlock()
	t.Logf("log: %d KB", (s.process.log.Len()-before)>>10)
	require.LessOrEqual(t, s.process.log.Len()-before, maxLogBytes, "bytes of the log")
}

// Guards against clients that use the protocols in ways that take memory, connections or the
// log, and keep ordinary callers out.
func TestProtocolCrowds(t *testing.T) {
	for _, one := range systems {
		t.Run(one.name, func(t *testing.T) {
			for _, k := range protocolKinds() {
				t.Run(k.name, func(t *testing.T) { runServedCrowd(t, one.start(t), k.stand) })
			}
		})
	}
}

// Guards against clients that connect and leave without pause.
func TestComingAndGoing(t *testing.T) {
	for _, one := range systems {
		t.Run(one.name, func(t *testing.T) {
			runServedCrowd(t, one.start(t), func(ports []port, size int) func() {
				for end := time.Now().Add(sendTime); time.Now().Before(end); {
					idle := kind{send: func(w io.Writer, p port, _ int) error { return sendAll(w, p.get) }}
					idle.stand(ports, size)()
				}
				return func() {}
			})
		})
	}
}

// Guards against a crowd on one port that keeps ordinary callers of that port out, and against
// one that takes all that the ports share.
func TestCrowdsOnOnePort(t *testing.T) {
	for _, one := range systems {
		t.Run(one.name, func(t *testing.T) {
			for _, k := range append(kinds(), protocolKinds()...) {
				t.Run(k.name, func(t *testing.T) {
					s := one.start(t)
					ports := s.ports[:1]
					if strings.HasPrefix(k.name, "http2") {
						ports = s.ports[1:2]
					}
					runServedCrowd(t, s, func(_ []port, size int) func() { return k.stand(ports, size) })
				})
			}
		})
	}
}

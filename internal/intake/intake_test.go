package intake

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"laburnumdock/internal/logevent"
	"laburnumdock/internal/settings"
)

const (
	testMaxBody = 1 << 20
	// waitTimeout bounds waits on a busy machine. No check depends on its value.
	waitTimeout = 60 * time.Second
)

// newGuard returns a guard with the default limits and the given lines of [limits].
func newGuard(t testing.TB, memoryMB int, lines ...string) *Guard {
	var set settings.Set
	s := settings.NewStandin(&set)
	for _, p := range set.Load(settings.Source{Path: "test.ini", Data: []byte("[limits]\n" + strings.Join(lines, "\n"))}) {
		require.Equal(t, "value is missing", p.Message, "only the required keys of the process are missing")
	}
	return NewGuard(s.Intake, memoryMB, 1, metrics.NewRegistry(), logevent.Discard())
}

// serve serves a port until the test ends and returns its address.
func serve(t testing.TB, g *Guard, p Port) string {
	l, server, err := g.Listen(context.Background(), "127.0.0.1:0", p, false)
	require.NoError(t, err)
	release := g.Use()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
		release()
	})
	return l.Addr().String()
}

// echo answers with the size of the body, or with the refusal.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(r, testMaxBody)
	if refusal, ok := errors.AsType[*Refusal](err); ok {
		refusal.SetHeaders(w, r)
		http.Error(w, refusal.Error(), refusal.Status())
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fmt.Fprint(w, len(body))
}

var echoPort = Port{Handler: http.HandlerFunc(echo), MaxBody: testMaxBody}

// client is a connection on which a test writes what it likes.
type client struct {
	net.Conn
	reader *bufio.Reader
	t      *testing.T
}

func dial(t *testing.T, address string) *client {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return &client{Conn: c, reader: bufio.NewReader(c), t: t}
}

func (c *client) send(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// answer returns the status, the header and the body of the next answer. The header names
// the connection if the server closes it.
func (c *client) answer() (int, http.Header, string) {
	res, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	require.NoError(c.t, err)
	if res.Close {
		res.Header.Set("Connection", "close")
	}
	return res.StatusCode, res.Header, string(body)
}

// requireClosed requires that the connection is closed without an answer.
func (c *client) requireClosed() {
	_, err := c.reader.ReadByte()
	require.Error(c.t, err)
	require.NotErrorIs(c.t, err, context.DeadlineExceeded)
}

func post(headers ...string) string {
	return strings.Join(append([]string{"POST / HTTP/1.1", "Host: h"}, headers...), "\r\n") + "\r\n\r\n"
}

func length(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

func (g *Guard) count(r Reason) int64 { return g.refused[r].count.Count() }

// requireFree requires that nothing is held once the requests are done.
func requireFree(t *testing.T, g *Guard) {
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.account.Used() == 0 && g.account.Waiting() == 0 && len(g.bodies) == 0 && len(g.waiters) == 0
	}, waitTimeout, time.Millisecond)
}

// Guards against a body of known size over the limit that is read, and against a handler that
// runs for a request which is refused.
func TestRefusedBeforeTheBodyIsRead(t *testing.T) {
	g := newGuard(t, 0)
	ran := false
	address := serve(t, g, Port{MaxBody: 10, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran = true })})
	for header, status := range map[string]int{length(11): http.StatusRequestEntityTooLarge, length(5) + "\r\nContent-Encoding: gzip": http.StatusUnsupportedMediaType} {
		c := dial(t, address)
		c.send(post(header))
		got, h, _ := c.answer()
		require.Equal(t, status, got)
		require.Equal(t, "close", h.Get("Connection"))
	}
	require.False(t, ran)
	require.EqualValues(t, 1, g.count(BodyTooLarge))
	require.EqualValues(t, 1, g.count(EncodedBody))
}

// Guards against a chunked body that grows over the limit, and against one within it that is
// not read whole.
func TestChunkedBody(t *testing.T) {
	g := newGuard(t, 0)
	address := serve(t, g, echoPort)
	for size, status := range map[int]int{testMaxBody: http.StatusOK, testMaxBody + 1: http.StatusRequestEntityTooLarge} {
		c := dial(t, address)
		go func() {
			_, _ = fmt.Fprintf(c, "%s%x\r\n%s\r\n0\r\n\r\n", post("Transfer-Encoding: chunked"), size, strings.Repeat("x", size))
		}()
		got, _, body := c.answer()
		require.Equal(t, status, got, body)
	}
	requireFree(t, g)
}

// Guards against a body that stops or trickles and holds its memory for good.
func TestStalledBodyIsRefused(t *testing.T) {
	g := newGuard(t, 0, "body-timeout = 300ms")
	address := serve(t, g, echoPort)
	c := dial(t, address)
	c.send(post(length(100_000)) + strings.Repeat("x", 99_999))
	trickle := dial(t, address)
	trickle.send(post(length(100_000)))
	go func() {
		for range 1000 {
			if _, err := io.WriteString(trickle, "x"); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	for _, one := range []*client{c, trickle} {
		status, _, _ := one.answer()
		require.Equal(t, http.StatusRequestTimeout, status)
	}
	require.EqualValues(t, 2, g.count(BodyStalled))
	requireFree(t, g)
}

// Guards against bodies without progress that keep others from being served, and against
// large bodies that take the room of small ones.
func TestStalledBodiesMakeRoom(t *testing.T) {
	g := newGuard(t, 16, "room-wait = 50s", "body-timeout = 10m", "stall-grace = 300ms")
	address := serve(t, g, echoPort)
	var stalled []*client
	for range 4 {
		c := dial(t, address)
		c.send(post(length(testMaxBody)) + strings.Repeat("x", testMaxBody/8))
		stalled = append(stalled, c)
	}
	small := dial(t, address)
	small.send(post(length(5)) + "small")
	status, _, body := small.answer()
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "5", body)
	whole := dial(t, address)
	whole.send(post(length(testMaxBody)) + strings.Repeat("x", testMaxBody))
	status, _, _ = whole.answer()
	require.Equal(t, http.StatusOK, status)
	status, _, _ = stalled[0].answer()
	require.Equal(t, http.StatusRequestTimeout, status)
	for _, c := range stalled {
		require.NoError(t, c.Close())
	}
	requireFree(t, g)
}

// Guards against a request that waits for memory for ever, against a refusal without the time
// to retry, and against one whose handler still holds its memory being cut.
func TestNoRoomIsRefused(t *testing.T) {
	g := newGuard(t, 16, "room-wait = 200ms", "stall-grace = 50ms")
	release := make(chan struct{})
	address := serve(t, g, Port{MaxBody: testMaxBody, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength < testMaxBody {
			echo(w, r)
			return
		}
		body, _ := ReadBody(r, testMaxBody)
		<-release
		fmt.Fprint(w, len(body))
	})})
	holding := dial(t, address)
	holding.send(post(length(testMaxBody)) + strings.Repeat("x", testMaxBody))
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.account.Used() > 0
	}, waitTimeout, time.Millisecond)
	other := dial(t, address)
	other.send(post(length(testMaxBody/2)) + strings.Repeat("x", 2*firstBufferBytes))
	status, h, _ := other.answer()
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "1", h.Get("Retry-After"))
	close(release)
	status, _, _ = holding.answer()
	require.Equal(t, http.StatusOK, status)
	require.Positive(t, g.count(BodyNoRoom))
	requireFree(t, g)
}

// Guards against a head of many tiny fields, which takes far more memory than bytes, and
// against a count that goes on from one request to the next.
func TestHeaderFields(t *testing.T) {
	g := newGuard(t, 0, "max-header-fields = 50")
	address := serve(t, g, echoPort)
	ordinary := dial(t, address)
	for range 20 {
		ordinary.send(post(append(strings.Split(strings.Repeat("A: b ", 40), " b ")[:40], length(4))...) + "\n\n\n\n")
		status, _, body := ordinary.answer()
		require.Equal(t, http.StatusOK, status, body)
	}
	hostile := dial(t, address)
	for range 100 {
		if _, err := io.WriteString(hostile, "a:\r\n"); err != nil {
			break
		}
	}
	hostile.requireClosedOrMalformed()
	many := dial(t, address)
	many.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 60))
	many.requireClosed()
	require.Positive(t, g.count(TooManyFields))
}

// requireClosedOrMalformed reads until the connection is closed.
func (c *client) requireClosedOrMalformed() {
	_, err := io.Copy(io.Discard, c.reader)
	require.NotErrorIs(c.t, err, context.DeadlineExceeded)
}

// Guards against clients that never read their answers and hold their connections.
func TestUnreadAnswerIsClosed(t *testing.T) {
	g := newGuard(t, 0, "answer-timeout = 300ms")
	address := serve(t, g, Port{MaxBody: testMaxBody, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		data := make([]byte, 64<<10)
		for range 1000 {
			if _, err := w.Write(data); err != nil {
				return
			}
		}
	})})
	c := dial(t, address)
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool { return g.count(UnreadAnswer) > 0 }, waitTimeout, 10*time.Millisecond)
	_, err := io.Copy(io.Discard, c.reader)
	require.Error(t, err, "the rest of the answer is discarded")
}

// Guards against a request that is never done because its handler does not read its body and
// the client does not send it.
func TestBodyThatIsNotRead(t *testing.T) {
	const answerBytes = 64 << 10
	g := newGuard(t, 0, "body-timeout = 300ms")
	address := serve(t, g, Port{MaxBody: testMaxBody, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, answerBytes))
	})})
	for _, header := range []string{length(5), "Transfer-Encoding: chunked"} {
		c := dial(t, address)
		c.send("GET / HTTP/1.1\r\nHost: h\r\n" + header + "\r\n\r\n")
		status, _, _ := c.answer()
		require.Equal(t, http.StatusRequestTimeout, status)
		c.requireClosed()
	}
	// A request whose body comes is served, and so is the next one on its connection.
	c := dial(t, address)
	for range 2 {
		c.send("GET / HTTP/1.1\r\nHost: h\r\n" + length(5) + "\r\n\r\nxxxxx")
		status, _, body := c.answer()
		require.Equal(t, http.StatusOK, status)
		require.Len(t, body, answerBytes)
	}
}

// Guards against an answer and a connection that wait for good for the rest of a body which
// nobody needs.
func TestRestOfBodyHasTimeLimit(t *testing.T) {
	g := newGuard(t, 0, "body-timeout = 300ms")
	address := serve(t, g, Port{MaxBody: testMaxBody, Handler: http.NotFoundHandler()})
	c := dial(t, address)
	c.send(post(length(5)) + "x")
	status, _, _ := c.answer()
	require.Equal(t, http.StatusNotFound, status)
	c.requireClosed()
}

// Guards against frames that are read and answered while the client does not read the answers,
// which are kept.
func TestUnreadFramesAreNotAnswered(t *testing.T) {
	const ping, pings = "\x00\x00\x08\x06\x00\x00\x00\x00\x0012345678", 100_000
	g := newGuard(t, 0, "answer-timeout = 10m")
	address := serve(t, g, Port{MaxBody: testMaxBody, PlainHTTP2: true, Handler: http.NotFoundHandler()})
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	require.NoError(t, c.(*net.TCPConn).SetWriteBuffer(4<<10))
	_, err = io.WriteString(c, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00")
	require.NoError(t, err)
	// The server reads no more, so the client cannot write all.
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(time.Second)))
	written, err := io.WriteString(c, strings.Repeat(ping, pings))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	// It goes on when the client reads. The answer to a ping has its size.
	require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	n, err := io.CopyN(io.Discard, c, int64(written/len(ping)*len(ping)))
	require.NoError(t, err, "after %d bytes", n)
}

// Guards against errors of HTTP servers that are lost or fill the log, and against the stack
// of a panic that is cut.
func TestServerLog(t *testing.T) {
	const handshakes, repeated = 1000, 1000
	var out bytes.Buffer
	log, err := logevent.New(&out, "info", "r", "p")
	require.NoError(t, err)
	g := newGuard(t, 0)
	g.log = log
	l := g.newServerLog()
	for i := range handshakes {
		l.Printf("http: TLS handshake error from 127.0.0.1:%d: EOF", i)
	}
	require.EqualValues(t, handshakes, g.count(FailedHandshake))
	require.Equal(t, 1, strings.Count(out.String(), "tls_handshake_failed"))
	stack := strings.Repeat("frame", repeated)
	l.Print("http: panic serving 127.0.0.1:1: oops\n" + stack)
	require.Contains(t, out.String(), stack)
	out.Reset()
	for range repeated {
		l.Print("http: Accept error: too many open files; retrying in 5ms")
	}
	require.Contains(t, out.String(), "Accept error")
	require.Less(t, strings.Count(out.String(), "\n"), repeated)
}

// Guards against limits that cut streams between processes of the system, which may be silent
// for longer than any body.
func TestStreamIsKept(t *testing.T) {
	g := newGuard(t, 0, "body-timeout = 100ms", "answer-timeout = 100ms", "stall-grace = 50ms")
	address := serve(t, g, Port{MaxBody: 10, PlainHTTP2: true, Streams: true, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		buffer := make([]byte, 5)
		for {
			if _, err := io.ReadFull(r.Body, buffer); err != nil {
				return
			}
			_, _ = w.Write(buffer)
			_ = http.NewResponseController(w).Flush()
		}
	})})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	reader, writer := io.Pipe()
	req, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+address+"/", reader)
	require.NoError(t, err)
	req.Header.Set("Content-Type", "application/connect+proto")
	go func() { _, _ = io.WriteString(writer, "first") }()
	res, err := transport.RoundTrip(req)
	require.NoError(t, err)
	defer res.Body.Close()
	buffer := make([]byte, 5)
	_, err = io.ReadFull(res.Body, buffer)
	require.NoError(t, err)
	time.Sleep(4 * sweepInterval)
	_, err = io.WriteString(writer, "again")
	require.NoError(t, err)
	_, err = io.ReadFull(res.Body, buffer)
	require.NoError(t, err)
	require.Equal(t, "again", string(buffer))
	require.NoError(t, writer.Close())
}

// Guards against a snapshot between replicas that does not fit, or that keeps ordinary
// requests out while it comes.
func TestSnapshotFits(t *testing.T) {
	const size, memoryMB = 30 << 20, 280
	g := newGuard(t, memoryMB)
	half := make(chan struct{})
	address := serve(t, g, Port{MaxBody: g.settings.PeerBodyBytes(memoryMB), PlainHTTP2: true, Streams: true, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength < size {
			echo(w, r)
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, size/2)
		close(half)
		n, err := io.Copy(w, io.LimitReader(r.Body, size))
		if err != nil || n != size/2 {
			t.Errorf("%d bytes of the second half: %v", n, err)
		}
	})})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	reader, writer := io.Pipe()
	req, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+address+"/", reader)
	require.NoError(t, err)
	req.ContentLength = size
	go func() {
		data := make([]byte, size/2)
		_, _ = writer.Write(data)
		<-half
		c := dial(t, address)
		c.send(post(length(5)) + "small")
		if status, _, _ := c.answer(); status != http.StatusOK {
			t.Errorf("status %d of a small request beside a snapshot", status)
		}
		_, _ = writer.Write(data)
		_ = writer.Close()
	}()
	res, err := transport.RoundTrip(req)
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, res.Body)
	require.NoError(t, err)
	require.EqualValues(t, size/2, n)
	require.NoError(t, res.Body.Close())
}

// Guards against a crowd that keeps ordinary clients from connecting.
func TestIdleCrowdMakesRoomForConnections(t *testing.T) {
	g := newGuard(t, 0, "max-connections = 16", "stall-grace = 100ms")
	address := serve(t, g, echoPort)
	ordinary := dial(t, address)
	ask := func(c *client) {
		c.send(post(length(1)) + "x")
		status, _, _ := c.answer()
		require.Equal(t, http.StatusOK, status)
	}
	ask(ordinary)
	for range 40 {
		dial(t, address)
	}
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		defer c.Close()
		_, _ = io.WriteString(c, post(length(1))+"x")
		one := make([]byte, 1)
		n, _ := c.Read(one)
		return n == 1
	}, waitTimeout, 10*time.Millisecond)
	ask(ordinary)
	require.Positive(t, g.count(TooManyConns)+g.count(EvictedConn))
}

// BenchmarkSmallRequest compares a small request on a plain HTTP server with one within the
// limits.
func BenchmarkSmallRequest(b *testing.B) {
	run := func(b *testing.B, address string) {
		c, err := net.Dial("tcp", address)
		require.NoError(b, err)
		defer c.Close()
		reader := bufio.NewReader(c)
		request := []byte(post("Deadline-Ms: 3000", "Content-Type: application/json", length(200)) + strings.Repeat("x", 200))
		b.ReportAllocs()
		for b.Loop() {
			_, _ = c.Write(request)
			res, err := http.ReadResponse(reader, nil)
			if err != nil || res.StatusCode != http.StatusOK {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, res.Body)
		}
	}
	b.Run("before", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		server := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(http.MaxBytesReader(w, r.Body, testMaxBody))
			fmt.Fprint(w, len(body))
		})}
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		run(b, l.Addr().String())
	})
	b.Run("after", func(b *testing.B) { run(b, serve(b, newGuard(b, 184), echoPort)) })
}

package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// kind is a kind of crowd. send sends what one member of the crowd sends; an error means
// that the process has closed the connection or reads no more.
type kind struct {
	name string
	send func(w io.Writer, p port, member int) error
	// prepare is applied to a connection before it sends.
	prepare func(conn *net.TCPConn) error
	// reads is set if the members read the answers to what they send.
	reads bool
}

const (
	longHeadBytes  = 512 << 10
	pieceBytes     = 8 << 10
	largeChunk     = 64 << 10
	tinyChunk      = 1
	tinyChunks     = 64 << 10
	finishingShare = 10
	// pipelined is the number of requests that a member sends whose answers it does not read.
	pipelined = 2000
)

// sentBody returns how much of a body of the size a member sends: most stop just short of
// its end.
func sentBody(member, size int) int {
	if member%finishingShare == 0 {
		return size
	}
	return size - 1
}

// sendAll writes texts until one cannot be written.
func sendAll(w io.Writer, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// sendPieces writes n bytes in pieces.
func sendPieces(w io.Writer, n, piece int) error {
	data := bytes.Repeat([]byte("x"), piece)
	for ; n > 0; n -= piece {
		if _, err := w.Write(data[:min(piece, n)]); err != nil {
			return err
		}
	}
	return nil
}

// sendChunks writes n bytes as chunks. Of the last chunk it leaves out the last byte, unless
// the member finishes. Many chunks go into one write.
func sendChunks(w io.Writer, member, n, chunk int) error {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	perWrite := max(1, pieceBytes/len(one))
	text := strings.Repeat(one, perWrite)
	for left := n/chunk - 1; left > 0; left -= perWrite {
		if err := sendAll(w, text[:min(left, perWrite)*len(one)]); err != nil {
			return err
		}
	}
	if member%finishingShare == 0 {
		return sendAll(w, one, "0\r\n\r\n")
	}
	return sendAll(w, one[:len(one)-len("\r\n")])
}

func withLength(p port) string {
	return p.postHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)
}

func chunked(p port) string { return p.postHead + "Transfer-Encoding: chunked\r\n\r\n" }

// kinds returns the kinds of crowds on connections of HTTP/1.1.
func kinds() []kind {
	return []kind{
		{name: "long-heads", send: func(w io.Writer, p port, _ int) error {
			return sendAll(w, p.postHead, "X: ", strings.Repeat("x", longHeadBytes), "\r\nContent-Length: 0\r\n\r\n")
		}},
		{name: "endless-heads", send: func(w io.Writer, p port, _ int) error {
			if err := sendAll(w, p.postHead); err != nil {
				return err
			}
			line := strings.Repeat("X: "+strings.Repeat("x", pieceBytes)+"\r\n", 16)
			for range longHeadBytes / pieceBytes {
				if err := sendAll(w, line); err != nil {
					return err
				}
			}
			return nil
		}},
		{name: "empty-lines", send: func(w io.Writer, _ port, _ int) error {
			line := strings.Repeat("\r\n", pieceBytes)
			for range longHeadBytes / pieceBytes {
				if err := sendAll(w, line); err != nil {
					return err
				}
			}
			return nil
		}},
		{name: "bodies-whole", send: func(w io.Writer, p port, member int) error {
			return sendAll(w, withLength(p)+strings.Repeat("x", sentBody(member, maxBodyBytes)))
		}},
		{name: "bodies-in-pieces", send: func(w io.Writer, p port, member int) error {
			if err := sendAll(w, withLength(p)); err != nil {
				return err
			}
			return sendPieces(w, sentBody(member, maxBodyBytes), pieceBytes)
		}},
		{name: "large-chunks", send: func(w io.Writer, p port, member int) error {
			if err := sendAll(w, chunked(p)); err != nil {
				return err
			}
			return sendChunks(w, member, maxBodyBytes, largeChunk)
		}},
		{name: "tiny-chunks", send: func(w io.Writer, p port, member int) error {
			if err := sendAll(w, chunked(p)); err != nil {
				return err
			}
			return sendChunks(w, member, tinyChunks*tinyChunk, tinyChunk)
		}},
		{name: "idle", send: func(io.Writer, port, int) error { return nil }},
		{
			name: "unread-answers",
			prepare: func(conn *net.TCPConn) error {
				const smallest = 4 << 10
				return conn.SetReadBuffer(smallest)
			},
			send: func(w io.Writer, p port, _ int) error {
				for range pipelined {
					if err := sendAll(w, p.get); err != nil {
						return err
					}
				}
				return nil
			},
		},
	}
}

// stand lets a crowd of one kind stand on the ports: the returned function lets it go. It
// returns when every member has sent what it can.
func (k kind) stand(ports []port, size int) (leave func()) {
	conns := make([]net.Conn, size)
	var group sync.WaitGroup
	for member := range size {
		group.Go(func() { conns[member] = k.join(ports[member%len(ports)], member/len(ports)) })
	}
	group.Wait()
	return func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
}

// join connects one member, lets it send and returns its connection, which stays open, or
// nil if the process accepts none.
func (k kind) join(p port, member int) net.Conn {
	dialer := net.Dialer{Timeout: sendTime}
	conn, err := dialer.Dial("tcp", p.address)
	if err != nil {
		return nil
	}
	if k.prepare != nil {
		_ = k.prepare(conn.(*net.TCPConn))
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
	if k.reads {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	// The process may refuse at any point.
	_ = k.send(conn, p, member)
	return conn
}

// stoppingBody is a body of which the last byte comes only when the crowd leaves.
type stoppingBody struct {
	left    int
	ctx     context.Context
	stopped func()
}

func (b *stoppingBody) Read(data []byte) (int, error) {
	if b.left == 0 {
		b.stopped()
		<-b.ctx.Done()
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(data), b.left)
	for i := range n {
		data[i] = 'x'
	}
	b.left -= n
	return n, nil
}

func (b *stoppingBody) Close() error { return nil }

// standHTTP2 lets a crowd stand that sends large bodies on many streams of few connections,
// with prior knowledge of HTTP/2. It returns when every member has sent what it can.
func standHTTP2(ports []port, size int) (leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group, ended sync.WaitGroup
	for member := range size / streamsPerConn {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{Protocols: protocols}
		p := ports[member%len(ports)]
		for range streamsPerConn {
			group.Add(1)
			stopped := sync.OnceFunc(group.Done)
			ended.Go(func() {
				defer stopped()
				timer := time.AfterFunc(sendTime, stopped)
				defer timer.Stop()
				sendStream(ctx, transport, p, stopped)
			})
		}
		ended.Go(func() {
			<-ctx.Done()
			transport.CloseIdleConnections()
		})
	}
	group.Wait()
	return func() {
		cancel()
		ended.Wait()
	}
}

// sendStream sends one request with a body that stops just short of its end, and returns
// when it is answered or the crowd leaves.
func sendStream(ctx context.Context, transport *http.Transport, p port, stopped func()) {
	lines := strings.Split(p.postHead, "\r\n")
	request := strings.Fields(lines[0])
	body := &stoppingBody{left: maxBodyBytes - 1, ctx: ctx, stopped: stopped}
	req, err := http.NewRequestWithContext(ctx, request[0], "http://"+p.address+request[1], body)
	if err != nil {
		return
	}
	req.ContentLength = maxBodyBytes
	for _, line := range lines[1:] {
		if name, value, ok := strings.Cut(line, ": "); ok && name == "Host" {
			req.Host = value
		} else if ok {
			req.Header.Set(name, value)
		}
	}
	res, err := transport.RoundTrip(req)
	if err == nil {
		_ = res.Body.Close()
	}
}

package crowd

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/process/certtest"
)

// watches is a crowd that opens a watch on each connection of the operators' API.
func watches() kind {
	return kind{name: "watches", reads: true, send: func(w io.Writer, _ port, _ int) error {
		return sendAll(w, "GET /v1/watch?from=0 HTTP/1.1\r\nHost: h\r\n\r\n")
	}}
}

// peerWatches is a crowd that opens a watch of another process of the system on each
// connection.
func peerWatches() kind {
	return kind{name: "peer-watches", reads: true, send: func(w io.Writer, _ port, _ int) error {
		const emptyMessage = "\x00\x00\x00\x00\x00"
		return sendAll(w, head("POST /laburnumdock.v1.ControlService/Watch HTTP/1.1", "Host: h", "Content-Type: application/connect+proto"),
			fmt.Sprintf("Content-Length: %d\r\n\r\n", len(emptyMessage)), emptyMessage)
	}}
}

// Guards against streams that take all connections of a port and keep ordinary callers out.
func TestCrowdsOfStreams(t *testing.T) {
	for _, one := range []struct {
		kind kind
		port int
	}{{watches(), 0}, {peerWatches(), 1}} {
		t.Run(one.kind.name, func(t *testing.T) {
			s := startControl(t)
			runServedCrowd(t, s, func(ports []port, size int) func() { return one.kind.stand(ports[one.port:one.port+1], size) })
		})
	}
}

const (
	// orderStreams is the number of streams with orders to executors, and ordersBytes the
	// size of the first message of each.
	orderStreams = 24
	ordersBytes  = 1 << 20
)

// standOrders lets a crowd stand that opens streams for orders and sends a message of many
// empty orders on each.
func standOrders(ports []port, _ int) (leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	const ordersField, envelopeBytes = 1, 5
	body := make([]byte, envelopeBytes)
	binary.BigEndian.PutUint32(body[1:], ordersBytes)
	text := string(append(body, emptyMessages(ordersBytes, ordersField)...))
	var group sync.WaitGroup
	for range orderStreams {
		group.Go(func() {
			protocols := new(http.Protocols)
			protocols.SetUnencryptedHTTP2(true)
			transport := &http.Transport{Protocols: protocols}
			defer transport.CloseIdleConnections()
			reader, writer := io.Pipe()
			defer writer.Close()
			go func() { _, _ = io.WriteString(writer, text) }()
			req, err := http.NewRequestWithContext(ctx, "POST", "http://"+ports[1].address+"/laburnumdock.v1.OrderService/CarryOut", reader)
			if err != nil {
				return
			}
			req.Header.Set("Content-Type", "application/connect+proto")
			res, err := transport.RoundTrip(req)
			if err == nil {
				defer res.Body.Close()
			}
			<-ctx.Done()
		})
	}
	time.Sleep(sendTime)
	return func() {
		cancel()
		group.Wait()
	}
}

// Guards against a stream whose messages start more orders than the process can bear.
func TestCrowdOfOrders(t *testing.T) { runServedCrowd(t, startCell(t), standOrders) }

// Guards against clients that stop in the middle of a TLS handshake, and against a log that
// grows with each failed one.
func TestCrowdsOfHandshakes(t *testing.T) {
	const handshake = "\x16\x03\x01"
	for _, k := range []kind{
		{name: "stopped", send: func(w io.Writer, _ port, _ int) error {
			return sendAll(w, handshake+"\x02\x00\x01\x00\x01\xfc\x03\x03", strings.Repeat("x", 100))
		}},
		{name: "large", send: func(w io.Writer, _ port, _ int) error {
			// A first message of 64 KB in records of 16 KB, but for its last record.
			const recordBytes, records = 16 << 10, 3
			first := "\x01\x00\xff\xff"
			for range records {
				if err := sendAll(w, handshake+"\x40\x00", first, strings.Repeat("x", recordBytes-len(first))); err != nil {
					return err
				}
				first = ""
			}
			return nil
		}},
		{name: "malformed", reads: true, send: func(w io.Writer, _ port, _ int) error {
			return sendAll(w, "GET / HTTP/1.1\r\nHost: "+strings.Repeat("h", pieceBytes)+"\r\n\r\n")
		}},
	} {
		t.Run(k.name, func(t *testing.T) {
			authority := certtest.New(t, "test")
			cert, key := authority.Issue("control-1")
			s := startControl(t, "cert-file = "+cert, "key-file = "+key, "client-ca-file = "+authority.CAFile())
			runServedCrowd(t, s, func(ports []port, size int) func() { return k.stand(ports[1:2], size) })
		})
	}
}

// Guards against a log that grows with each handshake of clients that connect again and
// again.
func TestRepeatedHandshakes(t *testing.T) {
	const rounds = 60
	authority := certtest.New(t, "test")
	cert, key := authority.Issue("control-1")
	s := startControl(t, "cert-file = "+cert, "key-file = "+key, "client-ca-file = "+authority.CAFile())
	k := kind{send: func(w io.Writer, _ port, _ int) error { return sendAll(w, "\x16\x03\x01\x00\x01x") }}
	runServedCrowd(t, s, func(ports []port, size int) func() {
		for range rounds {
			k.stand(ports[1:2], size)()
		}
		return func() {}
	})
}

const (
	// listedPools is the number of resources of which a crowd asks for a list, and
	// listRequests the number of its requests on each connection.
	listedPools  = 1200
	listRequests = 20
)

// Guards against lists that take memory for each client that asks for one and does not read
// it.
func TestCrowdOfLists(t *testing.T) {
	s := startControl(t)
	for i := range listedPools {
		put := func() bool {
			body := fmt.Sprintf(`{"metadata":{"kind":"pools","name":"p-%d"},"spec":{"service":%q,"minHosts":1,"maxHosts":9}}`, i, strings.Repeat("s", 200))
			status, _ := call("PUT", fmt.Sprintf("http://%s/v1/pools/p-%d", s.ports[0].address, i), "", strings.NewReader(body))
			return status == http.StatusOK
		}
		eventually(t, s.process, put, "a pool is not stored")
	}
	k := kind{
		prepare: protocolKinds()[0].prepare,
		send: func(w io.Writer, p port, _ int) error {
			for range listRequests {
				if err := sendAll(w, p.get); err != nil {
					return err
				}
			}
			return nil
		},
	}
	require.NotNil(t, k.prepare)
	runServedCrowd(t, s, func(ports []port, size int) func() { return k.stand(ports[:1], size) })
}

package control

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/rpc"
)

const (
	// peerQueueLength is the maximum number of messages queued for a peer. Raft
	// resends what is dropped.
	peerQueueLength = 512
	// maxBatchBytes is the approximate maximum size of a batch of messages.
	maxBatchBytes = 4 << 20
	// deliverTimeout is the timeout of a Deliver call, after which an unresponsive
	// connection is closed. It must stay below the 2 s of a failover.
	deliverTimeout = time.Second
	// snapshotTimeout is the timeout for the transfer of a snapshot.
	snapshotTimeout = time.Minute
	dialTimeout     = time.Second
	// helloInterval is the interval of empty Deliver calls to a peer until the
	// first call succeeds.
	helloInterval = time.Second
	// pingIdleTime and pingTimeout configure the HTTP/2 pings that detect
	// unresponsive connections.
	pingIdleTime = time.Second
	pingTimeout  = time.Second

	replicaHeader = "Laburnum-Replica"
	diskHeader    = "Laburnum-Disk"
)

// peers sends messages to the other replicas. Each peer has its own queue,
// goroutines and connections, so that a stalled peer doesn't delay the others.
type peers struct {
	cfg   Config
	store Store
	ctx   context.Context
	group sync.WaitGroup
	// mu protects byID: the control loop sends messages while other goroutines look
	// up clients.
	mu   sync.Mutex
	byID map[uint64]*peer
}

// peer is the connection to another replica.
type peer struct {
	peers     *peers
	id        uint64
	url       string
	queue     chan raft.Message
	snapshots chan raft.Message
	raft      laburnumdockv1connect.RaftServiceClient
	control   laburnumdockv1connect.ControlServiceClient
	transport *http.Transport
	cancel    context.CancelFunc
}

func newPeers(ctx context.Context, cfg Config, store Store) *peers {
	return &peers{cfg: cfg, store: store, ctx: ctx, byID: map[uint64]*peer{}}
}

// setAddress sets the base URL of a replica. A changed URL replaces the peer.
func (p *peers) setAddress(id uint64, url string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byID[id]
	if id == p.cfg.ID || url == "" || old != nil && old.url == url {
		return
	}
	if old != nil {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(p.ctx)
	transport := newTransport(p.cfg)
	client := &http.Client{Transport: transport}
	next := &peer{
		peers: p, id: id, url: url, queue: make(chan raft.Message, peerQueueLength), snapshots: make(chan raft.Message, 1),
		raft:      laburnumdockv1connect.NewRaftServiceClient(client, url, rpc.ClientOptions(rpc.MaxMessageBytes)),
		control:   laburnumdockv1connect.NewControlServiceClient(client, url, rpc.ClientOptions(rpc.MaxMessageBytes)),
		transport: transport, cancel: cancel,
	}
	p.byID[id] = next
	p.group.Go(func() { next.run(ctx) })
	p.group.Go(func() { next.runSnapshots(ctx) })
}

func newTransport(cfg Config) *http.Transport {
	protocols := new(http.Protocols)
	var tlsConfig *tls.Config
	if cfg.TLS == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
		// A transport modifies its TLS configuration, so each needs its own copy.
		tlsConfig = cfg.TLS.Clone()
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: dialer.DialContext, TLSClientConfig: tlsConfig, Protocols: protocols, MaxResponseHeaderBytes: rpc.MaxAnswerHeadBytes,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
	}
}

func (p *peers) get(id uint64) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byID[id]
}

// send queues a message, or drops it if the queue is full.
func (p *peers) send(m raft.Message) {
	to := p.get(m.To)
	if to == nil {
		return
	}
	queue := to.queue
	if m.Type == raft.MsgSnapshot {
		queue = to.snapshots
	}
	select {
	case queue <- m:
	default:
	}
}

// wait waits until all goroutines of the group have ended, and then closes the
// idle connections.
func (p *peers) wait() {
	p.group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.byID {
		one.transport.CloseIdleConnections()
	}
}

// run sends the queued messages, one batch at a time. Until the first batch is
// delivered it also sends empty ones, so that each replica learns the disk ID of
// each other replica early. Two followers exchange no other messages; without the
// empty batches, one could accept the vote of a replica that lost its disk.
func (p *peer) run(ctx context.Context) {
	helloTimer := time.NewTimer(0)
	defer helloTimer.Stop()
	contacted, reachable := false, true
	for {
		var batch []raft.Message
		select {
		case <-ctx.Done():
			return
		case <-helloTimer.C:
			if contacted {
				continue
			}
			helloTimer.Reset(helloInterval)
		case m := <-p.queue:
			batch = p.collectBatch(m)
		}
		err := p.deliver(ctx, deliverTimeout, batch)
		if err != nil && reachable && ctx.Err() == nil {
			p.peers.cfg.Log.Err(logevent.PeerUnreachable, err, logevent.Fields{"peer": p.id})
		}
		reachable = err == nil
		contacted = contacted || reachable
	}
}

// collectBatch returns first and the messages queued behind it, up to
// maxBatchBytes.
func (p *peer) collectBatch(first raft.Message) []raft.Message {
	batch := []raft.Message{first}
	bytes := approxMessageBytes(first)
	for bytes < maxBatchBytes {
		select {
		case m := <-p.queue:
			batch = append(batch, m)
			bytes += approxMessageBytes(m)
		default:
			return batch
		}
	}
	return batch
}

// approxMessageBytes returns the approximate encoded size of a message without its
// snapshot.
func approxMessageBytes(m raft.Message) int {
	bytes := 64
	for _, e := range m.Entries {
		bytes += len(e.Data) + 16
	}
	return bytes
}

// runSnapshots sends snapshots in parallel to the other messages, because a
// transfer can take longer than an election timeout.
func (p *peer) runSnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.snapshots:
			snap, err := p.peers.store.LoadSnapshot()
			if err == nil && snap.Meta.Index < m.Snapshot.Meta.Index {
				continue
			}
			if err == nil {
				m.Snapshot = &snap
				err = p.deliver(ctx, snapshotTimeout, []raft.Message{m})
			}
			if err != nil && ctx.Err() == nil {
				p.peers.cfg.Log.Err(logevent.SnapshotNotSent, err, logevent.Fields{"peer": p.id})
			}
		}
	}
}

func (p *peer) deliver(ctx context.Context, timeout time.Duration, batch []raft.Message) error {
	msg := &pb.DeliverRequest{ClusterId: p.peers.cfg.Cluster}
	for _, m := range batch {
		wire, err := messageToWire(m)
		if err != nil {
			return err
		}
		msg.Messages = append(msg.Messages, wire)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := connect.NewRequest(msg)
	p.peers.setSenderHeaders(req.Header())
	_, err := p.raft.Deliver(ctx, req)
	if err != nil {
		// An unresponsive connection must not be reused.
		p.transport.CloseIdleConnections()
	}
	return err
}

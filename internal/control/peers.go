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
)

const (
	// peerQueueLength bounds the messages that wait for one peer. Consensus
	// repeats what is dropped.
	peerQueueLength = 512
	// maxBatchBytes bounds what one Deliver takes of the queue.
	maxBatchBytes = 4 << 20
	// deliverTimeout bounds one Deliver. It is the time after which a silent
	// connection is given up, so it stays below the 2 s of a failover.
	deliverTimeout = time.Second
	// snapshotTimeout bounds the transfer of one snapshot.
	snapshotTimeout = time.Minute
	dialTimeout     = time.Second
	// greetEvery is the time between the first attempts to reach a peer.
	greetEvery = time.Second
	// pingAfter and pingTimeout find connections that no longer respond.
	pingAfter   = time.Second
	pingTimeout = time.Second

	replicaHeader = "Laburnum-Replica"
	diskHeader    = "Laburnum-Disk"
)

// peers sends messages to the other replicas. Each peer has its own queue,
// goroutines and connections, so that a stalled one delays nobody else.
type peers struct {
	cfg   Config
	store Store
	ctx   context.Context
	group sync.WaitGroup
	// mu protects byID: the loop sends, traffic goroutines look up clients.
	mu   sync.Mutex
	byID map[uint64]*peer
}

// peer is one other replica.
type peer struct {
	all       *peers
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

// set makes url the address of a replica.
func (p *peers) set(id uint64, url string) {
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
		all: p, id: id, url: url, queue: make(chan raft.Message, peerQueueLength), snapshots: make(chan raft.Message, 1),
		raft:      laburnumdockv1connect.NewRaftServiceClient(client, url),
		control:   laburnumdockv1connect.NewControlServiceClient(client, url),
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
		// Each transport adds its protocols to its configuration.
		tlsConfig = cfg.TLS.Clone()
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: dialer.DialContext, TLSClientConfig: tlsConfig, Protocols: protocols,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}

func (p *peers) get(id uint64) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byID[id]
}

// send queues a message and drops it if the queue is full.
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

// wait waits until all goroutines of the peers have ended.
func (p *peers) wait() {
	p.group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.byID {
		one.transport.CloseIdleConnections()
	}
}

// run sends what has accumulated, one batch at a time. Until a first batch is
// taken it also sends empty ones, so that every replica learns early on which
// disk every other one has. Two followers exchange no other messages, and one
// of them could otherwise accept the vote of a replica that lost its disk.
func (p *peer) run(ctx context.Context) {
	greeting := time.NewTimer(0)
	defer greeting.Stop()
	greeted, reachable := false, true
	for {
		var batch []raft.Message
		select {
		case <-ctx.Done():
			return
		case <-greeting.C:
			if greeted {
				continue
			}
			greeting.Reset(greetEvery)
		case m := <-p.queue:
			batch = p.accumulate(m)
		}
		err := p.deliver(ctx, deliverTimeout, batch)
		if err != nil && reachable && ctx.Err() == nil {
			p.all.cfg.Log.Err(logevent.PeerUnreachable, err, logevent.Fields{"peer": p.id})
		}
		reachable = err == nil
		greeted = greeted || reachable
	}
}

func (p *peer) accumulate(first raft.Message) []raft.Message {
	batch := []raft.Message{first}
	bytes := messageBytes(first)
	for bytes < maxBatchBytes {
		select {
		case m := <-p.queue:
			batch = append(batch, m)
			bytes += messageBytes(m)
		default:
			return batch
		}
	}
	return batch
}

func messageBytes(m raft.Message) int {
	bytes := 64
	for _, e := range m.Entries {
		bytes += len(e.Data) + 16
	}
	return bytes
}

// runSnapshots sends snapshots beside the other messages, because a transfer
// takes longer than an election timeout.
func (p *peer) runSnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.snapshots:
			snap, err := p.all.store.LoadSnapshot()
			if err == nil && snap.Meta.Index < m.Snapshot.Meta.Index {
				continue
			}
			if err == nil {
				m.Snapshot = &snap
				err = p.deliver(ctx, snapshotTimeout, []raft.Message{m})
			}
			if err != nil && ctx.Err() == nil {
				p.all.cfg.Log.Err(logevent.SnapshotNotSent, err, logevent.Fields{"peer": p.id})
			}
		}
	}
}

func (p *peer) deliver(ctx context.Context, timeout time.Duration, batch []raft.Message) error {
	msg := &pb.DeliverRequest{ClusterId: p.all.cfg.Cluster}
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
	p.all.sign(req.Header())
	_, err := p.raft.Deliver(ctx, req)
	if err != nil {
		// A connection that no longer responds is not used again.
		p.transport.CloseIdleConnections()
	}
	return err
}

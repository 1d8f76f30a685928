package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/rpc"
)

// Timing of the connections to the control replicas.
const (
	// controlPingTimeout is how long a connection may be idle before an HTTP/2 ping
	// is sent, and how long the reply to the ping may take.
	controlPingTimeout = time.Second
	// progressMarkTimeout ends a stream that sends neither changes nor progress marks.
	// Until the first mark from any replica it is not known whether replicas send
	// marks, and noProgressMarkTimeout applies: the stream is resumed, which costs one
	// call.
	progressMarkTimeout   = 3 * time.Second
	noProgressMarkTimeout = 10 * time.Second
	// listTimeout bounds the wait for each message of a list, the first included.
	listTimeout = 3 * time.Second
	// reconnectDelay is the initial mean delay before the next replica is tried.
	reconnectDelay    = 100 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
	// relistJitter spreads the list requests of many entry hosts after a compaction.
	relistJitter = time.Second
)

var (
	errReplicaLagging     = errors.New("replica is behind the applied configuration")
	errReplicaPartitioned = errors.New("replica is partitioned from the other replicas")
	errStreamEnded        = errors.New("stream ended")
	errStreamSilent       = errors.New("stream timed out without a message")
)

// watchedKinds are the kinds of resources that an entry host watches.
var watchedKinds = []string{string(model.KindPool), string(model.KindBudget), string(model.KindHost), string(model.KindConfig)}

// defaultClient returns an HTTP/2 client without TLS that closes connections which no
// longer answer pings.
func defaultClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols: protocols, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: rpc.MaxAnswerHeadBytes,
		HTTP2: &http.HTTP2Config{SendPingTimeout: controlPingTimeout, PingTimeout: controlPingTimeout},
	}}
}

// dedicatedClient returns a copy of Client with a connection pool of its own. Its user
// closes the idle connections after a timeout, so that its next call does not reuse a
// connection that no longer delivers data; HTTP/2 pings alone take twice as long to
// detect one.
func (c Config) dedicatedClient() *http.Client {
	transport, ok := c.Client.Transport.(*http.Transport)
	if !ok {
		return c.Client
	}
	return &http.Client{Transport: transport.Clone()}
}

// newControlServiceClients returns a client for each control replica, in the order of
// Config.ControlReplicas.
func newControlServiceClients(cfg Config, client *http.Client) []laburnumdockv1connect.ControlServiceClient {
	var list []laburnumdockv1connect.ControlServiceClient
	for _, address := range cfg.ControlReplicas {
		list = append(list, laburnumdockv1connect.NewControlServiceClient(client, address, rpc.ClientOptions(rpc.MaxMessageBytes)))
	}
	return list
}

// controlClient watches the configuration on one control replica at a time. Its
// goroutine owns all fields except status. Invariant: the version of the configuration
// never decreases.
type controlClient struct {
	cfg     Config
	clients []laburnumdockv1connect.ControlServiceClient
	config  *configuration
	// relist is set when the next stream starts with a list instead of the changes
	// since the last version.
	relist bool
	// failures is the number of consecutive streams without progress. disconnected is
	// set once all replicas have failed, until one of them delivers again.
	failures     int
	disconnected bool
	// sendsProgressMarks is set once any replica has sent a progress mark.
	sendsProgressMarks bool
	// status is read by other goroutines.
	status atomic.Pointer[ConfigStatus]
}

// ConfigStatus is the state of the configuration on an entry host. It is immutable.
type ConfigStatus struct {
	// Version is the version of the applied configuration, or 0 before the first list.
	Version uint64 `json:"version"`
	// Listed is set once a complete list was applied.
	Listed bool `json:"listed"`
	// Replica is the address of the control replica that is watched, or empty.
	Replica string `json:"replica,omitempty"`
	// Configs holds the values of each config by its name.
	Configs map[string]map[string]string `json:"configs,omitempty"`
}

func newControlClient(cfg Config, q queue) *controlClient {
	c := &controlClient{cfg: cfg, clients: newControlServiceClients(cfg, cfg.Client), config: newConfiguration(q), relist: true, disconnected: true}
	c.status.Store(&ConfigStatus{})
	return c
}

// run watches one replica at a time until ctx ends, and changes to the next replica
// when the stream ends.
func (c *controlClient) run(ctx context.Context) error {
	if len(c.clients) == 0 {
		return nil
	}
	delay := reconnectDelay
	next := rand.IntN(len(c.clients))
	for ctx.Err() == nil {
		progress, err := c.watch(ctx, next)
		if progress {
			delay = reconnectDelay
			c.failures = 0
		}
		c.handleDisconnect(ctx, next, err)
		wait := delay/2 + rand.N(delay)
		if fault.KindOf(withFaultKind(err)) == fault.Compacted {
			c.relist = true
			wait = rand.N(relistJitter)
		} else {
			next = (next + 1) % len(c.clients)
			delay = min(delay*2, maxReconnectDelay)
		}
		sleep(ctx, wait)
	}
	return nil
}

// watch reads one watch stream to its end and reports whether it made progress. An
// idle stream counts as progress while it is unknown whether replicas send progress
// marks.
func (c *controlClient) watch(ctx context.Context, index int) (bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := time.AfterFunc(c.receiveTimeout(), func() { cancel(errStreamSilent) })
	defer timeout.Stop()
	stream, err := c.clients[index].Watch(ctx, connect.NewRequest(&pb.WatchRequest{
		FromVersion: c.config.version, ListFirst: c.relist, Kinds: watchedKinds,
	}))
	if err != nil {
		return false, err
	}
	defer stream.Close()
	go c.monitorFreshness(ctx, index, cancel)
	progress := false
	for stream.Receive() {
		if err := c.handleMessage(stream.Msg(), index); err != nil {
			return progress, err
		}
		progress = true
		timeout.Reset(c.receiveTimeout())
	}
	if cause := context.Cause(ctx); cause != nil {
		return progress || !c.sendsProgressMarks && errors.Is(cause, errStreamSilent), cause
	}
	if err := stream.Err(); err != nil {
		return progress, err
	}
	return progress, errStreamEnded
}

// receiveTimeout returns how long the stream may be idle.
func (c *controlClient) receiveTimeout() time.Duration {
	switch {
	case c.relist:
		return listTimeout
	case c.sendsProgressMarks:
		return progressMarkTimeout
	default:
		return noProgressMarkTimeout
	}
}

// handleMessage applies one message of the stream.
func (c *controlClient) handleMessage(msg *pb.WatchResponse, index int) error {
	if c.relist {
		return c.handleListMessage(msg, index)
	}
	if msg.GetVersion() < c.config.version {
		return errReplicaLagging
	}
	if err := c.config.apply(msg); err != nil {
		return err
	}
	c.sendsProgressMarks = c.sendsProgressMarks || msg.GetKind() == ""
	c.publishStatus(index)
	return nil
}

// handleListMessage collects a list and applies it once it is complete and not older
// than the applied configuration.
func (c *controlClient) handleListMessage(msg *pb.WatchResponse, index int) error {
	if !msg.GetListed() {
		return c.config.collect(msg)
	}
	if msg.GetVersion() < c.config.version {
		c.config.discardList()
		return errReplicaLagging
	}
	c.config.applyList(msg.GetVersion())
	c.relist = false
	c.publishStatus(index)
	return nil
}

// publishStatus makes the applied configuration visible to other goroutines.
func (c *controlClient) publishStatus(index int) {
	c.status.Store(&ConfigStatus{
		Version: c.config.version, Listed: true, Replica: c.cfg.ControlReplicas[index], Configs: c.config.values,
	})
	c.failures = 0
	if c.disconnected {
		c.disconnected = false
		c.cfg.Log.Log(logevent.ControlConnected, logevent.Fields{"replica": c.cfg.ControlReplicas[index], "version": c.config.version})
	}
}

// handleDisconnect clears the watched replica in the status and logs the loss of all
// replicas once. The applied configuration is kept.
func (c *controlClient) handleDisconnect(ctx context.Context, index int, err error) {
	c.config.discardList()
	status := *c.status.Load()
	status.Replica = ""
	c.status.Store(&status)
	c.failures++
	if !c.disconnected && c.failures > len(c.clients) && ctx.Err() == nil {
		c.disconnected = true
		c.cfg.Log.Err(logevent.ControlLost, err, logevent.Fields{"replica": c.cfg.ControlReplicas[index]})
	}
}

// withFaultKind converts a connect error to a fault of the kind that the replica
// reported, or Unavailable if there is none. Other errors are returned unchanged.
func withFaultKind(err error) error {
	ce, ok := errors.AsType[*connect.Error](err)
	if !ok {
		return err
	}
	kind := fault.Kind(ce.Meta().Get(answer.KindHeader))
	if kind == "" {
		kind = fault.Unavailable
	}
	return fault.New(kind, "%s", ce.Message())
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

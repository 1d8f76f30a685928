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
)

// Times of the connection to the control replicas.
const (
	// controlPing is after how much silence an HTTP/2 ping is sent, and how
	// long its answer may take.
	controlPing = time.Second
	// markTimeout ends a stream without changes and progress marks. Until the
	// first mark from any replica, it is not known that they send them, and
	// quietTimeout holds: the stream is resumed, which costs one call.
	markTimeout  = 3 * time.Second
	quietTimeout = 10 * time.Second
	// listTimeout bounds the wait for the first message and between the
	// messages of a list.
	listTimeout = 3 * time.Second
	// reconnectDelay is the mean wait before the next replica is tried.
	reconnectDelay    = 100 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
	// relistJitter spreads the lists of many entry hosts after a compaction.
	relistJitter = time.Second
)

var (
	errLagging = errors.New("replica is behind the configuration in force")
	errCutOff  = errors.New("replica is cut off from the others")
	errEnded   = errors.New("stream ended")
	errSilence = errors.New("stream is silent")
)

// watchedKinds are the resources that an entry host follows.
var watchedKinds = []string{string(model.KindPool), string(model.KindBudget), string(model.KindHost), string(model.KindConfig)}

// defaultClient returns a client that detects connections that went silent.
func defaultClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols: protocols, IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{SendPingTimeout: controlPing, PingTimeout: controlPing},
	}}
}

// ownClient returns a client with connections of its own. A caller that runs
// into its timeout closes them, so that its next call does not meet the same
// silent connection; HTTP/2 pings alone need twice the time.
func (c Config) ownClient() *http.Client {
	transport, ok := c.Client.Transport.(*http.Transport)
	if !ok {
		return c.Client
	}
	return &http.Client{Transport: transport.Clone()}
}

// controlClients are the clients of the control replicas, in the order of the
// settings.
func controlClients(cfg Config, client *http.Client) []laburnumdockv1connect.ControlServiceClient {
	var list []laburnumdockv1connect.ControlServiceClient
	for _, address := range cfg.ControlReplicas {
		list = append(list, laburnumdockv1connect.NewControlServiceClient(client, address))
	}
	return list
}

// controlClient follows the configuration. Its goroutine owns everything but
// current. Invariant: the version of the configuration never goes back.
type controlClient struct {
	cfg     Config
	clients []laburnumdockv1connect.ControlServiceClient
	config  *configuration
	// relist asks for a list instead of the changes since the last version.
	relist bool
	// failures counts the streams in a row that brought nothing; lost is set
	// once none of the replicas could be followed.
	failures int
	lost     bool
	// marks is set once a replica has sent a progress mark.
	marks bool
	// current is what other goroutines read.
	current atomic.Pointer[ConfigStatus]
}

// ConfigStatus is what is known of the configuration. It is immutable.
type ConfigStatus struct {
	// Version of the configuration in force; 0 before the first list.
	Version uint64 `json:"version"`
	Listed  bool   `json:"listed"`
	// Replica is the control replica that is followed, or empty.
	Replica string `json:"replica,omitempty"`
	// Configs are the values by name of the config and key.
	Configs map[string]map[string]string `json:"configs,omitempty"`
}

func newControlClient(cfg Config, q queue) *controlClient {
	c := &controlClient{cfg: cfg, clients: controlClients(cfg, cfg.Client), config: newConfiguration(q), relist: true, lost: true}
	c.current.Store(&ConfigStatus{})
	return c
}

// run follows one replica after the other until ctx ends.
func (c *controlClient) run(ctx context.Context) error {
	if len(c.clients) == 0 {
		return nil
	}
	delay := reconnectDelay
	next := rand.IntN(len(c.clients))
	for ctx.Err() == nil {
		progress, err := c.follow(ctx, next)
		if progress {
			delay = reconnectDelay
			c.failures = 0
		}
		c.noteLost(ctx, next, err)
		wait := delay/2 + rand.N(delay)
		if fault.KindOf(kindError(err)) == fault.Compacted {
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

// follow reads one stream to its end and tells whether the replica was of use.
func (c *controlClient) follow(ctx context.Context, index int) (bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent := time.AfterFunc(c.silenceLimit(), func() { cancel(errSilence) })
	defer silent.Stop()
	stream, err := c.clients[index].Watch(ctx, connect.NewRequest(&pb.WatchRequest{
		FromVersion: c.config.version, ListFirst: c.relist, Kinds: watchedKinds,
	}))
	if err != nil {
		return false, err
	}
	defer stream.Close()
	go c.watchFreshness(ctx, index, cancel)
	progress := false
	for stream.Receive() {
		if err := c.take(stream.Msg(), index); err != nil {
			return progress, err
		}
		progress = true
		silent.Reset(c.silenceLimit())
	}
	if cause := context.Cause(ctx); cause != nil {
		return progress || !c.marks && errors.Is(cause, errSilence), cause
	}
	if err := stream.Err(); err != nil {
		return progress, err
	}
	return progress, errEnded
}

// silenceLimit is how long the stream may bring nothing.
func (c *controlClient) silenceLimit() time.Duration {
	switch {
	case c.relist:
		return listTimeout
	case c.marks:
		return markTimeout
	default:
		return quietTimeout
	}
}

// take applies one message.
func (c *controlClient) take(msg *pb.WatchResponse, index int) error {
	if c.relist {
		return c.takeList(msg, index)
	}
	if msg.GetVersion() < c.config.version {
		return errLagging
	}
	if err := c.config.apply(msg); err != nil {
		return err
	}
	c.marks = c.marks || msg.GetKind() == ""
	c.publish(index)
	return nil
}

// takeList collects a list and puts it in force once it is whole and not older
// than what is in force.
func (c *controlClient) takeList(msg *pb.WatchResponse, index int) error {
	if !msg.GetListed() {
		return c.config.collect(msg)
	}
	if msg.GetVersion() < c.config.version {
		c.config.dropList()
		return errLagging
	}
	c.config.applyList(msg.GetVersion())
	c.relist = false
	c.publish(index)
	return nil
}

func (c *controlClient) publish(index int) {
	c.current.Store(&ConfigStatus{
		Version: c.config.version, Listed: true, Replica: c.cfg.ControlReplicas[index], Configs: c.config.values,
	})
	c.failures = 0
	if c.lost {
		c.lost = false
		c.cfg.Log.Log(logevent.ControlConnected, logevent.Fields{"replica": c.cfg.ControlReplicas[index], "version": c.config.version})
	}
}

// noteLost keeps the configuration in force and says that nobody is followed.
func (c *controlClient) noteLost(ctx context.Context, index int, err error) {
	c.config.dropList()
	status := *c.current.Load()
	status.Replica = ""
	c.current.Store(&status)
	c.failures++
	if !c.lost && c.failures > len(c.clients) && ctx.Err() == nil {
		c.lost = true
		c.cfg.Log.Err(logevent.ControlLost, err, logevent.Fields{"replica": c.cfg.ControlReplicas[index]})
	}
}

// kindError returns err as an error with the kind that a replica gave it.
func kindError(err error) error {
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

// sleep waits unless ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

package orders

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/rpc"
)

const (
	// proxySuspension is the time for which a replica gets no orders after its
	// stream failed. It covers the restart of a process.
	proxySuspension = 2 * time.Second
	dialTimeout     = 500 * time.Millisecond
	// pingIdleTime and pingTimeout detect connections that no longer respond.
	pingIdleTime = time.Second
	pingTimeout  = time.Second
)

// DistributedConfig holds the settings and dependencies of a DistributedSender.
type DistributedConfig struct {
	Local *LocalSender
	// ProxyURLs returns the base URLs of the other replicas in a fixed order.
	ProxyURLs func() []string
	// MaxLocalExecutors is the number of executors above which other replicas
	// send the orders to executors.
	MaxLocalExecutors int
	Log               *logevent.Logger
}

// DistributedSender distributes the orders to executors over other replicas while
// there are many executors; each executor is assigned to one replica. It sends
// the orders that no replica accepts from this process. A replica sends no order
// after its permission has ended. One that the network delays is fenced by its token.
type DistributedSender struct {
	cfg    DistributedConfig
	client *http.Client

	// mu protects ctx and proxies. The proxies belong to the leadership that ends
	// with ctx.
	mu      sync.Mutex
	ctx     context.Context
	proxies map[string]*proxy
}

// NewDistributedSender returns a DistributedSender.
func NewDistributedSender(cfg DistributedConfig) *DistributedSender {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &DistributedSender{cfg: cfg, client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, Protocols: protocols, MaxResponseHeaderBytes: rpc.MaxAnswerHeadBytes,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
	}}}
}

// Send implements lead.OrderSender. It never blocks.
func (s *DistributedSender) Send(ctx context.Context, executors int, calls []manager.Call, deliver func([]manager.Outcome)) {
	if executors <= s.cfg.MaxLocalExecutors {
		s.cfg.Local.Send(ctx, executors, calls, deliver)
		return
	}
	urls := s.cfg.ProxyURLs()
	var local []manager.Call
	batches := map[*proxy][]manager.Call{}
	for _, c := range calls {
		if p := s.proxyFor(ctx, urls, c, deliver); p != nil {
			batches[p] = append(batches[p], c)
		} else {
			local = append(local, c)
		}
	}
	for p, batch := range batches {
		if !p.enqueue(batch) {
			local = append(local, batch...)
		}
	}
	s.cfg.Local.Send(ctx, executors, local, deliver)
}

// Wait waits until no order is in flight. The context of all orders must have
// ended.
func (s *DistributedSender) Wait() {
	s.mu.Lock()
	proxies := s.proxies
	s.mu.Unlock()
	for _, p := range proxies {
		<-p.stopped
	}
	s.cfg.Local.Wait()
}

// proxyFor returns the replica that sends an order, or nil if this process does.
// An executor keeps its replica while that is available, so that connections are
// reused. Orders that name no executor are always sent from this process.
func (s *DistributedSender) proxyFor(ctx context.Context, urls []string, c manager.Call, deliver func([]manager.Outcome)) *proxy {
	if c.Executor <= 0 || len(urls) == 0 {
		return nil
	}
	for i := range urls {
		if p := s.proxyAt(ctx, urls[(c.Executor+i)%len(urls)], deliver); p.isAvailable() {
			return p
		}
	}
	return nil
}

// proxyAt returns the proxy of the replica at url, which it starts if needed.
func (s *DistributedSender) proxyAt(ctx context.Context, url string, deliver func([]manager.Outcome)) *proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx != ctx {
		s.ctx, s.proxies = ctx, map[string]*proxy{}
	}
	p := s.proxies[url]
	if p == nil {
		p = &proxy{
			url: url, client: laburnumdockv1connect.NewOrderServiceClient(s.client, url, rpc.ClientOptions(rpc.MaxMessageBytes)), deliver: deliver, log: s.cfg.Log,
			queue: make(chan []manager.Call, proxyQueueLength), stopped: make(chan struct{}),
		}
		s.proxies[url] = p
		go p.run(ctx)
	}
	return p
}

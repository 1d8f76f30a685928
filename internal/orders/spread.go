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
)

const (
	// helperPause is the time for which a replica that failed makes no calls. It
	// covers the restart of a process.
	helperPause = 2 * time.Second
	dialTimeout = 500 * time.Millisecond
	// pingAfter and pingTimeout find connections that no longer respond.
	pingAfter   = time.Second
	pingTimeout = time.Second
)

// SpreadConfig is what a Spread needs.
type DistributedConfig struct {
	Local *LocalSender
	// Helpers returns the base URLs of the other replicas in a fixed order.
	ProxyURLs func() []string
	// Above is the number of executors above which other replicas make the
	// calls to executors.
	MaxLocalExecutors int
	Log   *logevent.Logger
}

// Spread hands the orders to executors to other replicas, each executor's to
// one, while there are many executors. What no replica takes is carried out
// locally. An order that a replica may have carried out late is no more than one
// that the network delayed: its token fences it.
type DistributedSender struct {
	cfg    DistributedConfig
	client *http.Client

	// mu protects helpers, which belong to the leadership that ctx ends with.
	mu      sync.Mutex
	ctx     context.Context
	helpers map[string]*helper
}

// NewSpread returns a Spread.
func NewDistributedSender(cfg DistributedConfig) *DistributedSender {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &DistributedSender{cfg: cfg, client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, Protocols: protocols,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}}
}

// CarryOut implements lead.Carrier. It never blocks.
func (s *DistributedSender) Send(ctx context.Context, executors int, calls []manager.Call, done func([]manager.Outcome)) {
	if executors <= s.cfg.MaxLocalExecutors {
		s.cfg.Local.Send(ctx, executors, calls, done)
		return
	}
	urls := s.cfg.ProxyURLs()
	var own []manager.Call
	batches := map[*helper][]manager.Call{}
	for _, c := range calls {
		if h := s.helperFor(ctx, urls, c, done); h != nil {
			batches[h] = append(batches[h], c)
		} else {
			own = append(own, c)
		}
	}
	for h, batch := range batches {
		if !h.offer(batch) {
			own = append(own, batch...)
		}
	}
	s.cfg.Local.Send(ctx, executors, own, done)
}

// Wait waits for the orders on their way, whose context must have ended.
func (s *DistributedSender) Wait() {
	s.mu.Lock()
	helpers := s.helpers
	s.mu.Unlock()
	for _, h := range helpers {
		<-h.ended
	}
	s.cfg.Local.Wait()
}

// helperFor returns the replica that calls an executor: always the same one while
// it works, so that connections are kept. Orders to anything else are local.
func (s *DistributedSender) helperFor(ctx context.Context, urls []string, c manager.Call, done func([]manager.Outcome)) *helper {
	if c.Executor <= 0 || len(urls) == 0 {
		return nil
	}
	for i := range urls {
		if h := s.helper(ctx, urls[(c.Executor+i)%len(urls)], done); h.isUsable() {
			return h
		}
	}
	return nil
}

func (s *DistributedSender) helper(ctx context.Context, url string, done func([]manager.Outcome)) *helper {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx != ctx {
		s.ctx, s.helpers = ctx, map[string]*helper{}
	}
	h := s.helpers[url]
	if h == nil {
		h = &helper{
			url: url, client: laburnumdockv1connect.NewOrderServiceClient(s.client, url), done: done, log: s.cfg.Log,
			queue: make(chan []manager.Call, helperQueue), ended: make(chan struct{}),
		}
		s.helpers[url] = h
		go h.run(ctx)
	}
	return h
}

// Package jobclient passes requests to the leader of a cell. It finds the
// replicas from some addresses that may lag, follows the leader and repeats a
// request until it is answered or its deadline passes; every request may be
// repeated, since a job, a configuration and a wave carry their own identity.
package jobclient

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/answer"
	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/logevent"
)

const (
	// lookEvery is the time between two looks at the leader. With a failover of
	// 0.5 to 1 s, a look twice as often finds the new leader without delay.
	lookEvery = 300 * time.Millisecond
	// lookTimeout bounds one look; a replica that is slower is passed over.
	lookTimeout = 600 * time.Millisecond
	// attemptTimeout bounds one attempt at the leader: a commit on a disk that
	// is 30 times slower than usual takes less.
	attemptTimeout = 1500 * time.Millisecond
	// retryPause is the time before an attempt is repeated at the same leader.
	retryPause = 50 * time.Millisecond
	// freshLook is the age up to which the last look says that there is a
	// leader.
	freshLook = 2 * time.Second
	// forgetAfter is how long an address that nobody lists any more is kept.
	forgetAfter = time.Minute
	dialTimeout = 500 * time.Millisecond
	// idleConns bounds the open connections to one replica.
	idleConns = 32
)

// Config is what a client needs.
type Config struct {
	// Seeds are base URLs of some replicas.
	Seeds []string
	// Self is the base URL of the peer listener of an entry host. Others that
	// cannot reach the leader may pass their requests through it.
	Self string
	// Wait bounds how long a request waits for a leader.
	LeaderWait time.Duration
	Log  *logevent.Logger
}

// Client follows the leader of one cell. Any goroutine may use it.
type Client struct {
	cfg  Config
	http *http.Client
	// mu protects known, the replicas by base URL and when they were last
	// listed.
	mu    sync.Mutex
	known map[string]time.Time
	// relays are the other entry hosts by base URL, under mu.
	relays map[string]time.Time
	// leader is the newest known leader; its channel is closed when a newer one
	// is known.
	leader atomic.Pointer[leader]
	// config is the newest version of the configuration that was seen.
	config atomic.Uint64
	// lookNow asks for a look before it is due.
	lookNow chan struct{}
}

// leader is one leader as the client knows it.
type leader struct {
	url    string
	term   uint64
	seenAt time.Time
	// relay tells that url is an entry host that passes requests on.
	relay bool
	// gone is closed when another leader is known or this one does not answer.
	gone chan struct{}
}

// New returns a client; Run must be called for it to find a leader.
func New(cfg Config) *Client {
	c := &Client{
		cfg: cfg, http: &http.Client{Transport: NewTransport()}, known: map[string]time.Time{}, relays: map[string]time.Time{}, lookNow: make(chan struct{}, 1),
	}
	for _, url := range cfg.Seeds {
		c.known[url] = time.Now()
	}
	c.leader.Store(&leader{gone: make(chan struct{})})
	return c
}

// SetSeeds adds the seeds of new settings.
func (c *Client) SetSeeds(urls []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, url := range urls {
		c.known[url] = time.Now()
	}
	c.cfg.Seeds = urls
}

// NewTransport returns the transport between the processes of a cell.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConns, DisableCompression: true}
}

// Run looks for the leader until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		c.look(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.lookNow:
		}
	}
}

// Direct returns the term of the leader if it was reached lately without a relay.
func (c *Client) DirectLeaderTerm() (uint64, bool) {
	l := c.leader.Load()
	return l.term, c.HasLeader() && !l.relay
}

// HasLeader tells whether a leader was seen lately.
func (c *Client) HasLeader() bool {
	l := c.leader.Load()
	return l.url != "" && time.Since(l.seenAt) < freshLook
}

// LeaderURL returns the base URL of the newest known leader, or "".
func (c *Client) LeaderURL() string { return c.leader.Load().url }

// look asks the leader whether it still leads, and everyone if it does not. If no
// replica that leads can be reached, it looks for an entry host that reaches one.
func (c *Client) look(ctx context.Context) {
	current := c.leader.Load()
	if current.url != "" && !current.relay {
		if r := c.members(ctx, current.url); r != nil && r.GetIsLeader() {
			c.take(current.url, r)
			return
		}
	}
	if url, r := c.best(ctx, c.urls(c.known), (*pb.MembersResponse).GetIsLeader); r != nil {
		c.take(url, r)
		return
	}
	if url, r := c.best(ctx, c.urls(c.relays), (*pb.MembersResponse).GetRelays); r != nil {
		c.take(url, r)
		return
	}
	if current.url != "" {
		c.lose(current)
	}
}

// best asks all of urls and returns the answer of the highest term that is
// wanted, or nil.
func (c *Client) best(ctx context.Context, urls []string, isWanted func(*pb.MembersResponse) bool) (string, *pb.MembersResponse) {
	replies := make([]*pb.MembersResponse, len(urls))
	var group sync.WaitGroup
	for i, url := range urls {
		group.Go(func() { replies[i] = c.members(ctx, url) })
	}
	group.Wait()
	best := -1
	for i, r := range replies {
		if r == nil {
			continue
		}
		c.learn(r)
		if isWanted(r) && (best < 0 || r.GetTerm() > replies[best].GetTerm()) {
			best = i
		}
	}
	if best < 0 {
		return "", nil
	}
	return urls[best], replies[best]
}

func (c *Client) members(ctx context.Context, url string) *pb.MembersResponse {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	resp, err := laburnumdockv1connect.NewCellServiceClient(c.http, url).Members(ctx, connect.NewRequest(&pb.MembersRequest{EntryHost: c.cfg.Self}))
	if err != nil {
		return nil
	}
	return resp.Msg
}

// take makes a replica the leader, unless a newer one is known.
func (c *Client) take(url string, r *pb.MembersResponse) {
	c.learn(r)
	old := c.leader.Load()
	if old.url != "" && r.GetTerm() < old.term {
		return
	}
	next := &leader{url: url, term: r.GetTerm(), seenAt: time.Now(), gone: old.gone, relay: r.GetRelays()}
	if old.url != url {
		next.gone = make(chan struct{})
	}
	if c.leader.CompareAndSwap(old, next) && old.url != url {
		close(old.gone)
		c.cfg.Log.Log(logevent.ControlConnected, logevent.Fields{"leader": url, "term": r.GetTerm(), "relay": r.GetRelays()})
	}
}

// lose forgets a leader that does not answer.
func (c *Client) lose(old *leader) {
	if c.leader.CompareAndSwap(old, &leader{gone: make(chan struct{})}) {
		close(old.gone)
		c.cfg.Log.Log(logevent.ControlLost, logevent.Fields{"leader": old.url, "age_ms": time.Since(old.seenAt).Milliseconds()})
	}
}

// learn takes the addresses of the members.
func (c *Client) learn(r *pb.MembersResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, m := range r.GetMembers() {
		c.known[m.GetAddress()] = now
	}
	c.learnRelays(r.GetEntryHosts(), now)
	forget(c.known, now, c.cfg.Seeds)
	forget(c.relays, now, nil)
}

// LearnRelays adds entry hosts that may pass requests on.
func (c *Client) AddRelays(urls []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnRelays(urls, time.Now())
}

func (c *Client) learnRelays(urls []string, now time.Time) {
	for _, url := range urls {
		if url != c.cfg.Self {
			c.relays[url] = now
		}
	}
}

// forget drops the addresses that nobody has listed for long.
func forget(addresses map[string]time.Time, now time.Time, keep []string) {
	for url, at := range addresses {
		if now.Sub(at) > forgetAfter && !slices.Contains(keep, url) {
			delete(addresses, url)
		}
	}
}

func (c *Client) urls(addresses map[string]time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	urls := make([]string, 0, len(addresses))
	for url := range addresses {
		urls = append(urls, url)
	}
	slices.Sort(urls)
	return urls
}

// Ask passes a request to the leader. The error is unavailable if it certainly
// had no effect, and outcome_unknown otherwise.
func (c *Client) Ask(ctx context.Context, q manager.Request) (manager.Reply, error) {
	msg, err := requestToWire(q)
	if err != nil {
		return manager.Reply{}, err
	}
	var reply manager.Reply
	err = c.withLeader(ctx, func(ctx context.Context, url string) error {
		msg.ConfigVersion = c.config.Load()
		resp, err := laburnumdockv1connect.NewJobServiceClient(c.http, url).Ask(ctx, connect.NewRequest(msg))
		if err != nil {
			return err
		}
		reply = replyFromWire(resp.Msg)
		return nil
	})
	if err == nil {
		c.sawConfig(reply.ConfigVersion)
	}
	return reply, err
}

// sawConfig remembers the newest version of the configuration, so that no
// replica that is behind answers later requests.
func (c *Client) sawConfig(version uint64) {
	for {
		old := c.config.Load()
		if version <= old || c.config.CompareAndSwap(old, version) {
			return
		}
	}
}

// Report passes reports to the leader.
func (c *Client) Report(ctx context.Context, reports []manager.Report) error {
	msg := &pb.ReportRequest{}
	for i := range reports {
		msg.Reports = append(msg.Reports, reportToWire(&reports[i]))
	}
	return c.withLeader(ctx, func(ctx context.Context, url string) error {
		_, err := laburnumdockv1connect.NewJobServiceClient(c.http, url).Report(ctx, connect.NewRequest(msg))
		return err
	})
}

// Join asks the leader to take a replica in.
func (c *Client) Join(ctx context.Context, id uint64, address string) error {
	return c.withLeader(ctx, func(ctx context.Context, url string) error {
		_, err := laburnumdockv1connect.NewCellServiceClient(c.http, url).Join(ctx, connect.NewRequest(&pb.JoinRequest{Id: id, Address: address}))
		return err
	})
}

// Members returns the members of the cell by ID, as the leader knows them.
func (c *Client) Members(ctx context.Context) (map[uint64]string, error) {
	members := map[uint64]string{}
	err := c.withLeader(ctx, func(ctx context.Context, url string) error {
		resp, err := laburnumdockv1connect.NewCellServiceClient(c.http, url).Members(ctx, connect.NewRequest(&pb.MembersRequest{}))
		if err != nil {
			return err
		}
		if !resp.Msg.GetIsLeader() {
			return answer.ConnectError(fault.New(fault.NotLeader, "the replica does not lead"))
		}
		for _, m := range resp.Msg.GetMembers() {
			members[m.GetId()] = m.GetAddress()
		}
		return nil
	})
	return members, err
}

// withLeader repeats attempt at the leader of the moment until it succeeds, is
// refused for good, or ctx ends. It waits for a leader for at most Wait.
func (c *Client) withLeader(ctx context.Context, attempt func(context.Context, string) error) error {
	wait := time.NewTimer(c.cfg.LeaderWait)
	defer wait.Stop()
	uncertain := false
	for {
		l := c.leader.Load()
		if l.url != "" {
			err := c.attempt(ctx, l, attempt)
			if err == nil {
				return nil
			}
			if !mayRepeat(err) {
				return err
			}
			uncertain = uncertain || fault.KindOf(err) == fault.OutcomeUnknown
			c.askLook()
		}
		select {
		case <-l.gone:
		case <-time.After(retryPause):
		case <-wait.C:
			return giveUp(uncertain, "no leader has answered in time")
		case <-ctx.Done():
			return giveUp(uncertain, "the deadline has passed")
		}
	}
}

func giveUp(uncertain bool, why string) error {
	if uncertain {
		return fault.New(fault.OutcomeUnknown, "%s", why)
	}
	return fault.New(fault.Unavailable, "%s", why)
}

// attempt makes one attempt, which ends early if another leader is known.
func (c *Client) attempt(ctx context.Context, l *leader, attempt func(context.Context, string) error) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-l.gone:
			cancel()
		case <-stop:
		}
	}()
	return answer.RemoteError(attempt(ctx, l.url), fault.OutcomeUnknown)
}

func (c *Client) askLook() {
	select {
	case c.lookNow <- struct{}{}:
	default:
	}
}

// mayRepeat tells whether another attempt may succeed.
func mayRepeat(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader, fault.Unavailable, fault.Overloaded, fault.Stopping, fault.StorageFailed, fault.OutcomeUnknown, fault.DeadlineExceeded, fault.Conflict:
		return true
	default:
		return false
	}
}

func requestToWire(q manager.Request) (*pb.AskRequest, error) {
	msg := &pb.AskRequest{Kind: uint32(q.Kind), Host: q.Host, Path: q.Path, WaveId: q.WaveID}
	var err error
	switch {
	case q.Spec != nil:
		msg.Body, err = codec.EncodeJobsValue(q.Spec)
	case q.Config != nil:
		msg.Body, err = codec.EncodeJobsValue(q.Config)
	case q.Wave != nil:
		msg.Body, err = codec.EncodeJobsValue(q.Wave)
	}
	return msg, err
}

func replyFromWire(m *pb.AskResponse) manager.Reply {
	return manager.Reply{
		Kind: manager.ReplyKind(m.GetAnswer()), Phase: jobs.Phase(m.GetPhase()), Pending: int(m.GetPending()),
		Complete: m.GetComplete(), ConfigVersion: m.GetConfigVersion(),
	}
}

func reportToWire(r *manager.Report) *pb.ExecutorReport {
	return &pb.ExecutorReport{
		Id: r.ID, Born: r.StartedAt, Sequence: r.Sequence, Host: r.Host, Pool: r.Pool, Address: r.Address, Zone: r.Zone, Rack: r.Rack,
		Labels: r.Labels, Cpu: r.Capacity.CPU, MemoryMb: r.Capacity.MemoryMB, Accelerators: r.Capacity.Accelerators,
		Draining: r.Draining, DrainLeftMs: r.DrainLeft.Milliseconds(), ClockMs: r.Clock, Leaving: r.Leaving,
	}
}

// Package jobclient sends requests to the leader of a cell. It discovers the
// replicas from seed addresses, which may be out of date, follows the leader and
// retries a request until it succeeds or its deadline passes. Retries are safe for
// every request, because a job, a configuration and a wave carry their own
// identity.
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
	"laburnumdock/internal/rpc"
)

const (
	// discoveryInterval is the time between two checks of the leader. A failover
	// takes 0.5 to 1 s; checking about twice in that time finds the new leader
	// without delay.
	discoveryInterval = 300 * time.Millisecond
	// discoveryTimeout bounds one members call; slower replicas are skipped.
	discoveryTimeout = 600 * time.Millisecond
	// attemptTimeout bounds one request to the leader. A commit on a disk 30 times
	// slower than usual takes less.
	attemptTimeout = 1500 * time.Millisecond
	// retryDelay is the delay before a request is retried at the same leader.
	retryDelay = 50 * time.Millisecond
	// leaderFreshness is how long after its last response a leader counts as
	// present.
	leaderFreshness = 2 * time.Second
	// addressTTL is how long an address is kept after it was last listed.
	addressTTL  = time.Minute
	dialTimeout = 500 * time.Millisecond
	// maxIdleConns bounds the idle connections to one replica.
	maxIdleConns = 32
	// idleTimeout is shorter than that of the listeners, so that no request meets a
	// connection that the other side is closing: its outcome would be unknown.
	idleTimeout = time.Minute
)

// Config configures a client.
type Config struct {
	// Seeds are the base URLs of some replicas.
	Seeds []string
	// Self is the base URL of the peer listener if the client runs on an entry
	// host. Other entry hosts that cannot reach the leader may relay their requests
	// through it.
	Self string
	// LeaderWait bounds how long a request waits for a leader.
	LeaderWait time.Duration
	Log        *logevent.Logger
}

// Client follows the leader of one cell. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
	// mu protects replicas and relays.
	mu sync.Mutex
	// replicas holds the time at which each replica was last listed, by base URL.
	replicas map[string]time.Time
	// relays holds the time at which each other entry host was last listed, by
	// base URL.
	relays map[string]time.Time
	// leader is the newest known leader. Its URL is empty if none is known.
	leader atomic.Pointer[leader]
	// configVersion is the newest version of the configuration in any reply.
	configVersion atomic.Uint64
	// discoverNow triggers a discovery before the next interval.
	discoverNow chan struct{}
}

// leader is the client's view of one leader. It is immutable.
type leader struct {
	url    string
	term   uint64
	seenAt time.Time
	// viaRelay is set if url is an entry host that relays requests to the leader.
	viaRelay bool
	// replaced is closed when another leader is known or this one is unreachable.
	replaced chan struct{}
}

// New returns a client. It finds a leader only while Run runs.
func New(cfg Config) *Client {
	c := &Client{
		cfg: cfg, http: &http.Client{Transport: NewTransport()}, replicas: map[string]time.Time{}, relays: map[string]time.Time{}, discoverNow: make(chan struct{}, 1),
	}
	for _, url := range cfg.Seeds {
		c.replicas[url] = time.Now()
	}
	c.leader.Store(&leader{replaced: make(chan struct{})})
	return c
}

// SetSeeds replaces the seeds. Replicas that are already known stay known.
func (c *Client) SetSeeds(urls []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, url := range urls {
		c.replicas[url] = time.Now()
	}
	c.cfg.Seeds = urls
}

// NewTransport returns the HTTP transport used between the processes of a cell.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: rpc.MaxAnswerHeadBytes}
}

// Run follows the leader until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(discoveryInterval)
	defer ticker.Stop()
	for {
		c.discover(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.discoverNow:
		}
	}
}

// DirectLeaderTerm returns the term of the leader, and true if the leader
// responded within leaderFreshness without a relay.
func (c *Client) DirectLeaderTerm() (uint64, bool) {
	l := c.leader.Load()
	return l.term, c.HasLeader() && !l.viaRelay
}

// HasLeader reports whether a leader responded within leaderFreshness.
func (c *Client) HasLeader() bool {
	l := c.leader.Load()
	return l.url != "" && time.Since(l.seenAt) < leaderFreshness
}

// LeaderURL returns the base URL of the newest known leader, or "".
func (c *Client) LeaderURL() string { return c.leader.Load().url }

// discover checks whether the current leader still leads. If not, it asks all
// replicas, and if none that leads is reachable, all entry hosts for one that
// relays to the leader.
func (c *Client) discover(ctx context.Context) {
	current := c.leader.Load()
	if current.url != "" && !current.viaRelay {
		if r := c.queryMembers(ctx, current.url); r != nil && r.GetIsLeader() {
			c.setLeader(current.url, r)
			return
		}
	}
	if url, r := c.queryHighestTerm(ctx, c.sortedURLs(c.replicas), (*pb.MembersResponse).GetIsLeader); r != nil {
		c.setLeader(url, r)
		return
	}
	if url, r := c.queryHighestTerm(ctx, c.sortedURLs(c.relays), (*pb.MembersResponse).GetRelays); r != nil {
		c.setLeader(url, r)
		return
	}
	if current.url != "" {
		c.clearLeader(current)
	}
}

// queryHighestTerm queries all urls in parallel. Of the responses that isWanted
// accepts, it returns the one with the highest term, or nil if there is none.
func (c *Client) queryHighestTerm(ctx context.Context, urls []string, isWanted func(*pb.MembersResponse) bool) (string, *pb.MembersResponse) {
	replies := make([]*pb.MembersResponse, len(urls))
	var group sync.WaitGroup
	for i, url := range urls {
		group.Go(func() { replies[i] = c.queryMembers(ctx, url) })
	}
	group.Wait()
	best := -1
	for i, r := range replies {
		if r == nil {
			continue
		}
		c.recordMembers(r)
		if isWanted(r) && (best < 0 || r.GetTerm() > replies[best].GetTerm()) {
			best = i
		}
	}
	if best < 0 {
		return "", nil
	}
	return urls[best], replies[best]
}

// queryMembers returns the response of one replica or entry host, or nil if the
// call fails.
func (c *Client) queryMembers(ctx context.Context, url string) *pb.MembersResponse {
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	resp, err := laburnumdockv1connect.NewCellServiceClient(c.http, url, rpc.ClientOptions(rpc.MaxAnswerBytes)).Members(ctx, connect.NewRequest(&pb.MembersRequest{EntryHost: c.cfg.Self}))
	if err != nil {
		return nil
	}
	return resp.Msg
}

// setLeader makes url the leader, unless a leader of a later term is known.
func (c *Client) setLeader(url string, r *pb.MembersResponse) {
	c.recordMembers(r)
	old := c.leader.Load()
	if old.url != "" && r.GetTerm() < old.term {
		return
	}
	next := &leader{url: url, term: r.GetTerm(), seenAt: time.Now(), replaced: old.replaced, viaRelay: r.GetRelays()}
	if old.url != url {
		next.replaced = make(chan struct{})
	}
	if c.leader.CompareAndSwap(old, next) && old.url != url {
		close(old.replaced)
		c.cfg.Log.Log(logevent.ControlConnected, logevent.Fields{"leader": url, "term": r.GetTerm(), "relay": r.GetRelays()})
	}
}

// clearLeader removes a leader that no longer responds.
func (c *Client) clearLeader(old *leader) {
	if c.leader.CompareAndSwap(old, &leader{replaced: make(chan struct{})}) {
		close(old.replaced)
		c.cfg.Log.Log(logevent.ControlLost, logevent.Fields{"leader": old.url, "age_ms": time.Since(old.seenAt).Milliseconds()})
	}
}

// recordMembers records the addresses of the members and of the entry hosts.
func (c *Client) recordMembers(r *pb.MembersResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, m := range r.GetMembers() {
		c.replicas[m.GetAddress()] = now
	}
	c.addRelaysLocked(r.GetEntryHosts(), now)
	expireAddresses(c.replicas, now, c.cfg.Seeds)
	expireAddresses(c.relays, now, nil)
}

// AddRelays adds entry hosts that may relay requests.
func (c *Client) AddRelays(urls []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addRelaysLocked(urls, time.Now())
}

// addRelaysLocked is AddRelays for a caller that holds mu.
func (c *Client) addRelaysLocked(urls []string, now time.Time) {
	for _, url := range urls {
		if url != c.cfg.Self {
			c.relays[url] = now
		}
	}
}

// expireAddresses removes addresses that were not listed within addressTTL, except
// those in keep.
func expireAddresses(addresses map[string]time.Time, now time.Time, keep []string) {
	for url, listedAt := range addresses {
		if now.Sub(listedAt) > addressTTL && !slices.Contains(keep, url) {
			delete(addresses, url)
		}
	}
}

// sortedURLs returns the keys of addresses, which mu protects, in order.
func (c *Client) sortedURLs(addresses map[string]time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	urls := make([]string, 0, len(addresses))
	for url := range addresses {
		urls = append(urls, url)
	}
	slices.Sort(urls)
	return urls
}

// Request sends a request to the leader. If the leader can't be reached in time,
// the error is unavailable if the request certainly had no effect, and
// outcome_unknown otherwise.
func (c *Client) Request(ctx context.Context, q manager.Request) (manager.Reply, error) {
	msg, err := requestToWire(q)
	if err != nil {
		return manager.Reply{}, err
	}
	var reply manager.Reply
	mayHaveRun, err := c.withLeader(ctx, func(ctx context.Context, url string) error {
		msg.ConfigVersion = c.configVersion.Load()
		resp, err := laburnumdockv1connect.NewJobServiceClient(c.http, url, rpc.ClientOptions(rpc.MaxAnswerBytes)).Ask(ctx, connect.NewRequest(msg))
		if err != nil {
			return err
		}
		reply = replyFromWire(resp.Msg)
		return nil
	})
	if err != nil {
		return reply, err
	}
	c.advanceConfigVersion(reply.ConfigVersion)
	if mayHaveRun && isRefusal(q.Kind, reply.Kind) {
		return manager.Reply{}, fault.New(fault.OutcomeUnknown, "the request was refused after an attempt that may have taken effect")
	}
	return reply, nil
}

// isRefusal reports whether a reply tells the caller that a request had no effect,
// although it would have one if it was accepted. The other replies to a cancellation speak
// of the job and not of the request.
func isRefusal(request manager.RequestKind, reply manager.ReplyKind) bool {
	switch request {
	case manager.RequestSubmit, manager.RequestConfigure, manager.RequestStartWave:
		return reply != manager.ReplyAccepted
	case manager.RequestCancel:
		return reply == manager.ReplyUnauthorized
	default:
		return false
	}
}

// advanceConfigVersion records a newer version of the configuration. Later
// requests carry it, so that no replica that is behind answers them.
func (c *Client) advanceConfigVersion(version uint64) {
	for {
		old := c.configVersion.Load()
		if version <= old || c.configVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

// Report sends reports of executors to the leader.
func (c *Client) Report(ctx context.Context, reports []manager.Report) error {
	msg := &pb.ReportRequest{}
	for i := range reports {
		msg.Reports = append(msg.Reports, reportToWire(&reports[i]))
	}
	_, err := c.withLeader(ctx, func(ctx context.Context, url string) error {
		_, err := laburnumdockv1connect.NewJobServiceClient(c.http, url, rpc.ClientOptions(rpc.MaxAnswerBytes)).Report(ctx, connect.NewRequest(msg))
		return err
	})
	return err
}

// Join asks the leader to add a replica to the cell.
func (c *Client) Join(ctx context.Context, id uint64, address string) error {
	_, err := c.withLeader(ctx, func(ctx context.Context, url string) error {
		_, err := laburnumdockv1connect.NewCellServiceClient(c.http, url, rpc.ClientOptions(rpc.MaxAnswerBytes)).Join(ctx, connect.NewRequest(&pb.JoinRequest{Id: id, Address: address}))
		return err
	})
	return err
}

// Members returns the addresses of the cell's members by ID, as known to the
// leader.
func (c *Client) Members(ctx context.Context) (map[uint64]string, error) {
	members := map[uint64]string{}
	_, err := c.withLeader(ctx, func(ctx context.Context, url string) error {
		resp, err := laburnumdockv1connect.NewCellServiceClient(c.http, url, rpc.ClientOptions(rpc.MaxAnswerBytes)).Members(ctx, connect.NewRequest(&pb.MembersRequest{}))
		if err != nil {
			return err
		}
		if !resp.Msg.GetIsLeader() {
			return answer.ConnectError(fault.New(fault.NotLeader, "the replica is not the leader"))
		}
		for _, m := range resp.Msg.GetMembers() {
			members[m.GetId()] = m.GetAddress()
		}
		return nil
	})
	return members, err
}

// withLeader calls attempt with the URL of the current leader until it succeeds,
// fails with an error that is not retryable, LeaderWait has passed or ctx ends. It
// reports whether a failed attempt may have taken effect; an error is then
// outcome_unknown, whatever the last attempt returned.
func (c *Client) withLeader(ctx context.Context, attempt func(context.Context, string) error) (mayHaveRun bool, err error) {
	wait := time.NewTimer(c.cfg.LeaderWait)
	defer wait.Stop()
	for {
		l := c.leader.Load()
		if l.url != "" {
			err := c.attempt(ctx, l, attempt)
			if err == nil {
				return mayHaveRun, nil
			}
			mayHaveRun = mayHaveRun || answer.For(fault.KindOf(err)).Ran != fault.RanNo
			switch {
			case isRetryable(err):
				c.requestDiscovery()
			case mayHaveRun:
				return true, unansweredError(true, err.Error())
			default:
				return false, err
			}
		}
		select {
		case <-l.replaced:
		case <-time.After(retryDelay):
		case <-wait.C:
			return mayHaveRun, unansweredError(mayHaveRun, "no leader has answered in time")
		case <-ctx.Done():
			return mayHaveRun, unansweredError(mayHaveRun, "the deadline has passed")
		}
	}
}

// unansweredError returns outcome_unknown if an attempt may have taken effect, and
// unavailable otherwise.
func unansweredError(mayHaveRun bool, reason string) error {
	if mayHaveRun {
		return fault.New(fault.OutcomeUnknown, "%s", reason)
	}
	return fault.New(fault.Unavailable, "%s", reason)
}

// attempt makes one attempt. It is cancelled as soon as the leader is replaced.
func (c *Client) attempt(ctx context.Context, l *leader, attempt func(context.Context, string) error) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-l.replaced:
			cancel()
		case <-stop:
		}
	}()
	return answer.RemoteError(attempt(ctx, l.url), fault.OutcomeUnknown)
}

func (c *Client) requestDiscovery() {
	select {
	case c.discoverNow <- struct{}{}:
	default:
	}
}

// isRetryable reports whether another attempt may succeed.
func isRetryable(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader, fault.Unavailable, fault.Overloaded, fault.Stopping, fault.StorageFailed, fault.OutcomeUnknown, fault.DeadlineExceeded, fault.Conflict:
		return true
	default:
		return false
	}
}

func requestToWire(q manager.Request) (*pb.AskRequest, error) {
	msg := &pb.AskRequest{Kind: uint32(q.Kind), Host: q.Host, Path: q.Path, WaveId: q.WaveID}
	if q.Key != nil {
		msg.KeyDigest = q.Key[:]
	}
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
		Complete: m.GetComplete(), ConfigVersion: m.GetConfigVersion(), RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		Missing: m.GetMissingReplicas(),
	}
}

func reportToWire(r *manager.Report) *pb.ExecutorReport {
	return &pb.ExecutorReport{
		Id: r.ID, Born: r.StartedAt, Sequence: r.Sequence, Host: r.Host, Pool: r.Pool, Address: r.Address, Zone: r.Zone, Rack: r.Rack,
		Labels: r.Labels, Cpu: r.Capacity.CPU, MemoryMb: r.Capacity.MemoryMB, Accelerators: r.Capacity.Accelerators,
		Draining: r.Draining, DrainLeftMs: r.DrainLeft.Milliseconds(), ClockMs: r.Clock, Leaving: r.Leaving,
	}
}

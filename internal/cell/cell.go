// Package cell runs one replica of a cell: it finds the cell from some addresses
// that may lag, forms it on the first start, joins it, and lets the leader manage
// the jobs. Membership needs no operator: a replica that lost its disk joins under
// a new ID, and one that was removed while it was cut off begins anew.
package cell

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/http"
	"slices"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/control"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/jobclient"
	"laburnumdock/internal/lead"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/orders"
)

// Config is what a replica of a cell needs.
type Config struct {
	Cluster string
	Dir     string
	// Self and Seeds are base URLs of the peer listeners.
	SelfURL  string
	SeedURLs []string
	// Bootstrap tells that the cell starts for the first time, with empty disks.
	Bootstrap   bool
	ElectionTimeout    time.Duration
	QueueLength int
	Manager     manager.Config
	PlatformClient      orders.PlatformClient
	Metrics     metrics.Registry
	Log         *logevent.Logger
}

const (
	// ticksPerElection is the resolution of the election timeout.
	ticksPerElection = 10
	// joinEvery is the time between two requests to join.
	joinEvery = 300 * time.Millisecond
	// memberCheckEvery is the time between two checks that this replica still
	// belongs to the cell.
	memberCheckEvery = 2 * time.Second
	// removedChecks is the number of checks in a row after which a replica that
	// is no member begins anew.
	removedChecks = 2
	// spreadAbove is the number of executors above which the other replicas make
	// the calls to executors. A core host of the smallest size is busy to about
	// 0.4 with the calls and the decisions for 50.
	spreadAbove = 100
	// leaderWait bounds how long a request from outside waits for a leader.
	leaderWait = time.Second
)

// errRemoved ends a replica that the cell has removed.
var errRemoved = errors.New("the cell has removed this replica")

// Cell is one replica with what it needs to find the others.
type Cell struct {
	cfg     Config
	replica *control.Replica
	leader  *lead.Leader
	keeper  *keeper
	client  *jobclient.Client
	entries *entryBook
	id      uint64
	// stopping is closed when Run ends.
	stopping chan struct{}
}

// New opens the replica, whose folder it prepares if needed.
func New(cfg Config) (*Cell, error) {
	id, voters, err := prepare(cfg)
	if err != nil {
		return nil, err
	}
	c := &Cell{cfg: cfg, id: id, entries: &entryBook{last: map[string]time.Time{}}, stopping: make(chan struct{})}
	c.leader = lead.New(lead.Config{
		Manager: cfg.Manager, Metrics: cfg.Metrics, Log: cfg.Log,
		Sender: orders.NewDistributedSender(orders.DistributedConfig{Local: orders.NewLocalSender(cfg.PlatformClient), ProxyURLs: c.helpers, MaxLocalExecutors: spreadAbove, Log: cfg.Log}),
		Post:    func(event any) bool { return c.replica.Post(event) },
	})
	replica := replicaConfig(cfg, id, voters)
	replica.JobManager = c.leader
	if c.replica, err = control.Open(replica); err != nil {
		return nil, err
	}
	c.keeper = newKeeper(c.replica, cfg.Log)
	c.client = jobclient.New(jobclient.Config{Seeds: cfg.SeedURLs, LeaderWait: leaderWait, Log: cfg.Log})
	return c, nil
}

func replicaConfig(cfg Config, id uint64, voters map[uint64]string) control.Config {
	peers := map[uint64]string{id: cfg.SelfURL}
	for voter, url := range voters {
		peers[voter] = url
	}
	return control.Config{
		ID: id, Cluster: cfg.Cluster, Peers: peers, Dir: cfg.Dir, QueueLength: cfg.QueueLength,
		Tick: cfg.ElectionTimeout / ticksPerElection, ElectionTicks: ticksPerElection, LazyCommit: true, Metrics: cfg.Metrics, Log: cfg.Log,
	}
}

// prepare returns the replica's ID and, for a replica of a new cell, the first
// voters. The first voters are the seeds, which all replicas of a new cell are
// told alike. Their IDs follow from their addresses; every other ID is drawn.
func prepare(cfg Config) (uint64, map[uint64]string, error) {
	id, err := control.StoredID(cfg.Dir)
	if err != nil || id != 0 {
		return id, nil, err
	}
	// What a crash left of an earlier preparation was never used.
	if err := control.ClearDataDir(cfg.Dir); err != nil {
		return 0, nil, err
	}
	if cfg.Bootstrap && slices.Contains(cfg.SeedURLs, cfg.SelfURL) {
		voters := make(map[uint64]string, len(cfg.SeedURLs))
		for _, url := range cfg.SeedURLs {
			voters[firstID(url)] = url
		}
		id = firstID(cfg.SelfURL)
		ids := make([]uint64, 0, len(voters))
		for voter := range voters {
			ids = append(ids, voter)
		}
		return id, voters, control.InitCluster(replicaConfig(cfg, id, voters), ids)
	}
	if id, err = drawID(); err != nil {
		return 0, nil, err
	}
	return id, nil, control.InitJoin(replicaConfig(cfg, id, nil))
}

func firstID(url string) uint64 {
	h := fnv.New64a()
	// A hash never fails.
	_, _ = h.Write([]byte(url))
	return h.Sum64() | 1
}

func drawID() (uint64, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, fault.New(fault.Internal, "no ID can be drawn: %v", err)
	}
	return binary.BigEndian.Uint64(raw[:]) | 1, nil
}

// Handler returns what the peer listener serves.
func (c *Cell) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(c.replica.RaftHandler())
	mux.Handle(laburnumdockv1connect.NewControlServiceHandler(&control.Service{Replica: c.replica}))
	mux.Handle(laburnumdockv1connect.NewJobServiceHandler(service{cell: c}))
	mux.Handle(laburnumdockv1connect.NewCellServiceHandler(service{cell: c}))
	mux.Handle(laburnumdockv1connect.NewOrderServiceHandler(&orders.Service{Client: c.cfg.PlatformClient, Stopping: c.stopping}))
	return mux
}

// Run runs the replica until ctx ends. It returns errRemoved if the cell has
// removed it.
func (c *Cell) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer close(c.stopping)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer stop()
		return c.replica.Run(ctx)
	})
	group.Go(func() error { return c.client.Run(ctx) })
	group.Go(func() error { return c.belong(ctx) })
	group.Go(func() error {
		c.keeper.run(ctx)
		return nil
	})
	err := group.Wait()
	c.leader.Wait()
	return err
}

// helpers returns the other voters, which make calls for a leader.
func (c *Cell) helpers() []string {
	status := c.replica.Status()
	var urls []string
	for _, id := range status.Members.Voters {
		if url := status.Addresses[id]; id != c.id && url != "" {
			urls = append(urls, url)
		}
	}
	slices.Sort(urls)
	return urls
}

// belong asks to be taken in until this replica votes, and finds out if it was
// removed.
func (c *Cell) belong(ctx context.Context) error {
	missing := 0
	for {
		voter := c.replica.Status().Members.IsVoter(c.id)
		wait := joinEvery
		if voter {
			wait = memberCheckEvery
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
		if c.replica.IsLeader() {
			missing = 0
			continue
		}
		if !voter {
			if err := c.join(ctx); err != nil && ctx.Err() == nil {
				c.cfg.Log.Err(logevent.JoinNotAsked, err, nil)
			}
			continue
		}
		members, err := c.client.Members(ctx)
		if _, member := members[c.id]; err != nil || member {
			missing = 0
			continue
		}
		if missing++; missing >= removedChecks {
			c.cfg.Log.Log(logevent.ReplicaRemoved, logevent.Fields{"replica": c.id})
			return errRemoved
		}
	}
}

// join asks the leader to take this replica in. The request is repeated until
// this replica votes, whatever becomes of one.
func (c *Cell) join(ctx context.Context) error {
	members, err := c.client.Members(ctx)
	if err != nil {
		return err
	}
	if err := c.replica.SetPeerAddresses(members); err != nil {
		return err
	}
	return c.client.Join(ctx, c.id, c.cfg.SelfURL)
}

// Ask answers a request from outside, through the leader.
func (c *Cell) Ask(ctx context.Context, q manager.Request) (manager.Reply, error) {
	if c.replica.IsLeader() {
		reply, err := c.leader.Ask(ctx, q)
		if fault.KindOf(err) != fault.NotLeader {
			return reply, err
		}
	}
	return c.client.Ask(ctx, q)
}

// Hear passes a report on and returns once the leader has it.
func (c *Cell) Hear(ctx context.Context, r manager.Report) error {
	if c.replica.IsLeader() && c.leader.Report([]manager.Report{r}) {
		return nil
	}
	return c.client.Report(ctx, []manager.Report{r})
}

// Config returns the newest configuration, or nil if there is none. It fails
// unless a quorum confirms that it is the newest.
func (c *Cell) Config(ctx context.Context) (*jobs.Config, error) {
	snap, err := c.replica.ReadSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	return snap.JobConfig, nil
}

// SetSeeds adds the seeds of new settings.
func (c *Cell) SetSeeds(urls []string) { c.client.SetSeeds(urls) }

// LeaderURL returns the base URL of the leader's peer listener, or "".
func (c *Cell) LeaderURL() string {
	status := c.replica.Status()
	return status.Addresses[status.Leader]
}

// RunUntilStopped runs replicas one after the other: a replica that was removed
// is followed by a new one with an empty folder. serve is called with each one
// and must return when its context ends.
func RunUntilStopped(ctx context.Context, cfg Config, serve func(context.Context, *Cell) error) error {
	for {
		c, err := New(cfg)
		if err != nil {
			return err
		}
		err = serve(ctx, c)
		if !errors.Is(err, errRemoved) {
			return err
		}
		if err := control.ClearDataDir(cfg.Dir); err != nil {
			return err
		}
		cfg.Bootstrap = false
	}
}

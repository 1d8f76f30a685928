// Package cell runs one replica of a cell. The replica discovers the cell from
// seed addresses, which may be out of date, bootstraps it on the first start or
// joins it, and runs the job manager while it leads. Membership needs no operator:
// a replica that lost its disk joins under a new ID, and a replica that was
// removed while it was partitioned clears its data and joins again.
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
	"laburnumdock/internal/rpc"
	"laburnumdock/internal/wal"
)

// Config holds the settings and dependencies of a replica.
type Config struct {
	Cluster string
	Dir     string
	// FS, if not nil, provides the file operations instead of Dir.
	FS wal.FS
	// SelfURL and SeedURLs are base URLs of the peer listeners.
	SelfURL  string
	SeedURLs []string
	// Bootstrap is set when the cell starts for the first time, with empty disks.
	Bootstrap       bool
	ElectionTimeout time.Duration
	// ToleratedLosses is the number of replicas whose loss at once, disks
	// included, the cell must bear. 0 means quorum.DefaultLosses.
	ToleratedLosses int
	QueueLength     int
	// SnapshotEntries is the number of entries after which a snapshot is taken. 0 means
	// the default.
	SnapshotEntries uint64
	Manager         manager.Config
	PlatformClient  orders.PlatformClient
	Metrics         metrics.Registry
	Log             *logevent.Logger
}

const (
	// ticksPerElection is the number of ticks in an election timeout.
	ticksPerElection = 10
	// joinInterval is the time between two requests to join.
	joinInterval = 300 * time.Millisecond
	// membershipCheckInterval is the time between two checks that this replica is
	// still a member of the cell. A replica that hears no leader checks at
	// joinInterval, so that one that was removed while it was cut off soon joins
	// again.
	membershipCheckInterval = 2 * time.Second
	// removalChecks is the number of consecutive checks without membership after
	// which a replica counts as removed.
	removalChecks = 2
	// maxLocalExecutors is the number of executors above which the other replicas
	// send the orders to executors. The orders and decisions for 50 executors
	// load a core host of the smallest size to about 0.4.
	maxLocalExecutors = 100
	// leaderWaitLimit bounds how long a request to the cell waits for a leader.
	leaderWaitLimit = time.Second
)

// errRemoved is returned by Run when the cell has removed the replica.
var errRemoved = errors.New("the cell has removed this replica")

// Cell is one replica of a cell with its client for the other replicas.
type Cell struct {
	cfg        Config
	replica    *control.Replica
	leader     *lead.Leader
	membership *membershipReconciler
	client     *jobclient.Client
	entryHosts *entryHostRegistry
	id         uint64
	// stopping is closed when Run ends.
	stopping chan struct{}
}

// New opens the replica. It initialises the data directory if needed.
func New(cfg Config) (*Cell, error) {
	id, voters, err := prepare(cfg)
	if err != nil {
		return nil, err
	}
	cfg.PlatformClient = orders.Guard(cfg.PlatformClient, cfg.Metrics, cfg.Log)
	c := &Cell{cfg: cfg, id: id, entryHosts: &entryHostRegistry{lastSeen: map[string]time.Time{}}, stopping: make(chan struct{})}
	formats := newFormatClient()
	c.leader = lead.New(lead.Config{
		Manager: cfg.Manager, Metrics: cfg.Metrics, Log: cfg.Log,
		Sender:  orders.NewDistributedSender(orders.DistributedConfig{Local: orders.NewLocalSender(cfg.PlatformClient), ProxyURLs: c.proxyURLs, MaxLocalExecutors: maxLocalExecutors, Log: cfg.Log}),
		Formats: func(ctx context.Context) []manager.MemberFormat { return formats.members(ctx, c.replica) },
		Post:    func(event any) bool { return c.replica.Post(event) },
	})
	replica := replicaConfig(cfg, id, voters)
	replica.JobManager = c.leader
	if c.replica, err = control.Open(replica); err != nil {
		return nil, err
	}
	c.membership = newMembershipReconciler(c.replica, cfg, formats)
	c.client = jobclient.New(jobclient.Config{Seeds: cfg.SeedURLs, LeaderWait: leaderWaitLimit, Log: cfg.Log})
	return c, nil
}

func replicaConfig(cfg Config, id uint64, voters map[uint64]string) control.Config {
	peers := map[uint64]string{id: cfg.SelfURL}
	for voter, url := range voters {
		peers[voter] = url
	}
	return control.Config{
		ID: id, Cluster: cfg.Cluster, Peers: peers, Dir: cfg.Dir, FS: cfg.FS, QueueLength: cfg.QueueLength, SnapshotEntries: cfg.SnapshotEntries,
		Tick: cfg.ElectionTimeout / ticksPerElection, ElectionTicks: ticksPerElection, LazyCommit: true, Metrics: cfg.Metrics, Log: cfg.Log,
	}
}

// prepare returns the replica's ID and, for a replica of a new cell, the initial
// voters by ID. The initial voters are the seeds, which are the same on all
// replicas of a new cell. Their IDs are derived from their addresses; every other
// ID is random.
func prepare(cfg Config) (uint64, map[uint64]string, error) {
	dataDir := control.Config{Dir: cfg.Dir, FS: cfg.FS}
	id, err := control.StoredID(dataDir)
	if err != nil || id != 0 {
		return id, nil, err
	}
	// A crash may have left files of an earlier initialisation, which were never
	// used.
	if err := control.ClearDataDir(dataDir); err != nil {
		return 0, nil, err
	}
	if cfg.Bootstrap && slices.Contains(cfg.SeedURLs, cfg.SelfURL) {
		voters := make(map[uint64]string, len(cfg.SeedURLs))
		for _, url := range cfg.SeedURLs {
			voters[bootstrapID(url)] = url
		}
		id = bootstrapID(cfg.SelfURL)
		ids := make([]uint64, 0, len(voters))
		for voter := range voters {
			ids = append(ids, voter)
		}
		return id, voters, control.InitCluster(replicaConfig(cfg, id, voters), ids)
	}
	if id, err = randomID(); err != nil {
		return 0, nil, err
	}
	return id, nil, control.InitJoin(replicaConfig(cfg, id, nil))
}

// bootstrapID derives the ID of an initial voter from its address. It is never 0.
func bootstrapID(url string) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(url))
	return h.Sum64() | 1
}

// randomID returns a random ID other than 0.
func randomID() (uint64, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, fault.New(fault.Internal, "generate a replica ID: %v", err)
	}
	return binary.BigEndian.Uint64(raw[:]) | 1, nil
}

// Handler returns the handler of the peer listener.
func (c *Cell) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(c.replica.RaftHandler())
	requests, streams := rpc.ServerOptions(rpc.MaxRequestBytes), rpc.ServerOptions(rpc.MaxMessageBytes)
	mux.Handle(laburnumdockv1connect.NewControlServiceHandler(&control.Service{Replica: c.replica}, streams))
	mux.Handle(laburnumdockv1connect.NewJobServiceHandler(service{cell: c}, requests))
	mux.Handle(laburnumdockv1connect.NewCellServiceHandler(service{cell: c}, requests))
	mux.Handle(laburnumdockv1connect.NewOrderServiceHandler(&orders.Service{Client: c.cfg.PlatformClient, Stopping: c.stopping}, streams))
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
	group.Go(func() error { return c.maintainMembership(ctx) })
	group.Go(func() error {
		c.membership.run(ctx)
		return nil
	})
	err := group.Wait()
	c.leader.Wait()
	return err
}

// proxyURLs returns the base URLs of the other voters, which send orders for the
// leader.
func (c *Cell) proxyURLs() []string {
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

// maintainMembership requests to join until this replica knows the members. It returns
// errRemoved if the cell has removed the replica, whose ID must not return.
func (c *Cell) maintainMembership(ctx context.Context) error {
	absentChecks := 0
	// The status has no members before the control loop publishes those on the disk.
	select {
	case <-ctx.Done():
		return nil
	case <-c.replica.StatusChanged():
	}
	for {
		status := c.replica.Status()
		voter := status.Members.IsVoter(c.id)
		wait := joinInterval
		if voter && status.Leader != 0 {
			wait = membershipCheckInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
		if c.replica.IsLeader() {
			absentChecks = 0
			continue
		}
		if len(status.Members.Voters) == 0 {
			if err := c.join(ctx); err != nil && ctx.Err() == nil {
				c.cfg.Log.Err(logevent.JoinNotAsked, err, nil)
			}
			continue
		}
		members, err := c.client.Members(ctx)
		if _, member := members[c.id]; err != nil || member {
			absentChecks = 0
			continue
		}
		if absentChecks++; absentChecks >= removalChecks {
			c.cfg.Log.Log(logevent.ReplicaRemoved, logevent.Fields{"replica": c.id})
			return errRemoved
		}
	}
}

// join asks the leader to add this replica. The caller repeats the request until
// this replica is a voter, whether or not one succeeds.
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

// Request passes a request to the leader, on this or another replica, and returns
// the reply.
func (c *Cell) Request(ctx context.Context, q manager.Request) (manager.Reply, error) {
	if c.replica.IsLeader() {
		reply, err := c.leader.Request(ctx, q)
		if fault.KindOf(err) != fault.NotLeader {
			return reply, err
		}
	}
	return c.client.Request(ctx, q)
}

// Report passes an executor's report to the leader and returns once the leader
// has accepted it.
func (c *Cell) Report(ctx context.Context, r manager.Report) error {
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

// SetSeeds adds seeds from changed settings.
func (c *Cell) SetSeeds(urls []string) { c.client.SetSeeds(urls) }

// LeaderURL returns the base URL of the leader's peer listener, or "".
func (c *Cell) LeaderURL() string {
	status := c.replica.Status()
	return status.Addresses[status.Leader]
}

// RunUntilStopped runs a replica. When the cell removes it, RunUntilStopped clears
// the data directory and runs a new replica. serve is called with each replica
// and must return when its context ends. While the disk refuses writes,
// RunUntilStopped waits.
func RunUntilStopped(ctx context.Context, cfg Config, serve func(context.Context, *Cell) error) error {
	for {
		var c *Cell
		err := control.RetryWhileRefused(ctx, cfg.Log, func() error {
			var err error
			c, err = New(cfg)
			return err
		})
		if err != nil {
			return errUnlessStopped(err)
		}
		err = serve(ctx, c)
		if !errors.Is(err, errRemoved) {
			return err
		}
		err = control.RetryWhileRefused(ctx, cfg.Log, func() error {
			return control.ClearDataDir(control.Config{Dir: cfg.Dir, FS: cfg.FS})
		})
		if err != nil {
			return errUnlessStopped(err)
		}
		cfg.Bootstrap = false
	}
}

// errUnlessStopped returns err, or nil if it says that the process was stopped while
// it waited for the disk.
func errUnlessStopped(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

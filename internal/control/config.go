package control

import (
	"crypto/tls"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/logevent"
)

// Config is what a replica needs. Fields that are zero get a default.
type Config struct {
	ID uint64
	// Cluster names the cluster; messages and files of another are refused.
	Cluster string
	// Peers are the base URLs of the replicas by ID. Members that join later
	// bring theirs with the membership change.
	Peers map[uint64]string
	// Dir is the data folder, which Init has prepared.
	Dir string
	// QueueLength bounds the events that wait for the control loop.
	QueueLength int
	// Tick is the unit of the election and heartbeat timeouts.
	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEntries and SnapshotBytes are the applied entries after which a
	// snapshot replaces them; up to KeepEntries of them, and a quarter of
	// SnapshotBytes, stay for followers that are a little behind.
	SnapshotEntries uint64
	SnapshotBytes   int
	KeepEntries     uint64
	// LazyCommit lets followers apply up to a heartbeat later; see raft.Config.
	LazyCommit bool
	// LeaderWait bounds how long a change or a read waits for a leader.
	LeaderWait time.Duration
	// TLS, if not nil, secures the connections to the other replicas.
	TLS *tls.Config
	// Resident, if not nil, decides on jobs while this replica leads.
	JobManager JobManager
	Metrics  metrics.Registry
	Log      *logevent.Logger
}

// Defaults and bounds.
const (
	DefaultQueueLength = 4096
	// DefaultTick and the timeouts in ticks give an election timeout of 500 ms
	// to 1 s. A leader is missed and replaced within 2 s, while one slow sync
	// of 300 ms deposes nobody. A timeout of 1 to 2 s would leave next to no
	// margin below the 2 s: the slowest of 30 failovers took 1.92 s with it.
	DefaultTick            = 50 * time.Millisecond
	DefaultElectionTicks   = 10
	DefaultHeartbeatTicks  = 2
	DefaultSnapshotEntries = 10_000
	// DefaultSnapshotBytes bounds the log in memory: a replica may take 64 MB,
	// and entries with answers of requests can be large.
	DefaultSnapshotBytes = 8 << 20
	DefaultKeepEntries   = 1_000
	DefaultLeaderWait    = 3 * time.Second

	maxEntriesPerMessage = 1024
	maxBytesPerMessage   = 1 << 20
	maxInflight          = 64
	maxUncommittedBytes  = 16 << 20
	maxReads             = 16_384
	// maxCommandBytes bounds one command, so that a message never exceeds what
	// a peer takes.
	maxCommandBytes = 4 << 20
)

func (c Config) withDefaults() Config {
	setDefault(&c.QueueLength, DefaultQueueLength)
	setDefault(&c.Tick, DefaultTick)
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&c.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.LeaderWait, DefaultLeaderWait)
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Log == nil {
		c.Log = logevent.Discard()
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c Config) check() error {
	if c.ID == 0 {
		return fault.InvalidField("id", "1 or more", "replica ID is 0")
	}
	if c.Cluster == "" {
		return fault.InvalidField("cluster", "a name", "cluster has no name")
	}
	return nil
}

package control

import (
	"crypto/tls"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/wal"
)

// Config is the configuration of a replica. Optional fields that are zero get a
// default.
type Config struct {
	ID uint64
	// Cluster is the name of the cluster. Messages and files of other clusters are
	// refused.
	Cluster string
	// Peers are the base URLs of the replicas by ID. The addresses of members that
	// join later are part of the membership change.
	Peers map[uint64]string
	// Dir is the data directory, prepared by InitCluster or InitJoin.
	Dir string
	// FS, if not nil, provides the file operations instead of Dir.
	FS wal.FS
	// QueueLength is the maximum number of events queued for the control loop.
	QueueLength int
	// Tick is the unit of the election and heartbeat timeouts.
	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEntries and SnapshotBytes are the number and the total size of the
	// applied entries after which a snapshot is taken. Up to KeepEntries entries,
	// and at most a quarter of SnapshotBytes, stay in the log for followers that
	// are slightly behind.
	SnapshotEntries uint64
	SnapshotBytes   int
	KeepEntries     uint64
	// LazyCommit is set when followers may apply entries up to one heartbeat
	// interval later; see raft.Config.
	LazyCommit bool
	// LeaderWait is the maximum time that a change or a read waits for a leader.
	LeaderWait time.Duration
	// TLS is the configuration of connections to the other replicas. If it is nil,
	// they are not encrypted.
	TLS *tls.Config
	// JobManager, if not nil, makes the decisions on jobs while this replica is the
	// leader.
	JobManager JobManager
	Metrics    metrics.Registry
	Log        *logevent.Logger
}

// Defaults and limits.
const (
	DefaultQueueLength = 4096
	// DefaultTick and the timeouts in ticks give an election timeout of 500 ms
	// to 1 s. A failed leader is replaced within 2 s, while a single slow sync of
	// 300 ms doesn't cause an election. A timeout of 1 to 2 s leaves almost no
	// margin below 2 s: with it the slowest of 30 failovers took 1.92 s.
	DefaultTick            = 50 * time.Millisecond
	DefaultElectionTicks   = 10
	DefaultHeartbeatTicks  = 2
	DefaultSnapshotEntries = 10_000
	// DefaultSnapshotBytes limits the size of the log in memory: a replica may use
	// 64 MB, and entries that contain responses to requests can be large.
	DefaultSnapshotBytes = 8 << 20
	DefaultKeepEntries   = 1_000
	DefaultLeaderWait    = 3 * time.Second

	maxEntriesPerMessage = 1024
	maxBytesPerMessage   = 1 << 20
	maxInflight          = 64
	maxUncommittedBytes  = 16 << 20
	maxReads             = 16_384
	// maxCommandBytes is the maximum size of a command. It keeps messages within
	// the size that a peer accepts.
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

// storage returns the file operations on the data directory.
func (c Config) storage() (wal.FS, error) {
	if c.FS != nil {
		return c.FS, nil
	}
	return wal.Dir(c.Dir)
}

func (c Config) validate() error {
	if c.ID == 0 {
		return fault.InvalidField("id", "1 or more", "replica ID is 0")
	}
	if c.Cluster == "" {
		return fault.InvalidField("cluster", "a name", "cluster has no name")
	}
	return nil
}

package settings

import (
	"time"

	"laburnumdock/internal/core/quorum"
)

// Process holds the settings that every process has.
type Process struct {
	Name     *string
	Zone     *string
	LogLevel *string
}

func processKeys(s *Set) Process {
	return Process{
		Name:     s.String("process", "name", "", true, "name of the process, unique in the deployment"),
		Zone:     s.String("process", "zone", "", true, "availability zone of the process"),
		LogLevel: s.Choice("process", "log-level", "info", []string{"debug", "info", "warning", "error"}, "least level that is logged"),
	}
}

// Listener is one address to listen on, with TLS if a certificate is set.
type Listener struct {
	Address      *string
	CertFile     *string
	KeyFile      *string
	ClientCAFile *string
}

func listenerKeys(s *Set, section, help string) Listener {
	return Listener{
		Address:      s.String(section, "listen", "", true, "IP address and port for "+help),
		CertFile:     s.String(section, "cert-file", "", false, "PEM certificate; empty means no TLS"),
		KeyFile:      s.String(section, "key-file", "", false, "PEM key of the certificate"),
		ClientCAFile: s.String(section, "client-ca-file", "", false, "PEM certificates that clients must be signed by; empty means that clients need none"),
	}
}

// PlainListener returns a listener without TLS.
func PlainListener(address string) Listener {
	none := ""
	return Listener{Address: &address, CertFile: &none, KeyFile: &none, ClientCAFile: &none}
}

func memoryKey(s *Set) *int {
	return s.Int("limits", "memory", 0, 0, 1<<20, "MB", "memory that the process may use; 0 means no limit")
}

// jobBodyKey declares the largest body on the users' platform, whose clients send at most
// 262,144 bytes.
func jobBodyKey(s *Set) *int {
	return s.Int("limits", "max-body-bytes", 512<<10, 1<<10, 64<<20, "bytes", "largest body of a request")
}

// ClientTLS holds the TLS settings with which a process connects to other processes
// of the system.
type ClientTLS struct {
	CAFile   *string
	CertFile *string
	KeyFile  *string
}

func clientTLSKeys(s *Set) ClientTLS {
	return ClientTLS{
		CAFile:   s.String("client-tls", "ca-file", "", false, "PEM certificates of the other processes; empty means no TLS"),
		CertFile: s.String("client-tls", "cert-file", "", false, "PEM certificate of this process as a client"),
		KeyFile:  s.String("client-tls", "key-file", "", false, "PEM key of the client certificate"),
	}
}

// Control holds the settings of a control replica.
type Control struct {
	Process
	API    Listener
	Peer   Listener
	Client ClientTLS

	ClusterID         *string
	ID                *int
	DataDir           *string
	Voters            *[]string
	HeartbeatInterval *time.Duration
	ElectionTimeout   *time.Duration
	SnapshotEntries   *int
	QueueLength       *int
	MemoryMB          *int
	MaxBodyBytes      *int
	Intake            Intake
	TokenFile         *string
	PlatformURL       *string
	PlanInterval      *time.Duration
}

// NewControl declares the keys of a control replica.
func NewControl(s *Set) *Control {
	return &Control{
		Process: processKeys(s),
		API:     listenerKeys(s, "api", "operators"),
		Peer:    listenerKeys(s, "peer", "other processes of the system"),
		Client:  clientTLSKeys(s),

		ClusterID:         s.String("control", "cluster-id", "", true, "identity of the cluster; files of another cluster are refused"),
		ID:                s.Int("control", "id", 0, 1, 1_000_000, "(replica number)", "number of the replica; never used again after its disk was lost"),
		DataDir:           s.String("control", "data-dir", "", true, "folder for the log and snapshots"),
		Voters:            s.List("control", "voters", "", true, "first voters, as id=address of the peer listener; a replica that joins later names the running ones"),
		HeartbeatInterval: s.Duration("control", "heartbeat-interval", 100*time.Millisecond, 10*time.Millisecond, 5*time.Second, "time between two heartbeats of the leader"),
		ElectionTimeout:   s.Duration("control", "election-timeout", 500*time.Millisecond, 50*time.Millisecond, 30*time.Second, "silence of the leader after which an election starts"),
		SnapshotEntries:   s.Int("control", "snapshot-entries", 10_000, 100, 1_000_000, "entries", "entries after which the log is replaced by a snapshot"),
		QueueLength:       s.Int("limits", "queue-length", 1024, 16, 65_536, "events", "events that may wait for the control loop"),
		MemoryMB:          memoryKey(s),
		MaxBodyBytes:      s.Int("limits", "max-body-bytes", 1<<20, 1<<10, 64<<20, "bytes", "largest body of a request"),
		Intake:            intakeKeys(s),
		TokenFile:         s.String("access", "token-file", "", false, "INI file with tokens and roles; empty allows everything, on loopback only"),
		PlatformURL:       s.String("platform", "url", "", false, "base URL of the platform; empty turns fleet control off"),
		PlanInterval:      s.Duration("platform", "plan-interval", time.Second, 50*time.Millisecond, time.Minute, "time between two reports of the platform"),
	}
}

// Entry holds the settings of an entry host.
type Entry struct {
	Process
	Callers Listener
	Peer    Listener
	Client  ClientTLS

	Peers           *[]string
	Control         *[]string
	DefaultDeadline *time.Duration
	MaxDeadline     *time.Duration
	BalancerDelay   *time.Duration
	ShutdownLimit   *time.Duration
	QueueLength     *int
	MemoryMB        *int
	MaxBodyBytes    *int
	Intake          Intake
	ReservePercent  *int
}

// NewEntry declares the keys of an entry host.
func NewEntry(s *Set) *Entry {
	return &Entry{
		Process: processKeys(s),
		Callers: listenerKeys(s, "callers", "callers and endpoints"),
		Peer:    listenerKeys(s, "peer", "other entry hosts"),
		Client:  clientTLSKeys(s),

		Peers:           s.List("entry", "peers", "", false, "addresses of the peer listeners of the other entry hosts"),
		Control:         s.List("entry", "control", "", true, "addresses of the peer listeners of the control replicas"),
		DefaultDeadline: s.Duration("entry", "default-deadline", 10*time.Second, 10*time.Millisecond, 10*time.Minute, "deadline of a request that names none"),
		MaxDeadline:     s.Duration("entry", "max-deadline", 10*time.Minute, time.Second, 10*time.Minute, "longest deadline that a request may name"),
		BalancerDelay:   s.Duration("entry", "balancer-delay", 3*time.Second, 0, time.Minute, "time from failing readiness until the balancer sends no more requests"),
		ShutdownLimit:   s.Duration("entry", "shutdown-limit", 10*time.Minute, time.Second, time.Hour, "longest graceful shutdown"),
		QueueLength:     s.Int("limits", "queue-length", 4096, 64, 262_144, "events", "events that may wait for the control loop"),
		MemoryMB:        memoryKey(s),
		MaxBodyBytes:    s.Int("limits", "max-body-bytes", 1<<20, 1<<10, 64<<20, "bytes", "largest body of a request or an answer"),
		Intake:          intakeKeys(s),
		ReservePercent: s.Int("routing", "short-work-reserve", 150, 1, 1000, "percent",
			"slots kept free for short work, as a share of the square root of its demand; more lets short work wait less and long work longer"),
	}
}

// Standin holds the settings of the stand-in platform and endpoints.
type Standin struct {
	Process
	Platform Listener
	Intake   Intake

	Manifest   *string
	EntryHosts *[]string
	Slots      *int
	RebootTime *time.Duration
	ReportLag  *time.Duration
	ShortRun   *time.Duration
	LongRun    *time.Duration
}

// NewStandin declares the keys of the stand-in.
func NewStandin(s *Set) *Standin {
	return &Standin{
		Process:    processKeys(s),
		Platform:   listenerKeys(s, "platform", "the platform API"),
		Intake:     intakeKeys(s),
		Manifest:   s.String("standin", "manifest", "", true, "YAML file with the hosts and pools to stand in for"),
		EntryHosts: s.List("standin", "entry-hosts", "", true, "addresses of the entry hosts to announce to"),
		Slots:      s.Int("standin", "slots", 8, 1, 1024, "slots", "requests that an executor runs at once"),
		RebootTime: s.Duration("standin", "reboot-time", 2*time.Second, 0, time.Hour, "time that a reboot takes"),
		ReportLag:  s.Duration("standin", "report-lag", time.Second, 0, time.Minute, "age of the use that the platform reports"),
		ShortRun:   s.Duration("standin", "short-run", 4*time.Millisecond, 0, time.Minute, "run time of short work"),
		LongRun:    s.Duration("standin", "long-run", 200*time.Millisecond, 0, time.Minute, "run time of long work"),
	}
}

// Cell holds the settings of a control replica that discovers the other replicas of
// its cell through seeds and manages the jobs of a platform.
type Cell struct {
	Process
	Executors Listener
	Peer      Listener
	Metrics   *string

	Seeds           *[]string
	PeerPort        *int
	Bootstrap       *bool
	ClusterID       *string
	DataDir         *string
	ElectionTimeout *time.Duration
	ToleratedLosses *int
	QueueLength     *int
	MemoryMB        *int
	MaxBodyBytes    *int
	Intake          Intake

	HostsAPI *string
	Advisor  *string
	Bounds
}

// Bounds holds the time bounds that the platform sets for jobs and hosts.
type Bounds struct {
	MaxLease       *time.Duration
	HostLease      *time.Duration
	MoveTime       *time.Duration
	UpkeepTime     *time.Duration
	ReportInterval *time.Duration
	Retention      *time.Duration
}

// NewCell declares the keys of a replica of a cell.
func NewCell(s *Set) *Cell {
	return &Cell{
		Process:   processKeys(s),
		Executors: listenerKeys(s, "executors", "executors and operators"),
		Peer:      listenerKeys(s, "peer", "other processes of the system"),
		Metrics:   s.String("metrics", "listen", "", false, "IP address and port for metrics and profiles; empty turns them off"),

		Seeds:           s.List("cell", "seeds", "", true, "addresses of the executors listeners of some replicas; they may lag"),
		PeerPort:        s.Int("cell", "peer-port", 0, 1, 65_535, "(port)", "port of the peer listener on all hosts"),
		Bootstrap:       s.Bool("cell", "bootstrap", false, "the cell starts for the first time, with empty disks"),
		ClusterID:       s.String("cell", "cluster-id", "cell", false, "identity of the cell; files of another are refused"),
		DataDir:         s.String("cell", "data-dir", "", true, "folder for the log and snapshots"),
		ElectionTimeout: s.Duration("cell", "election-timeout", 500*time.Millisecond, 100*time.Millisecond, 30*time.Second, "silence of the leader after which an election starts"),
		ToleratedLosses: s.Int("cell", "tolerated-losses", quorum.DefaultLosses, 0, 16, "replicas", "replicas whose loss at once, disks included, the cell must bear; 0 means the default"),
		QueueLength:     s.Int("limits", "queue-length", 4096, 16, 65_536, "events", "events that may wait for the control loop"),
		MemoryMB:        memoryKey(s),
		MaxBodyBytes:    jobBodyKey(s),
		Intake:          intakeKeys(s),

		HostsAPI: s.String("platform", "hosts-api", "", false, "address of the platform's interface for hosts; empty turns upkeep and moves off"),
		Advisor:  s.String("platform", "advisor", "", false, "address of the placement advisor"),
		Bounds:   boundKeys(s),
	}
}

// maxBound is the largest value of a time bound of the platform.
const maxBound = time.Hour

func boundKeys(s *Set) Bounds {
	bound := func(name string, def time.Duration, help string) *time.Duration {
		return s.Duration("bounds", name, def, time.Millisecond, maxBound, help)
	}
	return Bounds{
		MaxLease:       bound("hold-max", 6*time.Second, "longest lease that an executor grants"),
		HostLease:      bound("host-lease", 3*time.Second, "time within which two leaders must not both give orders for one host"),
		MoveTime:       bound("move-time", 1500*time.Millisecond, "time that a host is away for a move"),
		UpkeepTime:     bound("upkeep-time", 2*time.Second, "time that a host is away for upkeep"),
		ReportInterval: bound("report-every", 1500*time.Millisecond, "interval of an executor's reports"),
		Retention:      bound("retention", 2*time.Minute, "time for which the state of an ended job can be asked for"),
	}
}

// JobEntry holds the settings of an entry host for jobs.
type JobEntry struct {
	Process
	Callers Listener
	Peer    Listener
	Ready   *string
	Metrics *string

	Seeds         *[]string
	PeerPort      *int
	MemoryMB      *int
	MaxBodyBytes  *int
	Intake        Intake
	LeaderWait    *time.Duration
	ShutdownLimit *time.Duration
}

// NewJobEntry declares the keys of an entry host for jobs.
func NewJobEntry(s *Set) *JobEntry {
	return &JobEntry{
		Process: processKeys(s),
		Callers: listenerKeys(s, "callers", "callers"),
		Peer:    listenerKeys(s, "peer", "other entry hosts"),
		Ready:   s.String("ready", "listen", "", true, "IP address and port on which the load balancer asks for readiness"),
		Metrics: s.String("metrics", "listen", "", false, "IP address and port for metrics and profiles; empty turns them off"),

		Seeds:         s.List("cell", "seeds", "", true, "addresses of the executors listeners of some replicas; they may lag"),
		PeerPort:      s.Int("cell", "peer-port", 0, 1, 65_535, "(port)", "port of the peer listener on all hosts"),
		MemoryMB:      memoryKey(s),
		MaxBodyBytes:  jobBodyKey(s),
		Intake:        intakeKeys(s),
		LeaderWait:    s.Duration("limits", "leader-wait", 2*time.Second, 0, time.Minute, "longest time that a request waits for a leader"),
		ShutdownLimit: s.Duration("limits", "grace", 5*time.Second, 100*time.Millisecond, time.Hour, "longest graceful shutdown"),
	}
}

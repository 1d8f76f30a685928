package jobs

import (
	"maps"
	"slices"
	"strings"

	"laburnumdock/internal/core/fault"
)

// Queue is an entry point for job submissions, together with the pool that runs
// its jobs. A removed queue stays in the configuration as a retired one, which takes no
// submissions, while accepted jobs need its definition.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Host and Prefix are matched against the host and path of a request to
	// select the queue. The prefix of a retired queue begins with retiredMark.
	Host   string `cbor:"2,keyasint,omitempty"`
	Prefix string `cbor:"3,keyasint,omitempty"`
	// Pool is the name of the pool whose hosts run the queue's tasks.
	Pool string `cbor:"4,keyasint"`
	// Timeout bounds one request. A job's deadline follows its submission by its
	// critical path times SlackFactor, plus Target. Timeout and Target are in
	// milliseconds.
	Timeout int64 `cbor:"5,keyasint,omitempty"`
	Target  int64 `cbor:"6,keyasint,omitempty"`
	// Priority orders queues; 0 is the highest.
	Priority int `cbor:"7,keyasint,omitempty"`
	// MaxAttempts is the number of failed runs after which the job of a task
	// fails.
	MaxAttempts int     `cbor:"8,keyasint,omitempty"`
	SlackFactor float64 `cbor:"9,keyasint,omitempty"`
	// Advisor is set when an advisor decides which executors may run a step.
	Advisor *AdvisorTiming `cbor:"10,keyasint,omitempty"`
	// Public is set when calls need no API key. It has no effect without a Tenancy.
	Public bool `cbor:"11,keyasint,omitempty"`
}

// retiredMark begins the prefix of a retired queue. No path and no prefix of a valid
// configuration begins with it, so it takes no submissions under an earlier version
// either. The decoder of that version refuses unknown fields.
const retiredMark = "retired:"

// DefaultMaxAttempts is the limit of a job whose queue is unknown, because an earlier
// version has removed it without keeping its definition. It is the largest limit in the
// platform's documentation, so that no job is given up too early.
const DefaultMaxAttempts = 4

// IsRetired reports whether the queue has been removed and only serves the jobs that it
// has accepted.
func (q *Queue) IsRetired() bool { return strings.HasPrefix(q.Prefix, retiredMark) }

// retired returns the definition as that of a removed queue.
func (q Queue) retired() Queue {
	if !q.IsRetired() {
		q.Prefix = retiredMark + q.Prefix
	}
	return q
}

// HasRouteOf reports whether the queue takes, or took before it was removed, the requests
// that the other one takes.
func (q *Queue) HasRouteOf(other *Queue) bool {
	return strings.EqualFold(q.Host, other.Host) && strings.TrimPrefix(q.Prefix, retiredMark) == strings.TrimPrefix(other.Prefix, retiredMark)
}

// attemptLimit returns the number of failed runs after which a task ends its job.
func (q *Queue) attemptLimit() int {
	if q.MaxAttempts > 0 {
		return q.MaxAttempts
	}
	return MaxTasks
}

// AdvisorTiming is the time in milliseconds that an advisor takes for one call
// and for each executor named in the call.
type AdvisorTiming struct {
	PerCall     int64 `cbor:"1,keyasint,omitempty"`
	PerExecutor int64 `cbor:"2,keyasint,omitempty"`
}

// Pool is a set of hosts that run one service.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// MaxConnections bounds the open connections to one executor.
	MaxConnections int `cbor:"2,keyasint,omitempty"`
	// EnforcesCapacity is set when executors refuse runs that exceed their
	// capacity.
	EnforcesCapacity bool `cbor:"3,keyasint,omitempty"`
	// Standby is set when the hosts of the pool are powered off and cost
	// nothing.
	Standby bool `cbor:"4,keyasint,omitempty"`
}

// Config is the operators' configuration. It is immutable once applied.
type Config struct {
	Version uint64  `cbor:"1,keyasint"`
	Queues  []Queue `cbor:"2,keyasint"`
	Pools   []Pool  `cbor:"3,keyasint"`
	// Document is the configuration as submitted, kept so that it can be read
	// back.
	Document []byte `cbor:"4,keyasint"`
	// Tenancy is nil if the configuration has no tenants; calls then need no key.
	Tenancy *Tenancy `cbor:"5,keyasint,omitempty"`
}

// Check returns the reason to reject the configuration, or nil.
func (c *Config) Check() *fault.Error {
	pools := make(map[string]bool, len(c.Pools))
	for _, p := range c.Pools {
		if p.Name == "" || pools[p.Name] {
			return fault.InvalidField("pools", "unique names", "pool %q has no name of its own", p.Name)
		}
		pools[p.Name] = true
	}
	routes := make(map[string]bool, len(c.Queues))
	names := make(map[string]bool, len(c.Queues))
	for _, q := range c.Queues {
		route := q.Host + " " + q.Prefix
		switch {
		case q.Name == "" || names[q.Name]:
			return fault.InvalidField("queues", "unique names", "queue %q has no name of its own", q.Name)
		case !pools[q.Pool]:
			return fault.InvalidField("queues."+q.Name+".pool", "a declared pool", "pool %q is not known", q.Pool)
		case routes[route]:
			return fault.InvalidField("queues."+q.Name+".prefix", "one queue for each host and prefix", "%q is used twice", route)
		case q.Timeout <= 0:
			return fault.InvalidField("queues."+q.Name+".timeout", "1 ms or more", "value is %d", q.Timeout)
		case !strings.HasPrefix(q.Prefix, "/"):
			return fault.InvalidField("queues."+q.Name+".prefix", "a path", "%q does not begin with /", q.Prefix)
		}
		routes[route], names[q.Name] = true, true
	}
	if c.Tenancy != nil {
		return c.Tenancy.check()
	}
	return nil
}

// DropUnused removes what has no effect, so that it needs no newer stored format: queues
// are public anyway without a Tenancy.
func (c *Config) DropUnused() {
	if c.Tenancy != nil {
		return
	}
	for i := range c.Queues {
		c.Queues[i].Public = false
	}
}

// Retaining returns the configuration with the queues added that it lacks and that
// accepted jobs need, given by name with their pools. Their definition is that of the
// earlier configuration, which may be nil.
func (c *Config) Retaining(earlier *Config, needed map[string]string) *Config {
	next := *c
	next.Queues = slices.Clone(c.Queues)
	for _, name := range slices.Sorted(maps.Keys(needed)) {
		if next.Queue(name) != nil {
			continue
		}
		definition := Queue{Name: name, Pool: needed[name], MaxAttempts: DefaultMaxAttempts}
		if earlier != nil && earlier.Queue(name) != nil {
			definition = *earlier.Queue(name)
		}
		next.Queues = append(next.Queues, definition.retired())
	}
	return &next
}

// Match returns the queue whose prefix is the longest match for path, and the
// rest of the path after that prefix.
func (c *Config) Match(host, path string) (*Queue, string) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Queue returns the queue with the given name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Pool returns the pool with the given name, or nil.
func (c *Config) Pool(name string) *Pool {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i]
		}
	}
	return nil
}

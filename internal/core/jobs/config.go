package jobs

import (
	"strings"

	"laburnumdock/internal/core/fault"
)

// Queue is an entry point for job submissions, together with the pool that runs
// its jobs.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Host and Prefix are matched against the host and path of a request to
	// select the queue.
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
	return nil
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

package jobs

import (
	"strings"

	"laburnumdock/internal/core/fault"
)

// Queue is where jobs are submitted, and where they run.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Host and Prefix select the queue of a request.
	Host   string `cbor:"2,keyasint,omitempty"`
	Prefix string `cbor:"3,keyasint,omitempty"`
	// Pool names the hosts that run the queue's tasks.
	Pool string `cbor:"4,keyasint"`
	// Timeout bounds one request, and Target is added to the slack of a job's
	// chain of work; both in milliseconds.
	Timeout int64 `cbor:"5,keyasint,omitempty"`
	Target  int64 `cbor:"6,keyasint,omitempty"`
	// Priority 0 comes first.
	Priority int `cbor:"7,keyasint,omitempty"`
	// MaxAttempts is the number of failed runs after which a task is given up.
	MaxAttempts int     `cbor:"8,keyasint,omitempty"`
	SlackFactor       float64 `cbor:"9,keyasint,omitempty"`
	// Advice, if not nil, tells that an advisor decides which executors may run
	// a step.
	Advisor *AdvisorTiming `cbor:"10,keyasint,omitempty"`
}

// Advice is how long an advisor takes: Decide for each question and Each for each
// executor that is asked about, in milliseconds.
type AdvisorTiming struct {
	PerCall int64 `cbor:"1,keyasint,omitempty"`
	PerExecutor   int64 `cbor:"2,keyasint,omitempty"`
}

// Pool is a set of hosts that run one service.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// Connections bounds the open connections to one executor.
	MaxConnections int `cbor:"2,keyasint,omitempty"`
	// Enforces tells that executors refuse what does not fit.
	EnforcesCapacity bool `cbor:"3,keyasint,omitempty"`
	// Standby hosts are off and cost nothing.
	Standby bool `cbor:"4,keyasint,omitempty"`
}

// Config is the operators' configuration. It is immutable once applied.
type Config struct {
	Version uint64  `cbor:"1,keyasint"`
	Queues  []Queue `cbor:"2,keyasint"`
	Pools   []Pool  `cbor:"3,keyasint"`
	// Document is the configuration as it was sent, for reading it back.
	Document []byte `cbor:"4,keyasint"`
}

// Check returns why a configuration cannot be accepted, or nil.
func (c *Config) Check() *fault.Error {
	pools := make(map[string]bool, len(c.Pools))
	for _, p := range c.Pools {
		if p.Name == "" || pools[p.Name] {
			return fault.InvalidField("pools", "unique names", "pool %q has no name of its own", p.Name)
		}
		pools[p.Name] = true
	}
	places := make(map[string]bool, len(c.Queues))
	names := make(map[string]bool, len(c.Queues))
	for _, q := range c.Queues {
		place := q.Host + " " + q.Prefix
		switch {
		case q.Name == "" || names[q.Name]:
			return fault.InvalidField("queues", "unique names", "queue %q has no name of its own", q.Name)
		case !pools[q.Pool]:
			return fault.InvalidField("queues."+q.Name+".pool", "a declared pool", "pool %q is not known", q.Pool)
		case places[place]:
			return fault.InvalidField("queues."+q.Name+".prefix", "one queue for each host and prefix", "%q is used twice", place)
		case q.Timeout <= 0:
			return fault.InvalidField("queues."+q.Name+".timeout", "1 ms or more", "value is %d", q.Timeout)
		case !strings.HasPrefix(q.Prefix, "/"):
			return fault.InvalidField("queues."+q.Name+".prefix", "a path", "%q does not begin with /", q.Prefix)
		}
		places[place], names[q.Name] = true, true
	}
	return nil
}

// Match returns the queue with the longest prefix of path, and what follows
// that prefix.
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

// Queue returns the queue of a name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Pool returns the pool of a name, or nil.
func (c *Config) Pool(name string) *Pool {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i]
		}
	}
	return nil
}

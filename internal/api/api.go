// Package api implements the operators' resource API, JSON over HTTP.
package api

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/decision"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/logevent"
)

// Backend is the interface to the control replica.
type Backend interface {
	// Propose commits a command through the leader and returns its result. The
	// error outcome_unknown means that the command may still be committed.
	Propose(ctx context.Context, cmd state.Command) (state.Result, error)
	// ReadSnapshot returns a snapshot that includes every change acknowledged
	// before the call.
	ReadSnapshot(ctx context.Context) (*state.Snapshot, error)
	// Snapshot returns the state that this replica has applied, which may lag
	// behind the leader's.
	Snapshot() *state.Snapshot
	// Changed returns a channel that is closed when a newer snapshot than the
	// one returned by a subsequent call to Snapshot is available.
	Changed() <-chan struct{}
	// Now returns the time to set in the origin of a command.
	Now() time.Time
}

// Config configures the API. Limits that are zero get their defaults.
type Config struct {
	Backend      Backend
	MaxBodyBytes int64
	// BodyTimeout is the longest time in which a client may send a body.
	BodyTimeout time.Duration
	// Tokens holds the operators' tokens. If it is nil, every request has the
	// role admin if Loopback is set, and is rejected otherwise.
	Tokens   *Tokens
	Loopback bool
	// Explainer explains placements; nil if this process places nothing.
	Explainer Explainer
	// Cluster reports and changes the group of replicas; nil if there is none.
	Cluster Cluster
	Log     *logevent.Logger
	// Watch bounds the watch streams.
	Watch WatchLimits
	// Stopping is closed when the process shuts down, which ends the watches.
	Stopping <-chan struct{}
}

// Explainer explains where the tasks of a job would be placed.
type Explainer interface {
	// ExplainJob returns not_leader if another replica decides.
	ExplainJob(ctx context.Context, job string) (*decision.Explanation, error)
}

// WatchLimits are the limits of watch streams.
type WatchLimits struct {
	// MaxWatchers is the maximum number of concurrent streams.
	MaxWatchers int
	// BatchEvents is the approximate number of events written between two
	// flushes. The events of one command are never split.
	BatchEvents int
	// WriteTimeout is the longest time in which a client may receive one batch.
	WriteTimeout time.Duration
	// ProgressInterval is the time after which a stream without events gets a
	// progress line.
	ProgressInterval time.Duration
	// RetryJitter is the longest delay that a client is told to wait before it
	// restarts a lost stream. The random delay keeps the clients of a replica
	// from listing all at once.
	RetryJitter time.Duration
}

// Defaults of the limits.
const (
	DefaultMaxBodyBytes     = 1 << 20
	defaultBodyTimeout      = 10 * time.Second
	DefaultMaxWatchers      = 1024
	defaultBatchEvents      = 512
	defaultWriteTimeout     = 5 * time.Second
	defaultProgressInterval = 5 * time.Second
	defaultRetryJitter      = 2 * time.Second
)

func (c *Config) setDefaults() {
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = DefaultMaxBodyBytes
	}
	c.BodyTimeout = orDefault(c.BodyTimeout, defaultBodyTimeout)
	if c.Log == nil {
		c.Log = logevent.Discard()
	}
	w := &c.Watch
	w.MaxWatchers = orDefault(w.MaxWatchers, DefaultMaxWatchers)
	w.BatchEvents = orDefault(w.BatchEvents, defaultBatchEvents)
	w.WriteTimeout = orDefault(w.WriteTimeout, defaultWriteTimeout)
	w.ProgressInterval = orDefault(w.ProgressInterval, defaultProgressInterval)
	w.RetryJitter = orDefault(w.RetryJitter, defaultRetryJitter)
}

func orDefault[T int | time.Duration](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

// Headers of the API.
const (
	// ChangeIDHeader and IssuedAtHeader identify a change, so that a client can
	// send it again without applying it twice.
	ChangeIDHeader = "Laburnum-Change-Id"
	IssuedAtHeader = "Laburnum-Issued-At"
	// ActorHeader names the actor if no tokens are configured.
	ActorHeader = "Laburnum-Actor"
	// VersionHeader carries the version of the snapshot that was read, or the
	// version of a change.
	VersionHeader = "Laburnum-Version"
	// RetryHeader carries the delay before the next attempt, in milliseconds.
	RetryHeader = "Laburnum-Retry-Ms"
	// ReplayedHeader marks a response that repeats the first result of a change
	// that was sent again.
	ReplayedHeader = "Laburnum-Replayed"
)

type api struct {
	Config
	watchers atomic.Int64
}

// Handler returns the HTTP handler of the API.
func Handler(cfg Config) http.Handler {
	cfg.setDefaults()
	a := &api{Config: cfg}
	mux := http.NewServeMux()
	view := func(pattern string, h http.HandlerFunc) {
		mux.HandleFunc(pattern, a.requireRole(fixedRole(RoleViewer), h))
	}
	operate := func(pattern string, h http.HandlerFunc) {
		mux.HandleFunc(pattern, a.requireRole(fixedRole(RoleOperator), h))
	}
	view("GET /v1/watch", a.watch)
	view("GET /v1/audit", a.audit)
	view("GET /v1/cluster", a.cluster)
	mux.HandleFunc("POST /v1/cluster/members", a.requireRole(fixedRole(RoleAdmin), a.changeMember))
	view("GET /v1/describe/{kind}/{name}", a.describe)
	view("GET /v1/explain/jobs/{name}", a.explainJob)
	view("GET /v1/{kind}", a.list)
	view("GET /v1/{kind}/{name}", a.get)
	view("POST /v1/dry-run", a.dryRun)
	mux.HandleFunc("PUT /v1/{kind}/{name}", a.requireRole(changeRole, a.put))
	mux.HandleFunc("DELETE /v1/{kind}/{name}", a.requireRole(changeRole, a.delete))
	operate("POST /v1/hosts/{name}/{verb}", a.hostVerb)
	operate("POST /v1/waves/{name}/{verb}", a.waveVerb)
	operate("POST /v1/jobs/{name}/{verb}", a.jobVerb)
	mux.HandleFunc("/", a.unknownRoute)
	return mux
}

func (a *api) unknownRoute(w http.ResponseWriter, r *http.Request) {
	answer.WriteError(w, fault.New(fault.NotFound, "%s %s does not exist", r.Method, r.URL.Path))
}

// readSnapshot returns a snapshot to answer the request from and sets its
// version in the header. On failure it writes the error and returns nil.
func (a *api) readSnapshot(w http.ResponseWriter, r *http.Request) *state.Snapshot {
	snap, err := a.Backend.ReadSnapshot(r.Context())
	if err != nil {
		answer.WriteError(w, err)
		return nil
	}
	w.Header().Set(VersionHeader, strconv.FormatUint(snap.Version, 10))
	return snap
}

// resourceKey returns the key of the resource in the path, or an error if the
// kind is unknown.
func resourceKey(r *http.Request) (model.Key, *fault.Error) {
	key := model.Key{Kind: model.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	if model.New(key.Kind) == nil {
		return key, fault.New(fault.NotFound, "resource kind %s does not exist", key.Kind)
	}
	return key, checkText("name", key.Name)
}

// retryDelayMs returns a random delay in milliseconds.
func (a *api) retryDelayMs() int64 { return 1 + rand.Int64N(a.Watch.RetryJitter.Milliseconds()+1) }

// Package api is the operators' resource API: JSON over HTTP.
package api

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/logevent"
)

// Backend is the control replica as the API sees it.
type Backend interface {
	// Propose has a command committed, on the leader, and returns its result.
	// The error outcome_unknown means that it may still be committed.
	Propose(ctx context.Context, cmd state.Command) (state.Result, error)
	// ReadSnapshot returns a snapshot with every change that was acknowledged
	// before the call.
	ReadSnapshot(ctx context.Context) (*state.Snapshot, error)
	// Snapshot returns what this replica has applied, which may lag.
	Snapshot() *state.Snapshot
	// Changed returns a channel that is closed when a newer snapshot is there
	// than the one that a later call of Snapshot returns.
	Changed() <-chan struct{}
	// Now is the time for the origin of a command.
	Now() time.Time
}

// Config is what the API needs. Zero values of the limits get defaults.
type Config struct {
	Backend      Backend
	MaxBodyBytes int64
	// BodyTimeout is how long the client may take to send a body.
	BodyTimeout time.Duration
	// Tokens holds the operators' tokens. Without them every request is one of
	// an admin if Loopback is set, and refused else.
	Tokens   *Tokens
	Loopback bool
	// Cluster shows and changes the group of replicas; nil if there is none.
	Cluster Cluster
	Log     *logevent.Logger
	// Watch bounds the watch streams.
	Watch WatchLimits
	// Stopping is closed when the process shuts down, to end the watches.
	Stopping <-chan struct{}
}

// WatchLimits bound watch streams.
type WatchLimits struct {
	// Watchers is the number of streams at a time.
	MaxWatchers int
	// Batch is the number of events that are written between two flushes.
	BatchEvents int
	// WriteTimeout is how long the client may take to receive one batch.
	WriteTimeout time.Duration
	// Progress is the time after which a stream without events gets a mark.
	ProgressInterval time.Duration
	// RetrySpread is the longest wait before a client that lost its stream
	// starts again. It keeps all clients of a replica from listing at once.
	RetryJitter time.Duration
}

// Defaults of the limits.
const (
	DefaultMaxBodyBytes = 1 << 20
	defaultBodyTimeout  = 10 * time.Second
	defaultWatchers     = 1024
	defaultBatch        = 512
	defaultWriteTimeout = 5 * time.Second
	defaultProgress     = 5 * time.Second
	defaultRetrySpread  = 2 * time.Second
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
	w.MaxWatchers = orDefault(w.MaxWatchers, defaultWatchers)
	w.BatchEvents = orDefault(w.BatchEvents, defaultBatch)
	w.WriteTimeout = orDefault(w.WriteTimeout, defaultWriteTimeout)
	w.ProgressInterval = orDefault(w.ProgressInterval, defaultProgress)
	w.RetryJitter = orDefault(w.RetryJitter, defaultRetrySpread)
}

func orDefault[T int | time.Duration](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

// Headers of the API.
const (
	// ChangeIDHeader and IssuedAtHeader make a change idempotent.
	ChangeIDHeader = "Laburnum-Change-Id"
	IssuedAtHeader = "Laburnum-Issued-At"
	// ActorHeader names the actor where no tokens are configured.
	ActorHeader = "Laburnum-Actor"
	// VersionHeader is the version of the snapshot that an answer is from.
	VersionHeader = "Laburnum-Version"
	// RetryHeader is how long to wait before the next try, in milliseconds.
	RetryHeader = "Laburnum-Retry-Ms"
	// ReplayedHeader marks the first result of a change that was sent again.
	ReplayedHeader = "Laburnum-Replayed"
)

type api struct {
	Config
	watchers atomic.Int64
}

// Handler returns the routes of the API.
func Handler(cfg Config) http.Handler {
	cfg.setDefaults()
	a := &api{Config: cfg}
	mux := http.NewServeMux()
	view := func(pattern string, h http.HandlerFunc) { mux.HandleFunc(pattern, a.allow(fixedRole(RoleViewer), h)) }
	operate := func(pattern string, h http.HandlerFunc) { mux.HandleFunc(pattern, a.allow(fixedRole(RoleOperator), h)) }
	view("GET /v1/watch", a.watch)
	view("GET /v1/audit", a.audit)
	view("GET /v1/cluster", a.cluster)
	mux.HandleFunc("POST /v1/cluster/members", a.allow(fixedRole(RoleAdmin), a.changeMember))
	view("GET /v1/describe/{kind}/{name}", a.describe)
	view("GET /v1/{kind}", a.list)
	view("GET /v1/{kind}/{name}", a.get)
	view("POST /v1/dry-run", a.dryRun)
	mux.HandleFunc("PUT /v1/{kind}/{name}", a.allow(changeRole, a.put))
	mux.HandleFunc("DELETE /v1/{kind}/{name}", a.allow(changeRole, a.delete))
	operate("POST /v1/hosts/{name}/{verb}", a.hostVerb)
	operate("POST /v1/waves/{name}/{verb}", a.waveVerb)
	operate("POST /v1/jobs/{name}/{verb}", a.jobVerb)
	mux.HandleFunc("/", a.unknownRoute)
	return mux
}

func (a *api) unknownRoute(w http.ResponseWriter, r *http.Request) {
	answer.WriteError(w, fault.New(fault.NotFound, "%s %s does not exist", r.Method, r.URL.Path))
}

// read returns a snapshot for an answer and names its version in the header.
// It answers the request itself if there is none.
func (a *api) read(w http.ResponseWriter, r *http.Request) *state.Snapshot {
	snap, err := a.Backend.ReadSnapshot(r.Context())
	if err != nil {
		answer.WriteError(w, err)
		return nil
	}
	w.Header().Set(VersionHeader, strconv.FormatUint(snap.Version, 10))
	return snap
}

// keyOf returns the resource of the path, or an error for an unknown kind.
func keyOf(r *http.Request) (model.Key, *fault.Error) {
	key := model.Key{Kind: model.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	if model.New(key.Kind) == nil {
		return key, fault.New(fault.NotFound, "resource kind %s does not exist", key.Kind)
	}
	return key, nil
}

// retryAfter returns a random wait in milliseconds.
func (a *api) retryAfter() int64 { return 1 + rand.Int64N(a.Watch.RetryJitter.Milliseconds()+1) }

// Package control runs a control replica. One goroutine, the control loop,
// owns the replicated state; everyone else reads snapshots and sends events.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/logevent"
)

// Config is what a replica needs.
type Config struct {
	ID uint64
	// QueueLength bounds the events that wait for the control loop.
	QueueLength int
	Log         *logevent.Logger
}

// Replica is one control replica.
type Replica struct {
	cfg      Config
	queue    chan proposal
	snapshot atomic.Pointer[state.Snapshot]
	// changed is closed and replaced with every new snapshot.
	changed atomic.Pointer[chan struct{}]
	state   *state.State
}

type proposal struct {
	cmd   state.Command
	reply chan state.Result
}

// New returns a replica that is not running yet.
func New(cfg Config) *Replica {
	r := &Replica{cfg: cfg, queue: make(chan proposal, cfg.QueueLength), state: state.New()}
	r.publish()
	return r
}

// Run is the control loop. It returns when ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-r.queue:
			p.reply <- r.state.Apply(r.state.Version()+1, p.cmd)
			r.publish()
		}
	}
}

func (r *Replica) publish() {
	r.snapshot.Store(r.state.Snapshot())
	next := make(chan struct{})
	if old := r.changed.Swap(&next); old != nil {
		close(*old)
	}
}

// Propose has a command committed and returns its result. A full queue is
// answered at once.
func (r *Replica) Propose(ctx context.Context, cmd state.Command) (state.Result, error) {
	p := proposal{cmd: cmd, reply: make(chan state.Result, 1)}
	select {
	case r.queue <- p:
	default:
		r.cfg.Log.Log(logevent.QueueFull, nil)
		return state.Result{}, fault.New(fault.Overloaded, "%d changes wait already", cap(r.queue))
	}
	select {
	case res := <-p.reply:
		return res, nil
	case <-ctx.Done():
		return state.Result{}, fault.New(fault.OutcomeUnknown, "the change was queued, but its outcome was not seen in time")
	}
}

// Snapshot returns what this replica has applied, which may lag.
func (r *Replica) Snapshot() *state.Snapshot { return r.snapshot.Load() }

// ReadSnapshot returns a snapshot that contains every change that was
// acknowledged before the call.
func (r *Replica) ReadSnapshot(context.Context) (*state.Snapshot, error) {
	return r.snapshot.Load(), nil
}

// Changed returns a channel that is closed when a newer snapshot than the one
// that Snapshot returned before is there. Call it before Snapshot.
func (r *Replica) Changed() <-chan struct{} { return *r.changed.Load() }

// Now returns the time for the origin of a command.
func (r *Replica) Now() time.Time { return time.Now() }

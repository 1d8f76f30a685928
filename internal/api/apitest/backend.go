// Package apitest offers a control backend in memory, for tests of the API and
// of its clients.
package apitest

import (
	"context"
	"sync"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/state"
)

// Backend is a control replica without peers and files. Its methods may be
// called by any goroutine; the fields are set before the first call.
type Backend struct {
	// Fail, if it returns an error, is what Propose answers. The command is
	// applied before if the error says that its outcome is unknown.
	Fail func(state.Command) *fault.Error
	// Clock is the time of commands.
	Clock func() time.Time

	mu      sync.Mutex
	state   *state.State
	changed chan struct{}
}

// New returns an empty backend.
func New() *Backend {
	return &Backend{Clock: time.Now, state: state.New(), changed: make(chan struct{})}
}

// Propose implements api.Backend.
func (b *Backend) Propose(_ context.Context, cmd state.Command) (state.Result, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var fail *fault.Error
	if b.Fail != nil {
		fail = b.Fail(cmd)
	}
	if fail != nil && fail.Kind != fault.OutcomeUnknown {
		return state.Result{}, fail
	}
	res := b.state.Apply(b.state.Version()+1, cmd)
	close(b.changed)
	b.changed = make(chan struct{})
	if fail != nil {
		return state.Result{}, fail
	}
	return res, nil
}

// Snapshot implements api.Backend.
func (b *Backend) Snapshot() *state.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Snapshot()
}

// ReadSnapshot implements api.Backend.
func (b *Backend) ReadSnapshot(context.Context) (*state.Snapshot, error) { return b.Snapshot(), nil }

// Changed implements api.Backend.
func (b *Backend) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Now implements api.Backend.
func (b *Backend) Now() time.Time { return b.Clock() }

// Package apitest provides an in-memory control backend for tests of the API and
// its clients.
package apitest

import (
	"context"
	"sync"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/state"
)

// Backend is an in-memory control replica without peers. It is safe for
// concurrent use.
type Backend struct {
	mu         sync.Mutex
	proposeErr *fault.Error
	state      *state.State
	changed    chan struct{}
}

// New returns a backend with an empty state.
func New() *Backend {
	return &Backend{state: state.New(), changed: make(chan struct{})}
}

// FailProposals makes Propose return err; nil restores normal operation. If the
// kind of err is outcome_unknown, commands are applied nevertheless.
func (b *Backend) FailProposals(err *fault.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.proposeErr = err
}

// Propose implements api.Backend.
func (b *Backend) Propose(_ context.Context, cmd state.Command) (state.Result, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	proposeErr := b.proposeErr
	if proposeErr != nil && proposeErr.Kind != fault.OutcomeUnknown {
		return state.Result{}, proposeErr
	}
	res := b.state.Apply(b.state.Version()+1, cmd)
	close(b.changed)
	b.changed = make(chan struct{})
	if proposeErr != nil {
		return state.Result{}, proposeErr
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
func (b *Backend) Now() time.Time { return time.Now() }

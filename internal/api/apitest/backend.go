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

// Backend is a control replica without peers and files. Any goroutine may call
// its methods.
type Backend struct {
	mu      sync.Mutex
	fail    *fault.Error
	state   *state.State
	changed chan struct{}
}

// New returns an empty backend.
func New() *Backend {
	return &Backend{state: state.New(), changed: make(chan struct{})}
}

// Fail makes Propose answer with an error, or work again for nil. A command is
// applied nevertheless if the error says that its outcome is unknown.
func (b *Backend) FailProposals(err *fault.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fail = err
}

// Propose implements api.Backend.
func (b *Backend) Propose(_ context.Context, cmd state.Command) (state.Result, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fail := b.fail
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
func (b *Backend) Now() time.Time { return time.Now() }

package control

import (
	"sync"

	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/wal"
)

// Store is the durable storage of a replica. It is owned by the control loop, except
// for SaveSnapshot and LoadSnapshot, which may run concurrently with the other
// methods. Data is durable when Append or InstallSnapshot returns without an error;
// after a failure both fail until Reopen succeeds. Reopen returns what is durable, and
// must not run concurrently with SaveSnapshot. A failed SaveSnapshot has no other
// effect.
type Store interface {
	Append(hs raft.HardState, entries []raft.Entry) error
	InstallSnapshot(hs raft.HardState, snap raft.Snapshot) error
	SaveSnapshot(snap raft.Snapshot) error
	LoadSnapshot() (raft.Snapshot, error)
	Compact(index uint64) error
	CheckDisk(replica uint64, disk string) error
	Identity() wal.Identity
	Stats() wal.Stats
	Fail(err error)
	Err() error
	Reopen() (*wal.Recovered, error)
	Close() error
}

// memoryStore is the store of an unreplicated replica. It keeps only the newest
// snapshot.
type memoryStore struct {
	mu   sync.Mutex
	snap raft.Snapshot
	err  error
}

func (m *memoryStore) Append(raft.HardState, []raft.Entry) error { return m.err }

func (m *memoryStore) InstallSnapshot(_ raft.HardState, snap raft.Snapshot) error {
	return m.SaveSnapshot(snap)
}

func (m *memoryStore) SaveSnapshot(snap raft.Snapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.snap = snap
	return nil
}

func (m *memoryStore) LoadSnapshot() (raft.Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snap, nil
}

func (m *memoryStore) Compact(uint64) error           { return m.err }
func (m *memoryStore) CheckDisk(uint64, string) error { return nil }
func (m *memoryStore) Identity() wal.Identity         { return wal.Identity{} }
func (m *memoryStore) Stats() wal.Stats               { return wal.Stats{} }
func (m *memoryStore) Fail(err error)                 { m.err = err }
func (m *memoryStore) Err() error                     { return m.err }

// Reopen fails: nothing that was stored survives a failure.
func (m *memoryStore) Reopen() (*wal.Recovered, error) { return nil, m.err }

// Close implements Store.
func (m *memoryStore) Close() error { return nil }

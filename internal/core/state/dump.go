package state

import (
	"time"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/model"
)

// Dump is the whole state as plain values, for the stored form of a snapshot.
// It shares the immutable resources with the state it came from. Events are
// not part of it: after a restore the window starts empty, and a watch from an
// earlier version gets compacted.
type Dump struct {
	Version uint64
	Now     time.Time
	// Objects are in the order of kinds and names.
	Objects []model.Object
	Audit   []AuditEntry
	// Changes are the remembered change IDs, oldest first.
	Changes       []ChangeRecord
	ChangeHorizon int64
	// PoolChanges are in the order of the pools. They decide whether a PoolMark
	// is taken, so every replica must have the same.
	PoolChanges []PoolChange
	// Requests are in the order of their IDs.
	Requests []RequestRecord
	// Jobs are the records of jobs.
	Jobs *jobs.Dump
}

// PoolChange is the version at which a health or the membership of a pool last
// changed.
type PoolChange struct {
	Pool    string
	Version uint64
}

// Dump returns the state as plain values. Later commands do not change it.
func (s *State) Dump() *Dump {
	d := &Dump{
		Version: s.version, Now: s.now, Audit: s.audit[:len(s.audit):len(s.audit)],
		Changes: s.changes.dump(), ChangeHorizon: s.changes.horizon, Requests: s.requests.dump(),
		PoolChanges: s.capacity.poolChanges(), Jobs: s.jobs.Dump(),
	}
	for _, kind := range model.Kinds() {
		s.objectsByKind[kind].Scan(func(_ string, obj model.Object) bool {
			d.Objects = append(d.Objects, obj)
			return true
		})
	}
	return d
}

// Restore returns the state that d was taken from. The state takes over the
// values of d, which must not be changed afterwards.
func Restore(d *Dump) *State {
	s := New()
	s.version = d.Version
	s.now = d.Now
	s.compactedVersion = d.Version
	s.audit = d.Audit[:len(d.Audit):len(d.Audit)]
	for _, obj := range d.Objects {
		s.set(obj)
	}
	for _, c := range d.PoolChanges {
		s.capacity.pool(c.Pool).changedVersion = c.Version
	}
	s.changes.restore(d.Changes, d.ChangeHorizon)
	s.requests.restore(d.Requests)
	s.jobs = jobs.Restore(d.Jobs)
	return s
}

package state

import (
	"time"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/model"
)

// Dump is the whole state as plain values, from which a stored snapshot is
// encoded. It shares the immutable resources with the state. It does not include
// events: after a restore the event window is empty, and a watch from an earlier
// version is refused as compacted.
type Dump struct {
	Version uint64
	Now     time.Time
	// Objects is ordered by kind, as in model.Kinds, and name.
	Objects []model.Object
	Audit   []AuditEntry
	// Changes holds the results by change ID, oldest first.
	Changes []ChangeRecord
	// ChangeHorizon is the newest issue time of a dropped change ID, in Unix
	// nanoseconds.
	ChangeHorizon int64
	// PoolChanges is ordered by pool. It decides whether a PoolMark is accepted,
	// so it must be the same on every replica.
	PoolChanges []PoolChange
	// Requests is ordered by ID.
	Requests []RequestRecord
	Jobs     *jobs.Dump
}

// PoolChange is the version at which the membership of a pool or the health of
// one of its hosts last changed.
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

// Restore returns the state from which d was taken. The state takes ownership
// of the values of d, which must not be modified afterwards.
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

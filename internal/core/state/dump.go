package state

import (
	"slices"
	"time"

	"laburnumdock/internal/core/model"
)

// Dump is the whole state as values. Its objects are shared with the state and
// must not be modified.
type Dump struct {
	Version   uint64
	Now       time.Time
	Objects   []model.Object
	Events    []Event
	Compacted uint64
	Changes   []DumpedChange
	Horizon   time.Time
	Audit     []AuditEntry
}

// DumpedChange is one entry of the change ID table, the oldest first.
type DumpedChange struct {
	ID       string
	IssuedAt time.Time
	Result   Result
}

// Dump returns the whole state. The state may change afterwards; the dump does
// not.
func (s *State) Dump() *Dump {
	d := &Dump{
		Version: s.version, Now: s.now, Events: slices.Clone(s.events), Compacted: s.compacted,
		Horizon: s.changes.horizon, Audit: slices.Clone(s.audit),
	}
	for _, kind := range model.Kinds() {
		s.kinds[kind].Scan(func(_ string, obj model.Object) bool {
			d.Objects = append(d.Objects, obj)
			return true
		})
	}
	for _, id := range s.changes.order {
		d.Changes = append(d.Changes, DumpedChange{ID: id, IssuedAt: s.changes.issued[id], Result: s.changes.results[id]})
	}
	return d
}

// Restore is the inverse of Dump.
func Restore(d *Dump) *State {
	s := New()
	s.version, s.now, s.events, s.compacted = d.Version, d.Now, d.Events, d.Compacted
	s.audit = d.Audit
	for _, obj := range d.Objects {
		s.kinds[obj.Head().Kind].Set(obj.Head().Name, obj)
	}
	for _, c := range d.Changes {
		s.changes.results[c.ID] = c.Result
		s.changes.issued[c.ID] = c.IssuedAt
		s.changes.order = append(s.changes.order, c.ID)
	}
	s.changes.horizon = d.Horizon
	return s
}

package state

import (
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

// Snapshot is an immutable view of the state at one version. Any goroutine may
// read it.
type Snapshot struct {
	Version uint64
	Now     time.Time
	kinds   map[model.Kind]*objects
	events  []Event
	audit   []AuditEntry
	// compacted is the newest version whose events are gone.
	compacted uint64
}

// Snapshot returns a view of the current state. It costs a constant time: the
// trees are copied on the next write.
func (s *State) Snapshot() *Snapshot {
	snap := &Snapshot{
		Version: s.version, Now: s.now, events: s.events, audit: s.audit, compacted: s.compacted,
		kinds: make(map[model.Kind]*objects, len(s.kinds)),
	}
	for kind, tree := range s.kinds {
		snap.kinds[kind] = tree.Copy()
	}
	return snap
}

// Get returns a resource, or nil.
func (s *Snapshot) Get(key model.Key) model.Object {
	tree := s.kinds[key.Kind]
	if tree == nil {
		return nil
	}
	obj, _ := tree.Get(key.Name)
	return obj
}

// List returns the resources of a kind in the order of their names.
func (s *Snapshot) List(kind model.Kind) []model.Object {
	tree := s.kinds[kind]
	if tree == nil {
		return nil
	}
	list := make([]model.Object, 0, tree.Len())
	tree.Scan(func(_ string, obj model.Object) bool {
		list = append(list, obj)
		return true
	})
	return list
}

// EventsAfter returns the events after version, oldest first. It refuses a
// version whose next event may be gone.
func (s *Snapshot) EventsAfter(version uint64) ([]Event, *fault.Error) {
	if version < s.compacted {
		err := fault.New(fault.Compacted, "version %d is no longer kept, list again and watch from the version of the list", version)
		err.Current = s.compacted
		return nil, err
	}
	low, high := 0, len(s.events)
	for low < high {
		mid := (low + high) / 2
		if s.events[mid].Version <= version {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return s.events[low:], nil
}

// Audit returns the retained audit trail, oldest first.
func (s *Snapshot) Audit() []AuditEntry { return s.audit }

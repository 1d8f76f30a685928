package state

import (
	"sort"
	"time"

	"github.com/tidwall/btree"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/model"
)

// Snapshot is an immutable view of the state at one version. Any goroutine may
// read it.
type Snapshot struct {
	Version uint64
	Now     time.Time
	// JobConfig is the configuration of queues and pools, or nil.
	JobConfig *jobs.Config
	kinds     map[model.Kind]*objects
	// poolHosts is the number of hosts by pool.
	poolHosts *btree.Map[string, int]
	events    []Event
	audit     []AuditEntry
	// compacted is the newest version whose events are gone.
	compacted uint64
}

// Snapshot returns a view of the current state. It costs a constant time: the
// trees are copied on the next write.
func (s *State) Snapshot() *Snapshot {
	snap := &Snapshot{
		Version: s.version, Now: s.now, events: s.events, audit: s.audit, compacted: s.compacted,
		kinds: make(map[model.Kind]*objects, len(s.kinds)), poolHosts: s.poolHosts.Copy(), JobConfig: s.jobs.Config(),
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
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > version })
	return s.events[first:], nil
}

// Oldest returns the oldest version from which a watch can start.
func (s *Snapshot) OldestVersion() uint64 { return s.compacted }

// Audit returns the retained audit trail, oldest first.
func (s *Snapshot) Audit() []AuditEntry { return s.audit }

// HostsIn returns the number of hosts of a pool.
func (s *Snapshot) HostCount(pool string) int {
	count, _ := s.poolHosts.Get(pool)
	return count
}

// Evaluate returns the results that commands would have as the next ones, one
// after the other. It changes nothing, and any goroutine may call it. It costs
// one pass over all resources for the ledger.
func (s *Snapshot) DryRun(commands ...Command) []Result {
	scratch := New()
	scratch.version = s.Version
	scratch.now = s.Now
	for kind, tree := range s.kinds {
		scratch.kinds[kind] = forkTree(tree)
	}
	scratch.poolHosts = forkTree(s.poolHosts)
	scratch.rebuildLedger()
	scratch.evaluates = true
	results := make([]Result, 0, len(commands))
	for _, cmd := range commands {
		results = append(results, scratch.Apply(scratch.version+1, cmd))
	}
	return results
}

// forkTree returns a copy of a tree that other goroutines read meanwhile. Copy
// writes to the tree that it is called on, so it is called on a local value.
func forkTree[V any](tree *btree.Map[string, V]) *btree.Map[string, V] {
	local := *tree
	return local.Copy()
}

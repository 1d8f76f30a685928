package state

import (
	"iter"
	"slices"
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
	// JobConfig is the configuration of job queues and pools, or nil.
	JobConfig *jobs.Config
	// JobFormat is the format of the job records in use.
	JobFormat     int
	objectsByKind map[model.Kind]*objectTree
	// hostCounts is the number of hosts by pool.
	hostCounts *btree.Map[string, int]
	events     []Event
	audit      []AuditEntry
	// compactedVersion is the version of the newest dropped event.
	compactedVersion uint64
}

// Snapshot returns a view of the current state. It takes constant time, because
// the trees are copied on the next write.
func (s *State) Snapshot() *Snapshot {
	snap := &Snapshot{
		Version: s.version, Now: s.now, events: s.events, audit: s.audit, compactedVersion: s.compactedVersion,
		objectsByKind: make(map[model.Kind]*objectTree, len(s.objectsByKind)), hostCounts: s.hostCounts.Copy(), JobConfig: s.jobs.Config(), JobFormat: s.jobs.Format(),
	}
	for kind, tree := range s.objectsByKind {
		snap.objectsByKind[kind] = tree.Copy()
	}
	return snap
}

// Get returns a resource, or nil if it does not exist.
func (s *Snapshot) Get(key model.Key) model.Object {
	tree := s.objectsByKind[key.Kind]
	if tree == nil {
		return nil
	}
	obj, _ := tree.Get(key.Name)
	return obj
}

// List returns the resources of a kind, ordered by name.
func (s *Snapshot) List(kind model.Kind) []model.Object {
	tree := s.objectsByKind[kind]
	if tree == nil {
		return nil
	}
	return slices.AppendSeq(make([]model.Object, 0, tree.Len()), s.All(kind))
}

// All returns the same resources one at a time.
func (s *Snapshot) All(kind model.Kind) iter.Seq[model.Object] {
	return func(yield func(model.Object) bool) {
		if tree := s.objectsByKind[kind]; tree != nil {
			tree.Scan(func(_ string, obj model.Object) bool { return yield(obj) })
		}
	}
}

// EventsAfter returns the events after version, oldest first. It returns a
// Compacted error if events after version may have been dropped.
func (s *Snapshot) EventsAfter(version uint64) ([]Event, *fault.Error) {
	if version < s.compactedVersion {
		err := fault.New(fault.Compacted, "events after version %d are no longer kept; list again and watch from the version of the list", version)
		err.Current = s.compactedVersion
		return nil, err
	}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > version })
	return s.events[first:], nil
}

// OldestVersion returns the oldest version from which a watch can start.
func (s *Snapshot) OldestVersion() uint64 { return s.compactedVersion }

// Audit returns the retained audit trail, oldest first.
func (s *Snapshot) Audit() []AuditEntry { return s.audit }

// HostCount returns the number of hosts of a pool.
func (s *Snapshot) HostCount(pool string) int {
	count, _ := s.hostCounts.Get(pool)
	return count
}

// DryRun returns the results that the commands would have if they were applied
// next, in order. It changes nothing, and any goroutine may call it. It takes
// one pass over all resources to build the capacity index.
func (s *Snapshot) DryRun(commands ...Command) []Result {
	scratch := New()
	scratch.version = s.Version
	scratch.now = s.Now
	for kind, tree := range s.objectsByKind {
		scratch.objectsByKind[kind] = forkTree(tree)
	}
	scratch.hostCounts = forkTree(s.hostCounts)
	scratch.rebuildCapacityIndex()
	scratch.dryRun = true
	results := make([]Result, 0, len(commands))
	for _, cmd := range commands {
		results = append(results, scratch.Apply(scratch.version+1, cmd))
	}
	return results
}

// forkTree returns a copy of a tree that other goroutines may read at the same
// time. Copy writes to its receiver, so it is called on a local value.
func forkTree[V any](tree *btree.Map[string, V]) *btree.Map[string, V] {
	local := *tree
	return local.Copy()
}

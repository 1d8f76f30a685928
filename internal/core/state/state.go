package state

import (
	"sort"
	"time"

	"github.com/tidwall/btree"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/model"
)

// Retention limits, in number of entries.
const (
	// MaxEvents is the minimum number of events kept when old events are dropped.
	// They are dropped when there are twice as many.
	MaxEvents    = 10_000
	MaxChangeIDs = 100_000
	MaxAudit     = 50_000
)

type objectTree = btree.Map[string, model.Object]

// State is the replicated state. Only the control loop of a replica, which owns
// it, may access it. Invariants: version equals the index of the last applied
// entry; now never decreases; a stored object is never modified; hostCounts
// holds the number of hosts of each pool that has hosts.
type State struct {
	version       uint64
	now           time.Time
	objectsByKind map[model.Kind]*objectTree
	// hostCounts is the number of hosts by pool, derived from the hosts.
	hostCounts *btree.Map[string, int]
	events     []Event
	// compactedVersion is the version of the newest dropped event.
	compactedVersion uint64
	changes          changeTable
	audit            []AuditEntry
	requests         requestTable
	capacity         capacityIndex
	jobs             *jobs.State
	// dryRun is set when this state is a scratch copy that shares resources with
	// a snapshot.
	dryRun bool
}

// New returns an empty state.
func New() *State {
	s := &State{
		objectsByKind: make(map[model.Kind]*objectTree), hostCounts: &btree.Map[string, int]{},
		changes: newChangeTable(), requests: newRequestTable(), capacity: newCapacityIndex(), jobs: jobs.New(),
	}
	for _, kind := range model.Kinds() {
		s.objectsByKind[kind] = &objectTree{}
	}
	return s
}

// Version returns the index of the last applied entry.
func (s *State) Version() uint64 { return s.version }

// Now returns the replicated time.
func (s *State) Now() time.Time { return s.now }

// Get returns a resource, or nil if it does not exist.
func (s *State) Get(key model.Key) model.Object {
	tree := s.objectsByKind[key.Kind]
	if tree == nil {
		return nil
	}
	obj, _ := tree.Get(key.Name)
	return obj
}

// Apply executes the command of the log entry at index. If the index was
// already applied, it returns an error and changes nothing.
func (s *State) Apply(index uint64, cmd Command) Result {
	if index <= s.version {
		return Result{Version: s.version, Err: fault.New(fault.Internal, "index %d was already applied; the state is at index %d", index, s.version)}
	}
	s.version = index
	res := s.dispatch(cmd)
	if res.Version == 0 {
		res.Version = index
	}
	s.trimEvents()
	return res
}

// dispatch executes cmd at the current version.
func (s *State) dispatch(cmd Command) Result {
	switch c := cmd.(type) {
	case Put:
		s.advanceTime(c.Origin.Time)
		key := c.Object.Metadata().Key()
		return s.applyOnce(c.Origin, key, func() Result { return s.applyPut(c) })
	case Delete:
		s.advanceTime(c.Origin.Time)
		return s.applyOnce(c.Origin, c.Key, func() Result { return s.applyDelete(c) })
	case HostReport:
		s.advanceTime(c.Origin.Time)
		s.applyHostReport(c)
		return Result{}
	case HostStep:
		s.advanceTime(c.Origin.Time)
		return s.applyOnce(c.Origin, hostKey(c.Host), func() Result { return s.applyHostStep(c) })
	case WaveStep:
		s.advanceTime(c.Origin.Time)
		return s.applyOnce(c.Origin, model.Key{Kind: model.KindWave, Name: c.Wave}, func() Result { return s.applyWaveStep(c) })
	case TaskStep:
		s.advanceTime(c.Origin.Time)
		return s.applyOnce(c.Origin, model.Key{Kind: model.KindJob, Name: c.Job}, func() Result { return s.applyTaskStep(c) })
	case StatusStep:
		s.advanceTime(c.Origin.Time)
		s.applyStatusStep(c)
		return Result{}
	case RecordRequests:
		s.advanceTime(c.Origin.Time)
		return s.applyRecordRequests(c)
	case JobsStep:
		s.advanceTime(c.Origin.Time)
		return s.applyJobs(c)
	case Tick:
		s.advanceTime(c.Origin.Time)
		return Result{}
	}
	return Result{Err: fault.New(fault.Internal, "unknown command type %T", cmd)}
}

// Jobs returns the job records. Only the owner of the state may use them.
func (s *State) Jobs() *jobs.State { return s.jobs }

func (s *State) applyJobs(c JobsStep) Result {
	res := Result{Jobs: make([]*fault.Error, len(c.Commands))}
	for i, cmd := range c.Commands {
		res.Jobs[i] = s.jobs.Apply(cmd)
	}
	return res
}

// advanceTime moves the replicated time forward and expires requests. A time
// before the replicated time, from a leader whose clock was set back, does not
// move it back.
func (s *State) advanceTime(t time.Time) {
	// Every replica stores the same representation of the time, whether it
	// decoded the command or created it.
	if t = t.Round(0).UTC(); t.After(s.now) {
		s.now = t
	}
	s.requests.expire(s.now)
}

// store stores obj at the current version and emits an event.
func (s *State) store(obj model.Object) {
	meta := obj.Metadata()
	meta.Version = s.version
	meta.Modified = s.now
	s.set(obj)
	s.emit(Event{Version: s.version, Key: meta.Key(), Object: obj})
}

// set stores obj with its version unchanged and without an event.
func (s *State) set(obj model.Object) {
	meta := obj.Metadata()
	before, _ := s.objectsByKind[meta.Kind].Set(meta.Name, obj)
	s.adjustHostCount(before, -1)
	s.adjustHostCount(obj, 1)
	s.capacity.update(before, obj, s.version)
}

// remove deletes a resource and emits an event.
func (s *State) remove(key model.Key) {
	before, _ := s.objectsByKind[key.Kind].Delete(key.Name)
	s.adjustHostCount(before, -1)
	s.capacity.update(before, nil, s.version)
	s.emit(Event{Version: s.version, Key: key})
}

// adjustHostCount adds delta to the host count of the pool of obj if obj is a
// host.
func (s *State) adjustHostCount(obj model.Object, delta int) {
	host, ok := obj.(*model.Host)
	if !ok {
		return
	}
	count, _ := s.hostCounts.Get(host.Spec.Pool)
	if count += delta; count == 0 {
		s.hostCounts.Delete(host.Spec.Pool)
		return
	}
	s.hostCounts.Set(host.Spec.Pool, count)
}

func (s *State) emit(e Event) { s.events = append(s.events, e) }

// trimEvents bounds the event window. It drops either all events of a command
// or none, so that no watch resumes between two events of one command.
func (s *State) trimEvents() {
	if len(s.events) < 2*MaxEvents {
		return
	}
	oldestKept := s.events[len(s.events)-MaxEvents].Version
	dropped := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version >= oldestKept })
	if dropped == 0 {
		return
	}
	s.compactedVersion = s.events[dropped-1].Version
	s.events = append([]Event(nil), s.events[dropped:]...)
}

func (s *State) applyPut(c Put) Result {
	key := c.Object.Metadata().Key()
	if s.objectsByKind[key.Kind] == nil {
		return Result{Key: key, Err: fault.InvalidField("metadata.kind", "a kind of resource", "kind %q is not known", key.Kind)}
	}
	stored := s.Get(key)
	obj := c.Object.Clone()
	if c.Declared && stored != nil {
		keepProgress(obj, stored)
	}
	obj, err := s.prepare(obj, stored, c.Expected)
	if err != nil {
		s.recordAudit(c.Origin, "put", key, versionOf(stored), versionOf(stored), err)
		return Result{Key: key, Object: stored, Err: err}
	}
	if stored != nil && obj.SpecEqual(stored) {
		return Result{Key: key, Object: stored, Version: stored.Metadata().Version}
	}
	s.store(obj)
	s.recordAudit(c.Origin, "put", key, versionOf(stored), s.version, nil)
	return Result{Key: key, Object: obj}
}

// prepare returns obj in the form to be stored, or the error that rejects it.
func (s *State) prepare(obj, stored model.Object, expected uint64) (model.Object, *fault.Error) {
	meta := obj.Metadata()
	if err := checkVersion(meta.Key(), stored, expected); err != nil {
		return nil, err
	}
	copyStatus(obj, stored)
	obj.SetDefaults()
	if err := obj.Validate(); err != nil {
		return nil, fault.From(err)
	}
	if err := checkTransition(obj, stored); err != nil {
		return nil, err
	}
	if err := s.checkReferences(obj, stored); err != nil {
		return nil, err
	}
	meta.Created = s.now
	meta.Generation = 1
	if stored != nil {
		meta.Created = stored.Metadata().Created
		meta.Generation = stored.Metadata().Generation + 1
	}
	return obj, nil
}

// copyStatus replaces the status of obj with that of the stored resource. A new
// resource starts with an empty status, whatever the operator sent.
func copyStatus(obj, stored model.Object) {
	if stored == nil {
		stored = model.New(obj.Metadata().Kind)
	}
	obj.CopyStatusFrom(stored)
}

// versionOf returns the version of obj, or 0 for nil.
func versionOf(obj model.Object) uint64 {
	if obj == nil {
		return 0
	}
	return obj.Metadata().Version
}

// checkVersion returns a Conflict error unless stored has the expected version.
func checkVersion(key model.Key, stored model.Object, expected uint64) *fault.Error {
	current := versionOf(stored)
	if expected == AnyVersion || expected == current {
		return nil
	}
	err := fault.New(fault.Conflict, "%s %s has version %d, the change expects %d", key.Kind, key.Name, current, expected)
	err.Current = current
	return err
}

func (s *State) applyDelete(c Delete) Result {
	stored := s.Get(c.Key)
	if err := s.checkDelete(c, stored); err != nil {
		s.recordAudit(c.Origin, "delete", c.Key, versionOf(stored), versionOf(stored), err)
		return Result{Key: c.Key, Object: stored, Err: err}
	}
	s.remove(c.Key)
	s.recordAudit(c.Origin, "delete", c.Key, versionOf(stored), s.version, nil)
	return Result{Key: c.Key, Object: stored}
}

func (s *State) checkDelete(c Delete, stored model.Object) *fault.Error {
	if stored == nil {
		return fault.New(fault.NotFound, "%s %s does not exist", c.Key.Kind, c.Key.Name)
	}
	if err := checkVersion(c.Key, stored, c.Expected); err != nil {
		return err
	}
	return s.checkUnused(stored)
}

// needsNewVersion reports whether the change from stored to host must be
// visible to watchers and planners. Other reports keep the version: hosts report
// every few seconds, and each report would otherwise make an operator's step
// that expects a version fail.
func needsNewVersion(host, stored *model.Host) bool {
	return host.Status.Phase != model.HostActive ||
		host.Status.Health != stored.Status.Health || host.Status.BootID != stored.Status.BootID
}

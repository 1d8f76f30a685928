package state

import (
	"sort"
	"time"

	"github.com/tidwall/btree"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/model"
)

// Limits of what is retained.
const (
	MaxEvents    = 10_000
	MaxChangeIDs = 100_000
	MaxAudit     = 50_000
)

type objects = btree.Map[string, model.Object]

// State is the replicated state. The control loop of a replica owns it;
// nobody else touches it. Invariants: version equals the index of the last
// applied entry; now never goes back; a stored object is never modified;
// poolHosts holds the number of hosts of each pool that has hosts.
type State struct {
	version uint64
	now     time.Time
	kinds   map[model.Kind]*objects
	// poolHosts is derived from the hosts.
	poolHosts *btree.Map[string, int]
	events    []Event
	// compacted is the version of the newest event that was dropped.
	compacted uint64
	changes   changeTable
	audit     []AuditEntry
	requests  requestTable
	ledger    ledger
	jobs      *jobs.State
	// evaluates tells that this state is a scratch copy which shares resources
	// with a snapshot.
	evaluates bool
}

// New returns an empty state.
func New() *State {
	s := &State{
		kinds: make(map[model.Kind]*objects), poolHosts: &btree.Map[string, int]{},
		changes: newChangeTable(), requests: newRequestTable(), ledger: newLedger(), jobs: jobs.New(),
	}
	for _, kind := range model.Kinds() {
		s.kinds[kind] = &objects{}
	}
	return s
}

// Version returns the index of the last applied entry.
func (s *State) Version() uint64 { return s.version }

// Now returns the replicated time.
func (s *State) Now() time.Time { return s.now }

// Get returns a resource, or nil.
func (s *State) Get(key model.Key) model.Object {
	tree := s.kinds[key.Kind]
	if tree == nil {
		return nil
	}
	obj, _ := tree.Get(key.Name)
	return obj
}

// Apply carries out the command of the log entry at index. An index that was
// applied before is refused and changes nothing.
func (s *State) Apply(index uint64, cmd Command) Result {
	if index <= s.version {
		return Result{Version: s.version, Err: fault.New(fault.Internal, "index %d was applied before, the state is at %d", index, s.version)}
	}
	s.version = index
	res := s.dispatch(cmd)
	if res.Version == 0 {
		res.Version = index
	}
	s.trimEvents()
	return res
}

func (s *State) dispatch(cmd Command) Result {
	switch c := cmd.(type) {
	case Put:
		s.advance(c.Origin.Time)
		key := c.Object.Metadata().Key()
		return s.idempotent(c.Origin, key, func() Result { return s.applyPut(c) })
	case Delete:
		s.advance(c.Origin.Time)
		return s.idempotent(c.Origin, c.Key, func() Result { return s.applyDelete(c) })
	case HostReport:
		s.advance(c.Origin.Time)
		s.applyHostReport(c)
		return Result{}
	case HostStep:
		s.advance(c.Origin.Time)
		return s.idempotent(c.Origin, hostKey(c.Host), func() Result { return s.applyHostStep(c) })
	case WaveStep:
		s.advance(c.Origin.Time)
		return s.idempotent(c.Origin, model.Key{Kind: model.KindWave, Name: c.Wave}, func() Result { return s.applyWaveStep(c) })
	case TaskStep:
		s.advance(c.Origin.Time)
		return s.idempotent(c.Origin, model.Key{Kind: model.KindJob, Name: c.Job}, func() Result { return s.applyTaskStep(c) })
	case StatusStep:
		s.advance(c.Origin.Time)
		s.applyStatusStep(c)
		return Result{}
	case RecordRequests:
		s.advance(c.Origin.Time)
		return s.applyRecordRequests(c)
	case JobsStep:
		s.advance(c.Origin.Time)
		return s.applyJobs(c)
	case Tick:
		s.advance(c.Origin.Time)
		return Result{}
	}
	return Result{Err: fault.New(fault.Internal, "command %T is not known", cmd)}
}

// Jobs returns the records of jobs. Only the owner of the state may use them.
func (s *State) Jobs() *jobs.State { return s.jobs }

func (s *State) applyJobs(c JobsStep) Result {
	res := Result{Jobs: make([]*fault.Error, len(c.Commands))}
	for i, cmd := range c.Commands {
		res.Jobs[i] = s.jobs.Apply(cmd)
	}
	return res
}

// advance moves the replicated time forward and drops what has expired. A
// leader with a clock that jumped back does not take the state back with it.
func (s *State) advance(t time.Time) {
	// Every replica keeps the same form of the time, whether it decoded the
	// command or made it.
	if t = t.Round(0).UTC(); t.After(s.now) {
		s.now = t
	}
	s.requests.expire(s.now)
}

// store puts obj into the state under the current version.
func (s *State) store(obj model.Object) {
	head := obj.Metadata()
	head.Version = s.version
	head.Modified = s.now
	s.set(obj)
	s.emit(Event{Version: s.version, Key: head.Key(), Object: obj})
}

// set puts obj into the state as it is.
func (s *State) set(obj model.Object) {
	head := obj.Metadata()
	before, _ := s.kinds[head.Kind].Set(head.Name, obj)
	s.countHost(before, -1)
	s.countHost(obj, 1)
	s.ledger.replace(before, obj, s.version)
}

func (s *State) remove(key model.Key) {
	before, _ := s.kinds[key.Kind].Delete(key.Name)
	s.countHost(before, -1)
	s.ledger.replace(before, nil, s.version)
	s.emit(Event{Version: s.version, Key: key})
}

func (s *State) countHost(obj model.Object, by int) {
	host, ok := obj.(*model.Host)
	if !ok {
		return
	}
	count, _ := s.poolHosts.Get(host.Spec.Pool)
	if count += by; count == 0 {
		s.poolHosts.Delete(host.Spec.Pool)
		return
	}
	s.poolHosts.Set(host.Spec.Pool, count)
}

func (s *State) emit(e Event) { s.events = append(s.events, e) }

// trimEvents bounds the window. It drops whole commands alone, so that no
// watch resumes between two events of one command.
func (s *State) trimEvents() {
	if len(s.events) < 2*MaxEvents {
		return
	}
	oldestKept := s.events[len(s.events)-MaxEvents].Version
	drop := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version >= oldestKept })
	if drop == 0 {
		return
	}
	s.compacted = s.events[drop-1].Version
	s.events = append([]Event(nil), s.events[drop:]...)
}

func (s *State) applyPut(c Put) Result {
	key := c.Object.Metadata().Key()
	if s.kinds[key.Kind] == nil {
		return Result{Key: key, Err: fault.InvalidField("metadata.kind", "a kind of resource", "kind %q is not known", key.Kind)}
	}
	stored := s.Get(key)
	obj := c.Object.Clone()
	if c.Declared && stored != nil {
		keepProgress(obj, stored)
	}
	obj, err := s.prepare(obj, stored, c.Expected)
	if err != nil {
		s.record(c.Origin, "put", key, versionOf(stored), versionOf(stored), err)
		return Result{Key: key, Object: stored, Err: err}
	}
	if stored != nil && obj.SpecEqual(stored) {
		return Result{Key: key, Object: stored, Version: stored.Metadata().Version}
	}
	s.store(obj)
	s.record(c.Origin, "put", key, versionOf(stored), s.version, nil)
	return Result{Key: key, Object: obj}
}

// prepare returns obj as it is to be stored, or the reason to refuse it.
func (s *State) prepare(obj, stored model.Object, expected uint64) (model.Object, *fault.Error) {
	head := obj.Metadata()
	if err := checkVersion(head.Key(), stored, expected); err != nil {
		return nil, err
	}
	keepStatus(obj, stored)
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
	head.Created = s.now
	head.Generation = 1
	if stored != nil {
		head.Created = stored.Metadata().Created
		head.Generation = stored.Metadata().Generation + 1
	}
	return obj, nil
}

// keepStatus takes the status from the stored resource. A new resource starts
// with an empty status, whatever the operator sent.
func keepStatus(obj, stored model.Object) {
	if stored == nil {
		stored = model.New(obj.Metadata().Kind)
	}
	obj.CopyStatusFrom(stored)
}

func versionOf(obj model.Object) uint64 {
	if obj == nil {
		return 0
	}
	return obj.Metadata().Version
}

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
		s.record(c.Origin, "delete", c.Key, versionOf(stored), versionOf(stored), err)
		return Result{Key: c.Key, Object: stored, Err: err}
	}
	s.remove(c.Key)
	s.record(c.Origin, "delete", c.Key, versionOf(stored), s.version, nil)
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

// isNewsOf tells whether watchers and planners must see a report as a change.
// Other reports keep the version: hosts report every few seconds, and an
// operator's step that expects a version would lose against every report.
func isNewsOf(host, stored *model.Host) bool {
	return host.Status.Phase != model.HostActive ||
		host.Status.Health != stored.Status.Health || host.Status.BootID != stored.Status.BootID
}

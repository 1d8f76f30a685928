package state

import (
	"time"

	"github.com/tidwall/btree"

	"laburnumdock/internal/core/fault"
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
// applied entry; now never goes back; a stored object is never modified.
type State struct {
	version uint64
	now     time.Time
	kinds   map[model.Kind]*objects
	events  []Event
	// compacted is the version of the newest event that was dropped.
	compacted uint64
	changes   changeTable
	audit     []AuditEntry
	ledger    ledger
}

// New returns an empty state.
func New() *State {
	s := &State{kinds: make(map[model.Kind]*objects), changes: newChangeTable(), ledger: newLedger()}
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

// Apply carries out the command of the log entry at index.
func (s *State) Apply(index uint64, cmd Command) Result {
	s.version = index
	var res Result
	switch c := cmd.(type) {
	case Put:
		s.advance(c.Origin.Time)
		res = s.idempotent(c.Origin, func() Result { return s.applyPut(c) })
	case Delete:
		s.advance(c.Origin.Time)
		res = s.idempotent(c.Origin, func() Result { return s.applyDelete(c) })
	case HostReport:
		s.advance(c.Origin.Time)
		s.applyHostReport(c)
	case HostStep:
		s.advance(c.Origin.Time)
		res = s.idempotent(c.Origin, func() Result { return s.applyHostStep(c) })
	case WaveStep:
		s.advance(c.Origin.Time)
		res = s.idempotent(c.Origin, func() Result { return s.applyWaveStep(c) })
	case TaskStep:
		s.advance(c.Origin.Time)
		res = s.idempotent(c.Origin, func() Result { return s.applyTaskStep(c) })
	case StatusStep:
		s.advance(c.Origin.Time)
		s.applyStatusStep(c)
	case Tick:
		s.advance(c.Origin.Time)
	default:
		res.Err = fault.New(fault.Internal, "command %T is not known", cmd)
	}
	if res.Version == 0 {
		res.Version = index
	}
	return res
}

// advance moves the replicated time forward. A leader with a clock that jumped
// back does not take the state back with it.
func (s *State) advance(t time.Time) {
	if t.After(s.now) {
		s.now = t
	}
}

// store puts obj into the state under the current version.
func (s *State) store(obj model.Object) {
	head := obj.Head()
	head.Version = s.version
	head.Modified = s.now
	s.ledger.replace(s.Get(head.Key()), obj, s.version)
	s.kinds[head.Kind].Set(head.Name, obj)
	s.emit(Event{Version: s.version, Key: head.Key(), Object: obj})
}

func (s *State) remove(key model.Key) {
	s.ledger.replace(s.Get(key), nil, s.version)
	s.kinds[key.Kind].Delete(key.Name)
	s.emit(Event{Version: s.version, Key: key})
}

func (s *State) emit(e Event) {
	s.events = append(s.events, e)
	if len(s.events) < 2*MaxEvents {
		return
	}
	drop := len(s.events) - MaxEvents
	s.compacted = s.events[drop-1].Version
	s.events = append([]Event(nil), s.events[drop:]...)
}

func (s *State) record(o Origin, action string, key model.Key, old, version uint64, err *fault.Error) {
	outcome := "ok"
	if err != nil {
		outcome = string(err.Kind)
	}
	s.audit = append(s.audit, AuditEntry{
		Version: s.version, Time: s.now, Actor: o.Actor, Source: o.Source, Action: action,
		Kind: key.Kind, Name: key.Name, OldVersion: old, NewVersion: version,
		Outcome: outcome, ChangeID: o.ChangeID,
	})
	if len(s.audit) >= 2*MaxAudit {
		s.audit = append([]AuditEntry(nil), s.audit[len(s.audit)-MaxAudit:]...)
	}
}

func (s *State) applyPut(c Put) Result {
	obj := c.Object.Clone()
	key := obj.Head().Key()
	stored := s.Get(key)
	obj, err := s.prepare(obj, stored, c.Expected)
	if err != nil {
		s.record(c.Origin, "put", key, versionOf(stored), versionOf(stored), err)
		return Result{Object: stored, Err: err}
	}
	if stored != nil && obj.SpecEqual(stored) {
		return Result{Object: stored, Version: stored.Head().Version}
	}
	s.store(obj)
	s.record(c.Origin, "put", key, versionOf(stored), s.version, nil)
	return Result{Object: obj}
}

// prepare returns obj as it is to be stored, or the reason to refuse it.
func (s *State) prepare(obj, stored model.Object, expected uint64) (model.Object, *fault.Error) {
	head := obj.Head()
	if err := checkVersion(head.Key(), stored, expected); err != nil {
		return nil, err
	}
	obj.SetDefaults()
	if err := obj.Validate(); err != nil {
		return nil, fault.From(err)
	}
	if err := s.checkReferences(obj, stored); err != nil {
		return nil, err
	}
	if stored == nil {
		head.Created = s.now
		head.Generation = 1
		return obj, nil
	}
	head.Created = stored.Head().Created
	head.Generation = stored.Head().Generation + 1
	obj.KeepStatus(stored)
	return obj, nil
}

func versionOf(obj model.Object) uint64 {
	if obj == nil {
		return 0
	}
	return obj.Head().Version
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
	err := s.checkDelete(c, stored)
	if err != nil {
		s.record(c.Origin, "delete", c.Key, versionOf(stored), versionOf(stored), err)
		return Result{Object: stored, Err: err}
	}
	s.remove(c.Key)
	s.record(c.Origin, "delete", c.Key, versionOf(stored), s.version, nil)
	return Result{Object: stored}
}

func (s *State) checkDelete(c Delete, stored model.Object) *fault.Error {
	if stored == nil {
		return fault.New(fault.NotFound, "%s %s does not exist", c.Key.Kind, c.Key.Name)
	}
	return checkVersion(c.Key, stored, c.Expected)
}

// checkReferences refuses a resource that names another that does not exist.
func (s *State) checkReferences(obj, stored model.Object) *fault.Error {
	switch o := obj.(type) {
	case *model.Host:
		if before, ok := stored.(*model.Host); ok && before.Spec.Pool != o.Spec.Pool {
			return fault.Field("spec.pool", "the current pool, "+before.Spec.Pool, "a host changes its pool by a move, not by a put")
		}
		return s.needPool("spec.pool", o.Spec.Pool)
	case *model.Job:
		return s.needPool("spec.pool", o.Spec.Pool)
	case *model.Budget:
		return s.needPool("spec.pool", o.Spec.Pool)
	case *model.Wave:
		for _, pool := range o.Spec.Pools {
			if err := s.needPool("spec.pools", pool); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *State) needPool(field, name string) *fault.Error {
	if s.Get(model.Key{Kind: model.KindPool, Name: name}) == nil {
		return fault.Field(field, "an existing pool", "pool %s does not exist", name)
	}
	return nil
}

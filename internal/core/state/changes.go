package state

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

const (
	// MaxChangeIDBytes bounds the memory of the change ID table.
	MaxChangeIDBytes = 64
	// MaxIssuedAhead is how far the clock of a client may be ahead of the
	// replicated time. Without this bound one wrong clock would move the
	// horizon into the future, and every later change would be refused.
	MaxClientClockSkew = time.Minute
)

// ChangeRecord is what is kept of a change by its ID: its result without the
// resource, which may be large.
type ChangeRecord struct {
	ID string
	// Issued is the time at which the client made the ID, in Unix nanoseconds.
	Issued  int64
	Digest  uint64
	Version uint64
	Err     *fault.Error
}

// changeOutcome is a ChangeRecord without its ID, which is the key of the
// table. The table is the largest part of a small state.
type changeOutcome struct {
	issued  int64
	digest  uint64
	version uint64
	err     *fault.Error
}

// changeTable remembers the results of changes by their ID. Invariant: order
// holds exactly the keys of records, oldest first.
type changeTable struct {
	records map[string]changeOutcome
	order   []string
	// horizon is the newest issue time of a dropped ID. An ID issued at or
	// before it may have been dropped, so it is refused.
	horizon int64
	limit   int
}

func newChangeTable() changeTable {
	return changeTable{records: make(map[string]changeOutcome), limit: MaxChangeIDs}
}

// idempotent runs apply once per change ID and gives the first result to every
// repetition. A refusal of the ID itself is not recorded under it.
func (s *State) idempotent(o Origin, key model.Key, apply func() Result) Result {
	if o.ChangeID == "" {
		res := apply()
		res.Key = key
		return res
	}
	digest := changeDigest(o, key)
	if first, ok := s.changes.records[o.ChangeID]; ok {
		return s.replay(first, digest, o, key)
	}
	if err := s.checkChangeID(o); err != nil {
		return Result{Key: key, Err: err}
	}
	res := apply()
	res.Key = key
	if res.Version == 0 {
		res.Version = s.version
	}
	s.changes.add(ChangeRecord{ID: o.ChangeID, Issued: o.IssuedAt.UnixNano(), Digest: digest, Version: res.Version, Err: res.Err})
	return res
}

// changeDigest tells two changes under one ID apart. It detects a mistake of a
// client, so 64 bits are enough.
func changeDigest(o Origin, key model.Key) uint64 {
	return o.Digest ^ xxhash.Sum64String(string(key.Kind)+"/"+key.Name)
}

func (s *State) replay(first changeOutcome, digest uint64, o Origin, key model.Key) Result {
	if first.digest != digest {
		return Result{Key: key, Err: fault.New(fault.ChangeIDReused, "change ID %s belongs to another change", o.ChangeID)}
	}
	res := Result{Version: first.version, Key: key, Err: first.err, Replayed: true}
	if stored := s.Get(key); versionOf(stored) == first.version && stored != nil {
		res.Object = stored
	}
	return res
}

func (s *State) checkChangeID(o Origin) *fault.Error {
	if len(o.ChangeID) > MaxChangeIDBytes {
		return fault.InvalidField("changeID", "1 to 64 bytes", "change ID has %d bytes", len(o.ChangeID))
	}
	if o.IssuedAt.After(s.now.Add(MaxClientClockSkew)) {
		return fault.InvalidField("issuedAt", "at most 1 minute ahead of the control replicas", "change ID was issued at %s, it is %s",
			o.IssuedAt.UTC().Format(time.RFC3339), s.now.Format(time.RFC3339))
	}
	if o.IssuedAt.UnixNano() <= s.changes.horizon {
		return fault.New(fault.ChangeIDExpired, "change ID %s was issued at %s, IDs up to %s are no longer kept",
			o.ChangeID, o.IssuedAt.UTC().Format(time.RFC3339Nano), time.Unix(0, s.changes.horizon).UTC().Format(time.RFC3339Nano))
	}
	return nil
}

func (t *changeTable) add(r ChangeRecord) {
	t.records[r.ID] = changeOutcome{issued: r.Issued, digest: r.Digest, version: r.Version, err: r.Err}
	t.order = append(t.order, r.ID)
	for len(t.order) > t.limit {
		oldest := t.order[0]
		t.order = t.order[1:]
		t.horizon = max(t.horizon, t.records[oldest].issued)
		delete(t.records, oldest)
	}
}

// dump returns the records, oldest first.
func (t *changeTable) dump() []ChangeRecord {
	list := make([]ChangeRecord, 0, len(t.order))
	for _, id := range t.order {
		r := t.records[id]
		list = append(list, ChangeRecord{ID: id, Issued: r.issued, Digest: r.digest, Version: r.version, Err: r.err})
	}
	return list
}

// restore fills an empty table.
func (t *changeTable) restore(list []ChangeRecord, horizon int64) {
	t.horizon = horizon
	for _, r := range list {
		t.add(r)
	}
}

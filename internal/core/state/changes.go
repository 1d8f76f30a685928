package state

import (
	"time"

	"laburnumdock/internal/core/fault"
)

// changeTable remembers the results of changes by their ID. Invariant: order
// holds exactly the keys of results, oldest first.
type changeTable struct {
	results map[string]Result
	order   []string
	// horizon is the newest issue time of a dropped ID. An ID issued at or
	// before it may have been dropped, so it is refused.
	horizon time.Time
	issued  map[string]time.Time
}

func newChangeTable() changeTable {
	return changeTable{results: make(map[string]Result), issued: make(map[string]time.Time)}
}

// idempotent runs apply once per change ID and gives the first result to every
// repetition.
func (s *State) idempotent(o Origin, apply func() Result) Result {
	if o.ChangeID == "" {
		return apply()
	}
	if first, ok := s.changes.results[o.ChangeID]; ok {
		first.Replayed = true
		return first
	}
	if !o.IssuedAt.After(s.changes.horizon) {
		return Result{Err: fault.New(fault.ChangeIDExpired, "change ID %s was issued at %s, IDs up to %s are no longer kept",
			o.ChangeID, o.IssuedAt.Format(time.RFC3339), s.changes.horizon.Format(time.RFC3339))}
	}
	res := apply()
	if res.Version == 0 {
		res.Version = s.version
	}
	s.changes.add(o, res)
	return res
}

func (t *changeTable) add(o Origin, res Result) {
	t.results[o.ChangeID] = res
	t.issued[o.ChangeID] = o.IssuedAt
	t.order = append(t.order, o.ChangeID)
	if len(t.order) <= MaxChangeIDs {
		return
	}
	oldest := t.order[0]
	t.order = t.order[1:]
	if issued := t.issued[oldest]; issued.After(t.horizon) {
		t.horizon = issued
	}
	delete(t.results, oldest)
	delete(t.issued, oldest)
}

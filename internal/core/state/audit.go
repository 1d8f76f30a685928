package state

import (
	"sort"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

const (
	// auditTrimSlack is the number of entries above MaxAudit at which the trail
	// is trimmed, so that trimming copies the trail only once per that many
	// entries.
	auditTrimSlack = MaxAudit / 8
	// auditRepeatWindow is the maximum age of an equal refusal that suppresses a
	// new one. A planner that retries a rejected step on every pass would
	// otherwise fill the trail.
	auditRepeatWindow = time.Minute
	// auditRepeatDepth is the maximum number of entries searched for an equal
	// refusal.
	auditRepeatDepth = 64
)

// recordAudit appends an entry to the audit trail. A refusal without a change
// ID, such as that of an internal step, is omitted if it repeats a recent one.
func (s *State) recordAudit(o Origin, action string, key model.Key, old, version uint64, err *fault.Error) {
	outcome := "ok"
	if err != nil {
		outcome = string(err.Kind)
	}
	entry := AuditEntry{
		Version: s.version, Time: s.now, Actor: o.Actor, Source: o.Source, Action: action,
		Kind: key.Kind, Name: key.Name, OldVersion: old, NewVersion: version,
		Outcome: outcome, ChangeID: o.ChangeID,
	}
	if err != nil && o.ChangeID == "" && s.isRepeatedRefusal(entry) {
		return
	}
	s.audit = append(s.audit, entry)
	if len(s.audit) >= MaxAudit+auditTrimSlack {
		s.audit = append([]AuditEntry(nil), s.audit[len(s.audit)-MaxAudit:]...)
	}
}

// isRepeatedRefusal reports whether the latest recent entry of the same resource
// has the same actor, action and outcome as e.
func (s *State) isRepeatedRefusal(e AuditEntry) bool {
	for i := len(s.audit) - 1; i >= max(0, len(s.audit)-auditRepeatDepth); i-- {
		old := s.audit[i]
		if e.Time.Sub(old.Time) > auditRepeatWindow {
			return false
		}
		if old.Kind != e.Kind || old.Name != e.Name {
			continue
		}
		return old.Actor == e.Actor && old.Action == e.Action && old.Outcome == e.Outcome
	}
	return false
}

// AuditQuery selects entries of the audit trail.
type AuditQuery struct {
	// Since is the version after which entries are selected.
	Since uint64
	// Kind and Name select the entries of a kind and a name; empty selects all.
	Kind model.Kind
	Name string
	// Limit is the number of entries after which the result ends at the next
	// version.
	Limit int
}

// VisitAudit passes the entries that q selects to visit, oldest first, until visit returns
// false. more reports whether entries were left out because of Limit.
func (s *Snapshot) VisitAudit(q AuditQuery, visit func(AuditEntry) bool) (more bool) {
	start := sort.Search(len(s.audit), func(i int) bool { return s.audit[i].Version > q.Since })
	n, last := 0, uint64(0)
	for _, e := range s.audit[start:] {
		if q.Kind != "" && e.Kind != q.Kind || q.Name != "" && e.Name != q.Name {
			continue
		}
		// All entries of a version are passed together, so that the next query can continue
		// after the version of the last entry.
		if n >= q.Limit && e.Version != last {
			return true
		}
		n, last = n+1, e.Version
		if !visit(e) {
			return false
		}
	}
	return false
}

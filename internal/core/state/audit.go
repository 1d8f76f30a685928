package state

import (
	"sort"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

const (
	// auditSlack is how far the trail grows over MaxAudit before it is cut, so
	// that the copy of a cut is paid once in that many entries.
	auditTrimSlack = MaxAudit / 8
	// repeatWindow and repeatDepth bound the search for an equal refusal: a
	// planner that retries a refused step on every pass would else fill the
	// trail.
	auditRepeatWindow = time.Minute
	auditRepeatDepth  = 64
)

// record adds one line to the audit trail. A refusal without a change ID, as
// the system's own steps have, is left out if an equal one is recent.
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
	// Since is the version after which entries are wanted.
	Since uint64
	// Kind and Name filter if they are not empty.
	Kind model.Kind
	Name string
	// Limit bounds the number of entries.
	Limit int
}

// AuditAfter returns the entries that q selects, oldest first, and whether
// Limit left some out.
func (s *Snapshot) AuditAfter(q AuditQuery) (entries []AuditEntry, more bool) {
	start := sort.Search(len(s.audit), func(i int) bool { return s.audit[i].Version > q.Since })
	for _, e := range s.audit[start:] {
		if q.Kind != "" && e.Kind != q.Kind || q.Name != "" && e.Name != q.Name {
			continue
		}
		// Entries of one version stay together, so that the next query may go
		// on after the version of the last entry.
		if len(entries) >= q.Limit && e.Version != entries[len(entries)-1].Version {
			return entries, true
		}
		entries = append(entries, e)
	}
	return entries, false
}

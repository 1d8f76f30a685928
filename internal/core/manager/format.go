package manager

import (
	"slices"
	"strings"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
)

// FormatQuery asks every member of the cell for the newest format of the records that it
// reads. Each query gets exactly one answer by HandleFormats, unless the manager is replaced
// first.
type FormatQuery struct {
	ID uint64
}

// MemberFormat is the newest format that a member of the cell reads.
type MemberFormat struct {
	// Replica is the name of the member for operators.
	Replica string
	IsVoter bool
	// Newest is 0 if the member has not answered.
	Newest int
}

// formatCheck is the state of the question whether the members read a newer format.
// Invariants: at most one query is open; there are waiting requests only while one is.
type formatCheck struct {
	lastQuery uint64
	isOpen    bool
	// format is the highest one that the waiting requests need.
	format  int
	waiting []Request
	// proposed is the newest format that this leader has proposed, or 0.
	proposed int
}

// newestFormat returns the format that will be in use once all proposals of this leader are
// applied.
func (m *Manager) newestFormat() int { return max(m.state.Format(), m.formats.proposed) }

// awaitFormat keeps a configuration until the members have answered which formats they read.
func (m *Manager) awaitFormat(req Request, format int) {
	f := &m.formats
	f.waiting = append(f.waiting, req)
	f.format = max(f.format, format)
	if f.isOpen {
		return
	}
	f.lastQuery++
	f.isOpen = true
	m.out.FormatQuery = &FormatQuery{ID: f.lastQuery}
}

// HandleFormats processes the answers of all members to a FormatQuery. If they read the
// format, it is recorded ahead of the waiting configurations. Otherwise these are refused;
// the operator sends them again.
func (m *Manager) HandleFormats(query uint64, members []MemberFormat, _ time.Time) {
	f := &m.formats
	if !f.isOpen || query != f.lastQuery {
		return
	}
	waiting, format := f.waiting, f.format
	f.isOpen, f.waiting, f.format = false, nil, 0
	missing := membersWithout(members, format)
	if !slices.ContainsFunc(members, func(r MemberFormat) bool { return r.IsVoter }) {
		missing = append(missing, "all replicas")
	}
	if len(missing) > 0 {
		for _, req := range waiting {
			m.reply(Reply{ID: req.ID, Kind: ReplyUnavailable, Missing: missing})
		}
		m.logEvent(Event{Kind: EventFormatNotRead, Run: format, Reason: strings.Join(missing, ", ")})
		return
	}
	f.proposed = format
	m.propose(jobs.Command{SetFormat: &jobs.SetFormat{Format: format}})
	for _, req := range waiting {
		m.handleConfigure(req)
	}
}

// membersWithout returns the members that keep the format from being used: every voter that
// has not confirmed that it reads it, and every learner that reads a lower one only. A
// learner that does not answer is checked before it votes.
func membersWithout(members []MemberFormat, format int) []string {
	var missing []string
	for _, r := range members {
		if r.Newest < format && (r.IsVoter || r.Newest > 0) {
			missing = append(missing, r.Replica)
		}
	}
	slices.Sort(missing)
	return missing
}

func (m *Manager) formatRaised(f *jobs.SetFormat) {
	m.logEvent(Event{Kind: EventFormatRaised, Run: f.Format})
}

// configurationRefused answers the requests for a configuration that the records refused,
// because an earlier leader has proposed it without raising the format.
func (m *Manager) configurationRefused(c *jobs.Config, err *fault.Error) {
	m.replyAll(m.configureRequests[c.Version], Reply{Kind: ReplyUnavailable})
	delete(m.configureRequests, c.Version)
	if m.proposedConfig != nil && m.proposedConfig.Version == c.Version {
		m.proposedConfig = nil
	}
	m.logEvent(Event{Kind: EventRequestRefused, Reason: err.Message})
}

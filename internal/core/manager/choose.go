package manager

import (
	"time"

	"laburnumdock/internal/core/jobs"
)

// This file holds the reasons for which executors are excluded and preferred. The passes
// that decide and those that explain a decision use the same functions: a decision takes
// the best executor without a reason against it, and an explanation notes the reasons.

// exclusion is a reason why an executor cannot run a task now.
type exclusion uint8

const (
	exclusionNone exclusion = iota
	// The following concern the executor, whatever the task.
	exclusionUnconfirmed
	exclusionDraining
	exclusionSilent
	exclusionReserved
	exclusionDistrusted
	exclusionCapacityUnknown
	exclusionHostLeaving
	// The following concern the task.
	exclusionKeptApart
	exclusionLabel
	exclusionCapacity
	exclusionRefusedCapacity
	exclusionNoTicket
	exclusionMaxPerExecutor
	exclusionLeaves
	exclusionAvoided
	exclusionOtherRack
	exclusionUnproven
)

// String returns the name used in explanations.
func (e exclusion) String() string {
	names := [...]string{
		"none", "has_not_answered_this_leader", "draining", "silent", "reserved_for_planned_action", "distrusted", "capacity_unknown",
		"host_is_leaving", "kept_apart_for_suspect_task", "label", "capacity", "refused_for_capacity", "no_ticket_of_advisor",
		"max_tasks_per_executor", "leaves_before_end", "avoided_after_failure", "other_rack_than_gang", "unproven_runs_beside_suspect_task",
	}
	if int(e) < len(names) {
		return names[e]
	}
	return names[0]
}

// exclusionOf returns why no new run may be placed on an executor, or exclusionNone.
func (m *Manager) exclusionOf(s *session, now time.Time) exclusion {
	switch {
	case !s.confirmed || s.ended:
		return exclusionUnconfirmed
	case s.draining:
		return exclusionDraining
	case s.failures > 0:
		return exclusionSilent
	case s.reservedFor != actionNone:
		return exclusionReserved
	case !s.health.isTrusted(now):
		return exclusionDistrusted
	case !m.knowsCapacity(s, now):
		return exclusionCapacityUnknown
	case m.mayBeEvicted(s):
		return exclusionHostLeaving
	default:
		return exclusionNone
	}
}

// criterion is that by which one executor is better for a task than another.
type criterion uint8

const (
	criterionNone criterion = iota
	criterionDataRack
	criterionRackNotWanted
	criterionLongRunning
	criterionStays
	criterionLeastFree
	criterionLosesLess
)

// String returns the name used in explanations.
func (c criterion) String() string {
	names := [...]string{"equal", "rack_of_data", "rack_not_wanted", "has_long_running_tasks", "stays", "least_free_cpu", "loses_least_in_crash"}
	if int(c) < len(names) {
		return names[c]
	}
	return names[0]
}

func criterionIf(isBetter bool, c criterion) criterion {
	if isBetter {
		return c
	}
	return criterionNone
}

// choice is the search for the executor of one task.
type choice struct {
	// isBetter returns by what a is better than b, or criterionNone.
	isBetter func(a, b *session) criterion
	best     *session
	// notes is nil unless the search is explained.
	notes *choiceNotes
}

// newChoice begins the search for the executor of a task of the step.
func (p *pass) newChoice(j *job, ref jobs.TaskRef, step *jobs.Step) *choice {
	return &choice{
		isBetter: func(a, b *session) criterion { return p.preference(a, b, j, step) },
		notes:    p.plan.notesFor(j, ref),
	}
}

// consider takes the executor if nothing is against it and it is better than the best one
// so far.
func (c *choice) consider(s *session, reason exclusion) {
	isBest := reason == exclusionNone && (c.best == nil || c.isBetter(s, c.best) != criterionNone)
	if c.notes != nil {
		c.notes.note(s, reason)
	}
	if isBest {
		c.best = s
	}
	if c.notes != nil {
		c.notes.best, c.notes.isBetter = c.best, c.isBetter
	}
}

// The following return the use of an executor, with what the pass plans to start there.

func (p *pass) free(s *session) jobs.Resources {
	if p.plan == nil {
		return s.free()
	}
	return s.free().Minus(p.plan.uses[s].allocated)
}

func (p *pass) longRunning(s *session) int {
	if p.plan == nil {
		return s.longRunning
	}
	return s.longRunning + p.plan.uses[s].longRunning
}

func (p *pass) unproven(s *session) int {
	if p.plan == nil {
		return s.unproven
	}
	return s.unproven + p.plan.uses[s].runs
}

func (p *pass) suspects(s *session) int {
	if p.plan == nil {
		return s.suspects
	}
	return s.suspects + p.plan.uses[s].suspects
}

func (p *pass) runCount(s *session) int {
	if p.plan == nil {
		return len(s.runs)
	}
	return len(s.runs) + p.plan.uses[s].runs
}

// countOn returns the number of runs of a task's step on an executor.
func (p *pass) countOn(j *job, s *session, ref jobs.TaskRef) int {
	count := j.countOn(s, ref)
	if p.plan != nil {
		count += p.plan.onStep[stepOn{stepOf(ref), s}]
	}
	return count
}

// Package fleet decides on planned stops, maintenance waves and moves between
// pools. It computes a plan from a snapshot; Apply checks every step again, so
// a late or wrong plan cannot break a budget.
package fleet

import (
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Actor is the actor of the planner's commands in the audit trail.
const Actor = "planner"

// DefaultSlotsPerHost is the number of requests that the executor of a host
// serves at a time.
const DefaultSlotsPerHost = 8

// Load is the demand of one service on one entry host since its last report.
type Load struct {
	EntryHost string
	Service   string
	// Queued and InFlight are the requests that wait and that are at endpoints.
	Queued, InFlight int
	// Arrived is the number of requests that arrived within Interval.
	Arrived  int
	Interval time.Duration
	Observed time.Time
}

// Input is what a plan needs besides the snapshot.
type Input struct {
	// Loads are the reports since the last plan.
	Loads []Load
	// Demand is the memory of earlier reports; nil starts with an empty one.
	Demand *Demand
	// Unserved are the hosts that Unserved found in the newest listing.
	StillDraining map[string]bool
	// SlotsPerHost is the capacity of a host; 0 means DefaultSlotsPerHost.
	SlotsPerHost int
}

// Wait says why one host is left out of a plan, or waits within a stop.
type Wait struct {
	Host    string
	Pool    string
	Wave    string
	Reason  model.Reason
	Message string
}

// PoolWait says why a pool gets no host, or returns none.
type PoolWait struct {
	Pool    string
	Reason  model.Reason
	Message string
}

// Result is a plan. Commands are to be proposed in order.
type Result struct {
	Commands []state.Command
	// Waits has one entry for each host that was looked at and left out.
	Waits []Wait
	// PoolWaits has one entry for each pool whose move was left out.
	PoolWaits []PoolWait
	// Next is the first time at which the plan may change without an event.
	Next time.Time
}

// Plan computes the whole plan from a snapshot.
func Plan(snap *state.Snapshot, in Input, now time.Time) Result {
	pl := NewPlanner(in.Demand)
	pl.Sync(snap)
	return pl.Plan(in, now)
}

// earliest returns the earlier of two times; the zero time means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

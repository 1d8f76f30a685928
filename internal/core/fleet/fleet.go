// Package fleet plans the planned stops of hosts, maintenance waves and moves
// between pools. It computes a plan from a snapshot. State.Apply checks every step
// again, so that an outdated or wrong plan cannot break a budget.
package fleet

import (
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Actor is the actor of the planner's commands in the audit trail.
const Actor = "planner"

// DefaultSlotsPerHost is the default number of requests that the executor of a host
// serves concurrently.
const DefaultSlotsPerHost = 8

// Load is the report of one entry host on the demand of one service.
type Load struct {
	EntryHost string
	Service   string
	// Queued is the number of waiting requests, InFlight that of requests at
	// endpoints.
	Queued, InFlight int
	// Arrived is the number of requests that arrived within Interval.
	Arrived  int
	Interval time.Duration
	// Observed is when the entry host took the sample.
	Observed time.Time
}

// Input is the input of a plan besides the snapshot.
type Input struct {
	// Loads are the load reports since the last plan.
	Loads []Load
	// Demand is the demand smoothed from earlier reports. The function Plan uses
	// it, with an empty one for nil; a Planner keeps its own.
	Demand *Demand
	// StillDraining are the hosts that the function StillDraining returned for the
	// newest listing.
	StillDraining map[string]bool
	// SlotsPerHost is the capacity of a host in concurrent requests. With 0 the
	// planner keeps its value, initially DefaultSlotsPerHost.
	SlotsPerHost int
}

// Wait is the reason why a plan leaves a host out, or why a planned stop waits.
type Wait struct {
	Host    string
	Pool    string
	Wave    string
	Reason  model.Reason
	Message string
}

// PoolWait is the reason why a pool gets no host or returns none.
type PoolWait struct {
	Pool    string
	Reason  model.Reason
	Message string
}

// Result is a plan. The commands must be proposed in order.
type Result struct {
	Commands []state.Command
	// Waits has one entry for each waiting host of the pools that were planned.
	Waits []Wait
	// PoolWaits has one entry for each move of a host that was left out, by pool.
	PoolWaits []PoolWait
	// Next is the earliest time at which the plan may change without an event.
	Next time.Time
}

// Plan computes a full plan from a snapshot with a new planner.
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

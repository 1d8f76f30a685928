package controller

import (
	"context"
	"time"

	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/sched"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/logevent"
)

// callKey identifies a platform call. Exactly one of its fields is set.
type callKey struct {
	host fleet.Action
	task sched.Action
}

// platformCall is a queued platform call, or one that has ended with err.
type platformCall struct {
	key callKey
	err error
}

// loop is the state of the control loop. It is owned by the goroutine of runLoop.
// Invariant: inFlight holds the calls that are queued or being executed, and
// those that ended after the newest listing was requested.
type loop struct {
	*Controller
	planner      *fleet.Planner
	drainTracker *fleet.DrainTracker
	scheduler    *sched.Scheduler
	demand       *fleet.Demand
	leading      bool
	pendingLoads []fleet.Load
	lastListing  listing
	taskReports  []sched.Report
	// inFlight holds the time at which each call ended, or the zero time if it has
	// not ended.
	inFlight map[callKey]time.Time
	// nextPlan is when the next round is due, or zero if none is.
	nextPlan     time.Time
	lastFullPlan time.Time
	// lastPass is when the scheduler last ran, and scheduledVersion is the state
	// version after that pass.
	lastPass         time.Time
	scheduledVersion uint64
}

// runLoop is the control loop. It waits for a change, a listing, load reports, the
// result of a call or a timeout, and then runs a round.
func (c *Controller) runLoop(ctx context.Context) error {
	l := &loop{Controller: c, inFlight: make(map[callKey]time.Time)}
	timer := time.NewTimer(c.cfg.Interval)
	defer timer.Stop()
	for {
		changed := c.cfg.Backend.Changed()
		l.runRound(ctx)
		gap := time.NewTimer(minPlanGap)
		select {
		case <-ctx.Done():
			gap.Stop()
			return nil
		case <-gap.C:
		}
		timer.Reset(l.maxWait())
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-changed:
		case answer := <-c.listings:
			l.handleListing(answer)
		case loads := <-c.loads:
			l.pendingLoads = append(l.pendingLoads, loads...)
		case done := <-c.results:
			l.handleResult(done)
		case call := <-c.explains:
			l.explain(call)
		}
		l.drainQueues()
	}
}

// maxWait returns the longest time for which the loop may wait for an event.
func (l *loop) maxWait() time.Duration {
	if l.nextPlan.IsZero() {
		return l.cfg.Interval
	}
	return min(max(l.nextPlan.Sub(l.now()), minPlanGap), l.cfg.Interval)
}

// drainQueues handles all queued events, so that one plan covers them.
func (l *loop) drainQueues() {
	for {
		select {
		case answer := <-l.listings:
			l.handleListing(answer)
		case loads := <-l.loads:
			l.pendingLoads = append(l.pendingLoads, loads...)
		case done := <-l.results:
			l.handleResult(done)
		case call := <-l.explains:
			l.explain(call)
		default:
			return
		}
	}
}

func (l *loop) handleListing(answer listing) {
	if answer.err != nil {
		l.metrics.failed.Inc(1)
		l.cfg.Log.Err(logevent.PlatformFailed, answer.err, nil)
		return
	}
	l.lastListing = answer
	for key, done := range l.inFlight {
		if !done.IsZero() && !done.After(answer.requestedAt) {
			delete(l.inFlight, key)
		}
	}
	for _, task := range answer.ListedTasks() {
		l.taskReports = append(l.taskReports, task.Report)
	}
}

// handleResult records the end of a call. A failed call is repeated if it is
// still needed according to the next listing.
func (l *loop) handleResult(done platformCall) {
	l.inFlight[done.key] = l.cfg.Backend.Now()
	if done.err != nil {
		l.metrics.failed.Inc(1)
		l.cfg.Log.Err(logevent.PlatformFailed, done.err, logevent.Fields{"host": done.key.host.Host + done.key.task.Host})
		return
	}
	l.requestListing()
}

// now returns the time for commands: the replica's time, but never earlier than
// the replicated time.
func (l *loop) now() time.Time {
	now := l.cfg.Backend.Now()
	if replicated := l.cfg.Backend.Snapshot().Now; replicated.After(now) {
		return replicated
	}
	return now
}

// runRound reports health, plans, schedules, and queues platform calls for what
// is committed. It does nothing unless the replica is the leader.
func (l *loop) runRound(ctx context.Context) {
	if !l.cfg.Backend.IsLeader() {
		l.leading = false
		return
	}
	if !l.leading {
		l.becomeLeader()
	}
	l.reportHealth(ctx)
	l.plan(ctx)
	l.schedule(ctx)
	l.queueActions()
}

// becomeLeader resets the state of the loop, because state from an earlier term
// may be outdated.
func (l *loop) becomeLeader() {
	l.leading = true
	l.demand = fleet.NewDemand()
	l.planner = fleet.NewPlanner(l.demand)
	l.drainTracker = fleet.NewDrainTracker()
	l.scheduler = sched.New()
	l.lastListing = listing{}
	l.taskReports = nil
	l.pendingLoads = nil
	clear(l.inFlight)
	l.requestListing()
}

// reportHealth updates the replicated health from the newest listing. An outdated
// listing is ignored: the replicated health expires by itself, and no log entry
// per host is written while the platform is unreachable.
func (l *loop) reportHealth(ctx context.Context) {
	if l.lastListing.requestedAt.IsZero() || l.now().Sub(l.lastListing.requestedAt) >= state.MaxHealthAge {
		return
	}
	snap := l.cfg.Backend.Snapshot()
	observations := l.drainTracker.Observations(snap, l.lastListing.Machines(l.lastListing.requestedAt))
	if r, ok := fleet.Report(snap, observations, l.now()); ok {
		l.propose(ctx, r)
	}
}

func (l *loop) plan(ctx context.Context) {
	snap, now := l.cfg.Backend.Snapshot(), l.now()
	if now.Sub(l.lastFullPlan) >= fullPlanInterval {
		l.lastFullPlan = now
		l.planner.Invalidate()
	}
	started := time.Now()
	l.planner.Sync(snap)
	result := l.planner.Plan(fleet.Input{
		Loads: l.pendingLoads, StillDraining: fleet.StillDraining(snap, l.lastListing.Machines(l.lastListing.requestedAt)), SlotsPerHost: l.cfg.SlotsPerHost,
	}, now)
	l.metrics.plan.UpdateSince(started)
	l.pendingLoads = nil
	l.nextPlan = result.Next
	if !l.proposeAll(ctx, result.Commands) {
		l.planner.Invalidate()
	}
}

// schedule runs the scheduler if there are new reports, the state has changed, or
// the interval has passed. A pass visits every task, so there is a minimum gap
// between passes; two passes still fit into the time bound of urgent work.
func (l *loop) schedule(ctx context.Context) {
	now := l.now()
	if len(l.taskReports) == 0 && l.cfg.Backend.Snapshot().Version == l.scheduledVersion && now.Sub(l.lastPass) < l.cfg.Interval {
		return
	}
	if due := l.lastPass.Add(minPassGap); now.Before(due) {
		if l.nextPlan.IsZero() || due.Before(l.nextPlan) {
			l.nextPlan = due
		}
		return
	}
	l.lastPass = now
	started := time.Now()
	result := l.scheduler.Plan(l.cfg.Backend.Snapshot(), sched.Input{Reports: l.taskReports}, l.now())
	l.metrics.pass.UpdateSince(started)
	l.taskReports = nil
	l.proposeAll(ctx, result.Commands)
	l.scheduledVersion = l.cfg.Backend.Snapshot().Version
}

// proposeAll proposes commands in order and reports whether all got a result. It
// stops at the first proposal without one; the remaining commands are planned
// again.
func (l *loop) proposeAll(ctx context.Context, commands []state.Command) bool {
	for _, cmd := range commands {
		if !l.propose(ctx, cmd) {
			return false
		}
	}
	return true
}

// propose proposes a command and reports whether it got a result, which may be a
// refusal.
func (l *loop) propose(ctx context.Context, cmd state.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	l.metrics.proposed.Inc(1)
	res, err := l.cfg.Backend.Propose(ctx, cmd)
	if err != nil {
		return false
	}
	if res.Err != nil {
		l.metrics.refused.Inc(1)
		// A refusal is normal: the state has changed since the plan, and the
		// planner will plan the pool again.
		l.cfg.Log.Log(logevent.StepProposed, logevent.Fields{"refused": res.Err.Error()})
	}
	return true
}

// queueActions queues the platform calls that the committed state requires.
// Snapshots contain committed state only, so no call precedes the commit of its
// decision.
func (l *loop) queueActions() {
	if l.lastListing.requestedAt.IsZero() {
		return
	}
	snap := l.cfg.Backend.Snapshot()
	for _, a := range fleet.Actions(snap, l.lastListing.Machines(l.lastListing.requestedAt)) {
		l.queueCall(callKey{host: a})
	}
	for _, a := range sched.Actions(snap, l.lastListing.ListedTasks(), l.now()) {
		l.queueCall(callKey{task: a})
	}
}

// queueCall queues a call for the workers unless it is in flight. If the queue is
// full, the call is dropped and the next round queues it.
func (l *loop) queueCall(key callKey) {
	if _, ok := l.inFlight[key]; ok {
		return
	}
	select {
	case l.calls <- platformCall{key: key}:
		l.inFlight[key] = time.Time{}
	default:
	}
}

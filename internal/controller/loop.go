package controller

import (
	"context"
	"time"

	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/sched"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/logevent"
)

// callKey identifies a call; one of its parts is set.
type callKey struct {
	host fleet.Action
	task sched.Action
}

type call struct {
	key callKey
	err error
}

// loop is the state of the control loop. The goroutine of run owns it.
// Invariant: underWay has the calls that wait or are being made, and those made
// after the newest listing was asked for.
type loop struct {
	*Controller
	planner   *fleet.Planner
	drains    *fleet.DrainTracker
	scheduler *sched.Scheduler
	demand    *fleet.Demand
	leading   bool
	loads     []fleet.Load
	last      listing
	reports   []sched.Report
	// underWay has the time at which a call was answered, or the zero time.
	underWay map[callKey]time.Time
	next     time.Time
	full     time.Time
	// passed is when the scheduler last ran, and scheduled the version that it
	// left.
	passed    time.Time
	scheduled uint64
}

// run is the control loop: wait for a change, a listing or the time, then
// report, plan, propose, and call the platform for what is committed.
func (c *Controller) run(ctx context.Context) error {
	l := &loop{Controller: c, underWay: make(map[callKey]time.Time)}
	timer := time.NewTimer(c.cfg.Interval)
	defer timer.Stop()
	for {
		changed := c.cfg.Backend.Changed()
		l.turn(ctx)
		gap := time.NewTimer(minGap)
		select {
		case <-ctx.Done():
			gap.Stop()
			return nil
		case <-gap.C:
		}
		timer.Reset(l.pause())
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-changed:
		case answer := <-c.listings:
			l.takeListing(answer)
		case loads := <-c.loads:
			l.loads = append(l.loads, loads...)
		case done := <-c.results:
			l.takeResult(done)
		}
		l.drain()
	}
}

// pause returns how long the loop may wait for an event.
func (l *loop) pause() time.Duration {
	if l.next.IsZero() {
		return l.cfg.Interval
	}
	return min(max(l.next.Sub(l.now()), minGap), l.cfg.Interval)
}

// drain takes what has queued up, so that one plan covers it.
func (l *loop) drain() {
	for {
		select {
		case answer := <-l.listings:
			l.takeListing(answer)
		case loads := <-l.Controller.loads:
			l.loads = append(l.loads, loads...)
		case done := <-l.results:
			l.takeResult(done)
		default:
			return
		}
	}
}

func (l *loop) takeListing(answer listing) {
	if answer.err != nil {
		l.meters.failed.Inc(1)
		l.cfg.Log.Err(logevent.PlatformFailed, answer.err, nil)
		return
	}
	l.last = answer
	for key, done := range l.underWay {
		if !done.IsZero() && !done.After(answer.asked) {
			delete(l.underWay, key)
		}
	}
	for _, task := range answer.ListedTasks() {
		l.reports = append(l.reports, task.Report)
	}
}

// takeResult notes the end of a call. A failed one is made again if the next
// listing still asks for it.
func (l *loop) takeResult(done call) {
	l.underWay[done.key] = l.cfg.Backend.Now()
	if done.err != nil {
		l.meters.failed.Inc(1)
		l.cfg.Log.Err(logevent.PlatformFailed, done.err, logevent.Fields{"host": done.key.host.Host + done.key.task.Host})
		return
	}
	l.askAgain()
}

// now is the time of commands: the replica's, but never before the replicated
// time.
func (l *loop) now() time.Time {
	now := l.cfg.Backend.Now()
	if replicated := l.cfg.Backend.Snapshot().Now; replicated.After(now) {
		return replicated
	}
	return now
}

// turn is one decision round.
func (l *loop) turn(ctx context.Context) {
	if !l.cfg.Backend.IsLeader() {
		l.leading = false
		return
	}
	if !l.leading {
		l.lead()
	}
	l.report(ctx)
	l.plan(ctx)
	l.schedule(ctx)
	l.act()
}

// lead starts with an empty memory: what a former term knew may be old.
func (l *loop) lead() {
	l.leading = true
	l.demand = fleet.NewDemand()
	l.planner = fleet.NewPlanner(l.demand)
	l.drains = fleet.NewDrainTracker()
	l.scheduler = sched.New()
	l.last = listing{}
	l.reports = nil
	l.loads = nil
	clear(l.underWay)
	l.askAgain()
}

// report brings the replicated health up to date with the newest listing.
// A listing that is old as a whole says nothing: the marks run out by
// themselves, and no entry per host is written while the platform is away.
func (l *loop) report(ctx context.Context) {
	if l.last.asked.IsZero() || l.now().Sub(l.last.asked) >= state.MaxHealthAge {
		return
	}
	snap := l.cfg.Backend.Snapshot()
	observations := l.drains.Observations(snap, l.last.Machines(l.last.asked))
	if r, ok := fleet.Report(snap, observations, l.now()); ok {
		l.propose(ctx, r)
	}
}

func (l *loop) plan(ctx context.Context) {
	snap, now := l.cfg.Backend.Snapshot(), l.now()
	if now.Sub(l.full) >= fullPlanInterval {
		l.full = now
		l.planner.Invalidate()
	}
	started := time.Now()
	l.planner.Sync(snap)
	result := l.planner.Plan(fleet.Input{
		Loads: l.loads, StillDraining: fleet.StillDraining(snap, l.last.Machines(l.last.asked)), SlotsPerHost: l.cfg.SlotsPerHost,
	}, now)
	l.meters.plan.UpdateSince(started)
	l.loads = nil
	l.next = result.Next
	if !l.proposeAll(ctx, result.Commands) {
		l.planner.Invalidate()
	}
}

// schedule runs the scheduler if there is news for it. A pass looks at every
// task, so passes keep a gap; two of them still fit into the bound of urgent work.
func (l *loop) schedule(ctx context.Context) {
	now := l.now()
	if len(l.reports) == 0 && l.cfg.Backend.Snapshot().Version == l.scheduled && now.Sub(l.passed) < l.cfg.Interval {
		return
	}
	if due := l.passed.Add(passGap); now.Before(due) {
		if l.next.IsZero() || due.Before(l.next) {
			l.next = due
		}
		return
	}
	l.passed = now
	started := time.Now()
	result := l.scheduler.Plan(l.cfg.Backend.Snapshot(), sched.Input{Reports: l.reports}, l.now())
	l.meters.pass.UpdateSince(started)
	l.reports = nil
	l.proposeAll(ctx, result.Commands)
	l.scheduled = l.cfg.Backend.Snapshot().Version
}

// proposeAll proposes commands in order and tells whether all were answered. It
// stops at a proposal without an answer: the rest is planned again.
func (l *loop) proposeAll(ctx context.Context, commands []state.Command) bool {
	for _, cmd := range commands {
		if !l.propose(ctx, cmd) {
			return false
		}
	}
	return true
}

func (l *loop) propose(ctx context.Context, cmd state.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	l.meters.proposed.Inc(1)
	res, err := l.cfg.Backend.Propose(ctx, cmd)
	if err != nil {
		return false
	}
	if res.Err != nil {
		l.meters.refused.Inc(1)
		// A refusal is ordinary: the state has moved on, and the planner looks
		// at the pool again.
		l.cfg.Log.Log(logevent.StepProposed, logevent.Fields{"refused": res.Err.Error()})
	}
	return true
}

// act queues the calls that the committed state asks for. The snapshot has only
// what is committed, so no call comes before its decision.
func (l *loop) act() {
	if l.last.asked.IsZero() {
		return
	}
	snap := l.cfg.Backend.Snapshot()
	for _, a := range fleet.Actions(snap, l.last.Machines(l.last.asked)) {
		l.queue(callKey{host: a})
	}
	for _, a := range sched.Actions(snap, l.last.ListedTasks(), l.now()) {
		l.queue(callKey{task: a})
	}
}

// queue hands a call to the callers. A full queue drops it; the next turn asks
// for it again.
func (l *loop) queue(key callKey) {
	if _, ok := l.underWay[key]; ok {
		return
	}
	select {
	case l.calls <- call{key: key}:
		l.underWay[key] = time.Time{}
	default:
	}
}

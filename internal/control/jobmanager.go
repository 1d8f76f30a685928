package control

import (
	"time"

	"laburnumdock/internal/boottime"
	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/permit"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/logevent"
)

// JobManager makes the decisions of the leader on jobs. All methods are called by
// the goroutine of the control loop, and none may block.
type JobManager interface {
	// StartLeading starts the leadership of this replica in a term. The records
	// include everything that earlier leaders committed. After that they change
	// only by the commands passed to HandleApplied.
	StartLeading(term uint64, records *jobs.State, now time.Time)
	// StopLeading ends the leadership of this replica.
	StopLeading()
	// HandleEvent handles an event that another goroutine queued with Post.
	HandleEvent(event any, now time.Time)
	// HandleApplied handles a command that was committed and applied, and the error
	// with which it was refused, if any.
	HandleApplied(cmd jobs.Command, err *fault.Error, now time.Time)
	// Step returns the commands to propose.
	Step(now time.Time) []jobs.Command
	// Flush carries out the effects of committed commands. No order may leave this
	// host from leaseEnd on, a time since boot on the clock of boottime.
	Flush(now time.Time, leaseEnd time.Duration)
}

// jobEvent is an event for the job manager.
type jobEvent struct{ event any }

func (e jobEvent) handle(l *loop) {
	if l.r.cfg.JobManager != nil {
		l.r.cfg.JobManager.HandleEvent(e.event, time.Now())
	}
}

// refuse drops the event because the replica has failed or is stopping and the job
// manager no longer leads. If the event has a Refuse method, because a caller waits
// for its answer, that is called.
func (e jobEvent) refuse(err error) {
	if refuser, ok := e.event.(interface{ Refuse(err error) }); ok {
		refuser.Refuse(err)
	}
}

// Post queues an event for the job manager and reports whether it did. It waits
// while the queue is full, and returns false once the replica has stopped.
func (r *Replica) Post(event any) bool {
	select {
	case r.events <- jobEvent{event}:
		return true
	case <-r.done:
		return false
	}
}

// confirmIntervalTicks is the number of ticks between two requests to a quorum to
// confirm the leader. With the default tick it is the heartbeat interval of 100 ms,
// and the confirmation replaces the heartbeat.
const confirmIntervalTicks = 2

// leaseFraction is the length of the leader's lease as a fraction of the election
// timeout. Voters that have confirmed a leader elect no other within an election
// timeout; the remainder allows for clock drift.
const leaseFraction = 0.9

// leadership is the state of the job manager's leadership and of the leader lease.
// Invariants: the job manager leads only while active is set; effects are carried
// out only while the lease is valid.
type leadership struct {
	active bool
	// term is the newest term in which the job manager led. It leads at most once
	// per term, because its orders could not be distinguished from those of an
	// earlier leadership in the same term.
	term uint64
	// confirmToken is the token of the newest read that requests a confirmation and
	// sentAt the time at which it was sent. confirmedAt is the time at which the
	// newest confirmed read was sent. Both times include time in suspension: a
	// leader that was suspended must notice that its lease has expired before it
	// acts.
	confirmToken uint64
	sentAt       time.Duration
	confirmedAt  time.Duration
	ticks        int
}

// leaseEnd returns the time since boot up to which it is certain that no other
// leader has been elected, or 0.
func (l *loop) leaseEnd() time.Duration {
	if !l.leadership.active || l.leadership.confirmedAt == 0 {
		return 0
	}
	return l.leadership.confirmedAt + time.Duration(leaseFraction*float64(l.r.cfg.ElectionTicks)*float64(l.r.cfg.Tick))
}

// requestConfirmation requests a confirmation of leadership by a quorum every
// confirmIntervalTicks ticks.
func (l *loop) requestConfirmation() {
	ls := &l.leadership
	if l.r.cfg.JobManager == nil || l.node.Role() != raft.Leader {
		return
	}
	if ls.ticks++; ls.ticks%confirmIntervalTicks != 0 {
		return
	}
	l.readToken++
	if err := l.node.ReadIndex(l.readToken); err != nil {
		return
	}
	ls.confirmToken, ls.sentAt = l.readToken, boottime.Now()
}

// handleConfirmation renews the lease if res confirms leadership. It reports
// whether res is the result of the newest request for a confirmation.
func (l *loop) handleConfirmation(res raft.ReadResult) bool {
	if res.Token != l.leadership.confirmToken {
		return false
	}
	if res.Err == nil {
		l.leadership.confirmedAt = l.leadership.sentAt
	}
	return true
}

// stepJobManager proposes the commands of the job manager and has it carry out the
// effects of committed commands.
func (l *loop) stepJobManager() {
	manager := l.r.cfg.JobManager
	if manager == nil {
		return
	}
	l.updateLeadership()
	if !l.leadership.active {
		return
	}
	if commands := manager.Step(time.Now()); len(commands) > 0 {
		l.proposeJobCommands(commands)
		l.processReady()
		l.updateLeadership()
	}
	if end := l.leaseEnd(); permit.IsValid(end, boottime.Now()) {
		manager.Flush(time.Now(), end)
	}
}

// updateLeadership starts or stops the job manager after a change of leadership. The
// manager stops when a transfer begins: the target may lead before this replica
// learns of it, and before the lease has expired.
func (l *loop) updateLeadership() {
	ls := &l.leadership
	isLeader := l.node.Role() == raft.Leader && !l.node.IsTransferring() && l.failed == nil && !l.stopping
	switch {
	case ls.active && (!isLeader || ls.term != l.node.Term()):
		ls.active = false
		l.r.cfg.JobManager.StopLeading()
		l.r.cfg.Log.Log(logevent.LeadershipEnded, logevent.Fields{"term": ls.term})
	case !ls.active && isLeader && ls.term == l.node.Term():
		l.node.StepDown()
	case !ls.active && isLeader && l.node.HasCommittedInTerm():
		*ls = leadership{active: true, term: l.node.Term(), ticks: ls.ticks, confirmToken: ls.confirmToken, sentAt: ls.sentAt, confirmedAt: ls.confirmedAt}
		l.r.cfg.JobManager.StartLeading(ls.term, l.state.Jobs(), time.Now())
		l.r.cfg.Log.Log(logevent.LeadershipBegan, logevent.Fields{"term": ls.term, "applied": l.applied})
	}
}

// proposeJobCommands proposes a batch of commands. An error means that leadership
// is being lost or that the log is full. The job manager relies on every command
// being proposed, so it then stops leading, and this replica steps down unless it
// is already transferring leadership.
func (l *loop) proposeJobCommands(commands []jobs.Command) {
	data, err := codec.EncodeCommand(state.JobsStep{Origin: state.Origin{Actor: "system", Source: "leader", Time: l.r.Now()}, Commands: commands})
	if err == nil {
		_, _, err = l.node.Propose(data)
	}
	if err == nil {
		return
	}
	l.r.cfg.Log.Err(logevent.LeadershipEnded, err, logevent.Fields{"term": l.leadership.term, "commands": len(commands)})
	l.leadership.active = false
	l.r.cfg.JobManager.StopLeading()
}

// notifyApplied passes the applied commands of an entry to the job manager.
func (l *loop) notifyApplied(cmd state.JobsStep, res state.Result) {
	if !l.leadership.active {
		return
	}
	now := time.Now()
	for i, c := range cmd.Commands {
		l.r.cfg.JobManager.HandleApplied(c, res.Jobs[i], now)
	}
}

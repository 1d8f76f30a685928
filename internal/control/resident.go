package control

import (
	"time"

	"golang.org/x/sys/unix"

	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/logevent"
)

// Resident makes the leader's decisions on jobs. It lives in the control loop:
// all methods are called by the goroutine of the loop, and none may block.
type JobManager interface {
	// Lead begins the leadership of a term. Everything that earlier leaders
	// committed is applied to the records, which only change by Applied.
	StartLeading(term uint64, records *jobs.State, now time.Time)
	// Resign ends it.
	StopLeading()
	// Take handles an event of a traffic goroutine, which Post has queued.
	HandleEvent(event any, now time.Time)
	// Applied tells that a command was committed and applied.
	HandleApplied(cmd jobs.Command, err *fault.Error, now time.Time)
	// Step returns the commands to propose.
	Step(now time.Time) []jobs.Command
	// Flush carries out the effects of what was committed.
	Flush(now time.Time)
}

// posted is an event for the resident.
type posted struct{ event any }

func (p posted) handle(l *loop) {
	if l.r.cfg.JobManager != nil {
		l.r.cfg.JobManager.HandleEvent(p.event, time.Now())
	}
}

// refuse drops the event: the replica has failed or is stopping, and the
// resident has resigned. An event that somebody waits for is told so.
func (p posted) refuse(err error) {
	if e, ok := p.event.(interface{ Refuse(err error) }); ok {
		e.Refuse(err)
	}
}

// Post queues an event for the resident. It waits while the queue is full and
// returns false once the replica has stopped.
func (r *Replica) Post(event any) bool {
	select {
	case r.events <- posted{event}:
		return true
	case <-r.done:
		return false
	}
}

// confirmEvery is the number of ticks between two confirmations by a quorum
// that the leader still leads. With the default tick it is the heartbeat's
// interval of 100 ms, and the confirmation takes the heartbeat's place.
const confirmEvery = 2

// leaseShare is the share of an election timeout for which a confirmation by
// a quorum holds: voters that have confirmed a leader elect no other one within
// an election timeout. The rest covers the drift of the clocks.
const leaseShare = 0.9

// office is the leader's time in office as the loop sees it. Invariants: the
// resident leads only while active; effects are carried out only while the
// lease holds.
type office struct {
	active bool
	// term is that of the newest office. No second one begins in a term: its
	// orders could not be told from those of the first.
	term uint64
	// token is the read that asks for a confirmation, sentAt when it was sent
	// and confirmedAt when the newest confirmed one was sent, both on the clock
	// that counts suspended time.
	token       uint64
	sentAt      time.Duration
	confirmedAt time.Duration
	ticks       int
}

// bootTime is the time since the host started, with the time that it was
// suspended: a process that was frozen must find out before it acts.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

// holdsLease tells whether no other leader can have been elected yet.
func (l *loop) holdsLease() bool {
	length := time.Duration(leaseShare * float64(l.r.cfg.ElectionTicks) * float64(l.r.cfg.Tick))
	return l.office.active && l.office.confirmedAt > 0 && bootTime()-l.office.confirmedAt < length
}

// confirm asks for a confirmation of leadership every few ticks.
func (l *loop) confirm() {
	o := &l.office
	if l.r.cfg.JobManager == nil || l.node.Role() != raft.Leader {
		return
	}
	if o.ticks++; o.ticks%confirmEvery != 0 {
		return
	}
	l.readToken++
	if err := l.node.ReadIndex(l.readToken); err != nil {
		return
	}
	o.token, o.sentAt = l.readToken, bootTime()
}

// confirmed takes the answer to a confirmation and tells whether it was one.
func (l *loop) confirmed(res raft.ReadResult) bool {
	if res.Token != l.office.token {
		return false
	}
	if res.Err == nil {
		l.office.confirmedAt = l.office.sentAt
	}
	return true
}

// stepResident lets the resident decide, proposes what it wants recorded and
// carries out the effects of what is committed.
func (l *loop) stepResident() {
	resident := l.r.cfg.JobManager
	if resident == nil {
		return
	}
	l.checkOffice()
	if !l.office.active {
		return
	}
	if commands := resident.Step(time.Now()); len(commands) > 0 {
		l.proposeJobs(commands)
		l.process()
		l.checkOffice()
	}
	if l.holdsLease() {
		resident.Flush(time.Now())
	}
}

// checkOffice follows the changes of leadership.
func (l *loop) checkOffice() {
	o := &l.office
	leads := l.node.Role() == raft.Leader && l.failed == nil && !l.stopping
	switch {
	case o.active && (!leads || o.term != l.node.Term()):
		o.active = false
		l.r.cfg.JobManager.StopLeading()
		l.r.cfg.Log.Log(logevent.OfficeEnded, logevent.Fields{"term": o.term})
	case !o.active && leads && o.term == l.node.Term():
		l.node.StepDown()
	case !o.active && leads && l.node.HasCommittedInTerm():
		*o = office{active: true, term: l.node.Term(), ticks: o.ticks, token: o.token, sentAt: o.sentAt, confirmedAt: o.confirmedAt}
		l.r.cfg.JobManager.StartLeading(o.term, l.state.Jobs(), time.Now())
		l.r.cfg.Log.Log(logevent.OfficeBegan, logevent.Fields{"term": o.term, "applied": l.applied})
	}
}

// proposeJobs appends a batch of commands. A refusal means that leadership is
// being lost or that the log is full; the resident resigns, because it counts on
// every command, and this replica steps down unless it hands over already.
func (l *loop) proposeJobs(commands []jobs.Command) {
	data, err := codec.EncodeCommand(state.JobsStep{Origin: state.Origin{Actor: "system", Source: "leader", Time: l.r.Now()}, Commands: commands})
	if err == nil {
		_, _, err = l.node.Propose(data)
	}
	if err == nil {
		return
	}
	l.r.cfg.Log.Err(logevent.OfficeEnded, err, logevent.Fields{"term": l.office.term, "commands": len(commands)})
	l.office.active = false
	l.r.cfg.JobManager.StopLeading()
}

// appliedJobs tells the resident of the commands of one entry.
func (l *loop) appliedJobs(cmd state.JobsStep, res state.Result) {
	if !l.office.active {
		return
	}
	now := time.Now()
	for i, c := range cmd.Commands {
		l.r.cfg.JobManager.HandleApplied(c, res.Jobs[i], now)
	}
}

// Package manager makes the decisions of the leader of the control replicas:
// which task runs on which executor, when leases are renewed, what follows from
// an answer or from its absence, when the upkeep of a host begins and which
// pool a host belongs to. It takes inputs and the current time as values and
// returns commands to replicate, orders to send and replies. Orders follow from
// recorded state: a command is passed to HandleApplied after it is committed,
// and only then is the order that follows from it sent.
package manager

import (
	"slices"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/forecast"
	"laburnumdock/internal/core/jobs"
)

// Config holds the platform's limits and intervals that the manager depends on.
type Config struct {
	// HasHostAPI is set when the platform offers an interface for hosts.
	HasHostAPI bool
	// MaxLease is the longest lease that an executor grants.
	MaxLease time.Duration
	// HostLease is the time within which two leaders must not both give orders
	// for one host.
	HostLease time.Duration
	// MoveTime and UpkeepTime are the times that a host is away for a move or
	// for its upkeep.
	MoveTime   time.Duration
	UpkeepTime time.Duration
	// ReportInterval is the interval of an executor's reports.
	ReportInterval time.Duration
	// Retention is the time for which the state of an ended job can be
	// requested.
	Retention time.Duration
	// Forecaster predicts run times. Nil means a new forecast.Estimator.
	Forecaster Forecaster
}

// Intervals and limits of the manager itself.
const (
	// leaseFraction is the fraction of MaxLease that is requested for a lease.
	// The rest covers clock drift and the time of one answer.
	leaseFraction = 0.8
	// busyHoldWait is the time that an executor with runs may wait for an end
	// before it answers a hold: half of what is left of a lease after a
	// failover of 2 s.
	busyHoldWait = 1000 * time.Millisecond
	// idleHoldWait is the same time for an executor without runs. It is the
	// longest wait that executors accept.
	idleHoldWait = 2000 * time.Millisecond
	// callTimeout bounds an order that an executor answers at once. It is far
	// above a round trip within a region and below a lease.
	callTimeout = 700 * time.Millisecond
	// retryInterval is the time between two calls to an executor that does not
	// answer, so that a dead one costs little.
	retryInterval = 250 * time.Millisecond
	// stopInterval is the time between two orders to stop the same run.
	stopInterval = 500 * time.Millisecond
	// maxCommandsPerStep bounds the commands of one step, so that a log entry
	// stays far below the largest message that a peer accepts.
	maxCommandsPerStep = 1024
)

// Event is a decision to be logged. The meaning of Run and Age depends on Kind:
// Run is a version for EventConfigured and a wave for the events of a wave; for
// EventRunPaced, Age is the pace, with one nanosecond for each percent.
type Event struct {
	Kind     EventKind
	Job      string
	Task     jobs.TaskRef
	Run      int
	Executor string
	// Incarnation is the number of the executor's incarnation.
	Incarnation int
	Pool        string
	Queue       string
	Host        string
	Reason      string
	Age         time.Duration
	// RetryAfter is the time after which a refused submission may be repeated.
	RetryAfter time.Duration
	// Failures is the number of failed runs that ended a job and Limit the limit that they
	// have reached, from LimitSource.
	Failures, Limit int
	LimitSource     string
	// LastHeard names the newest evidence of a removed host, and LastHeardAge is its age.
	LastHeard    string
	LastHeardAge time.Duration
	Tenant       string
}

// EventKind is the kind of a logged decision.
type EventKind uint8

// The kinds of events.
const (
	EventJobAccepted EventKind = iota + 1
	EventRequestRefused
	EventRunOrdered
	EventRunConcluded
	EventRunEnded
	EventJobCancelled
	EventJobFinished
	EventExecutorJoined
	EventExecutorLeft
	EventExecutorSilent
	EventExecutorAnswers
	EventExecutorDistrusted
	EventConfigured
	EventWaveStarted
	EventUpkeepBegan
	EventHostMoved
	// EventHostRemoved names the proof in Reason; Age is the time since the listing began
	// or the order was sent, and Run a wave that names the host, or 0.
	EventHostRemoved
	EventRunPaced
	EventRunStalled
	EventTaskSuspected
	EventAdvisorSilent
	EventLeaderFenced
	// EventKeyRefused is a call without a valid API key; Reason is "no_key" or
	// "unknown_key".
	EventKeyRefused
	// EventTenantAtLimit and EventTenantBelowLimit name the tenant in Tenant.
	EventTenantAtLimit
	EventTenantBelowLimit
	// EventJobOverload is a submission that is refused because it cannot be on time. Reason
	// says why, Queue names its queue, Age is the estimated wait.
	EventJobOverload
	// EventFormatNotRead is a configuration that waits for replicas, named in Reason; Run is
	// the format that they do not read.
	EventFormatNotRead
	// EventFormatRaised is a newer format in use; Run is its number.
	EventFormatRaised
)

// Output is what the calling code carries out after a step. Commands are proposed
// first. The other fields depend only on what is committed.
type Output struct {
	Commands []jobs.Command
	Calls    []Call
	Replies  []Reply
	Events   []Event
	// StepTimes are the predicted and observed times of the steps that have ended.
	StepTimes []StepTime
	// FormatQuery, if not nil, is a question to the members of the cell.
	FormatQuery *FormatQuery
}

// Manager holds the leader's working state and makes its decisions. The control
// loop owns it, and every term starts with a new one. Invariants: every live
// run of the records has exactly one run here, in the session of its executor;
// no order is sent for anything that is not recorded.
type Manager struct {
	cfg       Config
	state     *jobs.State
	term      uint64
	startedAt time.Time

	sessions sessionIndex
	pools    map[string]*pool
	jobs     map[string]*job
	runs     map[runKey]*run

	pendingCalls map[uint64]pendingCall
	lastCall     uint64

	submitRequests map[string][]uint64
	// submitting holds the submissions that are not recorded yet, by job ID.
	submitting map[string]submission
	// refusals remembers the first attempts of refused submissions.
	refusals refusals
	// proposedConfig is the newest configuration that this leader has proposed, or nil.
	proposedConfig    *jobs.Config
	cancelRequests    map[string][]uint64
	configureRequests map[uint64][]uint64
	waveRequests      map[int64][]uint64
	formats           formatCheck
	registering       map[string]int64

	// runTimes learns and predicts the run times of tasks and steps.
	runTimes Forecaster
	// leaving is the result of leavingExecutors at leavingAt.
	leaving   map[*session]time.Time
	leavingAt time.Time

	advisor advisor
	tenants tenants

	hosts hostInventory
	// poolsCheckedAt is the time of the last check of the pool sizes.
	poolsCheckedAt time.Time
	waves          map[int64]*wave
	ended          []endedJob
	// unsettledRuns are runs of ended incarnations whose order may still
	// arrive.
	unsettledRuns []*run

	out Output
}

// pendingCall is a call without an outcome.
type pendingCall struct {
	kind    CallKind
	address string
	session *session
	run     *run
	sentAt  time.Time
	host    string
	wave    int64
	pool    string
	// advice is set for a call to the advisor.
	advice *adviceCall
}

// endedJob is an ended job whose record is kept until its retention time is
// over.
type endedJob struct {
	id string
	at time.Time
}

// New returns the manager for the leader of a term. All commands that earlier
// leaders committed must have been applied to state.
func New(cfg Config, state *jobs.State, term uint64, now time.Time) *Manager {
	m := &Manager{
		cfg: cfg, state: state, term: term, startedAt: now,
		sessions: newSessionIndex(), pools: map[string]*pool{}, jobs: map[string]*job{}, runs: map[runKey]*run{},
		pendingCalls: map[uint64]pendingCall{}, submitRequests: map[string][]uint64{}, submitting: map[string]submission{}, cancelRequests: map[string][]uint64{},
		configureRequests: map[uint64][]uint64{}, waveRequests: map[int64][]uint64{}, registering: map[string]int64{},
		hosts: newHostInventory(), waves: map[int64]*wave{}, runTimes: cfg.Forecaster,
	}
	if m.runTimes == nil {
		m.runTimes = forecast.NewEstimator()
	}
	m.tenants.define(state.Config())
	for _, e := range state.Executors() {
		m.addSession(e, now)
	}
	for _, rec := range state.Jobs() {
		m.recoverJob(rec, now)
	}
	for _, s := range slices.Clone(m.sessions.sorted) {
		if newest := m.newestNumber(s.rec.ID); newest > s.rec.Number {
			m.endSession(s, reasonRestarted, now)
		}
	}
	m.endExhaustedJobs()
	for _, w := range state.Waves() {
		m.addWave(w, now)
	}
	for _, o := range state.HostOrders() {
		m.hosts.get(o.Host).inherited = &o
	}
	return m
}

// recoverJob rebuilds the working state of a job that an earlier leader
// recorded.
func (m *Manager) recoverJob(rec *jobs.Job, now time.Time) {
	if rec.Phase.IsFinal() {
		m.ended = append(m.ended, endedJob{id: rec.ID, at: now})
		if rec.LiveRuns == 0 {
			return
		}
	}
	j := m.addJob(rec, now)
	for occ, steps := range rec.Steps {
		for s := range steps {
			for i := range steps[s].Tasks {
				t := &steps[s].Tasks[i]
				j.isStarted = j.isStarted || t.Done || t.Failures > 0 || t.Checkpoint != ""
				ref := jobs.TaskRef{Job: rec.ID, Occurrence: occ, Step: s, Index: i}
				for _, live := range t.Runs {
					m.inheritRun(j, ref, live, now)
				}
			}
		}
	}
}

func (m *Manager) inheritRun(j *job, ref jobs.TaskRef, live jobs.Run, now time.Time) {
	s := m.sessions.get(live.Executor)
	if s == nil {
		// An earlier version did not record that a later incarnation had adopted the
		// run.
		s = &session{rec: &jobs.Executor{Number: live.Executor}, runs: map[runKey]*run{}, ended: true}
		m.sessions.add(s)
	}
	r := m.addRun(j, ref, live.Number, s, now)
	r.state = runInherited
	if s.ended {
		r.state = runUncertain
		m.unsettledRuns = append(m.unsettledRuns, r)
	}
	if j.rec.Phase.IsFinal() {
		r.requestStop()
	}
}

// Executors returns the number of executor incarnations that the leader calls.
func (m *Manager) Executors() int { return len(m.sessions.sorted) }

// Step makes the decisions that are due and returns all output since the last
// Step.
func (m *Manager) Step(now time.Time) Output {
	m.stepSessions(now)
	m.stepUnsettledRuns(now)
	m.stepWaves(now)
	m.stepPoolSizes(now)
	m.recordHostOrders(now)
	m.schedule(now)
	m.stepTenants(now)
	m.deleteExpiredJobs(now)
	out := m.out
	m.out = Output{}
	if len(out.Commands) > maxCommandsPerStep {
		m.out.Commands = out.Commands[maxCommandsPerStep:]
		out.Commands = out.Commands[:maxCommandsPerStep:maxCommandsPerStep]
	}
	return out
}

func (m *Manager) propose(c jobs.Command) { m.out.Commands = append(m.out.Commands, c) }

func (m *Manager) logEvent(e Event) { m.out.Events = append(m.out.Events, e) }

// incarnationBits is the number of low bits of a token that identify the
// executor incarnation. An order names an executor by its ID and may arrive
// seconds late, at a later incarnation with the same ID. That incarnation
// refuses it once it has seen its own token.
const incarnationBits = 24

// call sends an order and stores its context until the outcome arrives.
func (m *Manager) call(c Call, pending pendingCall, now time.Time) {
	m.lastCall++
	c.ID, c.Token = m.lastCall, m.term
	if c.Executor > 0 {
		c.Token = m.term<<incarnationBits | uint64(c.Executor)
	}
	pending.kind, pending.address, pending.sentAt = c.Kind, c.Address, now
	m.pendingCalls[c.ID] = pending
	m.out.Calls = append(m.out.Calls, c)
}

// HandleApplied processes a command that was applied to the records, with its
// result.
func (m *Manager) HandleApplied(c jobs.Command, err *fault.Error, now time.Time) {
	switch {
	case c.AcceptJob != nil:
		m.jobAccepted(c.AcceptJob, now)
	case c.CancelJob != nil:
		m.jobCancelled(c.CancelJob.ID, now)
	case c.BeginRun != nil:
		m.runBegun(c.BeginRun, err, now)
	case c.EndRun != nil:
		m.runEnded(c.EndRun, err, now)
	case c.RegisterExecutor != nil:
		m.executorRegistered(c.RegisterExecutor, err, now)
	case c.RemoveExecutor != nil:
		m.executorRemoved(c.RemoveExecutor.Executor)
	case c.Configure != nil:
		m.configured(c.Configure, err)
	case c.StartWave != nil:
		m.waveStarted(c.StartWave, now)
	case c.RecordUpkeep != nil:
		m.upkeepRecorded(c.RecordUpkeep, now)
	case c.RecordHostOrders != nil:
		m.hostOrdersRecorded(c.RecordHostOrders, now)
	case c.SettleSilence != nil:
		m.updateJob(c.SettleSilence.Task.Job, now)
	case c.SetFormat != nil:
		m.formatRaised(c.SetFormat)
	}
}

// deleteExpiredJobs proposes to delete the jobs whose retention time is over.
func (m *Manager) deleteExpiredJobs(now time.Time) {
	for len(m.ended) > 0 && now.Sub(m.ended[0].at) > m.cfg.Retention {
		m.propose(jobs.Command{DeleteJob: &jobs.DeleteJob{ID: m.ended[0].id}})
		m.ended = m.ended[1:]
	}
}

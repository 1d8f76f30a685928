// Package manager decides for the leader of the control replicas: which task
// runs where, when a lease is renewed, what is concluded from an answer or from
// silence, when a host has its upkeep and to which pool it belongs. It takes
// events and the time as values and returns commands to record, orders to send
// and replies. An order follows from what is recorded: Apply is called with a
// command after it is committed, and only then the order goes out.
package manager

import (
	"slices"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
)

// Config is what the manager needs to know of the platform's bounds.
type Config struct {
	// HasHosts tells that the platform has an interface for hosts.
	HasHostAPI bool
	// HoldMax is the longest lease that an executor grants.
	MaxLease time.Duration
	// HostLease is the time within which two leaders must not both give orders
	// for one host.
	HostLease time.Duration
	// MoveTime and UpkeepTime are how long a host is away for either.
	MoveTime   time.Duration
	UpkeepTime time.Duration
	// ReportEvery is the interval of an executor's reports.
	ReportInterval time.Duration
	// Retention is how long the state of an ended job can be asked for.
	Retention time.Duration
}

// Times and bounds of the manager's own.
const (
	// leaseShare is the share of HoldMax that a lease is asked for. The rest
	// covers the drift of a clock and the time of one answer.
	leaseShare = 0.8
	// holdWait is how long an executor with runs may wait for an end before it
	// answers: half of what a lease leaves after a failover of 2 s.
	holdWait = 1000 * time.Millisecond
	// idleWait is the same for an executor without runs. It is the longest wait
	// that executors accept.
	idleWait = 2000 * time.Millisecond
	// callTimeout bounds an order that an executor answers at once. It is far
	// above a round trip within a region and below a lease.
	callTimeout = 700 * time.Millisecond
	// retryPause is the time between two calls to an executor that gives no
	// answer, so that a dead one costs little.
	retryPause = 250 * time.Millisecond
	// stopPause is the time between two orders to stop the same run.
	stopPause = 500 * time.Millisecond
	// maxCommands bounds the commands of one step, so that one log entry stays
	// far below what a peer takes at once.
	maxCommands = 1024
)

// Note is one decision for the log.
type Event struct {
	Kind     EventKind
	Job      string
	Task     jobs.TaskRef
	Run      int
	Executor string
	Pool     string
	Host     string
	Reason   string
	Age      time.Duration
}

// NoteKind names what was decided.
type EventKind uint8

// The decisions that are logged.
const (
	EventJobAccepted EventKind = iota + 1
	EventRequestRefused
	EventRunOrdered
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
	EventRunPaced
	EventRunStalled
	EventLeaderFenced
)

// Output is what the shell carries out: Commands are proposed first; Calls,
// Replies and Notes depend on nothing that is not committed.
type Output struct {
	Commands []jobs.Command
	Calls    []Call
	Replies  []Reply
	Events    []Event
}

// Manager is the leader's mind. The control loop owns it. It is made anew in
// every term. Invariants: every live run of the records has one run here, at
// the contact of its executor; nothing is ordered that is not recorded.
type Manager struct {
	cfg   Config
	st    *jobs.State
	term  uint64
	since time.Time

	contacts roster
	pools    map[string]*pool
	jobs     map[string]*job
	runs     map[runKey]*run

	calls    map[uint64]pendingCall
	lastCall uint64

	submits    map[string][]uint64
	cancels    map[string][]uint64
	configures map[uint64][]uint64
	waveStarts map[int64][]uint64
	joining    map[string]int64

	// adviceCalls counts the questions to the advisor without an answer.
	adviceCalls int

	hosts hostBook
	// movesAt is when the sizes of the pools were last looked at.
	movesAt time.Time
	waves   map[int64]*wave
	ended   []endedJob
	// strays are runs of ended lives whose order may still arrive.
	strays []*run

	out Output
}

// pendingCall is a call without an outcome.
type pendingCall struct {
	kind    CallKind
	contact *contact
	run     *run
	sentAt  time.Time
	host    string
	wave    int64
	pool    string
	advice  *advice
	job     *job
}

// endedJob waits for the end of its retention.
type endedJob struct {
	id string
	at time.Time
}

// New returns the manager of the leader of a term, which has applied everything
// that earlier leaders committed.
func New(cfg Config, st *jobs.State, term uint64, now time.Time) *Manager {
	m := &Manager{
		cfg: cfg, st: st, term: term, since: now,
		contacts: newRoster(), pools: map[string]*pool{}, jobs: map[string]*job{}, runs: map[runKey]*run{},
		calls: map[uint64]pendingCall{}, submits: map[string][]uint64{}, cancels: map[string][]uint64{},
		configures: map[uint64][]uint64{}, waveStarts: map[int64][]uint64{}, joining: map[string]int64{},
		hosts: newHostBook(), waves: map[int64]*wave{},
	}
	for _, e := range st.Executors() {
		m.addContact(e, now)
	}
	for _, rec := range st.Jobs() {
		m.adopt(rec, now)
	}
	for _, c := range slices.Clone(m.contacts.sorted) {
		if newest := m.numberOf(c.ex.ID); newest > c.ex.Number {
			m.endLife(c, reborn, now)
		}
	}
	for _, w := range st.Waves() {
		m.addWave(w, now)
	}
	return m
}

// adopt takes over a job that an earlier leader recorded.
func (m *Manager) adopt(rec *jobs.Job, now time.Time) {
	if rec.Phase.IsFinal() {
		m.ended = append(m.ended, endedJob{id: rec.ID, at: now})
		if rec.LiveRuns == 0 {
			return
		}
	}
	j := m.addJob(rec, now)
	for k, steps := range rec.Steps {
		for s := range steps {
			for i := range steps[s].Tasks {
				ref := jobs.TaskRef{Job: rec.ID, Occurrence: k, Step: s, Index: i}
				for _, live := range steps[s].Tasks[i].Runs {
					m.inherit(j, ref, live, now)
				}
			}
		}
	}
}

func (m *Manager) inherit(j *job, ref jobs.TaskRef, live jobs.Run, now time.Time) {
	c := m.contacts.get(live.Executor)
	if c == nil {
		// The run was taken over by a later life, whose list does not name this
		// one any more.
		c = &contact{ex: &jobs.Executor{Number: live.Executor}, runs: map[runKey]*run{}, over: true}
		m.contacts.add(c)
	}
	r := m.newRun(j, ref, live.Number, c, now)
	r.state = runInherited
	if c.over {
		r.state = runDoubtful
		m.strays = append(m.strays, r)
	}
	if j.rec.Phase.IsFinal() {
		r.end()
	}
}

// Executors returns the number of executor lives that the leader calls.
func (m *Manager) Executors() int { return len(m.contacts.sorted) }

// Step decides what is due and returns everything since the last Step.
func (m *Manager) Step(now time.Time) Output {
	m.stepContacts(now)
	m.stepStrays(now)
	m.stepWaves(now)
	m.stepMoves(now)
	m.schedule(now)
	m.forget(now)
	out := m.out
	m.out = Output{}
	if len(out.Commands) > maxCommands {
		m.out.Commands = out.Commands[maxCommands:]
		out.Commands = out.Commands[:maxCommands:maxCommands]
	}
	return out
}

func (m *Manager) propose(c jobs.Command) { m.out.Commands = append(m.out.Commands, c) }

func (m *Manager) note(n Event) { m.out.Events = append(m.out.Events, n) }

// lifeBits is the number of bits of a token that tell the lives of executors
// apart. An order names an executor by its ID and may arrive seconds late, at a
// later life under the same ID; that life refuses it once it has seen its own
// token.
const lifeBits = 24

// call sends an order and remembers what it was for.
func (m *Manager) call(c Call, p pendingCall, now time.Time) {
	m.lastCall++
	c.ID, c.Token = m.lastCall, m.term
	if c.Executor > 0 {
		c.Token = m.term<<lifeBits | uint64(c.Executor)
	}
	p.kind, p.sentAt = c.Kind, now
	m.calls[c.ID] = p
	m.out.Calls = append(m.out.Calls, c)
}

// Applied tells that a command was applied to the records, with its result.
func (m *Manager) HandleApplied(c jobs.Command, err *fault.Error, now time.Time) {
	switch {
	case c.AcceptJob != nil:
		m.accepted(c.AcceptJob, now)
	case c.CancelJob != nil:
		m.cancelled(c.CancelJob.ID, now)
	case c.BeginRun != nil:
		m.begun(c.BeginRun, err, now)
	case c.EndRun != nil:
		m.runEnded(c.EndRun, err, now)
	case c.RegisterExecutor != nil:
		m.joined(c.RegisterExecutor, err, now)
	case c.RemoveExecutor != nil:
		m.left(c.RemoveExecutor.Executor)
	case c.Configure != nil:
		m.configured(c.Configure)
	case c.StartWave != nil:
		m.waveStarted(c.StartWave, now)
	case c.RecordUpkeep != nil:
		m.upkeepRecorded(c.RecordUpkeep, now)
	}
}

// forget drops jobs whose state nobody may ask for any more.
func (m *Manager) forget(now time.Time) {
	for len(m.ended) > 0 && now.Sub(m.ended[0].at) > m.cfg.Retention {
		m.propose(jobs.Command{DeleteJob: &jobs.DeleteJob{ID: m.ended[0].id}})
		m.ended = m.ended[1:]
	}
}

package jobs

import (
	"slices"
	"sort"

	"laburnumdock/internal/core/fault"
)

// Phase is the state of a job as shown to its submitter.
type Phase uint8

// The phases of a job. PhaseCompleted and those after it are final.
const (
	PhaseQueued Phase = iota + 1
	PhaseRunning
	PhaseCompleted
	PhaseFailed
	PhaseCancelled
)

// IsFinal reports whether the job has ended.
func (p Phase) IsFinal() bool { return p >= PhaseCompleted }

// Run is an ordered run of a task whose end is not recorded yet.
type Run struct {
	Number   int `cbor:"1,keyasint"`
	Executor int `cbor:"2,keyasint"`
}

// Task is the record of one task. Invariants: LastRun never decreases and is at
// least the number of every run; a task that is done gets no further run.
type Task struct {
	LastRun    int    `cbor:"1,keyasint,omitempty"`
	Failures   int    `cbor:"2,keyasint,omitempty"`
	Done       bool   `cbor:"3,keyasint,omitempty"`
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	Runs       []Run  `cbor:"5,keyasint,omitempty"`
	// Crashes is nil unless executors were lost under the task.
	Crashes *Crashes `cbor:"6,keyasint,omitempty"`
}

// IsSuspect reports whether the task may crash the executors that start it.
func (t *Task) IsSuspect() bool { return t.Crashes != nil && t.Crashes.IsSuspect() }

// StepRecord is the record of one step in one occurrence. TasksLeft is the
// number of tasks that are not done.
type StepRecord struct {
	TasksLeft int    `cbor:"1,keyasint"`
	Tasks     []Task `cbor:"2,keyasint"`
}

// Job is the record of one job. Steps is indexed by occurrence and step; it and
// the spec are discarded once the job has ended and no run is left.
type Job struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	Pool  string `cbor:"3,keyasint"`
	// Seq orders jobs by their acceptance.
	Seq   uint64         `cbor:"4,keyasint"`
	Phase Phase          `cbor:"5,keyasint"`
	Spec  Spec           `cbor:"6,keyasint,omitempty"`
	Steps [][]StepRecord `cbor:"7,keyasint,omitempty"`
	// StepsLeft is the number of steps that are not done, over all occurrences.
	StepsLeft int `cbor:"8,keyasint,omitempty"`
	// LiveRuns is the number of runs without a recorded end.
	LiveRuns int `cbor:"9,keyasint,omitempty"`
	// SubmittedAt is the submission time in Unix milliseconds of the leader's
	// clock.
	SubmittedAt int64 `cbor:"10,keyasint,omitempty"`
	// Tenant is the name of the tenant that submitted the job, or empty. The newest
	// definition of the tenant holds for the job.
	Tenant string `cbor:"11,keyasint,omitempty"`
	// Exhausted is set on the replica that has applied the end of the job if a task has
	// used up its attempts. It is only logged, and not part of a dump.
	Exhausted *Exhaustion `cbor:"-"`
}

// Exhaustion tells how a task, or its gang, has used up its attempts.
type Exhaustion struct {
	Task            TaskRef
	Failures, Limit int
	Source          LimitSource
}

// LimitSource tells where a limit of attempts is from.
type LimitSource string

// The sources of a limit.
const (
	LimitConfigured LimitSource = "configuration"
	// LimitRetired means that it is from the last definition of a removed queue.
	LimitRetired LimitSource = "removed_queue"
	// LimitDefault means that the definition of the queue is not known.
	LimitDefault LimitSource = "default"
)

// Executor is one incarnation of the process that runs tasks on a host. Number
// is assigned when the incarnation is first recorded and never reused.
type Executor struct {
	Number int `cbor:"1,keyasint"`
	// ID is the name the executor reports. StartedAt, in Unix milliseconds,
	// distinguishes incarnations with the same ID.
	ID        string    `cbor:"2,keyasint"`
	StartedAt int64     `cbor:"3,keyasint,omitempty"`
	Host      string    `cbor:"4,keyasint,omitempty"`
	Pool      string    `cbor:"5,keyasint"`
	Zone      string    `cbor:"6,keyasint,omitempty"`
	Rack      string    `cbor:"7,keyasint,omitempty"`
	Address   string    `cbor:"8,keyasint"`
	Labels    []string  `cbor:"9,keyasint,omitempty"`
	Capacity  Resources `cbor:"10,keyasint"`
	// RecordedEnd is the number of the newest recorded end of a run.
	RecordedEnd int64 `cbor:"11,keyasint,omitempty"`
	// Draining is set when the executor has announced its shutdown.
	Draining bool `cbor:"12,keyasint,omitempty"`
}

// HasLabel reports whether the executor has the label. It is true for the empty
// label.
func (e *Executor) HasLabel(label string) bool {
	return label == "" || slices.Contains(e.Labels, label)
}

// Wave is a request for the upkeep of hosts. Begun lists the hosts whose upkeep
// has begun, Removed those that no longer exist.
type Wave struct {
	ID    int64    `cbor:"1,keyasint"`
	Hosts []string `cbor:"2,keyasint"`
	// TimeLimit is the time for the whole wave in milliseconds, and MaxParallel
	// the number of hosts that may be in upkeep at the same time.
	TimeLimit   int64    `cbor:"3,keyasint"`
	MaxParallel int      `cbor:"4,keyasint"`
	Begun       []string `cbor:"5,keyasint,omitempty"`
	Removed     []string `cbor:"6,keyasint,omitempty"`
	// RequestedAt is the time of the request in Unix milliseconds of the
	// leader's clock.
	RequestedAt int64 `cbor:"7,keyasint,omitempty"`
}

// IsComplete reports whether the upkeep of every host that still exists has
// begun.
func (w *Wave) IsComplete() bool {
	for _, h := range w.Hosts {
		if !slices.Contains(w.Begun, h) && !slices.Contains(w.Removed, h) {
			return false
		}
	}
	return true
}

// State is the set of replicated records. The control loop owns it. Invariants:
// the StepsLeft and LiveRuns of a job match its tasks; config is only replaced
// by a higher version; no record has a field of a newer format than the one in use.
type State struct {
	config     *Config
	jobs       map[string]*Job
	executors  map[int]*Executor
	newestByID map[string]int
	waves      map[int64]*Wave
	// hostOrders holds the newest order for each host with recent orders.
	hostOrders   map[string]HostOrder
	lastSeq      uint64
	lastExecutor int
	// format is the format in use, or 0 for the first one, which is not stored.
	format int
}

// New returns an empty State.
func New() *State {
	return &State{jobs: map[string]*Job{}, executors: map[int]*Executor{}, newestByID: map[string]int{}, waves: map[int64]*Wave{}, hostOrders: map[string]HostOrder{}}
}

// Config returns the configuration in force, or nil.
func (s *State) Config() *Config { return s.config }

// Job returns the record of a job, or nil.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// LastSeq returns the place of the newest job in the order of acceptance.
func (s *State) LastSeq() uint64 { return s.lastSeq }

// Jobs returns all jobs in the order of their acceptance.
func (s *State) Jobs() []*Job {
	list := make([]*Job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Seq < list[b].Seq })
	return list
}

// Executor returns the executor incarnation with the given number, or nil.
func (s *State) Executor(number int) *Executor { return s.executors[number] }

// ExecutorByID returns the newest incarnation with the given ID, or nil.
func (s *State) ExecutorByID(id string) *Executor { return s.executors[s.newestByID[id]] }

// Executors returns all executor incarnations in the order of their numbers.
func (s *State) Executors() []*Executor {
	list := make([]*Executor, 0, len(s.executors))
	for _, e := range s.executors {
		list = append(list, e)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Number < list[b].Number })
	return list
}

// Wave returns the wave with the given ID, or nil.
func (s *State) Wave(id int64) *Wave { return s.waves[id] }

// Waves returns all waves in the order of their IDs.
func (s *State) Waves() []*Wave {
	list := make([]*Wave, 0, len(s.waves))
	for _, w := range s.waves {
		list = append(list, w)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// HostOrders returns the newest order for each host with recent orders, in the order
// of the hosts.
func (s *State) HostOrders() []HostOrder {
	list := make([]HostOrder, 0, len(s.hostOrders))
	for _, o := range s.hostOrders {
		list = append(list, o)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Host < list[b].Host })
	return list
}

// Task returns the record and the step of a task, or nil.
func (s *State) Task(ref TaskRef) (*Task, *Step) {
	j := s.jobs[ref.Job]
	if j == nil {
		return nil, nil
	}
	return j.Task(ref)
}

// Task returns the record and the step of a task of the job, or nil.
func (j *Job) Task(ref TaskRef) (*Task, *Step) {
	if ref.Occurrence >= len(j.Steps) || ref.Step >= len(j.Steps[ref.Occurrence]) || ref.Index >= len(j.Steps[ref.Occurrence][ref.Step].Tasks) {
		return nil, nil
	}
	return &j.Steps[ref.Occurrence][ref.Step].Tasks[ref.Index], &j.Spec.Steps[ref.Step]
}

// IsStepReady reports whether all steps that the step depends on are done.
func (j *Job) IsStepReady(occurrence, step int) bool {
	for _, earlier := range j.Spec.Steps[step].After {
		if j.Steps[occurrence][earlier].TasksLeft > 0 {
			return false
		}
	}
	return true
}

// HasLiveRun reports whether the run has no recorded end.
func (t *Task) HasLiveRun(number int) bool { return t.runIndex(number) >= 0 }

func (t *Task) runIndex(number int) int {
	return slices.IndexFunc(t.Runs, func(r Run) bool { return r.Number == number })
}

// Apply executes a command. An error means that the command was rejected and
// changed nothing; repeating a change that is already in place is not an error.
func (s *State) Apply(c Command) *fault.Error {
	switch {
	case c.AcceptJob != nil:
		return s.acceptJob(c.AcceptJob)
	case c.CancelJob != nil:
		return s.cancelJob(c.CancelJob.ID)
	case c.BeginRun != nil:
		return s.beginRun(c.BeginRun)
	case c.EndRun != nil:
		return s.endRun(c.EndRun)
	case c.RegisterExecutor != nil:
		return s.registerExecutor(c.RegisterExecutor.Executor)
	case c.RemoveExecutor != nil:
		return s.removeExecutor(c.RemoveExecutor.Executor)
	case c.Configure != nil:
		return s.configure(c.Configure)
	case c.StartWave != nil:
		return s.startWave(*c.StartWave)
	case c.RecordUpkeep != nil:
		return s.recordUpkeep(c.RecordUpkeep)
	case c.DeleteJob != nil:
		return s.deleteJob(c.DeleteJob.ID)
	case c.RecordHostOrders != nil:
		return s.recordHostOrders(c.RecordHostOrders)
	case c.SettleSilence != nil:
		return s.settleSilence(c.SettleSilence)
	case c.AdoptRun != nil:
		return s.adoptRun(c.AdoptRun)
	case c.SetFormat != nil:
		return s.setFormat(c.SetFormat)
	}
	return fault.New(fault.Internal, "command is empty or of an unknown kind")
}

func (s *State) configure(c *Config) *fault.Error {
	if s.config != nil && c.Version <= s.config.Version {
		return nil
	}
	if c.Format() > s.Format() {
		return fault.New(fault.Conflict, "configuration %d needs format %d, the records have format %d", c.Version, c.Format(), s.Format())
	}
	s.config = c
	return nil
}

func (s *State) acceptJob(a *AcceptJob) *fault.Error {
	if s.jobs[a.ID] != nil {
		return nil
	}
	s.lastSeq++
	j := NewJob(a, s.lastSeq)
	if s.Format() < tenantsFormat {
		// Accepted jobs must not be lost; without its tenant the record can be stored.
		j.Tenant = ""
	}
	s.jobs[a.ID] = j
	return nil
}

// NewJob returns the record of a job that is accepted, with its place in the order of
// acceptance.
func NewJob(a *AcceptJob, seq uint64) *Job {
	j := &Job{ID: a.ID, Queue: a.Queue, Pool: a.Pool, Seq: seq, Phase: PhaseQueued, Spec: a.Spec, SubmittedAt: a.SubmittedAt, Tenant: a.Tenant}
	j.Steps = make([][]StepRecord, a.Spec.Occurrences())
	for occ := range j.Steps {
		j.Steps[occ] = make([]StepRecord, len(a.Spec.Steps))
		for i := range a.Spec.Steps {
			count := a.Spec.Steps[i].Count
			j.Steps[occ][i] = StepRecord{TasksLeft: count, Tasks: make([]Task, count)}
			j.StepsLeft++
		}
	}
	return j
}

func (s *State) cancelJob(id string) *fault.Error {
	j := s.jobs[id]
	if j == nil {
		return fault.New(fault.NotFound, "job %s does not exist", id)
	}
	if !j.Phase.IsFinal() {
		j.finish(PhaseCancelled)
	}
	return nil
}

func (s *State) deleteJob(id string) *fault.Error {
	if j := s.jobs[id]; j != nil && j.Phase.IsFinal() && j.LiveRuns == 0 {
		delete(s.jobs, id)
	}
	return nil
}

// finish ends the job. The records of its tasks stay while runs are live.
func (j *Job) finish(p Phase) {
	j.Phase = p
	j.discardIfEnded()
}

func (j *Job) discardIfEnded() {
	if j.Phase.IsFinal() && j.LiveRuns == 0 {
		j.Spec, j.Steps = Spec{}, nil
	}
}

func (s *State) beginRun(b *BeginRun) *fault.Error {
	j := s.jobs[b.Task.Job]
	if j == nil || j.Phase.IsFinal() {
		return fault.New(fault.Conflict, "job %s has ended", b.Task.Job)
	}
	task, step := j.Task(b.Task)
	switch {
	case task == nil:
		return fault.New(fault.NotFound, "task %s does not exist", b.Task)
	case task.Done:
		return fault.New(fault.Conflict, "task %s is done", b.Task)
	case len(task.Runs) > 0 && !step.Speculative:
		return fault.New(fault.Conflict, "task %s already has a live run", b.Task)
	case b.Run <= task.LastRun:
		return fault.New(fault.Conflict, "run number %d of task %s is already used", b.Run, b.Task)
	case s.executors[b.Executor] == nil:
		return fault.New(fault.Conflict, "executor %d is not registered", b.Executor)
	case !j.IsStepReady(b.Task.Occurrence, b.Task.Step):
		return fault.New(fault.Conflict, "step %s depends on a step that is not done", b.Task.StepName())
	}
	task.LastRun = b.Run
	task.Runs = append(task.Runs, Run{Number: b.Run, Executor: b.Executor})
	j.LiveRuns++
	j.Phase = PhaseRunning
	return nil
}

// adoptRun has no effect on a run that has ended meanwhile.
func (s *State) adoptRun(a *AdoptRun) *fault.Error {
	if s.executors[a.Executor] == nil {
		return fault.New(fault.Conflict, "executor %d is not registered", a.Executor)
	}
	if task, _ := s.Task(a.Task); task != nil {
		if index := task.runIndex(a.Run); index >= 0 {
			task.Runs[index].Executor = a.Executor
		}
	}
	return nil
}

func (s *State) endRun(e *EndRun) *fault.Error {
	executor := s.executors[e.Executor]
	if e.Number > 0 {
		if executor == nil || e.Number <= executor.RecordedEnd {
			return fault.New(fault.Conflict, "end %d of executor %d is already recorded or the executor is not registered", e.Number, e.Executor)
		}
		executor.RecordedEnd = e.Number
	}
	j := s.jobs[e.Task.Job]
	if j == nil {
		return nil
	}
	task, step := j.Task(e.Task)
	if task == nil || e.Run > task.LastRun {
		// An executor may list a run that was never begun.
		return nil
	}
	index := task.runIndex(e.Run)
	if index >= 0 {
		task.Runs = slices.Delete(task.Runs, index, index+1)
		j.LiveRuns--
	}
	s.applyResult(j, e, task, step, index >= 0)
	j.discardIfEnded()
	return nil
}

// applyResult updates the task and its job after the end of a run. The result
// of a run that was already concluded to have ended does not make the task
// done, because another run may have been ordered since.
func (s *State) applyResult(j *Job, e *EndRun, task *Task, step *Step, isLive bool) {
	if e.Checkpoint != "" {
		j.setCheckpoint(e.Task, step, e.Checkpoint)
	}
	if j.Phase.IsFinal() {
		return
	}
	if isLive && e.Evidence != 0 && task.recordCrash(e.Evidence, e.Crashed, step) {
		j.finish(PhaseFailed)
		return
	}
	switch e.Result {
	case ResultDone:
		if isLive && !step.LongRunning {
			j.markDone(e.Task, step)
		}
	case ResultFailed:
		if e.Run > 0 {
			task.Failures++
		}
		limit, source := s.AttemptLimit(j.Queue)
		if count := j.failureCount(e.Task, step); !step.LongRunning && count >= limit && !task.Done {
			j.Exhausted = &Exhaustion{Task: e.Task, Failures: count, Limit: limit, Source: source}
			j.finish(PhaseFailed)
		}
	default:
	}
}

// failureCount returns the number of failed runs of a task, or of its whole
// gang.
func (j *Job) failureCount(ref TaskRef, step *Step) int {
	count := 0
	if !step.Gang {
		t, _ := j.Task(ref)
		return t.Failures
	}
	for _, t := range j.Steps[ref.Occurrence][ref.Step].Tasks {
		count += t.Failures
	}
	return count
}

// AttemptLimit returns the number of failed runs of a task that ends a job of the queue,
// and where the limit is from. It depends on nothing but the configuration, so that it is
// the same on replicas that have replayed the log and on those that have loaded a dump.
func (s *State) AttemptLimit(queue string) (int, LimitSource) {
	var q *Queue
	if s.config != nil {
		q = s.config.Queue(queue)
	}
	switch {
	case q == nil:
		return DefaultMaxAttempts, LimitDefault
	case q.IsRetired():
		return q.attemptLimit(), LimitRetired
	default:
		return q.attemptLimit(), LimitConfigured
	}
}

// ExhaustedTask returns a task of the job that has failed as often as its queue allows, if
// there is one.
func (s *State) ExhaustedTask(j *Job) (TaskRef, bool) {
	limit, _ := s.AttemptLimit(j.Queue)
	for occ, steps := range j.Steps {
		for i := range steps {
			step := &j.Spec.Steps[i]
			if step.LongRunning || steps[i].TasksLeft == 0 {
				continue
			}
			for t := range steps[i].Tasks {
				if steps[i].Tasks[t].Done {
					continue
				}
				ref := TaskRef{Job: j.ID, Occurrence: occ, Step: i, Index: t}
				if j.failureCount(ref, step) >= limit {
					return ref, true
				}
				if step.Gang {
					break
				}
			}
		}
	}
	return TaskRef{}, false
}

func (j *Job) setCheckpoint(ref TaskRef, step *Step, checkpoint string) {
	record := &j.Steps[ref.Occurrence][ref.Step]
	if !step.Gang {
		record.Tasks[ref.Index].Checkpoint = checkpoint
		return
	}
	for i := range record.Tasks {
		record.Tasks[i].Checkpoint = checkpoint
	}
}

func (j *Job) markDone(ref TaskRef, step *Step) {
	record := &j.Steps[ref.Occurrence][ref.Step]
	if record.TasksLeft == 0 {
		// Another member of the gang, or a concurrent run, completed it before.
		return
	}
	for i := range record.Tasks {
		if t := &record.Tasks[i]; (step.Gang || i == ref.Index) && !t.Done {
			t.Done = true
			record.TasksLeft--
		}
	}
	if record.TasksLeft == 0 {
		j.StepsLeft--
	}
	if j.StepsLeft == 0 {
		j.finish(PhaseCompleted)
	}
}

func (s *State) registerExecutor(e Executor) *fault.Error {
	if e.Number > 0 {
		old := s.executors[e.Number]
		if old == nil {
			return fault.New(fault.Conflict, "executor %d is not registered", e.Number)
		}
		e.RecordedEnd, e.Draining = old.RecordedEnd, e.Draining || old.Draining
		s.executors[e.Number] = &e
		return nil
	}
	if old := s.ExecutorByID(e.ID); old != nil && old.StartedAt >= e.StartedAt {
		return fault.New(fault.Conflict, "executor %s already has an incarnation started at %d", e.ID, old.StartedAt)
	}
	s.lastExecutor++
	e.Number, e.RecordedEnd = s.lastExecutor, 0
	s.executors[e.Number] = &e
	s.newestByID[e.ID] = e.Number
	return nil
}

func (s *State) removeExecutor(number int) *fault.Error {
	e := s.executors[number]
	if e == nil {
		return nil
	}
	delete(s.executors, number)
	if s.newestByID[e.ID] == number {
		delete(s.newestByID, e.ID)
	}
	return nil
}

func (s *State) startWave(w Wave) *fault.Error {
	if s.waves[w.ID] == nil {
		w.Begun, w.Removed = nil, nil
		s.waves[w.ID] = &w
	}
	return nil
}

func (s *State) recordUpkeep(u *RecordUpkeep) *fault.Error {
	w := s.waves[u.Wave]
	if w == nil || !slices.Contains(w.Hosts, u.Host) {
		return fault.New(fault.NotFound, "wave %d has no host %s", u.Wave, u.Host)
	}
	list := &w.Begun
	if u.Removed {
		list = &w.Removed
	}
	if !slices.Contains(*list, u.Host) {
		*list = append(*list, u.Host)
	}
	return nil
}

// recordHostOrders removes the settled hosts before it adds those that are about to
// be ordered. An order of a later term keeps its record.
func (s *State) recordHostOrders(r *RecordHostOrders) *fault.Error {
	for _, name := range r.Settled {
		if s.hostOrders[name].Term <= r.Term {
			delete(s.hostOrders, name)
		}
	}
	for _, o := range r.Orders {
		o.Term = max(s.hostOrders[o.Host].Term, r.Term)
		s.hostOrders[o.Host] = o
	}
	return nil
}

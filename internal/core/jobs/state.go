package jobs

import (
	"slices"
	"sort"

	"laburnumdock/internal/core/fault"
)

// Phase is the state of a job as its submitter sees it.
type Phase uint8

// The phases of a job. The last three are final.
const (
	PhaseQueued Phase = iota + 1
	PhaseRunning
	PhaseCompleted
	PhaseFailed
	PhaseCancelled
)

// IsFinal tells whether a job has ended.
func (p Phase) IsFinal() bool { return p >= PhaseCompleted }

// Run is one ordered run of a task whose end is not recorded.
type Run struct {
	Number   int `cbor:"1,keyasint"`
	Executor int `cbor:"2,keyasint"`
}

// Task is the record of one task. Invariants: Last never decreases and is at
// least the number of every run; a task that is done gets no further run.
type Task struct {
	LastRun     int    `cbor:"1,keyasint,omitempty"`
	Failures int    `cbor:"2,keyasint,omitempty"`
	Done     bool   `cbor:"3,keyasint,omitempty"`
	Checkpoint    string `cbor:"4,keyasint,omitempty"`
	Runs     []Run  `cbor:"5,keyasint,omitempty"`
}

// StepRecord is one step of one occurrence. Left is the number of tasks that
// are not done.
type StepRecord struct {
	TasksLeft  int    `cbor:"1,keyasint"`
	Tasks []Task `cbor:"2,keyasint"`
}

// Job is the record of one job. Steps is indexed by occurrence and step; it is
// dropped, as is the spec, when the job has ended and has no run left.
type Job struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	Pool  string `cbor:"3,keyasint"`
	// Seq orders jobs by their acceptance.
	Seq   uint64         `cbor:"4,keyasint"`
	Phase Phase          `cbor:"5,keyasint"`
	Spec  Spec           `cbor:"6,keyasint,omitempty"`
	Steps [][]StepRecord `cbor:"7,keyasint,omitempty"`
	// Left is the number of steps that are not done.
	StepsLeft int `cbor:"8,keyasint,omitempty"`
	// Live is the number of runs without a recorded end.
	LiveRuns int `cbor:"9,keyasint,omitempty"`
	// At is when the job was submitted, in Unix milliseconds of the leader.
	SubmittedAt int64 `cbor:"10,keyasint,omitempty"`
}

// Executor is one life of the process that runs tasks on a host. Number is
// given when it is first recorded and never reused.
type Executor struct {
	Number int `cbor:"1,keyasint"`
	// ID is what the executor calls itself, and Born, in Unix milliseconds,
	// tells its lives under one ID apart.
	ID      string    `cbor:"2,keyasint"`
	StartedAt    int64     `cbor:"3,keyasint,omitempty"`
	Host    string    `cbor:"4,keyasint,omitempty"`
	Pool    string    `cbor:"5,keyasint"`
	Zone    string    `cbor:"6,keyasint,omitempty"`
	Rack    string    `cbor:"7,keyasint,omitempty"`
	Address string    `cbor:"8,keyasint"`
	Labels  []string  `cbor:"9,keyasint,omitempty"`
	Capacity    Resources `cbor:"10,keyasint"`
	// Seen is the number of the newest recorded end.
	RecordedEnd int64 `cbor:"11,keyasint,omitempty"`
	// Draining tells that the executor has announced its end.
	Draining bool `cbor:"12,keyasint,omitempty"`
}

// HasLabel tells whether the executor has a label; every one has the empty one.
func (e *Executor) HasLabel(label string) bool {
	return label == "" || slices.Contains(e.Labels, label)
}

// Wave asks for the upkeep of hosts. Begun hosts have had theirs begun.
type Wave struct {
	ID    int64    `cbor:"1,keyasint"`
	Hosts []string `cbor:"2,keyasint"`
	// Within is the time for the whole wave in milliseconds.
	TimeLimit  int64    `cbor:"3,keyasint"`
	MaxParallel  int      `cbor:"4,keyasint"`
	Begun   []string `cbor:"5,keyasint,omitempty"`
	Removed []string `cbor:"6,keyasint,omitempty"`
	// At is when the wave was asked for, in Unix milliseconds of the leader.
	RequestedAt int64 `cbor:"7,keyasint,omitempty"`
}

// IsComplete tells whether every host that still exists has begun its upkeep.
func (w *Wave) IsComplete() bool {
	for _, h := range w.Hosts {
		if !slices.Contains(w.Begun, h) && !slices.Contains(w.Removed, h) {
			return false
		}
	}
	return true
}

// State is the records. The control loop owns it. Invariants: a job's Left and
// Live match its tasks; config only changes to a higher version.
type State struct {
	config    *Config
	jobs      map[string]*Job
	executors map[int]*Executor
	byID      map[string]int
	waves     map[int64]*Wave
	lastSeq   uint64
	lastExec  int
}

// New returns empty records.
func New() *State {
	return &State{jobs: map[string]*Job{}, executors: map[int]*Executor{}, byID: map[string]int{}, waves: map[int64]*Wave{}}
}

// Config returns the configuration in force, or nil.
func (s *State) Config() *Config { return s.config }

// Job returns the record of a job, or nil.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// Jobs returns all jobs in the order of their acceptance.
func (s *State) Jobs() []*Job {
	list := make([]*Job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Seq < list[b].Seq })
	return list
}

// Executor returns a life of an executor, or nil.
func (s *State) Executor(number int) *Executor { return s.executors[number] }

// ExecutorOf returns the newest life under an ID, or nil.
func (s *State) ExecutorByID(id string) *Executor { return s.executors[s.byID[id]] }

// Executors returns all lives in the order of their numbers.
func (s *State) Executors() []*Executor {
	list := make([]*Executor, 0, len(s.executors))
	for _, e := range s.executors {
		list = append(list, e)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Number < list[b].Number })
	return list
}

// Wave returns a wave, or nil.
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

// Task returns the record and the step of a task, or nil.
func (s *State) Task(ref TaskRef) (*Task, *Step) {
	j := s.jobs[ref.Job]
	if j == nil {
		return nil, nil
	}
	return j.Task(ref)
}

// Task returns the record and the step of one of the job's tasks, or nil.
func (j *Job) Task(ref TaskRef) (*Task, *Step) {
	if ref.Occurrence >= len(j.Steps) || ref.Step >= len(j.Steps[ref.Occurrence]) || ref.Index >= len(j.Steps[ref.Occurrence][ref.Step].Tasks) {
		return nil, nil
	}
	return &j.Steps[ref.Occurrence][ref.Step].Tasks[ref.Index], &j.Spec.Steps[ref.Step]
}

// IsReady tells whether all steps before one are done.
func (j *Job) IsStepReady(occurrence, step int) bool {
	for _, before := range j.Spec.Steps[step].After {
		if j.Steps[occurrence][before].TasksLeft > 0 {
			return false
		}
	}
	return true
}

// HasRun tells whether a run is live.
func (t *Task) HasLiveRun(number int) bool { return t.place(number) >= 0 }

func (t *Task) place(number int) int {
	return slices.IndexFunc(t.Runs, func(r Run) bool { return r.Number == number })
}

// Apply carries out a command. The error says why it changed nothing; a
// repetition of what is already so is no error.
func (s *State) Apply(c Command) *fault.Error {
	switch {
	case c.AcceptJob != nil:
		return s.accept(c.AcceptJob)
	case c.CancelJob != nil:
		return s.cancel(c.CancelJob.ID)
	case c.BeginRun != nil:
		return s.begin(c.BeginRun)
	case c.EndRun != nil:
		return s.end(c.EndRun)
	case c.RegisterExecutor != nil:
		return s.join(c.RegisterExecutor.Executor)
	case c.RemoveExecutor != nil:
		return s.leave(c.RemoveExecutor.Executor)
	case c.Configure != nil:
		return s.configure(c.Configure)
	case c.StartWave != nil:
		return s.startWave(*c.StartWave)
	case c.RecordUpkeep != nil:
		return s.upkeep(c.RecordUpkeep)
	case c.DeleteJob != nil:
		return s.forget(c.DeleteJob.ID)
	}
	return fault.New(fault.Internal, "the command is empty or not known")
}

func (s *State) configure(c *Config) *fault.Error {
	if s.config != nil && c.Version <= s.config.Version {
		return nil
	}
	s.config = c
	return nil
}

func (s *State) accept(a *AcceptJob) *fault.Error {
	if s.jobs[a.ID] != nil {
		return nil
	}
	s.lastSeq++
	j := &Job{ID: a.ID, Queue: a.Queue, Pool: a.Pool, Seq: s.lastSeq, Phase: PhaseQueued, Spec: a.Spec, SubmittedAt: a.SubmittedAt}
	j.Steps = make([][]StepRecord, a.Spec.Occurrences())
	for k := range j.Steps {
		j.Steps[k] = make([]StepRecord, len(a.Spec.Steps))
		for i := range a.Spec.Steps {
			count := a.Spec.Steps[i].Count
			j.Steps[k][i] = StepRecord{TasksLeft: count, Tasks: make([]Task, count)}
			j.StepsLeft++
		}
	}
	s.jobs[a.ID] = j
	return nil
}

func (s *State) cancel(id string) *fault.Error {
	j := s.jobs[id]
	if j == nil {
		return fault.New(fault.NotFound, "job %s does not exist", id)
	}
	if !j.Phase.IsFinal() {
		j.finish(PhaseCancelled)
	}
	return nil
}

func (s *State) forget(id string) *fault.Error {
	if j := s.jobs[id]; j != nil && j.Phase.IsFinal() && j.LiveRuns == 0 {
		delete(s.jobs, id)
	}
	return nil
}

// finish ends a job. The record of its tasks stays while runs are live.
func (j *Job) finish(p Phase) {
	j.Phase = p
	j.shrink()
}

func (j *Job) shrink() {
	if j.Phase.IsFinal() && j.LiveRuns == 0 {
		j.Spec, j.Steps = Spec{}, nil
	}
}

func (s *State) begin(b *BeginRun) *fault.Error {
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
		return fault.New(fault.Conflict, "task %s has a run", b.Task)
	case b.Run <= task.LastRun:
		return fault.New(fault.Conflict, "run %d of task %s was used", b.Run, b.Task)
	case s.executors[b.Executor] == nil:
		return fault.New(fault.Conflict, "executor %d has left", b.Executor)
	case !j.IsStepReady(b.Task.Occurrence, b.Task.Step):
		return fault.New(fault.Conflict, "step %s waits for another", b.Task.StepName())
	}
	task.LastRun = b.Run
	task.Runs = append(task.Runs, Run{Number: b.Run, Executor: b.Executor})
	j.LiveRuns++
	j.Phase = PhaseRunning
	return nil
}

func (s *State) end(e *EndRun) *fault.Error {
	ex := s.executors[e.Executor]
	if e.Number > 0 {
		if ex == nil || e.Number <= ex.RecordedEnd {
			return fault.New(fault.Conflict, "end %d of executor %d was recorded", e.Number, e.Executor)
		}
		ex.RecordedEnd = e.Number
	}
	j := s.jobs[e.Task.Job]
	if j == nil {
		return nil
	}
	task, step := j.Task(e.Task)
	if task == nil {
		return nil
	}
	at := task.place(e.Run)
	if at >= 0 {
		task.Runs = slices.Delete(task.Runs, at, at+1)
		j.LiveRuns--
	}
	task.LastRun = max(task.LastRun, e.Run)
	s.settle(j, e, task, step, at >= 0)
	j.shrink()
	return nil
}

// settle draws the consequences of an end for the task and its job. The end of a
// run that was concluded to be over before does not make the task done: another
// run may have been ordered since.
func (s *State) settle(j *Job, e *EndRun, task *Task, step *Step, live bool) {
	if e.Checkpoint != "" {
		j.save(e.Task, step, e.Checkpoint)
	}
	if j.Phase.IsFinal() {
		return
	}
	switch e.Result {
	case ResultDone:
		if live && !step.LongRunning {
			j.done(e.Task, step)
		}
	case ResultFailed:
		task.Failures++
		if !step.LongRunning && j.failures(e.Task, step) >= s.maxAttempts(j.Queue) && !task.Done {
			j.finish(PhaseFailed)
		}
	default:
	}
}

// failures counts the failed attempts of a task, or of its gang as a whole.
func (j *Job) failures(ref TaskRef, step *Step) int {
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

// maxAttempts is the limit of a queue; a queue that is no longer configured has
// none.
func (s *State) maxAttempts(queue string) int {
	if s.config != nil {
		if q := s.config.Queue(queue); q != nil && q.MaxAttempts > 0 {
			return q.MaxAttempts
		}
	}
	return MaxTasks
}

func (j *Job) save(ref TaskRef, step *Step, saved string) {
	record := &j.Steps[ref.Occurrence][ref.Step]
	if !step.Gang {
		record.Tasks[ref.Index].Checkpoint = saved
		return
	}
	for i := range record.Tasks {
		record.Tasks[i].Checkpoint = saved
	}
}

func (j *Job) done(ref TaskRef, step *Step) {
	record := &j.Steps[ref.Occurrence][ref.Step]
	if record.TasksLeft == 0 {
		// Another member of the gang, or another copy, was done before.
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

func (s *State) join(e Executor) *fault.Error {
	if e.Number > 0 {
		old := s.executors[e.Number]
		if old == nil {
			return fault.New(fault.Conflict, "executor %d has left", e.Number)
		}
		e.RecordedEnd = old.RecordedEnd
		s.executors[e.Number] = &e
		return nil
	}
	if old := s.ExecutorByID(e.ID); old != nil && old.StartedAt >= e.StartedAt {
		return fault.New(fault.Conflict, "executor %s born at %d is known already", e.ID, old.StartedAt)
	}
	s.lastExec++
	e.Number, e.RecordedEnd = s.lastExec, 0
	s.executors[e.Number] = &e
	s.byID[e.ID] = e.Number
	return nil
}

func (s *State) leave(number int) *fault.Error {
	e := s.executors[number]
	if e == nil {
		return nil
	}
	delete(s.executors, number)
	if s.byID[e.ID] == number {
		delete(s.byID, e.ID)
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

func (s *State) upkeep(u *RecordUpkeep) *fault.Error {
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

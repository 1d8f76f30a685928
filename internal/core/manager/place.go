package manager

import (
	"cmp"
	"slices"
	"time"

	"laburnumdock/internal/core/jobs"
)

// pool is the leader's view of one pool.
type pool struct {
	name     string
	sessions []*session
	jobs     []*job
	// dirty tells that something changed since the last scheduling pass.
	needsPass bool
	// waits tells that tasks wait since the last pass, at passedAt.
	hasWaiting bool
	lastPassAt time.Time
	sizing     sizeEstimator
}

func (p *pool) addSession(s *session) {
	if !slices.Contains(p.sessions, s) {
		p.sessions = append(p.sessions, s)
	}
	p.needsPass = true
}

func (p *pool) removeSession(s *session) {
	p.sessions = slices.DeleteFunc(p.sessions, func(o *session) bool { return o == s })
}

func (p *pool) removeJob(j *job) {
	p.jobs = slices.DeleteFunc(p.jobs, func(o *job) bool { return o == j })
}

// job is the leader's view of one job.
type job struct {
	rec  *jobs.Job
	pool *pool
	// queue is the job's queue in the configuration in force, or nil.
	queue *jobs.Queue
	// lasting tells that a step lasts until the job is cancelled.
	longRunning bool
	// arrived is when the job was submitted, by this leader's clock.
	submittedAt time.Time
	// objective is when the job is late, judged by the submitter's estimates.
	deadline time.Time
	tasks    [][][]taskState
	runs     map[runKey]*run
	// open is the number of tasks that wait for a run, whether they may start
	// yet or not.
	waitingTasks int
	finished     bool
	// rest is the longest chain of estimates that is not done, in milliseconds.
	criticalPathLeft int64
	// advice is what the advisor allows, by step.
	advice map[stepKey]*advice
}

// taskView is what the leader remembers of a task beside its record.
type taskState struct {
	// live counts the runs, with those that are only proposed.
	liveRuns int
	// avoided are executors on which the task has failed.
	avoided []int
}

// maxAvoided bounds the executors that a task remembers to avoid.
const maxAvoided = 4

func (t *taskState) avoid(executor int) {
	if len(t.avoided) < maxAvoided && !slices.Contains(t.avoided, executor) {
		t.avoided = append(t.avoided, executor)
	}
}

func (j *job) task(ref jobs.TaskRef) *taskState { return &j.tasks[ref.Occurrence][ref.Step][ref.Index] }

func (m *Manager) pool(name string) *pool {
	p := m.pools[name]
	if p == nil {
		p = &pool{name: name}
		m.pools[name] = p
	}
	return p
}

// wake asks for a scheduling pass over a pool.
func (p *pool) requestPass() { p.needsPass = true }

// wakePools asks for a scheduling pass over every pool.
func (m *Manager) requestPasses() {
	for _, p := range m.pools {
		p.needsPass = true
	}
}

func (m *Manager) addJob(rec *jobs.Job, now time.Time) *job {
	j := &job{rec: rec, longRunning: hasLongRunningStep(&rec.Spec), submittedAt: requestTime(rec.SubmittedAt, now), runs: map[runKey]*run{}, tasks: make([][][]taskState, len(rec.Steps))}
	for occ, steps := range rec.Steps {
		j.tasks[occ] = make([][]taskState, len(steps))
		for s := range steps {
			j.tasks[occ][s] = make([]taskState, len(steps[s].Tasks))
		}
	}
	j.recount()
	m.jobs[rec.ID] = j
	m.assignPool(j)
	j.deadline = j.computeDeadline()
	return j
}

// longestAge bounds the age that a job or a wave from an earlier leader may have,
// whose wall clock may have differed.
const maxRequestAge = time.Minute

// arrival is when something was asked for that the leader of then noted in Unix
// milliseconds by its wall clock.
func requestTime(at int64, now time.Time) time.Time {
	age := time.Duration(now.UnixMilli()-at) * time.Millisecond
	return now.Add(-min(max(age, 0), maxRequestAge))
}

// place finds a job's queue and puts the job into the pool that the queue names
// now.
func (m *Manager) assignPool(j *job) {
	name := j.rec.Pool
	j.queue = nil
	if c := m.state.Config(); c != nil {
		j.queue = c.Queue(j.rec.Queue)
	}
	if j.queue != nil {
		name = j.queue.Pool
	}
	if j.pool != nil && j.pool.name == name {
		return
	}
	if j.pool != nil {
		j.pool.removeJob(j)
	}
	j.pool = m.pool(name)
	if !j.rec.Phase.IsFinal() {
		j.pool.jobs = append(j.pool.jobs, j)
		j.pool.needsPass = true
	}
}

// dueBy is when the job stops being on time: its chain of work with the queue's
// slack, and the queue's target.
func (j *job) computeDeadline() time.Time {
	slack, target := 1.0, int64(0)
	if j.queue != nil {
		slack, target = max(j.queue.SlackFactor, 1), j.queue.Target
	}
	path := float64(j.criticalPath(0)) * slack
	return j.submittedAt.Add(time.Duration(path+float64(target)) * time.Millisecond)
}

// chain is the longest chain of estimates of the steps that are not done, in
// milliseconds.
func (j *job) criticalPath(occurrence int) int64 {
	ends := make([]int64, len(j.rec.Spec.Steps))
	longest := int64(0)
	for s := range j.rec.Spec.Steps {
		step := &j.rec.Spec.Steps[s]
		begin := int64(0)
		for _, before := range step.After {
			begin = max(begin, ends[before])
		}
		ends[s] = begin
		if j.rec.Steps[occurrence][s].TasksLeft > 0 {
			ends[s] += step.Estimate
		}
		longest = max(longest, ends[s])
	}
	return longest
}

// recount counts the tasks that wait for a run, and what is left of the chain.
func (j *job) recount() {
	j.waitingTasks = 0
	j.criticalPathLeft = j.criticalPath(0)
	for occ, steps := range j.rec.Steps {
		for s := range steps {
			for i := range steps[s].Tasks {
				if !steps[s].Tasks[i].Done && j.tasks[occ][s][i].liveRuns == 0 {
					j.waitingTasks++
				}
			}
		}
	}
}

// passEvery is the longest time between two scheduling passes over a pool with
// tasks that wait: trust and due times change without an event.
const passInterval = 100 * time.Millisecond

// schedule places the tasks that may start.
func (m *Manager) schedule(now time.Time) {
	names := make([]string, 0, len(m.pools))
	for name, p := range m.pools {
		if p.needsPass || p.hasWaiting && now.Sub(p.lastPassAt) >= passInterval {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		m.schedulePool(m.pools[name], now)
	}
}

// pass is one scheduling pass over a pool.
type pass struct {
	m           *Manager
	pool        *pool
	now         time.Time
	schedulable []*session
	// tight are demands without conditions that found no room; equal or larger
	// ones are not tried again.
	unplaceable []jobs.Resources
}

func (m *Manager) schedulePool(p *pool, now time.Time) {
	p.needsPass, p.hasWaiting, p.lastPassAt = false, false, now
	sp := &pass{m: m, pool: p, now: now}
	for _, s := range p.sessions {
		if s.isSchedulable(now) {
			sp.schedulable = append(sp.schedulable, s)
		}
	}
	for _, w := range p.waitingJobs(now) {
		sp.placeJob(w.job)
		p.hasWaiting = p.hasWaiting || w.job.waitingTasks > 0
	}
}

// waitingJob is a job with tasks that wait for a run.
type waitingJob struct {
	job        *job
	timeliness timeliness
}

// waiting returns the jobs with tasks that wait, those first whose turn it is.
func (p *pool) waitingJobs(now time.Time) []waitingJob {
	var list []waitingJob
	for _, j := range p.jobs {
		if j.waitingTasks > 0 && !j.rec.Phase.IsFinal() {
			list = append(list, waitingJob{j, j.timeliness(now)})
		}
	}
	slices.SortFunc(list, compareJobs)
	return list
}

// compareJobs orders the jobs of a pool: lasting ones first, then by priority,
// then by what they can still be, then by age.
func compareJobs(a, b waitingJob) int {
	if a.job.longRunning != b.job.longRunning {
		if a.job.longRunning {
			return -1
		}
		return 1
	}
	if pa, pb := a.job.priority(), b.job.priority(); pa != pb {
		return pa - pb
	}
	if a.timeliness != b.timeliness {
		return int(a.timeliness) - int(b.timeliness)
	}
	return cmp.Compare(a.job.rec.Seq, b.job.rec.Seq)
}

// isLasting tells whether a step of a job lasts until the job is cancelled.
func hasLongRunningStep(spec *jobs.Spec) bool {
	return slices.ContainsFunc(spec.Steps, func(s jobs.Step) bool { return s.LongRunning })
}

// outlook is what a job can still be.
type timeliness uint8

// The outlooks. A job that is late is worth little, and one that is far too late
// nothing; it is still finished.
const (
	timelinessOnTime timeliness = iota
	timelinessLate
	timelinessTooLate
)

const (
	// lateFactor is the multiple of a job's objective up to which being late is
	// worth something to its submitter.
	lateFactor = 3
	// hopeShare is the share of the estimated rest of a job's chain that must fit
	// before the objective for the job to count as on time. Estimates are rough,
	// and a job given up too early is lost.
	onTimeShare = 0.5
)

// outlook judges a job by its objective and the estimates of what is left.
func (j *job) timeliness(now time.Time) timeliness {
	remaining := time.Duration(onTimeShare*float64(j.criticalPathLeft)) * time.Millisecond
	switch {
	case !now.Add(remaining).After(j.deadline):
		return timelinessOnTime
	case now.Add(remaining).After(j.submittedAt.Add(lateFactor * j.deadline.Sub(j.submittedAt))):
		return timelinessTooLate
	default:
		return timelinessLate
	}
}

// priority is that of the job's queue; 0 comes first.
func (j *job) priority() int {
	if j.queue == nil {
		return 0
	}
	return j.queue.Priority
}

// isAdvised tells whether an advisor decides on the job's executors.
func (j *job) hasAdvisor() bool { return j.queue != nil && j.queue.Advisor != nil }

func (p *pass) placeJob(j *job) {
	for occ := range j.rec.Steps {
		if due, timed := j.rec.Spec.DueAt(occ); timed && p.now.UnixMilli() < due.UnixMilli() {
			continue
		}
		for s := range j.rec.Steps[occ] {
			if j.rec.Steps[occ][s].TasksLeft > 0 && j.rec.IsStepReady(occ, s) {
				p.placeStep(j, occ, s)
			}
		}
	}
}

func (p *pass) placeStep(j *job, occurrence, stepIndex int) {
	step := &j.rec.Spec.Steps[stepIndex]
	if j.hasAdvisor() && !p.hasAdvice(j, stepKey{occurrence, stepIndex}) {
		return
	}
	if step.Gang {
		p.placeGang(j, occurrence, stepIndex)
		return
	}
	// The tasks of a step ask for the same, so that where one finds no executor
	// only those can that have avoided other ones.
	noRoom := false
	for i := range j.tasks[occurrence][stepIndex] {
		record := &j.rec.Steps[occurrence][stepIndex].Tasks[i]
		view := &j.tasks[occurrence][stepIndex][i]
		if record.Done || view.liveRuns > 0 || noRoom && len(view.avoided) == 0 {
			continue
		}
		ref := jobs.TaskRef{Job: j.rec.ID, Occurrence: occurrence, Step: stepIndex, Index: i}
		if s := p.findExecutor(j, ref, step, view); s != nil {
			p.proposeRun(j, ref, record.LastRun+1, s)
		} else if len(view.avoided) == 0 {
			noRoom = true
		}
	}
}

func (p *pass) proposeRun(j *job, ref jobs.TaskRef, number int, s *session) {
	p.m.addRun(j, ref, number, s, p.now)
	j.waitingTasks--
	p.m.propose(jobs.Command{BeginRun: &jobs.BeginRun{Task: ref, Run: number, Executor: s.rec.Number}})
}

// isPlain tells whether room alone decides where a step's tasks may run.
func isUnconstrained(s *jobs.Step) bool {
	return s.Label == "" && s.MaxPerExecutor == 0 && s.DataRack == ""
}

// gang places all tasks of a step or none, with one number.
func (p *pass) placeGang(j *job, occurrence, stepIndex int) {
	step := &j.rec.Spec.Steps[stepIndex]
	number := 0
	for i := range j.tasks[occurrence][stepIndex] {
		if j.tasks[occurrence][stepIndex][i].liveRuns > 0 {
			return
		}
		number = max(number, j.rec.Steps[occurrence][stepIndex].Tasks[i].LastRun)
	}
	taken := map[*session]jobs.Resources{}
	chosen := make([]*session, 0, step.Count)
	for range j.tasks[occurrence][stepIndex] {
		s := p.findForGang(j, jobs.TaskRef{Occurrence: occurrence, Step: stepIndex}, taken, chosen)
		if s == nil {
			return
		}
		taken[s] = taken[s].Plus(step.Allocation())
		chosen = append(chosen, s)
	}
	for i, s := range chosen {
		p.proposeRun(j, jobs.TaskRef{Job: j.rec.ID, Occurrence: occurrence, Step: stepIndex, Index: i}, number+1, s)
	}
}

// findFor returns an executor for one more member of a gang.
func (p *pass) findForGang(j *job, ref jobs.TaskRef, taken map[*session]jobs.Resources, chosen []*session) *session {
	step := &j.rec.Spec.Steps[ref.Step]
	var best *session
	for _, s := range p.schedulable {
		if !p.canRun(j, ref, step, s) || !s.free().Minus(taken[s]).Fits(step.Allocation()) {
			continue
		}
		if step.MaxPerExecutor > 0 && countSessions(chosen, s) >= step.MaxPerExecutor {
			continue
		}
		if step.RackLocal && len(chosen) > 0 && s.rec.Rack != chosen[0].rec.Rack {
			continue
		}
		if best == nil || p.isBetter(s, best, step) {
			best = s
		}
	}
	return best
}

func countSessions(list []*session, s *session) int {
	count := 0
	for _, o := range list {
		if o == s {
			count++
		}
	}
	return count
}

// find returns the executor for a task, or nil.
func (p *pass) findExecutor(j *job, ref jobs.TaskRef, step *jobs.Step, view *taskState) *session {
	allocation := step.Allocation()
	unconstrained := isUnconstrained(step) && !j.hasAdvisor()
	if unconstrained && p.isUnplaceable(allocation) {
		return nil
	}
	var best *session
	avoided := false
	for _, s := range p.schedulable {
		if !p.canRun(j, ref, step, s) {
			continue
		}
		if slices.Contains(view.avoided, s.rec.Number) {
			avoided = true
			continue
		}
		if best == nil || p.isBetter(s, best, step) {
			best = s
		}
	}
	if best == nil && avoided {
		// Every executor with room has failed the task; one of them is tried
		// again rather than none.
		view.avoided = nil
	}
	if best == nil && unconstrained && !avoided {
		p.unplaceable = append(p.unplaceable, allocation)
	}
	return best
}

// mayRun tells whether an executor has what a task needs.
func (p *pass) canRun(j *job, ref jobs.TaskRef, step *jobs.Step, s *session) bool {
	if !s.rec.HasLabel(step.Label) || !s.free().Fits(step.Allocation()) || s.health.isFull(p.now) {
		return false
	}
	if j.hasAdvisor() && j.ticket(ref, s.rec.ID) == "" {
		return false
	}
	return step.MaxPerExecutor == 0 || j.countOn(s, ref) < step.MaxPerExecutor
}

func (p *pass) isUnplaceable(allocation jobs.Resources) bool {
	for _, t := range p.unplaceable {
		if allocation.Fits(t) {
			return true
		}
	}
	return false
}

// countAt counts the runs of a task's step on an executor.
func (j *job) countOn(s *session, ref jobs.TaskRef) int {
	count := 0
	for key, r := range j.runs {
		if r.session == s && key.task.Step == ref.Step && key.task.Occurrence == ref.Occurrence {
			count++
		}
	}
	return count
}

// isBetter prefers the rack with the data, then, for lasting tasks, executors
// that have some already, then the fullest executor: hosts that stay empty can
// move, and large tasks find room.
func (p *pass) isBetter(a, b *session, step *jobs.Step) bool {
	if step.DataRack != "" && (a.rec.Rack == step.DataRack) != (b.rec.Rack == step.DataRack) {
		return a.rec.Rack == step.DataRack
	}
	if step.LongRunning && a.longRunning != b.longRunning {
		return a.longRunning > b.longRunning
	}
	return a.free().CPU < b.free().CPU
}

package manager

import (
	"slices"
	"time"

	"laburnumdock/internal/core/forecast"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/overload"
)

// pool is the leader's view of a pool.
type pool struct {
	name     string
	sessions []*session
	jobs     []*job
	// needsPass is set when something changed since the last scheduling pass.
	needsPass bool
	// hasWaiting is set when the last pass, at lastPassAt, left tasks waiting.
	hasWaiting bool
	lastPassAt time.Time
	sizing     sizeEstimator
	gate       overload.Gate
	// spareHosts is the number of idle hosts that other pools may get, by the last check of
	// the sizes.
	spareHosts int
	// remote are the run times on and off the racks of data, and wantedRacks the racks for
	// which tasks waited in the last pass.
	remote      remoteRuns
	wantedRacks map[string]bool
	// backlog is the waiting work as of backlogAt, with the submissions since.
	backlog   backlog
	backlogAt time.Time
	// shares is the division of the pool among tenants in the last pass, or nil.
	shares *shares
	// refused is the work that was refused lately, by tenant. It is empty without tenants.
	refused map[string]refusedWork
	// meanUse is the mean of the recent use by tenant, as a fraction of the pool.
	meanUse map[string]float64
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

// job is the leader's view of a job.
type job struct {
	rec  *jobs.Job
	pool *pool
	// queue is the job's queue in the configuration in force, which may be retired, or nil.
	queue *jobs.Queue
	// isExhausted is set when a task has used up its attempts and the end of the job is
	// proposed. None of its tasks is started.
	isExhausted bool
	// isStarted is set once a run of some task is known to have started. The phase changes
	// with the record that precedes the order, which may not reach the executor.
	isStarted bool
	// longRunning is set when a step runs until the job is cancelled.
	longRunning bool
	// submittedAt is the submission time on this leader's clock.
	submittedAt time.Time
	// deadline is the time after which the job is late, and latestStart the time by
	// which the rest of it must start to meet it, both as far as can be foreseen.
	deadline    time.Time
	latestStart time.Time
	progress    []stepProgress
	// forecastAt is when the steps that are not done were last predicted, and samples
	// holds the run times of the steps with finished tasks; nil for a step that is done.
	forecastAt time.Time
	samples    map[stepKey]*forecast.Sample
	tasks      [][][]taskState
	runs       map[runKey]*run
	// inUse is the sum of the demands of runs.
	inUse jobs.Resources
	// waitingTasks is the number of tasks that wait for a run, including those
	// that may not start yet.
	waitingTasks int
	finished     bool
	// advice holds the advisor's answers by step.
	advice map[stepKey]*advice
	// acceptedAt and estimatedWait are the time and the estimate of the decision to accept
	// the job. isWaitKnown is set once its wait is known, or if there is no estimate.
	acceptedAt    time.Time
	estimatedWait time.Duration
	isWaitKnown   bool
	// isRaised is set once the job was moved in front of new ones because it is late.
	isRaised bool
}

// taskState is the leader's state of a task beside its record.
type taskState struct {
	// liveRuns counts the runs, including those that are only proposed.
	liveRuns int
	// avoided are the numbers of executors on which the task has failed or
	// stalled.
	avoided []int
}

// maxAvoided bounds the list of avoided executors of a task.
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

// requestPass requests a scheduling pass over the pool.
func (p *pool) requestPass() { p.needsPass = true }

// requestPasses requests a scheduling pass over every pool.
func (m *Manager) requestPasses() {
	for _, p := range m.pools {
		p.needsPass = true
	}
}

func (m *Manager) addJob(rec *jobs.Job, now time.Time) *job {
	j := newJob(rec, now)
	m.jobs[rec.ID] = j
	m.assignPool(j)
	m.forecastSteps(j, now)
	j.recount()
	return j
}

// newJob returns the leader's view of a job that is in no pool yet.
func newJob(rec *jobs.Job, now time.Time) *job {
	j := &job{rec: rec, isWaitKnown: true, longRunning: hasLongRunningStep(&rec.Spec), submittedAt: requestTime(rec.SubmittedAt, now), runs: map[runKey]*run{}, tasks: make([][][]taskState, len(rec.Steps))}
	for occ, steps := range rec.Steps {
		j.tasks[occ] = make([][]taskState, len(steps))
		for s := range steps {
			j.tasks[occ][s] = make([]taskState, len(steps[s].Tasks))
		}
	}
	return j
}

// maxRequestAge bounds the age of a job or a wave that an earlier leader
// accepted, because that leader's wall clock may have differed.
const maxRequestAge = time.Minute

// requestTime converts the time of a request, which the leader of that time
// stored in Unix milliseconds of its wall clock, to this leader's clock.
func requestTime(at int64, now time.Time) time.Time {
	age := time.Duration(now.UnixMilli()-at) * time.Millisecond
	return now.Add(-min(max(age, 0), maxRequestAge))
}

// assignPool looks up the job's queue and adds the job to the pool that the
// queue names now.
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

// recount updates the number of waiting tasks and the times that follow from the
// steps that are done.
func (j *job) recount() {
	j.waitingTasks = 0
	j.updateDeadline()
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

// passInterval is the longest time between two scheduling passes over a pool
// with waiting tasks: distrust ends and due times arrive without an event.
const passInterval = 100 * time.Millisecond

// schedule runs the scheduling passes that are needed.
func (m *Manager) schedule(now time.Time) {
	names := make([]string, 0, len(m.pools))
	for name, p := range m.pools {
		if p.needsPass || p.hasWaiting && now.Sub(p.lastPassAt) >= passInterval {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	slices.Sort(names)
	if now.Sub(m.leavingAt) >= waveInterval {
		m.leaving, m.leavingAt = m.leavingExecutors(now), now
	}
	for _, name := range names {
		m.schedulePool(m.pools[name], now)
	}
}

// pass is a scheduling pass over a pool.
type pass struct {
	m           *Manager
	pool        *pool
	now         time.Time
	schedulable []*session
	// unplaceable are allocations of unconstrained steps that no executor had
	// capacity for. Equal or larger ones are not tried again in this pass.
	unplaceable []jobs.Resources
	// held are the executors that take no other task in this pass, so that a suspect
	// task can start there soon. onProbation counts the executors that are kept apart
	// for suspect tasks, and maxOnProbation limits them.
	held                        []*session
	onProbation, maxOnProbation int
	// shares is nil without tenants.
	shares *passShares
	// leaving holds the executors whose hosts await their upkeep, with the time at which
	// it is expected to begin.
	leaving map[*session]time.Time
	// plan is nil in a pass that decides. In a read-only pass it takes the runs that the
	// pass would start.
	plan *plan
	// racks are the racks that hold data of waiting steps, by name.
	racks map[string]*rackQueue
}

func (m *Manager) schedulePool(p *pool, now time.Time) {
	p.needsPass, p.hasWaiting, p.lastPassAt = false, false, now
	m.refreshForecasts(p, now)
	sp := m.newPass(p, m.leaving, now)
	list := p.waitingJobs(now)
	for _, w := range list {
		w.job.isRaised = w.job.isRaised || w.isRaised
	}
	sp.placeJobs(list)
	for _, w := range list {
		w.job.observeWait(now)
		p.hasWaiting = p.hasWaiting || w.job.waitingTasks > 0
	}
	m.observeFill(sp)
	sp.updateWantedRacks()
}

// newPass returns a pass over the pool that has not placed anything yet.
func (m *Manager) newPass(p *pool, leaving map[*session]time.Time, now time.Time) *pass {
	sp := &pass{m: m, pool: p, now: now, leaving: leaving}
	for _, s := range p.sessions {
		if m.exclusionOf(s, now) == exclusionNone {
			sp.schedulable = append(sp.schedulable, s)
		}
	}
	sp.limitProbation()
	return sp
}

// priority returns the priority of the job's queue; 0 is the highest.
func (j *job) priority() int {
	if j.queue == nil {
		return 0
	}
	return j.queue.Priority
}

// hasAdvisor reports whether an advisor decides on the job's executors.
func (j *job) hasAdvisor() bool { return j.queue != nil && j.queue.Advisor != nil }

func (p *pass) placeJob(j *job) {
	if j.isExhausted {
		return
	}
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
	if j.hasAdvisor() && p.plan == nil {
		defer p.adviseStep(j, stepKey{occurrence, stepIndex})
	}
	if step.Gang {
		p.placeGang(j, occurrence, stepIndex)
		return
	}
	// The tasks of a step have equal demands. After one of them finds no
	// executor, only tasks that avoided some executors can still find one.
	noCapacity := false
	for i := range j.tasks[occurrence][stepIndex] {
		record := &j.rec.Steps[occurrence][stepIndex].Tasks[i]
		task := &j.tasks[occurrence][stepIndex][i]
		ref := jobs.TaskRef{Job: j.rec.ID, Occurrence: occurrence, Step: stepIndex, Index: i}
		if record.Done || task.liveRuns > 0 || !record.MayStart(step) || noCapacity && len(task.avoided) == 0 {
			continue
		}
		if !p.mayStart(j, step, 1) {
			return
		}
		if record.IsSuspect() {
			if s := p.findForSuspect(j, ref, step, task); s != nil {
				p.proposeRun(j, ref, record.LastRun+1, s)
			}
			continue
		}
		s, allAvoided := p.findExecutor(j, ref, step, task)
		switch {
		case s != nil:
			p.proposeRun(j, ref, record.LastRun+1, s)
		case allAvoided || len(task.avoided) == 0:
			noCapacity = true
		}
	}
}

// adviseStep asks the advisor for a step of which tasks still wait after it was placed,
// unless they wait for the limit of their tenant.
func (p *pass) adviseStep(j *job, key stepKey) {
	step := &j.rec.Spec.Steps[key.step]
	if !p.m.fitsLimit(j, step, 1) {
		return
	}
	for i := range j.tasks[key.occurrence][key.step] {
		record := &j.rec.Steps[key.occurrence][key.step].Tasks[i]
		if !record.Done && j.tasks[key.occurrence][key.step][i].liveRuns == 0 && record.MayStart(step) {
			p.requestAdvice(j, key)
			return
		}
	}
}

func (p *pass) proposeRun(j *job, ref jobs.TaskRef, number int, s *session) {
	p.countStart(j, &j.rec.Spec.Steps[ref.Step])
	if p.plan != nil {
		p.plan.start(j, ref, s)
		return
	}
	p.m.addRun(j, ref, number, s, p.now)
	j.waitingTasks--
	p.m.propose(jobs.Command{BeginRun: &jobs.BeginRun{Task: ref, Run: number, Executor: s.rec.Number}})
}

// isUnconstrained reports whether capacity alone decides where a step's tasks
// may run.
func isUnconstrained(s *jobs.Step) bool {
	return s.Label == "" && s.MaxPerExecutor == 0 && s.DataRack == ""
}

// placeGang places all tasks of a step or none, with a common run number.
func (p *pass) placeGang(j *job, occurrence, stepIndex int) {
	step := &j.rec.Spec.Steps[stepIndex]
	number := 0
	for i := range j.tasks[occurrence][stepIndex] {
		if j.tasks[occurrence][stepIndex][i].liveRuns > 0 || !j.rec.Steps[occurrence][stepIndex].Tasks[i].MayStart(step) {
			return
		}
		number = max(number, j.rec.Steps[occurrence][stepIndex].Tasks[i].LastRun)
	}
	if !p.mayStart(j, step, len(j.tasks[occurrence][stepIndex])) {
		return
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

// findForGang returns an executor for one more member of a gang, or nil.
func (p *pass) findForGang(j *job, ref jobs.TaskRef, taken map[*session]jobs.Resources, chosen []*session) *session {
	step := &j.rec.Spec.Steps[ref.Step]
	c := p.newChoice(j, ref, step)
	for _, s := range p.schedulable {
		reason := p.reasonAgainst(j, ref, step, s)
		switch {
		case reason != exclusionNone:
		case !p.free(s).Minus(taken[s]).Fits(step.Allocation()):
			reason = exclusionCapacity
		case step.MaxPerExecutor > 0 && countSessions(chosen, s) >= step.MaxPerExecutor:
			reason = exclusionMaxPerExecutor
		case step.RackLocal && len(chosen) > 0 && s.rec.Rack != chosen[0].rec.Rack:
			reason = exclusionOtherRack
		}
		c.consider(s, reason)
	}
	return c.best
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

// findExecutor returns the executor for a task, or nil. allAvoided is set if every executor
// that could run it is avoided.
func (p *pass) findExecutor(j *job, ref jobs.TaskRef, step *jobs.Step, task *taskState) (found *session, allAvoided bool) {
	allocation := step.Allocation()
	unconstrained := isUnconstrained(step) && !j.hasAdvisor()
	if unconstrained && p.isUnplaceable(allocation) && !p.plan.explains(j) {
		return nil, false
	}
	c := p.newChoice(j, ref, step)
	avoided, leaves := false, false
	for _, s := range p.schedulable {
		reason := p.reasonAgainst(j, ref, step, s)
		if reason == exclusionNone && slices.Contains(task.avoided, s.rec.Number) {
			reason, avoided = exclusionAvoided, true
		}
		leaves = leaves || reason == exclusionLeaves
		c.consider(s, reason)
	}
	if c.best != nil {
		if p.awaitsRack(j, ref, step, c.best) {
			return nil, false
		}
		return c.best, false
	}
	if avoided && p.plan == nil {
		// Every executor with enough capacity is avoided. The next pass may use
		// them again; otherwise the task would never run.
		task.avoided = nil
	}
	if unconstrained && !avoided && !leaves {
		p.unplaceable = append(p.unplaceable, allocation)
	}
	return nil, avoided
}

// reasonAgainst returns why an executor cannot run a task now, or exclusionNone.
func (p *pass) reasonAgainst(j *job, ref jobs.TaskRef, step *jobs.Step, s *session) exclusion {
	switch {
	case p.isKeptApart(s):
		return exclusionKeptApart
	case !s.rec.HasLabel(step.Label):
		return exclusionLabel
	case !p.free(s).Fits(step.Allocation()):
		return exclusionCapacity
	case s.health.isFull(p.now):
		return exclusionRefusedCapacity
	case j.hasAdvisor() && j.advice[stepKeyOf(ref)].validTicket(s.rec.ID, p.now) == "":
		return exclusionNoTicket
	case step.MaxPerExecutor > 0 && p.countOn(j, s, ref) >= step.MaxPerExecutor:
		return exclusionMaxPerExecutor
	case !p.endsBeforeUpkeep(j, step, s):
		return exclusionLeaves
	default:
		return exclusionNone
	}
}

func (p *pass) isUnplaceable(allocation jobs.Resources) bool {
	for _, t := range p.unplaceable {
		if allocation.Fits(t) {
			return true
		}
	}
	return false
}

// countOn returns the number of runs of a task's step on an executor.
func (j *job) countOn(s *session, ref jobs.TaskRef) int {
	count := 0
	for key, r := range j.runs {
		if r.session == s && key.task.Step == ref.Step && key.task.Occurrence == ref.Occurrence {
			count++
		}
	}
	return count
}

// preference prefers the rack that holds the step's data, then racks for which no other
// tasks wait, then, for long-running tasks, executors that already have some, then, for tasks
// that take long, executors without a pending upkeep, then the executor with the least free
// CPU: hosts that stay empty can be moved, and large tasks find capacity. It returns by what a
// is better than b, or criterionNone.
func (p *pass) preference(a, b *session, j *job, step *jobs.Step) criterion {
	if step.DataRack != "" && (a.rec.Rack == step.DataRack) != (b.rec.Rack == step.DataRack) {
		return criterionIf(a.rec.Rack == step.DataRack, criterionDataRack)
	}
	if len(p.pool.wantedRacks) > 0 && !step.LongRunning && p.isWanted(a.rec.Rack) != p.isWanted(b.rec.Rack) {
		return criterionIf(!p.isWanted(a.rec.Rack), criterionRackNotWanted)
	}
	if step.LongRunning && p.longRunning(a) != p.longRunning(b) {
		return criterionIf(p.longRunning(a) > p.longRunning(b), criterionLongRunning)
	}
	if p.isLeaving(a) != p.isLeaving(b) && p.delaysUpkeep(j, step) {
		return criterionIf(p.isLeaving(b), criterionStays)
	}
	return criterionIf(p.free(a).CPU < p.free(b).CPU, criterionLeastFree)
}

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
	contacts []*contact
	jobs     []*job
	// dirty tells that something changed since the last scheduling pass.
	dirty bool
	// waits tells that tasks wait since the last pass, at passedAt.
	waits    bool
	passedAt time.Time
	size     sizing
}

func (p *pool) add(c *contact) {
	if !slices.Contains(p.contacts, c) {
		p.contacts = append(p.contacts, c)
	}
	p.dirty = true
}

func (p *pool) drop(c *contact) {
	p.contacts = slices.DeleteFunc(p.contacts, func(o *contact) bool { return o == c })
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
	lasting bool
	// arrived is when the job was submitted, by this leader's clock.
	arrived time.Time
	// objective is when the job is late, judged by the submitter's estimates.
	objective time.Time
	tasks     [][][]taskView
	runs      map[runKey]*run
	// open is the number of tasks that wait for a run, whether they may start
	// yet or not.
	open     int
	finished bool
	// rest is the longest chain of estimates that is not done, in milliseconds.
	rest int64
	// advice is what the advisor allows, by step.
	advice map[stepPlace]*advice
}

// taskView is what the leader remembers of a task beside its record.
type taskView struct {
	// live counts the runs, with those that are only proposed.
	live int
	// avoided are executors on which the task has failed.
	avoided []int
}

// maxAvoided bounds the executors that a task remembers to avoid.
const maxAvoided = 4

func (t *taskView) avoid(executor int) {
	if len(t.avoided) < maxAvoided && !slices.Contains(t.avoided, executor) {
		t.avoided = append(t.avoided, executor)
	}
}

func (j *job) task(ref jobs.TaskRef) *taskView { return &j.tasks[ref.Occurrence][ref.Step][ref.Index] }

func (m *Manager) pool(name string) *pool {
	p := m.pools[name]
	if p == nil {
		p = &pool{name: name}
		m.pools[name] = p
	}
	return p
}

// wake asks for a scheduling pass over a pool.
func (p *pool) wake() { p.dirty = true }

// wakePools asks for a scheduling pass over every pool.
func (m *Manager) wakePools() {
	for _, p := range m.pools {
		p.dirty = true
	}
}

func (m *Manager) addJob(rec *jobs.Job, now time.Time) *job {
	j := &job{rec: rec, lasting: isLasting(&rec.Spec), arrived: arrival(rec.SubmittedAt, now), runs: map[runKey]*run{}, tasks: make([][][]taskView, len(rec.Steps))}
	for k, steps := range rec.Steps {
		j.tasks[k] = make([][]taskView, len(steps))
		for s := range steps {
			j.tasks[k][s] = make([]taskView, len(steps[s].Tasks))
		}
	}
	j.recount()
	m.jobs[rec.ID] = j
	m.place(j)
	j.objective = j.dueBy()
	return j
}

// longestAge bounds the age that a job or a wave from an earlier leader may have,
// whose wall clock may have differed.
const longestAge = time.Minute

// arrival is when something was asked for that the leader of then noted in Unix
// milliseconds by its wall clock.
func arrival(at int64, now time.Time) time.Time {
	age := time.Duration(now.UnixMilli()-at) * time.Millisecond
	return now.Add(-min(max(age, 0), longestAge))
}

// place finds a job's queue and puts the job into the pool that the queue names
// now.
func (m *Manager) place(j *job) {
	name := j.rec.Pool
	j.queue = nil
	if c := m.st.Config(); c != nil {
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
		j.pool.dirty = true
	}
}

// dueBy is when the job stops being on time: its chain of work with the queue's
// slack, and the queue's target.
func (j *job) dueBy() time.Time {
	slack, target := 1.0, int64(0)
	if j.queue != nil {
		slack, target = max(j.queue.SlackFactor, 1), j.queue.Target
	}
	chain := float64(j.chain(0)) * slack
	return j.arrived.Add(time.Duration(chain+float64(target)) * time.Millisecond)
}

// chain is the longest chain of estimates of the steps that are not done, in
// milliseconds.
func (j *job) chain(occurrence int) int64 {
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
	j.open = 0
	j.rest = j.chain(0)
	for k, steps := range j.rec.Steps {
		for s := range steps {
			for i := range steps[s].Tasks {
				if !steps[s].Tasks[i].Done && j.tasks[k][s][i].live == 0 {
					j.open++
				}
			}
		}
	}
}

// passEvery is the longest time between two scheduling passes over a pool with
// tasks that wait: trust and due times change without an event.
const passEvery = 100 * time.Millisecond

// schedule places the tasks that may start.
func (m *Manager) schedule(now time.Time) {
	names := make([]string, 0, len(m.pools))
	for name, p := range m.pools {
		if p.dirty || p.waits && now.Sub(p.passedAt) >= passEvery {
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
	m      *Manager
	pool   *pool
	now    time.Time
	usable []*contact
	// tight are demands without conditions that found no room; equal or larger
	// ones are not tried again.
	tight []jobs.Resources
}

func (m *Manager) schedulePool(p *pool, now time.Time) {
	p.dirty, p.waits, p.passedAt = false, false, now
	x := &pass{m: m, pool: p, now: now}
	for _, c := range p.contacts {
		if c.isUsable(now) {
			x.usable = append(x.usable, c)
		}
	}
	for _, w := range p.waiting(now) {
		x.job(w.job)
		p.waits = p.waits || w.job.open > 0
	}
}

// waitingJob is a job with tasks that wait for a run.
type waitingJob struct {
	job     *job
	outlook outlook
}

// waiting returns the jobs with tasks that wait, those first whose turn it is.
func (p *pool) waiting(now time.Time) []waitingJob {
	var list []waitingJob
	for _, j := range p.jobs {
		if j.open > 0 && !j.rec.Phase.IsFinal() {
			list = append(list, waitingJob{j, j.outlook(now)})
		}
	}
	slices.SortFunc(list, compareJobs)
	return list
}

// compareJobs orders the jobs of a pool: lasting ones first, then by priority,
// then by what they can still be, then by age.
func compareJobs(a, b waitingJob) int {
	if a.job.lasting != b.job.lasting {
		if a.job.lasting {
			return -1
		}
		return 1
	}
	if pa, pb := a.job.priority(), b.job.priority(); pa != pb {
		return pa - pb
	}
	if a.outlook != b.outlook {
		return int(a.outlook) - int(b.outlook)
	}
	return cmp.Compare(a.job.rec.Seq, b.job.rec.Seq)
}

// isLasting tells whether a step of a job lasts until the job is cancelled.
func isLasting(spec *jobs.Spec) bool {
	return slices.ContainsFunc(spec.Steps, func(s jobs.Step) bool { return s.LongRunning })
}

// outlook is what a job can still be.
type outlook uint8

// The outlooks. A job that is late is worth little, and one that is far too late
// nothing; it is still finished.
const (
	onTime outlook = iota
	late
	tooLate
)

const (
	// lateFactor is the multiple of a job's objective up to which being late is
	// worth something to its submitter.
	lateFactor = 3
	// hopeShare is the share of the estimated rest of a job's chain that must fit
	// before the objective for the job to count as on time. Estimates are rough,
	// and a job given up too early is lost.
	hopeShare = 0.5
)

// outlook judges a job by its objective and the estimates of what is left.
func (j *job) outlook(now time.Time) outlook {
	rest := time.Duration(hopeShare*float64(j.rest)) * time.Millisecond
	switch {
	case !now.Add(rest).After(j.objective):
		return onTime
	case now.Add(rest).After(j.arrived.Add(lateFactor * j.objective.Sub(j.arrived))):
		return tooLate
	default:
		return late
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
func (j *job) isAdvised() bool { return j.queue != nil && j.queue.Advisor != nil }

func (x *pass) job(j *job) {
	for k := range j.rec.Steps {
		if due, timed := j.rec.Spec.DueAt(k); timed && x.now.UnixMilli() < due.UnixMilli() {
			continue
		}
		for s := range j.rec.Steps[k] {
			if j.rec.Steps[k][s].TasksLeft > 0 && j.rec.IsStepReady(k, s) {
				x.step(j, k, s)
			}
		}
	}
}

func (x *pass) step(j *job, occurrence, place int) {
	step := &j.rec.Spec.Steps[place]
	if j.isAdvised() && !x.hasAdvice(j, stepPlace{occurrence, place}) {
		return
	}
	if step.Gang {
		x.gang(j, occurrence, place)
		return
	}
	// The tasks of a step ask for the same, so that where one finds no executor
	// only those can that have avoided other ones.
	full := false
	for i := range j.tasks[occurrence][place] {
		record := &j.rec.Steps[occurrence][place].Tasks[i]
		view := &j.tasks[occurrence][place][i]
		if record.Done || view.live > 0 || full && len(view.avoided) == 0 {
			continue
		}
		ref := jobs.TaskRef{Job: j.rec.ID, Occurrence: occurrence, Step: place, Index: i}
		if c := x.find(j, ref, step, view); c != nil {
			x.begin(j, ref, record.LastRun+1, c)
		} else if len(view.avoided) == 0 {
			full = true
		}
	}
}

func (x *pass) begin(j *job, ref jobs.TaskRef, number int, c *contact) {
	x.m.newRun(j, ref, number, c, x.now)
	j.open--
	x.m.propose(jobs.Command{BeginRun: &jobs.BeginRun{Task: ref, Run: number, Executor: c.ex.Number}})
}

// isPlain tells whether room alone decides where a step's tasks may run.
func isPlain(s *jobs.Step) bool { return s.Label == "" && s.MaxPerExecutor == 0 && s.DataRack == "" }

// gang places all tasks of a step or none, with one number.
func (x *pass) gang(j *job, occurrence, place int) {
	step := &j.rec.Spec.Steps[place]
	number := 0
	for i := range j.tasks[occurrence][place] {
		if j.tasks[occurrence][place][i].live > 0 {
			return
		}
		number = max(number, j.rec.Steps[occurrence][place].Tasks[i].LastRun)
	}
	taken := map[*contact]jobs.Resources{}
	chosen := make([]*contact, 0, step.Count)
	for range j.tasks[occurrence][place] {
		c := x.findFor(j, jobs.TaskRef{Occurrence: occurrence, Step: place}, taken, chosen)
		if c == nil {
			return
		}
		taken[c] = taken[c].Plus(step.Allocation())
		chosen = append(chosen, c)
	}
	for i, c := range chosen {
		x.begin(j, jobs.TaskRef{Job: j.rec.ID, Occurrence: occurrence, Step: place, Index: i}, number+1, c)
	}
}

// findFor returns an executor for one more member of a gang.
func (x *pass) findFor(j *job, ref jobs.TaskRef, taken map[*contact]jobs.Resources, chosen []*contact) *contact {
	step := &j.rec.Spec.Steps[ref.Step]
	var best *contact
	for _, c := range x.usable {
		if !x.mayRun(j, ref, step, c) || !c.free().Minus(taken[c]).Fits(step.Allocation()) {
			continue
		}
		if step.MaxPerExecutor > 0 && countContacts(chosen, c) >= step.MaxPerExecutor {
			continue
		}
		if step.RackLocal && len(chosen) > 0 && c.ex.Rack != chosen[0].ex.Rack {
			continue
		}
		if best == nil || x.isBetter(c, best, step) {
			best = c
		}
	}
	return best
}

func countContacts(list []*contact, c *contact) int {
	count := 0
	for _, o := range list {
		if o == c {
			count++
		}
	}
	return count
}

// find returns the executor for a task, or nil.
func (x *pass) find(j *job, ref jobs.TaskRef, step *jobs.Step, view *taskView) *contact {
	room := step.Allocation()
	plain := isPlain(step) && !j.isAdvised()
	if plain && x.isTight(room) {
		return nil
	}
	var best *contact
	avoided := false
	for _, c := range x.usable {
		if !x.mayRun(j, ref, step, c) {
			continue
		}
		if slices.Contains(view.avoided, c.ex.Number) {
			avoided = true
			continue
		}
		if best == nil || x.isBetter(c, best, step) {
			best = c
		}
	}
	if best == nil && avoided {
		// Every executor with room has failed the task; one of them is tried
		// again rather than none.
		view.avoided = nil
	}
	if best == nil && plain && !avoided {
		x.tight = append(x.tight, room)
	}
	return best
}

// mayRun tells whether an executor has what a task needs.
func (x *pass) mayRun(j *job, ref jobs.TaskRef, step *jobs.Step, c *contact) bool {
	if !c.ex.HasLabel(step.Label) || !c.free().Fits(step.Allocation()) || c.health.isFull(x.now) {
		return false
	}
	if j.isAdvised() && j.ticket(ref, c.ex.ID) == "" {
		return false
	}
	return step.MaxPerExecutor == 0 || j.countAt(c, ref) < step.MaxPerExecutor
}

func (x *pass) isTight(room jobs.Resources) bool {
	for _, t := range x.tight {
		if room.Fits(t) {
			return true
		}
	}
	return false
}

// countAt counts the runs of a task's step on an executor.
func (j *job) countAt(c *contact, ref jobs.TaskRef) int {
	count := 0
	for key, r := range j.runs {
		if r.at == c && key.task.Step == ref.Step && key.task.Occurrence == ref.Occurrence {
			count++
		}
	}
	return count
}

// isBetter prefers the rack with the data, then, for lasting tasks, executors
// that have some already, then the fullest executor: hosts that stay empty can
// move, and large tasks find room.
func (x *pass) isBetter(a, b *contact, step *jobs.Step) bool {
	if step.DataRack != "" && (a.ex.Rack == step.DataRack) != (b.ex.Rack == step.DataRack) {
		return a.ex.Rack == step.DataRack
	}
	if step.LongRunning && a.lasting != b.lasting {
		return a.lasting > b.lasting
	}
	return a.free().CPU < b.free().CPU
}

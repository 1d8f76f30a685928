package manager

import (
	"slices"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/share"
)

// plan takes what a read-only pass would start, beside the state that it leaves alone, and
// notes how the executors of one job are chosen. A nil plan stands for a pass that decides.
type plan struct {
	uses   map[*session]plannedUse
	onStep map[stepOn]int
	// demands are those of the planned runs by tenant.
	demands map[string]jobs.Resources
	// explained is the job whose choices are noted, by step.
	explained *job
	steps     map[stepKey]*plannedStep
}

// plannedUse is what the planned runs use of an executor.
type plannedUse struct {
	allocated                   jobs.Resources
	runs, longRunning, suspects int
}

// stepOn is a step of a job on an executor. The index of the task is 0.
type stepOn struct {
	step    jobs.TaskRef
	session *session
}

func stepOf(ref jobs.TaskRef) jobs.TaskRef {
	ref.Index = 0
	return ref
}

// plannedStep is what a pass plans for a step of the explained job.
type plannedStep struct {
	starts []*session
	// first and last are the notes of the first and of the last choice.
	first, last *choiceNotes
}

// notes returns those of the last choice if it found no executor, else of the first one.
func (s *plannedStep) notes() *choiceNotes {
	if s.last != nil && s.last.best == nil {
		return s.last
	}
	return s.first
}

func newPlan(explained *job) *plan {
	return &plan{uses: map[*session]plannedUse{}, onStep: map[stepOn]int{}, demands: map[string]jobs.Resources{}, explained: explained, steps: map[stepKey]*plannedStep{}}
}

// start plans a run.
func (pl *plan) start(j *job, ref jobs.TaskRef, s *session) {
	step := &j.rec.Spec.Steps[ref.Step]
	use := pl.uses[s]
	use.allocated = use.allocated.Plus(step.Allocation())
	use.runs++
	if step.LongRunning {
		use.longRunning++
	}
	if task, _ := j.rec.Task(ref); task != nil && task.IsSuspect() {
		use.suspects++
	}
	pl.uses[s] = use
	pl.demands[j.rec.Tenant] = pl.demands[j.rec.Tenant].Plus(step.Demand)
	pl.onStep[stepOn{stepOf(ref), s}]++
	if j == pl.explained {
		planned := pl.step(ref)
		planned.starts = append(planned.starts, s)
	}
}

// fitsLimit reports whether the limit of the job's tenant allows to start a number of tasks
// beside the planned runs.
func (pl *plan) fitsLimit(m *Manager, j *job, step *jobs.Step, count int) bool {
	planned, ok := pl.demands[j.rec.Tenant]
	if !m.tenants.isEnabled || !ok {
		return !m.tenants.isEnabled || m.fitsLimit(j, step, count)
	}
	limit := m.tenants.definition(j.rec.Tenant).limit
	return share.IsWithin(limit, m.tenants.inUse.InUse(j.rec.Tenant).Plus(planned).Plus(timesDemand(step.Demand, count)))
}

func (pl *plan) step(ref jobs.TaskRef) *plannedStep {
	key := stepKeyOf(ref)
	if pl.steps[key] == nil {
		pl.steps[key] = &plannedStep{}
	}
	return pl.steps[key]
}

// explains reports whether the choices of the job are noted.
func (pl *plan) explains(j *job) bool { return pl != nil && pl.explained == j }

// notesFor returns where the choice for a task is noted, or nil if it is not. Of a step
// only two choices are kept, because it may have thousands of tasks.
func (pl *plan) notesFor(j *job, ref jobs.TaskRef) *choiceNotes {
	if !pl.explains(j) {
		return nil
	}
	step := pl.step(ref)
	switch {
	case step.first == nil:
		step.first = &choiceNotes{}
		step.last = step.first
	case step.last == step.first:
		step.last = &choiceNotes{}
	default:
		*step.last = choiceNotes{considered: step.last.considered[:0]}
	}
	return step.last
}

// choiceNotes are the executors that were considered for one task.
type choiceNotes struct {
	considered []consideration
	best       *session
	isBetter   func(a, b *session) criterion
}

type consideration struct {
	session *session
	reason  exclusion
}

func (n *choiceNotes) note(s *session, reason exclusion) {
	n.considered = append(n.considered, consideration{s, reason})
}

// reasonOf returns why the executor was not chosen: what was against it, or by what the
// best one is better.
func (n *choiceNotes) reasonOf(c consideration) string {
	switch {
	case c.reason != exclusionNone:
		return c.reason.String()
	case c.session == n.best:
		return ""
	default:
		return "other_is_better:" + n.isBetter(n.best, c.session).String()
	}
}

// sorted returns the considerations in the order of the executors' numbers.
func (n *choiceNotes) sorted() []consideration {
	list := slices.Clone(n.considered)
	slices.SortFunc(list, func(a, b consideration) int { return a.session.rec.Number - b.session.rec.Number })
	return list
}

package manager

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"laburnumdock/internal/core/decision"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/forecast"
	"laburnumdock/internal/core/jobs"
)

// This file explains where a job would go. It runs a pass over the job's pool that plans
// runs instead of starting them, up to the job. The pass uses the same functions as one
// that decides, and changes neither the manager nor the records.

// maxChosen bounds the executors that an explanation lists for one step.
const maxChosen = 64

// Explain returns where a job would go now and why. The request names a job by its path,
// as a call of a client does, or by its ID alone. A job that does not exist is explained
// as if it was submitted now, if the request describes it.
func (m *Manager) Explain(req Request, now time.Time) (*decision.Explanation, *fault.Error) {
	j, err := m.jobToExplain(req, now)
	if err != nil {
		return nil, err
	}
	x := &decision.Explanation{
		Subject: "job", Name: j.rec.ID, Source: "leader of the cell", IsKnown: m.jobs[j.rec.ID] == j,
		Queue: j.rec.Queue, Pool: j.pool.name, Tenant: j.rec.Tenant, Limits: m.limitsOf(j), Parts: []decision.Part{},
	}
	if j.rec.Phase.IsFinal() {
		x.State, x.Reason = "ended", phaseName(j.rec.Phase)
		return x, nil
	}
	m.explainPass(x, j, now)
	if !x.IsKnown {
		m.explainSubmission(x, j, now)
	}
	return x, nil
}

// explainSubmission adds whether the submission of a described job would be refused.
func (m *Manager) explainSubmission(x *decision.Explanation, j *job, now time.Time) {
	s := m.newSubmission(j.rec.ID, caller{queue: j.queue, tenant: j.rec.Tenant}, &j.rec.Spec, now)
	if m.hasTooWideGang(s.tenant, s.spec) {
		x.State, x.Reason = "refused", "gang_exceeds_limit_of_tenant"
		return
	}
	if d, reason := m.explainRefusal(j.pool, &s, now); d.Refused {
		x.State, x.Reason, x.ExpectedStart = "refused", reason, decision.MillisOf(d.Wait)
		x.Limits = append(x.Limits, decision.Limit{Name: "time after which to submit again", Value: d.RetryAfter.Round(time.Millisecond).String()})
	}
}

// jobToExplain returns the job that a request names, or one that is not part of the
// manager's state.
func (m *Manager) jobToExplain(req Request, now time.Time) (*job, *fault.Error) {
	config := m.state.Config()
	if config == nil {
		return nil, fault.New(fault.Unavailable, "no configuration is in force")
	}
	if req.Key != nil && (config.Tenancy == nil || config.Tenancy.TenantByKey(*req.Key) == nil) {
		return nil, fault.New(fault.Unauthenticated, "the API key is not that of a tenant")
	}
	if isJobID(req.Path) {
		return m.existingJob(req.Path, "", req.Key)
	}
	queue, id := config.Match(req.Host, req.Path)
	if queue == nil {
		return nil, fault.New(fault.NotFound, "no queue matches path %q of host %q", req.Path, req.Host)
	}
	if req.Spec == nil || m.state.Job(id) != nil {
		if !isJobID(id) {
			return nil, fault.InvalidField("path", "the path of a queue, followed by a job's ID of 16 hexadecimal digits", "queue %s has no job %q", queue.Name, id)
		}
		return m.existingJob(id, queue.Name, req.Key)
	}
	tenant, ok := authenticate(config, queue, req.Key)
	if !ok {
		return nil, fault.New(fault.Unauthenticated, "queue %s needs the API key of a tenant", queue.Name)
	}
	if err := req.Spec.Check(); err != nil {
		return nil, err
	}
	if config.Pool(queue.Pool) == nil || m.pools[queue.Pool] == nil {
		return nil, fault.New(fault.NotFound, "pool %s of queue %s is not known or has had no executor yet", queue.Pool, queue.Name)
	}
	return m.describedJob(&jobs.AcceptJob{ID: id, Queue: queue.Name, Pool: queue.Pool, Spec: *req.Spec, SubmittedAt: now.UnixMilli(), Tenant: tenant}, now), nil
}

// existingJob returns a job of the records, in the given queue unless that is empty. With
// the key of another tenant it does not exist.
func (m *Manager) existingJob(id, queue string, key *jobs.KeyDigest) (*job, *fault.Error) {
	rec := m.state.Job(id)
	if rec != nil && key != nil && m.state.Config().Tenancy.TenantByKey(*key).Name != rec.Tenant {
		rec = nil
	}
	if rec == nil || queue != "" && rec.Queue != queue {
		return nil, fault.New(fault.NotFound, "job %s does not exist; describe it to have a new one explained", id)
	}
	if j := m.jobs[id]; j != nil {
		return j, nil
	}
	return &job{rec: rec, pool: &pool{name: rec.Pool}}, nil
}

// describedJob returns the job that a submission would add. Nothing refers to it.
func (m *Manager) describedJob(a *jobs.AcceptJob, now time.Time) *job {
	j := newJob(jobs.NewJob(a, m.state.LastSeq()+1), now)
	j.queue, j.pool = m.state.Config().Queue(a.Queue), m.pools[a.Pool]
	m.forecastSteps(j, now)
	j.recount()
	return j
}

// explainPass plans a pass up to the job and explains what it would do with it.
func (m *Manager) explainPass(x *decision.Explanation, j *job, now time.Time) {
	leaving := m.leaving
	if now.Sub(m.leavingAt) >= waveInterval {
		leaving = m.leavingExecutors(now)
	}
	sp := m.newPass(j.pool, leaving, now)
	sp.plan = newPlan(j)
	list := j.pool.waitingJobs(now)
	if !x.IsKnown {
		list = append(list, waitingJob{job: j, timeliness: j.timeliness(now)})
		slices.SortFunc(list, compareJobs)
	}
	ahead := hostFractions{}
	capacity := m.hostCapacity(j.pool)
	x.Waiting = len(list)
	for i, w := range list {
		if w.job == j {
			x.Position = i + 1
			break
		}
		ahead = ahead.AddScaled(m.waitingWork(w.job, capacity), 1)
	}
	sp.placeJobs(list)
	x.Order = orderOf(j, now)
	for occ := range j.rec.Steps {
		for s := range j.rec.Steps[occ] {
			x.Parts = append(x.Parts, m.explainStep(sp, j, stepKey{occ, s}))
		}
		if occ == 0 && len(j.rec.Steps) > 1 {
			// The others are equal, and there may be thousands.
			break
		}
	}
	m.explainTimes(x, j, sp, ahead)
}

// explainStep returns what the planned pass does with a step.
func (m *Manager) explainStep(sp *pass, j *job, key stepKey) decision.Part {
	step := &j.rec.Spec.Steps[key.step]
	took := m.runTimes.Step(forecastKey(j.rec.Queue, step), step.Estimate, timedTasks(step))
	part := decision.Part{
		Name: "step " + strconv.Itoa(key.step), Median: decision.MillisOf(took.Median), High: decision.MillisOf(took.High),
		Tasks: j.waitingOf(key),
	}
	planned := sp.plan.steps[key]
	if planned == nil {
		part.State = m.stateOfUnplanned(sp, j, key, part.Tasks)
		return part
	}
	for _, s := range planned.starts[:min(len(planned.starts), maxChosen)] {
		part.Chosen = append(part.Chosen, s.rec.ID)
	}
	switch len(planned.starts) {
	case 0:
		part.State = "waits_for_executor"
	case part.Tasks:
		part.State = "starts"
	default:
		part.State = fmt.Sprintf("starts_%d_of_%d", len(planned.starts), part.Tasks)
	}
	if notes := planned.notes(); notes != nil {
		part.Candidates = m.candidatesOf(sp, notes)
	}
	return part
}

// candidatesOf returns the executors of the pool with the reasons why they were not chosen.
func (m *Manager) candidatesOf(sp *pass, notes *choiceNotes) []decision.Candidate {
	var list []decision.Candidate
	for _, c := range notes.sorted() {
		list = append(list, candidateOf(c.session, c.session == notes.best, notes.reasonOf(c)))
	}
	for _, s := range sp.pool.sessions {
		if reason := m.exclusionOf(s, sp.now); reason != exclusionNone {
			list = append(list, candidateOf(s, false, reason.String()))
		}
	}
	return list
}

func candidateOf(s *session, chosen bool, reason string) decision.Candidate {
	return decision.Candidate{Name: s.rec.ID, Host: s.rec.Host, Rack: s.rec.Rack, Zone: s.rec.Zone, Chosen: chosen, Reason: reason}
}

// stateOfUnplanned returns why the pass looked for no executor for a step.
func (m *Manager) stateOfUnplanned(sp *pass, j *job, key stepKey, waiting int) string {
	due, timed := j.rec.Spec.DueAt(key.occurrence)
	switch {
	case j.isExhausted:
		return "attempts_used_up"
	case j.rec.Steps[key.occurrence][key.step].TasksLeft == 0:
		return "done"
	case timed && sp.now.UnixMilli() < due.UnixMilli():
		return "not_due"
	case !j.rec.IsStepReady(key.occurrence, key.step):
		return "waits_for_earlier_steps"
	case waiting == 0:
		return "running"
	default:
		return "waits_for_executor"
	}
}

// waitingOf returns the number of a step's tasks that are not done and have no run.
func (j *job) waitingOf(key stepKey) int {
	count := 0
	for i := range j.tasks[key.occurrence][key.step] {
		if !j.rec.Steps[key.occurrence][key.step].Tasks[i].Done && j.tasks[key.occurrence][key.step][i].liveRuns == 0 {
			count++
		}
	}
	return count
}

// waitingWork returns the work of a job's waiting tasks in hosts times milliseconds.
func (m *Manager) waitingWork(j *job, capacity jobs.Resources) hostFractions {
	var sum hostFractions
	for occ := range j.rec.Steps {
		for s := range j.rec.Steps[occ] {
			step := &j.rec.Spec.Steps[s]
			if waiting := j.waitingOf(stepKey{occ, s}); waiting > 0 && !step.LongRunning {
				mean := m.taskTime(j.rec.Queue, step).Mean()
				sum = sum.AddScaled(hostFractionsOf(step.Allocation(), capacity), float64(waiting)*float64(mean.Milliseconds()))
			}
		}
	}
	return sum
}

// explainTimes sets the state of the job and its expected times. A job that does not start
// now is expected to do so when the pool has worked off what waits ahead of it.
func (m *Manager) explainTimes(x *decision.Explanation, j *job, sp *pass, ahead hostFractions) {
	started, waits := 0, ""
	for _, part := range x.Parts {
		started += len(part.Chosen)
		if part.State == "waits_for_executor" || part.State == "not_due" || part.State == "attempts_used_up" {
			waits = part.State
		}
	}
	switch {
	case started > 0 && !j.hasBegun():
		x.State = "starts"
	case j.hasBegun():
		x.State, x.Reason = "running", waits
	default:
		x.State, x.Reason = "waits", waits
	}
	if x.State == "waits" {
		hosts := max(len(sp.schedulable), 1)
		x.ExpectedStart = decision.Millis(ahead.Largest() / float64(hosts))
	}
	times := func(of func(forecast.Prediction) time.Duration) time.Duration {
		return j.criticalPath(func(step int, done bool) time.Duration {
			if done {
				return 0
			}
			s := &j.rec.Spec.Steps[step]
			return of(m.runTimes.Step(forecastKey(j.rec.Queue, s), s.Estimate, timedTasks(s)))
		})
	}
	x.ExpectedEnd = x.ExpectedStart + decision.MillisOf(times(func(p forecast.Prediction) time.Duration { return p.Median }))
	x.EndHigh = x.ExpectedStart + decision.MillisOf(times(func(p forecast.Prediction) time.Duration { return p.High }))
	first := &j.rec.Spec.Steps[0]
	x.TimesKnown = m.taskTime(j.rec.Queue, first).Known
}

// orderOf returns the values by which compareJobs orders the job.
func orderOf(j *job, now time.Time) []decision.Value {
	return []decision.Value{
		{Name: "longRunning", Value: strconv.FormatBool(j.longRunning)},
		{Name: "priority", Value: strconv.Itoa(j.priority())},
		{Name: "timeliness", Value: j.timeliness(now).String()},
		{Name: "hasBegun", Value: strconv.FormatBool(j.hasBegun())},
		{Name: "latestStartMs", Value: strconv.FormatInt(j.latestStart.Sub(now).Milliseconds(), 10)},
		{Name: "deadlineMs", Value: strconv.FormatInt(j.deadline.Sub(now).Milliseconds(), 10)},
		{Name: "acceptance", Value: strconv.FormatUint(j.rec.Seq, 10)},
	}
}

// String returns the name used in explanations.
func (t timeliness) String() string {
	names := [...]string{"on_time", "late", "too_late"}
	if int(t) < len(names) {
		return names[t]
	}
	return names[0]
}

// limitsOf returns the limits of a job's queue, steps and tenant.
func (m *Manager) limitsOf(j *job) []decision.Limit {
	attempts, source := m.state.AttemptLimit(j.rec.Queue)
	list := []decision.Limit{{Name: "attempts (" + string(source) + ")", Value: strconv.Itoa(attempts)}}
	for i := range j.rec.Spec.Steps {
		if limit := j.rec.Spec.Steps[i].MaxPerExecutor; limit > 0 {
			list = append(list, decision.Limit{Name: fmt.Sprintf("tasks of step %d on one executor", i), Value: strconv.Itoa(limit)})
		}
	}
	config := m.state.Config()
	if config == nil || config.Tenancy == nil {
		return list
	}
	if t := config.Tenancy.Tenant(j.rec.Tenant); t != nil {
		list = append(list, decision.Limit{Name: "weight of tenant", Value: strconv.FormatFloat(t.Weight, 'g', -1, 64)})
		if text := resourcesText(t.MaxRunning); text != "" {
			list = append(list, decision.Limit{Name: "running work of tenant", Used: resourcesText(m.tenants.inUse.InUse(t.Name)), Value: text})
		}
	}
	return list
}

// resourcesText returns the resources that have a limit.
func resourcesText(r jobs.Resources) string {
	var list []string
	if r.CPU > 0 {
		list = append(list, fmt.Sprintf("%g cores", float64(r.CPU)/1000))
	}
	if r.MemoryMB > 0 {
		list = append(list, fmt.Sprintf("%d MB", r.MemoryMB))
	}
	if r.Accelerators > 0 {
		list = append(list, fmt.Sprintf("%d accelerators", r.Accelerators))
	}
	return strings.Join(list, ", ")
}

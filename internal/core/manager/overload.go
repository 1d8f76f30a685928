package manager

import (
	"time"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/overload"
)

// This file tells package overload what a submitted job finds in its pool. The decision
// answers surges that are larger than a pool; see the package.

// The reasons of EventJobOverload.
const (
	reasonTooLong = "wait_exceeds_slack"
	reasonTooLate = "objective_has_passed"
	reasonTooMuch = "too_much_accepted"
)

const (
	// backlogAge is the age up to which the waiting work of a pool is used for decisions.
	// It is half the time between two checks of pool sizes.
	backlogAge = 50 * time.Millisecond
	// hearingTime is the number of report intervals in which a new leader hears its executors.
	// It refuses nothing before.
	hearingTime = 2
	// bootAllowance is the time that a host needs after its move until it takes work.
	bootAllowance = 250 * time.Millisecond
	// refusalMemory is the time for which the first attempt of a refused submission is
	// remembered, and maxRefusals their number. A client repeats it up to four times.
	refusalMemory = 30 * time.Second
	maxRefusals   = 20_000
)

// submission is a job that is being recorded.
type submission struct {
	id     string
	queue  *jobs.Queue
	tenant string
	spec   *jobs.Spec
	// firstAt is the time of the first attempt as far as this leader knows, from which the
	// objective counts. isRepeated is set if that one was refused.
	firstAt       time.Time
	isRepeated    bool
	estimatedWait time.Duration
	hasEstimate   bool
}

// refusals are the first attempts of refused submissions by job ID, and their IDs in the
// order of time.
type refusals struct {
	firstAt map[string]time.Time
	order   []string
}

// remember stores the first attempt of a submission.
func (r *refusals) remember(id string, at time.Time) {
	if r.firstAt == nil {
		r.firstAt = map[string]time.Time{}
	}
	if _, ok := r.firstAt[id]; ok {
		return
	}
	r.firstAt[id] = at
	r.order = append(r.order, id)
	for len(r.order) > maxRefusals || at.Sub(r.firstAt[r.order[0]]) > refusalMemory {
		delete(r.firstAt, r.order[0])
		r.order = r.order[1:]
	}
}

func (m *Manager) newSubmission(id string, c caller, spec *jobs.Spec, now time.Time) submission {
	s := submission{id: id, queue: c.queue, tenant: c.tenant, spec: spec, firstAt: now}
	if at, ok := m.refusals.firstAt[id]; ok {
		s.firstAt, s.isRepeated = at, true
	}
	return s
}

// mayRefuse reports whether the rule applies to a submission: its queue has an objective, and
// the job is to run at once and to end.
func (s *submission) mayRefuse() bool {
	return (s.queue.SlackFactor > 0 || s.queue.Target > 0) && s.spec.Repeat == 0 && !hasLongRunningStep(s.spec)
}

// refuseOverload refuses a submission that cannot be on time, and reports whether it did.
func (m *Manager) refuseOverload(req Request, s *submission, now time.Time) bool {
	p := m.pool(s.queue.Pool)
	if !m.decidesOverload(s, now) {
		return false
	}
	if now.Sub(p.backlogAt) > backlogAge {
		p.backlog, p.backlogAt = m.backlogOf(p, p.backlog.entries[:0], now), now
	}
	if !p.backlog.hasExecutors {
		return false
	}
	entry, job := m.assess(&p.backlog, s, now)
	d := p.gate.Decide(m.poolFor(p, &p.backlog, s.tenant, now), job, now)
	s.estimatedWait, s.hasEstimate = d.Wait, true
	if !d.Refused {
		p.backlog.entries = append(p.backlog.entries, entry)
		p.backlog.pool.Free = p.backlog.pool.Free.AddScaled(job.Demand, -1)
		return false
	}
	if !s.isRepeated {
		m.recordArrival(p, s.queue.Name, s.tenant, s.spec, now)
	}
	if m.tenants.isEnabled {
		p.noteRefused(s.tenant, s.spec, now)
	}
	m.refusals.remember(s.id, s.firstAt)
	m.reply(Reply{ID: req.ID, Kind: ReplyOverloaded, RetryAfter: d.RetryAfter})
	m.logEvent(Event{Kind: EventJobOverload, Job: s.id, Pool: p.name, Queue: s.queue.Name, Reason: refusalReason(d, job), Age: d.Wait, RetryAfter: d.RetryAfter})
	return true
}

// decidesOverload reports whether a submission may be refused because of overload now.
func (m *Manager) decidesOverload(s *submission, now time.Time) bool {
	return s.mayRefuse() && now.Sub(m.startedAt) >= hearingTime*m.cfg.ReportInterval
}

// explainRefusal returns the decision on a submission that is not made, and its reason. It
// changes nothing.
func (m *Manager) explainRefusal(p *pool, s *submission, now time.Time) (overload.Decision, string) {
	b := m.backlogOf(p, nil, now)
	if !m.decidesOverload(s, now) || !b.hasExecutors {
		return overload.Decision{}, ""
	}
	_, job := m.assess(&b, s, now)
	gate := p.gate
	d := gate.Decide(m.poolFor(p, &b, s.tenant, now), job, now)
	return d, refusalReason(d, job)
}

func refusalReason(d overload.Decision, job overload.Job) string {
	switch {
	case job.Slack <= 0:
		return reasonTooLate
	case d.Wait <= job.Slack:
		return reasonTooMuch
	default:
		return reasonTooLong
	}
}

// poolFor returns the part of a pool that a tenant can count on: its share, with the burst
// beyond it that a pass allows. Without tenants that is the whole pool.
func (m *Manager) poolFor(p *pool, b *backlog, tenant string, now time.Time) overload.Pool {
	hosts := m.hostsIn(p)
	if !m.tenants.isEnabled || hosts <= 0 {
		return b.pool
	}
	return b.pool.Part(min(m.tenantEntitlement(p, tenant, now)/hosts+maxBurst, 1))
}

// assess returns the entry of a submission in the waiting work of its pool, and what the
// decision needs to know of it.
func (m *Manager) assess(b *backlog, s *submission, now time.Time) (waitingWork, overload.Job) {
	progress := m.predictSteps(s.spec, s.queue.Name)
	path := longestChain(s.spec, func(step int) time.Duration { return progress[step].predicted })
	slack, target := objectiveOf(s.queue)
	deadline := s.firstAt.Add(time.Duration(slack*float64(path)) + target)
	entry := waitingWork{tenant: s.tenant, priority: s.queue.Priority, latestStart: deadline.Add(-path)}
	job := overload.Job{Slack: latestBegin(entry.latestStart, path).Sub(now)}
	isBlocked := false
	for i := range s.spec.Steps {
		step := &s.spec.Steps[i]
		if !b.largest.Fits(step.Allocation()) {
			isBlocked = true
			continue
		}
		perTask := hostFractionsOf(step.Allocation(), b.hostCapacity)
		work := overload.Amount{}.AddScaled(perTask, float64(step.Count)*progress[i].task.Seconds())
		job.Work = job.Work.AddScaled(work, 1)
		if len(step.After) > 0 {
			entry.later = entry.later.AddScaled(work, 1)
			continue
		}
		entry.ready = entry.ready.AddScaled(work, 1)
		job.Demand = job.Demand.AddScaled(perTask, float64(step.Count))
	}
	if isBlocked {
		entry.later = overload.Amount{}
	}
	late := b.late[s.tenant]
	if job.Slack <= 0 {
		// The job counts as late, and late jobs start after the others, by age.
		job.Ahead = late
	}
	job.Accepted = late
	for i := range b.entries {
		if b.entries[i].tenant != s.tenant {
			// The work of others is taken into account by the tenant's part of the pool.
			continue
		}
		job.Accepted = job.Accepted.AddScaled(b.entries[i].ready, 1).AddScaled(b.entries[i].later, 1)
		// A repeated submission has an earlier latest start than the jobs that were accepted
		// meanwhile. It is only accepted behind them, so that they are still on time.
		if e := &b.entries[i]; s.isRepeated || e.startsBefore(&entry) {
			job.Ahead = job.Ahead.AddScaled(e.ready, 1)
			job.Later = job.Later.AddScaled(e.later, 1)
		}
	}
	return entry, job
}

// waitingWork is work of a job that waits for capacity.
type waitingWork struct {
	tenant      string
	priority    int
	hasBegun    bool
	latestStart time.Time
	// ready is the work that could start now, and later that of the steps after it.
	ready, later overload.Amount
}

// startsBefore reports whether the work starts before that of a job that has not begun and
// can be on time. See compareJobs.
func (w *waitingWork) startsBefore(o *waitingWork) bool {
	if w.priority != o.priority {
		return w.priority < o.priority
	}
	return w.hasBegun || !w.latestStart.After(o.latestStart)
}

// backlog is the capacity of a pool for tasks that end and the work that waits there and can be on time.
type backlog struct {
	pool    overload.Pool
	entries []waitingWork
	// late is the work of late jobs by tenant.
	late         map[string]overload.Amount
	hostCapacity jobs.Resources
	// largest is the largest capacity of an executor in each dimension. Tasks that need more
	// wait for another executor and take nothing from the jobs behind them.
	largest      jobs.Resources
	hasExecutors bool
}

// backlogOf sums up the waiting work of a pool. Late jobs start after the others. The entries
// are an empty list whose memory is used.
func (m *Manager) backlogOf(p *pool, entries []waitingWork, now time.Time) backlog {
	b := backlog{hostCapacity: m.hostCapacity(p), entries: entries, late: map[string]overload.Amount{}}
	for _, s := range p.sessions {
		if s.ended || s.draining {
			continue
		}
		b.hasExecutors = true
		b.largest = s.rec.Capacity.Max(b.largest)
		capacity := hostFractionsOf(s.rec.Capacity.Minus(s.foreign).Minus(s.longRunningAllocation()), b.hostCapacity)
		switch {
		case m.exclusionOf(s, now) == exclusionNone:
			b.pool.Capacity = b.pool.Capacity.AddScaled(capacity, 1)
			b.pool.Free = b.pool.Free.AddScaled(hostFractionsOf(s.free(), b.hostCapacity), 1)
		case !s.confirmed && s.failures == 0:
			b.pool.Arrivals = append(b.pool.Arrivals, overload.Arrival{Capacity: capacity})
		}
	}
	m.addArrivals(p, &b, now)
	b.addJobs(p, now)
	return b
}

// addJobs adds the work of the pool's jobs that has no run.
func (b *backlog) addJobs(p *pool, now time.Time) {
	tasks, steps := 0, 0
	var taskTime, stepTime time.Duration
	for _, j := range p.jobs {
		if j.longRunning || j.rec.Phase.IsFinal() || len(j.rec.Steps) == 0 {
			continue
		}
		entry := waitingWork{tenant: j.rec.Tenant, priority: j.priority(), hasBegun: j.hasBegun(), latestStart: j.latestStart}
		isBlocked := false
		for s := range j.rec.Steps[0] {
			left := j.rec.Steps[0][s].TasksLeft
			if left == 0 {
				continue
			}
			left -= j.countLive(0, s)
			step := &j.rec.Spec.Steps[s]
			if !b.largest.Fits(step.Allocation()) {
				isBlocked = true
				continue
			}
			work := overload.Amount{}.AddScaled(hostFractionsOf(step.Allocation(), b.hostCapacity), float64(left)*j.progress[s].task.Seconds())
			if j.rec.IsStepReady(0, s) {
				entry.ready = entry.ready.AddScaled(work, 1)
			} else {
				entry.later = entry.later.AddScaled(work, 1)
			}
			steps++
			tasks += step.Count
			taskTime += time.Duration(step.Count) * j.progress[s].task
			stepTime += j.progress[s].predicted
		}
		if isBlocked {
			// The steps behind one that no executor can hold do not start either.
			entry.later = overload.Amount{}
		}
		if j.timeliness(now) == onTime {
			b.entries = append(b.entries, entry)
		} else {
			b.late[entry.tenant] = b.late[entry.tenant].AddScaled(entry.ready, 1).AddScaled(entry.later, 1)
		}
	}
	if tasks > 0 {
		b.pool.TaskTime, b.pool.StepTime = taskTime/time.Duration(tasks), stepTime/time.Duration(steps)
	}
}

// addArrivals adds the hosts that move to the pool, and those of the standby pool, which move
// as soon as a pool needs them.
func (m *Manager) addArrivals(p *pool, b *backlog, now time.Time) {
	one := hostFractionsOf(b.hostCapacity, b.hostCapacity)
	standby := ""
	if config := m.state.Config(); config != nil && m.cfg.HasHostAPI {
		for i := range config.Pools {
			if config.Pools[i].Standby {
				standby = config.Pools[i].Name
			}
		}
	}
	idle := 0
	for _, h := range m.hosts.byName {
		if standby != "" && h.pool == standby && !h.away {
			idle++
			continue
		}
		if !h.away || h.target != p.name {
			continue
		}
		after := max(m.cfg.MoveTime+bootAllowance-now.Sub(h.orderedAt), 0)
		b.pool.Arrivals = append(b.pool.Arrivals, overload.Arrival{After: after, Capacity: one})
	}
	for _, other := range m.pools {
		if other != p {
			idle += other.spareHosts
		}
	}
	if idle > 0 {
		b.pool.Arrivals = append(b.pool.Arrivals, overload.Arrival{After: m.cfg.MoveTime + bootAllowance, Capacity: overload.Amount{}.AddScaled(one, float64(idle))})
	}
	overload.SortArrivals(b.pool.Arrivals)
}

// expectWait stores the estimate with which a job was accepted.
func (m *Manager) expectWait(j *job, now time.Time) {
	s, ok := m.submitting[j.rec.ID]
	if !ok || !s.hasEstimate {
		return
	}
	j.acceptedAt, j.estimatedWait, j.isWaitKnown = now, s.estimatedWait, false
}

// observeWait compares the wait of a job with its estimate once all tasks that can start
// first have a run, or once it is late because they have none: its wait is longer then.
func (j *job) observeWait(now time.Time) {
	if j.isWaitKnown {
		return
	}
	for s := range j.rec.Spec.Steps {
		isWaiting := len(j.rec.Spec.Steps[s].After) == 0 && j.countLive(0, s) < j.rec.Steps[0][s].TasksLeft
		if isWaiting && j.timeliness(now) == onTime {
			return
		}
	}
	j.isWaitKnown = true
	j.pool.gate.Drain().ObserveWait(j.estimatedWait, now.Sub(j.acceptedAt))
}

// observeOccupancy records how long a run that is done has held its capacity: from the
// decision to start it to the record of its end.
func (r *run) observeOccupancy(now time.Time) {
	if r.key.task.Occurrence == 0 && !r.step.LongRunning {
		r.job.pool.gate.Drain().ObserveRun(now.Sub(r.proposedAt), r.stateSince.Sub(r.orderedAt))
	}
}

// observeFill records which part of its capacity a pool uses while tasks wait for it.
func (m *Manager) observeFill(sp *pass) {
	if len(sp.unplaceable) == 0 {
		return
	}
	var capacity, used int64
	for _, s := range sp.schedulable {
		held := s.longRunningAllocation().CPU
		capacity += s.rec.Capacity.CPU - held
		used += s.allocated.CPU - held
	}
	if capacity > 0 {
		sp.pool.gate.Drain().ObserveFill(float64(used) / float64(capacity))
	}
}

package sched

import (
	"fmt"
	"maps"
	"strconv"
	"time"

	"laburnumdock/internal/core/decision"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// exclusion is a reason why a host may not get a task now.
type exclusion uint8

const (
	exclusionNone exclusion = iota
	exclusionQuarantined
	exclusionHealthUnknown
	exclusionUnavailable
	exclusionCapacity
)

// String returns the name used in explanations.
func (e exclusion) String() string {
	return [...]string{"none", "quarantined", "health_unknown", "unavailable", "capacity"}[e]
}

// criterion is that by which one host is better for a task than another.
type criterion uint8

const (
	criterionName criterion = iota
	criterionFailures
	criterionZone
	criterionRack
	criterionFreeCores
)

// String returns the name used in explanations.
func (c criterion) String() string {
	return [...]string{"name", "fewer_failures", "zone_with_fewer_tasks", "rack_with_fewer_tasks", "more_free_cores"}[c]
}

// notes are the hosts that a pass considered for one task of a job: the first one, or the
// last one if none was found for it.
type notes struct {
	job        string
	candidates []decision.Candidate
	chosen     bool
	// considered and hosts belong to the search under way.
	considered []exclusion
	hosts      []*hostUsage
}

// of returns the notes if the pass explains the job, or nil.
func (n *notes) of(d *jobDraft) *notes {
	if n == nil || n.job != d.job.Name {
		return nil
	}
	n.considered, n.hosts = nil, nil
	return n
}

func (n *notes) add(h *hostUsage, reason exclusion) {
	if n != nil {
		n.considered, n.hosts = append(n.considered, reason), append(n.hosts, h)
	}
}

// end ends the search for the host of a task.
func (n *notes) end(p *pass, d *jobDraft, best *hostUsage, s spread) {
	if n == nil || n.chosen && best != nil {
		return
	}
	n.candidates, n.chosen = nil, best != nil
	for i, h := range n.hosts {
		c := decision.Candidate{Name: h.host.Name, Host: h.host.Name, Rack: h.host.Spec.Rack, Zone: h.host.Spec.Zone}
		switch {
		case h == best:
			c.Chosen = true
		case n.considered[i] != exclusionNone:
			c.Reason = n.considered[i].String()
		default:
			_, by := p.compareHosts(d, best, h, s)
			c.Reason = "other_is_better:" + by.String()
		}
		n.candidates = append(n.candidates, c)
	}
}

// Explain returns where the pending tasks of a job would be placed now and why. It runs a
// pass over the snapshot whose commands are dropped, on a copy of the failure history, and
// so changes nothing.
func (s *Scheduler) Explain(snap *state.Snapshot, in Input, name string, now time.Time) (*decision.Explanation, *fault.Error) {
	if _, ok := snap.Get(model.Key{Kind: model.KindJob, Name: name}).(*model.Job); !ok {
		return nil, fault.New(fault.NotFound, "job %s does not exist", name)
	}
	scratch := &Scheduler{failures: s.failures.clone()}
	p := scratch.newPass(snap, now)
	p.notes = &notes{job: name}
	p.run(in)
	d := p.jobs[name]
	if p.pools[d.job.Spec.Pool] == nil {
		return nil, fault.New(fault.NotFound, "pool %s of job %s does not exist", d.job.Spec.Pool, name)
	}
	x := &decision.Explanation{
		Subject: "job", Name: name, Source: "leader of the control replicas", IsKnown: true, Pool: d.job.Spec.Pool, Tenant: d.job.Spec.Team,
		Limits: p.limitsOf(d), Order: []decision.Value{{Name: "priority", Value: fmt.Sprint(d.job.Spec.Priority)}, {Name: "created", Value: d.job.Created.UTC().Format(time.RFC3339Nano)}},
	}
	p.setPosition(x, d)
	x.Parts = []decision.Part{p.partOf(d)}
	x.State, x.Reason = x.Parts[0].State, string(d.reason)
	if d.message != "" {
		x.Reason += ": " + d.message
	}
	return x, nil
}

// partOf returns what the pass does with the tasks of a job.
func (p *pass) partOf(d *jobDraft) decision.Part {
	part := decision.Part{Name: "tasks", Candidates: p.notes.candidates}
	running := 0
	for i, task := range d.tasks {
		wasPending := i >= len(d.job.Status.Tasks) || d.job.Status.Tasks[i].State == model.TaskPending
		switch {
		case task.State == model.TaskStarting && wasPending:
			part.Chosen = append(part.Chosen, task.Host)
			part.Tasks++
		case task.State == model.TaskPending:
			part.Tasks++
		case state.HoldsLease(task.State):
			running++
		}
	}
	switch {
	case part.Tasks == 0 && running > 0:
		part.State = "running"
	case part.Tasks == 0:
		part.State = "ended"
	case len(part.Chosen) == part.Tasks:
		part.State = "starts"
	case len(part.Chosen) > 0:
		part.State = fmt.Sprintf("starts_%d_of_%d", len(part.Chosen), part.Tasks)
	default:
		part.State = "waits"
	}
	return part
}

// setPosition sets the place of the job among those with tasks to place.
func (p *pass) setPosition(x *decision.Explanation, d *jobDraft) {
	for _, other := range p.sortedJobs {
		if part := p.partOf(other); part.Tasks == 0 {
			continue
		}
		x.Waiting++
		if other == d {
			x.Position = x.Waiting
		}
	}
}

// limitsOf returns the quota of the job's team.
func (p *pass) limitsOf(d *jobDraft) []decision.Limit {
	team := p.teams[d.job.Spec.Team]
	if team == nil {
		return nil
	}
	limit := func(name string, used, value int) decision.Limit {
		return decision.Limit{Name: name + " of team", Used: strconv.Itoa(used), Value: strconv.Itoa(value)}
	}
	spec := team.team.Spec
	return []decision.Limit{
		limit("cores", team.used.cores, spec.QuotaCores), limit("memory in MB", team.used.memoryMB, spec.QuotaMemoryMB),
		limit("accelerators", team.used.accelerators, spec.QuotaAccelerators),
	}
}

// clone returns a copy that changes apart from f.
func (f failureHistory) clone() failureHistory {
	next := newFailureHistory()
	for host, jobs := range f.byHost {
		next.byHost[host] = maps.Clone(jobs)
	}
	for job, hosts := range f.byJob {
		next.byJob[job] = maps.Clone(hosts)
	}
	return next
}

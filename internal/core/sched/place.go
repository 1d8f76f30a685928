package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"laburnumdock/internal/core/model"
)

// spread is the number of tasks of one job by zone and by rack.
type spread struct {
	zones, racks map[string]int
}

// spreadOf returns the spread of the placed tasks of a job.
func (p *pass) spreadOf(d *jobDraft) spread {
	s := spread{make(map[string]int), make(map[string]int)}
	for i := range d.tasks {
		if host := p.hosts[d.tasks[i].Host]; host != nil {
			s.add(host)
		}
	}
	return s
}

func (s spread) add(h *hostUsage) {
	s.zones[h.host.Spec.Zone]++
	s.racks[h.host.Spec.Zone+"/"+h.host.Spec.Rack]++
}

// placeJob places the pending tasks of a job, or records why they wait. A job that
// cannot be placed does not block the jobs after it.
func (p *pass) placeJob(d *jobDraft) {
	pool := p.pools[d.job.Spec.Pool]
	if pool == nil || d.job.Spec.Cancelled {
		return
	}
	var s spread
	for i := range d.tasks {
		if d.tasks[i].State != model.TaskPending {
			continue
		}
		if s.zones == nil {
			s = p.spreadOf(d)
		}
		if reason, message := p.placeTask(d, i, pool, s); reason != model.ReasonNone {
			d.addWait(reason, message)
		}
	}
}

// addWait counts a waiting task. The job reports the first reason.
func (d *jobDraft) addWait(reason model.Reason, message string) {
	d.waiting++
	if d.reason == model.ReasonNone {
		d.reason, d.message = reason, message
	}
}

// placeTask places one pending task, or returns why it waits.
func (p *pass) placeTask(d *jobDraft, index int, pool *poolHosts, s spread) (model.Reason, string) {
	task := d.tasks[index]
	if task.RetryAfter.After(p.now) {
		return model.ReasonBackoff, fmt.Sprintf("task %d failed %d times", index, task.Failures)
	}
	// All tasks of a job have the same request, so the reason that stopped an
	// earlier task stops this one as well.
	if d.reason != model.ReasonNone && d.reason != model.ReasonBackoff && d.reason != model.ReasonPreempting {
		return d.reason, d.message
	}
	if message, over := p.overQuota(d); over {
		return model.ReasonQuota, message
	}
	if p.placements >= MaxPlacements {
		return model.ReasonNoCapacity, "pass is full, the next one goes on"
	}
	if host := p.bestHost(d, pool, s); host != nil {
		p.place(d, index, host, s)
		return model.ReasonNone, ""
	}
	if reason, message := pool.unfitReason(d); reason != model.ReasonNone {
		return reason, message
	}
	if d.job.Spec.Priority == model.PriorityUrgent && p.preempt(d, pool) {
		return model.ReasonPreempting, "tasks of lower priority are being checkpointed"
	}
	return model.ReasonNoCapacity, fmt.Sprintf("no host of pool %s has %d cores, %d MB and %d accelerators free", d.job.Spec.Pool, d.request.cores, d.request.memoryMB, d.request.accelerators)
}

// unfitReason returns ReasonNeverFits if no host of the pool could hold the task
// even when empty, ReasonQuarantined if all hosts that could are quarantined, and
// ReasonNone otherwise.
func (p *poolHosts) unfitReason(d *jobDraft) (model.Reason, string) {
	fits, quarantined := false, true
	for _, h := range p.hosts {
		if !h.total.covers(d.request) {
			continue
		}
		fits = true
		if h.usable || !h.host.Available() || !h.healthKnown {
			quarantined = false
		}
	}
	if !fits {
		return model.ReasonNeverFits, fmt.Sprintf("no host of pool %s has %d cores, %d MB and %d accelerators", d.job.Spec.Pool, d.request.cores, d.request.memoryMB, d.request.accelerators)
	}
	if quarantined {
		return model.ReasonQuarantined, "all hosts that fit are quarantined"
	}
	return model.ReasonNone, ""
}

// bestHost returns the host for the next task of the job, or nil. It avoids hosts
// on which tasks failed, spreads over zones and racks, and prefers hosts with more
// free cores. The name breaks ties, so that the choice is deterministic.
func (p *pass) bestHost(d *jobDraft, pool *poolHosts, s spread) *hostUsage {
	notes := p.notes.of(d)
	var best *hostUsage
	for _, h := range pool.hosts {
		reason := h.exclusionFor(d, p.now)
		notes.add(h, reason)
		if reason != exclusionNone {
			continue
		}
		if order, _ := p.compareHosts(d, h, best, s); order < 0 {
			best = h
		}
	}
	notes.end(p, d, best, s)
	return best
}

// exclusionFor returns why the host may not get a task of the job, or exclusionNone.
func (h *hostUsage) exclusionFor(d *jobDraft, now time.Time) exclusion {
	switch {
	case h.host.Status.QuarantineUntil.After(now):
		return exclusionQuarantined
	case !h.healthKnown:
		return exclusionHealthUnknown
	case !h.usable:
		return exclusionUnavailable
	case !h.freeFor(d).covers(d.request):
		return exclusionCapacity
	default:
		return exclusionNone
	}
}

// freeFor returns the resources that are free on the host for the job. Resources
// that are reserved for urgent tasks are not offered to other jobs.
func (h *hostUsage) freeFor(d *jobDraft) resources {
	if d.job.Spec.Priority == model.PriorityUrgent {
		return h.free
	}
	reserved := resources{min(h.releasing.cores, 0), min(h.releasing.memoryMB, 0), min(h.releasing.accelerators, 0)}
	return h.free.plus(reserved)
}

// compareHosts returns a negative number if a is the better host for the job, and a
// positive one if b is, and by what. Every host is better than none.
func (p *pass) compareHosts(d *jobDraft, a, b *hostUsage, s spread) (int, criterion) {
	if b == nil {
		return -1, criterionName
	}
	x, y := a.host, b.host
	if order := cmp.Compare(p.failures.penalty(d.job.Name, x.Name), p.failures.penalty(d.job.Name, y.Name)); order != 0 {
		return order, criterionFailures
	}
	if order := cmp.Compare(s.zones[x.Spec.Zone], s.zones[y.Spec.Zone]); order != 0 {
		return order, criterionZone
	}
	if order := cmp.Compare(s.racks[x.Spec.Zone+"/"+x.Spec.Rack], s.racks[y.Spec.Zone+"/"+y.Spec.Rack]); order != 0 {
		return order, criterionRack
	}
	if order := cmp.Compare(b.free.cores, a.free.cores); order != 0 {
		return order, criterionFreeCores
	}
	return strings.Compare(x.Name, y.Name), criterionName
}

// place gives a task a lease on a host under a new epoch.
func (p *pass) place(d *jobDraft, index int, h *hostUsage, s spread) {
	task := d.tasks[index]
	task.State = model.TaskStarting
	task.Host = h.host.Name
	task.Epoch++
	task.LeaseUntil = p.now.Add(LeaseTime)
	task.UsedCores, task.UsedMemoryMB = 0, 0
	d.setTask(task)
	h.free = h.free.minus(d.request)
	h.tasks = append(h.tasks, placement{d, index, d.request})
	if team := p.teams[d.job.Spec.Team]; team != nil {
		team.used = team.used.plus(d.declaredRequest())
	}
	s.add(h)
	p.placements++
}

// preempt reserves capacity for an urgent task on one host: capacity that is
// already being released, or else that of the cheapest set of tasks of lower
// priority, which it stops. It reports whether there is such a host.
func (p *pass) preempt(d *jobDraft, pool *poolHosts) bool {
	for _, h := range pool.hosts {
		if h.usable && h.free.plus(h.releasing).covers(d.request) {
			h.releasing = h.releasing.minus(d.request)
			return true
		}
	}
	var best *hostUsage
	var victims []placement
	for _, h := range pool.hosts {
		if !h.usable {
			continue
		}
		list, ok := h.victims(d)
		if ok && (best == nil || costsLess(list, victims)) {
			best, victims = h, list
		}
	}
	if best == nil {
		return false
	}
	for _, v := range victims {
		p.preemptTask(best, v)
	}
	best.releasing = best.releasing.minus(d.request)
	return true
}

// victims returns tasks of lower priority that have to stop to make room for a task
// of d, and whether there are enough of them. The lowest priority comes first, and
// within a priority the most cores.
func (h *hostUsage) victims(d *jobDraft) ([]placement, bool) {
	var lower []placement
	for _, t := range h.tasks {
		if t.draft.job.Spec.Priority < d.job.Spec.Priority {
			lower = append(lower, t)
		}
	}
	slices.SortStableFunc(lower, func(a, b placement) int {
		return cmp.Or(cmp.Compare(a.draft.job.Spec.Priority, b.draft.job.Spec.Priority), cmp.Compare(b.request.cores, a.request.cores))
	})
	free := h.free.plus(h.releasing)
	for i, t := range lower {
		free = free.plus(t.request)
		if free.covers(d.request) {
			return lower[:i+1], true
		}
	}
	return nil, false
}

// costsLess reports whether stopping the tasks of a costs less than stopping those
// of b: first by the highest priority among them, then by their number. Both are
// sorted by priority.
func costsLess(a, b []placement) bool {
	x, y := a[len(a)-1].draft.job.Spec.Priority, b[len(b)-1].draft.job.Spec.Priority
	if x != y {
		return x < y
	}
	return len(a) < len(b)
}

// preemptTask has a task checkpointed. Its lease is released once the platform
// reports it stopped, and the task then waits for a new placement.
func (p *pass) preemptTask(h *hostUsage, v placement) {
	task := v.draft.tasks[v.index]
	task.State = model.TaskStopping
	task.Reason = model.ReasonPreempting
	task.Message = "urgent work needs the capacity"
	v.draft.setTask(task)
	h.releasing = h.releasing.plus(v.request)
	h.tasks = slices.DeleteFunc(h.tasks, func(t placement) bool { return t.draft == v.draft && t.index == v.index })
}

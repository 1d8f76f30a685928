package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"laburnumdock/internal/core/model"
)

// spread counts the tasks of one job by zone and rack.
type spread struct {
	zones, racks map[string]int
}

func (p *pass) spreadOf(d *draft) spread {
	s := spread{make(map[string]int), make(map[string]int)}
	for i := range d.tasks {
		if host := p.hosts[d.tasks[i].Host]; host != nil {
			s.add(host)
		}
	}
	return s
}

func (s spread) add(h *hostTable) {
	s.zones[h.host.Spec.Zone]++
	s.racks[h.host.Spec.Zone+"/"+h.host.Spec.Rack]++
}

// placeJob places the pending tasks of a job, or notes why they wait. A job
// that cannot be placed takes nothing from the jobs behind it.
func (p *pass) placeJob(d *draft) {
	table := p.pools[d.job.Spec.Pool]
	if table == nil || d.job.Spec.Cancelled {
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
		if reason, message := p.placeTask(d, i, table, s); reason != model.ReasonNone {
			d.wait(reason, message)
		}
	}
}

// wait notes a task that waits; the job reports the first reason.
func (d *draft) wait(reason model.Reason, message string) {
	d.waiting++
	if d.reason == model.ReasonNone {
		d.reason, d.message = reason, message
	}
}

func (p *pass) placeTask(d *draft, index int, table *poolTable, s spread) (model.Reason, string) {
	task := d.tasks[index]
	if task.RetryAfter.After(p.now) {
		return model.ReasonBackoff, fmt.Sprintf("task %d failed %d times", index, task.Failures)
	}
	// Tasks of one job are alike: what kept the one before keeps this one.
	if d.reason != model.ReasonNone && d.reason != model.ReasonBackoff && d.reason != model.ReasonPreempting {
		return d.reason, d.message
	}
	if message, over := p.overQuota(d); over {
		return model.ReasonQuota, message
	}
	if p.placed >= MaxPlacements {
		return model.ReasonNoCapacity, "pass is full, the next one goes on"
	}
	if host := p.bestHost(d, table, s); host != nil {
		p.place(d, index, host, s)
		return model.ReasonNone, ""
	}
	if reason, message := table.neverFits(d); reason != model.ReasonNone {
		return reason, message
	}
	if d.job.Spec.Priority == model.PriorityUrgent && p.makeRoom(d, table) {
		return model.ReasonPreempting, "tasks of lower priority are being checkpointed"
	}
	return model.ReasonNoCapacity, fmt.Sprintf("no host of pool %s has %d cores, %d MB and %d accelerators free", d.job.Spec.Pool, d.size.cores, d.size.memoryMB, d.size.accelerators)
}

// neverFits tells whether no host of the pool could hold the task even if it
// were empty, or whether the ones that could are quarantined.
func (t *poolTable) neverFits(d *draft) (model.Reason, string) {
	fits, quarantined := false, true
	for _, h := range t.hosts {
		if !h.total.holds(d.size) {
			continue
		}
		fits = true
		if h.usable || !h.host.Available() || !h.known {
			quarantined = false
		}
	}
	if !fits {
		return model.ReasonNeverFits, fmt.Sprintf("no host of pool %s has %d cores, %d MB and %d accelerators", d.job.Spec.Pool, d.size.cores, d.size.memoryMB, d.size.accelerators)
	}
	if quarantined {
		return model.ReasonQuarantined, "all hosts that fit are quarantined"
	}
	return model.ReasonNone, ""
}

// bestHost returns the host for the next task of the job. It avoids hosts on
// which tasks failed, spreads over zones and racks, and prefers empty hosts; the
// name decides last, so that the choice is the same in every run.
func (p *pass) bestHost(d *draft, table *poolTable, s spread) *hostTable {
	var best *hostTable
	for _, h := range table.hosts {
		if !h.usable || !h.reservedFree(d).holds(d.size) {
			continue
		}
		if best == nil || p.compareHosts(d, h, best, s) < 0 {
			best = h
		}
	}
	return best
}

// reservedFree is what the host has free for the job. Capacity that is being
// freed for urgent work is not given to other work.
func (h *hostTable) reservedFree(d *draft) size {
	if d.job.Spec.Priority == model.PriorityUrgent {
		return h.free
	}
	owed := size{min(h.coming.cores, 0), min(h.coming.memoryMB, 0), min(h.coming.accelerators, 0)}
	return h.free.plus(owed)
}

func (p *pass) compareHosts(d *draft, a, b *hostTable, s spread) int {
	x, y := a.host, b.host
	return cmp.Or(
		cmp.Compare(p.failures.recent(d.job.Name, x.Name), p.failures.recent(d.job.Name, y.Name)),
		cmp.Compare(s.zones[x.Spec.Zone], s.zones[y.Spec.Zone]),
		cmp.Compare(s.racks[x.Spec.Zone+"/"+x.Spec.Rack], s.racks[y.Spec.Zone+"/"+y.Spec.Rack]),
		cmp.Compare(b.free.cores, a.free.cores),
		strings.Compare(x.Name, y.Name),
	)
}

func (p *pass) place(d *draft, index int, h *hostTable, s spread) {
	task := d.tasks[index]
	task.State = model.TaskStarting
	task.Host = h.host.Name
	task.Epoch++
	task.LeaseUntil = p.now.Add(LeaseTime)
	task.UsedCores, task.UsedMemoryMB = 0, 0
	d.set(task)
	h.free = h.free.minus(d.size)
	h.tasks = append(h.tasks, placement{d, index, d.size})
	if team := p.teams[d.job.Spec.Team]; team != nil {
		team.use = team.use.plus(d.declared())
	}
	s.add(h)
	p.placed++
}

// makeRoom finds room for an urgent task on one host: what is being freed
// already, or else the least of lower priority work. It tells whether there is
// such a host.
func (p *pass) makeRoom(d *draft, table *poolTable) bool {
	for _, h := range table.hosts {
		if h.usable && h.free.plus(h.coming).holds(d.size) {
			h.coming = h.coming.minus(d.size)
			return true
		}
	}
	var best *hostTable
	var victims []placement
	for _, h := range table.hosts {
		if !h.usable {
			continue
		}
		list, ok := h.victims(d)
		if ok && (best == nil || cheaper(list, victims)) {
			best, victims = h, list
		}
	}
	if best == nil {
		return false
	}
	for _, v := range victims {
		p.stopTask(best, v)
	}
	best.coming = best.coming.minus(d.size)
	return true
}

// victims returns tasks of lower priority whose capacity is enough for d, the
// lowest priority and the largest first.
func (h *hostTable) victims(d *draft) ([]placement, bool) {
	var lower []placement
	for _, t := range h.tasks {
		if t.draft.job.Spec.Priority < d.job.Spec.Priority {
			lower = append(lower, t)
		}
	}
	slices.SortStableFunc(lower, func(a, b placement) int {
		return cmp.Or(cmp.Compare(a.draft.job.Spec.Priority, b.draft.job.Spec.Priority), cmp.Compare(b.size.cores, a.size.cores))
	})
	room := h.free.plus(h.coming)
	for i, t := range lower {
		room = room.plus(t.size)
		if room.holds(d.size) {
			return lower[:i+1], true
		}
	}
	return nil, false
}

// cheaper tells whether stopping a costs less than stopping b: a lower highest
// priority, then fewer tasks.
func cheaper(a, b []placement) bool {
	x, y := a[len(a)-1].draft.job.Spec.Priority, b[len(b)-1].draft.job.Spec.Priority
	if x != y {
		return x < y
	}
	return len(a) < len(b)
}

// stopTask has a task checkpointed. Its host gives the lease back, and the task
// waits for a new placement.
func (p *pass) stopTask(h *hostTable, v placement) {
	task := v.draft.tasks[v.index]
	task.State = model.TaskStopping
	task.Reason = model.ReasonPreempting
	task.Message = "urgent work needs the capacity"
	v.draft.set(task)
	h.coming = h.coming.plus(v.size)
	h.tasks = slices.DeleteFunc(h.tasks, func(t placement) bool { return t.draft == v.draft && t.index == v.index })
}

package sched

import (
	"fmt"
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// size is what a task needs of a host.
type size struct{ cores, memoryMB, accelerators int }

func (a size) plus(b size) size {
	return size{a.cores + b.cores, a.memoryMB + b.memoryMB, a.accelerators + b.accelerators}
}

func (a size) minus(b size) size {
	return size{a.cores - b.cores, a.memoryMB - b.memoryMB, a.accelerators - b.accelerators}
}

// holds tells whether b fits into a.
func (a size) holds(b size) bool {
	return a.cores >= b.cores && a.memoryMB >= b.memoryMB && a.accelerators >= b.accelerators
}

// Bounds of the estimate: declared sizes can be far from the truth, and so can
// one report.
const (
	// estimateMargin is what the estimate has above the largest observed use.
	estimateMargin = 1.2
	// estimateRange bounds the estimate to the declared size times or divided
	// by it.
	estimateRange = 4
)

// estimate returns the size of a task of the job: the declared one, corrected
// by the largest use that its tasks have shown.
func estimate(job *model.Job) size {
	cores, memory := 0, 0
	for i := range job.Status.Tasks {
		cores = max(cores, job.Status.Tasks[i].UsedCores)
		memory = max(memory, job.Status.Tasks[i].UsedMemoryMB)
	}
	return size{
		cores:        corrected(job.Spec.Cores, cores),
		memoryMB:     corrected(job.Spec.MemoryMB, memory),
		accelerators: job.Spec.Accelerators,
	}
}

func corrected(declared, used int) int {
	if used == 0 || declared == 0 {
		return declared
	}
	guess := int(float64(used)*estimateMargin + 0.999)
	return min(max(guess, (declared+estimateRange-1)/estimateRange, 1), declared*estimateRange)
}

// hostTable is what a host has and what of it is taken.
type hostTable struct {
	host   *model.Host
	usable bool
	// known tells that the platform has reported the host lately.
	known bool
	total size
	free  size
	// coming is what tasks that are being stopped will give back, less what
	// urgent tasks wait for.
	coming size
	// tasks are the tasks with a lease on the host.
	tasks []placement
}

// placement is one task with a lease.
type placement struct {
	draft *draft
	index int
	size  size
}

// poolTable has the hosts of a pool in the order of their names.
type poolTable struct {
	hosts       []*hostTable
	quarantined int
}

func (p *pass) readHosts() {
	reported := make(map[string]time.Time)
	for _, obj := range p.snap.List(model.KindPool) {
		pool := obj.(*model.Pool)
		reported[pool.Name] = pool.Status.Reported
		p.pools[pool.Name] = &poolTable{}
	}
	for _, obj := range p.snap.List(model.KindHost) {
		h := obj.(*model.Host)
		known := state.IsHealthKnown(h, reported[h.Spec.Pool], p.now)
		total := size{h.Spec.Cores, h.Spec.MemoryMB, h.Spec.Accelerators}
		t := &hostTable{host: h, known: known, total: total, free: total}
		t.usable = h.Available() && known && !h.Status.QuarantineUntil.After(p.now)
		p.hosts[h.Name] = t
		if table := p.pools[h.Spec.Pool]; table != nil {
			table.hosts = append(table.hosts, t)
			if h.Status.QuarantineUntil.After(p.now) {
				table.quarantined++
			}
		}
	}
}

// teamTable is the quota of a team and its use by declared sizes.
type teamTable struct {
	team *model.Team
	use  size
}

// countUse counts what tasks with a lease take of hosts and quotas.
func (p *pass) countUse() {
	for _, obj := range p.snap.List(model.KindTeam) {
		team := obj.(*model.Team)
		p.teams[team.Name] = &teamTable{team: team}
	}
	for _, d := range p.order {
		for i := range d.tasks {
			if state.HoldsLease(d.tasks[i].State) {
				p.hold(d, i)
			}
		}
	}
}

// hold counts a task with a lease.
func (p *pass) hold(d *draft, index int) {
	task := d.tasks[index]
	if team := p.teams[d.job.Spec.Team]; team != nil {
		team.use = team.use.plus(d.declared())
	}
	host := p.hosts[task.Host]
	if host == nil {
		return
	}
	need := d.size
	need.cores = max(need.cores, task.UsedCores)
	need.memoryMB = max(need.memoryMB, task.UsedMemoryMB)
	host.free = host.free.minus(need)
	if task.State == model.TaskStopping {
		host.coming = host.coming.plus(need)
		return
	}
	host.tasks = append(host.tasks, placement{d, index, need})
}

func (d *draft) declared() size {
	return size{d.job.Spec.Cores, d.job.Spec.MemoryMB, d.job.Spec.Accelerators}
}

// overQuota returns what keeps one more task of the job from the team's quota.
func (p *pass) overQuota(d *draft) (string, bool) {
	if d.job.Spec.Team == "" {
		return "", false
	}
	team := p.teams[d.job.Spec.Team]
	if team == nil {
		return "team " + d.job.Spec.Team + " does not exist", true
	}
	spec := team.team.Spec
	quota := size{spec.QuotaCores, spec.QuotaMemoryMB, spec.QuotaAccelerators}
	after := team.use.plus(d.declared())
	if quota.holds(after) {
		return "", false
	}
	return fmt.Sprintf("team %s would use %d cores, %d MB and %d accelerators of %d, %d and %d",
		team.team.Name, after.cores, after.memoryMB, after.accelerators, quota.cores, quota.memoryMB, quota.accelerators), true
}

// teamStatusInterval is the least time between two statuses of a team.
const teamStatusInterval = 10 * time.Second

func (p *pass) tellTeams() {
	var objects []model.Object
	for _, obj := range p.snap.List(model.KindTeam) {
		team := obj.(*model.Team)
		use := p.teams[team.Name].use
		status := model.TeamStatus{UsedCores: use.cores, UsedMemoryMB: use.memoryMB, UsedAccelerators: use.accelerators}
		if status != team.Status && p.now.Sub(team.Modified) >= teamStatusInterval {
			objects = append(objects, &model.Team{Meta: team.Meta, Status: status})
		}
	}
	if len(objects) > 0 {
		p.result.Commands = append(p.result.Commands, state.StatusStep{Origin: p.origin(), Objects: objects})
	}
}

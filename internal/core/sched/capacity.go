package sched

import (
	"fmt"
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// resources is an amount of cores, memory and accelerators: what a task requests,
// or what a host or a quota offers.
type resources struct{ cores, memoryMB, accelerators int }

func (a resources) plus(b resources) resources {
	return resources{a.cores + b.cores, a.memoryMB + b.memoryMB, a.accelerators + b.accelerators}
}

func (a resources) minus(b resources) resources {
	return resources{a.cores - b.cores, a.memoryMB - b.memoryMB, a.accelerators - b.accelerators}
}

// covers reports whether a is at least b in every resource.
func (a resources) covers(b resources) bool {
	return a.cores >= b.cores && a.memoryMB >= b.memoryMB && a.accelerators >= b.accelerators
}

// Bounds of the estimated request. Both the declared request and a single report
// can be far from the actual use.
const (
	// estimateMargin is the ratio of the estimate to the largest observed use.
	estimateMargin = 1.2
	// maxCorrection is the factor by which the estimate may exceed, or fall below,
	// the declared request.
	maxCorrection = 4
)

// estimateRequest returns the resources that a task of the job is expected to
// need: the declared request, corrected by the largest observed use of its tasks.
func estimateRequest(job *model.Job) resources {
	cores, memory := 0, 0
	for i := range job.Status.Tasks {
		cores = max(cores, job.Status.Tasks[i].UsedCores)
		memory = max(memory, job.Status.Tasks[i].UsedMemoryMB)
	}
	return resources{
		cores:        correctedRequest(job.Spec.Cores, cores),
		memoryMB:     correctedRequest(job.Spec.MemoryMB, memory),
		accelerators: job.Spec.Accelerators,
	}
}

// correctedRequest returns the estimate for one resource, rounded up. Without an
// observed use it is the declared amount.
func correctedRequest(declared, used int) int {
	if used == 0 || declared == 0 {
		return declared
	}
	estimated := int(float64(used)*estimateMargin + 0.999)
	return min(max(estimated, (declared+maxCorrection-1)/maxCorrection, 1), declared*maxCorrection)
}

// hostUsage is the capacity and the use of a host within a pass.
type hostUsage struct {
	host *model.Host
	// usable reports whether the host may get new tasks.
	usable bool
	// healthKnown reports whether the platform has a recent report of the host.
	healthKnown bool
	total       resources
	free        resources
	// releasing is what stopping tasks will release, minus what is reserved for
	// waiting urgent tasks. It is negative if the reservations exceed the releases.
	releasing resources
	// tasks are the tasks that hold a lease on the host and are not stopping.
	tasks []placement
}

// placement is one task with a lease on a host.
type placement struct {
	draft   *jobDraft
	index   int
	request resources
}

// poolHosts holds the hosts of a pool, sorted by name.
type poolHosts struct {
	hosts []*hostUsage
	// quarantined is the number of hosts in quarantine.
	quarantined int
}

// indexHosts indexes the pools and hosts, without the use by tasks.
func (p *pass) indexHosts() {
	reported := make(map[string]time.Time)
	for _, obj := range p.snap.List(model.KindPool) {
		pool := obj.(*model.Pool)
		reported[pool.Name] = pool.Status.Reported
		p.pools[pool.Name] = &poolHosts{}
	}
	for _, obj := range p.snap.List(model.KindHost) {
		h := obj.(*model.Host)
		healthKnown := state.IsHealthKnown(h, reported[h.Spec.Pool], p.now)
		total := resources{h.Spec.Cores, h.Spec.MemoryMB, h.Spec.Accelerators}
		usage := &hostUsage{host: h, healthKnown: healthKnown, total: total, free: total}
		usage.usable = h.Available() && healthKnown && !h.Status.QuarantineUntil.After(p.now)
		p.hosts[h.Name] = usage
		if inPool := p.pools[h.Spec.Pool]; inPool != nil {
			inPool.hosts = append(inPool.hosts, usage)
			if h.Status.QuarantineUntil.After(p.now) {
				inPool.quarantined++
			}
		}
	}
}

// teamUsage is a team and the sum of the declared requests of its tasks with a
// lease, which counts against the quota.
type teamUsage struct {
	team *model.Team
	used resources
}

// countUsage adds all tasks that hold a lease to the usage of hosts and teams.
func (p *pass) countUsage() {
	for _, obj := range p.snap.List(model.KindTeam) {
		team := obj.(*model.Team)
		p.teams[team.Name] = &teamUsage{team: team}
	}
	for _, d := range p.sortedJobs {
		for i := range d.tasks {
			if state.HoldsLease(d.tasks[i].State) {
				p.countTask(d, i)
			}
		}
	}
}

// countTask adds a task that holds a lease to the usage of its host and team.
func (p *pass) countTask(d *jobDraft, index int) {
	task := d.tasks[index]
	if team := p.teams[d.job.Spec.Team]; team != nil {
		team.used = team.used.plus(d.declaredRequest())
	}
	host := p.hosts[task.Host]
	if host == nil {
		return
	}
	need := d.request
	need.cores = max(need.cores, task.UsedCores)
	need.memoryMB = max(need.memoryMB, task.UsedMemoryMB)
	host.free = host.free.minus(need)
	if task.State == model.TaskStopping {
		host.releasing = host.releasing.plus(need)
		return
	}
	host.tasks = append(host.tasks, placement{d, index, need})
}

// declaredRequest returns the request of one task as the job declares it.
func (d *jobDraft) declaredRequest() resources {
	return resources{d.job.Spec.Cores, d.job.Spec.MemoryMB, d.job.Spec.Accelerators}
}

// overQuota reports whether one more task of the job would exceed the quota of its
// team, with a message that gives the reason.
func (p *pass) overQuota(d *jobDraft) (string, bool) {
	if d.job.Spec.Team == "" {
		return "", false
	}
	team := p.teams[d.job.Spec.Team]
	if team == nil {
		return "team " + d.job.Spec.Team + " does not exist", true
	}
	spec := team.team.Spec
	quota := resources{spec.QuotaCores, spec.QuotaMemoryMB, spec.QuotaAccelerators}
	after := team.used.plus(d.declaredRequest())
	if quota.covers(after) {
		return "", false
	}
	return fmt.Sprintf("team %s would use %d cores, %d MB and %d accelerators of %d, %d and %d",
		team.team.Name, after.cores, after.memoryMB, after.accelerators, quota.cores, quota.memoryMB, quota.accelerators), true
}

// teamStatusInterval is the minimum time between two status updates of a team.
const teamStatusInterval = 10 * time.Second

// proposeTeamStatus proposes the status of the teams whose usage changed.
func (p *pass) proposeTeamStatus() {
	var objects []model.Object
	for _, obj := range p.snap.List(model.KindTeam) {
		team := obj.(*model.Team)
		use := p.teams[team.Name].used
		status := model.TeamStatus{UsedCores: use.cores, UsedMemoryMB: use.memoryMB, UsedAccelerators: use.accelerators}
		if status != team.Status && p.now.Sub(team.Modified) >= teamStatusInterval {
			objects = append(objects, &model.Team{Meta: team.Meta, Status: status})
		}
	}
	if len(objects) > 0 {
		p.result.Commands = append(p.result.Commands, state.StatusStep{Origin: p.origin(), Objects: objects})
	}
}

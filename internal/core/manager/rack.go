package manager

import (
	"time"

	"laburnumdock/internal/core/jobs"
)

// This file decides whether a task waits for the rack that holds its data or runs elsewhere,
// where it takes two to three times as long. It answers racks that many jobs want at once.
// Run elsewhere, their tasks use a multiple of the capacity, which others miss in a surge,
// and end later than if they had waited for a short time. A task waits while the rack is
// expected to have room for it within a quarter of the time that the other place would cost,
// and its job can still be on time. Tasks that do not need such a rack take other executors
// first.

// remoteRuns holds how long runs on and off their data's rack take relative to their
// predictions, as moving averages. The zero value has no observations.
type remoteRuns struct{ local, remote float64 }

const (
	// defaultRemoteFactor holds until runs off the rack were observed.
	defaultRemoteFactor = 2.5
	// rackWeight is the weight of one run in the averages.
	rackWeight = 0.05
	// maxRackWait is the part of the time that another place would cost for which a task
	// waits at most. The room that becomes free is not all for tasks of this rack: with 0.4
	// and more, jobs were late that ran elsewhere in time at a factor of 2.
	maxRackWait = 0.25
	// maxRackWaitAge is the age of a job up to which its tasks wait for a rack while less than
	// minBusyShare of the pool's capacity is in use. The platform counts a job as lost that has
	// nothing running for 3 s while half of the capacity is free.
	maxRackWaitAge = 2 * time.Second
	minBusyShare   = 0.6
)

// observe records a run.
func (r *remoteRuns) observe(isLocal bool, ratio float64) {
	average := &r.remote
	if isLocal {
		average = &r.local
	}
	if *average == 0 {
		*average = ratio
	}
	*average += rackWeight * (ratio - *average)
}

// factor returns the factor by which a task takes longer off its data's rack.
func (r *remoteRuns) factor() float64 {
	if r.local == 0 || r.remote == 0 {
		return defaultRemoteFactor
	}
	return min(max(r.remote/r.local, 1), 4)
}

func (r *run) observeRack() {
	predicted := r.job.progress[r.key.task.Step].task
	if r.step.DataRack == "" || r.step.LongRunning || predicted <= 0 {
		return
	}
	r.job.pool.remote.observe(r.session.rec.Rack == r.step.DataRack, r.stateSince.Sub(r.orderedAt).Seconds()/predicted.Seconds())
}

// rackQueue is a rack and the work that waits for it in a pass.
type rackQueue struct {
	// capacity is the CPU of the rack's executors in the pool, and waiting the CPU times
	// seconds of the tasks that wait for it.
	capacity, waiting float64
}

// rack returns the queue of a rack.
func (p *pass) rack(name string) *rackQueue {
	if q := p.racks[name]; q != nil {
		return q
	}
	q := &rackQueue{}
	for _, s := range p.schedulable {
		if s.rec.Rack == name {
			q.capacity += float64(s.rec.Capacity.CPU)
		}
	}
	if p.racks == nil {
		p.racks = map[string]*rackQueue{}
	}
	p.racks[name] = q
	return q
}

// updateWantedRacks stores for which racks the pass has left tasks waiting.
func (p *pass) updateWantedRacks() {
	clear(p.pool.wantedRacks)
	for name, q := range p.racks {
		if q.waiting > 0 {
			if p.pool.wantedRacks == nil {
				p.pool.wantedRacks = map[string]bool{}
			}
			p.pool.wantedRacks[name] = true
		}
	}
}

// awaitsRack reports whether a task waits for the rack of its data instead of running on an
// executor elsewhere, which may be nil.
func (p *pass) awaitsRack(j *job, ref jobs.TaskRef, step *jobs.Step, elsewhere *session) bool {
	if elsewhere == nil || step.DataRack == "" || elsewhere.rec.Rack == step.DataRack {
		return false
	}
	q := p.rack(step.DataRack)
	task := j.progress[ref.Step].task
	cpu := float64(step.Allocation().CPU)
	if q.capacity < cpu || step.LongRunning || cpu <= 0 || p.now.Sub(j.submittedAt) > maxRackWaitAge && !p.isBusy() {
		return false
	}
	// The rack's runs end one after the other. Room for one more task comes on average after
	// the part of a run that the queue ahead takes up.
	wait := time.Duration((q.waiting + cpu*task.Seconds()) / q.capacity * float64(time.Second))
	extra := time.Duration((p.pool.remote.factor() - 1) * float64(task))
	if float64(wait) > maxRackWait*float64(extra) || p.now.Add(wait).After(j.latestStart) {
		return false
	}
	q.waiting += cpu * task.Seconds()
	return true
}

// isBusy reports whether most of the pool's capacity is in use.
func (p *pass) isBusy() bool {
	var capacity, used int64
	for _, s := range p.schedulable {
		capacity += s.rec.Capacity.CPU
		used += s.rec.Capacity.CPU - p.free(s).CPU
	}
	return float64(used) >= minBusyShare*float64(capacity)
}

// isWanted reports whether the last pass left tasks waiting for the rack.
func (p *pass) isWanted(rack string) bool { return p.pool.wantedRacks[rack] }

package sched

import (
	"maps"
	"slices"
	"time"

	"laburnumdock/internal/core/state"
)

// Rules of the quarantine.
const (
	// FailureWindow is how long a failure is held against a host.
	FailureWindow = 10 * time.Minute
	// QuarantineTime is how long a host gets no new tasks.
	QuarantineTime = 10 * time.Minute
	// QuarantineJobs is how many different jobs must fail on a host. One job
	// may be at fault itself.
	QuarantineJobs = 3
	// JobFaultHosts is on how many different hosts a job must fail without a
	// success before its failures are no longer held against hosts.
	JobFaultHosts = 3
	// quarantineShare is the part of a pool that may be quarantined at most, as
	// one in this many hosts, but at least one host.
	quarantineShare = 10
)

// failureMemory has the failures within the window.
type failureMemory struct {
	// byHost has the jobs that failed on a host since a task last finished there.
	byHost map[string]map[string]time.Time
	// byJob has the hosts on which a job failed since one of its tasks last
	// finished.
	byJob map[string]map[string]time.Time
}

func newFailureMemory() failureMemory {
	return failureMemory{byHost: make(map[string]map[string]time.Time), byJob: make(map[string]map[string]time.Time)}
}

func (f failureMemory) failed(job, host string, now time.Time) {
	note(f.byHost, host, job, now)
	note(f.byJob, job, host, now)
}

func note(m map[string]map[string]time.Time, outer, inner string, now time.Time) {
	if m[outer] == nil {
		m[outer] = make(map[string]time.Time)
	}
	m[outer][inner] = now
}

// succeeded clears the job and the host: neither fails everything. Failures of
// the job on other hosts stay, for they are those hosts' fault.
func (f failureMemory) succeeded(job, host string) {
	delete(f.byJob, job)
	delete(f.byHost, host)
}

// forget drops what is older than the window.
func (f failureMemory) forget(now time.Time) {
	for _, m := range []map[string]map[string]time.Time{f.byHost, f.byJob} {
		for outer, list := range m {
			maps.DeleteFunc(list, func(_ string, at time.Time) bool { return now.Sub(at) > FailureWindow })
			if len(list) == 0 {
				delete(m, outer)
			}
		}
	}
}

// recent weighs failures on a host for a placement: those of the same job count
// most.
func (f failureMemory) recent(job, host string) int {
	weight := f.against(host)
	if _, ok := f.byHost[host][job]; ok {
		weight += QuarantineJobs
	}
	return weight
}

// against counts the jobs whose failure is held against the host.
func (f failureMemory) against(host string) int {
	n := 0
	for job := range f.byHost[host] {
		if len(f.byJob[job]) < JobFaultHosts {
			n++
		}
	}
	return n
}

// quarantine keeps new tasks off hosts on which many jobs fail, within the
// share of the pool.
func (p *pass) quarantine() {
	if len(p.failures.byHost) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(p.pools)) {
		table := p.pools[name]
		limit := max(1, len(table.hosts)/quarantineShare)
		for _, h := range table.hosts {
			if !h.usable || p.failures.against(h.host.Name) < QuarantineJobs {
				continue
			}
			if table.quarantined >= limit || len(table.hosts) < 2 {
				break
			}
			p.result.Commands = append(p.result.Commands, state.HostStep{
				Origin: p.origin(), Host: h.host.Name, Expected: h.host.Version, Epoch: h.host.Status.Epoch,
				QuarantineUntil: p.now.Add(QuarantineTime),
			})
			h.usable = false
			table.quarantined++
		}
	}
}

package sched

import (
	"maps"
	"slices"
	"time"

	"laburnumdock/internal/core/state"
)

// Parameters of the quarantine of hosts.
const (
	// FailureWindow is how long a failure counts against a host.
	FailureWindow = 10 * time.Minute
	// QuarantineTime is how long a quarantined host gets no new tasks.
	QuarantineTime = 10 * time.Minute
	// QuarantineJobs is the number of different jobs that must fail on a host
	// before it is quarantined. A single job may itself be the cause.
	QuarantineJobs = 3
	// JobFaultHosts is the number of different hosts on which a job must fail
	// without a success before its failures no longer count against hosts.
	JobFaultHosts = 3
	// quarantineDivisor limits the quarantine in a pool to one in this many hosts,
	// but at least one host.
	quarantineDivisor = 10
)

// failureHistory holds the failures within FailureWindow.
type failureHistory struct {
	// byHost maps a host to the jobs that failed on it since a task last finished
	// there, with the time of the last failure.
	byHost map[string]map[string]time.Time
	// byJob maps a job to the hosts on which it failed since one of its tasks last
	// finished, with the time of the last failure.
	byJob map[string]map[string]time.Time
}

func newFailureHistory() failureHistory {
	return failureHistory{byHost: make(map[string]map[string]time.Time), byJob: make(map[string]map[string]time.Time)}
}

// recordFailure adds a failure of a task of the job on the host.
func (f failureHistory) recordFailure(job, host string, now time.Time) {
	recordTime(f.byHost, host, job, now)
	recordTime(f.byJob, job, host, now)
}

func recordTime(m map[string]map[string]time.Time, outer, inner string, now time.Time) {
	if m[outer] == nil {
		m[outer] = make(map[string]time.Time)
	}
	m[outer][inner] = now
}

// recordSuccess clears the failures by job and the failures on the host, since
// neither of the two fails every time. Failures of the job on other hosts keep
// counting against those hosts.
func (f failureHistory) recordSuccess(job, host string) {
	delete(f.byJob, job)
	delete(f.byHost, host)
}

// expire drops failures that are older than FailureWindow.
func (f failureHistory) expire(now time.Time) {
	for _, m := range []map[string]map[string]time.Time{f.byHost, f.byJob} {
		for outer, times := range m {
			maps.DeleteFunc(times, func(_ string, at time.Time) bool { return now.Sub(at) > FailureWindow })
			if len(times) == 0 {
				delete(m, outer)
			}
		}
	}
}

// penalty returns the weight of the failures on a host when a task of the job is
// placed. A failure of the same job weighs most.
func (f failureHistory) penalty(job, host string) int {
	penalty := f.failedJobs(host)
	if _, ok := f.byHost[host][job]; ok {
		penalty += QuarantineJobs
	}
	return penalty
}

// failedJobs returns the number of jobs whose failures count against the host.
func (f failureHistory) failedJobs(host string) int {
	n := 0
	for job := range f.byHost[host] {
		if len(f.byJob[job]) < JobFaultHosts {
			n++
		}
	}
	return n
}

// quarantine excludes hosts on which QuarantineJobs jobs failed from new
// placements, up to the limit of each pool.
func (p *pass) quarantine() {
	if len(p.failures.byHost) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(p.pools)) {
		pool := p.pools[name]
		limit := max(1, len(pool.hosts)/quarantineDivisor)
		for _, h := range pool.hosts {
			if !h.usable || p.failures.failedJobs(h.host.Name) < QuarantineJobs {
				continue
			}
			if pool.quarantined >= limit || len(pool.hosts) < 2 {
				break
			}
			p.result.Commands = append(p.result.Commands, state.HostStep{
				Origin: p.origin(), Host: h.host.Name, Expected: h.host.Version, Epoch: h.host.Status.Epoch,
				QuarantineUntil: p.now.Add(QuarantineTime),
			})
			h.usable = false
			pool.quarantined++
		}
	}
}

package manager

import (
	"maps"
	"slices"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
)

// HandleRequest processes a request of a caller or an operator.
func (m *Manager) HandleRequest(req Request, now time.Time) {
	switch req.Kind {
	case RequestConfigure:
		m.handleConfigure(req)
		return
	case RequestStartWave:
		m.handleStartWave(req, now)
		return
	case RequestWave:
		m.answerWave(req)
		return
	default:
	}
	config := m.state.Config()
	if config == nil {
		m.reply(Reply{ID: req.ID, Kind: ReplyNoConfig})
		return
	}
	queue, id := config.Match(req.Host, req.Path)
	if queue == nil {
		m.reply(Reply{ID: req.ID, Kind: ReplyNoQueue})
		return
	}
	tenant, ok := authenticate(config, queue, req.Key)
	if !ok {
		m.refuseKey(req, queue)
		return
	}
	c := caller{queue: queue, tenant: tenant, isOpen: config.Tenancy == nil}
	switch req.Kind {
	case RequestSubmit:
		m.handleSubmit(req, c, id, now)
	case RequestState:
		m.answerState(req, c, id)
	case RequestCancel:
		m.handleCancel(req, c, id)
	case RequestPending:
		m.reply(Reply{ID: req.ID, Kind: ReplyAccepted, Pending: m.countQueued(queue)})
	default:
		m.reply(Reply{ID: req.ID, Kind: ReplyMalformed})
	}
}

func (m *Manager) reply(r Reply) {
	if c := m.state.Config(); c != nil {
		r.ConfigVersion = c.Version
	}
	m.out.Replies = append(m.out.Replies, r)
}

func (m *Manager) replyAll(ids []uint64, r Reply) {
	for _, id := range ids {
		r.ID = id
		m.reply(r)
	}
}

func (m *Manager) handleSubmit(req Request, c caller, id string, now time.Time) {
	if !isJobID(id) || req.Spec == nil || req.Spec.Check() != nil {
		m.reply(Reply{ID: req.ID, Kind: ReplyMalformed})
		m.logEvent(Event{Kind: EventRequestRefused, Job: id, Reason: "malformed"})
		return
	}
	if o, ok := m.ownerOf(id); ok && !m.maySubmit(c, o) {
		m.reply(Reply{ID: req.ID, Kind: ReplyNoJob})
		return
	}
	if rec := m.state.Job(id); rec != nil {
		m.reply(Reply{ID: req.ID, Kind: ReplyAccepted, Phase: rec.Phase})
		return
	}
	if len(m.submitRequests[id]) == 0 {
		if m.hasTooWideGang(c.tenant, req.Spec) {
			m.reply(Reply{ID: req.ID, Kind: ReplyOverloaded, RetryAfter: wideGangRetryAfter})
			m.logEvent(Event{Kind: EventRequestRefused, Job: id, Reason: "gang exceeds the limit of its tenant", Tenant: c.tenant})
			return
		}
		s := m.newSubmission(id, c, req.Spec, now)
		if m.refuseOverload(req, &s, now) {
			return
		}
		m.submitting[id] = s
		m.propose(jobs.Command{AcceptJob: &jobs.AcceptJob{ID: id, Queue: c.queue.Name, Pool: c.queue.Pool, Spec: *req.Spec, SubmittedAt: s.firstAt.UnixMilli(), Tenant: c.tenant}})
	}
	m.submitRequests[id] = append(m.submitRequests[id], req.ID)
}

// jobIDLength is the length of a job ID in hexadecimal digits.
const jobIDLength = 16

func isJobID(id string) bool {
	if len(id) != jobIDLength {
		return false
	}
	for _, c := range id {
		isDigit := c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
		if !isDigit {
			return false
		}
	}
	return true
}

func (m *Manager) jobAccepted(a *jobs.AcceptJob, now time.Time) {
	rec := m.state.Job(a.ID)
	if m.jobs[a.ID] == nil && !rec.Phase.IsFinal() {
		j := m.addJob(rec, now)
		m.expectWait(j, now)
		if s, ok := m.submitting[a.ID]; !ok || !s.isRepeated {
			m.recordArrival(j.pool, rec.Queue, rec.Tenant, &rec.Spec, now)
		}
		m.logEvent(Event{Kind: EventJobAccepted, Job: a.ID, Pool: a.Pool, Reason: a.Queue})
	}
	m.replyAll(m.submitRequests[a.ID], Reply{Kind: ReplyAccepted, Phase: rec.Phase})
	delete(m.submitRequests, a.ID)
	delete(m.submitting, a.ID)
}

func (m *Manager) answerState(req Request, c caller, id string) {
	rec := m.state.Job(id)
	if rec == nil || !m.maySee(c, owner{queue: rec.Queue, tenant: rec.Tenant}) {
		m.reply(Reply{ID: req.ID, Kind: ReplyNoJob})
		return
	}
	m.reply(Reply{ID: req.ID, Kind: ReplyAccepted, Phase: rec.Phase})
}

func (m *Manager) handleCancel(req Request, c caller, id string) {
	rec := m.state.Job(id)
	o, ok := m.ownerOf(id)
	switch {
	case !ok || !m.maySee(c, o):
		m.reply(Reply{ID: req.ID, Kind: ReplyNoJob})
		return
	case rec != nil && rec.Phase.IsFinal():
		m.reply(Reply{ID: req.ID, Kind: ReplyAccepted, Phase: rec.Phase})
		return
	}
	m.cancelRequests[id] = append(m.cancelRequests[id], req.ID)
	if len(m.cancelRequests[id]) == 1 {
		m.propose(jobs.Command{CancelJob: &jobs.CancelJob{ID: id}})
	}
}

func (m *Manager) jobCancelled(id string, now time.Time) {
	rec := m.state.Job(id)
	if rec == nil {
		m.replyAll(m.cancelRequests[id], Reply{Kind: ReplyNoJob})
		delete(m.cancelRequests, id)
		return
	}
	m.replyAll(m.cancelRequests[id], Reply{Kind: ReplyAccepted, Phase: rec.Phase})
	delete(m.cancelRequests, id)
	if j := m.jobs[id]; j != nil && rec.Phase.IsFinal() {
		m.logEvent(Event{Kind: EventJobCancelled, Job: id, Pool: j.pool.name})
		m.finishJob(j, now)
	}
}

// countQueued returns the number of jobs of a queue of which no task is known to have
// started. Jobs that were accepted while the queue had another name count as well.
func (m *Manager) countQueued(queue *jobs.Queue) int {
	count := 0
	for _, j := range m.jobs {
		isOfQueue := j.rec.Queue == queue.Name || j.queue != nil && j.queue.IsRetired() && j.queue.HasRouteOf(queue)
		if isOfQueue && !j.isStarted && !j.rec.Phase.IsFinal() {
			count++
		}
	}
	return count
}

func (m *Manager) handleConfigure(req Request) {
	if req.Config == nil || req.Config.Check() != nil {
		m.reply(Reply{ID: req.ID, Kind: ReplyMalformed})
		m.logEvent(Event{Kind: EventRequestRefused, Reason: "invalid configuration"})
		return
	}
	if c := m.state.Config(); c != nil && req.Config.Version <= c.Version {
		m.reply(Reply{ID: req.ID, Kind: ReplyAccepted})
		return
	}
	next := req.Config.Retaining(m.newestConfig(), m.neededQueues()).RetainingTenants(m.newestConfig(), m.neededTenants())
	if format := next.Format(); format > m.newestFormat() {
		m.awaitFormat(req, format)
		return
	}
	version := req.Config.Version
	m.configureRequests[version] = append(m.configureRequests[version], req.ID)
	if m.proposedConfig == nil || version > m.proposedConfig.Version {
		m.proposedConfig = next
	}
	m.propose(jobs.Command{Configure: next})
}

// newestConfig returns the configuration that will be in force once all proposals of this
// leader are applied, or nil.
func (m *Manager) newestConfig() *jobs.Config {
	c := m.state.Config()
	if p := m.proposedConfig; p != nil && (c == nil || p.Version > c.Version) {
		return p
	}
	return c
}

// neededQueues returns the queues, with their pools, that have jobs or may still get some
// before the next configuration is applied: until then a submission is accepted by the one
// that is in force.
func (m *Manager) neededQueues() map[string]string {
	needed := map[string]string{}
	for _, c := range []*jobs.Config{m.state.Config(), m.newestConfig()} {
		if c == nil {
			continue
		}
		for _, q := range c.Queues {
			if !q.IsRetired() {
				needed[q.Name] = q.Pool
			}
		}
	}
	for _, s := range m.submitting {
		needed[s.queue.Name] = s.queue.Pool
	}
	for _, j := range m.jobs {
		if !j.rec.Phase.IsFinal() {
			needed[j.rec.Queue] = j.rec.Pool
		}
	}
	return needed
}

func (m *Manager) configured(c *jobs.Config, err *fault.Error) {
	if err != nil {
		m.configurationRefused(c, err)
		return
	}
	m.replyAll(m.configureRequests[c.Version], Reply{Kind: ReplyAccepted})
	delete(m.configureRequests, c.Version)
	m.logEvent(Event{Kind: EventConfigured, Run: int(c.Version)})
	m.tenants.define(m.state.Config())
	for _, j := range m.jobs {
		m.assignPool(j)
	}
	m.endExhaustedJobs()
	m.requestPasses()
}

// endExhaustedJobs ends the jobs of which a task has failed as often as its queue allows
// by now, because the limit has become known or lower since the task last failed. An end
// without a run makes the records apply the limit, also on replicas of an earlier version.
func (m *Manager) endExhaustedJobs() {
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		j := m.jobs[id]
		if j.rec.Phase.IsFinal() {
			continue
		}
		ref, isExhausted := m.state.ExhaustedTask(j.rec)
		if j.isExhausted = isExhausted; isExhausted {
			m.propose(jobs.Command{EndRun: &jobs.EndRun{Task: ref, Result: jobs.ResultFailed}})
		}
	}
}

func (m *Manager) handleStartWave(req Request, now time.Time) {
	if req.Wave == nil || req.Wave.MaxParallel < 0 || req.Wave.TimeLimit < 0 {
		m.reply(Reply{ID: req.ID, Kind: ReplyMalformed})
		return
	}
	if m.state.Wave(req.Wave.ID) != nil {
		m.reply(Reply{ID: req.ID, Kind: ReplyAccepted})
		return
	}
	id := req.Wave.ID
	m.waveRequests[id] = append(m.waveRequests[id], req.ID)
	if len(m.waveRequests[id]) == 1 {
		w := *req.Wave
		w.RequestedAt = now.UnixMilli()
		m.propose(jobs.Command{StartWave: &w})
	}
}

func (m *Manager) waveStarted(w *jobs.Wave, now time.Time) {
	m.replyAll(m.waveRequests[w.ID], Reply{Kind: ReplyAccepted})
	delete(m.waveRequests, w.ID)
	if m.waves[w.ID] == nil {
		m.addWave(m.state.Wave(w.ID), now)
		m.logEvent(Event{Kind: EventWaveStarted, Run: int(w.ID)})
	}
}

func (m *Manager) answerWave(req Request) {
	w := m.state.Wave(req.WaveID)
	if w == nil {
		m.reply(Reply{ID: req.ID, Kind: ReplyNoWave})
		return
	}
	m.reply(Reply{ID: req.ID, Kind: ReplyAccepted, Complete: w.IsComplete()})
}

package manager

import (
	"time"

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
	switch req.Kind {
	case RequestSubmit:
		m.handleSubmit(req, queue, id, now)
	case RequestState:
		m.answerState(req, id)
	case RequestCancel:
		m.handleCancel(req, id)
	case RequestPending:
		m.reply(Reply{ID: req.ID, Kind: ReplyAccepted, Pending: m.countQueued(queue.Name)})
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

func (m *Manager) handleSubmit(req Request, queue *jobs.Queue, id string, now time.Time) {
	if !isJobID(id) || req.Spec == nil || req.Spec.Check() != nil {
		m.reply(Reply{ID: req.ID, Kind: ReplyMalformed})
		m.logEvent(Event{Kind: EventRequestRefused, Job: id, Reason: "malformed"})
		return
	}
	if rec := m.state.Job(id); rec != nil {
		m.reply(Reply{ID: req.ID, Kind: ReplyAccepted, Phase: rec.Phase})
		return
	}
	m.submitRequests[id] = append(m.submitRequests[id], req.ID)
	if len(m.submitRequests[id]) == 1 {
		m.propose(jobs.Command{AcceptJob: &jobs.AcceptJob{ID: id, Queue: queue.Name, Pool: queue.Pool, Spec: *req.Spec, SubmittedAt: now.UnixMilli()}})
	}
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
		m.recordArrival(m.addJob(rec, now), now)
		m.logEvent(Event{Kind: EventJobAccepted, Job: a.ID, Pool: a.Pool, Reason: a.Queue})
	}
	m.replyAll(m.submitRequests[a.ID], Reply{Kind: ReplyAccepted, Phase: rec.Phase})
	delete(m.submitRequests, a.ID)
}

func (m *Manager) answerState(req Request, id string) {
	rec := m.state.Job(id)
	if rec == nil {
		m.reply(Reply{ID: req.ID, Kind: ReplyNoJob})
		return
	}
	m.reply(Reply{ID: req.ID, Kind: ReplyAccepted, Phase: rec.Phase})
}

func (m *Manager) handleCancel(req Request, id string) {
	rec := m.state.Job(id)
	switch {
	case rec == nil && len(m.submitRequests[id]) == 0:
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

// countQueued returns the number of jobs of a queue without a started task.
func (m *Manager) countQueued(queue string) int {
	count := 0
	for _, j := range m.jobs {
		if j.rec.Queue == queue && j.rec.Phase == jobs.PhaseQueued {
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
	version := req.Config.Version
	m.configureRequests[version] = append(m.configureRequests[version], req.ID)
	m.propose(jobs.Command{Configure: req.Config})
}

func (m *Manager) configured(c *jobs.Config) {
	m.replyAll(m.configureRequests[c.Version], Reply{Kind: ReplyAccepted})
	delete(m.configureRequests, c.Version)
	m.logEvent(Event{Kind: EventConfigured, Run: int(c.Version)})
	for _, j := range m.jobs {
		m.assignPool(j)
	}
	m.requestPasses()
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

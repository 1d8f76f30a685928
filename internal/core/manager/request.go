package manager

import (
	"time"

	"laburnumdock/internal/core/jobs"
)

// Take handles a request of a caller or an operator.
func (m *Manager) HandleRequest(q Request, now time.Time) {
	switch q.Kind {
	case RequestConfigure:
		m.takeConfigure(q)
		return
	case RequestStartWave:
		m.takeWave(q, now)
		return
	case RequestWave:
		m.answerWave(q)
		return
	default:
	}
	config := m.st.Config()
	if config == nil {
		m.reply(Reply{ID: q.ID, Kind: ReplyNoConfig})
		return
	}
	queue, id := config.Match(q.Host, q.Path)
	if queue == nil {
		m.reply(Reply{ID: q.ID, Kind: ReplyNoQueue})
		return
	}
	switch q.Kind {
	case RequestSubmit:
		m.takeSubmit(q, queue, id, now)
	case RequestState:
		m.answerState(q, id)
	case RequestCancel:
		m.takeCancel(q, id)
	case RequestPending:
		m.reply(Reply{ID: q.ID, Kind: ReplyAccepted, Pending: m.pending(queue.Name)})
	default:
		m.reply(Reply{ID: q.ID, Kind: ReplyMalformed})
	}
}

func (m *Manager) reply(r Reply) {
	if c := m.st.Config(); c != nil {
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

func (m *Manager) takeSubmit(q Request, queue *jobs.Queue, id string, now time.Time) {
	if !isJobID(id) || q.Spec == nil || q.Spec.Check() != nil {
		m.reply(Reply{ID: q.ID, Kind: ReplyMalformed})
		m.note(Event{Kind: EventRequestRefused, Job: id, Reason: "malformed"})
		return
	}
	if rec := m.st.Job(id); rec != nil {
		m.reply(Reply{ID: q.ID, Kind: ReplyAccepted, Phase: rec.Phase})
		return
	}
	m.submits[id] = append(m.submits[id], q.ID)
	if len(m.submits[id]) == 1 {
		m.propose(jobs.Command{AcceptJob: &jobs.AcceptJob{ID: id, Queue: queue.Name, Pool: queue.Pool, Spec: *q.Spec, SubmittedAt: now.UnixMilli()}})
	}
}

// jobIDLength is the length of a job's ID in hexadecimal digits.
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

func (m *Manager) accepted(a *jobs.AcceptJob, now time.Time) {
	rec := m.st.Job(a.ID)
	if m.jobs[a.ID] == nil && !rec.Phase.IsFinal() {
		m.arrive(m.addJob(rec, now), now)
		m.note(Event{Kind: EventJobAccepted, Job: a.ID, Pool: a.Pool, Reason: a.Queue})
	}
	m.replyAll(m.submits[a.ID], Reply{Kind: ReplyAccepted, Phase: rec.Phase})
	delete(m.submits, a.ID)
}

func (m *Manager) answerState(q Request, id string) {
	rec := m.st.Job(id)
	if rec == nil {
		m.reply(Reply{ID: q.ID, Kind: ReplyNoJob})
		return
	}
	m.reply(Reply{ID: q.ID, Kind: ReplyAccepted, Phase: rec.Phase})
}

func (m *Manager) takeCancel(q Request, id string) {
	rec := m.st.Job(id)
	switch {
	case rec == nil && len(m.submits[id]) == 0:
		m.reply(Reply{ID: q.ID, Kind: ReplyNoJob})
		return
	case rec != nil && rec.Phase.IsFinal():
		m.reply(Reply{ID: q.ID, Kind: ReplyAccepted, Phase: rec.Phase})
		return
	}
	m.cancels[id] = append(m.cancels[id], q.ID)
	if len(m.cancels[id]) == 1 {
		m.propose(jobs.Command{CancelJob: &jobs.CancelJob{ID: id}})
	}
}

func (m *Manager) cancelled(id string, now time.Time) {
	rec := m.st.Job(id)
	if rec == nil {
		m.replyAll(m.cancels[id], Reply{Kind: ReplyNoJob})
		delete(m.cancels, id)
		return
	}
	m.replyAll(m.cancels[id], Reply{Kind: ReplyAccepted, Phase: rec.Phase})
	delete(m.cancels, id)
	if j := m.jobs[id]; j != nil && rec.Phase.IsFinal() {
		m.note(Event{Kind: EventJobCancelled, Job: id, Pool: j.pool.name})
		m.finish(j, now)
	}
}

// pending counts the jobs of a queue that no task has started of.
func (m *Manager) pending(queue string) int {
	count := 0
	for _, j := range m.jobs {
		if j.rec.Queue == queue && j.rec.Phase == jobs.PhaseQueued {
			count++
		}
	}
	return count
}

func (m *Manager) takeConfigure(q Request) {
	if q.Config == nil || q.Config.Check() != nil {
		m.reply(Reply{ID: q.ID, Kind: ReplyMalformed})
		m.note(Event{Kind: EventRequestRefused, Reason: "configuration is not valid"})
		return
	}
	if c := m.st.Config(); c != nil && q.Config.Version <= c.Version {
		m.reply(Reply{ID: q.ID, Kind: ReplyAccepted})
		return
	}
	version := q.Config.Version
	m.configures[version] = append(m.configures[version], q.ID)
	m.propose(jobs.Command{Configure: q.Config})
}

func (m *Manager) configured(c *jobs.Config) {
	m.replyAll(m.configures[c.Version], Reply{Kind: ReplyAccepted})
	delete(m.configures, c.Version)
	m.note(Event{Kind: EventConfigured, Run: int(c.Version)})
	for _, j := range m.jobs {
		m.place(j)
	}
	m.wakePools()
}

func (m *Manager) takeWave(q Request, now time.Time) {
	if q.Wave == nil || q.Wave.MaxParallel < 0 || q.Wave.TimeLimit < 0 {
		m.reply(Reply{ID: q.ID, Kind: ReplyMalformed})
		return
	}
	if m.st.Wave(q.Wave.ID) != nil {
		m.reply(Reply{ID: q.ID, Kind: ReplyAccepted})
		return
	}
	id := q.Wave.ID
	m.waveStarts[id] = append(m.waveStarts[id], q.ID)
	if len(m.waveStarts[id]) == 1 {
		w := *q.Wave
		w.RequestedAt = now.UnixMilli()
		m.propose(jobs.Command{StartWave: &w})
	}
}

func (m *Manager) waveStarted(w *jobs.Wave, now time.Time) {
	m.replyAll(m.waveStarts[w.ID], Reply{Kind: ReplyAccepted})
	delete(m.waveStarts, w.ID)
	if m.waves[w.ID] == nil {
		m.addWave(m.st.Wave(w.ID), now)
		m.note(Event{Kind: EventWaveStarted, Run: int(w.ID)})
	}
}

func (m *Manager) answerWave(q Request) {
	w := m.st.Wave(q.WaveID)
	if w == nil {
		m.reply(Reply{ID: q.ID, Kind: ReplyNoWave})
		return
	}
	m.reply(Reply{ID: q.ID, Kind: ReplyAccepted, Complete: w.IsComplete()})
}

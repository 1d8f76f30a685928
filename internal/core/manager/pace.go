package manager

import "time"

const (
	fullPercent = 100
	// pacedHoldWait is the longest wait of a hold on an executor that runs
	// best-effort tasks beside serving ones. Latency figures cover half a
	// second.
	pacedHoldWait = 500 * time.Millisecond
	// paceDownRatio and paceUpRatio are ratios of tail latency to target. The
	// pace stays unchanged between them; the margin covers the noise of a rough
	// figure.
	paceDownRatio = 0.85
	paceUpRatio   = 0.6
	// paceUpStep is the increase of the pace in percent at one time.
	paceUpStep = 20
	// paceUpInterval is the least time between two increases. A figure covers
	// half a second, and it must show the effect of an increase before the next
	// one.
	paceUpInterval = time.Second
	// minPace is the pace in percent below which best-effort tasks are paused.
	minPace = 20
)

// pacer is the state of the pace control on one executor.
type pacer struct {
	// isActive is set while best-effort tasks run beside serving ones.
	isActive  bool
	pace      int
	changedAt time.Time
}

// adjustPace sets the pace of the best-effort tasks on an executor from the
// tail latencies of the serving tasks beside them.
func (m *Manager) adjustPace(s *session, now time.Time) {
	worstRatio, hasServing, hasBestEffort := 0.0, false, false
	for _, r := range s.runs {
		if r.state != runActive {
			continue
		}
		if r.step.TailLatencyTarget > 0 {
			hasServing = true
			worstRatio = max(worstRatio, float64(r.load)/float64(r.step.TailLatencyTarget))
		}
		hasBestEffort = hasBestEffort || r.step.BestEffort
	}
	p := &s.pacer
	if !p.isActive {
		p.pace = fullPercent
	}
	p.isActive = hasServing && hasBestEffort
	if !hasBestEffort {
		return
	}
	p.update(worstRatio, now)
	for _, r := range s.sortedRuns(nil) {
		if r.step.BestEffort && r.state == runActive && r.pace != p.pace {
			m.orderPace(s, r, p.pace, now)
		}
	}
}

func (p *pacer) update(worstRatio float64, now time.Time) {
	sinceChange := now.Sub(p.changedAt)
	switch {
	case !p.isActive:
		p.pace = fullPercent
	case worstRatio >= 1 && p.pace > 0:
		p.pace, p.changedAt = 0, now
	case worstRatio >= paceDownRatio && sinceChange >= pacedHoldWait && p.pace > 0:
		p.pace, p.changedAt = p.pace/2, now
		if p.pace < minPace {
			p.pace = 0
		}
	case worstRatio < paceUpRatio && sinceChange >= paceUpInterval && p.pace < fullPercent:
		p.pace, p.changedAt = min(p.pace+paceUpStep, fullPercent), now
	}
}

func (m *Manager) orderPace(s *session, r *run, percent int, now time.Time) {
	if r.pacePending {
		return
	}
	r.pacePending = true
	r.pace = percent
	r.isDisturbed = r.isDisturbed || percent < fullPercent
	m.call(Call{
		Kind: CallPace, Timeout: callTimeout, Address: s.rec.Address, Instance: s.rec.ID, Executor: s.rec.Number,
		Task: r.key.task, Run: r.key.run, Percent: percent,
	}, pendingCall{session: s, run: r}, now)
	m.logEvent(Event{Kind: EventRunPaced, Task: r.key.task, Run: r.key.run, Executor: s.rec.ID, Age: time.Duration(percent)})
}

// paceAnswered processes the answer to a pace order. An order without effect is
// sent again after the next hold.
func (m *Manager) paceAnswered(s *session, r *run, o Outcome, now time.Time) {
	m.recordAnswer(s, o, now)
	r.pacePending = false
	if o.Verdict != OK {
		r.pace = -1
	}
}

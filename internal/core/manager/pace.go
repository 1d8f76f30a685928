package manager

import "time"

const (
	fullPercent = 100
	// tailWait is the longest time between two looks at an executor on which
	// tasks fill beside tasks that serve. The figures cover half a second.
	pacedHoldWait = 500 * time.Millisecond
	// paceDownAt and paceUpBelow are the shares of the target between which the
	// pace is left as it is; the margin covers the noise of a rough figure.
	paceDownRatio = 0.85
	paceUpRatio   = 0.6
	// paceUpStep is by how much the pace rises at once, in percent.
	paceUpStep = 20
	// paceUpEvery is the least time between two rises: a figure covers half a
	// second, and what a rise does must be seen before the next.
	paceUpInterval = time.Second
	// paceFloor is the pace below which tasks that fill stand still.
	minPace = 20
)

// tailWatch is the state of the pace on one executor.
type pacer struct {
	// isActive tells that tasks fill beside tasks that serve.
	isActive  bool
	pace      int
	changedAt time.Time
}

// watchTails sets the pace of the tasks that fill by the tails of the tasks that
// serve beside them.
func (m *Manager) pacePerTails(s *session, now time.Time) {
	worstRatio, serving, filling := 0.0, false, false
	for _, r := range s.runs {
		if r.state != runActive {
			continue
		}
		if r.step.TailLatencyTarget > 0 {
			serving = true
			worstRatio = max(worstRatio, float64(r.load)/float64(r.step.TailLatencyTarget))
		}
		filling = filling || r.step.BestEffort
	}
	p := &s.pacer
	if !p.isActive {
		p.pace = fullPercent
	}
	p.isActive = serving && filling
	if !filling {
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
	m.call(Call{
		Kind: CallPace, Timeout: callTimeout, Address: s.rec.Address, Instance: s.rec.ID, Executor: s.rec.Number,
		Task: r.key.task, Run: r.key.run, Percent: percent,
	}, pendingCall{session: s, run: r}, now)
	m.logEvent(Event{Kind: EventRunPaced, Task: r.key.task, Run: r.key.run, Executor: s.rec.ID, Age: time.Duration(percent)})
}

// paced takes the answer to a pace. An order without effect is sent again with
// the next look.
func (m *Manager) paceAnswered(s *session, r *run, o Outcome, now time.Time) {
	m.recordAnswer(s, o, now)
	r.pacePending = false
	if o.Verdict != OK {
		r.pace = -1
	}
}

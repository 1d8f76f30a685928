package manager

import "time"

const (
	fullPace = 100
	// tailWait is the longest time between two looks at an executor on which
	// tasks fill beside tasks that serve. The figures cover half a second.
	tailWait = 500 * time.Millisecond
	// paceDownAt and paceUpBelow are the shares of the target between which the
	// pace is left as it is; the margin covers the noise of a rough figure.
	paceDownAt  = 0.85
	paceUpBelow = 0.6
	// paceUpStep is by how much the pace rises at once, in percent.
	paceUpStep = 20
	// paceUpEvery is the least time between two rises: a figure covers half a
	// second, and what a rise does must be seen before the next.
	paceUpEvery = time.Second
	// paceFloor is the pace below which tasks that fill stand still.
	paceFloor = 20
)

// tailWatch is the state of the pace on one executor.
type tailWatch struct {
	// isActive tells that tasks fill beside tasks that serve.
	isActive  bool
	level     int
	changedAt time.Time
}

// watchTails sets the pace of the tasks that fill by the tails of the tasks that
// serve beside them.
func (m *Manager) watchTails(c *contact, now time.Time) {
	worst, serving, filling := 0.0, false, false
	for _, r := range c.runs {
		if r.state != runWorking {
			continue
		}
		if r.step.TailLatencyTarget > 0 {
			serving = true
			worst = max(worst, float64(r.load)/float64(r.step.TailLatencyTarget))
		}
		filling = filling || r.step.BestEffort
	}
	w := &c.tails
	if !w.isActive {
		w.level = fullPace
	}
	w.isActive = serving && filling
	if !filling {
		return
	}
	w.adjust(worst, now)
	for _, r := range c.sortedRuns(nil) {
		if r.step.BestEffort && r.state == runWorking && r.pace != w.level {
			m.orderPace(c, r, w.level, now)
		}
	}
}

func (w *tailWatch) adjust(worst float64, now time.Time) {
	sinceChange := now.Sub(w.changedAt)
	switch {
	case !w.isActive:
		w.level = fullPace
	case worst >= 1 && w.level > 0:
		w.level, w.changedAt = 0, now
	case worst >= paceDownAt && sinceChange >= tailWait && w.level > 0:
		w.level, w.changedAt = w.level/2, now
		if w.level < paceFloor {
			w.level = 0
		}
	case worst < paceUpBelow && sinceChange >= paceUpEvery && w.level < fullPace:
		w.level, w.changedAt = min(w.level+paceUpStep, fullPace), now
	}
}

func (m *Manager) orderPace(c *contact, r *run, percent int, now time.Time) {
	if r.paceCall {
		return
	}
	r.paceCall = true
	r.pace = percent
	m.call(Call{
		Kind: CallPace, Timeout: callTimeout, Address: c.ex.Address, Instance: c.ex.ID, Executor: c.ex.Number,
		Task: r.key.task, Run: r.key.run, Percent: percent,
	}, pendingCall{contact: c, run: r}, now)
	m.note(Event{Kind: EventRunPaced, Task: r.key.task, Run: r.key.run, Executor: c.ex.ID, Age: time.Duration(percent)})
}

// paced takes the answer to a pace. An order without effect is sent again with
// the next look.
func (m *Manager) paced(c *contact, r *run, o Outcome, now time.Time) {
	m.answered(c, o, now)
	r.paceCall = false
	if o.Verdict != OK {
		r.pace = -1
	}
}

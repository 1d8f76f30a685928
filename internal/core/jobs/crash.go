package jobs

import "laburnumdock/internal/core/fault"

// CrashEvidence is what the end of a run says about whether its task crashes the
// executors that start it.
type CrashEvidence uint8

const (
	// CrashedAtStart means that the executor crashed before the run had proved
	// itself.
	CrashedAtStart CrashEvidence = iota + 1
	// LostAtStart means that the same is likely but not certain: the executor may
	// only have been cut off, or may have crashed before the start reached it.
	LostAtStart
	// LostLater means that the executor crashed or fell silent soon after the run had
	// proved itself, with no other run on it that had not.
	LostLater
	// LostBeside means that the executor crashed or fell silent soon after the run had
	// proved itself, beside a run that had not, which is the likelier cause.
	LostBeside
	// Survived means that the run was active for so long that earlier crashes had
	// other causes.
	Survived
)

// String returns the name used in logs.
func (e CrashEvidence) String() string {
	names := [...]string{"none", "crashed_at_start", "lost_at_start", "lost_later", "lost_beside", "survived"}
	if int(e) < len(names) {
		return names[e]
	}
	return names[0]
}

const (
	// maxCrashes is the number of executors that may certainly crash at the start of
	// a task before it is given up. The second start is made apart from other unproven
	// ones, so a second crash has no other likely cause.
	maxCrashes = 2
	// maxLosses is the number of losses for which the task is the likeliest cause before
	// it is given up. Of these, minCertain must have been crashes for certain.
	maxLosses  = 4
	minCertain = 2
	// maxStarts is the number of starts that the platform allows in the worst case: two
	// after the third crash. With as many losses the task waits until it is known which
	// of the silent executors have crashed.
	maxStarts = 5
	// suspectAfterLater is the number of later losses from which a task is suspect,
	// suspectAfterBeside the same with those included that had a likelier cause.
	suspectAfterLater  = 2
	suspectAfterBeside = 3
)

// Crashes counts the executors that were lost under a task since one of its runs
// last survived.
type Crashes struct {
	// AtStart counts those lost before the run had proved itself, and Confirmed the
	// certain crashes among them.
	AtStart   int `cbor:"1,keyasint,omitempty"`
	Confirmed int `cbor:"2,keyasint,omitempty"`
	// Later counts the executors lost after the run had proved itself, and Beside those
	// of which another run was the likelier cause.
	Later  int `cbor:"3,keyasint,omitempty"`
	Beside int `cbor:"5,keyasint,omitempty"`
	// Certain counts the crashes among all losses; the other executors may only have
	// been cut off.
	Certain int `cbor:"4,keyasint,omitempty"`
}

// record adds the evidence of one run. certain is set if the executor has crashed for
// certain.
func (c *Crashes) record(e CrashEvidence, certain bool) {
	if certain {
		c.Certain++
	}
	switch e {
	case CrashedAtStart:
		c.AtStart++
		c.Confirmed++
	case LostAtStart:
		c.AtStart++
	case LostLater:
		c.Later++
	case LostBeside:
		c.Beside++
	case Survived:
		*c = Crashes{}
	default:
	}
}

// IsSuspect reports whether the task may crash the executors that start it, so
// that its next start has to be kept apart from others.
func (c Crashes) IsSuspect() bool { return c.AtStart > 0 || c.IsLate() }

// IsLate reports whether the task is suspect because executors were lost some time
// after its start.
func (c Crashes) IsLate() bool {
	return c.Later >= suspectAfterLater || c.Later+c.Beside >= suspectAfterBeside
}

// losses returns the losses for which the task is the likeliest cause, and all that
// count. None of the runs of a long-running task may be missing for long without
// cause, and it meets more losses by chance: those with a likelier cause count only
// beside several at the start.
func (c Crashes) losses(longRunning bool) (likely, all int) {
	likely, all = c.AtStart+c.Later, c.AtStart+c.Later+c.Beside
	if longRunning && c.AtStart < minCertain {
		all = likely
	}
	return likely, all
}

// isCause reports whether the task certainly crashes the executors that start it.
func (c Crashes) isCause(longRunning bool) bool {
	likely, all := c.losses(longRunning)
	return c.Confirmed >= maxCrashes || c.Certain >= minCertain && (likely >= maxLosses || all >= maxStarts)
}

// MayStart reports whether the task may be started: it is not known to crash the
// executors that start it, and so few of them were lost that the platform allows
// another start even if all have crashed.
func (t *Task) MayStart(step *Step) bool {
	if t.Crashes == nil {
		return true
	}
	_, all := t.Crashes.losses(step.LongRunning)
	return all < maxStarts && !t.Crashes.isCause(step.LongRunning)
}

// recordCrash records the evidence of a run and reports whether the job fails with it.
// A job with a long-running task goes on without it, because its other tasks serve
// their users.
func (t *Task) recordCrash(e CrashEvidence, certain bool, step *Step) bool {
	// Snapshots share the old value.
	var next Crashes
	if t.Crashes != nil {
		next = *t.Crashes
	}
	next.record(e, certain)
	return t.setCrashes(next, step)
}

// setCrashes stores the counts and reports whether the job fails with them.
func (t *Task) setCrashes(next Crashes, step *Step) bool {
	t.Crashes = nil
	if next != (Crashes{}) {
		t.Crashes = &next
	}
	return !t.Done && !step.LongRunning && next.isCause(false)
}

// settleSilence records what became of an executor that had fallen silent under the
// task.
func (s *State) settleSilence(c *SettleSilence) *fault.Error {
	j := s.jobs[c.Task.Job]
	if j == nil || j.Phase.IsFinal() {
		return nil
	}
	task, step := j.Task(c.Task)
	if task == nil || task.Crashes == nil {
		return nil
	}
	next := *task.Crashes
	switch {
	case c.Crashed:
		next.Certain++
	case c.Evidence == LostAtStart:
		next.AtStart = max(next.AtStart-1, 0)
	case c.Evidence == LostLater:
		next.Later = max(next.Later-1, 0)
	case c.Evidence == LostBeside:
		next.Beside = max(next.Beside-1, 0)
	}
	if task.setCrashes(next, step) {
		j.finish(PhaseFailed)
	}
	return nil
}

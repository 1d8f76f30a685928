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
	// proved itself. Most such losses have another cause.
	LostLater
	// Survived means that the run was active for so long that earlier crashes had
	// other causes.
	Survived
)

// String returns the name used in logs.
func (e CrashEvidence) String() string {
	names := [...]string{"none", "crashed_at_start", "lost_at_start", "lost_later", "survived"}
	if int(e) < len(names) {
		return names[e]
	}
	return names[0]
}

const (
	// maxCrashes is the number of executors that may certainly crash at the start of
	// a task before its job fails. The second start is made apart from other unproven
	// ones, so a second crash has no other likely cause. A long-running task meets
	// more crashes by chance, and giving it up wrongly costs its submitter more.
	maxCrashes            = 2
	maxCrashesLongRunning = 3
	// maxLosses is the same number with all losses included, of which minCertain must
	// have been crashes for certain. The platform allows two starts after the third
	// crash, and a change of the leader may hide one.
	maxLosses  = 4
	minCertain = 2
	// maxSilences is the same number where the executors only fell silent. It is as many
	// as the platform allows.
	maxSilences = 5
	// suspectAfterLater is the number of later losses from which a task is suspect. A
	// single one is most likely the doing of a task beside it.
	suspectAfterLater = 2
)

// Crashes counts the executors that were lost under a task since one of its runs
// last survived.
type Crashes struct {
	// AtStart counts those lost before the run had proved itself, and Confirmed the
	// certain crashes among them.
	AtStart   int `cbor:"1,keyasint,omitempty"`
	Confirmed int `cbor:"2,keyasint,omitempty"`
	// Later counts the executors lost after the run had proved itself.
	Later int `cbor:"3,keyasint,omitempty"`
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
func (c Crashes) IsLate() bool { return c.Later >= suspectAfterLater }

// mustGiveUp reports whether the task may not be started again.
func (c Crashes) mustGiveUp(longRunning bool) bool {
	limit := maxCrashes
	if longRunning {
		limit = maxCrashesLongRunning
	}
	losses := c.AtStart + c.Later
	return c.Confirmed >= limit || losses >= maxLosses && c.Certain >= minCertain || losses >= maxSilences
}

// recordCrash records the evidence of a run and reports whether the task is given up.
func (t *Task) recordCrash(e CrashEvidence, certain bool, step *Step) bool {
	// Snapshots share the old value.
	var next Crashes
	if t.Crashes != nil {
		next = *t.Crashes
	}
	next.record(e, certain)
	t.Crashes = nil
	if next != (Crashes{}) {
		t.Crashes = &next
	}
	return !t.Done && next.mustGiveUp(step.LongRunning)
}

// confirmCrash records that an executor that had fallen silent under the task has
// crashed.
func (s *State) confirmCrash(ref TaskRef) *fault.Error {
	j := s.jobs[ref.Job]
	if j == nil || j.Phase.IsFinal() {
		return nil
	}
	task, step := j.Task(ref)
	if task == nil || task.Crashes == nil {
		return nil
	}
	if task.recordCrash(0, true, step) {
		j.finish(PhaseFailed)
	}
	return nil
}

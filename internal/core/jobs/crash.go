package jobs

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
	// CrashedLater means that the executor crashed soon after the run had proved
	// itself.
	CrashedLater
	// Survived means that the run was active for so long that earlier crashes had
	// other causes.
	Survived
)

// String returns the name used in logs.
func (e CrashEvidence) String() string {
	names := [...]string{"none", "crashed_at_start", "lost_at_start", "crashed_later", "survived"}
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
	// maxLosses and maxLossesLongRunning are the same numbers with uncertain and later
	// crashes included. The platform allows two starts after the third crash, and a
	// change of the leader may hide one.
	maxLosses            = 3
	maxLossesLongRunning = 4
	// suspectAfterLater is the number of later crashes from which a task is suspect.
	// A single one is most likely the doing of a task beside it.
	suspectAfterLater = 2
)

// Crashes counts the executors that were lost under a task since one of its runs
// last survived.
type Crashes struct {
	// AtStart counts those lost before the run had proved itself, and Confirmed the
	// certain crashes among them.
	AtStart   int `cbor:"1,keyasint,omitempty"`
	Confirmed int `cbor:"2,keyasint,omitempty"`
	// Later counts the crashes after the run had proved itself.
	Later int `cbor:"3,keyasint,omitempty"`
}

// record adds the evidence of one run.
func (c *Crashes) record(e CrashEvidence) {
	switch e {
	case CrashedAtStart:
		c.AtStart++
		c.Confirmed++
	case LostAtStart:
		c.AtStart++
	case CrashedLater:
		c.Later++
	case Survived:
		*c = Crashes{}
	default:
	}
}

// IsSuspect reports whether the task may crash the executors that start it, so
// that its next start has to be kept apart from others.
func (c Crashes) IsSuspect() bool { return c.AtStart > 0 || c.Later >= suspectAfterLater }

// mustGiveUp reports whether the task may not be started again.
func (c Crashes) mustGiveUp(longRunning bool) bool {
	crashes, losses := maxCrashes, maxLosses
	if longRunning {
		crashes, losses = maxCrashesLongRunning, maxLossesLongRunning
	}
	return c.Confirmed >= crashes || c.AtStart+c.Later >= losses
}

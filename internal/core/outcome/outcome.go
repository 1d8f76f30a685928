// Package outcome says what may be told to a caller, and what is recorded of
// a request that must not be repeated, after what is known of its attempts.
package outcome

import "laburnumdock/internal/core/fault"

// Reply is what an endpoint said to an attempt.
type Reply uint8

// The replies.
const (
	// ReplyNone is no whole reply.
	ReplyNone Reply = iota
	// ReplyRefused is the endpoint's own statement that it did not run.
	ReplyRefused
	// ReplyWhole is a whole answer to this request.
	ReplyWhole
)

// Phase is what is recorded after the last attempt.
type Phase uint8

// The phases.
const (
	PhaseFinished Phase = iota + 1
	PhaseDidNotRun
	PhaseUnknown
)

// Verdict is what an attempt, or a request as a whole, proves.
type Verdict struct {
	Ran   fault.Ran
	Phase Phase
	// Again tells whether a request that must not be repeated may have another
	// attempt within the same begin.
	Retryable bool
}

// verdicts is the whole table. A reply without a byte sent cannot belong to
// the attempt, so it proves nothing.
var verdicts = map[bool]map[Reply]Verdict{
	false: {
		ReplyNone:    {Ran: fault.RanNo, Phase: PhaseDidNotRun, Retryable: true},
		ReplyRefused: {Ran: fault.RanUnknown, Phase: PhaseUnknown},
		ReplyWhole:   {Ran: fault.RanUnknown, Phase: PhaseUnknown},
	},
	true: {
		ReplyNone:    {Ran: fault.RanUnknown, Phase: PhaseUnknown},
		ReplyRefused: {Ran: fault.RanNo, Phase: PhaseDidNotRun, Retryable: true},
		ReplyWhole:   {Ran: fault.RanYes, Phase: PhaseFinished},
	},
}

// Of returns what one attempt proves. Sent is true from the moment the first
// byte may have left.
func OfAttempt(sent bool, reply Reply) Verdict { return verdicts[sent][reply] }

// Sum returns the verdict on all attempts of a request up to now. A whole
// answer outweighs all; otherwise one attempt that may have run taints the
// request.
func Combine(before, last Verdict) Verdict {
	switch {
	case last.Phase == PhaseFinished || before.Phase == PhaseFinished:
		return OfAttempt(true, ReplyWhole)
	case last.Phase == PhaseUnknown || before.Phase == PhaseUnknown:
		return OfAttempt(true, ReplyNone)
	}
	return OfAttempt(false, ReplyNone)
}

// Known says what a caller may be told if the begin of its request was refused
// because the request ID is known with a phase; begun is true while no phase
// is recorded after the begin.
func OfKnownRequest(begun bool, phase Phase) (fromRecord bool, kind fault.Kind, ran fault.Ran) {
	switch {
	case begun:
		return false, fault.InProgress, fault.RanUnknown
	case phase == PhaseFinished:
		return true, "", fault.RanYes
	case phase == PhaseDidNotRun:
		// The control replicas free such an ID; a begin that meets it lost a
		// race and did not run.
		return false, fault.Unavailable, fault.RanNo
	}
	return false, fault.OutcomeUnknown, fault.RanUnknown
}

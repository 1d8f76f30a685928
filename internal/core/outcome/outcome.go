// Package outcome derives from the attempts of a request what its caller may be
// told and, for a request that must not be repeated, what is recorded.
package outcome

import "laburnumdock/internal/core/fault"

// Reply is the kind of reply that an attempt got from its endpoint.
type Reply uint8

const (
	// ReplyNone means that no complete reply arrived.
	ReplyNone Reply = iota
	// ReplyRefused is the endpoint's own statement that the request did not run.
	ReplyRefused
	// ReplyWhole is a complete answer to this request.
	ReplyWhole
)

// Phase is the final state of a request that is recorded after its last attempt.
type Phase uint8

const (
	// PhaseFinished means that the request ran and was answered.
	PhaseFinished Phase = iota + 1
	// PhaseDidNotRun means that no attempt ran.
	PhaseDidNotRun
	// PhaseUnknown means that an attempt may have run.
	PhaseUnknown
)

// Verdict is what an attempt, or a request as a whole, proves.
type Verdict struct {
	Ran   fault.Ran
	Phase Phase
	// Retryable reports whether a request that must not be repeated may have
	// another attempt under the begin that is already recorded.
	Retryable bool
}

// verdicts holds the verdict on one attempt by whether a byte was sent and by
// the reply. A reply without a byte sent cannot belong to the attempt, so it
// proves nothing.
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

// OfAttempt returns what one attempt proves. sent is true once the first byte
// may have been sent.
func OfAttempt(sent bool, reply Reply) Verdict { return verdicts[sent][reply] }

// Combine returns the verdict on a request from the verdict on its earlier
// attempts and the one on its last. A complete answer takes precedence;
// otherwise one attempt that may have run makes the outcome unknown.
func Combine(earlier, last Verdict) Verdict {
	switch {
	case last.Phase == PhaseFinished || earlier.Phase == PhaseFinished:
		return OfAttempt(true, ReplyWhole)
	case last.Phase == PhaseUnknown || earlier.Phase == PhaseUnknown:
		return OfAttempt(true, ReplyNone)
	}
	return OfAttempt(false, ReplyNone)
}

// OfKnownRequest returns what a caller may be told if the begin of its request
// was refused because its request ID is already recorded. begun is true while
// no phase is recorded after the begin.
func OfKnownRequest(begun bool, phase Phase) (fromRecord bool, kind fault.Kind, ran fault.Ran) {
	switch {
	case begun:
		return false, fault.InProgress, fault.RanUnknown
	case phase == PhaseFinished:
		return true, "", fault.RanYes
	case phase == PhaseDidNotRun:
		// The control replicas release such an ID; a begin that finds it still
		// recorded lost a race and did not run.
		return false, fault.Unavailable, fault.RanNo
	}
	return false, fault.OutcomeUnknown, fault.RanUnknown
}

package outcome

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
)

// Guards against a verdict "did not run" that is not proved.
func TestOfTable(t *testing.T) {
	for _, c := range []struct {
		sent  bool
		reply Reply
		ran   fault.Ran
		phase Phase
		again bool
	}{
		{false, ReplyNone, fault.RanNo, PhaseDidNotRun, true},
		{false, ReplyRefused, fault.RanUnknown, PhaseUnknown, false},
		{false, ReplyWhole, fault.RanUnknown, PhaseUnknown, false},
		{true, ReplyNone, fault.RanUnknown, PhaseUnknown, false},
		{true, ReplyRefused, fault.RanNo, PhaseDidNotRun, true},
		{true, ReplyWhole, fault.RanYes, PhaseFinished, false},
	} {
		require.Equal(t, Verdict{Ran: c.ran, Phase: c.phase, Retryable: c.again}, OfAttempt(c.sent, c.reply), "sent %v reply %v", c.sent, c.reply)
	}
}

// Guards against a later refusal that hides an earlier attempt that may have
// run.
func TestSumKeepsDoubt(t *testing.T) {
	no := OfAttempt(false, ReplyNone)
	refused := OfAttempt(true, ReplyRefused)
	unknown := OfAttempt(true, ReplyNone)
	yes := OfAttempt(true, ReplyWhole)
	for _, c := range []struct {
		before, last Verdict
		ran          fault.Ran
	}{
		{no, no, fault.RanNo},
		{no, refused, fault.RanNo},
		{no, unknown, fault.RanUnknown},
		{unknown, no, fault.RanUnknown},
		{unknown, refused, fault.RanUnknown},
		{unknown, yes, fault.RanYes},
		{no, yes, fault.RanYes},
	} {
		require.Equal(t, c.ran, Combine(c.before, c.last).Ran)
	}
}

// Guards against an answer from the record for a request that is not finished.
func TestKnownTable(t *testing.T) {
	for _, c := range []struct {
		begun bool
		phase Phase
		from  bool
		kind  fault.Kind
		ran   fault.Ran
	}{
		{true, 0, false, fault.InProgress, fault.RanUnknown},
		{false, PhaseFinished, true, "", fault.RanYes},
		{false, PhaseDidNotRun, false, fault.Unavailable, fault.RanNo},
		{false, PhaseUnknown, false, fault.OutcomeUnknown, fault.RanUnknown},
		{false, 0, false, fault.OutcomeUnknown, fault.RanUnknown},
	} {
		from, kind, ran := OfKnownRequest(c.begun, c.phase)
		require.Equal(t, c.from, from)
		require.Equal(t, c.kind, kind)
		require.Equal(t, c.ran, ran)
	}
}

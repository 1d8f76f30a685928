package faults

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
)

// observedCall is a call as its caller observed it.
type observedCall struct {
	id         uint64
	request    string
	repeatable bool
	answers    int
	ran        fault.Ran
	kind       fault.Kind
	got        string
	// hasReusedID is set when the ID belongs to another request.
	hasReusedID bool
}

// requestChecker counts the runs at the endpoints and checks the answers against
// them.
type requestChecker struct {
	runsByCall    map[uint64]int
	runsByRequest map[string]int
	violations    []string
}

func newRequestChecker() *requestChecker {
	return &requestChecker{runsByCall: map[uint64]int{}, runsByRequest: map[string]int{}}
}

func (rc *requestChecker) fail(format string, args ...any) {
	rc.violations = append(rc.violations, fmt.Sprintf(format, args...))
}

// recordExecution counts a run at an endpoint. A request that must not be repeated
// may run only once.
func (rc *requestChecker) recordExecution(id uint64, request string, repeatable bool) {
	rc.runsByCall[id]++
	rc.runsByRequest[request]++
	if !repeatable && rc.runsByRequest[request] > 1 {
		rc.fail("request %s ran %d times", request, rc.runsByRequest[request])
	}
}

// checkForward checks that an endpoint receives no new work more than 3 s after it
// began to leave.
func (rc *requestChecker) checkForward(endpoint string, leavingSince, now time.Time) {
	if !leavingSince.IsZero() && now.Sub(leavingSince) > 3*time.Second {
		rc.fail("%s received new work %s after it began to leave", endpoint, now.Sub(leavingSince))
	}
}

// checkCall checks the answer of a call.
func (rc *requestChecker) checkCall(c observedCall, isCallerGone bool) {
	if c.answers > 1 || c.answers == 0 && !isCallerGone {
		rc.fail("call %d has %d answers", c.id, c.answers)
	}
	if c.answers == 0 {
		return
	}
	if c.ran == fault.RanNo && rc.runsByCall[c.id] > 0 {
		rc.fail("call %d was told that it did not run", c.id)
	}
	if c.kind == fault.RequestIDExpired && c.ran != fault.RanUnknown {
		rc.fail("call %d with an expired ID was answered with ran %s, want unknown", c.id, c.ran)
	}
	if c.kind == "" && c.got != "answer to "+c.request {
		rc.fail("call %d for %s got %q", c.id, c.request, c.got)
	}
	if c.kind == "" && c.hasReusedID {
		rc.fail("call %d got the answer of another request with its ID", c.id)
	}
}

// Guards against checks of requests that miss a violation.
func TestRequestCheckerDetectsViolations(t *testing.T) {
	good := observedCall{id: 1, request: "r", answers: 1, ran: fault.RanYes, got: "answer to r"}
	violationsOf := func(c observedCall, runs int) string {
		rc := newRequestChecker()
		for range runs {
			rc.recordExecution(1, "r", false)
		}
		rc.checkCall(c, false)
		return strings.Join(rc.violations, "\n")
	}
	require.Empty(t, violationsOf(good, 1))
	with := func(change func(c *observedCall)) observedCall {
		c := good
		change(&c)
		return c
	}
	require.Contains(t, violationsOf(good, 2), "ran 2 times")
	require.Contains(t, violationsOf(with(func(c *observedCall) { c.answers = 2 }), 1), "2 answers")
	require.Contains(t, violationsOf(with(func(c *observedCall) { c.answers = 0 }), 1), "0 answers")
	require.Contains(t, violationsOf(with(func(c *observedCall) { c.ran, c.kind = fault.RanNo, fault.EndpointFailed }), 1), "did not run")
	require.Contains(t, violationsOf(with(func(c *observedCall) { c.ran, c.kind = fault.RanNo, fault.RequestIDExpired }), 0), "expired ID")
	require.Contains(t, violationsOf(with(func(c *observedCall) { c.got = "answer to q" }), 1), "got \"answer to q\"")
	require.Contains(t, violationsOf(with(func(c *observedCall) { c.hasReusedID = true }), 1), "another request")
	rc := newRequestChecker()
	rc.checkForward("e", epoch, epoch.Add(3*time.Second))
	require.Empty(t, rc.violations)
	rc.checkForward("e", epoch, epoch.Add(3100*time.Millisecond))
	require.Len(t, rc.violations, 1)
}

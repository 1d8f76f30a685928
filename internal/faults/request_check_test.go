package faults

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
)

// judgedCall is one call as its caller saw it.
type judgedCall struct {
	id         uint64
	request    string
	repeatable bool
	answers    int
	ran        fault.Ran
	kind       fault.Kind
	got        string
	// mustNotAnswer tells that the ID belongs to another request.
	mustNotAnswer bool
}

// requestJudge counts what the endpoints ran and judges the answers by it.
type requestJudge struct {
	runs  map[uint64]int
	byID  map[string]int
	found []string
}

func newRequestJudge() *requestJudge {
	return &requestJudge{runs: map[uint64]int{}, byID: map[string]int{}}
}

func (j *requestJudge) fail(format string, args ...any) {
	j.found = append(j.found, fmt.Sprintf(format, args...))
}

func (j *requestJudge) executed(id uint64, request string, repeatable bool) {
	j.runs[id]++
	j.byID[request]++
	if !repeatable && j.byID[request] > 1 {
		j.fail("request %s ran %d times", request, j.byID[request])
	}
}

func (j *requestJudge) forwarded(endpoint string, leftAt, now time.Time) {
	if !leftAt.IsZero() && now.Sub(leftAt) > 3*time.Second {
		j.fail("%s gets new work %s after it began to leave", endpoint, now.Sub(leftAt))
	}
}

func (j *requestJudge) call(c judgedCall, isGone bool) {
	if c.answers > 1 || c.answers == 0 && !isGone {
		j.fail("call %d has %d answers", c.id, c.answers)
	}
	if c.answers == 0 {
		return
	}
	if c.ran == fault.RanNo && j.runs[c.id] > 0 {
		j.fail("call %d was told that it did not run", c.id)
	}
	if c.kind == fault.RequestIDExpired && c.ran != fault.RanUnknown {
		j.fail("call %d with an expired ID was told that it ran: %s", c.id, c.ran)
	}
	if c.kind == "" && c.got != "answer to "+c.request {
		j.fail("call %d for %s got %q", c.id, c.request, c.got)
	}
	if c.kind == "" && c.mustNotAnswer {
		j.fail("call %d got the answer of another request with its ID", c.id)
	}
}

// Guards against checks of requests that find nothing.
func TestRequestJudgeFindsBrokenAnswers(t *testing.T) {
	good := judgedCall{id: 1, request: "r", answers: 1, ran: fault.RanYes, got: "answer to r"}
	judged := func(c judgedCall, runs int) string {
		j := newRequestJudge()
		for range runs {
			j.executed(1, "r", false)
		}
		j.call(c, false)
		return strings.Join(j.found, "\n")
	}
	require.Empty(t, judged(good, 1))
	with := func(change func(c *judgedCall)) judgedCall {
		c := good
		change(&c)
		return c
	}
	require.Contains(t, judged(good, 2), "ran 2 times")
	require.Contains(t, judged(with(func(c *judgedCall) { c.answers = 2 }), 1), "2 answers")
	require.Contains(t, judged(with(func(c *judgedCall) { c.answers = 0 }), 1), "0 answers")
	require.Contains(t, judged(with(func(c *judgedCall) { c.ran, c.kind = fault.RanNo, fault.EndpointFailed }), 1), "did not run")
	require.Contains(t, judged(with(func(c *judgedCall) { c.ran, c.kind = fault.RanNo, fault.RequestIDExpired }), 0), "expired ID")
	require.Contains(t, judged(with(func(c *judgedCall) { c.got = "answer to q" }), 1), "got \"answer to q\"")
	require.Contains(t, judged(with(func(c *judgedCall) { c.mustNotAnswer = true }), 1), "another request")
	j := newRequestJudge()
	j.forwarded("e", epoch, epoch.Add(3*time.Second))
	require.Empty(t, j.found)
	j.forwarded("e", epoch, epoch.Add(3100*time.Millisecond))
	require.Len(t, j.found, 1)
}

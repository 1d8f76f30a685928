package scenario

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/load"
)

// Guards against checks of scenarios that pass whatever the callers were told.
func TestJudgeSeesEveryBreach(t *testing.T) {
	once := func(id string, status int, ran fault.Ran) load.CallOutcome {
		return load.CallOutcome{RequestID: id, NonRepeatable: true, Status: status, Ran: ran}
	}
	good := func() *load.Report {
		return &load.Report{Sent: 1, Answered: 1, Outcomes: []load.CallOutcome{once("a", http.StatusOK, fault.RanYes)}}
	}
	require.NoError(t, judge(good(), map[string]int{"a": 1}, "answered"))
	for name, c := range map[string]struct {
		wanted string
		change func(*load.Report)
		runs   map[string]int
	}{
		"ran twice":            {"safe", func(*load.Report) {}, map[string]int{"a": 2}},
		"answered but not run": {"safe", func(*load.Report) {}, nil},
		"ran though refused": {"safe", func(r *load.Report) {
			r.Outcomes = append(r.Outcomes, once("b", http.StatusServiceUnavailable, fault.RanNo))
		}, map[string]int{"a": 1, "b": 1}},
		"wrong answer":    {"safe", func(r *load.Report) { r.Wrong++ }, map[string]int{"a": 1}},
		"no answer":       {"safe", func(r *load.Report) { r.Answered = 0 }, map[string]int{"a": 1}},
		"unknown outcome": {"uncut", func(r *load.Report) { r.Unknown++ }, map[string]int{"a": 1}},
		"refused":         {"answered", func(r *load.Report) { r.Refused++ }, map[string]int{"a": 1}},
	} {
		report := good()
		c.change(report)
		require.Error(t, judge(report, c.runs, c.wanted), name)
	}
}

// Guards against a budget check that passes without a look at the fleet, or
// that misses a pool without any host.
func TestBudgetWatchSeesBreaches(t *testing.T) {
	w := &budgetWatch{}
	require.Error(t, w.check())
	w.sample([]string{"a", "b"}, map[string]int{"a": minHealthy, "b": minHealthy})
	require.NoError(t, w.check())
	w.sample([]string{"a", "b"}, map[string]int{"a": minHealthy})
	require.Error(t, w.check())
}

// Guards against a scenario that is skipped though KNOWN-RED.txt does not list
// it.
func TestKnownRedNamesWholeScenarios(t *testing.T) {
	listed := knownRed("TestScenarios/kill-9: go test ./internal/scenario, seed 1, hung, issue 6\nkill is no scenario\n")
	require.Len(t, listed, 1)
	require.Contains(t, listed, "kill-9")
}

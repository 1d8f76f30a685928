package scenario

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/load"
)

// Guards against a check of the callers that passes whatever responses they got.
func TestCheckReportDetectsViolations(t *testing.T) {
	once := func(id string, status int, ran fault.Ran) load.CallOutcome {
		return load.CallOutcome{RequestID: id, NonRepeatable: true, Status: status, Ran: ran}
	}
	good := func() *load.Report {
		return &load.Report{Sent: 1, Answered: 1, Outcomes: []load.CallOutcome{once("a", http.StatusOK, fault.RanYes)}}
	}
	require.NoError(t, checkReport(good(), map[string]int{"a": 1}, "answered"))
	for name, c := range map[string]struct {
		level  string
		modify func(*load.Report)
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
		c.modify(report)
		require.Error(t, checkReport(report, c.runs, c.level), name)
	}
}

// Guards against a budget check that passes without a sample of the fleet, or that
// misses a pool with no available host.
func TestBudgetMonitorDetectsViolations(t *testing.T) {
	m := &budgetMonitor{}
	require.Error(t, m.check())
	m.sample([]string{"a", "b"}, map[string]int{"a": minHealthy, "b": minHealthy})
	require.NoError(t, m.check())
	m.sample([]string{"a", "b"}, map[string]int{"a": minHealthy})
	require.Error(t, m.check())
}

// Guards against a scenario that is skipped although KNOWN-RED.txt does not list it.
func TestParseKnownRedMatchesWholeNames(t *testing.T) {
	listed := parseKnownRed("TestScenarios/kill-9: go test ./internal/scenario, seed 1, hung, issue 6\nkill is no scenario\n")
	require.Len(t, listed, 1)
	require.Contains(t, listed, "kill-9")
}

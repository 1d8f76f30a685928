// Package faults injects every kind of fault at every step of the system's
// procedures. Its simulations pass messages and time by value to the real core
// packages. The checks share no logic with the code that they check.
package faults

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// faultKind is a kind of fault, under the name that the matrix prints.
type faultKind string

const (
	crash             faultKind = "crash, unsynced writes lost"
	restart           faultKind = "restart"
	partitionIn       faultKind = "silent partition, inbound"
	partitionOut      faultKind = "silent partition, outbound"
	partitionBoth     faultKind = "silent partition, both ways"
	messageLost       faultKind = "message lost"
	messageRepeated   faultKind = "message repeated"
	messageDelayed    faultKind = "message late"
	messagesReordered faultKind = "messages out of order"
	diskFull          faultKind = "disk full"
	syncFailure       faultKind = "failed sync"
	tornWrite         faultKind = "torn write"
	diskLost          faultKind = "lost disk"
	clockForward      faultKind = "clock jumps forward"
	clockBack         faultKind = "clock jumps back"
	silentConnection  faultKind = "silent connection"
	slowPeer          faultKind = "slow peer"
	falseSize         faultKind = "false declared size"
	cancellation      faultKind = "cancellation"
	twoOperators      faultKind = "two operators on one version"
	resend            faultKind = "resend after a lost answer"
	secondFault       faultKind = "second fault right after a repair"
	rackLost          faultKind = "rack lost"
	zoneLost          faultKind = "zone lost"
	// clockJump is the size of a clock jump in either direction.
	clockJump = time.Hour
	// pairsPerCell is the number of pairs of faults that are drawn for a cell.
	pairsPerCell = 4
	// repairedEvent is the event after all faults were repaired.
	repairedEvent       = "repaired"
	maxStepsToInjection = 20_000
)

var faultKinds = []faultKind{
	crash, restart, partitionIn, partitionOut, partitionBoth, messageLost, messageRepeated, messageDelayed, messagesReordered,
	diskFull, syncFailure, tornWrite, diskLost, clockForward, clockBack, silentConnection, slowPeer, falseSize, cancellation,
	twoOperators, resend, secondFault, rackLost, zoneLost,
}

// procedure is a procedure of the system with the steps at which faults are
// injected.
type procedure struct {
	name          string
	steps         []string
	newSimulation func(rng *rand.Rand, onEvent func(step string)) simulation
	// skipReason returns why a fault does not apply at a step, or "" if it does.
	skipReason func(step string, f faultKind) string
}

// simulation is one run of a procedure. It calls onEvent when it reaches a step
// and, with repairedEvent, when the faults were repaired.
type simulation interface {
	inject(f faultKind)
	// run runs the procedure to its end and returns the violations found.
	run() []string
}

// injection is a fault and the event at which it is injected.
type injection struct {
	at    string
	fault faultKind
}

// run runs the procedure with the given injections and returns the violations.
// It reports a violation if the event of the first injection is not reached,
// because the cell has tested nothing then.
func (p procedure) run(seed uint64, injections []injection) []string {
	var sim simulation
	injected := make([]bool, len(injections))
	onEvent := func(event string) {
		for i, inj := range injections {
			if !injected[i] && inj.at == event && (i == 0 || injected[0]) {
				injected[i] = true
				sim.inject(inj.fault)
				if event == repairedEvent {
					return
				}
			}
		}
	}
	sim = p.newSimulation(rand.New(rand.NewPCG(seed, 6)), onEvent)
	violations := sim.run()
	if len(injections) > 0 && !injected[0] {
		violations = append(violations, fmt.Sprintf("step %q was not reached", injections[0].at))
	}
	return violations
}

// plans returns the injections of each run of a cell: the fault alone, the fault
// again after the repair, and the fault paired with a random second one.
func (p procedure) plans(step int, f faultKind) [][]injection {
	first := injection{p.steps[step], f}
	list := [][]injection{{first}, {first, {repairedEvent, f}}}
	for seed := range uint64(pairsPerCell) {
		rng := rand.New(rand.NewPCG(seed, uint64(step)))
		events := append([]string{repairedEvent}, p.steps[step:]...)
		second := injection{events[rng.IntN(len(events))], faultKinds[rng.IntN(len(faultKinds))]}
		if at := max(step, indexOf(p.steps, second.at)); p.skipReason(p.steps[at], second.fault) == "" {
			list = append(list, []injection{first, second})
		}
	}
	return list
}

func indexOf(list []string, value string) int {
	for i, v := range list {
		if v == value {
			return i
		}
	}
	return -1
}

// knownFailures maps the cells that fail because of an open fault, as listed in
// KNOWN-RED.txt, to a fragment of each violation. The test fails if one of them
// passes or reports another violation, so that the list stays accurate.
var knownFailures = map[string]string{
	"lease of a task/clock jumps forward/renewed":                                    "at once",
	"request that must not be repeated/clock jumps forward/queued":                   "of 10 requests succeed",
	"request that must not be repeated/clock jumps forward/recorded":                 "of 10 requests succeed",
	"request that must not be repeated/clock jumps forward/forwarded":                "of 10 requests succeed",
	"request that must not be repeated/clock jumps forward/answered by the endpoint": "of 10 requests succeed",
	"request that must not be repeated/clock jumps forward/finish recorded":          "of 10 requests succeed",
	"request that must not be repeated/clock jumps forward/answered":                 "of 10 requests succeed",
}

// isKnownFailure reports whether each violation contains the known fragment. It
// returns false for a violation if known is empty.
func isKnownFailure(violations []string, known string) bool {
	for _, v := range violations {
		if known == "" || !strings.Contains(v, known) {
			return false
		}
	}
	return true
}

// cell is the result of one fault at one step.
type cell struct {
	runs int
	// reason is set when the fault does not apply at the step.
	reason   string
	failures []string
	// hasNewFailure is set when a failure is not one of knownFailures.
	hasNewFailure bool
}

func (p procedure) cellName(step int, f faultKind) string {
	return p.name + "/" + string(f) + "/" + p.steps[step]
}

func (c cell) result() string {
	switch {
	case c.reason != "":
		return "n/a"
	case len(c.failures) > 0:
		return "FAILED"
	}
	return "held"
}

func faultNames() []string {
	list := make([]string, len(faultKinds))
	for i, f := range faultKinds {
		list[i] = string(f)
	}
	return list
}

// isInSubset reports whether a run of a cell is part of the default subset, which
// bounds the test's run time: each fault alone, and one more run for every third
// cell. FAULTS_FULL=1 selects all runs.
func isInSubset(run, cell int) bool {
	if os.Getenv("FAULTS_FULL") == "1" || run == 0 {
		return true
	}
	return cell%3 == 0 && run == 1+cell/3%(pairsPerCell+1)
}

func (p procedure) runCell(step int, f faultKind) cell {
	if reason := p.skipReason(p.steps[step], f); reason != "" {
		return cell{reason: reason}
	}
	var c cell
	for i, injections := range p.plans(step, f) {
		if !isInSubset(i, step+indexOf(faultNames(), string(f))) {
			continue
		}
		c.runs++
		if violations := p.run(uint64(i), injections); len(violations) > 0 {
			c.hasNewFailure = c.hasNewFailure || !isKnownFailure(violations, knownFailures[p.cellName(step, f)])
			c.failures = append(c.failures, fmt.Sprintf("run %d, %v: %s", i, injections, strings.Join(violations[:min(len(violations), 3)], "; ")))
		}
	}
	return c
}

// runRow runs one fault at each step of the procedure.
func (p procedure) runRow(f faultKind) []cell {
	cells := make([]cell, 0, len(p.steps))
	for step := range p.steps {
		cells = append(cells, p.runCell(step, f))
	}
	return cells
}

func procedures() []procedure {
	return []procedure{changeProcedure(), replicaProcedure(), moveProcedure(), waveProcedure(), leaseProcedure(), requestProcedure(false), requestProcedure(true), endpointProcedure()}
}

// Guards against a fault at any step that breaks the system's requirements, and
// against a page that shows other results. UPDATE_DOCS=1 writes the page.
func TestFaultMatrix(t *testing.T) {
	t.Parallel()
	all := procedures()
	tables := make([][][]cell, len(all))
	t.Run("rows", func(t *testing.T) {
		for i, p := range all {
			tables[i] = make([][]cell, len(faultKinds))
			for j, f := range faultKinds {
				t.Run(p.name+"/"+string(f), func(t *testing.T) {
					t.Parallel()
					tables[i][j] = p.runRow(f)
					for step, c := range tables[i][j] {
						p.reportFailures(t, f, step, c)
					}
				})
			}
		}
	})
	page := renderPage(all, tables)
	totals, runs := summarize(tables)
	fmt.Fprintf(os.Stdout, "%sRuns: %d.\n", totals, runs)
	if os.Getenv("FAULTS_PRINT") == "1" {
		fmt.Fprint(os.Stdout, page)
	}
	comparePage(t, page)
}

// reportFailures fails the test for a failed cell, except for known failures, and
// for a known failure that passes.
func (p procedure) reportFailures(t *testing.T, f faultKind, step int, c cell) {
	t.Helper()
	name := p.cellName(step, f)
	if knownFailures[name] != "" && !c.hasNewFailure {
		fmt.Fprintf(os.Stdout, "Known red: %s: %d of %d runs failed.\n", name, len(c.failures), c.runs)
		if len(c.failures) == 0 {
			t.Errorf("%s passes: remove it from knownFailures and from KNOWN-RED.txt", name)
		}
		return
	}
	for _, failure := range c.failures {
		t.Errorf("%s: %s", name, failure)
	}
}

const pagePath, pageMarker = "../../docs/fault-matrix.md", "<!-- generated by internal/faults; UPDATE_DOCS=1 go test ./internal/faults -->\n"

func comparePage(t *testing.T, table string) {
	t.Helper()
	page, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	head, _, hasMarker := strings.Cut(string(page), pageMarker)
	require.True(t, hasMarker)
	want := head + pageMarker + table
	if os.Getenv("UPDATE_DOCS") == "1" {
		require.NoError(t, os.WriteFile(pagePath, []byte(want), 0o644))
		return
	}
	require.Equal(t, want, string(page))
}

func summarize(tables [][][]cell) (totals string, runs int) {
	cells, held, failed, notApplicable := 0, 0, 0, 0
	for _, table := range tables {
		for _, row := range table {
			for _, c := range row {
				runs += c.runs
				switch {
				case c.reason != "":
					notApplicable++
					continue
				case len(c.failures) > 0:
					failed++
				default:
					held++
				}
				cells++
			}
		}
	}
	return fmt.Sprintf("Cells run: %d. Held: %d. Failed: %d. Not applicable: %d.\n", cells, held, failed, notApplicable), runs
}

func renderPage(all []procedure, tables [][][]cell) string {
	var b strings.Builder
	totals, _ := summarize(tables)
	b.WriteString("\n" + totals)
	for i, p := range all {
		fmt.Fprintf(&b, "\n### %s\n\n| fault | %s |\n|---%s|\n", p.name, strings.Join(p.steps, " | "), strings.Repeat("|---", len(p.steps)))
		var reasons []string
		for j, f := range faultKinds {
			results := make([]string, 0, len(p.steps))
			for _, c := range tables[i][j] {
				results = append(results, c.result())
				if c.reason != "" && indexOf(reasons, string(f)+": "+c.reason) < 0 {
					reasons = append(reasons, string(f)+": "+c.reason)
				}
			}
			fmt.Fprintf(&b, "| %s | %s |\n", f, strings.Join(results, " | "))
		}
		if len(reasons) > 0 {
			b.WriteString("\nNot applicable:\n\n")
			for _, r := range reasons {
				b.WriteString("- " + r + "\n")
			}
		}
	}
	return b.String()
}

// Package scenario runs the scripts in the folder scenarios against a deployment
// of the real roles on loopback. docs/scenarios.md describes the commands.
package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

// Paths relative to the folder of this package.
const (
	repoRoot     = "../.."
	scenariosDir = repoRoot + "/scenarios"
)

// readKnownRed returns the scenarios that KNOWN-RED.txt lists, with their lines.
func readKnownRed(t *testing.T) map[string]string {
	data, err := os.ReadFile(filepath.Join(repoRoot, "KNOWN-RED.txt"))
	if os.IsNotExist(err) {
		return nil
	}
	require.NoError(t, err)
	return parseKnownRed(string(data))
}

// parseKnownRed returns the lines that list a scenario, keyed by its name. A line
// names the scenario as TestScenarios/NAME.
func parseKnownRed(text string) map[string]string {
	listed := make(map[string]string)
	for line := range strings.SplitSeq(text, "\n") {
		for _, word := range strings.FieldsFunc(line, func(r rune) bool { return strings.ContainsRune(" ,;:\t`", r) }) {
			if name, found := strings.CutPrefix(word, "TestScenarios/"); found {
				listed[name] = line
			}
		}
	}
	return listed
}

// Guards against failures that only appear when all roles work together. The
// comment at the top of each scenario states the fault and the expected behavior.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("the scenarios take minutes")
	}
	binaries := buildBinaries(t)
	red := readKnownRed(t)
	files, err := filepath.Glob(filepath.Join(scenariosDir, "*.txtar"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		if line, found := red[name]; found {
			t.Run(name, func(t *testing.T) { t.Skipf("KNOWN-RED.txt: %s", line) })
			fmt.Printf("KNOWN-RED: TestScenarios/%s was not run: %s\n", name, line)
			continue
		}
		runScenario(t, file, binaries)
	}
}

// maxParallelScenarios bounds the scenarios that run at the same time, as
// testscript runs them in parallel. More than two slow each other down on a busy
// machine.
const maxParallelScenarios = 2

var scenarioSlots = make(chan struct{}, maxParallelScenarios)

func runScenario(t *testing.T, file, binaries string) {
	testscript.Run(t, testscript.Params{
		Files: []string{file},
		Setup: func(env *testscript.Env) error {
			scenarioSlots <- struct{}{}
			env.Defer(func() { <-scenarioSlots })
			r := &runner{binaries: binaries, dir: env.WorkDir}
			env.Values[runnerKey{}] = r
			env.Defer(r.close)
			return nil
		},
		Cmds: commands(),
	})
}

// buildBinaries builds the programs once for all scenarios and returns their folder.
func buildBinaries(t *testing.T) string {
	dir := t.TempDir()
	args := []string{"build", "-o", dir + "/"}
	if raceEnabled {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "./cmd/dock-control", "./cmd/dock-entry")...)
	cmd.Dir = repoRoot
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, "%s", out)
	return dir
}

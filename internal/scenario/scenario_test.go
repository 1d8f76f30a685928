// Package scenario runs the scripted scenarios of the folder scenarios with
// the true roles on loopback. docs/scenarios.md describes the language.
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

// Relative paths of the repository.
const (
	root         = "../.."
	scenariosDir = root + "/scenarios"
)

// readKnownRed returns the scenarios that KNOWN-RED.txt lists.
func readKnownRed(t *testing.T) map[string]string {
	data, err := os.ReadFile(filepath.Join(root, "KNOWN-RED.txt"))
	if os.IsNotExist(err) {
		return nil
	}
	require.NoError(t, err)
	return knownRed(string(data))
}

// knownRed returns the lines that list a scenario, by its name. A line names
// it as TestScenarios/NAME.
func knownRed(text string) map[string]string {
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

// Guards against faults that only show when all roles work together: each
// scenario tells which.
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

// atOnce bounds the scenarios that run at the same time. Testscript runs them in
// parallel; more than two make each other wait on a busy machine.
const atOnce = 2

var slots = make(chan struct{}, atOnce)

func runScenario(t *testing.T, file, binaries string) {
	testscript.Run(t, testscript.Params{
		Files: []string{file},
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			env.Defer(func() { <-slots })
			r := &runner{binaries: binaries, dir: env.WorkDir}
			env.Values[runnerKey{}] = r
			env.Defer(r.close)
			return nil
		},
		Cmds: commands(),
	})
}

// buildBinaries builds the processes once for all scenarios.
func buildBinaries(t *testing.T) string {
	dir := t.TempDir()
	args := []string{"build", "-o", dir + "/"}
	if raceEnabled {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "./cmd/dock-control", "./cmd/dock-entry")...)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, "%s", out)
	return dir
}

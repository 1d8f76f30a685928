package raft

import (
	"flag"
	"maps"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// historyCount is the number of seeds of TestLongHistories. CI runs a few; a change
// to the core is tested with several thousand.
var historyCount = flag.Uint64("histories", 120, "number of long random histories")

// TestMain sets a fixed seed, so that failures are reproducible on every machine.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// rapidSource is a randomSource whose choices rapid can shrink.
type rapidSource struct{ t *rapid.T }

func (c rapidSource) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "choice") }

// runHistory runs a random history up to the first violation, and then checks
// recovery if there is none.
func runHistory(sim *simulation, steps int) {
	for range steps {
		if sim.step(); sim.violation != "" {
			return
		}
	}
	sim.verifyRecovery()
}

// Guards against two leaders in a term, logs that diverge, a leader that lacks a
// committed entry, replicas that apply different entries, stale reads, and a
// cluster that makes no progress after all faults end.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rapidSource{rt}, 1, 2, 3)
		runHistory(sim, rapid.IntRange(50, 400).Draw(rt, "steps"))
		if sim.violation != "" {
			rt.Fatal(sim.violation)
		}
	})
}

// Guards against the same failures as TestRandomHistories, with histories that are
// long enough to combine membership changes, lost disks and snapshots.
func TestLongHistories(t *testing.T) {
	var total simulationStats
	for seed := range *historyCount {
		voters := []uint64{1, 2, 3}
		if seed%3 == 0 {
			voters = []uint64{1, 2, 3, 4, 5}
		}
		sim := newSimulation(rand.New(rand.NewPCG(seed, 1)), voters...)
		runHistory(sim, 6000)
		require.Empty(t, sim.violation, "seed %d", seed)
		total.add(sim.stats)
	}
	t.Logf("%+v", total)
	// The seeds determine the schedule. These bounds show that the histories still
	// reach the cases that they are meant to cover.
	for name, perHistory := range map[string][2]int{
		"elections": {total.elections, 2}, "commits": {total.commits, 20}, "snapshots": {total.snapshots, 1},
		"reads": {total.reads, 5}, "changes": {total.memberChanges, 1},
	} {
		require.Greater(t, perHistory[0], perHistory[1]*int(*historyCount), name)
	}
	require.Greater(t, total.lostDisks, int(*historyCount)/4)
}

// add adds the counts of o to s.
func (s *simulationStats) add(o simulationStats) {
	s.elections += o.elections
	s.commits += o.commits
	s.crashes += o.crashes
	s.snapshots += o.snapshots
	s.reads += o.reads
	s.memberChanges += o.memberChanges
	s.lostDisks += o.lostDisks
}

// Guards against checks that detect nothing: each runs with an injected fault and
// must report the violation of that fault.
func TestChecksDetectInjectedFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault injectedFault
		want  string
	}{
		{"lost vote", losesVote, "election safety"},
		{"lost entries", losesEntries, "leader completeness"},
		{"early commit", commitsEarly, "state machine safety"},
		{"corrupted entries", corruptsEntries, "log matching"},
		{"entries applied twice", appliesTwice, "state machine safety"},
		{"read without quorum", readsWithoutQuorum, "stale read"},
		{"ID reused after a lost disk", reusesID, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := map[string]bool{}
			for seed := range uint64(400) {
				voters := []uint64{1, 2, 3}
				if c.fault == commitsEarly {
					// With three voters, the leader and any follower that has the entry
					// are a quorum.
					voters = []uint64{1, 2, 3, 4, 5}
				}
				sim := newSimulation(rand.New(rand.NewPCG(seed, 2)), voters...)
				sim.fault = c.fault
				for range 4000 {
					sim.step()
					if sim.violatedInvariants[c.want] || c.want == "" && sim.violation != "" {
						return
					}
				}
				maps.Copy(found, sim.violatedInvariants)
			}
			t.Fatalf("no violation of %q, only of %v", c.want, found)
		})
	}
}

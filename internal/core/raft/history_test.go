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

// histories is the number of seeds of TestLongHistories. CI runs a few; a change
// of the core is tried with some thousand.
var histories = flag.Uint64("histories", 120, "number of long random histories")

// TestMain fixes the seed, so that a failure is the same on every machine.
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

type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "choice") }

func runHistory(w *world, steps int) {
	for range steps {
		if w.step(); w.violation != "" {
			return
		}
	}
	w.settle()
}

// Guards against two leaders in a term, logs that diverge, a leader that lacks
// a committed entry, replicas that apply different entries, stale reads, and a
// cluster that stands still once everything is healed.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapidChooser{rt}, 1, 2, 3)
		runHistory(w, rapid.IntRange(50, 400).Draw(rt, "steps"))
		if w.violation != "" {
			rt.Fatal(w.violation)
		}
	})
}

// Guards as TestRandomHistories does, with histories that are long enough for
// membership changes, lost disks and snapshots to meet.
func TestLongHistories(t *testing.T) {
	var total worldStats
	for seed := range *histories {
		voters := []uint64{1, 2, 3}
		if seed%3 == 0 {
			voters = []uint64{1, 2, 3, 4, 5}
		}
		w := newWorld(rand.New(rand.NewPCG(seed, 1)), voters...)
		runHistory(w, 6000)
		require.Empty(t, w.violation, "seed %d", seed)
		total.add(w.stats)
	}
	t.Logf("%+v", total)
	// The schedule is fixed by the seeds; these bounds show that the histories
	// still reach what they are to cover.
	for name, perHistory := range map[string][2]int{
		"elections": {total.elections, 2}, "commits": {total.commits, 20}, "snapshots": {total.snapshots, 1},
		"reads": {total.reads, 5}, "changes": {total.changes, 1},
	} {
		require.Greater(t, perHistory[0], perHistory[1]*int(*histories), name)
	}
	require.Greater(t, total.lost, int(*histories)/4)
}

func (s *worldStats) add(o worldStats) {
	s.elections += o.elections
	s.commits += o.commits
	s.crashes += o.crashes
	s.snapshots += o.snapshots
	s.reads += o.reads
	s.changes += o.changes
	s.lost += o.lost
}

// Guards against checks that find nothing: each is run against a replica that
// is broken on purpose and must report that very violation.
func TestChecksDetectInjectedFaults(t *testing.T) {
	cases := []struct {
		name   string
		broken broken
		want   string
	}{
		{"vote forgotten", forgetsVote, "election safety"},
		{"entries forgotten", forgetsEntries, "leader completeness"},
		{"committed early", commitsEarly, "state machine safety"},
		{"entries changed", changesEntries, "log matching"},
		{"applied twice", appliesTwice, "state machine safety"},
		{"read without quorum", readsWithoutQuorum, "stale read"},
		{"ID used again after a lost disk", reusesID, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := map[string]bool{}
			for seed := range uint64(400) {
				voters := []uint64{1, 2, 3}
				if c.broken == commitsEarly {
					// With three, any follower that has an entry makes a quorum.
					voters = []uint64{1, 2, 3, 4, 5}
				}
				w := newWorld(rand.New(rand.NewPCG(seed, 2)), voters...)
				w.broken = c.broken
				for range 4000 {
					w.step()
					if w.violated[c.want] || c.want == "" && w.violation != "" {
						return
					}
				}
				maps.Copy(found, w.violated)
			}
			t.Fatalf("no %s among %v", c.want, found)
		})
	}
}

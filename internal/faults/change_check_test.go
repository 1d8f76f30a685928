package faults

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// ackedChange is one change as its client saw it.
type ackedChange struct {
	id, key           string
	expected, version uint64
	refused           bool
	answers           int
	// sent and answered are the rounds of the first sending and of the answer.
	sent, answered int
}

type storedValue struct {
	version uint64
	id      string
}

// replicaView is what one replica has applied, in the stored form, and what it
// shows in the end.
type replicaView struct {
	name    string
	journal map[uint64]string
	values  map[string]storedValue
}

// readSeen is a confirmed read with the highest version acknowledged before it.
type readSeen struct{ floor, index uint64 }

// checkChanges judges a history of changes from the answers, the applied
// entries and the final values alone.
func checkChanges(changes []ackedChange, views []replicaView, reads []readSeen) []string {
	var found []string
	fail := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	taken := map[string]string{}
	for i, c := range changes {
		if c.answers > 1 {
			fail("change %s was answered %d times", c.id, c.answers)
		}
		if c.answers == 0 || c.refused {
			continue
		}
		based := fmt.Sprintf("%s@%d", c.key, c.expected)
		if other := taken[based]; other != "" {
			fail("changes %s and %s were both accepted on version %d", other, c.id, c.expected)
		}
		taken[based] = c.id
		for _, later := range changes[i+1:] {
			if later.answers > 0 && !later.refused && later.sent > c.answered && later.version <= c.version {
				fail("version goes back from %d to %d", c.version, later.version)
			}
		}
		for _, v := range views {
			checkKept(c, v, fail)
		}
	}
	checkAgreement(views, fail)
	for _, r := range reads {
		if r.index < r.floor {
			fail("read at %d misses acknowledged version %d", r.index, r.floor)
		}
	}
	return found
}

func checkKept(c ackedChange, v replicaView, fail func(string, ...any)) {
	if entry, ok := v.journal[c.version]; ok && !strings.Contains(entry, c.id) {
		fail("replica %s has another entry than change %s at %d", v.name, c.id, c.version)
	}
	if got := v.values[c.key]; got.version < c.version || got.version == c.version && got.id != c.id {
		fail("replica %s lost change %s: version %d of %s is by %q", v.name, c.id, got.version, c.key, got.id)
	}
}

func checkAgreement(views []replicaView, fail func(string, ...any)) {
	entries := map[uint64]string{}
	for _, v := range views {
		for index, entry := range v.journal {
			if other, ok := entries[index]; ok && other != entry {
				fail("replicas applied different entries at %d", index)
			}
			entries[index] = entry
		}
		for key, value := range v.values {
			if other := views[0].values[key]; other != value {
				fail("replica %s shows %v for %s, replica %s shows %v", v.name, value, key, views[0].name, other)
			}
		}
	}
}

// Guards against a check of changes that finds nothing.
func TestChangeCheckFindsBrokenHistories(t *testing.T) {
	history := func() ([]ackedChange, []replicaView, []readSeen) {
		changes := []ackedChange{
			{id: "a", key: "k", version: 5, answers: 1, sent: 1, answered: 2},
			{id: "b", key: "k", expected: 5, version: 7, answers: 1, sent: 3, answered: 4},
		}
		view := func(name string) replicaView {
			return replicaView{name: name, journal: map[uint64]string{5: "put a", 7: "put b"}, values: map[string]storedValue{"k": {7, "b"}}}
		}
		return changes, []replicaView{view("1"), view("2")}, []readSeen{{5, 6}}
	}
	require.Empty(t, checkChanges(history()))
	for want, breakIt := range map[string]func(c []ackedChange, v []replicaView, r []readSeen){
		"was answered 2 times":      func(c []ackedChange, _ []replicaView, _ []readSeen) { c[0].answers = 2 },
		"both accepted":             func(c []ackedChange, _ []replicaView, _ []readSeen) { c[1].expected = 0 },
		"version goes back":         func(c []ackedChange, _ []replicaView, _ []readSeen) { c[1].version = 4 },
		"has another entry":         func(_ []ackedChange, v []replicaView, _ []readSeen) { v[1].journal[7] = "put c" },
		"lost change b":             func(_ []ackedChange, v []replicaView, _ []readSeen) { v[1].values["k"] = storedValue{5, "a"} },
		"applied different entries": func(_ []ackedChange, v []replicaView, _ []readSeen) { v[1].journal[5] = "put a again" },
		"misses acknowledged":       func(_ []ackedChange, _ []replicaView, r []readSeen) { r[0].index = 4 },
	} {
		changes, views, reads := history()
		breakIt(changes, views, reads)
		require.Contains(t, strings.Join(checkChanges(changes, views, reads), "\n"), want)
	}
}

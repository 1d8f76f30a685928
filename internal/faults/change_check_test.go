package faults

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// observedChange is a change as its client observed it.
type observedChange struct {
	id, key           string
	expected, version uint64
	refused           bool
	answers           int
	// sentRound and answeredRound are the rounds of the first attempt and of the
	// answer.
	sentRound, answeredRound int
}

type storedValue struct {
	version uint64
	id      string
}

// replicaView holds the entries that a replica applied, encoded and by index, and
// its final values by key.
type replicaView struct {
	name    string
	applied map[uint64]string
	values  map[string]storedValue
}

// confirmedRead is the index of a linearizable read, with the highest version
// that was acknowledged before the read began as its floor.
type confirmedRead struct{ floor, index uint64 }

// checkChanges returns the violations in a history of changes. It uses only the
// answers, the applied entries, the final values and the reads.
func checkChanges(changes []observedChange, views []replicaView, reads []confirmedRead) []string {
	var violations []string
	fail := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	accepted := map[string]string{}
	for i, c := range changes {
		if c.answers > 1 {
			fail("change %s was answered %d times", c.id, c.answers)
		}
		if c.answers == 0 || c.refused {
			continue
		}
		base := fmt.Sprintf("%s@%d", c.key, c.expected)
		if other := accepted[base]; other != "" {
			fail("changes %s and %s were both accepted on version %d", other, c.id, c.expected)
		}
		accepted[base] = c.id
		for _, later := range changes[i+1:] {
			if later.answers > 0 && !later.refused && later.sentRound > c.answeredRound && later.version <= c.version {
				fail("version decreases from %d to %d", c.version, later.version)
			}
		}
		for _, v := range views {
			checkNotLost(c, v, fail)
		}
	}
	checkAgreement(views, fail)
	for _, r := range reads {
		if r.index < r.floor {
			fail("read at %d misses acknowledged version %d", r.index, r.floor)
		}
	}
	return violations
}

// checkNotLost checks that a replica keeps an acknowledged change.
func checkNotLost(c observedChange, v replicaView, fail func(string, ...any)) {
	if entry, ok := v.applied[c.version]; ok && !strings.Contains(entry, c.id) {
		fail("replica %s has an entry other than change %s at index %d", v.name, c.id, c.version)
	}
	if got := v.values[c.key]; got.version < c.version || got.version == c.version && got.id != c.id {
		fail("replica %s lost change %s: version %d of %s was written by %q", v.name, c.id, got.version, c.key, got.id)
	}
}

// checkAgreement checks that the replicas applied the same entries and have the
// same final values.
func checkAgreement(views []replicaView, fail func(string, ...any)) {
	entries := map[uint64]string{}
	for _, v := range views {
		for index, entry := range v.applied {
			if other, ok := entries[index]; ok && other != entry {
				fail("replicas applied different entries at index %d", index)
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

// Guards against a check of changes that misses a violation.
func TestChangeCheckDetectsViolations(t *testing.T) {
	history := func() ([]observedChange, []replicaView, []confirmedRead) {
		changes := []observedChange{
			{id: "a", key: "k", version: 5, answers: 1, sentRound: 1, answeredRound: 2},
			{id: "b", key: "k", expected: 5, version: 7, answers: 1, sentRound: 3, answeredRound: 4},
		}
		view := func(name string) replicaView {
			return replicaView{name: name, applied: map[uint64]string{5: "put a", 7: "put b"}, values: map[string]storedValue{"k": {7, "b"}}}
		}
		return changes, []replicaView{view("1"), view("2")}, []confirmedRead{{5, 6}}
	}
	require.Empty(t, checkChanges(history()))
	for want, corrupt := range map[string]func(c []observedChange, v []replicaView, r []confirmedRead){
		"was answered 2 times":           func(c []observedChange, _ []replicaView, _ []confirmedRead) { c[0].answers = 2 },
		"both accepted":                  func(c []observedChange, _ []replicaView, _ []confirmedRead) { c[1].expected = 0 },
		"version decreases":              func(c []observedChange, _ []replicaView, _ []confirmedRead) { c[1].version = 4 },
		"has an entry other than change": func(_ []observedChange, v []replicaView, _ []confirmedRead) { v[1].applied[7] = "put c" },
		"lost change b":                  func(_ []observedChange, v []replicaView, _ []confirmedRead) { v[1].values["k"] = storedValue{5, "a"} },
		"applied different entries":      func(_ []observedChange, v []replicaView, _ []confirmedRead) { v[1].applied[5] = "put a again" },
		"misses acknowledged":            func(_ []observedChange, _ []replicaView, r []confirmedRead) { r[0].index = 4 },
	} {
		changes, views, reads := history()
		corrupt(changes, views, reads)
		require.Contains(t, strings.Join(checkChanges(changes, views, reads), "\n"), want)
	}
}

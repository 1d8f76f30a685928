package logevent

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func row(e Event) string {
	return fmt.Sprintf("| %d | `%s` | %s | %s | %s |", e.ID, e.Name, e.Level, e.Message, e.Action)
}

// Guards against an event that operators cannot look up, and against a page
// that lists events which no longer exist. Set UPDATE_DOCS=1 to write the page.
func TestLogEventPageMatchesCatalogue(t *testing.T) {
	const path = "../../docs/log-events.md"
	page, err := os.ReadFile(path)
	require.NoError(t, err)
	head, _, found := strings.Cut(string(page), "| ID |")
	require.True(t, found)
	lines := []string{"| ID | name | level | text | what to do |", "|---|---|---|---|---|"}
	for _, e := range Catalogue() {
		lines = append(lines, row(e))
	}
	want := head + strings.Join(lines, "\n") + "\n"
	if os.Getenv("UPDATE_DOCS") == "1" {
		require.NoError(t, os.WriteFile(path, []byte(want), 0o644))
		return
	}
	require.Equal(t, want, string(page))
}

// Guards against an ID or a name that means two things.
func TestCatalogueIsUniqueAndOrdered(t *testing.T) {
	names := map[string]bool{}
	last := 0
	for _, e := range Catalogue() {
		require.Greater(t, e.ID, last)
		require.False(t, names[e.Name])
		last = e.ID
		names[e.Name] = true
	}
}

package answer

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
)

// tableRow returns the documented table row for a kind.
func tableRow(kind fault.Kind) string {
	a := For(kind)
	retry := "no"
	if a.Retryable {
		retry = "yes"
	}
	return fmt.Sprintf("| `%s` | %d | `%s` | %s | %s |", kind, a.HTTPStatus, a.Code, a.Ran, retry)
}

// Guards against documentation of errors that differs from the code.
func TestErrorPageMatchesTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/errors.md")
	require.NoError(t, err)
	for _, kind := range fault.Kinds() {
		require.Contains(t, string(page), tableRow(kind))
	}
	require.Equal(t, len(fault.Kinds()), strings.Count(string(page), "\n| `"))
}

// Guards against a kind without an answer, which would be reported as internal.
func TestEveryKindHasAnAnswer(t *testing.T) {
	require.Len(t, answers, len(fault.Kinds()))
	for _, kind := range fault.Kinds() {
		require.Contains(t, answers, kind)
	}
}

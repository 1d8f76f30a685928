package answer

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
)

// row returns the line of the documentation for a kind.
func row(kind fault.Kind) string {
	a := For(kind)
	retry := "no"
	if a.Retryable {
		retry = "yes"
	}
	return fmt.Sprintf("| `%s` | %d | `%s` | %s | %s |", kind, a.HTTPStatus, a.Code, a.Ran, retry)
}

// Guards against a page that tells callers another answer than the code gives.
func TestErrorPageMatchesTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/errors.md")
	require.NoError(t, err)
	for _, kind := range fault.Kinds() {
		require.Contains(t, string(page), row(kind))
	}
	require.Equal(t, len(fault.Kinds()), strings.Count(string(page), "\n| `"))
}

// Guards against a kind without an answer, which would be shown as internal.
func TestEveryKindHasAnAnswer(t *testing.T) {
	require.Len(t, table, len(fault.Kinds()))
	for _, kind := range fault.Kinds() {
		require.Contains(t, table, kind)
	}
}

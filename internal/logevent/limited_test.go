package logevent

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against clients that fill the log, with many lines or with long ones, and against
// lines that are left out without a trace.
func TestLimited(t *testing.T) {
	const calls = 1000
	var out bytes.Buffer
	log, err := New(&out, "info", "r", "p")
	require.NoError(t, err)
	limited := log.Limited(RequestMalformed)
	long := strings.Repeat("x", 10<<10)
	for range calls {
		limited.Err(errors.New(long), Fields{"path": long})
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.GreaterOrEqual(t, len(lines), limitedBurst)
	require.Less(t, len(lines), calls/2)
	for _, line := range lines {
		require.Less(t, len(line), 4*maxLimitedText)
	}
	limited.limiter.SetBurstAt(time.Now(), calls)
	limited.limiter.SetLimitAt(time.Now(), calls)
	out.Reset()
	require.Eventually(t, func() bool {
		limited.Log(nil)
		return out.Len() > 0
	}, time.Minute, time.Millisecond)
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(strings.Split(out.String(), "\n")[0]), &line))
	require.GreaterOrEqual(t, line["skipped"], float64(calls-len(lines)))
}

package logevent

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reader is a standard output whose reader may stand still.
type reader struct {
	mu    sync.Mutex
	lines bytes.Buffer
	// torn tells that a write did not end with a line.
	torn bool
}

func (r *reader) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.torn = r.torn || !bytes.HasSuffix(p, []byte("\n"))
	return r.lines.Write(p)
}

func (r *reader) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines.String()
}

// Guards against a process that stands still because nobody reads its log, and
// against lines that are lost without a word.
func TestLogNeverWaitsForItsReader(t *testing.T) {
	var out reader
	out.mu.Lock()
	l, err := NewBuffered(&out, "info", "role", "process")
	require.NoError(t, err)
	written := make(chan struct{})
	long := strings.Repeat("x", 1000)
	go func() {
		defer close(written)
		for range 3 * bufferBytes / len(long) {
			l.Log(ProcessStarted, Fields{"text": long})
		}
	}()
	select {
	case <-written:
	case <-time.After(30 * time.Second):
		t.Fatal("writing a line waits for the reader")
	}
	out.mu.Unlock()
	l.Flush()
	l.Log(ProcessReady, nil)
	l.Flush()
	require.Contains(t, out.text(), `"name":"lines_dropped"`)
	require.Contains(t, out.text(), `"name":"process_ready"`)
	require.LessOrEqual(t, len(out.text()), 2*bufferBytes+4*len(long))
}

// Guards against lines that are still in memory when the process ends.
func TestFlushWritesWhatWaits(t *testing.T) {
	var out reader
	l, err := NewBuffered(&out, "info", "role", "process")
	require.NoError(t, err)
	l.Log(ProcessStopped, Fields{"number": 3})
	l.Flush()
	require.Contains(t, out.text(), `"number":3`)
	for i := range 100 {
		l.Log(ProcessStopped, Fields{"text": strings.Repeat("x", 97*i)})
	}
	l.Flush()
	require.False(t, out.torn)
	require.Len(t, strings.Split(out.text(), "\n"), 102)
}

// BenchmarkLine is the cost of a line that is written.
func BenchmarkLine(b *testing.B) {
	l, err := NewBuffered(&reader{}, "info", "role", "process")
	require.NoError(b, err)
	for b.Loop() {
		l.Log(RunOrdered, Fields{"job": "0123456789abcdef", "executor": "i-1234", "number": 1, "age_ms": 12})
	}
}

// BenchmarkLineNotWritten is the cost of a line below the level.
func BenchmarkLineNotWritten(b *testing.B) {
	l, err := NewBuffered(&reader{}, "info", "role", "process")
	require.NoError(b, err)
	for b.Loop() {
		l.Log(OrderFailed, Fields{"job": "0123456789abcdef", "executor": "i-1234", "number": 1, "age_ms": 12})
	}
}

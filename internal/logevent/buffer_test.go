package logevent

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockingWriter is a standard output that blocks while its mutex is held, like a
// pipe that nobody reads.
type blockingWriter struct {
	mu    sync.Mutex
	lines bytes.Buffer
	// hasPartialLine is set when a write did not end with a complete line.
	hasPartialLine bool
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasPartialLine = w.hasPartialLine || !bytes.HasSuffix(p, []byte("\n"))
	return w.lines.Write(p)
}

func (w *blockingWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lines.String()
}

// Guards against a process that blocks because nobody reads its log, and against
// dropped lines that are not reported.
func TestLogNeverWaitsForReader(t *testing.T) {
	var out blockingWriter
	out.mu.Lock()
	l, err := NewBuffered(&out, "info", "role", "process")
	require.NoError(t, err)
	written := make(chan struct{})
	long := strings.Repeat("x", 1000)
	go func() {
		defer close(written)
		for range 3 * maxBufferBytes / len(long) {
			l.Log(ProcessStarted, Fields{"text": long})
		}
	}()
	select {
	case <-written:
	case <-time.After(30 * time.Second):
		t.Fatal("logging a line waits for the reader")
	}
	out.mu.Unlock()
	l.Flush()
	l.Log(ProcessReady, nil)
	l.Flush()
	require.Contains(t, out.text(), `"name":"lines_dropped"`)
	require.Contains(t, out.text(), `"name":"process_ready"`)
	require.LessOrEqual(t, len(out.text()), 2*maxBufferBytes+4*len(long))
}

// Guards against buffered lines that are lost when the process ends, and against
// writes that end within a line.
func TestFlushWritesBufferedLines(t *testing.T) {
	var out blockingWriter
	l, err := NewBuffered(&out, "info", "role", "process")
	require.NoError(t, err)
	l.Log(ProcessStopped, Fields{"number": 3})
	l.Flush()
	require.Contains(t, out.text(), `"number":3`)
	for i := range 100 {
		l.Log(ProcessStopped, Fields{"text": strings.Repeat("x", 97*i)})
	}
	l.Flush()
	require.False(t, out.hasPartialLine)
	require.Len(t, strings.Split(out.text(), "\n"), 102)
}

// BenchmarkLine measures a line that is written.
func BenchmarkLine(b *testing.B) {
	l, err := NewBuffered(&blockingWriter{}, "info", "role", "process")
	require.NoError(b, err)
	for b.Loop() {
		l.Log(RunOrdered, Fields{"job": "0123456789abcdef", "executor": "i-1234", "number": 1, "age_ms": 12})
	}
}

// BenchmarkDisabledLine measures a line below the log level.
func BenchmarkDisabledLine(b *testing.B) {
	l, err := NewBuffered(&blockingWriter{}, "info", "role", "process")
	require.NoError(b, err)
	for b.Loop() {
		l.Log(OrderFailed, Fields{"job": "0123456789abcdef", "executor": "i-1234", "number": 1, "age_ms": 12})
	}
}

package logevent

import (
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the lines that wait to be written: some seconds of the
	// lines of a busy leader.
	bufferBytes = 1 << 20
	// flushEvery is the time for which lines are gathered into one write. An
	// operator who follows the log does not notice it.
	flushEvery = 50 * time.Millisecond
)

// buffer passes lines on to a writer in a goroutine of its own. Write never waits
// for the writer: lines that find no room are dropped and counted. Any goroutine
// may use it.
type buffer struct {
	w io.Writer
	// wake has one element while lines wait that the goroutine does not know of.
	wake chan struct{}
	// flush asks for everything to be written; the answer is a closed channel.
	flush chan chan struct{}

	mu      sync.Mutex
	lines   []byte
	dropped int
}

func newBuffer(w io.Writer) *buffer {
	b := &buffer{w: w, wake: make(chan struct{}, 1), flush: make(chan chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer.
func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	if len(b.lines)+len(line) > bufferBytes {
		b.dropped++
		b.mu.Unlock()
		return len(line), nil
	}
	isFirst := len(b.lines) == 0
	b.lines = append(b.lines, line...)
	b.mu.Unlock()
	if isFirst {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// takeDropped returns the number of dropped lines since the last call, once there
// is room for a line that tells it.
func (b *buffer) takeDropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.lines) > bufferBytes/2 {
		return 0
	}
	n := b.dropped
	b.dropped = 0
	return n
}

func (b *buffer) run() {
	var spare []byte
	for {
		var done chan struct{}
		select {
		case <-b.wake:
			time.Sleep(flushEvery)
		case done = <-b.flush:
		}
		b.mu.Lock()
		lines := b.lines
		b.lines = spare[:0]
		b.mu.Unlock()
		if len(lines) > 0 {
			// There is nowhere to report that the log cannot be written.
			_, _ = b.w.Write(lines)
		}
		spare = lines
		if done != nil {
			close(done)
		}
	}
}

// Flush waits until all lines of before are written, or for at most limit.
func (b *buffer) Flush(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	done := make(chan struct{})
	select {
	case b.flush <- done:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}

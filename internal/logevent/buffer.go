package logevent

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferBytes bounds the buffered lines. A busy leader writes this much in
	// a few seconds.
	maxBufferBytes = 1 << 20
	// flushInterval is the time for which lines are collected into one write. An
	// operator who follows the log does not notice the delay.
	flushInterval = 50 * time.Millisecond
	// maxWriteBytes is the size up to which a write to a pipe is atomic, not
	// interleaved with the writes of others. A longer line is written in one
	// piece of its own.
	maxWriteBytes = 4096
)

// buffer passes lines to a writer in a goroutine of its own. Write never waits for
// the writer: lines that exceed the buffer are dropped and counted. Any goroutine
// may use it.
type buffer struct {
	w io.Writer
	// wake holds one element while the goroutine has not noticed buffered lines.
	wake chan struct{}
	// flush requests a write of all lines. The goroutine closes the received
	// channel when they are written.
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
	if len(b.lines)+len(line) > maxBufferBytes {
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

// takeDropped returns and resets the number of dropped lines. It returns 0 while the
// buffer is more than half full, so that there is room for the line that reports it.
func (b *buffer) takeDropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.lines) > maxBufferBytes/2 {
		return 0
	}
	n := b.dropped
	b.dropped = 0
	return n
}

// run writes the buffered lines when it is woken or asked to flush.
func (b *buffer) run() {
	var spare []byte
	for {
		var done chan struct{}
		select {
		case <-b.wake:
			time.Sleep(flushInterval)
		case done = <-b.flush:
		}
		b.mu.Lock()
		lines := b.lines
		b.lines = spare[:0]
		b.mu.Unlock()
		b.write(lines)
		spare = lines
		if done != nil {
			close(done)
		}
	}
}

// write writes lines in pieces that end with a line.
func (b *buffer) write(lines []byte) {
	for len(lines) > 0 {
		piece := lines[:min(len(lines), maxWriteBytes)]
		if end := bytes.LastIndexByte(piece, '\n'); end >= 0 {
			piece = piece[:end+1]
		} else if end := bytes.IndexByte(lines, '\n'); end >= 0 {
			piece = lines[:end+1]
		}
		// A failure to write the log cannot be reported anywhere.
		_, _ = b.w.Write(piece)
		lines = lines[len(piece):]
	}
}

// Flush waits until all lines buffered before are written, or until timeout.
func (b *buffer) Flush(timeout time.Duration) {
	timer := time.NewTimer(timeout)
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

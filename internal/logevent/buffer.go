package logevent

import (
	"bytes"
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
	// writeBytes is what a pipe takes as one piece, without mixing it with what
	// others write. A write has whole lines, unless one is longer.
	writeBytes = 4096
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
		b.write(lines)
		spare = lines
		if done != nil {
			close(done)
		}
	}
}

// write writes lines in pieces of whole lines.
func (b *buffer) write(lines []byte) {
	for len(lines) > 0 {
		piece := lines[:min(len(lines), writeBytes)]
		if end := bytes.LastIndexByte(piece, '\n'); end >= 0 {
			piece = piece[:end+1]
		} else if end := bytes.IndexByte(lines, '\n'); end >= 0 {
			piece = lines[:end+1]
		}
		// There is nowhere to report that the log cannot be written.
		_, _ = b.w.Write(piece)
		lines = lines[len(piece):]
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

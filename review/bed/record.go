//go:build review

package bed

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the file with what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	begin time.Time
}

// NewRecord creates record.txt in the folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, out: bufio.NewWriter(f), begin: time.Now()}, nil
}

// Log writes one line with the time since the start in seconds.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f ", time.Since(r.begin).Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

// Close flushes and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

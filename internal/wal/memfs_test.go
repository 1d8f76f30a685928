package wal

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"slices"
	"syscall"
)

var errCrashed = errors.New("crashed")

// memFS is a directory in memory that simulates crashes, after which synced data
// and a part of the rest remain, and injects failures.
type memFS struct {
	files map[string]*memFile
	// durable holds the files by name as of the last SyncDir.
	durable map[string]*memFile
	// crashAfter is the number of operations after which every operation fails,
	// or negative for no limit.
	crashAfter int
	// refuseAfter is the number of operations after which the next refuseCount
	// operations fail, or all if refuseCount is negative. It is negative for no
	// failures.
	refuseAfter int
	refuseCount int
	ops         int
	// freeBytes is the free space of the disk, or negative for no limit.
	freeBytes int
	// failSync makes every sync of a file or of the directory fail.
	failSync bool
}

type memFile struct {
	fs     *memFS
	data   []byte
	synced int
	// dropped are the ranges of data that were not synced when a sync failed. Reads
	// return them, but no later sync makes them durable, and a crash leaves zeros.
	dropped [][2]int
}

// crashLoss is the part of the unsynced data that a crash loses.
type crashLoss int

const (
	loseUnsynced crashLoss = iota
	loseHalfOfUnsynced
	loseNothing
)

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}, crashAfter: -1, refuseAfter: -1, freeBytes: -1}
}

// countOp counts an operation and fails once the limit is reached.
func (m *memFS) countOp() error {
	m.ops++
	if m.crashAfter >= 0 && m.ops > m.crashAfter {
		return errCrashed
	}
	if m.refuseAfter >= 0 && m.ops > m.refuseAfter && (m.refuseCount < 0 || m.ops <= m.refuseAfter+m.refuseCount) {
		return syscall.ENOSPC
	}
	return nil
}

// crash returns the directory as it is after a crash, of the process only if nothing
// is lost, otherwise of the host.
func (m *memFS) crash(l crashLoss) *memFS {
	next := newMemFS()
	names := m.durable
	if l == loseNothing {
		names = m.files
	}
	for name, f := range names {
		kept := f.synced
		switch l {
		case loseUnsynced:
		case loseHalfOfUnsynced:
			kept += (len(f.data) - f.synced) / 2
		case loseNothing:
			kept = len(f.data)
		}
		after := &memFile{fs: next, data: slices.Clone(f.data[:kept]), synced: kept}
		if l == loseNothing {
			after.dropped = f.dropped
		} else {
			after.zeroDropped(f.dropped)
		}
		next.files[name] = after
	}
	next.durable = maps.Clone(next.files)
	return next
}

func (m *memFS) Append(name string) (File, error) {
	if err := m.countOp(); err != nil {
		return nil, err
	}
	f, ok := m.files[name]
	if !ok {
		f = &memFile{fs: m}
		m.files[name] = f
	}
	return f, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *memFS) List() ([]string, error) { return slices.Collect(maps.Keys(m.files)), nil }

func (m *memFS) Rename(from, to string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *memFS) SyncDir() error {
	if err := m.countOp(); err != nil {
		return err
	}
	if m.failSync {
		return syscall.EIO
	}
	m.durable = maps.Clone(m.files)
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (f *memFile) Write(data []byte) (int, error) {
	if err := f.fs.countOp(); err != nil {
		// A crash in the middle of a write leaves a part of it.
		f.data = append(f.data, data[:len(data)/2]...)
		return 0, err
	}
	if f.fs.freeBytes >= 0 && len(data) > f.fs.freeBytes {
		n := f.fs.freeBytes
		f.data = append(f.data, data[:n]...)
		f.fs.freeBytes = 0
		return n, syscall.ENOSPC
	}
	if f.fs.freeBytes >= 0 {
		f.fs.freeBytes -= len(data)
	}
	f.data = append(f.data, data...)
	return len(data), nil
}

// zeroDropped zeroes the ranges that no sync has made durable.
func (f *memFile) zeroDropped(dropped [][2]int) {
	for _, d := range dropped {
		if d[0] < len(f.data) {
			clear(f.data[d[0]:min(d[1], len(f.data))])
		}
	}
}

func (f *memFile) Sync() error {
	err := f.fs.countOp()
	if errors.Is(err, errCrashed) {
		return err
	}
	if f.fs.failSync {
		err = syscall.EIO
	}
	if err != nil {
		f.dropped = append(f.dropped, [2]int{f.synced, len(f.data)})
		return err
	}
	f.synced = len(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }

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

// memFS is a folder that can crash: it then keeps what was synced and, as loss
// says, a part of the rest. It also injects failures.
type memFS struct {
	files map[string]*memFile
	// durable holds the names as of the last SyncDir.
	durable map[string]*memFile
	// crashAfter is the number of operations until everything fails, and never
	// if it is negative.
	crashAfter int
	ops        int
	// room is the number of bytes until the disk is full, if not negative.
	room int
	// failSync fails every sync of a file or of the folder.
	failSync bool
}

type memFile struct {
	fs     *memFS
	data   []byte
	synced int
}

// loss says what a crash takes of what was not synced.
type loss int

const (
	losesAll loss = iota
	losesHalf
	losesNothing
)

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}, crashAfter: -1, room: -1}
}

func (m *memFS) op() error {
	m.ops++
	if m.crashAfter >= 0 && m.ops > m.crashAfter {
		return errCrashed
	}
	return nil
}

// crash returns the folder as a restart finds it.
func (m *memFS) crash(l loss) *memFS {
	next := newMemFS()
	names := m.durable
	if l == losesNothing {
		names = m.files
	}
	for name, f := range names {
		kept := f.synced
		switch l {
		case losesAll:
		case losesHalf:
			kept += (len(f.data) - f.synced) / 2
		case losesNothing:
			kept = len(f.data)
		}
		next.files[name] = &memFile{fs: next, data: slices.Clone(f.data[:kept]), synced: kept}
	}
	next.durable = maps.Clone(next.files)
	return next
}

func (m *memFS) Append(name string) (File, error) {
	if err := m.op(); err != nil {
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
	if err := m.op(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.op(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *memFS) Truncate(name string, size int64) error {
	if err := m.op(); err != nil {
		return err
	}
	f := m.files[name]
	f.data = f.data[:size]
	f.synced = int(size)
	return nil
}

func (m *memFS) SyncDir() error {
	if err := m.op(); err != nil {
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
	if err := f.fs.op(); err != nil {
		// A crash in the middle of a write leaves a part of it.
		f.data = append(f.data, data[:len(data)/2]...)
		return 0, err
	}
	if f.fs.room >= 0 && len(data) > f.fs.room {
		n := f.fs.room
		f.data = append(f.data, data[:n]...)
		f.fs.room = 0
		return n, syscall.ENOSPC
	}
	if f.fs.room >= 0 {
		f.fs.room -= len(data)
	}
	f.data = append(f.data, data...)
	return len(data), nil
}

func (f *memFile) Sync() error {
	if err := f.fs.op(); err != nil {
		return err
	}
	if f.fs.failSync {
		return syscall.EIO
	}
	f.synced = len(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }

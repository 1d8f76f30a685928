package faults

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"syscall"

	"laburnumdock/internal/wal"
)

var errTorn = errors.New("the process ended during a write")

// memFS is a data directory in memory that loses unsynced data in a crash.
type memFS struct {
	files map[string]*memFile
	// durable holds the directory entries as of the last SyncDir.
	durable map[string]*memFile
	// isFull fails writes, failsSync fails syncs, and tearsWrite fails a write after
	// half of its bytes.
	isFull, failsSync, tearsWrite bool
}

type memFile struct {
	fs     *memFS
	data   []byte
	synced int
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}}
}

// crash returns the directory as a restart finds it. If torn is true, half of the
// unsynced bytes are kept.
func (m *memFS) crash(torn bool) *memFS {
	next := newMemFS()
	for name, f := range m.durable {
		kept := f.synced
		if torn {
			kept += (len(f.data) - f.synced) / 2
		}
		next.files[name] = &memFile{fs: next, data: slices.Clone(f.data[:kept]), synced: kept}
	}
	next.durable = maps.Clone(next.files)
	return next
}

// loseSyncedData drops the second half of the newest log file, which was synced.
// It simulates a disk that acknowledges a sync without storing the data.
func (m *memFS) loseSyncedData() {
	names, _ := m.List()
	for _, name := range slices.Backward(names) {
		if strings.HasPrefix(name, "log-") {
			f := m.files[name]
			f.data = f.data[:len(f.data)/2]
			f.synced = len(f.data)
			return
		}
	}
}

func (m *memFS) Append(name string) (wal.File, error) {
	f := m.files[name]
	if f == nil {
		if m.isFull {
			return nil, syscall.ENOSPC
		}
		f = &memFile{fs: m}
		m.files[name] = f
	}
	return f, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	f := m.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *memFS) List() ([]string, error) { return slices.Sorted(maps.Keys(m.files)), nil }

func (m *memFS) Rename(from, to string) error {
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	delete(m.files, name)
	return nil
}

func (m *memFS) SyncDir() error {
	if m.failsSync {
		return syscall.EIO
	}
	m.durable = maps.Clone(m.files)
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (f *memFile) Write(data []byte) (int, error) {
	switch {
	case f.fs.isFull:
		return 0, syscall.ENOSPC
	case f.fs.tearsWrite:
		f.data = append(f.data, data[:len(data)/2]...)
		return len(data) / 2, errTorn
	}
	f.data = append(f.data, data...)
	return len(data), nil
}

func (f *memFile) Sync() error {
	if f.fs.failsSync {
		return syscall.EIO
	}
	f.synced = len(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }

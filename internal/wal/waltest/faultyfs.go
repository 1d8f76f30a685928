package waltest

import (
	"sync/atomic"
	"syscall"

	"laburnumdock/internal/wal"
)

// Op is a set of file operations.
type Op uint32

// The file operations that a FaultyFS can refuse. Create stands for opening a file
// that is to be written.
const (
	Create Op = 1 << iota
	Write
	Sync
	Rename
	Remove
	SyncDir
	// Full are the operations that a full disk refuses.
	Full = Create | Write
)

// FaultyFS is a wal.FS that refuses operations on demand, like a disk that is full
// or fails for a while. Create and Write fail with ENOSPC, a refused Write after the
// first half of its data, and all others with EIO.
type FaultyFS struct {
	wal.FS
	refused atomic.Uint32
	// refusals is the number of refused operations.
	refusals atomic.Int64
}

// Refuse makes the operations fail until the next call.
func (f *FaultyFS) Refuse(ops Op) { f.refused.Store(uint32(ops)) }

// Refusals returns the number of operations that were refused so far.
func (f *FaultyFS) Refusals() int { return int(f.refusals.Load()) }

func (f *FaultyFS) check(op Op, err error) error {
	if Op(f.refused.Load())&op == 0 {
		return nil
	}
	f.refusals.Add(1)
	return err
}

// Append implements wal.FS.
func (f *FaultyFS) Append(name string) (wal.File, error) {
	if err := f.check(Create, syscall.ENOSPC); err != nil {
		return nil, err
	}
	file, err := f.FS.Append(name)
	if err != nil {
		return nil, err
	}
	return faultyFile{File: file, fs: f}, nil
}

// Rename implements wal.FS.
func (f *FaultyFS) Rename(from, to string) error {
	if err := f.check(Rename, syscall.EIO); err != nil {
		return err
	}
	return f.FS.Rename(from, to)
}

// Remove implements wal.FS.
func (f *FaultyFS) Remove(name string) error {
	if err := f.check(Remove, syscall.EIO); err != nil {
		return err
	}
	return f.FS.Remove(name)
}

// SyncDir implements wal.FS.
func (f *FaultyFS) SyncDir() error {
	if err := f.check(SyncDir, syscall.EIO); err != nil {
		return err
	}
	return f.FS.SyncDir()
}

// faultyFile is a file of a FaultyFS.
type faultyFile struct {
	wal.File
	fs *FaultyFS
}

// Write implements io.Writer.
func (f faultyFile) Write(data []byte) (int, error) {
	if err := f.fs.check(Write, syscall.ENOSPC); err != nil {
		n, _ := f.File.Write(data[:len(data)/2])
		return n, err
	}
	return f.File.Write(data)
}

// Sync implements wal.File.
func (f faultyFile) Sync() error {
	if err := f.fs.check(Sync, syscall.EIO); err != nil {
		return err
	}
	return f.File.Sync()
}

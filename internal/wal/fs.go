package wal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

// File is a file opened for appending.
type File interface {
	io.Writer
	// Sync makes the content durable.
	Sync() error
	Close() error
}

// FS provides the file operations that the log needs. Names are relative to the
// data directory. A created, renamed or removed name is durable only after SyncDir.
type FS interface {
	// Append opens a file for appending and creates it if it doesn't exist.
	Append(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	List() ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
	// Lock locks the directory against other processes until the returned value
	// is closed.
	Lock(name string) (io.Closer, error)
}

// dirFS is a directory of the operating system.
type dirFS struct{ dir string }

// Dir returns the FS of the directory at path, which it creates if needed.
func Dir(path string) (FS, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, eris.Wrap(err, "create the data directory")
	}
	return dirFS{dir: path}, nil
}

func (d dirFS) path(name string) string { return filepath.Join(d.dir, name) }

func (d dirFS) Append(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
}

func (d dirFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

func (d dirFS) List() ([]string, error) {
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

func (d dirFS) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

func (d dirFS) Remove(name string) error { return os.Remove(d.path(name)) }

func (d dirFS) SyncDir() error {
	f, err := os.Open(d.dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (d dirFS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

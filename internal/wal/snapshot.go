package wal

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/raft"
)

const (
	snapshotPrefix = "snap-"
	snapshotSuffix = ".snap"
	tempSuffix     = ".tmp"
)

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x%s", snapshotPrefix, index, snapshotSuffix)
}

// writeAtomic writes a file under a temporary name and renames it after the sync,
// so that a file under its final name is always complete. After a failure before the
// rename it removes the temporary file, which takes up space on a full disk.
func writeAtomic(fs FS, name string, chunks ...[]byte) error {
	temp := name + tempSuffix
	err := writeTempFile(fs, temp, chunks)
	if err == nil {
		err = fs.Rename(temp, name)
	}
	if err != nil {
		// If this fails as well, the next attempt or the next Open removes the file.
		_ = fs.Remove(temp)
		return err
	}
	return fs.SyncDir()
}

// writeTempFile writes and syncs a file that does not have its final name yet.
func writeTempFile(fs FS, temp string, chunks [][]byte) error {
	// A failed attempt may have left a part of the file.
	if err := fs.Remove(temp); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	f, err := fs.Append(temp)
	if err != nil {
		return err
	}
	for _, chunk := range chunks {
		if _, err := f.Write(chunk); err != nil {
			f.Close()
			return err
		}
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// writeSnapshot stores a snapshot. It accesses only its own file, so it may run
// concurrently with writes to the log.
func writeSnapshot(fs FS, id Identity, snap raft.Snapshot) error {
	header, err := encodeFrame(snapshotHeader{Version: formatVersion, Identity: id, Meta: snap.Meta})
	if err != nil {
		return err
	}
	return writeAtomic(fs, snapshotName(snap.Meta.Index), header, frame(snap.Data))
}

func readSnapshot(fs FS, id Identity, name string) (raft.Snapshot, error) {
	data, err := fs.ReadFile(name)
	if err != nil {
		return raft.Snapshot{}, storageFailure(err, "read %s", name)
	}
	payload, size, state := nextFrame(data)
	if state != frameValid {
		return raft.Snapshot{}, fault.New(fault.StorageFailed, "%s: wrong checksum of the header", name)
	}
	var header snapshotHeader
	if err := decMode.Unmarshal(payload, &header); err != nil {
		return raft.Snapshot{}, storageFailure(err, "%s: header cannot be decoded", name)
	}
	if err := id.check(name, header.Version, header.Identity); err != nil {
		return raft.Snapshot{}, err
	}
	content, used, state := nextFrame(data[size:])
	if state != frameValid || size+used != len(data) {
		return raft.Snapshot{}, fault.New(fault.StorageFailed, "%s: wrong checksum or length of the content", name)
	}
	return raft.Snapshot{Meta: header.Meta, Data: content}, nil
}

// snapshotNames returns the names of the snapshot files, oldest first.
func snapshotNames(fs FS) ([]string, error) {
	return matchingNames(fs, snapshotPrefix, snapshotSuffix)
}

// matchingNames returns the names with a prefix and a suffix, in order.
func matchingNames(fs FS, prefix, suffix string) ([]string, error) {
	all, err := fs.List()
	if err != nil {
		return nil, storageFailure(err, "list the data folder")
	}
	names := slices.DeleteFunc(all, func(name string) bool {
		return !strings.HasPrefix(name, prefix) || !strings.HasSuffix(name, suffix)
	})
	slices.Sort(names)
	return names, nil
}

// newestSnapshot returns the newest snapshot, or one with index 0 if there is none.
// It does not fall back to an older one if the newest cannot be read, because the
// log entries between them have been removed.
func newestSnapshot(fs FS, id Identity) (raft.Snapshot, error) {
	names, err := snapshotNames(fs)
	if err != nil || len(names) == 0 {
		return raft.Snapshot{}, err
	}
	return readSnapshot(fs, id, names[len(names)-1])
}

// removeSnapshotsBefore removes the snapshots before the one at index.
func removeSnapshotsBefore(fs FS, index uint64) error {
	names, err := snapshotNames(fs)
	if err != nil {
		return err
	}
	for _, name := range names {
		if name >= snapshotName(index) {
			break
		}
		if err := fs.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

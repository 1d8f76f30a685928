package wal

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"maps"
	"slices"
	"strings"
	"syscall"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/raft"
)

const (
	identityFile = "cluster"
	disksFile    = "disks"
	lockFile     = "lock"
)

// Identity identifies the replica that the files of a data directory belong to.
type Identity struct {
	Cluster string
	Replica uint64
	// Disk is a random ID that is generated when the directory is initialised.
	// The other replicas store it, so that a replica that lost its disk, and
	// with it its vote, cannot return under its old ID.
	Disk string
}

// check returns an error unless a file with the given format version and identity
// belongs to id.
func (id Identity) check(name string, version int, other Identity) error {
	if version != formatVersion {
		return fault.New(fault.StorageFailed, "%s has format %d, this version reads format %d", name, version, formatVersion)
	}
	if id != other {
		return fault.New(fault.StorageFailed, "%s belongs to replica %d of cluster %q (disk %s), not to replica %d of cluster %q (disk %s)",
			name, other.Replica, other.Cluster, other.Disk, id.Replica, id.Cluster, id.Disk)
	}
	return nil
}

// failure is a storage_failed error with its cause.
type failure struct {
	err   *fault.Error
	cause error
}

// Error implements error.
func (f *failure) Error() string { return f.err.Error() }

// Unwrap returns the storage_failed error and the cause.
func (f *failure) Unwrap() []error { return []error{f.err, f.cause} }

// storageFailure returns a storage_failed error with its cause.
func storageFailure(cause error, format string, args ...any) error {
	err := fault.New(fault.StorageFailed, format, args...)
	err.Message += ": " + cause.Error()
	return &failure{err: err, cause: cause}
}

// IsRefusal reports whether err means that the disk refused an operation that it may
// accept later, for example because it is full. Any other failure, such as a wrong
// checksum or files of another replica, stays until an operator acts.
func IsRefusal(err error) bool {
	for _, refusal := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EROFS} {
		if errors.Is(err, refusal) {
			return true
		}
	}
	return false
}

type storedIdentity struct {
	Version  int
	Identity Identity
}

// Init initialises an empty data directory. It must be called only once for a
// replica ID: a replica with an empty directory must not initialise it again under
// the same ID, because it may have lost its vote. bootstrap is the snapshot that
// the replicas of a new cluster start from; it is nil for a replica that joins an
// existing cluster.
func Init(fs FS, cluster string, replica uint64, bootstrap *raft.Snapshot) error {
	names, err := fs.List()
	if err != nil {
		return storageFailure(err, "list the data directory")
	}
	if names = slices.DeleteFunc(names, isForeign); len(names) > 0 {
		return fault.New(fault.StorageFailed, "the data directory is not empty: it holds %s", strings.Join(names, ", "))
	}
	disk := make([]byte, 8)
	if _, err := rand.Read(disk); err != nil {
		return storageFailure(err, "generate a disk ID")
	}
	id := Identity{Cluster: cluster, Replica: replica, Disk: hex.EncodeToString(disk)}
	header := segmentHeader{Version: formatVersion, Identity: id, Sequence: 1}
	if bootstrap != nil {
		if err := writeSnapshot(fs, id, *bootstrap); err != nil {
			return storageFailure(err, "write the bootstrap snapshot")
		}
		header.PrevIndex, header.PrevTerm = bootstrap.Meta.Index, bootstrap.Meta.Term
	}
	if f, _, err := createSegment(fs, header, raft.HardState{}); err != nil {
		return storageFailure(err, "write the first log file")
	} else if err := f.Close(); err != nil {
		return storageFailure(err, "write the first log file")
	}
	// The identity is written last: a directory without it counts as not
	// initialised.
	data, err := encodeFrame(storedIdentity{Version: formatVersion, Identity: id})
	if err != nil {
		return storageFailure(err, "encode the identity")
	}
	if err := writeAtomic(fs, identityFile, data); err != nil {
		return storageFailure(err, "write the identity")
	}
	return nil
}

// Identify returns the identity stored in a data directory, or false if the
// directory was never initialised.
func Identify(fs FS) (Identity, bool, error) {
	names, err := fs.List()
	if err != nil {
		return Identity{}, false, storageFailure(err, "list the data directory")
	}
	if !slices.Contains(names, identityFile) {
		return Identity{}, false, nil
	}
	id, err := readIdentity(fs)
	return id, err == nil, err
}

// Clear removes the files of a replica that was removed from its cluster, or whose
// data directory was only partly initialised. It removes the identity first, so
// that a crash leaves a directory that counts as not initialised.
func Clear(fs FS) error {
	names, err := fs.List()
	if err != nil {
		return storageFailure(err, "list the data directory")
	}
	if slices.Contains(names, identityFile) {
		if err := fs.Remove(identityFile); err != nil {
			return storageFailure(err, "remove the identity")
		}
		if err := fs.SyncDir(); err != nil {
			return storageFailure(err, "sync the data directory")
		}
	}
	for _, name := range names {
		if name == identityFile || isForeign(name) {
			continue
		}
		if err := fs.Remove(name); err != nil {
			return storageFailure(err, "remove %s", name)
		}
	}
	if err := fs.SyncDir(); err != nil {
		return storageFailure(err, "sync the data directory")
	}
	return nil
}

// isForeign reports whether a file is none of the log's own, such as lost+found.
func isForeign(name string) bool {
	return name != identityFile && name != disksFile &&
		!strings.HasPrefix(name, segmentPrefix) && !strings.HasPrefix(name, snapshotPrefix)
}

// readIdentity returns the identity of an initialised data directory.
func readIdentity(fs FS) (Identity, error) {
	names, err := fs.List()
	if err != nil {
		return Identity{}, storageFailure(err, "list the data directory")
	}
	if !slices.Contains(names, identityFile) {
		return Identity{}, fault.New(fault.StorageFailed, "the data directory has no file %q: initialise it under a replica ID that was never used", identityFile)
	}
	var stored storedIdentity
	if err := readRecordFile(fs, identityFile, &stored); err != nil {
		return Identity{}, err
	}
	if stored.Version != formatVersion {
		return Identity{}, fault.New(fault.StorageFailed, "%s has format %d, this version reads format %d", identityFile, stored.Version, formatVersion)
	}
	return stored.Identity, nil
}

// readRecordFile decodes a file that consists of one record into v.
func readRecordFile(fs FS, name string, v any) error {
	data, err := fs.ReadFile(name)
	if err != nil {
		return storageFailure(err, "read %s", name)
	}
	payload, size, state := nextFrame(data)
	if state != frameValid || size != len(data) {
		return fault.New(fault.StorageFailed, "%s: wrong checksum or length", name)
	}
	if err := decMode.Unmarshal(payload, v); err != nil {
		return storageFailure(err, "%s: content cannot be decoded", name)
	}
	return nil
}

// diskRegistry stores the disk ID of each known replica. The control loop owns it.
// Invariant: the disk of a replica ID never changes.
type diskRegistry struct {
	fs            FS
	diskByReplica map[uint64]string
}

func openDiskRegistry(fs FS) (*diskRegistry, error) {
	d := &diskRegistry{fs: fs, diskByReplica: map[uint64]string{}}
	names, err := fs.List()
	if err != nil {
		return nil, storageFailure(err, "list the data directory")
	}
	if !slices.Contains(names, disksFile) {
		return d, nil
	}
	return d, readRecordFile(fs, disksFile, &d.diskByReplica)
}

// check returns an error if the replica is known with another disk. It stores the
// disk of a new replica before it accepts it.
func (d *diskRegistry) check(replica uint64, disk string) error {
	known, ok := d.diskByReplica[replica]
	if ok && known == disk {
		return nil
	}
	if ok {
		return fault.New(fault.Fenced, "replica %d was known with disk %s and now has disk %s: its ID must not be used again", replica, known, disk)
	}
	next := maps.Clone(d.diskByReplica)
	next[replica] = disk
	data, err := encodeFrame(next)
	if err != nil {
		return storageFailure(err, "encode the disks")
	}
	if err := writeAtomic(d.fs, disksFile, data); err != nil {
		return storageFailure(err, "write the disks")
	}
	d.diskByReplica = next
	return nil
}

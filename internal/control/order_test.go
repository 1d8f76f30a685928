package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/wal"
)

// slowFS is a file system whose syncs can be blocked. A sync waits until released
// is closed.
type slowFS struct {
	wal.FS
	mu       sync.Mutex
	released chan struct{}
}

func newSlowFS(t *testing.T, dir string) *slowFS {
	fs, err := wal.Dir(dir)
	require.NoError(t, err)
	released := make(chan struct{})
	close(released)
	return &slowFS{FS: fs, released: released}
}

// blockSyncs blocks syncs until the returned function is called.
func (s *slowFS) blockSyncs() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	released := make(chan struct{})
	s.released = released
	return func() { close(released) }
}

func (s *slowFS) Append(name string) (wal.File, error) {
	file, err := s.FS.Append(name)
	return slowFile{File: file, fs: s}, err
}

type slowFile struct {
	wal.File
	fs *slowFS
}

func (f slowFile) Sync() error {
	f.fs.mu.Lock()
	released := f.fs.released
	f.fs.mu.Unlock()
	<-released
	return f.File.Sync()
}

// Guards against a replica that acknowledges entries to the leader, or answers a
// change, before its log is synced: a crash would lose acknowledged changes.
func TestNothingIsAcknowledgedBeforeSync(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	c.mustPut(c.leader(), 0)
	disks := map[uint64]*slowFS{}
	for id := uint64(1); id <= 3; id++ {
		c.kill(id)
		disks[id] = newSlowFS(t, c.dirs[id])
		c.startFS(id, c.relisten(id), disks[id])
	}
	lead := c.leader()
	c.mustPut(lead, 1)
	lead = c.leader()
	cases := map[string]func(id uint64) bool{
		"followers": func(id uint64) bool { return id != lead.cfg.ID },
		"all":       func(uint64) bool { return true },
	}
	for name, isBlocked := range cases {
		var releases []func()
		for id, disk := range disks {
			if isBlocked(id) {
				releases = append(releases, disk.blockSyncs())
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
		_, err := lead.Propose(ctx, putTeam(2))
		cancel()
		for _, release := range releases {
			release()
		}
		require.Error(t, err, name)
		c.proposeUntilAccepted(lead, 3)
		lead = c.leader()
	}
}

package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/control"
	"laburnumdock/internal/core/manager"
)

// Guards against a replica that was removed while it was down, starts with its old
// disk and is a member under its old ID again.
func TestRemovedReplicaReturnsUnderNewID(t *testing.T) {
	s := newTestCell(t, 3)
	urls := s.startFive()
	client := s.client()
	require.Equal(t, manager.ReplyAccepted, mustRequest(t, client, manager.Request{Kind: manager.RequestConfigure, Config: testConfig}).Kind)
	removed := urls[4]
	old := s.nodes[removed].cell.id
	s.kill(removed)
	replacement := s.addNode()
	s.start(replacement, false)
	s.waitForVoters(append(urls[:4:4], replacement)...)

	s.start(removed, false)
	n := s.nodes[removed]
	require.Equal(t, old, n.cell.id)
	select {
	case err := <-n.done:
		require.ErrorIs(t, err, errRemoved)
	case <-time.After(waitTimeout):
		t.Fatal("the replica does not notice that it was removed")
	}
	n.handler.set(nil)
	n.stop = nil
	require.False(t, s.isMember(old))
	require.NoError(t, control.ClearDataDir(control.Config{Dir: n.dir}))
	s.start(removed, false)
	s.waitForVoters(append(urls[:5:5], replacement)...)
	require.NotEqual(t, old, n.cell.id)
	require.False(t, s.isMember(old))
}

// isMember reports whether the leader counts a replica as a member.
func (s *testCell) isMember(id uint64) bool {
	status := s.nodes[s.waitForLeader()].cell.replica.Status()
	_, known := status.Addresses[id]
	return known && (status.Members.IsVoter(id) || status.Members.IsLearner(id))
}

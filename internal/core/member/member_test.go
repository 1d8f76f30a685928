package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
)

var start = time.Date(2026, 5, 1, 18, 0, 0, 0, time.UTC)

func said(endpoint int, incarnation, sequence, epoch uint64) Announcement {
	return Announcement{Endpoint: fmt.Sprint("e", endpoint), Host: fmt.Sprint("h", endpoint), Service: "s", Epoch: epoch, Incarnation: incarnation, Sequence: sequence, Slots: 8, AnnouncedAt: start}
}

// Guards against an older announcement that replaces a newer one, and against
// a restarted endpoint that is taken for old.
func TestMergeKeepsNewestAnnouncement(t *testing.T) {
	for _, c := range []struct {
		incarnation, sequence uint64
		news                  bool
	}{
		{5, 7, false}, {5, 6, false}, {5, 8, true}, {4, 100, false}, {6, 1, true},
	} {
		d := New()
		_, err := d.Merge(said(1, 5, 7, 1))
		require.Nil(t, err)
		news, err := d.Merge(said(1, c.incarnation, c.sequence, 1))
		require.Nil(t, err)
		require.Equal(t, c.news, news, "%+v", c)
	}
}

// Guards against work for a host that was fenced, and against a replayed
// older epoch that lifts the fence.
func TestStaleEpochIsFenced(t *testing.T) {
	d := New()
	a := said(1, 1, 1, 3)
	_, err := d.Merge(a)
	require.Nil(t, err)
	require.True(t, d.IsRoutable(a, start))
	d.SetEpoch("h1", 4)
	d.SetEpoch("h1", 2)
	require.False(t, d.IsRoutable(a, start))
	_, err = d.Merge(said(1, 1, 2, 3))
	require.Equal(t, fault.Fenced, err.Kind)
	_, err = d.Merge(said(1, 2, 1, 4))
	require.Nil(t, err)
}

// Guards against new work after the lease of 3 s.
func TestLeaseExpires(t *testing.T) {
	d := New()
	a := said(1, 1, 1, 1)
	require.True(t, d.IsRoutable(a, start.Add(3*time.Second-1)))
	require.False(t, d.IsRoutable(a, start.Add(3*time.Second)))
	a.Leaving = true
	require.False(t, d.IsRoutable(a, start))
}

// Guards against changes that a peer never hears of: a peer that follows the
// listing from any point has the same announcements in the end.
func TestChangesSinceConvergesOnPeer(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	d, peer := New(), New()
	var n uint64
	for step := range 5000 {
		_, _ = d.Merge(said(random.IntN(50), uint64(1+random.IntN(3)), uint64(step), 1))
		if random.IntN(40) == 0 {
			d.Expire(start)
			list, next := d.ChangesSince(n)
			require.LessOrEqual(t, len(list), MaxChanges)
			require.GreaterOrEqual(t, next, n)
			n = next
			for _, a := range list {
				_, _ = peer.Merge(a)
			}
		}
	}
	list, _ := d.ChangesSince(n)
	for _, a := range list {
		_, _ = peer.Merge(a)
	}
	require.Len(t, peer.entries, len(d.entries))
	for name, e := range d.entries {
		require.Equal(t, e.Announcement, peer.entries[name].Announcement)
	}
}

// Guards against a listing without bound.
func TestChangesSinceIsBounded(t *testing.T) {
	d := New()
	for i := range 3 * MaxChanges {
		_, _ = d.Merge(said(i, 1, 1, 1))
	}
	seen := 0
	var n uint64
	for {
		list, next := d.ChangesSince(n)
		if len(list) == 0 {
			break
		}
		require.LessOrEqual(t, len(list), MaxChanges)
		seen += len(list)
		n = next
	}
	require.Equal(t, 3*MaxChanges, seen)
}

// Guards against endpoints that stay known for ever.
func TestExpireRemovesSilentEndpoints(t *testing.T) {
	d := New()
	_, _ = d.Merge(said(1, 1, 1, 1))
	require.Empty(t, d.Expire(start.Add(retention)))
	require.Equal(t, []string{"e1"}, d.Expire(start.Add(retention+1)))
	list, _ := d.ChangesSince(0)
	require.Empty(t, list)
}

// Guards against an endpoint that moved to another host and is fenced by the
// epoch of the former one, and against an index of hosts that grows.
func TestEndpointMovesHost(t *testing.T) {
	d := New()
	a := said(1, 1, 1, 1)
	_, _ = d.Merge(a)
	a.Host, a.Sequence = "other", 2
	_, err := d.Merge(a)
	require.Nil(t, err)
	before := d.LastChange()
	d.SetEpoch("h1", 9)
	require.Equal(t, before, d.LastChange())
	d.SetEpoch("other", 9)
	require.Equal(t, before+1, d.LastChange())
	require.Equal(t, []string{"e1"}, d.Expire(start.Add(retention+1)))
	require.Empty(t, d.hosts)
}

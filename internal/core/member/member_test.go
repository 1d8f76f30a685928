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

// announcement returns an announcement of the endpoint with the given number, made
// at start.
func announcement(endpoint int, incarnation, sequence, epoch uint64) Announcement {
	return Announcement{Endpoint: fmt.Sprint("e", endpoint), Host: fmt.Sprint("h", endpoint), Service: "s", Epoch: epoch, Incarnation: incarnation, Sequence: sequence, Slots: 8, AnnouncedAt: start}
}

// Guards against an older announcement replacing a newer one, and against ignoring
// the announcements of a restarted endpoint.
func TestMergeKeepsNewestAnnouncement(t *testing.T) {
	for _, c := range []struct {
		incarnation, sequence uint64
		changed               bool
	}{
		{5, 7, false}, {5, 6, false}, {5, 8, true}, {4, 100, false}, {6, 1, true},
	} {
		d := New()
		_, err := d.Merge(announcement(1, 5, 7, 1))
		require.Nil(t, err)
		changed, err := d.Merge(announcement(1, c.incarnation, c.sequence, 1))
		require.Nil(t, err)
		require.Equal(t, c.changed, changed, "%+v", c)
	}
}

// Guards against sending work to a fenced host, and against lifting the fence when
// an older epoch is replayed.
func TestStaleEpochIsFenced(t *testing.T) {
	d := New()
	a := announcement(1, 1, 1, 3)
	_, err := d.Merge(a)
	require.Nil(t, err)
	require.True(t, d.IsRoutable(a, start))
	d.SetEpoch("h1", 4)
	d.SetEpoch("h1", 2)
	require.False(t, d.IsRoutable(a, start))
	_, err = d.Merge(announcement(1, 1, 2, 3))
	require.Equal(t, fault.Fenced, err.Kind)
	_, err = d.Merge(announcement(1, 2, 1, 4))
	require.Nil(t, err)
}

// Guards against sending new work to an endpoint after its lease of 3 s or while it
// is leaving.
func TestLeaseExpires(t *testing.T) {
	d := New()
	a := announcement(1, 1, 1, 1)
	require.True(t, d.IsRoutable(a, start.Add(3*time.Second-1)))
	require.False(t, d.IsRoutable(a, start.Add(3*time.Second)))
	a.Leaving = true
	require.False(t, d.IsRoutable(a, start))
}

// Guards against changes missing from listings: a peer that merges successive
// listings must end up with the same announcements.
func TestChangesSinceConvergesOnPeer(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	d, peer := New(), New()
	var n uint64
	for step := range 5000 {
		_, _ = d.Merge(announcement(random.IntN(50), uint64(1+random.IntN(3)), uint64(step), 1))
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

// Guards against listings of unbounded size, and against entries missing from a
// listing in several parts.
func TestChangesSinceIsBounded(t *testing.T) {
	d := New()
	for i := range 3 * MaxChanges {
		_, _ = d.Merge(announcement(i, 1, 1, 1))
	}
	listed := 0
	var n uint64
	for {
		list, next := d.ChangesSince(n)
		if len(list) == 0 {
			break
		}
		require.LessOrEqual(t, len(list), MaxChanges)
		listed += len(list)
		n = next
	}
	require.Equal(t, 3*MaxChanges, listed)
}

// Guards against endpoints that stay in the directory forever.
func TestExpireRemovesSilentEndpoints(t *testing.T) {
	d := New()
	_, _ = d.Merge(announcement(1, 1, 1, 1))
	require.Empty(t, d.Expire(start.Add(retention)))
	require.Equal(t, []string{"e1"}, d.Expire(start.Add(retention+1)))
	list, _ := d.ChangesSince(0)
	require.Empty(t, list)
}

// Guards against fencing an endpoint that moved to another host by the epoch of its
// former host, and against index entries of former hosts that are never removed.
func TestEndpointMovesHost(t *testing.T) {
	d := New()
	a := announcement(1, 1, 1, 1)
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
	require.Empty(t, d.byHost)
}

package cell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/quorum"
)

// Guards against a list of entry hosts that grows with the clients that name themselves, and
// against names that are no addresses.
func TestEntryHostsAreBounded(t *testing.T) {
	r := &entryHostRegistry{lastSeen: map[string]time.Time{}}
	now := time.Unix(1000, 0)
	for _, text := range []string{"", "host", "ftp://h", "http://", "http://" + strings.Repeat("h", maxURLBytes)} {
		require.Empty(t, r.recordAndList(text, now), "%.40q", text)
	}
	known := "http://10.0.0.1:7060"
	require.Equal(t, []string{known}, r.recordAndList(known, now))
	for i := range 2 * maxEntryHosts {
		require.LessOrEqual(t, len(r.recordAndList(fmt.Sprintf("http://h%d", i), now)), maxEntryHosts)
	}
	now = now.Add(entryHostTTL)
	require.Contains(t, r.recordAndList(known, now), known, "a known one is renewed although the list is full")
	now = now.Add(time.Second)
	other := "http://10.0.0.2:7060"
	require.ElementsMatch(t, []string{known, other}, r.recordAndList(other, now), "there is room once others have expired")
}

// Guards against requests to join that are kept without a bound.
func TestJoinRequestsAreBounded(t *testing.T) {
	m := &membershipReconciler{joinRequests: map[string]joinRequest{}}
	now := time.Unix(1000, 0)
	join := func(i int) bool {
		return m.addJoinRequest(quorum.Joiner{ID: uint64(i), Address: fmt.Sprintf("http://h%d", i)}, now)
	}
	for i := range maxJoinRequests {
		require.True(t, join(i))
	}
	require.False(t, join(maxJoinRequests))
	require.True(t, join(0), "a repeated request replaces its own")
}

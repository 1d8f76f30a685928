package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/state"
)

// Guards against a new leader whose wall clock is behind: if its commands had the
// time of that clock, the replicated time would not advance until the clock caught
// up, and the health of hosts would not age.
func TestCommandTimeContinuesFromReplicatedTime(t *testing.T) {
	ahead := time.Now().Add(time.Hour).UTC()
	r := New(Config{ID: 1})
	r.advanceClock(ahead)
	first := r.Now()
	require.False(t, first.Before(ahead))

	s := state.New()
	s.Apply(1, state.Tick{Origin: state.Origin{Time: ahead}})
	r.createdAt = r.createdAt.Add(-11 * time.Second)
	cmd, err := withOriginTime(state.Tick{}, r.Now())
	require.NoError(t, err)
	s.Apply(2, cmd)
	require.GreaterOrEqual(t, s.Now().Sub(ahead), 11*time.Second)
}

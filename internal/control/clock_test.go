package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/state"
)

// Guards against commands of a new leader whose wall clock is behind: with
// them the replicated time would stand still for the whole difference, and the
// health of hosts would not age.
func TestTimeOfCommandsGoesOnFromReplicatedTime(t *testing.T) {
	ahead := time.Now().Add(time.Hour).UTC()
	r := New(Config{ID: 1})
	r.followTime(ahead)
	first := r.Now()
	require.False(t, first.Before(ahead))

	s := state.New()
	s.Apply(1, state.Tick{Origin: state.Origin{Time: ahead}})
	r.began = r.began.Add(-11 * time.Second)
	cmd, err := stamp(state.Tick{}, r.Now())
	require.NoError(t, err)
	s.Apply(2, cmd)
	require.GreaterOrEqual(t, s.Now().Sub(ahead), 11*time.Second)
}

package codec

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Guards against a command that is committed to the log and that no replica can
// decode: every replica then stops, and again after each restart.
func TestTextsThatAreNotUTF8CanBeDecoded(t *testing.T) {
	for _, cmd := range []state.Command{
		state.JobsStep{Commands: []jobs.Command{{RegisterExecutor: &jobs.RegisterExecutor{Executor: jobs.Executor{ID: "i\xff"}}}}},
		state.Delete{Key: model.Key{Kind: model.KindPool, Name: "p\xff"}},
		state.Tick{Origin: state.Origin{Actor: "\xc3(", ChangeID: "\xfe"}},
	} {
		data, err := EncodeCommand(cmd)
		require.NoError(t, err)
		decoded, err := DecodeCommand(data)
		require.NoError(t, err)
		require.Equal(t, cmd, decoded)
	}
}

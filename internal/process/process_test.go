package process

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/settings"
)

// Guards against an override that is cut at the commas of its value, so that a
// list such as the voters cannot be set on the command line.
func TestOverrideMayHoldCommas(t *testing.T) {
	var peers *[]string
	ran := false
	declare := func(s *settings.Set) func(context.Context) error {
		peers = s.List("entry", "peers", "", false, "addresses")
		return func(context.Context) error {
			ran = true
			return nil
		}
	}
	for _, args := range [][]string{{"dock"}, {"dock", "act"}} {
		ran = false
		command := Command("dock", "test", declare, Action{Name: "act", Usage: "test", Declare: declare})
		set := []string{"--set", "entry.peers=127.0.0.1:1, 127.0.0.1:2"}
		require.NoError(t, command.Run(t.Context(), append(append([]string{args[0]}, set...), args[1:]...)))
		require.True(t, ran)
		require.Equal(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, *peers)
	}
}

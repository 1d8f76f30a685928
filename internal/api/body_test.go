package api

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

// Guards against a body whose values take far more memory than the body, and against a limit
// that refuses a resource with a list of all hosts of a large fleet.
func TestBodyWithTooManyValues(t *testing.T) {
	const hosts, elements = 16_000, 100_000
	key := model.Key{Kind: model.KindWave, Name: "w"}
	obj, err := decodeObject(key, []byte(`{"metadata":{"kind":"`+string(model.KindWave)+`","name":"w"},"status":{"done":[`+strings.Repeat(`"host1",`, hosts)+`"host1"]}}`))
	require.Nil(t, err)
	require.Len(t, obj.(*model.Wave).Status.Done, hosts+1)
	_, err = decodeObject(key, []byte(`{"status":{"conditions":[`+strings.Repeat("{},", elements)+"{}]}}"))
	require.NotNil(t, err)
	require.Equal(t, fault.TooLarge, err.Kind)
}

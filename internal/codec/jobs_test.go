package codec

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/jobs"
)

// Guards against values whose lists take far more memory than their bytes, and against limits
// that refuse the largest legal ones.
func TestJobsValuesAreBounded(t *testing.T) {
	const hosts, queues = 16_000, 1000
	emptyList := func(key byte, n int) []byte {
		const mapOfOne, array32, emptyMap, byteBits = 0xa1, 0x9a, 0xa0, 8
		head := []byte{mapOfOne, key, array32, byte(n >> (3 * byteBits)), byte(n >> (2 * byteBits)), byte(n >> byteBits), byte(n)}
		return append(head, bytes.Repeat([]byte{emptyMap}, n)...)
	}
	_, err := DecodeJobsValue[jobs.Spec](emptyList(2, jobs.MaxSteps))
	require.NoError(t, err)
	_, err = DecodeJobsValue[jobs.Spec](emptyList(2, jobs.MaxSteps+1))
	require.Error(t, err)
	for _, key := range []byte{2, 3} {
		_, err = DecodeJobsValue[jobs.Config](emptyList(key, queues))
		require.Error(t, err)
	}
	wave, config := &jobs.Wave{ID: 1}, &jobs.Config{Version: 1, Tenancy: &jobs.Tenancy{}}
	for i := range hosts {
		wave.Hosts = append(wave.Hosts, fmt.Sprintf("m-%d", i))
	}
	for i := range queues {
		name := fmt.Sprintf("q%d", i)
		config.Queues = append(config.Queues, jobs.Queue{Name: name, Host: "h", Prefix: "/" + name + "/", Pool: "p"})
		config.Tenancy.Tenants = append(config.Tenancy.Tenants, jobs.Tenant{Name: name, Keys: make([]jobs.KeyDigest, 1)})
	}
	requireRoundTrip(t, wave)
	requireRoundTrip(t, config)
}

func requireRoundTrip[T JobsValue](t *testing.T, v *T) {
	data, err := EncodeJobsValue(v)
	require.NoError(t, err)
	decoded, err := DecodeJobsValue[T](data)
	require.NoError(t, err)
	require.Equal(t, v, decoded)
}

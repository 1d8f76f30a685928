package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/model"
)

// newHostChange returns the change that sets the epoch of a host.
func newHostChange(t *testing.T, name string, version, epoch uint64) *pb.WatchResponse {
	t.Helper()
	host := &model.Host{Meta: model.Meta{Kind: model.KindHost, Name: name, Version: version}, Status: model.HostStatus{Epoch: epoch}}
	data, err := codec.EncodeObject(host)
	require.NoError(t, err)
	return &pb.WatchResponse{Version: version, Kind: string(model.KindHost), Name: name, Object: data}
}

// Guards against a stream that ends between two changes of one version and is resumed
// after both. The second change would be missed, and an endpoint with a stale epoch
// would keep getting work.
func TestChangesOfOneVersionAreResumedTogether(t *testing.T) {
	c := newConfiguration(newQueue(16))
	c.applyList(4)
	require.NoError(t, c.apply(newHostChange(t, "a", 5, 2)))
	require.Equal(t, uint64(4), c.version, "the stream may end here")
	require.Equal(t, uint64(2), c.epochs["a"])
	require.NoError(t, c.apply(newHostChange(t, "a", 5, 2)))
	require.NoError(t, c.apply(newHostChange(t, "b", 5, 3)))
	require.NoError(t, c.apply(&pb.WatchResponse{Version: 5}))
	require.Equal(t, uint64(5), c.version)
	require.Equal(t, uint64(3), c.epochs["b"])
}

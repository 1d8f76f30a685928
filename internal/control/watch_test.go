package control

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Guards against a watch that sends nothing while nothing changes, which a client
// cannot distinguish from an unresponsive connection, and against a progress mark
// that is sent before all changes of its version.
func TestWatchMarksProgress(t *testing.T) {
	r := startSingle(t, nil)
	mux := http.NewServeMux()
	mux.Handle(laburnumdockv1connect.NewControlServiceHandler(&Service{Replica: r}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	client := laburnumdockv1connect.NewControlServiceClient(http.DefaultClient, server.URL)
	stream, err := client.Watch(testContext(t), connect.NewRequest(&pb.WatchRequest{ListFirst: true}))
	require.NoError(t, err)
	t.Cleanup(func() { _ = stream.Close() })
	next := func() *pb.WatchResponse {
		require.True(t, stream.Receive(), stream.Err())
		return stream.Msg()
	}
	require.True(t, next().GetListed())
	require.Empty(t, next().GetKind(), "there must be a mark without a change")
	pool := &model.Pool{Meta: model.Meta{Kind: model.KindPool, Name: "p"}, Spec: model.PoolSpec{SurgeFactor: 5}}
	res, err := r.Propose(testContext(t), state.Put{Object: pool})
	require.NoError(t, err)
	require.Nil(t, res.Err)
	msg := next()
	for msg.GetKind() == "" {
		msg = next()
	}
	require.Equal(t, "p", msg.GetName())
	mark := next()
	require.Empty(t, mark.GetKind())
	require.GreaterOrEqual(t, mark.GetVersion(), res.Version)
}

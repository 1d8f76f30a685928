package jobclient

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
)

// relay passes the requests of entry hosts that cannot reach the leader on to
// it. It never passes them to another relay, so that they do not go in circles.
type relay struct {
	laburnumdockv1connect.UnimplementedJobServiceHandler
	laburnumdockv1connect.UnimplementedCellServiceHandler
	client *Client
}

// RelayHandler returns what the peer listener of an entry host serves.
func (c *Client) RelayHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(laburnumdockv1connect.NewJobServiceHandler(relay{client: c}))
	mux.Handle(laburnumdockv1connect.NewCellServiceHandler(relay{client: c}))
	return mux
}

// Members implements the CellService.
func (r relay) Members(context.Context, *connect.Request[pb.MembersRequest]) (*connect.Response[pb.MembersResponse], error) {
	term, ok := r.client.DirectLeaderTerm()
	return connect.NewResponse(&pb.MembersResponse{Term: term, Relays: ok}), nil
}

// Ask implements the JobService.
func (r relay) Ask(ctx context.Context, req *connect.Request[pb.AskRequest]) (*connect.Response[pb.AskResponse], error) {
	if _, ok := r.client.DirectLeaderTerm(); !ok {
		return nil, answer.ConnectError(fault.New(fault.NotLeader, "this entry host does not reach the leader"))
	}
	resp, err := laburnumdockv1connect.NewJobServiceClient(r.client.http, r.client.LeaderURL()).Ask(ctx, connect.NewRequest(req.Msg))
	if err != nil {
		return nil, answer.ConnectError(answer.RemoteError(err, fault.OutcomeUnknown))
	}
	return connect.NewResponse(resp.Msg), nil
}

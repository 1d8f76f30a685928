package jobclient

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/rpc"
)

// relay forwards requests of entry hosts that cannot reach the leader. It forwards
// only to the leader itself, never to another relay, so that requests cannot loop.
type relay struct {
	laburnumdockv1connect.UnimplementedJobServiceHandler
	laburnumdockv1connect.UnimplementedCellServiceHandler
	client *Client
}

// RelayHandler returns the handler for the peer listener of an entry host.
func (c *Client) RelayHandler() http.Handler {
	mux := http.NewServeMux()
	options := rpc.ServerOptions(rpc.MaxRequestBytes)
	mux.Handle(laburnumdockv1connect.NewJobServiceHandler(relay{client: c}, options))
	mux.Handle(laburnumdockv1connect.NewCellServiceHandler(relay{client: c}, options))
	return mux
}

// Members implements CellService. The response reports whether this entry host can
// relay to the leader, and in which term.
func (r relay) Members(context.Context, *connect.Request[pb.MembersRequest]) (*connect.Response[pb.MembersResponse], error) {
	term, ok := r.client.DirectLeaderTerm()
	return connect.NewResponse(&pb.MembersResponse{Term: term, Relays: ok}), nil
}

// Ask implements JobService by forwarding the request to the leader.
func (r relay) Ask(ctx context.Context, req *connect.Request[pb.AskRequest]) (*connect.Response[pb.AskResponse], error) {
	if _, ok := r.client.DirectLeaderTerm(); !ok {
		return nil, answer.ConnectError(fault.New(fault.NotLeader, "this entry host does not reach the leader"))
	}
	resp, err := laburnumdockv1connect.NewJobServiceClient(r.client.http, r.client.LeaderURL(), rpc.ClientOptions(rpc.MaxAnswerBytes)).Ask(ctx, connect.NewRequest(req.Msg))
	if err != nil {
		return nil, answer.ConnectError(answer.RemoteError(err, fault.OutcomeUnknown))
	}
	return connect.NewResponse(resp.Msg), nil
}

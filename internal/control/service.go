package control

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/answer"
	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Service implements the ControlService, which entry hosts and other replicas use.
type Service struct {
	laburnumdockv1connect.UnimplementedControlServiceHandler
	Replica *Replica
	// HandleLoads is called with the load reports of entry hosts. If it is nil, they
	// are dropped.
	HandleLoads func([]fleet.Load)
}

// Watch implements the ControlService. It sends the changes after the requested
// version. If the request asks for a list, it sends all resources first.
func (s *Service) Watch(ctx context.Context, req *connect.Request[pb.WatchRequest], stream *connect.ServerStream[pb.WatchResponse]) error {
	kinds := kindSet(req.Msg.GetKinds())
	version := req.Msg.GetFromVersion()
	if req.Msg.GetListFirst() {
		snap := s.Replica.Snapshot()
		if err := sendList(snap, kinds, stream); err != nil {
			return err
		}
		version = snap.Version
	}
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	progressDue := false
	for {
		changed := s.Replica.Changed()
		snap := s.Replica.Snapshot()
		events, eventsErr := snap.EventsAfter(version)
		if eventsErr != nil {
			return answer.ConnectError(eventsErr)
		}
		sent, err := sendEvents(events, kinds, stream)
		if err != nil {
			return err
		}
		version = max(version, snap.Version)
		if sent || progressDue {
			if err := stream.Send(&pb.WatchResponse{Version: version}); err != nil {
				return err
			}
		}
		progressDue = false
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-progress.C:
			progressDue = true
		}
	}
}

// progressInterval is the interval at which a stream gets a progress mark even
// without events, so that a client can distinguish an idle stream from an
// unresponsive one.
const progressInterval = time.Second

// sendEvents sends the events of the watched kinds and reports whether there were
// any. Several events can have the same version. Only the progress mark after them
// shows that all were sent, so a client resumes only from versions of marks.
func sendEvents(events []state.Event, kinds map[model.Kind]bool, stream *connect.ServerStream[pb.WatchResponse]) (bool, error) {
	sent := false
	for _, e := range events {
		if len(kinds) > 0 && !kinds[e.Key.Kind] {
			continue
		}
		if err := sendEvent(e, kinds, stream); err != nil {
			return sent, err
		}
		sent = true
	}
	return sent, nil
}

// Forward implements the ControlService. The command is not forwarded again, so that
// two replicas that consider each other the leader don't forward it in a loop.
func (s *Service) Forward(ctx context.Context, req *connect.Request[pb.ForwardRequest]) (*connect.Response[pb.ForwardResponse], error) {
	cmd, err := codec.DecodeCommand(req.Msg.GetCommand())
	if err != nil {
		return nil, answer.ConnectError(fault.New(fault.Invalid, "command cannot be decoded: %v", err))
	}
	res, err := s.Replica.proposeLocal(ctx, cmd)
	if err != nil {
		return nil, answer.ConnectError(err)
	}
	data, err := codec.EncodeResult(res)
	if err != nil {
		return nil, answer.ConnectError(fault.New(fault.OutcomeUnknown, "result cannot be encoded: %v", err))
	}
	return connect.NewResponse(&pb.ForwardResponse{Result: data}), nil
}

// ReadIndex implements the ControlService. A request from another replica is
// answered only if this replica is the leader, so that two replicas don't ask each
// other in a loop. Other clients are answered after this replica has applied the
// index, which shows that it is in contact with the leader.
func (s *Service) ReadIndex(ctx context.Context, req *connect.Request[pb.ReadIndexRequest]) (*connect.Response[pb.ReadIndexResponse], error) {
	read := s.Replica.readIndex
	if req.Header().Get(replicaHeader) != "" {
		read = s.Replica.readIndexLocal
	}
	index, err := read(ctx)
	if err != nil {
		return nil, answer.ConnectError(err)
	}
	return connect.NewResponse(&pb.ReadIndexResponse{Index: index}), nil
}

// RecordRequests implements the ControlService. A malformed record is refused
// without affecting the others.
func (s *Service) RecordRequests(ctx context.Context, req *connect.Request[pb.RecordRequestsRequest]) (*connect.Response[pb.RecordRequestsResponse], error) {
	resp := &pb.RecordRequestsResponse{Results: make([]*pb.RequestResult, len(req.Msg.GetRecords()))}
	var records []state.RequestRecord
	var positions []int
	for i, wire := range req.Msg.GetRecords() {
		rec, err := recordFromWire(wire)
		if err != nil {
			resp.Results[i] = &pb.RequestResult{RequestId: wire.GetRequestId(), ErrorKind: string(fault.KindOf(err))}
			continue
		}
		records = append(records, rec)
		positions = append(positions, i)
	}
	results, err := s.Replica.recorder.record(ctx, records)
	if err != nil {
		return nil, answer.ConnectError(err)
	}
	for i, res := range results {
		resp.Results[positions[i]] = resultToWire(res)
	}
	return connect.NewResponse(resp), nil
}

func kindSet(names []string) map[model.Kind]bool {
	set := make(map[model.Kind]bool, len(names))
	for _, name := range names {
		set[model.Kind(name)] = true
	}
	return set
}

func sendList(snap *state.Snapshot, kinds map[model.Kind]bool, stream *connect.ServerStream[pb.WatchResponse]) error {
	for _, kind := range model.Kinds() {
		for _, obj := range snap.List(kind) {
			e := state.Event{Version: obj.Metadata().Version, Key: obj.Metadata().Key(), Object: obj}
			if err := sendEvent(e, kinds, stream); err != nil {
				return err
			}
		}
	}
	return stream.Send(&pb.WatchResponse{Version: snap.Version, Listed: true})
}

func sendEvent(e state.Event, kinds map[model.Kind]bool, stream *connect.ServerStream[pb.WatchResponse]) error {
	if len(kinds) > 0 && !kinds[e.Key.Kind] {
		return nil
	}
	msg := &pb.WatchResponse{Version: e.Version, Kind: string(e.Key.Kind), Name: e.Key.Name, Deleted: e.Object == nil}
	if e.Object != nil {
		data, err := codec.EncodeObject(e.Object)
		if err != nil {
			return answer.ConnectError(err)
		}
		msg.Object = data
	}
	return stream.Send(msg)
}

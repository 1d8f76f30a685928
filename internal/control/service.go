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

// Service offers the replica to entry hosts and other replicas.
type Service struct {
	laburnumdockv1connect.UnimplementedControlServiceHandler
	Replica *Replica
	// Loads takes the load reports of entry hosts; nil drops them.
	HandleLoads func([]fleet.Load)
}

// Watch implements the ControlService.
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
	marks := time.NewTicker(markInterval)
	defer marks.Stop()
	due := false
	for {
		changed := s.Replica.Changed()
		snap := s.Replica.Snapshot()
		events, fail := snap.EventsAfter(version)
		if fail != nil {
			return answer.ConnectError(fail)
		}
		sent, err := sendEvents(events, kinds, stream)
		if err != nil {
			return err
		}
		version = max(version, snap.Version)
		if sent || due {
			if err := stream.Send(&pb.WatchResponse{Version: version}); err != nil {
				return err
			}
		}
		due = false
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-marks.C:
			due = true
		}
	}
}

// markInterval is the time after which a stream gets a progress mark even
// without events, so that the client can tell an idle stream from a silent one.
const markInterval = time.Second

// sendEvents sends the events of the watched kinds and tells whether there were
// any. Several events can share a version: only the mark that follows them says
// that all of them were sent, and a client resumes from marks alone.
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

// Forward implements the ControlService. It does not forward again, so that two
// replicas that take each other for the leader do not pass a command to and fro.
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

// ReadIndex implements the ControlService. Another replica gets the answer of
// this one alone, so that two replicas do not ask each other in a circle. Anyone
// else is answered once this replica has applied the index: it is then known to
// be in contact with the leader.
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

// RecordRequests implements the ControlService. A record that is malformed is
// refused by itself.
func (s *Service) RecordRequests(ctx context.Context, req *connect.Request[pb.RecordRequestsRequest]) (*connect.Response[pb.RecordRequestsResponse], error) {
	resp := &pb.RecordRequestsResponse{Results: make([]*pb.RequestResult, len(req.Msg.GetRecords()))}
	var records []state.RequestRecord
	var places []int
	for i, wire := range req.Msg.GetRecords() {
		rec, err := recordFromWire(wire)
		if err != nil {
			resp.Results[i] = &pb.RequestResult{RequestId: wire.GetRequestId(), ErrorKind: string(fault.KindOf(err))}
			continue
		}
		records = append(records, rec)
		places = append(places, i)
	}
	results, err := s.Replica.recorder.record(ctx, records)
	if err != nil {
		return nil, answer.ConnectError(err)
	}
	for i, res := range results {
		resp.Results[places[i]] = resultToWire(res)
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

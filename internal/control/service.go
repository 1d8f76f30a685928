package control

import (
	"context"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/answer"
	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Service offers the replica to entry hosts and other replicas.
type Service struct {
	laburnumdockv1connect.UnimplementedControlServiceHandler
	Replica *Replica
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
	for {
		changed := s.Replica.Changed()
		snap := s.Replica.Snapshot()
		events, fail := snap.EventsAfter(version)
		if fail != nil {
			return answer.ConnectError(fail)
		}
		for _, e := range events {
			if err := sendEvent(e, kinds, stream); err != nil {
				return err
			}
		}
		version = max(version, snap.Version)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
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
			e := state.Event{Version: obj.Head().Version, Key: obj.Head().Key(), Object: obj}
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

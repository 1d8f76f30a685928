package control

import (
	"context"
	"net/http"
	"strconv"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/rpc"
)

// raftService receives the Raft messages of the other replicas.
type raftService struct{ r *Replica }

// RaftHandler returns the path and the handler of the RaftService.
func (r *Replica) RaftHandler() (string, http.Handler) {
	// The listener bounds the size of a message, which may hold a snapshot.
	return laburnumdockv1connect.NewRaftServiceHandler(raftService{r: r}, rpc.ServerOptions(0))
}

// Deliver implements the RaftService.
func (s raftService) Deliver(ctx context.Context, req *connect.Request[pb.DeliverRequest]) (*connect.Response[pb.DeliverResponse], error) {
	if cluster := req.Msg.GetClusterId(); cluster != s.r.cfg.Cluster {
		return nil, answer.ConnectError(fault.New(fault.Fenced, "this replica belongs to cluster %q, the messages are from cluster %q", s.r.cfg.Cluster, cluster))
	}
	d, err := newDelivery(req)
	if err != nil {
		return nil, answer.ConnectError(err)
	}
	select {
	case s.r.inbound <- d:
	default:
		return nil, answer.ConnectError(fault.New(fault.Overloaded, "message queue of the control loop is full: %d batches", cap(s.r.inbound)))
	}
	select {
	case err = <-d.reply:
	case <-ctx.Done():
		err = fault.New(fault.DeadlineExceeded, "the control loop did not handle the batch before the deadline")
	case <-s.r.done:
		err = fault.New(fault.Stopping, "replica %d has stopped", s.r.cfg.ID)
	}
	if err != nil {
		return nil, answer.ConnectError(err)
	}
	return connect.NewResponse(&pb.DeliverResponse{}), nil
}

// newDelivery decodes a batch and its snapshots. It runs outside the control loop,
// because decoding a large snapshot would block the loop.
func newDelivery(req *connect.Request[pb.DeliverRequest]) (delivery, error) {
	d := delivery{disk: req.Header().Get(diskHeader), reply: make(chan error, 1)}
	var err error
	if d.from, err = strconv.ParseUint(req.Header().Get(replicaHeader), 10, 64); err != nil {
		return d, fault.New(fault.Invalid, "header %s must be a replica ID", replicaHeader)
	}
	for _, wire := range req.Msg.GetMessages() {
		m, err := messageFromWire(wire)
		if err != nil {
			return d, fault.New(fault.Invalid, "message cannot be decoded: %v", err)
		}
		if m.From != d.from {
			return d, fault.New(fault.Invalid, "replica %d sent a message with sender %d", d.from, m.From)
		}
		if err := d.decodeSnapshot(m.Snapshot); err != nil {
			return d, fault.New(fault.Invalid, "snapshot cannot be decoded: %v", err)
		}
		d.messages = append(d.messages, m)
	}
	return d, nil
}

func (d *delivery) decodeSnapshot(snap *raft.Snapshot) error {
	if snap == nil {
		return nil
	}
	img, err := decodeImage(snap.Data)
	if err != nil {
		return err
	}
	if d.images == nil {
		d.images = map[*raft.Snapshot]*image{}
	}
	d.images[snap] = img
	return nil
}

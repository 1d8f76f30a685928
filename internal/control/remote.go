package control

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/internal/answer"
	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/state"
)

// readTimeout is the timeout for a read index from the leader.
const readTimeout = time.Second

// setSenderHeaders sets the headers that identify the replica and the disk that a
// request comes from.
func (p *peers) setSenderHeaders(h http.Header) {
	h.Set(replicaHeader, strconv.FormatUint(p.cfg.ID, 10))
	h.Set(diskHeader, p.store.Identity().Disk)
}

func (r *Replica) peer(id uint64) (*peer, error) {
	if all := r.peers.Load(); all != nil {
		if p := all.get(id); p != nil {
			return p, nil
		}
	}
	return nil, fault.New(fault.Unavailable, "the address of replica %d is not known", id)
}

// forward sends a command to the leader and returns its result.
func (r *Replica) forward(ctx context.Context, leader uint64, cmd state.Command) (state.Result, error) {
	p, err := r.peer(leader)
	if err != nil {
		return state.Result{}, err
	}
	data, err := codec.EncodeCommand(cmd)
	if err != nil {
		return state.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	resp, err := p.control.Forward(ctx, connect.NewRequest(&pb.ForwardRequest{Command: data}))
	if err != nil {
		return state.Result{}, answer.RemoteError(err, fault.OutcomeUnknown)
	}
	res, err := codec.DecodeResult(resp.Msg.GetResult())
	if err != nil {
		return state.Result{}, fault.New(fault.OutcomeUnknown, "the leader's result cannot be decoded: %v", err)
	}
	return res, nil
}

func (r *Replica) remoteReadIndex(ctx context.Context, leader uint64) (uint64, error) {
	p, err := r.peer(leader)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req := connect.NewRequest(&pb.ReadIndexRequest{})
	p.peers.setSenderHeaders(req.Header())
	resp, err := p.control.ReadIndex(ctx, req)
	if err != nil {
		return 0, answer.RemoteError(err, fault.Unavailable)
	}
	return resp.Msg.GetIndex(), nil
}

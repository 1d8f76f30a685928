package control

import (
	"context"
	"time"

	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/core/state"
)

// forwardTimeout bounds the wait for the leader's answer to a forwarded change.
// It is longer than a failover, after which the outcome is often still learned.
const forwardTimeout = 5 * time.Second

// Propose has a command committed and returns its result. A follower passes it
// to the leader. The error is outcome_unknown if the command may take effect
// although no result was seen; with not_leader, unavailable and overloaded it
// was not appended.
func (r *Replica) Propose(ctx context.Context, cmd state.Command) (state.Result, error) {
	var res state.Result
	err := r.withLeader(ctx, func(leader uint64) error {
		var err error
		switch leader {
		case 0:
			err = fault.New(fault.Unavailable, "no leader is known")
		case r.cfg.ID:
			res, err = r.proposeLocal(ctx, cmd)
		default:
			res, err = r.forward(ctx, leader, cmd)
		}
		return err
	})
	return res, err
}

// proposeLocal proposes on this replica alone.
func (r *Replica) proposeLocal(ctx context.Context, cmd state.Command) (state.Result, error) {
	cmd, err := stamp(cmd, r.Now())
	if err != nil {
		return state.Result{}, err
	}
	data, err := codec.EncodeCommand(cmd)
	if err != nil {
		return state.Result{}, err
	}
	if len(data) > maxCommandBytes {
		return state.Result{}, fault.New(fault.TooLarge, "the change has %d bytes, at most %d are allowed", len(data), maxCommandBytes)
	}
	reply := make(chan outcome, 1)
	return r.await(ctx, proposal{data: data, reply: reply}, reply, fault.OutcomeUnknown)
}

// ProposeMember changes the membership by one replica. It is refused on a
// follower.
func (r *Replica) ProposeMember(ctx context.Context, change raft.MemberChange) error {
	reply := make(chan outcome, 1)
	_, err := r.await(ctx, memberProposal{change: change, reply: reply}, reply, fault.OutcomeUnknown)
	return err
}

// ReadSnapshot returns a snapshot that contains every change that was
// acknowledged before the call. Any replica answers it, but only while a quorum
// is there.
func (r *Replica) ReadSnapshot(ctx context.Context) (*state.Snapshot, error) {
	index, err := r.confirmedIndex(ctx)
	if err != nil {
		return nil, err
	}
	return r.waitApplied(ctx, index)
}

// readIndex returns an index that a quorum has confirmed, once it is applied
// here.
func (r *Replica) readIndex(ctx context.Context) (uint64, error) {
	index, err := r.confirmedIndex(ctx)
	if err != nil {
		return 0, err
	}
	_, err = r.waitApplied(ctx, index)
	return index, err
}

func (r *Replica) confirmedIndex(ctx context.Context) (uint64, error) {
	var index uint64
	err := r.withLeader(ctx, func(leader uint64) error {
		var err error
		switch leader {
		case 0:
			err = fault.New(fault.Unavailable, "no leader is known")
		case r.cfg.ID:
			index, err = r.readIndexLocal(ctx)
		default:
			index, err = r.remoteReadIndex(ctx, leader)
		}
		return err
	})
	return index, err
}

func (r *Replica) readIndexLocal(ctx context.Context) (uint64, error) {
	reply := make(chan outcome, 1)
	res, err := r.await(ctx, readRequest{reply: reply}, reply, fault.DeadlineExceeded)
	return res.Version, err
}

func (r *Replica) waitApplied(ctx context.Context, index uint64) (*state.Snapshot, error) {
	for {
		v := r.view.Load()
		if v.applied >= index {
			return v.snapshot, nil
		}
		select {
		case <-v.newer:
		case <-ctx.Done():
			return nil, fault.New(fault.DeadlineExceeded, "entry %d was not applied in time", index)
		}
	}
}

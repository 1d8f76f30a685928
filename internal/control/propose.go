package control

import (
	"context"
	"time"

	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/core/state"
)

// forwardTimeout is the timeout for a change that is forwarded to the leader. It is
// longer than a failover, after which the outcome can often still be returned.
const forwardTimeout = 5 * time.Second

// Propose replicates a command and returns its result. A follower forwards it to
// the leader. The error is outcome_unknown if the command may take effect although
// no result was received. After not_leader, unavailable and overloaded, the command
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

// proposeLocal proposes a command on this replica, without forwarding.
func (r *Replica) proposeLocal(ctx context.Context, cmd state.Command) (state.Result, error) {
	cmd, err := withOriginTime(cmd, r.Now())
	if err != nil {
		return state.Result{}, err
	}
	data, err := codec.EncodeCommand(cmd)
	if err != nil {
		return state.Result{}, err
	}
	if len(data) > maxCommandBytes {
		return state.Result{}, fault.New(fault.TooLarge, "command has %d bytes, the maximum is %d", len(data), maxCommandBytes)
	}
	reply := make(chan outcome, 1)
	return r.enqueueAndWait(ctx, proposal{data: data, reply: reply}, reply, fault.OutcomeUnknown)
}

// ProposeMember adds, promotes or removes a member. It fails on a follower.
func (r *Replica) ProposeMember(ctx context.Context, change raft.MemberChange) error {
	reply := make(chan outcome, 1)
	_, err := r.enqueueAndWait(ctx, memberProposal{change: change, reply: reply}, reply, fault.OutcomeUnknown)
	return err
}

// ReadSnapshot returns a snapshot that contains every change acknowledged before
// the call. It works on any replica, but only while a quorum is available.
func (r *Replica) ReadSnapshot(ctx context.Context) (*state.Snapshot, error) {
	index, err := r.confirmedIndex(ctx)
	if err != nil {
		return nil, err
	}
	return r.waitApplied(ctx, index)
}

// readIndex returns a read index confirmed by a quorum, after this replica has
// applied it.
func (r *Replica) readIndex(ctx context.Context) (uint64, error) {
	index, err := r.confirmedIndex(ctx)
	if err != nil {
		return 0, err
	}
	_, err = r.waitApplied(ctx, index)
	return index, err
}

// confirmedIndex returns a read index confirmed by a quorum, which this replica may
// not have applied yet.
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
	res, err := r.enqueueAndWait(ctx, readRequest{reply: reply}, reply, fault.DeadlineExceeded)
	return res.Version, err
}

// waitApplied waits until this replica has applied the entry at index. It fails at
// once while the storage has failed, because nothing is applied then.
func (r *Replica) waitApplied(ctx context.Context, index uint64) (*state.Snapshot, error) {
	for {
		current := r.status.Load()
		v := r.view.Load()
		if v.applied >= index {
			return v.snapshot, nil
		}
		if err := current.status.StorageError; err != nil {
			return nil, fault.New(fault.Unavailable, "entry %d is not applied here: %v", index, err)
		}
		select {
		case <-v.superseded:
		case <-current.superseded:
		case <-ctx.Done():
			return nil, fault.New(fault.DeadlineExceeded, "entry %d was not applied in time", index)
		}
	}
}

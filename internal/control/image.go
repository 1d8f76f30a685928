package control

import (
	"maps"

	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/core/state"
)

// image is the decoded payload of a snapshot: the state and the addresses of the
// members.
type image struct {
	state     *state.State
	addresses map[uint64]string
}

func encodeImage(d *state.Dump, addresses map[uint64]string) ([]byte, error) {
	data, err := codec.EncodeDump(d)
	if err != nil {
		return nil, err
	}
	return codec.EncodeImage(codec.Image{State: data, Addresses: addresses})
}

func decodeImage(data []byte) (*image, error) {
	stored, err := codec.DecodeImage(data)
	if err != nil {
		return nil, err
	}
	dump, err := codec.DecodeDump(stored.State)
	if err != nil {
		return nil, err
	}
	return &image{state: state.Restore(dump), addresses: stored.Addresses}, nil
}

// bootstrapSnapshot returns the initial snapshot of the replicas of a new
// cluster.
func bootstrapSnapshot(peers map[uint64]string, voters []uint64) (*raft.Snapshot, error) {
	data, err := encodeImage(state.New().Dump(), maps.Clone(peers))
	if err != nil {
		return nil, err
	}
	return &raft.Snapshot{Meta: raft.BootstrapSnapshot(voters, nil), Data: data}, nil
}

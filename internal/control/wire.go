package control

import (
	"math"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/raft"
)

func messageToWire(m raft.Message) (*pb.RaftMessage, error) {
	out := &pb.RaftMessage{
		Type: uint32(m.Type), From: m.From, To: m.To, Term: m.Term, Index: m.Index, LogTerm: m.LogTerm,
		Commit: m.Commit, Reject: m.Reject, RejectHint: m.RejectHint, Token: m.Token,
	}
	for _, e := range m.Entries {
		entry, err := entryToWire(e)
		if err != nil {
			return nil, err
		}
		out.Entries = append(out.Entries, entry)
	}
	if m.Snapshot != nil {
		meta := m.Snapshot.Meta
		out.Snapshot = &pb.RaftSnapshot{Index: meta.Index, Term: meta.Term, Voters: meta.Members.Voters, Learners: meta.Members.Learners, Data: m.Snapshot.Data}
	}
	return out, nil
}

func entryToWire(e raft.Entry) (*pb.RaftEntry, error) {
	out := &pb.RaftEntry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
	if e.Kind != raft.EntryMember {
		return out, nil
	}
	var err error
	out.Data, err = codec.EncodeMemberChange(e.Change)
	return out, err
}

func messageFromWire(m *pb.RaftMessage) (raft.Message, error) {
	if m.GetType() > math.MaxUint8 {
		return raft.Message{}, fault.New(fault.Invalid, "unknown message type %d", m.GetType())
	}
	out := raft.Message{
		Type: raft.MessageType(m.GetType()), From: m.GetFrom(), To: m.GetTo(), Term: m.GetTerm(), Index: m.GetIndex(), LogTerm: m.GetLogTerm(),
		Commit: m.GetCommit(), Reject: m.GetReject(), RejectHint: m.GetRejectHint(), Token: m.GetToken(),
	}
	for _, e := range m.GetEntries() {
		entry, err := entryFromWire(e)
		if err != nil {
			return raft.Message{}, err
		}
		out.Entries = append(out.Entries, entry)
	}
	if s := m.GetSnapshot(); s != nil {
		meta := raft.SnapshotMeta{Index: s.GetIndex(), Term: s.GetTerm(), Members: raft.Membership{Voters: s.GetVoters(), Learners: s.GetLearners()}}
		out.Snapshot = &raft.Snapshot{Meta: meta, Data: s.GetData()}
	}
	return out, nil
}

func entryFromWire(e *pb.RaftEntry) (raft.Entry, error) {
	out := raft.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Data: e.GetData()}
	switch kind := e.GetKind(); kind {
	case uint32(raft.EntryCommand), uint32(raft.EntryEmpty):
		out.Kind = raft.EntryKind(kind)
	case uint32(raft.EntryMember):
		change, err := codec.DecodeMemberChange(e.GetData())
		if err != nil {
			return out, err
		}
		out.Kind, out.Data, out.Change = raft.EntryMember, nil, change
	default:
		return out, fault.New(fault.Invalid, "unknown entry kind %d", kind)
	}
	return out, nil
}

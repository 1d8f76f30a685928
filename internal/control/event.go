package control

import (
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/core/state"
)

// event is a request to the control loop. It is answered exactly once.
type event interface {
	// handle runs in the control loop.
	handle(l *loop)
	refuse(err error)
}

// proposal asks for a command to be appended.
type proposal struct {
	data  []byte
	reply chan outcome
}

func (p proposal) handle(l *loop) {
	index, term, err := l.node.Propose(p.data)
	if err != nil {
		p.refuse(err)
		return
	}
	l.pending[index] = pendingEntry{term: term, reply: p.reply}
}

func (p proposal) refuse(err error) { p.reply <- outcome{err: err} }

// memberProposal asks for a membership change.
type memberProposal struct {
	change raft.MemberChange
	reply  chan outcome
}

func (p memberProposal) handle(l *loop) {
	if p.change.Kind == raft.AddLearner && p.change.Address == "" {
		p.refuse(fault.InvalidField("address", "a base URL", "a new member needs an address"))
		return
	}
	index, term, err := l.node.ProposeMember(p.change)
	if err != nil {
		p.refuse(err)
		return
	}
	l.pending[index] = pendingEntry{term: term, reply: p.reply}
}

func (p memberProposal) refuse(err error) { p.reply <- outcome{err: err} }

// readRequest asks for a read index; the result has it as its version.
type readRequest struct{ reply chan outcome }

func (q readRequest) handle(l *loop) {
	l.readToken++
	if err := l.node.ReadIndex(l.readToken); err != nil {
		q.refuse(err)
		return
	}
	l.reads[l.readToken] = q.reply
}

func (q readRequest) refuse(err error) { q.reply <- outcome{err: err} }

// delivery is a batch of messages from one peer.
type delivery struct {
	from     uint64
	disk     string
	messages []raft.Message
	// images are the decoded contents of the snapshots among the messages.
	images map[*raft.Snapshot]*image
	// reply gets the refusal of the batch, or nil.
	reply chan error
}

// savedSnapshot tells the loop that a snapshot was written.
type savedSnapshot struct {
	meta raft.SnapshotMeta
	err  error
}

func readOutcome(res raft.ReadResult) outcome {
	return outcome{result: state.Result{Version: res.Index}, err: res.Err}
}

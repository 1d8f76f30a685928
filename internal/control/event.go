package control

import (
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/core/state"
)

// event is a request to the control loop. It is answered exactly once.
type event interface {
	// handle processes the event in the control loop.
	handle(l *loop)
	// refuse fails the event with err.
	refuse(err error)
}

// proposal requests that an encoded command be appended to the log.
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

// memberProposal requests a membership change.
type memberProposal struct {
	change raft.MemberChange
	reply  chan outcome
}

func (p memberProposal) handle(l *loop) {
	if p.change.Kind == raft.AddLearner && p.change.Address == "" {
		p.refuse(fault.InvalidField("address", "a base URL", "a new member requires an address"))
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

// readRequest requests a read index, which is returned as the version of the
// result.
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

// delivery is a batch of Raft messages from one peer.
type delivery struct {
	from     uint64
	disk     string
	messages []raft.Message
	// images are the decoded payloads of the snapshots in messages.
	images map[*raft.Snapshot]*image
	// reply receives nil or the error with which the batch is refused.
	reply chan error
}

// savedSnapshot is the result of writing a snapshot to disk.
type savedSnapshot struct {
	meta raft.SnapshotMeta
	// entryBytes is the size of the entries between the snapshot before and this one.
	entryBytes int
	err        error
}

func readOutcome(res raft.ReadResult) outcome {
	return outcome{result: state.Result{Version: res.Index}, err: res.Err}
}

package raft

// startPreVote asks the voters whether this replica could win an election, without
// raising the term. Without pre-vote, a replica that was partitioned for a long
// time would disrupt the others with a high term when it returns.
func (n *Node) startPreVote() {
	n.becomeFollower(n.term, 0)
	n.role = PreCandidate
	n.votes = map[uint64]bool{}
	n.requestVotes(MsgPreVote, n.term+1, 0)
}

// startElection starts an election in the next term. Token is nonzero if the
// leader asked for the election.
func (n *Node) startElection(token uint64) {
	n.becomeFollower(n.term+1, 0)
	n.role = Candidate
	n.vote = n.cfg.ID
	n.votes = map[uint64]bool{}
	n.requestVotes(MsgVote, n.term, token)
}

// requestVotes sends vote requests of type t to all voters and records this
// replica's own vote.
func (n *Node) requestVotes(t MessageType, term, token uint64) {
	for _, id := range n.Members().Voters {
		if id == n.cfg.ID {
			continue
		}
		n.send(Message{Type: t, To: id, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Token: token})
	}
	n.recordVote(n.cfg.ID, true)
}

// handleVoteRequest answers a MsgVote or MsgPreVote. Only MsgVote records a vote.
func (n *Node) handleVoteRequest(m Message) {
	resp := Message{Type: MsgVoteResp, To: m.From, Term: m.Term}
	canVote := n.vote == m.From || n.vote == 0 && n.leader == 0
	if m.Type == MsgPreVote {
		resp.Type = MsgPreVoteResp
		canVote = canVote || m.Term > n.term
	}
	if !canVote || !n.log.isUpToDate(m.Index, m.LogTerm) {
		resp.Reject, resp.Term = true, n.term
		n.send(resp)
		return
	}
	if m.Type == MsgVote {
		n.vote = m.From
		n.electionElapsed = 0
	}
	n.send(resp)
}

// handleVoteResp counts a response that belongs to the current pre-vote or
// election.
func (n *Node) handleVoteResp(m Message) {
	switch {
	case m.Type == MsgPreVoteResp && n.role == PreCandidate:
		if !m.Reject && m.Term != n.term+1 {
			return
		}
	case m.Type == MsgVoteResp && n.role == Candidate && m.Term == n.term:
	default:
		return
	}
	n.recordVote(m.From, !m.Reject)
}

// recordVote records the first vote of each voter and acts once a quorum has
// granted or rejected the request.
func (n *Node) recordVote(id uint64, granted bool) {
	if _, ok := n.votes[id]; !ok {
		n.votes[id] = granted
	}
	grants, rejections := 0, 0
	members := n.Members()
	for _, voter := range members.Voters {
		if vote, ok := n.votes[voter]; ok && vote {
			grants++
		} else if ok {
			rejections++
		}
	}
	switch {
	case grants >= members.Quorum() && n.role == PreCandidate:
		n.startElection(0)
	case grants >= members.Quorum():
		n.becomeLeader()
	case rejections >= members.Quorum():
		n.becomeFollower(n.term, 0)
	}
}

// becomeLeader switches to the leader role and appends an empty entry of the new
// term.
func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.cfg.ID
	n.votes = nil
	n.electionElapsed, n.heartbeatElapsed = 0, 0
	n.prevHeartbeatCommit, n.heartbeatCommit = n.log.commit, n.log.commit
	n.reads.reset()
	n.progress = map[uint64]*progress{}
	n.reconcileProgress()
	n.uncommittedBytes = 0
	for _, e := range n.log.entries[n.log.commit-n.log.compacted:] {
		n.uncommittedBytes += e.size()
	}
	n.appendProposal(Entry{Kind: EntryEmpty})
	n.broadcastHeartbeat()
}

// reconcileProgress adds and removes elements of progress so that it matches the
// membership in force.
func (n *Node) reconcileProgress() {
	members := n.Members()
	for _, id := range n.memberIDs() {
		if n.progress[id] != nil {
			continue
		}
		// A member counts as active at first, so that a new leader does not step
		// down before any member could respond.
		p := &progress{next: n.log.lastIndex() + 1, active: true}
		if id == n.cfg.ID {
			p.match = n.log.stable
		}
		n.progress[id] = p
	}
	for id := range n.progress {
		if !members.IsVoter(id) && !members.IsLearner(id) {
			delete(n.progress, id)
		}
	}
}

// TransferLeadership starts a leadership transfer to the given voter, or to the
// reachable voter with the most advanced log if to is 0. Proposals are rejected
// until the transfer succeeds or ElectionTicks have passed. It returns false if
// this replica is not the leader or there is no such voter.
func (n *Node) TransferLeadership(to uint64) bool {
	if n.role != Leader || n.halted {
		return false
	}
	if to == 0 {
		to = n.bestTransferee()
	}
	if to == n.cfg.ID || !n.Members().IsVoter(to) || n.progress[to] == nil {
		return false
	}
	n.transferee = to
	n.electionElapsed = 0
	n.sendTimeoutNowIfCaughtUp()
	return true
}

// IsTransferring reports whether a leadership transfer is in progress. The target is
// elected without waiting for an election timeout, so from then on a confirmation by
// a quorum does not prove that there is no other leader.
func (n *Node) IsTransferring() bool { return n.transferee != 0 }

// StepDown ends the leadership of this replica, unless a leadership transfer is in
// progress.
func (n *Node) StepDown() {
	if n.role == Leader && n.transferee == 0 {
		n.becomeFollower(n.term, 0)
	}
}

// sendTimeoutNowIfCaughtUp tells the transferee to start an election if it has
// synced the whole log.
func (n *Node) sendTimeoutNowIfCaughtUp() {
	if p := n.progress[n.transferee]; p != nil && p.match == n.log.lastIndex() {
		n.send(Message{Type: MsgTimeoutNow, To: n.transferee})
	}
}

// bestTransferee returns the reachable voter with the most advanced log, or 0.
func (n *Node) bestTransferee() uint64 {
	best := uint64(0)
	for _, id := range n.Members().Voters {
		p := n.progress[id]
		if id == n.cfg.ID || p == nil || !p.isReachable() {
			continue
		}
		if best == 0 || p.match > n.progress[best].match {
			best = id
		}
	}
	return best
}

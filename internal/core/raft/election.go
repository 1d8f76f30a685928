package raft

// preCampaign asks whether an election could be won, without raising the term.
// A replica that was cut off for long does not disturb the others with a high
// term when it returns.
func (n *Node) preCampaign() {
	n.becomeFollower(n.term, 0)
	n.role = PreCandidate
	n.votes = map[uint64]bool{}
	n.askVotes(MsgPreVote, n.term+1, 0)
}

// campaign starts an election. Token is not 0 if the leader asked for it.
func (n *Node) campaign(token uint64) {
	n.becomeFollower(n.term+1, 0)
	n.role = Candidate
	n.vote = n.cfg.ID
	n.votes = map[uint64]bool{}
	n.askVotes(MsgVote, n.term, token)
}

func (n *Node) askVotes(t MessageType, term, token uint64) {
	for _, id := range n.Members().Voters {
		if id == n.cfg.ID {
			continue
		}
		n.send(Message{Type: t, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Token: token})
	}
	n.recordVote(n.cfg.ID, true)
}

func (n *Node) answerVote(m Message) {
	resp := Message{Type: MsgVoteResp, To: m.From, Term: m.Term}
	free := n.vote == m.From || n.vote == 0 && n.leader == 0
	if m.Type == MsgPreVote {
		resp.Type = MsgPreVoteResp
		free = free || m.Term > n.term
	}
	if !free || !n.log.isUpToDate(m.Index, m.LogTerm) {
		resp.Reject, resp.Term = true, n.term
		n.send(resp)
		return
	}
	if m.Type == MsgVote {
		n.vote = m.From
		n.elapsed = 0
	}
	n.send(resp)
}

func (n *Node) countVote(m Message) {
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

// recordVote counts the first vote of each voter and acts once a quorum has
// decided.
func (n *Node) recordVote(id uint64, granted bool) {
	if _, ok := n.votes[id]; !ok {
		n.votes[id] = granted
	}
	yes, no := 0, 0
	members := n.Members()
	for _, voter := range members.Voters {
		if vote, ok := n.votes[voter]; ok && vote {
			yes++
		} else if ok {
			no++
		}
	}
	switch {
	case yes >= members.Quorum() && n.role == PreCandidate:
		n.campaign(0)
	case yes >= members.Quorum():
		n.becomeLeader()
	case no >= members.Quorum():
		n.becomeFollower(n.term, 0)
	}
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.cfg.ID
	n.votes = nil
	n.elapsed, n.heartbeatElapsed = 0, 0
	n.commitBefore, n.commitAtBeat = n.log.commit, n.log.commit
	n.reads.start()
	n.peers = map[uint64]*progress{}
	n.reconfigure()
	n.uncommitted = 0
	for _, e := range n.log.entries[n.log.commit-n.log.offset:] {
		n.uncommitted += e.size()
	}
	n.propose(Entry{Kind: EntryEmpty})
	n.broadcastHeartbeat()
}

// reconfigure brings the progress of a leader in line with the membership.
func (n *Node) reconfigure() {
	members := n.Members()
	for _, id := range n.peerIDs() {
		if n.peers[id] != nil {
			continue
		}
		// A member counts as heard at first, so that a new leader is not
		// deposed before anyone could answer.
		p := &progress{next: n.log.last() + 1, active: true}
		if id == n.cfg.ID {
			p.match = n.log.stable
		}
		n.peers[id] = p
	}
	for id := range n.peers {
		if !members.IsVoter(id) && !members.IsLearner(id) {
			delete(n.peers, id)
		}
	}
}

// TransferLeadership hands leadership to a voter, or to the most advanced one
// if to is 0. Proposals are refused until it succeeds or an election timeout
// has passed. It returns false if there is nobody to hand it to.
func (n *Node) TransferLeadership(to uint64) bool {
	if n.role != Leader || n.halted {
		return false
	}
	if to == 0 {
		to = n.bestSuccessor()
	}
	if to == n.cfg.ID || !n.Members().IsVoter(to) || n.peers[to] == nil {
		return false
	}
	n.transferee = to
	n.elapsed = 0
	n.finishTransfer()
	return true
}

// StepDown ends the leadership of this replica, unless it is being handed over.
func (n *Node) StepDown() {
	if n.role == Leader && n.transferee == 0 {
		n.becomeFollower(n.term, 0)
	}
}

// finishTransfer starts the successor's election once it has the whole log.
func (n *Node) finishTransfer() {
	if p := n.peers[n.transferee]; p != nil && p.match == n.log.last() {
		n.send(Message{Type: MsgTimeoutNow, To: n.transferee})
	}
}

func (n *Node) bestSuccessor() uint64 {
	best := uint64(0)
	for _, id := range n.Members().Voters {
		p := n.peers[id]
		if id == n.cfg.ID || p == nil || !p.isReachable() {
			continue
		}
		if best == 0 || p.match > n.peers[best].match {
			best = id
		}
	}
	return best
}

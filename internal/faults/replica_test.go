package faults

import (
	"fmt"
	"math/rand/v2"

	"laburnumdock/internal/core/raft"
)

// replicaScene has a replica join by a snapshot, stop, miss changes and return,
// while clients go on with changes.
type replicaScene struct {
	*cluster
	count int
}

func replicaFlow() flow {
	return flow{
		name:  "join, snapshot and restart of a replica",
		steps: []string{"join asked", "snapshot sent", "snapshot installed", "promoted", "stopped", "restarted"},
		start: func(rng *rand.Rand, reach func(string)) scene { return &replicaScene{cluster: newCluster(rng, reach)} },
		skip: func(step string, f injection) string {
			if (step == "stopped" || step == "restarted") && (f == cancellation || f == twoOperators || f == resend) {
				return "no operator asks for a stop or a restart of a process; the request to join is over"
			}
			return ""
		},
	}
}

func (s *replicaScene) load(n int) {
	for range n {
		s.count++
		s.newChange(fmt.Sprintf("load-%d", s.count), fmt.Sprintf("load-%d", s.count%7), 0)
	}
}

func (s *replicaScene) play() []string {
	s.load(10)
	s.until(convergeCap, func() bool { return s.isAnswered(s.changes...) })
	s.join(0)
	if !s.until(convergeCap, func() bool {
		if s.round%20 == 0 {
			s.load(1)
		}
		return s.isLevel()
	}) {
		s.fail("the replica does not join")
	}
	away := s.replica(s.joining)
	away.isAway = true
	s.mark("stopped")
	s.crash(away, false)
	s.load(20)
	s.until(convergeCap, func() bool { return s.repairAt == 0 && s.isAnswered(s.changes...) })
	away.isAway = false
	if !away.isGone && away.node == nil {
		s.open(away)
	}
	s.mark("restarted")
	return s.finish()
}

func (s *replicaScene) inject(f injection) {
	r := s.replica(s.joining)
	if lead := s.leader(); lead != nil && s.rng.IntN(2) == 0 {
		r = lead
	}
	switch f {
	case twoOperators, resend:
		s.askAgain()
	case cancellation:
		s.giveUp()
	default:
		s.injectReplica(f, r)
		return
	}
	s.repairAt = max(s.repairAt, s.round+repairRounds)
}

// askAgain asks for the join a second time.
func (s *replicaScene) askAgain() {
	lead := s.leader()
	if lead == nil {
		return
	}
	m := lead.node.Members()
	_, _, err := lead.node.ProposeMember(raft.MemberChange{Kind: raft.AddLearner, ID: s.joining})
	if err == nil && (m.IsLearner(s.joining) || m.IsVoter(s.joining)) {
		s.fail("replica %d is added twice", s.joining)
	}
}

// giveUp has an operator remove the joining replica, whose process runs on, and
// let another one join.
func (s *replicaScene) giveUp() {
	old := s.replica(s.joining)
	old.isOut = true
	s.join(old.id)
}

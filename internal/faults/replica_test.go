package faults

import (
	"fmt"
	"math/rand/v2"

	"laburnumdock/internal/core/raft"
)

// replicaSimulation has a replica join by a snapshot, stop, miss changes and
// restart, while clients submit changes.
type replicaSimulation struct {
	*cluster
	changeCount int
}

func replicaProcedure() procedure {
	return procedure{
		name:  "join, snapshot and restart of a replica",
		steps: []string{"join asked", "snapshot sent", "snapshot installed", "promoted", "stopped", "restarted"},
		newSimulation: func(rng *rand.Rand, onEvent func(string)) simulation {
			return &replicaSimulation{cluster: newCluster(rng, onEvent)}
		},
		skipReason: func(step string, f faultKind) string {
			if (step == "stopped" || step == "restarted") && (f == cancellation || f == twoOperators || f == resend) {
				return "no operator asks for a stop or a restart of a process; the request to join is over"
			}
			return ""
		},
	}
}

func (s *replicaSimulation) submitChanges(n int) {
	for range n {
		s.changeCount++
		s.newChange(fmt.Sprintf("load-%d", s.changeCount), fmt.Sprintf("load-%d", s.changeCount%7), 0)
	}
}

func (s *replicaSimulation) run() []string {
	s.submitChanges(10)
	s.runUntil(maxConvergeRounds, func() bool { return s.isAnswered(s.changes...) })
	s.addReplica(0)
	if !s.runUntil(maxConvergeRounds, func() bool {
		if s.round%20 == 0 {
			s.submitChanges(1)
		}
		return s.isConverged()
	}) {
		s.fail("the replica did not join")
	}
	joined := s.replica(s.joiningID)
	joined.isHeldDown = true
	s.markStep("stopped")
	s.crash(joined, false)
	s.submitChanges(20)
	s.runUntil(maxConvergeRounds, func() bool { return s.repairAt == 0 && s.isAnswered(s.changes...) })
	joined.isHeldDown = false
	if !joined.hasLostDisk && joined.node == nil {
		s.startReplica(joined)
	}
	s.markStep("restarted")
	return s.finish()
}

func (s *replicaSimulation) inject(f faultKind) {
	r := s.replica(s.joiningID)
	if lead := s.leader(); lead != nil && s.rng.IntN(2) == 0 {
		r = lead
	}
	switch f {
	case twoOperators, resend:
		s.repeatJoin()
	case cancellation:
		s.replaceJoining()
	default:
		s.injectReplicaFault(f, r)
		return
	}
	s.repairAt = max(s.repairAt, s.round+repairRounds)
}

// repeatJoin requests the join a second time. The leader must reject it if the
// replica is already a member.
func (s *replicaSimulation) repeatJoin() {
	lead := s.leader()
	if lead == nil {
		return
	}
	m := lead.node.Members()
	_, _, err := lead.node.ProposeMember(raft.MemberChange{Kind: raft.AddLearner, ID: s.joiningID})
	if err == nil && (m.IsLearner(s.joiningID) || m.IsVoter(s.joiningID)) {
		s.fail("replica %d was added twice", s.joiningID)
	}
}

// replaceJoining has an operator remove the joining replica, whose process keeps
// running, and add another one.
func (s *replicaSimulation) replaceJoining() {
	old := s.replica(s.joiningID)
	old.isRemoved = true
	s.addReplica(old.id)
}

package faults

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/wal"
)

// changeSimulation runs one tracked change through a cluster.
type changeSimulation struct {
	*cluster
	// base is the version on which the tracked change and its rivals are based.
	base   uint64
	rivals int
}

func changeProcedure() procedure {
	return procedure{
		name:  "change of a configuration",
		steps: []string{"received", "appended", "synced", "committed", "applied", "answered"},
		newSimulation: func(rng *rand.Rand, onEvent func(string)) simulation {
			return &changeSimulation{cluster: newCluster(rng, onEvent)}
		},
		skipReason: func(step string, f faultKind) string {
			switch {
			case f == falseSize:
				return "a change declares no size of its own; a record whose stored length is wrong is the torn write"
			case f == cancellation && step == "answered":
				return "the client has its answer, there is nothing to cancel"
			}
			return ""
		},
	}
}

func (s *changeSimulation) run() []string {
	first := s.newChange("first", "shared", 0)
	if !s.runUntil(maxConvergeRounds, func() bool { return s.isAnswered(first) }) || first.refused {
		s.fail("the first change did not succeed")
		return s.violations
	}
	s.base = first.version
	s.newChange("tracked", "shared", s.base).isTracked = true
	s.runUntil(maxConvergeRounds, func() bool { return s.reachedSteps["answered"] && s.repairAt == 0 })
	return s.finish()
}

func (s *changeSimulation) trackedChange() *change { return s.changes[1] }

func (s *changeSimulation) inject(f faultKind) {
	switch f {
	case cancellation:
		s.trackedChange().isCancelled = true
	case twoOperators:
		s.rivals++
		rival := s.newChange([]string{"rival", "rival-again", "rival-third"}[s.rivals-1], "shared", s.base)
		s.submit(rival)
	case resend:
		s.trackedChange().answersToLose++
	default:
		s.injectReplicaFault(f, s.replica(s.trackedLeader))
		return
	}
	s.repairAt = max(s.repairAt, s.round+repairRounds)
}

// injectReplicaFault injects a fault into a replica or into its network links.
func (c *cluster) injectReplicaFault(f faultKind, r *replica) {
	if r == nil || r.hasLostDisk {
		r = c.leader()
	}
	if r == nil {
		r = c.replicas[0]
	}
	c.repairAt = max(c.repairAt, c.round+repairRounds)
	switch f {
	case crash, zoneLost:
		c.crash(r, false)
	case rackLost:
		// A rack holds at most one replica, here a follower.
		c.crash(c.follower(r), false)
	case restart:
		if r.node != nil {
			c.crash(r, false)
			c.startReplica(r)
		}
	case secondFault:
		c.crash(r, false)
		c.onRepair = append(c.onRepair, func() {
			if next := c.leader(); next != nil {
				c.crash(next, false)
				c.repairAt = c.round + repairRounds
			}
		})
	case diskFull:
		r.fs.isFull = true
	case syncFailure:
		r.fs.failsSync = true
	case tornWrite:
		r.fs.tearsWrite = true
		c.tearNextWrite(r)
	case diskLost:
		c.loseDisk(r)
	case clockForward:
		c.jumpClock(r, clockJump)
	case clockBack:
		c.jumpClock(r, -clockJump)
	default:
		c.injectNetworkFault(f, r)
	}
}

// tearNextWrite crashes a replica in the middle of its next write.
func (c *cluster) tearNextWrite(r *replica) {
	if r.node == nil {
		return
	}
	if err := r.log.Append(r.hardState, nil); err == nil {
		c.fail("replica %d did not detect a torn write", r.id)
	}
	c.crash(r, true)
}

func (c *cluster) injectNetworkFault(f faultKind, r *replica) {
	switch f {
	case partitionIn, partitionOut, partitionBoth:
		for _, other := range c.replicas {
			if other != r && f != partitionOut {
				c.cutLinks[[2]uint64{other.id, r.id}] = true
			}
			if other != r && f != partitionIn {
				c.cutLinks[[2]uint64{r.id, other.id}] = true
			}
		}
	case silentConnection:
		c.cutLinks[[2]uint64{r.id, c.follower(r).id}] = true
	case messageLost:
		c.messagesToLose += 5
	case messageRepeated:
		c.duplicateMessages = true
	case messageDelayed:
		c.delayMessages = true
	case messagesReordered:
		c.reorderMessages = true
	case slowPeer:
		c.slowReplica = c.follower(r).id
	case falseSize:
		c.truncateSnapshots = true
	default:
		panic("fault not implemented: " + f)
	}
}

// follower returns a replica other than r, or r if there is none. It skips
// replicas that have lost their disk or are joining.
func (c *cluster) follower(r *replica) *replica {
	for _, o := range c.replicas {
		if o != r && !o.hasLostDisk && o.id != c.joiningID {
			return o
		}
	}
	return r
}

// jumpClock changes the wall clock of a replica. Its process continues on
// monotonic time and reads the wrong clock when it is restarted at the repair.
func (c *cluster) jumpClock(r *replica, by time.Duration) {
	r.skew += by
	c.onRepair = append(c.onRepair, func() {
		if r.node != nil {
			c.crash(r, false)
			c.startReplica(r)
		}
	})
}

// loseDisk removes a replica permanently. Its data directory is empty, so it must
// not start under its old ID. A new replica joins after the repair.
func (c *cluster) loseDisk(r *replica) {
	if c.joiningID != 0 && r.id != c.joiningID && !c.hasJoined() {
		// Losing a second disk before the new replica has joined would leave one
		// of three voters, from which the cluster cannot recover.
		c.loseDiskAfterJoin = true
		return
	}
	c.crash(r, false)
	r.hasLostDisk, r.fs = true, newMemFS()
	if _, _, err := wal.Open(wal.Options{FS: r.fs, Cluster: clusterName, Replica: r.id}); err == nil {
		c.fail("replica %d started on an empty disk", r.id)
	}
	c.onRepair = append(c.onRepair, func() { c.addReplica(r.id) })
}

func (c *cluster) hasJoined() bool {
	lead := c.leader()
	return lead != nil && lead.node.Members().IsVoter(c.joiningID)
}

// Guards against a simulation that hides faults: with disks that lose synced
// data, some runs must lose acknowledged changes or fail to start.
func TestMatrixDetectsLostSyncedData(t *testing.T) {
	t.Parallel()
	failedRuns := 0
	for seed := range uint64(20) {
		var s *changeSimulation
		s = &changeSimulation{cluster: newCluster(rand.New(rand.NewPCG(seed, 6)), func(event string) {
			if event == "answered" {
				for _, r := range s.replicas {
					s.injectReplicaFault(crash, r)
				}
			}
		})}
		s.losesSyncedData = true
		if len(s.run()) > 0 {
			failedRuns++
		}
	}
	require.Positive(t, failedRuns)
}

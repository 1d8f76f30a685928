package faults

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/wal"
)

// changeScene follows one change through a cluster.
type changeScene struct {
	*cluster
	base   uint64
	rivals int
}

func changeFlow() flow {
	return flow{
		name:  "change of a configuration",
		steps: []string{"received", "appended", "synced", "committed", "applied", "answered"},
		start: func(rng *rand.Rand, reach func(string)) scene { return &changeScene{cluster: newCluster(rng, reach)} },
		skip: func(step string, f injection) string {
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

func (s *changeScene) play() []string {
	first := s.newChange("first", "shared", 0)
	if !s.until(convergeCap, func() bool { return s.isAnswered(first) }) || first.refused {
		s.fail("the first change has no success")
		return s.found
	}
	s.base = first.version
	s.newChange("tracked", "shared", s.base).tracked = true
	s.until(convergeCap, func() bool { return s.seen["answered"] && s.repairAt == 0 })
	return s.finish()
}

func (s *changeScene) tracked() *change { return s.changes[1] }

func (s *changeScene) inject(f injection) {
	switch f {
	case cancellation:
		s.tracked().gone = true
	case twoOperators:
		s.rivals++
		rival := s.newChange([]string{"rival", "rival-again", "rival-third"}[s.rivals-1], "shared", s.base)
		s.submit(rival)
	case resend:
		s.tracked().loseAnswers++
	default:
		s.injectReplica(f, s.replica(s.target))
		return
	}
	s.repairAt = max(s.repairAt, s.round+repairRounds)
}

// injectReplica injects a fault of a replica or of the network round it.
func (c *cluster) injectReplica(f injection, r *replica) {
	if r == nil || r.isGone {
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
		// A rack holds at most one replica; here it is that of a follower.
		c.crash(c.other(r), false)
	case restart:
		if r.node != nil {
			c.crash(r, false)
			c.open(r)
		}
	case failAgain:
		c.crash(r, false)
		c.onRepair = append(c.onRepair, func() {
			if next := c.leader(); next != nil {
				c.crash(next, false)
				c.repairAt = c.round + repairRounds
			}
		})
	case diskFull:
		r.fs.full = true
	case syncFails:
		r.fs.failSync = true
	case tornWrite:
		r.fs.tear = true
		c.tearNow(r)
	case diskLost:
		c.loseDisk(r)
	case clockForward:
		c.jump(r, clockJump)
	case clockBack:
		c.jump(r, -clockJump)
	default:
		c.injectNetwork(f, r)
	}
}

// tearNow ends a process in the middle of its next write.
func (c *cluster) tearNow(r *replica) {
	if r.node == nil {
		return
	}
	if err := r.log.Append(r.hs, nil); err == nil {
		c.fail("replica %d does not notice a torn write", r.id)
	}
	c.crash(r, true)
}

func (c *cluster) injectNetwork(f injection, r *replica) {
	switch f {
	case partitionIn, partitionOut, partitionBoth:
		for _, other := range c.replicas {
			if other != r && f != partitionOut {
				c.cut[[2]uint64{other.id, r.id}] = true
			}
			if other != r && f != partitionIn {
				c.cut[[2]uint64{r.id, other.id}] = true
			}
		}
	case silentConn:
		c.cut[[2]uint64{r.id, c.other(r).id}] = true
	case messageLost:
		c.lose += 5
	case messageTwice:
		c.twice = true
	case messageLate:
		c.late = true
	case messageOrder:
		c.shuffle = true
	case slowPeer:
		c.slow = c.other(r).id
	case falseSize:
		c.truncate = true
	default:
		panic("no injection for " + f)
	}
}

// other returns a follower.
func (c *cluster) other(r *replica) *replica {
	for _, o := range c.replicas {
		if o != r && !o.isGone && o.id != c.joining {
			return o
		}
	}
	return r
}

// jump sets the wall clock of a replica. Its process goes on by monotonic time
// and reads the wrong clock when it is started again at the repair.
func (c *cluster) jump(r *replica, by time.Duration) {
	r.skew += by
	c.onRepair = append(c.onRepair, func() {
		if r.node != nil {
			c.crash(r, false)
			c.open(r)
		}
	})
}

// loseDisk ends a replica for good. Its folder is empty, so it must not start
// under its old ID; another one joins after the repair.
func (c *cluster) loseDisk(r *replica) {
	if c.joining != 0 && r.id != c.joining && !c.isJoined() {
		// A second lost disk before the other replica has joined would leave
		// one of three voters, from which nobody recovers.
		c.loseNext = true
		return
	}
	c.crash(r, false)
	r.isGone, r.fs = true, newMemFS()
	if _, _, err := wal.Open(wal.Options{FS: r.fs, Cluster: clusterName, Replica: r.id}); err == nil {
		c.fail("replica %d starts on an empty disk", r.id)
	}
	c.onRepair = append(c.onRepair, func() { c.join(r.id) })
}

func (c *cluster) isJoined() bool {
	lead := c.leader()
	return lead != nil && lead.node.Members().IsVoter(c.joining)
}

// Guards against a driver that hides faults: with disks that lose what was
// synced, some runs must lose acknowledged changes or fail to start.
func TestMatrixFindsDisksThatForget(t *testing.T) {
	t.Parallel()
	found := 0
	for seed := range uint64(20) {
		var s *changeScene
		s = &changeScene{cluster: newCluster(rand.New(rand.NewPCG(seed, 6)), func(event string) {
			if event == "answered" {
				for _, r := range s.replicas {
					s.injectReplica(crash, r)
				}
			}
		})}
		s.forgets = true
		if len(s.play()) > 0 {
			found++
		}
	}
	require.Positive(t, found)
}

package quorum

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"laburnumdock/internal/core/raft"
)

// The times of a simulation, in ticks of 50 ms as in a running cell.
const (
	tick             = 50 * time.Millisecond
	electionTicks    = 10
	reconcileTicks   = 3
	joinTicks        = 6
	memberCheckTicks = 40
	joinRequestTicks = 60
	// catchUpTicks is the time after its return or start for which a host still
	// counts as lost: 4 s, the smallest value of the deployments.
	catchUpTicks = 80
	// recoveryTicks bounds the election of a leader after the last fault: 12 s, the
	// smallest value of the deployments.
	recoveryTicks = 240
	// settleTicks is longer than every time that the rule waits for.
	settleTicks = 500
	never       = 1 << 40
)

// randomSource makes the random choices of a history.
type randomSource interface{ IntN(n int) int }

// machine is a place for one host of the cell. The host at it can be replaced by
// another one with another address and an empty disk.
type machine struct {
	address string
	id      uint64
	// node is nil while the host is down.
	node    *raft.Node
	disk    disk
	applied uint64
	// lostUntil is the tick up to which the host counts as lost, never while it is
	// down or cut off. returnAt is the tick at which it is back.
	lostUntil, returnAt int
	// absentChecks counts the checks without membership, as in package cell.
	absentChecks int
}

// disk is what survives a crash.
type disk struct {
	hs      raft.HardState
	snap    raft.SnapshotMeta
	entries []raft.Entry
}

type joinRequest struct {
	joiner Joiner
	at     int
}

// simulation is a cell of real Raft nodes whose leader follows decide. Faults
// never exceed what the cell must bear: two hosts lost at once.
type simulation struct {
	random   randomSource
	decide   func(View) Decision
	machines []*machine
	now      int
	nextID   uint64
	// addresses holds the address of each replica that ever was.
	addresses map[uint64]string
	// cut holds the severed links as sender and receiver.
	cut map[[2]*machine]bool
	// requests are the latest requests to join that each replica has received as
	// the leader, by address.
	requests map[*raft.Node]map[string]joinRequest
	network  []raft.Message
	// committed holds the command at each index that a replica has applied.
	committed map[uint64]string
	// acknowledged is the last index that its leader has applied.
	acknowledged uint64
	proposals    int
	log          []string
	violation    string
}

func newSimulation(random randomSource, decide func(View) Decision, hosts int) *simulation {
	sim := &simulation{
		random: random, decide: decide, nextID: 1, addresses: map[uint64]string{}, cut: map[[2]*machine]bool{}, committed: map[uint64]string{},
		requests: map[*raft.Node]map[string]joinRequest{},
	}
	seeds := []uint64{1, 2, 3}
	for range hosts {
		m := &machine{}
		sim.machines = append(sim.machines, m)
		sim.install(m)
		if m.id <= seeds[len(seeds)-1] {
			m.disk.snap = raft.BootstrapSnapshot(seeds, nil)
		}
		sim.start(m)
	}
	return sim
}

// install puts a host with a new ID, a new address and an empty disk at m.
func (sim *simulation) install(m *machine) {
	m.address = fmt.Sprint("host-", sim.nextID)
	sim.wipe(m)
}

// wipe empties the disk of m, which gets a new ID.
func (sim *simulation) wipe(m *machine) {
	m.id, m.disk, m.applied, m.absentChecks = sim.nextID, disk{}, 0, 0
	sim.addresses[m.id] = m.address
	sim.nextID++
}

func (sim *simulation) start(m *machine) {
	node, err := raft.New(raft.Config{
		ID: m.id, ElectionTicks: electionTicks, HeartbeatTicks: 2, MaxEntriesPerMessage: 64, MaxBytesPerMessage: 1 << 16,
		MaxInflight: 8, MaxUncommitted: 1 << 16, MaxReads: 8, Seed: uint64(sim.random.IntN(1 << 20)),
	}, m.disk.hs, m.disk.snap, slices.Clone(m.disk.entries))
	if err != nil {
		sim.fail("restart of %d: %v", m.id, err)
		return
	}
	m.node, m.applied = node, m.disk.snap.Index
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) note(format string, args ...any) {
	sim.log = append(sim.log, fmt.Sprintf("%6.2fs ", (time.Duration(sim.now)*tick).Seconds())+fmt.Sprintf(format, args...))
}

// run advances the time.
func (sim *simulation) run(ticks int) {
	for range ticks {
		sim.now++
		for _, m := range sim.machines {
			if sim.now == m.returnAt {
				sim.bringBack(m)
			}
			if m.node != nil {
				m.node.Tick()
				sim.keepMembership(m)
			}
		}
		if leader := sim.leader(); leader != nil && sim.now%5 == 0 {
			sim.proposals++
			_, _, _ = leader.node.Propose(fmt.Append(nil, sim.proposals))
		}
		sim.exchange()
		if sim.now%reconcileTicks == 0 {
			for _, m := range sim.machines {
				sim.reconcile(m)
			}
		}
	}
}

// exchange processes the work of all nodes until no message is in transit.
func (sim *simulation) exchange() {
	for range 50 {
		for _, m := range sim.machines {
			sim.process(m)
		}
		messages := sim.network
		sim.network = nil
		for _, msg := range messages {
			from, to := sim.byID(msg.From), sim.byID(msg.To)
			if to != nil && to.node != nil && from != nil && !sim.cut[[2]*machine{from, to}] {
				// A message of an older membership may be refused.
				_ = to.node.Step(msg)
			}
		}
		if len(messages) == 0 {
			return
		}
	}
}

func (sim *simulation) process(m *machine) {
	for m.node != nil {
		rd, ok := m.node.Ready()
		if !ok {
			return
		}
		m.persist(rd)
		sim.network = append(sim.network, rd.Messages...)
		for _, e := range rd.Committed {
			if seen, found := sim.committed[e.Index]; found && seen != string(e.Data) {
				sim.fail("entry %d differs on replica %d", e.Index, m.id)
			}
			sim.committed[e.Index] = string(e.Data)
			m.applied = e.Index
			if m.node.Role() == raft.Leader {
				sim.acknowledged = max(sim.acknowledged, e.Index)
			}
		}
		m.node.Advance(rd)
	}
}

func (m *machine) persist(rd raft.Ready) {
	if rd.HardState != nil {
		m.disk.hs = *rd.HardState
	}
	if rd.Snapshot != nil {
		m.disk.snap, m.disk.entries = rd.Snapshot.Meta, nil
	}
	if len(rd.Entries) > 0 {
		first := rd.Entries[0].Index
		m.disk.entries = slices.DeleteFunc(m.disk.entries, func(e raft.Entry) bool { return e.Index >= first })
		m.disk.entries = append(m.disk.entries, rd.Entries...)
	}
}

// keepMembership asks the leader to take the replica in, or notices that the cell
// has removed it, as package cell does.
func (sim *simulation) keepMembership(m *machine) {
	leader := sim.leader()
	if leader == nil || leader == m || sim.cut[[2]*machine{m, leader}] || sim.cut[[2]*machine{leader, m}] {
		return
	}
	if !m.node.Members().IsVoter(m.id) {
		if sim.now%joinTicks == 0 {
			requests := sim.requests[leader.node]
			if requests == nil {
				requests = map[string]joinRequest{}
				sim.requests[leader.node] = requests
			}
			requests[m.address] = joinRequest{Joiner{m.id, m.address}, sim.now}
		}
		return
	}
	if sim.now%memberCheckTicks != 0 && (m.node.Leader() != 0 || sim.now%joinTicks != 0) {
		return
	}
	if members := leader.node.Members(); members.IsVoter(m.id) || members.IsLearner(m.id) {
		m.absentChecks = 0
		return
	}
	if m.absentChecks++; m.absentChecks == 2 {
		sim.note("replica %d was removed and joins again", m.id)
		sim.wipe(m)
		sim.start(m)
	}
}

// reconcile makes the next membership change if m leads.
func (sim *simulation) reconcile(m *machine) {
	if m.node == nil || m.node.Role() != raft.Leader {
		return
	}
	d := sim.decide(sim.view(m))
	if !d.Due {
		return
	}
	if _, _, err := m.node.ProposeMember(d.Change); err == nil {
		sim.note("leader %d: change %d of replica %d", m.id, d.Change.Kind, d.Change.ID)
	}
}

func (sim *simulation) view(m *machine) View {
	status := m.node.Status()
	v := View{Self: m.id, Members: status.Members, MemberStatuses: status.MemberStatuses, Addresses: sim.addresses, SilentFor: SilentMembers(status.MemberStatuses, tick, electionTicks), MinVoters: MinVoters(2)}
	for address, r := range sim.requests[m.node] {
		if sim.now-r.at > joinRequestTicks {
			delete(sim.requests[m.node], address)
			continue
		}
		v.Joiners = append(v.Joiners, r.joiner)
	}
	slices.SortFunc(v.Joiners, func(a, b Joiner) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// bringBack ends the fault at m. The host still counts as lost for a while.
func (sim *simulation) bringBack(m *machine) {
	for link := range sim.cut {
		if link[0] == m || link[1] == m {
			delete(sim.cut, link)
		}
	}
	if m.node == nil {
		sim.start(m)
	}
	m.lostUntil = sim.now + catchUpTicks
}

func (sim *simulation) byID(id uint64) *machine {
	for _, m := range sim.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

// leader returns the leader of the highest term, or nil.
func (sim *simulation) leader() *machine {
	var leader *machine
	for _, m := range sim.machines {
		if m.node != nil && m.node.Role() == raft.Leader && (leader == nil || m.node.Term() > leader.node.Term()) {
			leader = m
		}
	}
	return leader
}

// lostHosts returns the number of hosts that count as lost.
func (sim *simulation) lostHosts() int {
	count := 0
	for _, m := range sim.machines {
		if sim.now < m.lostUntil {
			count++
		}
	}
	return count
}

// loseHost starts a fault at m that ends after the given number of ticks.
func (sim *simulation) loseHost(m *machine, ticks int) {
	m.lostUntil, m.returnAt = never, sim.now+max(ticks, 1)
}

// step makes a random fault, if one more host may be lost, and lets time pass.
func (sim *simulation) step() {
	const maxMachines = 7
	m := sim.machines[sim.random.IntN(len(sim.machines))]
	if leader := sim.leader(); leader != nil && sim.random.IntN(3) == 0 {
		m = leader
	}
	duration := sim.random.IntN(200)
	if sim.lostHosts() < 2 && sim.now >= m.lostUntil {
		switch sim.random.IntN(7) {
		case 0, 1:
			sim.note("host of replica %d leaves for good, another comes after %d ticks", m.id, duration/8)
			m.node = nil
			sim.install(m)
			sim.loseHost(m, duration/8)
		case 2:
			sim.note("replica %d is down for %d ticks", m.id, duration)
			m.node = nil
			sim.loseHost(m, duration)
		case 3:
			sim.note("replica %d loses its disk, back after %d ticks", m.id, duration/8)
			m.node = nil
			sim.wipe(m)
			sim.loseHost(m, duration/8)
		case 4:
			sim.note("replica %d is cut off for %d ticks", m.id, duration)
			sim.cutOff(m)
			sim.loseHost(m, duration)
		case 5:
			if len(sim.machines) < maxMachines {
				added := &machine{}
				sim.machines = append(sim.machines, added)
				sim.install(added)
				sim.note("a host is added, replica %d", added.id)
				sim.loseHost(added, 1)
			}
		default:
			if sim.lostHosts() == 0 {
				sim.note("all replicas are killed")
				sim.restartAll(20)
			}
		}
	}
	sim.run(sim.random.IntN(100))
}

// cutOff severs the links of m: all to it, all from it, or both.
func (sim *simulation) cutOff(m *machine) {
	ways := sim.random.IntN(3)
	for _, other := range sim.machines {
		if other == m {
			continue
		}
		if ways != 0 {
			sim.cut[[2]*machine{m, other}] = true
		}
		if ways != 1 {
			sim.cut[[2]*machine{other, m}] = true
		}
	}
}

// restartAll takes all hosts down for the given number of ticks.
func (sim *simulation) restartAll(ticks int) {
	for _, m := range sim.machines {
		m.node = nil
		sim.loseHost(m, ticks)
	}
}

// loseTwoDisks restarts all hosts, two of them with empty disks, and checks that
// the cell recovers with everything that was acknowledged.
func (sim *simulation) loseTwoDisks() {
	first := sim.random.IntN(len(sim.machines))
	second := (first + 1 + sim.random.IntN(len(sim.machines)-1)) % len(sim.machines)
	sim.note("all hosts restart, replicas %d and %d without their disks", sim.machines[first].id, sim.machines[second].id)
	sim.restartAll(20)
	sim.wipe(sim.machines[first])
	sim.wipe(sim.machines[second])
	acknowledged := sim.acknowledged
	sim.run(recoveryTicks)
	leader := sim.leader()
	if leader == nil || leader.node.Status().Commit <= acknowledged {
		sim.fail("no leader commits after the loss of two disks")
	}
}

// verify checks that the cell bears the loss of two disks as soon as no host counts
// as lost, and that its voters are the hosts that exist once it has settled.
func (sim *simulation) verify() {
	for sim.lostHosts() > 0 {
		sim.run(1)
	}
	sim.run(sim.random.IntN(catchUpTicks))
	sim.loseTwoDisks()
	sim.run(settleTicks)
	leader := sim.leader()
	if leader == nil {
		sim.fail("no leader after the cell has settled")
		return
	}
	var want []uint64
	for _, m := range sim.machines {
		want = append(want, m.id)
	}
	slices.Sort(want)
	if got := leader.node.Members(); !slices.Equal(got.Voters, want) || len(got.Learners) > 0 {
		sim.fail("the voters are %v and the learners %v, the replicas are %v", got.Voters, got.Learners, want)
	}
	sim.loseTwoDisks()
}

package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/wal"
)

const (
	clusterName  = "matrix"
	tickTime     = 50 * time.Millisecond
	repairRounds = 60
	convergeCap  = 1500
	clientWait   = 12
	lateRounds   = 15
	slowRounds   = 4
)

var epoch = time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)

// replica is one control replica: the node, its stored files and its state.
// The node is nil while the process is down.
type replica struct {
	id       uint64
	fs       *memFS
	log      *wal.Log
	node     *raft.Node
	st       *state.State
	clock    state.Clock
	began    time.Time
	skew     time.Duration
	hs       raft.HardState
	saved    uint64
	run      int
	isFailed bool
	isGone   bool
	// isAway tells that the flow itself keeps the process down.
	isAway bool
	// isOut tells that an operator removed the replica while its process runs.
	isOut   bool
	pending map[uint64]proposed
	reads   map[uint64]uint64
	journal map[uint64]string
}

type proposed struct {
	term   uint64
	change *change
}

// change is one change of a client, which sends it again under the same ID
// until it is answered.
type change struct {
	ackedChange
	waiting  bool
	lastSent int
	gone     bool
	tracked  bool
	// loseAnswers is the number of answers that get lost on the way.
	loseAnswers int
}

type packet struct {
	msg raft.Message
	due int
}

// cluster is three control replicas, one per zone, with their network and
// their clients.
type cluster struct {
	rng      *rand.Rand
	reach    func(string)
	seen     map[string]bool
	replicas []*replica
	net      []packet
	cut      map[[2]uint64]bool
	lose     int
	twice    bool
	late     bool
	shuffle  bool
	truncate bool
	slow     uint64
	round    int
	changes  []*change
	lookedAt []readSeen
	nextRead uint64
	target   uint64
	repairAt int
	onRepair []func()
	found    []string
	// joining is the replica that joins in place of a lost one, or as the flow
	// asks; removing lists the lost ones.
	joining  uint64
	removing []uint64
	// loseNext tells that another disk is lost once the join is over.
	loseNext bool
	// forgets is a broken variant: a crash loses what was synced.
	forgets bool
}

func newCluster(rng *rand.Rand, reach func(string)) *cluster {
	c := &cluster{rng: rng, reach: reach, seen: map[string]bool{}, cut: map[[2]uint64]bool{}}
	voters := []uint64{1, 2, 3}
	data, err := image(state.New())
	must(err)
	for _, id := range voters {
		r := &replica{id: id, fs: newMemFS(), journal: map[uint64]string{}}
		must(wal.Init(r.fs, clusterName, id, &raft.Snapshot{Meta: raft.BootstrapSnapshot(voters, nil), Data: data}))
		c.replicas = append(c.replicas, r)
		c.open(r)
	}
	return c
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (c *cluster) fail(format string, args ...any) {
	c.found = append(c.found, fmt.Sprintf(format, args...))
}

func (c *cluster) now() time.Time { return epoch.Add(time.Duration(c.round) * tickTime) }

func image(s *state.State) ([]byte, error) {
	dump, err := codec.EncodeDump(s.Dump())
	if err != nil {
		return nil, err
	}
	return codec.EncodeImage(codec.Image{State: dump})
}

func fromImage(data []byte) (*state.State, error) {
	img, err := codec.DecodeImage(data)
	if err != nil {
		return nil, err
	}
	dump, err := codec.DecodeDump(img.State)
	if err != nil {
		return nil, err
	}
	return state.Restore(dump), nil
}

// open starts the process of a replica from its files.
func (c *cluster) open(r *replica) {
	log, rec, err := wal.Open(wal.Options{FS: r.fs, Cluster: clusterName, Replica: r.id, SegmentBytes: 2048})
	if err != nil {
		c.fail("replica %d does not open: %v", r.id, err)
		return
	}
	r.st = state.New()
	if rec.Snapshot.Meta.Index > 0 {
		r.st, err = fromImage(rec.Snapshot.Data)
		must(err)
	}
	r.node, err = raft.New(raft.Config{
		ID: r.id, ElectionTicks: 10, HeartbeatTicks: 2, MaxEntriesPerMessage: 64, MaxBytesPerMessage: 1 << 16,
		MaxInflight: 8, MaxUncommitted: 1 << 20, MaxReads: 64, Seed: c.rng.Uint64(),
	}, rec.HardState, rec.Snapshot.Meta, rec.Entries)
	if err != nil {
		c.fail("replica %d does not start: %v", r.id, err)
		return
	}
	r.log, r.hs, r.saved = log, rec.HardState, rec.Snapshot.Meta.Index
	r.began, r.clock = c.now(), state.NewClock(c.now().Add(r.skew))
	r.pending, r.reads, r.isFailed = map[uint64]proposed{}, map[uint64]uint64{}, false
	r.run++
}

func (c *cluster) crash(r *replica, torn bool) {
	if r.node == nil {
		return
	}
	for _, p := range r.pending {
		p.change.waiting = false
	}
	r.node, r.log = nil, nil
	r.fs = r.fs.crash(torn)
	if c.forgets {
		r.fs.forget()
	}
}

func (c *cluster) replica(id uint64) *replica {
	for _, r := range c.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

// leader returns the first replica that takes itself for the leader, as a
// client finds it.
func (c *cluster) leader() *replica {
	for _, r := range c.replicas {
		if r.node != nil && !r.isFailed && r.node.Role() == raft.Leader {
			return r
		}
	}
	return nil
}

// mark calls reach at the first time of a step.
func (c *cluster) mark(step string) {
	if !c.seen[step] {
		c.seen[step] = true
		c.reach(step)
	}
}

func (r *replica) time(now time.Time) time.Time { return r.clock.Now(now.Sub(r.began)) }

func (r *replica) follow(now time.Time) { r.clock = r.clock.AdvanceTo(r.st.Now(), now.Sub(r.began)) }

// process carries out what the node asks for in the order of the control loop:
// persist, send, apply, answer.
func (c *cluster) process(r *replica) {
	for r.node != nil {
		run := r.run
		rd, ok := r.node.Ready()
		if !ok {
			break
		}
		if err := c.persist(r, rd); err != nil {
			c.stop(r)
			continue
		}
		if c.markEntries(r, run, rd.Entries, "synced"); r.node == nil || r.run != run {
			return
		}
		c.send(r, rd.Messages)
		if c.markEntries(r, run, rd.Committed, "committed"); r.node == nil || r.run != run {
			return
		}
		if !c.apply(r, run, rd.Committed) {
			return
		}
		for _, res := range rd.Reads {
			if res.Err == nil {
				c.lookedAt = append(c.lookedAt, readSeen{floor: r.reads[res.Token], index: res.Index})
			}
		}
		r.node.Advance(rd)
	}
	c.compact(r)
}

func (c *cluster) stop(r *replica) {
	r.isFailed = true
	r.node.Halt()
	for index, p := range r.pending {
		p.change.waiting = false
		delete(r.pending, index)
	}
}

func (c *cluster) persist(r *replica, rd raft.Ready) error {
	if rd.HardState != nil {
		r.hs = *rd.HardState
	}
	if rd.Snapshot != nil {
		st, err := fromImage(rd.Snapshot.Data)
		must(err)
		if err := r.log.InstallSnapshot(r.hs, *rd.Snapshot); err != nil {
			return err
		}
		r.st, r.saved = st, rd.Snapshot.Meta.Index
		if r.id == c.joining {
			c.mark("snapshot installed")
		}
	}
	if !rd.MustSync || rd.Snapshot != nil && len(rd.Entries) == 0 || r.node == nil {
		return nil
	}
	return r.log.Append(r.hs, rd.Entries)
}

// markEntries marks a step of the tracked change on the leader that took it.
func (c *cluster) markEntries(r *replica, run int, entries []raft.Entry, step string) {
	for _, e := range entries {
		if r.run != run || r.node == nil {
			return
		}
		if p, ok := r.pending[e.Index]; ok && p.term == e.Term && p.change.tracked {
			c.mark(step)
		}
	}
}

// apply returns false if a fault ended the process in between.
func (c *cluster) apply(r *replica, run int, entries []raft.Entry) bool {
	for _, e := range entries {
		if e.Kind != raft.EntryCommand {
			continue
		}
		cmd, err := codec.DecodeCommand(e.Data)
		must(err)
		if old, ok := r.journal[e.Index]; ok && old != string(e.Data) {
			c.fail("replica %d applied two entries at %d", r.id, e.Index)
		}
		r.journal[e.Index] = string(e.Data)
		before := r.st.Now()
		res := r.st.Apply(e.Index, cmd)
		if r.st.Now().Before(before) {
			c.fail("replicated time of replica %d goes back", r.id)
		}
		r.follow(c.now())
		p, ok := r.pending[e.Index]
		if !ok {
			continue
		}
		delete(r.pending, e.Index)
		if p.term != e.Term {
			p.change.waiting = false
			continue
		}
		if p.change.tracked {
			c.mark("applied")
		}
		if r.node == nil || r.run != run {
			return false
		}
		c.answer(p.change, res)
		if r.node == nil || r.run != run {
			return false
		}
	}
	return true
}

func (c *cluster) answer(ch *change, res state.Result) {
	ch.waiting = false
	if ch.tracked && ch.answers == 0 {
		c.mark("answered")
	}
	if ch.loseAnswers > 0 {
		ch.loseAnswers--
		return
	}
	if ch.gone || ch.answers > 0 {
		return
	}
	ch.answers++
	ch.version, ch.refused, ch.answered = res.Version, res.Err != nil, c.round
}

// compact stores a snapshot now and then, so that restarts and joins use one.
func (c *cluster) compact(r *replica) {
	if r.node == nil || r.isFailed || r.st.Version() < r.saved+6 {
		return
	}
	meta, err := r.node.SnapshotMeta(r.st.Version())
	if err != nil {
		return
	}
	data, err := image(r.st)
	must(err)
	if r.log.SaveSnapshot(raft.Snapshot{Meta: meta, Data: data}) != nil {
		c.stop(r)
		return
	}
	r.node.Compact(meta, 2, 1<<12)
	if r.log.Compact(meta.Index) != nil {
		c.stop(r)
		return
	}
	r.saved = meta.Index
}

func (c *cluster) send(r *replica, messages []raft.Message) {
	for _, m := range messages {
		if m.Snapshot != nil {
			snap, err := r.log.LoadSnapshot()
			if err != nil {
				continue
			}
			m.Snapshot = &snap
			if m.To == c.joining {
				c.mark("snapshot sent")
			}
		}
		if c.cut[[2]uint64{m.From, m.To}] {
			continue
		}
		if c.lose > 0 {
			c.lose--
			continue
		}
		due := c.round + 1
		if c.late {
			due += c.rng.IntN(lateRounds)
		}
		if c.slow == m.From || c.slow == m.To {
			due += slowRounds
		}
		c.net = append(c.net, packet{m, due})
		if c.twice {
			c.net = append(c.net, packet{m, due + c.rng.IntN(3)})
		}
	}
}

func (c *cluster) deliver() {
	var now, later []packet
	for _, p := range c.net {
		if p.due <= c.round {
			now = append(now, p)
		} else {
			later = append(later, p)
		}
	}
	c.net = later
	if c.shuffle {
		c.rng.Shuffle(len(now), func(i, j int) { now[i], now[j] = now[j], now[i] })
	}
	for _, p := range now {
		c.hand(p.msg)
	}
}

func (c *cluster) hand(m raft.Message) {
	r, from := c.replica(m.To), c.replica(m.From)
	if r == nil || r.node == nil || r.isFailed || from == nil || from.isGone || c.cut[[2]uint64{m.From, m.To}] {
		return
	}
	m.Entries = slices.Clone(m.Entries)
	if m.Snapshot != nil {
		snap := *m.Snapshot
		if c.truncate {
			snap.Data = snap.Data[:len(snap.Data)/2]
		}
		// The transport decodes a snapshot before the node sees it.
		if _, err := fromImage(snap.Data); err != nil {
			return
		}
		m.Snapshot = &snap
	}
	if err := r.node.Step(m); err != nil && !r.isFailed {
		c.fail("replica %d refuses %v of %d: %v", r.id, m.Type, m.From, err)
	}
}

// step is one round: the network, the timers, the clients and the loops.
func (c *cluster) step() {
	c.round++
	if c.repairAt > 0 && c.round >= c.repairAt {
		c.repair()
	}
	c.deliver()
	for _, r := range c.replicas {
		if r.node != nil && !r.isFailed {
			r.node.Tick()
		}
		c.process(r)
	}
	c.clients()
	c.members()
	c.look()
	for _, r := range c.replicas {
		c.process(r)
	}
}

func (c *cluster) newChange(id, key string, expected uint64) *change {
	ch := &change{ackedChange: ackedChange{id: id, key: key, expected: expected, sent: c.round}, lastSent: -clientWait}
	c.changes = append(c.changes, ch)
	return ch
}

func (c *cluster) clients() {
	for _, ch := range c.changes {
		isDue := !ch.waiting || c.round-ch.lastSent >= 4*clientWait
		if ch.answers == 0 && !ch.gone && isDue && c.round-ch.lastSent >= clientWait {
			c.submit(ch)
		}
	}
}

// submit hands a change to the leader that the client finds.
func (c *cluster) submit(ch *change) {
	r := c.leader()
	if r == nil {
		return
	}
	ch.lastSent = c.round
	if ch.tracked {
		c.target = r.id
		if c.mark("received"); r.node == nil || r.isFailed || r.node.Role() != raft.Leader {
			return
		}
	}
	cfg := model.New(model.KindConfig).(*model.Config)
	cfg.Name = ch.key
	cfg.Spec.Values = map[string]string{"by": ch.id}
	origin := state.Origin{Actor: "operator", ChangeID: ch.id, IssuedAt: epoch.Add(time.Duration(ch.sent) * tickTime), Time: r.time(c.now())}
	data, err := codec.EncodeCommand(state.Put{Origin: origin, Object: cfg, Expected: ch.expected})
	must(err)
	index, term, err := r.node.Propose(data)
	if err != nil {
		return
	}
	ch.waiting = true
	r.pending[index] = proposed{term, ch}
	if ch.tracked {
		c.mark("appended")
	}
}

func (c *cluster) look() {
	r := c.leader()
	if r == nil || c.round%5 != 0 {
		return
	}
	floor := uint64(0)
	for _, ch := range c.changes {
		if ch.answers > 0 && !ch.refused {
			floor = max(floor, ch.version)
		}
	}
	c.nextRead++
	if r.node.ReadIndex(c.nextRead) == nil {
		r.reads[c.nextRead] = floor
	}
}

// members replaces a lost replica: remove it, let another join as learner under
// a new ID and promote it.
func (c *cluster) members() {
	r := c.leader()
	if r == nil || c.joining == 0 {
		return
	}
	m := r.node.Members()
	if c.loseNext && m.IsVoter(c.joining) && r.node.Status().Commit == c.replica(c.joining).st.Version() {
		c.loseNext = false
		c.loseDisk(r)
		c.repairAt = c.round + repairRounds
		return
	}
	for _, id := range c.removing {
		if m.IsVoter(id) || m.IsLearner(id) {
			_, _, _ = r.node.ProposeMember(raft.MemberChange{Kind: raft.RemoveMember, ID: id})
			return
		}
	}
	switch {
	case !m.IsLearner(c.joining) && !m.IsVoter(c.joining):
		if _, _, err := r.node.ProposeMember(raft.MemberChange{Kind: raft.AddLearner, ID: c.joining}); err == nil {
			c.mark("join asked")
		}
	case m.IsLearner(c.joining):
		if _, _, err := r.node.ProposeMember(raft.MemberChange{Kind: raft.PromoteLearner, ID: c.joining}); err == nil {
			c.mark("promoted")
		}
	}
}

// join adds the process of a replica that joins.
func (c *cluster) join(removing uint64) {
	r := &replica{id: uint64(len(c.replicas) + 1), fs: newMemFS(), journal: map[uint64]string{}}
	must(wal.Init(r.fs, clusterName, r.id, nil))
	c.replicas = append(c.replicas, r)
	c.open(r)
	c.joining = r.id
	if removing != 0 {
		c.removing = append(c.removing, removing)
	}
}

func (c *cluster) repair() {
	c.repairAt = 0
	c.cut = map[[2]uint64]bool{}
	c.lose, c.slow, c.twice, c.late, c.shuffle, c.truncate = 0, 0, false, false, false, false
	for _, r := range c.replicas {
		r.fs.full, r.fs.failSync, r.fs.tear = false, false, false
		if r.isFailed {
			c.crash(r, false)
		}
		if r.node == nil && !r.isGone && !r.isAway {
			c.open(r)
		}
	}
	actions := c.onRepair
	c.onRepair = nil
	for _, action := range actions {
		action()
	}
	c.reach(repairedEvent)
}

// until steps until the condition holds and tells whether it did in time.
func (c *cluster) until(rounds int, done func() bool) bool {
	for range rounds {
		if done() {
			return true
		}
		c.step()
	}
	return done()
}

func (c *cluster) isAnswered(list ...*change) bool {
	for _, ch := range list {
		if ch.answers == 0 && !ch.gone {
			return false
		}
	}
	return true
}

// isLevel tells whether all replicas in the membership applied the same.
func (c *cluster) isLevel() bool {
	lead := c.leader()
	if lead == nil || c.repairAt > 0 {
		return false
	}
	members := lead.node.Members()
	if c.joining != 0 && !members.IsVoter(c.joining) {
		return false
	}
	for _, id := range members.Voters {
		r := c.replica(id)
		if r.node == nil || r.isFailed || r.st.Version() != lead.st.Version() || r.node.Status().Commit != lead.node.Status().Commit {
			return false
		}
	}
	return true
}

// finish checks that the cluster works after the faults and judges the run.
func (c *cluster) finish() []string {
	if !c.until(convergeCap, func() bool { return c.repairAt == 0 && c.isAnswered(c.changes...) }) {
		c.fail("a change is not answered after the repair")
	}
	for i := range 3 {
		last := c.newChange(fmt.Sprintf("after-%d", i), fmt.Sprintf("after-%d", i), 0)
		if !c.until(convergeCap, func() bool { return c.isAnswered(last) }) || last.refused {
			c.fail("change %s has no success after the repair", last.id)
		}
	}
	if !c.until(convergeCap, c.isLevel) {
		c.fail("the replicas do not converge after the repair")
	}
	return append(c.found, checkChanges(c.views())...)
}

func (c *cluster) views() ([]ackedChange, []replicaView, []readSeen) {
	changes := make([]ackedChange, 0, len(c.changes))
	for _, ch := range c.changes {
		changes = append(changes, ch.ackedChange)
	}
	var views []replicaView
	for _, r := range c.replicas {
		if r.node == nil || r.isFailed || r.isGone || r.isOut {
			continue
		}
		v := replicaView{name: fmt.Sprint(r.id), journal: r.journal, values: map[string]storedValue{}}
		for _, obj := range r.st.Snapshot().List(model.KindConfig) {
			cfg := obj.(*model.Config)
			v.values[cfg.Name] = storedValue{cfg.Version, cfg.Spec.Values["by"]}
		}
		views = append(views, v)
	}
	return changes, views, c.lookedAt
}

package raft

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
)

// chooser makes the random choices of a history.
type chooser interface{ IntN(n int) int }

// world is a set of replicas and a network that loses, repeats, reorders and
// delays messages. It checks the invariants of consensus after every step and
// keeps the first violation.
type world struct {
	choose    chooser
	servers   map[uint64]*server
	order     []uint64
	net       []Message
	blocked   map[[2]uint64]bool
	violation string
	violated  map[string]bool
	nextID    uint64
	lost      int
	proposals uint64

	// leaders holds the leader of each term.
	leaders map[uint64]uint64
	// entries holds each entry that was ever in a log, by index and term.
	entries map[[2]uint64]seenEntry
	// committed holds what was committed at each index, and by which term.
	committed map[uint64]committedEntry
	// states holds the digest of the state after each index.
	states    map[uint64]uint64
	maxCommit uint64
	reads     map[uint64]uint64
	nextRead  uint64
	stats     worldStats

	// broken switches one deliberate fault on, to test the checks.
	broken broken
}

// worldStats show that a history reached the cases that it is to cover.
type worldStats struct {
	elections, commits, crashes, snapshots, reads, changes, lost int
}

// broken is a deliberate fault of one replica's surroundings.
type broken int

const (
	notBroken broken = iota
	// forgetsVote loses term and vote in a crash.
	forgetsVote
	// forgetsEntries loses the last synced entries in a crash.
	forgetsEntries
	// changesEntries delivers entries with other data than were sent.
	changesEntries
	// appliesTwice applies some entries twice.
	appliesTwice
	// readsWithoutQuorum answers reads with the leader's own commit index.
	readsWithoutQuorum
	// commitsEarly delivers a commit index that no quorum has reached.
	commitsEarly
	// reusesID brings a lost disk's replica back under its old ID.
	reusesID
)

type seenEntry struct {
	prevTerm uint64
	digest   uint64
}

type committedEntry struct {
	entry  Entry
	byTerm uint64
}

// disk is what a crash leaves.
type disk struct {
	hs      HardState
	snap    SnapshotMeta
	state   uint64
	entries []Entry
}

type server struct {
	id      uint64
	node    *Node
	hs      HardState
	disk    disk
	state   uint64
	applied uint64
	isGone  bool
	// checked is the end of the log when it was last checked. An append or a
	// truncation by a newer leader changes it.
	checked [3]uint64
}

func testConfig(id uint64, voters ...uint64) Config {
	return Config{
		ID: id, Voters: voters, ElectionTicks: 10, HeartbeatTicks: 2, MaxEntriesPerMessage: 3, MaxBytesPerMessage: 1 << 10,
		MaxInflight: 3, MaxUncommitted: 1 << 12, MaxReads: 8, Seed: 7,
	}
}

func newWorld(choose chooser, voters ...uint64) *world {
	w := &world{
		violated: map[string]bool{},
		choose:   choose, servers: map[uint64]*server{}, blocked: map[[2]uint64]bool{}, nextID: uint64(len(voters)) + 1,
		leaders: map[uint64]uint64{}, entries: map[[2]uint64]seenEntry{}, committed: map[uint64]committedEntry{},
		states: map[uint64]uint64{1: 0}, reads: map[uint64]uint64{}, maxCommit: 1,
	}
	for _, id := range voters {
		s := &server{id: id, disk: disk{snap: BootstrapSnapshot(voters, nil)}}
		w.add(s)
	}
	return w
}

func (w *world) add(s *server) {
	w.servers[s.id] = s
	w.order = append(w.order, s.id)
	w.start(s)
}

// fail records a violation. The text up to the colon names the invariant.
func (w *world) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if w.violation == "" {
		w.violation = text
	}
	name, _, _ := strings.Cut(text, ":")
	w.violated[name] = true
}

func (w *world) start(s *server) {
	cfg := testConfig(s.id)
	cfg.Seed = uint64(w.choose.IntN(1 << 20))
	node, err := New(cfg, s.disk.hs, s.disk.snap, slices.Clone(s.disk.entries))
	if err != nil {
		w.fail("restart of %d: %v", s.id, err)
		return
	}
	s.node, s.hs, s.state, s.applied, s.checked = node, s.disk.hs, s.disk.state, s.disk.snap.Index, [3]uint64{}
}

func (w *world) crash(s *server) {
	if s.node == nil {
		return
	}
	w.stats.crashes++
	s.node = nil
	switch w.broken {
	case forgetsVote:
		s.disk.hs.Vote, s.disk.hs.Term = 0, 0
		if len(s.disk.entries) > 0 {
			s.disk.hs.Term = s.disk.entries[len(s.disk.entries)-1].Term
		}
	case forgetsEntries:
		s.disk.entries = s.disk.entries[:len(s.disk.entries)/2]
	default:
	}
}

// step carries out one random action.
func (w *world) step() {
	s := w.servers[w.order[w.choose.IntN(len(w.order))]]
	if w.broken != notBroken && w.choose.IntN(30) == 0 && s.node != nil {
		// Faults of storage show only in a crash, so there are more of them.
		w.crash(s)
		w.start(s)
	}
	switch n := w.choose.IntN(1000); {
	case n < 400:
		s = w.deliver()
	case n < 720:
		w.process(s, -1)
	case n < 880:
		w.tick(s)
	case n < 930:
		w.propose(s)
	case n < 955:
		w.read(s)
	case n < 958:
		w.process(s, w.choose.IntN(4))
	case n < 970:
		w.restart(s)
	case n < 975:
		w.partition()
	case n < 981:
		w.blocked = map[[2]uint64]bool{}
	case n < 990:
		w.compact(s)
	case n < 999:
		w.change(s)
	default:
		w.lose(s)
	}
	w.check(s)
}

func (w *world) tick(s *server) {
	if s.node != nil {
		s.node.Tick()
	}
}

// deliver hands over one message, loses it or repeats it.
func (w *world) deliver() *server {
	if len(w.net) == 0 {
		return nil
	}
	// Mostly the oldest messages, else terms would hardly ever end.
	i := w.choose.IntN(min(len(w.net), 8))
	m := w.net[i]
	if w.choose.IntN(20) != 0 {
		w.net = slices.Delete(w.net, i, i+1)
	}
	if w.choose.IntN(20) == 0 {
		return nil
	}
	w.hand(m)
	return w.servers[m.To]
}

func (w *world) hand(m Message) {
	s := w.servers[m.To]
	if s == nil || s.node == nil || w.blocked[[2]uint64{m.From, m.To}] {
		return
	}
	if from := w.servers[m.From]; from != nil && from.isGone && w.broken != reusesID {
		return
	}
	m.Entries = slices.Clone(m.Entries)
	if w.broken == changesEntries && len(m.Entries) > 0 && m.To == w.order[0] {
		m.Entries[0].Data = append(slices.Clone(m.Entries[0].Data), 1)
	}
	if w.broken == commitsEarly && m.Type == MsgAppend {
		m.Commit = m.Index + uint64(len(m.Entries))
	}
	if err := s.node.Step(m); err != nil && w.broken == notBroken {
		w.fail("step of %d: %v", s.id, err)
	}
}

func (w *world) propose(s *server) {
	if s.node == nil {
		return
	}
	w.proposals++
	// A refusal is part of the history.
	_, _, _ = s.node.Propose(binary.AppendUvarint(nil, w.proposals))
}

func (w *world) read(s *server) {
	if s.node == nil || s.node.Role() != Leader || w.broken == commitsEarly {
		return
	}
	w.nextRead++
	if w.broken == readsWithoutQuorum {
		if s.node.Status().Commit < w.maxCommit {
			w.fail("stale read: index %d, acknowledged %d", s.node.Status().Commit, w.maxCommit)
		}
		return
	}
	if s.node.ReadIndex(w.nextRead) == nil {
		w.reads[w.nextRead] = w.maxCommit
	}
}

func (w *world) restart(s *server) {
	switch {
	case s.isGone:
	case s.node == nil:
		w.start(s)
	case w.choose.IntN(8) == 0:
		w.crash(s)
	}
}

func (w *world) partition() {
	cut := w.order[w.choose.IntN(len(w.order))]
	if lead := w.leader(); lead != nil && w.choose.IntN(2) == 0 {
		cut = lead.id
	}
	for _, id := range w.order {
		w.blocked[[2]uint64{cut, id}] = true
		if w.choose.IntN(3) > 0 {
			w.blocked[[2]uint64{id, cut}] = true
		}
	}
}

// lose destroys a disk. The replica is gone for good; another joins.
func (w *world) lose(s *server) {
	if w.broken == reusesID {
		w.crash(s)
		s.disk = disk{snap: BootstrapSnapshot([]uint64{1, 2, 3}, nil)}
		w.start(s)
		return
	}
	if w.lost > 0 || s.isGone || w.choose.IntN(4) > 0 {
		return
	}
	w.lost++
	w.stats.lost++
	w.crash(s)
	s.isGone, s.disk = true, disk{}
}

func (w *world) change(s *server) {
	if s.node == nil || s.node.Role() != Leader {
		return
	}
	members := s.node.Members()
	c := MemberChange{Kind: ChangeKind(1 + w.choose.IntN(3))}
	switch {
	case c.Kind == AddLearner && len(w.order) < 6:
		c.ID = w.nextID
	case c.Kind == PromoteLearner && len(members.Learners) > 0:
		c.ID = members.Learners[w.choose.IntN(len(members.Learners))]
	case c.Kind == RemoveMember && len(members.Voters) > 2:
		c.ID = members.Voters[w.choose.IntN(len(members.Voters))]
	default:
		return
	}
	if _, _, err := s.node.ProposeMember(c); err != nil {
		return
	}
	w.stats.changes++
	if c.Kind == AddLearner {
		w.nextID++
		w.add(&server{id: c.ID})
	}
}

// process carries out a Ready. With crashAt from 0 to 3, the replica crashes
// before persisting, after it, in the middle of sending, or before applying.
func (w *world) process(s *server, crashAt int) {
	if s.node == nil {
		return
	}
	rd, ok := s.node.Ready()
	if !ok {
		return
	}
	if crashAt == 0 {
		w.crash(s)
		return
	}
	s.persist(rd)
	if crashAt == 1 {
		w.crash(s)
		return
	}
	for i, m := range rd.Messages {
		if crashAt == 2 && i == len(rd.Messages)/2 {
			w.crash(s)
			return
		}
		w.send(s, m)
	}
	if crashAt == 3 {
		w.crash(s)
		return
	}
	w.apply(s, rd)
	s.node.Advance(rd)
}

func (s *server) persist(rd Ready) {
	if rd.HardState != nil {
		s.hs = *rd.HardState
	}
	if rd.Snapshot != nil {
		s.disk.snap, s.disk.entries = rd.Snapshot.Meta, nil
		s.disk.state = binary.LittleEndian.Uint64(rd.Snapshot.Data)
	}
	if !rd.MustSync {
		return
	}
	s.disk.hs = s.hs
	if len(rd.Entries) > 0 {
		keep := rd.Entries[0].Index - s.disk.snap.Index - 1
		s.disk.entries = append(slices.Clone(s.disk.entries[:keep]), rd.Entries...)
	}
}

func (w *world) send(s *server, m Message) {
	if m.Type == MsgSnapshot {
		if s.disk.snap.Index < m.Snapshot.Meta.Index {
			w.fail("replica %d sends a snapshot at %d that it does not have", s.id, m.Snapshot.Meta.Index)
			return
		}
		w.stats.snapshots++
		m.Snapshot = &Snapshot{Meta: s.disk.snap, Data: binary.LittleEndian.AppendUint64(nil, s.disk.state)}
	}
	w.net = append(w.net, m)
	if len(w.net) > 400 {
		w.net = slices.Delete(w.net, 0, 100)
	}
}

func (w *world) apply(s *server, rd Ready) {
	if rd.Snapshot != nil {
		s.state, s.applied = binary.LittleEndian.Uint64(rd.Snapshot.Data), rd.Snapshot.Meta.Index
		w.checkState(s)
	}
	for _, e := range rd.Committed {
		if e.Index != s.applied+1 {
			w.fail("replica %d applies %d after %d", s.id, e.Index, s.applied)
		}
		w.commit(s, e)
		s.state = digest(s.state, e)
		if w.broken == appliesTwice && s.id == w.order[0] && e.Index%5 == 0 {
			s.state = digest(s.state, e)
		}
		s.applied = e.Index
		w.checkState(s)
	}
	for _, r := range rd.Reads {
		want, ok := w.reads[r.Token]
		delete(w.reads, r.Token)
		if ok && r.Err == nil {
			w.stats.reads++
			if r.Index < want {
				w.fail("stale read: index %d, acknowledged %d", r.Index, want)
			}
		}
	}
}

// commit checks state machine safety: one entry per index.
func (w *world) commit(s *server, e Entry) {
	known, ok := w.committed[e.Index]
	if !ok {
		w.stats.commits++
		w.committed[e.Index] = committedEntry{entry: e, byTerm: s.node.Term()}
		w.maxCommit = max(w.maxCommit, e.Index)
		return
	}
	if known.entry.Term != e.Term || digest(0, known.entry) != digest(0, e) {
		w.fail("state machine safety: index %d has terms %d and %d", e.Index, known.entry.Term, e.Term)
	}
	known.byTerm = min(known.byTerm, s.node.Term())
	w.committed[e.Index] = known
}

func (w *world) checkState(s *server) {
	known, ok := w.states[s.applied]
	if !ok {
		w.states[s.applied] = s.state
		return
	}
	if known != s.state {
		w.fail("state machine safety: replica %d differs after index %d", s.id, s.applied)
	}
}

func digest(before uint64, e Entry) uint64 {
	h := fnv.New64a()
	fields := [...]uint64{before, e.Index, e.Term, uint64(e.Kind), uint64(e.Change.Kind), e.Change.ID}
	var word [8]byte
	for _, f := range fields {
		binary.LittleEndian.PutUint64(word[:], f)
		h.Write(word[:])
	}
	h.Write(e.Data)
	return h.Sum64()
}

func (w *world) compact(s *server) {
	if s.node == nil || s.applied <= s.disk.snap.Index+3 || s.node.restored != nil {
		return
	}
	meta, err := s.node.SnapshotMeta(s.applied)
	if err != nil {
		w.fail("snapshot of %d: %v", s.id, err)
		return
	}
	drop := int(meta.Index - s.disk.snap.Index)
	s.disk.entries = slices.Clone(s.disk.entries[drop:])
	s.disk.snap, s.disk.state = meta, s.state
	s.node.Compact(meta, uint64(w.choose.IntN(4)), 200)
}

// check verifies the invariants that span the replicas, for the replica that
// the last action changed.
func (w *world) check(s *server) {
	if s == nil || s.node == nil {
		return
	}
	w.checkLeader(s)
	w.checkLog(s)
}

// checkLeader checks election safety and leader completeness.
func (w *world) checkLeader(s *server) {
	if s.node.Role() != Leader {
		return
	}
	term := s.node.Term()
	if known, ok := w.leaders[term]; ok {
		if known != s.id {
			w.fail("election safety: %d and %d lead term %d", known, s.id, term)
		}
		return
	}
	w.leaders[term] = s.id
	w.stats.elections++
	for index, c := range w.committed {
		if c.byTerm >= term || index <= s.node.log.offset {
			continue
		}
		if got, ok := s.node.log.term(index); !ok || got != c.entry.Term {
			w.fail("leader completeness: leader %d of term %d lacks entry %d of term %d", s.id, term, index, c.entry.Term)
		}
	}
}

// checkLog checks log matching: an index and a term determine the entry and
// the term before it.
func (w *world) checkLog(s *server) {
	l := &s.node.log
	end := [3]uint64{l.offset, l.last(), l.lastTerm()}
	if end == s.checked {
		return
	}
	s.checked = end
	prev := l.offsetTerm
	for _, e := range l.entries {
		seen := seenEntry{prevTerm: prev, digest: digest(0, e)}
		key := [2]uint64{e.Index, e.Term}
		if known, ok := w.entries[key]; !ok {
			w.entries[key] = seen
		} else if known != seen {
			w.fail("log matching: entry %d of term %d differs on replica %d", e.Index, e.Term, s.id)
		}
		prev = e.Term
	}
}

// settle heals everything and runs a fair schedule. It checks that the
// replicas agree and go on, unless too few disks are left for a quorum.
func (w *world) settle() {
	w.blocked = map[[2]uint64]bool{}
	for _, id := range w.order {
		if s := w.servers[id]; s.node == nil && !s.isGone {
			w.start(s)
		}
	}
	w.fair(400)
	lead := w.leader()
	if lead == nil {
		if w.canElect() {
			w.fail("liveness: no leader after everything was healed")
		}
		return
	}
	index, term, err := lead.node.Propose([]byte("last"))
	if err != nil {
		w.fail("liveness: %v", err)
		return
	}
	w.fair(200)
	if c := w.committed[index]; c.entry.Term != term {
		w.fail("liveness: entry %d of term %d was not committed", index, term)
	}
	for _, id := range lead.node.Members().Voters {
		if s := w.servers[id]; s.node != nil && s.applied < index {
			w.fail("liveness: replica %d has applied %d of %d", id, s.applied, index)
		}
	}
}

func (w *world) fair(rounds int) {
	for range rounds {
		for _, id := range w.order {
			w.tick(w.servers[id])
			w.process(w.servers[id], -1)
		}
		for range 4 {
			batch := w.net
			w.net = nil
			for _, m := range batch {
				w.hand(m)
				w.check(w.servers[m.To])
			}
			for _, id := range w.order {
				w.process(w.servers[id], -1)
				w.check(w.servers[id])
			}
		}
	}
}

func (w *world) leader() *server {
	var found *server
	for _, id := range w.order {
		s := w.servers[id]
		if s.node != nil && s.node.Role() == Leader && (found == nil || s.node.Term() > found.node.Term()) {
			found = s
		}
	}
	return found
}

// canElect tells whether the newest log's membership has a quorum of disks.
func (w *world) canElect() bool {
	var newest *server
	for _, id := range w.order {
		s := w.servers[id]
		if s.node == nil {
			continue
		}
		if newest == nil || newest.node.log.isUpToDate(s.node.log.last(), s.node.log.lastTerm()) {
			newest = s
		}
	}
	members := newest.node.Members()
	alive := 0
	for _, id := range members.Voters {
		if !w.servers[id].isGone {
			alive++
		}
	}
	return alive >= members.Quorum()
}

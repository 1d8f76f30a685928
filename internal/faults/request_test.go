package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/member"
	"laburnumdock/internal/core/state"
)

const (
	requestRound  = 100 * time.Millisecond
	requestRepair = 4 * time.Second
	silentAfter   = 20
	runRounds     = 4
	slowRun       = 30
	announceEvery = 5
	recordRetry   = 3
	recordGiveUp  = 40
	callerWait    = 110
	maxCalls      = 4
	idLifetime    = time.Minute
	service       = "quotes"
)

// call is one try of a caller. Calls with one request ID are one request.
type call struct {
	judgedCall
	entry   int
	digest  string
	body    string
	sentAt  int
	isGone  bool
	tracked bool
}

// executor is an endpoint as it truly is.
type executor struct {
	name        string
	down        bool
	slow        bool
	short       bool
	isLeaving   bool
	isStopped   bool
	leftAt      time.Time
	incarnation uint64
	sequence    uint64
	inFlight    int
	slots       int
}

// entryHost is one entry host with what its shell holds.
type entryHost struct {
	name  string
	d     *dispatch.Dispatcher
	run   int
	down  int
	calls map[uint64]*call
	// bodies are whole answers by call and attempt, answers those from records.
	bodies  map[[2]uint64]string
	answers map[uint64]string
	ended   map[[2]uint64]bool
}

// task is something that arrives later.
type task struct {
	due int
	do  func()
}

// requestScene is two entry hosts, three endpoints and the control replicas.
type requestScene struct {
	*leader
	judge      *requestJudge
	round      int
	entries    []*entryHost
	executors  []*executor
	tasks      []task
	calls      []*call
	repeatable bool
	nextCall   uint64
	cutEntry   int
	silentTo   string
	isLeaving  bool
}

func requestFlow(repeatable bool) flow {
	name := "request that must not be repeated"
	if repeatable {
		name = "repeatable request"
	}
	return flow{
		name:  name,
		steps: []string{"queued", "recorded", "forwarded", "answered by the endpoint", "finish recorded", "answered"},
		start: func(rng *rand.Rand, reach func(string)) scene { return newRequestScene(rng, reach, repeatable) },
		skip: func(step string, f injection) string {
			switch {
			case repeatable && (step == "recorded" || step == "finish recorded"):
				return "a repeatable request is not recorded"
			case f == cancellation && step == "answered":
				return "the caller has its answer, there is nothing to cancel"
			}
			return ""
		},
	}
}

func newRequestScene(rng *rand.Rand, reach func(string), repeatable bool) *requestScene {
	s := &requestScene{leader: newLeader(rng, reach), judge: newRequestJudge(), repeatable: repeatable, cutEntry: -1}
	s.boot()
	for i := range 2 {
		e := &entryHost{name: fmt.Sprintf("entry-%d", i+1)}
		s.entries = append(s.entries, e)
		s.startEntry(e)
	}
	for i := range 3 {
		s.executors = append(s.executors, &executor{name: fmt.Sprintf("endpoint-%d", i), incarnation: 1, slots: 8})
	}
	s.rounds(announceEvery + 1)
	return s
}

func (s *requestScene) startEntry(e *entryHost) {
	e.d = dispatch.NewWithConfig(dispatch.Config{EntryHost: e.name, Seed: s.rng.Uint64()})
	e.run++
	e.calls, e.bodies, e.answers, e.ended = map[uint64]*call{}, map[[2]uint64]string{}, map[uint64]string{}, map[[2]uint64]bool{}
}

func (s *requestScene) rounds(n int) {
	for range n {
		s.step()
	}
}

func (s *requestScene) later(rounds int, do func()) {
	s.tasks = append(s.tasks, task{s.round + max(rounds, 1), do})
}

// message delivers something over the network of an entry host; out tells its
// direction.
func (s *requestScene) message(entry int, out bool, do func()) {
	if entry == s.cutEntry && (out && s.noCalls || !out && s.noReports) {
		return
	}
	if s.lose > 0 {
		s.lose--
		return
	}
	delay := 1
	if s.late || s.shuffle {
		delay += s.rng.IntN(15)
	}
	s.later(delay, do)
}

// event is a message towards the control loop of an entry host, which may come
// twice. Events for a process that is gone are dropped.
func (s *requestScene) event(entry, run int, ev dispatch.Event) {
	deliver := func() {
		if e := s.entries[entry]; e.run == run && e.down == 0 {
			s.feed(entry, ev)
		}
	}
	deliver()
	if s.twice {
		s.later(2, deliver)
	}
}

func (s *requestScene) step() {
	s.now = s.now.Add(requestRound)
	s.round++
	if !s.repairAt.IsZero() && !s.now.Before(s.repairAt) {
		s.repair()
	}
	if s.pause > 0 {
		if s.pause--; s.pause == 0 {
			s.boot()
		}
	}
	for i, e := range s.entries {
		if e.down > 0 {
			if e.down--; e.down == 0 {
				s.startEntry(e)
			}
			continue
		}
		s.feed(i, dispatch.Ticked{})
	}
	if s.round%announceEvery == 0 {
		s.announce()
	}
	s.due()
	s.stopExecutors()
}

func (s *requestScene) due() {
	var now, rest []task
	for _, t := range s.tasks {
		if t.due <= s.round {
			now = append(now, t)
		} else {
			rest = append(rest, t)
		}
	}
	s.tasks = rest
	if s.shuffle {
		s.rng.Shuffle(len(now), func(i, j int) { now[i], now[j] = now[j], now[i] })
	}
	for _, t := range now {
		t.do()
	}
}

// announce has each endpoint tell both entry hosts, of which either may be cut
// off.
func (s *requestScene) announce() {
	for _, x := range s.executors {
		if x.down || x.isStopped {
			continue
		}
		x.sequence++
		a := member.Announcement{
			Endpoint: x.name, Host: "host-" + x.name, Service: service, Address: x.name, Epoch: 1, Incarnation: x.incarnation,
			Sequence: x.sequence, Slots: x.slots, Connections: 64, Rack: x.name, Zone: x.name, Leaving: x.isLeaving,
		}
		said := s.now
		for i, e := range s.entries {
			run := e.run
			s.message(i, false, func() {
				heard := a
				heard.AnnouncedAt = said
				s.event(i, run, dispatch.Announced{Announcement: heard})
				if i == 1 && x == s.executors[0] {
					s.markHeard(heard.Leaving)
				}
			})
		}
	}
}

func (s *requestScene) markHeard(leaving bool) {
	if s.isLeaving && !leaving {
		s.mark("announced")
	}
	if s.isLeaving && leaving {
		s.mark("leaving heard")
	}
}

// feed hands an event to a dispatcher and carries out the effects.
func (s *requestScene) feed(entry int, ev dispatch.Event) {
	e := s.entries[entry]
	run := e.run
	for _, effect := range slices.Clone(e.d.Step(s.now, ev)) {
		if e.run != run || e.down > 0 {
			return
		}
		switch f := effect.(type) {
		case dispatch.Forward:
			s.forward(entry, f)
		case dispatch.Abort:
			s.later(1, func() { s.end(entry, run, f.ID, f.Attempt, dispatch.AttemptLost) })
		case dispatch.Record:
			s.record(entry, f)
		case dispatch.Answer:
			s.answer(entry, f)
		case dispatch.Probe:
			x := s.executor(f.Endpoint)
			s.later(1, func() { s.event(entry, run, dispatch.Probed{Endpoint: f.Endpoint, OK: !x.down}) })
		}
	}
}

func (s *requestScene) executor(name string) *executor {
	for _, x := range s.executors {
		if x.name == name {
			return x
		}
	}
	return nil
}

func (s *requestScene) forward(entry int, f dispatch.Forward) {
	e := s.entries[entry]
	run, c, x := e.run, e.calls[f.ID], s.executor(f.Endpoint)
	s.judge.forwarded(x.name, x.leftAt, s.now)
	// A connection without progress counts as silent.
	s.later(silentAfter, func() { s.end(entry, run, f.ID, f.Attempt, dispatch.AttemptSilent) })
	s.message(entry, true, func() { s.arrive(entry, run, c, f, x) })
	if c.tracked {
		s.mark("forwarded")
	}
}

// arrive is the endpoint getting an attempt.
func (s *requestScene) arrive(entry, run int, c *call, f dispatch.Forward, x *executor) {
	if x.down || x.isStopped {
		s.end(entry, run, f.ID, f.Attempt, dispatch.AttemptNotSent)
		return
	}
	if x.inFlight >= x.slots {
		s.message(entry, false, func() { s.end(entry, run, f.ID, f.Attempt, dispatch.AttemptRefused) })
		return
	}
	s.judge.executed(c.id, c.request, c.repeatable)
	x.inFlight++
	incarnation, rounds := x.incarnation, runRounds
	if x.slow {
		rounds = slowRun
	}
	s.later(rounds, func() { s.finish(entry, run, c, f, x, incarnation) })
}

func (s *requestScene) finish(entry, run int, c *call, f dispatch.Forward, x *executor, incarnation uint64) {
	if x.incarnation != incarnation || x.down {
		// The endpoint's process ended; the connection was reset.
		s.message(entry, false, func() { s.end(entry, run, f.ID, f.Attempt, dispatch.AttemptLost) })
		return
	}
	x.inFlight--
	if s.silentTo == x.name {
		return
	}
	outcome := dispatch.AttemptAnswered
	if x.short {
		// The body is shorter than its declared length.
		outcome = dispatch.AttemptLost
	}
	s.message(entry, false, func() {
		if e := s.entries[entry]; e.run == run && outcome == dispatch.AttemptAnswered {
			e.bodies[[2]uint64{f.ID, uint64(f.Attempt)}] = "answer to " + c.request
		}
		s.end(entry, run, f.ID, f.Attempt, outcome)
	})
	if c.tracked {
		s.mark("answered by the endpoint")
	}
}

// end reports the end of an attempt; only the first end is the shell's.
func (s *requestScene) end(entry, run int, id uint64, attempt int, outcome dispatch.AttemptOutcome) {
	e := s.entries[entry]
	key := [2]uint64{id, uint64(attempt)}
	if e.run != run || e.ended[key] {
		return
	}
	e.ended[key] = true
	s.event(entry, run, dispatch.AttemptFinished{ID: id, Attempt: attempt, Outcome: outcome, RunTime: runRounds * requestRound})
}

// record has the control replicas record a phase. The shell repeats it until it
// has an answer or gives up.
func (s *requestScene) record(entry int, f dispatch.Record) {
	e := s.entries[entry]
	c := e.calls[f.ID]
	expiry, _ := parseExpiry(c.request)
	rec := state.RequestRecord{
		ID: c.request, Phase: [...]state.RequestPhase{0, state.RequestBegun, state.RequestFinished, state.RequestDidNotRun, state.RequestUnknown}[f.Phase],
		Caller: "caller", Service: service, EntryHost: e.name, Token: fmt.Sprintf("%d-%d", e.run, f.ID), Digest: []byte(c.digest), Expires: expiry,
	}
	if f.Phase == dispatch.RecordFinished {
		rec.Status, rec.Body = 200, []byte(e.bodies[[2]uint64{f.ID, uint64(f.Attempt)}])
	}
	s.try(entry, e.run, c, f.Phase, rec, s.round)
	if c.tracked && f.Phase == dispatch.RecordBegin {
		s.mark("queued")
	}
}

func (s *requestScene) try(entry, run int, c *call, phase dispatch.RecordPhase, rec state.RequestRecord, since int) {
	e := s.entries[entry]
	done := false
	s.message(entry, true, func() {
		if s.pause > 0 || s.refuse {
			return
		}
		res := s.commit(state.RecordRequests{Origin: s.origin(), Records: []state.RequestRecord{rec}}).Requests[0]
		if s.twice {
			s.commit(state.RecordRequests{Origin: s.origin(), Records: []state.RequestRecord{rec}})
		}
		if c.tracked && phase == dispatch.RecordBegin && res.Err == nil {
			s.mark("recorded")
		}
		if c.tracked && phase == dispatch.RecordFinished && res.Err == nil {
			s.mark("finish recorded")
		}
		if s.pause > 0 {
			return
		}
		s.message(entry, false, func() {
			if !done && e.run == run {
				done = true
				s.recorded(entry, run, c, phase, res)
			}
		})
	})
	s.later(recordRetry, func() {
		switch {
		case done || e.run != run:
		case s.round-since < recordGiveUp:
			s.try(entry, run, c, phase, rec, since)
			done = true
		default:
			done = true
			s.giveUp(entry, run, c, phase, rec)
		}
	})
}

// giveUp ends a record without an answer and frees the ID of a begin.
func (s *requestScene) giveUp(entry, run int, c *call, phase dispatch.RecordPhase, rec state.RequestRecord) {
	if phase == dispatch.RecordBegin {
		release := rec
		release.Phase = state.RequestDidNotRun
		s.later(1, func() { s.commit(state.RecordRequests{Origin: s.origin(), Records: []state.RequestRecord{release}}) })
	}
	s.event(entry, run, dispatch.Recorded{ID: c.id, Phase: phase, Err: fault.New(fault.Unavailable, "no answer")})
}

func (s *requestScene) recorded(entry, run int, c *call, phase dispatch.RecordPhase, res state.RequestResult) {
	ev := dispatch.Recorded{ID: c.id, Phase: phase, Err: res.Err}
	if res.Recorded != nil && phase == dispatch.RecordBegin {
		known := res.Recorded
		ev.KnownPhase = map[state.RequestPhase]dispatch.RecordPhase{
			state.RequestBegun: dispatch.RecordBegin, state.RequestFinished: dispatch.RecordFinished,
			state.RequestDidNotRun: dispatch.RecordDidNotRun, state.RequestUnknown: dispatch.RecordUnknown,
		}[known.Phase]
		if ev.Err == nil {
			ev.Err = fault.New(fault.InProgress, "known")
		}
		s.entries[entry].answers[c.id] = string(known.Body)
	}
	s.event(entry, run, ev)
}

// answer passes the answer on to the caller.
func (s *requestScene) answer(entry int, a dispatch.Answer) {
	e := s.entries[entry]
	c := e.calls[a.ID]
	if c.tracked {
		s.mark("answered")
	}
	if e.down > 0 || e.calls[a.ID] != c || c.isGone {
		return
	}
	c.answers++
	c.ran = a.Ran
	if a.Err != nil {
		c.kind = a.Err.Kind
		return
	}
	if c.body = e.bodies[[2]uint64{a.ID, uint64(a.Attempt)}]; a.FromRecord {
		c.body = e.answers[a.ID]
	}
	c.got = c.body
}

// send is a caller's try at an entry host.
func (s *requestScene) send(entry int, request, digest string, tracked bool) *call {
	s.nextCall++
	c := &call{judgedCall: judgedCall{id: s.nextCall, request: request, repeatable: s.repeatable}, entry: entry, digest: digest, sentAt: s.round, tracked: tracked}
	s.calls = append(s.calls, c)
	e := s.entries[entry]
	if e.down > 0 {
		c.isGone = true
		return c
	}
	e.calls[c.id] = c
	if s.repeatable && tracked {
		s.mark("queued")
		if e.down > 0 {
			c.isGone = true
			return c
		}
	}
	s.feed(entry, dispatch.Arrived{Request: dispatch.Request{
		ID: c.id, Service: service, Caller: "caller", WorkKind: "quote", Repeatable: s.repeatable, RequestID: request, Deadline: s.now.Add(10 * time.Second),
	}})
	return c
}

func (s *requestScene) newID(name string) string {
	return fmt.Sprintf("%d.%s", s.now.Add(idLifetime).UnixMilli(), name)
}

// play sends the tracked request again under its ID until a caller would stop,
// with some other requests beside it.
func (s *requestScene) play() []string {
	id := s.newID("tracked")
	c := s.send(0, id, "body", true)
	for try := 1; try < maxCalls; try++ {
		for s.round-c.sentAt < callerWait && c.answers == 0 && !c.isGone {
			s.step()
			if s.round%7 == 0 {
				s.send(s.round%2, s.newID(fmt.Sprintf("other-%d", s.round)), "other", false)
			}
		}
		if c.answers > 0 && c.ran != fault.RanUnknown {
			break
		}
		s.rounds(10)
		c = s.send(try%2, id, "body", false)
	}
	return s.settle()
}

// settle lets the faults end, and checks that requests work again.
func (s *requestScene) settle() []string {
	for !s.repairAt.IsZero() {
		s.step()
	}
	s.rounds(callerWait)
	worked := 0
	for i := range 10 {
		last := s.send(i%2, s.newID(fmt.Sprintf("last-%d", i)), "last", false)
		s.rounds(callerWait / 2)
		if last.answers == 1 && last.ran == fault.RanYes {
			worked++
		}
	}
	if worked < 5 {
		s.fail("%d of 10 requests succeed after the repair", worked)
	}
	s.rounds(callerWait)
	for _, e := range s.entries {
		if e.d.OpenRequests() > 0 || len(e.d.SlotsInUse()) > 0 {
			s.fail("%s has %d open requests and slots %v in use at the end", e.name, e.d.OpenRequests(), e.d.SlotsInUse())
		}
	}
	for _, c := range s.calls {
		s.judge.call(c.judgedCall, c.isGone)
	}
	return append(s.found, s.judge.found...)
}

func (s *requestScene) repair() {
	s.heal()
	s.cutEntry, s.silentTo = -1, ""
	for _, x := range s.executors {
		if x.down {
			x.down, x.inFlight = false, 0
			x.incarnation++
		}
		x.slow, x.short, x.slots = false, false, 8
	}
	s.healed()
}

func (s *requestScene) inject(f injection) {
	s.repairAt = s.now.Add(requestRepair)
	s.cutEntry = 0
	x := s.executors[0]
	switch f {
	case crash:
		s.crashEntry(0)
	case restart:
		s.restartExecutors(x)
	case failAgain:
		s.restartExecutors(x)
		s.onRepair = append(s.onRepair, func() { s.restartExecutors(s.executors[1]) })
	case rackLost:
		x.down, s.executors[1].down = true, true
	case zoneLost:
		s.crashEntry(0)
		x.down, s.pause = true, leaderPause
	case silentConn:
		s.silentTo = x.name
	case slowPeer:
		x.slow = true
	case falseSize:
		x.short, x.slots = true, 1000
	case cancellation:
		s.cancel()
	case twoOperators, resend:
		s.sendAgain(f)
	case clockForward, clockBack, diskFull, syncFails, diskLost, tornWrite:
		s.injectProcess(f, s.boot)
	default:
		s.injectMessages(f)
	}
}

func (s *requestScene) crashEntry(i int) {
	e := s.entries[i]
	if e.down > 0 {
		return
	}
	for _, c := range e.calls {
		c.isGone = c.isGone || c.answers == 0
	}
	e.run++
	e.down = 5
}

func (s *requestScene) restartExecutors(list ...*executor) {
	for _, x := range list {
		x.incarnation++
		x.inFlight = 0
	}
}

func (s *requestScene) cancel() {
	for _, c := range s.calls {
		if c.tracked && c.answers == 0 && !c.isGone {
			c.isGone = true
			run := s.entries[c.entry].run
			s.later(1, func() { s.event(c.entry, run, dispatch.CallerGone{ID: c.id}) })
		}
	}
}

// sendAgain sends the tracked ID again at the other entry host; with another
// body it belongs to another caller's mistake and must not get the answer.
func (s *requestScene) sendAgain(f injection) {
	for _, c := range s.calls {
		if c.tracked {
			body := "body"
			if f == twoOperators && !s.repeatable {
				body = "another body"
			}
			again := s.send(1, c.request, body, false)
			again.mustNotAnswer = body != "body"
			return
		}
	}
}

func parseExpiry(id string) (time.Time, error) {
	var ms int64
	_, err := fmt.Sscanf(id, "%d.", &ms)
	return time.UnixMilli(ms), err
}

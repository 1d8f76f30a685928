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
	// requestRoundTime is the duration of a round.
	requestRoundTime = 100 * time.Millisecond
	// requestRepairTime is the time from a fault to its repair.
	requestRepairTime = 4 * time.Second
	// silentTimeoutRounds is the time after which an attempt counts as silent.
	silentTimeoutRounds = 20
	// runRounds is the run time of a request, slowRunRounds at a slow endpoint.
	runRounds              = 4
	slowRunRounds          = 30
	announceIntervalRounds = 5
	recordRetryRounds      = 3
	recordTimeoutRounds    = 40
	// callerWaitRounds is how long a caller waits for an answer.
	callerWaitRounds = 110
	// maxCalls is the number of calls that a caller makes for the tracked request.
	maxCalls          = 4
	requestIDLifetime = time.Minute
	serviceName       = "quotes"
)

// call is a call to an entry host. Calls with the same request ID are one request.
type call struct {
	observedCall
	entryIndex   int
	digest       string
	body         string
	sentRound    int
	isCallerGone bool
	isTracked    bool
}

// endpoint is the actual state of an endpoint.
type endpoint struct {
	name          string
	isDown        bool
	isSlow        bool
	truncatesBody bool
	isLeaving     bool
	isStopped     bool
	leavingSince  time.Time
	incarnation   uint64
	sequence      uint64
	inFlight      int
	slots         int
}

// entryHost is one entry host: its dispatcher and the state kept around it.
type entryHost struct {
	name       string
	dispatcher *dispatch.Dispatcher
	// incarnation changes when the process ends and when it starts.
	incarnation int
	// roundsDown is the number of rounds until the process starts again.
	roundsDown int
	calls      map[uint64]*call
	// bodiesByAttempt holds complete answers by call and attempt, recordedBodies the
	// answers from request records by call.
	bodiesByAttempt map[[2]uint64]string
	recordedBodies  map[uint64]string
	// ended holds the attempts whose end was reported, by call and attempt.
	ended map[[2]uint64]bool
}

// scheduledAction is an action that runs in a later round.
type scheduledAction struct {
	due    int
	action func()
}

// requestSimulation simulates two entry hosts, three endpoints and the control
// replicas.
type requestSimulation struct {
	*leader
	checker    *requestChecker
	round      int
	entryHosts []*entryHost
	endpoints  []*endpoint
	scheduled  []scheduledAction
	calls      []*call
	repeatable bool
	nextCall   uint64
	// cutEntryHost is the index of the entry host that network partitions affect, or
	// -1.
	cutEntryHost int
	// silentEndpoint is the endpoint that does not answer.
	silentEndpoint string
	// tracksEndpoint is set when the steps are announcements of an endpoint.
	tracksEndpoint bool
}

func requestProcedure(repeatable bool) procedure {
	name := "request that must not be repeated"
	if repeatable {
		name = "repeatable request"
	}
	return procedure{
		name:  name,
		steps: []string{"queued", "recorded", "forwarded", "answered by the endpoint", "finish recorded", "answered"},
		newSimulation: func(rng *rand.Rand, onEvent func(string)) simulation {
			return newRequestSimulation(rng, onEvent, repeatable)
		},
		skipReason: func(step string, f faultKind) string {
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

func newRequestSimulation(rng *rand.Rand, onEvent func(string), repeatable bool) *requestSimulation {
	s := &requestSimulation{leader: newLeader(rng, onEvent), checker: newRequestChecker(), repeatable: repeatable, cutEntryHost: -1}
	s.startProcess()
	for i := range 2 {
		e := &entryHost{name: fmt.Sprintf("entry-%d", i+1)}
		s.entryHosts = append(s.entryHosts, e)
		s.startEntry(e)
	}
	for i := range 3 {
		s.endpoints = append(s.endpoints, &endpoint{name: fmt.Sprintf("endpoint-%d", i), incarnation: 1, slots: 8})
	}
	s.advance(announceIntervalRounds + 1)
	return s
}

func (s *requestSimulation) startEntry(e *entryHost) {
	e.dispatcher = dispatch.NewWithConfig(dispatch.Config{EntryHost: e.name, Seed: s.rng.Uint64()})
	e.incarnation++
	e.calls, e.bodiesByAttempt, e.recordedBodies, e.ended = map[uint64]*call{}, map[[2]uint64]string{}, map[uint64]string{}, map[[2]uint64]bool{}
}

func (s *requestSimulation) advance(n int) {
	for range n {
		s.step()
	}
}

func (s *requestSimulation) schedule(rounds int, action func()) {
	s.scheduled = append(s.scheduled, scheduledAction{s.round + max(rounds, 1), action})
}

// sendMessage runs an action after a message over the network of an entry host has
// arrived. The message is outbound from the entry host or inbound.
func (s *requestSimulation) sendMessage(entryIndex int, outbound bool, action func()) {
	if entryIndex == s.cutEntryHost && (outbound && s.dropCalls || !outbound && s.dropReports) {
		return
	}
	if s.messagesToLose > 0 {
		s.messagesToLose--
		return
	}
	delay := 1
	if s.delayMessages || s.reorderMessages {
		delay += s.rng.IntN(15)
	}
	s.schedule(delay, action)
}

// postEvent delivers an event to the control loop of an entry host, twice if
// messages are duplicated. Events for an ended incarnation are dropped.
func (s *requestSimulation) postEvent(entryIndex, incarnation int, ev dispatch.Event) {
	deliver := func() {
		if e := s.entryHosts[entryIndex]; e.incarnation == incarnation && e.roundsDown == 0 {
			s.stepDispatcher(entryIndex, ev)
		}
	}
	deliver()
	if s.duplicateMessages {
		s.schedule(2, deliver)
	}
}

func (s *requestSimulation) step() {
	s.now = s.now.Add(requestRoundTime)
	s.round++
	if !s.repairAt.IsZero() && !s.now.Before(s.repairAt) {
		s.repair()
	}
	if s.leaderlessRounds > 0 {
		if s.leaderlessRounds--; s.leaderlessRounds == 0 {
			s.startProcess()
		}
	}
	for i, e := range s.entryHosts {
		if e.roundsDown > 0 {
			if e.roundsDown--; e.roundsDown == 0 {
				s.startEntry(e)
			}
			continue
		}
		s.stepDispatcher(i, dispatch.Ticked{})
	}
	if s.round%announceIntervalRounds == 0 {
		s.announce()
	}
	s.runDue()
	s.stopLeavingEndpoints()
}

// runDue runs the actions that are due.
func (s *requestSimulation) runDue() {
	var now, rest []scheduledAction
	for _, t := range s.scheduled {
		if t.due <= s.round {
			now = append(now, t)
		} else {
			rest = append(rest, t)
		}
	}
	s.scheduled = rest
	if s.reorderMessages {
		s.rng.Shuffle(len(now), func(i, j int) { now[i], now[j] = now[j], now[i] })
	}
	for _, t := range now {
		t.action()
	}
}

// announce sends an announcement of each endpoint to both entry hosts, either of
// which may be cut off.
func (s *requestSimulation) announce() {
	for _, ep := range s.endpoints {
		if ep.isDown || ep.isStopped {
			continue
		}
		ep.sequence++
		a := member.Announcement{
			Endpoint: ep.name, Host: "host-" + ep.name, Service: serviceName, Address: ep.name, Epoch: 1, Incarnation: ep.incarnation,
			Sequence: ep.sequence, Slots: ep.slots, Connections: 64, Rack: ep.name, Zone: ep.name, Leaving: ep.isLeaving,
		}
		announcedAt := s.now
		for i, e := range s.entryHosts {
			incarnation := e.incarnation
			s.sendMessage(i, false, func() {
				received := a
				received.AnnouncedAt = announcedAt
				s.postEvent(i, incarnation, dispatch.Announced{Announcement: received})
				if i == 1 && ep == s.endpoints[0] {
					s.markAnnouncementStep(received.Leaving)
				}
			})
		}
	}
}

// markAnnouncementStep marks the step that an announcement stands for.
func (s *requestSimulation) markAnnouncementStep(leaving bool) {
	if s.tracksEndpoint && !leaving {
		s.markStep("announced")
	}
	if s.tracksEndpoint && leaving {
		s.markStep("leaving heard")
	}
}

// stepDispatcher passes an event to a dispatcher and performs its effects.
func (s *requestSimulation) stepDispatcher(entryIndex int, ev dispatch.Event) {
	e := s.entryHosts[entryIndex]
	incarnation := e.incarnation
	for _, effect := range slices.Clone(e.dispatcher.Step(s.now, ev)) {
		if e.incarnation != incarnation || e.roundsDown > 0 {
			return
		}
		switch f := effect.(type) {
		case dispatch.Forward:
			s.forward(entryIndex, f)
		case dispatch.Abort:
			s.schedule(1, func() { s.endAttempt(entryIndex, incarnation, f.ID, f.Attempt, dispatch.AttemptLost) })
		case dispatch.Record:
			s.recordPhase(entryIndex, f)
		case dispatch.Answer:
			s.deliverAnswer(entryIndex, f)
		case dispatch.Probe:
			ep := s.endpoint(f.Endpoint)
			s.schedule(1, func() { s.postEvent(entryIndex, incarnation, dispatch.Probed{Endpoint: f.Endpoint, OK: !ep.isDown}) })
		}
	}
}

func (s *requestSimulation) endpoint(name string) *endpoint {
	for _, ep := range s.endpoints {
		if ep.name == name {
			return ep
		}
	}
	return nil
}

// forward sends an attempt to an endpoint.
func (s *requestSimulation) forward(entryIndex int, f dispatch.Forward) {
	e := s.entryHosts[entryIndex]
	incarnation, c, ep := e.incarnation, e.calls[f.ID], s.endpoint(f.Endpoint)
	s.checker.checkForward(ep.name, ep.leavingSince, s.now)
	// A connection without progress counts as silent.
	s.schedule(silentTimeoutRounds, func() { s.endAttempt(entryIndex, incarnation, f.ID, f.Attempt, dispatch.AttemptSilent) })
	s.sendMessage(entryIndex, true, func() { s.receiveAttempt(entryIndex, incarnation, c, f, ep) })
	if c.isTracked {
		s.markStep("forwarded")
	}
}

// receiveAttempt handles an attempt at an endpoint.
func (s *requestSimulation) receiveAttempt(entryIndex, incarnation int, c *call, f dispatch.Forward, ep *endpoint) {
	if ep.isDown || ep.isStopped {
		s.endAttempt(entryIndex, incarnation, f.ID, f.Attempt, dispatch.AttemptNotSent)
		return
	}
	if ep.inFlight >= ep.slots {
		s.sendMessage(entryIndex, false, func() { s.endAttempt(entryIndex, incarnation, f.ID, f.Attempt, dispatch.AttemptRefused) })
		return
	}
	s.checker.recordExecution(c.id, c.request, c.repeatable)
	ep.inFlight++
	endpointIncarnation, rounds := ep.incarnation, runRounds
	if ep.isSlow {
		rounds = slowRunRounds
	}
	s.schedule(rounds, func() { s.finishAttempt(entryIndex, incarnation, c, f, ep, endpointIncarnation) })
}

// finishAttempt ends an attempt at the endpoint and sends its answer.
func (s *requestSimulation) finishAttempt(entryIndex, incarnation int, c *call, f dispatch.Forward, ep *endpoint, endpointIncarnation uint64) {
	if ep.incarnation != endpointIncarnation || ep.isDown {
		// The endpoint's process ended; the connection was reset.
		s.sendMessage(entryIndex, false, func() { s.endAttempt(entryIndex, incarnation, f.ID, f.Attempt, dispatch.AttemptLost) })
		return
	}
	ep.inFlight--
	if s.silentEndpoint == ep.name {
		return
	}
	outcome := dispatch.AttemptAnswered
	if ep.truncatesBody {
		// The body is shorter than its declared length.
		outcome = dispatch.AttemptLost
	}
	s.sendMessage(entryIndex, false, func() {
		if e := s.entryHosts[entryIndex]; e.incarnation == incarnation && outcome == dispatch.AttemptAnswered {
			e.bodiesByAttempt[[2]uint64{f.ID, uint64(f.Attempt)}] = "answer to " + c.request
		}
		s.endAttempt(entryIndex, incarnation, f.ID, f.Attempt, outcome)
	})
	if c.isTracked {
		s.markStep("answered by the endpoint")
	}
}

// endAttempt reports the end of an attempt to its dispatcher. Later ends of the same
// attempt are ignored.
func (s *requestSimulation) endAttempt(entryIndex, incarnation int, id uint64, attempt int, outcome dispatch.AttemptOutcome) {
	e := s.entryHosts[entryIndex]
	key := [2]uint64{id, uint64(attempt)}
	if e.incarnation != incarnation || e.ended[key] {
		return
	}
	e.ended[key] = true
	s.postEvent(entryIndex, incarnation, dispatch.AttemptFinished{ID: id, Attempt: attempt, Outcome: outcome, RunTime: runRounds * requestRoundTime})
}

// recordPhase has the control replicas record a phase of a request. The entry
// host retries until it has an answer or the timeout is reached.
func (s *requestSimulation) recordPhase(entryIndex int, f dispatch.Record) {
	e := s.entryHosts[entryIndex]
	c := e.calls[f.ID]
	expiry, _ := parseExpiry(c.request)
	rec := state.RequestRecord{
		ID: c.request, Phase: [...]state.RequestPhase{0, state.RequestBegun, state.RequestFinished, state.RequestDidNotRun, state.RequestUnknown}[f.Phase],
		Caller: "caller", Service: serviceName, EntryHost: e.name, Token: fmt.Sprintf("%d-%d", e.incarnation, f.ID), Digest: []byte(c.digest), Expires: expiry,
	}
	if f.Phase == dispatch.RecordFinished {
		rec.Status, rec.Body = 200, []byte(e.bodiesByAttempt[[2]uint64{f.ID, uint64(f.Attempt)}])
	}
	s.tryRecord(entryIndex, e.incarnation, c, f.Phase, rec, s.round)
	if c.isTracked && f.Phase == dispatch.RecordBegin {
		s.markStep("queued")
	}
}

// tryRecord makes one attempt to record a phase. sinceRound is the round of the
// first attempt.
func (s *requestSimulation) tryRecord(entryIndex, incarnation int, c *call, phase dispatch.RecordPhase, rec state.RequestRecord, sinceRound int) {
	e := s.entryHosts[entryIndex]
	done := false
	s.sendMessage(entryIndex, true, func() {
		if s.leaderlessRounds > 0 || s.storageFailed {
			return
		}
		res := s.commit(state.RecordRequests{Origin: s.origin(), Records: []state.RequestRecord{rec}}).Requests[0]
		if s.duplicateMessages {
			s.commit(state.RecordRequests{Origin: s.origin(), Records: []state.RequestRecord{rec}})
		}
		if c.isTracked && phase == dispatch.RecordBegin && res.Err == nil {
			s.markStep("recorded")
		}
		if c.isTracked && phase == dispatch.RecordFinished && res.Err == nil {
			s.markStep("finish recorded")
		}
		if s.leaderlessRounds > 0 {
			return
		}
		s.sendMessage(entryIndex, false, func() {
			if !done && e.incarnation == incarnation {
				done = true
				s.handleRecorded(entryIndex, incarnation, c, phase, res)
			}
		})
	})
	s.schedule(recordRetryRounds, func() {
		switch {
		case done || e.incarnation != incarnation:
		case s.round-sinceRound < recordTimeoutRounds:
			s.tryRecord(entryIndex, incarnation, c, phase, rec, sinceRound)
			done = true
		default:
			done = true
			s.abandonRecord(entryIndex, incarnation, c, phase, rec)
		}
	})
}

// abandonRecord reports a record without an answer as failed. If the phase is
// RecordBegin, it also records that the request did not run, which frees the ID.
func (s *requestSimulation) abandonRecord(entryIndex, incarnation int, c *call, phase dispatch.RecordPhase, rec state.RequestRecord) {
	if phase == dispatch.RecordBegin {
		released := rec
		released.Phase = state.RequestDidNotRun
		s.schedule(1, func() { s.commit(state.RecordRequests{Origin: s.origin(), Records: []state.RequestRecord{released}}) })
	}
	s.postEvent(entryIndex, incarnation, dispatch.Recorded{ID: c.id, Phase: phase, Err: fault.New(fault.Unavailable, "no answer")})
}

// handleRecorded passes the result of a record to the dispatcher.
func (s *requestSimulation) handleRecorded(entryIndex, incarnation int, c *call, phase dispatch.RecordPhase, res state.RequestResult) {
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
		s.entryHosts[entryIndex].recordedBodies[c.id] = string(known.Body)
	}
	s.postEvent(entryIndex, incarnation, ev)
}

// deliverAnswer delivers an answer to the caller, unless the caller is gone.
func (s *requestSimulation) deliverAnswer(entryIndex int, a dispatch.Answer) {
	e := s.entryHosts[entryIndex]
	c := e.calls[a.ID]
	if c.isTracked {
		s.markStep("answered")
	}
	if e.roundsDown > 0 || e.calls[a.ID] != c || c.isCallerGone {
		return
	}
	c.answers++
	c.ran = a.Ran
	if a.Err != nil {
		c.kind = a.Err.Kind
		return
	}
	if c.body = e.bodiesByAttempt[[2]uint64{a.ID, uint64(a.Attempt)}]; a.FromRecord {
		c.body = e.recordedBodies[a.ID]
	}
	c.got = c.body
}

// sendCall sends a call to an entry host.
func (s *requestSimulation) sendCall(entryIndex int, request, digest string, isTracked bool) *call {
	s.nextCall++
	c := &call{observedCall: observedCall{id: s.nextCall, request: request, repeatable: s.repeatable}, entryIndex: entryIndex, digest: digest, sentRound: s.round, isTracked: isTracked}
	s.calls = append(s.calls, c)
	e := s.entryHosts[entryIndex]
	if e.roundsDown > 0 {
		c.isCallerGone = true
		return c
	}
	e.calls[c.id] = c
	if s.repeatable && isTracked {
		s.markStep("queued")
		if e.roundsDown > 0 {
			c.isCallerGone = true
			return c
		}
	}
	s.stepDispatcher(entryIndex, dispatch.Arrived{Request: dispatch.Request{
		ID: c.id, Service: serviceName, Caller: "caller", WorkKind: "quote", Repeatable: s.repeatable, RequestID: request, Deadline: s.now.Add(10 * time.Second),
	}})
	return c
}

func (s *requestSimulation) newID(name string) string {
	return fmt.Sprintf("%d.%s", s.now.Add(requestIDLifetime).UnixMilli(), name)
}

// run sends the tracked request and resends it under its ID until its outcome is
// known or maxCalls is reached, alongside other requests.
func (s *requestSimulation) run() []string {
	id := s.newID("tracked")
	c := s.sendCall(0, id, "body", true)
	for attempt := 1; attempt < maxCalls; attempt++ {
		for s.round-c.sentRound < callerWaitRounds && c.answers == 0 && !c.isCallerGone {
			s.step()
			if s.round%7 == 0 {
				s.sendCall(s.round%2, s.newID(fmt.Sprintf("other-%d", s.round)), "other", false)
			}
		}
		if c.answers > 0 && c.ran != fault.RanUnknown {
			break
		}
		s.advance(10)
		c = s.sendCall(attempt%2, id, "body", false)
	}
	return s.finish()
}

// finish waits for the repair, checks that requests succeed again and returns the
// violations of the run.
func (s *requestSimulation) finish() []string {
	for !s.repairAt.IsZero() {
		s.step()
	}
	s.advance(callerWaitRounds)
	succeeded := 0
	for i := range 10 {
		c := s.sendCall(i%2, s.newID(fmt.Sprintf("last-%d", i)), "last", false)
		s.advance(callerWaitRounds / 2)
		if c.answers == 1 && c.ran == fault.RanYes {
			succeeded++
		}
	}
	if succeeded < 5 {
		s.fail("%d of 10 requests succeed after the repair", succeeded)
	}
	s.advance(callerWaitRounds)
	for _, e := range s.entryHosts {
		if e.dispatcher.OpenRequests() > 0 || len(e.dispatcher.SlotsInUse()) > 0 {
			s.fail("%s has %d open requests and slots %v in use at the end", e.name, e.dispatcher.OpenRequests(), e.dispatcher.SlotsInUse())
		}
	}
	for _, c := range s.calls {
		s.checker.checkCall(c.observedCall, c.isCallerGone)
	}
	return append(s.violations, s.checker.violations...)
}

func (s *requestSimulation) repair() {
	s.clearFaults()
	s.cutEntryHost, s.silentEndpoint = -1, ""
	for _, ep := range s.endpoints {
		if ep.isDown {
			ep.isDown, ep.inFlight = false, 0
			ep.incarnation++
		}
		ep.isSlow, ep.truncatesBody, ep.slots = false, false, 8
	}
	s.finishRepair()
}

func (s *requestSimulation) inject(f faultKind) {
	s.repairAt = s.now.Add(requestRepairTime)
	s.cutEntryHost = 0
	ep := s.endpoints[0]
	switch f {
	case crash:
		s.crashEntry(0)
	case restart:
		s.restartEndpoints(ep)
	case secondFault:
		s.restartEndpoints(ep)
		s.onRepair = append(s.onRepair, func() { s.restartEndpoints(s.endpoints[1]) })
	case rackLost:
		ep.isDown, s.endpoints[1].isDown = true, true
	case zoneLost:
		s.crashEntry(0)
		ep.isDown, s.leaderlessRounds = true, leaderElectionRounds
	case silentConnection:
		s.silentEndpoint = ep.name
	case slowPeer:
		ep.isSlow = true
	case falseSize:
		ep.truncatesBody, ep.slots = true, 1000
	case cancellation:
		s.cancel()
	case twoOperators, resend:
		s.resendTracked(f)
	case clockForward, clockBack, diskFull, syncFailure, diskLost, tornWrite:
		s.injectProcessFault(f, s.startProcess)
	default:
		s.injectMessageFault(f)
	}
}

func (s *requestSimulation) crashEntry(i int) {
	e := s.entryHosts[i]
	if e.roundsDown > 0 {
		return
	}
	for _, c := range e.calls {
		c.isCallerGone = c.isCallerGone || c.answers == 0
	}
	e.incarnation++
	e.roundsDown = 5
}

func (s *requestSimulation) restartEndpoints(list ...*endpoint) {
	for _, ep := range list {
		ep.incarnation++
		ep.inFlight = 0
	}
}

func (s *requestSimulation) cancel() {
	for _, c := range s.calls {
		if c.isTracked && c.answers == 0 && !c.isCallerGone {
			c.isCallerGone = true
			incarnation := s.entryHosts[c.entryIndex].incarnation
			s.schedule(1, func() { s.postEvent(c.entryIndex, incarnation, dispatch.CallerGone{ID: c.id}) })
		}
	}
}

// resendTracked resends the tracked request ID to the other entry host. With a
// different body, the ID is reused by mistake and the call must not get the answer.
func (s *requestSimulation) resendTracked(f faultKind) {
	for _, c := range s.calls {
		if c.isTracked {
			body := "body"
			if f == twoOperators && !s.repeatable {
				body = "another body"
			}
			resent := s.sendCall(1, c.request, body, false)
			resent.hasReusedID = body != "body"
			return
		}
	}
}

func parseExpiry(id string) (time.Time, error) {
	var ms int64
	_, err := fmt.Sscanf(id, "%d.", &ms)
	return time.UnixMilli(ms), err
}

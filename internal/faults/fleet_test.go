package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

const (
	// fleetRepairTime is the time from a fault to its repair.
	fleetRepairTime = 30 * time.Second
	maxFleetRounds  = 2400
	rebootTime      = 20 * time.Second
	// lateWorkTime is how long a draining machine may still receive work.
	lateWorkTime = 3 * time.Second
	// leaderElectionRounds is the time without a leader after one is lost.
	leaderElectionRounds = 3
	hostsPerRack         = 2
)

// machine is the actual state of one host, as its platform knows it.
type machine struct {
	isUp       bool
	bootCount  int
	inFlight   int
	rebootEnds time.Time
	pool       string
	epoch      uint64
	isDraining bool
	// drainOrderedAt is when the machine was ordered to drain.
	drainOrderedAt time.Time
	// isStraggler is set when the machine's work does not finish by itself.
	isStraggler bool
}

func (m *machine) bootID() string { return fmt.Sprintf("boot-%d", m.bootCount) }

// listing is the platform's list of machines at one time.
type listing struct {
	machines []fleet.Machine
	at       time.Time
}

// leader simulates the leading replica from the planners' side. Commands are
// encoded, decoded and applied to one state. Consensus is not simulated here; the
// procedures on a cluster cover it.
type leader struct {
	rng          *rand.Rand
	onEvent      func(string)
	reachedSteps map[string]bool
	st           *state.State
	now          time.Time
	clock        state.Clock
	startedAt    time.Time
	skew         time.Duration
	// leaderlessRounds is the number of rounds left without a leader. outbox holds
	// the planned commands that are not proposed yet, delayed those that are
	// proposed in the next round.
	leaderlessRounds int
	outbox           []state.Command
	delayed          []state.Command
	// Active faults.
	dropReports, dropCalls                                                             bool
	messagesToLose                                                                     int
	duplicateMessages, delayMessages, reorderMessages, storageFailed, connectionSilent bool
	repairAt                                                                           time.Time
	onRepair                                                                           []func()
	violations                                                                         []string
	// operatorRequest is the request that started the procedure, firstResult its
	// result.
	operatorRequest state.Command
	firstResult     state.Result
}

func newLeader(rng *rand.Rand, onEvent func(string)) *leader {
	return &leader{rng: rng, onEvent: onEvent, reachedSteps: map[string]bool{}, st: state.New(), now: epoch}
}

// startProcess starts the leader's process, which reads the wall clock.
func (l *leader) startProcess() {
	l.startedAt, l.clock = l.now, state.NewClock(l.now.Add(l.skew)).AdvanceTo(l.st.Now(), 0)
}

func (l *leader) fail(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *leader) time() time.Time { return l.clock.Now(l.now.Sub(l.startedAt)) }

func (l *leader) origin() state.Origin {
	return state.Origin{Actor: "operator", Time: l.time()}
}

func (l *leader) markStep(step string) {
	if !l.reachedSteps[step] {
		l.reachedSteps[step] = true
		l.onEvent(step)
	}
}

// commit encodes a command, decodes it and applies it.
func (l *leader) commit(cmd state.Command) state.Result {
	data, err := codec.EncodeCommand(cmd)
	must(err)
	cmd, err = codec.DecodeCommand(data)
	must(err)
	before := l.st.Now()
	res := l.st.Apply(l.st.Version()+1, cmd)
	if l.st.Now().Before(before) {
		l.fail("replicated time moved backwards")
	}
	l.clock = l.clock.AdvanceTo(l.st.Now(), l.now.Sub(l.startedAt))
	return res
}

// restoreFromSnapshot replaces the state by one restored from its encoded snapshot.
func (l *leader) restoreFromSnapshot() {
	data, err := codec.EncodeDump(l.st.Dump())
	must(err)
	dump, err := codec.DecodeDump(data)
	must(err)
	l.st = state.Restore(dump)
}

// clearFaults ends the active faults.
func (l *leader) clearFaults() {
	l.repairAt = time.Time{}
	l.dropReports, l.dropCalls, l.messagesToLose, l.duplicateMessages, l.delayMessages, l.reorderMessages, l.storageFailed, l.connectionSilent = false, false, 0, false, false, false, false, false
}

// finishRepair runs the repair actions and reports repairedEvent.
func (l *leader) finishRepair() {
	actions := l.onRepair
	l.onRepair = nil
	for _, action := range actions {
		action()
	}
	l.onEvent(repairedEvent)
}

// injectMessageFault injects a fault between the leader and its platform. It
// reports whether f is such a fault.
func (l *leader) injectMessageFault(f faultKind) bool {
	switch f {
	case partitionIn:
		l.dropReports = true
	case partitionOut:
		l.dropCalls = true
	case partitionBoth:
		l.dropReports, l.dropCalls = true, true
	case messageLost:
		l.messagesToLose += 3
	case messageRepeated:
		l.duplicateMessages = true
	case messageDelayed, slowPeer:
		l.delayMessages = true
	case messagesReordered:
		l.reorderMessages = true
	case silentConnection:
		l.connectionSilent = true
	default:
		return false
	}
	return true
}

// injectProcessFault injects a fault into the leader's process, disk or clock. It
// reports whether f is such a fault. start starts the process.
func (l *leader) injectProcessFault(f faultKind, start func()) bool {
	switch f {
	case crash:
		l.outbox, l.delayed, l.leaderlessRounds = nil, nil, leaderElectionRounds
	case diskFull, syncFailure:
		// The leader's storage rejects every write until another leader takes over at
		// the repair.
		l.storageFailed = true
		l.onRepair = append(l.onRepair, start)
	case tornWrite:
		// Only the first half of the batch was synced before the process ended.
		l.outbox, l.leaderlessRounds = l.outbox[:len(l.outbox)/2], leaderElectionRounds
	case diskLost:
		l.restoreFromSnapshot()
		l.outbox, l.leaderlessRounds = nil, leaderElectionRounds
	case clockForward, clockBack:
		l.skew = clockJump
		if f == clockBack {
			l.skew = -clockJump
		}
		l.onRepair = append(l.onRepair, start)
	default:
		return false
	}
	return true
}

// resendRequest resends the operator's request after its answer was lost. The
// result must be a replay of the first one.
func (l *leader) resendRequest(execute func(state.Command) state.Result) {
	if l.firstResult.Version == 0 {
		l.firstResult = execute(l.operatorRequest)
	}
	if res := execute(l.operatorRequest); !res.Replayed || res.Version != l.firstResult.Version {
		l.fail("resent request returned version %d, want a replay of version %d", res.Version, l.firstResult.Version)
	}
}

// fleetSimulation simulates a leader with the hosts of its platform.
type fleetSimulation struct {
	*leader
	checker  *fleetChecker
	machines map[string]*machine
	names    []string
	planner  *fleet.Planner
	drains   *fleet.DrainTracker
	listings []listing
	// trackedHost is the host whose transitions are the steps of the procedure.
	trackedHost string
	wave        string
}

func newFleetSimulation(rng *rand.Rand, onEvent func(string)) *fleetSimulation {
	s := &fleetSimulation{leader: newLeader(rng, onEvent), checker: newFleetChecker(), machines: map[string]*machine{}}
	s.startLeader()
	for _, name := range []string{"spare", "web"} {
		p := model.New(model.KindPool).(*model.Pool)
		p.Name, p.Spec.Spare = name, name == "spare"
		s.put(p)
	}
	s.addHosts("web", 8)
	s.addHosts("spare", 4)
	s.putBudget("web", 3)
	s.putBudget("spare", 1)
	for range 3 {
		s.runRound()
	}
	return s
}

func (s *fleetSimulation) addHosts(pool string, n int) {
	for i := range n {
		h := model.New(model.KindHost).(*model.Host)
		rack := i / hostsPerRack
		h.Name = fmt.Sprintf("%s-%02d", pool, i)
		h.Spec = model.HostSpec{Pool: pool, Zone: fmt.Sprintf("zone-%d", rack%3), Rack: fmt.Sprintf("rack-%d", rack), Cores: 32, MemoryMB: 64 << 10}
		s.put(h)
		s.names = append(s.names, h.Name)
		s.machines[h.Name] = &machine{isUp: true, bootCount: 1, pool: pool, epoch: 1}
	}
}

func (s *fleetSimulation) putBudget(pool string, minHealthy int) {
	b := model.New(model.KindBudget).(*model.Budget)
	b.Name = pool
	b.Spec = model.BudgetSpec{Pool: pool, MinHealthy: minHealthy, MaxPlannedStops: 2, SurviveZone: pool == "web", SurviveRack: true}
	s.put(b)
}

func (s *fleetSimulation) put(obj model.Object) {
	if res := s.execute(state.Put{Origin: s.origin(), Object: obj, Expected: state.AnyVersion}); res.Err != nil {
		s.fail("%v", res.Err)
	}
}

// startLeader starts the leader's process with a new planner and drain tracker.
func (s *fleetSimulation) startLeader() {
	s.planner, s.drains = fleet.NewPlanner(nil), fleet.NewDrainTracker()
	s.startProcess()
}

func (s *fleetSimulation) host(name string) *model.Host {
	return s.st.Get(model.Key{Kind: model.KindHost, Name: name}).(*model.Host)
}

// execute commits a command and checks the states before and after it. A Tick is
// committed without the check.
func (s *fleetSimulation) execute(cmd state.Command) state.Result {
	if _, ok := cmd.(state.Tick); ok {
		return s.commit(cmd)
	}
	before := s.st.Snapshot()
	res := s.commit(cmd)
	after := s.st.Snapshot()
	s.checker.checkCommand(newFleetView(before), newFleetView(after))
	s.markHostStep(before, after)
	return res
}

// markHostStep marks the transitions of the tracked host.
func (s *fleetSimulation) markHostStep(before, after *state.Snapshot) {
	old, _ := before.Get(model.Key{Kind: model.KindHost, Name: s.trackedHost}).(*model.Host)
	host, _ := after.Get(model.Key{Kind: model.KindHost, Name: s.trackedHost}).(*model.Host)
	if old == nil || host == nil {
		return
	}
	if old.Spec.Pool != host.Spec.Pool {
		s.markStep("switched")
	} else if old.Status.Phase != host.Status.Phase {
		s.markStep(string(host.Status.Phase))
	}
}

// runRound runs one round, which lasts one second.
func (s *fleetSimulation) runRound() {
	s.now = s.now.Add(time.Second)
	if !s.repairAt.IsZero() && !s.now.Before(s.repairAt) {
		s.repair()
	}
	s.updateWork()
	s.recordListing()
	if s.leaderlessRounds > 0 {
		if s.leaderlessRounds--; s.leaderlessRounds == 0 {
			s.startLeader()
		}
		return
	}
	s.report()
	s.plan()
	s.sendActions()
	s.checker.checkMachines(s.machines)
}

// updateWork lets machines boot, receive work and finish it. A machine that was
// ordered to drain may receive work from a partitioned entry host for 3 s.
func (s *fleetSimulation) updateWork() {
	for _, name := range s.names {
		m := s.machines[name]
		if !m.rebootEnds.IsZero() && !s.now.Before(m.rebootEnds) {
			m.isUp, m.rebootEnds, m.inFlight = true, time.Time{}, 0
			m.bootCount++
		}
		switch {
		case !m.isUp:
			m.inFlight = 0
		case !m.isDraining:
			m.inFlight = s.rng.IntN(3)
		case s.now.Sub(m.drainOrderedAt) < lateWorkTime:
			m.inFlight = s.rng.IntN(2)
		case m.inFlight > 0 && !m.isStraggler:
			m.inFlight--
		}
	}
}

// recordListing records the platform's current listing and keeps the last 8.
func (s *fleetSimulation) recordListing() {
	l := listing{at: s.time()}
	for _, name := range s.names {
		m := s.machines[name]
		health := model.HealthHealthy
		if !m.isUp {
			health = model.HealthUnhealthy
		}
		l.machines = append(l.machines, fleet.Machine{
			HostObservation: state.HostObservation{Host: name, Health: health, InFlight: m.inFlight, BootID: m.bootID(), Observed: l.at},
			Epoch:           m.epoch, Pool: m.pool, Draining: m.isDraining,
		})
	}
	s.listings = append(s.listings, l)
	if len(s.listings) > 8 {
		s.listings = s.listings[1:]
	}
}

// deliveredListings returns the listings that reach the leader, in the order of
// arrival.
func (s *fleetSimulation) deliveredListings() []listing {
	last := len(s.listings) - 1
	switch {
	case s.dropReports || s.connectionSilent:
		return nil
	case s.messagesToLose > 0:
		s.messagesToLose--
		return nil
	case s.delayMessages:
		return s.listings[max(0, last-5) : max(0, last-5)+1]
	case s.duplicateMessages:
		return []listing{s.listings[last], s.listings[last]}
	case s.reorderMessages:
		return []listing{s.listings[last], s.listings[max(0, last-1)]}
	}
	return s.listings[last:]
}

func (s *fleetSimulation) report() {
	for _, l := range s.deliveredListings() {
		snap := s.st.Snapshot()
		if r, ok := fleet.Report(snap, s.drains.Observations(snap, l.machines), s.time()); ok {
			s.execute(r)
		}
	}
	if s.time().Sub(s.st.Now()) >= time.Second {
		s.execute(state.Tick{Origin: s.origin()})
	}
}

// plan runs the planner and proposes its commands. Delayed commands are proposed
// in the next round.
func (s *fleetSimulation) plan() {
	s.planner.Sync(s.st.Snapshot())
	in := fleet.Input{StillDraining: fleet.StillDraining(s.st.Snapshot(), s.listings[len(s.listings)-1].machines)}
	s.outbox = s.planner.Plan(in, s.time()).Commands
	due := s.delayed
	s.delayed = nil
	if s.reorderMessages {
		slices.Reverse(s.outbox)
	}
	if s.delayMessages {
		s.delayed, s.outbox = s.outbox, nil
	}
	s.outbox = append(due, s.outbox...)
	for len(s.outbox) > 0 {
		cmd := s.outbox[0]
		s.outbox = s.outbox[1:]
		s.markAskedStep(cmd)
		if s.storageFailed {
			continue
		}
		s.execute(cmd)
		if s.duplicateMessages {
			s.execute(cmd)
		}
	}
}

// markAskedStep tracks the first host that the wave asks to drain.
func (s *fleetSimulation) markAskedStep(cmd state.Command) {
	if c, ok := cmd.(state.HostStep); ok && s.wave != "" && s.trackedHost == "" && c.To == model.HostDraining {
		s.trackedHost = c.Host
		s.markStep("asked")
	}
}

// sendActions sends the actions that the state requires to the platform.
func (s *fleetSimulation) sendActions() {
	if s.dropCalls || s.connectionSilent {
		return
	}
	actions := fleet.Actions(s.st.Snapshot(), s.listings[len(s.listings)-1].machines)
	for _, a := range actions {
		if s.messagesToLose > 0 {
			s.messagesToLose--
			continue
		}
		s.executeAction(a)
		if s.duplicateMessages {
			s.executeAction(a)
		}
	}
}

// executeAction simulates the platform executing an action. It ignores an action
// with an old epoch and a reboot with an old boot ID.
func (s *fleetSimulation) executeAction(a fleet.Action) {
	m := s.machines[a.Host]
	if a.Epoch < m.epoch || a.Kind == fleet.ActionReboot && a.BootID != m.bootID() {
		return
	}
	switch a.Kind {
	case fleet.ActionServe:
		if a.Pool != m.pool {
			s.checker.checkMove(a.Host, m.inFlight, m.epoch, a.Epoch)
		}
		m.pool, m.isDraining, m.isStraggler = a.Pool, false, false
		if a.Host == s.trackedHost && a.Epoch > m.epoch {
			m.epoch = a.Epoch
			s.markStep("serving")
		}
	case fleet.ActionDrain:
		if !m.isDraining || a.Epoch > m.epoch {
			m.drainOrderedAt = s.now
		}
		m.isDraining = true
	case fleet.ActionCheckpoint:
		m.inFlight = 0
	case fleet.ActionReboot:
		if !m.rebootEnds.IsZero() {
			return
		}
		s.checker.checkReboot(a.Host, m.inFlight)
		m.isUp, m.isDraining, m.inFlight, m.rebootEnds = false, true, 0, s.now.Add(rebootTime)
	}
	m.epoch = a.Epoch
}

func (s *fleetSimulation) repair() {
	s.clearFaults()
	for _, name := range s.names {
		if m := s.machines[name]; m.rebootEnds.IsZero() {
			m.isUp = true
		}
	}
	s.finishRepair()
}

func (s *fleetSimulation) runUntil(done func() bool) bool {
	for range maxFleetRounds {
		if done() && s.repairAt.IsZero() {
			return true
		}
		s.runRound()
		s.cancelOperatorDrains()
	}
	return false
}

// cancelOperatorDrains cancels completed drains of operators, which only an
// operator ends.
func (s *fleetSimulation) cancelOperatorDrains() {
	for _, name := range s.names {
		h := s.host(name)
		if stop := h.Status.Stop; stop != nil && h.Status.Phase == model.HostDrained && stop.Action == model.StopDrain && stop.Wave == "" {
			s.execute(state.HostStep{Origin: s.origin(), Host: name, Expected: h.Version, Cancel: true})
		}
	}
}

// isConverged reports whether no host is stopped and each machine matches the
// state.
func (s *fleetSimulation) isConverged() bool {
	for _, name := range s.names {
		h, m := s.host(name), s.machines[name]
		if h.Status.Stop != nil || m.isDraining || m.pool != h.Spec.Pool || m.epoch != h.Status.Epoch || !m.isUp {
			return false
		}
	}
	return true
}

func (s *fleetSimulation) finish() []string {
	return append(s.violations, s.checker.violations...)
}

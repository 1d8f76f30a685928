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
	fleetRepair  = 30 * time.Second
	fleetRounds  = 2400
	rebootTime   = 20 * time.Second
	lateWork     = 3 * time.Second
	leaderPause  = 3
	hostsPerRack = 2
)

// machine is the true condition of one host, as its platform knows it.
type machine struct {
	up       bool
	boot     int
	inFlight int
	backAt   time.Time
	pool     string
	epoch    uint64
	draining bool
	// toldAt is when the machine was told to drain.
	toldAt time.Time
	// isStraggler keeps the work from ending by itself.
	isStraggler bool
}

func (m *machine) bootID() string { return fmt.Sprintf("boot-%d", m.boot) }

type sample struct {
	machines []fleet.Machine
	at       time.Time
}

// leader is the leading replica as planners see it. Commands pass through the
// stored form into one state; what consensus does with them is the subject of
// the flows on a cluster.
type leader struct {
	rng   *rand.Rand
	reach func(string)
	seen  map[string]bool
	st    *state.State
	now   time.Time
	clock state.Clock
	began time.Time
	skew  time.Duration
	// pause is the number of rounds without a leader; outbox is what the leader
	// has decided and not proposed yet.
	pause  int
	outbox []state.Command
	held   []state.Command
	// Faults in force.
	noReports, noCalls                   bool
	lose                                 int
	twice, late, shuffle, refuse, silent bool
	repairAt                             time.Time
	onRepair                             []func()
	found                                []string
	request                              state.Command
	first                                state.Result
}

func newLeader(rng *rand.Rand, reach func(string)) *leader {
	return &leader{rng: rng, reach: reach, seen: map[string]bool{}, st: state.New(), now: epoch}
}

// boot starts the leader's process.
func (l *leader) boot() {
	l.began, l.clock = l.now, state.NewClock(l.now.Add(l.skew)).AdvanceTo(l.st.Now(), 0)
}

func (l *leader) fail(format string, args ...any) {
	l.found = append(l.found, fmt.Sprintf(format, args...))
}

func (l *leader) time() time.Time { return l.clock.Now(l.now.Sub(l.began)) }

func (l *leader) origin() state.Origin {
	return state.Origin{Actor: "operator", Time: l.time()}
}

func (l *leader) mark(step string) {
	if !l.seen[step] {
		l.seen[step] = true
		l.reach(step)
	}
}

// commit applies one command in its stored form.
func (l *leader) commit(cmd state.Command) state.Result {
	data, err := codec.EncodeCommand(cmd)
	must(err)
	cmd, err = codec.DecodeCommand(data)
	must(err)
	before := l.st.Now()
	res := l.st.Apply(l.st.Version()+1, cmd)
	if l.st.Now().Before(before) {
		l.fail("replicated time goes back")
	}
	l.clock = l.clock.AdvanceTo(l.st.Now(), l.now.Sub(l.began))
	return res
}

// restoreState has the next leader start from a snapshot in its stored form.
func (l *leader) restoreState() {
	data, err := codec.EncodeDump(l.st.Dump())
	must(err)
	dump, err := codec.DecodeDump(data)
	must(err)
	l.st = state.Restore(dump)
}

// heal ends the faults in force.
func (l *leader) heal() {
	l.repairAt = time.Time{}
	l.noReports, l.noCalls, l.lose, l.twice, l.late, l.shuffle, l.refuse, l.silent = false, false, 0, false, false, false, false, false
}

func (l *leader) healed() {
	actions := l.onRepair
	l.onRepair = nil
	for _, action := range actions {
		action()
	}
	l.reach(repairedEvent)
}

// injectMessages injects a fault between the leader and its platform and tells
// whether f is one.
func (l *leader) injectMessages(f injection) bool {
	switch f {
	case partitionIn:
		l.noReports = true
	case partitionOut:
		l.noCalls = true
	case partitionBoth:
		l.noReports, l.noCalls = true, true
	case messageLost:
		l.lose += 3
	case messageTwice:
		l.twice = true
	case messageLate, slowPeer:
		l.late = true
	case messageOrder:
		l.shuffle = true
	case silentConn:
		l.silent = true
	default:
		return false
	}
	return true
}

// injectProcess injects a fault of the leader's process or disk and tells
// whether f is one; start starts the process.
func (l *leader) injectProcess(f injection, start func()) bool {
	switch f {
	case crash:
		l.outbox, l.held, l.pause = nil, nil, leaderPause
	case diskFull, syncFails:
		// The leader's storage refuses everything until another one leads.
		l.refuse = true
		l.onRepair = append(l.onRepair, start)
	case tornWrite:
		// The first half of a batch was synced before the process ended.
		l.outbox, l.pause = l.outbox[:len(l.outbox)/2], leaderPause
	case diskLost:
		l.restoreState()
		l.outbox, l.pause = nil, leaderPause
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

// again sends the operator's request once more after its answer was lost.
func (l *leader) again(do func(state.Command) state.Result) {
	if l.first.Version == 0 {
		l.first = do(l.request)
	}
	if res := do(l.request); !res.Replayed || res.Version != l.first.Version {
		l.fail("a request that is sent again has version %d, it had %d", res.Version, l.first.Version)
	}
}

// fleetScene is a leader with the hosts of its platform.
type fleetScene struct {
	*leader
	judge    *fleetJudge
	machines map[string]*machine
	names    []string
	planner  *fleet.Planner
	drains   *fleet.DrainTracker
	samples  []sample
	tracked  string
	wave     string
}

func newFleetScene(rng *rand.Rand, reach func(string)) *fleetScene {
	s := &fleetScene{leader: newLeader(rng, reach), judge: newFleetJudge(), machines: map[string]*machine{}}
	s.lead()
	for _, name := range []string{"spare", "web"} {
		p := model.New(model.KindPool).(*model.Pool)
		p.Name, p.Spec.Spare = name, name == "spare"
		s.put(p)
	}
	s.addHosts("web", 8)
	s.addHosts("spare", 4)
	s.budget("web", 3)
	s.budget("spare", 1)
	for range 3 {
		s.round()
	}
	return s
}

func (s *fleetScene) addHosts(pool string, n int) {
	for i := range n {
		h := model.New(model.KindHost).(*model.Host)
		rack := i / hostsPerRack
		h.Name = fmt.Sprintf("%s-%02d", pool, i)
		h.Spec = model.HostSpec{Pool: pool, Zone: fmt.Sprintf("zone-%d", rack%3), Rack: fmt.Sprintf("rack-%d", rack), Cores: 32, MemoryMB: 64 << 10}
		s.put(h)
		s.names = append(s.names, h.Name)
		s.machines[h.Name] = &machine{up: true, boot: 1, pool: pool, epoch: 1}
	}
}

func (s *fleetScene) budget(pool string, minHealthy int) {
	b := model.New(model.KindBudget).(*model.Budget)
	b.Name = pool
	b.Spec = model.BudgetSpec{Pool: pool, MinHealthy: minHealthy, MaxPlannedStops: 2, SurviveZone: pool == "web", SurviveRack: true}
	s.put(b)
}

func (s *fleetScene) put(obj model.Object) {
	if res := s.do(state.Put{Origin: s.origin(), Object: obj, Expected: state.AnyVersion}); res.Err != nil {
		s.fail("%v", res.Err)
	}
}

// lead starts the leader's process with an empty memory.
func (s *fleetScene) lead() {
	s.planner, s.drains = fleet.NewPlanner(nil), fleet.NewDrainTracker()
	s.boot()
}

func (s *fleetScene) host(name string) *model.Host {
	return s.st.Get(model.Key{Kind: model.KindHost, Name: name}).(*model.Host)
}

// do commits one command in its stored form and has the judge look at it.
func (s *fleetScene) do(cmd state.Command) state.Result {
	if _, ok := cmd.(state.Tick); ok {
		return s.commit(cmd)
	}
	before := s.st.Snapshot()
	res := s.commit(cmd)
	after := s.st.Snapshot()
	s.judge.command(shadowOf(before), shadowOf(after))
	s.markHost(before, after)
	return res
}

// markHost marks the transitions of the tracked host.
func (s *fleetScene) markHost(before, after *state.Snapshot) {
	old, _ := before.Get(model.Key{Kind: model.KindHost, Name: s.tracked}).(*model.Host)
	host, _ := after.Get(model.Key{Kind: model.KindHost, Name: s.tracked}).(*model.Host)
	if old == nil || host == nil {
		return
	}
	if old.Spec.Pool != host.Spec.Pool {
		s.mark("switched")
	} else if old.Status.Phase != host.Status.Phase {
		s.mark(string(host.Status.Phase))
	}
}

// round is one second.
func (s *fleetScene) round() {
	s.now = s.now.Add(time.Second)
	if !s.repairAt.IsZero() && !s.now.Before(s.repairAt) {
		s.repair()
	}
	s.work()
	s.sample()
	if s.pause > 0 {
		if s.pause--; s.pause == 0 {
			s.lead()
		}
		return
	}
	s.report()
	s.decide()
	s.act()
	s.judge.truth(s.machines)
}

// work lets machines boot, take work and finish it. A machine that was told to
// drain may get work from a partitioned entry host for 3 s.
func (s *fleetScene) work() {
	for _, name := range s.names {
		m := s.machines[name]
		if !m.backAt.IsZero() && !s.now.Before(m.backAt) {
			m.up, m.backAt, m.inFlight = true, time.Time{}, 0
			m.boot++
		}
		switch {
		case !m.up:
			m.inFlight = 0
		case !m.draining:
			m.inFlight = s.rng.IntN(3)
		case s.now.Sub(m.toldAt) < lateWork:
			m.inFlight = s.rng.IntN(2)
		case m.inFlight > 0 && !m.isStraggler:
			m.inFlight--
		}
	}
}

func (s *fleetScene) sample() {
	smp := sample{at: s.time()}
	for _, name := range s.names {
		m := s.machines[name]
		health := model.HealthHealthy
		if !m.up {
			health = model.HealthUnhealthy
		}
		smp.machines = append(smp.machines, fleet.Machine{
			HostObservation: state.HostObservation{Host: name, Health: health, InFlight: m.inFlight, BootID: m.bootID(), Observed: smp.at},
			Epoch:           m.epoch, Pool: m.pool, Draining: m.draining,
		})
	}
	s.samples = append(s.samples, smp)
	if len(s.samples) > 8 {
		s.samples = s.samples[1:]
	}
}

// listings returns what reaches the leader, in the order of arrival.
func (s *fleetScene) listings() []sample {
	last := len(s.samples) - 1
	switch {
	case s.noReports || s.silent:
		return nil
	case s.lose > 0:
		s.lose--
		return nil
	case s.late:
		return s.samples[max(0, last-5) : max(0, last-5)+1]
	case s.twice:
		return []sample{s.samples[last], s.samples[last]}
	case s.shuffle:
		return []sample{s.samples[last], s.samples[max(0, last-1)]}
	}
	return s.samples[last:]
}

func (s *fleetScene) report() {
	for _, smp := range s.listings() {
		snap := s.st.Snapshot()
		if r, ok := fleet.Report(snap, s.drains.Observations(snap, smp.machines), s.time()); ok {
			s.do(r)
		}
	}
	if s.time().Sub(s.st.Now()) >= time.Second {
		s.do(state.Tick{Origin: s.origin()})
	}
}

// decide plans and proposes. Commands that are held arrive later.
func (s *fleetScene) decide() {
	s.planner.Sync(s.st.Snapshot())
	in := fleet.Input{StillDraining: fleet.StillDraining(s.st.Snapshot(), s.samples[len(s.samples)-1].machines)}
	s.outbox = s.planner.Plan(in, s.time()).Commands
	due := s.held
	s.held = nil
	if s.shuffle {
		slices.Reverse(s.outbox)
	}
	if s.late {
		s.held, s.outbox = s.outbox, nil
	}
	s.outbox = append(due, s.outbox...)
	for len(s.outbox) > 0 {
		cmd := s.outbox[0]
		s.outbox = s.outbox[1:]
		s.markAsked(cmd)
		if s.refuse {
			continue
		}
		s.do(cmd)
		if s.twice {
			s.do(cmd)
		}
	}
}

// markAsked tracks the first host that the wave asks for.
func (s *fleetScene) markAsked(cmd state.Command) {
	if c, ok := cmd.(state.HostStep); ok && s.wave != "" && s.tracked == "" && c.To == model.HostDraining {
		s.tracked = c.Host
		s.mark("asked")
	}
}

func (s *fleetScene) act() {
	if s.noCalls || s.silent {
		return
	}
	actions := fleet.Actions(s.st.Snapshot(), s.samples[len(s.samples)-1].machines)
	for _, a := range actions {
		if s.lose > 0 {
			s.lose--
			continue
		}
		s.call(a)
		if s.twice {
			s.call(a)
		}
	}
}

// call is the platform carrying out one action.
func (s *fleetScene) call(a fleet.Action) {
	m := s.machines[a.Host]
	if a.Epoch < m.epoch || a.Kind == fleet.ActionReboot && a.BootID != m.bootID() {
		return
	}
	switch a.Kind {
	case fleet.ActionServe:
		if a.Pool != m.pool {
			s.judge.moved(a.Host, m.inFlight, m.epoch, a.Epoch)
		}
		m.pool, m.draining, m.isStraggler = a.Pool, false, false
		if a.Host == s.tracked && a.Epoch > m.epoch {
			m.epoch = a.Epoch
			s.mark("serving")
		}
	case fleet.ActionDrain:
		if !m.draining || a.Epoch > m.epoch {
			m.toldAt = s.now
		}
		m.draining = true
	case fleet.ActionCheckpoint:
		m.inFlight = 0
	case fleet.ActionReboot:
		if !m.backAt.IsZero() {
			return
		}
		s.judge.rebooted(a.Host, m.inFlight)
		m.up, m.draining, m.inFlight, m.backAt = false, true, 0, s.now.Add(rebootTime)
	}
	m.epoch = a.Epoch
}

func (s *fleetScene) repair() {
	s.heal()
	for _, name := range s.names {
		if m := s.machines[name]; m.backAt.IsZero() {
			m.up = true
		}
	}
	s.healed()
}

func (s *fleetScene) until(done func() bool) bool {
	for range fleetRounds {
		if done() && s.repairAt.IsZero() {
			return true
		}
		s.round()
		s.releaseDrained()
	}
	return false
}

// releaseDrained has operators cancel their own drains, which only they end.
func (s *fleetScene) releaseDrained() {
	for _, name := range s.names {
		h := s.host(name)
		if stop := h.Status.Stop; stop != nil && h.Status.Phase == model.HostDrained && stop.Action == model.StopDrain && stop.Wave == "" {
			s.do(state.HostStep{Origin: s.origin(), Host: name, Expected: h.Version, Cancel: true})
		}
	}
}

// isCalm tells whether no host is stopped and the platform agrees.
func (s *fleetScene) isCalm() bool {
	for _, name := range s.names {
		h, m := s.host(name), s.machines[name]
		if h.Status.Stop != nil || m.draining || m.pool != h.Spec.Pool || m.epoch != h.Status.Epoch || !m.up {
			return false
		}
	}
	return true
}

func (s *fleetScene) finish() []string {
	return append(s.found, s.judge.found...)
}

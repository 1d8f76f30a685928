package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

var ledgerStart = time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)

// site applies commands to a state at a time that the test sets.
type site struct {
	t   *testing.T
	s   *State
	now time.Time
}

func newSite(t *testing.T) *site { return &site{t: t, s: New(), now: ledgerStart} }

func (x *site) origin() Origin { return Origin{Actor: "test", Time: x.now} }

func (x *site) apply(cmd Command) Result { return x.s.Apply(x.s.Version()+1, cmd) }

func (x *site) put(obj model.Object) {
	x.t.Helper()
	require.Nil(x.t, x.apply(Put{Origin: x.origin(), Object: obj, Expected: AnyVersion}).Err)
}

func (x *site) pool(name string, change func(*model.PoolSpec)) {
	x.t.Helper()
	p := model.New(model.KindPool).(*model.Pool)
	p.Name = name
	if change != nil {
		change(&p.Spec)
	}
	x.put(p)
}

func (x *site) budget(pool string, spec model.BudgetSpec) {
	x.t.Helper()
	b := model.New(model.KindBudget).(*model.Budget)
	b.Name, b.Spec = pool, spec
	b.Spec.Pool = pool
	x.put(b)
}

// hosts puts n hosts with two in each rack and three zones in turn by rack.
func (x *site) hosts(pool string, n int) {
	x.t.Helper()
	for i := range n {
		h := model.New(model.KindHost).(*model.Host)
		h.Name = fmt.Sprintf("%s-%d", pool, i)
		h.Spec = model.HostSpec{Pool: pool, Zone: fmt.Sprintf("zone-%d", i/2%3), Rack: fmt.Sprintf("rack-%d", i/2), Cores: 32, MemoryMB: 64 << 10}
		x.put(h)
		x.report(h.Name, model.HealthHealthy, 0, "boot-1")
	}
}

func (x *site) report(host string, health model.Health, inFlight int, boot string) {
	x.apply(HostReport{Origin: x.origin(), Hosts: []HostObservation{{Host: host, Health: health, InFlight: inFlight, BootID: boot, Observed: x.now}}})
}

func (x *site) mark(pool string, base uint64) {
	x.apply(HostReport{Origin: x.origin(), Marks: []PoolMark{{Pool: pool, Observed: x.now, Base: base}}})
}

func (x *site) host(name string) *model.Host {
	return x.s.Get(model.Key{Kind: model.KindHost, Name: name}).(*model.Host)
}

func (x *site) step(host string, change func(*HostStep)) *fault.Error {
	c := HostStep{Origin: x.origin(), Host: host, Expected: x.host(host).Version}
	change(&c)
	return x.apply(c).Err
}

func (x *site) stop(host string, action model.StopAction, target string) *fault.Error {
	return x.step(host, func(c *HostStep) {
		c.To = model.HostDraining
		c.Stop = &model.PlannedStop{Action: action, TargetPool: target}
	})
}

func (x *site) to(host string, phase model.HostPhase) *fault.Error {
	return x.step(host, func(c *HostStep) { c.To = phase })
}

// drained takes a host through a drain that finishes at once.
func (x *site) drained(host string) {
	x.t.Helper()
	x.now = x.now.Add(DrainSettleTime)
	x.report(host, model.HealthHealthy, 0, "boot-1")
	require.Nil(x.t, x.to(host, model.HostDrained))
}

func requireReason(t *testing.T, err *fault.Error, reason model.Reason) {
	t.Helper()
	require.NotNil(t, err)
	require.Equal(t, fault.BudgetBlocked, err.Kind)
	require.Equal(t, string(reason), err.Reason, err.Message)
}

// Guards against a planned stop that takes a pool below its budget, and against
// a refusal that names the wrong rule.
func TestPlannedStopIsCheckedAgainstBudget(t *testing.T) {
	tests := []struct {
		name   string
		hosts  int
		budget model.BudgetSpec
		before func(*site)
		reason model.Reason
	}{
		{"enough hosts", 6, model.BudgetSpec{MinHealthy: 5, MaxPlannedStops: 1}, nil, ""},
		{"minimum reached", 6, model.BudgetSpec{MinHealthy: 6, MaxPlannedStops: 1}, nil, model.ReasonBudget},
		{"planned stops used up", 6, model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 1}, func(x *site) {
			require.Nil(x.t, x.stop("a-1", model.StopDrain, ""))
		}, model.ReasonBudget},
		{"failures broke the budget", 6, model.BudgetSpec{MinHealthy: 6, MaxPlannedStops: 1}, func(x *site) {
			x.report("a-1", model.HealthUnhealthy, 0, "boot-1")
		}, model.ReasonBudgetBroken},
		{"unknown health", 6, model.BudgetSpec{MinHealthy: 5, MaxPlannedStops: 1}, func(x *site) {
			x.report("a-1", model.HealthUnknown, 0, "boot-1")
		}, model.ReasonBudget},
		{"rack loss survived", 8, model.BudgetSpec{MinHealthy: 5, MaxPlannedStops: 2, SurviveRack: true}, nil, ""},
		{"rack loss not survived", 8, model.BudgetSpec{MinHealthy: 6, MaxPlannedStops: 2, SurviveRack: true}, nil, model.ReasonRackSurvival},
		{"zone loss survived", 12, model.BudgetSpec{MinHealthy: 7, MaxPlannedStops: 2, SurviveZone: true}, nil, ""},
		{"zone loss not survived", 12, model.BudgetSpec{MinHealthy: 8, MaxPlannedStops: 2, SurviveZone: true}, nil, model.ReasonZoneSurvival},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newSite(t)
			x.pool("a", nil)
			x.hosts("a", test.hosts)
			x.budget("a", test.budget)
			if test.before != nil {
				test.before(x)
			}
			err := x.stop("a-0", model.StopReboot, "")
			if test.reason == "" {
				require.Nil(t, err)
				return
			}
			requireReason(t, err, test.reason)
			require.Equal(t, model.HostActive, x.host("a-0").Status.Phase)
		})
	}
}

// Guards against a planned stop in a pool whose needs nobody declared.
func TestPoolWithoutBudgetRefusesPlannedStops(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.hosts("a", 6)
	requireReason(t, x.stop("a-0", model.StopReboot, ""), model.ReasonNoBudget)
}

// Guards against one of two budgets of a pool being ignored: the second one is
// refused.
func TestPoolHasOneBudget(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.hosts("a", 6)
	x.budget("a", model.BudgetSpec{MinHealthy: 6, MaxPlannedStops: 3})
	b := model.New(model.KindBudget).(*model.Budget)
	b.Name, b.Spec = "lenient", model.BudgetSpec{Pool: "a", MinHealthy: 1, MaxPlannedStops: 3}
	err := x.apply(Put{Origin: x.origin(), Object: b, Expected: AnyVersion}).Err
	require.NotNil(t, err)
	require.Equal(t, fault.Invalid, err.Kind)
	requireReason(t, x.stop("a-0", model.StopReboot, ""), model.ReasonBudget)
}

// Guards against old reports that count as healthy capacity, at the bound.
func TestStaleHealthCountsAsUnavailable(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.hosts("a", 6)
	x.budget("a", model.BudgetSpec{MinHealthy: 5, MaxPlannedStops: 6})
	x.now = ledgerStart.Add(MaxHealthAge + time.Millisecond)
	requireReason(t, x.stop("a-0", model.StopReboot, ""), model.ReasonBudgetBroken)
	x.mark("a", x.s.Version())
	x.now = x.now.Add(MaxHealthAge)
	require.Nil(t, x.stop("a-0", model.StopReboot, ""))
}

// Guards against a listing of an earlier leader that covers a change which the
// listing does not know.
func TestMarkOfAnOlderListingIsDropped(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.hosts("a", 6)
	x.budget("a", model.BudgetSpec{MinHealthy: 5, MaxPlannedStops: 6})
	x.report("a-1", model.HealthUnhealthy, 0, "boot-1")
	base := x.s.Version()
	x.report("a-1", model.HealthHealthy, 0, "boot-1")
	x.now = ledgerStart.Add(MaxHealthAge + time.Second)
	x.mark("a", base)
	requireReason(t, x.stop("a-0", model.StopReboot, ""), model.ReasonBudgetBroken)
}

// Guards against a mark that refuses the next change of an operator.
func TestMarkKeepsTheVersionOfThePool(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	pool := x.s.Get(model.Key{Kind: model.KindPool, Name: "a"}).(*model.Pool)
	x.mark("a", x.s.Version())
	marked := x.s.Get(pool.Key()).(*model.Pool)
	require.Equal(t, pool.Version, marked.Version)
	require.Equal(t, x.now, marked.Status.Reported)
	require.Zero(t, pool.Status.Reported)
}

// Guards against a clock that runs ahead and keeps a host healthy.
func TestReportFromTheFutureIsTakenAsNow(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.hosts("a", 1)
	x.apply(HostReport{Origin: x.origin(), Hosts: []HostObservation{{Host: "a-0", Health: model.HealthHealthy, BootID: "boot-1", Observed: x.now.Add(time.Hour)}}})
	require.Equal(t, x.now, x.host("a-0").Status.LastReport)
}

// Guards against two planners or operators with the same snapshot that both
// get the last planned stop.
func TestRacingStopsTakeOneFromTheLedger(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.hosts("a", 5)
	x.budget("a", model.BudgetSpec{MinHealthy: 4, MaxPlannedStops: 2})
	first, second := x.host("a-0").Version, x.host("a-1").Version
	stop := &model.PlannedStop{Action: model.StopReboot}
	require.Nil(t, x.apply(HostStep{Origin: x.origin(), Host: "a-0", Expected: first, To: model.HostDraining, Stop: stop}).Err)
	requireReason(t, x.apply(HostStep{Origin: x.origin(), Host: "a-1", Expected: second, To: model.HostDraining, Stop: stop}).Err, model.ReasonBudget)
	again := x.apply(HostStep{Origin: x.origin(), Host: "a-0", Expected: first, To: model.HostDraining, Stop: stop})
	require.Equal(t, fault.Conflict, again.Err.Kind)
}

// Guards against a lifecycle that skips a step or interrupts work in flight.
func TestRebootTakesEveryStep(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.hosts("a", 3)
	x.budget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 1})
	require.Equal(t, fault.Conflict, x.to("a-0", model.HostDrained).Kind)
	require.Nil(t, x.stop("a-0", model.StopReboot, ""))
	requireReason(t, x.to("a-0", model.HostDrained), model.ReasonWorkInFlight)
	x.now = x.now.Add(DrainSettleTime)
	x.report("a-0", model.HealthHealthy, 2, "boot-1")
	requireReason(t, x.to("a-0", model.HostDrained), model.ReasonWorkInFlight)
	x.report("a-0", model.HealthHealthy, 0, "boot-1")
	require.Nil(t, x.to("a-0", model.HostDrained))
	require.Equal(t, fault.Conflict, x.to("a-0", model.HostActive).Kind)
	require.Nil(t, x.to("a-0", model.HostRebooting))
	requireReason(t, x.to("a-0", model.HostReturning), model.ReasonRebooting)
	x.report("a-0", model.HealthUnhealthy, 0, "boot-2")
	require.Nil(t, x.to("a-0", model.HostReturning))
	requireReason(t, x.to("a-0", model.HostActive), model.ReasonReturning)
	x.report("a-0", model.HealthHealthy, 0, "boot-2")
	require.Nil(t, x.to("a-0", model.HostActive))
	require.Equal(t, uint64(2), x.host("a-0").Status.Epoch)
	require.Nil(t, x.host("a-0").Status.Stop)
}

// Guards against a step that was decided for an earlier epoch.
func TestStepOfAnOlderEpochIsFenced(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.hosts("a", 3)
	x.budget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 1})
	require.Nil(t, x.stop("a-0", model.StopDrain, ""))
	require.Nil(t, x.step("a-0", func(c *HostStep) { c.Cancel = true }))
	err := x.step("a-0", func(c *HostStep) {
		c.Epoch = 1
		c.To = model.HostDraining
		c.Stop = &model.PlannedStop{Action: model.StopDrain}
	})
	require.Equal(t, fault.Fenced, err.Kind)
}

// Guards against a move that changes pool and epoch in two entries, into a
// pool that is full or gone, or out of a pool below its minimum.
func TestMoveSwitchesPoolAndEpochTogether(t *testing.T) {
	x := newSite(t)
	x.pool("spare", func(p *model.PoolSpec) { p.Spare, p.MinHosts = true, 2 })
	x.pool("a", func(p *model.PoolSpec) { p.SpareFrom, p.MaxHosts = "spare", 2 })
	x.hosts("spare", 4)
	x.budget("spare", model.BudgetSpec{MinHealthy: 0, MaxPlannedStops: 5})
	x.hosts("a", 1)
	require.Equal(t, fault.NotFound, x.stop("spare-0", model.StopMove, "none").Kind)
	require.Equal(t, fault.Invalid, x.stop("spare-0", model.StopMove, "spare").Kind)
	require.Nil(t, x.stop("spare-0", model.StopMove, "a"))
	requireReason(t, x.stop("spare-1", model.StopMove, "a"), model.ReasonNoCapacity)
	x.drained("spare-0")
	x.pool("a", func(p *model.PoolSpec) { p.SpareFrom, p.MaxHosts = "spare", 1 })
	requireReason(t, x.to("spare-0", model.HostActive), model.ReasonNoCapacity)
	require.Equal(t, "spare", x.host("spare-0").Spec.Pool)
	x.pool("a", func(p *model.PoolSpec) { p.SpareFrom, p.MaxHosts = "spare", 2 })
	require.Nil(t, x.to("spare-0", model.HostActive))
	host := x.host("spare-0")
	require.Equal(t, "a", host.Spec.Pool)
	require.Equal(t, "spare", host.Status.HomePool)
	require.Equal(t, uint64(2), host.Status.Epoch)
	x.pool("a", func(p *model.PoolSpec) { p.SpareFrom, p.MaxHosts = "spare", 9 })
	require.Nil(t, x.stop("spare-1", model.StopMove, "a"))
	requireReason(t, x.stop("spare-2", model.StopMove, "a"), model.ReasonBudget)
}

// Guards against a rebooting host that counts as capacity after its stop was
// cancelled, and against a dead host that holds a planned stop for ever.
func TestCancelOfAStop(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.hosts("a", 3)
	x.budget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 1})
	cancel := func(c *HostStep) { c.Cancel = true }
	require.Equal(t, fault.Conflict, x.step("a-0", cancel).Kind)
	require.Nil(t, x.stop("a-0", model.StopReboot, ""))
	x.drained("a-0")
	require.Nil(t, x.to("a-0", model.HostRebooting))
	require.Equal(t, fault.Conflict, x.step("a-0", cancel).Kind)
	x.now = x.now.Add(MaxHealthAge + time.Second)
	require.Nil(t, x.step("a-0", cancel))
	require.False(t, x.host("a-0").Available())
	require.Zero(t, x.s.ledger.pool("a").PlannedStops)
}

// Guards against counters that differ from the hosts they count.
func TestLedgerEqualsItsRebuild(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.pool("b", nil)
	x.hosts("a", 6)
	x.budget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 4})
	require.Nil(t, x.stop("a-0", model.StopReboot, ""))
	require.Nil(t, x.stop("a-1", model.StopMove, "b"))
	x.drained("a-1")
	require.Nil(t, x.to("a-1", model.HostActive))
	require.Nil(t, x.stop("a-2", model.StopMove, "b"))
	x.report("a-3", model.HealthUnhealthy, 0, "boot-1")
	x.report("a-4", model.HealthUnhealthy, 0, "boot-1")
	require.Nil(t, x.apply(Delete{Origin: x.origin(), Key: x.host("a-4").Key(), Expected: AnyVersion}).Err)
	kept := x.s.ledger
	x.s.rebuildLedger()
	require.Len(t, x.s.ledger.pools, len(kept.pools))
	for name, p := range x.s.ledger.pools {
		require.Equal(t, p.Capacity, kept.pools[name].Capacity, name)
		require.Equal(t, p.hosts, kept.pools[name].hosts, name)
	}
	require.Equal(t, x.s.ledger.waveStops, kept.waveStops)
}

func (x *site) wave(change func(*model.WaveSpec)) {
	x.t.Helper()
	w := model.New(model.KindWave).(*model.Wave)
	w.Name = "w"
	w.Spec = model.WaveSpec{Pools: []string{"a"}, Action: model.StopReboot, Started: true, MaxParallel: 1}
	if change != nil {
		change(&w.Spec)
	}
	x.put(w)
}

func (x *site) waveStatus() model.WaveStatus {
	return x.s.Get(model.Key{Kind: model.KindWave, Name: "w"}).(*model.Wave).Status
}

func (x *site) waveStep(phase model.WavePhase) *fault.Error {
	version := x.s.Get(model.Key{Kind: model.KindWave, Name: "w"}).Metadata().Version
	return x.apply(WaveStep{Origin: x.origin(), Wave: "w", Expected: version, Status: model.WaveStatus{Phase: phase}}).Err
}

func (x *site) waveStop(host string) *fault.Error {
	return x.step(host, func(c *HostStep) {
		c.To = model.HostDraining
		c.Stop = &model.PlannedStop{Action: model.StopReboot, Wave: "w"}
	})
}

// Guards against a wave that exceeds its limit, runs while paused, or takes a
// host twice after a planner that takes over.
func TestWaveStopsAreCheckedWhereTheyAreCommitted(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.hosts("a", 6)
	x.budget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 4})
	require.Equal(t, fault.NotFound, x.waveStop("a-0").Kind)
	x.wave(nil)
	require.Equal(t, fault.Conflict, x.waveStop("a-0").Kind)
	require.Nil(t, x.waveStep(model.WaveRunning))
	require.Nil(t, x.waveStop("a-0"))
	requireReason(t, x.waveStop("a-1"), model.ReasonParallelLimit)
	x.drained("a-0")
	require.Nil(t, x.to("a-0", model.HostRebooting))
	x.report("a-0", model.HealthHealthy, 0, "boot-2")
	require.Nil(t, x.to("a-0", model.HostReturning))
	require.Empty(t, x.waveStatus().Done)
	require.Nil(t, x.to("a-0", model.HostActive))
	require.Equal(t, []string{"a-0"}, x.waveStatus().Done)
	require.Equal(t, fault.Conflict, x.waveStop("a-0").Kind)
	x.wave(func(w *model.WaveSpec) { w.Paused = true })
	requireReason(t, x.waveStop("a-1"), model.ReasonPaused)
	require.Nil(t, x.waveStep(model.WaveFinished))
	require.Equal(t, []string{"a-0"}, x.waveStatus().Done)
	require.Equal(t, fault.Conflict, x.waveStep(model.WaveRunning).Kind)
}

// Guards against a status of a pool that wipes out what Apply keeps there, and
// against new versions without a change.
func TestStatusStepKeepsReportedAndSkipsEqualStatus(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.mark("a", x.s.Version())
	status := &model.Pool{Meta: model.Meta{Kind: model.KindPool, Name: "a"}, Status: model.PoolStatus{Hosts: 3, Healthy: 2}}
	x.apply(StatusStep{Origin: x.origin(), Objects: []model.Object{status}})
	stored := x.s.Get(status.Key()).(*model.Pool)
	require.Equal(t, 3, stored.Status.Hosts)
	require.Equal(t, x.now, stored.Status.Reported)
	x.apply(StatusStep{Origin: x.origin(), Objects: []model.Object{status}})
	require.Equal(t, stored.Version, x.s.Get(status.Key()).Metadata().Version)
}

// Guards against an evaluated command that writes into the list of hosts that
// the real state appends to.
func TestEvaluatedReturnLeavesTheWaveAlone(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.hosts("a", 6)
	x.budget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 6})
	x.wave(func(w *model.WaveSpec) { w.MaxParallel = 6 })
	require.Nil(t, x.waveStep(model.WaveRunning))
	for i := range 5 {
		host := fmt.Sprintf("a-%d", i)
		require.Nil(t, x.waveStop(host))
	}
	x.now = x.now.Add(DrainSettleTime)
	for i := range 5 {
		host := fmt.Sprintf("a-%d", i)
		x.report(host, model.HealthHealthy, 0, "boot-1")
		require.Nil(t, x.to(host, model.HostDrained))
		require.Nil(t, x.to(host, model.HostRebooting))
		x.report(host, model.HealthHealthy, 0, "boot-2")
		require.Nil(t, x.to(host, model.HostReturning))
	}
	for i := range 4 {
		before := x.s.Snapshot()
		require.Nil(t, x.to(fmt.Sprintf("a-%d", i), model.HostActive))
		done := x.waveStatus().Done
		want := append([]string(nil), done...)
		other := HostStep{Origin: x.origin(), Host: "a-4", Expected: AnyVersion, To: model.HostActive}
		require.Nil(t, before.DryRun(other)[0].Err)
		require.Equal(t, want, x.waveStatus().Done)
	}
}

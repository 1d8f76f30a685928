package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

var fleetStart = time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)

// testFleet is a state to which a test applies commands at the time now.
type testFleet struct {
	t     *testing.T
	state *State
	now   time.Time
}

func newTestFleet(t *testing.T) *testFleet { return &testFleet{t: t, state: New(), now: fleetStart} }

func (tf *testFleet) origin() Origin { return Origin{Actor: "test", Time: tf.now} }

func (tf *testFleet) apply(cmd Command) Result { return tf.state.Apply(tf.state.Version()+1, cmd) }

func (tf *testFleet) put(obj model.Object) {
	tf.t.Helper()
	require.Nil(tf.t, tf.apply(Put{Origin: tf.origin(), Object: obj, Expected: AnyVersion}).Err)
}

func (tf *testFleet) putPool(name string, change func(*model.PoolSpec)) {
	tf.t.Helper()
	p := model.New(model.KindPool).(*model.Pool)
	p.Name = name
	if change != nil {
		change(&p.Spec)
	}
	tf.put(p)
}

// putBudget puts a budget for pool, with the name of the pool.
func (tf *testFleet) putBudget(pool string, spec model.BudgetSpec) {
	tf.t.Helper()
	b := model.New(model.KindBudget).(*model.Budget)
	b.Name, b.Spec = pool, spec
	b.Spec.Pool = pool
	tf.put(b)
}

// putHosts puts n healthy hosts, two in each rack. The racks are spread over
// three zones in turn.
func (tf *testFleet) putHosts(pool string, n int) {
	tf.t.Helper()
	for i := range n {
		h := model.New(model.KindHost).(*model.Host)
		h.Name = fmt.Sprintf("%s-%d", pool, i)
		h.Spec = model.HostSpec{Pool: pool, Zone: fmt.Sprintf("zone-%d", i/2%3), Rack: fmt.Sprintf("rack-%d", i/2), Cores: 32, MemoryMB: 64 << 10}
		tf.put(h)
		tf.report(h.Name, model.HealthHealthy, 0, "boot-1")
	}
}

func (tf *testFleet) report(host string, health model.Health, inFlight int, boot string) {
	tf.apply(HostReport{Origin: tf.origin(), Hosts: []HostObservation{{Host: host, Health: health, InFlight: inFlight, BootID: boot, Observed: tf.now}}})
}

// mark reports that all hosts of pool are as stored at version base.
func (tf *testFleet) mark(pool string, base uint64) {
	tf.apply(HostReport{Origin: tf.origin(), Marks: []PoolMark{{Pool: pool, Observed: tf.now, Base: base}}})
}

func (tf *testFleet) host(name string) *model.Host {
	return tf.state.Get(model.Key{Kind: model.KindHost, Name: name}).(*model.Host)
}

// step applies a HostStep that change completes.
func (tf *testFleet) step(host string, change func(*HostStep)) *fault.Error {
	c := HostStep{Origin: tf.origin(), Host: host, Expected: tf.host(host).Version}
	change(&c)
	return tf.apply(c).Err
}

// stop starts a planned stop.
func (tf *testFleet) stop(host string, action model.StopAction, target string) *fault.Error {
	return tf.step(host, func(c *HostStep) {
		c.To = model.HostDraining
		c.Stop = &model.PlannedStop{Action: action, TargetPool: target}
	})
}

// stepTo requests a phase of a host.
func (tf *testFleet) stepTo(host string, phase model.HostPhase) *fault.Error {
	return tf.step(host, func(c *HostStep) { c.To = phase })
}

// completeDrain reports a draining host without work in flight and steps it to
// drained.
func (tf *testFleet) completeDrain(host string) {
	tf.t.Helper()
	tf.now = tf.now.Add(DrainSettleTime)
	tf.report(host, model.HealthHealthy, 0, "boot-1")
	require.Nil(tf.t, tf.stepTo(host, model.HostDrained))
}

func requireReason(t *testing.T, err *fault.Error, reason model.Reason) {
	t.Helper()
	require.NotNil(t, err)
	require.Equal(t, fault.BudgetBlocked, err.Kind)
	require.Equal(t, string(reason), err.Reason, err.Message)
}

// Guards against a planned stop that violates a budget, and against a refusal
// with the wrong reason.
func TestPlannedStopIsCheckedAgainstBudget(t *testing.T) {
	tests := []struct {
		name   string
		hosts  int
		budget model.BudgetSpec
		before func(*testFleet)
		reason model.Reason
	}{
		{"enough hosts", 6, model.BudgetSpec{MinHealthy: 5, MaxPlannedStops: 1}, nil, ""},
		{"minimum reached", 6, model.BudgetSpec{MinHealthy: 6, MaxPlannedStops: 1}, nil, model.ReasonBudget},
		{"planned stops used up", 6, model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 1}, func(tf *testFleet) {
			require.Nil(tf.t, tf.stop("a-1", model.StopDrain, ""))
		}, model.ReasonBudget},
		{"failures broke the budget", 6, model.BudgetSpec{MinHealthy: 6, MaxPlannedStops: 1}, func(tf *testFleet) {
			tf.report("a-1", model.HealthUnhealthy, 0, "boot-1")
		}, model.ReasonBudgetBroken},
		{"unknown health", 6, model.BudgetSpec{MinHealthy: 5, MaxPlannedStops: 1}, func(tf *testFleet) {
			tf.report("a-1", model.HealthUnknown, 0, "boot-1")
		}, model.ReasonBudget},
		{"rack loss survived", 8, model.BudgetSpec{MinHealthy: 5, MaxPlannedStops: 2, SurviveRack: true}, nil, ""},
		{"rack loss not survived", 8, model.BudgetSpec{MinHealthy: 6, MaxPlannedStops: 2, SurviveRack: true}, nil, model.ReasonRackSurvival},
		{"zone loss survived", 12, model.BudgetSpec{MinHealthy: 7, MaxPlannedStops: 2, SurviveZone: true}, nil, ""},
		{"zone loss not survived", 12, model.BudgetSpec{MinHealthy: 8, MaxPlannedStops: 2, SurviveZone: true}, nil, model.ReasonZoneSurvival},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tf := newTestFleet(t)
			tf.putPool("a", nil)
			tf.putHosts("a", test.hosts)
			tf.putBudget("a", test.budget)
			if test.before != nil {
				test.before(tf)
			}
			err := tf.stop("a-0", model.StopReboot, "")
			if test.reason == "" {
				require.Nil(t, err)
				return
			}
			requireReason(t, err, test.reason)
			require.Equal(t, model.HostActive, tf.host("a-0").Status.Phase)
		})
	}
}

// Guards against a planned stop in a pool without a declared budget.
func TestPoolWithoutBudgetRefusesPlannedStops(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.putHosts("a", 6)
	requireReason(t, tf.stop("a-0", model.StopReboot, ""), model.ReasonNoBudget)
}

// Guards against a second budget of a pool: one of the two would be ignored.
func TestPoolHasOneBudget(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.putHosts("a", 6)
	tf.putBudget("a", model.BudgetSpec{MinHealthy: 6, MaxPlannedStops: 3})
	b := model.New(model.KindBudget).(*model.Budget)
	b.Name, b.Spec = "lenient", model.BudgetSpec{Pool: "a", MinHealthy: 1, MaxPlannedStops: 3}
	err := tf.apply(Put{Origin: tf.origin(), Object: b, Expected: AnyVersion}).Err
	require.NotNil(t, err)
	require.Equal(t, fault.Invalid, err.Kind)
	requireReason(t, tf.stop("a-0", model.StopReboot, ""), model.ReasonBudget)
}

// Guards against reports older than MaxHealthAge that count as healthy capacity,
// and against reports of exactly that age that do not.
func TestStaleHealthCountsAsUnavailable(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.putHosts("a", 6)
	tf.putBudget("a", model.BudgetSpec{MinHealthy: 5, MaxPlannedStops: 6})
	tf.now = fleetStart.Add(MaxHealthAge + time.Millisecond)
	requireReason(t, tf.stop("a-0", model.StopReboot, ""), model.ReasonBudgetBroken)
	tf.mark("a", tf.state.Version())
	tf.now = tf.now.Add(MaxHealthAge)
	require.Nil(t, tf.stop("a-0", model.StopReboot, ""))
}

// Guards against a listing of an earlier leader that confirms the health of a
// host that has changed since.
func TestMarkOfOlderListingIsDropped(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.putHosts("a", 6)
	tf.putBudget("a", model.BudgetSpec{MinHealthy: 5, MaxPlannedStops: 6})
	tf.report("a-1", model.HealthUnhealthy, 0, "boot-1")
	base := tf.state.Version()
	tf.report("a-1", model.HealthHealthy, 0, "boot-1")
	tf.now = fleetStart.Add(MaxHealthAge + time.Second)
	tf.mark("a", base)
	requireReason(t, tf.stop("a-0", model.StopReboot, ""), model.ReasonBudgetBroken)
}

// Guards against a mark that gives a pool a new version, so that the next change
// of an operator conflicts.
func TestMarkKeepsTheVersionOfThePool(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	pool := tf.state.Get(model.Key{Kind: model.KindPool, Name: "a"}).(*model.Pool)
	tf.mark("a", tf.state.Version())
	marked := tf.state.Get(pool.Key()).(*model.Pool)
	require.Equal(t, pool.Version, marked.Version)
	require.Equal(t, tf.now, marked.Status.Reported)
	require.Zero(t, pool.Status.Reported)
}

// Guards against a report from a clock that runs ahead, which would count as
// recent for too long.
func TestFutureReportTimeIsCappedAtNow(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.putHosts("a", 1)
	tf.apply(HostReport{Origin: tf.origin(), Hosts: []HostObservation{{Host: "a-0", Health: model.HealthHealthy, BootID: "boot-1", Observed: tf.now.Add(time.Hour)}}})
	require.Equal(t, tf.now, tf.host("a-0").Status.LastReport)
}

// Guards against two planners or operators with the same snapshot that both
// start the last planned stop that a budget allows.
func TestConcurrentStopsShareTheBudget(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.putHosts("a", 5)
	tf.putBudget("a", model.BudgetSpec{MinHealthy: 4, MaxPlannedStops: 2})
	first, second := tf.host("a-0").Version, tf.host("a-1").Version
	stop := &model.PlannedStop{Action: model.StopReboot}
	require.Nil(t, tf.apply(HostStep{Origin: tf.origin(), Host: "a-0", Expected: first, To: model.HostDraining, Stop: stop}).Err)
	requireReason(t, tf.apply(HostStep{Origin: tf.origin(), Host: "a-1", Expected: second, To: model.HostDraining, Stop: stop}).Err, model.ReasonBudget)
	again := tf.apply(HostStep{Origin: tf.origin(), Host: "a-0", Expected: first, To: model.HostDraining, Stop: stop})
	require.Equal(t, fault.Conflict, again.Err.Kind)
}

// Guards against a reboot that skips a phase or interrupts work in flight.
func TestRebootPassesEveryPhase(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.putHosts("a", 3)
	tf.putBudget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 1})
	require.Equal(t, fault.Conflict, tf.stepTo("a-0", model.HostDrained).Kind)
	require.Nil(t, tf.stop("a-0", model.StopReboot, ""))
	requireReason(t, tf.stepTo("a-0", model.HostDrained), model.ReasonWorkInFlight)
	tf.now = tf.now.Add(DrainSettleTime)
	tf.report("a-0", model.HealthHealthy, 2, "boot-1")
	requireReason(t, tf.stepTo("a-0", model.HostDrained), model.ReasonWorkInFlight)
	tf.report("a-0", model.HealthHealthy, 0, "boot-1")
	require.Nil(t, tf.stepTo("a-0", model.HostDrained))
	require.Equal(t, fault.Conflict, tf.stepTo("a-0", model.HostActive).Kind)
	require.Nil(t, tf.stepTo("a-0", model.HostRebooting))
	requireReason(t, tf.stepTo("a-0", model.HostReturning), model.ReasonRebooting)
	tf.report("a-0", model.HealthUnhealthy, 0, "boot-2")
	require.Nil(t, tf.stepTo("a-0", model.HostReturning))
	requireReason(t, tf.stepTo("a-0", model.HostActive), model.ReasonReturning)
	tf.report("a-0", model.HealthHealthy, 0, "boot-2")
	require.Nil(t, tf.stepTo("a-0", model.HostActive))
	require.Equal(t, uint64(2), tf.host("a-0").Status.Epoch)
	require.Nil(t, tf.host("a-0").Status.Stop)
}

// Guards against a step that was decided for an earlier epoch.
func TestStepWithOlderEpochIsFenced(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.putHosts("a", 3)
	tf.putBudget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 1})
	require.Nil(t, tf.stop("a-0", model.StopDrain, ""))
	require.Nil(t, tf.step("a-0", func(c *HostStep) { c.Cancel = true }))
	err := tf.step("a-0", func(c *HostStep) {
		c.Epoch = 1
		c.To = model.HostDraining
		c.Stop = &model.PlannedStop{Action: model.StopDrain}
	})
	require.Equal(t, fault.Fenced, err.Kind)
}

// Guards against a move that changes pool and epoch in different log entries, a
// move into a pool that is full or missing, and a move that leaves a pool below
// its minimum.
func TestMoveSwitchesPoolAndEpochTogether(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("spare", func(p *model.PoolSpec) { p.Spare, p.MinHosts = true, 2 })
	tf.putPool("a", func(p *model.PoolSpec) { p.SpareFrom, p.MaxHosts = "spare", 2 })
	tf.putHosts("spare", 4)
	tf.putBudget("spare", model.BudgetSpec{MinHealthy: 0, MaxPlannedStops: 5})
	tf.putHosts("a", 1)
	require.Equal(t, fault.NotFound, tf.stop("spare-0", model.StopMove, "missing").Kind)
	require.Equal(t, fault.Invalid, tf.stop("spare-0", model.StopMove, "spare").Kind)
	require.Nil(t, tf.stop("spare-0", model.StopMove, "a"))
	requireReason(t, tf.stop("spare-1", model.StopMove, "a"), model.ReasonNoCapacity)
	tf.completeDrain("spare-0")
	tf.putPool("a", func(p *model.PoolSpec) { p.SpareFrom, p.MaxHosts = "spare", 1 })
	requireReason(t, tf.stepTo("spare-0", model.HostActive), model.ReasonNoCapacity)
	require.Equal(t, "spare", tf.host("spare-0").Spec.Pool)
	tf.putPool("a", func(p *model.PoolSpec) { p.SpareFrom, p.MaxHosts = "spare", 2 })
	require.Nil(t, tf.stepTo("spare-0", model.HostActive))
	host := tf.host("spare-0")
	require.Equal(t, "a", host.Spec.Pool)
	require.Equal(t, "spare", host.Status.HomePool)
	require.Equal(t, uint64(2), host.Status.Epoch)
	tf.putPool("a", func(p *model.PoolSpec) { p.SpareFrom, p.MaxHosts = "spare", 9 })
	require.Nil(t, tf.stop("spare-1", model.StopMove, "a"))
	requireReason(t, tf.stop("spare-2", model.StopMove, "a"), model.ReasonBudget)
}

// Guards against a rebooting host that counts as capacity after its stop was
// cancelled, and against a failed host that stays in a planned stop forever.
func TestCancelPlannedStop(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.putHosts("a", 3)
	tf.putBudget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 1})
	cancel := func(c *HostStep) { c.Cancel = true }
	require.Equal(t, fault.Conflict, tf.step("a-0", cancel).Kind)
	require.Nil(t, tf.stop("a-0", model.StopReboot, ""))
	tf.completeDrain("a-0")
	require.Nil(t, tf.stepTo("a-0", model.HostRebooting))
	require.Equal(t, fault.Conflict, tf.step("a-0", cancel).Kind)
	tf.now = tf.now.Add(MaxHealthAge + time.Second)
	require.Nil(t, tf.step("a-0", cancel))
	require.False(t, tf.host("a-0").Available())
	require.Zero(t, tf.state.capacity.pool("a").PlannedStops)
}

// Guards against counts in the capacity index that differ from the hosts.
func TestCapacityIndexEqualsItsRebuild(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.putPool("b", nil)
	tf.putHosts("a", 6)
	tf.putBudget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 4})
	require.Nil(t, tf.stop("a-0", model.StopReboot, ""))
	require.Nil(t, tf.stop("a-1", model.StopMove, "b"))
	tf.completeDrain("a-1")
	require.Nil(t, tf.stepTo("a-1", model.HostActive))
	require.Nil(t, tf.stop("a-2", model.StopMove, "b"))
	tf.report("a-3", model.HealthUnhealthy, 0, "boot-1")
	tf.report("a-4", model.HealthUnhealthy, 0, "boot-1")
	require.Nil(t, tf.apply(Delete{Origin: tf.origin(), Key: tf.host("a-4").Key(), Expected: AnyVersion}).Err)
	kept := tf.state.capacity
	tf.state.rebuildCapacityIndex()
	require.Len(t, tf.state.capacity.pools, len(kept.pools))
	for name, p := range tf.state.capacity.pools {
		require.Equal(t, p.Capacity, kept.pools[name].Capacity, name)
		require.Equal(t, p.hosts, kept.pools[name].hosts, name)
	}
	require.Equal(t, tf.state.capacity.waveStops, kept.waveStops)
}

// putWave puts the started wave "w" over pool "a".
func (tf *testFleet) putWave(change func(*model.WaveSpec)) {
	tf.t.Helper()
	w := model.New(model.KindWave).(*model.Wave)
	w.Name = "w"
	w.Spec = model.WaveSpec{Pools: []string{"a"}, Action: model.StopReboot, Started: true, MaxParallel: 1}
	if change != nil {
		change(&w.Spec)
	}
	tf.put(w)
}

func (tf *testFleet) waveStatus() model.WaveStatus {
	return tf.state.Get(model.Key{Kind: model.KindWave, Name: "w"}).(*model.Wave).Status
}

func (tf *testFleet) stepWave(phase model.WavePhase) *fault.Error {
	version := tf.state.Get(model.Key{Kind: model.KindWave, Name: "w"}).Metadata().Version
	return tf.apply(WaveStep{Origin: tf.origin(), Wave: "w", Expected: version, Status: model.WaveStatus{Phase: phase}}).Err
}

// stopForWave starts a planned stop for the wave "w".
func (tf *testFleet) stopForWave(host string) *fault.Error {
	return tf.step(host, func(c *HostStep) {
		c.To = model.HostDraining
		c.Stop = &model.PlannedStop{Action: model.StopReboot, Wave: "w"}
	})
}

// Guards against a wave that exceeds its parallel limit, stops hosts while
// paused, or stops a host twice after a change of planner.
func TestWaveStopsAreCheckedAtApply(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.putHosts("a", 6)
	tf.putBudget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 4})
	require.Equal(t, fault.NotFound, tf.stopForWave("a-0").Kind)
	tf.putWave(nil)
	require.Equal(t, fault.Conflict, tf.stopForWave("a-0").Kind)
	require.Nil(t, tf.stepWave(model.WaveRunning))
	require.Nil(t, tf.stopForWave("a-0"))
	requireReason(t, tf.stopForWave("a-1"), model.ReasonParallelLimit)
	tf.completeDrain("a-0")
	require.Nil(t, tf.stepTo("a-0", model.HostRebooting))
	tf.report("a-0", model.HealthHealthy, 0, "boot-2")
	require.Nil(t, tf.stepTo("a-0", model.HostReturning))
	require.Empty(t, tf.waveStatus().Done)
	require.Nil(t, tf.stepTo("a-0", model.HostActive))
	require.Equal(t, []string{"a-0"}, tf.waveStatus().Done)
	require.Equal(t, fault.Conflict, tf.stopForWave("a-0").Kind)
	tf.putWave(func(w *model.WaveSpec) { w.Paused = true })
	requireReason(t, tf.stopForWave("a-1"), model.ReasonPaused)
	require.Nil(t, tf.stepWave(model.WaveFinished))
	require.Equal(t, []string{"a-0"}, tf.waveStatus().Done)
	require.Equal(t, fault.Conflict, tf.stepWave(model.WaveRunning).Kind)
}

// Guards against a StatusStep that overwrites Reported of a pool, and against a
// new version without a change.
func TestStatusStepKeepsReportedAndSkipsEqualStatus(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.mark("a", tf.state.Version())
	status := &model.Pool{Meta: model.Meta{Kind: model.KindPool, Name: "a"}, Status: model.PoolStatus{Hosts: 3, Healthy: 2}}
	tf.apply(StatusStep{Origin: tf.origin(), Objects: []model.Object{status}})
	stored := tf.state.Get(status.Key()).(*model.Pool)
	require.Equal(t, 3, stored.Status.Hosts)
	require.Equal(t, tf.now, stored.Status.Reported)
	tf.apply(StatusStep{Origin: tf.origin(), Objects: []model.Object{status}})
	require.Equal(t, stored.Version, tf.state.Get(status.Key()).Metadata().Version)
}

// Guards against a dry run that writes to the array to which the state appends
// the hosts that a wave has finished.
func TestDryRunLeavesWaveStatusUnchanged(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.putHosts("a", 6)
	tf.putBudget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 6})
	tf.putWave(func(w *model.WaveSpec) { w.MaxParallel = 6 })
	require.Nil(t, tf.stepWave(model.WaveRunning))
	for i := range 5 {
		host := fmt.Sprintf("a-%d", i)
		require.Nil(t, tf.stopForWave(host))
	}
	tf.now = tf.now.Add(DrainSettleTime)
	for i := range 5 {
		host := fmt.Sprintf("a-%d", i)
		tf.report(host, model.HealthHealthy, 0, "boot-1")
		require.Nil(t, tf.stepTo(host, model.HostDrained))
		require.Nil(t, tf.stepTo(host, model.HostRebooting))
		tf.report(host, model.HealthHealthy, 0, "boot-2")
		require.Nil(t, tf.stepTo(host, model.HostReturning))
	}
	for i := range 4 {
		before := tf.state.Snapshot()
		require.Nil(t, tf.stepTo(fmt.Sprintf("a-%d", i), model.HostActive))
		done := tf.waveStatus().Done
		want := append([]string(nil), done...)
		other := HostStep{Origin: tf.origin(), Host: "a-4", Expected: AnyVersion, To: model.HostActive}
		require.Nil(t, before.DryRun(other)[0].Err)
		require.Equal(t, want, tf.waveStatus().Done)
	}
}

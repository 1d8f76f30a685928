package state

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

var start = time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)

// fixture is a state with the time of the next command.
type fixture struct {
	*State
	now time.Time
}

func newFixture() *fixture { return &fixture{State: New(), now: start} }

// do applies cmd as the next log entry.
func (f *fixture) do(cmd Command) Result { return f.Apply(f.Version()+1, cmd) }

func (f *fixture) origin() Origin { return Origin{Actor: "ana", Source: "test", Time: f.now} }

func (f *fixture) put(obj model.Object) Result {
	return f.do(Put{Origin: f.origin(), Object: obj, Expected: AnyVersion})
}

func (f *fixture) remove(kind model.Kind, name string) Result {
	return f.do(Delete{Origin: f.origin(), Key: model.Key{Kind: kind, Name: name}, Expected: AnyVersion})
}

// tick advances the time by d and applies a Tick.
func (f *fixture) tick(d time.Duration) {
	f.now = f.now.Add(d)
	f.do(Tick{Origin: f.origin()})
}

func meta(kind model.Kind, name string) model.Meta { return model.Meta{Kind: kind, Name: name} }

func pool(name string) *model.Pool {
	p := model.New(model.KindPool).(*model.Pool)
	p.Name = name
	return p
}

func host(name, pool string) *model.Host {
	return &model.Host{Meta: meta(model.KindHost, name), Spec: model.HostSpec{Pool: pool, Zone: "a", Rack: "r1", Cores: 32, MemoryMB: 64 << 10}}
}

func budget(name, pool string, minHealthy int) *model.Budget {
	return &model.Budget{Meta: meta(model.KindBudget, name), Spec: model.BudgetSpec{Pool: pool, MinHealthy: minHealthy}}
}

func wave(name string, pools ...string) *model.Wave {
	return &model.Wave{Meta: meta(model.KindWave, name), Spec: model.WaveSpec{Pools: pools}}
}

func job(name, pool, team string) *model.Job {
	return &model.Job{Meta: meta(model.KindJob, name), Spec: model.JobSpec{Pool: pool, Team: team}}
}

// newPopulatedFixture returns a fixture with the pool quotes of two hosts with a
// budget, an empty pool, a team with a job, and a started wave.
func newPopulatedFixture(t *testing.T) *fixture {
	f := newFixture()
	started := wave("w", "quotes")
	started.Spec.Started = true
	for _, obj := range []model.Object{
		&model.Team{Meta: meta(model.KindTeam, "cutting")}, pool("quotes"), pool("empty"),
		host("h1", "quotes"), host("h2", "quotes"), budget("b", "quotes", 2), job("j", "quotes", "cutting"), started,
	} {
		require.Nil(t, f.put(obj).Err)
	}
	return f
}

// Guards against a change that references a missing resource or conflicts with
// another resource or with work in progress, and against a refused change that
// modifies a resource.
func TestPutRefusals(t *testing.T) {
	notStarted := wave("w", "quotes")
	otherPools := wave("w", "quotes", "empty")
	otherPools.Spec.Started = true
	otherAction := wave("w", "quotes")
	otherAction.Spec.Started, otherAction.Spec.Action = true, model.StopDrain
	borrower := pool("p")
	borrower.Spec.SpareFrom = "missing"
	cases := []struct {
		name, field string
		obj         model.Object
	}{
		{"host of unknown pool", "spec.pool", host("h9", "missing")},
		{"host changes pool", "spec.pool", host("h1", "empty")},
		{"job of unknown pool", "spec.pool", job("j9", "missing", "")},
		{"job of unknown team", "spec.team", job("j9", "quotes", "missing")},
		{"budget of unknown pool", "spec.pool", budget("b9", "missing", 0)},
		{"second budget of a pool", "spec.pool", budget("b9", "quotes", 1)},
		{"budget above its pool", "spec.minHealthy", budget("b", "quotes", 3)},
		{"negative budget", "spec.minHealthy", budget("b", "quotes", -1)},
		{"wave over unknown pool", "spec.pools[0]", wave("w9", "missing")},
		{"wave over pool without hosts", "spec.pools[1]", wave("w9", "quotes", "empty")},
		{"started wave reset", "spec.started", notStarted},
		{"pools of started wave", "spec.pools", otherPools},
		{"action of started wave", "spec.action", otherAction},
		{"unknown spare pool", "spec.spareFrom", borrower},
		{"long name", "metadata.name", pool(strings.Repeat("a", 254))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newPopulatedFixture(t)
			before := f.Snapshot()
			res := f.put(c.obj)
			require.NotNil(t, res.Err)
			require.Equal(t, fault.Invalid, res.Err.Kind, res.Err.Error())
			require.Equal(t, c.field, res.Err.Field, res.Err.Error())
			require.NotEmpty(t, res.Err.Limit)
			requireEqualResources(t, before, f.Snapshot())
			require.Equal(t, "invalid", f.audit[len(f.audit)-1].Outcome)
		})
	}
}

func requireEqualResources(t *testing.T, want, got *Snapshot) {
	for _, kind := range model.Kinds() {
		require.Equal(t, want.List(kind), got.List(kind))
	}
}

// Guards against a delete that leaves a dangling reference, interrupts the work
// on a host or makes a budget impossible to meet.
func TestDeleteRefusals(t *testing.T) {
	cases := []struct {
		kind model.Kind
		name string
		want fault.Kind
	}{
		{model.KindPool, "quotes", fault.Conflict},
		{model.KindTeam, "cutting", fault.Conflict},
		{model.KindHost, "h2", fault.BudgetBlocked},
		{model.KindPool, "missing", fault.NotFound},
	}
	for _, c := range cases {
		t.Run(string(c.kind)+" "+c.name, func(t *testing.T) {
			f := newPopulatedFixture(t)
			before := f.Snapshot()
			res := f.remove(c.kind, c.name)
			require.NotNil(t, res.Err)
			require.Equal(t, c.want, res.Err.Kind)
			requireEqualResources(t, before, f.Snapshot())
		})
	}
}

// Guards against a pool that is deleted while another resource references it.
func TestPoolDeleteNamesReferencingResource(t *testing.T) {
	borrower := pool("borrower")
	borrower.Spec.SpareFrom = "p"
	for _, user := range []model.Object{host("h", "p"), budget("b", "p", 0), job("j", "p", ""), borrower} {
		f := newFixture()
		require.Nil(t, f.put(pool("p")).Err)
		require.Nil(t, f.put(user).Err)
		err := f.remove(model.KindPool, "p").Err
		require.NotNil(t, err)
		require.Contains(t, err.Message, fmt.Sprintf("%s %s", user.Metadata().Kind, user.Metadata().Name))
		require.Nil(t, f.remove(user.Metadata().Kind, user.Metadata().Name).Err)
		require.Nil(t, f.remove(model.KindPool, "p").Err)
	}
}

// Guards against a delete, or a change of pool, of a resource with work in
// progress.
func TestDeleteRefusedDuringWork(t *testing.T) {
	f := newPopulatedFixture(t)
	require.Nil(t, f.remove(model.KindBudget, "b").Err)
	running := f.Get(model.Key{Kind: model.KindWave, Name: "w"}).Clone().(*model.Wave)
	running.Status.Stopped = []string{"h1"}
	f.set(running)
	require.Equal(t, fault.Conflict, f.remove(model.KindWave, "w").Err.Kind)
	placed := f.Get(model.Key{Kind: model.KindJob, Name: "j"}).Clone().(*model.Job)
	placed.Status.Tasks = []model.Task{{State: model.TaskFinished}, {Index: 1, State: model.TaskRunning}}
	f.set(placed)
	require.Equal(t, fault.Conflict, f.remove(model.KindJob, "j").Err.Kind)
	require.Equal(t, "spec.pool", f.put(job("j", "empty", "cutting")).Err.Field)
	moving := f.Get(model.Key{Kind: model.KindHost, Name: "h1"}).Clone().(*model.Host)
	moving.Status.Stop = &model.PlannedStop{Action: model.StopMove, TargetPool: "empty"}
	f.set(moving)
	require.Contains(t, f.remove(model.KindPool, "empty").Err.Message, "hosts h1")
}

// Guards against a delete that interrupts the requests on a healthy host.
func TestHealthyHostIsDrainedBeforeDelete(t *testing.T) {
	f := newPopulatedFixture(t)
	require.Nil(t, f.put(host("h3", "quotes")).Err)
	f.do(HostReport{Origin: f.origin(), Hosts: []HostObservation{{Host: "h3", Health: model.HealthHealthy, Observed: f.now}}})
	require.Equal(t, fault.Conflict, f.remove(model.KindHost, "h3").Err.Kind)
	f.do(HostReport{Origin: f.origin(), Hosts: []HostObservation{{Host: "h3", Health: model.HealthUnhealthy, Observed: f.now}}})
	require.Nil(t, f.remove(model.KindHost, "h3").Err)
}

// Guards against an operator who sets the status of a new host, and against a
// put that resets the status of an existing one.
func TestPutPreservesStatus(t *testing.T) {
	f := newFixture()
	require.Nil(t, f.put(pool("p")).Err)
	h := host("h", "p")
	h.Status = model.HostStatus{Phase: model.HostDrained, Health: model.HealthHealthy, Epoch: 99, Stop: &model.PlannedStop{}}
	stored := f.put(h).Object.(*model.Host)
	require.Equal(t, model.HostStatus{Phase: model.HostActive, Health: model.HealthUnknown, Epoch: 1}, stored.Status)
	f.do(HostReport{Origin: f.origin(), Hosts: []HostObservation{{Host: "h", Health: model.HealthHealthy, Observed: f.now}}})
	h.Spec.Cores = 64
	stored = f.put(h).Object.(*model.Host)
	require.Equal(t, model.HealthHealthy, stored.Status.Health)
	require.Equal(t, uint64(2), stored.Generation)
}

// Guards against a manifest that, applied again, resumes a paused wave, undoes a
// cancellation, or is refused because a wave has started or a host is borrowed.
func TestRedeclarationKeepsProgress(t *testing.T) {
	f := newPopulatedFixture(t)
	declare := func(obj model.Object) Result {
		return f.do(Put{Origin: f.origin(), Object: obj, Expected: AnyVersion, Declared: true})
	}
	wave := f.Get(model.Key{Kind: model.KindWave, Name: "w"}).Clone().(*model.Wave)
	manifest := wave.Clone().(*model.Wave)
	manifest.Spec.Started, manifest.Spec.Paused = false, false
	wave.Spec.Started, wave.Spec.Paused = true, true
	require.Nil(t, f.put(wave).Err)
	res := declare(manifest)
	require.Nil(t, res.Err)
	require.True(t, res.Object.(*model.Wave).Spec.Paused)
	require.Equal(t, "spec.started", f.put(manifest).Err.Field, "a put that is not declared may not reset the wave")

	require.Nil(t, f.put(pool("cutting")).Err)
	host := f.Get(model.Key{Kind: model.KindHost, Name: "h1"}).Clone().(*model.Host)
	declared := host.Clone().(*model.Host)
	host.Status.HomePool, host.Spec.Pool = host.Spec.Pool, "cutting"
	f.set(host)
	res = declare(declared)
	require.Nil(t, res.Err)
	require.Equal(t, "cutting", res.Object.(*model.Host).Spec.Pool)
	declared.Spec.Pool = "tracking"
	require.Equal(t, "spec.pool", declare(declared).Err.Field)
}

// Guards against a cancellation that is undone and against a change to a
// finished wave.
func TestCancelledAndFinishedAreFinal(t *testing.T) {
	f := newPopulatedFixture(t)
	cancelled := job("j", "quotes", "cutting")
	cancelled.Spec.Cancelled = true
	require.Nil(t, f.put(cancelled).Err)
	require.Equal(t, "spec.cancelled", f.put(job("j", "quotes", "cutting")).Err.Field)
	ended := f.Get(model.Key{Kind: model.KindWave, Name: "w"}).Clone().(*model.Wave)
	ended.Status.Phase = model.WaveFinished
	f.set(ended)
	again := ended.Clone().(*model.Wave)
	again.Spec.Paused = true
	require.Equal(t, "spec", f.put(again).Err.Field)
}

// Guards against a new host version at every report, with which a step that
// expects a version would always conflict, and against stale observations.
func TestHostReportWithoutChangeKeepsVersion(t *testing.T) {
	f := newPopulatedFixture(t)
	report := func(health model.Health, inFlight int, at time.Time) *model.Host {
		f.do(HostReport{Origin: f.origin(), Hosts: []HostObservation{{Host: "h1", Health: health, InFlight: inFlight, Observed: at}}})
		return f.Get(model.Key{Kind: model.KindHost, Name: "h1"}).(*model.Host)
	}
	begin := f.now
	f.now = begin.Add(4 * time.Second)
	first := report(model.HealthHealthy, 3, begin.Add(time.Second))
	events := len(f.events)
	second := report(model.HealthHealthy, 2, begin.Add(2*time.Second))
	require.Equal(t, first.Version, second.Version)
	require.Equal(t, 2, second.Status.InFlight)
	require.Equal(t, begin.Add(2*time.Second), second.Status.LastReport)
	require.Len(t, f.events, events)
	stale := report(model.HealthUnhealthy, 0, begin)
	require.Same(t, second, stale)
	require.Greater(t, report(model.HealthUnhealthy, 0, begin.Add(3*time.Second)).Version, second.Version)
}

// putTeam puts the team "t" with a change ID; digest determines its quota.
func (f *fixture) putTeam(id string, issued time.Time, digest uint64, expected uint64) Result {
	o := f.origin()
	o.ChangeID, o.IssuedAt, o.Digest = id, issued, digest
	team := &model.Team{Meta: meta(model.KindTeam, "t"), Spec: model.TeamSpec{QuotaCores: int(digest)}}
	return f.do(Put{Origin: o, Object: team, Expected: expected})
}

// Guards against a resent change that is applied twice, an ID that is used for
// two changes, and a table that grows without bound or that accepts an ID again
// after dropping it.
func TestChangeIDs(t *testing.T) {
	f := newFixture()
	f.changes.limit = 2
	first := f.putTeam("a", start, 1, 0)
	require.Nil(t, first.Err)
	again := f.putTeam("a", start, 1, 0)
	require.True(t, again.Replayed)
	require.Equal(t, first.Version, again.Version)
	require.NotNil(t, again.Object)
	require.Equal(t, fault.ChangeIDReused, f.putTeam("a", start, 2, 0).Err.Kind)
	second := f.putTeam("b", start.Add(time.Second), 2, first.Version)
	require.Nil(t, second.Err)
	again = f.putTeam("a", start, 1, 0)
	require.True(t, again.Replayed)
	require.Nil(t, again.Object, "the resource has changed since")
	refused := f.putTeam("c", start.Add(2*time.Second), 3, first.Version)
	require.Equal(t, fault.Conflict, refused.Err.Kind)
	require.Equal(t, refused.Err, f.putTeam("c", start.Add(2*time.Second), 3, first.Version).Err)
	require.Equal(t, fault.ChangeIDExpired, f.putTeam("a", start, 1, 0).Err.Kind, "a was dropped")
	require.Equal(t, fault.ChangeIDExpired, f.putTeam("new", start, 1, 0).Err.Kind)
	require.Len(t, f.changes.records, 2)
	require.Len(t, f.changes.order, 2)
}

// Guards against a client with a wrong clock that makes the table refuse all
// other clients, and against an ID of unbounded length.
func TestChangeIDLimits(t *testing.T) {
	f := newFixture()
	require.Equal(t, "issuedAt", f.putTeam("a", start.Add(time.Hour), 1, 0).Err.Field)
	require.Nil(t, f.putTeam("a", start, 1, 0).Err, "a refused ID is not recorded")
	require.Equal(t, "changeID", f.putTeam(strings.Repeat("x", 65), start, 1, AnyVersion).Err.Field)
}

// Guards against a watch that resumes between two events of one command.
func TestEventWindowKeepsCommandsWhole(t *testing.T) {
	f := newFixture()
	require.Nil(t, f.put(pool("p")).Err)
	const group = 7
	for i := range group {
		require.Nil(t, f.put(host(fmt.Sprintf("h%d", i), "p")).Err)
	}
	for i := range 2*MaxEvents/group + 10 {
		report := HostReport{Origin: f.origin()}
		for n := range group {
			report.Hosts = append(report.Hosts, HostObservation{Host: fmt.Sprintf("h%d", n), Health: model.HealthHealthy, BootID: fmt.Sprint(i), Observed: f.now})
		}
		f.do(report)
		if f.compactedVersion > 0 {
			require.Equal(t, f.events[0].Version, f.events[group-1].Version, "the window starts inside a command")
		}
	}
	snap := f.Snapshot()
	require.NotZero(t, snap.OldestVersion())
	require.GreaterOrEqual(t, len(snap.events), MaxEvents)
	require.Less(t, len(snap.events), 2*MaxEvents+group)
	events, err := snap.EventsAfter(snap.OldestVersion())
	require.Nil(t, err)
	require.Len(t, events, len(snap.events))
	_, err = snap.EventsAfter(snap.OldestVersion() - 1)
	require.Equal(t, fault.Compacted, err.Kind)
	require.Equal(t, snap.OldestVersion(), err.Current)
}

// Guards against an audit trail that repeated refusals of internal steps fill,
// that omits refusals of operators, or that grows without bound.
func TestAuditTrail(t *testing.T) {
	f := newFixture()
	system := Origin{Actor: "planner", Time: start}
	key := model.Key{Kind: model.KindHost, Name: "h"}
	refused := fault.New(fault.BudgetBlocked, "no")
	for range 100 {
		f.recordAudit(system, "drain", key, 1, 1, refused)
	}
	require.Len(t, f.audit, 1)
	f.tick(2 * auditRepeatWindow)
	f.recordAudit(system, "drain", key, 1, 1, refused)
	require.Len(t, f.audit, 2)
	operator := Origin{Actor: "ana", ChangeID: "x"}
	f.recordAudit(operator, "drain", key, 1, 1, refused)
	f.recordAudit(operator, "drain", key, 1, 1, refused)
	require.Len(t, f.audit, 4)
	for range MaxAudit + auditTrimSlack {
		f.recordAudit(operator, "drain", key, 1, 2, nil)
	}
	require.LessOrEqual(t, len(f.audit), MaxAudit+auditTrimSlack)
}

func auditPage(s *Snapshot, q AuditQuery) (entries []AuditEntry, more bool) {
	more = s.VisitAudit(q, func(e AuditEntry) bool {
		entries = append(entries, e)
		return true
	})
	return entries, more
}

// Guards against audit pages that omit entries of a version.
func TestAuditPagesKeepVersionsWhole(t *testing.T) {
	f := newFixture()
	for range 3 {
		f.tick(time.Second)
		f.recordAudit(f.origin(), "x", model.Key{Kind: model.KindHost, Name: "h"}, 1, 2, nil)
		f.recordAudit(f.origin(), "y", model.Key{Kind: model.KindHost, Name: "h"}, 1, 2, nil)
	}
	page, more := auditPage(f.Snapshot(), AuditQuery{Limit: 1})
	require.Len(t, page, 2)
	require.True(t, more)
	rest, more := auditPage(f.Snapshot(), AuditQuery{Since: page[1].Version, Limit: 10})
	require.Len(t, rest, 4)
	require.False(t, more)
}

// Guards against a dry run that changes the state or whose result differs from
// that of the change.
func TestDryRunLeavesStateUnchanged(t *testing.T) {
	f := newPopulatedFixture(t)
	snap := f.Snapshot()
	before := f.Dump()
	dry := snap.DryRun(Put{Origin: f.origin(), Object: host("h3", "quotes"), Expected: 0})[0]
	require.Nil(t, dry.Err)
	require.Equal(t, before, f.Dump())
	require.Nil(t, snap.Get(model.Key{Kind: model.KindHost, Name: "h3"}))
	require.Equal(t, 2, snap.HostCount("quotes"))
	require.Equal(t, dry, f.do(Put{Origin: f.origin(), Object: host("h3", "quotes"), Expected: 0}))
	several := snap.DryRun(Put{Origin: f.origin(), Object: host("h4", "x")}, Put{Origin: f.origin(), Object: pool("x")}, Put{Origin: f.origin(), Object: host("h4", "x")})
	require.Equal(t, fault.Invalid, several[0].Err.Kind)
	require.Nil(t, several[2].Err, "a command sees the effects of those before it")
}

// Guards against a log entry that is applied twice.
func TestLogEntryIsAppliedOnce(t *testing.T) {
	f := newPopulatedFixture(t)
	before := f.Dump()
	require.Equal(t, fault.Internal, f.Apply(f.Version(), Tick{Origin: f.origin()}).Err.Kind)
	require.Equal(t, before, f.Dump())
}

// Guards against a dry run of a host step that does not check the budgets.
func TestDryRunChecksBudgets(t *testing.T) {
	f := newPopulatedFixture(t)
	h := f.Get(hostKey("h1")).(*model.Host)
	step := HostStep{Origin: f.origin(), Host: "h1", Expected: h.Version, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopDrain}}
	dry := f.Snapshot().DryRun(step)[0]
	require.Equal(t, fault.BudgetBlocked, dry.Err.Kind)
	require.Equal(t, dry, f.do(step))
}

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

// bench is a state with the number of the next log entry and a clock.
type bench struct {
	*State
	now time.Time
}

func newBench() *bench { return &bench{State: New(), now: start} }

func (b *bench) do(cmd Command) Result { return b.Apply(b.Version()+1, cmd) }

func (b *bench) origin() Origin { return Origin{Actor: "ana", Source: "test", Time: b.now} }

func (b *bench) put(obj model.Object) Result {
	return b.do(Put{Origin: b.origin(), Object: obj, Expected: AnyVersion})
}

func (b *bench) remove(kind model.Kind, name string) Result {
	return b.do(Delete{Origin: b.origin(), Key: model.Key{Kind: kind, Name: name}, Expected: AnyVersion})
}

func (b *bench) tick(d time.Duration) {
	b.now = b.now.Add(d)
	b.do(Tick{Origin: b.origin()})
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

// fleet returns a state with pool quotes of two hosts with a budget, an empty
// pool, a team with a job, and a started wave.
func fleet(t *testing.T) *bench {
	b := newBench()
	started := wave("w", "quotes")
	started.Spec.Started = true
	for _, obj := range []model.Object{
		&model.Team{Meta: meta(model.KindTeam, "cutting")}, pool("quotes"), pool("empty"),
		host("h1", "quotes"), host("h2", "quotes"), budget("b", "quotes", 2), job("j", "quotes", "cutting"), started,
	} {
		require.Nil(t, b.put(obj).Err)
	}
	return b
}

// Guards against a change that refers to nothing, contradicts another resource
// or what is under way, and against a refusal that changes something.
func TestPutRefusals(t *testing.T) {
	stopped := wave("w", "quotes")
	moved := wave("w", "quotes", "empty")
	moved.Spec.Started = true
	drains := wave("w", "quotes")
	drains.Spec.Started, drains.Spec.Action = true, model.StopDrain
	borrower := pool("p")
	borrower.Spec.SpareFrom = "nowhere"
	cases := []struct {
		name, field string
		obj         model.Object
	}{
		{"host of unknown pool", "spec.pool", host("h9", "nowhere")},
		{"host changes pool", "spec.pool", host("h1", "empty")},
		{"job of unknown pool", "spec.pool", job("j9", "nowhere", "")},
		{"job of unknown team", "spec.team", job("j9", "quotes", "nobody")},
		{"budget of unknown pool", "spec.pool", budget("b9", "nowhere", 0)},
		{"second budget of a pool", "spec.pool", budget("b9", "quotes", 1)},
		{"budget above its pool", "spec.minHealthy", budget("b", "quotes", 3)},
		{"negative budget", "spec.minHealthy", budget("b", "quotes", -1)},
		{"wave over unknown pool", "spec.pools[0]", wave("w9", "nowhere")},
		{"wave over pool without hosts", "spec.pools[1]", wave("w9", "quotes", "empty")},
		{"started wave put back", "spec.started", stopped},
		{"pools of started wave", "spec.pools", moved},
		{"action of started wave", "spec.action", drains},
		{"unknown spare pool", "spec.spareFrom", borrower},
		{"long name", "metadata.name", pool(strings.Repeat("a", 254))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := fleet(t)
			before := b.Snapshot()
			res := b.put(c.obj)
			require.NotNil(t, res.Err)
			require.Equal(t, fault.Invalid, res.Err.Kind, res.Err.Error())
			require.Equal(t, c.field, res.Err.Field, res.Err.Error())
			require.NotEmpty(t, res.Err.Limit)
			requireSameResources(t, before, b.Snapshot())
			require.Equal(t, "invalid", b.audit[len(b.audit)-1].Outcome)
		})
	}
}

func requireSameResources(t *testing.T, a, b *Snapshot) {
	for _, kind := range model.Kinds() {
		require.Equal(t, a.List(kind), b.List(kind))
	}
}

// Guards against a delete that leaves a reference to nothing, takes a host
// from under its work or makes a budget impossible.
func TestDeleteRefusals(t *testing.T) {
	cases := []struct {
		kind model.Kind
		name string
		want fault.Kind
	}{
		{model.KindPool, "quotes", fault.Conflict},
		{model.KindTeam, "cutting", fault.Conflict},
		{model.KindHost, "h2", fault.BudgetBlocked},
		{model.KindPool, "nowhere", fault.NotFound},
	}
	for _, c := range cases {
		t.Run(string(c.kind)+" "+c.name, func(t *testing.T) {
			b := fleet(t)
			before := b.Snapshot()
			res := b.remove(c.kind, c.name)
			require.NotNil(t, res.Err)
			require.Equal(t, c.want, res.Err.Kind)
			requireSameResources(t, before, b.Snapshot())
		})
	}
}

// Guards against a pool that is deleted while anything names it.
func TestPoolDeleteNamesItsUser(t *testing.T) {
	borrower := pool("borrower")
	borrower.Spec.SpareFrom = "p"
	for _, user := range []model.Object{host("h", "p"), budget("b", "p", 0), job("j", "p", ""), borrower} {
		b := newBench()
		require.Nil(t, b.put(pool("p")).Err)
		require.Nil(t, b.put(user).Err)
		err := b.remove(model.KindPool, "p").Err
		require.NotNil(t, err)
		require.Contains(t, err.Message, fmt.Sprintf("%s %s", user.Metadata().Kind, user.Metadata().Name))
		require.Nil(t, b.remove(user.Metadata().Kind, user.Metadata().Name).Err)
		require.Nil(t, b.remove(model.KindPool, "p").Err)
	}
}

// Guards against a delete under work that is under way.
func TestDeleteWaitsForWorkUnderWay(t *testing.T) {
	b := fleet(t)
	require.Nil(t, b.remove(model.KindBudget, "b").Err)
	running := b.Get(model.Key{Kind: model.KindWave, Name: "w"}).Clone().(*model.Wave)
	running.Status.Stopped = []string{"h1"}
	b.set(running)
	require.Equal(t, fault.Conflict, b.remove(model.KindWave, "w").Err.Kind)
	placed := b.Get(model.Key{Kind: model.KindJob, Name: "j"}).Clone().(*model.Job)
	placed.Status.Tasks = []model.Task{{State: model.TaskFinished}, {Index: 1, State: model.TaskRunning}}
	b.set(placed)
	require.Equal(t, fault.Conflict, b.remove(model.KindJob, "j").Err.Kind)
	require.Equal(t, "spec.pool", b.put(job("j", "empty", "cutting")).Err.Field)
	moving := b.Get(model.Key{Kind: model.KindHost, Name: "h1"}).Clone().(*model.Host)
	moving.Status.Stop = &model.PlannedStop{Action: model.StopMove, TargetPool: "empty"}
	b.set(moving)
	require.Contains(t, b.remove(model.KindPool, "empty").Err.Message, "hosts h1")
}

// Guards against a delete that interrupts the requests on a healthy host.
func TestHealthyHostIsDrainedBeforeDelete(t *testing.T) {
	b := fleet(t)
	require.Nil(t, b.put(host("h3", "quotes")).Err)
	b.do(HostReport{Origin: b.origin(), Hosts: []HostObservation{{Host: "h3", Health: model.HealthHealthy, Observed: b.now}}})
	require.Equal(t, fault.Conflict, b.remove(model.KindHost, "h3").Err.Kind)
	b.do(HostReport{Origin: b.origin(), Hosts: []HostObservation{{Host: "h3", Health: model.HealthUnhealthy, Observed: b.now}}})
	require.Nil(t, b.remove(model.KindHost, "h3").Err)
}

// Guards against an operator who sets the status of a new host, and against a
// put that resets the status of an existing one.
func TestPutLeavesTheStatus(t *testing.T) {
	b := newBench()
	require.Nil(t, b.put(pool("p")).Err)
	h := host("h", "p")
	h.Status = model.HostStatus{Phase: model.HostDrained, Health: model.HealthHealthy, Epoch: 99, Stop: &model.PlannedStop{}}
	stored := b.put(h).Object.(*model.Host)
	require.Equal(t, model.HostStatus{Phase: model.HostActive, Health: model.HealthUnknown, Epoch: 1}, stored.Status)
	b.do(HostReport{Origin: b.origin(), Hosts: []HostObservation{{Host: "h", Health: model.HealthHealthy, Observed: b.now}}})
	h.Spec.Cores = 64
	stored = b.put(h).Object.(*model.Host)
	require.Equal(t, model.HealthHealthy, stored.Status.Health)
	require.Equal(t, uint64(2), stored.Generation)
}

// Guards against a manifest that, applied again, resumes a paused wave, undoes a
// cancellation, or is refused because a wave has started or a host is borrowed.
func TestDeclaredAgainKeepsProgress(t *testing.T) {
	b := fleet(t)
	declare := func(obj model.Object) Result {
		return b.do(Put{Origin: b.origin(), Object: obj, Expected: AnyVersion, Declared: true})
	}
	wave := b.Get(model.Key{Kind: model.KindWave, Name: "w"}).Clone().(*model.Wave)
	manifest := wave.Clone().(*model.Wave)
	manifest.Spec.Started, manifest.Spec.Paused = false, false
	wave.Spec.Started, wave.Spec.Paused = true, true
	require.Nil(t, b.put(wave).Err)
	res := declare(manifest)
	require.Nil(t, res.Err)
	require.True(t, res.Object.(*model.Wave).Spec.Paused)
	require.Equal(t, "spec.started", b.put(manifest).Err.Field, "a verb is not a declaration")

	require.Nil(t, b.put(pool("cutting")).Err)
	host := b.Get(model.Key{Kind: model.KindHost, Name: "h1"}).Clone().(*model.Host)
	declared := host.Clone().(*model.Host)
	host.Status.HomePool, host.Spec.Pool = host.Spec.Pool, "cutting"
	b.set(host)
	res = declare(declared)
	require.Nil(t, res.Err)
	require.Equal(t, "cutting", res.Object.(*model.Host).Spec.Pool)
	declared.Spec.Pool = "tracking"
	require.Equal(t, "spec.pool", declare(declared).Err.Field)
}

// Guards against a cancellation that is undone and an ended wave that changes.
func TestEndedWorkStaysEnded(t *testing.T) {
	b := fleet(t)
	cancelled := job("j", "quotes", "cutting")
	cancelled.Spec.Cancelled = true
	require.Nil(t, b.put(cancelled).Err)
	require.Equal(t, "spec.cancelled", b.put(job("j", "quotes", "cutting")).Err.Field)
	ended := b.Get(model.Key{Kind: model.KindWave, Name: "w"}).Clone().(*model.Wave)
	ended.Status.Phase = model.WaveFinished
	b.set(ended)
	again := ended.Clone().(*model.Wave)
	again.Spec.Paused = true
	require.Equal(t, "spec", b.put(again).Err.Field)
}

// Guards against host reports that bump versions at every report, so that no
// step with an expected version ever wins, and against stale observations.
func TestHostReportIsNewsOnlyWhenSomethingChanged(t *testing.T) {
	b := fleet(t)
	report := func(health model.Health, inFlight int, at time.Time) *model.Host {
		b.do(HostReport{Origin: b.origin(), Hosts: []HostObservation{{Host: "h1", Health: health, InFlight: inFlight, Observed: at}}})
		return b.Get(model.Key{Kind: model.KindHost, Name: "h1"}).(*model.Host)
	}
	begin := b.now
	b.now = begin.Add(4 * time.Second)
	first := report(model.HealthHealthy, 3, begin.Add(time.Second))
	events := len(b.events)
	second := report(model.HealthHealthy, 2, begin.Add(2*time.Second))
	require.Equal(t, first.Version, second.Version)
	require.Equal(t, 2, second.Status.InFlight)
	require.Equal(t, begin.Add(2*time.Second), second.Status.LastReport)
	require.Len(t, b.events, events)
	stale := report(model.HealthUnhealthy, 0, begin)
	require.Same(t, second, stale)
	require.Greater(t, report(model.HealthUnhealthy, 0, begin.Add(3*time.Second)).Version, second.Version)
}

func (b *bench) change(id string, issued time.Time, digest uint64, expected uint64) Result {
	o := b.origin()
	o.ChangeID, o.IssuedAt, o.Digest = id, issued, digest
	team := &model.Team{Meta: meta(model.KindTeam, "t"), Spec: model.TeamSpec{QuotaCores: int(digest)}}
	return b.do(Put{Origin: o, Object: team, Expected: expected})
}

// Guards against a resent change that runs twice, an ID that is used for two
// changes, and a table that grows without bound or forgets silently.
func TestChangeIDs(t *testing.T) {
	b := newBench()
	b.changes.limit = 2
	first := b.change("a", start, 1, 0)
	require.Nil(t, first.Err)
	again := b.change("a", start, 1, 0)
	require.True(t, again.Replayed)
	require.Equal(t, first.Version, again.Version)
	require.NotNil(t, again.Object)
	require.Equal(t, fault.ChangeIDReused, b.change("a", start, 2, 0).Err.Kind)
	second := b.change("b", start.Add(time.Second), 2, first.Version)
	require.Nil(t, second.Err)
	again = b.change("a", start, 1, 0)
	require.True(t, again.Replayed)
	require.Nil(t, again.Object, "the resource has changed since")
	refused := b.change("c", start.Add(2*time.Second), 3, first.Version)
	require.Equal(t, fault.Conflict, refused.Err.Kind)
	require.Equal(t, refused.Err, b.change("c", start.Add(2*time.Second), 3, first.Version).Err)
	require.Equal(t, fault.ChangeIDExpired, b.change("a", start, 1, 0).Err.Kind, "a was dropped")
	require.Equal(t, fault.ChangeIDExpired, b.change("new", start, 1, 0).Err.Kind)
	require.Len(t, b.changes.records, 2)
	require.Len(t, b.changes.order, 2)
}

// Guards against a client with a wrong clock that makes the table refuse
// everybody else, and against an ID without bound.
func TestChangeIDLimits(t *testing.T) {
	b := newBench()
	require.Equal(t, "issuedAt", b.change("a", start.Add(time.Hour), 1, 0).Err.Field)
	require.Nil(t, b.change("a", start, 1, 0).Err, "a refused ID is not remembered")
	require.Equal(t, "changeID", b.change(strings.Repeat("x", 65), start, 1, AnyVersion).Err.Field)
}

// Guards against a watch that resumes between two events of one command.
func TestEventWindowKeepsCommandsWhole(t *testing.T) {
	b := newBench()
	require.Nil(t, b.put(pool("p")).Err)
	const group = 7
	for i := range group {
		require.Nil(t, b.put(host(fmt.Sprintf("h%d", i), "p")).Err)
	}
	for i := range 2*MaxEvents/group + 10 {
		report := HostReport{Origin: b.origin()}
		for n := range group {
			report.Hosts = append(report.Hosts, HostObservation{Host: fmt.Sprintf("h%d", n), Health: model.HealthHealthy, BootID: fmt.Sprint(i), Observed: b.now})
		}
		b.do(report)
		if b.compacted > 0 {
			require.Equal(t, b.events[0].Version, b.events[group-1].Version, "the window starts inside a command")
		}
	}
	snap := b.Snapshot()
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

// Guards against an audit trail that the system's own repeated refusals fill,
// that drops operators' refusals, or that grows without bound.
func TestAuditTrail(t *testing.T) {
	b := newBench()
	system := Origin{Actor: "planner", Time: start}
	key := model.Key{Kind: model.KindHost, Name: "h"}
	refused := fault.New(fault.BudgetBlocked, "no")
	for range 100 {
		b.record(system, "drain", key, 1, 1, refused)
	}
	require.Len(t, b.audit, 1)
	b.tick(2 * repeatWindow)
	b.record(system, "drain", key, 1, 1, refused)
	require.Len(t, b.audit, 2)
	operator := Origin{Actor: "ana", ChangeID: "x"}
	b.record(operator, "drain", key, 1, 1, refused)
	b.record(operator, "drain", key, 1, 1, refused)
	require.Len(t, b.audit, 4)
	for range MaxAudit + auditSlack {
		b.record(operator, "drain", key, 1, 2, nil)
	}
	require.LessOrEqual(t, len(b.audit), MaxAudit+auditSlack)
}

// Guards against audit pages that lose entries of one version.
func TestAuditPagesKeepVersionsWhole(t *testing.T) {
	b := newBench()
	for range 3 {
		b.tick(time.Second)
		b.record(b.origin(), "x", model.Key{Kind: model.KindHost, Name: "h"}, 1, 2, nil)
		b.record(b.origin(), "y", model.Key{Kind: model.KindHost, Name: "h"}, 1, 2, nil)
	}
	page, more := b.Snapshot().AuditAfter(AuditQuery{Limit: 1})
	require.Len(t, page, 2)
	require.True(t, more)
	rest, more := b.Snapshot().AuditAfter(AuditQuery{Since: page[1].Version, Limit: 10})
	require.Len(t, rest, 4)
	require.False(t, more)
}

// Guards against a dry run that changes the state or that disagrees with the
// change itself.
func TestEvaluateChangesNothing(t *testing.T) {
	b := fleet(t)
	snap := b.Snapshot()
	before := b.Dump()
	dry := snap.DryRun(Put{Origin: b.origin(), Object: host("h3", "quotes"), Expected: 0})[0]
	require.Nil(t, dry.Err)
	require.Equal(t, before, b.Dump())
	require.Nil(t, snap.Get(model.Key{Kind: model.KindHost, Name: "h3"}))
	require.Equal(t, 2, snap.HostCount("quotes"))
	require.Equal(t, dry, b.do(Put{Origin: b.origin(), Object: host("h3", "quotes"), Expected: 0}))
	several := snap.DryRun(Put{Origin: b.origin(), Object: host("h4", "x")}, Put{Origin: b.origin(), Object: pool("x")}, Put{Origin: b.origin(), Object: host("h4", "x")})
	require.Equal(t, fault.Invalid, several[0].Err.Kind)
	require.Nil(t, several[2].Err, "a command sees the ones before it")
}

// Guards against a log entry that is applied twice.
func TestIndexIsAppliedOnce(t *testing.T) {
	b := fleet(t)
	before := b.Dump()
	require.Equal(t, fault.Internal, b.Apply(b.Version(), Tick{Origin: b.origin()}).Err.Kind)
	require.Equal(t, before, b.Dump())
}

// Guards against a dry run of a step that judges without the planned-stop
// ledger.
func TestEvaluateKnowsTheLedger(t *testing.T) {
	b := fleet(t)
	h := b.Get(hostKey("h1")).(*model.Host)
	step := HostStep{Origin: b.origin(), Host: "h1", Expected: h.Version, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopDrain}}
	dry := b.Snapshot().DryRun(step)[0]
	require.Equal(t, fault.BudgetBlocked, dry.Err.Kind)
	require.Equal(t, dry, b.do(step))
}

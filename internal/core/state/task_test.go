package state

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

func (x *site) job(change func(*model.JobSpec)) {
	x.t.Helper()
	j := model.New(model.KindJob).(*model.Job)
	j.Name = "j"
	j.Spec = model.JobSpec{Pool: "a", Tasks: 2, Cores: 4}
	if change != nil {
		change(&j.Spec)
	}
	x.put(j)
}

func (x *site) task(task model.Task) *fault.Error {
	version := x.s.Get(model.Key{Kind: model.KindJob, Name: "j"}).Metadata().Version
	return x.apply(TaskStep{Origin: x.origin(), Job: "j", Expected: version, Tasks: []model.Task{task}}).Err
}

// Guards against two live leases of one task, and against a report of an old
// placement that changes the new one.
func TestTaskIsPlacedAgainOnlyAfterItsLease(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.hosts("a", 2)
	x.job(nil)
	lease := x.now.Add(30 * time.Second)
	require.Nil(t, x.task(model.Task{State: model.TaskStarting, Host: "a-0", Epoch: 1, LeaseUntil: lease}))
	require.Equal(t, fault.Conflict, x.task(model.Task{State: model.TaskStarting, Host: "a-1", Epoch: 2, LeaseUntil: lease}).Kind)
	require.Equal(t, fault.Fenced, x.task(model.Task{State: model.TaskRunning, Host: "a-1", Epoch: 1, LeaseUntil: lease}).Kind)
	x.now = lease
	require.Nil(t, x.task(model.Task{State: model.TaskStarting, Host: "a-1", Epoch: 2, LeaseUntil: lease.Add(time.Minute)}))
	require.Equal(t, fault.Fenced, x.task(model.Task{State: model.TaskRunning, Host: "a-0", Epoch: 1}).Kind)
	require.Nil(t, x.task(model.Task{State: model.TaskPending, Epoch: 2}))
	require.Nil(t, x.task(model.Task{State: model.TaskStarting, Host: "a-0", Epoch: 3, LeaseUntil: lease.Add(time.Minute)}))
}

// Guards against a start that passes a cancellation, whichever comes first.
func TestCancellationAndStartHaveOneOutcome(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.hosts("a", 2)
	x.job(nil)
	version := x.s.Get(model.Key{Kind: model.KindJob, Name: "j"}).Metadata().Version
	x.job(func(j *model.JobSpec) { j.Cancelled = true })
	start := model.Task{State: model.TaskStarting, Host: "a-0", Epoch: 1, LeaseUntil: x.now.Add(time.Minute)}
	late := x.apply(TaskStep{Origin: x.origin(), Job: "j", Expected: version, Tasks: []model.Task{start}})
	require.Equal(t, fault.Conflict, late.Err.Kind)
	require.Equal(t, fault.Cancelled, x.task(start).Kind)
	require.Nil(t, x.task(model.Task{State: model.TaskCancelled}))
	require.Equal(t, fault.Conflict, x.task(model.Task{State: model.TaskPending}).Kind)
}

// Guards against a placement on a host that is leaving or in another pool.
func TestTaskNeedsAnActiveHostOfItsPool(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.pool("b", nil)
	x.hosts("a", 2)
	x.budget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 1})
	x.hosts("b", 1)
	x.job(nil)
	require.Nil(t, x.stop("a-0", model.StopDrain, ""))
	for host, kind := range map[string]fault.Kind{"a-0": fault.Conflict, "b-0": fault.Conflict, "none": fault.NotFound} {
		require.Equal(t, kind, x.task(model.Task{State: model.TaskStarting, Host: host, Epoch: 1, LeaseUntil: x.now.Add(time.Minute)}).Kind, host)
	}
}

// Guards against two planners that together exceed the quota of a team.
func TestQuotaIsCheckedAtApply(t *testing.T) {
	x := newSite(t)
	x.pool("a", nil)
	x.hosts("a", 2)
	team := model.New(model.KindTeam).(*model.Team)
	team.Name, team.Spec = "t", model.TeamSpec{QuotaCores: 4, QuotaMemoryMB: 100}
	x.put(team)
	x.job(func(j *model.JobSpec) { j.Team = "t" })
	lease := x.now.Add(time.Minute)
	require.Nil(t, x.task(model.Task{Index: 0, State: model.TaskStarting, Host: "a-0", Epoch: 1, LeaseUntil: lease}))
	err := x.task(model.Task{Index: 1, State: model.TaskStarting, Host: "a-0", Epoch: 1, LeaseUntil: lease})
	require.Equal(t, fault.QuotaExceeded, err.Kind)
	require.Equal(t, string(model.ReasonQuota), err.Reason)
	require.Nil(t, x.task(model.Task{Index: 0, State: model.TaskFinished, Epoch: 1}))
	require.Nil(t, x.task(model.Task{Index: 1, State: model.TaskStarting, Host: "a-0", Epoch: 1, LeaseUntil: lease}))
}

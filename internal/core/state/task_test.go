package state

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

// putJob puts the job "j" in pool "a".
func (tf *testFleet) putJob(change func(*model.JobSpec)) {
	tf.t.Helper()
	j := model.New(model.KindJob).(*model.Job)
	j.Name = "j"
	j.Spec = model.JobSpec{Pool: "a", Tasks: 2, Cores: 4}
	if change != nil {
		change(&j.Spec)
	}
	tf.put(j)
}

// stepTask replaces the state of one task of the job "j".
func (tf *testFleet) stepTask(task model.Task) *fault.Error {
	version := tf.state.Get(model.Key{Kind: model.KindJob, Name: "j"}).Metadata().Version
	return tf.apply(TaskStep{Origin: tf.origin(), Job: "j", Expected: version, Tasks: []model.Task{task}}).Err
}

// Guards against two live leases of one task, and against a step for an old
// placement that changes the new one.
func TestTaskIsPlacedAgainOnlyAfterLeaseExpires(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.putHosts("a", 2)
	tf.putJob(nil)
	lease := tf.now.Add(30 * time.Second)
	require.Nil(t, tf.stepTask(model.Task{State: model.TaskStarting, Host: "a-0", Epoch: 1, LeaseUntil: lease}))
	require.Equal(t, fault.Conflict, tf.stepTask(model.Task{State: model.TaskStarting, Host: "a-1", Epoch: 2, LeaseUntil: lease}).Kind)
	require.Equal(t, fault.Fenced, tf.stepTask(model.Task{State: model.TaskRunning, Host: "a-1", Epoch: 1, LeaseUntil: lease}).Kind)
	tf.now = lease
	require.Nil(t, tf.stepTask(model.Task{State: model.TaskStarting, Host: "a-1", Epoch: 2, LeaseUntil: lease.Add(time.Minute)}))
	require.Equal(t, fault.Fenced, tf.stepTask(model.Task{State: model.TaskRunning, Host: "a-0", Epoch: 1}).Kind)
	require.Nil(t, tf.stepTask(model.Task{State: model.TaskPending, Epoch: 2}))
	require.Nil(t, tf.stepTask(model.Task{State: model.TaskStarting, Host: "a-0", Epoch: 3, LeaseUntil: lease.Add(time.Minute)}))
}

// Guards against a task that starts although its job was cancelled, whether the
// start was decided before or after the cancellation, and against a cancelled
// task that becomes pending again.
func TestCancellationAndStartHaveOneOutcome(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.putHosts("a", 2)
	tf.putJob(nil)
	version := tf.state.Get(model.Key{Kind: model.KindJob, Name: "j"}).Metadata().Version
	tf.putJob(func(j *model.JobSpec) { j.Cancelled = true })
	start := model.Task{State: model.TaskStarting, Host: "a-0", Epoch: 1, LeaseUntil: tf.now.Add(time.Minute)}
	late := tf.apply(TaskStep{Origin: tf.origin(), Job: "j", Expected: version, Tasks: []model.Task{start}})
	require.Equal(t, fault.Conflict, late.Err.Kind)
	require.Equal(t, fault.Cancelled, tf.stepTask(start).Kind)
	require.Nil(t, tf.stepTask(model.Task{State: model.TaskCancelled}))
	require.Equal(t, fault.Conflict, tf.stepTask(model.Task{State: model.TaskPending}).Kind)
}

// Guards against a placement on a host that is draining, in another pool or
// missing.
func TestTaskNeedsAnActiveHostOfItsPool(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.putPool("b", nil)
	tf.putHosts("a", 2)
	tf.putBudget("a", model.BudgetSpec{MinHealthy: 1, MaxPlannedStops: 1})
	tf.putHosts("b", 1)
	tf.putJob(nil)
	require.Nil(t, tf.stop("a-0", model.StopDrain, ""))
	for host, kind := range map[string]fault.Kind{"a-0": fault.Conflict, "b-0": fault.Conflict, "missing": fault.NotFound} {
		require.Equal(t, kind, tf.stepTask(model.Task{State: model.TaskStarting, Host: host, Epoch: 1, LeaseUntil: tf.now.Add(time.Minute)}).Kind, host)
	}
}

// Guards against two planners that together exceed the quota of a team.
func TestQuotaIsCheckedAtApply(t *testing.T) {
	tf := newTestFleet(t)
	tf.putPool("a", nil)
	tf.putHosts("a", 2)
	team := model.New(model.KindTeam).(*model.Team)
	team.Name, team.Spec = "t", model.TeamSpec{QuotaCores: 4, QuotaMemoryMB: 100}
	tf.put(team)
	tf.putJob(func(j *model.JobSpec) { j.Team = "t" })
	lease := tf.now.Add(time.Minute)
	require.Nil(t, tf.stepTask(model.Task{Index: 0, State: model.TaskStarting, Host: "a-0", Epoch: 1, LeaseUntil: lease}))
	err := tf.stepTask(model.Task{Index: 1, State: model.TaskStarting, Host: "a-0", Epoch: 1, LeaseUntil: lease})
	require.Equal(t, fault.QuotaExceeded, err.Kind)
	require.Equal(t, string(model.ReasonQuota), err.Reason)
	require.Nil(t, tf.stepTask(model.Task{Index: 0, State: model.TaskFinished, Epoch: 1}))
	require.Nil(t, tf.stepTask(model.Task{Index: 1, State: model.TaskStarting, Host: "a-0", Epoch: 1, LeaseUntil: lease}))
}

package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/sched"
	"laburnumdock/internal/core/state"
)

// waitReasons returns the reasons of waiting jobs by job name.
func waitReasons(res sched.Result) map[string]model.Reason {
	byJob := make(map[string]model.Reason)
	for _, w := range res.Waits {
		byJob[w.Job] = w.Reason
	}
	return byJob
}

// Guards against all tasks of a job being placed in one zone or rack.
func TestTasksAreSpreadOverZonesAndRacks(t *testing.T) {
	sim := newSimulation()
	sim.addHosts(12)
	sim.putJob("j", func(j *model.JobSpec) { j.Tasks = 6 })
	sim.plan(sched.New())
	zones, racks := make(map[string]int), make(map[string]int)
	for _, task := range sim.getJob("j").Status.Tasks {
		h := sim.getHost(task.Host)
		zones[h.Spec.Zone]++
		racks[h.Spec.Rack]++
	}
	require.Equal(t, map[string]int{"zone-0": 2, "zone-1": 2, "zone-2": 2}, zones)
	require.Len(t, racks, 6)
}

// Guards against a job that fits no host and blocks the jobs after it, or waits
// without that reason.
func TestJobThatFitsNoHostReportsItAndBlocksNoOtherJob(t *testing.T) {
	sim := newSimulation()
	sim.addHosts(4)
	sim.putJob("large", func(j *model.JobSpec) { j.Cores, j.Priority = 64, model.PriorityUrgent })
	sim.advance(time.Second)
	sim.putJob("small", nil)
	res := sim.plan(sched.New())
	require.Equal(t, map[string]model.Reason{"large": model.ReasonNeverFits}, waitReasons(res))
	require.Equal(t, model.ReasonNeverFits, sim.getJob("large").Status.Reason)
	require.Equal(t, 1, sim.countTasks("small", model.TaskStarting))
}

// Guards against a wrong reason while the hosts are only busy, and against a reason
// that remains after the job was placed.
func TestJobWaitsForCapacity(t *testing.T) {
	sim, s := newSimulation(), sched.New()
	sim.taskDuration = 10 * time.Second
	sim.addHosts(1)
	sim.putJob("a", func(j *model.JobSpec) { j.Cores = 16 })
	sim.advance(time.Second)
	sim.putJob("b", func(j *model.JobSpec) { j.Cores = 16 })
	require.Equal(t, map[string]model.Reason{"b": model.ReasonNoCapacity}, waitReasons(sim.runRound(s)))
	sim.runRounds(s, 25)
	require.Equal(t, 1, sim.countTasks("a", model.TaskFinished))
	require.Equal(t, 1, sim.countTasks("b", model.TaskRunning))
	require.Equal(t, model.ReasonNone, sim.getJob("b").Status.Reason)
}

// Guards against placement by wrong declared requests: a job that uses more than it
// declares overloads hosts, and one that uses less wastes capacity. A single
// extreme report must not change the estimate without bound.
func TestDeclaredSizeIsCorrectedByUse(t *testing.T) {
	tests := []struct {
		declared, used, perHost int
	}{
		{declared: 4, used: 0, perHost: 4},
		{declared: 2, used: 7, perHost: 2},
		{declared: 8, used: 3, perHost: 4},
		{declared: 4, used: 4000, perHost: 1},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("declared %d used %d", test.declared, test.used), func(t *testing.T) {
			sim, s := newSimulation(), sched.New()
			sim.addHosts(1)
			sim.usedCores["j"] = test.used
			sim.putJob("j", func(j *model.JobSpec) { j.Cores = test.declared })
			sim.runRounds(s, 4)
			sim.putJob("j", func(j *model.JobSpec) { j.Cores, j.Tasks = test.declared, 20 })
			sim.runRounds(s, 4)
			require.Equal(t, test.perHost, sim.countTasks("j", model.TaskRunning))
		})
	}
}

// Guards against a worker that fails every task and attracts all new tasks because
// it is always free, and against a quarantine that covers the whole pool.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	sim, s := newSimulation(), sched.New()
	sim.addHosts(6)
	sim.workers["host-002"].failsTasks = true
	for i := range 24 {
		sim.putJob(fmt.Sprintf("j%02d", i), nil)
	}
	sim.runRounds(s, 60)
	require.True(t, sim.getHost("host-002").Status.QuarantineUntil.After(sim.now))
	running := 0
	for i := range 24 {
		running += sim.countTasks(fmt.Sprintf("j%02d", i), model.TaskRunning)
	}
	require.Equal(t, 20, running, "five hosts with four tasks each")
	for _, w := range sim.workers {
		w.failsTasks = true
	}
	for i := range 40 {
		sim.putJob(fmt.Sprintf("k%02d", i), nil)
	}
	sim.runRounds(s, 200)
	quarantined := 0
	for _, name := range sim.hostNames {
		if sim.getHost(name).Status.QuarantineUntil.After(sim.now) {
			quarantined++
		}
	}
	require.Equal(t, 1, quarantined, "one in ten hosts, at least one")
}

// Guards against quarantining hosts because of a job that fails on every host.
func TestJobThatFailsEverywhereQuarantinesNoHost(t *testing.T) {
	sim, s := newSimulation(), sched.New()
	sim.addHosts(6)
	for i := range 4 {
		name := fmt.Sprintf("bad%d", i)
		sim.failingJobs[name] = true
		sim.putJob(name, func(j *model.JobSpec) { j.Tasks = 6 })
	}
	sim.runRounds(s, 300)
	for _, name := range sim.hostNames {
		require.Zero(t, sim.getHost(name).Status.QuarantineUntil)
	}
	require.Equal(t, model.ReasonBackoff, sim.getJob("bad0").Status.Reason)
}

// Guards against a failing task that is restarted without a backoff.
func TestFailingTaskBacksOff(t *testing.T) {
	sim, s := newSimulation(), sched.New()
	sim.addHosts(2)
	sim.failingJobs["j"] = true
	sim.putJob("j", nil)
	sim.runRounds(s, 240)
	require.LessOrEqual(t, sim.getJob("j").Status.Tasks[0].Failures, 5, "backoffs of 5, 10, 20 and 40 s in 2 minutes")
	require.GreaterOrEqual(t, sim.getJob("j").Status.Tasks[0].Failures, 3)
}

// Guards against a burst of cancellations that needs a command per task or several
// passes.
func TestBurstOfCancellationsTakesOnePass(t *testing.T) {
	sim, s := newSimulation(), sched.New()
	sim.addHosts(12)
	for i := range 20 {
		sim.putJob(fmt.Sprintf("j%02d", i), func(j *model.JobSpec) { j.Tasks, j.Cores = 50, 1 })
	}
	sim.runRounds(s, 3)
	for i := range 20 {
		sim.cancelJob(fmt.Sprintf("j%02d", i))
	}
	require.Len(t, sim.plan(s).Commands, 20)
	for i := range 20 {
		name := fmt.Sprintf("j%02d", i)
		require.Equal(t, 50, sim.countTasks(name, model.TaskStopping)+sim.countTasks(name, model.TaskCancelled))
	}
	sim.runPlatform()
	sim.runRounds(s, 2)
	for i := range 20 {
		require.Equal(t, 50, sim.countTasks(fmt.Sprintf("j%02d", i), model.TaskCancelled))
	}
}

// Guards against a task that runs on two hosts because its first host is
// partitioned, and against a replacement that comes late.
func TestTaskOfAPartitionedWorkerIsPlacedAfterItsLease(t *testing.T) {
	sim, s := newSimulation(), sched.New()
	sim.addHosts(3)
	sim.putJob("j", nil)
	sim.runRounds(s, 3)
	first := sim.getJob("j").Status.Tasks[0].Host
	sim.workers[first].partitioned = true
	partitionedAt := sim.now
	for sim.getJob("j").Status.Tasks[0].Host == first {
		sim.runRound(s)
		require.Less(t, sim.now.Sub(partitionedAt), sched.LeaseTime+2*time.Second)
	}
	require.Empty(t, sim.violations)
	require.GreaterOrEqual(t, sim.now.Sub(partitionedAt), sched.RenewBefore)
	sim.workers[first].partitioned = false
	sim.runRounds(s, 3)
	require.Equal(t, uint64(2), sim.getJob("j").Status.Tasks[0].Epoch)
	require.Equal(t, 1, sim.countTasks("j", model.TaskRunning))
}

// Guards against a team that exceeds its quota, a job that waits for the quota
// without that reason, and preemption for a task that exceeds its quota.
func TestQuotaOfATeam(t *testing.T) {
	sim, s := newSimulation(), sched.New()
	sim.addHosts(6)
	sim.putTeam("t", 10)
	sim.putJob("j", func(j *model.JobSpec) { j.Tasks, j.Team = 5, "t" })
	res := sim.runRound(s)
	require.Equal(t, 2, sim.countTasks("j", model.TaskStarting))
	require.Equal(t, map[string]model.Reason{"j": model.ReasonQuota}, waitReasons(res))
	sim.putJob("urgent", func(j *model.JobSpec) { j.Team, j.Priority = "t", model.PriorityUrgent })
	require.Equal(t, model.ReasonQuota, waitReasons(sim.runRound(s))["urgent"])
	require.Zero(t, sim.countTasks("j", model.TaskStopping), "no task is preempted for a job beyond its quota")
}

// Guards against an urgent task that preempts others while hosts are free, waits too
// long, preempts more than it needs, or loses the released capacity to other jobs.
func TestUrgentWorkStartsWithinFiveRounds(t *testing.T) {
	sim, s := newSimulation(), sched.New()
	sim.addHosts(2)
	sim.putJob("batch", func(j *model.JobSpec) { j.Tasks, j.Priority = 3, model.PriorityBatch })
	sim.putJob("normal", func(j *model.JobSpec) { j.Tasks = 4 })
	sim.runRounds(s, 3)
	sim.putJob("first", func(j *model.JobSpec) { j.Priority = model.PriorityUrgent })
	sim.runRounds(s, 2)
	require.Equal(t, 1, sim.countTasks("first", model.TaskRunning))
	require.Equal(t, 7, sim.countTasks("batch", model.TaskRunning)+sim.countTasks("normal", model.TaskRunning), "free capacity is used first")
	sim.putJob("second", func(j *model.JobSpec) { j.Cores, j.Priority = 8, model.PriorityUrgent })
	for i := range 20 {
		sim.putJob(fmt.Sprintf("more%d", i), func(j *model.JobSpec) { j.Cores = 1 })
	}
	require.Equal(t, model.ReasonPreempting, waitReasons(sim.runRound(s))["second"])
	sim.runRounds(s, 4)
	require.Equal(t, 1, sim.countTasks("second", model.TaskRunning))
	require.GreaterOrEqual(t, sim.countTasks("normal", model.TaskRunning), 3)
	for _, task := range sim.getJob("first").Status.Tasks {
		require.Equal(t, model.TaskRunning, task.State, "urgent tasks do not preempt urgent tasks")
	}
}

// Guards against tasks that are placed on draining hosts.
func TestDrainingHostsGetNoTasks(t *testing.T) {
	sim, s := newSimulation(), sched.New()
	sim.addHosts(2)
	b := model.New(model.KindBudget).(*model.Budget)
	b.Name, b.Spec = "a", model.BudgetSpec{Pool: "a", MinHealthy: 1, MaxPlannedStops: 1}
	sim.put(b)
	sim.apply(state.HostStep{Origin: sim.origin(), Host: "host-000", Expected: state.AnyVersion, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopReboot}})
	sim.putJob("j", func(j *model.JobSpec) { j.Tasks = 4 })
	sim.runRound(s)
	for _, task := range sim.getJob("j").Status.Tasks {
		require.Equal(t, "host-001", task.Host)
	}
}
